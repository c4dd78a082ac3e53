package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/waxwingbridge/waxwingbridge/ledger"
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
