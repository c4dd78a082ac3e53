package ctl

import (
	"fmt"
	"net/http"
	"time"

	"github.com/waxwingbridge/waxwingbridge/controller"
	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/table"
)

// Systems lists the systems of the command line in the order in which they run.
func Systems() []engine.System[State] {
	return []engine.System[State]{
		{Name: "poll waits", Run: pollWaits},
		{Name: "route calls", Run: routeCalls},
		{Name: "finish calls", Run: finishCalls},
		{Name: "settle waits", Run: settleWaits},
	}
}

// NextDeadline returns the moment of the next poll or end of a wait.
func NextDeadline(s *State) time.Time {
	var next time.Time
	for _, wait := range s.waits.All() {
		at := wait.deadline
		if !wait.asking && wait.pollAt.Before(at) {
			at = wait.pollAt
		}
		if next.IsZero() || at.Before(next) {
			next = at
		}
	}
	return next
}

// pollWaits asks which processes lack the revision.
func pollWaits(s *State, tick engine.Tick) {
	for id, wait := range s.waits.All() {
		if wait.asking || tick.Now.Before(wait.pollAt) {
			continue
		}
		wait.asking = true
		s.calls.Insert(callRow{
			request: Request{
				Method: http.MethodGet, Path: fmt.Sprintf("/v1/config/in-force/%d", wait.revision),
				NewValue: func() any { return new(controller.InForceReport) },
			},
			wait: id, tried: map[table.ID]bool{},
		})
	}
}

// routeCalls sends each call to one controller at a time: to the one that a
// redirect names, then to the one that answered last, then to the others in
// their order. A call that no controller is left for ends.
func routeCalls(s *State, _ engine.Tick) {
	for id, call := range s.calls.All() {
		if call.sending || call.outcome != nil {
			continue
		}
		target := s.untried(call)
		if target == 0 {
			call.outcome = exhausted(call)
			continue
		}
		call.sending, call.next = true, 0
		call.tried[target] = true
		s.Out.Attempts.Add(Attempt{Call: id, Controller: s.controllers.Get(target).address, Request: call.request})
	}
}

func (s *State) untried(call *callRow) table.ID {
	for _, id := range []table.ID{call.next, s.preferred} {
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

func exhausted(call *callRow) *result {
	outcome := &result{failures: call.failures}
	if call.refusal != nil {
		outcome.reply = *call.refusal
	}
	return outcome
}

// finishCalls hands ended calls to whoever made them.
func finishCalls(s *State, tick engine.Tick) {
	for id, call := range s.calls.All() {
		if call.outcome == nil {
			continue
		}
		if wait := s.waits.Get(call.wait); wait != nil {
			wait.asking, wait.pollAt = false, tick.Now.Add(pollInterval)
			if report, ok := call.outcome.reply.Value.(*controller.InForceReport); ok {
				wait.last = WaitResult{Reached: len(report.Lagging) == 0, Known: true, Lagging: report.Lagging}
			}
		}
		if call.reply != nil {
			s.Out.Results.Add(finished{call.reply, *call.outcome})
		}
		s.calls.Delete(id)
	}
}

// settleWaits ends the waits whose revision is in force and those whose time has passed.
func settleWaits(s *State, tick engine.Tick) {
	for id, wait := range s.waits.All() {
		if wait.last.Reached || !tick.Now.Before(wait.deadline) {
			s.Out.WaitResults.Add(settled{wait.reply, wait.last})
			s.waits.Delete(id)
		}
	}
}
