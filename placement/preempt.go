package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/table"
)

// preemption is a way to make room on one worker.
type preemption struct {
	worker     *Worker
	throttle   []*Attempt
	checkpoint []*Attempt
	lostWork   float64 // core seconds that are at risk until the checkpoint is taken
}

// preemptForUrgent makes room for urgent jobs that found none. Throttles take
// effect at once; after a checkpoint the freed room goes to urgent jobs first.
func preemptForUrgent(s *State, tick engine.Tick) {
	waiting := s.urgent
	s.urgent = s.urgent[:0]
	if !s.canPlace(tick.Now) {
		return
	}
	for _, id := range waiting {
		job := s.jobs.Get(id)
		if job == nil || job.State != JobPending || job.attempt != 0 {
			continue
		}
		if tick.Now.Before(job.preemptUntil) {
			job.Reason = ReasonPreempting
			continue
		}
		s.preemptFor(id, job, tick.Now)
	}
}

func (s *State) preemptFor(id table.ID, job *Job, now time.Time) {
	reserve := s.reservation(&job.Spec)
	if reason := s.withinLimits(job, reserve); reason != ReasonNone {
		job.Reason = reason // an urgent job before it in this tick used the rest
		return
	}
	plan := s.cheapestPreemption(job, reserve, now)
	if plan == nil {
		return
	}
	s.Counters.Preemptions++
	for _, a := range plan.throttle {
		s.throttle(a, s.jobs.Get(a.Job), now)
		s.announcePreempted(a, job)
	}
	if len(plan.checkpoint) == 0 {
		s.beginAttempt(id, job, plan.worker, reserve, now)
		return
	}
	for _, a := range plan.checkpoint {
		s.control(a, ActionCheckpoint, now)
		s.announcePreempted(a, job)
	}
	job.Reason, job.preemptUntil = ReasonPreempting, now.Add(preemptRepeatInterval)
	row, _ := s.workerByName.Get(plan.worker.Name)
	s.timers.add(job.preemptUntil, timerWorker, row)
}

// cheapestPreemption returns the plan that puts the least work at risk, then
// the one with the fewest tasks, or nil.
func (s *State) cheapestPreemption(job *Job, reserve Resources, now time.Time) *preemption {
	_, racks := s.familySpread(job)
	var best *preemption
	for _, id := range s.workersByPool.Get(job.Pool) {
		w := s.workers.Get(id)
		if !w.accepts(job, now) || w.Quarantine.Active || !s.suits(w, job, reserve) || racks[w.Rack] > 0 {
			continue
		}
		plan := s.planPreemption(w, reserve, now)
		if plan != nil && (best == nil || plan.compare(best) < 0) {
			best = plan
		}
	}
	return best
}

func (p *preemption) compare(o *preemption) int {
	return cmp.Or(cmp.Compare(p.lostWork, o.lostWork),
		cmp.Compare(len(p.throttle)+len(p.checkpoint), len(o.throttle)+len(o.checkpoint)))
}

// planPreemption tries throttles alone, which lose no work, then checkpoints.
func (s *State) planPreemption(w *Worker, reserve Resources, now time.Time) *preemption {
	victims := s.victims(w)
	free := s.usable(w).Sub(w.Reserved)
	if plan := s.planThrottle(w, victims, free, reserve); plan != nil {
		return plan
	}
	slices.SortStableFunc(victims, func(x, y *Attempt) int {
		return cmp.Or(cmp.Compare(x.workAtRisk(now), y.workAtRisk(now)), cmp.Compare(s.jobs.Get(x.Job).Class, s.jobs.Get(y.Job).Class))
	})
	plan := &preemption{worker: w}
	for _, a := range victims {
		if !s.jobs.Get(a.Job).checkpointable() {
			continue
		}
		plan.checkpoint = append(plan.checkpoint, a)
		plan.lostWork += a.workAtRisk(now)
		if free = free.Add(a.Reserved); reserve.Fits(free) {
			return plan
		}
	}
	return nil
}

func (s *State) planThrottle(w *Worker, victims []*Attempt, free, reserve Resources) *preemption {
	plan := &preemption{worker: w}
	for _, a := range victims {
		if reserve.Fits(free) {
			break
		}
		if !a.Throttled {
			plan.throttle = append(plan.throttle, a)
			free.MilliCores += a.fullCores - max(1, int(s.cfg.ThrottleShare*float64(a.fullCores)))
		}
	}
	if !reserve.Fits(free) {
		return nil
	}
	return plan
}

// victims returns the worker's running tasks that are not urgent, lowest class
// first, then largest first.
func (s *State) victims(w *Worker) []*Attempt {
	var out []*Attempt
	for _, id := range s.attemptsByWorker.Get(w.Name) {
		a := s.attempts.Get(id)
		job := s.jobs.Get(a.Job)
		if a.active() && a.asked == ActionNone && !job.Cancelling && job.Class < ClassUrgent {
			out = append(out, a)
		}
	}
	slices.SortStableFunc(out, func(x, y *Attempt) int {
		return cmp.Or(cmp.Compare(s.jobs.Get(x.Job).Class, s.jobs.Get(y.Job).Class), cmp.Compare(y.Reserved.MilliCores, x.Reserved.MilliCores))
	})
	return out
}

// workAtRisk is the work since the start of the attempt, in core seconds.
func (a *Attempt) workAtRisk(now time.Time) float64 {
	return float64(a.fullCores) / milliCores * now.Sub(a.StartedAt).Seconds()
}
