package machines

import (
	"fmt"
	"testing"
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/ledger"
	"github.com/waxwingbridge/waxwingbridge/work"
)

// Load pattern: a turn of demand begins right after a change of the fleet's owner.
// Guards against a pool that stays without machines for TakeoverDelay although the
// earlier owner ordered other machines, and against a second owner that orders a
// machine within TakeoverDelay of the first.
func TestNewOwnerOrdersUntouchedMachinesImmediately(t *testing.T) {
	h := newHarness(t, map[string]int{"a": 2, "standby": 6})
	h.s.TakeoverDelay = 3 * time.Second
	touched := &work.MachineOrder{Machine: "standby-0", Pool: "standby", Target: "a", State: work.MachineIdle}
	h.revision++
	h.s.ApplyOrder(h.now, ledger.Record{Key: orderKey(touched), Content: touched, Revision: h.revision})
	h.reportDemand("a", work.Demand{Need: 6, Have: 2})
	begin := h.now
	ordered := map[string]time.Duration{}
	for h.now.Before(begin.Add(5 * time.Second)) {
		h.run(50 * time.Millisecond)
		for _, c := range h.calls {
			if _, known := ordered[c.Machine]; !known {
				ordered[c.Machine] = h.now.Sub(begin)
			}
		}
	}
	early := 0
	for machine, after := range ordered {
		if machine != "standby-0" && after < time.Second {
			early++
		}
	}
	if early < 3 {
		t.Errorf("%d untouched machines were ordered within 1 s, want 3: %v", early, ordered)
	}
	if after, known := ordered["standby-0"]; !known || after < 2900*time.Millisecond {
		t.Errorf("the machine of the earlier owner was ordered after %v (ordered %v), want 3 s", after, known)
	}
}

// Load pattern: many machines at once, at the start of a turn beside a wave. Guards
// against more orders per second than the machine service accepts, whose refusals
// delay the moves, and against maintenance orders that go before the moves.
func TestOrdersKeepTheRateOfTheMachineService(t *testing.T) {
	h := newHarness(t, map[string]int{"a": 2, "standby": 300})
	h.s.CallsPerSecond = 100
	var wave []string
	for i := range 40 {
		wave = append(wave, fmt.Sprintf("standby-%d", 200+i))
	}
	h.s.ApplyWave(h.now, work.Wave{Number: 1, Machines: wave, Cap: 40}, true)
	h.run(100 * time.Millisecond)
	h.reportDemand("a", work.Demand{Need: 120, Have: 2})
	h.run(time.Second)
	if n := len(h.calls); n < 60 || n > 115 {
		t.Errorf("%d orders in 1.1 s, want about 90", n)
	}
	h.run(2 * time.Second)
	if n := len(h.calls); n < 150 {
		t.Errorf("%d orders in 3.1 s, want all of the moves and the maintenance", n)
	}
	lastMove, firstLate := 0, 0
	for i, c := range h.calls {
		if c.Target != "" {
			lastMove = i
		} else if i > 12 && firstLate == 0 { // the wave may order machines before the demand is reported
			firstLate = i
		}
	}
	if firstLate != 0 && firstLate < lastMove {
		t.Errorf("order %d is a maintenance, the last move is order %d", firstLate, lastMove)
	}
}

// Guards against calls that wait in the process behind a slow machine service until
// the lease has ended.
func TestCallsInFlightAreBounded(t *testing.T) {
	h := newHarness(t, map[string]int{"a": 2, "standby": 100})
	h.holdAnswers = true
	h.reportDemand("a", work.Demand{Need: 80, Have: 2})
	h.run(2 * time.Second)
	if n := len(h.calls); n != maxCallsInFlight {
		t.Errorf("%d calls are in flight, want %d", n, maxCallsInFlight)
	}
	for _, c := range h.calls {
		h.s.CallDone(engine.Tick{Now: h.now}, c, CallAccepted, "accepted", nil)
	}
	h.run(time.Second)
	if n := len(h.calls); n != 2*maxCallsInFlight {
		t.Errorf("%d calls after the first answers, want %d", n, 2*maxCallsInFlight)
	}
}

// Load pattern: the demand changes from one pool to another, while the first releases
// machines in many reports. Guards against moves that are delayed after each plan that
// conflicts with a report which the watch has not delivered yet.
func TestPlanIsRepeatedImmediatelyAfterConflict(t *testing.T) {
	h := newHarness(t, map[string]int{"a": 2, "b": 3})
	released := []string{h.machines["b-1"].Worker, h.machines["b-2"].Worker}
	h.reportDemand("b", work.Demand{Need: 1, Have: 3, Released: released})
	seen := h.revision
	latest := ledger.Record{
		Key: ledger.Key{Kind: ledger.KindDemand, Name: "b"}, Revision: seen + 1, Content: &work.Demand{Need: 1, Have: 3, Released: released},
	}
	h.revision++
	h.current = func(w ledger.Write) []ledger.Record {
		for _, condition := range w.Expect {
			if condition.Key == latest.Key && condition.Revision != latest.Revision {
				return []ledger.Record{latest}
			}
		}
		return nil
	}
	h.reportDemand("a", work.Demand{Need: 4, Have: 2})
	h.run(200 * time.Millisecond) // four ticks: the machine list, a conflict, the plan, the orders
	if len(h.calls) != 2 {
		t.Errorf("%d moves were ordered within 200 ms, want 2", len(h.calls))
	}
}

// Guards against a store that is called without a pause while each plan conflicts.
func TestRepeatedConflictsBackOff(t *testing.T) {
	h := newHarness(t, map[string]int{"a": 2, "standby": 3})
	conflicts := 0
	h.current = func(w ledger.Write) []ledger.Record {
		if len(w.Put) > 0 && w.Put[0].Key.Kind == ledger.KindMachineMove {
			conflicts++
			return []ledger.Record{}
		}
		return nil
	}
	h.reportDemand("a", work.Demand{Need: 4, Have: 2})
	h.run(2 * time.Second) // 40 ticks
	if limit := maxPlanConflicts + int(2*time.Second/writeRetryDelay) + 1; conflicts > limit {
		t.Errorf("%d writes in 2 s, want at most %d", conflicts, limit)
	}
}

// Load pattern: a turn of demand during a wave. Guards against a wave that takes the
// standby machines which a pool lacks, and against one that then misses its time.
func TestWaveLeavesMachinesToShortPools(t *testing.T) {
	h := newHarness(t, map[string]int{"a": 2, "standby": 10})
	var names []string
	for i := range 10 {
		names = append(names, fmt.Sprintf("standby-%d", i))
	}
	h.reportDemand("a", work.Demand{Need: 10, Have: 2})
	h.s.ApplyWave(h.now, work.Wave{Number: 1, Machines: names, Cap: 10, Within: 26 * time.Second}, true)
	h.run(500 * time.Millisecond)
	moves, maintenances := 0, 0
	for _, c := range h.calls {
		if c.Target != "" {
			moves++
		} else {
			maintenances++
		}
	}
	if moves != 8 || maintenances > 2 {
		t.Errorf("%d moves and %d maintenances at the start of the turn, want 8 and at most 2", moves, maintenances)
	}
	for begin := h.now; h.now.Before(begin.Add(25 * time.Second)); h.run(time.Second) {
		h.reportDemand("a", work.Demand{Need: 14, Have: 10}) // the shortage never ends
	}
	if n := len(h.statuses); n == 0 || !h.statuses[n-1] {
		t.Errorf("statuses %v: the wave was not completed in time", h.statuses)
	}
}
