package wave

import (
	"testing"

	"github.com/waxwingbridge/waxwingbridge/fleet"
)

// runWave plans and completes operations for 40 rounds. restarts selects the
// rotations whose worker restarts on its own and serves again before its pool
// changes.
func runWave(t *testing.T, input *Input, restarts func(*fleet.OperationRow) bool) {
	t.Helper()
	for range 40 {
		applyPlan(t, input)
		for _, row := range input.Tables.Workers.All() {
			operation := input.Tables.Operation(row)
			switch {
			case operation == nil:
			case operation.Kind == fleet.OperationRotate && restarts(operation):
				for _, step := range []fleet.Step{
					{Kind: fleet.StepCommit, State: fleet.Returning, Reason: fleet.ReasonUndrainedElsewhere},
					{Kind: fleet.StepFinish, State: fleet.Serving, BootID: row.BootID + 1},
				} {
					if err := input.Tables.ApplyStep(row.ID, step, input.Now); err != nil {
						t.Fatal(err)
					}
				}
			default:
				endOperation(t, input, row.ID, true)
			}
		}
	}
}

// checkGivenBack fails the test unless the wave is done and pool b has given back
// all spares.
func checkGivenBack(t *testing.T, input *Input) {
	t.Helper()
	if outstanding, spares := input.Tables.Borrowed("b"), len(input.Tables.WorkersOfPool("spare")); outstanding != 0 || spares != 8 {
		t.Errorf("%d borrowed spares not given back, %d workers in the spare pool, want 0 and 8", outstanding, spares)
	}
	if input.Tables.Wave.Status != fleet.WaveDone {
		t.Errorf("wave %+v is not done", input.Tables.Wave)
	}
}

// Guards against borrowed spares that are never given back because the workers that
// rotate restart on their own and return to their own pool.
func TestGiveBackAfterRestart(t *testing.T) {
	input := newInput(t, nil)
	input.Tables.Wave.Pools = []string{"b"}
	restarted := 0
	runWave(t, input, func(*fleet.OperationRow) bool { restarted++; return true })
	if restarted == 0 {
		t.Fatal("no rotation restarted")
	}
	checkGivenBack(t, input)
}

// Guards against borrowed spares that are never given back because their wave was
// aborted: the next wave has to give them back.
func TestGiveBackAfterAbort(t *testing.T) {
	input := newInput(t, nil)
	input.Tables.Wave.Pools, input.Tables.Wave.Width = []string{"b"}, 8
	for _, spare := range applyPlan(t, input)[DecisionBorrow] {
		endOperation(t, input, spare, true)
	}
	if input.Tables.Borrowed("b") == 0 {
		t.Fatal("nothing was borrowed")
	}
	if err := Abort(input.Tables, "test"); err != nil {
		t.Fatal(err)
	}
	input.Now = input.Now.Add(1)
	if err := Start(input.Tables, input.Effective, Spec{ID: "next", Pools: []string{"b"}}, input.Now); err != nil {
		t.Fatal(err)
	}
	runWave(t, input, func(*fleet.OperationRow) bool { return false })
	checkGivenBack(t, input)
	if moves := input.Tables.Wave.Moves; moves != 0 {
		t.Errorf("the next wave needed %d moves, want rotations only", moves)
	}
}

// Guards against a wave that disrupts more workers of a pool while an operator's
// drain and the wave itself already disrupt two of its racks.
func TestNoStartBesideTwoDisruptedRacks(t *testing.T) {
	input := newInput(t, nil)
	input.Tables.Wave.Width = 50
	for worker, wave := range map[string]string{"a00": "wave", "a04": ""} {
		start := fleet.OperationSpec{OperationID: "op-" + worker, Kind: fleet.OperationDrain, Worker: worker, Wave: wave}
		if err := input.Tables.StartOperation(start, input.Now); err != nil {
			t.Fatal(err)
		}
	}
	for _, decision := range Plan(input) {
		if decision.Pool == "a" && decision.Worker != "" {
			t.Errorf("plan starts %+v while two racks of the pool are disrupted", decision)
		}
	}
}
