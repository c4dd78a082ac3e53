package ctl

import (
	"fmt"
	"net/http"
	"time"

	"github.com/waxwingbridge/waxwingbridge/controller"
	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/table"
)

// Systems lists the systems in the order in which they run.
func Systems() []engine.System[State] {
	return []engine.System[State]{
		{Name: "poll waits", Run: pollWaits},
		{Name: "route calls", Run: routeCalls},
		{Name: "finish calls", Run: finishCalls},
		{Name: "finish waits", Run: finishWaits},
	}
}

// NextDeadline returns the time of the next poll or wait time-out, or zero if
// there is no wait.
func NextDeadline(s *State) time.Time {
	var next time.Time
	for _, wait := range s.waits.All() {
		at := wait.deadline
		if !wait.pollInFlight && wait.pollAt.Before(at) {
			at = wait.pollAt
		}
		if next.IsZero() || at.Before(next) {
			next = at
		}
	}
	return next
}

// pollWaits starts calls that ask which processes lack an awaited revision.
func pollWaits(s *State, tick engine.Tick) {
	for id, wait := range s.waits.All() {
		if wait.pollInFlight || tick.Now.Before(wait.pollAt) {
			continue
		}
		wait.pollInFlight = true
		s.calls.Insert(callRow{
			request: Request{
				Method: http.MethodGet, Path: fmt.Sprintf("/v1/config/in-force/%d", wait.revision),
				NewValue: func() any { return new(controller.InForceReport) },
			},
			wait: id, tried: map[table.ID]bool{},
		})
	}
}

// routeCalls sends each call to one controller at a time: to the one named by a
// redirect, then to the preferred one, then to the others in their order. A call
// that has tried all of them ends.
func routeCalls(s *State, _ engine.Tick) {
	for id, call := range s.calls.All() {
		if call.inFlight || call.outcome != nil {
			continue
		}
		chosen := s.nextController(call)
		if chosen == 0 {
			call.outcome = exhaustedResult(call)
			continue
		}
		call.inFlight, call.redirectTo = true, 0
		call.tried[chosen] = true
		s.Out.Attempts.Add(Attempt{Call: id, Controller: s.controllers.Get(chosen).address, Request: call.request})
	}
}

// nextController returns the next controller that the call has not tried, or zero.
func (s *State) nextController(call *callRow) table.ID {
	for _, id := range []table.ID{call.redirectTo, s.preferred} {
		if id != 0 && !call.tried[id] {
			return id
		}
	}
	for id := range s.controllers.All() {
		if !call.tried[id] {
			return id
		}
	}
	return 0
}

func exhaustedResult(call *callRow) *result {
	r := &result{failures: call.failures}
	if call.refusal != nil {
		r.response = *call.refusal
	}
	return r
}

// finishCalls returns the results of ended calls to their callers and waits.
func finishCalls(s *State, tick engine.Tick) {
	for id, call := range s.calls.All() {
		if call.outcome == nil {
			continue
		}
		if wait := s.waits.Get(call.wait); wait != nil {
			wait.pollInFlight, wait.pollAt = false, tick.Now.Add(pollInterval)
			if report, ok := call.outcome.response.Value.(*controller.InForceReport); ok {
				wait.last = WaitResult{Reached: len(report.Lagging) == 0, Known: true, Lagging: report.Lagging}
			}
		}
		if call.reply != nil {
			s.Out.Results.Add(finishedCall{call.reply, *call.outcome})
		}
		s.calls.Delete(id)
	}
}

// finishWaits ends the waits whose revision is in force and those that timed out.
func finishWaits(s *State, tick engine.Tick) {
	for id, wait := range s.waits.All() {
		if wait.last.Reached || !tick.Now.Before(wait.deadline) {
			s.Out.WaitResults.Add(finishedWait{wait.reply, wait.last})
			s.waits.Delete(id)
		}
	}
}
