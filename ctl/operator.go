package ctl

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"

	"github.com/waxwingbridge/waxwingbridge/controller"
	"github.com/waxwingbridge/waxwingbridge/fleet"
	"github.com/waxwingbridge/waxwingbridge/policy"
)

// Operator makes typed calls to the controllers on behalf of one operator.
type Operator struct {
	Client *Client
	Name   string
}

// query reads state, from the active controller if possible.
func query[T any](ctx context.Context, o *Operator, path string) (T, error) {
	return call[T](ctx, o, Request{
		Method: http.MethodGet, Path: path, Header: http.Header{controller.HeaderPreferActive: {"true"}},
	})
}

// change sends a request that changes state and must not be repeated blindly.
func change[T any](ctx context.Context, o *Operator, request Request, body any) (T, error) {
	request.NonIdempotent = true
	if request.Header == nil {
		request.Header = http.Header{}
	}
	request.Header[controller.HeaderOperator] = []string{o.Name}
	return send[T](ctx, o, request, body)
}

func send[T any](ctx context.Context, o *Operator, request Request, body any) (T, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return *new(T), err
	}
	request.Body = data
	return call[T](ctx, o, request)
}

func call[T any](ctx context.Context, o *Operator, request Request) (T, error) {
	request.NewValue = func() any { return new(T) }
	value, err := o.Client.Call(ctx, request)
	if err != nil {
		return *new(T), err
	}
	return *value.(*T), nil
}

// Status returns the state of the site and of its controllers.
func (o *Operator) Status(ctx context.Context) (controller.StatusReport, error) {
	return query[controller.StatusReport](ctx, o, "/v1/status")
}

// Pools returns the availability of the pools.
func (o *Operator) Pools(ctx context.Context) ([]controller.PoolReport, error) {
	return query[[]controller.PoolReport](ctx, o, "/v1/pools")
}

// Workers returns the workers of a pool, or of all pools if the name is empty.
func (o *Operator) Workers(ctx context.Context, pool string) ([]controller.WorkerReport, error) {
	return query[[]controller.WorkerReport](ctx, o, "/v1/vms?pool="+url.QueryEscape(pool))
}

// Wave returns the progress of the wave.
func (o *Operator) Wave(ctx context.Context) (controller.WaveReport, error) {
	return query[controller.WaveReport](ctx, o, "/v1/wave")
}

// Jobs returns the jobs of a tenant, or of all tenants if the name is empty.
func (o *Operator) Jobs(ctx context.Context, tenant string) ([]controller.JobReport, error) {
	return query[[]controller.JobReport](ctx, o, "/v1/jobs?tenant="+url.QueryEscape(tenant))
}

// Explain returns the reason for the last decision about a worker or a job.
func (o *Operator) Explain(ctx context.Context, kind, name string) (controller.Explanation, error) {
	return query[controller.Explanation](ctx, o, "/v1/explain/"+url.PathEscape(kind)+"/"+url.PathEscape(name))
}

// StartOperation starts an operation on a worker or returns it to service.
func (o *Operator) StartOperation(ctx context.Context, body controller.OperationRequest) (controller.OperationStarted, error) {
	return change[controller.OperationStarted](ctx, o, Request{Method: http.MethodPost, Path: "/v1/operations"}, body)
}

// ControlWave starts, pauses, resumes or aborts the wave.
func (o *Operator) ControlWave(ctx context.Context, body controller.WaveRequest) (fleet.Wave, error) {
	return change[fleet.Wave](ctx, o, Request{Method: http.MethodPost, Path: "/v1/wave"}, body)
}

// CancelJob cancels a job and returns its state.
func (o *Operator) CancelJob(ctx context.Context, id string) (controller.JobReport, error) {
	return change[controller.JobReport](ctx, o, Request{Method: http.MethodDelete, Path: "/v1/jobs/" + url.PathEscape(id)}, struct{}{})
}

// History returns the retained configuration documents, oldest first.
func (o *Operator) History(ctx context.Context) ([]policy.Document, error) {
	return query[[]policy.Document](ctx, o, "/v1/config/history")
}

// Validate checks a document against the live fleet.
func (o *Operator) Validate(ctx context.Context, document *policy.Document) (controller.ConfigValid, error) {
	data, err := policy.Encode(document)
	if err != nil {
		return controller.ConfigValid{}, err
	}
	return call[controller.ConfigValid](ctx, o, Request{Method: http.MethodPost, Path: "/v1/config/validate", Body: data})
}

// Apply replaces the base revision with the document. It fails with a conflict if
// the base is not the revision in force.
func (o *Operator) Apply(ctx context.Context, base policy.Revision, document *policy.Document) (controller.ConfigAccepted, error) {
	data, err := policy.Encode(document)
	if err != nil {
		return controller.ConfigAccepted{}, err
	}
	request := Request{
		Method: http.MethodPut, Path: "/v1/config", Body: data, NonIdempotent: true,
		Header: http.Header{"If-Match": {strconv.FormatUint(uint64(base), 10)}, controller.HeaderOperator: {o.Name}},
	}
	return call[controller.ConfigAccepted](ctx, o, request)
}
