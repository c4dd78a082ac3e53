package placement

import (
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/outcome"
	"github.com/waxwingbridge/waxwingbridge/table"
)

func (e CancelRequested) apply(s *State, _ engine.Tick) {
	s.cancelRequests = append(s.cancelRequests, e)
}

// cancelJobs processes the cancellation requests of the tick in one pass.
func cancelJobs(s *State, tick engine.Tick) {
	for i := range s.cancelRequests {
		s.cancel(&s.cancelRequests[i], tick.Now)
	}
	clear(s.cancelRequests)
	s.cancelRequests = s.cancelRequests[:0]
}

func (s *State) cancel(e *CancelRequested, now time.Time) {
	job, id := s.job(e.Job)
	if !s.Active() || job == nil || (e.Tenant != "" && e.Tenant != job.Tenant) {
		reason := ReasonNotFound
		if !s.Active() {
			reason = ReasonNoController
		}
		s.Out.Replies.Add(Reply{Token: e.ReplyToken, Outcome: outcome.NotRun, Reason: reason, Job: JobView{ID: e.Job}})
		return
	}
	s.Counters.Cancellations++
	if !job.State.Finished() && !job.Cancelling {
		s.cancelUnfinished(id, job, now)
	}
	s.replyAfterCommit(job.pageIndex, replyAction{token: e.ReplyToken, jobID: job.ID, jobRow: id, cancel: true}, now)
	s.replyIfCommitted(job.pageIndex)
}

// replyIfCommitted replies immediately if every change of the page is committed.
func (s *State) replyIfCommitted(pageIndex int) {
	page := s.page(pageIndex)
	if page.committedSequence < page.sequence {
		return
	}
	for _, action := range page.pendingReplies {
		s.replyDurable(action)
	}
	page.pendingReplies = nil
}

// cancelUnfinished ends a job that is provably not running. Otherwise it requests
// that the task be stopped first.
func (s *State) cancelUnfinished(id table.ID, job *Job, now time.Time) {
	a := s.attempts.Get(job.attempt)
	if a == nil || a.Status == AttemptIntended {
		s.finish(id, job, JobCancelled, ReasonCancelled, now)
		return
	}
	job.Cancelling = true
	if job.State == JobPending { // an earlier attempt may run until its lease expires
		s.setState(id, job, JobStarting, ReasonStopping)
	} else {
		job.Reason = ReasonStopping
		s.markChanged(job)
	}
	s.attemptsToStop.add(job.attempt)
	if a.Status == AttemptUnknown || a.Status == AttemptLost {
		s.timers.add(s.leaseExpiry(a), timerAttempt, job.attempt)
	}
}

// stopTasks resends the stop of cancelled jobs until a report, a result or the
// expiry of the lease proves that they are not running.
func stopTasks(s *State, tick engine.Tick) {
	if !s.platformCallsAllowed(tick.Now) {
		return
	}
	for _, id := range s.attemptsToStop.take() {
		a := s.attempts.Get(id)
		if a == nil || !s.jobs.Get(a.Job).Cancelling {
			continue
		}
		if a.pendingAction == ActionStop && tick.Now.Before(a.actionRequestedAt.Add(actionRetryInterval)) {
			continue // the retry timer of that call has not fired yet
		}
		a.pendingAction = ActionNone // a stop replaces an earlier action
		s.requestAction(a, ActionStop, tick.Now)
		s.timers.add(tick.Now.Add(actionRetryInterval), timerStop, id)
	}
}
