package control

import (
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/membership"
	"github.com/waxwingbridge/waxwingbridge/node"
)

// Systems lists the systems in the order in which they run: updates of the views
// first, then decisions, and the snapshot last.
func Systems() []engine.System[State] {
	systems := []engine.System[State]{
		{Name: "note tick", Run: func(s *State, tick engine.Tick) { s.lastTick = tick.Now }},
		{Name: "expire exceptions", Run: func(s *State, tick engine.Tick) { s.View.ExpireExceptions(tick) }},
		{Name: "follow members", Run: func(s *State, tick engine.Tick) { node.UpdateMembers(s.View, s.Peers, tick) }},
		{Name: "track homes", Run: trackHomes},
		{Name: "vouch for targets", Run: updateTargetUsability},
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

// Program returns the program of the control loop.
func Program(flush func(*State, engine.Tick)) engine.Program[State, Event] {
	return engine.Program[State, Event]{
		Apply:        func(s *State, tick engine.Tick, event Event) { event.apply(s, tick) },
		Systems:      Systems(),
		Flush:        flush,
		NextDeadline: nextDeadline,
	}
}

// minTickInterval limits the rate of ticks that are caused by deadlines.
const minTickInterval = 5 * time.Millisecond

func nextDeadline(s *State) time.Time {
	next := s.lastTick.Add(maxTickInterval)
	if peers := s.Peers.NextDeadline(); !peers.IsZero() && peers.Before(next) {
		next = peers
	}
	if soonest := s.lastTick.Add(minTickInterval); next.Before(soonest) {
		return soonest
	}
	return next
}
