package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/events"
	"github.com/waxwingbridge/waxwingbridge/ledger"
	"github.com/waxwingbridge/waxwingbridge/placement"
	"github.com/waxwingbridge/waxwingbridge/work"
)

func (w *simulation) logged(r events.Record) {
	if testing.Verbose() {
		w.t.Log(w.now.Sub(simulationStart), r.Event.Message, r.Fields)
	}
}

// Guards against an accepted job that never completes, and against steps that
// start before the steps they depend on are done.
func TestJobRunsStepByStep(t *testing.T) {
	w := newSimulation(t, "a", "b")
	second := step(3)
	second.After = []int{0}
	w.run(200 * time.Millisecond)
	w.accept(job(step(2), second))
	w.run(200 * time.Millisecond)
	if n := w.startCount(work.TaskName{Job: "j1", Step: 1}); n != 0 {
		t.Fatalf("step 1 started %d times while step 0 runs", n)
	}
	w.run(3 * time.Second)
	if saved := w.saved["j1"]; saved == nil || saved.State != work.JobCompleted {
		t.Fatalf("saved progress is %+v, want completed", saved)
	}
	if w.s.Jobs.Len()+w.s.Tasks.Len()+w.s.Runs.Len() != 0 {
		t.Errorf("%d jobs, %d tasks and %d runs remain in the tables", w.s.Jobs.Len(), w.s.Tasks.Len(), w.s.Runs.Len())
	}
}

// Guards against the loss of an ended run. A worker forgets an end once it is
// acknowledged, so the acknowledgement must wait until the end is saved.
func TestEndIsAcknowledgedOnlyAfterSave(t *testing.T) {
	w := newSimulation(t, "a")
	w.run(200 * time.Millisecond)
	w.accept(job(step(1)))
	w.run(100 * time.Millisecond)
	w.storeDown = true
	w.run(2 * time.Second)
	if len(w.workers["a"].ended) != 1 {
		t.Fatalf("the worker lists %d ends while the store applies no write, want 1", len(w.workers["a"].ended))
	}
}

// Guards against a crash of a process that owns a pool for the second time and
// reads ends from workers that it already knows.
func TestPoolIsOwnedAgain(t *testing.T) {
	w := newSimulation(t, "a")
	w.run(200 * time.Millisecond)
	w.s.DropPool("pool")
	w.token = w.ledger.Revision
	w.run(200 * time.Millisecond)
	w.accept(job(step(2)))
	w.run(2 * time.Second)
	if saved := w.saved["j1"]; saved == nil || saved.State != work.JobCompleted {
		t.Fatalf("saved progress is %+v, want completed", saved)
	}
}

// Guards against two runs of a task. A new owner may find a run of a later step
// before it reads the ends of the earlier step from other workers.
func TestRunOfBlockedStageIsKept(t *testing.T) {
	w := newSimulation(t, "a", "b")
	second := step(1)
	second.After = []int{0}
	w.accept(job(step(1), second))
	w.token = w.ledger.Revision + 1
	w.ledger.Revision++
	running := work.TaskName{Job: "j1", Step: 1}
	w.workers["a"].running = []fakeRun{{task: running, run: 1, done: w.now.Add(2 * time.Second)}}
	w.workers["a"].leaseUntil = w.workers["a"].clock(w.now) + simulationMaxLease
	w.workers["b"].ended = []work.RunEnd{{Number: 1, Task: work.TaskName{Job: "j1"}, Run: 1, Reason: work.EndDone}}
	w.workers["b"].silent = true
	w.run(300 * time.Millisecond)
	w.workers["b"].silent = false
	w.run(1500 * time.Millisecond)
	if n := w.startCount(running); n != 0 {
		t.Errorf("the task was started %d times while the run of the earlier owner exists", n)
	}
	if len(w.workers["a"].running) != 1 {
		t.Errorf("the run of the earlier owner was stopped")
	}
	w.run(3 * time.Second)
	if saved := w.saved["j1"]; saved == nil || saved.State != work.JobCompleted {
		t.Errorf("saved progress is %+v, want completed", saved)
	}
}

