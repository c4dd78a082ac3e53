package dispatch

import (
	"slices"
	"testing"
	"time"

	"github.com/waxwingbridge/waxwingbridge/ledger"
	"github.com/waxwingbridge/waxwingbridge/work"
)

// cancelFirst stores the cancellation of a job that is not stored.
func (w *simulation) cancelFirst(job string) {
	w.ledger.Revision++
	w.ledger.Apply(w.now, ledger.Record{
		Key: ledger.Key{Kind: ledger.KindCancel, Name: job}, Content: &work.Cancellation{Pool: "pool"}, Revision: w.ledger.Revision,
	})
}

// Guards against a job that starts although its cancellation was stored before it.
func TestJobThatIsStoredAfterItsCancellationNeverStarts(t *testing.T) {
	w := newSimulation(t, "a")
	w.run(200 * time.Millisecond)
	w.cancelFirst("j1")
	w.run(200 * time.Millisecond)
	w.accept(job(step(2)))
	w.run(time.Second)
	if n := w.startCount(work.TaskName{Job: "j1"}); n != 0 {
		t.Errorf("the first task was started %d times", n)
	}
	if saved := w.saved["j1"]; saved == nil || saved.State != work.JobCancelled {
		t.Errorf("saved progress is %+v, want cancelled", saved)
	}
}

// Guards against cancellations of jobs that were never stored and stay in the store for
// good, and against the removal of a job that is stored just then.
func TestCancellationWithoutAJobIsRemovedAfterItsRetention(t *testing.T) {
	w := newSimulation(t, "a")
	w.s.Config.Retention = 2 * time.Second
	w.run(200 * time.Millisecond)
	w.cancelFirst("j1")
	w.run(w.s.Config.Retention)
	if len(w.deleted) != 0 {
		t.Fatalf("%v are removed within the retention", w.deleted)
	}
	w.run(retentionSlack + 2*sweepInterval)
	if want := (ledger.Key{Kind: ledger.KindCancel, Name: "j1"}); !slices.Contains(w.deleted, want) || slices.ContainsFunc(w.deleted, func(k ledger.Key) bool { return k != want }) {
		t.Errorf("%v are removed, want the cancellation alone", w.deleted)
	}
}
