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
