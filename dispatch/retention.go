package dispatch

import (
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/ledger"
)

const (
	// sweepInterval is the interval between two scans for old records.
	sweepInterval = 2 * time.Second
	// retentionSlack is added to the retention of finished jobs, since other
	// processes may have seen the end of a job a little later.
	retentionSlack = 10 * time.Second
	// maxRemovedJobs keeps a write, with three deletions per job, within the 32
	// entries of a store transaction.
	maxRemovedJobs = 10
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
		for _, j := range s.Mirror.Jobs.All() {
			if len(write.Delete) == 3*maxRemovedJobs {
				break
			}
			if j.Spec == nil || s.Partitions.PartitionOf(j.Spec.Pool, j.ID) != p.Name || j.FinishedAt.IsZero() || tick.Now.Sub(j.FinishedAt) < s.Config.Retention+retentionSlack {
				continue
			}
			if _, running := s.jobByID.Get(j.ID); running {
				continue
			}
			for _, kind := range []ledger.Kind{ledger.KindJob, ledger.KindProgress, ledger.KindCancel} {
				write.Delete = append(write.Delete, ledger.Key{Kind: kind, Name: j.ID})
			}
		}
		if len(write.Delete) > 0 {
			s.Out.Writes.Add(write) // the result does not matter: the next scan finds what is left
		}
	}
}
