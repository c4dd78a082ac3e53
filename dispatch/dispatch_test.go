package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/events"
	"github.com/waxwingbridge/waxwingbridge/ledger"
	"github.com/waxwingbridge/waxwingbridge/placement"
	"github.com/waxwingbridge/waxwingbridge/work"
)

func (w *world) logged(r events.Record) {
	if testing.Verbose() {
		w.t.Log(w.now.Sub(worldStart), r.Event.Message, r.Fields)
	}
}

// Guards against a job that is accepted and never completed, and against
// steps that start before those they depend on.
func TestJobRunsStepByStep(t *testing.T) {
	w := newWorld(t, "a", "b")
	second := step(3)
	second.After = []int{0}
	w.run(200 * time.Millisecond)
	w.accept(job(step(2), second))
	w.run(200 * time.Millisecond)
	if n := w.starts(work.TaskName{Job: "j1", Step: 1}); n != 0 {
		t.Fatalf("step 1 started %d times while step 0 runs", n)
	}
	w.run(3 * time.Second)
	if saved := w.saved["j1"]; saved == nil || saved.State != work.JobCompleted {
		t.Fatalf("saved progress is %+v, want completed", saved)
	}
	if w.s.Jobs.Len()+w.s.Tasks.Len()+w.s.Runs.Len() != 0 {
		t.Errorf("%d jobs, %d tasks and %d runs stay in the tables", w.s.Jobs.Len(), w.s.Tasks.Len(), w.s.Runs.Len())
	}
}

// Guards against an end that a worker may forget before it is durable: its
// acknowledgement waits for the write.
func TestEndIsAcknowledgedAfterItIsSaved(t *testing.T) {
	w := newWorld(t, "a")
	w.run(200 * time.Millisecond)
	w.accept(job(step(1)))
	w.run(100 * time.Millisecond)
	w.hold = true
	w.run(2 * time.Second)
	if len(w.workers["a"].ended) != 1 {
		t.Fatalf("the worker lists %d ends while the store answers nothing, want 1", len(w.workers["a"].ended))
	}
}

// Guards against a crash: a process that owns a pool for the second time reads
// ends of workers that it knew before.
func TestPoolIsOwnedAgain(t *testing.T) {
	w := newWorld(t, "a")
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

// Guards against two runs of a task: a new owner finds a run of a later step
// before it has read the ends of the step before, which other workers list.
func TestRunOfBlockedStageIsKept(t *testing.T) {
	w := newWorld(t, "a", "b")
	second := step(1)
	second.After = []int{0}
	w.accept(job(step(1), second))
	w.token = w.ledger.Revision + 1
	w.ledger.Revision++
	running := work.TaskName{Job: "j1", Step: 1}
	w.workers["a"].running = []fakeRun{{task: running, run: 1, done: w.now.Add(2 * time.Second)}}
	w.workers["a"].leaseUntil = w.workers["a"].clock(w.now) + worldMaxLease
	w.workers["b"].ended = []work.RunEnd{{Number: 1, Task: work.TaskName{Job: "j1"}, Run: 1, Reason: work.EndDone}}
	w.workers["b"].silent = true
	w.run(300 * time.Millisecond)
	w.workers["b"].silent = false
	w.run(1500 * time.Millisecond)
	if n := w.starts(running); n != 0 {
		t.Errorf("the task was started %d times beside the run of the earlier owner", n)
	}
	if len(w.workers["a"].running) != 1 {
		t.Errorf("the run of the earlier owner was stopped")
	}
	w.run(3 * time.Second)
	if saved := w.saved["j1"]; saved == nil || saved.State != work.JobCompleted {
		t.Errorf("saved progress is %+v, want completed", saved)
	}
}

// Guards against a task that waits for ever for a worker that is gone: looks
// that get no answer must not prolong the lease.
func TestSilentWorkerLapses(t *testing.T) {
	w := newWorld(t, "a", "b")
	w.runTime = 0
	lasting := step(1)
	lasting.LongRunning = true
	w.run(200 * time.Millisecond)
	w.accept(job(lasting))
	w.run(300 * time.Millisecond)
	first, other := w.workers["a"], w.workers["b"]
	if len(first.running) == 0 {
		first, other = other, first
	}
	first.silent = true
	w.run(worldMaxLease - 500*time.Millisecond)
	if len(other.running) != 0 {
		t.Fatal("the task was started elsewhere while its lease lasts")
	}
	w.run(3 * time.Second)
	if len(other.running) != 1 {
		t.Fatal("the task was not started elsewhere after the lease had lapsed")
	}
}

// Guards against a second unavailable task: one whose worker fell silent counts
// as unavailable though its last list showed it at work.
func TestEvictionCountsSilentWorkers(t *testing.T) {
	w := newWorld(t, "a", "b", "c")
	w.runTime = 0
	lasting := step(2)
	lasting.LongRunning, lasting.MaxUnavailable, lasting.MaxPerWorker = true, 1, 1
	w.run(200 * time.Millisecond)
	w.accept(job(lasting))
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
		t.Fatal("a task was stopped while the other one's worker is silent")
	}
}

