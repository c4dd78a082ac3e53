package ledger

import (
	"time"

	"github.com/waxwingbridge/waxwingbridge/table"
	"github.com/waxwingbridge/waxwingbridge/work"
)

// Job is the mirrored state of one job: its specification, progress and
// cancellation.
type Job struct {
	ID               string
	Spec             *work.Job // nil until the job record is read
	Revision         int64
	CreateRevision   int64
	Progress         *work.Progress // nil until the job has started
	ProgressRevision int64
	Cancelled        bool   // may be set before the job record is read, or exists
	CancelPool       string // pool in the cancellation; empty without one
	CancelRevision   int64
	FinishedAt       time.Time // local time at which a final state was first observed

	changed bool
	noted   bool // in JobMirror.notedJobs
}

// Pool returns the pool whose owner is responsible for the records of the job.
func (j *Job) Pool() string {
	if j.Spec != nil {
		return j.Spec.Pool
	}
	return j.CancelPool
}

// State returns the state that is reported to callers.
func (j *Job) State() work.JobState {
	switch {
	case j.Progress != nil && j.Progress.State.Final():
		return j.Progress.State
	case j.Cancelled:
		return work.JobCancelled
	case j.Progress != nil:
		return work.JobRunning
	default:
		return work.JobQueued
	}
}

// JobMirror is the in-memory copy of the job records in the store.
type JobMirror struct {
	Jobs table.Table[Job]
	// Revision is the store revision up to which all changes have been applied.
	Revision int64
	// Synced is set once a full read of the store has been applied.
	Synced bool
	// ReadAt is when the last call was sent whose answer has been applied: the mirror
	// has all changes that the store acknowledged before.
	ReadAt time.Time
	// NotesJobs makes the mirror keep the list that TakeNotedJobs returns.
	NotesJobs bool

	byID table.Index[string]
	// lostProgress counts the jobs whose progress record was deleted while their job
	// record remained. All records of a job are deleted in one transaction.
	lostProgress int
	pending      map[string]int // jobs counted by PendingJobs, by queue
	changed      []table.ID
	notedJobs    []string
}

// Find returns the ID and row of a job, or a nil row if the mirror has none.
func (m *JobMirror) Find(id string) (table.ID, *Job) {
	row, ok := m.byID.Get(id)
	if !ok {
		return 0, nil
	}
	return row, m.Jobs.Get(row)
}

// Spec returns the specification of a job, or nil if the mirror has none.
func (m *JobMirror) Spec(id string) *work.Job {
	if _, j := m.Find(id); j != nil {
		return j.Spec
	}
	return nil
}

// PendingJobs returns the number of accepted jobs of the queue that have not
// started. Jobs with a schedule are not counted.
func (m *JobMirror) PendingJobs(queue string) int { return m.pending[queue] }

// TakeChanged returns the rows that have changed since the last call.
func (m *JobMirror) TakeChanged() []table.ID {
	changed := m.changed
	m.changed = nil
	for _, id := range changed {
		if j := m.Jobs.Get(id); j != nil {
			j.changed = false
		}
	}
	return changed
}

// TakeNotedJobs returns the IDs of the jobs that have changed or been removed since the
// last call, if NotesJobs is set. An ID may occur twice.
func (m *JobMirror) TakeNotedJobs() []string {
	noted := m.notedJobs
	m.notedJobs = nil
	for _, id := range noted {
		if _, j := m.Find(id); j != nil {
			j.noted = false
		}
	}
	return noted
}

func (m *JobMirror) note(j *Job) {
	if m.NotesJobs && !j.noted {
		j.noted = true
		m.notedJobs = append(m.notedJobs, j.ID)
	}
}

// TakeLostProgress returns how many jobs have lost their progress record, but not their
// job record, since the last call.
func (m *JobMirror) TakeLostProgress() int {
	lost := m.lostProgress
	m.lostProgress = 0
	return lost
}

// Apply updates the mirror from a store record. Revisions that are not newer than
// the known one are ignored, so that changes may arrive repeatedly and in any
// order.
func (m *JobMirror) Apply(now time.Time, record Record) {
	switch record.Key.Kind {
	case KindJob, KindProgress, KindCancel:
	default:
		return
	}
	id, j := m.Find(record.Key.Name)
	if j == nil {
		if record.Deleted {
			return
		}
		id = m.Jobs.Insert(Job{ID: record.Key.Name})
		m.byID.Put(record.Key.Name, id)
		j = m.Jobs.Get(id)
	}
	before, hadProgress := j.pendingQueue(), j.Progress != nil
	if !j.apply(now, record) {
		return
	}
	if hadProgress && j.Progress == nil && j.Spec != nil {
		m.lostProgress++
	}
	m.updatePending(before, j.pendingQueue())
	m.note(j)
	if j.Spec == nil && j.Progress == nil && record.Deleted {
		m.Remove(id)
		return
	}
	if !j.changed {
		j.changed = true
		m.changed = append(m.changed, id)
	}
}

// pendingQueue returns the queue that counts the job as pending, or "".
func (j *Job) pendingQueue() string {
	if j.Spec == nil || j.Spec.Schedule.Times > 0 || j.State() != work.JobQueued {
		return ""
	}
	return j.Spec.Queue
}

func (m *JobMirror) updatePending(before, after string) {
	if before == after {
		return
	}
	if m.pending == nil {
		m.pending = map[string]int{}
	}
	if before != "" {
		m.pending[before]--
	}
	if after != "" {
		m.pending[after]++
	}
}

func (j *Job) apply(now time.Time, record Record) bool {
	switch record.Key.Kind {
	case KindJob:
		if record.Revision <= j.Revision {
			return false
		}
		j.Revision, j.CreateRevision = record.Revision, record.CreateRevision
		if j.Spec, _ = record.Content.(*work.Job); record.Deleted {
			j.Spec = nil
		}
	case KindProgress:
		if record.Revision <= j.ProgressRevision {
			return false
		}
		j.ProgressRevision = record.Revision
		if j.Progress, _ = record.Content.(*work.Progress); record.Deleted {
			j.Progress = nil
		}
	case KindCancel:
		if record.Revision <= j.CancelRevision {
			return false
		}
		j.CancelRevision, j.Cancelled = record.Revision, !record.Deleted
		if cancellation, ok := record.Content.(*work.Cancellation); ok {
			j.CancelPool = cancellation.Pool
		}
	}
	if j.FinishedAt.IsZero() && j.State().Final() {
		j.FinishedAt = now
	}
	return true
}

// Remove deletes the row of a job whose records have been deleted.
func (m *JobMirror) Remove(id table.ID) {
	if j := m.Jobs.Get(id); j != nil {
		m.updatePending(j.pendingQueue(), "")
		m.note(j)
		m.byID.Delete(j.ID)
		m.Jobs.Delete(id)
	}
}
