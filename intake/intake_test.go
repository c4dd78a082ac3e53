package intake

import (
	"testing"
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/ledger"
	"github.com/waxwingbridge/waxwingbridge/work"
)

type world struct {
	s   *State
	now time.Time
	ids uint64
}

func newWorld() *world {
	w := &world{now: time.Unix(1000, 0)}
	w.s = New(&ledger.JobMirror{}, func() uint64 { w.ids++; return w.ids })
	return w
}

func (w *world) tick(d time.Duration) engine.Tick {
	w.now = w.now.Add(d)
	tick := engine.Tick{Now: w.now}
	for _, system := range Systems {
		system.Run(w.s, tick)
	}
	return tick
}

func (w *world) receive(id uint64, verb Verb, job string) {
	w.s.Receive(engine.Tick{Now: w.now}, Request{
		ID: id, Verb: verb, Job: job, Queue: "q", Spec: &work.Job{ID: job, Queue: "q"}, Deadline: w.now.Add(3 * time.Second),
	})
}

func (w *world) writes() (writes []ledger.Write) {
	w.s.Writes.Drain(func(write ledger.Write) { writes = append(writes, write) })
	return writes
}

func (w *world) replies() map[uint64]Reply {
	replies := map[uint64]Reply{}
	w.s.Replies.Drain(func(r Reply) { replies[r.Request] = r })
	return replies
}

// Guards against an acknowledgement before the job is durable.
func TestAcceptanceFollowsTheWrite(t *testing.T) {
	w := newWorld()
	w.receive(1, Submit, "a")
	w.receive(2, Submit, "b")
	tick := w.tick(time.Millisecond)
	writes := w.writes()
	if len(writes) != 1 || len(writes[0].Put) != 2 {
		t.Fatalf("writes are %+v, want one with both jobs", writes)
	}
	if len(w.replies()) != 0 {
		t.Fatal("a request is answered before the write")
	}
	w.s.WriteDone(tick, ledger.WriteResult{ID: writes[0].ID, Outcome: ledger.Applied, Revision: 9})
	if r := w.replies(); r[1].Outcome != Accepted || r[2].Outcome != Accepted {
		t.Errorf("replies are %+v", r)
	}
}

// Guards against a job that is accepted twice, or refused, because the same
// request came before: the rest of the batch must not suffer either.
func TestKnownJobOfABatch(t *testing.T) {
	w := newWorld()
	w.receive(1, Submit, "a")
	w.receive(2, Submit, "b")
	tick := w.tick(time.Millisecond)
	write := w.writes()[0]
	w.s.WriteDone(tick, ledger.WriteResult{ID: write.ID, Outcome: ledger.Conflict, Current: []ledger.Record{
		{Key: ledger.Key{Kind: ledger.KindJob, Name: "a"}, Content: &work.Job{ID: "a", Queue: "q"}, Revision: 4, CreateRevision: 4},
		{Key: ledger.Key{Kind: ledger.KindJob, Name: "b"}, Deleted: true},
	}})
	if r := w.replies(); r[1].Outcome != Accepted || len(r) != 1 {
		t.Fatalf("replies are %+v, want only the known job accepted", r)
	}
	w.tick(20 * time.Millisecond)
	if writes := w.writes(); len(writes) != 1 || len(writes[0].Put) != 1 || writes[0].Put[0].Key.Name != "b" {
		t.Errorf("the rest of the batch is written as %+v", writes)
	}
}

