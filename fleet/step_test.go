package fleet

import (
	"testing"
	"time"
)

var startTime = time.Date(2026, 12, 4, 20, 0, 0, 0, time.UTC)

// snapshot returns a durable worker in the state with everything allowed.
func snapshot(kind OperationKind, state State, change func(*Snapshot)) *Snapshot {
	operation := &Operation{ID: "op1", Kind: kind, BootID: 7}
	if kind == OperationMove || kind == OperationRotate {
		operation.ToPool = "spare"
	}
	s := &Snapshot{
		Now: startTime.Add(time.Minute), Durable: true, GatewaysAcknowledged: true, DisruptionAllowed: true, CallAllowed: true,
		Worker:   Worker{ID: "w1", Pool: "a", State: state, Since: startTime, BootID: 7, Operation: operation},
		Observed: &Observation{Worker: "w1", Pool: "a", Status: StatusDraining, BootID: 7},
	}
	if change != nil {
		change(s)
	}
	return s
}

func status(status Status) func(*Snapshot) {
	return func(s *Snapshot) { s.Observed.Status = status }
}

func aborted(s *Snapshot) { s.Worker.Operation.Aborted = true }

func combine(first, second func(*Snapshot)) func(*Snapshot) {
	return func(s *Snapshot) { first(s); second(s) }
}

func rebooted(s *Snapshot) { s.Observed.BootID = 8 }

