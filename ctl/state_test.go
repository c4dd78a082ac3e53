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

// bench steps a state and collects its effects.
type bench struct {
	t       *testing.T
	now     time.Time
	state   *State
	program engine.Program[State, Event]
	sent    []Attempt
}

func newBench(t *testing.T, controllers ...string) *bench {
	b := &bench{t: t, now: time.Date(2026, 3, 1, 18, 0, 0, 0, time.UTC), state: NewState(controllers...)}
	b.program = engine.Program[State, Event]{
		Apply:   func(s *State, tick engine.Tick, event Event) { event.apply(s, tick) },
		Systems: Systems(),
		Flush: func(s *State, _ engine.Tick) {
			s.Out.Attempts.Drain(func(e Attempt) { b.sent = append(b.sent, e) })
			s.Out.Results.Drain(func(e finished) { e.reply <- e.result })
			s.Out.WaitResults.Drain(func(e settled) { e.reply <- e.result })
		},
	}
	return b
}

func (b *bench) step(passed time.Duration, events ...Event) {
	b.now = b.now.Add(passed)
	b.program.Step(b.state, engine.Tick{Now: b.now}, events...)
}

func (b *bench) calls(change bool) <-chan result {
	reply := make(chan result, 1)
	b.step(0, Called{Request: Request{NonIdempotent: change}, reply: reply})
	return reply
}

// next returns the one call that was sent since.
func (b *bench) next(controller string) Attempt {
	b.t.Helper()
	if len(b.sent) != 1 || b.sent[0].Controller != controller {
		b.t.Fatalf("sent %+v, want one call to %s", b.sent, controller)
	}
	send := b.sent[0]
	b.sent = nil
	return send
}

func (b *bench) answers(send Attempt, status int, active string, value any) {
	b.step(0, Answered{Call: send.Call, Response: Response{Controller: send.Controller, Status: status, Active: active, Value: value}})
}

func (b *bench) fails(send Attempt, notSent bool) {
	b.step(0, Failed{Call: send.Call, Failure: Failure{Controller: send.Controller, NotSent: notSent, Err: errors.New("broken")}})
}

// Guards against a command that gives up although another controller can serve
// it, and against one that asks the same controller for ever.
func TestControllersAreUsedInTurn(t *testing.T) {
	b := newBench(t, "a", "b", "c")
	reply := b.calls(true)
	b.fails(b.next("a"), true)
	b.answers(b.next("b"), http.StatusServiceUnavailable, "", nil)
	b.answers(b.next("c"), http.StatusMisdirectedRequest, "d", nil)
	b.answers(b.next("d"), http.StatusMisdirectedRequest, "a", nil)
	if _, err := (<-reply).value(); !strings.Contains(err.Error(), "no active controller") || len(b.sent) != 0 {
		t.Errorf("error %v, sent %v", err, b.sent)
	}
	reply = b.calls(true)
	b.answers(b.next("a"), http.StatusMisdirectedRequest, "d", nil)
	b.answers(b.next("d"), http.StatusOK, "", "done")
	if value, err := (<-reply).value(); value != "done" || err != nil {
		t.Errorf("value %v, %v", value, err)
	}
	b.calls(false)
	b.next("d") // answered last
}

// Guards against a call to an empty address, and so an unknown result, when the
// refusals name no active controller.
func TestRefusalWithoutActiveController(t *testing.T) {
	b := newBench(t, "a", "b")
	reply := b.calls(true)
	b.answers(b.next("a"), http.StatusMisdirectedRequest, "", nil)
	b.answers(b.next("b"), http.StatusMisdirectedRequest, "", nil)
	if _, err := (<-reply).value(); !strings.Contains(err.Error(), "no active controller") || len(b.sent) != 0 {
		t.Errorf("error %v, sent %v", err, b.sent)
	}
}

// Guards against a standby's refusal that hides why the active controller
// refused, such as a platform outage.
func TestRefusalOfTheActiveControllerIsKept(t *testing.T) {
	b := newBench(t, "a", "b")
	reply := b.calls(true)
	b.answers(b.next("a"), http.StatusServiceUnavailable, "", nil)
	b.answers(b.next("b"), http.StatusMisdirectedRequest, "a", nil)
	if _, err := (<-reply).value(); !strings.Contains(err.Error(), "nothing was changed") || len(b.sent) != 0 {
		t.Errorf("error %v, sent %v", err, b.sent)
	}
}

// Guards against a change that is sent twice after its answer was lost.
func TestChangeWithoutAnswerIsNotRepeated(t *testing.T) {
	b := newBench(t, "a", "b")
	reply := b.calls(true)
	b.fails(b.next("a"), false)
	var unreachable *UnreachableError
	if _, err := (<-reply).value(); !errors.As(err, &unreachable) || !unreachable.Unknown || len(b.sent) != 0 {
		t.Errorf("error %v, sent %v", err, b.sent)
	}
	reply = b.calls(false)
	b.fails(b.next("a"), false)
	b.answers(b.next("b"), http.StatusOK, "", "read")
	if value, err := (<-reply).value(); value != "read" || err != nil {
		t.Errorf("value %v, %v", value, err)
	}
}

func (b *bench) awaits(timeout time.Duration) <-chan WaitResult {
	reply := make(chan WaitResult, 1)
	b.step(0, Awaited{Revision: 7, Timeout: timeout, reply: reply})
	return reply
}

// Guards against a wait that ends before every process holds the revision, that
// does not end, or that does not tell who lacks it.
func TestWaitUntilInForce(t *testing.T) {
	lagging := &controller.InForceReport{Revision: 7, Lagging: []controller.LaggingReport{{Incarnation: "g1", Revision: 6}}}
	b := newBench(t, "a")
	reply := b.awaits(time.Minute)
	b.answers(b.next("a"), http.StatusOK, "", lagging)
	b.step(pollInterval / 2)
	if len(b.sent) != 0 || len(reply) != 0 {
		t.Fatalf("asked again at once: %v", b.sent)
	}
	b.step(pollInterval / 2)
	b.answers(b.next("a"), http.StatusOK, "", &controller.InForceReport{Revision: 7})
	if end := <-reply; !end.Reached {
		t.Errorf("end %+v", end)
	}
	if !NextDeadline(b.state).IsZero() {
		t.Error("a deadline is left after the wait")
	}

	reply = b.awaits(time.Minute)
	b.answers(b.next("a"), http.StatusOK, "", lagging)
	b.step(pollInterval)
	b.step(time.Minute) // no answer to the second question
	end := <-reply
	err := &LaggingError{Revision: policy.Revision(7), Result: end}
	if end.Reached || !end.Known || !strings.Contains(err.Error(), "g1") {
		t.Errorf("end %+v, error %v", end, err)
	}
}

// Guards against reasons to wait that are shown for a wave that has ended.
func TestEndedWaveWaitsForNothing(t *testing.T) {
	report := &controller.WaveReport{Wave: &fleet.Wave{ID: "1-2", Status: fleet.WaveDone}, Waiting: map[string]wave.Reason{"": "wave-done"}}
	if text := FormatTable(WaveTable(report)); strings.Contains(text, "waiting") {
		t.Errorf("table of a wave that is done:\n%s", text)
	}
}

// Guards against text of operators that breaks the columns or controls the terminal.
func TestTablesCleanText(t *testing.T) {
	table := HistoryTable([]policy.Document{{Revision: 3, Author: "a\tb\x1b[2J", Comment: ""}})
	if text := FormatTable(table); strings.Contains(text, "\x1b") || !strings.Contains(text, "a b [2J") || strings.Count(text, "\n") != 2 {
		t.Errorf("%q", text)
	}
}
