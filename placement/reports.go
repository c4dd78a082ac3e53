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
		if id, ok := s.attemptByOp.Get(task.Operation); ok {
			a := s.attempts.Get(id)
			a.listedAt = later(a.listedAt, e.ObservedAt)
			s.observeTask(id, a, task, e.ObservedAt, tick.Now)
		}
	}
	if !e.ObservedAt.After(s.reportedAt) {
		s.Counters.StaleReports++
		return
	}
	s.reportedAt = e.ObservedAt
	s.markAbsent(e.ObservedAt)
}

// markAbsent notes which started attempts a fresh list does not show. A list
// counts as evidence only if it cannot predate the attempt's last sign of life.
func (s *State) markAbsent(observedAt time.Time) {
	evidence := observedAt.Add(-s.cfg.MaxReportLag)
	for id, a := range s.attempts.All() {
		if a.listedAt.Equal(observedAt) || a.Status == AttemptIntended {
			continue
		}
		if !evidence.After(a.sentAt) || !evidence.After(a.seenAt) || !evidence.After(a.StartedAt) {
			continue
		}
		a.absentAt = observedAt
		if a.absentSince.IsZero() {
			a.absentSince = observedAt
		}
		s.attemptCheck.add(id)
	}
}

// observeTask applies one row of a list. Final statuses hold whatever the age
// of the list; the others only if they are newer than what is known.
func (s *State) observeTask(id table.ID, a *Attempt, task *TaskObservation, at, now time.Time) {
	if a.Status == AttemptIntended {
		return
	}
	job := s.jobs.Get(a.Job)
	switch task.Status {
	case TaskDone:
		a.peak = a.peak.max(task.Used)
		s.taskDone(a, job, now)
	case TaskFailed:
		a.peak = a.peak.max(task.Used)
		s.taskFailed(a, job, task.Error, now)
	case TaskCheckpointed:
		s.taskCheckpointed(a, job, now)
	case TaskStopped, TaskLeaseExpired:
		s.taskStopped(a, job, now)
	case TaskRunning, TaskThrottled:
		if at.After(a.seenAt) && at.After(a.absentAt) {
			s.taskSeen(a, job, task, at, now)
			if job.Cancelling {
				s.stopCheck.add(id)
			}
		}
	}
}

func (s *State) taskSeen(a *Attempt, job *Job, task *TaskObservation, at, now time.Time) {
	a.seenAt, a.absentSince = at, time.Time{}
	s.resurrect(a, job, now)
	if task.PowerWatts > 0 {
		a.watts = task.PowerWatts
	}
	s.correct(a, job.Tenant, task.Used)
	if throttled := task.Status == TaskThrottled; throttled != a.Throttled && a.asked == ActionNone &&
		at.Add(-s.cfg.MaxReportLag).After(a.askedAt) {
		s.setThrottled(a, job.Tenant, throttled)
	}
}

// resurrect records that an attempt runs although its start was unresolved or
// it counted as unreachable. A lost worker's tasks stay lost.
func (s *State) resurrect(a *Attempt, job *Job, now time.Time) {
	if a.Status == AttemptRunning || s.worker(a.Worker).Condition == ConditionLost {
		return
	}
	if !a.holding {
		s.hold(a, job.Tenant)
	}
	if a.LeaseDeadline.Before(s.leaseFrom(now)) {
		a.LeaseDeadline = s.leaseFrom(now)
	}
	s.started(a, job, now)
}

func (s *State) taskDone(a *Attempt, job *Job, now time.Time) {
	s.observeFinished(job, a, now)
	if w := s.worker(a.Worker); w.Quarantine.Probing {
		s.endQuarantine(w)
	}
	s.finish(a.Job, job, JobDone, ReasonNone, now)
}

func (s *State) taskFailed(a *Attempt, job *Job, detail string, now time.Time) {
	jobID, w := a.Job, s.worker(a.Worker)
	job.Detail = shortDetail(detail)
	s.Counters.TaskFailures++
	s.observeFinished(job, a, now)
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
		s.withdraw(jobID, job)
	}
}

// taskCheckpointed queues the job again; its next attempt continues from the
// checkpoint. A task that must not start twice becomes unknown.
func (s *State) taskCheckpointed(a *Attempt, job *Job, now time.Time) {
	if !job.checkpointable() || job.Cancelling {
		s.taskStopped(a, job, now)
		return
	}
	s.Counters.Checkpoints++
	s.relieve(a, a.watts, now, true)
	job.Resume = true
	s.withdraw(a.Job, job)
}

// taskStopped handles a task that ended without a result.
func (s *State) taskStopped(a *Attempt, job *Job, now time.Time) {
	jobID := a.Job
	switch {
	case job.Cancelling:
		s.finish(jobID, job, JobCancelled, ReasonCancelled, now)
	case job.Idempotent:
		s.withdraw(jobID, job)
	default:
		if a.Status == AttemptUnknown {
			return
		}
		a.Status, a.LeaseDeadline = AttemptUnknown, now
		s.release(a, job.Tenant)
		s.dropAdjustments(a.Operation)
		s.Counters.JobsUnknown++
		s.setState(jobID, job, JobUnknown, ReasonTaskLost)
	}
}

func (e ControlResult) apply(s *State, tick engine.Tick) {
	id, ok := s.attemptByOp.Get(e.Operation)
	if !ok || !s.Active() {
		return
	}
	a := s.attempts.Get(id)
	job := s.jobs.Get(a.Job)
	if a.asked == e.Action {
		a.asked = ActionNone
	}
	switch {
	case e.Action == ActionStop && e.Result == CallDone && job.Cancelling:
		s.finish(a.Job, job, JobCancelled, ReasonCancelled, tick.Now)
	case e.Action == ActionCheckpoint && e.Result == CallDone:
		s.taskCheckpointed(a, job, tick.Now)
	case e.Action == ActionThrottle && e.Result == CallDone:
		s.confirmRelief(e.Operation, tick.Now)
		s.restoreCheck.add(a.Worker)
	case e.Action == ActionThrottle && e.Result == CallRefused && a.Throttled:
		s.setThrottled(a, job.Tenant, false)
		s.dropRelief(e.Operation)
	case e.Action == ActionUnthrottle && e.Result == CallRefused && !a.Throttled:
		s.setThrottled(a, job.Tenant, true)
	}
}

// control asks the platform to act on a task. A repeat of an action without an
// answer waits for the repeat interval.
func (s *State) control(a *Attempt, action ControlAction, now time.Time) bool {
	if a.asked != ActionNone && now.Before(a.askedAt.Add(controlRepeatInterval)) {
		return false
	}
	a.asked, a.askedAt = action, now
	s.Counters.Controls++
	s.Out.Controls.Add(ControlTask{a.Operation, action})
	return true
}
