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

// newInput returns pools a (12 workers), b (8, all needed) and spare (8) in racks of
// four, with a running wave.
func newInput(t *testing.T, change func(*policy.Document)) *Input {
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
	input := &Input{Now: testTime, Tables: fleet.Load(&doc), Effective: policy.Resolve(&config, testTime), DisruptionAllowed: true}
	if err := Start(input.Tables, input.Effective, Spec{ID: "wave"}, testTime); err != nil {
		t.Fatal(err)
	}
	return input
}

// applyPlan applies the plan and returns the affected workers by kind of decision.
func applyPlan(t *testing.T, input *Input) map[DecisionKind][]string {
	t.Helper()
	workers := map[DecisionKind][]string{}
	for _, decision := range Plan(input) {
		if err := Apply(input.Tables, decision, "op-"+decision.Worker, input.Now); err != nil {
			t.Fatal(err)
		}
		if decision.Worker != "" {
			workers[decision.Kind] = append(workers[decision.Kind], decision.Worker)
		}
	}
	return workers
}

// endOperation ends the operation on a worker, with success or with a failure.
func endOperation(t *testing.T, input *Input, worker string, clean bool) {
	t.Helper()
	row := input.Tables.Worker(worker)
	pool := input.Tables.Operation(row).ToPool
	steps := []fleet.Step{{Kind: fleet.StepFail, State: fleet.Failed, Reason: fleet.ReasonWorkerDown}}
	if clean {
		steps = []fleet.Step{
			{Kind: fleet.StepCommit, State: fleet.Drained},
			{Kind: fleet.StepCommit, State: fleet.Returning, Pool: pool},
			{Kind: fleet.StepFinish, State: fleet.Serving, BootID: row.BootID + 1},
		}
	}
	for _, step := range steps {
		if err := input.Tables.ApplyStep(worker, step, input.Now); err != nil {
			t.Fatal(err)
		}
	}
}

// Guards against a wave that starts without a canary, does not widen after it or
// disrupts two racks of a pool.
func TestCanaryThenOneRackPerPool(t *testing.T) {
	input := newInput(t, nil)
	first := applyPlan(t, input)[DecisionMaintain]
	if len(first) != 1 {
		t.Fatalf("first batch = %v, want one canary", first)
	}
	if got := applyPlan(t, input)[DecisionMaintain]; got != nil {
		t.Fatalf("started %v while the canary runs", got)
	}
	if got := Explain(input, "a11"); got != ReasonCanaryRunning && got != ReasonOtherDomainDisrupted {
		t.Fatalf("Explain = %s, want canary-running or other-domain-disrupted", got)
	}
	endOperation(t, input, first[0], true)
	if got := applyPlan(t, input)[DecisionMaintain]; len(got) != 2 {
		t.Fatalf("batch after the canary = %v, want two workers", got)
	}
	input.Tables.Wave.Width = 100
	applyPlan(t, input)
	for _, pool := range []string{"a", "b", "spare"} {
		p := &planner{input: input, wave: input.Tables.Wave}
		if open := p.disruptedDomains(pool); len(open) > 1 {
			t.Errorf("pool %s is disrupted in %v", pool, open)
		}
	}
}

// Guards against a rollout that leaves slack unused after the canary.
func TestRolloutUsesWholeSlack(t *testing.T) {
	input := newInput(t, func(d *policy.Document) { d.Site.Objective = policy.ObjectiveRollout })
	endOperation(t, input, applyPlan(t, input)[DecisionMaintain][0], true)
	applyPlan(t, input)
	// Pool a may lose 3 of 12 workers and the spare pool 2 of 8; those 2 were lent to b
	// while the canary ran.
	if n := input.Tables.Operations.Len(); n != 5 {
		t.Fatalf("%d operations, want the whole slack of 5", n)
	}
}

// Guards against failures that do not halt the wave, and against a halt that does
// not abort operations or that a resume does not end.
func TestHaltOnCorrelatedFailures(t *testing.T) {
	input := newInput(t, nil)
	input.Tables.Wave.Width = 2
	workers := applyPlan(t, input)[DecisionMaintain]
	for _, worker := range workers {
		endOperation(t, input, worker, false)
	}
	input.Tables.Wave.Width = 4
	got := Plan(input)
	if len(got) != 1 || got[0].Kind != DecisionHalt || got[0].Reason != ReasonRackFailures && got[0].Reason != ReasonBatchFailures {
		t.Fatalf("plan after %v failed = %+v, want a halt", workers, got)
	}
	if err := input.Tables.StartOperation(fleet.OperationSpec{OperationID: "op", Kind: fleet.OperationMaintain, Worker: "b00", Wave: "wave"}, testTime); err != nil {
		t.Fatal(err)
	}
	applyPlan(t, input)
	if operation := input.Tables.Operation(input.Tables.Worker("b00")); !operation.Aborted || input.Tables.Wave.Status != fleet.WaveHalted {
		t.Fatalf("after the halt: operation %+v, wave %+v", operation, input.Tables.Wave)
	}
	if err := Resume(input.Tables, input.Effective); err != nil {
		t.Fatal(err)
	}
	if wave := input.Tables.Wave; wave.Width != 1 || haltReason(input) != "" {
		t.Fatalf("after the resume: %+v, halt %q", wave, haltReason(input))
	}
}

