package dispatch

import (
	"slices"
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/estimate"
	"github.com/waxwingbridge/waxwingbridge/events"
	"github.com/waxwingbridge/waxwingbridge/table"
	"github.com/waxwingbridge/waxwingbridge/work"
)

// Slow workers: those on which the runs of several jobs progress much slower than runs of
// the same step on other workers. See docs/design/estimates.md.
const (
	// rateWindow and rateWindowShare, of the expected run time, are the shortest time over
	// which the rate of a run is taken: progress is in whole percents.
	rateWindow      = 400 * time.Millisecond
	rateWindowShare = 0.08
	// minStagePeers is the number of tasks from which a stage is compared within itself.
	minStagePeers = 3
	// maxPeerSteps bounds the steps whose rates a pool remembers.
	maxPeerSteps = 256
	// probeInterval is the shortest interval between two starts on a slow worker.
	probeInterval = time.Second
	// slowCost is above every preference for a worker, except for one of a failed run.
	slowCost = 6.0
	// donePercent is the progress of a run that is done.
	donePercent = 100
	// restartInterval is the shortest interval between two searches for runs to restart, and
	// maxRestarts the number of restarts in each.
	restartInterval = 100 * time.Millisecond
	maxRestarts     = 4
	// restartGain is how many times longer the rest of a run must take than the whole task
	// elsewhere, with the stop. It charges for the work that is thrown away.
	restartGain = 1.5
)

// judgeRate compares the rate of a run, since the last time, with those of other workers.
// done is the progress in percent at the reading of the worker's clock.
func (s *State) judgeRate(now time.Time, runID table.ID, clock time.Duration, done int, ended bool) {
	run := s.Runs.Get(runID)
	t := s.Tasks.Get(run.Task)
	if t == nil {
		return
	}
	stage, j, step := s.stageJobAndStep(t)
	p := s.Pools.Get(j.Pool)
	if !p.learns(j) || p.peers == nil || !run.comparable(step) {
		return
	}
	if run.ratedClock == 0 {
		run.ratedClock = run.startClock
		if run.restored {
			run.ratedClock, run.ratedPercent = run.firstClock, run.firstPercent
		}
	}
	expected := j.expected(run.Name.Step)
	elapsed, window := clock-run.ratedClock, max(rateWindow, time.Duration(rateWindowShare*float64(expected)))
	if elapsed < window && (!ended || elapsed < window/2) || run.ratedClock == 0 || expected <= 0 {
		return
	}
	rate := float64(done-run.ratedPercent) / 100 * expected.Seconds() / elapsed.Seconds()
	run.ratedClock, run.ratedPercent = clock, done
	// Runs of the same stage share the error of their estimate. Those of other jobs are the
	// measure only if the stage is too small.
	var verdict estimate.Verdict
	if len(stage.Tasks) < minStagePeers {
		verdict = p.peers.Judge(now, estimate.StepKey{Queue: j.Spec.Queue, Step: stage.Step}, run.Worker, rate)
	} else {
		verdict = stage.rates.Judge(now, run.Worker, rate)
	}
	if verdict != estimate.VerdictNone {
		run.slow = verdict == estimate.VerdictSlow
	}
	w := s.Workers.Get(run.Worker)
	w.suspicion.Add(now, j.Spec.ID, verdict)
	s.updateSlow(now, run.Worker, w, rate)
}

// updateSlow marks a worker as slow, or clears the mark. Marked and quarantined workers
// together are at most maxQuarantinedShare of a pool.
func (s *State) updateSlow(now time.Time, id table.ID, w *Worker, rate float64) {
	before := s.slowWorkers.Contains(id)
	slow := w.suspicion.Suspects(now, before)
	if slow == before {
		w.slowCapped = w.slowCapped && slow
		return
	}
	unfit, all := 0, 0
	if slow {
		unfit, all = s.unfitWorkers(now, w.pool)
		if float64(unfit+1) > maxQuarantinedShare*float64(all) {
			if !w.slowCapped {
				w.slowCapped = true
				s.logSlow(w, rate, unfit, all)
				s.count("slow_workers_capped")
			}
			return
		}
	}
	s.slowWorkers.Put(id, slow)
	w.slowCapped, w.nextProbeAt = false, now
	s.logSlow(w, rate, unfit, all)
	if slow {
		s.count("slow_workers")
	} else if p := s.Pools.Get(w.pool); p != nil {
		p.placementNeeded = true
	}
}

func (s *State) logSlow(w *Worker, rate float64, unfit, all int) {
	slowRates, fineRates := w.suspicion.Weights()
	id, _ := s.workerByID.Get(w.ID)
	s.log(events.WorkerSlow, events.F("worker", w.ID), events.F("slow", s.slowWorkers.Contains(id)), events.F("capped", w.slowCapped),
		events.F("rate", rate), events.F("slow_rates", slowRates), events.F("fine_rates", fineRates), events.F("unfit", unfit), events.F("workers", all))
}

