package ledger

import (
	"time"

	"github.com/waxwingbridge/waxwingbridge/table"
	"github.com/waxwingbridge/waxwingbridge/work"
)

// Job is a row of the mirror.
type Job struct {
	ID               string
	Spec             *work.Job // nil until the job's record is seen
	Revision         int64
	CreateRevision   int64
	Progress         *work.Progress // nil while nothing has begun
	ProgressRevision int64
	Cancelled        bool
	CancelRevision   int64
	FinishedAt       time.Time // when the final state was first seen here

	changed bool
}

// State returns the state that callers are shown.
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

// JobMirror is the mirror of the job records.
type JobMirror struct {
	Jobs table.Table[Job]
	// Revision is the store revision up to which all changes were seen.
	Revision int64
	// Synced is set once a full read was seen.
	Synced bool
	// RefreshedAt is when the store last answered a watch.
	RefreshedAt time.Time

	byID    table.Index[string]
	waiting map[string]int // accepted, unscheduled jobs that have not begun, by queue
	changed []table.ID
}

// Find returns the row of a job, or nil.
func (l *JobMirror) Find(id string) (table.ID, *Job) {
	row, ok := l.byID.Get(id)
	if !ok {
		return 0, nil
	}
	return row, l.Jobs.Get(row)
}

// PendingJobs returns how many accepted jobs of the queue have not begun.
func (l *JobMirror) PendingJobs(queue string) int { return l.waiting[queue] }

// TakeChanged returns the rows that changed since the last call.
func (l *JobMirror) TakeChanged() []table.ID {
	changed := l.changed
	l.changed = nil
	for _, id := range changed {
		if j := l.Jobs.Get(id); j != nil {
			j.changed = false
		}
	}
	return changed
}

// Apply records what the store holds. Older revisions than the known one are
// ignored, so that changes may be seen twice and in any order.
func (l *JobMirror) Apply(now time.Time, seen Record) {
	switch seen.Key.Kind {
	case KindJob, KindProgress, KindCancel:
	default:
		return
	}
	id, j := l.Find(seen.Key.Name)
	if j == nil {
		if seen.Deleted {
			return
		}
		id = l.Jobs.Insert(Job{ID: seen.Key.Name})
		l.byID.Put(seen.Key.Name, id)
		j = l.Jobs.Get(id)
	}
	before := j.countedQueue()
	if !j.apply(now, seen) {
		return
	}
	l.recount(before, j.countedQueue())
	if j.Spec == nil && j.Progress == nil && seen.Deleted {
		l.Remove(id)
		return
	}
	if !j.changed {
		j.changed = true
		l.changed = append(l.changed, id)
	}
}

// countedQueue returns the queue that counts the job as waiting, or "".
func (j *Job) countedQueue() string {
	if j.Spec == nil || j.Spec.Schedule.Times > 0 || j.State() != work.JobQueued {
		return ""
	}
	return j.Spec.Queue
}

func (l *JobMirror) recount(before, after string) {
	if before == after {
		return
	}
	if l.waiting == nil {
		l.waiting = map[string]int{}
	}
	if before != "" {
		l.waiting[before]--
	}
	if after != "" {
		l.waiting[after]++
	}
}

func (j *Job) apply(now time.Time, seen Record) bool {
	switch seen.Key.Kind {
	case KindJob:
		if seen.Revision <= j.Revision {
			return false
		}
		j.Revision, j.CreateRevision = seen.Revision, seen.CreateRevision
		if j.Spec, _ = seen.Content.(*work.Job); seen.Deleted {
			j.Spec = nil
		}
	case KindProgress:
		if seen.Revision <= j.ProgressRevision {
			return false
		}
		j.ProgressRevision = seen.Revision
		if j.Progress, _ = seen.Content.(*work.Progress); seen.Deleted {
			j.Progress = nil
		}
	case KindCancel:
		if seen.Revision <= j.CancelRevision {
			return false
		}
		j.CancelRevision, j.Cancelled = seen.Revision, !seen.Deleted
	}
	if j.FinishedAt.IsZero() && j.State().Final() {
		j.FinishedAt = now
	}
	return true
}

// Remove removes the row of a job whose records are gone.
func (l *JobMirror) Remove(id table.ID) {
	if j := l.Jobs.Get(id); j != nil {
		l.recount(j.countedQueue(), "")
		l.byID.Delete(j.ID)
		l.Jobs.Delete(id)
	}
}
