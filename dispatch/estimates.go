package dispatch

import (
	"time"

	"github.com/waxwingbridge/waxwingbridge/estimate"
	"github.com/waxwingbridge/waxwingbridge/events"
	"github.com/waxwingbridge/waxwingbridge/table"
	"github.com/waxwingbridge/waxwingbridge/work"
)

// Expected run times, learnt from the runs that this owner has seen in the pool. See
// docs/design/estimates.md.
const (
	// maxLearntSteps and maxLearntImages bound the rows of a pool. A queue has a few steps,
	// and a pool a few queues; images are named by clients.
	maxLearntSteps  = 256
	maxLearntImages = 64
	// maxRestoredPercent is the progress above which a run that began with a checkpoint
	// tells nothing about the whole run time, since progress is in whole percents.
	maxRestoredPercent = 80
)

// learns reports whether run times are learnt and used in the pool: where jobs of teams
// share it. Elsewhere the declared times hold.
func (p *Pool) learns(j *Job) bool {
	return p != nil && p.runTimes != nil && (p.ready.shared || j.Spec.Team != "")
}

// setExpectedTimes derives the expected run times of a new job's steps.
func (s *State) setExpectedTimes(now time.Time, j *Job) {
	p := s.Pools.Get(j.Pool)
	if !p.learns(j) {
		return
	}
	j.expectedTimes = make([]time.Duration, len(j.Spec.Steps))
	for i := range j.Spec.Steps {
		step := &j.Spec.Steps[i]
		factor := p.runTimes.Factor(now, estimate.StepKey{Queue: j.Spec.Queue, Step: i}, step.Image)
		j.expectedTimes[i] = time.Duration(factor * float64(step.Estimate))
	}
}

// expected returns the expected run time of a task of a step.
func (j *Job) expected(step int) time.Duration {
	if j.expectedTimes == nil {
		return j.Spec.Steps[step].Estimate
	}
	return j.expectedTimes[step]
}

// stepWork returns the expected core-seconds of all tasks of a step.
func (j *Job) stepWork(step int) float64 {
	spec := &j.Spec.Steps[step]
	return float64(spec.Count) * j.expected(step).Seconds() * float64(spec.Reserved().MilliCores) / 1000
}

// comparable reports whether the run time of a run tells something about other runs of its
// step: it was confirmed by the answer to its start, and it ran at full speed.
func (r *Run) comparable(step *work.Step) bool {
	return r.startClock > 0 && r.speed == fullSpeed && !r.stopRequested && !step.LongRunning && !step.BestEffort && !step.Gang
}

// observeRunTime learns from a run that is done. The worker's clock gives its time, so that
// a late tick doesn't lengthen it.
func (s *State) observeRunTime(now time.Time, runID table.ID) {
	run := s.Runs.Get(runID)
	t := s.Tasks.Get(run.Task)
	if t == nil {
		return
	}
	_, j, step := s.stageJobAndStep(t)
	p := s.Pools.Get(j.Pool)
	w := s.Workers.Get(run.Worker)
	if !p.learns(j) || !run.comparable(step) || run.slow || s.slowWorkers.Contains(run.Worker) {
		return
	}
	took := run.wholeTime(w.clock, 1)
	if took <= 0 {
		return
	}
	key := estimate.StepKey{Queue: j.Spec.Queue, Step: run.Name.Step}
	changed := p.runTimes.Observe(now, estimate.Observation{
		Key: key, Image: step.Image, Declared: step.Estimate, Observed: took,
		Weight: 1 / float64(step.Count),
	})
	if changed {
		s.log(events.RunTimeLearnt, events.F("queue", key.Queue), events.F("step", key.Step), events.F("factor", p.runTimes.Factor(now, key, "")),
			events.F("declared_ms", step.Estimate.Milliseconds()), events.F("observed_ms", took.Milliseconds()))
	}
	s.count("run_times_observed")
}

// wholeTime returns how long the whole task takes by what its run has done until the clock
// reading: the time since its start, less the part restored from a checkpoint. done is the
// progress at the reading. It returns 0 if that can't be told.
func (r *Run) wholeTime(clock time.Duration, done float64) time.Duration {
	from, restored := r.startClock, 0.0
	if r.restored {
		if r.firstClock == 0 || r.firstPercent > maxRestoredPercent {
			return 0
		}
		from, restored = r.firstClock, float64(r.firstPercent)/100
	}
	if done <= restored {
		return 0
	}
	return time.Duration(float64(clock-from) / (done - restored))
}