// Guards against a reboot or move before the worker is idle and all gateways have
// acknowledged, against a call without a durable intent, and against an abort that is
// lost or interrupts a reboot.
func TestNextStep(t *testing.T) {
	inPool := func(pool string) func(*Snapshot) { return func(s *Snapshot) { s.Worker.Pool = pool } }
	busy := func(requests, tasks int) func(*Snapshot) {
		return func(s *Snapshot) { s.Observed.Requests, s.Observed.Tasks = requests, tasks }
	}
	lastOperation := func(operation string) func(*Snapshot) {
		return func(s *Snapshot) { s.Observed.LastOperationID = operation }
	}
	cases := []struct {
		name   string
		kind   OperationKind
		state  State
		change func(*Snapshot)
		want   Step
	}{
		{"intent not durable", OperationMaintain, Draining, func(s *Snapshot) { s.Durable = false }, waitStep(ReasonCommitPending)},
		{"call with unknown outcome", OperationMaintain, Rebooting, combine(aborted, func(s *Snapshot) { s.CallOutcomeUnknown = true }), waitStep(ReasonCallOutcomeUnknown)},
		{"no answer", OperationMaintain, Draining, func(s *Snapshot) { s.Observed = nil }, waitStep(ReasonNoObservation)},
		{"unknown status", OperationMaintain, Draining, status("odd"), waitStep(ReasonUnexpectedStatus)},
		{"gateways", OperationMaintain, Draining, combine(status(StatusLive), func(s *Snapshot) { s.GatewaysAcknowledged = false }), waitStep(ReasonGatewayAcknowledgment)},
		{"lease short", OperationMaintain, Draining, combine(status(StatusLive), func(s *Snapshot) { s.DisruptionAllowed = false }), waitStep(ReasonDisruptionNotAllowed)},
		{"drain", OperationMaintain, Draining, status(StatusLive), Step{Kind: StepCall, Call: Call{CallDrain, "w1", "", "op1/drain/7"}}},
		{"drain rejected", OperationMaintain, Draining, combine(status(StatusLive), func(s *Snapshot) { s.Rejected = CallDrain }), commitStep(Returning, ReasonPlatformRejected)},
		{"requests", OperationMaintain, Draining, busy(1, 0), waitStep(ReasonRequestsInFlight)},
		{"tasks", OperationMaintain, Draining, busy(0, 1), waitStep(ReasonTasksInFlight)},
		{"drained", OperationMaintain, Draining, nil, commitStep(Drained, ReasonOperationAdvanced)},
		{"abort draining", OperationMaintain, Draining, aborted, commitStep(Returning, ReasonAborted)},
		{"down", OperationMaintain, Draining, status(StatusDown), Step{Kind: StepFail, State: Failed, Reason: ReasonWorkerDown}},
		{"leaving", OperationMaintain, Draining, status(StatusLeaving), Step{Kind: StepFinish, State: Leaving, Reason: ReasonWorkerLeaving}},
		{"reboot intent", OperationMaintain, Drained, nil, commitStep(Rebooting, ReasonOperationAdvanced)},
		{"drained but live", OperationMaintain, Drained, status(StatusLive), commitStep(Draining, ReasonUndrainedElsewhere)},
		{"drained but busy", OperationMove, Drained, busy(1, 0), waitStep(ReasonRequestsInFlight)},
		{"held", OperationDrain, Drained, nil, waitStep(ReasonHeldDrained)},
		{"held while down", OperationDrain, Drained, status(StatusDown), waitStep(ReasonHeldDrained)},
		{"returned by an operator", OperationDrain, Drained, aborted, commitStep(Returning, ReasonAborted)},
		{"move", OperationMove, Drained, nil, Step{Kind: StepCommit, State: Returning, Reason: ReasonOperationAdvanced, Pool: "spare"}},
		{"abort move", OperationMove, Drained, aborted, commitStep(Returning, ReasonAborted)},
		{"reboot", OperationMaintain, Rebooting, nil, Step{Kind: StepCall, Call: Call{CallReboot, "w1", "", "op1/reboot/7"}}},
		{"reboot while busy", OperationMaintain, Rebooting, busy(0, 1), waitStep(ReasonTasksInFlight)},
		{"reboot without lease", OperationMaintain, Rebooting, func(s *Snapshot) { s.DisruptionAllowed = false }, waitStep(ReasonDisruptionNotAllowed)},
		{"reboot sent", OperationMaintain, Rebooting, lastOperation("op1/reboot/7"), waitStep(ReasonRebootInProgress)},
		{"abort after reboot sent", OperationMaintain, Rebooting, combine(aborted, lastOperation("op1/reboot/7")), waitStep(ReasonRebootInProgress)},
		{"abort before reboot sent", OperationMaintain, Rebooting, aborted, commitStep(Returning, ReasonAborted)},
		{"rebooting", OperationMaintain, Rebooting, combine(aborted, status(StatusRebooting)), waitStep(ReasonRebootInProgress)},
		{"hanging reboot", OperationMaintain, Rebooting, combine(status(StatusRebooting), func(s *Snapshot) { s.Now = startTime.Add(time.Hour) }), Step{Kind: StepFail, State: Failed, Reason: ReasonRebootTimeout}},
		{"rebooted", OperationMaintain, Rebooting, rebooted, commitStep(Returning, ReasonOperationAdvanced)},
		{"rotated", OperationRotate, Rebooting, rebooted, Step{Kind: StepCommit, State: Returning, Reason: ReasonOperationAdvanced, Pool: "spare"}},
		{"abort rotation after reboot", OperationRotate, Rebooting, combine(aborted, rebooted), commitStep(Returning, ReasonAborted)},
		{"rotation came back live", OperationRotate, Rebooting, combine(status(StatusLive), rebooted), commitStep(Returning, ReasonUndrainedElsewhere)},
		{"assign", OperationMove, Returning, inPool("spare"), Step{Kind: StepCall, Call: Call{CallAssign, "w1", "spare", "op1/assign/7"}}},
		{"assigned", OperationMove, Returning, combine(inPool("spare"), lastOperation("op1/assign/7")), Step{Kind: StepCall, Call: Call{CallUndrain, "w1", "", "op1/undrain/7"}}},
		{"undrain during store outage", OperationMaintain, Returning, func(s *Snapshot) { s.DisruptionAllowed = false }, Step{Kind: StepCall, Call: Call{CallUndrain, "w1", "", "op1/undrain/7"}}},
		{"undrain without lease", OperationMaintain, Returning, func(s *Snapshot) { s.CallAllowed = false }, waitStep(ReasonDisruptionNotAllowed)},
		{"undrain rejected", OperationMaintain, Returning, func(s *Snapshot) { s.Rejected = CallUndrain }, Step{Kind: StepFail, State: Failed, Reason: ReasonPlatformRejected}},
		{"finished", OperationMaintain, Returning, status(StatusLive), Step{Kind: StepFinish, State: Serving, Reason: ReasonOperationDone}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := snapshot(c.kind, c.state, c.change)
			got := NextStep(s)
			got.BootID = 0
			if got != c.want {
				t.Fatalf("NextStep = %+v, want %+v", got, c.want)
			}
			if got.State != "" && !CanTransition(s.Worker.State, got.State) {
				t.Fatalf("step changes %s to %s, which the state machine refuses", s.Worker.State, got.State)
			}
		})
	}
}
