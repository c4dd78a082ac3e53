package dispatch

import (
	"testing"
	"time"

	"github.com/waxwingbridge/waxwingbridge/work"
)

// label gives workers of the simulation a label.
func (w *simulation) label(label string, ids ...string) {
	for _, id := range ids {
		w.workers[id].Labels = []string{label}
		w.ledger.Revision++
		entry := w.workers[id].Worker
		w.s.ApplyWorker(w.now, &entry, w.ledger.Revision)
	}
}

// Guards against a task that never starts again after a failed run, because the worker of
// that run is the only one that it fits on.
func TestFailedTaskReturnsToTheOnlyWorkerThatItFitsOn(t *testing.T) {
	w := newSimulation(t, "a", "b", "c")
	w.label("special", "b")
	w.run(200 * time.Millisecond)
	labelled := step(1)
	labelled.Label = "special"
	w.workers["b"].fails = true
	w.accept(job(labelled))
	w.run(500 * time.Millisecond)
	w.workers["b"].fails = false
	w.run(3 * time.Second)
	if saved := w.saved["j1"]; saved == nil || saved.State != work.JobCompleted {
		t.Errorf("saved progress is %+v after %d starts, want completed", saved, w.startCount(work.TaskName{Job: "j1"}))
	}
}

// Guards against a task that never starts again after a run that failed, stood still or was
// slow, because no other worker has room for a long time, though some would have it if they
// were empty (LOST).
func TestFailedTaskReturnsWhereNoOtherWorkerHasRoom(t *testing.T) {
	for name, c := range map[string]struct {
		surplus bool // the pool has given up the worker of the failure meanwhile
		gang    bool
	}{"in use": {}, "surplus": {surplus: true}, "gang": {gang: true}} {
		t.Run(name, func(t *testing.T) {
			w := newSimulation(t, "a", "b", "c")
			w.runTime = 0
			w.run(200 * time.Millisecond)
			w.fillWorkers("b", "c")
			w.runTime = 300 * time.Millisecond
			w.workers["a"].fails = true
			large := step(1)
			large.Size.MilliCores, large.Gang = 2500, c.gang
			w.accept(job(large))
			w.run(500 * time.Millisecond)
			if w.startCount(work.TaskName{Job: "j1"}) != 1 {
				t.Fatal("the task did not start on worker a")
			}
			w.workers["a"].fails = false
			id, _ := w.s.workerByID.Get("a")
			w.s.Workers.Get(id).surplus = c.surplus
			w.run(3 * time.Second)
			if saved := w.saved["j1"]; saved == nil || saved.State != work.JobCompleted {
				t.Errorf("saved progress is %+v after %d starts, want completed", saved, w.startCount(work.TaskName{Job: "j1"}))
			}
		})
	}
}

// fillWorkers fills half of each of the given workers with long-running tasks.
func (w *simulation) fillWorkers(ids ...string) {
	w.label("filled", ids...)
	half := step(len(ids))
	half.LongRunning, half.MaxPerWorker, half.Label = true, 1, "filled"
	half.Size.MilliCores = 2000
	filling := job(half)
	filling.ID = "j0"
	w.accept(filling)
	w.run(500 * time.Millisecond)
}

// Guards against a job that is given up because its task spends all attempts on the only
// worker with room, which fails all that it starts for a while.
func TestFailedTaskOutlastsAFailingWorker(t *testing.T) {
	const failingFor = 6500 * time.Millisecond
	w := newSimulation(t, "a", "b", "c")
	w.runTime = 0
	w.run(200 * time.Millisecond)
	w.fillWorkers("b", "c")
	w.runTime = 300 * time.Millisecond
	w.workers["a"].fails = true
	large := step(1)
	large.Size.MilliCores = 2500
	j := job(large)
	j.Limits.MaxFailures = 4
	w.accept(j)
	w.run(failingFor)
	w.workers["a"].fails = false
	w.run(maxAvoidTime + time.Second)
	if saved := w.saved["j1"]; saved == nil || saved.State != work.JobCompleted {
		t.Errorf("saved progress is %+v after %d starts, want completed", saved, w.startCount(work.TaskName{Job: "j1"}))
	}
}