// Guards against the two untrue answers: "not accepted" for a job whose write
// got no answer, and "accepted" for one that the store refused.
func TestAnswersWithoutAStore(t *testing.T) {
	w := newWorld()
	w.receive(1, Submit, "a")
	tick := w.tick(time.Millisecond)
	w.s.WriteDone(tick, ledger.WriteResult{ID: w.writes()[0].ID, Outcome: ledger.Refused})
	w.tick(refuseAfter + time.Millisecond)
	for _, write := range w.writes() { // a repetition may have been sent
		w.s.WriteDone(engine.Tick{Now: w.now}, ledger.WriteResult{ID: write.ID, Outcome: ledger.Refused})
	}
	w.tick(time.Millisecond)
	if r := w.replies(); r[1].Outcome != NotAccepted {
		t.Errorf("a job that the store refused is answered %v", r[1].Outcome)
	}

	w.receive(2, Submit, "b")
	tick = w.tick(time.Millisecond)
	w.s.WriteDone(tick, ledger.WriteResult{ID: w.writes()[0].ID, Outcome: ledger.Unknown})
	for range 40 {
		w.tick(100 * time.Millisecond)
		for _, write := range w.writes() {
			w.s.WriteDone(engine.Tick{Now: w.now}, ledger.WriteResult{ID: write.ID, Outcome: ledger.Refused})
		}
	}
	if r := w.replies(); r[2].Outcome != Unresolved {
		t.Errorf("a job whose write got no answer is answered %v", r[2].Outcome)
	}
}

// Guards against "no such job" from a mirror that is behind the store.
func TestUnknownJobIsLookedUp(t *testing.T) {
	w := newWorld()
	w.receive(1, Status, "a")
	var lookup Lookup
	w.s.Lookups.Drain(func(l Lookup) { lookup = l })
	if len(w.replies()) != 0 || lookup.Job != "a" {
		t.Fatalf("lookup is %+v", lookup)
	}
	w.s.LookupDone(engine.Tick{Now: w.now}, lookup, []ledger.Record{
		{Key: ledger.Key{Kind: ledger.KindJob, Name: "a"}, Content: &work.Job{ID: "a", Queue: "q"}, Revision: 4, CreateRevision: 4},
	}, nil)
	if r := w.replies(); r[1].Outcome != StateReturned || r[1].State != work.JobQueued {
		t.Errorf("reply is %+v", r[1])
	}
}

// Guards against a cancellation that is acknowledged before it is durable, and
// a count that includes jobs which have begun.
func TestCancelAndCount(t *testing.T) {
	w := newWorld()
	for i, id := range []string{"a", "b"} {
		w.s.Mirror.Apply(w.now, ledger.Record{
			Key: ledger.Key{Kind: ledger.KindJob, Name: id}, Content: &work.Job{ID: id, Queue: "q"}, Revision: int64(i + 1), CreateRevision: int64(i + 1),
		})
	}
	w.s.Mirror.Apply(w.now, ledger.Record{Key: ledger.Key{Kind: ledger.KindProgress, Name: "b"}, Content: &work.Progress{State: work.JobRunning}, Revision: 3})
	w.receive(1, CountPending, "")
	if r := w.replies(); r[1].Count != 1 {
		t.Errorf("%d jobs wait, want 1", r[1].Count)
	}
	w.receive(2, Cancel, "a")
	tick := w.tick(time.Millisecond)
	writes := w.writes()
	if len(writes) != 1 || writes[0].Put[0].Key.Kind != ledger.KindCancel {
		t.Fatalf("writes are %+v", writes)
	}
	w.s.WriteDone(tick, ledger.WriteResult{ID: writes[0].ID, Outcome: ledger.Applied, Revision: 8})
	if r := w.replies(); r[2].Outcome != Accepted {
		t.Errorf("reply is %+v", r[2])
	}
	w.receive(3, Status, "a")
	if r := w.replies(); r[3].State != work.JobCancelled {
		t.Errorf("state is %v", r[3].State)
	}
}

// Guards against a caller that waits for a lost answer of the store although
// the watch shows that the job is durable.
func TestWatchResolvesAnUnansweredWrite(t *testing.T) {
	w := newWorld()
	w.receive(1, Submit, "a")
	w.tick(time.Millisecond)
	w.s.Mirror.Apply(w.now, ledger.Record{
		Key: ledger.Key{Kind: ledger.KindJob, Name: "a"}, Content: &work.Job{ID: "a", Queue: "q"}, Revision: 4, CreateRevision: 4,
	})
	w.tick(time.Millisecond)
	if r := w.replies(); r[1].Outcome != Accepted {
		t.Errorf("reply is %+v", r[1])
	}
}
