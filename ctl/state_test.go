package ctl

import (
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/waxwingbridge/waxwingbridge/controller"
	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/fleet"
	"github.com/waxwingbridge/waxwingbridge/policy"
	"github.com/waxwingbridge/waxwingbridge/wave"
)

// harness runs ticks of a State and collects its outbound attempts.
type harness struct {
	t       *testing.T
	now     time.Time
	state   *State
	program engine.Program[State, Event]
	sent    []Attempt
}

func newHarness(t *testing.T, controllers ...string) *harness {
	h := &harness{t: t, now: time.Date(2026, 3, 1, 18, 0, 0, 0, time.UTC), state: NewState(controllers...)}
	h.program = engine.Program[State, Event]{
		Apply:   func(s *State, tick engine.Tick, event Event) { event.apply(s, tick) },
		Systems: Systems(),
		Flush: func(s *State, _ engine.Tick) {
			s.Out.Attempts.Drain(func(e Attempt) { h.sent = append(h.sent, e) })
			s.Out.Results.Drain(func(e finishedCall) { e.reply <- e.result })
			s.Out.WaitResults.Drain(func(e finishedWait) { e.reply <- e.result })
		},
	}
	return h
}

func (h *harness) step(elapsed time.Duration, events ...Event) {
	h.now = h.now.Add(elapsed)
	h.program.Step(h.state, engine.Tick{Now: h.now}, events...)
}

func (h *harness) startCall(nonIdempotent bool) <-chan result {
	reply := make(chan result, 1)
	h.step(0, Called{Request: Request{NonIdempotent: nonIdempotent}, reply: reply})
	return reply
}

// takeAttempt returns and removes the only pending attempt, which must be to the
// controller.
func (h *harness) takeAttempt(controller string) Attempt {
	h.t.Helper()
	if len(h.sent) != 1 || h.sent[0].Controller != controller {
		h.t.Fatalf("sent %+v, want one call to %s", h.sent, controller)
	}
	attempt := h.sent[0]
	h.sent = nil
	return attempt
}

func (h *harness) respond(attempt Attempt, status int, active string, value any) {
	h.step(0, Answered{Call: attempt.Call, Response: Response{Controller: attempt.Controller, Status: status, Active: active, Value: value}})
}

func (h *harness) fail(attempt Attempt, notSent bool) {
	h.step(0, Failed{Call: attempt.Call, Failure: Failure{Controller: attempt.Controller, NotSent: notSent, Err: errors.New("broken")}})
}

// Guards against a call that fails although another controller can execute it, and
// against one that redirects between the same controllers without end.
func TestCallTriesEachControllerOnce(t *testing.T) {
	h := newHarness(t, "a", "b", "c")
	reply := h.startCall(true)
	h.fail(h.takeAttempt("a"), true)
	h.respond(h.takeAttempt("b"), http.StatusServiceUnavailable, "", nil)
	h.respond(h.takeAttempt("c"), http.StatusMisdirectedRequest, "d", nil)
	h.respond(h.takeAttempt("d"), http.StatusMisdirectedRequest, "a", nil)
	if _, err := (<-reply).value(); !strings.Contains(err.Error(), "no active controller") || len(h.sent) != 0 {
		t.Errorf("error %v, sent %v", err, h.sent)
	}
	reply = h.startCall(true)
	h.respond(h.takeAttempt("a"), http.StatusMisdirectedRequest, "d", nil)
	h.respond(h.takeAttempt("d"), http.StatusOK, "", "done")
	if value, err := (<-reply).value(); value != "done" || err != nil {
		t.Errorf("value %v, %v", value, err)
	}
	h.startCall(false)
	h.takeAttempt("d") // preferred, because its response ended the last call
}

// Guards against an attempt to an empty address, and so an unknown result, when
// the error responses name no active controller.
func TestRefusalWithoutActiveController(t *testing.T) {
	h := newHarness(t, "a", "b")
	reply := h.startCall(true)
	h.respond(h.takeAttempt("a"), http.StatusMisdirectedRequest, "", nil)
	h.respond(h.takeAttempt("b"), http.StatusMisdirectedRequest, "", nil)
	if _, err := (<-reply).value(); !strings.Contains(err.Error(), "no active controller") || len(h.sent) != 0 {
		t.Errorf("error %v, sent %v", err, h.sent)
	}
}

