package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/table"
)

// shedInterval bounds how often all attempts are searched while nothing can be
// shed any more and no report arrives.
const shedInterval = 500 * time.Millisecond

// holdPowerCap sheds draw while the expected draw, with what urgent jobs wait
// for, exceeds the cap: throttle, then checkpoint, lowest class first. Urgent
// work is only throttled, last, and only for the cap itself.
func holdPowerCap(s *State, tick engine.Tick) {
	wanted := s.power.wanted
	s.power.wanted = 0
	limit := s.powerCap()
	if limit == 0 || !s.mayCall(tick.Now) || !s.power.known || s.expectedDraw()+wanted <= limit {
		return
	}
	if wanted == 0 && !s.shedAt.IsZero() && tick.Now.Before(s.shedAt.Add(shedInterval)) {
		return
	}
	s.shedAt = tick.Now
	throttles, checkpoints := s.Counters.PowerThrottles, s.Counters.PowerCheckpoints
	candidates := s.shedCandidates()
	excess := func(wanted int) int { return s.expectedDraw() + wanted - limit }
	s.shedWhile(candidates, tick.Now, func(c shedCandidate) bool { return excess(wanted) > 0 && c.job.Class < ClassUrgent },
		s.throttleForPower)
	s.shedWhile(candidates, tick.Now, func(c shedCandidate) bool { return excess(wanted) > 0 && c.job.Class < ClassUrgent },
		s.checkpointForPower)
	s.shedWhile(candidates, tick.Now, func(c shedCandidate) bool { return excess(0) > 0 && c.job.Class == ClassUrgent },
		s.throttleForPower)
	s.announceShed(throttles, checkpoints)
}

type shedCandidate struct {
	attempt *Attempt
	job     *Job
}

// shedCandidates returns the running attempts, lowest class and priority first,
// then largest draw first.
func (s *State) shedCandidates() []shedCandidate {
	var out []shedCandidate
	for _, a := range s.attempts.All() {
		job := s.jobs.Get(a.Job)
		if a.active() && !job.Cancelling {
			out = append(out, shedCandidate{a, job})
		}
	}
	slices.SortStableFunc(out, func(x, y shedCandidate) int {
		return cmp.Or(cmp.Compare(x.job.Class, y.job.Class), cmp.Compare(x.job.Priority, y.job.Priority),
			cmp.Compare(y.attempt.watts, x.attempt.watts))
	})
	return out
}

func (s *State) shedWhile(candidates []shedCandidate, now time.Time, needed func(shedCandidate) bool,
	act func(shedCandidate, time.Time),
) {
	for _, c := range candidates {
		if needed(c) {
			act(c, now)
		}
	}
}

func (s *State) throttleForPower(c shedCandidate, now time.Time) {
	if !c.attempt.Throttled && c.attempt.asked == ActionNone {
		s.throttle(c.attempt, c.job, now)
		s.Counters.PowerThrottles++
	}
}

// throttle slows a task down. The reservation shrinks at once: the overlap until
// the platform executes the call is processor time, which it can share out.
func (s *State) throttle(a *Attempt, job *Job, now time.Time) {
	if !s.control(a, ActionThrottle, now) {
		return
	}
	s.relieve(a, int(float64(a.watts)*(1-s.cfg.ThrottleShare)), now, false)
	s.setThrottled(a, job.Tenant, true)
}

func (s *State) checkpointForPower(c shedCandidate, now time.Time) {
	if !c.job.checkpointable() || c.attempt.asked == ActionCheckpoint {
		return
	}
	c.attempt.asked = ActionNone // overrides a throttle that is under way
	if s.control(c.attempt, ActionCheckpoint, now) {
		s.relieve(c.attempt, c.attempt.watts, now, false)
		s.Counters.PowerCheckpoints++
	}
}

// restoreTasks ends throttles where the worker has room again and the draw is
// below the restore threshold, highest class first.
func restoreTasks(s *State, tick engine.Tick) {
	if !s.canPlace(tick.Now) {
		return
	}
	var candidates []shedCandidate
	for _, name := range s.restoreCheck.take() {
		for _, id := range s.attemptsByWorker.Get(name) {
			a := s.attempts.Get(id)
			if a.active() && a.Throttled && a.asked == ActionNone {
				candidates = append(candidates, shedCandidate{a, s.jobs.Get(a.Job)})
			}
		}
	}
	slices.SortStableFunc(candidates, func(x, y shedCandidate) int {
		return cmp.Or(cmp.Compare(y.job.Class, x.job.Class), cmp.Compare(y.job.Priority, x.job.Priority))
	})
	for _, c := range candidates {
		s.restore(c, tick.Now)
	}
}

func (s *State) restore(c shedCandidate, now time.Time) {
	w := s.worker(c.attempt.Worker)
	extra := Resources{MilliCores: c.attempt.fullCores - c.attempt.Reserved.MilliCores}
	if !extra.Fits(s.usable(w).Sub(w.Reserved)) || s.urgentWaits(w.Pool) || c.job.Cancelling {
		return // freed room puts the worker back on the list
	}
	watts := max(1, int(float64(c.attempt.watts)*(1/s.cfg.ThrottleShare-1)))
	if limit := s.powerCap(); limit > 0 && float64(s.draw()+watts) > s.cfg.UnthrottleThreshold*float64(limit) {
		s.powerRestores.add(w.Name)
		return
	}
	if s.control(c.attempt, ActionUnthrottle, now) {
		s.Counters.Unthrottles++
		s.adjustPower(c.attempt.Operation, w.Name, watts, now.Add(s.cfg.CallTimeout))
		s.setThrottled(c.attempt, c.job.Tenant, false)
	}
}

func (s *State) urgentWaits(pool string) bool {
	return slices.ContainsFunc(s.waitingByPool.Get(pool), func(id table.ID) bool { return s.jobs.Get(id).Class == ClassUrgent })
}
