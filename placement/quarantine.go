package placement

import (
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/table"
)

// maxJobFailures bounds the failures of a job whose pool has fewer workers than
// workersUntilJobAtFault.
const maxJobFailures = 6

// recordFailure counts a failure for job and worker and reports whether the job is
// at fault. Failures of a job at fault no longer count against workers.
func (s *State) recordFailure(job *Job, w *Worker, now time.Time) bool {
	job.Failures++
	if !job.failedOn(w.Name) {
		job.FailedOn = append(job.FailedOn, w.Name)
	}
	if len(job.FailedOn) >= workersUntilJobAtFault || job.Failures >= maxJobFailures {
		s.clearFaults(job)
		if w.Quarantine.Probing {
			s.poolsToPlace.add(w.Pool) // the probe was inconclusive
		}
		return true
	}
	count := w.addFault(job.ID, now, s.cfg.FaultWindow)
	switch {
	case w.Quarantine.Probing:
		s.extendQuarantine(w, now)
	case count >= jobsUntilWorkerAtFault && !w.Quarantine.Active:
		s.workersToQuarantine.add(w.Name)
	}
	return false
}

func (s *State) clearFaults(job *Job) {
	for _, name := range job.FailedOn {
		if w := s.worker(name); w != nil {
			w.removeFault(job.ID)
		}
	}
}

// quarantineWorkers quarantines workers at fault, within the quarantine cap of the
// pool and the availability budget.
func quarantineWorkers(s *State, tick engine.Tick) {
	for _, name := range s.workersToQuarantine.take() {
		w := s.worker(name)
		if w == nil || w.Quarantine.Active || len(w.faults) < jobsUntilWorkerAtFault {
			continue
		}
		if !s.quarantineAllowed(w) {
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

// quarantineAllowed reports whether quarantining the worker keeps the quarantined
// share of its pool within the cap, rounded down, and within the availability budget.
func (s *State) quarantineAllowed(w *Worker) bool {
	if s.policy == nil || !w.inFleet {
		return false
	}
	quarantined := 1
	ids := s.workersByPool.Get(w.Pool)
	for _, id := range ids {
		if s.workers.Get(id).Quarantine.Active {
			quarantined++
		}
	}
	const epsilon = 1e-9 // 0.2 of 5 workers must allow one worker despite floating-point error
	if float64(quarantined) > s.policy.Site().JobQuarantineCap*float64(len(ids))+epsilon {
		return false
	}
	return s.cfg.MayQuarantine == nil || s.cfg.MayQuarantine(w.Name)
}

func (s *State) startQuarantine(row table.ID, w *Worker, duration time.Duration, now time.Time) {
	w.Quarantine = Quarantine{Active: true, Until: now.Add(duration), Duration: duration}
	s.timers.add(w.Quarantine.Until, timerWorker, row)
}

// extendQuarantine doubles the quarantine after a failed probe, up to a limit.
func (s *State) extendQuarantine(w *Worker, now time.Time) {
	duration := min(2*w.Quarantine.Duration, s.cfg.QuarantineDuration<<maxQuarantineDoublings)
	row, _ := s.workerByName.Get(w.Name)
	s.startQuarantine(row, w, duration, now)
}

func (s *State) endQuarantine(w *Worker) {
	w.Quarantine, w.faults = Quarantine{}, nil
	s.poolsToPlace.add(w.Pool)
	s.Out.Quarantines.Add(QuarantineChange{Worker: w.Name})
}

// handleWorkerTimer handles the timer of a worker: the end of a quarantine or start
// backoff, or the next check of a drain.
func (s *State) handleWorkerTimer(row table.ID, now time.Time) {
	w := s.workers.Get(row)
	if w == nil {
		return
	}
	if q := &w.Quarantine; q.Active && !q.Probing && !now.Before(q.Until) {
		q.Probing = true
	}
	s.poolsToPlace.add(w.Pool)
	if w.Condition == ConditionDraining || w.Condition == ConditionLost {
		s.workersToReconcile.add(w.Name)
	}
}

// expireTimers turns due timers into work for the systems that follow.
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
			s.attemptsToCheck.add(t.row)
		case timerStop:
			s.attemptsToStop.add(t.row)
		case timerWorker:
			s.handleWorkerTimer(t.row, tick.Now)
		}
	}
}
