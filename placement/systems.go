package placement

import (
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
)

// Systems lists the systems in the order in which they run. Checks that free
// room come before placement; the page writes come last, so that they contain
// every change of the tick.
var Systems = []engine.System[State]{
	{Name: "expire timers", Run: expireTimers},
	{Name: "retire jobs", Run: retireJobs},
	{Name: "repeat page reads", Run: repeatReads},
	{Name: "expire replies", Run: expireReplies},
	{Name: "cancel jobs", Run: cancelJobs},
	{Name: "reconcile workers", Run: reconcileWorkers},
	{Name: "advance attempts", Run: advanceAttempts},
	{Name: "stop tasks", Run: stopTasks},
	{Name: "quarantine workers", Run: quarantineWorkers},
	{Name: "park jobs", Run: parkJobs},
	{Name: "restore tasks", Run: restoreTasks},
	{Name: "place jobs", Run: placeJobs},
	{Name: "preempt for urgent jobs", Run: preemptForUrgent},
	{Name: "hold power cap", Run: holdPowerCap},
	{Name: "renew leases", Run: renewLeases},
	{Name: "commit pages", Run: commitPages},
}

// Program returns the systems as an engine program, for owners that run the
// package on a loop of its own and for tests.
func Program(flush func(*State, engine.Tick)) engine.Program[State, Event] {
	return engine.Program[State, Event]{
		Apply: func(s *State, tick engine.Tick, e Event) { Apply(s, tick, e) }, Systems: Systems,
		Flush: flush, NextDeadline: (*State).NextDeadline,
	}
}

// NextDeadline returns when the systems must run without an event. The zero
// time means never. A moment in the past means at once.
func (s *State) NextDeadline() time.Time {
	next := s.timers.next()
	if !s.Active() {
		return time.Time{}
	}
	for i := range s.pageIDs {
		next = earliest(next, s.page(i).deadline(s))
	}
	if s.claimed < PageCount {
		return next // calls wait for the pages
	}
	if s.attempts.Len() > 0 {
		next = earliest(next, later(s.renewAt, s.quietUntil))
	}
	if s.policy != nil && s.fleetKnown && s.pendingChecks() {
		next = earliest(next, later(s.quietUntil, s.startedAt))
	}
	return next
}

// pendingChecks reports whether work was left for the next tick.
func (s *State) pendingChecks() bool {
	return len(s.changedPools.keys)+len(s.fleetPools.keys)+len(s.drainCheck.keys)+len(s.restoreCheck.keys)+
		len(s.attemptCheck.keys)+len(s.stopCheck.keys)+len(s.quarantineCheck.keys) > 0
}

func (p *pageRow) deadline(s *State) time.Time {
	var next time.Time
	switch {
	case p.reading:
		next = p.retryAt
	case p.dirty && p.inFlight == "":
		next = p.writableAt(s)
	}
	if len(p.replies) > 0 {
		next = earliest(next, p.replies[0].deadline)
	}
	return next
}

func earliest(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}