// Guards against a task that returns to the worker of its failure as soon as it may while
// another one has room.
func TestFailedTaskTakesAnotherWorkerAfterAWait(t *testing.T) {
	w := newSimulation(t, "a", "b")
	w.runTime = 0
	w.run(200 * time.Millisecond)
	w.fillWorkers("b")
	w.runTime = 300 * time.Millisecond
	w.workers["a"].fails = true
	large := step(1)
	large.Size.MilliCores = 2500
	w.accept(job(large))
	w.run(400 * time.Millisecond)
	w.addWorker("c")
	w.s.SetMaintenance("c", true)
	w.run(avoidTime - 150*time.Millisecond)
	w.s.SetMaintenance("c", false)
	w.run(time.Second)
	if n := len(w.workers["c"].started); n != 1 {
		t.Errorf("the task was started %d times on the other worker and %d times on that of the failure", n, len(w.workers["a"].started))
	}
}

// Guards against a task that returns at once to a worker that fails whatever it starts.
func TestFailedTaskPrefersAnotherWorker(t *testing.T) {
	w := newSimulation(t, "a", "b", "c")
	w.run(200 * time.Millisecond)
	for _, f := range w.workers {
		f.fails = true
	}
	w.accept(job(step(1)))
	w.run(600 * time.Millisecond)
	for _, f := range w.workers {
		if len(f.started) > 1 {
			t.Errorf("worker %s got the task %d times", f.ID, len(f.started))
		}
	}
}

// Guards against a long-running task that never starts again after the loss of a worker,
// because the others have reached a limit that its job does not set.
func TestSpreadOfLongRunningTasksYieldsToAMissingWorker(t *testing.T) {
	w := newSimulation(t, "a", "b", "c", "d")
	w.runTime = 0
	w.label("special", "a", "b", "c")
	w.run(200 * time.Millisecond)
	longRunning := step(5)
	longRunning.LongRunning, longRunning.Label = true, "special"
	w.accept(job(longRunning))
	w.run(time.Second)
	lost := w.workers["a"]
	if len(lost.running) == 0 || len(lost.running) > 2 {
		t.Fatalf("%d tasks run on worker a, want up to 2 of 5", len(lost.running))
	}
	lost.silent = true
	w.ledger.Revision++
	w.s.WorkerRemoved("a", w.ledger.Revision)
	w.run(simulationMaxLease + 3*time.Second)
	if n := len(w.workers["b"].running) + len(w.workers["c"].running); n != 5 {
		t.Errorf("%d tasks run on the other workers with the label, want all 5", n)
	}
}

// Guards against a gang whose members are started with different checkpoints, so that
// they can't work together.
func TestGangStartsWithOneCheckpoint(t *testing.T) {
	w := newSimulation(t, "a", "b", "c")
	w.runTime = 0
	w.run(200 * time.Millisecond)
	gang := step(3)
	gang.Gang, gang.Checkpointing, gang.MaxPerWorker = true, true, 1
	w.accept(job(gang))
	w.run(500 * time.Millisecond)
	poolID, _ := w.s.poolByName.Get("pool")
	pool := w.s.Pools.Get(poolID)
	for i, id := range []string{"a", "b", "c"} {
		f := w.workers[id]
		if len(f.running) != 1 {
			t.Fatalf("%d members run on %s", len(f.running), id)
		}
		worker, _ := w.s.workerByID.Get(id)
		checkpoint := []string{"first", "first", "second"}[i]
		w.s.Polled(w.tickNow(), w.s.target(worker, w.s.Workers.Get(worker), pool), PollAnswered, f.reading(w.now),
			[]work.RunStatus{{Task: f.running[0].task, Run: f.running[0].run, Percent: 40, Checkpoint: checkpoint}}, nil)
	}
	checkpoints := map[string]int{}
	w.intercept = func(o StartOrder) (StartAnswer, bool) { checkpoints[o.Checkpoint]++; return 0, false }
	for _, f := range w.workers {
		for _, r := range f.running {
			f.end(r, work.EndGangBroken)
		}
		f.running = nil
	}
	w.run(2 * time.Second)
	if len(checkpoints) != 1 || checkpoints["second"] != 3 {
		t.Errorf("checkpoints of the starts are %v, want the newest for all three", checkpoints)
	}
}
