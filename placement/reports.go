package placement

import (
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/table"
)

func (e TasksReported) apply(s *State, tick engine.Tick) {
	if !s.active {
		return
	}
	for i := range e.Tasks {
		task := &e.Tasks[i]
		if id, ok := s.attemptByOperation.Get(task.Operation); ok {
			a := s.attempts.Get(id)
			a.lastListedAt = later(a.lastListedAt, e.ObservedAt)
			s.observeTask(id, a, task, e.ObservedAt, tick.Now)
		}
	}
	if !e.ObservedAt.After(s.newestTaskListAt) {
		s.Counters.StaleReports++
		return
	}
	s.newestTaskListAt = e.ObservedAt
	s.markAbsent(e.ObservedAt)
}

// markAbsent records which started attempts are missing from a recent list. A list
// counts only if its content is newer than the attempt's start and last sighting.
func (s *State) markAbsent(observedAt time.Time) {
	contentAt := observedAt.Add(-s.cfg.MaxReportLag)
	for id, a := range s.attempts.All() {
		if a.lastListedAt.Equal(observedAt) || a.Status == AttemptIntended {
			continue
		}
		if !contentAt.After(a.startSentAt) || !contentAt.After(a.lastSeenAt) || !contentAt.After(a.StartedAt) {
			continue
		}
		a.lastAbsentAt = observedAt
		if a.absentSince.IsZero() {
			a.absentSince = observedAt
		}
		s.attemptsToCheck.add(id)
	}
}

// observeTask applies one entry of a task list. Final statuses apply regardless of
// the age of the list, others only if the list is newer than the known status.
func (s *State) observeTask(id table.ID, a *Attempt, task *TaskObservation, observedAt, now time.Time) {
	if a.Status == AttemptIntended {
		return
	}
	job := s.jobs.Get(a.Job)
	switch task.Status {
	case TaskDone:
		a.peakUsage = a.peakUsage.max(task.Used)
		s.taskDone(a, job, now)
	case TaskFailed:
		a.peakUsage = a.peakUsage.max(task.Used)
		s.taskFailed(a, job, task.Error, now)
	case TaskCheckpointed:
		s.taskCheckpointed(a, job, now)
	case TaskStopped, TaskLeaseExpired:
		s.taskStopped(a, job, now)
	case TaskRunning, TaskThrottled:
		if observedAt.After(a.lastSeenAt) && observedAt.After(a.lastAbsentAt) {
			s.applyTaskObservation(a, job, task, observedAt, now)
			if job.Cancelling {
				s.attemptsToStop.add(id)
			}
		}
	}
}

func (s *State) applyTaskObservation(a *Attempt, job *Job, task *TaskObservation, observedAt, now time.Time) {
	a.lastSeenAt, a.absentSince = observedAt, time.Time{}
	s.confirmRunning(a, job, now)
	if task.PowerWatts > 0 {
		a.estimatedWatts = task.PowerWatts
	}
	s.adjustReservation(a, job.Tenant, task.Used)
	if throttled := task.Status == TaskThrottled; throttled != a.Throttled && a.pendingAction == ActionNone &&
		observedAt.Add(-s.cfg.MaxReportLag).After(a.actionRequestedAt) {
		s.setThrottled(a, job.Tenant, throttled)
	}
}

// confirmRunning records that an attempt is running although its start was unresolved
// or it counted as unreachable. Tasks of a lost worker stay lost.
func (s *State) confirmRunning(a *Attempt, job *Job, now time.Time) {
	if a.Status == AttemptRunning || s.worker(a.Worker).Condition == ConditionLost {
		return
	}
	if !a.holdsReservation {
		s.holdReservation(a, job.Tenant)
	}
	if a.LeaseDeadline.Before(s.leaseDeadlineFrom(now)) {
		a.LeaseDeadline = s.leaseDeadlineFrom(now)
	}
	s.markRunning(a, job, now)
}

