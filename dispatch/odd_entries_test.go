package dispatch

import (
	"slices"
	"testing"
	"time"

	"github.com/waxwingbridge/waxwingbridge/ledger"
	"github.com/waxwingbridge/waxwingbridge/placement"
	"github.com/waxwingbridge/waxwingbridge/work"
)

// phantom is a well-formed entry of another writer, whose address nobody serves.
func phantom(pool, machine string) *work.Worker {
	return &work.Worker{
		ID: "phantom", Incarnation: 99, Pool: pool, Address: "10.9.9.9:9", Machine: machine,
		Capacity: placement.Resources{MilliCores: 32000, MemoryMB: 64000},
	}
}

// Guards against runs that are given up, and started a second time, because an entry of
// another writer names the machine of their worker and a pool that does not exist.
func TestEntryOfUnknownPoolEndsNoRuns(t *testing.T) {
	w := newSimulation(t, "a")
	w.s.IsPool = func(pool string) bool { return pool == "pool" }
	w.runTime = time.Hour
	w.run(200 * time.Millisecond)
	w.accept(job(step(2)))
	w.run(200 * time.Millisecond)
	w.ledger.Revision++
	w.s.ApplyWorker(w.now, phantom("nowhere", "m-a"), w.ledger.Revision)
	w.run(time.Second)
	if starts := len(w.workers["a"].started); starts != 2 || w.s.Runs.Len() != 2 {
		t.Errorf("%d starts and %d runs, want the 2 from before", starts, w.s.Runs.Len())
	}
}

// Guards against an entry of another writer that draws tasks although its worker has
// never answered, or that becomes a contact for which the next owner of the pool waits.
// This owner itself still waits for a contact of its predecessor.
func TestWorkerThatNeverAnsweredGetsNoTasksAndIsNoContact(t *testing.T) {
	w := newSimulation(t, "a", "dark")
	w.workers["dark"].silent = true
	w.workers["phantom"] = &fakeWorker{Worker: *phantom("pool", "m-none"), silent: true, stopped: map[work.TaskName]int{}}
	w.s.ApplyContacts(w.now, ledger.Record{
		Key: ledger.Key{Kind: ledger.KindContacts, Name: "pool"}, Revision: 5,
		Content: []work.Contact{{Worker: "dark", Machine: "m-dark", Address: "dark:1", Incarnation: 1}},
	})
	w.ledger.Revision++
	w.token = w.ledger.Revision
	w.ledger.Revision++
	w.s.ApplyWorker(w.now, phantom("pool", "m-none"), w.ledger.Revision)
	w.intercept = func(o StartOrder) (StartAnswer, bool) {
		if o.Target.ID == "phantom" {
			t.Error("a task was started on a worker that never answered")
		}
		return 0, false
	}
	w.run(300 * time.Millisecond)
	w.accept(job(step(4)))
	w.run(2 * time.Second)
	if w.saved["j1"] == nil || w.saved["j1"].State != work.JobCompleted {
		t.Errorf("the job has not completed: %+v", w.saved["j1"])
	}
	named := func(id string) bool {
		return slices.ContainsFunc(w.contacts, func(c work.Contact) bool { return c.Worker == id })
	}
	if !named("a") || !named("dark") || named("phantom") {
		t.Errorf("the contacts are %+v, want a and dark", w.contacts)
	}
}

// Guards against a task that runs twice after a change of the owner: an entry of another
// writer stood in place of that of a worker with a run, the new owner took it for another
// incarnation and did not wait for the worker's answer. Found by the soak, seed 20261529.
func TestOddEntryBeforeATakeoverHidesNoRun(t *testing.T) {
	exists := func(pool string) bool { return pool == "pool" }
	for name, c := range map[string]struct {
		pool           string
		born           int64
		beforeManifest bool // the entry is read before it
	}{
		"unknown pool":                      {pool: "nowhere", born: 99},
		"unknown pool, before the manifest": {pool: "nowhere", born: 99, beforeManifest: true},
		"far future":                        {pool: "pool", born: 1 << 50},
		"far future, before the manifest":   {pool: "pool", born: 1 << 50, beforeManifest: true},
	} {
		t.Run(name, func(t *testing.T) {
			w := newSimulation(t, "a", "b")
			w.runTime = time.Hour
			w.accept(job(step(1)))
			w.s.ApplyContacts(w.now, ledger.Record{
				Key: ledger.Key{Kind: ledger.KindContacts, Name: "pool"}, Revision: 5,
				Content: []work.Contact{{Worker: "a", Machine: "m-a", Address: "a:1", Incarnation: 1}},
			})
			running := w.workers["a"]
			running.running = []fakeRun{{task: work.TaskName{Job: "j1"}, run: 1}}
			running.leaseUntil = running.clock(w.now) + simulationMaxLease
			if w.s.IsPool = exists; c.beforeManifest {
				w.s.IsPool = nil
			}
			odd := phantom(c.pool, "m-a")
			odd.ID, odd.Incarnation = "a", c.born
			w.ledger.Revision++
			w.s.ApplyWorker(w.now, odd, w.ledger.Revision)
			w.s.IsPool = exists
			w.ledger.Revision++
			w.token = w.ledger.Revision
			w.run(500 * time.Millisecond)
			w.ledger.Revision++
			own := running.Worker
			w.s.ApplyWorker(w.now, &own, w.ledger.Revision)
			w.run(time.Second)
			if n := w.startCount(work.TaskName{Job: "j1"}); n != 0 || len(running.running) != 1 {
				t.Errorf("the task was started %d times while it ran, %d of its runs are left", n, len(running.running))
			}
		})
	}
}
