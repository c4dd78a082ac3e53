package dispatch

import (
	"slices"
	"testing"
	"time"

	"github.com/waxwingbridge/waxwingbridge/work"
)

// Guards against a job that waits for good although a worker that can run it is idle: the
// need of a pool counts cores, and the only workers that the job fits on are surplus.
func TestWaitingStageTakesSurplusWorkersBack(t *testing.T) {
	ids := []string{"a", "b", "c", "d", "e", "f", "g"}
	for name, c := range map[string]struct {
		step    func() work.Step
		prepare func(first *fakeWorker) // of the worker that becomes surplus first
		want    int                     // tasks that run at the same time
	}{
		"label": {
			step:    func() work.Step { s := step(1); s.Label = "special"; return s },
			prepare: func(f *fakeWorker) { f.Labels = []string{"special"} },
			want:    1,
		},
		"accelerator": {
			step:    func() work.Step { s := step(1); s.Size.Accelerators = 1; return s },
			prepare: func(f *fakeWorker) { f.Capacity.Accelerators = 1 },
			want:    1,
		},
		"size": {
			step:    func() work.Step { s := step(1); s.Size.MemoryMB = 5000; return s },
			prepare: func(f *fakeWorker) { f.Capacity.MemoryMB = 8000 },
			want:    1,
		},
		"gang with a limit per worker": {
			step: func() work.Step { s := step(6); s.Gang, s.MaxPerWorker = true, 1; return s },
			want: 6,
		},
		"limit per worker": {
			step: func() work.Step { s := step(6); s.MaxPerWorker = 1; return s },
			want: 6,
		},
	} {
		t.Run(name, func(t *testing.T) {
			w := newSimulation(t, ids...)
			w.runTime = 0
			if c.prepare != nil {
				c.prepare(w.workers["a"])
				w.ledger.Revision++
				entry := w.workers["a"].Worker
				w.s.ApplyWorker(w.now, &entry, w.ledger.Revision)
			}
			w.run(3 * time.Second)
			id, _ := w.s.workerByID.Get("a")
			if w.demand == nil || !slices.Contains(w.demand.Released, "a") || !w.s.Workers.Get(id).released {
				t.Fatalf("worker a is not released in %+v", w.demand)
			}
			w.accept(job(c.step()))
			w.run(hangTimeout) // the runs of the simulation make no progress
			running := 0
			for _, f := range w.workers {
				running += len(f.running)
			}
			if running != c.want {
				t.Errorf("%d tasks run, want %d; last report %+v", running, c.want, w.demand)
			}
		})
	}
}

// Guards against a job that waits for good after the loss of its worker, while the only
// other one with the required label is surplus.
func TestLossOfALabelledWorkerMovesItsTask(t *testing.T) {
	w := newSimulation(t, "a", "b", "c", "d", "e", "f", "g")
	w.runTime = 0
	for _, id := range []string{"a", "g"} {
		w.workers[id].Labels = []string{"special"}
		w.ledger.Revision++
		entry := w.workers[id].Worker
		w.s.ApplyWorker(w.now, &entry, w.ledger.Revision)
	}
	w.run(3 * time.Second)
	labelled := step(1)
	labelled.Label, labelled.LongRunning = "special", true
	w.accept(job(labelled))
	w.run(3 * time.Second)
	first, other := w.workers["a"], w.workers["g"]
	if len(first.running) == 0 {
		first, other = other, first
	}
	if len(first.running) != 1 {
		t.Fatal("the task does not run")
	}
	first.silent = true
	w.ledger.Revision++
	w.s.WorkerRemoved(first.ID, w.ledger.Revision)
	w.run(simulationMaxLease + 3*time.Second)
	if len(other.running) != 1 {
		t.Errorf("the task does not run on %s, last report %+v", other.ID, w.demand)
	}
}

// Guards against workers that change between surplus and kept all the time, each change
// of which is a report to the owner of the fleet.
func TestKeptWorkerStaysUntilItsTaskHasStarted(t *testing.T) {
	w := newSimulation(t, "a", "b", "c", "d", "e", "f", "g")
	w.runTime = 0
	w.workers["a"].Labels = []string{"special"}
	w.ledger.Revision++
	entry := w.workers["a"].Worker
	w.s.ApplyWorker(w.now, &entry, w.ledger.Revision)
	w.run(3 * time.Second)
	labelled := step(1)
	labelled.Label = "special"
	w.accept(job(labelled))
	id, _ := w.s.workerByID.Get("a")
	changes, surplus := 0, true
	for range 300 {
		w.run(simulationStep)
		if now := w.s.Workers.Get(id).surplus; now != surplus {
			changes, surplus = changes+1, now
		}
	}
	if changes != 1 || surplus {
		t.Errorf("the worker changed %d times, surplus %v", changes, surplus)
	}
}
