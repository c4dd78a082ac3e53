package placement

import (
	"testing"
	"time"
)

// Guards against a second attempt of a non-idempotent job after a refused resend of its
// start: the first request may have been executed.
func TestRefusedRepeatIsNoProof(t *testing.T) {
	for name, makeUncertain := range map[string]func(*simulation, string){
		"after an unknown result": func(sim *simulation, operation string) {
			sim.step(StartResult{Operation: operation, Result: CallUnknown})
		},
		"after a takeover": func(sim *simulation, _ string) { sim.takeover(0); sim.advance(time.Second) },
	} {
		t.Run(name, func(t *testing.T) {
			sim := newFaultFreeSimulation(2)
			sim.advance(time.Second)
			sim.submit(spec("once"))
			for len(sim.starts) == 0 {
				sim.advance(10 * time.Millisecond)
			}
			operation := sim.starts[0].Operation
			sim.scheduled, sim.operations = nil, nil // neither a response nor a task list shows the task
			makeUncertain(sim, operation)
			sim.step(StartResult{Operation: operation, Result: CallRefused})
			sim.advance(DefaultTaskLease + DefaultCallTimeout + DefaultLeaseMargin + time.Second)
			expect(t, "state", sim.jobState("once"), JobUnknown)
			expect(t, "operations", len(sim.emittedStarts["once"]), 1)
		})
	}
}

// Guards against platform calls of a new controller while its predecessor can still
// write a page, because the store is down and the new epoch is not committed.
func TestNoCallsBeforePagesAreClaimed(t *testing.T) {
	sim := newFaultFreeSimulation(1)
	sim.advance(time.Second)
	sim.submit(spec("a", idempotent))
	sim.advance(time.Second)
	sim.storeDown = true
	sim.takeover(0)
	sim.setCondition("orders-w0", ConditionDraining)
	sim.advance(5 * time.Second) // the task runs for 20 s
	expect(t, "controls while the store is down", len(sim.controls), 0)
	explanation, _ := sim.state.Explain("a")
	expect(t, "state", explanation.State, JobRunning)
	sim.storeDown = false
	sim.advance(10 * time.Second)
	expect(t, "controls after the pages are committed", len(sim.controls), 1)
}

// Guards against a second start of a non-idempotent job after the platform checkpoints
// or stops its task on its own initiative, or lets its lease expire.
func TestForeignStopOfNonIdempotentJob(t *testing.T) {
	for _, status := range []TaskStatus{TaskCheckpointed, TaskStopped, TaskLeaseExpired} {
		sim := newFaultFreeSimulation(1)
		sim.advance(time.Second)
		sim.submit(spec("once"))
		sim.advance(time.Second)
		sim.step(TasksReported{ObservedAt: sim.now, Tasks: []TaskObservation{{Operation: sim.starts[0].Operation, Status: status}}})
		sim.advance(time.Minute)
		expect(t, "state", sim.jobState("once"), JobUnknown)
		expect(t, "starts", len(sim.starts), 1)
	}
}
