package placement

import (
	"fmt"
	"slices"
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/table"
)

// startAction emits the start of an attempt once its page is committed.
type startAction struct {
	sequence uint64
	attempt  table.ID
}

// replyAction answers a request once its change is durable, or at the deadline.
type replyAction struct {
	sequence uint64
	deadline time.Time
	reply    uint64
	jobID    string
	row      table.ID // of the job
	cancel   bool
}

// startAfterCommit emits the start when the latest change of the page is durable.
func (s *State) startAfterCommit(page int, attempt table.ID) {
	row := s.page(page)
	row.starts = append(row.starts, startAction{row.sequence, attempt})
}

// replyAfterCommit answers when the latest change of the page is durable.
func (s *State) replyAfterCommit(page int, action replyAction, now time.Time) {
	row := s.page(page)
	action.sequence = row.sequence
	action.deadline = now.Add(s.cfg.SubmitTimeout)
	row.replies = append(row.replies, action)
}

// commitPages starts at most one write per page with all changes so far.
func commitPages(s *State, tick engine.Tick) {
	if !s.Active() {
		return
	}
	for i := range s.pageIDs {
		if row := s.page(i); row.mayWrite(s, tick.Now) {
			s.startWrite(row, tick.Now)
		}
	}
}

func (p *pageRow) mayWrite(s *State, now time.Time) bool {
	return p.dirty && p.inFlight == "" && !p.reading && !now.Before(p.writableAt(s))
}

func (p *pageRow) writableAt(s *State) time.Time {
	at := p.startedAt.Add(s.cfg.CommitInterval)
	if p.retryAt.After(at) {
		return p.retryAt
	}
	return at
}

func (s *State) startWrite(row *pageRow, now time.Time) {
	row.writes++
	row.inFlight = fmt.Sprintf("%s-e%d-p%d-%d", s.cfg.Incarnation, s.epoch, row.index, row.writes)
	row.outstanding = append(row.outstanding, pageWrite{row.inFlight, row.sequence})
	row.startedAt, row.dirty = now, false
	s.Counters.PageWrites++
	s.Out.Writes.Add(WritePage{Page: s.snapshot(row.index), Revision: row.revision, WriteID: row.inFlight})
}

// snapshot copies the durable state of a page, so that I/O can encode it later.
func (s *State) snapshot(index int) Page {
	ids := s.jobsByPage.Get(index)
	page := Page{Index: index, Epoch: s.epoch, Jobs: make([]*JobRecord, len(ids))}
	for i, id := range ids {
		job := s.jobs.Get(id)
		if job.record == nil {
			job.record = s.makeRecord(job)
		}
		page.Jobs[i] = job.record
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
		reserved.MilliCores = a.fullCores // a throttle is not durable; the next task list shows it
		r.Attempt = &AttemptRecord{
			Operation: a.Operation, Worker: a.Worker, Status: a.Status, Resume: a.Resume,
			Reserved: reserved, CreatedAt: a.CreatedAt, StartedAt: a.StartedAt,
		}
	}
	return r
}

func (e PageResult) apply(s *State, tick engine.Tick) {
	row := s.page(e.Index)
	if !s.active || row.inFlight != e.WriteID {
		return
	}
	row.inFlight = ""
	switch e.Result {
	case WriteCommitted:
		s.committed(row, e.WriteID, e.Revision, tick.Now)
	case WriteNotApplied:
		row.forgetWrite(e.WriteID)
		s.retryPage(row, tick.Now)
	default: // a conflict may be an earlier write of our own that arrived late
		if e.Result == WriteConflict {
			row.forgetWrite(e.WriteID)
		}
		row.dirty = true
		s.readPage(row)
	}
}

func (e PageRead) apply(s *State, tick engine.Tick) {
	row := s.page(e.Index)
	if !s.active || !row.reading {
		return
	}
	row.reading = false
	switch {
	case e.Failed:
		s.retryPage(row, tick.Now)
		row.reading = true // the outcome is still open; read again after the backoff
	case row.isOutstanding(e.WriteID):
		s.committed(row, e.WriteID, e.Revision, tick.Now)
	case e.Revision == row.revision:
		s.retryPage(row, tick.Now) // not arrived; the next write competes with it on the same revision
	case !row.claimed && e.Page.Epoch < s.epoch:
		s.reloadPage(row, &StoredPage{e.Page, e.Revision, e.WriteID}, tick.Now)
	default:
		s.fence()
	}
}

