package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/waxwingbridge/waxwingbridge/ledger"
	"github.com/waxwingbridge/waxwingbridge/work"
)

// Load pattern: short jobs at a low, even rate, for longer than their records are kept.
// Guards against a sweep of old records that never ends: the row of a new job takes the slot
// of a removed one whose end of the retention is still queued.
func TestSweepEndsWhenRowsAreReused(t *testing.T) {
	w := newSimulation(t, "w1")
	w.s.Config.Retention = 10 * time.Second
	w.runTime = 50 * time.Millisecond
	mirrored := map[string]bool{}
	removed := 0
	for n := range 120 {
		j := job(step(1))
		j.ID = fmt.Sprintf("j-%d", n)
		w.accept(j)
		w.run(300 * time.Millisecond)
		for id, progress := range w.saved {
			if progress.State.Final() && !mirrored[id] {
				mirrored[id] = true
				w.ledger.Revision++
				key := ledger.Key{Kind: ledger.KindProgress, Name: id}
				w.ledger.Apply(w.now, ledger.Record{Key: key, Content: progress, Revision: w.ledger.Revision, CreateRevision: w.ledger.Revision})
			}
		}
		for _, key := range w.deleted {
			w.ledger.Revision++
			w.ledger.Apply(w.now, ledger.Record{Key: key, Deleted: true, Revision: w.ledger.Revision})
			removed++
		}
		w.deleted = nil
	}
	if left := w.ledger.Jobs.Len(); removed == 0 || left > 90 { // 20 s at 3.3 jobs a second, and two sweeps
		t.Errorf("%d records were removed and %d jobs are left after 36 s, want those of the last 20 s to 24 s", removed, left)
	}
}

// Guards against the removal of old records that is executed late and deletes the records of a
// job, or a cancellation, that was stored under the same ID since.
func TestRemovalNamesWhatItDeletes(t *testing.T) {
	w := newSimulation(t, "a")
	w.s.Config.Retention = time.Second
	var removals []ledger.Write
	w.interceptWrite = func(write ledger.Write) bool {
		if len(write.Delete) > 0 {
			removals = append(removals, write)
		}
		return len(write.Delete) > 0
	}
	want := map[ledger.Key]int64{}
	for n := range 20 {
		key := ledger.Key{Kind: ledger.KindJob, Name: fmt.Sprintf("j-%d", n)}
		if n%2 == 0 {
			j := job(step(1))
			j.ID = key.Name
			w.accept(j)
			want[key] = w.ledger.Revision
		} else {
			key.Kind = ledger.KindCancel
		}
		w.ledger.Revision++
		cancel := ledger.Key{Kind: ledger.KindCancel, Name: key.Name}
		w.ledger.Apply(w.now, ledger.Record{Key: cancel, Content: &work.Cancellation{Pool: "pool"}, Revision: w.ledger.Revision})
		if key == cancel {
			want[key] = w.ledger.Revision
		}
	}
	w.run(retentionSlack + 15*time.Second)
	named := map[ledger.Key]int64{}
	for _, write := range removals {
		if write.Entries() > 32 {
			t.Errorf("a removal has %d entries, the store takes 32", write.Entries())
		}
		jobs := map[string]bool{}
		for _, c := range write.Expect[1:] {
			named[c.Key], jobs[c.Key.Name] = c.Revision, true
		}
		for _, key := range write.Delete {
			if !jobs[key.Name] {
				t.Errorf("%+v is deleted without a condition", key)
			}
		}
	}
	for key, revision := range want {
		if named[key] != revision {
			t.Errorf("the removal of %+v is conditional on revision %d, want %d", key, named[key], revision)
		}
	}
}
