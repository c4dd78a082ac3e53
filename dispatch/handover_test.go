package dispatch

import (
	"testing"
	"time"

	"github.com/waxwingbridge/waxwingbridge/ledger"
	"github.com/waxwingbridge/waxwingbridge/work"
)

// Guards against an eviction that exceeds the availability limit of a step after a
// planned handover. The earlier owner has just ordered the stop of a task, which the
// worker's list still shows as serving.
func TestNewOwnerWaitsForStopsOfTheEarlierOwner(t *testing.T) {
	w := newSimulation(t, "a", "b", "c")
	w.s.Config.StopTime = 200 * time.Millisecond
	w.runTime = 0
	longRunning := step(2)
	longRunning.LongRunning, longRunning.MaxUnavailable = true, 1
	w.accept(job(longRunning))
	w.s.ApplyContacts(w.now, ledger.Record{
		Key: ledger.Key{Kind: ledger.KindContacts, Name: "pool"}, Revision: 5,
		Content: []work.Contact{{Worker: "a", Address: "a:1", Incarnation: 1}, {Worker: "b", Address: "b:1", Incarnation: 1}},
	})
	w.ledger.Revision++
	w.token = w.ledger.Revision
	for index, id := range []string{"a", "b"} {
		f := w.workers[id]
		f.running = []fakeRun{{task: work.TaskName{Job: "j1", Index: index}, run: 1}}
		f.leaseUntil = f.clock(w.now) + simulationMaxLease
	}
	w.s.SetMaintenance("b", true)
	w.run(200 * time.Millisecond)
	stopped := w.workers["a"]
	stopped.end(stopped.running[0], work.EndStopped)
	stopped.running = nil
	if len(w.workers["b"].running) != 1 {
		t.Fatal("a task was stopped while the stop of another one by the earlier owner was in progress")
	}
	w.run(2 * time.Second)
	if len(w.workers["b"].running) != 0 {
		t.Error("the task was not moved off the worker under maintenance later")
	}
}

// Guards against a task that runs twice because its end is lost: the owner has read it
// and cannot save it, drops the worker from its contacts or lets its machine be taken
// down, and the next owner does not find the end.
func TestUnsavedEndsKeepTheirWorker(t *testing.T) {
	for name, lose := range map[string]func(w *simulation){
		"unregistered":      func(w *simulation) { w.ledger.Revision++; w.s.WorkerRemoved("a", w.ledger.Revision) },
		"under maintenance": func(w *simulation) { w.s.SetMaintenance("a", true) },
	} {
		t.Run(name, func(t *testing.T) {
			w := newSimulation(t, "a")
			w.run(200 * time.Millisecond)
			w.accept(job(step(1)))
			w.run(100 * time.Millisecond)
			w.failKind = ledger.KindProgress
			w.run(500 * time.Millisecond)
			lose(w)
			w.run(3 * time.Second)
			if len(w.contacts) != 1 {
				t.Errorf("contacts are %v while the end of a run is not saved, want a", w.contacts)
			}
			if idle, _ := w.s.WorkerIdle("a", w.now); idle {
				t.Error("the worker counts as idle while the end of its run is not saved")
			}
			w.failKind = 0
			w.run(3 * time.Second)
			if saved := w.saved["j1"]; saved == nil || saved.State != work.JobCompleted || w.startCount(work.TaskName{Job: "j1"}) != 1 {
				t.Errorf("after %d starts the job is %+v", w.startCount(work.TaskName{Job: "j1"}), saved)
			}
			if len(w.contacts) != 0 {
				t.Errorf("contacts are %v after the end is saved, want none", w.contacts)
			}
		})
	}
}

// Guards against an end that is never acknowledged because its job was removed: the end
// was read while the final state of the job was being saved. The worker then answers each
// poll at once, which took three cores-seconds of five from an owner of 160 workers, and
// its machine is never idle for a wave or a move (SHORT).
func TestEndsReadWhileTheFinalStateIsSavedAreAcknowledged(t *testing.T) {
	w := newSimulation(t, "a")
	w.runTime = 400 * time.Millisecond
	w.run(200 * time.Millisecond)
	w.accept(job(step(2)))
	w.run(200 * time.Millisecond)
	w.holdWrites = ledger.KindProgress
	w.ledger.Revision++
	w.ledger.Apply(w.now, ledger.Record{Key: ledger.Key{Kind: ledger.KindCancel, Name: "j1"}, Revision: w.ledger.Revision})
	w.ignoreStops = true
	w.run(600 * time.Millisecond)
	if ended := len(w.workers["a"].ended); ended != 2 || len(w.heldWrites) != 1 {
		t.Fatalf("%d ends are listed while %d writes are in flight, want 2 and 1", ended, len(w.heldWrites))
	}
	w.releaseWrites()
	w.run(time.Second)
	if listed := len(w.workers["a"].ended); listed != 0 {
		t.Errorf("%d ends are not acknowledged", listed)
	}
	w.s.SetMaintenance("a", true)
	if idle, known := w.s.WorkerIdle("a", w.now); !idle || !known {
		t.Errorf("the worker is idle: %v, known: %v", idle, known)
	}
}
