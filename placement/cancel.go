package placement

import (
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/outcome"
	"github.com/waxwingbridge/waxwingbridge/table"
)

func (e CancelRequested) apply(s *State, _ engine.Tick) { s.cancels = append(s.cancels, e) }

// cancelJobs processes all cancellations of the tick in one pass.
func cancelJobs(s *State, tick engine.Tick) {
	for i := range s.cancels {
		s.cancel(&s.cancels[i], tick.Now)
	}
	clear(s.cancels)
	s.cancels = s.cancels[:0]
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
	s.replyAfterCommit(job.page, replyAction{reply: e.ReplyToken, jobID: job.ID, row: id, cancel: true}, now)
	s.answerCommitted(job.page)
}

// answerCommitted answers at once when the page has no open change.
func (s *State) answerCommitted(page int) {
	row := s.page(page)
	if row.committed < row.sequence {
		return
	}
	for _, action := range row.replies {
		s.answerDurable(action)
	}
	row.replies = nil
}

// cancelUnfinished ends a job that provably does not run, and stops it first otherwise.
func (s *State) cancelUnfinished(id table.ID, job *Job, now time.Time) {
	a := s.attempts.Get(job.attempt)
	if a == nil || a.Status == AttemptIntended {
		s.finish(id, job, JobCancelled, ReasonCancelled, now)
		return
	}
	job.Cancelling = true
	if job.State == JobPending { // an earlier attempt may run until its lease lapses
		s.setState(id, job, JobStarting, ReasonStopping)
	} else {
		job.Reason = ReasonStopping
		s.touch(job)
	}
	s.stopCheck.add(job.attempt)
	if a.Status == AttemptUnknown || a.Status == AttemptLost {
		s.timers.add(s.lapsed(a), timerAttempt, job.attempt)
	}
}

// stopTasks repeats the stop of cancelled jobs until a report, an answer or the
// lapse of the lease proves that they do not run.
func stopTasks(s *State, tick engine.Tick) {
	if !s.mayCall(tick.Now) {
		return
	}
	for _, id := range s.stopCheck.take() {
		a := s.attempts.Get(id)
		if a == nil || !s.jobs.Get(a.Job).Cancelling {
			continue
		}
		if a.asked == ActionStop && tick.Now.Before(a.askedAt.Add(controlRepeatInterval)) {
			continue // the timer of that call is still to come
		}
		a.asked = ActionNone // a stop overrides an earlier action
		s.control(a, ActionStop, tick.Now)
		s.timers.add(tick.Now.Add(controlRepeatInterval), timerStop, id)
	}
}
