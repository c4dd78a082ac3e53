package controller

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/waxwingbridge/waxwingbridge/fleet"
	"github.com/waxwingbridge/waxwingbridge/policy"
)

// Headers of the operator API.
const (
	// HeaderOperator is the request header with the name of the operator who makes a
	// change.
	HeaderOperator = "Waxwing-Operator"
	// HeaderActiveController is the response header with the operator address of the
	// active controller, to which the request should be repeated.
	HeaderActiveController = "Waxwing-Active-Controller"
	// HeaderPreferActive is the request header that is "true" on a query which the
	// active controller should answer if there is one.
	HeaderPreferActive = "Waxwing-Prefer-Active"
)

const (
	maxDocumentBytes  = 1 << 20
	operatorTimeout   = requestTimeout + 2*time.Second
	maxOperatorLength = 64
)

// ErrorBody is the JSON body of an error response.
type ErrorBody struct {
	Reason string `json:"reason"`
	Detail string `json:"detail"`
}

// operatorHandler returns the handler of the operator API.
func (c *Controller) operatorHandler() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	engine := gin.New()
	engine.Use(gin.Recovery())
	engine.HandleMethodNotAllowed = true
	engine.NoRoute(func(g *gin.Context) {
		g.JSON(http.StatusNotFound, ErrorBody{Reason: "unknown-path", Detail: "no path " + strconv.Quote(g.Request.URL.Path)})
	})
	engine.NoMethod(func(g *gin.Context) {
		g.JSON(http.StatusMethodNotAllowed, ErrorBody{Reason: "unknown-method", Detail: "the path does not accept " + g.Request.Method})
	})
	api := engine.Group("/v1")
	api.GET("/status", c.query(func(*gin.Context) Command { return QueryStatus{} }))
	api.GET("/pools", c.query(func(*gin.Context) Command { return QueryPools{} }))
	api.GET("/vms", c.query(func(g *gin.Context) Command { return QueryWorkers{Pool: g.Query("pool")} }))
	api.GET("/wave", c.query(func(*gin.Context) Command { return QueryWave{} }))
	api.GET("/jobs", c.query(func(g *gin.Context) Command { return QueryJobs{Tenant: g.Query("tenant")} }))
	api.GET("/explain/:kind/:name", c.query(func(g *gin.Context) Command {
		return Explain{Kind: g.Param("kind"), Name: g.Param("name")}
	}))
	api.GET("/config", c.query(func(*gin.Context) Command { return QueryConfig{} }))
	api.GET("/config/history", c.getHistory)
	api.GET("/config/in-force/:revision", c.getInForce)
	api.PUT("/config", c.putConfig)
	api.POST("/config/validate", c.validateConfig)
	api.POST("/operations", c.postOperation)
	api.POST("/wave", c.postWave)
	api.DELETE("/jobs/:id", c.deleteJob)
	return engine
}

// request posts a command to the control loop and waits for its response.
func (c *Controller) request(ctx context.Context, operator string, command Command) Response {
	return c.send(ctx, Request{Operator: operator, Command: command})
}

func (c *Controller) send(ctx context.Context, request Request) Response {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	reply := make(chan Response, 1)
	request.Reply = reply
	if err := c.loop.Post(ctx, Requested{request}); err != nil {
		return Response{Status: StatusUnavailable, Reason: "overloaded", Detail: "the control loop did not take the request"}
	}
	select {
	case response := <-reply:
		return response
	case <-ctx.Done():
		return Response{Status: StatusUnknown, Reason: "timeout", Detail: "no answer; look at the state before repeating the request"}
	case <-c.stopped:
		return Response{Status: StatusUnknown, Reason: "stopping", Detail: "the controller is shutting down"}
	}
}

var statusCodes = map[Status]int{
	StatusDone: http.StatusOK, StatusInvalid: http.StatusBadRequest, StatusNotFound: http.StatusNotFound,
	StatusConflict: http.StatusConflict, StatusNotActive: http.StatusMisdirectedRequest,
	StatusUnavailable: http.StatusServiceUnavailable, StatusUnknown: http.StatusGatewayTimeout,
}

func respond(g *gin.Context, response Response) {
	if response.ActiveController != "" {
		g.Header(HeaderActiveController, response.ActiveController)
	}
	if response.Status == StatusDone {
		g.JSON(http.StatusOK, response.Value)
		return
	}
	g.JSON(statusCodes[response.Status], ErrorBody{Reason: response.Reason, Detail: response.Detail})
}

func respondInvalid(g *gin.Context, reason, detail string) {
	respond(g, Response{Status: StatusInvalid, Reason: reason, Detail: detail})
}

func (c *Controller) query(command func(*gin.Context) Command) gin.HandlerFunc {
	return func(g *gin.Context) {
		preferActive := g.GetHeader(HeaderPreferActive) == "true"
		respond(g, c.send(g.Request.Context(), Request{Command: command(g), PreferActive: preferActive}))
	}
}