// Guards against a task that waits forever for a worker that has left. Polls
// without an answer must not extend the lease.
func TestSilentWorkerLeaseExpires(t *testing.T) {
	w := newSimulation(t, "a", "b")
	w.runTime = 0
	longRunning := step(1)
	longRunning.LongRunning = true
	w.run(200 * time.Millisecond)
	w.accept(job(longRunning))
	w.run(300 * time.Millisecond)
	first, other := w.workers["a"], w.workers["b"]
	if len(first.running) == 0 {
		first, other = other, first
	}
	first.silent = true
	w.run(simulationMaxLease - 500*time.Millisecond)
	if len(other.running) != 0 {
		t.Fatal("the task was started on another worker before its lease expired")
	}
	w.run(3 * time.Second)
	if len(other.running) != 1 {
		t.Fatal("the task was not started on another worker after its lease had expired")
	}
}

// Guards against an eviction that exceeds the availability limit. A task counts
// as unavailable if its worker no longer answers, even if the last list showed it
// serving.
func TestEvictionCountsSilentWorkers(t *testing.T) {
	w := newSimulation(t, "a", "b", "c")
	w.runTime = 0
	longRunning := step(2)
	longRunning.LongRunning, longRunning.MaxUnavailable, longRunning.MaxPerWorker = true, 1, 1
	w.run(200 * time.Millisecond)
	w.accept(job(longRunning))
	w.run(500 * time.Millisecond)
	var used []*fakeWorker
	for _, id := range []string{"a", "b", "c"} {
		if len(w.workers[id].running) > 0 {
			used = append(used, w.workers[id])
		}
	}
	if len(used) != 2 {
		t.Fatalf("%d workers run a task, want 2", len(used))
	}
	used[0].silent = true
	w.run(3 * time.Second)
	w.s.SetMaintenance(used[1].ID, true)
	w.run(time.Second)
	if len(used[1].running) != 1 {
		t.Fatal("a task was stopped while the worker of the other task does not answer")
	}
}

// Guards against two owners that run the same job. A job that this process
// accepted itself starts only after the watch has reached the acceptance, since
// any earlier change of the owner is known by then.
func TestLocallyAcceptedJobWaitsForWatch(t *testing.T) {
	w := newSimulation(t, "a")
	w.run(200 * time.Millisecond)
	accepted := job(step(1))
	accepted.Pool = "pool"
	w.ledger.Apply(w.now, ledger.Record{
		Key: ledger.Key{Kind: ledger.KindJob, Name: "j1"}, Content: accepted, Revision: w.ledger.Revision + 5, CreateRevision: w.ledger.Revision + 5,
	})
	w.run(300 * time.Millisecond)
	if n := w.startCount(work.TaskName{Job: "j1"}); n != 0 {
		t.Fatalf("the job was started %d times before the watch reached its acceptance", n)
	}
	w.ledger.Revision += 5
	w.run(300 * time.Millisecond)
	if n := w.startCount(work.TaskName{Job: "j1"}); n != 1 {
		t.Fatalf("the job was started %d times, want 1", n)
	}
}

// Guards against two runs of a task after an unanswered start that is executed
// late. A stop must prevent that before the task is started again.
func TestUnansweredStartIsStoppedBeforeRestart(t *testing.T) {
	w := newSimulation(t, "a")
	w.run(200 * time.Millisecond)
	w.accept(job(step(1)))
	w.renewOwnership()
	tick := engine.Tick{Now: w.now}
	for _, system := range Systems {
		system.Run(w.s, tick)
	}
	orders := drained[StartOrder](&w.s.Out.Starts)
	if len(orders) != 1 {
		t.Fatalf("%d starts, want 1", len(orders))
	}
	w.s.Started(tick, orders[0], StartUnanswered, ClockReading{}, nil)
	w.run(time.Second)
	if answer := w.start(orders[0]); answer != StartOld {
		t.Errorf("the late start was answered %v, want %v", answer, StartOld)
	}
	w.run(2 * time.Second)
	if saved := w.saved["j1"]; saved == nil || saved.State != work.JobCompleted {
		t.Errorf("saved progress is %+v, want completed", saved)
	}
}

