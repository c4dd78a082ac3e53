package fleet

import (
	"fmt"
	"time"
)

// RebootTimeout is the longest time a reboot may take. A worker that takes longer is
// marked as failed, so that a machine that hangs does not block its wave.
const RebootTimeout = 30 * time.Minute

// Snapshot holds everything on which the next step of an operation depends. It has
// no state of earlier steps, so a new controller can continue the operation.
type Snapshot struct {
	Now    time.Time
	Worker Worker // with its operation
	// Durable reports that the last change of the worker is in the store.
	Durable bool
	// Observed is the platform's answer to a direct query about the worker, sent
	// after its last call had returned; nil without an answer. Rows of the VM list
	// must not be used here, because their counts may be older than the drain.
	Observed *Observation
	// GatewaysAcknowledged reports that every gateway has acknowledged the start
	// revision or is no longer allowed to send requests.
	GatewaysAcknowledged bool
	// DisruptionAllowed reports that the store is reachable and the lease lasts
	// longer than the timeout of a platform call.
	DisruptionAllowed bool
	// CallAllowed reports only that the lease lasts longer than the timeout of a
	// platform call. Calls that return a worker to service require no more.
	CallAllowed bool
	// CallOutcomeUnknown reports that a call for the worker timed out and may still
	// take effect, or that the last call of the previous controller may. If the worker
	// returned to service now, a delayed reboot could interrupt its new requests.
	CallOutcomeUnknown bool
	// UnacknowledgedGatewayMaySend reports that a gateway that did not acknowledge the start
	// revision may still send requests. The worker must not stop while one is in transit.
	UnacknowledgedGatewayMaySend bool
	// Rejected is the call that the platform rejected permanently in the current
	// state; empty if there is none.
	Rejected CallKind
}

// StepKind is the kind of a step.
type StepKind string

// Kinds of step.
const (
	StepWait   StepKind = "wait"
	StepCall   StepKind = "call"
	StepCommit StepKind = "commit" // change the state, and possibly the pool, in the document
	StepFinish StepKind = "finish" // the operation ends without a failure
	StepFail   StepKind = "fail"   // the operation ends and the worker is failed
)

// CallKind is the kind of a platform call.
type CallKind string

// Platform calls of operations.
const (
	CallDrain   CallKind = "drain"
	CallReboot  CallKind = "reboot"
	CallUndrain CallKind = "undrain"
	CallAssign  CallKind = "assign"
)

// Call is a platform call. At most one call per worker may be in flight.
type Call struct {
	Kind        CallKind
	Worker      string
	Pool        string // of an assignment
	OperationID string // makes a repeated call idempotent
}

// Step is the next step of an operation.
type Step struct {
	Kind   StepKind
	Reason Reason
	Call   Call   // of StepCall
	State  State  // new state of StepCommit, StepFinish and StepFail
	Pool   string // new pool of StepCommit, empty for no change
	BootID int64  // highest boot ID seen
}

// CallID derives the operation ID of a platform call. The ID of a reboot
// depends on the boot before the operation, so that a repeated call never reboots
// twice. The other IDs depend on the current boot, because a worker that restarted
// on its own has to be drained again.
func CallID(operation *Operation, kind CallKind, bootID int64) string {
	if kind == CallReboot {
		bootID = operation.BootID
	}
	return fmt.Sprintf("%s/%s/%d", operation.ID, kind, bootID)
}

func waitStep(reason Reason) Step { return Step{Kind: StepWait, Reason: reason} }

func commitStep(state State, reason Reason) Step {
	return Step{Kind: StepCommit, State: state, Reason: reason}
}

func (s *Snapshot) callStep(kind CallKind) Step {
	call := Call{Kind: kind, Worker: s.Worker.ID, OperationID: CallID(s.Worker.Operation, kind, s.Observed.BootID)}
	if kind == CallAssign {
		call.Pool = s.Worker.Pool
	}
	return Step{Kind: StepCall, Call: call}
}

// NextStep decides the next step of the worker's operation.
func NextStep(s *Snapshot) Step {
	step := nextStep(s)
	if s.Observed != nil {
		step.BootID = max(s.Worker.BootID, s.Observed.BootID)
	}
	return step
}

func nextStep(s *Snapshot) Step {
	switch {
	case s.Worker.Operation == nil:
		return waitStep(ReasonNoOperation)
	case !s.Durable:
		return waitStep(ReasonCommitPending)
	case s.CallOutcomeUnknown:
		return waitStep(ReasonCallOutcomeUnknown)
	case s.Observed == nil:
		return waitStep(ReasonNoObservation)
	case !s.Observed.Status.valid():
		return waitStep(ReasonUnexpectedStatus)
	case s.heldDrained() && s.Observed.Status != StatusLive && s.Observed.Status != StatusLeaving:
		return waitStep(ReasonHeldDrained)
	case s.Observed.Status == StatusDown:
		return Step{Kind: StepFail, State: Failed, Reason: ReasonWorkerDown}
	case s.Observed.Status == StatusLeaving:
		return Step{Kind: StepFinish, State: Leaving, Reason: ReasonWorkerLeaving}
	}
	switch s.Worker.State {
	case Draining:
		return stepDraining(s)
	case Drained:
		return stepDrained(s)
	case Rebooting:
		return stepRebooting(s)
	case Returning:
		return stepReturning(s)
	default:
		return Step{Kind: StepFail, State: Failed, Reason: ReasonUnexpectedStatus}
	}
}

