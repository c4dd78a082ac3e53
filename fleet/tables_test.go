package fleet

import (
	"errors"
	"reflect"
	"testing"
	"time"
)

func testTables() *Tables {
	return Load(&Document{Epoch: 3, Revision: 10, Borrowed: map[string]int{"a": 1}, Workers: []Worker{
		{ID: "w1", Pool: "a", State: Serving, AvailabilityZone: "z1", Rack: "r1", BootID: 7, Since: startTime},
		{ID: "w2", Pool: "spare", State: Serving, AvailabilityZone: "z1", Rack: "r1", BootID: 3, Since: startTime},
	}, Wave: &Wave{ID: "wave1", Status: WaveRunning, Width: 1, Canary: 1}})
}

// Guards against losing operations, the wave or the counts of borrowed spares when a
// new controller takes over.
func TestDocumentSurvivesLoad(t *testing.T) {
	tables := testTables()
	if err := tables.StartOperation(OperationSpec{OperationID: "op1", Kind: OperationMove, Worker: "w2", ToPool: "a", Wave: "wave1"}, startTime); err != nil {
		t.Fatal(err)
	}
	doc := tables.Document()
	if again := Load(&doc).Document(); !reflect.DeepEqual(doc, again) {
		t.Fatalf("document changed:\n%+v\n%+v", doc, again)
	}
	if operation := doc.Workers[1].Operation; operation == nil || operation.StartRevision != 11 || operation.BootID != 3 {
		t.Fatalf("operation = %+v, want start revision 11 and boot 3", operation)
	}
}

// Guards against a platform call for an intent that only a later write stores.
func TestChangeDuringWriteIsNotDurable(t *testing.T) {
	tables := testTables()
	start := func(worker string) {
		if err := tables.StartOperation(OperationSpec{OperationID: worker, Kind: OperationMaintain, Worker: worker}, startTime); err != nil {
			t.Fatal(err)
		}
	}
	start("w1")
	if doc, ok := tables.BeginCommit(); !ok || doc.Revision != 11 {
		t.Fatalf("BeginCommit = revision %d, %v", doc.Revision, ok)
	}
	start("w2")
	tables.EndCommit(true)
	if !tables.Durable(tables.Worker("w1")) || tables.Durable(tables.Worker("w2")) {
		t.Fatal("want w1 durable and w2 pending")
	}
	if doc, ok := tables.BeginCommit(); !ok || doc.Revision != 12 {
		t.Fatalf("second BeginCommit = revision %d, %v", doc.Revision, ok)
	}
	tables.EndCommit(false)
	if doc, ok := tables.BeginCommit(); !ok || doc.Revision != 12 {
		t.Fatalf("repeated BeginCommit = revision %d, %v", doc.Revision, ok)
	}
}

// Guards against a second operation on a worker and against refusals without a typed
// error.
func TestStartOperationRefuses(t *testing.T) {
	tables := testTables()
	start := OperationSpec{OperationID: "op1", Kind: OperationMaintain, Worker: "w1"}
	if err := tables.StartOperation(start, startTime); err != nil {
		t.Fatal(err)
	}
	var refused *RequestError
	if err := tables.StartOperation(start, startTime); !errors.As(err, &refused) || refused.Reason != ReasonOperationInProgress {
		t.Fatalf("second start = %v, want %s", err, ReasonOperationInProgress)
	}
	var transition *TransitionError
	if err := tables.ApplyStep("w1", Step{Kind: StepCommit, State: Serving}, startTime); !errors.As(err, &transition) {
		t.Fatalf("Draining to Serving = %v, want a TransitionError", err)
	}
}

// Guards against a borrowed spare that is not counted or is given back twice.
func TestBorrowedCountFollowsPoolChanges(t *testing.T) {
	tables := testTables()
	run := func(start OperationSpec) {
		if err := tables.StartOperation(start, startTime); err != nil {
			t.Fatal(err)
		}
		for _, step := range []Step{
			{Kind: StepCommit, State: Drained},
			{Kind: StepCommit, State: Returning, Pool: start.ToPool},
			{Kind: StepFinish, State: Serving, BootID: 99},
		} {
			if err := tables.ApplyStep(start.Worker, step, startTime); err != nil {
				t.Fatal(err)
			}
		}
	}
	run(OperationSpec{OperationID: "op1", Kind: OperationMove, Worker: "w2", ToPool: "a", Wave: "wave1"})
	if tables.Borrowed("a") != 2 || tables.Wave.Moves != 1 {
		t.Fatalf("after the move: borrowed %d, moves %d", tables.Borrowed("a"), tables.Wave.Moves)
	}
	run(OperationSpec{OperationID: "op2", Kind: OperationRotate, Worker: "w1", ToPool: "spare", Wave: "wave1"})
	if tables.Borrowed("a") != 1 || tables.Wave.Moves != 1 || tables.Wave.Clean != 1 || tables.Wave.Width != 2 {
		t.Fatalf("after the rotation: borrowed %d, wave %+v", tables.Borrowed("a"), tables.Wave)
	}
	if len(tables.WorkersOfPool("spare")) != 1 || len(tables.WorkersOfPool("a")) != 1 {
		t.Fatal("a worker is in no pool or in two")
	}
}

// Guards against a stale list that overrides newer information and against removal
// after a single truncated list.
func TestReconcile(t *testing.T) {
	tables := testTables()
	observation := func(worker string, boot int64, status Status) Observation {
		return Observation{Worker: worker, Pool: "a", AvailabilityZone: "z1", Rack: "r1", Status: status, BootID: boot}
	}
	now := startTime.Add(time.Hour)
	stale := tables.Reconcile([]Observation{observation("w1", 6, StatusDown), observation("w2", 3, StatusLive)}, now)
	if len(stale.Changes) != 0 || len(stale.Verify) != 0 {
		t.Fatalf("row with an earlier boot ID was applied: %+v", stale)
	}
	contradiction := tables.Reconcile([]Observation{observation("w1", 7, StatusDown), observation("w2", 3, StatusLive)}, now)
	if tables.Worker("w1").State != Serving || len(contradiction.Verify) != 1 {
		t.Fatalf("list changed a worker without verification: %+v", contradiction)
	}
	down := observation("w1", 7, StatusDown)
	if _, ok := tables.ApplyObservation(&down, now); !ok || tables.Worker("w1").State != Suspected {
		t.Fatal("verified worker that is down is not suspected")
	}
	if _, ok := tables.ApplyObservation(&down, now.Add(SuspectTimeout)); !ok || tables.Worker("w1").State != Failed {
		t.Fatal("worker that stays down is not failed")
	}
	restarted := observation("w1", 8, StatusDraining)
	if _, ok := tables.ApplyObservation(&restarted, now.Add(2*SuspectTimeout)); !ok || tables.Worker("w1").State != Returning {
		t.Fatal("worker that restarted in status draining is not returned to service")
	}
	tables.Reconcile([]Observation{observation("w1", 8, StatusLive), observation("w3", 1, StatusLive)}, now)
	if tables.Worker("w2") == nil || tables.Worker("w3") == nil {
		t.Fatal("the first list without w2 removed it, or w3 was not added")
	}
	removed := tables.Reconcile([]Observation{observation("w1", 8, StatusLive), observation("w3", 1, StatusLeaving)}, now.Add(MissingTimeout))
	if tables.Worker("w2") != nil || tables.Worker("w3").State != Leaving {
		t.Fatalf("w2 was not removed or w3 is not leaving: %+v", removed)
	}
}
