package dispatch

import (
	"testing"
	"time"

	"github.com/waxwingbridge/waxwingbridge/ledger"
	"github.com/waxwingbridge/waxwingbridge/work"
)

// succeed makes the process the owner of the pool after one that has ordered runs from the
// given contacts.
func (w *simulation) succeed(contacts ...work.Contact) {
	w.ledger.Revision++
	w.s.ApplyContacts(w.now, ledger.Record{Key: ledger.Key{Kind: ledger.KindContacts, Name: "pool"}, Revision: w.ledger.Revision, Content: contacts})
	w.ledger.Revision++
	w.token = w.ledger.Revision
}

// contact returns the contact of a worker in its present incarnation.
func (f *fakeWorker) contact() work.Contact {
	return work.Contact{Worker: f.ID, Machine: f.Machine, Address: f.Address, Incarnation: f.Incarnation}
}

// runsOf gives a worker runs of the first tasks of a job, started by an earlier owner.
func (w *simulation) runsOf(f *fakeWorker, job string, tasks int) {
	for index := range tasks {
		f.running = append(f.running, fakeRun{task: work.TaskName{Job: job, Index: index}, run: 1})
	}
	f.leaseUntil = f.clock(w.now) + simulationMaxLease
}

// Guards against a second run of tasks whose worker has restarted behind a cut from the
// store (TWICE): the contact names its new incarnation and the registry the one before, or
// the earlier owner has ordered them without knowing of the restart.
func TestNewOwnerWaitsForAWorkerOfAnotherIncarnationThanListed(t *testing.T) {
	for name, contact := range map[string]int64{"known to the earlier owner": 2, "unknown to it": 1} {
		t.Run(name, func(t *testing.T) {
			w := newSimulation(t, "a", "b")
			w.accept(job(step(3)))
			restarted := w.workers["a"]
			restarted.Incarnation = 2 // the registry still has 1
			w.runsOf(restarted, "j1", 3)
			c := restarted.contact()
			c.Incarnation = contact
			w.succeed(c, w.workers["b"].contact())
			restarted.silent = true // its answer comes later than that of b
			w.run(100 * time.Millisecond)
			restarted.silent = false
			w.run(time.Second)
			if n := len(w.workers["b"].started); n > 0 || len(restarted.running) != 3 {
				t.Errorf("%d tasks were started elsewhere, %d still run on the restarted worker", n, len(restarted.running))
			}
			if len(w.contacts) != 2 {
				t.Errorf("contacts are %v, want both workers", w.contacts)
			}
		})
	}
}

// Guards against tasks that wait for good, or longer than the leases of the earlier owner,
// because the worker with their contact never answers (LOST).
func TestNewOwnerStartsTasksOnceLeasesOfASilentWorkerHaveExpired(t *testing.T) {
	for name, contact := range map[string]int64{"listed incarnation": 1, "later than listed": 2} {
		t.Run(name, func(t *testing.T) {
			w := newSimulation(t, "a", "b")
			w.accept(job(step(1)))
			silent := w.workers["a"]
			w.runsOf(silent, "j1", 1)
			c := silent.contact()
			c.Incarnation = contact
			w.succeed(c, w.workers["b"].contact())
			silent.silent = true
			leases := silent.leaseUntil - silent.clock(w.now)
			w.run(leases)
			if len(w.workers["b"].started) > 0 {
				t.Fatal("the task was started elsewhere while its run may exist")
			}
			w.run(4 * time.Second)
			if len(w.workers["b"].started) != 1 {
				t.Error("the task was not started elsewhere after the leases")
			}
		})
	}
}

// Guards against a second run of a task whose start reached a worker that had restarted
// unnoticed (TWICE): the first answer of the new incarnation lists the run.
func TestFirstListOfANewIncarnationKeepsItsRuns(t *testing.T) {
	w := newSimulation(t, "a")
	w.runTime = 0
	w.run(200 * time.Millisecond)
	w.addWorker("b")
	w.accept(job(step(1)))
	restarted := w.workers["a"]
	w.intercept = func(StartOrder) (StartAnswer, bool) {
		restarted.Incarnation = 2
		return 0, false
	}
	w.run(500 * time.Millisecond)
	if n := w.startCount(work.TaskName{Job: "j1"}); n != 1 || len(restarted.running) != 1 {
		t.Errorf("the task was started %d times, and %d runs are left on its worker", n, len(restarted.running))
	}
}

// Guards against a second run of a task whose end was forgotten unread (TWICE): the ends of
// a restarted worker count from 1 again, and the first poll after the restart acknowledged
// those of the incarnation before.
func TestPollAfterALostContactAcknowledgesNoEnds(t *testing.T) {
	w := newSimulation(t, "a")
	w.run(200 * time.Millisecond)
	first := job(step(3))
	first.ID = "j0"
	w.accept(first)
	w.run(time.Second)
	w.accept(job(step(1)))
	w.runTime = 0
	w.run(100 * time.Millisecond)
	restarted := w.workers["a"]
	if len(restarted.running) != 1 || restarted.lastEnd != 3 {
		t.Fatalf("%d tasks run after %d ends, want 1 after 3", len(restarted.running), restarted.lastEnd)
	}
	restarted.silent = true
	w.run(50 * time.Millisecond)
	restarted.silent, restarted.Incarnation = false, 2
	restarted.running, restarted.lastEnd = nil, 0
	restarted.end(fakeRun{task: work.TaskName{Job: "j1"}, run: 1}, work.EndDone)
	w.runTime = 300 * time.Millisecond
	w.run(time.Second)
	if saved := w.saved["j1"]; w.startCount(work.TaskName{Job: "j1"}) != 1 || saved == nil || saved.State != work.JobCompleted {
		t.Errorf("the task was started %d times, saved progress is %+v", w.startCount(work.TaskName{Job: "j1"}), saved)
	}
}

// Guards against a team that gets more than its cap after a change of the owner (QUOTA):
// the runs on a worker that has restarted behind a cut did not count before it answered.
func TestUnansweredContactOfAnotherIncarnationCountsAgainstCaps(t *testing.T) {
	w := newSimulation(t, "a", "b")
	restarted := w.workers["a"]
	restarted.Incarnation = 2 // the registry still has 1
	w.succeed(restarted.contact(), w.workers["b"].contact())
	restarted.silent = true
	w.run(100 * time.Millisecond)
	id, _ := w.s.poolByName.Get("pool")
	if got := w.s.unansweredCapacity(w.s.Pools.Get(id)); got != restarted.Capacity {
		t.Errorf("the capacity of unanswered contacts is %+v, want that of worker a", got)
	}
}
