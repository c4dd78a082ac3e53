package placement

import (
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/table"
)

// maxFailures ends a job whose pool has fewer workers than the attribution of
// fault needs.
const maxFailures = 6

// recordFailure counts a failure against job and worker and reports whether the
// job itself is at fault. Failures of such a job no longer count against workers.
func (s *State) recordFailure(job *Job, w *Worker, now time.Time) bool {
	job.Failures++
	if !job.failedOn(w.Name) {
		job.FailedOn = append(job.FailedOn, w.Name)
	}
	if len(job.FailedOn) >= workersUntilJobAtFault || job.Failures >= maxFailures {
		s.forgive(job)
		if w.Quarantine.Probing {
			s.changedPools.add(w.Pool) // the probe proved nothing
		}
		return true
	}
	count := w.addFault(job.ID, now, s.cfg.FaultWindow)
	switch {
	case w.Quarantine.Probing:
		s.extendQuarantine(w, now)
	case count >= jobsUntilWorkerAtFault && !w.Quarantine.Active:
		s.quarantineCheck.add(w.Name)
	}
	return false
}

func (s *State) forgive(job *Job) {
	for _, name := range job.FailedOn {
		if w := s.worker(name); w != nil {
			w.forgetFault(job.ID)
		}
	}
}

// quarantineWorkers takes workers at fault out of use, within the cap of the
// pool and the availability budget.
func quarantineWorkers(s *State, tick engine.Tick) {
	for _, name := range s.quarantineCheck.take() {
		w := s.worker(name)
		if w == nil || w.Quarantine.Active || len(w.faults) < jobsUntilWorkerAtFault {
			continue
		}
		if !s.mayQuarantine(w) {
			s.Counters.QuarantinesCapped++
			s.Out.Notifications.Add(Notification{Kind: NotifyQuarantineCapped, Worker: name})
			continue
		}
		row, _ := s.workerByName.Get(name)
		s.startQuarantine(row, w, s.cfg.QuarantineDuration, tick.Now)
		change := QuarantineChange{Worker: name, Quarantined: true}
		for _, f := range w.faults {
			change.Jobs = append(change.Jobs, f.job)
		}
		s.Counters.Quarantines++
		s.Out.Quarantines.Add(change)
	}
}

// mayQuarantine keeps the quarantined part of the pool under the cap, rounded down.
func (s *State) mayQuarantine(w *Worker) bool {
	if s.policy == nil || !w.known {
		return false
	}
	quarantined := 1
	ids := s.workersByPool.Get(w.Pool)
	for _, id := range ids {
		if s.workers.Get(id).Quarantine.Active {
			quarantined++
		}
	}
	const epsilon = 1e-9 // 0.2 of 5 workers is one worker in spite of rounding
	if float64(quarantined) > s.policy.Site().JobQuarantineCap*float64(len(ids))+epsilon {
		return false
	}
	return s.cfg.MayQuarantine == nil || s.cfg.MayQuarantine(w.Name)
}

func (s *State) startQuarantine(row table.ID, w *Worker, length time.Duration, now time.Time) {
	w.Quarantine = Quarantine{Active: true, Until: now.Add(length), Duration: length}
	s.timers.add(w.Quarantine.Until, timerWorker, row)
}

// extendQuarantine doubles the time after a failed probe, up to a bound.
func (s *State) extendQuarantine(w *Worker, now time.Time) {
	length := min(2*w.Quarantine.Duration, s.cfg.QuarantineDuration<<maxQuarantineDoublings)
	row, _ := s.workerByName.Get(w.Name)
	s.startQuarantine(row, w, length, now)
}

func (s *State) endQuarantine(w *Worker) {
	w.Quarantine, w.faults = Quarantine{}, nil
	s.changedPools.add(w.Pool)
	s.Out.Quarantines.Add(QuarantineChange{Worker: w.Name})
}

// workerTimer looks at a worker whose quarantine, drain or avoidance may be due.
func (s *State) workerTimer(row table.ID, now time.Time) {
	w := s.workers.Get(row)
	if w == nil {
		return
	}
	if q := &w.Quarantine; q.Active && !q.Probing && !now.Before(q.Until) {
		q.Probing = true
	}
	s.changedPools.add(w.Pool)
	if w.Condition == ConditionDraining || w.Condition == ConditionLost {
		s.drainCheck.add(w.Name)
	}
}

// expireTimers turns due timers into checks of the systems that follow.
func expireTimers(s *State, tick engine.Tick) {
	for {
		t, ok := s.timers.due(tick.Now)
		if !ok {
			return
		}
		switch t.kind {
		case timerRetention:
			if job := s.jobs.Get(t.row); job != nil && job.State.Finished() {
				s.retire(t.row)
			}
		case timerAttempt:
			s.attemptCheck.add(t.row)
		case timerStop:
			s.stopCheck.add(t.row)
		case timerWorker:
			s.workerTimer(t.row, tick.Now)
		}
	}
}
