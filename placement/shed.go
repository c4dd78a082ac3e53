package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/table"
)

// shedInterval is the minimum time between two scans of all attempts when nothing more
// can be shed and no power report arrives.
const shedInterval = 500 * time.Millisecond

// holdPowerCap sheds load while the expected power draw plus the demand of blocked
// urgent jobs exceeds the cap. It throttles, then checkpoints, lowest class first.
// Urgent jobs are only throttled, last, and only if the draw itself exceeds the cap.
func holdPowerCap(s *State, tick engine.Tick) {
	urgentDemand := s.power.urgentDemand
	s.power.urgentDemand = 0
	limit := s.powerCap()
	if limit == 0 || !s.platformCallsAllowed(tick.Now) || !s.power.reportReceived || s.expectedDraw()+urgentDemand <= limit {
		return
	}
	if urgentDemand == 0 && !s.lastShedAt.IsZero() && tick.Now.Before(s.lastShedAt.Add(shedInterval)) {
		return
	}
	s.lastShedAt = tick.Now
	throttles, checkpoints := s.Counters.PowerThrottles, s.Counters.PowerCheckpoints
	candidates := s.shedCandidates()
	excess := func(urgentDemand int) int { return s.expectedDraw() + urgentDemand - limit }
	s.applyWhere(candidates, tick.Now, func(c taskCandidate) bool { return excess(urgentDemand) > 0 && c.job.Class < ClassUrgent },
		s.throttleForPower)
	s.applyWhere(candidates, tick.Now, func(c taskCandidate) bool { return excess(urgentDemand) > 0 && c.job.Class < ClassUrgent },
		s.checkpointForPower)
	s.applyWhere(candidates, tick.Now, func(c taskCandidate) bool { return excess(0) > 0 && c.job.Class == ClassUrgent },
		s.throttleForPower)
	s.notifyPowerShed(throttles, checkpoints)
}

type taskCandidate struct {
	attempt *Attempt
	job     *Job
}

// shedCandidates returns the running attempts, lowest class and priority first, then
// largest power draw first.
func (s *State) shedCandidates() []taskCandidate {
	var out []taskCandidate
	for _, a := range s.attempts.All() {
		job := s.jobs.Get(a.Job)
		if a.running() && !job.Cancelling {
			out = append(out, taskCandidate{a, job})
		}
	}
	slices.SortStableFunc(out, func(x, y taskCandidate) int {
		return cmp.Or(cmp.Compare(x.job.Class, y.job.Class), cmp.Compare(x.job.Priority, y.job.Priority),
			cmp.Compare(y.attempt.estimatedWatts, x.attempt.estimatedWatts))
	})
	return out
}

func (s *State) applyWhere(candidates []taskCandidate, now time.Time, needed func(taskCandidate) bool,
	act func(taskCandidate, time.Time),
) {
	for _, c := range candidates {
		if needed(c) {
			act(c, now)
		}
	}
}

func (s *State) throttleForPower(c taskCandidate, now time.Time) {
	if !c.attempt.Throttled && c.attempt.pendingAction == ActionNone {
		s.throttle(c.attempt, c.job, now)
		s.Counters.PowerThrottles++
	}
}

// throttle throttles a task. Its reservation shrinks immediately. Until the platform
// executes the call, the worker's cores may be oversubscribed, which is harmless
// because processor time can be shared.
func (s *State) throttle(a *Attempt, job *Job, now time.Time) {
	if !s.requestAction(a, ActionThrottle, now) {
		return
	}
	s.addPowerReduction(a, int(float64(a.estimatedWatts)*(1-s.cfg.ThrottleShare)), now, false)
	s.setThrottled(a, job.Tenant, true)
}

func (s *State) checkpointForPower(c taskCandidate, now time.Time) {
	if !c.job.checkpointable() || c.attempt.pendingAction == ActionCheckpoint {
		return
	}
	c.attempt.pendingAction = ActionNone // replaces a throttle whose result is pending
	if s.requestAction(c.attempt, ActionCheckpoint, now) {
		s.addPowerReduction(c.attempt, c.attempt.estimatedWatts, now, false)
		s.Counters.PowerCheckpoints++
	}
}

// unthrottleTasks ends throttles where the worker has enough free capacity and the
// draw stays within UnthrottleThreshold, highest class first.
func unthrottleTasks(s *State, tick engine.Tick) {
	if !s.canPlace(tick.Now) {
		return
	}
	var candidates []taskCandidate
	for _, name := range s.workersToUnthrottle.take() {
		for _, id := range s.attemptsByWorker.Get(name) {
			a := s.attempts.Get(id)
			if a.running() && a.Throttled && a.pendingAction == ActionNone {
				candidates = append(candidates, taskCandidate{a, s.jobs.Get(a.Job)})
			}
		}
	}
	slices.SortStableFunc(candidates, func(x, y taskCandidate) int {
		return cmp.Or(cmp.Compare(y.job.Class, x.job.Class), cmp.Compare(y.job.Priority, x.job.Priority))
	})
	for _, c := range candidates {
		s.unthrottle(c, tick.Now)
	}
}

func (s *State) unthrottle(c taskCandidate, now time.Time) {
	w := s.worker(c.attempt.Worker)
	extra := Resources{MilliCores: c.attempt.unthrottledMilliCores - c.attempt.Reserved.MilliCores}
	if !extra.Fits(s.usableCapacity(w).Sub(w.Reserved)) || s.urgentJobWaits(w.Pool) || c.job.Cancelling {
		return // freed capacity adds the worker to workersToUnthrottle again
	}
	watts := max(1, int(float64(c.attempt.estimatedWatts)*(1/s.cfg.ThrottleShare-1)))
	if limit := s.powerCap(); limit > 0 && float64(s.conservativeDraw()+watts) > s.cfg.UnthrottleThreshold*float64(limit) {
		s.workersBlockedByPower.add(w.Name)
		return
	}
	if s.requestAction(c.attempt, ActionUnthrottle, now) {
		s.Counters.Unthrottles++
		s.adjustPower(c.attempt.Operation, w.Name, watts, now.Add(s.cfg.CallTimeout))
		s.setThrottled(c.attempt, c.job.Tenant, false)
	}
}

func (s *State) urgentJobWaits(pool string) bool {
	return slices.ContainsFunc(s.waitingByPool.Get(pool), func(id table.ID) bool { return s.jobs.Get(id).Class == ClassUrgent })
}
