package dispatch

import (
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/events"
)

// Feedback from the tail latency of serving tasks to the fillers beside them.
const (
	// paceEvery lets a change show in the lists, which cover half a second.
	paceEvery = 600 * time.Millisecond
	// slowAbove and fastBelow are shares of the latency target between which
	// the pace is kept.
	slowAbove = 0.85
	fastBelow = 0.6
	// paceUp is the step of an increase, in percent.
	paceUp = 20
	// paceFloor stops a filler that would get less.
	paceFloor = 15
)

// paceFillers slows fillers down where a serving task nears its latency
// target, and lets them recover where it doesn't.
func paceFillers(s *State, tick engine.Tick) {
	for id, w := range s.Workers.All() {
		p := s.Pools.Get(w.pool)
		if len(w.runs) < 2 || !s.ordering(p, tick.Now) {
			continue
		}
		tail, serving := s.worstTail(w)
		for _, runID := range w.runs {
			run := s.Runs.Get(runID)
			t := s.Tasks.Get(run.Task)
			if t == nil || run.State != RunConfirmed || run.paceAsked || tick.Now.Sub(run.paceAt) < paceEvery || !stepOf(s, t).BestEffort {
				continue
			}
			pace := nextPace(run.pace, tail, serving)
			if pace == run.pace {
				continue
			}
			run.paceAsked, run.paceAt = true, tick.Now
			s.Out.Speeds.Add(SpeedOrder{Target: s.target(id, w, p), Run: runID, Task: run.Name, Number: run.Number, Percent: pace})
			s.log(events.FillerSpeedChanged, events.F("task", run.Name.String()), events.F("worker", w.ID), events.F("percent", pace),
				events.F("tail_share", tail))
		}
	}
}

// worstTail returns the highest tail among the worker's serving tasks, as a
// share of its target.
func (s *State) worstTail(w *Worker) (share float64, serving bool) {
	for _, runID := range w.runs {
		run := s.Runs.Get(runID)
		t := s.Tasks.Get(run.Task)
		if t == nil || run.State != RunConfirmed {
			continue
		}
		if step := stepOf(s, t); step.LatencyTarget > 0 {
			serving = true
			share = max(share, float64(run.load)/float64(step.LatencyTarget.Milliseconds()))
		}
	}
	return share, serving
}

func nextPace(pace int, tail float64, serving bool) int {
	switch {
	case !serving:
		return fullPace
	case tail > slowAbove:
		if pace/2 < paceFloor {
			return 0
		}
		return pace / 2
	case tail < fastBelow:
		return min(fullPace, pace+paceUp)
	default:
		return pace
	}
}

// SpeedSet records the answer to a pace order.
func (s *State) SpeedSet(order SpeedOrder, done bool) {
	run := s.Runs.Get(order.Run)
	if run == nil {
		return
	}
	run.paceAsked = false
	if done {
		run.pace = order.Percent
	}
}
