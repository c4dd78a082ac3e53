// Package ctl is the operators' side of the HTTP interface of the controllers:
// it chooses the controller for a call, follows changes until they are in force
// and formats answers. Its State holds the decisions; Client performs the calls.
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
	// maxControllers bounds the controllers that redirects can add.
	maxControllers = 16
	// pollInterval is the pause between two questions whether a change is in force.
	pollInterval = 250 * time.Millisecond
)

// Request is a call to a controller.
type Request struct {
	Method string
	Path   string // with the query
	Header http.Header
	Body   []byte
	// NonIdempotent marks a call that must not be repeated once a controller may have
	// executed it.
	NonIdempotent bool
	// NewValue returns the value that a successful answer is decoded into.
	NewValue func() any
}

// Response is the answer of a controller.
type Response struct {
	Controller string // base URL
	Status     int
	Value      any                  // for status 200
	Refusal    controller.ErrorBody // for any other status
	// Active is the base URL of the active controller, for status 421.
	Active string
}

// Failure is a call without an answer.
type Failure struct {
	Controller string
	NotSent    bool // provably not executed
	Err        error
}

type controllerRow struct{ address string }

type callRow struct {
	request  Request
	reply    chan<- result
	wait     table.ID // of the wait that asks; zero for others
	sending  bool
	next     table.ID // controller that a redirect names
	tried    map[table.ID]bool
	failures []Failure
	refusal  *Response // last answer with which another controller may still help
	outcome  *result

	unavailable table.ID // controller that gave the last answer of status 503
}

type result struct {
	reply    Response
	failures []Failure
	unknown  bool // the call may have been executed
}

type waitRow struct {
	revision policy.Revision
	deadline time.Time
	pollAt   time.Time
	asking   bool
	last     WaitResult
	reply    chan<- WaitResult
}

// WaitResult is the end of a wait for a configuration revision.
type WaitResult struct {
	Reached bool
	// Known is false if no controller answered the question.
	Known   bool
	Lagging []controller.LaggingReport
}

// State holds the calls and waits of one run of the command line.
type State struct {
	controllers     table.Table[controllerRow]
	controllerIndex table.Index[string]
	preferred       table.ID // answered last
	calls           table.Table[callRow]
	waits           table.Table[waitRow]

	Out Outbound
}

// Outbound holds the effects of a tick.
type Outbound struct {
	Attempts    table.Outbound[Attempt]
	Results     table.Outbound[finished]
	WaitResults table.Outbound[settled]
}

// Attempt asks for one HTTP call.
type Attempt struct {
	Call       table.ID
	Controller string
	Request    Request
}

type finished struct {
	reply  chan<- result
	result result
}

type settled struct {
	reply  chan<- WaitResult
	result WaitResult
}

// NewState returns a state that knows the controllers, in the order in which
// they are tried.
func NewState(controllers ...string) *State {
	s := &State{}
	for _, address := range controllers {
		s.controller(address)
	}
	return s
}

// controller returns the row of the base URL and makes it if there is room.
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
	// Answered ends a Send with an answer.
	Answered struct {
		Call     table.ID
		Response Response
	}
	// Failed ends a Send without an answer.
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
	call.sending = false
	switch e.Response.Status {
	case http.StatusMisdirectedRequest:
		s.redirect(call, &e.Response)
	case http.StatusServiceUnavailable: // not executed
		call.refusal = &e.Response
		call.unavailable, _ = s.controller(e.Response.Controller)
	default:
		s.preferred, _ = s.controller(e.Response.Controller)
		call.outcome = &result{reply: e.Response}
	}
}

// redirect follows a reply of a controller that is not active. The refusal of
// the active controller tells more than that of a standby and is kept.
func (s *State) redirect(call *callRow, reply *Response) {
	if reply.Active == "" {
		call.refusal = reply // no controller is active
		return
	}
	active, ok := s.controller(reply.Active)
	if ok && active == call.unavailable {
		return
	}
	call.refusal = reply
	if ok {
		call.next = active
	}
}

func (e Failed) apply(s *State, _ engine.Tick) {
	call := s.calls.Get(e.Call)
	if call == nil {
		return
	}
	call.sending = false
	call.failures = append(call.failures, e.Failure)
	if call.request.NonIdempotent && !e.Failure.NotSent {
		call.outcome = &result{failures: call.failures, unknown: true}
	}
}
