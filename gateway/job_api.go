package gateway

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/waxwingbridge/waxwingbridge/node"
	"github.com/waxwingbridge/waxwingbridge/outcome"
	"github.com/waxwingbridge/waxwingbridge/peerapi"
)

const (
	jobTimeout   = 8 * time.Second // above the time that a submission waits for its page
	maxRedirects = 2
)

// JobRequest is the JSON body of POST /v1/jobs.
type JobRequest struct {
	ID               string `json:"id"` // empty lets the gateway choose one
	Pool             string `json:"pool"`
	Class            string `json:"class"` // urgent, quick or long; default long
	Family           string `json:"family"`
	MilliCores       uint32 `json:"milli_cores"`
	MemoryMB         uint32 `json:"memory_mb"`
	Accelerators     uint32 `json:"accelerators"`
	RunTimeMS        int64  `json:"run_time_ms"`
	Idempotent       bool   `json:"idempotent"`
	Checkpointable   bool   `json:"checkpointable"`
	Payload          string `json:"payload"`
	Priority         int32  `json:"priority"`
	AvailabilityZone string `json:"availability_zone"`
	SpreadRacks      bool   `json:"spread_racks"`
}

// JobResponse is the JSON body of every answer about a job.
type JobResponse struct {
	ID       string `json:"id"`
	Outcome  string `json:"outcome"`
	Reason   string `json:"reason,omitempty"`
	State    string `json:"state,omitempty"`
	Detail   string `json:"detail,omitempty"`
	Worker   string `json:"worker,omitempty"`
	Attempts uint32 `json:"attempts"`
	// Header or Field, Value and Accepted name the cause of a bad request, if one
	// value is at fault.
	Header   string `json:"header,omitempty"`
	Field    string `json:"field,omitempty"`
	Value    string `json:"value,omitempty"`
	Accepted string `json:"accepted,omitempty"`
}

func (g *Gateway) jobHandler() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	router := gin.New()
	router.Use(gin.Recovery())
	router.HandleMethodNotAllowed = true
	router.NoRoute(func(c *gin.Context) {
		refuseJob(c, jobRefusal{status: http.StatusNotFound, detail: "no such path; jobs are at /v1/jobs and /v1/jobs/{id}"})
	})
	router.NoMethod(func(c *gin.Context) {
		refuseJob(c, jobRefusal{
			status: http.StatusMethodNotAllowed,
			detail: fmt.Sprintf("method %q is not accepted; POST /v1/jobs, GET and DELETE /v1/jobs/{id} are", c.Request.Method),
		})
	})
	router.POST("/v1/jobs", g.submitJob)
	router.GET("/v1/jobs/:id", g.jobByID(g.exchange.GetJob))
	router.DELETE("/v1/jobs/:id", g.jobByID(g.exchange.CancelJob))
	return router
}

func (g *Gateway) submitJob(c *gin.Context) {
	tenant, ok := jobTenant(c)
	if !ok {
		return
	}
	request, refused := readJob(c)
	if refused == nil {
		refused = request.check()
	}
	if refused != nil {
		refuseJob(c, *refused)
		return
	}
	job := request.submission(tenant)
	if job.ID == "" {
		job.ID = node.NewIncarnation()
	}
	g.callJob(c, job.ID, func(ctx context.Context, address string) peerapi.JobResponse {
		return g.exchange.SubmitJob(ctx, address, job)
	})
}

func (r *JobRequest) submission(tenant string) peerapi.JobSubmission {
	return peerapi.JobSubmission{
		ID: r.ID, Tenant: tenant, Pool: r.Pool, Class: r.Class, Family: r.Family, MilliCores: r.MilliCores, MemoryMB: r.MemoryMB,
		Accelerators: r.Accelerators, RunTime: time.Duration(r.RunTimeMS) * time.Millisecond, Idempotent: r.Idempotent,
		Checkpointable: r.Checkpointable, Payload: r.Payload, Priority: r.Priority, AvailabilityZone: r.AvailabilityZone,
		SpreadRacks: r.SpreadRacks,
	}
}

func (g *Gateway) jobByID(call func(context.Context, string, peerapi.JobReference) peerapi.JobResponse) gin.HandlerFunc {
	return func(c *gin.Context) {
		tenant, ok := jobTenant(c)
		if !ok {
			return
		}
		reference := peerapi.JobReference{ID: c.Param("id"), Tenant: tenant}
		g.callJob(c, reference.ID, func(ctx context.Context, address string) peerapi.JobResponse {
			return call(ctx, address, reference)
		})
	}
}

// callJob calls the active controller and follows a redirect to another one. A
// call that was not run may be repeated there.
func (g *Gateway) callJob(c *gin.Context, id string, call func(context.Context, string) peerapi.JobResponse) {
	ctx, cancel := context.WithTimeout(c.Request.Context(), jobTimeout)
	defer cancel()
	address := g.published.Load().activeController
	answer := peerapi.JobResponse{ID: id, Outcome: outcome.NotRunBecause(outcome.ReasonNoController)}
	for range maxRedirects {
		if address == "" {
			break
		}
		answer = call(ctx, address)
		if answer.Outcome.Kind != outcome.NotRun || answer.ActiveController == "" || answer.ActiveController == address {
			break
		}
		address = answer.ActiveController
	}
	writeJob(c, jobStatus(answer.Outcome), JobResponse{
		ID: id, Outcome: answer.Outcome.Kind.String(), Reason: string(answer.Outcome.Reason), State: answer.State,
		Detail: jobDetail(answer), Worker: answer.Worker, Attempts: answer.Attempts,
	})
}

func jobStatus(result outcome.Outcome) int {
	switch {
	case result.Kind == outcome.Completed:
		return http.StatusOK
	case result.Kind == outcome.Unknown:
		return http.StatusBadGateway
	case result.Reason == "not-found":
		return http.StatusNotFound
	case result.Reason == outcome.ReasonQuota:
		return http.StatusTooManyRequests
	case result.Reason == outcome.ReasonNoController || result.Reason == outcome.ReasonNotDurable || result.Reason == outcome.ReasonUnreachable:
		return http.StatusServiceUnavailable
	default:
		return http.StatusUnprocessableEntity
	}
}
