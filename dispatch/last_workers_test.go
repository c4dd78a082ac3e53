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
