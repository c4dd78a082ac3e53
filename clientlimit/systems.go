package clientlimit

import (
	"cmp"
	"slices"
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
)

// Systems lists the systems in the order in which they run.
func Systems() []engine.System[State] {
	return []engine.System[State]{
		{Name: "sample progress", Run: sampleProgress},
		{Name: "fit budget to the process's own need", Run: fitBudget},
		{Name: "make room for connections", Run: makeRoomForConns},
		{Name: "make room for bytes", Run: makeRoomForBytes},
		{Name: "report reasons", Run: reportReasons},
	}
}

// sampleProgress compares what each connection has done with the least rate.
func sampleProgress(s *State, tick engine.Tick) {
	elapsed := tick.Now.Sub(s.sampledAt)
	if s.sampled = elapsed >= sampleInterval; !s.sampled {
		return
	}
	s.sampledAt = tick.Now
	// The first sample of a connection may cover less than the interval, and samples
	// after a pause more than one of a connection that has done enough.
	least := int64(minRate * min(elapsed, time.Second).Seconds())
	for _, row := range s.conns.All() {
		seen, served := row.usage.Received.Load()+row.usage.Sent.Load(), row.usage.Served.Load()
		if seen-row.seen >= least || served > row.served || row.usage.busy.Load() {
			row.progressAt = tick.Now
		}
		row.seen, row.served = seen, served
	}
}

// fitBudget lowers the budget while the process needs more of the memory itself.
func fitBudget(s *State, _ engine.Tick) {
	if !s.sampled || s.nextNeed < needSamples {
		return
	}
	need := slices.Min(s.needs[:])
	s.budget.SetLimit(max(s.limits.LeastBytes, min(s.limits.Bytes, s.limits.NeedBytes-need)))
}

// candidate is a connection that may be closed.
type candidate struct {
	row  *connRow
	rank float64
}

// candidates returns the connections of a listener, or of all of them, that the process
// doesn't work for and that make too little progress: first those that hold most for
// longest.
func (s *State) candidates(now time.Time, ofClass func(Class) bool) []candidate {
	var found []candidate
	for _, row := range s.conns.All() {
		stall := now.Sub(row.progressAt)
		if row.closing || !ofClass(row.usage.Class) || row.usage.busy.Load() || stall < minStall {
			continue
		}
		rank := float64(row.usage.Held.Load()) * stall.Seconds()
		if row.served > 0 {
			rank *= servedWeight
		}
		found = append(found, candidate{row, rank})
	}
	slices.SortStableFunc(found, func(a, b candidate) int { return cmp.Compare(b.rank, a.rank) })
	return found
}

func (s *State) close(c candidate, reason Reason) {
	c.row.closing = true
	s.closes.Add(Closing{c.row.usage, reason})
}

// roomShare is the part of a listener's connections, and minRoom their least number, that
// is closed at once when it is full, so that not every new connection needs a choice and
// callers behind a crowd are reached soon.
const (
	roomShare = 1.0 / 16
	minRoom   = 8
)

// makeRoomForConns closes connections of listeners that wait for room.
func makeRoomForConns(s *State, tick engine.Tick) {
	for class := range classes {
		if !s.full[class] || !s.sampled {
			continue
		}
		if s.open[class] < s.limits.Conns[class] {
			s.full[class] = false
			continue
		}
		closing := 0
		for _, row := range s.conns.All() {
			if row.closing && row.usage.Class == class {
				closing++
			}
		}
		found := s.candidates(tick.Now, func(c Class) bool { return c == class })
		wanted := max(minRoom, int(roomShare*float64(s.limits.Conns[class]))) - closing
		for _, c := range found[:min(len(found), max(0, wanted))] {
			s.close(c, TooManyConns)
		}
	}
}

// makeRoomForBytes closes connections while the budget is nearly used up.
func makeRoomForBytes(s *State, tick engine.Tick) {
	used, limit := float64(s.budget.Used()), float64(s.budget.Limit(Executing))
	if !s.sampled || used < highShare*limit && !s.short {
		return
	}
	s.short = false
	for _, row := range s.conns.All() {
		if row.closing {
			used -= float64(row.usage.Held.Load())
		}
	}
	for _, c := range s.candidates(tick.Now, func(Class) bool { return true }) {
		if used < lowShare*limit {
			return
		}
		used -= float64(c.row.usage.Held.Load())
		s.close(c, OutOfMemory)
	}
}

// reportReasons reports the reasons that have occurred, each at most once a minute.
func reportReasons(s *State, tick engine.Tick) {
	for reason := range reasons {
		total := s.counts[reason].Load()
		if total == s.reported[reason] || tick.Now.Sub(s.reportedAt[reason]) < reportInterval {
			continue
		}
		s.reports.Add(Report{
			Reason: reason, Cases: total - s.reported[reason], Held: s.budget.Used(), Limit: s.budget.Limit(Executing), Conns: s.open[Clients],
		})
		s.reported[reason], s.reportedAt[reason] = total, tick.Now
	}
}
