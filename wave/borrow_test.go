package wave

import (
	"testing"

	"github.com/waxwingbridge/waxwingbridge/fleet"
)

// runWave plans and ends operations cleanly until nothing is left to do.
// restarts selects the rotations whose worker restarts on its own and serves
// again before its pool could change.
func runWave(t *testing.T, v *Input, restarts func(*fleet.OperationRow) bool) {
	t.Helper()
	for range 40 {
		started(t, v)
		for _, row := range v.Tables.Workers.All() {
			operation := v.Tables.Operation(row)
			switch {
			case operation == nil:
			case operation.Kind == fleet.OperationRotate && restarts(operation):
				for _, step := range []fleet.Step{
					{Kind: fleet.StepCommit, State: fleet.Returning, Reason: fleet.ReasonUndrainedElsewhere},
					{Kind: fleet.StepFinish, State: fleet.Serving, BootID: row.BootID + 1},
				} {
					if err := v.Tables.ApplyStep(row.ID, step, v.Now); err != nil {
						t.Fatal(err)
					}
				}
			default:
				end(t, v, row.ID, true)
			}
		}
	}
}

// checkGivenBack fails the test unless the wave is done and no pool owes a spare.
func checkGivenBack(t *testing.T, v *Input) {
	t.Helper()
	if owed, spares := v.Tables.Borrowed("b"), len(v.Tables.WorkersOfPool("spare")); owed != 0 || spares != 8 {
		t.Errorf("%d spares owed, %d in the spare pool, want 0 and 8", owed, spares)
	}
	if v.Tables.Wave.Status != fleet.WaveDone {
		t.Errorf("wave %+v is not done", v.Tables.Wave)
	}
}

// Guards against borrowed spares that are forgotten when the workers that rotate
// restart on their own and come back to their pool.
func TestGiveBackAfterRestart(t *testing.T) {
	v := view(t, nil)
	v.Tables.Wave.Pools = []string{"b"}
	restarted := 0
	runWave(t, v, func(*fleet.OperationRow) bool { restarted++; return true })
	if restarted == 0 {
		t.Fatal("no rotation restarted")
	}
	checkGivenBack(t, v)
}

// Guards against borrowed spares that the next wave forgets after an abort.
func TestGiveBackAfterAbort(t *testing.T) {
	v := view(t, nil)
	v.Tables.Wave.Pools, v.Tables.Wave.Width = []string{"b"}, 8
	for _, spare := range started(t, v)[DecisionBorrow] {
		end(t, v, spare, true)
	}
	if v.Tables.Borrowed("b") == 0 {
		t.Fatal("nothing was borrowed")
	}
	if err := Abort(v.Tables, "test"); err != nil {
		t.Fatal(err)
	}
	v.Now = v.Now.Add(1)
	if err := Start(v.Tables, v.Effective, Spec{ID: "next", Pools: []string{"b"}}, v.Now); err != nil {
		t.Fatal(err)
	}
	runWave(t, v, func(*fleet.OperationRow) bool { return false })
	checkGivenBack(t, v)
	if moves := v.Tables.Wave.Moves; moves != 0 {
		t.Errorf("the next wave needed %d moves, want rotations only", moves)
	}
}

// Guards against a wave that disrupts two racks of a pool because an operator
// drains a worker in another rack than the wave does.
func TestOperatorsDrainOpensNoRack(t *testing.T) {
	v := view(t, nil)
	v.Tables.Wave.Width = 50
	for worker, wave := range map[string]string{"a00": "wave", "a04": ""} {
		start := fleet.OperationSpec{OperationID: "op-" + worker, Kind: fleet.OperationDrain, Worker: worker, Wave: wave}
		if err := v.Tables.StartOperation(start, v.Now); err != nil {
			t.Fatal(err)
		}
	}
	for _, decision := range Plan(v) {
		if decision.Pool == "a" && decision.Worker != "" {
			t.Errorf("plan starts %+v beside two disrupted racks", decision)
		}
	}
}
