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
	// callTimeout is longer than a controller takes to answer (12 s).
	callTimeout    = 15 * time.Second
	maxAnswerBytes = 64 << 20
)

// Client performs calls. Its control loop owns the State; each HTTP call runs on
// a goroutine of its own.
type Client struct {
	loop    *engine.Loop[State, Event]
	http    *http.Client
	ctx     context.Context
	stop    context.CancelFunc
	running sync.WaitGroup
}

// NewClient starts a client of the controllers with the base URLs. Close ends it.
func NewClient(controllers ...string) *Client {
	c := &Client{http: &http.Client{
		Transport:     &http.Transport{},
		Timeout:       callTimeout,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
	c.ctx, c.stop = context.WithCancel(context.Background())
	bases := make([]string, len(controllers))
	for i, address := range controllers {
		bases[i] = strings.TrimRight(address, "/")
	}
	c.loop = engine.NewLoop(engine.Program[State, Event]{
		Apply:        func(s *State, tick engine.Tick, event Event) { event.apply(s, tick) },
		Systems:      Systems(),
		Flush:        c.flush,
		NextDeadline: NextDeadline,
	}, NewState(bases...), inboxSize)
	c.running.Go(func() { c.loop.Run(c.ctx) })
	return c
}

// Close ends the calls in progress.
func (c *Client) Close() {
	c.stop()
	c.running.Wait()
	c.http.CloseIdleConnections()
}

func (c *Client) flush(s *State, _ engine.Tick) {
	s.Out.Attempts.Drain(func(e Attempt) {
		c.running.Go(func() { _ = c.loop.Post(c.ctx, c.perform(e)) }) // fails only at the end
	})
	s.Out.Results.Drain(func(e finished) { e.reply <- e.result })
	s.Out.WaitResults.Drain(func(e settled) { e.reply <- e.result })
}

// Call performs the request and returns the decoded value of its answer. A
// refusal is a *RefusedError, a missing answer an *UnreachableError.
func (c *Client) Call(ctx context.Context, request Request) (any, error) {
	reply := make(chan result, 1)
	if err := c.loop.Post(ctx, Called{Request: request, reply: reply}); err != nil {
		return nil, err
	}
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case outcome := <-reply:
		return outcome.value()
	}
}

// AwaitInForce waits until every process holds the configuration revision or
// the timeout has passed.
func (c *Client) AwaitInForce(ctx context.Context, revision policy.Revision, timeout time.Duration) (WaitResult, error) {
	reply := make(chan WaitResult, 1)
	if err := c.loop.Post(ctx, Awaited{Revision: revision, Timeout: timeout, reply: reply}); err != nil {
		return WaitResult{}, err
	}
	select {
	case <-ctx.Done():
		return WaitResult{}, ctx.Err()
	case outcome := <-reply:
		return outcome, nil
	}
}

func (c *Client) perform(e Attempt) Event {
	reply, failure := c.exchange(e)
	if failure != nil {
		return Failed{Call: e.Call, Failure: *failure}
	}
	return Answered{Call: e.Call, Response: reply}
}

func (c *Client) exchange(e Attempt) (Response, *Failure) {
	request, err := http.NewRequestWithContext(c.ctx, e.Request.Method, e.Controller+e.Request.Path, strings.NewReader(string(e.Request.Body)))
	if err != nil {
		return Response{}, &Failure{Controller: e.Controller, NotSent: true, Err: err}
	}
	for name, values := range e.Request.Header {
		request.Header[name] = values
	}
	response, err := c.http.Do(request)
	if err != nil {
		var dial *net.OpError
		return Response{}, &Failure{Controller: e.Controller, NotSent: errors.As(err, &dial) && dial.Op == "dial", Err: err}
	}
	defer response.Body.Close()
	reply := Response{Controller: e.Controller, Status: response.StatusCode}
	if active := response.Header.Get(controller.HeaderActiveController); active != "" {
		reply.Active = "http://" + active
	}
	if err := decodeReply(&reply, e.Request.NewValue, response); err != nil {
		return Response{}, &Failure{Controller: e.Controller, Err: err}
	}
	return reply, nil
}

func decodeReply(reply *Response, newValue func() any, response *http.Response) error {
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return err
	}
	if reply.Status != http.StatusOK {
		if json.Unmarshal(data, &reply.Refusal) != nil || reply.Refusal.Reason == "" {
			reply.Refusal = controller.ErrorBody{Reason: response.Status, Detail: "the answer does not come from a controller"}
		}
		return nil
	}
	reply.Value = newValue()
	if err := json.Unmarshal(data, reply.Value); err != nil {
		return errors.Newf("malformed answer: %w", err)
	}
	return nil
}
