package invariant

import "github.com/waxwingbridge/waxwingbridge/engine"

// Systems lists the systems in the order in which they run. Violations that a
// single observation proves are reported when it is applied.
func Systems() []engine.System[State] {
	return []engine.System[State]{
		{Name: "check leaving targets", Run: checkLeaving},
		{Name: "check executions", Run: checkExecutions},
		{Name: "check configurations in force", Run: checkInForce},
	}
}
