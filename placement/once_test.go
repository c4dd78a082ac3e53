package placement

import (
	"testing"
	"time"
)

// Guards against a second attempt of a non-idempotent job after a refused
// repeat: the first copy of the start may have been executed.
func TestRefusedRepeatIsNoProof(t *testing.T) {
	for name, lose := range map[string]func(*world, string){
		"after an unknown result": func(w *world, operation string) {
			w.step(StartResult{Operation: operation, Result: CallUnknown})
		},
		"after a takeover": func(w *world, _ string) { w.takeover(0); w.advance(time.Second) },
	} {
		t.Run(name, func(t *testing.T) {
			w := quietWorld(2)
			w.advance(time.Second)
			w.submit(spec("once"))
			for len(w.starts) == 0 {
				w.advance(10 * time.Millisecond)
			}
			operation := w.starts[0].Operation
			w.later, w.order = nil, nil // neither the answer nor a list shows the task
			lose(w, operation)
			w.step(StartResult{Operation: operation, Result: CallRefused})
			w.advance(DefaultTaskLease + DefaultCallTimeout + DefaultLeaseMargin + time.Second)
			expect(t, "state", w.jobState("once"), JobUnknown)
			expect(t, "operations", len(w.emitted["once"]), 1)
		})
	}
}

// Guards against a new controller that calls the platform while its
// predecessor can still write a page.
func TestNoCallsBeforePagesAreClaimed(t *testing.T) {
	w := quietWorld(1)
	w.advance(time.Second)
	w.submit(spec("a", idempotent))
	w.advance(time.Second)
	w.storeDown = true
	w.takeover(0)
	w.setCondition("orders-w0", ConditionDraining)
	w.advance(5 * time.Second) // the task runs for 20 s
	expect(t, "controls while the store is down", len(w.controls), 0)
	explanation, _ := w.state.Explain("a")
	expect(t, "state", explanation.State, JobRunning)
	w.storeDown = false
	w.advance(10 * time.Second)
	expect(t, "controls after the claim", len(w.controls), 1)
}

// Guards against a resumed run of a job that may not start twice, when the
// platform checkpoints or stops it on its own initiative.
func TestForeignStopOfNonIdempotentJob(t *testing.T) {
	for _, status := range []TaskStatus{TaskCheckpointed, TaskStopped, TaskLeaseExpired} {
		w := quietWorld(1)
		w.advance(time.Second)
		w.submit(spec("once"))
		w.advance(time.Second)
		w.step(TasksReported{ObservedAt: w.now, Tasks: []TaskObservation{{Operation: w.starts[0].Operation, Status: status}}})
		w.advance(time.Minute)
		expect(t, "state", w.jobState("once"), JobUnknown)
		expect(t, "starts", len(w.starts), 1)
	}
}
