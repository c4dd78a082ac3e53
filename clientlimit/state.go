package clientlimit

import (
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/table"
)

const (
	// sampleInterval is the time between two looks at what the connections have done.
	sampleInterval = 100 * time.Millisecond
	// minStall is how long a connection must have made too little progress before it may
	// be closed to make room. It covers a round trip on a distant link.
	minStall = 200 * time.Millisecond
	// highShare and lowShare of the budget are where connections begin and end to be
	// closed for memory, below the share that bodies may fill.
	highShare = 0.65
	lowShare  = 0.5
	// servedWeight lowers the rank of a connection that has had an answer: its client is
	// more likely to be one that goes on.
	servedWeight = 0.25
	// needSamples is the number of samples of the process's own need of which the least one
	// counts. What is held changes between a collection and its sample, which shows in
	// single samples.
	needSamples = 16
	// reportInterval bounds the log lines of one reason.
	reportInterval = time.Minute
)

type connRow struct {
	usage      *Usage
	seen       int64     // bytes in both directions at the last sample
	served     int64     // answered requests at the last sample
	progressAt time.Time // when it last reached the least rate or finished a request
	closing    bool
}

// State is the table of the connections. One goroutine owns it.
type State struct {
	limits  Limits
	budget  *Budget
	counts  *Counts
	conns   table.Table[connRow]
	byUsage table.Index[*Usage]
	open    [classes]int
	// full marks a listener that waits for room, and short that a request does.
	full  [classes]bool
	short bool

	sampledAt  time.Time
	sampled    bool // in this tick
	needs      [needSamples]int64
	nextNeed   int
	reported   [reasons]int64
	reportedAt [reasons]time.Time

	closes  table.Outbound[Closing]
	reports table.Outbound[Report]
}

// Closing is a connection to close.
type Closing struct {
	Usage  *Usage
	Reason Reason
}

// Report tells how often a reason has occurred since the last report of it.
type Report struct {
	Reason Reason
	Cases  int64
	Held   int64 // bytes taken from the budget
	Limit  int64
	Conns  int // open connections of clients
}

// NewState returns an empty table.
func NewState(limits Limits, budget *Budget, counts *Counts) *State {
	return &State{limits: limits, budget: budget, counts: counts}
}

// Opened records a new connection.
func (s *State) Opened(tick engine.Tick, usage *Usage) {
	s.byUsage.Put(usage, s.conns.Insert(connRow{usage: usage, progressAt: tick.Now}))
	s.open[usage.Class]++
}

// Closed removes a connection.
func (s *State) Closed(usage *Usage) {
	id, known := s.byUsage.Get(usage)
	if !known {
		return
	}
	s.byUsage.Delete(usage)
	s.conns.Delete(id)
	s.open[usage.Class]--
}

// Full records that a listener waits for room.
func (s *State) Full(class Class) { s.full[class] = true }

// Short records that a request waits for room in the budget.
func (s *State) Short() { s.short = true }

// SetLive records the bytes that the last collection has found in use. What clients don't
// hold of them is the process's own need.
func (s *State) SetLive(bytes int64) {
	s.needs[s.nextNeed%needSamples] = max(0, bytes-s.budget.Used())
	s.nextNeed++
}

// Open returns the number of open connections of a listener.
func (s *State) Open(class Class) int { return s.open[class] }

// Sampled reports whether this tick has looked at the connections.
func (s *State) Sampled() bool { return s.sampled }

// Closes returns the connections to close.
func (s *State) Closes() *table.Outbound[Closing] { return &s.closes }

// Reports returns what is to be logged.
func (s *State) Reports() *table.Outbound[Report] { return &s.reports }

// NextDeadline returns the time of the next sample, or the zero time without
// connections.
func (s *State) NextDeadline() time.Time {
	if s.conns.Len() == 0 && !s.unreported() {
		return time.Time{}
	}
	return s.sampledAt.Add(sampleInterval)
}

func (s *State) unreported() bool {
	for reason := range s.counts {
		if s.counts[reason].Load() > s.reported[reason] {
			return true
		}
	}
	return false
}
