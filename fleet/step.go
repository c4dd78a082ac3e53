package fleet

import (
	"fmt"
	"time"
)

// RebootTimeout is the longest time a reboot may take. A worker that takes
// longer is failed, so that a hanging machine does not hold up its wave.
const RebootTimeout = 30 * time.Minute

// Snapshot is everything on which the next step of an operation depends. It
// holds no memory of earlier steps, so a new controller continues from it.
type Snapshot struct {
	Now    time.Time
	Worker Worker // with its operation
	// Durable reports that the last change of the worker is in the store.
	Durable bool
	// Observed is the platform's answer to a direct question about the worker,
	// asked after its last call had returned; nil without an answer. The lagging
	// list must not be used here, because its counts may be older than the drain.
	Observed *Observation
	// GatewaysAcknowledged reports that every gateway acknowledged the start
	// revision or lost the right to send.
	GatewaysAcknowledged bool
	// DisruptionAllowed reports that the store is reachable and the lease lasts
	// longer than the timeout of a platform call.
	DisruptionAllowed bool
	// CallAllowed reports only the condition on the lease. Calls that return a
	// worker to service need no more than it.
	CallAllowed bool
	// CallOutcomeUnknown reports that a call for the worker timed out and may still take
	// effect, or that the predecessor's last call may. Returning a worker to
	// service now could let a late reboot cut off its new requests.
	CallOutcomeUnknown bool
	// UnacknowledgedGatewayMaySend reports that a gateway that did not acknowledge the start
	// revision may still send requests. The worker must not stop while one is in transit.
	UnacknowledgedGatewayMaySend bool
	// Rejected is the call that the platform refused for good in the current
	// state, empty without one.
	Rejected CallKind
}

// StepKind names what to do next.
type StepKind string

// The kinds of step.
const (
	StepWait   StepKind = "wait"
	StepCall   StepKind = "call"
	StepCommit StepKind = "commit" // change the state, and possibly the pool, in the document
	StepFinish StepKind = "finish" // the operation ends without a failure
	StepFail   StepKind = "fail"   // the operation ends and the worker is failed
)

// CallKind names a call of the platform.
type CallKind string

// The platform calls of operations.
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
	OperationID string // makes a repeat idempotent
}

// Step is the decision about an operation.
type Step struct {
	Kind   StepKind
	Reason Reason
	Call   Call   // of StepCall
	State  State  // new state of StepCommit, StepFinish and StepFail
	Pool   string // new pool of StepCommit, empty for no change
	BootID int64  // highest boot ID seen
}

// CallID derives the operation ID of a platform call. The ID of a reboot
// depends on the boot before the operation, so a repeat never reboots twice.
// The other IDs depend on the present boot, because a worker that restarted on
// its own has to be drained again.
func CallID(operation *Operation, kind CallKind, bootID int64) string {
	if kind == CallReboot {
		bootID = operation.BootID
	}
	return fmt.Sprintf("%s/%s/%d", operation.ID, kind, bootID)
}

func wait(reason Reason) Step { return Step{Kind: StepWait, Reason: reason} }

func commit(state State, reason Reason) Step {
	return Step{Kind: StepCommit, State: state, Reason: reason}
}