// Guards against a wave that continues after the loss of an availability zone.
func TestHaltOnZoneLoss(t *testing.T) {
	input := newInput(t, nil)
	for _, row := range input.Tables.Workers.All() {
		if row.AvailabilityZone == "z2" {
			row.State = fleet.Suspected
		}
	}
	if got := Plan(input); len(got) != 1 || got[0].Reason != ReasonZoneLost {
		t.Fatalf("plan after the loss of a zone = %+v, want a halt", got)
	}
}

// Guards against a pool without slack that is never maintained, needs more than one
// move per borrowed spare, or does not give its spares back.
func TestBorrowThenRotate(t *testing.T) {
	input := newInput(t, nil)
	input.Tables.Wave.Pools, input.Tables.Wave.Width = []string{"b"}, 8
	borrowed := applyPlan(t, input)[DecisionBorrow]
	if len(borrowed) == 0 {
		t.Fatal("no spare was borrowed for the pool without slack")
	}
	if got := Explain(input, "b00"); got != ReasonSpareInTransit {
		t.Fatalf("Explain(b00) = %s, want %s", got, ReasonSpareInTransit)
	}
	for range 20 {
		for _, row := range input.Tables.Workers.All() {
			if row.OperationID != 0 {
				endOperation(t, input, row.ID, true)
			}
		}
		applyPlan(t, input)
	}
	wave := input.Tables.Wave
	if wave.Status != fleet.WaveDone || wave.Moves != len(borrowed) || input.Tables.Borrowed("b") != 0 || len(input.Tables.WorkersOfPool("spare")) != 8 {
		t.Fatalf("wave %+v, borrowed %d, spares %d", wave, input.Tables.Borrowed("b"), len(input.Tables.WorkersOfPool("spare")))
	}
}

// Guards against starts at peak demand, with spares of the reserve or while
// disruptions are not allowed, and against waits without a typed reason.
func TestTypedWaits(t *testing.T) {
	cases := []struct {
		name   string
		change func(*Input)
		worker string
		want   Reason
	}{
		{"peak", func(input *Input) { input.Demand = budget.Demand{"a": 96} }, "a00", ReasonDemand},
		{"reserve", func(input *Input) { input.SpareReserve, input.Tables.Wave.Pools = 8, []string{"b"} }, "b00", ReasonSpareReserved},
		{"scope", func(input *Input) { input.Tables.Wave.Pools = []string{"b"} }, "a00", ReasonPoolNotInWave},
		{"store outage", func(input *Input) { input.DisruptionAllowed = false }, "a00", ReasonDisruptionNotAllowed},
		{"paused", func(input *Input) { _ = Pause(input.Tables, "test") }, "a00", ReasonWavePaused},
		{"suspected", func(input *Input) { input.Tables.Worker("a00").State = fleet.Suspected }, "a00", ReasonWorkerNotServing},
		{"unknown", func(*Input) {}, "none", ReasonUnknownWorker},
		{"planned", func(input *Input) { input.Tables.Wave.Width = 50 }, "a00", ReasonStartingNow},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			input := newInput(t, nil)
			input.Tables.Wave.Width = 10
			c.change(input)
			if got := Explain(input, c.worker); got != c.want {
				t.Fatalf("Explain(%s) = %s, want %s", c.worker, got, c.want)
			}
		})
	}
}

// Guards against concurrent operator requests that are both accepted, and against
// refusals without a typed error.
func TestWaveRequestsAreTyped(t *testing.T) {
	input := newInput(t, nil)
	var state *StateError
	if err := Start(input.Tables, input.Effective, Spec{ID: "other"}, testTime); !errors.As(err, &state) {
		t.Fatalf("second wave = %v, want a StateError", err)
	}
	if err := Resume(input.Tables, input.Effective); !errors.As(err, &state) {
		t.Fatalf("resume of a running wave = %v, want a StateError", err)
	}
	worker := applyPlan(t, input)[DecisionMaintain][0]
	if err := Abort(input.Tables, "test"); err != nil {
		t.Fatal(err)
	}
	if !input.Tables.Operation(input.Tables.Worker(worker)).Aborted {
		t.Fatal("abort did not abort the canary's operation")
	}
	var pool *PoolError
	if err := Start(input.Tables, input.Effective, Spec{ID: "other", Pools: []string{"none"}}, testTime); !errors.As(err, &pool) {
		t.Fatalf("wave over an unknown pool = %v, want a PoolError", err)
	}
}
