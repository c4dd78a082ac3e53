package intake

import (
	"testing"
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/ledger"
	"github.com/waxwingbridge/waxwingbridge/work"
)

// cancelUnstored receives request 1, the cancellation of job a, whose lookup finds no job,
// and returns the write that stores it.
func (h *harness) cancelUnstored(t *testing.T) ledger.Write {
	t.Helper()
	h.receive(1, Cancel, "a")
	var lookup Lookup
	h.s.Lookups.Drain(func(l Lookup) { lookup = l })
	h.s.LookupDone(engine.Tick{Now: h.now}, lookup, nil, nil)
	h.tick(time.Millisecond)
	if replies := h.replies(); len(replies) != 0 {
		t.Fatalf("replies are %+v before the cancellation is stored", replies)
	}
	writes := h.writes()
	if len(writes) != 1 {
		t.Fatalf("writes are %+v, want one", writes)
	}
	return writes[0]
}

// Guards against a job that runs after its cancelling was answered "no such job": its
// submission was on the way to the store meanwhile.
func TestCancellationOfAnUnstoredJobIsStoredBeforeTheAnswer(t *testing.T) {
	h := newHarness()
	write := h.cancelUnstored(t)
	job, cancel := ledger.Key{Kind: ledger.KindJob, Name: "a"}, ledger.Key{Kind: ledger.KindCancel, Name: "a"}
	if len(write.Expect) != 1 || write.Expect[0] != (ledger.Condition{Key: job}) || len(write.Put) != 1 || write.Put[0].Key != cancel {
		t.Fatalf("the write is %+v, want the cancellation if the job does not exist", write)
	}
	h.s.WriteDone(engine.Tick{Now: h.now}, ledger.WriteResult{ID: write.ID, Outcome: ledger.Applied, Revision: 9})
	if r := h.replies(); r[1].Outcome != JobNotFound {
		t.Errorf("the reply is %+v", r[1])
	}
	h.s.Mirror.Apply(h.now, ledger.Record{Key: job, Content: &work.Job{ID: "a", Queue: "q"}, Revision: 12, CreateRevision: 12})
	if _, row := h.s.Mirror.Find("a"); row.State() != work.JobCancelled {
		t.Errorf("the job is stored later in state %v", row.State())
	}
	if n := h.s.Mirror.PendingJobs("q"); n != 0 {
		t.Errorf("%d jobs are pending", n)
	}
}

// Guards against a stored job that is answered "no such job" because its submission was
// applied between the lookup and the write of the cancellation.
func TestCancellationMeetsALateSubmission(t *testing.T) {
	h := newHarness()
	write := h.cancelUnstored(t)
	h.s.WriteDone(engine.Tick{Now: h.now}, ledger.WriteResult{ID: write.ID, Outcome: ledger.Conflict, Current: []ledger.Record{
		{Key: ledger.Key{Kind: ledger.KindJob, Name: "a"}, Content: &work.Job{ID: "a", Queue: "q"}, Revision: 8, CreateRevision: 8},
	}})
	h.tick(20 * time.Millisecond)
	writes := h.writes()
	stored := ledger.Condition{Key: ledger.Key{Kind: ledger.KindJob, Name: "a"}, Revision: 8}
	if len(writes) != 1 || len(writes[0].Expect) != 1 || writes[0].Expect[0] != stored || writes[0].Put[0].Key.Kind != ledger.KindCancel {
		t.Fatalf("writes are %+v, want the cancellation of the job that is stored now", writes)
	}
	h.s.WriteDone(engine.Tick{Now: h.now}, ledger.WriteResult{ID: writes[0].ID, Outcome: ledger.Applied, Revision: 9})
	if r := h.replies(); r[1].Outcome != Accepted {
		t.Errorf("the reply is %+v", r[1])
	}
}

// Guards against an acknowledged cancellation that is not durable, while the store refuses
// writes or leaves them unanswered.
func TestCancellationIsNotAcknowledgedWithoutItsWrite(t *testing.T) {
	want := map[ledger.Outcome]Outcome{ledger.Refused: NotAvailable, ledger.Unknown: Unresolved}
	for stored, reply := range want {
		h := newHarness()
		write := h.cancelUnstored(t)
		h.s.WriteDone(engine.Tick{Now: h.now}, ledger.WriteResult{ID: write.ID, Outcome: stored})
		for range 40 {
			h.tick(100 * time.Millisecond)
			for _, write := range h.writes() {
				h.s.WriteDone(engine.Tick{Now: h.now}, ledger.WriteResult{ID: write.ID, Outcome: ledger.Refused})
			}
		}
		if r := h.replies(); r[1].Outcome != reply {
			t.Errorf("after a write that is %v the reply is %v, want %v", stored, r[1].Outcome, reply)
		}
	}
}

// Guards against a store call for each repetition of a cancellation that is stored.
func TestRepeatedCancellationIsAnsweredFromTheMirror(t *testing.T) {
	h := newHarness()
	write := h.cancelUnstored(t)
	h.s.WriteDone(engine.Tick{Now: h.now}, ledger.WriteResult{ID: write.ID, Outcome: ledger.Applied, Revision: 9})
	h.replies()
	h.receive(2, Cancel, "a")
	lookups := 0
	h.s.Lookups.Drain(func(Lookup) { lookups++ })
	if r := h.replies(); r[2].Outcome != JobNotFound || lookups != 0 {
		t.Errorf("the reply is %+v after %d lookups", r[2], lookups)
	}
}

// Guards against a cancellation that is executed late and cancels a later job of the same ID,
// and against one that is repeated in every tick since its job has been removed.
func TestCancellationNamesTheJobThatItCancels(t *testing.T) {
	h := newHarness()
	job := ledger.Key{Kind: ledger.KindJob, Name: "a"}
	h.s.Mirror.Apply(h.now, ledger.Record{Key: job, Content: &work.Job{ID: "a", Queue: "q"}, Revision: 8, CreateRevision: 8})
	h.receive(1, Cancel, "a")
	h.tick(time.Millisecond)
	writes := h.writes()
	if len(writes) != 1 || len(writes[0].Expect) != 1 || writes[0].Expect[0] != (ledger.Condition{Key: job, Revision: 8}) {
		t.Fatalf("writes are %+v, want the cancellation of the job at revision 8", writes)
	}
	h.s.WriteDone(engine.Tick{Now: h.now}, ledger.WriteResult{ID: writes[0].ID, Outcome: ledger.Conflict, Current: []ledger.Record{{Key: job, Deleted: true}}})
	h.tick(time.Millisecond)
	if writes := h.writes(); len(writes) != 0 {
		t.Errorf("%+v is written at once, though the mirror has not changed", writes)
	}
	h.s.Mirror.Apply(h.now, ledger.Record{Key: job, Deleted: true, Revision: 9})
	h.tick(2 * writeRetryDelay)
	if writes = h.writes(); len(writes) != 1 || writes[0].Expect[0] != (ledger.Condition{Key: job}) {
		t.Fatalf("writes are %+v, want the cancellation if the job does not exist", writes)
	}
	h.s.WriteDone(engine.Tick{Now: h.now}, ledger.WriteResult{ID: writes[0].ID, Outcome: ledger.Applied, Revision: 10})
	if r := h.replies(); r[1].Outcome != JobNotFound {
		t.Errorf("the reply is %+v", r[1])
	}
}
