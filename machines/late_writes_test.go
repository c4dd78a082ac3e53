package machines

import (
	"slices"
	"testing"
	"time"

	"github.com/waxwingbridge/waxwingbridge/ledger"
	"github.com/waxwingbridge/waxwingbridge/work"
)

// statusWrites returns the conditions on the status of wave 1 of the writes that report it, in
// their order.
func (h *harness) statusWrites() (conditions []ledger.Condition) {
	key := ledger.Key{Kind: ledger.KindWaveStatus, Name: "1"}
	for _, w := range h.writes {
		if slices.ContainsFunc(w.Put, func(p ledger.Put) bool { return p.Key == key }) {
			at := slices.IndexFunc(w.Expect, func(c ledger.Condition) bool { return c.Key == key })
			if at < 0 {
				h.t.Fatalf("the write %+v does not name the status that it replaces", w)
			}
			conditions = append(conditions, w.Expect[at])
		}
	}
	return conditions
}

// Guards against the status of a wave that is stored late and replaces a newer one, so that a
// completed wave is shown as running.
func TestWaveStatusNamesTheOneThatItReplaces(t *testing.T) {
	h := newHarness(t, map[string]int{"a": 2})
	h.s.ApplyWave(h.now, work.Wave{Number: 1, Machines: []string{"a-0"}, Cap: 1}, true)
	h.run(10 * time.Second)
	conditions := h.statusWrites()
	if len(conditions) != 2 || conditions[0].Revision != 0 || conditions[1].Revision == 0 {
		t.Errorf("the conditions are %+v, want no status before the first and its revision before the second", conditions)
	}
}

// Guards against a wave that is never begun or reported as completed since another status is
// stored than this process knows of, readable or not.
func TestWaveGoesOnWhateverStatusIsStored(t *testing.T) {
	for name, content := range map[string]any{"running": false, "unreadable": nil} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, map[string]int{"a": 2})
			key := ledger.Key{Kind: ledger.KindWaveStatus, Name: "1"}
			stored := int64(1000)
			h.current = func(w ledger.Write) []ledger.Record {
				for _, c := range w.Expect {
					if c.Key == key && c.Revision != stored {
						return []ledger.Record{{Key: key, Content: content, Revision: stored}}
					}
				}
				if slices.ContainsFunc(w.Put, func(p ledger.Put) bool { return p.Key == key }) {
					stored = h.revision
				}
				return nil
			}
			h.revision = stored
			h.s.ApplyWave(h.now, work.Wave{Number: 1, Machines: []string{"a-0"}, Cap: 1}, true)
			h.run(10 * time.Second)
			if len(h.statuses) == 0 || !h.statuses[len(h.statuses)-1] {
				t.Errorf("the statuses are %v, want the wave to be completed", h.statuses)
			}
		})
	}
}

// Guards against a machine that is moved by a plan which was stored late, after it had been moved
// by another one and its record was removed: a new owner of the fleet has no list yet that shows
// the worker on it.
func TestMoveWaitsForAListOfThePresentOwnership(t *testing.T) {
	h := newHarness(t, map[string]int{"a": 2, "b": 2})
	h.holdLists = true
	move := work.MachineOrder{Machine: "a-0", Pool: "standby", Target: "b", State: work.MachineIdle}
	h.revision++
	h.s.ApplyOrder(h.now, ledger.Record{Key: orderKey(&move), Content: &move, Revision: h.revision})
	h.run(time.Second)
	if len(h.calls) != 0 {
		t.Fatalf("%d machines were moved without a list", len(h.calls))
	}
	h.holdLists, h.s.listInFlight = false, false
	h.run(2 * time.Second)
	if len(h.calls) != 0 || h.s.Orders.Len() != 0 {
		t.Errorf("%d machines were moved and %d plans are left, want the plan to be dropped", len(h.calls), h.s.Orders.Len())
	}
}