func (s *Snapshot) call(kind CallKind) Step {
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
		return wait(ReasonNoOperation)
	case !s.Durable:
		return wait(ReasonCommitPending)
	case s.CallOutcomeUnknown:
		return wait(ReasonCallOutcomeUnknown)
	case s.Observed == nil:
		return wait(ReasonNoObservation)
	case !s.Observed.Status.valid():
		return wait(ReasonUnexpectedStatus)
	case s.held() && s.Observed.Status != StatusLive && s.Observed.Status != StatusLeaving:
		return wait(ReasonHeldDrained)
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

// held reports that an operator keeps the worker drained. A restart or repair of
// the machine does not end that.
func (s *Snapshot) held() bool {
	operation := s.Worker.Operation
	return operation.Kind == OperationDrain && s.Worker.State == Drained && !operation.Aborted
}

func stepDraining(s *Snapshot) Step {
	switch {
	case s.Worker.Operation.Aborted:
		return commit(Returning, ReasonAborted)
	case s.Rejected == CallDrain:
		return commit(Returning, ReasonPlatformRejected)
	case !s.GatewaysAcknowledged:
		return wait(ReasonGatewayAcknowledgment)
	case !s.DisruptionAllowed:
		return wait(ReasonDisruptionNotAllowed)
	case s.Observed.Status == StatusRebooting: // restarted on its own
		return Step{Kind: StepFail, State: Failed, Reason: ReasonUnexpectedStatus}
	case s.Observed.Status == StatusLive:
		return s.call(CallDrain)
	}
	if reason, busy := inFlight(s.Observed); busy {
		return wait(reason)
	}
	if s.UnacknowledgedGatewayMaySend {
		return wait(ReasonGatewayAcknowledgment)
	}
	return commit(Drained, ReasonOperationAdvanced)
}

// inFlight reports whether the target still works. Only counts of a worker that
// refuses new work prove that it is idle.
func inFlight(observed *Observation) (Reason, bool) {
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
		return commit(Returning, ReasonAborted)
	case s.Observed.Status == StatusRebooting: // restarted on its own
		return Step{Kind: StepFail, State: Failed, Reason: ReasonUnexpectedStatus}
	case s.Observed.Status == StatusLive:
		return commit(Draining, ReasonUndrainedElsewhere)
	case !s.DisruptionAllowed:
		return wait(ReasonDisruptionNotAllowed)
	}
	if reason, busy := inFlight(s.Observed); busy {
		return wait(reason)
	}
	if operation.Kind == OperationMove {
		return returning(s)
	}
	return commit(Rebooting, ReasonOperationAdvanced)
}

// returning turns the worker towards service, in its new pool if the operation
// changes the pool and was not aborted.
func returning(s *Snapshot) Step {
	step := commit(Returning, ReasonOperationAdvanced)
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
		return rebootingOrTimeout(s)
	case s.Observed.BootID > operation.BootID && s.Observed.Status == StatusDraining:
		return returning(s)
	case s.Observed.BootID > operation.BootID: // serves again already, so its pool must not change
		return commit(Returning, ReasonUndrainedElsewhere)
	case sent:
		return rebootingOrTimeout(s)
	case operation.Aborted:
		return commit(Returning, ReasonAborted)
	case s.Rejected == CallReboot:
		return commit(Returning, ReasonPlatformRejected)
	case s.Observed.Status == StatusLive:
		return commit(Draining, ReasonUndrainedElsewhere)
	case !s.DisruptionAllowed:
		return wait(ReasonDisruptionNotAllowed)
	}
	if reason, busy := inFlight(s.Observed); busy {
		return wait(reason)
	}
	return s.call(CallReboot)
}

func rebootingOrTimeout(s *Snapshot) Step {
	if s.Now.Sub(s.Worker.Since) > RebootTimeout {
		return Step{Kind: StepFail, State: Failed, Reason: ReasonRebootTimeout}
	}
	return wait(ReasonRebootInProgress)
}

func stepReturning(s *Snapshot) Step {
	operation := s.Worker.Operation
	moved := operation.ToPool != "" && operation.ToPool == s.Worker.Pool
	assigned := !moved || s.Observed.Pool == s.Worker.Pool ||
		s.Observed.LastOperationID == CallID(operation, CallAssign, s.Observed.BootID) || s.Rejected == CallAssign
	switch {
	case s.Observed.Status == StatusRebooting:
		return rebootingOrTimeout(s)
	case s.Observed.Status == StatusLive:
		return Step{Kind: StepFinish, State: Serving, Reason: ReasonOperationDone}
	case s.Rejected == CallUndrain:
		return Step{Kind: StepFail, State: Failed, Reason: ReasonPlatformRejected}
	case !s.CallAllowed:
		return wait(ReasonDisruptionNotAllowed)
	case !assigned:
		return s.call(CallAssign)
	}
	return s.call(CallUndrain)
}
