package controller

import (
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/membership"
	"github.com/waxwingbridge/waxwingbridge/placement"
)

// Systems lists the systems of a controller in the order in which they run: first
// those that update the view of the site, then the leader election, then decisions,
// and at the end the writes. Reports of measure/capacity list costs by these names,
// so the names stay stable.
func Systems() []engine.System[State] {
	systems := []engine.System[State]{
		{Name: "note tick", Run: func(s *State, tick engine.Tick) { s.lastTick = tick.Now }},
		{Name: "expire exceptions", Run: expireExceptions},
		{Name: "follow members", Run: followMembers},
		{Name: "report revisions", Run: reportRevisions},
	}
	systems = append(systems, engine.Lift(func(s *State) *membership.State { return s.Peers }, membership.Systems())...)
	systems = append(systems,
		engine.System[State]{Name: "retreat", Run: stepDown},
		engine.System[State]{Name: "campaign", Run: campaign},
		engine.System[State]{Name: "reconcile list", Run: reconcileList},
		engine.System[State]{Name: "execute requests", Run: executeRequests},
		engine.System[State]{Name: "ask workers", Run: pollWorkers},
		engine.System[State]{Name: "advance operations", Run: advanceOperations},
		engine.System[State]{Name: "sample demand", Run: sampleDemand},
		engine.System[State]{Name: "plan wave", Run: planWave},
		engine.System[State]{Name: "report budgets", Run: reportBudgets},
		engine.System[State]{Name: "feed jobs", Run: updatePlacement},
		engine.System[State]{Name: "list tasks", Run: listTasks},
	)
	systems = append(systems, engine.Lift(func(s *State) *placement.State { return s.Jobs }, placement.Systems)...)
	return append(systems,
		engine.System[State]{Name: "log job changes", Run: logJobChanges},
		engine.System[State]{Name: "follow quarantines", Run: followQuarantines},
		engine.System[State]{Name: "commit fleet", Run: commitFleet},
		engine.System[State]{Name: "answer requests", Run: answerRequests},
	)
}

// Program returns the systems as an engine program.
func Program(flush func(*State, engine.Tick)) engine.Program[State, Event] {
	return engine.Program[State, Event]{
		Apply:        func(s *State, tick engine.Tick, event Event) { event.apply(s, tick) },
		Systems:      Systems(),
		Flush:        flush,
		NextDeadline: NextDeadline,
	}
}

// maxTickInterval is the longest time between two ticks. It ensures that leases and
// the freshness of the view are checked without an event.
const maxTickInterval = 500 * time.Millisecond

// NextDeadline returns the time of the next tick if no event arrives before.
func NextDeadline(s *State) time.Time {
	next := s.lastTick.Add(maxTickInterval)
	next = earliest(next, s.Peers.NextDeadline())
	next = earliest(next, s.Jobs.NextDeadline())
	if earliestTick := s.lastTick.Add(minTickInterval); next.Before(earliestTick) {
		return earliestTick
	}
	return next
}

// minTickInterval bounds the rate of ticks that are due to deadlines.
const minTickInterval = 5 * time.Millisecond
