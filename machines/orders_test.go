package machines

import (
	"testing"
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/ledger"
	"github.com/waxwingbridge/waxwingbridge/work"
)

// Guards against a wave that never finishes because an earlier wave has maintained
// one of its machines, also while both waves are in progress and name the machines
// in opposite order.
func TestLaterWaveMaintainsTheSameMachines(t *testing.T) {
	h := newHarness(t, map[string]int{"a": 3})
	h.s.ApplyWave(h.now, work.Wave{Number: 1, Machines: []string{"a-0", "a-1"}, Cap: 1}, true)
	h.s.ApplyWave(h.now, work.Wave{Number: 2, Machines: []string{"a-1", "a-0"}, Cap: 1}, true)
	h.run(30 * time.Second)
	h.s.ApplyWave(h.now, work.Wave{Number: 3, Machines: []string{"a-0", "a-2"}, Cap: 1}, true)
	h.run(20 * time.Second)
	calls := map[int]map[string]bool{}
	for _, c := range h.calls {
		if calls[c.Wave] == nil {
			calls[c.Wave] = map[string]bool{}
		}
		calls[c.Wave][c.Machine] = true
	}
	for wave := 1; wave <= 3; wave++ {
		if len(calls[wave]) != 2 {
			t.Errorf("wave %d ordered the maintenance of %d machines, want 2", wave, len(calls[wave]))
		}
	}
	completed := 0
	for _, status := range h.statuses {
		if status {
			completed++
		}
	}
	if completed != 3 {
		t.Errorf("%d of 3 waves were reported as completed", completed)
	}
}

// Guards against one more machine down than the cap of a wave allows, after the
// store refused the write that records an accepted order.
func TestRefusedWriteKeepsTheMachineDown(t *testing.T) {
	h := newHarness(t, map[string]int{"a": 4})
	refused := 0
	h.refuse = func(w ledger.Write) bool {
		for _, put := range w.Put {
			if order, ok := put.Content.(*work.MachineOrder); ok && order.State == work.MachineOrdered && refused < 6 {
				refused++
				return true
			}
		}
		return false
	}
	h.s.ApplyWave(h.now, work.Wave{Number: 1, Machines: []string{"a-0", "a-1", "a-2", "a-3"}, Cap: 1}, true)
	h.run(30 * time.Second)
	if refused != 6 {
		t.Fatalf("%d writes were refused, want 6", refused)
	}
	if h.maxDown > 1 {
		t.Errorf("%d machines were down at once, the cap is 1", h.maxDown)
	}
	if n := len(h.statuses); n == 0 || !h.statuses[n-1] {
		t.Errorf("statuses %v: the wave was not completed", h.statuses)
	}
}

// Guards against an order that is never repeated because the answer to its call
// arrived while the process did not own the fleet.
func TestAnswerAfterLossOfTheFleetLeavesNothingBehind(t *testing.T) {
	h := newHarness(t, map[string]int{"a": 2})
	h.holdAnswers = true
	h.s.ApplyWave(h.now, work.Wave{Number: 1, Machines: []string{"a-0"}, Cap: 1}, true)
	h.run(2 * time.Second)
	if len(h.calls) != 1 {
		t.Fatalf("%d calls, want 1", len(h.calls))
	}
	h.s.Ownership = FleetOwnership{}
	h.s.CallDone(engine.Tick{Now: h.now}, h.calls[0], CallAccepted, "accepted", nil)
	h.holdAnswers = false
	h.run(15 * time.Second)
	if n := len(h.statuses); n == 0 || !h.statuses[n-1] {
		t.Errorf("statuses %v: the wave was not completed after the fleet was owned again", h.statuses)
	}
}

// Guards against a wave that never finishes after a change of the fleet's owner: the
// previous owner's call was executed and its answer lost, so the machine has a new
// worker, and the repeated call is accepted without any effect.
func TestMaintenanceWithLostAnswerFinishes(t *testing.T) {
	h := newHarness(t, map[string]int{"a": 2})
	h.loseAnswers = 1
	h.s.ApplyWave(h.now, work.Wave{Number: 1, Machines: []string{"a-0"}, Cap: 1}, true)
	h.run(20 * time.Second)
	if n := len(h.statuses); n == 0 || !h.statuses[n-1] {
		t.Errorf("statuses %v after %d calls: the wave was not completed", h.statuses, len(h.calls))
	}
}