// unfitWorkers counts the workers of a pool that are quarantined or slow, and all of them.
func (s *State) unfitWorkers(now time.Time, pool table.ID) (unfit, all int) {
	for id, w := range s.workersOf(pool) {
		if w.Listed {
			all++
			if now.Before(w.quarantinedUntil) || s.slowWorkers.Contains(id) {
				unfit++
			}
		}
	}
	return unfit, all
}

// mayProbe reports whether a start on a slow worker is due, which tells whether it still is
// slow. Other workers may always get starts. Runs that are not rated, as those of tasks that
// last, don't hold a probe up: they would keep the mark and all starts off for good.
func (s *State) mayProbe(now time.Time, id table.ID, w *Worker) bool {
	return s.slowWorkers.Len() == 0 || !s.slowWorkers.Contains(id) || !now.Before(w.nextProbeAt) && !slices.ContainsFunc(w.runs, s.isRated)
}

// forgiveSlowWorkers clears the marks of workers whose suspicion has decayed without runs.
func forgiveSlowWorkers(s *State, tick engine.Tick) {
	for i := s.slowWorkers.Len() - 1; i >= 0; i-- {
		id := s.slowWorkers.At(i)
		s.visitedIndexed++
		if w := s.Workers.Get(id); len(w.runs) == 0 {
			s.updateSlow(tick.Now, id, w, 0)
		}
	}
}

// isRated reports whether the lists of a worker tell the rate of a run.
func (s *State) isRated(id table.ID) bool {
	run := s.Runs.Get(id)
	t := s.Tasks.Get(run.Task)
	return t != nil && run.comparable(stepOf(s, t))
}

// restartSlowRuns stops runs on slow workers that would miss the deadline there, if their
// task can meet it elsewhere. The task starts again from its checkpoint, if it has one.
func restartSlowRuns(s *State, tick engine.Tick) {
	if s.slowWorkers.Len() == 0 || s.Stopping || tick.Now.Before(s.restartsAt) {
		return
	}
	s.restartsAt = tick.Now.Add(restartInterval)
	left := maxRestarts
	for i := range s.slowWorkers.Len() {
		w := s.Workers.Get(s.slowWorkers.At(i))
		if !s.mayOrder(s.Pools.Get(w.pool), tick.Now) {
			continue
		}
		for _, id := range w.runs {
			s.visitedIndexed++
			if left > 0 && s.restartPays(tick.Now, w, s.Runs.Get(id)) {
				left--
				s.restartRun(tick.Now, w, id)
			}
		}
	}
}

// restartPays reports whether the job of a run can be in time only if the task starts again
// on another worker, and whether that is clearly faster.
func (s *State) restartPays(now time.Time, w *Worker, run *Run) bool {
	t := s.Tasks.Get(run.Task)
	if t == nil || run.State != RunConfirmed || run.stopRequested || !run.slow || t.movedOff || t.isSuspect() {
		return false
	}
	stage, j, step := s.stageJobAndStep(t)
	here := run.wholeTime(run.workerClock, float64(run.percent)/100)
	if !run.comparable(step) || here == 0 {
		return false
	}
	here = time.Duration(float64(100-run.percent) / 100 * float64(here))
	elsewhere := s.Config.StopTime + j.expected(stage.Step)
	after := j.remainingTime[stage.Step] - j.expected(stage.Step)
	return float64(here) > restartGain*float64(elsewhere) && now.Add(here+after).After(j.Deadline) &&
		now.Add(time.Duration(estimateMargin*float64(elsewhere+after))).Before(j.Deadline) && s.hasFreeWorker(now, w, stage, step)
}

// hasFreeWorker reports whether a task of the step can start now on a worker that isn't slow.
func (s *State) hasFreeWorker(now time.Time, except *Worker, stage *Stage, step *work.Step) bool {
	j := s.Jobs.Get(stage.Job)
	for id, w := range s.workersOf(except.pool) {
		c := s.newCandidate(now, id, w)
		if w != except && j.mayMoveTo(stage, w) && !s.slowWorkers.Contains(id) && s.acceptsStarts(now, w) && step.Reserved().Fits(c.free) &&
			s.satisfiesConstraints(now, &c, stage, step, &Task{}, "") {
			return true
		}
	}
	return false
}

func (s *State) restartRun(now time.Time, w *Worker, id table.ID) {
	run := s.Runs.Get(id)
	t := s.Tasks.Get(run.Task)
	_, j, _ := s.stageJobAndStep(t)
	t.movedOff = true
	t.avoid(run.Worker)
	s.requestStop(id)
	s.count("slow_runs_restarted")
	s.log(events.SlowRunRestarted, events.F("task", run.Name.String()), events.F("run", run.Number), events.F("worker", w.ID),
		events.F("percent", run.percent), events.F("ran_ms", (run.workerClock-run.startClock).Milliseconds()),
		events.F("expected_ms", j.expected(run.Name.Step).Milliseconds()), events.F("left_ms", j.Deadline.Sub(now).Milliseconds()),
		events.F("checkpoint", t.Checkpoint != ""))
}
