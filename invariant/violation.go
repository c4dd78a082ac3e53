package invariant

import (
	"fmt"
	"strings"

	"github.com/waxwingbridge/waxwingbridge/outcome"
	"github.com/waxwingbridge/waxwingbridge/policy"
)

// Number identifies an invariant of section 1 of docs/design.md.
type Number int

// The invariants.
const (
	DisruptionBudget   Number = iota + 1 // each pool keeps its disruption budget throughout every wave
	SinglePool                           // every worker belongs to exactly one pool
	CompleteResponse                     // a caller receives the complete response to its own request
	NotRunAccurate                       // a request with the outcome not run was not executed
	AtMostOnce                           // a non-idempotent request is executed at most once
	NoWorkWhileLeaving                   // a leaving target receives no new work after LeavingGracePeriod
	GracefulStop                         // a planned stop interrupts no request in flight
	ConfigConvergence                    // an accepted configuration is in force everywhere within InForceTimeout and is never reverted
)

// Violation is evidence that an invariant does not hold.
type Violation interface {
	Invariant() Number
	fmt.Stringer
}

type (
	// BudgetViolated says that planned operations took a pool or availability zone
	// below its floor of available workers.
	BudgetViolated struct {
		Pool, AvailabilityZone   string // zone is empty for the budget of the whole pool
		Started                  []string
		Available, Failed, Floor int
		FleetRevision            uint64
	}
	// InvalidFleetDocument says that a fleet document does not list each worker once
	// in one pool, or changes the pool of a worker in service.
	InvalidFleetDocument struct {
		Worker        string
		Problem       string
		FleetRevision uint64
	}
	// WrongPool says that a worker outside the pool of a request executed it.
	WrongPool struct{ Request, Pool, Worker, WorkerPool string }
	// FleetReverted says that a fleet document with a lower epoch or revision
	// replaced a higher one in the store.
	FleetReverted struct{ FromEpoch, FromRevision, ToEpoch, ToRevision uint64 }
	// IncorrectResponse says that a caller received something else than the complete
	// response to its request.
	IncorrectResponse struct{ Request, Key, Problem string }
	// ExecutedDespiteNotRun says that a request was executed although its caller
	// received the outcome not run.
	ExecutedDespiteNotRun struct {
		Request, Key string
		Reason       outcome.Reason
		Executions   int
	}
	// DuplicateExecution says that a non-idempotent request was executed more than once.
	DuplicateExecution struct {
		Request, Key string
		Executions   int
	}
	// ReceivedWhileLeaving says that a target received requests more than
	// LeavingGracePeriod after it began to leave.
	ReceivedWhileLeaving struct {
		Worker        string
		State         string
		LeavingFor    string
		Before, After int // requests that the target had received
	}
	// RequestsInterrupted says that a planned stop interrupted requests in flight.
	RequestsInterrupted struct {
		Worker   string
		Requests int
	}
	// UnplannedOperation says that the platform executed an operation that no fleet
	// document contained.
	UnplannedOperation struct{ Worker, Kind, Operation string }
	// ConfigReverted says that the revision of a process or of the store decreased.
	ConfigReverted struct {
		Process  string
		From, To policy.Revision
	}
	// ConfigRevisionConflict says that two accepted changes or two documents share a revision.
	ConfigRevisionConflict struct {
		Revision      policy.Revision
		First, Second string // write IDs
	}
	// ConfigOverdue says that an accepted configuration was not in force in a process
	// within InForceTimeout.
	ConfigOverdue struct {
		Process            string
		Accepted, Revision policy.Revision
		After              string
	}
)

// Invariant implements Violation.
func (BudgetViolated) Invariant() Number { return DisruptionBudget }

// Invariant implements Violation.
func (InvalidFleetDocument) Invariant() Number { return SinglePool }

// Invariant implements Violation.
func (WrongPool) Invariant() Number { return SinglePool }

// Invariant implements Violation.
func (FleetReverted) Invariant() Number { return SinglePool }

// Invariant implements Violation.
func (IncorrectResponse) Invariant() Number { return CompleteResponse }

// Invariant implements Violation.
func (ExecutedDespiteNotRun) Invariant() Number { return NotRunAccurate }

// Invariant implements Violation.
func (DuplicateExecution) Invariant() Number { return AtMostOnce }

// Invariant implements Violation.
func (ReceivedWhileLeaving) Invariant() Number { return NoWorkWhileLeaving }

// Invariant implements Violation.
func (RequestsInterrupted) Invariant() Number { return GracefulStop }

// Invariant implements Violation.
func (UnplannedOperation) Invariant() Number { return GracefulStop }

// Invariant implements Violation.
func (ConfigReverted) Invariant() Number { return ConfigConvergence }

// Invariant implements Violation.
func (ConfigRevisionConflict) Invariant() Number { return ConfigConvergence }

// Invariant implements Violation.
func (ConfigOverdue) Invariant() Number { return ConfigConvergence }

func (v BudgetViolated) String() string {
	scope := "pool " + v.Pool
	if v.AvailabilityZone != "" {
		scope += " in " + v.AvailabilityZone
	}
	return fmt.Sprintf("fleet revision %d: operations %s started in %s, which has %d available workers (and %d that failed at the same time) and a floor of %d",
		v.FleetRevision, strings.Join(v.Started, ", "), scope, v.Available, v.Failed, v.Floor)
}

func (v InvalidFleetDocument) String() string {
	return fmt.Sprintf("fleet revision %d: worker %q %s", v.FleetRevision, v.Worker, v.Problem)
}

func (v WrongPool) String() string {
	return fmt.Sprintf("request %s to pool %s was executed by worker %s of pool %s", v.Request, v.Pool, v.Worker, v.WorkerPool)
}

func (v FleetReverted) String() string {
	return fmt.Sprintf("the fleet document went from epoch %d, revision %d to epoch %d, revision %d",
		v.FromEpoch, v.FromRevision, v.ToEpoch, v.ToRevision)
}

func (v IncorrectResponse) String() string {
	return fmt.Sprintf("request %s (key %q) received an incorrect response: %s", v.Request, v.Key, v.Problem)
}

func (v ExecutedDespiteNotRun) String() string {
	return fmt.Sprintf("request %s (key %q) has the outcome not run (%s), but was executed %d times", v.Request, v.Key, v.Reason, v.Executions)
}

func (v DuplicateExecution) String() string {
	return fmt.Sprintf("non-idempotent request %s (key %q) was executed %d times", v.Request, v.Key, v.Executions)
}

func (v ReceivedWhileLeaving) String() string {
	return fmt.Sprintf("worker %s (%s) has been leaving for %s, but its received requests rose from %d to %d",
		v.Worker, v.State, v.LeavingFor, v.Before, v.After)
}

func (v RequestsInterrupted) String() string {
	return fmt.Sprintf("a planned stop of worker %s interrupted %d requests in flight", v.Worker, v.Requests)
}

func (v UnplannedOperation) String() string {
	return fmt.Sprintf("the platform executed %s of worker %s as %q, which no fleet document contained", v.Kind, v.Worker, v.Operation)
}

func (v ConfigReverted) String() string {
	return fmt.Sprintf("%s reverted from configuration revision %d to %d", v.Process, v.From, v.To)
}

func (v ConfigRevisionConflict) String() string {
	return fmt.Sprintf("configuration revision %d belongs to write %q and to write %q", v.Revision, v.First, v.Second)
}

func (v ConfigOverdue) String() string {
	return fmt.Sprintf("%s has configuration revision %d in force, but revision %d was accepted %s ago", v.Process, v.Revision, v.Accepted, v.After)
}
