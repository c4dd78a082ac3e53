// Package wave plans maintenance waves. It decides which workers to disrupt next
// within the availability budgets, in one failure domain per pool at a time. A wave
// starts with a canary batch, widens while its operations succeed and halts on
// correlated failures.
package wave

import (
	"fmt"
	"time"

	"github.com/waxwingbridge/waxwingbridge/budget"
	"github.com/waxwingbridge/waxwingbridge/fleet"
	"github.com/waxwingbridge/waxwingbridge/policy"
)

// Reason says why a worker, a pool or the wave waits or halts.
type Reason string

// Reasons to wait or to halt.
const (
	ReasonNoWave               Reason = "no-wave"
	ReasonWavePaused           Reason = "wave-paused"
	ReasonWaveHalted           Reason = "wave-halted"
	ReasonWaveAborted          Reason = "wave-aborted"
	ReasonWaveDone             Reason = "wave-done"
	ReasonDisruptionNotAllowed Reason = "disruption-not-allowed" // store unreachable, lease too short or power cap reached
	ReasonUnknownWorker        Reason = "unknown-worker"
	ReasonPoolNotInWave        Reason = "pool-not-in-wave"
	ReasonAlreadyMaintained    Reason = "already-maintained"
	ReasonOperationInProgress  Reason = "operation-in-progress"
	ReasonWorkerNotServing     Reason = "worker-not-serving"
	ReasonStartingNow          Reason = "starting-now"
	ReasonCanaryRunning        Reason = "canary-running"         // the canary batch is still in progress
	ReasonBatchFull            Reason = "batch-full"             // as many workers are disrupted as the width of the wave allows
	ReasonRebootLimit          Reason = "reboot-limit"           // max_concurrent_reboots
	ReasonOtherDomainDisrupted Reason = "other-domain-disrupted" // the pool has a disrupted worker in another rack or zone
	ReasonSpareInTransit       Reason = "spare-on-its-way"
	ReasonLentToOtherPool      Reason = "lent-to-other-pool" // the worker is a spare that moves to a pool without slack
	ReasonNoSpare              Reason = "no-spare-available"
	ReasonSpareReserved        Reason = "spare-reserved" // the joint buffer needs all serving spares

	ReasonPoolFloor          = Reason(budget.ShortagePoolFloor)
	ReasonZoneFloor          = Reason(budget.ShortageZoneFloor)
	ReasonDemand             = Reason(budget.ShortageDemand)
	ReasonReceivingPoolFloor = Reason(budget.ShortageReceivingPool)

	ReasonRackFailures  Reason = "correlated-failures-in-rack"
	ReasonBatchFailures Reason = "correlated-failures-in-batch"
	ReasonZoneLost      Reason = "availability-zone-lost"
)

// Input holds everything that a plan depends on.
type Input struct {
	Now       time.Time
	Tables    *fleet.Tables
	Effective *policy.Effective
	Demand    budget.Demand
	// SpareReserve is the number of workers that must keep serving in the spare
	// pool. It is the Required field of budget.JointBuffer.
	SpareReserve      int
	DisruptionAllowed bool
}

// DecisionKind is the kind of a planned decision.
type DecisionKind string

// Kinds of decision.
const (
	DecisionMaintain DecisionKind = "maintain"  // drain, reboot and return Worker
	DecisionBorrow   DecisionKind = "borrow"    // move the spare Worker to ToPool
	DecisionRotate   DecisionKind = "rotate"    // maintain Worker and move it to the spare pool ToPool, where it replaces a borrowed spare
	DecisionGiveBack DecisionKind = "give-back" // move Worker to the spare pool ToPool, where it replaces a borrowed spare
	DecisionWait     DecisionKind = "wait"      // no waiting worker of Pool can start; an empty Pool means the whole wave
	DecisionHalt     DecisionKind = "halt"      // halt the wave
	DecisionDone     DecisionKind = "done"      // every worker in scope is maintained
)

// Decision is one element of a plan.
type Decision struct {
	Kind   DecisionKind
	Worker string
	Pool   string // current pool of Worker, or the pool that waits
	ToPool string
	Reason Reason
}

// StateError reports a request that the status of the wave does not allow.
type StateError struct {
	Wave    string
	Status  fleet.WaveStatus
	Request string
}

func (e *StateError) Error() string {
	return fmt.Sprintf("wave: cannot %s wave %q in status %q", e.Request, e.Wave, e.Status)
}

// PoolError reports a pool that the configuration does not declare.
type PoolError struct{ Pool string }

