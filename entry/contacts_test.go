package entry

import (
	"testing"
	"time"

	"github.com/waxwingbridge/waxwingbridge/dispatch"
	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/platform"
)

// Guards against a task that runs twice after the machine of the next owner was suspended:
// the tick that applies the contacts of the earlier owner had begun before they were
// written, and the limit of the leases in them was counted from its begin.
func TestLimitOfLeasesCountsFromTheReceiptOfTheRecord(t *testing.T) {
	const limit, suspended = time.Second, 3 * time.Second
	s := newState(&platform.Settings{Node: "n", Bounds: platform.DefaultBounds()}, Features{}, "i", time.Now)
	s.Dispatch.IsPool = func(string) bool { return true }
	begin := time.Unix(1000, 0)
	receivedAt := begin.Add(suspended)
	entry := platform.Entry{
		Kind: platform.EntryRecord, Name: "contacts/p", Revision: 10,
		Record: []byte(`[{"Worker":"w","Machine":"m","Address":"127.0.0.1:1","Born":5,"LeaseLeft":1000000000}]`),
	}
	s.applyEntry(engine.Tick{Now: begin}, entry, receivedAt)
	s.Mirror.Synced, s.Mirror.Revision = true, 20
	s.Dispatch.OwnPool(begin, "p", 20, 2, begin.Add(time.Hour))
	reconciledAt := time.Time{}
	for at := begin; reconciledAt.IsZero() && at.Before(begin.Add(time.Minute)); at = at.Add(10 * time.Millisecond) {
		for _, system := range dispatch.Systems[:2] { // those that load and reconcile pools
			system.Run(s.Dispatch, engine.Tick{Now: at})
		}
		for _, p := range s.Dispatch.Pools.All() {
			if p.Reconciled {
				reconciledAt = at
			}
		}
	}
	if wait := reconciledAt.Sub(receivedAt); wait < limit || wait > limit+time.Second {
		t.Errorf("the pool is reconciled %v after the receipt of the record, want soon after %v", wait, limit)
	}
}
