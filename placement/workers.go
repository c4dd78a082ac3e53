package placement

import (
	"slices"
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/table"
)

// inService reports whether the worker accepts task starts.
func (w *Worker) inService() bool {
	return w.inFleet && w.Condition == ConditionAvailable && (!w.Quarantine.Active || w.Quarantine.Probing)
}

// acceptsJob reports whether a new attempt of the job may be placed on the worker. A
// probing worker gets a single idempotent job that is not urgent.
func (w *Worker) acceptsJob(job *Job, now time.Time) bool {
	if !w.inService() || now.Before(w.startBackoffUntil) {
		return false
	}
	return !w.Quarantine.Active || (job.Idempotent && job.Class < ClassUrgent && w.Reserved == Resources{})
}

func (e FleetChanged) apply(s *State, tick engine.Tick) {
	for i := range e.Workers {
		s.updateWorker(&e.Workers[i], tick.Now)
	}
	for _, name := range e.Removed {
		s.removeWorker(name)
	}
	if e.Complete {
		s.removeAbsentWorkers(e.Workers)
		if !s.fleetLoaded {
			s.fleetLoaded = true
			s.recheckAllPools()
		}
	}
}

func (s *State) removeAbsentWorkers(workers []WorkerInfo) {
	present := make(map[string]struct{}, len(workers))
	for i := range workers {
		present[workers[i].Name] = struct{}{}
	}
	for _, w := range s.workers.All() {
		if _, ok := present[w.Name]; !ok {
			s.removeWorker(w.Name)
		}
	}
}

func (s *State) updateWorker(info *WorkerInfo, now time.Time) {
	w := s.ensureWorker(info.Name)
	row, _ := s.workerByName.Get(info.Name)
	if w.inFleet && info.matches(w) {
		return
	}
	s.removeFromPool(row, w)
	if condition := info.Condition; condition == ConditionQuarantined {
		if !w.inFleet {
			s.startQuarantine(row, w, s.cfg.QuarantineDuration, now)
		}
		w.Condition = ConditionAvailable // the quarantine has its own field
	} else {
		w.Condition = condition
	}
	w.inFleet = true
	w.Pool, w.Rack, w.AvailabilityZone, w.Capacity = info.Pool, info.Rack, info.AvailabilityZone, info.Capacity
	s.capacity = s.capacity.Add(w.Capacity)
	s.workersByPool.Add(w.Pool, row)
	s.scheduleWorkerChecks(w)
}

func (info *WorkerInfo) matches(w *Worker) bool {
	condition := info.Condition
	if condition == ConditionQuarantined {
		condition = ConditionAvailable
	}
	return info.Pool == w.Pool && info.Rack == w.Rack && info.AvailabilityZone == w.AvailabilityZone &&
		info.Capacity == w.Capacity && condition == w.Condition
}

// removeFromPool removes the worker from its pool and its capacity from the fleet's.
func (s *State) removeFromPool(row table.ID, w *Worker) {
	if !w.inFleet {
		return
	}
	s.capacity = s.capacity.Sub(w.Capacity)
	s.workersByPool.Remove(w.Pool, row)
	s.poolsToRecheck.add(w.Pool)
}

func (s *State) scheduleWorkerChecks(w *Worker) {
	s.poolsToRecheck.add(w.Pool)
	s.poolsToPlace.add(w.Pool)
	s.workersToReconcile.add(w.Name)
	s.workersToUnthrottle.add(w.Name)
}

// removeWorker marks the worker as lost. Its row is deleted once no attempt refers to it.
func (s *State) removeWorker(name string) {
	w := s.worker(name)
	if w == nil {
		return
	}
	row, _ := s.workerByName.Get(name)
	s.removeFromPool(row, w)
	w.inFleet, w.Condition = false, ConditionLost
	s.clearWorkerPower(w)
	s.workersToReconcile.add(name)
}

// reconcileWorkers processes the tasks of workers whose condition changed.
func reconcileWorkers(s *State, tick engine.Tick) {
	if !s.platformCallsAllowed(tick.Now) || !s.fleetLoaded {
		return
	}
	for _, name := range s.workersToReconcile.take() {
		w := s.worker(name)
		if w == nil {
			continue
		}
		ids := slices.Clone(s.attemptsByWorker.Get(name))
		for _, id := range ids {
			s.reconcileAttempt(id, w, tick.Now)
		}
		row, _ := s.workerByName.Get(name)
		remaining := s.attemptsByWorker.Count(name)
		switch {
		case !w.inFleet && remaining == 0:
			s.workerByName.Delete(name)
			s.workers.Delete(row)
		case !w.inFleet:
			s.timers.add(tick.Now.Add(s.cfg.TaskLease), timerWorker, row)
		case w.Condition == ConditionDraining && remaining > 0:
			s.timers.add(tick.Now.Add(actionRetryInterval), timerWorker, row)
		}
	}
}

func (s *State) reconcileAttempt(id table.ID, w *Worker, now time.Time) {
	a := s.attempts.Get(id)
	job := s.jobs.Get(a.Job)
	switch {
	case w.Condition == ConditionLost:
		s.markUnreachable(id, a, job, ReasonWorkerLost)
	case w.Condition != ConditionAvailable && a.Status == AttemptIntended:
		s.requeue(a.Job, job)
	case w.Condition == ConditionDraining && a.running() && job.checkpointable() && !job.Cancelling:
		s.requestAction(a, ActionCheckpoint, now)
	}
}

func (e PolicyChanged) apply(s *State, _ engine.Tick) {
	s.policy = e.Policy
	s.recheckAllPools()
}

// recheckAllPools schedules a feasibility check and placement of every waiting job.
func (s *State) recheckAllPools() {
	for _, job := range s.jobs.All() {
		if job.State.waiting() {
			s.poolsToRecheck.add(job.Pool)
			s.poolsToPlace.add(job.Pool)
		}
	}
}

// parkJobs parks jobs that no worker of their pool can run any more and queues parked
// jobs that can run again.
func parkJobs(s *State, tick engine.Tick) {
	if !s.canPlace(tick.Now) {
		return
	}
	for _, pool := range s.poolsToRecheck.take() {
		s.poolsToPlace.add(pool)
		ids := append(slices.Clone(s.waitingByPool.Get(pool)), s.parkedByPool.Get(pool)...)
		for _, id := range ids {
			job := s.jobs.Get(id)
			if job.attempt != 0 {
				continue
			}
			reason := s.infeasibleReason(&job.Spec)
			switch {
			case reason == ReasonNone && job.State == JobParked:
				s.setState(id, job, JobPending, ReasonQueued)
			case reason != ReasonNone && (job.State != JobParked || job.Reason != reason):
				s.Counters.Parked++
				s.setState(id, job, JobParked, reason)
			}
		}
	}
}

// canPlace reports whether jobs can be placed now.
func (s *State) canPlace(now time.Time) bool {
	return s.platformCallsAllowed(now) && s.policy != nil && s.fleetLoaded
}
