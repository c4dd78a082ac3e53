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
	h.s.ApplyWave(h.now, work.Wave{Number: 1, Machines: wave, Cap: 40})
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