// Guards against restarting a task that has failed as often as its queue allows,
// and against counting a failure twice after a change of the owner.
func TestJobFailsAtTheLimit(t *testing.T) {
	w := newSimulation(t, "a", "b")
	w.workers["a"].fails, w.workers["b"].fails = true, true
	w.run(200 * time.Millisecond)
	w.accept(job(step(1)))
	w.run(4 * time.Second)
	if saved := w.saved["j1"]; saved == nil || saved.State != work.JobFailed {
		t.Fatalf("saved progress is %+v, want failed", saved)
	}
	if n := w.startCount(work.TaskName{Job: "j1"}); n != 2 {
		t.Errorf("the task was started %d times, want 2", n)
	}
}

// Guards against two runs of a task. The lease of an adopted run was granted by
// the earlier owner, and the new owner must not take it for expired.
func TestAdoptedRunKeepsLease(t *testing.T) {
	w := newSimulation(t, "a", "b")
	w.accept(job(step(2)))
	w.ledger.Revision++
	w.token = w.ledger.Revision
	f := w.workers["a"]
	f.running = []fakeRun{{task: work.TaskName{Job: "j1"}, run: 1, done: w.now.Add(2 * time.Second)}}
	f.leaseUntil = f.clock(w.now) + simulationMaxLease
	// An end that is not saved yet delays the next poll.
	w.failKind = ledger.KindProgress
	f.ended = []work.RunEnd{{Number: 1, Task: work.TaskName{Job: "j1", Index: 1}, Run: 1, Reason: work.EndDone}}
	w.run(time.Second)
	if n := w.startCount(work.TaskName{Job: "j1"}); n != 0 {
		t.Errorf("the task was started %d times while the earlier owner's run may continue", n)
	}
}

// Guards against a long-running task that stays unavailable while some worker of
// an earlier owner does not answer, although its own run was found and has ended.
func TestFoundTaskDoesNotWaitForSilentWorkers(t *testing.T) {
	w := newSimulation(t, "a", "b", "c")
	w.runTime = 0
	longRunning := step(1)
	longRunning.LongRunning = true
	w.accept(job(longRunning))
	w.s.ApplyContacts(w.now, ledger.Record{
		Key: ledger.Key{Kind: ledger.KindContacts, Name: "pool"}, Revision: 5,
		Content: []work.Contact{{Worker: "a", Address: "a:1", Incarnation: 1}, {Worker: "c", Address: "c:1", Incarnation: 1}},
	})
	w.ledger.Revision++
	w.token = w.ledger.Revision
	f := w.workers["a"]
	w.workers["c"].silent = true
	f.running = []fakeRun{{task: work.TaskName{Job: "j1"}, run: 1}}
	f.leaseUntil = f.clock(w.now) + simulationMaxLease
	w.run(300 * time.Millisecond)
	w.s.SetMaintenance("a", true)
	w.run(time.Second)
	if n := w.startCount(work.TaskName{Job: "j1"}); n != 1 {
		t.Errorf("the task was started %d times, want 1", n)
	}
}

// Guards against a lease that is taken for expired too early. A process short of
// processor time may apply an answer in a tick whose time is long before the
// answer's arrival, and would then estimate the worker's clock as too far ahead.
func TestClockReadingCountsFromItsArrival(t *testing.T) {
	w := newSimulation(t, "a")
	w.run(200 * time.Millisecond)
	id, _ := w.s.workerByID.Get("a")
	row := w.s.Workers.Get(id)
	arrival := w.now.Add(900 * time.Millisecond)
	row.leaseUntil = w.workers["a"].clock(arrival) + simulationMaxLease
	p := w.s.Pools.Get(row.pool)
	w.s.Polled(engine.Tick{Now: w.now}, w.s.target(id, row, p), PollAnswered, w.workers["a"].reading(arrival), nil, nil)
	if expiry := w.s.Workers.Get(id).leasesExpireAt(); expiry.Before(arrival.Add(simulationMaxLease)) {
		t.Errorf("the lease is taken for expired %v too early", arrival.Add(simulationMaxLease).Sub(expiry))
	}
}

