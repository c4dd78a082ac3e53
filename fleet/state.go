package fleet

import (
	"fmt"
	"slices"
)

// Reason says why a step waits, a state changes or a request is refused.
type Reason string

// Reasons of steps, state changes and refusals.
const (
	ReasonCommitPending         Reason = "commit-pending"         // the intent is not in the store yet
	ReasonGatewayAcknowledgment Reason = "gateway-acknowledgment" // a gateway may still send requests to the worker
	ReasonDisruptionNotAllowed  Reason = "disruption-not-allowed" // store unreachable or lease too short
	ReasonNoObservation         Reason = "no-observation"         // the platform has not answered for the worker
	ReasonRequestsInFlight      Reason = "requests-in-flight"
	ReasonTasksInFlight         Reason = "tasks-in-flight"
	ReasonHeldDrained           Reason = "held-drained" // an operator keeps the worker drained
	ReasonRebootInProgress      Reason = "reboot-in-progress"
	ReasonWorkerDown            Reason = "worker-down"
	ReasonWorkerLeaving         Reason = "worker-leaving"
	ReasonCallOutcomeUnknown    Reason = "platform-call-unsettled" // a call without an answer may still take effect
	ReasonRebootTimeout         Reason = "reboot-timeout"
	ReasonPlatformRejected      Reason = "platform-rejected"
	ReasonAborted               Reason = "aborted"
	ReasonOperationStarted      Reason = "operation-started"
	ReasonOperationAdvanced     Reason = "operation-advanced"
	ReasonOperationDone         Reason = "operation-done"
	ReasonUndrainedElsewhere    Reason = "undrained-elsewhere" // the worker accepts requests again although this operation did not undrain it
	ReasonRecovered             Reason = "recovered"
	ReasonMissingFromList       Reason = "missing-from-list"
	ReasonListed                Reason = "listed"
	ReasonUnexpectedStatus      Reason = "unexpected-status"
	ReasonNoOperation           Reason = "no-operation"
	ReasonOperationInProgress   Reason = "operation-in-progress"
	ReasonNotServing            Reason = "not-serving"
	ReasonUnknownWorker         Reason = "unknown-worker"
	ReasonUnknownPool           Reason = "unknown-pool"
	ReasonQuarantine            Reason = "quarantine"
)

// transitions lists the states that may follow each state.
var transitions = map[State][]State{
	Serving:     {Draining, Returning, Suspected, Failed, Leaving, Quarantined},
	Draining:    {Drained, Returning, Failed, Leaving},
	Drained:     {Draining, Rebooting, Returning, Failed, Leaving},
	Rebooting:   {Draining, Returning, Failed, Leaving},
	Returning:   {Serving, Failed, Leaving},
	Suspected:   {Serving, Returning, Failed, Leaving},
	Failed:      {Serving, Returning, Leaving},
	Leaving:     {Failed},
	Unknown:     {Serving, Returning, Suspected, Failed, Leaving},
	Quarantined: {Serving, Returning, Suspected, Failed, Leaving},
}

// TransitionError reports a state change that the state machine does not allow.
type TransitionError struct {
	Worker   string
	From, To State
}

func (e *TransitionError) Error() string {
	return fmt.Sprintf("fleet: worker %s cannot change from %s to %s", e.Worker, e.From, e.To)
}

// CanTransition reports whether to may follow from.
func CanTransition(from, to State) bool { return slices.Contains(transitions[from], to) }

// RequestError reports a request, from an operator or from the planner, that the
// state of the worker does not allow.
type RequestError struct {
	Worker string
	State  State
	Reason Reason
}

func (e *RequestError) Error() string {
	return fmt.Sprintf("fleet: request for worker %s in state %q refused: %s", e.Worker, e.State, e.Reason)
}
