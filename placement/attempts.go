package placement

import (
	"fmt"
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/table"
)

// mayCall reports whether platform calls are allowed now: every page carries the
// own epoch, and the calls of the predecessor have ended.
func (s *State) mayCall(now time.Time) bool {
	return s.Active() && s.claimed == PageCount && !now.Before(s.quietUntil)
}

// beginAttempt records the intent to run the job on the worker. The start is
// emitted when the page with this record is committed.
func (s *State) beginAttempt(jobID table.ID, job *Job, w *Worker, reserve Resources, now time.Time) {
	job.Attempts++
	a, id := s.insertAttempt(jobID, job, Attempt{
		Operation: fmt.Sprintf("%s.%d.%d", job.ID, s.epoch, job.Attempts), Worker: w.Name, Status: AttemptIntended,
		Resume: job.Resume, Reserved: reserve, CreatedAt: now, fromDeclaration: !s.observed(&job.Spec),
	})
	s.adjustPower(a.Operation, w.Name, a.watts, time.Time{})
	s.setState(jobID, job, JobStarting, ReasonWaitingForCommit)
	s.startAfterCommit(job.page, id)
	s.Counters.Placements++
}

// emitStart sends the start of a committed attempt. If the worker no longer
// takes tasks, the attempt is withdrawn; it was provably not sent.
func (s *State) emitStart(id table.ID, now time.Time) {
	a := s.attempts.Get(id)
	if a == nil || a.Status != AttemptIntended {
		return
	}
	job := s.jobs.Get(a.Job)
	if w := s.worker(a.Worker); !s.mayCall(now) || w.Pool != job.Pool || !w.inService() {
		s.withdraw(a.Job, job)
		return
	}
	job.Reason = ReasonStarting
	s.send(id, a, job, now)
}

// withdraw ends an attempt that provably does not run and queues the job again.
func (s *State) withdraw(id table.ID, job *Job) {
	s.endAttempt(job)
	s.setState(id, job, JobPending, ReasonQueued)
}

func (s *State) send(id table.ID, a *Attempt, job *Job, now time.Time) {
	a.Status, a.sentAt = AttemptSent, now
	a.LeaseDeadline = s.leaseFrom(now)
	s.startPower(a, now)
	s.Counters.Starts++
	s.Out.Starts.Add(StartTask{
		Operation: a.Operation, Job: job.ID, Worker: a.Worker, Reserved: a.Reserved,
		Lease: s.cfg.TaskLease, Payload: job.Payload, Resume: a.Resume,
		Tenant: job.Tenant, Class: job.Class, FirstAttempt: job.Attempts == 1, WaitTime: now.Sub(job.SubmittedAt),
	})
	s.timers.add(now.Add(2*s.cfg.CallTimeout), timerAttempt, id)
}

// leaseFrom returns the latest end of a task whose lease was granted by a call
// sent now.
func (s *State) leaseFrom(now time.Time) time.Time {
	return now.Add(s.cfg.CallTimeout + s.cfg.TaskLease)
}

// lapsed returns the moment at which the task can no longer run.
func (s *State) lapsed(a *Attempt) time.Time { return a.LeaseDeadline.Add(s.cfg.LeaseMargin) }

func (e StartResult) apply(s *State, tick engine.Tick) {
	id, ok := s.attemptByOp.Get(e.Operation)
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
		s.started(a, job, tick.Now)
	case e.Result != CallUnknown && !a.maybeSent:
		s.refused(a, job, e.Error, tick.Now)
	default: // a refused repeat does not prove that the first copy was lost
		s.uncertain(id, a, tick.Now)
	}
}

