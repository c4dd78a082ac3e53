package placement

import (
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
)

// Systems lists the systems in the order in which they run. Systems that free
// capacity run before placement. Page writes run last, so that they contain every
// change of the tick. Reports of measure/capacity list costs by these names, so the
// names stay stable.
var Systems = []engine.System[State]{
	{Name: "expire timers", Run: expireTimers},
	{Name: "retire jobs", Run: retireJobs},
	{Name: "repeat page reads", Run: retryPageReads},
	{Name: "expire replies", Run: expireReplies},
	{Name: "cancel jobs", Run: cancelJobs},
	{Name: "reconcile workers", Run: reconcileWorkers},
	{Name: "advance attempts", Run: advanceAttempts},
	{Name: "stop tasks", Run: stopTasks},
	{Name: "quarantine workers", Run: quarantineWorkers},
	{Name: "park jobs", Run: parkJobs},
	{Name: "restore tasks", Run: unthrottleTasks},
	{Name: "place jobs", Run: placeJobs},
	{Name: "preempt for urgent jobs", Run: preemptForUrgent},
	{Name: "hold power cap", Run: holdPowerCap},
	{Name: "renew leases", Run: renewLeases},
	{Name: "commit pages", Run: commitPages},
}

// Program returns the systems as an engine program, for tests and for owners that run
// them in a separate loop.
func Program(flush func(*State, engine.Tick)) engine.Program[State, Event] {
	return engine.Program[State, Event]{
		Apply: func(s *State, tick engine.Tick, e Event) { Apply(s, tick, e) }, Systems: Systems,
		Flush: flush, NextDeadline: (*State).NextDeadline,
	}
}

// NextDeadline returns the time at which the systems must run even without an event.
// The zero time means never, a time in the past means immediately.
func (s *State) NextDeadline() time.Time {
	next := s.timers.next()
	if !s.Active() {
		return time.Time{}
	}
	for i := range s.pageIDs {
		next = earliest(next, s.page(i).nextDeadline(s))
	}
	if s.claimedPages < PageCount {
		return next // platform calls are not allowed before all pages are committed
	}
	if s.attempts.Len() > 0 {
		next = earliest(next, later(s.nextRenewalAt, s.callsAllowedFrom))
	}
	if s.policy != nil && s.fleetLoaded && s.hasPendingChecks() {
		next = earliest(next, later(s.callsAllowedFrom, s.takeoverAt))
	}
	return next
}

// hasPendingChecks reports whether work is left for the next tick.
func (s *State) hasPendingChecks() bool {
	return len(s.poolsToPlace.keys)+len(s.poolsToRecheck.keys)+len(s.workersToReconcile.keys)+len(s.workersToUnthrottle.keys)+
		len(s.attemptsToCheck.keys)+len(s.attemptsToStop.keys)+len(s.workersToQuarantine.keys) > 0
}

func (p *pageRow) nextDeadline(s *State) time.Time {
	var next time.Time
	switch {
	case p.readPending:
		next = p.retryAt
	case p.dirty && p.inFlightWriteID == "":
		next = p.earliestWriteAt(s)
	}
	if len(p.pendingReplies) > 0 {
		next = earliest(next, p.pendingReplies[0].deadline)
	}
	return next
}

func earliest(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}
