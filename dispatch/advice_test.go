package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/waxwingbridge/waxwingbridge/work"
)

// advised returns a job of a queue with an advice service.
func advised(id string, steps ...work.Step) *work.Job {
	j := job(steps...)
	j.ID = id
	j.Limits.Advice = work.AdviceSettings{Decision: 20 * time.Millisecond, PerWorker: 5 * time.Millisecond, Validity: ticketValidity}
	return j
}

// allowOnly has the advice service allow the given workers.
func (w *simulation) allowOnly(ids ...string) {
	w.policy = func(worker string) bool { return slices.Contains(ids, worker) }
}

func (w *simulation) runningOn(ids ...string) int {
	n := 0
	for _, id := range ids {
		n += len(w.workers[id].running)
	}
	return n
}

// Guards against a job that waits for good although an allowed worker is idle (LOST): the
// worker is surplus, and advice was asked for the workers in use only.
func TestStageWithAdviceTakesSurplusWorkersBack(t *testing.T) {
	for name, c := range map[string]struct {
		step    func() work.Step
		allowed []string // a to d become surplus first
		want    int
	}{
		"one allowed":                    {step: func() work.Step { return step(1) }, allowed: []string{"a"}, want: 1},
		"limit per worker":               {step: func() work.Step { s := step(2); s.MaxPerWorker = 1; return s }, allowed: []string{"a", "b"}, want: 2},
		"gang":                           {step: func() work.Step { s := step(3); s.Gang, s.MaxPerWorker = true, 1; return s }, allowed: []string{"a", "b", "g"}, want: 3},
		"the allowed one in use is full": {step: func() work.Step { s := step(2); s.Size.MilliCores = 4000; return s }, allowed: []string{"a", "g"}, want: 2},
	} {
		t.Run(name, func(t *testing.T) {
			w := newSimulation(t, "a", "b", "c", "d", "e", "f", "g")
			w.runTime = 0
			w.allowOnly(c.allowed...)
			w.run(3 * time.Second)
			id, _ := w.s.workerByID.Get("a")
			if !w.s.Workers.Get(id).released {
				t.Fatalf("worker a is not released in %+v", w.demand)
			}
			w.accept(advised("j1", c.step()))
			w.run(hangTimeout) // the runs of the simulation make no progress
			if n := w.runningOn(c.allowed...); n != c.want {
				t.Errorf("%d tasks run, want %d; asked %v", n, c.want, w.asked)
			}
		})
	}
}

// Guards against a job that waits for good after the loss of one allowed worker, while
// other allowed ones are surplus (LOST).
func TestLossOfAnAllowedWorkerMovesItsTasks(t *testing.T) {
	w := newSimulation(t, "a", "b", "c", "d", "e", "f", "g")
	w.allowOnly("a", "b", "g")
	w.run(3 * time.Second)
	w.accept(advised("j1", step(2)))
	w.run(time.Second)
	lost := w.workers["g"]
	lost.silent = true
	w.ledger.Revision++
	w.s.WorkerRemoved(lost.ID, w.ledger.Revision)
	w.run(3 * time.Second)
	w.accept(advised("j2", step(2)))
	w.run(2 * time.Second)
	if saved := w.saved["j2"]; saved == nil || saved.State != work.JobCompleted {
		t.Errorf("saved progress is %+v, want completed; asked %v", saved, w.asked)
	}
}

// Guards against a job that waits for good because each request names the same workers
// (LOST): more of them are in use than one request may name.
func TestRequestsForAdviceReachAllWorkers(t *testing.T) {
	const workers = 2*maxAdviceWorkers + 5
	var ids []string
	for i := range workers {
		ids = append(ids, fmt.Sprintf("w%02d", i))
	}
	w := newSimulation(t, ids...)
	w.runTime = 0
	w.run(200 * time.Millisecond)
	filling := step(workers)
	filling.LongRunning, filling.MaxPerWorker = true, 1
	filling.Size.MilliCores = 1000
	all := job(filling)
	all.ID = "j0"
	w.accept(all)
	w.run(2 * time.Second)
	w.allowOnly("w00")
	w.accept(advised("j1", step(1)))
	w.run(hangTimeout)
	if n := len(w.workers["w00"].running); n != 2 {
		t.Errorf("%d tasks run on the only allowed worker, want 2; asked for %d workers", n, len(w.asked))
	}
}

// Guards against an advice service that is asked again and again for workers that it does
// not allow.
func TestWorkersWithoutPermissionAreAskedForSeldom(t *testing.T) {
	w := newSimulation(t, "a", "b", "c", "d", "e", "f", "g")
	w.run(3 * time.Second)
	w.allowOnly()
	w.accept(advised("j1", step(1)))
	w.run(2*adviceRefusalTTL - time.Second)
	for _, id := range []string{"a", "b", "c", "d", "e", "f", "g"} {
		if n := w.asked[id]; n < 1 || n > 2 {
			t.Errorf("worker %s was asked for %d times in less than two lives of a refusal, want 1 or 2", id, n)
		}
	}
}

// Guards against a long-running task that is moved off a worker ahead of its maintenance
// although the advice service allows none of the others (LOST).
func TestTaskStaysWhereNoOtherWorkerIsAllowed(t *testing.T) {
	w := newSimulation(t, "a", "b", "c")
	w.runTime = 0
	w.allowOnly("a")
	w.run(200 * time.Millisecond)
	longRunning := step(1)
	longRunning.LongRunning = true
	w.accept(advised("j1", longRunning))
	w.run(2 * time.Second)
	if len(w.workers["a"].running) != 1 {
		t.Fatal("the task does not run on the allowed worker")
	}
	w.s.SetMaintenancePending(map[string]bool{w.workers["a"].Machine: true})
	w.run(3 * time.Second)
	if n := w.startCount(work.TaskName{Job: "j1"}); n != 1 || len(w.workers["a"].running) != 1 {
		t.Errorf("the task was started %d times and %d runs are left", n, len(w.workers["a"].running))
	}
}