func (s *State) started(a *Attempt, job *Job, now time.Time) {
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

func (s *State) uncertain(id table.ID, a *Attempt, now time.Time) {
	a.Status, a.maybeSent = AttemptUncertain, true
	if job := s.jobs.Get(a.Job); !job.Cancelling {
		job.Reason = ReasonStartUnresolved
	}
	s.timers.add(now.Add(s.cfg.MaxReportLag), timerAttempt, id)
}

// refused handles a start that the platform provably did not execute. It counts
// against job and worker unless the worker was leaving service.
func (s *State) refused(a *Attempt, job *Job, detail string, now time.Time) {
	jobID, name := a.Job, a.Worker
	job.Detail = shortDetail(detail)
	s.Counters.StartsRefused++
	w := s.worker(name)
	w.avoidUntil = now.Add(refusedAvoidInterval)
	s.timers.add(w.avoidUntil, timerWorker, mustRow(s.workerByName.Get(name)))
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

func mustRow(id table.ID, _ bool) table.ID { return id }

// advanceAttempts decides about attempts whose timer fired or that a fresh task
// list does not show.
func advanceAttempts(s *State, tick engine.Tick) {
	if !s.mayCall(tick.Now) {
		return
	}
	for _, id := range s.attemptCheck.take() {
		a := s.attempts.Get(id)
		if a == nil {
			continue
		}
		job := s.jobs.Get(a.Job)
		switch a.Status {
		case AttemptSent:
			if !tick.Now.Before(a.sentAt.Add(2 * s.cfg.CallTimeout)) {
				s.uncertain(id, a, tick.Now)
			}
		case AttemptUncertain:
			s.resolveStart(id, a, job, tick.Now)
		case AttemptRunning:
			if !a.absentSince.IsZero() && a.absentAt.Sub(a.absentSince) >= s.cfg.TaskAbsenceTimeout {
				s.lose(id, a, job, ReasonTaskLost)
			}
		case AttemptLost, AttemptUnknown:
			s.settleLapsed(id, a, job, tick.Now)
		}
	}
}

// resolveStart decides about a start with an unknown result that no task list
// shows yet. The same operation is sent again within the resend window; a new
// attempt is never made for it before the lease of the old one has lapsed.
func (s *State) resolveStart(id table.ID, a *Attempt, job *Job, now time.Time) {
	settled := a.sentAt.Add(s.cfg.CallTimeout + s.cfg.MaxReportLag)
	absent := a.absentAt.After(settled)
	inWindow := now.Before(a.CreatedAt.Add(s.cfg.ResendWindow))
	w := s.worker(a.Worker)
	switch {
	case absent && inWindow && !job.Cancelling && w.inService():
		s.Counters.StartsRepeated++
		s.send(id, a, job, now)
	case absent && !job.Cancelling, !now.Before(s.lapsed(a)):
		s.lose(id, a, job, ReasonStartUnknown)
	default:
		s.timers.add(now.Add(s.cfg.MaxReportLag), timerAttempt, id)
	}
}

// lose handles an attempt that may or may not still run and that nobody can
// reach: its worker is lost, or the platform no longer lists it. Its lease is
// no longer renewed.
func (s *State) lose(id table.ID, a *Attempt, job *Job, reason Reason) {
	switch {
	case a.Status == AttemptLost || a.Status == AttemptUnknown:
		return
	case a.Status == AttemptIntended:
		s.withdraw(a.Job, job)
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
	s.timers.add(s.lapsed(a), timerAttempt, id)
}

// settleLapsed acts once the lease of an unreachable attempt has lapsed.
func (s *State) settleLapsed(id table.ID, a *Attempt, job *Job, now time.Time) {
	if now.Before(s.lapsed(a)) {
		s.timers.add(s.lapsed(a), timerAttempt, id)
		return
	}
	switch {
	case job.Cancelling:
		s.finish(a.Job, job, JobCancelled, ReasonCancelled, now)
	case a.Status == AttemptLost:
		s.withdraw(a.Job, job)
	default: // keep the row so that a late report can settle the job
		s.release(a, job.Tenant)
		s.dropAdjustments(a.Operation)
	}
}

// renewLeases extends the leases of running tasks. Tasks of cancelled jobs are
// left out, so that they end even if the stop does not arrive.
func renewLeases(s *State, tick engine.Tick) {
	if !s.mayCall(tick.Now) || tick.Now.Before(s.renewAt) {
		return
	}
	s.renewAt = tick.Now.Add(s.cfg.TaskLease / renewalsPerLease)
	var operations []string
	for _, a := range s.attempts.All() {
		if !a.active() || s.jobs.Get(a.Job).Cancelling {
			continue
		}
		a.LeaseDeadline = s.leaseFrom(tick.Now)
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
