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
	// simTimeLimit is the time after which every operation must have ended.
	simTimeLimit = 5 * time.Minute
)

// broadcast sends a command to both controllers.
func (sim *simulation) broadcast(command Command) {
	for _, process := range sim.processes {
		process.post(Requested{Request{Command: command, Reply: make(chan Response, 1)}})
	}
}

// requestOperations acts as an operator who repeats requests until they have taken
// effect: maintenance of w1 and a move of w5 to "orders", or, after abortAt, the
// return of both.
func (sim *simulation) requestOperations() {
	if sim.aborted() {
		sim.broadcast(ReturnWorker{Worker: "w1"})
		sim.broadcast(ReturnWorker{Worker: "w5"})
		return
	}
	maintained, moved := sim.findWorker("w1").BootID > 1, false
	var rows []*fleet.Worker
	for i := range sim.document.Workers {
		row := &sim.document.Workers[i]
		moved = moved || (row.ID == "w5" && row.Pool == "orders")
		rows = append(rows, row)
	}
	for _, row := range rows {
		switch {
		case row.Operation != nil || !row.State.Available():
		case row.ID == "w1" && !maintained:
			sim.broadcast(StartOperation{Kind: fleet.OperationMaintain, Worker: "w1"})
		case row.ID == "w5" && !moved:
			sim.broadcast(StartOperation{Kind: fleet.OperationMove, Worker: "w5", ToPool: "orders"})
		}
	}
}

func (sim *simulation) aborted() bool {
	return sim.abortAt != 0 && sim.now.Sub(sim.startedAt) >= sim.abortAt
}

// settled reports whether both operations have ended, or have been aborted, and all
// workers are serving.
func (sim *simulation) settled() bool {
	for i := range sim.document.Workers {
		row := &sim.document.Workers[i]
		if row.State != fleet.Serving || row.Operation != nil || sim.findWorker(row.ID).Status != infra.WorkerLive {
			return false
		}
		if row.ID == "w5" && row.Pool != "orders" && !sim.aborted() {
			return false
		}
	}
	if sim.abortAt != 0 && !sim.aborted() {
		return false
	}
	return len(sim.document.Workers) == len(sim.workers) && (sim.findWorker("w1").BootID > 1 || sim.aborted())
}

// runScenario runs a simulation until both operations have ended and all delayed
// effects have arrived. It returns a description of the failure, empty if there is
// none.
func runScenario(settings scenario) (*simulation, string) {
	sim := newSimulation(settings)
	deadline := sim.now.Add(simTimeLimit)
	for tick := 0; !sim.settled(); tick++ {
		if sim.now.After(deadline) {
			return sim, fmt.Sprintf("the operations have not ended: %+v", sim.document.Workers)
		}
		if tick%2 == 0 {
			sim.requestOperations()
		}
		sim.step()
	}
	for end := sim.now.Add(sim.pauseDuration + lateEffectDelay); sim.now.Before(end); {
		sim.step()
	}
	// The checker compares the operations only after one counted execution.
	sim.check(invariant.Answered{Request: "r", Outcome: outcome.Complete()})
	sim.check(invariant.ExecutionsCounted{Requests: map[string]int{"r": 1}})
	switch {
	case len(sim.violations) > 0:
		return sim, fmt.Sprintf("invariant %d is violated: %v", sim.violations[0].Invariant(), sim.violations[0])
	case sim.findWorker("w1").BootID > 2:
		return sim, fmt.Sprintf("w1 was rebooted %d times", sim.findWorker("w1").BootID-1)
	case !sim.settled():
		return sim, "a late effect changed the fleet"
	}
	return sim, ""
}

// Guards against an operation that is lost, executed twice or violates the budget
// after a single fault at any effect of a maintenance and a move: the controller is
// killed or paused, or a response, call or write is lost or late.
func TestTakeover(t *testing.T) {
	base, problem := runScenario(scenario{})
	if problem != "" {
		t.Fatal(problem)
	}
	for _, fault := range faultModes {
		t.Run(string(fault), func(t *testing.T) {
			t.Parallel()
			for number := 1; number <= base.effectCount; number++ {
				if _, problem := runScenario(scenario{faults: map[int]faultMode{number: fault}}); problem != "" {
					t.Errorf("at effect %d (%s): %s", number, base.effectNames[number-1], problem)
				}
			}
		})
	}
}

