package traffic

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/routing"
	"github.com/waxwingbridge/waxwingbridge/table"
)

// Request is a row for a submission that has no answer yet.
type Request struct {
	Submission *Submission
	Arrived    time.Time
	Deadline   time.Time
	Sends      int
}

// Attempt is a row for a request that was handed to a target.
type Attempt struct {
	Request table.ID // zero once the request was answered
	Worker  string
}

// State holds the tables of one shard.
type State struct {
	source   *atomic.Pointer[Snapshot]
	snapshot *Snapshot

	Requests table.Table[Request]
	Attempts table.Table[Attempt]
	waiting  []table.ID
	finished []*Finished

	sends   table.Outbound[Send]
	replies table.Outbound[Reply]
	random  *rand.Rand
}

// NewState returns the empty state of a shard that reads snapshots from source.
func NewState(source *atomic.Pointer[Snapshot], seed uint64, _ routing.Chooser) *State {
	return &State{source: source, random: rand.New(rand.NewPCG(seed, 0))} //nolint:gosec // reproducible choices, not secrets
}

// Program returns the program of a shard.
func Program(performer Performer) engine.Program[State, Event] {
	return engine.Program[State, Event]{
		Apply:   apply,
		Systems: Systems(),
		Flush: func(s *State, _ engine.Tick) {
			s.sends.Drain(performer.Send)
			s.replies.Drain(performer.Answer)
		},
		NextDeadline: func(*State) time.Time { return time.Time{} },
	}
}

func apply(s *State, tick engine.Tick, event Event) {
	switch event := event.(type) {
	case *Arrived:
		id := s.Requests.Insert(Request{Submission: event.Submission, Arrived: tick.Now})
		event.Submission.row = id
		s.waiting = append(s.waiting, id)
	case *Finished:
		s.finished = append(s.finished, event)
	case *Abandoned, Published:
	}
}
