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

// Limits of the callers' server.
const (
	callerHeaderTimeout = 10 * time.Second
	callerBodyTimeout   = 30 * time.Second
	callerIdleTimeout   = 2 * time.Minute
	maxHeaderBytes      = 64 << 10
)

// NewCallerServer returns an HTTP server with the limits that the interface
// towards callers needs. The caller of this function listens and serves.
func NewCallerServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: callerHeaderTimeout, IdleTimeout: callerIdleTimeout,
		MaxHeaderBytes: maxHeaderBytes,
	}
}

// Handler returns the HTTP interface towards callers.
func (t *Proxy) Handler() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	router := gin.New()
	router.UseRawPath = true
	router.UnescapePathValues = false
	router.RedirectTrailingSlash = false
	router.POST("/v1/keys", t.counted(t.issueKeys))
	router.Any("/v1/pools/:pool", t.counted(t.servePool))
	router.Any("/v1/pools/:pool/*rest", t.counted(t.servePool))
	router.NoRoute(func(c *gin.Context) {
		t.refuse(c, t.requestID(), badRequest(http.StatusNotFound, "no such path; requests go to /v1/pools/{pool}/..."))
	})
	return router
}

// counted refuses requests during a shutdown and lets Drain wait for the others.
func (t *Proxy) counted(handle gin.HandlerFunc) gin.HandlerFunc {
	return func(c *gin.Context) {
		if !t.requests.enter() {
			c.Header("Connection", "close")
			t.refuse(c, t.requestID(), refusalOf(outcome.NotRunBecause(outcome.ReasonStopping)))
			return
		}
		defer t.requests.leave()
		handle(c)
	}
}

func (t *Proxy) requestID() string {
	text := make([]byte, 0, len(t.config.Incarnation)+18)
	text = append(text, t.config.Incarnation...)
	text = append(text, '-')
	return string(appendHex(text, t.sequence.Add(1)))
}

func (t *Proxy) servePool(c *gin.Context) {
	requestID := t.requestID()
	reserved := reservation(c.Request)
	defer t.buffered.Add(-reserved)
	if t.buffered.Add(reserved) > maxBuffered {
		t.refuse(c, requestID, refusalOf(outcome.NotRunBecause(outcome.ReasonQueueFull)))
		return
	}
	// Without a bound, slow callers could hold the whole memory for bodies.
	connection := http.NewResponseController(c.Writer)
	_ = connection.SetReadDeadline(time.Now().Add(t.bodyTimeout))
	submission, refused := parseSubmission(c.Writer, c.Request, c.Param("pool"))
	if refused != nil {
		t.refuse(c, requestID, refused)
		return
	}
	_ = connection.SetReadDeadline(time.Time{})
	submission.RequestID = requestID
	started := time.Now()
	result := t.serve(c, submission)
	t.recorder.record(submission, &result, time.Since(started))
	t.writeResult(c, requestID, &result)
}

// reservation is the number of bytes that the body may take up in memory.
func reservation(r *http.Request) int64 {
	if r.ContentLength < 0 || r.ContentLength > maxBody {
		return maxBody
	}
	return r.ContentLength
}

// serve runs a submission here or at the home of its key.
func (t *Proxy) serve(c *gin.Context, submission *traffic.Submission) traffic.Result {
	ctx := c.Request.Context()
	snapshot := t.snapshot.Load()
	if submission.Key == "" || snapshot == nil {
		return t.execute(ctx, submission)
	}
	if snapshot.Keys == nil {
		return notRun(outcome.ReasonNoHome)
	}
	if route := snapshot.Keys.Route(submission.Key, time.Now()); route.Kind == idempotency.RouteRemote {
		return t.forward(ctx, route.Address, submission)
	}
	return t.execute(ctx, submission) // the shard decides again at its own time
}

func (t *Proxy) writeResult(c *gin.Context, requestID string, result *traffic.Result) {
	if result.Response != nil && result.Response.Stream != nil {
		defer result.Response.Stream.Close()
	}
	if result.Outcome.Kind != outcome.Completed {
		t.refuse(c, requestID, refusalOf(result.Outcome))
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
		header[headerContentType] = nil // keeps net/http from guessing a type
	}
	writeAnswer(c, result.Response)
}

func writeAnswer(c *gin.Context, answer *traffic.Response) {
	if answer.Stream == nil && len(answer.Body) > 0 {
		c.Writer.Header().Set(headerContentLength, strconv.Itoa(len(answer.Body)))
	}
	c.Writer.WriteHeader(answer.StatusCode)
	c.Writer.WriteHeaderNow()
	if _, err := c.Writer.Write(answer.Body); err != nil || answer.Stream == nil {
		return
	}
	if _, err := io.Copy(c.Writer, answer.Stream); err != nil {
		// The status line is gone already; only a broken connection tells the
		// caller that the answer is not whole.
		panic(http.ErrAbortHandler)
	}
}

// statusOf maps reasons to status codes. Other reasons of not run are 503, and
// all unknown outcomes are 502.
var statusOf = map[outcome.Reason]int{
	outcome.ReasonBadRequest:  http.StatusBadRequest,
	outcome.ReasonKeyFuture:   http.StatusBadRequest,
	outcome.ReasonUnknownPool: http.StatusNotFound,
	outcome.ReasonQuota:       http.StatusTooManyRequests,
	outcome.ReasonDeadline:    http.StatusGatewayTimeout,
	outcome.ReasonKeyMismatch: http.StatusUnprocessableEntity,
}

// refusalOf describes an outcome without an answer.
func refusalOf(result outcome.Outcome) *refusal {
	refused := &refusal{Reason: result.Reason, Outcome: result.Kind.String(), status: http.StatusServiceUnavailable}
	if status, ok := statusOf[result.Reason]; ok {
		refused.status = status
	}
	refused.Message = "the request was not run: " + string(result.Reason)
	if result.Kind == outcome.Unknown {
		refused.status = http.StatusBadGateway
		refused.Message = "the request may have been run: " + string(result.Reason)
	}
	return refused
}

// refuse answers without the answer of a target.
func (t *Proxy) refuse(c *gin.Context, requestID string, refused *refusal) {
	if refused.Outcome == "" {
		refused.Outcome = outcome.NotRun.String()
		t.recorder.refused(refused.Reason)
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

// issueKeys returns keys whose home is this incarnation for good.
func (t *Proxy) issueKeys(c *gin.Context) {
	requestID := t.requestID()
	request := keyRequest{Count: 1}
	decoder := json.NewDecoder(http.MaxBytesReader(c.Writer, c.Request.Body, maxKeyRequestBody))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&request); err != nil && err != io.EOF { //nolint:errorlint // Decode returns io.EOF itself for an empty body
		t.refuse(c, requestID, badRequest(http.StatusBadRequest, `the body is not of the form {"count": 1}: `+err.Error()))
		return
	}
	if request.Count < 1 || request.Count > maxIssuedKeys {
		refused := badRequest(http.StatusBadRequest, "count is not a whole number from 1 to 1000")
		refused.Value, refused.Accepted = strconv.Itoa(request.Count), "1 to 1000"
		t.refuse(c, requestID, refused)
		return
	}
	keys, err := newKeys(t.config.Incarnation, request.Count)
	if err != nil {
		t.refuse(c, requestID, refusalOf(outcome.NotRunBecause(outcome.ReasonNotReady)))
		return
	}
	c.Header(headerRequestID, requestID)
	c.Header(headerOutcome, outcome.Completed.String())
	c.JSON(http.StatusOK, keyResponse{Keys: keys, RetentionSeconds: int(idempotency.Retention.Seconds())})
}
