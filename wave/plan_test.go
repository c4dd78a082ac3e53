package wave

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/waxwingbridge/waxwingbridge/budget"
	"github.com/waxwingbridge/waxwingbridge/fleet"
	"github.com/waxwingbridge/waxwingbridge/policy"
)

var testTime = time.Date(2026, 12, 4, 20, 0, 0, 0, time.UTC)

// view returns pools a (12 workers), b (8, all needed) and spare (8) in racks of
// four, with a running wave.
func view(t *testing.T, change func(*policy.Document)) *Input {
	t.Helper()
	doc := fleet.Document{}
	sizes := map[string]int{"a": 12, "b": 8, "spare": 8}
	for _, pool := range []string{"a", "b", "spare"} {
		for i := range sizes[pool] {
			doc.Workers = append(doc.Workers, fleet.Worker{
				ID: fmt.Sprintf("%s%02d", pool, i), Pool: pool, State: fleet.Serving, BootID: 1,
				AvailabilityZone: fmt.Sprintf("z%d", i/4), Rack: fmt.Sprintf("%s-r%d", pool, i/4),
			})
		}
	}
	config := policy.Example("a", "b", "spare")
	config.Exceptions = append(config.Exceptions, policy.Exception{Scope: "pool/b", Field: "min_serving", Value: 8, Reason: "test"})
	if change != nil {
		change(&config)
	}
	v := &Input{Now: testTime, Tables: fleet.Load(&doc), Effective: policy.Resolve(&config, testTime), DisruptionAllowed: true}
	if err := Start(v.Tables, v.Effective, Spec{ID: "wave"}, testTime); err != nil {
		t.Fatal(err)
	}
	return v
}

// started applies the plan and returns the started workers by kind.
func started(t *testing.T, v *Input) map[DecisionKind][]string {
	t.Helper()
	workers := map[DecisionKind][]string{}
	for _, decision := range Plan(v) {
		if err := Apply(v.Tables, decision, "op-"+decision.Worker, v.Now); err != nil {
			t.Fatal(err)
		}
		if decision.Worker != "" {
			workers[decision.Kind] = append(workers[decision.Kind], decision.Worker)
		}
	}
	return workers
}

// end ends the operation on a worker, cleanly or with a failure.
func end(t *testing.T, v *Input, worker string, clean bool) {
	t.Helper()
	row := v.Tables.Worker(worker)
	pool := v.Tables.Operation(row).ToPool
	steps := []fleet.Step{{Kind: fleet.StepFail, State: fleet.Failed, Reason: fleet.ReasonWorkerDown}}
	if clean {
		steps = []fleet.Step{
			{Kind: fleet.StepCommit, State: fleet.Drained},
			{Kind: fleet.StepCommit, State: fleet.Returning, Pool: pool},
			{Kind: fleet.StepFinish, State: fleet.Serving, BootID: row.BootID + 1},
		}
	}
	for _, step := range steps {
		if err := v.Tables.ApplyStep(worker, step, v.Now); err != nil {
			t.Fatal(err)
		}
	}
}

// Guards against a wave without a canary, one that does not widen after it, and
// one that disrupts two racks of a pool.
func TestCanaryThenOneRackPerPool(t *testing.T) {
	v := view(t, nil)
	first := started(t, v)[DecisionMaintain]
	if len(first) != 1 {
		t.Fatalf("first batch = %v, want one canary", first)
	}
	if got := started(t, v)[DecisionMaintain]; got != nil {
		t.Fatalf("started %v while the canary runs", got)
	}
	if got := Explain(v, "a11"); got != ReasonCanaryRunning && got != ReasonOtherDomainDisrupted {
		t.Fatalf("Explain = %s, want the canary or the domain", got)
	}
	end(t, v, first[0], true)
	if got := started(t, v)[DecisionMaintain]; len(got) != 2 {
		t.Fatalf("batch after the canary = %v, want two workers", got)
	}
	v.Tables.Wave.Width = 100
	started(t, v)
	for _, pool := range []string{"a", "b", "spare"} {
		p := &planner{view: v, wave: v.Tables.Wave}
		if open := p.openDomains(pool); len(open) > 1 {
			t.Errorf("pool %s is disrupted in %v", pool, open)
		}
	}
}

// Guards against a rollout that leaves slack unused after the canary.
func TestRolloutUsesWholeSlack(t *testing.T) {
	v := view(t, func(d *policy.Document) { d.Site.Objective = policy.ObjectiveRollout })
	end(t, v, started(t, v)[DecisionMaintain][0], true)
	started(t, v)
	// Pool a may lose 3 of 12 and spare 2 of 8; the spares were lent to b beside the canary.
	if n := v.Tables.Operations.Len(); n != 5 {
		t.Fatalf("%d operations, want the whole slack of 5", n)
	}
}

