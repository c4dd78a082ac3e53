package dispatch

import (
	"slices"
	"testing"
	"time"

	"github.com/waxwingbridge/waxwingbridge/ledger"
	"github.com/waxwingbridge/waxwingbridge/work"
)

// follower returns a process that watches the same store and workers as the owner and has
// owned nothing yet.
func (w *simulation) follower() *simulation {
	next := &simulation{}
	next.init(w.t)
	next.now, next.workers, next.runTime, next.ledger.Revision = w.now, w.workers, w.runTime, w.ledger.Revision
	for _, f := range w.workers {
		if !f.unlisted {
			entry := f.Worker
			next.s.ApplyWorker(w.now, &entry, w.ledger.Revision)
		}
	}
	next.observe = w.observe
	for _, record := range w.accepted {
		next.accepted = append(next.accepted, record)
		next.ledger.Apply(w.now, record)
	}
	w.informFollower(next)
	return next
}

// informFollower delivers the stored contacts to a process that does not own the pool.
func (w *simulation) informFollower(next *simulation) {
	next.now, next.ledger.Revision = w.now, w.ledger.Revision
	next.s.ApplyContacts(w.now, ledger.Record{
		Key: ledger.Key{Kind: ledger.KindContacts, Name: "pool"}, Revision: w.contactsRevision, Content: w.contacts,
	})
}

// runWatched advances the time of an owner while a follower watches the store.
func (w *simulation) runWatched(next *simulation, d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.run(simulationStep)
		w.informFollower(next)
	}
}

// takeOver makes a follower the owner of the pool.
func (w *simulation) takeOver(from *simulation) {
	from.informFollower(w)
	w.ledger.Revision++
	w.token, w.epoch = w.ledger.Revision, from.epoch+1
	w.contacts, w.contactsRevision = from.contacts, from.contactsRevision
}

// leave removes a worker for good; everything that runs on it ends.
func (w *simulation) leave(f *fakeWorker) {
	f.silent, f.unlisted, f.running = true, true, nil
	w.ledger.Revision++
	w.s.WorkerRemoved(f.ID, w.ledger.Revision)
}

// longRunningOnA returns an owner of two workers and a long-running task that runs on a.
func longRunningOnA(t *testing.T) (*simulation, *fakeWorker) {
	w := newSimulation(t, "a", "b")
	w.runTime = 0
	w.run(200 * time.Millisecond)
	w.s.SetMaintenance("b", true)
	longRunning := step(1)
	longRunning.LongRunning = true
	w.accept(job(longRunning))
	w.run(time.Second)
	w.s.SetMaintenance("b", false)
	w.run(200 * time.Millisecond)
	if len(w.workers["a"].running) != 1 {
		t.Fatal("the task does not run on worker a")
	}
	return w, w.workers["a"]
}

// lostAfter is how long after the end of its last run a long-running task may be missing
// on the platform.
const lostAfter = 9 * time.Second

// Guards against a long-running task that does not run for 9 s and more after its worker
// has left (LOST): each new owner of the pool began to wait anew for the leases on it.
func TestChangesOfTheOwnerDoNotProlongTheWaitForASilentWorker(t *testing.T) {
	for name, c := range map[string]struct {
		changes []time.Duration // after the worker has left
		planned bool
		fresh   bool // each new owner has started just before
	}{
		"one just after":             {changes: []time.Duration{100 * time.Millisecond}},
		"one later":                  {changes: []time.Duration{4 * time.Second}},
		"several, planned":           {changes: []time.Duration{100 * time.Millisecond, 2 * time.Second, 4 * time.Second, 6 * time.Second}, planned: true},
		"several processes killed":   {changes: []time.Duration{time.Second, 3 * time.Second, 5 * time.Second}},
		"planned, to new processes":  {changes: []time.Duration{100 * time.Millisecond, 2 * time.Second, 4 * time.Second}, planned: true, fresh: true},
		"killed, with new processes": {changes: []time.Duration{2 * time.Second, 5 * time.Second}, fresh: true},
	} {
		t.Run(name, func(t *testing.T) {
			w, left := longRunningOnA(t)
			leftAt := w.now
			w.leave(left)
			for _, at := range c.changes {
				next := w.follower()
				if c.fresh {
					w.run(at - w.now.Sub(leftAt))
					next = w.follower()
				} else {
					w.runWatched(next, at-w.now.Sub(leftAt))
				}
				if c.planned {
					w.s.Stopping = true
					w.run(50 * time.Millisecond)
					if !w.s.ReadyForHandover() {
						t.Fatal("the pool is not ready to be handed over")
					}
				}
				next.takeOver(w)
				w = next
			}
			w.run(lostAfter - w.now.Sub(leftAt))
			if n := len(w.workers["b"].running); n != 1 {
				t.Errorf("%d tasks run on the other worker %v after the first one has left, want 1", n, w.now.Sub(leftAt))
			}
		})
	}
}

