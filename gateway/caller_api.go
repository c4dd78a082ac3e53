package gateway

import (
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"strconv"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/waxwingbridge/waxwingbridge/gateway/traffic"
	"github.com/waxwingbridge/waxwingbridge/idempotency"
	"github.com/waxwingbridge/waxwingbridge/outcome"
)

// Limits of the HTTP server for callers.
const (
	callerHeaderTimeout = 10 * time.Second
	callerBodyTimeout   = 30 * time.Second
	callerIdleTimeout   = 2 * time.Minute
	maxHeaderBytes      = 64 << 10
)

// NewCallerServer returns an HTTP server with the time and size limits of the
// callers' interface. The caller of this function listens and serves.
func NewCallerServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: callerHeaderTimeout, IdleTimeout: callerIdleTimeout,
		MaxHeaderBytes: maxHeaderBytes,
	}
}

// Handler returns the HTTP handler for requests of callers.
func (p *Proxy) Handler() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	router := gin.New()
	router.UseRawPath = true
	router.UnescapePathValues = false
	router.RedirectTrailingSlash = false
	router.POST("/v1/keys", p.trackInFlight(p.issueKeys))
	router.Any("/v1/pools/:pool", p.trackInFlight(p.servePool))
	router.Any("/v1/pools/:pool/*rest", p.trackInFlight(p.servePool))
	router.NoRoute(func(c *gin.Context) {
		p.refuse(c, p.requestID(), badRequest(http.StatusNotFound, "no such path; requests go to /v1/pools/{pool}/..."))
	})
	return router
}

// trackInFlight counts the requests in flight, for which Drain waits, and refuses
// requests during a shutdown.
func (p *Proxy) trackInFlight(handle gin.HandlerFunc) gin.HandlerFunc {
	return func(c *gin.Context) {
		if !p.requests.begin() {
			c.Header("Connection", "close")
			p.refuse(c, p.requestID(), refusalFor(outcome.NotRunBecause(outcome.ReasonStopping)))
			return
		}
		defer p.requests.end()
		handle(c)
	}
}

func (p *Proxy) requestID() string {
	text := make([]byte, 0, len(p.config.Incarnation)+18)
	text = append(text, p.config.Incarnation...)
	text = append(text, '-')
	return string(appendHex(text, p.sequence.Add(1)))
}

func (p *Proxy) servePool(c *gin.Context) {
	requestID := p.requestID()
	reserved := bodyReservation(c.Request)
	defer p.bufferedBytes.Add(-reserved)
	if p.bufferedBytes.Add(reserved) > maxBufferedBytes {
		p.refuse(c, requestID, refusalFor(outcome.NotRunBecause(outcome.ReasonQueueFull)))
		return
	}
	// Without a time limit, slow callers could occupy all memory reserved for bodies.
	connection := http.NewResponseController(c.Writer)
	_ = connection.SetReadDeadline(time.Now().Add(p.bodyTimeout))
	submission, refused := parseSubmission(c.Writer, c.Request, c.Param("pool"))
	if refused != nil {
		p.refuse(c, requestID, refused)
		return
	}
	_ = connection.SetReadDeadline(time.Time{})
	submission.RequestID = requestID
	started := time.Now()
	result := p.serve(c, submission)
	p.recorder.record(submission, &result, time.Since(started))
	p.writeResult(c, requestID, &result)
}

// bodyReservation returns the number of bytes that are reserved for the body.
func bodyReservation(r *http.Request) int64 {
	if r.ContentLength < 0 || r.ContentLength > maxBodyBytes {
		return maxBodyBytes
	}
	return r.ContentLength
}

// serve executes a submission here or at the home of its key.
func (p *Proxy) serve(c *gin.Context, submission *traffic.Submission) traffic.Result {
	ctx := c.Request.Context()
	snapshot := p.snapshot.Load()
	if submission.Key == "" || snapshot == nil {
		return p.execute(ctx, submission)
	}
	if snapshot.Keys == nil {
		return notRun(outcome.ReasonNoHome)
	}
	if route := snapshot.Keys.Route(submission.Key, time.Now()); route.Kind == idempotency.RouteRemote {
		return p.forward(ctx, route.Address, submission)
	}
	return p.execute(ctx, submission) // the shard checks the route again
}

func (p *Proxy) writeResult(c *gin.Context, requestID string, result *traffic.Result) {
	if result.Response != nil && result.Response.Stream != nil {
		defer result.Response.Stream.Close()
	}
	if result.Outcome.Kind != outcome.Completed {
		p.refuse(c, requestID, refusalFor(result.Outcome))
		return
	}
	header := c.Writer.Header()
	maps.Copy(header, result.Response.Headers)
	header.Set(headerRequestID, requestID)
	header.Set(headerOutcome, result.Outcome.Kind.String())
	if result.Replayed {
		header.Set(headerReplayed, "true")
	}
	if _, ok := header[headerContentType]; !ok {
		header[headerContentType] = nil // prevents net/http from detecting a type
	}
	writeResponse(c, result.Response)
}

