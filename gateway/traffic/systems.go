package traffic

import "github.com/waxwingbridge/waxwingbridge/engine"

// Systems lists the systems of a shard in the order in which they run. Attempts
// are completed before requests expire, so that a response that arrived in time
// counts. Requests are admitted before abandoned ones are removed, because both
// events of a request can occur in one tick.
func Systems() []engine.System[State] {
	return []engine.System[State]{
		{Name: "adopt snapshot", Run: adoptSnapshot},
		{Name: "complete attempts", Run: completeAttempts},
		{Name: "expire requests", Run: expireRequests},
		{Name: "wake targets", Run: wakeTargets},
		{Name: "retry requests", Run: retryRequests},
		{Name: "admit requests", Run: admitRequests},
		{Name: "remove abandoned", Run: removeAbandoned},
		{Name: "dispatch", Run: dispatchPools},
		{Name: "forget idle rows", Run: removeIdleRows},
		{Name: "report demand", Run: reportDemand},
	}
}