// operatorName returns the name of the operator who makes a change. If it returns false,
// it has sent the response.
func operatorName(g *gin.Context) (string, bool) {
	name := strings.TrimSpace(g.GetHeader(HeaderOperator))
	if name == "" || len(name) > maxOperatorLength {
		respondInvalid(g, "operator", "header "+HeaderOperator+" must name the operator, 1 to 64 characters")
		return "", false
	}
	return name, true
}

func (c *Controller) getHistory(g *gin.Context) {
	history, err := c.performer.history(g.Request.Context())
	if err != nil {
		respond(g, Response{Status: StatusUnavailable, Reason: "store-unreachable", Detail: err.Error()})
		return
	}
	current := c.request(g.Request.Context(), "", QueryConfig{})
	if document, ok := current.Value.(*policy.Document); ok {
		history = history.Record(document)
	}
	g.JSON(http.StatusOK, history.Documents)
}

func (c *Controller) getInForce(g *gin.Context) {
	revision, err := strconv.ParseUint(g.Param("revision"), 10, 63)
	if err != nil {
		respondInvalid(g, "revision", "revision must be a whole number from 1 to 9223372036854775807")
		return
	}
	respond(g, c.request(g.Request.Context(), "", QueryInForce{Revision: policy.Revision(revision)}))
}

func (c *Controller) putConfig(g *gin.Context) {
	name, ok := operatorName(g)
	if !ok {
		return
	}
	base, err := strconv.ParseUint(g.GetHeader("If-Match"), 10, 63)
	if err != nil {
		respondInvalid(g, "base-revision", "header If-Match is "+strconv.Quote(g.GetHeader("If-Match"))+
			", want the revision on which the change is based, a whole number from 0 to 9223372036854775807")
		return
	}
	if document, ok := readDocument(g); ok {
		respond(g, c.request(g.Request.Context(), name, ApplyConfig{Base: policy.Revision(base), Document: document}))
	}
}

func (c *Controller) validateConfig(g *gin.Context) {
	if document, ok := readDocument(g); ok {
		respond(g, c.request(g.Request.Context(), "", ValidateConfig{Document: document}))
	}
}

func readDocument(g *gin.Context) (*policy.Document, bool) {
	data, ok := readBody(g)
	if !ok {
		return nil, false
	}
	document, err := policy.Parse("request body", data)
	if err != nil {
		respondInvalid(g, "invalid-configuration", err.Error())
		return nil, false
	}
	return document, true
}

func readBody(g *gin.Context) ([]byte, bool) {
	data, err := io.ReadAll(http.MaxBytesReader(g.Writer, g.Request.Body, maxDocumentBytes))
	if err != nil {
		g.JSON(http.StatusRequestEntityTooLarge, ErrorBody{Reason: "body-too-large", Detail: "the body must be at most 1 MB"})
		return nil, false
	}
	return data, true
}

// OperationRequest is the body of POST /v1/operations.
type OperationRequest struct {
	Kind       string `json:"kind"` // maintain, drain, move, return
	Worker     string `json:"worker"`
	ToPool     string `json:"to_pool,omitempty"`
	Reason     string `json:"reason,omitempty"`
	IfRevision uint64 `json:"if_revision,omitempty"`
}

func (c *Controller) postOperation(g *gin.Context) {
	name, ok := operatorName(g)
	if !ok {
		return
	}
	var body OperationRequest
	if !bind(g, &body) {
		return
	}
	var command Command
	switch kind := fleet.OperationKind(body.Kind); {
	case body.Kind == "return":
		command = ReturnWorker{Worker: body.Worker}
	case kind == fleet.OperationMove && body.ToPool == "":
		respondInvalid(g, "to-pool", "a move needs to_pool")
		return
	case kind == fleet.OperationMaintain || kind == fleet.OperationDrain || kind == fleet.OperationMove:
		command = StartOperation{Kind: kind, Worker: body.Worker, ToPool: body.ToPool, Reason: body.Reason, IfRevision: body.IfRevision}
	default:
		respondInvalid(g, "kind", "kind "+strconv.Quote(body.Kind)+" is unknown; accepted: maintain, drain, move, return")
		return
	}
	respond(g, c.request(g.Request.Context(), name, command))
}

// WaveRequest is the body of POST /v1/wave.
type WaveRequest struct {
	Action string   `json:"action"` // start, pause, resume, abort
	Pools  []string `json:"pools,omitempty"`
	Reason string   `json:"reason,omitempty"`
}

func (c *Controller) postWave(g *gin.Context) {
	name, ok := operatorName(g)
	if !ok {
		return
	}
	var body WaveRequest
	if !bind(g, &body) {
		return
	}
	switch action := WaveAction(body.Action); action {
	case WaveStart, WavePause, WaveResume, WaveAbort:
		respond(g, c.request(g.Request.Context(), name, ControlWave{Action: action, Pools: body.Pools, Reason: body.Reason}))
	default:
		respondInvalid(g, "action", "action "+strconv.Quote(body.Action)+" is unknown; accepted: start, pause, resume, abort")
	}
}

func (c *Controller) deleteJob(g *gin.Context) {
	if _, ok := operatorName(g); !ok {
		return
	}
	answer := c.cancelAsOperator(g.Request.Context(), g.Param("id"))
	respond(g, answer)
}