// Guards against a store that fills up with records of finished jobs, and against
// a table that keeps them.
func TestOldRecordsAreRemoved(t *testing.T) {
	w := newSimulation(t, "a")
	w.s.Config.Retention = 5 * time.Second
	w.run(200 * time.Millisecond)
	w.accept(job(step(1)))
	w.run(4 * time.Second)
	if len(w.deleted) != 0 {
		t.Fatalf("records %v were removed within the retention of the job", w.deleted)
	}
	w.run(16 * time.Second)
	if len(w.deleted) < 3 {
		t.Fatalf("removed records are %v, want at least 3", w.deleted)
	}
	for _, key := range w.deleted[:3] {
		w.ledger.Revision++
		w.ledger.Apply(w.now, ledger.Record{Key: key, Deleted: true, Revision: w.ledger.Revision})
	}
	if w.ledger.Jobs.Len() != 0 {
		t.Error("the ledger still contains the removed job")
	}
}

// Guards against a new owner that waits for workers that left long ago.
func TestContactsDropRemovedWorkers(t *testing.T) {
	w := newSimulation(t, "a", "b")
	w.run(300 * time.Millisecond)
	if len(w.contacts) != 2 {
		t.Fatalf("contacts are %v, want both workers", w.contacts)
	}
	w.workers["b"].silent = true
	w.ledger.Revision++
	w.s.WorkerRemoved("b", w.ledger.Revision)
	w.run(2 * time.Second)
	if len(w.contacts) != 1 || w.contacts[0].Worker != "a" {
		t.Errorf("contacts are %v, want only a", w.contacts)
	}
}

// Guards against a new owner that waits until all leases have expired for workers
// that the previous owner had given up: a silent one without runs, and one whose
// machine is about to move.
func TestContactsDropWorkersWithoutRunsThatGetNoStarts(t *testing.T) {
	w := newSimulation(t, "a", "b", "c")
	w.run(300 * time.Millisecond)
	w.workers["b"].silent = true
	w.s.SetMaintenance("c", true)
	w.run(4 * time.Second)
	if len(w.contacts) != 1 || w.contacts[0].Worker != "a" {
		t.Errorf("contacts are %v, want only a", w.contacts)
	}
	w.workers["b"].silent = false
	w.s.SetMaintenance("c", false)
	w.observe = func(task work.TaskName) {
		for id, f := range w.workers {
			if len(f.started) > 0 && !slices.ContainsFunc(w.contacts, func(c work.Contact) bool { return c.Worker == id }) {
				t.Errorf("%s was started on %s, which is not among the stored contacts", task, id)
			}
		}
	}
	w.run(2 * time.Second)
	w.accept(job(step(12)))
	w.run(2 * time.Second)
	if started := w.startedOn(); len(started) != 3 {
		t.Errorf("tasks were started on %v, want all three workers", started)
	}
}

// Guards against one start too many of a failing task. A new owner may read the
// end of the second failed run before that of the first, on another worker.
func TestFailuresAreCountedInAnyOrder(t *testing.T) {
	w := newSimulation(t, "a", "b", "c")
	w.accept(job(step(1)))
	w.ledger.Revision++
	w.token = w.ledger.Revision
	task := work.TaskName{Job: "j1"}
	w.s.ApplyContacts(w.now, ledger.Record{
		Key: ledger.Key{Kind: ledger.KindContacts, Name: "pool"}, Revision: 5,
		Content: []work.Contact{{Worker: "a", Address: "a:1", Incarnation: 1}, {Worker: "b", Address: "b:1", Incarnation: 1}},
	})
	w.workers["a"].ended = []work.RunEnd{{Number: 1, Task: task, Run: 2, Reason: work.EndFailed}}
	w.workers["b"].ended = []work.RunEnd{{Number: 1, Task: task, Run: 1, Reason: work.EndFailed}}
	w.workers["b"].silent = true
	w.run(300 * time.Millisecond)
	w.workers["b"].silent = false
	w.run(2 * time.Second)
	if saved := w.saved["j1"]; saved == nil || saved.State != work.JobFailed || w.startCount(task) != 0 {
		t.Errorf("after %d more starts the saved progress is %+v, want failed without a start", w.startCount(task), saved)
	}
}

