package controller

import (
	"github.com/waxwingbridge/waxwingbridge/budget"
	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/events"
)

// reportBudgets logs pools that fall below their availability budget. Planned
// operations never do that, so failures are the cause.
func reportBudgets(s *State, _ engine.Tick) {
	if !s.Active() || s.Fleet == nil || s.View.Policy == nil {
		clear(s.belowBudget)
		s.budgetsSeen = 0
		return
	}
	if s.budgetsSeen == s.fleetVersion {
		return
	}
	s.budgetsSeen = s.fleetVersion
	book := budget.Assess(s.Fleet, s.View.Policy, nil)
	for _, spec := range s.View.Policy.Pools() {
		pool := book.Pool(spec.Name)
		below := pool.Size > 0 && pool.Serving < pool.Floor
		if below && !s.belowBudget[spec.Name] {
			s.View.Log(events.BudgetExceededByFault, events.F("pool", spec.Name), events.F("serving", pool.Serving),
				events.F("floor", pool.Floor), events.F("workers", pool.Size))
		}
		s.belowBudget[spec.Name] = below
	}
}