func (s *State) readPage(row *pageRow) {
	row.reading, row.retryAt = true, time.Time{}
	s.Out.Reads.Add(ReadPage{row.index})
}

func (p *pageRow) forgetWrite(writeID string) {
	p.outstanding = slices.DeleteFunc(p.outstanding, func(w pageWrite) bool { return w.writeID == writeID })
}

func (p *pageRow) isOutstanding(writeID string) bool {
	return slices.ContainsFunc(p.outstanding, func(w pageWrite) bool { return w.writeID == writeID })
}

// retryPage schedules the next write or read with full-jitter backoff.
func (s *State) retryPage(row *pageRow, now time.Time) {
	row.dirty = true
	backoff := min(pageRetryBase<<min(row.failures, 6), pageRetryMax)
	row.failures++
	row.retryAt = now.Add(time.Duration(s.random.Int64N(int64(backoff)) + 1))
	s.Counters.PageRetries++
}

// committed records that the write is in place. Older writes were based on a
// revision that no longer exists, so they can never take effect.
func (s *State) committed(row *pageRow, writeID string, revision int64, now time.Time) {
	for _, w := range row.outstanding {
		if w.writeID == writeID {
			row.committed = w.sequence
		}
	}
	row.outstanding, row.failures, row.retryAt = nil, 0, time.Time{}
	row.revision = revision
	if !row.claimed {
		row.claimed = true
		s.claimed++
	}
	row.dirty = row.dirty || row.sequence > row.committed
	s.Counters.PageCommits++
	s.runCommitted(row, now)
}

func (s *State) runCommitted(row *pageRow, now time.Time) {
	starts := 0
	for starts < len(row.starts) && row.starts[starts].sequence <= row.committed {
		s.emitStart(row.starts[starts].attempt, now)
		starts++
	}
	row.starts = slices.Delete(row.starts, 0, starts)
	replies := 0
	for replies < len(row.replies) && row.replies[replies].sequence <= row.committed {
		s.answerDurable(row.replies[replies])
		replies++
	}
	row.replies = slices.Delete(row.replies, 0, replies)
}

// fence stops all effects: another controller owns the pages. Submissions that
// wait are answered by the timeout rule at once.
func (s *State) fence() {
	if s.fenced {
		return
	}
	s.fenced = true
	s.Counters.Fenced++
	s.failWaiting()
}

// failWaiting answers every request that waits for a commit that will not come.
func (s *State) failWaiting() {
	for i := range s.pageIDs {
		row := s.page(i)
		replies := row.replies
		row.replies, row.starts = nil, nil
		for _, action := range replies {
			s.answerNotDurable(row, action)
		}
	}
}

// expireReplies answers the requests that have waited too long for their page.
func expireReplies(s *State, tick engine.Tick) {
	for i := range s.pageIDs {
		row := s.page(i)
		expired := 0
		for expired < len(row.replies) && !tick.Now.Before(row.replies[expired].deadline) {
			s.answerNotDurable(row, row.replies[expired])
			expired++
		}
		row.replies = slices.Delete(row.replies, 0, expired)
	}
}

func (s *State) retire(id table.ID) {
	s.Counters.Retired++
	s.dropJob(id)
}

// retireJobs removes the jobs that finished first from pages that grow too large.
func retireJobs(s *State, tick engine.Tick) {
	for i := range s.pageIDs {
		row := s.page(i)
		for len(row.finished) > 0 {
			job := s.jobs.Get(row.finished[0])
			if job != nil && (row.bytes <= retainPageBytes || tick.Now.Sub(job.FinishedAt) < minRetention) {
				break
			}
			if job != nil {
				s.retire(row.finished[0])
			}
			row.finished = row.finished[1:]
		}
	}
}

// repeatReads sends the reads whose backoff has passed.
func repeatReads(s *State, tick engine.Tick) {
	if !s.Active() {
		return
	}
	for i := range s.pageIDs {
		row := s.page(i)
		if row.reading && !row.retryAt.IsZero() && !tick.Now.Before(row.retryAt) {
			s.readPage(row)
		}
	}
}
