package dispatch

import (
	"time"

	"github.com/waxwingbridge/waxwingbridge/events"
	"github.com/waxwingbridge/waxwingbridge/table"
)

// The log records of this file tell which incarnation of a worker an order was meant for,
// with which lease, whether and by which incarnation it was answered, and what was known of
// a run when it was given up.

// How the end of an incarnation becomes known.
const (
	fromRegistry = "registry" // its entry states another incarnation
	fromPoll     = "poll"     // the answer to a poll states another incarnation
	fromRefusal  = "refusal"  // another worker has the address
	fromMachine  = "machine"  // a later worker is on the machine
)

// String returns the name used in logs.
func (r RunState) String() string {
	names := [...]string{"invalid", "ordered", "unanswered", "confirmed", "stopping"}
	if int(r) >= len(names) {
		return names[0]
	}
	return names[r]
}

func (s *State) logAccepted(now time.Time, order *StartOrder, run *Run, reading ClockReading) {
	fields := []events.Field{
		events.F("task", order.Task.String()), events.F("run", order.Number), events.F("worker", order.Target.ID),
		events.F("born", order.Target.Incarnation), events.F("answered_by", reading.Incarnation),
		events.F("worker_clock_ms", reading.Clock.Milliseconds()), events.F("lease_until_ms", order.LeaseUntil.Milliseconds()),
		events.F("token", order.Target.Token), events.F("given_up", run == nil),
	}
	if run != nil {
		fields = append(fields, events.F("after_ms", now.Sub(run.OrderedAt).Milliseconds()))
	}
	s.log(events.RunAccepted, fields...)
}

func (s *State) logRefused(order *StartOrder, answer StartAnswer, reading ClockReading, err error) {
	s.log(events.StartRefused, events.F("task", order.Task.String()), events.F("run", order.Number), events.F("worker", order.Target.ID),
		events.F("answer", answer.String()), events.F("born", order.Target.Incarnation), events.F("answered_by", reading.Incarnation),
		events.F("worker_clock_ms", reading.Clock.Milliseconds()), events.F("lease_until_ms", order.LeaseUntil.Milliseconds()),
		events.F("token", order.Target.Token), events.Err(err))
}

func (s *State) logAbandoned(now time.Time, run *Run, reason string) {
	fields := []events.Field{
		events.F("task", run.Name.String()), events.F("run", run.Number), events.F("reason", reason), events.F("state", run.State.String()),
		events.F("ordered_ms_ago", now.Sub(run.OrderedAt).Milliseconds()), events.F("listed_clock_ms", run.workerClock.Milliseconds()),
	}
	if w := s.Workers.Get(run.Worker); w != nil {
		fields = append(fields, events.F("worker", w.ID), events.F("born", w.Incarnation))
	}
	s.log(events.RunAbandoned, fields...)
}

// logIncarnationEnded records the end of the incarnation of which the worker's row still
// tells. lost are the runs that are given up with it; the others are in doubt.
func (s *State) logIncarnationEnded(w *Worker, lost []table.ID, next int64, source string) {
	if len(w.runs) == 0 {
		return
	}
	s.log(events.WorkerIncarnationEnded, events.F("worker", w.ID), events.F("runs", len(lost)),
		events.F("in_doubt", len(w.runs)-len(lost)), events.F("previous", w.Incarnation),
		events.F("born", next), events.F("source", source), events.F("last_clock_ms", w.clock.Milliseconds()),
		events.F("lease_until_ms", w.leaseUntil.Milliseconds()), events.F("unanswered_polls", w.failedPolls))
}
