package controller

import (
	"github.com/waxwingbridge/waxwingbridge/budget"
	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/events"
)

// reportBudgets logs pools that fall below their availability budget. Planned
// operations never cause that, so the cause is failed workers.
func reportBudgets(s *State, _ engine.Tick) {
	if !s.Active() || s.Fleet == nil || s.View.Policy == nil {
		clear(s.poolsBelowBudget)
		s.budgetFleetVersion = 0
		return
	}
	if s.budgetFleetVersion == s.fleetVersion {
		return
	}
	s.budgetFleetVersion = s.fleetVersion
	availability := budget.Assess(s.Fleet, s.View.Policy, nil)
	for _, spec := range s.View.Policy.Pools() {
		pool := availability.Pool(spec.Name)
		below := pool.Size > 0 && pool.Serving < pool.Floor
		if below && !s.poolsBelowBudget[spec.Name] {
			s.View.Log(events.BudgetExceededByFault, events.F("pool", spec.Name), events.F("serving", pool.Serving),
				events.F("floor", pool.Floor), events.F("workers", pool.Size))
		}
		s.poolsBelowBudget[spec.Name] = below
	}
}
