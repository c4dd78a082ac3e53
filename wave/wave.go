// Package wave plans maintenance waves: which workers to disrupt next within the
// availability budgets, one failure domain per pool at a time, beginning with a
// canary, widening while results stay clean and halting on correlated failures.
package wave

import (
	"fmt"
	"time"

	"github.com/waxwingbridge/waxwingbridge/budget"
	"github.com/waxwingbridge/waxwingbridge/fleet"
	"github.com/waxwingbridge/waxwingbridge/policy"
)

// Reason is the typed reason why a worker, a pool or the wave waits or halts.
type Reason string

// The reasons.
const (
	ReasonNoWave               Reason = "no-wave"
	ReasonWavePaused           Reason = "wave-paused"
	ReasonWaveHalted           Reason = "wave-halted"
	ReasonWaveAborted          Reason = "wave-aborted"
	ReasonWaveDone             Reason = "wave-done"
	ReasonDisruptionNotAllowed Reason = "disruption-not-allowed" // store unreachable or lease too short
	ReasonUnknownWorker        Reason = "unknown-worker"
	ReasonPoolNotInWave        Reason = "pool-not-in-wave"
	ReasonAlreadyMaintained    Reason = "already-maintained"
	ReasonOperationInProgress  Reason = "operation-in-progress"
	ReasonWorkerNotServing     Reason = "worker-not-serving"
	ReasonStartingNow          Reason = "starting-now"
	ReasonCanaryRunning        Reason = "canary-running"         // the first batch has not finished
	ReasonBatchFull            Reason = "batch-full"             // the wave disrupts as many workers as it may
	ReasonRebootLimit          Reason = "reboot-limit"           // max_concurrent_reboots
	ReasonOtherDomainDisrupted Reason = "other-domain-disrupted" // the pool has a disrupted worker in another rack or zone
	ReasonSpareInTransit       Reason = "spare-on-its-way"
	ReasonLentToOtherPool      Reason = "lent-to-other-pool" // a spare that moves into a pool without slack
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

// Input is what a plan depends on.
type Input struct {
	Now       time.Time
	Tables    *fleet.Tables
	Effective *policy.Effective
	Demand    budget.Demand
	// SpareReserve is the number of spare workers that have to stay serving in the
	// spare pool, from budget.JointBuffer.
	SpareReserve      int
	DisruptionAllowed bool
}

// DecisionKind names what a plan decides.
type DecisionKind string

// The kinds of decision.
const (
	DecisionMaintain DecisionKind = "maintain"  // drain, reboot and return Worker
	DecisionBorrow   DecisionKind = "borrow"    // move the spare Worker into pool ToPool
	DecisionRotate   DecisionKind = "rotate"    // maintain Worker, which then takes a borrowed spare's place in ToPool
	DecisionGiveBack DecisionKind = "give-back" // move Worker into the spare pool ToPool in place of a borrowed spare
	DecisionWait     DecisionKind = "wait"      // Pool has pending workers of which none can start
	DecisionHalt     DecisionKind = "halt"      // halt the wave
	DecisionDone     DecisionKind = "done"      // every worker in scope is maintained
)

// Decision is one result of a plan.
type Decision struct {
	Kind   DecisionKind
	Worker string
	Pool   string // present pool of Worker, or the waiting pool
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

// Start starts a wave. One that is running, paused or halted has to end first.
func Start(t *fleet.Tables, effective *policy.Effective, start Spec, now time.Time) error {
	if wave := t.Wave; wave != nil && wave.Status != fleet.WaveDone && wave.Status != fleet.WaveAborted {
		return &StateError{wave.ID, wave.Status, "replace"}
	}
	for _, pool := range start.Pools {
		if _, ok := effective.Pool(pool); !ok {
			return &PoolError{pool}
		}
	}
	t.Wave = &fleet.Wave{
		ID: start.ID, Status: fleet.WaveRunning, Pools: start.Pools, StartedAt: now, Operator: start.Operator,
		Canary: canary(effective), Width: canary(effective),
	}
	t.MarkDirty()
	return nil
}

func canary(effective *policy.Effective) int { return max(1, effective.Site().CanaryWorkers) }

// Pause stops new disruptions; operations in progress end normally.
func Pause(t *fleet.Tables, reason string) error {
	return change(t, "pause", fleet.WavePaused, reason, fleet.WaveRunning)
}

// Resume continues a paused or halted wave. After a halt the wave starts again
// with a canary and forgets the failures that caused the halt.
func Resume(t *fleet.Tables, effective *policy.Effective) error {
	halted := t.Wave != nil && t.Wave.Status == fleet.WaveHalted
	if err := change(t, "resume", fleet.WaveRunning, "", fleet.WavePaused, fleet.WaveHalted); err != nil {
		return err
	}
	if halted {
		wave := t.Wave
		wave.FailedWorkers, wave.BatchFailures, wave.Streak = nil, 0, 0
		wave.Canary, wave.Width = canary(effective), canary(effective)
	}
	return nil
}

// Abort ends the wave for good and returns its workers to service.
func Abort(t *fleet.Tables, reason string) error {
	err := change(t, "abort", fleet.WaveAborted, reason, fleet.WaveRunning, fleet.WavePaused, fleet.WaveHalted)
	if err != nil {
		return err
	}
	return abortOperations(t)
}

func change(t *fleet.Tables, request string, to fleet.WaveStatus, reason string, from ...fleet.WaveStatus) error {
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

// abortOperations returns the workers of the wave to service. A reboot that was
// already sent is waited for.
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

// Apply records a decision in the tables. The operation ID is used by decisions
// that start an operation and must be unique. A halt also aborts the wave's
// operations, so that no further worker gets what failed on the others.
func Apply(t *fleet.Tables, decision Decision, operation string, now time.Time) error {
	kinds := map[DecisionKind]fleet.OperationKind{
		DecisionMaintain: fleet.OperationMaintain, DecisionBorrow: fleet.OperationMove, DecisionRotate: fleet.OperationRotate,
		DecisionGiveBack: fleet.OperationMove,
	}
	switch decision.Kind {
	case DecisionWait:
		return nil
	case DecisionHalt:
		if err := change(t, "halt", fleet.WaveHalted, string(decision.Reason), fleet.WaveRunning); err != nil {
			return err
		}
		return abortOperations(t)
	case DecisionDone:
		return change(t, "finish", fleet.WaveDone, "", fleet.WaveRunning)
	}
	if t.Wave == nil {
		return &StateError{"", "", string(decision.Kind)}
	}
	return t.StartOperation(fleet.OperationSpec{
		OperationID: operation, Kind: kinds[decision.Kind], Worker: decision.Worker, ToPool: decision.ToPool,
		Wave: t.Wave.ID, Operator: t.Wave.Operator,
	}, now)
}
