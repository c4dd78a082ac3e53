package placement

import (
	"fmt"
	"slices"
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/table"
)

// startAction is the start of an attempt, emitted once its page is committed.
type startAction struct {
	sequence uint64
	attempt  table.ID
}

// replyAction is the reply to a request, sent once its change is durable or at the deadline.
type replyAction struct {
	sequence uint64
	deadline time.Time
	token    uint64
	jobID    string
	jobRow   table.ID
	cancel   bool
}

// startAfterCommit schedules the start for when the latest change of the page is durable.
func (s *State) startAfterCommit(pageIndex int, attempt table.ID) {
	page := s.page(pageIndex)
	page.pendingStarts = append(page.pendingStarts, startAction{page.sequence, attempt})
}

// replyAfterCommit schedules the reply for when the latest change of the page is durable.
func (s *State) replyAfterCommit(pageIndex int, action replyAction, now time.Time) {
	page := s.page(pageIndex)
	action.sequence = page.sequence
	action.deadline = now.Add(s.cfg.SubmitTimeout)
	page.pendingReplies = append(page.pendingReplies, action)
}

// commitPages starts a write of each changed page that has none in flight. The
// write contains all changes so far.
func commitPages(s *State, tick engine.Tick) {
	if !s.Active() {
		return
	}
	for i := range s.pageIDs {
		if page := s.page(i); page.readyToWrite(s, tick.Now) {
			s.startWrite(page, tick.Now)
		}
	}
}

func (p *pageRow) readyToWrite(s *State, now time.Time) bool {
	return p.dirty && p.inFlightWriteID == "" && !p.readPending && !now.Before(p.earliestWriteAt(s))
}

func (p *pageRow) earliestWriteAt(s *State) time.Time {
	at := p.writeStartedAt.Add(s.cfg.CommitInterval)
	if p.retryAt.After(at) {
		return p.retryAt
	}
	return at
}

func (s *State) startWrite(page *pageRow, now time.Time) {
	page.writeCount++
	page.inFlightWriteID = fmt.Sprintf("%s-e%d-p%d-%d", s.cfg.Incarnation, s.epoch, page.index, page.writeCount)
	page.unresolvedWrites = append(page.unresolvedWrites, pageWrite{page.inFlightWriteID, page.sequence})
	page.writeStartedAt, page.dirty = now, false
	s.Counters.PageWrites++
	s.Out.Writes.Add(WritePage{Page: s.snapshot(page.index), Revision: page.revision, WriteID: page.inFlightWriteID})
}

// snapshot copies the durable state of a page, so that I/O goroutines can encode it later.
func (s *State) snapshot(index int) Page {
	ids := s.jobsByPage.Get(index)
	page := Page{Index: index, Epoch: s.epoch, Jobs: make([]*JobRecord, len(ids))}
	for i, id := range ids {
		job := s.jobs.Get(id)
		if job.cachedRecord == nil {
			job.cachedRecord = s.makeRecord(job)
		}
		page.Jobs[i] = job.cachedRecord
	}
	return page
}

func (s *State) makeRecord(job *Job) *JobRecord {
	r := &JobRecord{
		Spec: job.Spec, State: job.State, Reason: job.Reason, Detail: job.Detail,
		SubmittedAt: job.SubmittedAt, FinishedAt: job.FinishedAt, Attempts: job.Attempts,
		FailedOn: slices.Clone(job.FailedOn), Failures: job.Failures, Cancelling: job.Cancelling, Resume: job.Resume, PeakUsage: job.PeakUsage, ActualRunTime: job.ActualRunTime,
	}
	if a := s.attempts.Get(job.attempt); a != nil {
		reserved := a.Reserved
		reserved.MilliCores = a.unthrottledMilliCores // throttling is not stored; the next task list shows it
		r.Attempt = &AttemptRecord{
			Operation: a.Operation, Worker: a.Worker, Status: a.Status, Resume: a.Resume,
			Reserved: reserved, CreatedAt: a.CreatedAt, StartedAt: a.StartedAt,
		}
	}
	return r
}

func (e PageResult) apply(s *State, tick engine.Tick) {
	page := s.page(e.Index)
	if !s.active || page.inFlightWriteID != e.WriteID {
		return
	}
	page.inFlightWriteID = ""
	switch e.Result {
	case WriteCommitted:
		s.recordCommit(page, e.WriteID, e.Revision, tick.Now)
	case WriteNotApplied:
		page.removeWrite(e.WriteID)
		s.schedulePageRetry(page, tick.Now)
	default: // a conflict may stem from an earlier write of this controller that was delayed
		if e.Result == WriteConflict {
			page.removeWrite(e.WriteID)
		}
		page.dirty = true
		s.readPage(page)
	}
}

