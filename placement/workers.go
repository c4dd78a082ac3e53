package placement

import (
	"slices"
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/table"
)

// inService reports whether starts may be sent to the worker.
func (w *Worker) inService() bool {
	return w.known && w.Condition == ConditionAvailable && (!w.Quarantine.Active || w.Quarantine.Probing)
}

// accepts reports whether the worker may get a new attempt of the job. A
// probing worker gets one idempotent job that is not urgent.
func (w *Worker) accepts(job *Job, now time.Time) bool {
	if !w.inService() || now.Before(w.avoidUntil) {
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
		s.removeOthers(e.Workers)
		if !s.fleetKnown {
			s.fleetKnown = true
			s.checkAllPools()
		}
	}
}

func (s *State) removeOthers(workers []WorkerInfo) {
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
	if w.known && info.same(w) {
		return
	}
	s.unlinkWorker(row, w)
	if condition := info.Condition; condition == ConditionQuarantined {
		if !w.known {
			s.startQuarantine(row, w, s.cfg.QuarantineDuration, now)
		}
		w.Condition = ConditionAvailable // the quarantine is kept in its own field
	} else {
		w.Condition = condition
	}
	w.known = true
	w.Pool, w.Rack, w.AvailabilityZone, w.Capacity = info.Pool, info.Rack, info.AvailabilityZone, info.Capacity
	s.capacity = s.capacity.Add(w.Capacity)
	s.workersByPool.Add(w.Pool, row)
	s.workerChanged(w)
}

func (info *WorkerInfo) same(w *Worker) bool {
	condition := info.Condition
	if condition == ConditionQuarantined {
		condition = ConditionAvailable
	}
	return info.Pool == w.Pool && info.Rack == w.Rack && info.AvailabilityZone == w.AvailabilityZone &&
		info.Capacity == w.Capacity && condition == w.Condition
}

// unlinkWorker removes the worker from its pool and from the fleet's capacity.
func (s *State) unlinkWorker(row table.ID, w *Worker) {
	if !w.known {
		return
	}
	s.capacity = s.capacity.Sub(w.Capacity)
	s.workersByPool.Remove(w.Pool, row)
	s.fleetPools.add(w.Pool)
}

func (s *State) workerChanged(w *Worker) {
	s.fleetPools.add(w.Pool)
	s.changedPools.add(w.Pool)
	s.drainCheck.add(w.Name)
	s.restoreCheck.add(w.Name)
}

// removeWorker treats the worker as lost. The row goes when no attempt needs it.
func (s *State) removeWorker(name string) {
	w := s.worker(name)
	if w == nil {
		return
	}
	row, _ := s.workerByName.Get(name)
	s.unlinkWorker(row, w)
	w.known, w.Condition = false, ConditionLost
	s.forgetPower(w)
	s.drainCheck.add(name)
}

// reconcileWorkers acts on the tasks of workers whose condition changed.
func reconcileWorkers(s *State, tick engine.Tick) {
	if !s.mayCall(tick.Now) || !s.fleetKnown {
		return
	}
	for _, name := range s.drainCheck.take() {
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
		case !w.known && remaining == 0:
			s.workerByName.Delete(name)
			s.workers.Delete(row)
		case !w.known:
			s.timers.add(tick.Now.Add(s.cfg.TaskLease), timerWorker, row)
		case w.Condition == ConditionDraining && remaining > 0:
			s.timers.add(tick.Now.Add(controlRepeatInterval), timerWorker, row)
		}
	}
}

func (s *State) reconcileAttempt(id table.ID, w *Worker, now time.Time) {
	a := s.attempts.Get(id)
	job := s.jobs.Get(a.Job)
	switch {
	case w.Condition == ConditionLost:
		s.lose(id, a, job, ReasonWorkerLost)
	case w.Condition != ConditionAvailable && a.Status == AttemptIntended:
		s.withdraw(a.Job, job)
	case w.Condition == ConditionDraining && a.active() && job.checkpointable() && !job.Cancelling:
		s.control(a, ActionCheckpoint, now)
	}
}

func (e PolicyChanged) apply(s *State, _ engine.Tick) {
	s.policy = e.Policy
	s.checkAllPools()
}

// checkAllPools lets every job that waits be judged again.
func (s *State) checkAllPools() {
	for _, job := range s.jobs.All() {
		if job.State.waiting() {
			s.fleetPools.add(job.Pool)
			s.changedPools.add(job.Pool)
		}
	}
}

// parkJobs parks jobs that no worker of their pool can run any more, and queues
// parked ones that can run again.
func parkJobs(s *State, tick engine.Tick) {
	if !s.canPlace(tick.Now) {
		return
	}
	for _, pool := range s.fleetPools.take() {
		s.changedPools.add(pool)
		ids := append(slices.Clone(s.waitingByPool.Get(pool)), s.parkedByPool.Get(pool)...)
		for _, id := range ids {
			job := s.jobs.Get(id)
			if job.attempt != 0 {
				continue
			}
			reason := s.cannotRun(&job.Spec)
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

// canPlace reports whether placements can be decided now.
func (s *State) canPlace(now time.Time) bool {
	return s.mayCall(now) && s.policy != nil && s.fleetKnown
}
