package intake

import (
	"fmt"
	"testing"
	"time"

	"github.com/waxwingbridge/waxwingbridge/admission"
	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/events"
	"github.com/waxwingbridge/waxwingbridge/ledger"
	"github.com/waxwingbridge/waxwingbridge/placement"
	"github.com/waxwingbridge/waxwingbridge/work"
)

// BenchmarkSubmission measures a submission from its arrival to the answer after its
// write, with the removal of the job, in batches of 16 and without a network. The 140 teams
// have no other work.
func BenchmarkSubmission(b *testing.B) {
	for _, teams := range []int{0, 140} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			h := newHarness()
			h.s.Mirror.Synced = true
			if teams > 0 {
				m := &work.Manifest{Version: 1}
				var all []work.Team
				for i := range teams {
					all = append(all, work.Team{Name: fmt.Sprint("t", i), Weight: 1, Cap: placement.Resources{MilliCores: 1000}})
				}
				m.SetTeams(all)
				h.s.Admission.Load.Configure(m)
			}
			revision := int64(0)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				job := teamJob(fmt.Sprintf("%016x", i))
				job.Team = fmt.Sprint("t", i%140)
				tick := engine.Tick{Now: h.now}
				h.s.Receive(tick, Request{ID: uint64(i), Verb: Submit, Job: job.ID, Pool: "p", Team: job.Team, Spec: job, Deadline: h.now.Add(3 * time.Second)})
				if i%maxBatch != maxBatch-1 {
					continue
				}
				h.s.Mirror.ReadAt = h.now
				h.step(time.Millisecond)
				for _, w := range h.writes() {
					revision++
					h.s.WriteDone(tick, ledger.WriteResult{ID: w.ID, Outcome: ledger.Applied, Revision: revision})
					h.step(0)
					revision++
					for _, put := range w.Put {
						h.s.Mirror.Apply(h.now, ledger.Record{Key: put.Key, Revision: revision, Deleted: true})
					}
				}
				h.s.Mirror.TakeChanged()
				h.replies()
				h.s.Logs.Drain(func(events.Record) {})
				h.s.Admission.Load.Waits.Drain(func(admission.Wait) {})
			}
		})
	}
}