// Guards against a standby's redirect that hides why the active controller refused
// the call, such as a platform outage.
func TestRefusalOfActiveControllerIsKept(t *testing.T) {
	h := newHarness(t, "a", "b")
	reply := h.startCall(true)
	h.respond(h.takeAttempt("a"), http.StatusServiceUnavailable, "", nil)
	h.respond(h.takeAttempt("b"), http.StatusMisdirectedRequest, "a", nil)
	if _, err := (<-reply).value(); !strings.Contains(err.Error(), "nothing was changed") || len(h.sent) != 0 {
		t.Errorf("error %v, sent %v", err, h.sent)
	}
}

// Guards against a non-idempotent call that is retried after its response was lost.
func TestNonIdempotentCallIsNotRetriedWithoutResponse(t *testing.T) {
	h := newHarness(t, "a", "b")
	reply := h.startCall(true)
	h.fail(h.takeAttempt("a"), false)
	var unreachable *UnreachableError
	if _, err := (<-reply).value(); !errors.As(err, &unreachable) || !unreachable.Unknown || len(h.sent) != 0 {
		t.Errorf("error %v, sent %v", err, h.sent)
	}
	reply = h.startCall(false)
	h.fail(h.takeAttempt("a"), false)
	h.respond(h.takeAttempt("b"), http.StatusOK, "", "read")
	if value, err := (<-reply).value(); value != "read" || err != nil {
		t.Errorf("value %v, %v", value, err)
	}
}

func (h *harness) startWait(timeout time.Duration) <-chan WaitResult {
	reply := make(chan WaitResult, 1)
	h.step(0, Awaited{Revision: 7, Timeout: timeout, reply: reply})
	return reply
}

// Guards against a wait that ends before the revision is in force in every process,
// that never ends, or that does not list the processes that lack the revision.
func TestWaitInForce(t *testing.T) {
	lagging := &controller.InForceReport{Revision: 7, Lagging: []controller.LaggingReport{{Incarnation: "g1", Revision: 6}}}
	h := newHarness(t, "a")
	reply := h.startWait(time.Minute)
	h.respond(h.takeAttempt("a"), http.StatusOK, "", lagging)
	h.step(pollInterval / 2)
	if len(h.sent) != 0 || len(reply) != 0 {
		t.Fatalf("polled before the poll interval had passed: %v", h.sent)
	}
	h.step(pollInterval / 2)
	h.respond(h.takeAttempt("a"), http.StatusOK, "", &controller.InForceReport{Revision: 7})
	if result := <-reply; !result.Reached {
		t.Errorf("result %+v", result)
	}
	if !NextDeadline(h.state).IsZero() {
		t.Error("a deadline remains after the wait ended")
	}

	reply = h.startWait(time.Minute)
	h.respond(h.takeAttempt("a"), http.StatusOK, "", lagging)
	h.step(pollInterval)
	h.step(time.Minute) // no response to the second poll
	result := <-reply
	err := &LaggingError{Revision: policy.Revision(7), Result: result}
	if result.Reached || !result.Known || !strings.Contains(err.Error(), "g1") {
		t.Errorf("result %+v, error %v", result, err)
	}
}

// Guards against wait reasons that are shown for a wave that has ended.
func TestEndedWaveShowsNoWaitReasons(t *testing.T) {
	report := &controller.WaveReport{Wave: &fleet.Wave{ID: "1-2", Status: fleet.WaveDone}, Waiting: map[string]wave.Reason{"": "wave-done"}}
	if text := FormatTable(WaveTable(report)); strings.Contains(text, "waiting") {
		t.Errorf("table of a finished wave:\n%s", text)
	}
}

// Guards against operators' text that breaks the columns or sends escape sequences
// to the terminal.
func TestTablesSanitizeText(t *testing.T) {
	table := HistoryTable([]policy.Document{{Revision: 3, Author: "a\tb\x1b[2J", Comment: ""}})
	if text := FormatTable(table); strings.Contains(text, "\x1b") || !strings.Contains(text, "a b [2J") || strings.Count(text, "\n") != 2 {
		t.Errorf("%q", text)
	}
}
