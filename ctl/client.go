package ctl

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/waxwingbridge/waxwingbridge/controller"
	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/policy"
)

const (
	inboxSize = 64
	// callTimeout exceeds the 12 s within which a controller responds.
	callTimeout      = 15 * time.Second
	maxResponseBytes = 64 << 20
)

// Client performs calls to controllers over HTTP. Its control loop owns the
// State; each HTTP request runs on its own goroutine.
type Client struct {
	loop    *engine.Loop[State, Event]
	http    *http.Client
	ctx     context.Context
	stop    context.CancelFunc
	running sync.WaitGroup
}

// NewClient starts a client of the controllers at the given base URLs. The
// caller must Close it.
func NewClient(controllers ...string) *Client {
	c := &Client{http: &http.Client{
		Transport:     &http.Transport{},
		Timeout:       callTimeout,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
	c.ctx, c.stop = context.WithCancel(context.Background())
	baseURLs := make([]string, len(controllers))
	for i, address := range controllers {
		baseURLs[i] = strings.TrimRight(address, "/")
	}
	c.loop = engine.NewLoop(engine.Program[State, Event]{
		Apply:        func(s *State, tick engine.Tick, event Event) { event.apply(s, tick) },
		Systems:      Systems(),
		Flush:        c.flush,
		NextDeadline: NextDeadline,
	}, NewState(baseURLs...), inboxSize)
	c.running.Go(func() { c.loop.Run(c.ctx) })
	return c
}

// Close cancels the calls in progress and waits for their goroutines.
func (c *Client) Close() {
	c.stop()
	c.running.Wait()
	c.http.CloseIdleConnections()
}

func (c *Client) flush(s *State, _ engine.Tick) {
	s.Out.Attempts.Drain(func(e Attempt) {
		c.running.Go(func() { _ = c.loop.Post(c.ctx, c.perform(e)) }) // Post fails only after Close
	})
	s.Out.Results.Drain(func(e finishedCall) { e.reply <- e.result })
	s.Out.WaitResults.Drain(func(e finishedWait) { e.reply <- e.result })
}

// Call performs the request and returns the decoded value of the response. It
// fails with a *RefusedError if a controller refused the request, and with an
// *UnreachableError if none responded.
func (c *Client) Call(ctx context.Context, request Request) (any, error) {
	reply := make(chan result, 1)
	if err := c.loop.Post(ctx, Called{Request: request, reply: reply}); err != nil {
		return nil, err
	}
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case r := <-reply:
		return r.value()
	}
}

// AwaitInForce waits until every process has the configuration revision in force
// or the timeout has passed.
func (c *Client) AwaitInForce(ctx context.Context, revision policy.Revision, timeout time.Duration) (WaitResult, error) {
	reply := make(chan WaitResult, 1)
	if err := c.loop.Post(ctx, Awaited{Revision: revision, Timeout: timeout, reply: reply}); err != nil {
		return WaitResult{}, err
	}
	select {
	case <-ctx.Done():
		return WaitResult{}, ctx.Err()
	case r := <-reply:
		return r, nil
	}
}

func (c *Client) perform(e Attempt) Event {
	response, failure := c.roundTrip(e)
	if failure != nil {
		return Failed{Call: e.Call, Failure: *failure}
	}
	return Answered{Call: e.Call, Response: response}
}

func (c *Client) roundTrip(e Attempt) (Response, *Failure) {
	request, err := http.NewRequestWithContext(c.ctx, e.Request.Method, e.Controller+e.Request.Path, strings.NewReader(string(e.Request.Body)))
	if err != nil {
		return Response{}, &Failure{Controller: e.Controller, NotSent: true, Err: err}
	}
	for name, values := range e.Request.Header {
		request.Header[name] = values
	}
	httpResponse, err := c.http.Do(request)
	if err != nil {
		var opError *net.OpError
		return Response{}, &Failure{Controller: e.Controller, NotSent: errors.As(err, &opError) && opError.Op == "dial", Err: err}
	}
	defer httpResponse.Body.Close()
	response := Response{Controller: e.Controller, Status: httpResponse.StatusCode}
	if active := httpResponse.Header.Get(controller.HeaderActiveController); active != "" {
		response.Active = "http://" + active
	}
	if err := decodeResponse(&response, e.Request.NewValue, httpResponse); err != nil {
		return Response{}, &Failure{Controller: e.Controller, Err: err}
	}
	return response, nil
}

func decodeResponse(response *Response, newValue func() any, httpResponse *http.Response) error {
	data, err := io.ReadAll(io.LimitReader(httpResponse.Body, maxResponseBytes))
	if err != nil {
		return err
	}
	if response.Status != http.StatusOK {
		if json.Unmarshal(data, &response.Refusal) != nil || response.Refusal.Reason == "" {
			response.Refusal = controller.ErrorBody{Reason: httpResponse.Status, Detail: "the answer does not come from a controller"}
		}
		return nil
	}
	response.Value = newValue()
	if err := json.Unmarshal(data, response.Value); err != nil {
		return errors.Newf("malformed answer: %w", err)
	}
	return nil
}