// Guards against tasks that wait for the lease of a worker although its machine
// already has a newer one. No run of the earlier worker can exist.
func TestNewIncarnationEndsEarlierRuns(t *testing.T) {
	w := newSimulation(t, "a")
	w.runTime = 0
	w.accept(job(step(1)))
	w.run(500 * time.Millisecond)
	if n := w.startCount(work.TaskName{Job: "j1"}); n != 1 {
		t.Fatalf("the task was started %d times", n)
	}
	w.workers["a"].silent = true
	replacement := w.addWorker("b")
	replacement.Machine, replacement.Incarnation = "m-a", 2
	entry := replacement.Worker
	w.ledger.Revision++
	w.s.ApplyWorker(w.now, &entry, w.ledger.Revision)
	w.run(time.Second)
	if n := w.startCount(work.TaskName{Job: "j1"}); n != 2 {
		t.Errorf("the task was started %d times, want once per incarnation", n)
	}
}

// Guards against a takeover that waits 8 s for a worker that left when its
// machine moved. The present worker of the machine proves that the earlier one is
// gone.
func TestTakeoverIgnoresEarlierIncarnations(t *testing.T) {
	w := newSimulation(t, "a")
	departed := w.addWorker("c")
	departed.silent = true
	replacement := w.addWorker("d")
	replacement.Machine, replacement.Incarnation, replacement.Pool = "m-c", 2, "other"
	w.accept(job(step(1)))
	w.s.ApplyContacts(w.now, ledger.Record{
		Key: ledger.Key{Kind: ledger.KindContacts, Name: "pool"}, Revision: 5,
		Content: []work.Contact{{Worker: "a", Machine: "m-a", Address: "a:1", Incarnation: 1}, {Worker: "c", Machine: "m-c", Address: "c:1", Incarnation: 1}},
	})
	entry := replacement.Worker
	w.ledger.Revision++
	w.s.ApplyWorker(w.now, &entry, w.ledger.Revision)
	w.ledger.Revision++
	w.token = w.ledger.Revision
	w.run(time.Second)
	if n := w.startCount(work.TaskName{Job: "j1"}); n != 1 {
		t.Errorf("the task was started %d times within a second, want 1", n)
	}
}

// Guards against a collapse under load. An owner that orders more starts than it
// can send within their time limit counts all of them as unanswered and keeps
// stopping them.
func TestStartsInFlightAreBounded(t *testing.T) {
	var names []string
	for i := range 30 {
		names = append(names, fmt.Sprintf("w%02d", i))
	}
	w := newSimulation(t, names...)
	for _, id := range names {
		f := w.workers[id]
		f.Capacity = placement.Resources{MilliCores: 32000, MemoryMB: 64000}
		entry := f.Worker
		w.ledger.Revision++
		w.s.ApplyWorker(w.now, &entry, w.ledger.Revision)
	}
	w.run(200 * time.Millisecond)
	inFlight := map[string]int{}
	total := 0
	w.intercept = func(o StartOrder) (StartAnswer, bool) {
		inFlight[o.Target.ID]++
		total++
		return 0, true // no answer yet
	}
	large := job(step(1000))
	w.accept(large)
	w.run(500 * time.Millisecond)
	if total > maxStartsInFlight {
		t.Errorf("%d starts are in flight, the bound is %d", total, maxStartsInFlight)
	}
	for id, n := range inFlight {
		if n > maxStartsPerWorker {
			t.Errorf("%d starts are in flight to %s, the bound is %d", n, id, maxStartsPerWorker)
		}
	}
}

// Guards against stops that are repeated at a constant rate while an owner is
// short of processor time.
func TestStopsBackOff(t *testing.T) {
	w := newSimulation(t, "a")
	w.runTime = 0
	w.accept(job(step(1)))
	w.run(300 * time.Millisecond)
	w.ledger.Revision++
	w.ledger.Apply(w.now, ledger.Record{Key: ledger.Key{Kind: ledger.KindCancel, Name: "j1"}, Revision: w.ledger.Revision})
	stops := 0
	for range 400 { // 4 s in which every stop is lost
		w.now = w.now.Add(simulationStep)
		w.renewOwnership()
		tick := w.tickNow()
		for _, system := range Systems {
			system.Run(w.s, tick)
		}
		stops += len(drained[StopOrder](&w.s.Out.Stops))
		w.execute(tick)
	}
	if stops == 0 || stops > 4 {
		t.Errorf("%d stops in 4 s, want at 0, 0.5, 1.5 and 3.5 s", stops)
	}
}
