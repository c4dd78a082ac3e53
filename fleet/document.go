// Package fleet holds the fleet document, the state machine of a worker and the
// steps of the operations that drain, reboot and move workers. The document is one
// value in the store with one row per worker, so that every worker belongs to exactly
// one pool by construction.
package fleet

import "time"

// State is the lifecycle state of a worker.
type State string

// States of a worker. Only Serving counts as available.
const (
	Serving     State = "serving"
	Draining    State = "draining"
	Drained     State = "drained"
	Rebooting   State = "rebooting"
	Returning   State = "returning"
	Suspected   State = "suspected"
	Failed      State = "failed"
	Leaving     State = "leaving"
	Unknown     State = "unknown"
	Quarantined State = "quarantined"
)

// Available reports whether the worker counts towards its pool's budget and may
// receive new requests.
func (s State) Available() bool { return s == Serving }

// OperationKind is the kind of a planned operation.
type OperationKind string

// Kinds of planned operation.
const (
	OperationMaintain OperationKind = "maintain" // drain, reboot, return
	OperationDrain    OperationKind = "drain"    // drain and stay drained until an operator returns it
	OperationMove     OperationKind = "move"     // drain, change pool, return
	OperationRotate   OperationKind = "rotate"   // drain, reboot, change pool, return; the worker replaces a borrowed spare in the spare pool
)

// Operation is a planned disruption of one worker. It is stored in the fleet
// document before the platform is called.
type Operation struct {
	ID       string        `json:"id"`
	Kind     OperationKind `json:"kind"`
	ToPool   string        `json:"to_pool,omitempty"`
	Wave     string        `json:"wave,omitempty"`
	Operator string        `json:"operator,omitempty"`
	Reason   string        `json:"reason,omitempty"`
	Aborted  bool          `json:"aborted,omitempty"` // return the worker to service as soon as possible
	// StartRevision is the fleet revision that made the intent durable; gateways
	// acknowledge it before the platform is called.
	StartRevision uint64 `json:"start_revision"`
	// BootID is the boot that the worker had before the operation.
	BootID int64 `json:"boot_id"`
}

// Worker is one row of the document.
type Worker struct {
	ID               string     `json:"id"`
	Pool             string     `json:"pool"`
	State            State      `json:"state"`
	Since            time.Time  `json:"since"`
	Address          string     `json:"address"`
	AvailabilityZone string     `json:"az"`
	Rack             string     `json:"rack"`
	Operation        *Operation `json:"op,omitempty"`
	MaintainedAt     time.Time  `json:"maintained_at,omitzero"`
	StateReason      Reason     `json:"note,omitempty"` // reason of the last state change
	// BootID is the highest boot ID seen. A report with a lower one is older than
	// the document.
	BootID int64 `json:"boot_id,omitempty"`
}

// WaveStatus is the state of a maintenance wave.
type WaveStatus string

// States of a wave.
const (
	WaveRunning WaveStatus = "running"
	WavePaused  WaveStatus = "paused"
	WaveHalted  WaveStatus = "halted"
	WaveAborted WaveStatus = "aborted"
	WaveDone    WaveStatus = "done"
)

// Wave is the maintenance wave in progress. A worker is done when its
// MaintainedAt is not before StartedAt.
type Wave struct {
	ID        string     `json:"id"`
	Status    WaveStatus `json:"status"`
	Pools     []string   `json:"pools"` // empty means all
	StartedAt time.Time  `json:"started_at"`
	Operator  string     `json:"operator"`
	Reason    string     `json:"reason,omitempty"` // why it was halted, paused or aborted
	Failures  int        `json:"failures"`
	Moves     int        `json:"moves"`
	Clean     int        `json:"clean"` // maintained workers without a failure
	// Canary is the size of the first batch.
	Canary int `json:"canary"`
	// Width is the largest number of workers that the wave disrupts at once. After
	// the canary it grows by widenStep with each clean result.
	Width int `json:"width"`
	// Streak counts the clean results since the last failure or since the wave
	// widened beyond its canary.
	Streak int `json:"streak"`
	// BatchFailures counts the failures since the last full clean batch.
	BatchFailures int           `json:"batch_failures"`
	FailedWorkers []WaveFailure `json:"failed,omitempty"`
}

// WaveFailure records a worker that failed during an operation of the wave. The
// rack is kept because the platform may replace the worker.
type WaveFailure struct {
	Worker           string    `json:"worker"`
	Pool             string    `json:"pool"`
	AvailabilityZone string    `json:"az"`
	Rack             string    `json:"rack"`
	At               time.Time `json:"at"`
}

// Document is the stored form of the fleet.
type Document struct {
	Epoch    uint64   `json:"epoch"`    // of the active controller that wrote it
	Revision uint64   `json:"revision"` // increases by one with each write
	Workers  []Worker `json:"workers"`
	Wave     *Wave    `json:"wave,omitempty"`
	// Borrowed counts, per pool, the spare workers that moved in and have not been
	// replaced in the spare pool yet.
	Borrowed map[string]int `json:"borrowed,omitempty"`
}
