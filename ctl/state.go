// Package ctl is the client side of the controllers' HTTP API for operators. It
// chooses the controller for a call, polls until a configuration change is in
// force and formats responses. State decides; Client performs the HTTP requests.
package ctl

import (
	"net/http"
	"time"

	"github.com/waxwingbridge/waxwingbridge/controller"
	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/policy"
	"github.com/waxwingbridge/waxwingbridge/table"
)

const (
	// maxControllers limits the controllers known, including those learned from
	// redirects.
	maxControllers = 16
	// pollInterval is the pause between two polls whether a revision is in force.
	pollInterval = 250 * time.Millisecond
)

// Request is a call to a controller.
type Request struct {
	Method string
	Path   string // including the query
	Header http.Header
	Body   []byte
	// NonIdempotent marks a call that must not be retried once a controller may
	// have executed it.
	NonIdempotent bool
	// NewValue returns the value into which a successful response is decoded.
	NewValue func() any
}

// Response is the response of a controller.
type Response struct {
	Controller string // base URL
	Status     int
	Value      any                  // for status 200
	Refusal    controller.ErrorBody // for any other status
	// Active is the base URL of the active controller, for status 421.
	Active string
}

// Failure is an attempt that got no response.
type Failure struct {
	Controller string
	NotSent    bool // the request cannot have been executed
	Err        error
}

type controllerRow struct{ address string }

type callRow struct {
	request    Request
	reply      chan<- result
	wait       table.ID // wait on whose behalf the call polls, or zero
	inFlight   bool
	redirectTo table.ID // active controller named by the last response, or zero
	tried      map[table.ID]bool
	failures   []Failure
	refusal    *Response // last error response after which another controller is tried
	outcome    *result

	unavailable table.ID // controller that last responded with status 503
}

type result struct {
	response Response
	failures []Failure
	unknown  bool // a controller may have executed the call
}

type waitRow struct {
	revision     policy.Revision
	deadline     time.Time
	pollAt       time.Time
	pollInFlight bool
	last         WaitResult
	reply        chan<- WaitResult
}

// WaitResult is the result of a wait for a configuration revision.
type WaitResult struct {
	Reached bool // the revision is in force in every process
	// Known is false if no controller responded to a poll.
	Known   bool
	Lagging []controller.LaggingReport
}

// State holds the calls and waits of one invocation of waxwingctl.
type State struct {
	controllers     table.Table[controllerRow]
	controllerIndex table.Index[string]
	preferred       table.ID // controller whose response last ended a call
	calls           table.Table[callRow]
	waits           table.Table[waitRow]

	Out Outbound
}

// Outbound holds the effects of a tick.
type Outbound struct {
	Attempts    table.Outbound[Attempt]
	Results     table.Outbound[finishedCall]
	WaitResults table.Outbound[finishedWait]
}

// Attempt is one HTTP request of a call to one controller.
type Attempt struct {
	Call       table.ID
	Controller string
	Request    Request
}

type finishedCall struct {
	reply  chan<- result
	result result
}

type finishedWait struct {
	reply  chan<- WaitResult
	result WaitResult
}

// NewState returns a state with the base URLs of the controllers, which are tried
// in this order.
func NewState(controllers ...string) *State {
	s := &State{}
	for _, address := range controllers {
		s.controller(address)
	}
	return s
}

// controller returns the row of the base URL and inserts it if there are fewer
// than maxControllers.
func (s *State) controller(address string) (table.ID, bool) {
	if id, ok := s.controllerIndex.Get(address); ok {
		return id, true
	}
	if s.controllers.Len() >= maxControllers {
		return 0, false
	}
	id := s.controllers.Insert(controllerRow{address})
	s.controllerIndex.Put(address, id)
	return id, true
}

// Event is an input of the state.
type Event interface{ apply(*State, engine.Tick) }

type (
	// Called starts a call.
	Called struct {
		Request Request
		reply   chan<- result
	}
	// Awaited starts a wait for a configuration revision.
	Awaited struct {
		Revision policy.Revision
		Timeout  time.Duration
		reply    chan<- WaitResult
	}
	// Answered ends an Attempt with a response.
	Answered struct {
		Call     table.ID
		Response Response
	}
	// Failed ends an Attempt without a response.
	Failed struct {
		Call    table.ID
		Failure Failure
	}
)

func (e Called) apply(s *State, _ engine.Tick) {
	s.calls.Insert(callRow{request: e.Request, reply: e.reply, tried: map[table.ID]bool{}})
}

func (e Awaited) apply(s *State, tick engine.Tick) {
	s.waits.Insert(waitRow{revision: e.Revision, deadline: tick.Now.Add(e.Timeout), pollAt: tick.Now, reply: e.reply})
}

func (e Answered) apply(s *State, _ engine.Tick) {
	call := s.calls.Get(e.Call)
	if call == nil {
		return
	}
	call.inFlight = false
	switch e.Response.Status {
	case http.StatusMisdirectedRequest:
		s.redirect(call, &e.Response)
	case http.StatusServiceUnavailable: // the call was not executed
		call.refusal = &e.Response
		call.unavailable, _ = s.controller(e.Response.Controller)
	default:
		s.preferred, _ = s.controller(e.Response.Controller)
		call.outcome = &result{response: e.Response}
	}
}

// redirect handles a response of a standby controller. If the active controller
// it names has already responded with status 503, that refusal is kept, because it
// is more specific than the standby's.
func (s *State) redirect(call *callRow, response *Response) {
	if response.Active == "" {
		call.refusal = response // no controller is active
		return
	}
	active, ok := s.controller(response.Active)
	if ok && active == call.unavailable {
		return
	}
	call.refusal = response
	if ok {
		call.redirectTo = active
	}
}

func (e Failed) apply(s *State, _ engine.Tick) {
	call := s.calls.Get(e.Call)
	if call == nil {
		return
	}
	call.inFlight = false
	call.failures = append(call.failures, e.Failure)
	if call.request.NonIdempotent && !e.Failure.NotSent {
		call.outcome = &result{failures: call.failures, unknown: true}
	}
}