// Guards against two owners that run one job: a job that this process accepted
// itself starts only after the watch has passed its acceptance, since an
// earlier change of the owner shows by then.
func TestOwnAcceptanceWaitsForTheWatch(t *testing.T) {
	w := newWorld(t, "a")
	w.run(200 * time.Millisecond)
	early := job(step(1))
	early.Pool = "pool"
	w.ledger.Apply(w.now, ledger.Record{
		Key: ledger.Key{Kind: ledger.KindJob, Name: "j1"}, Content: early, Revision: w.ledger.Revision + 5, CreateRevision: w.ledger.Revision + 5,
	})
	w.run(300 * time.Millisecond)
	if n := w.starts(work.TaskName{Job: "j1"}); n != 0 {
		t.Fatalf("the job was started %d times before the watch had passed it", n)
	}
	w.ledger.Revision += 5
	w.run(300 * time.Millisecond)
	if n := w.starts(work.TaskName{Job: "j1"}); n != 1 {
		t.Fatalf("the job was started %d times, want 1", n)
	}
}

// Guards against a run that begins late beside its repetition: an unanswered
// start is ruled out by a stop before the task starts again.
func TestUnansweredStartIsRuledOut(t *testing.T) {
	w := newWorld(t, "a")
	w.run(200 * time.Millisecond)
	w.accept(job(step(1)))
	w.own()
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

// Guards against a task that fails more often than its queue allows, and
// against a failure that is counted twice after a change of the owner.
func TestJobFailsAtTheLimit(t *testing.T) {
	w := newWorld(t, "a", "b")
	w.workers["a"].fails, w.workers["b"].fails = true, true
	w.run(200 * time.Millisecond)
	w.accept(job(step(1)))
	w.run(4 * time.Second)
	if saved := w.saved["j1"]; saved == nil || saved.State != work.JobFailed {
		t.Fatalf("saved progress is %+v, want failed", saved)
	}
	if n := w.starts(work.TaskName{Job: "j1"}); n != 2 {
		t.Errorf("the task was started %d times, want 2", n)
	}
}

// Guards against two runs of a task: the lease of a run that a new owner finds
// was granted by the earlier owner, and must not look lapsed.
func TestFoundRunKeepsItsLease(t *testing.T) {
	w := newWorld(t, "a", "b")
	w.accept(job(step(2)))
	w.ledger.Revision++
	w.token = w.ledger.Revision
	f := w.workers["a"]
	f.running = []fakeRun{{task: work.TaskName{Job: "j1"}, run: 1, done: w.now.Add(2 * time.Second)}}
	f.leaseUntil = f.clock(w.now) + worldMaxLease
	// An end that waits to be saved delays the next look.
	w.holdKind = ledger.KindProgress
	f.ended = []work.RunEnd{{Number: 1, Task: work.TaskName{Job: "j1", Index: 1}, Run: 1, Reason: work.EndDone}}
	w.run(time.Second)
	if n := w.starts(work.TaskName{Job: "j1"}); n != 0 {
		t.Errorf("the task was started %d times while the earlier owner's run may go on", n)
	}
}

// Guards against a lasting task that stays away for as long as some worker of
// an earlier owner is silent, although its own run was found and ended.
func TestFoundTaskNeedNotWaitForSilentWorkers(t *testing.T) {
	w := newWorld(t, "a", "b", "c")
	w.runTime = 0
	lasting := step(1)
	lasting.LongRunning = true
	w.accept(job(lasting))
	w.s.ContactsSeen(ledger.Record{
		Key: ledger.Key{Kind: ledger.KindContacts, Name: "pool"}, Revision: 5,
		Content: []work.Contact{{Worker: "a", Address: "a:1", Incarnation: 1}, {Worker: "c", Address: "c:1", Incarnation: 1}},
	})
	w.ledger.Revision++
	w.token = w.ledger.Revision
	f := w.workers["a"]
	w.workers["c"].silent = true
	f.running = []fakeRun{{task: work.TaskName{Job: "j1"}, run: 1}}
	f.leaseUntil = f.clock(w.now) + worldMaxLease
	w.run(300 * time.Millisecond)
	w.s.SetMaintenance("a", true)
	w.run(time.Second)
	if n := w.starts(work.TaskName{Job: "j1"}); n != 1 {
		t.Errorf("the task was started %d times, want 1", n)
	}
}

// Guards against a lease that looks lapsed too early: a process short of
// processor time applies an answer in a tick whose time is long before the
// answer's arrival, and would take the worker's clock to be ahead.
func TestClockReadingCountsFromItsArrival(t *testing.T) {
	w := newWorld(t, "a")
	w.run(200 * time.Millisecond)
	id, _ := w.s.workerByID.Get("a")
	row := w.s.Workers.Get(id)
	arrival := w.now.Add(900 * time.Millisecond)
	row.leaseUntil = w.workers["a"].clock(arrival) + worldMaxLease
	p := w.s.Pools.Get(row.pool)
	w.s.Polled(engine.Tick{Now: w.now}, w.s.target(id, row, p), PollAnswered, w.workers["a"].reading(arrival), nil, nil)
	if lapse := w.s.Workers.Get(id).lapsesAt(); lapse.Before(arrival.Add(worldMaxLease)) {
		t.Errorf("the lease looks lapsed %v before it is", arrival.Add(worldMaxLease).Sub(lapse))
	}
}

// Guards against a store that fills up with finished jobs, and a table that
// keeps them.
func TestOldRecordsAreRemoved(t *testing.T) {
	w := newWorld(t, "a")
	w.s.Config.Retention = 5 * time.Second
	w.run(200 * time.Millisecond)
	w.accept(job(step(1)))
	w.run(4 * time.Second)
	if len(w.deleted) != 0 {
		t.Fatalf("records %v are removed while the job is shown", w.deleted)
	}
	w.run(16 * time.Second)
	if len(w.deleted) < 3 {
		t.Fatalf("removed records: %v", w.deleted)
	}
	for _, key := range w.deleted[:3] {
		w.ledger.Revision++
		w.ledger.Apply(w.now, ledger.Record{Key: key, Deleted: true, Revision: w.ledger.Revision})
	}
	if w.ledger.Jobs.Len() != 0 {
		t.Error("the ledger keeps the removed job")
	}
}

// Guards against a new owner that waits for workers which left long ago.
func TestContactsForgetWorkersThatLeft(t *testing.T) {
	w := newWorld(t, "a", "b")
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

// Guards against a task that is started once too often: a new owner reads the
// end of the second failed run before that of the first, on another worker.
func TestFailuresAreCountedInAnyOrder(t *testing.T) {
	w := newWorld(t, "a", "b", "c")
	w.accept(job(step(1)))
	w.ledger.Revision++
	w.token = w.ledger.Revision
	task := work.TaskName{Job: "j1"}
	w.s.ContactsSeen(ledger.Record{
		Key: ledger.Key{Kind: ledger.KindContacts, Name: "pool"}, Revision: 5,
		Content: []work.Contact{{Worker: "a", Address: "a:1", Incarnation: 1}, {Worker: "b", Address: "b:1", Incarnation: 1}},
	})
	w.workers["a"].ended = []work.RunEnd{{Number: 1, Task: task, Run: 2, Reason: work.EndFailed}}
	w.workers["b"].ended = []work.RunEnd{{Number: 1, Task: task, Run: 1, Reason: work.EndFailed}}
	w.workers["b"].silent = true
	w.run(300 * time.Millisecond)
	w.workers["b"].silent = false
	w.run(2 * time.Second)
	if saved := w.saved["j1"]; saved == nil || saved.State != work.JobFailed || w.starts(task) != 0 {
		t.Errorf("after %d more starts the saved progress is %+v, want failed without a start", w.starts(task), saved)
	}
}

// Guards against tasks that wait for the lease of a worker whose machine has
// begun a new life: nothing of the earlier one can run.
func TestNewLifeOfAMachineEndsTheEarlierOne(t *testing.T) {
	w := newWorld(t, "a")
	w.runTime = 0
	w.accept(job(step(1)))
	w.run(500 * time.Millisecond)
	if n := w.starts(work.TaskName{Job: "j1"}); n != 1 {
		t.Fatalf("the task was started %d times", n)
	}
	w.workers["a"].silent = true
	next := w.addWorker("b")
	next.Machine, next.Incarnation = "m-a", 2
	entry := next.Worker
	w.ledger.Revision++
	w.s.WorkerSeen(w.now, &entry, w.ledger.Revision)
	w.run(time.Second)
	if n := w.starts(work.TaskName{Job: "j1"}); n != 2 {
		t.Errorf("the task was started %d times, want once in each life", n)
	}
}

// Guards against a takeover that waits 8 s for a worker which left when its
// machine moved: the machine's present worker proves that it is gone.
func TestTakeoverNeedNotWaitForEarlierLives(t *testing.T) {
	w := newWorld(t, "a")
	gone := w.addWorker("c")
	gone.silent = true
	next := w.addWorker("d")
	next.Machine, next.Incarnation, next.Pool = "m-c", 2, "other"
	w.accept(job(step(1)))
	w.s.ContactsSeen(ledger.Record{
		Key: ledger.Key{Kind: ledger.KindContacts, Name: "pool"}, Revision: 5,
		Content: []work.Contact{{Worker: "a", Machine: "m-a", Address: "a:1", Incarnation: 1}, {Worker: "c", Machine: "m-c", Address: "c:1", Incarnation: 1}},
	})
	entry := next.Worker
	w.ledger.Revision++
	w.s.WorkerSeen(w.now, &entry, w.ledger.Revision)
	w.ledger.Revision++
	w.token = w.ledger.Revision
	w.run(time.Second)
	if n := w.starts(work.TaskName{Job: "j1"}); n != 1 {
		t.Errorf("the task was started %d times within a second, want 1", n)
	}
}

// Guards against a collapse under load: an owner that orders more starts than
// it can send within their time limit takes all of them for unanswered, and
// stops them again and again.
func TestStartsInFlightAreBounded(t *testing.T) {
	var names []string
	for i := range 30 {
		names = append(names, fmt.Sprintf("w%02d", i))
	}
	w := newWorld(t, names...)
	for _, id := range names {
		f := w.workers[id]
		f.Capacity = placement.Resources{MilliCores: 32000, MemoryMB: 64000}
		entry := f.Worker
		w.ledger.Revision++
		w.s.WorkerSeen(w.now, &entry, w.ledger.Revision)
	}
	w.run(200 * time.Millisecond)
	inFlight := map[string]int{}
	total := 0
	w.intercept = func(o StartOrder) (StartAnswer, bool) {
		inFlight[o.Target.ID]++
		total++
		return 0, true // no answer yet
	}
	big := job(step(1000))
	w.accept(big)
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

// Guards against stops that are repeated at the same rate for as long as an
// owner is short of processor time.
func TestStopsBackOff(t *testing.T) {
	w := newWorld(t, "a")
	w.runTime = 0
	w.accept(job(step(1)))
	w.run(300 * time.Millisecond)
	w.ledger.Revision++
	w.ledger.Apply(w.now, ledger.Record{Key: ledger.Key{Kind: ledger.KindCancel, Name: "j1"}, Revision: w.ledger.Revision})
	stops := 0
	for range 400 { // 4 s in which every stop gets lost
		w.now = w.now.Add(worldStep)
		w.own()
		tick := w.tickNow()
		for _, system := range Systems {
			system.Run(w.s, tick)
		}
		stops += len(drained[StopOrder](&w.s.Out.Stops))
		w.perform(tick)
	}
	if stops == 0 || stops > 4 {
		t.Errorf("%d stops in 4 s, want at 0, 0.5, 1.5 and 3.5 s", stops)
	}
}
