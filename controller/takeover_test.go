package controller

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/fleet"
	"github.com/waxwingbridge/waxwingbridge/infra"
	"github.com/waxwingbridge/waxwingbridge/invariant"
	"github.com/waxwingbridge/waxwingbridge/node"
	"github.com/waxwingbridge/waxwingbridge/outcome"
)

const (
	takeoverSeed  = 20261204
	takeoverPairs = 400
	// worldLimit is the time after which every operation must have ended.
	worldLimit = 5 * time.Minute
)

// ask sends a command to both controllers.
func (w *world) ask(command Command) {
	for _, s := range w.sims {
		s.post(Requested{Request{Command: command, Reply: make(chan Response, 1)}})
	}
}

// request asks the active controller, like an operator who repeats a change
// until its effect shows: maintenance of w1 and a move of w5 to "orders", or the
// return of both.
func (w *world) request() {
	if w.aborted() {
		w.ask(ReturnWorker{Worker: "w1"})
		w.ask(ReturnWorker{Worker: "w5"})
		return
	}
	maintained, moved := w.worker("w1").BootID > 1, false
	var rows []*fleet.Worker
	for i := range w.document.Workers {
		row := &w.document.Workers[i]
		moved = moved || (row.ID == "w5" && row.Pool == "orders")
		rows = append(rows, row)
	}
	for _, row := range rows {
		switch {
		case row.Operation != nil || !row.State.Available():
		case row.ID == "w1" && !maintained:
			w.ask(StartOperation{Kind: fleet.OperationMaintain, Worker: "w1"})
		case row.ID == "w5" && !moved:
			w.ask(StartOperation{Kind: fleet.OperationMove, Worker: "w5", ToPool: "orders"})
		}
	}
}

func (w *world) aborted() bool { return w.abortAt != 0 && w.now.Sub(w.began) >= w.abortAt }

// settled reports whether both operations have ended, or were aborted, and all
// workers serve.
func (w *world) settled() bool {
	for i := range w.document.Workers {
		row := &w.document.Workers[i]
		if row.State != fleet.Serving || row.Operation != nil || w.worker(row.ID).Status != infra.WorkerLive {
			return false
		}
		if row.ID == "w5" && row.Pool != "orders" && !w.aborted() {
			return false
		}
	}
	if w.abortAt != 0 && !w.aborted() {
		return false
	}
	return len(w.document.Workers) == len(w.workers) && (w.worker("w1").BootID > 1 || w.aborted())
}

// play runs the world until both operations have ended and everything that is
// still on its way has arrived. It returns what went wrong.
func play(told story) (*world, string) {
	w := newWorld(told)
	deadline := w.now.Add(worldLimit)
	for tick := 0; !w.settled(); tick++ {
		if w.now.After(deadline) {
			return w, fmt.Sprintf("the operations have not ended: %+v", w.document.Workers)
		}
		if tick%2 == 0 {
			w.request()
		}
		w.step()
	}
	for end := w.now.Add(w.pause + lateEffect); w.now.Before(end); {
		w.step()
	}
	// One call that was counted makes the checker compare the operations.
	w.see(invariant.Answered{Request: "r", Outcome: outcome.Complete()})
	w.see(invariant.ExecutionsCounted{Requests: map[string]int{"r": 1}})
	switch {
	case len(w.found) > 0:
		return w, fmt.Sprintf("invariant %d is broken: %v", w.found[0].Invariant(), w.found[0])
	case w.worker("w1").BootID > 2:
		return w, fmt.Sprintf("w1 was rebooted %d times", w.worker("w1").BootID-1)
	case !w.settled():
		return w, "an effect that arrived late changed the fleet"
	}
	return w, ""
}

