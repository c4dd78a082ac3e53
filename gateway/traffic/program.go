package traffic

import (
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
)

// Program returns the program of a shard.
func Program(performer Performer) engine.Program[State, Event] {
	return engine.Program[State, Event]{
		Apply:        apply,
		Systems:      Systems(),
		Flush:        func(s *State, _ engine.Tick) { s.flush(performer) },
		NextDeadline: (*State).nextDeadline,
	}
}

// apply only records the event; the systems process it.
func apply(s *State, tick engine.Tick, event Event) {
	switch event := event.(type) {
	case *Arrived:
		id := s.Requests.Insert(Request{Submission: event.Submission, Arrived: tick.Now})
		event.Submission.row = id
		s.arrived = append(s.arrived, id)
	case *Abandoned:
		s.abandoned = append(s.abandoned, event.Submission.row)
	case *Finished:
		s.finished = append(s.finished, event)
	case Published:
	}
}

func (s *State) flush(performer Performer) {
	s.sends.Drain(performer.Send)
	s.aborts.Drain(performer.Abort)
	s.replies.Drain(performer.Reply)
	s.discards.Drain(performer.Discard)
	s.logEntries.Drain(performer.Log)
	s.reports.Drain(performer.Report)
}

func (s *State) nextDeadline() time.Time {
	next := s.Records.NextExpiry()
	for _, at := range []time.Time{
		s.deadlines.MinPriority(), s.retryTimes.MinPriority(), s.idleTenants.MinPriority(), s.Targets.WakeTimes.MinPriority(), s.nextReport(), s.staleAt(),
	} {
		if !at.IsZero() && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	return next
}
