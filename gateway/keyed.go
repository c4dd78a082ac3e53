package gateway

import (
	"context"

	"github.com/waxwingbridge/waxwingbridge/exchange"
	"github.com/waxwingbridge/waxwingbridge/gateway/traffic"
	"github.com/waxwingbridge/waxwingbridge/outcome"
	"github.com/waxwingbridge/waxwingbridge/peerapi"
	"github.com/waxwingbridge/waxwingbridge/routing"
)

// peerForwarder forwards keyed requests to their homes over the peer exchange.
type peerForwarder struct{ exchange *exchange.Exchange }

// ExecuteKeyed implements KeyForwarder. The outcome from the peer exchange already
// tells whether the request was sent, so the error is always nil.
func (f peerForwarder) ExecuteKeyed(ctx context.Context, address string, submission *traffic.Submission) (traffic.Result, error) {
	response := f.exchange.ExecuteKeyed(ctx, address, peerapi.KeyedRequest{
		Key: submission.Key, Tenant: submission.Tenant, Class: submission.Class.String(), Pool: submission.Pool,
		Method: submission.Message.Method, Path: submission.Message.Path, Headers: toPeerHeaders(submission.Message.Headers),
		Body: submission.Message.Body, Timeout: submission.Timeout, Idempotent: submission.Idempotent,
	})
	result := traffic.Result{Outcome: response.Outcome, Replayed: response.Replayed}
	if response.Outcome.Kind == outcome.Completed {
		result.Response = &traffic.Response{StatusCode: response.Status, Headers: fromPeerHeaders(response.Headers), Body: response.Body}
	}
	return result, nil
}

// keyedHandler serves the requests that other gateways forward.
type keyedHandler struct{ gateway *Gateway }

// ExecuteKeyed implements exchange.KeyedHandler.
func (h keyedHandler) ExecuteKeyed(ctx context.Context, request peerapi.KeyedRequest) peerapi.KeyedResponse {
	class, err := routing.ParseClass(request.Class)
	if err != nil {
		return peerapi.KeyedResponse{Outcome: outcome.NotRunBecause(outcome.ReasonBadRequest)}
	}
	result := h.gateway.proxy.ExecuteKeyed(ctx, &traffic.Submission{
		RequestID: h.gateway.proxy.requestID(), Pool: request.Pool, Tenant: request.Tenant, Class: class, Timeout: request.Timeout,
		Idempotent: request.Idempotent, Key: request.Key,
		Message: &traffic.Message{
			Method: request.Method, Path: request.Path, Headers: fromPeerHeaders(request.Headers), Body: request.Body,
		},
	})
	response := peerapi.KeyedResponse{Outcome: result.Outcome, Replayed: result.Replayed}
	if result.Response != nil {
		response.Status, response.Body = result.Response.StatusCode, result.Response.Body
		response.Headers = toPeerHeaders(result.Response.Headers)
	}
	return response
}

func toPeerHeaders(headers traffic.Headers) []peerapi.Header {
	var flat []peerapi.Header
	for name, values := range headers {
		for _, value := range values {
			flat = append(flat, peerapi.Header{Name: name, Value: value})
		}
	}
	return flat
}

func fromPeerHeaders(flat []peerapi.Header) traffic.Headers {
	headers := make(traffic.Headers, len(flat))
	for _, header := range flat {
		headers[header.Name] = append(headers[header.Name], header.Value)
	}
	return headers
}