// Guards against an operation that is lost, done twice or done past its budget
// when the controller is killed or paused, or an answer, call or write is lost or
// late, at any single effect of a maintenance and a move.
func TestTakeover(t *testing.T) {
	base, problem := play(story{})
	if problem != "" {
		t.Fatal(problem)
	}
	for _, fault := range modes {
		t.Run(string(fault), func(t *testing.T) {
			t.Parallel()
			for number := 1; number <= base.effects; number++ {
				if _, problem := play(story{faults: map[int]mode{number: fault}}); problem != "" {
					t.Errorf("at effect %d (%s): %s", number, base.names[number-1], problem)
				}
			}
		})
	}
}

// Guards against the same when two faults meet, also the same fault twice.
func TestTakeoverUnderTwoFaults(t *testing.T) {
	t.Parallel()
	t.Logf("seed %d", takeoverSeed)
	base, _ := play(story{})
	random := rand.New(rand.NewPCG(takeoverSeed, 0))
	for range takeoverPairs {
		first := 1 + random.IntN(base.effects)
		second := first + 1 + random.IntN(6)
		faults := map[int]mode{first: modes[random.IntN(len(modes))], second: modes[random.IntN(len(modes))]}
		if w, problem := play(story{faults: faults}); problem != "" {
			t.Errorf("faults %v, effects %v: %s", faults, w.names, problem)
		}
	}
}

// Guards against a call of a dead or paused controller, or one without an answer,
// that takes effect after the worker was returned to service: the lease, the
// successor's quiet time and the settling of calls prevent it. The sweep over
// phases finds the call that was sent at the end of a lease.
func TestLateCallsAfterAbort(t *testing.T) {
	base, _ := play(story{})
	for _, fault := range []mode{delayed, killDelayed, pauseAfter, pauseBefore} {
		t.Run(string(fault), func(t *testing.T) {
			t.Parallel()
			for number, name := range base.names {
				if !strings.Contains(name, " of w") && !strings.Contains(name, "fleet write") {
					continue
				}
				for phase := time.Duration(0); phase < renewPause; phase += 400 * time.Millisecond {
					for _, abortAt := range []time.Duration{8 * time.Second, 9 * time.Second, 11 * time.Second, 13 * time.Second} {
						told := story{faults: map[int]mode{number + 1: fault}, phase: phase, abortAt: abortAt, pause: longPause}
						if _, problem := play(told); problem != "" {
							t.Errorf("%s, phase %v, abort at %v: %s", name, phase, abortAt, problem)
						}
					}
				}
			}
		})
	}
}

// Guards against an active controller that goes on without the leader key,
// although the store's watch has not told it: after a lapse, and after a lapse
// that a new lease hides.
func TestActiveControllerStepsDown(t *testing.T) {
	cases := map[string]func(w *world, s *sim) []Event{
		"the lease lapsed": func(w *world, _ *sim) []Event {
			w.now = w.now.Add(node.ControllerLeaseTTL)
			return nil
		},
		"a new lease": func(w *world, _ *sim) []Event {
			return []Event{Observed{node.LeaseChanged{Lease: 99, Deadline: w.now.Add(node.ControllerLeaseTTL)}}}
		},
		"no lease": func(*world, *sim) []Event { return []Event{Observed{node.LeaseChanged{}}} },
		"another leader": func(w *world, _ *sim) []Event {
			return []Event{Observed{node.LeaderSeen{Identity: node.Identity{Incarnation: "other"}, Revision: w.revision + 1}}}
		},
		"the leader key is gone": func(*world, *sim) []Event { return []Event{Observed{node.LeaderSeen{}}} },
		"the fleet write lost": func(_ *world, s *sim) []Event {
			return []Event{FleetWritten{Document: s.state.Fleet.Document(), Result: node.WriteResult{Status: node.WriteConflicted}}}
		},
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			w := newWorld(story{})
			s := w.sims[0]
			for range 20 {
				w.step()
			}
			if !s.state.Active() {
				t.Fatal("the controller is not active")
			}
			events := change(w, s)
			s.program.Step(s.state, engine.Tick{Now: w.now, Seq: s.seq + 1}, events...)
			if s.state.Active() || s.state.callAllowed(w.now) {
				t.Errorf("the controller is %v", s.state.Leadership.phase)
			}
		})
	}
}