// Guards against the same failures after two faults that occur close together, which
// may be of the same mode.
func TestTakeoverUnderTwoFaults(t *testing.T) {
	t.Parallel()
	t.Logf("seed %d", takeoverSeed)
	base, _ := runScenario(scenario{})
	random := rand.New(rand.NewPCG(takeoverSeed, 0))
	for range takeoverPairs {
		first := 1 + random.IntN(base.effectCount)
		second := first + 1 + random.IntN(6)
		faults := map[int]faultMode{first: faultModes[random.IntN(len(faultModes))], second: faultModes[random.IntN(len(faultModes))]}
		if sim, problem := runScenario(scenario{faults: faults}); problem != "" {
			t.Errorf("faults %v, effects %v: %s", faults, sim.effectNames, problem)
		}
	}
}

// Guards against a call that takes effect after its worker was returned to service:
// a call of a killed or paused controller, or one that was not answered. The lease,
// takeoverCallDelay and callOutcomeTimeout prevent it. The sweep over renewal phases
// covers a call that is sent just before a lease expires.
func TestLateCallsAfterAbort(t *testing.T) {
	base, _ := runScenario(scenario{})
	for _, fault := range []faultMode{delayed, killDelayed, pauseAfter, pauseBefore} {
		t.Run(string(fault), func(t *testing.T) {
			t.Parallel()
			for number, name := range base.effectNames {
				if !strings.Contains(name, " of w") && !strings.Contains(name, "fleet write") {
					continue
				}
				for phase := time.Duration(0); phase < renewInterval; phase += 400 * time.Millisecond {
					for _, abortAt := range []time.Duration{8 * time.Second, 9 * time.Second, 11 * time.Second, 13 * time.Second} {
						settings := scenario{faults: map[int]faultMode{number + 1: fault}, renewPhase: phase, abortAt: abortAt, pauseDuration: longPause}
						if _, problem := runScenario(settings); problem != "" {
							t.Errorf("%s, phase %v, abort at %v: %s", name, phase, abortAt, problem)
						}
					}
				}
			}
		})
	}
}

// Guards against a controller that stays active after it has lost the leader key and
// the store watch has not reported that: after its lease has expired, and after a new
// lease has replaced the expired one.
func TestActiveControllerStepsDown(t *testing.T) {
	cases := map[string]func(sim *simulation, process *simProcess) []Event{
		"the lease has expired": func(sim *simulation, _ *simProcess) []Event {
			sim.now = sim.now.Add(node.ControllerLeaseTTL)
			return nil
		},
		"a new lease": func(sim *simulation, _ *simProcess) []Event {
			return []Event{Observed{node.LeaseChanged{Lease: 99, Deadline: sim.now.Add(node.ControllerLeaseTTL)}}}
		},
		"no lease": func(*simulation, *simProcess) []Event { return []Event{Observed{node.LeaseChanged{}}} },
		"another leader": func(sim *simulation, _ *simProcess) []Event {
			return []Event{Observed{node.LeaderSeen{Identity: node.Identity{Incarnation: "other"}, Revision: sim.revision + 1}}}
		},
		"the leader key is gone": func(*simulation, *simProcess) []Event { return []Event{Observed{node.LeaderSeen{}}} },
		"the fleet write lost": func(_ *simulation, process *simProcess) []Event {
			return []Event{FleetWritten{Document: process.state.Fleet.Document(), Result: node.WriteResult{Status: node.WriteConflicted}}}
		},
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(scenario{})
			process := sim.processes[0]
			for range 20 {
				sim.step()
			}
			if !process.state.Active() {
				t.Fatal("the controller is not active")
			}
			events := change(sim, process)
			process.program.Step(process.state, engine.Tick{Now: sim.now, Seq: process.seq + 1}, events...)
			if process.state.Active() || process.state.callAllowed(sim.now) {
				t.Errorf("the controller is %v", process.state.Leadership.phase)
			}
		})
	}
}