func (s *State) taskDone(a *Attempt, job *Job, now time.Time) {
	s.recordUsage(job, a, now)
	if w := s.worker(a.Worker); w.Quarantine.Probing {
		s.endQuarantine(w)
	}
	s.finish(a.Job, job, JobDone, ReasonNone, now)
}

func (s *State) taskFailed(a *Attempt, job *Job, detail string, now time.Time) {
	jobID, w := a.Job, s.worker(a.Worker)
	job.Detail = truncateDetail(detail)
	s.Counters.TaskFailures++
	s.recordUsage(job, a, now)
	atFault := s.recordFailure(job, w, now)
	switch {
	case job.Cancelling:
		s.finish(jobID, job, JobCancelled, ReasonCancelled, now)
	case !job.Idempotent:
		s.finish(jobID, job, JobFailed, ReasonTaskFailed, now)
	case atFault:
		s.finish(jobID, job, JobFailed, ReasonJobAtFault, now)
	default:
		job.Resume = false
		s.requeue(jobID, job)
	}
}

// taskCheckpointed queues the job again; its next attempt resumes from the
// checkpoint. A job that must not be started twice becomes unknown.
func (s *State) taskCheckpointed(a *Attempt, job *Job, now time.Time) {
	if !job.checkpointable() || job.Cancelling {
		s.taskStopped(a, job, now)
		return
	}
	s.Counters.Checkpoints++
	s.addPowerReduction(a, a.estimatedWatts, now, true)
	job.Resume = true
	s.requeue(a.Job, job)
}

// taskStopped handles a task that ended without a result.
func (s *State) taskStopped(a *Attempt, job *Job, now time.Time) {
	jobID := a.Job
	switch {
	case job.Cancelling:
		s.finish(jobID, job, JobCancelled, ReasonCancelled, now)
	case job.Idempotent:
		s.requeue(jobID, job)
	default:
		if a.Status == AttemptUnknown {
			return
		}
		a.Status, a.LeaseDeadline = AttemptUnknown, now
		s.releaseReservation(a, job.Tenant)
		s.dropAdjustments(a.Operation)
		s.Counters.JobsUnknown++
		s.setState(jobID, job, JobUnknown, ReasonTaskLost)
	}
}

func (e ControlResult) apply(s *State, tick engine.Tick) {
	id, ok := s.attemptByOperation.Get(e.Operation)
	if !ok || !s.Active() {
		return
	}
	a := s.attempts.Get(id)
	job := s.jobs.Get(a.Job)
	if a.pendingAction == e.Action {
		a.pendingAction = ActionNone
	}
	switch {
	case e.Action == ActionStop && e.Result == CallDone && job.Cancelling:
		s.finish(a.Job, job, JobCancelled, ReasonCancelled, tick.Now)
	case e.Action == ActionCheckpoint && e.Result == CallDone:
		s.taskCheckpointed(a, job, tick.Now)
	case e.Action == ActionThrottle && e.Result == CallDone:
		s.confirmPowerReduction(e.Operation, tick.Now)
		s.workersToUnthrottle.add(a.Worker)
	case e.Action == ActionThrottle && e.Result == CallRefused && a.Throttled:
		s.setThrottled(a, job.Tenant, false)
		s.dropPowerReduction(e.Operation)
	case e.Action == ActionUnthrottle && e.Result == CallRefused && !a.Throttled:
		s.setThrottled(a, job.Tenant, true)
	}
}

// requestAction requests an action on a task from the platform, unless an earlier
// request has no result yet and its retry interval has not elapsed.
func (s *State) requestAction(a *Attempt, action ControlAction, now time.Time) bool {
	if a.pendingAction != ActionNone && now.Before(a.actionRequestedAt.Add(actionRetryInterval)) {
		return false
	}
	a.pendingAction, a.actionRequestedAt = action, now
	s.Counters.Controls++
	s.Out.Controls.Add(ControlTask{a.Operation, action})
	return true
}
