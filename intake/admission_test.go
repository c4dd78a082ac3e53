package intake

import (
	"fmt"
	"testing"
	"time"

	"github.com/waxwingbridge/waxwingbridge/admission"
	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/ledger"
	"github.com/waxwingbridge/waxwingbridge/work"
)

// outage plays submissions against the systems while the store does not answer, or
// refuses all writes, and returns the replies by job with the time that each waited.
func outage(silent bool, submissions int, interval time.Duration) (replies map[uint64]Reply, waited map[uint64]time.Duration) {
	var id uint64
	s := New(&ledger.JobMirror{Synced: true}, func() uint64 { id++; return id })
	replies, waited = map[uint64]Reply{}, map[uint64]time.Duration{}
	arrived := map[uint64]time.Time{}
	now := time.Unix(1000, 0)
	var unanswered []ledger.Write
	sentAt := map[uint64]time.Time{}
	for step := 0; step < 400; step++ {
		now = now.Add(10 * time.Millisecond)
		tick := engine.Tick{Now: now}
		if next := step * int(10*time.Millisecond) / int(interval); next < submissions && len(arrived) <= next {
			request := uint64(len(arrived) + 1)
			arrived[request] = now
			job := fmt.Sprintf("%016x", request)
			s.Receive(tick, Request{ID: request, Verb: Submit, Job: job, Spec: &work.Job{ID: job}, Deadline: now.Add(3 * time.Second)})
		}
		for _, system := range Systems {
			system.Run(s, tick)
		}
		s.Writes.Drain(func(w ledger.Write) {
			unanswered = append(unanswered, w)
			sentAt[w.ID] = now
		})
		kept := unanswered[:0]
		for _, w := range unanswered {
			switch {
			case !silent:
				s.WriteDone(tick, ledger.WriteResult{ID: w.ID, Outcome: ledger.Refused})
			case now.Sub(sentAt[w.ID]) >= 1500*time.Millisecond:
				s.WriteDone(tick, ledger.WriteResult{ID: w.ID, Outcome: ledger.Unknown})
			default:
				kept = append(kept, w)
			}
		}
		unanswered = kept
		s.Replies.Drain(func(r Reply) { replies[r.Request], waited[r.Request] = r, now.Sub(arrived[r.Request]) })
	}
	return replies, waited
}

// Load pattern: submissions at an even rate while the store turns this process away.
// Guards against each of them being held for refusalTimeout although the process has
// known for seconds that it cannot store them.
func TestSubmissionsAreRejectedAtOnceWhileTheStoreRefuses(t *testing.T) {
	replies, waited := outage(false, 60, 50*time.Millisecond)
	held := 0
	for id, reply := range replies {
		if reply.Outcome != NotAccepted || reply.Reason != admission.StoreRefuses || reply.RetryAfter < DefaultRetryAfter {
			t.Fatalf("reply %d is %+v", id, reply)
		}
		if waited[id] > 50*time.Millisecond {
			held++
		}
	}
	if len(replies) != 60 || held > 6 { // those of the first 300 ms
		t.Errorf("%d of %d submissions were held, want at most 6 of 60", held, len(replies))
	}
}

// Load pattern: submissions at an even rate while the store does not answer. Guards
// against submissions that wait behind unanswered writes until their deadline, and
// against a submission that was sent and is called not run.
func TestSubmissionsAreRejectedAtOnceWhileTheStoreIsSilent(t *testing.T) {
	replies, waited := outage(true, 60, 50*time.Millisecond)
	rejected := 0
	for id, reply := range replies {
		if reply.Outcome != NotAccepted {
			continue
		}
		rejected++
		if waited[id] > 800*time.Millisecond {
			t.Errorf("submission %d waited %v for its rejection", id, waited[id])
		}
	}
	if rejected < 20 {
		t.Errorf("%d submissions were rejected as not run, want 20 or more of those that were never sent", rejected)
	}
}
