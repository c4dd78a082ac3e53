package dispatch

import (
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/ledger"
)

const (
	// sweepInterval is the interval between two deletions of old records.
	sweepInterval = 2 * time.Second
	// retentionSlack is added to the retention of finished jobs, since other
	// processes may have seen the end of a job a little later.
	retentionSlack = 10 * time.Second
	// maxRemovedJobs keeps a write, with a condition and three deletions per job, within the
	// 32 entries of a store transaction.
	maxRemovedJobs = 7
)

// removeOldRecords deletes the stored records of jobs whose retention has ended.
func removeOldRecords(s *State, tick engine.Tick) {
	for _, p := range s.Pools.All() {
		if !s.mayOrder(p, tick.Now) || tick.Now.Before(p.lastSweepAt.Add(sweepInterval)) {
			continue
		}
		p.lastSweepAt = tick.Now
		write := ledger.Write{
			ID: s.NextWrite(), NotAfter: p.OwnedUntil,
			Expect: []ledger.Condition{{Key: ledger.Key{Kind: ledger.KindOwner, Name: p.Name}, Revision: p.Token}},
		}
		for len(write.Expect) <= maxRemovedJobs {
			row, at, ok := p.finishedRecords.Min()
			if !ok || tick.Now.Before(at) {
				break
			}
			s.visitedIndexed++
			p.finishedRecords.Remove(row)
			j := s.Mirror.Jobs.Get(row)
			if j == nil {
				continue
			}
			p.finishedRecords.Put(row, tick.Now.Add(sweepInterval)) // until the deletion is in the mirror
			if _, running := s.jobByID.Get(j.ID); running {
				continue
			}
			write.Expect = append(write.Expect, removalCondition(j))
			for _, kind := range storedKinds(j) {
				write.Delete = append(write.Delete, ledger.Key{Kind: kind, Name: j.ID})
			}
		}
		if len(write.Delete) > 0 {
			s.Out.Writes.Add(write) // the result does not matter: the next sweep finds what is left
		}
	}
}

// removalCondition keeps a removal that is executed late from deleting the records of a job, or
// the cancellation, that has been stored under the same ID since.
func removalCondition(j *ledger.Job) ledger.Condition {
	if j.Spec == nil {
		return ledger.Condition{Key: ledger.Key{Kind: ledger.KindCancel, Name: j.ID}, Revision: j.CancelRevision}
	}
	return ledger.Condition{Key: ledger.Key{Kind: ledger.KindJob, Name: j.ID}, Revision: j.Revision}
}

// storedKinds returns the kinds of records that are removed with a job. Of a job that was
// cancelled and never stored only the cancellation is: the job may be submitted meanwhile.
func storedKinds(j *ledger.Job) []ledger.Kind {
	if j.Spec == nil {
		return []ledger.Kind{ledger.KindCancel}
	}
	return []ledger.Kind{ledger.KindJob, ledger.KindProgress, ledger.KindCancel}
}