func (e PageRead) apply(s *State, tick engine.Tick) {
	page := s.page(e.Index)
	if !s.active || !page.readPending {
		return
	}
	page.readPending = false
	switch {
	case e.Failed:
		s.schedulePageRetry(page, tick.Now)
		page.readPending = true // the outcome is still unknown; read again after the backoff
	case page.isUnresolved(e.WriteID):
		s.recordCommit(page, e.WriteID, e.Revision, tick.Now)
	case e.Revision == page.revision:
		s.schedulePageRetry(page, tick.Now) // not applied yet; only one write on this revision can succeed
	case !page.claimed && e.Page.Epoch < s.epoch:
		s.reloadPage(page, &StoredPage{e.Page, e.Revision, e.WriteID}, tick.Now)
	default:
		s.fence()
	}
}

func (s *State) readPage(page *pageRow) {
	page.readPending, page.retryAt = true, time.Time{}
	s.Out.Reads.Add(ReadPage{page.index})
}

func (p *pageRow) removeWrite(writeID string) {
	p.unresolvedWrites = slices.DeleteFunc(p.unresolvedWrites, func(w pageWrite) bool { return w.writeID == writeID })
}

func (p *pageRow) isUnresolved(writeID string) bool {
	return slices.ContainsFunc(p.unresolvedWrites, func(w pageWrite) bool { return w.writeID == writeID })
}

// schedulePageRetry schedules the next write or read with full-jitter backoff.
func (s *State) schedulePageRetry(page *pageRow, now time.Time) {
	page.dirty = true
	backoff := min(pageRetryBase<<min(page.retryCount, 6), pageRetryMax)
	page.retryCount++
	page.retryAt = now.Add(time.Duration(s.random.Int64N(int64(backoff)) + 1))
	s.Counters.PageRetries++
}

// recordCommit records that the write is committed. Older writes expect a revision
// that has been superseded, so they can no longer take effect.
func (s *State) recordCommit(page *pageRow, writeID string, revision int64, now time.Time) {
	for _, w := range page.unresolvedWrites {
		if w.writeID == writeID {
			page.committedSequence = w.sequence
		}
	}
	page.unresolvedWrites, page.retryCount, page.retryAt = nil, 0, time.Time{}
	page.revision = revision
	if !page.claimed {
		page.claimed = true
		s.claimedPages++
	}
	page.dirty = page.dirty || page.sequence > page.committedSequence
	s.Counters.PageCommits++
	s.runCommittedActions(page, now)
}

func (s *State) runCommittedActions(page *pageRow, now time.Time) {
	starts := 0
	for starts < len(page.pendingStarts) && page.pendingStarts[starts].sequence <= page.committedSequence {
		s.emitStart(page.pendingStarts[starts].attempt, now)
		starts++
	}
	page.pendingStarts = slices.Delete(page.pendingStarts, 0, starts)
	replies := 0
	for replies < len(page.pendingReplies) && page.pendingReplies[replies].sequence <= page.committedSequence {
		s.replyDurable(page.pendingReplies[replies])
		replies++
	}
	page.pendingReplies = slices.Delete(page.pendingReplies, 0, replies)
}

// fence stops all effects, because another controller owns the pages. Pending
// requests get their timeout reply immediately.
func (s *State) fence() {
	if s.fenced {
		return
	}
	s.fenced = true
	s.Counters.Fenced++
	s.failPendingReplies()
}

// failPendingReplies replies to every request whose page will not be committed any more.
func (s *State) failPendingReplies() {
	for i := range s.pageIDs {
		page := s.page(i)
		replies := page.pendingReplies
		page.pendingReplies, page.pendingStarts = nil, nil
		for _, action := range replies {
			s.replyNotDurable(page, action)
		}
	}
}

// expireReplies replies to requests whose page was not committed before their deadline.
func expireReplies(s *State, tick engine.Tick) {
	for i := range s.pageIDs {
		page := s.page(i)
		expired := 0
		for expired < len(page.pendingReplies) && !tick.Now.Before(page.pendingReplies[expired].deadline) {
			s.replyNotDurable(page, page.pendingReplies[expired])
			expired++
		}
		page.pendingReplies = slices.Delete(page.pendingReplies, 0, expired)
	}
}

func (s *State) retire(id table.ID) {
	s.Counters.Retired++
	s.deleteJob(id)
}

// retireJobs removes finished jobs, oldest first, from pages that have grown too large.
func retireJobs(s *State, tick engine.Tick) {
	for i := range s.pageIDs {
		page := s.page(i)
		for len(page.finished) > 0 {
			job := s.jobs.Get(page.finished[0])
			if job != nil && (page.estimatedBytes <= retainPageBytes || tick.Now.Sub(job.FinishedAt) < minRetention) {
				break
			}
			if job != nil {
				s.retire(page.finished[0])
			}
			page.finished = page.finished[1:]
		}
	}
}

// retryPageReads resends the page reads whose backoff has elapsed.
func retryPageReads(s *State, tick engine.Tick) {
	if !s.Active() {
		return
	}
	for i := range s.pageIDs {
		page := s.page(i)
		if page.readPending && !page.retryAt.IsZero() && !tick.Now.Before(page.retryAt) {
			s.readPage(page)
		}
	}
}