// Guards against a second run of a task whose worker is cut off from the owners and runs on
// until its lease ends (TWICE).
func TestSilentWorkerKeepsItsTasksUntilItsLeaseEnds(t *testing.T) {
	for name, changes := range map[string][]time.Duration{
		"one owner":       nil,
		"one change":      {time.Second},
		"several changes": {100 * time.Millisecond, time.Second, 2 * time.Second, 3 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			w, cut := longRunningOnA(t)
			cut.slowClock = clockDrift
			cutAt := w.now
			cut.silent = true
			check := func() {
				if len(cut.running) > 0 && len(w.workers["b"].running) > 0 {
					t.Fatalf("the task runs twice %v after the cut", w.now.Sub(cutAt))
				}
			}
			for _, at := range changes {
				next := w.follower()
				for w.now.Sub(cutAt) < at {
					w.runWatched(next, simulationStep)
					check()
				}
				next.takeOver(w)
				w = next
			}
			for w.now.Sub(cutAt) < 2*simulationMaxLease {
				w.run(simulationStep)
				check()
			}
			if len(w.workers["b"].running) != 1 {
				t.Error("the task does not run on the other worker")
			}
		})
	}
}

// silence cuts a worker off from the owner until the end of its leases is stored.
func (w *simulation) silence(cut *fakeWorker) {
	cut.silent = true
	w.run(2 * contactPruneInterval)
	if !slices.ContainsFunc(w.contacts, func(c work.Contact) bool { return c.Worker == cut.ID && c.LeaseLeft > 0 }) {
		w.t.Fatalf("no end of the leases is stored in %v", w.contacts)
	}
}

// Guards against a second run of a task whose worker was silent for a moment (TWICE): its
// lease must not be extended while the stored contacts state its end, since a next owner
// would start the task elsewhere after that.
func TestLeaseWithAStoredEndIsNotExtended(t *testing.T) {
	w, cut := longRunningOnA(t)
	w.silence(cut)
	next := w.follower()
	cut.silent = false
	w.holdWrites = ledger.KindContacts
	until := cut.leaseUntil
	w.run(time.Second)
	if cut.leaseUntil != until {
		t.Errorf("the lease was extended by %v before the contacts were stored", cut.leaseUntil-until)
	}
	next.takeOver(w) // before the contacts without the end are stored
	for range 800 {
		w.now = w.now.Add(simulationStep) // cut off, it sends no orders any more
		cut.silent = true
		next.run(simulationStep)
		if len(cut.running) > 0 && len(next.workers["b"].running) > 0 {
			t.Fatal("the task runs twice")
		}
	}
	if len(next.workers["b"].running) != 1 {
		t.Error("the task does not run on the other worker")
	}
}

// Guards against a run that is lost although its worker answers again: the lease must be
// extended once the contacts without its end are stored, whether the registry has the
// worker or not.
func TestLeaseIsExtendedAfterTheStoredEndIsLifted(t *testing.T) {
	for name, unlisted := range map[string]bool{"listed": false, "removed from the registry": true} {
		t.Run(name, func(t *testing.T) {
			w, cut := longRunningOnA(t)
			w.silence(cut)
			cut.silent = false
			if unlisted {
				w.ledger.Revision++
				w.s.WorkerRemoved(cut.ID, w.ledger.Revision)
			}
			w.run(2 * simulationMaxLease)
			if n := w.startCount(work.TaskName{Job: "j1"}); n != 1 || len(cut.running) != 1 {
				t.Errorf("the task was started %d times, %d runs are left on its worker", n, len(cut.running))
			}
		})
	}
}
