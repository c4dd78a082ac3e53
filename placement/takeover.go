package placement

import (
	"slices"
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
)

func (e Takeover) apply(s *State, tick engine.Tick) {
	s.failPendingReplies()
	s.reset()
	s.active, s.epoch, s.callsAllowedFrom = true, e.Epoch, e.CallsAllowedFrom
	s.takeoverAt = tick.Now
	s.Counters.Takeovers++
	for i := range e.Pages {
		s.loadPage(&e.Pages[i], tick.Now)
	}
	for i := range s.pageIDs { // writing the new epoch to every page fences the predecessor
		s.page(i).dirty = true
	}
}

// reloadPage replaces the content of a page that the predecessor wrote after it was
// read for the takeover. No platform call was made for its jobs yet. This controller's
// own writes expected a superseded revision, so pending submissions were not stored.
func (s *State) reloadPage(page *pageRow, stored *StoredPage, now time.Time) {
	page.unresolvedWrites = nil
	replies := page.pendingReplies
	page.pendingReplies, page.pendingStarts = nil, nil
	for _, action := range replies {
		s.replyNotDurable(page, action)
	}
	for _, id := range slices.Clone(s.jobsByPage.Get(page.index)) {
		s.deleteJob(id)
	}
	s.loadPage(stored, now)
	page.dirty = true
}

func (s *State) loadPage(stored *StoredPage, now time.Time) {
	page := s.page(stored.Page.Index)
	page.revision = stored.Revision
	for i := range stored.Page.Jobs {
		s.loadJob(stored.Page.Jobs[i], now)
	}
}

func (s *State) loadJob(r *JobRecord, now time.Time) {
	job, id := s.insertJob(Job{
		Spec: r.Spec, SubmittedAt: r.SubmittedAt, FinishedAt: r.FinishedAt, Detail: r.Detail, Attempts: r.Attempts,
		FailedOn: slices.Clone(r.FailedOn), Failures: r.Failures, Cancelling: r.Cancelling, Resume: r.Resume, PeakUsage: r.PeakUsage, ActualRunTime: r.ActualRunTime,
	})
	s.setState(id, job, r.State, r.Reason)
	if job.State == JobDone {
		s.addFamilySample(job)
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

// loadAttempt loads an attempt from its record. Its start may have been sent, and its
// lease may have been renewed for as long as the predecessor could make calls.
func (s *State) loadAttempt(job *Job, r *AttemptRecord, now time.Time) {
	id, _ := s.jobByID.Get(job.ID)
	predecessorCallsEnd := later(now, s.callsAllowedFrom)
	a, row := s.insertAttempt(id, job, Attempt{
		Operation: r.Operation, Worker: r.Worker, Status: r.Status, Resume: r.Resume, Reserved: r.Reserved,
		CreatedAt: r.CreatedAt, StartedAt: r.StartedAt, LeaseDeadline: s.leaseDeadlineFrom(predecessorCallsEnd),
		startSentAt: predecessorCallsEnd, startMayBeInTransit: true, reservedFromDeclaration: !s.hasObservations(&job.Spec),
	})
	if a.Status == AttemptIntended || a.Status == AttemptSent {
		a.Status = AttemptUncertain
		job.Reason = ReasonStartUnresolved
	}
	s.adjustPower(a.Operation, a.Worker, a.estimatedWatts, predecessorCallsEnd.Add(s.cfg.CallTimeout))
	s.timers.add(predecessorCallsEnd, timerAttempt, row)
	if job.Cancelling {
		s.timers.add(predecessorCallsEnd, timerStop, row)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (Deactivated) apply(s *State, _ engine.Tick) {
	s.failPendingReplies()
	s.reset()
}
