package control

import (
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/membership"
	"github.com/waxwingbridge/waxwingbridge/node"
)

// Systems lists the systems in the order in which they run: first what is known,
// then the decisions, at last the snapshot.
func Systems() []engine.System[State] {
	systems := []engine.System[State]{
		{Name: "note tick", Run: func(s *State, tick engine.Tick) { s.lastTick = tick.Now }},
		{Name: "expire exceptions", Run: func(s *State, tick engine.Tick) { s.View.ExpireExceptions(tick) }},
		{Name: "follow members", Run: func(s *State, tick engine.Tick) { node.UpdateMembers(s.View, s.Peers, tick) }},
		{Name: "track homes", Run: trackHomes},
		{Name: "vouch for targets", Run: vouchForTargets},
		{Name: "report demand", Run: reportDemand},
		{Name: "grant slots", Run: grantSlots},
		{Name: "report revisions", Run: func(s *State, tick engine.Tick) { node.ReportRevisions(s.View, s.Peers, tick) }},
	}
	systems = append(systems, engine.Lift(func(s *State) *membership.State { return s.Peers }, membership.Systems())...)
	return append(systems,
		engine.System[State]{Name: "assign homes", Run: assignHomes},
		engine.System[State]{Name: "report freshness", Run: reportFreshness},
		engine.System[State]{Name: "publish snapshot", Run: publishSnapshot},
	)
}

// Program returns the systems as an engine program.
func Program(flush func(*State, engine.Tick)) engine.Program[State, Event] {
	return engine.Program[State, Event]{
		Apply:        func(s *State, tick engine.Tick, event Event) { event.apply(s, tick) },
		Systems:      Systems(),
		Flush:        flush,
		NextDeadline: nextDeadline,
	}
}

// minimumPause bounds the rate of ticks that deadlines cause.
const minimumPause = 5 * time.Millisecond

func nextDeadline(s *State) time.Time {
	next := s.lastTick.Add(idleInterval)
	if peers := s.Peers.NextDeadline(); !peers.IsZero() && peers.Before(next) {
		next = peers
	}
	if soonest := s.lastTick.Add(minimumPause); next.Before(soonest) {
		return soonest
	}
	return next
}
