package placement

import (
	"fmt"
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/table"
)

// platformCallsAllowed reports whether platform calls may be made now: every page
// carries the controller's own epoch, and no call of its predecessor can still
// take effect.
func (s *State) platformCallsAllowed(now time.Time) bool {
	return s.Active() && s.claimedPages == PageCount && !now.Before(s.callsAllowedFrom)
}

// beginAttempt records the intent to run the job on the worker. The start is
// emitted once the page that contains this record is committed.
func (s *State) beginAttempt(jobID table.ID, job *Job, w *Worker, reservation Resources, now time.Time) {
	job.Attempts++
	a, id := s.insertAttempt(jobID, job, Attempt{
		Operation: fmt.Sprintf("%s.%d.%d", job.ID, s.epoch, job.Attempts), Worker: w.Name, Status: AttemptIntended,
		Resume: job.Resume, Reserved: reservation, CreatedAt: now, reservedFromDeclaration: !s.hasObservations(&job.Spec),
	})
	s.adjustPower(a.Operation, w.Name, a.estimatedWatts, time.Time{})
	s.setState(jobID, job, JobStarting, ReasonWaitingForCommit)
	s.startAfterCommit(job.pageIndex, id)
	s.Counters.Placements++
}

// emitStart sends the start of a committed attempt. If the worker no longer
// accepts tasks, the job is queued again; its start was provably not sent.
func (s *State) emitStart(id table.ID, now time.Time) {
	a := s.attempts.Get(id)
	if a == nil || a.Status != AttemptIntended {
		return
	}
	job := s.jobs.Get(a.Job)
	if w := s.worker(a.Worker); !s.platformCallsAllowed(now) || w.Pool != job.Pool || !w.inService() {
		s.requeue(a.Job, job)
		return
	}
	job.Reason = ReasonStarting
	s.sendStart(id, a, job, now)
}

// requeue ends an attempt that is provably not running and queues the job again.
func (s *State) requeue(id table.ID, job *Job) {
	s.endAttempt(job)
	s.setState(id, job, JobPending, ReasonQueued)
}

func (s *State) sendStart(id table.ID, a *Attempt, job *Job, now time.Time) {
	a.Status, a.startSentAt = AttemptSent, now
	a.LeaseDeadline = s.leaseDeadlineFrom(now)
	s.setPowerEffectiveAt(a, now)
	s.Counters.Starts++
	s.Out.Starts.Add(StartTask{
		Operation: a.Operation, Job: job.ID, Worker: a.Worker, Reserved: a.Reserved,
		Lease: s.cfg.TaskLease, Payload: job.Payload, Resume: a.Resume,
		Tenant: job.Tenant, Class: job.Class, FirstAttempt: job.Attempts == 1, WaitTime: now.Sub(job.SubmittedAt),
	})
	s.timers.add(now.Add(2*s.cfg.CallTimeout), timerAttempt, id)
}

// leaseDeadlineFrom returns the latest end of a task whose lease is granted by a
// call sent at the given time.
func (s *State) leaseDeadlineFrom(now time.Time) time.Time {
	return now.Add(s.cfg.CallTimeout + s.cfg.TaskLease)
}

// leaseExpiry returns the time from which the task can no longer be running.
func (s *State) leaseExpiry(a *Attempt) time.Time { return a.LeaseDeadline.Add(s.cfg.LeaseMargin) }

func (e StartResult) apply(s *State, tick engine.Tick) {
	id, ok := s.attemptByOperation.Get(e.Operation)
	if !ok || !s.Active() {
		return
	}
	a := s.attempts.Get(id)
	if a.Status != AttemptSent && a.Status != AttemptUncertain {
		return
	}
	job := s.jobs.Get(a.Job)
	switch {
	case e.Result == CallDone:
		s.markRunning(a, job, tick.Now)
	case e.Result != CallUnknown && !a.startMayBeInTransit:
		s.handleRefusedStart(a, job, e.Error, tick.Now)
	default: // a refused resend does not prove that the first request was not executed
		s.markUncertain(id, a, tick.Now)
	}
}

func (s *State) markRunning(a *Attempt, job *Job, now time.Time) {
	a.Status = AttemptRunning
	if a.StartedAt.IsZero() {
		a.StartedAt = now
	}
	reason := ReasonNone
	if job.Cancelling {
		reason = ReasonStopping
	}
	s.setState(a.Job, job, JobRunning, reason)
}

func (s *State) markUncertain(id table.ID, a *Attempt, now time.Time) {
	a.Status, a.startMayBeInTransit = AttemptUncertain, true
	if job := s.jobs.Get(a.Job); !job.Cancelling {
		job.Reason = ReasonStartUnresolved
	}
	s.timers.add(now.Add(s.cfg.MaxReportLag), timerAttempt, id)
}