func (e *PoolError) Error() string { return fmt.Sprintf("wave: pool %q is not declared", e.Pool) }

// Spec describes a wave to start.
type Spec struct {
	ID       string
	Pools    []string // empty means all
	Operator string
}

// Start starts a wave. It returns a StateError while another wave is running,
// paused or halted.
func Start(t *fleet.Tables, effective *policy.Effective, spec Spec, now time.Time) error {
	if wave := t.Wave; wave != nil && wave.Status != fleet.WaveDone && wave.Status != fleet.WaveAborted {
		return &StateError{wave.ID, wave.Status, "replace"}
	}
	for _, pool := range spec.Pools {
		if _, ok := effective.Pool(pool); !ok {
			return &PoolError{pool}
		}
	}
	t.Wave = &fleet.Wave{
		ID: spec.ID, Status: fleet.WaveRunning, Pools: spec.Pools, StartedAt: now, Operator: spec.Operator,
		Canary: canarySize(effective), Width: canarySize(effective),
	}
	t.MarkDirty()
	return nil
}

func canarySize(effective *policy.Effective) int { return max(1, effective.Site().CanaryWorkers) }

// Pause stops new disruptions; operations in progress end normally.
func Pause(t *fleet.Tables, reason string) error {
	return changeStatus(t, "pause", fleet.WavePaused, reason, fleet.WaveRunning)
}

// Resume continues a paused or halted wave. After a halt the wave restarts with a
// canary batch and clears the failures that caused the halt.
func Resume(t *fleet.Tables, effective *policy.Effective) error {
	halted := t.Wave != nil && t.Wave.Status == fleet.WaveHalted
	if err := changeStatus(t, "resume", fleet.WaveRunning, "", fleet.WavePaused, fleet.WaveHalted); err != nil {
		return err
	}
	if halted {
		wave := t.Wave
		wave.FailedWorkers, wave.BatchFailures, wave.Streak = nil, 0, 0
		wave.Canary, wave.Width = canarySize(effective), canarySize(effective)
	}
	return nil
}

// Abort ends the wave permanently and returns its workers to service.
func Abort(t *fleet.Tables, reason string) error {
	err := changeStatus(t, "abort", fleet.WaveAborted, reason, fleet.WaveRunning, fleet.WavePaused, fleet.WaveHalted)
	if err != nil {
		return err
	}
	return abortOperations(t)
}

func changeStatus(t *fleet.Tables, request string, to fleet.WaveStatus, reason string, from ...fleet.WaveStatus) error {
	if t.Wave == nil {
		return &StateError{"", "", request}
	}
	for _, status := range from {
		if t.Wave.Status == status {
			t.Wave.Status, t.Wave.Reason = to, reason
			t.MarkDirty()
			return nil
		}
	}
	return &StateError{t.Wave.ID, t.Wave.Status, request}
}

// abortOperations returns the workers of the wave to service. A reboot that has
// already been requested completes first.
func abortOperations(t *fleet.Tables) error {
	for _, operation := range t.Operations.All() {
		if operation.Wave != t.Wave.ID {
			continue
		}
		if err := t.AbortOperation(t.Workers.Get(operation.Worker).ID); err != nil {
			return err
		}
	}
	return nil
}

// Apply records a decision in the tables. The operation ID must be unique; only
// decisions that start an operation use it. A halt also aborts the operations of
// the wave, so that maintenance that failed on some workers reaches no others.
func Apply(t *fleet.Tables, decision Decision, operationID string, now time.Time) error {
	operationKinds := map[DecisionKind]fleet.OperationKind{
		DecisionMaintain: fleet.OperationMaintain, DecisionBorrow: fleet.OperationMove, DecisionRotate: fleet.OperationRotate,
		DecisionGiveBack: fleet.OperationMove,
	}
	switch decision.Kind {
	case DecisionWait:
		return nil
	case DecisionHalt:
		if err := changeStatus(t, "halt", fleet.WaveHalted, string(decision.Reason), fleet.WaveRunning); err != nil {
			return err
		}
		return abortOperations(t)
	case DecisionDone:
		return changeStatus(t, "finish", fleet.WaveDone, "", fleet.WaveRunning)
	}
	if t.Wave == nil {
		return &StateError{"", "", string(decision.Kind)}
	}
	return t.StartOperation(fleet.OperationSpec{
		OperationID: operationID, Kind: operationKinds[decision.Kind], Worker: decision.Worker, ToPool: decision.ToPool,
		Wave: t.Wave.ID, Operator: t.Wave.Operator,
	}, now)
}