func writeResponse(c *gin.Context, response *traffic.Response) {
	if response.Stream == nil && len(response.Body) > 0 {
		c.Writer.Header().Set(headerContentLength, strconv.Itoa(len(response.Body)))
	}
	c.Writer.WriteHeader(response.StatusCode)
	c.Writer.WriteHeaderNow()
	if _, err := c.Writer.Write(response.Body); err != nil || response.Stream == nil {
		return
	}
	if _, err := io.Copy(c.Writer, response.Stream); err != nil {
		// The status line has already been sent. Aborting the connection is the only
		// way to tell the caller that the response is incomplete.
		panic(http.ErrAbortHandler)
	}
}

// reasonStatusCodes maps reasons to HTTP status codes. All other reasons for not
// running a request map to 503, and all unknown outcomes to 502.
var reasonStatusCodes = map[outcome.Reason]int{
	outcome.ReasonBadRequest:  http.StatusBadRequest,
	outcome.ReasonKeyFuture:   http.StatusBadRequest,
	outcome.ReasonUnknownPool: http.StatusNotFound,
	outcome.ReasonQuota:       http.StatusTooManyRequests,
	outcome.ReasonDeadline:    http.StatusGatewayTimeout,
	outcome.ReasonKeyMismatch: http.StatusUnprocessableEntity,
}

// refusalFor returns the refusal for an outcome without a response.
func refusalFor(result outcome.Outcome) *refusal {
	refused := &refusal{Reason: result.Reason, Outcome: result.Kind.String(), status: http.StatusServiceUnavailable}
	if status, ok := reasonStatusCodes[result.Reason]; ok {
		refused.status = status
	}
	refused.Message = "the request was not run: " + string(result.Reason)
	if result.Kind == outcome.Unknown {
		refused.status = http.StatusBadGateway
		refused.Message = "the request may have been run: " + string(result.Reason)
	}
	return refused
}

// refuse replies to a request that has no response from a target.
func (p *Proxy) refuse(c *gin.Context, requestID string, refused *refusal) {
	if refused.Outcome == "" {
		refused.Outcome = outcome.NotRun.String()
		p.recorder.recordRefusal(refused.Reason)
	}
	refused.Request = requestID
	header := c.Writer.Header()
	header.Set(headerRequestID, requestID)
	header.Set(headerOutcome, refused.Outcome)
	header.Set(headerReason, string(refused.Reason))
	if refused.status == http.StatusRequestEntityTooLarge {
		header.Set("Connection", "close") // the rest of the body is not read
	}
	c.JSON(refused.status, refused)
}

// keyRequest is the body of POST /v1/keys.
type keyRequest struct {
	Count int `json:"count"`
}

type keyResponse struct {
	Keys             []string `json:"keys"`
	RetentionSeconds int      `json:"retention_s"`
}

const (
	maxIssuedKeys     = 1000
	maxKeyRequestBody = 4 << 10
)

// issueKeys returns keys that are permanently bound to this incarnation as home.
func (p *Proxy) issueKeys(c *gin.Context) {
	requestID := p.requestID()
	request := keyRequest{Count: 1}
	decoder := json.NewDecoder(http.MaxBytesReader(c.Writer, c.Request.Body, maxKeyRequestBody))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&request); err != nil && err != io.EOF { //nolint:errorlint // Decode returns io.EOF itself for an empty body
		p.refuse(c, requestID, badRequest(http.StatusBadRequest, `the body is not of the form {"count": 1}: `+err.Error()))
		return
	}
	if request.Count < 1 || request.Count > maxIssuedKeys {
		refused := badRequest(http.StatusBadRequest, "count is not a whole number from 1 to 1000")
		refused.Value, refused.Accepted = strconv.Itoa(request.Count), "1 to 1000"
		p.refuse(c, requestID, refused)
		return
	}
	keys, err := newKeys(p.config.Incarnation, request.Count)
	if err != nil {
		p.refuse(c, requestID, refusalFor(outcome.NotRunBecause(outcome.ReasonNotReady)))
		return
	}
	c.Header(headerRequestID, requestID)
	c.Header(headerOutcome, outcome.Completed.String())
	c.JSON(http.StatusOK, keyResponse{Keys: keys, RetentionSeconds: int(idempotency.Retention.Seconds())})
}
