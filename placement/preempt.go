package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/table"
)

// preemptionPlan is a set of tasks whose preemption frees capacity on one worker.
type preemptionPlan struct {
	worker     *Worker
	throttle   []*Attempt
	checkpoint []*Attempt
	workAtRisk float64 // core-seconds that would be lost if the checkpoint failed
}

// preemptForUrgent frees capacity for urgent jobs that could not be placed. Throttles
// free it immediately. Capacity freed by a checkpoint goes to urgent jobs first.
func preemptForUrgent(s *State, tick engine.Tick) {
	waiting := s.unplacedUrgent
	s.unplacedUrgent = s.unplacedUrgent[:0]
	if !s.canPlace(tick.Now) {
		return
	}
	for _, id := range waiting {
		job := s.jobs.Get(id)
		if job == nil || job.State != JobPending || job.attempt != 0 {
			continue
		}
		if tick.Now.Before(job.preemptingUntil) {
			job.Reason = ReasonPreempting
			continue
		}
		s.preemptFor(id, job, tick.Now)
	}
}

func (s *State) preemptFor(id table.ID, job *Job, now time.Time) {
	reservation := s.reservation(&job.Spec)
	if reason := s.limitReason(job, reservation); reason != ReasonNone {
		job.Reason = reason // an earlier urgent job of this tick used the remaining quota or power
		return
	}
	plan := s.cheapestPreemption(job, reservation, now)
	if plan == nil {
		return
	}
	s.Counters.Preemptions++
	for _, a := range plan.throttle {
		s.throttle(a, s.jobs.Get(a.Job), now)
		s.notifyPreempted(a, job)
	}
	if len(plan.checkpoint) == 0 {
		s.beginAttempt(id, job, plan.worker, reservation, now)
		return
	}
	for _, a := range plan.checkpoint {
		s.requestAction(a, ActionCheckpoint, now)
		s.notifyPreempted(a, job)
	}
	job.Reason, job.preemptingUntil = ReasonPreempting, now.Add(preemptRetryInterval)
	row, _ := s.workerByName.Get(plan.worker.Name)
	s.timers.add(job.preemptingUntil, timerWorker, row)
}

// cheapestPreemption returns the plan with the least work at risk, then the fewest
// tasks, or nil if there is no plan.
func (s *State) cheapestPreemption(job *Job, reservation Resources, now time.Time) *preemptionPlan {
	_, racks := s.familySpread(job)
	var best *preemptionPlan
	for _, id := range s.workersByPool.Get(job.Pool) {
		w := s.workers.Get(id)
		if !w.acceptsJob(job, now) || w.Quarantine.Active || !s.canHost(w, job, reservation) || racks[w.Rack] > 0 {
			continue
		}
		plan := s.planPreemption(w, reservation, now)
		if plan != nil && (best == nil || plan.compare(best) < 0) {
			best = plan
		}
	}
	return best
}

func (p *preemptionPlan) compare(o *preemptionPlan) int {
	return cmp.Or(cmp.Compare(p.workAtRisk, o.workAtRisk),
		cmp.Compare(len(p.throttle)+len(p.checkpoint), len(o.throttle)+len(o.checkpoint)))
}

// planPreemption tries throttles alone, which put no work at risk, then checkpoints.
func (s *State) planPreemption(w *Worker, reservation Resources, now time.Time) *preemptionPlan {
	victims := s.victims(w)
	free := s.usableCapacity(w).Sub(w.Reserved)
	if plan := s.planThrottle(w, victims, free, reservation); plan != nil {
		return plan
	}
	slices.SortStableFunc(victims, func(x, y *Attempt) int {
		return cmp.Or(cmp.Compare(x.workAtRisk(now), y.workAtRisk(now)), cmp.Compare(s.jobs.Get(x.Job).Class, s.jobs.Get(y.Job).Class))
	})
	plan := &preemptionPlan{worker: w}
	for _, a := range victims {
		if !s.jobs.Get(a.Job).checkpointable() {
			continue
		}
		plan.checkpoint = append(plan.checkpoint, a)
		plan.workAtRisk += a.workAtRisk(now)
		if free = free.Add(a.Reserved); reservation.Fits(free) {
			return plan
		}
	}
	return nil
}

func (s *State) planThrottle(w *Worker, victims []*Attempt, free, reservation Resources) *preemptionPlan {
	plan := &preemptionPlan{worker: w}
	for _, a := range victims {
		if reservation.Fits(free) {
			break
		}
		if !a.Throttled {
			plan.throttle = append(plan.throttle, a)
			free.MilliCores += a.unthrottledMilliCores - max(1, int(s.cfg.ThrottleShare*float64(a.unthrottledMilliCores)))
		}
	}
	if !reservation.Fits(free) {
		return nil
	}
	return plan
}

// victims returns the worker's running non-urgent tasks, lowest class first, then
// largest reservation first.
func (s *State) victims(w *Worker) []*Attempt {
	var out []*Attempt
	for _, id := range s.attemptsByWorker.Get(w.Name) {
		a := s.attempts.Get(id)
		job := s.jobs.Get(a.Job)
		if a.running() && a.pendingAction == ActionNone && !job.Cancelling && job.Class < ClassUrgent {
			out = append(out, a)
		}
	}
	slices.SortStableFunc(out, func(x, y *Attempt) int {
		return cmp.Or(cmp.Compare(s.jobs.Get(x.Job).Class, s.jobs.Get(y.Job).Class), cmp.Compare(y.Reserved.MilliCores, x.Reserved.MilliCores))
	})
	return out
}

// workAtRisk returns the work since the start of the attempt, in core-seconds.
func (a *Attempt) workAtRisk(now time.Time) float64 {
	return float64(a.unthrottledMilliCores) / milliCoresPerCore * now.Sub(a.StartedAt).Seconds()
}