// heldDrained reports whether an operator keeps the worker drained. A restart or
// repair of the machine does not end the drain.
func (s *Snapshot) heldDrained() bool {
	operation := s.Worker.Operation
	return operation.Kind == OperationDrain && s.Worker.State == Drained && !operation.Aborted
}

func stepDraining(s *Snapshot) Step {
	switch {
	case s.Worker.Operation.Aborted:
		return commitStep(Returning, ReasonAborted)
	case s.Rejected == CallDrain:
		return commitStep(Returning, ReasonPlatformRejected)
	case !s.GatewaysAcknowledged:
		return waitStep(ReasonGatewayAcknowledgment)
	case !s.DisruptionAllowed:
		return waitStep(ReasonDisruptionNotAllowed)
	case s.Observed.Status == StatusRebooting: // restarted on its own
		return Step{Kind: StepFail, State: Failed, Reason: ReasonUnexpectedStatus}
	case s.Observed.Status == StatusLive:
		return s.callStep(CallDrain)
	}
	if reason, busy := workInFlight(s.Observed); busy {
		return waitStep(reason)
	}
	if s.UnacknowledgedGatewayMaySend {
		return waitStep(ReasonGatewayAcknowledgment)
	}
	return commitStep(Drained, ReasonOperationAdvanced)
}

// workInFlight reports whether the worker has requests or tasks in flight. Counts of
// zero prove that it is idle only if it refuses new work.
func workInFlight(observed *Observation) (Reason, bool) {
	switch {
	case observed.Requests > 0:
		return ReasonRequestsInFlight, true
	case observed.Tasks > 0:
		return ReasonTasksInFlight, true
	}
	return "", false
}

func stepDrained(s *Snapshot) Step {
	operation := s.Worker.Operation
	switch {
	case operation.Aborted:
		return commitStep(Returning, ReasonAborted)
	case s.Observed.Status == StatusRebooting: // restarted on its own
		return Step{Kind: StepFail, State: Failed, Reason: ReasonUnexpectedStatus}
	case s.Observed.Status == StatusLive:
		return commitStep(Draining, ReasonUndrainedElsewhere)
	case !s.DisruptionAllowed:
		return waitStep(ReasonDisruptionNotAllowed)
	}
	if reason, busy := workInFlight(s.Observed); busy {
		return waitStep(reason)
	}
	if operation.Kind == OperationMove {
		return returnStep(s)
	}
	return commitStep(Rebooting, ReasonOperationAdvanced)
}

// returnStep returns the step that starts the return to service, in the new pool if
// the operation changes the pool and was not aborted.
func returnStep(s *Snapshot) Step {
	step := commitStep(Returning, ReasonOperationAdvanced)
	operation := s.Worker.Operation
	if operation.Aborted {
		step.Reason = ReasonAborted
	} else if operation.ToPool != s.Worker.Pool {
		step.Pool = operation.ToPool
	}
	return step
}

func stepRebooting(s *Snapshot) Step {
	operation := s.Worker.Operation
	sent := s.Observed.LastOperationID == CallID(operation, CallReboot, 0)
	switch {
	case s.Observed.Status == StatusRebooting:
		return rebootProgress(s)
	case s.Observed.BootID > operation.BootID && s.Observed.Status == StatusDraining:
		return returnStep(s)
	case s.Observed.BootID > operation.BootID: // already serves again, so its pool must not change
		return commitStep(Returning, ReasonUndrainedElsewhere)
	case sent:
		return rebootProgress(s)
	case operation.Aborted:
		return commitStep(Returning, ReasonAborted)
	case s.Rejected == CallReboot:
		return commitStep(Returning, ReasonPlatformRejected)
	case s.Observed.Status == StatusLive:
		return commitStep(Draining, ReasonUndrainedElsewhere)
	case !s.DisruptionAllowed:
		return waitStep(ReasonDisruptionNotAllowed)
	}
	if reason, busy := workInFlight(s.Observed); busy {
		return waitStep(reason)
	}
	return s.callStep(CallReboot)
}

func rebootProgress(s *Snapshot) Step {
	if s.Now.Sub(s.Worker.Since) > RebootTimeout {
		return Step{Kind: StepFail, State: Failed, Reason: ReasonRebootTimeout}
	}
	return waitStep(ReasonRebootInProgress)
}

func stepReturning(s *Snapshot) Step {
	operation := s.Worker.Operation
	moved := operation.ToPool != "" && operation.ToPool == s.Worker.Pool
	assigned := !moved || s.Observed.Pool == s.Worker.Pool ||
		s.Observed.LastOperationID == CallID(operation, CallAssign, s.Observed.BootID) || s.Rejected == CallAssign
	switch {
	case s.Observed.Status == StatusRebooting:
		return rebootProgress(s)
	case s.Observed.Status == StatusLive:
		return Step{Kind: StepFinish, State: Serving, Reason: ReasonOperationDone}
	case s.Rejected == CallUndrain:
		return Step{Kind: StepFail, State: Failed, Reason: ReasonPlatformRejected}
	case !s.CallAllowed:
		return waitStep(ReasonDisruptionNotAllowed)
	case !assigned:
		return s.callStep(CallAssign)
	}
	return s.callStep(CallUndrain)
}
