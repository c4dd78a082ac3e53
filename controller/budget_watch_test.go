package controller

import (
	"testing"
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/events"
	"github.com/waxwingbridge/waxwingbridge/fleet"
	"github.com/waxwingbridge/waxwingbridge/policy"
)

// Guards against a pool that falls below its availability budget without a log event,
// and against a log event for every further change of such a pool.
func TestPoolBelowItsBudgetIsReportedOnce(t *testing.T) {
	h := newHarness(t)
	s := h.state
	document := exampleConfig(1, "")
	s.View.Policy = policy.Resolve(document, h.now)
	s.Leadership.phase = active
	workers := []fleet.Worker{}
	for _, id := range []string{"w1", "w2", "w3", "w4"} {
		workers = append(workers, fleet.Worker{ID: id, Pool: "orders", State: fleet.Serving})
	}
	s.Fleet = fleet.Load(&fleet.Document{Epoch: 1, Revision: 1, Workers: workers})
	reports := func(states ...fleet.State) int {
		for i, state := range states {
			s.Fleet.Worker(workers[i].ID).State = state
		}
		s.markFleetChanged()
		reportBudgets(s, engine.Tick{Now: h.now.Add(time.Second)})
		count := 0
		s.View.Logs.Drain(func(record events.Record) {
			if record.Event == events.BudgetExceededByFault {
				count++
			}
		})
		return count
	}
	for i, step := range []struct {
		states []fleet.State
		want   int
	}{
		{[]fleet.State{fleet.Failed, fleet.Serving}, 0}, // the floor is 3 of 4
		{[]fleet.State{fleet.Failed, fleet.Failed}, 1},
		{[]fleet.State{fleet.Failed, fleet.Failed, fleet.Failed}, 0},
		{[]fleet.State{fleet.Serving, fleet.Serving, fleet.Serving}, 0},
		{[]fleet.State{fleet.Failed, fleet.Failed}, 1},
	} {
		if got := reports(step.states...); got != step.want {
			t.Errorf("step %d: %d events, want %d", i, got, step.want)
		}
	}
}
