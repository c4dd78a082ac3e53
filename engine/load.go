package engine

import "time"

// timedTicks is the share of ticks whose systems are timed one by one: one in
// timedTicks. Reading the clock around every system of every tick would itself take
// processor time.
const timedTicks = 8

// Load is the work of a Loop since the last call of TakeLoad. Durations are elapsed
// time, so that they include the time for which other threads held the processor.
type Load struct {
	Ticks  int
	Events int
	// Busy is the time spent on ticks, and Longest that of the longest one.
	Busy, Longest time.Duration
	// MaxQueued is the highest number of events that were applied in one tick.
	MaxQueued int
	// MaxLate is the longest delay of a tick beyond its deadline.
	MaxLate time.Duration
	// Stages holds the time of each stage of a tick, estimated from the timed ticks:
	// applying events, each system in order, and performing the effects.
	Stages []StageLoad
}

// StageLoad is the time that one stage of the ticks has taken.
type StageLoad struct {
	Name string
	Time time.Duration
}

// loadMeter accumulates the Load of a Loop.
type loadMeter struct {
	load  Load
	timed bool // the present tick is timed stage by stage
	begin time.Time
	last  time.Time // end of the last timed stage
}

func newLoadMeter(names []string) loadMeter {
	m := loadMeter{load: Load{Stages: make([]StageLoad, len(names))}}
	for i, name := range names {
		m.load.Stages[i].Name = name
	}
	return m
}

// tickBegins records the start of a tick that was due at the given time, which is zero
// if an event caused it.
func (m *loadMeter) tickBegins(seq uint64, late time.Duration) {
	m.timed = seq%timedTicks == 0
	m.begin = time.Now()
	m.last = m.begin
	m.load.Ticks++
	m.load.MaxLate = max(m.load.MaxLate, late)
}

func (m *loadMeter) eventsApplied(n int) {
	m.load.Events += n
	m.load.MaxQueued = max(m.load.MaxQueued, n)
	m.stageEnds(0)
}

func (m *loadMeter) stageEnds(stage int) {
	if !m.timed {
		return
	}
	now := time.Now()
	m.load.Stages[stage].Time += timedTicks * now.Sub(m.last)
	m.last = now
}

func (m *loadMeter) tickEnds() {
	took := time.Since(m.begin)
	m.load.Busy += took
	m.load.Longest = max(m.load.Longest, took)
}

// take returns the accumulated load and starts anew.
func (m *loadMeter) take() Load {
	taken := m.load
	m.load = Load{Stages: make([]StageLoad, len(taken.Stages))}
	for i := range taken.Stages {
		m.load.Stages[i].Name = taken.Stages[i].Name
	}
	return taken
}
