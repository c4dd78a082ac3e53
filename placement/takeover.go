package placement

import (
	"slices"
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
)

func (e Takeover) apply(s *State, tick engine.Tick) {
	s.failWaiting()
	s.reset()
	s.active, s.epoch, s.quietUntil = true, e.Epoch, e.CallsAllowedFrom
	s.startedAt = tick.Now
	s.Counters.Takeovers++
	for i := range e.Pages {
		s.loadPage(&e.Pages[i], tick.Now)
	}
	for i := range s.pageIDs { // every page gets the new epoch, which fences the predecessor
		s.page(i).dirty = true
	}
}

// reloadPage replaces the content of a page that the predecessor wrote after it
// was read for the takeover. No call was made for its jobs yet. The own writes
// were based on a revision that is gone, so waiting submissions were not stored.
func (s *State) reloadPage(row *pageRow, at *StoredPage, now time.Time) {
	row.outstanding = nil
	replies := row.replies
	row.replies, row.starts = nil, nil
	for _, action := range replies {
		s.answerNotDurable(row, action)
	}
	for _, id := range slices.Clone(s.jobsByPage.Get(row.index)) {
		s.dropJob(id)
	}
	s.loadPage(at, now)
	row.dirty = true
}

func (s *State) loadPage(at *StoredPage, now time.Time) {
	row := s.page(at.Page.Index)
	row.revision = at.Revision
	for i := range at.Page.Jobs {
		s.loadJob(at.Page.Jobs[i], now)
	}
}

func (s *State) loadJob(r *JobRecord, now time.Time) {
	job, id := s.insertJob(Job{
		Spec: r.Spec, SubmittedAt: r.SubmittedAt, FinishedAt: r.FinishedAt, Detail: r.Detail, Attempts: r.Attempts,
		FailedOn: slices.Clone(r.FailedOn), Failures: r.Failures, Cancelling: r.Cancelling, Resume: r.Resume, PeakUsage: r.PeakUsage, ActualRunTime: r.ActualRunTime,
	})
	s.setState(id, job, r.State, r.Reason)
	if job.State == JobDone {
		s.observeFamily(job)
	}
	if job.State.Finished() {
		s.retain(id, job, later(now, r.FinishedAt.Add(s.cfg.Retention)))
		return
	}
	if r.Attempt == nil {
		if !job.State.waiting() && job.State != JobUnknown {
			s.setState(id, job, JobPending, ReasonQueued)
		}
		return
	}
	s.loadAttempt(job, r.Attempt, now)
}

// loadAttempt restores an attempt. Its start may have been sent, and its lease
// may have been renewed up to the end of the predecessor's right to call.
func (s *State) loadAttempt(job *Job, r *AttemptRecord, now time.Time) {
	id, _ := s.jobByID.Get(job.ID)
	calledUntil := later(now, s.quietUntil)
	a, row := s.insertAttempt(id, job, Attempt{
		Operation: r.Operation, Worker: r.Worker, Status: r.Status, Resume: r.Resume, Reserved: r.Reserved,
		CreatedAt: r.CreatedAt, StartedAt: r.StartedAt, LeaseDeadline: s.leaseFrom(calledUntil),
		sentAt: calledUntil, maybeSent: true, fromDeclaration: !s.observed(&job.Spec),
	})
	if a.Status == AttemptIntended || a.Status == AttemptSent {
		a.Status = AttemptUncertain
		job.Reason = ReasonStartUnresolved
	}
	s.adjustPower(a.Operation, a.Worker, a.watts, calledUntil.Add(s.cfg.CallTimeout))
	s.timers.add(calledUntil, timerAttempt, row)
	if job.Cancelling {
		s.timers.add(calledUntil, timerStop, row)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (Deactivated) apply(s *State, _ engine.Tick) {
	s.failWaiting()
	s.reset()
}