// Guards against failures that do not halt the wave, and against a halt that
// lets operations go on or that a resume does not end.
func TestHaltOnCorrelatedFailures(t *testing.T) {
	v := view(t, nil)
	v.Tables.Wave.Width = 2
	workers := started(t, v)[DecisionMaintain]
	for _, worker := range workers {
		end(t, v, worker, false)
	}
	v.Tables.Wave.Width = 4
	got := Plan(v)
	if len(got) != 1 || got[0].Kind != DecisionHalt || got[0].Reason != ReasonRackFailures && got[0].Reason != ReasonBatchFailures {
		t.Fatalf("plan after %v failed = %+v, want a halt", workers, got)
	}
	if err := v.Tables.StartOperation(fleet.OperationSpec{OperationID: "op", Kind: fleet.OperationMaintain, Worker: "b00", Wave: "wave"}, testTime); err != nil {
		t.Fatal(err)
	}
	started(t, v)
	if operation := v.Tables.Operation(v.Tables.Worker("b00")); !operation.Aborted || v.Tables.Wave.Status != fleet.WaveHalted {
		t.Fatalf("after the halt: operation %+v, wave %+v", operation, v.Tables.Wave)
	}
	if err := Resume(v.Tables, v.Effective); err != nil {
		t.Fatal(err)
	}
	if wave := v.Tables.Wave; wave.Width != 1 || haltReason(v) != "" {
		t.Fatalf("after the resume: %+v, halt %q", wave, haltReason(v))
	}
}

// Guards against a wave that goes on after the loss of an availability zone.
func TestHaltOnZoneLoss(t *testing.T) {
	v := view(t, nil)
	for _, row := range v.Tables.Workers.All() {
		if row.AvailabilityZone == "z2" {
			row.State = fleet.Suspected
		}
	}
	if got := Plan(v); len(got) != 1 || got[0].Reason != ReasonZoneLost {
		t.Fatalf("plan without a zone = %+v", got)
	}
}

// Guards against a pool without slack that is never maintained, costs more than
// one move per slot, or keeps the spare.
func TestBorrowThenRotate(t *testing.T) {
	v := view(t, nil)
	v.Tables.Wave.Pools, v.Tables.Wave.Width = []string{"b"}, 8
	lent := started(t, v)[DecisionBorrow]
	if len(lent) == 0 {
		t.Fatal("no spare was borrowed for the pool without slack")
	}
	if got := Explain(v, "b00"); got != ReasonSpareInTransit {
		t.Fatalf("Explain(b00) = %s, want %s", got, ReasonSpareInTransit)
	}
	for range 20 {
		for _, row := range v.Tables.Workers.All() {
			if row.OperationID != 0 {
				end(t, v, row.ID, true)
			}
		}
		started(t, v)
	}
	wave := v.Tables.Wave
	if wave.Status != fleet.WaveDone || wave.Moves != len(lent) || v.Tables.Borrowed("b") != 0 || len(v.Tables.WorkersOfPool("spare")) != 8 {
		t.Fatalf("wave %+v, borrowed %d, spares %d", wave, v.Tables.Borrowed("b"), len(v.Tables.WorkersOfPool("spare")))
	}
}

// Guards against starts during a peak, into the reserve, or while the wave must
// not disrupt, and against untyped reasons for them.
func TestTypedWaits(t *testing.T) {
	cases := []struct {
		name   string
		change func(*Input)
		worker string
		want   Reason
	}{
		{"peak", func(v *Input) { v.Demand = budget.Demand{"a": 96} }, "a00", ReasonDemand},
		{"reserve", func(v *Input) { v.SpareReserve, v.Tables.Wave.Pools = 8, []string{"b"} }, "b00", ReasonSpareReserved},
		{"scope", func(v *Input) { v.Tables.Wave.Pools = []string{"b"} }, "a00", ReasonPoolNotInWave},
		{"store outage", func(v *Input) { v.DisruptionAllowed = false }, "a00", ReasonDisruptionNotAllowed},
		{"paused", func(v *Input) { _ = Pause(v.Tables, "test") }, "a00", ReasonWavePaused},
		{"suspected", func(v *Input) { v.Tables.Worker("a00").State = fleet.Suspected }, "a00", ReasonWorkerNotServing},
		{"unknown", func(*Input) {}, "none", ReasonUnknownWorker},
		{"planned", func(v *Input) { v.Tables.Wave.Width = 50 }, "a00", ReasonStartingNow},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			v := view(t, nil)
			v.Tables.Wave.Width = 10
			c.change(v)
			if got := Explain(v, c.worker); got != c.want {
				t.Fatalf("Explain(%s) = %s, want %s", c.worker, got, c.want)
			}
		})
	}
}

// Guards against operators' requests that race each other and are both accepted.
func TestWaveRequestsAreTyped(t *testing.T) {
	v := view(t, nil)
	var state *StateError
	if err := Start(v.Tables, v.Effective, Spec{ID: "other"}, testTime); !errors.As(err, &state) {
		t.Fatalf("second wave = %v, want a StateError", err)
	}
	if err := Resume(v.Tables, v.Effective); !errors.As(err, &state) {
		t.Fatalf("resume of a running wave = %v, want a StateError", err)
	}
	worker := started(t, v)[DecisionMaintain][0]
	if err := Abort(v.Tables, "test"); err != nil {
		t.Fatal(err)
	}
	if !v.Tables.Operation(v.Tables.Worker(worker)).Aborted {
		t.Fatal("abort left the canary's operation going")
	}
	var pool *PoolError
	if err := Start(v.Tables, v.Effective, Spec{ID: "other", Pools: []string{"none"}}, testTime); !errors.As(err, &pool) {
		t.Fatalf("wave over an unknown pool = %v, want a PoolError", err)
	}
}