// handleRefusedStart handles a start that the platform provably did not execute.
// It counts as a failure of job and worker unless the worker was leaving service.
func (s *State) handleRefusedStart(a *Attempt, job *Job, detail string, now time.Time) {
	jobID, name := a.Job, a.Worker
	job.Detail = truncateDetail(detail)
	s.Counters.StartsRefused++
	w := s.worker(name)
	w.startBackoffUntil = now.Add(refusedStartBackoff)
	s.timers.add(w.startBackoffUntil, timerWorker, rowID(s.workerByName.Get(name)))
	s.endAttempt(job)
	switch {
	case job.Cancelling:
		s.finish(jobID, job, JobCancelled, ReasonCancelled, now)
	case w.Condition == ConditionAvailable && s.recordFailure(job, w, now):
		s.finish(jobID, job, JobFailed, ReasonJobAtFault, now)
	default:
		s.setState(jobID, job, JobPending, ReasonQueued)
	}
}

func rowID(id table.ID, _ bool) table.ID { return id }

// advanceAttempts processes attempts whose timer fired or that are missing from a
// recent task list.
func advanceAttempts(s *State, tick engine.Tick) {
	if !s.platformCallsAllowed(tick.Now) {
		return
	}
	for _, id := range s.attemptsToCheck.take() {
		a := s.attempts.Get(id)
		if a == nil {
			continue
		}
		job := s.jobs.Get(a.Job)
		switch a.Status {
		case AttemptSent:
			if !tick.Now.Before(a.startSentAt.Add(2 * s.cfg.CallTimeout)) {
				s.markUncertain(id, a, tick.Now)
			}
		case AttemptUncertain:
			s.resolveStart(id, a, job, tick.Now)
		case AttemptRunning:
			if !a.absentSince.IsZero() && a.lastAbsentAt.Sub(a.absentSince) >= s.cfg.TaskAbsenceTimeout {
				s.markUnreachable(id, a, job, ReasonTaskLost)
			}
		case AttemptLost, AttemptUnknown:
			s.resolveExpiredLease(id, a, job, tick.Now)
		}
	}
}

// resolveStart handles a start with an unknown result that no task list shows
// yet. The same operation is resent within the resend window; a new attempt is
// never made before the lease of the old one has expired.
func (s *State) resolveStart(id table.ID, a *Attempt, job *Job, now time.Time) {
	conclusiveFrom := a.startSentAt.Add(s.cfg.CallTimeout + s.cfg.MaxReportLag)
	absent := a.lastAbsentAt.After(conclusiveFrom)
	inWindow := now.Before(a.CreatedAt.Add(s.cfg.ResendWindow))
	w := s.worker(a.Worker)
	switch {
	case absent && inWindow && !job.Cancelling && w.inService():
		s.Counters.StartsRepeated++
		s.sendStart(id, a, job, now)
	case absent && !job.Cancelling, !now.Before(s.leaseExpiry(a)):
		s.markUnreachable(id, a, job, ReasonStartUnknown)
	default:
		s.timers.add(now.Add(s.cfg.MaxReportLag), timerAttempt, id)
	}
}

// markUnreachable handles an attempt that may still be running but cannot be
// reached: its worker is lost, or the platform no longer lists it. Its lease is
// no longer renewed.
func (s *State) markUnreachable(id table.ID, a *Attempt, job *Job, reason Reason) {
	switch {
	case a.Status == AttemptLost || a.Status == AttemptUnknown:
		return
	case a.Status == AttemptIntended:
		s.requeue(a.Job, job)
		return
	case job.Cancelling:
		a.Status = AttemptLost
	case job.Idempotent:
		a.Status = AttemptLost
		s.setState(a.Job, job, JobPending, ReasonTaskLease)
	default:
		a.Status = AttemptUnknown
		s.Counters.JobsUnknown++
		s.setState(a.Job, job, JobUnknown, reason)
	}
	s.timers.add(s.leaseExpiry(a), timerAttempt, id)
}

// resolveExpiredLease handles an unreachable attempt once its lease has expired.
func (s *State) resolveExpiredLease(id table.ID, a *Attempt, job *Job, now time.Time) {
	if now.Before(s.leaseExpiry(a)) {
		s.timers.add(s.leaseExpiry(a), timerAttempt, id)
		return
	}
	switch {
	case job.Cancelling:
		s.finish(a.Job, job, JobCancelled, ReasonCancelled, now)
	case a.Status == AttemptLost:
		s.requeue(a.Job, job)
	default: // the row stays, so that a late report can still resolve the job
		s.releaseReservation(a, job.Tenant)
		s.dropAdjustments(a.Operation)
	}
}

// renewLeases renews the leases of running tasks. Tasks of jobs that are being
// cancelled are excluded, so that they end even if the stop request is lost.
func renewLeases(s *State, tick engine.Tick) {
	if !s.platformCallsAllowed(tick.Now) || tick.Now.Before(s.nextRenewalAt) {
		return
	}
	s.nextRenewalAt = tick.Now.Add(s.cfg.TaskLease / renewalsPerLease)
	var operations []string
	for _, a := range s.attempts.All() {
		if !a.running() || s.jobs.Get(a.Job).Cancelling {
			continue
		}
		a.LeaseDeadline = s.leaseDeadlineFrom(tick.Now)
		operations = append(operations, a.Operation)
		if len(operations) == maxOperationsPerRenewal {
			s.Out.Renewals.Add(RenewTasks{operations, s.cfg.TaskLease})
			operations = nil
		}
	}
	if len(operations) > 0 {
		s.Out.Renewals.Add(RenewTasks{operations, s.cfg.TaskLease})
	}
}
