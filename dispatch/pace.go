package dispatch

import (
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/events"
)

// Control of the speed of best-effort runs by the tail latency of the
// latency-sensitive runs on the same worker.
const (
	// speedInterval is the shortest interval between two changes. It lets a
	// change show in the workers' lists, which cover half a second.
	speedInterval = 600 * time.Millisecond
	// slowDownAbove and speedUpBelow are shares of the latency target between
	// which the speed is kept.
	slowDownAbove = 0.85
	speedUpBelow  = 0.6
	// speedIncrement is added when speeding up, in percent.
	speedIncrement = 20
	// minSpeed is the lowest speed above 0, in percent; a run that would become
	// slower is suspended.
	minSpeed = 15
)

// adjustBestEffortSpeed slows best-effort runs down on workers where the tail
// latency of a task nears its target, and speeds them up again elsewhere.
func adjustBestEffortSpeed(s *State, tick engine.Tick) {
	for i := range s.bestEffortRuns.Len() {
		runID := s.bestEffortRuns.At(i)
		s.visitedIndexed++
		run := s.Runs.Get(runID)
		w := s.Workers.Get(run.Worker)
		p := s.Pools.Get(w.pool)
		if run.State != RunConfirmed || run.speedPending || tick.Now.Sub(run.speedOrderedAt) < speedInterval || !s.mayOrder(p, tick.Now) {
			continue
		}
		tail, latencySensitive := s.worstTailLatency(w)
		speed := nextSpeed(run.speed, tail, latencySensitive)
		if speed == run.speed && !run.speedUncertain {
			continue
		}
		run.speedPending, run.speedOrderedAt = true, tick.Now
		s.Out.Speeds.Add(SpeedOrder{Target: s.target(run.Worker, w, p), Run: runID, Task: run.Name, Number: run.Number, Percent: speed})
		s.log(events.BestEffortSpeedChanged, events.F("task", run.Name.String()), events.F("worker", w.ID), events.F("percent", speed),
			events.F("tail_share", tail))
	}
}

// worstTailLatency returns the highest tail latency among the worker's
// latency-sensitive runs, as a share of the latency target, and whether the
// worker has such runs.
func (s *State) worstTailLatency(w *Worker) (share float64, found bool) {
	for _, runID := range w.runs {
		run := s.Runs.Get(runID)
		t := s.Tasks.Get(run.Task)
		if t == nil || run.State != RunConfirmed {
			continue
		}
		if step := stepOf(s, t); step.LatencyTarget > 0 {
			found = true
			share = max(share, float64(run.load)/float64(step.LatencyTarget.Milliseconds()))
		}
	}
	return share, found
}

func nextSpeed(current int, tail float64, latencySensitive bool) int {
	switch {
	case !latencySensitive:
		return fullSpeed
	case tail > slowDownAbove:
		if current/2 < minSpeed {
			return 0
		}
		return current / 2
	case tail < speedUpBelow:
		return min(fullSpeed, current+speedIncrement)
	default:
		return current
	}
}

// SpeedSet records the answer to a speed order. That of an order for an earlier incarnation of
// the worker says nothing about the run.
func (s *State) SpeedSet(order SpeedOrder, done bool) {
	run := s.Runs.Get(order.Run)
	if run == nil || !s.isCurrent(s.Workers.Get(run.Worker), order.Target) {
		return
	}
	run.speedPending, run.speedUncertain = false, !done
	if done {
		run.speed = order.Percent
	}
}
