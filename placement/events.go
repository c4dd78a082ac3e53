package placement

import (
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/policy"
)

// Event is an input to the tables.
type Event interface{ apply(*State, engine.Tick) }

// Apply records one event in the tables.
func Apply(s *State, tick engine.Tick, event Event) { event.apply(s, tick) }

// Submitted requests the acceptance of a job. ReplyToken becomes the Token of
// the Reply.
type Submitted struct {
	Spec       Spec
	ReplyToken uint64
}

// CancelRequested requests the cancellation of a job. An empty Tenant means that an
// operator requests it.
type CancelRequested struct {
	Job        string
	Tenant     string
	ReplyToken uint64
}

// WriteResult is the known outcome of a page write.
type WriteResult uint8

// The outcomes of a page write.
const (
	WriteCommitted  WriteResult = iota + 1
	WriteNotApplied             // provably not executed: store unavailable or request budget exhausted
	WriteConflict               // the revision did not match; nothing was written
	WriteUnknown
)

// PageResult is the response to WritePage. Revision is set for WriteCommitted.
type PageResult struct {
	Index    int
	WriteID  string
	Result   WriteResult
	Revision int64
}

// PageRead is the response to ReadPage. Failed means that the store did not
// respond. Page is the decoded value.
type PageRead struct {
	Index    int
	Failed   bool
	Page     Page
	WriteID  string
	Revision int64
}

// CallResult is the known outcome of a platform call.
type CallResult uint8

// The outcomes of a platform call.
const (
	CallDone     CallResult = iota + 1
	CallRefused             // provably not executed
	CallNotFound            // the platform has no such task
	CallUnknown
)

// StartResult is the response to StartTask.
type StartResult struct {
	Operation string
	Result    CallResult
	Error     string
}

// ControlResult is the response to ControlTask. CallDone means that the action is complete.
type ControlResult struct {
	Operation string
	Action    ControlAction
	Result    CallResult
}

// TaskStatus is the status of a task as the platform reports it.
type TaskStatus uint8

// The statuses of a task.
const (
	TaskRunning TaskStatus = iota + 1
	TaskThrottled
	TaskCheckpointed
	TaskDone
	TaskFailed
	TaskStopped
	TaskLeaseExpired
)

// TaskObservation is one task of a task list. Its usage values lag behind.
type TaskObservation struct {
	Operation  string
	Status     TaskStatus
	Used       Resources
	PowerWatts int
	Error      string
}

// TasksReported carries a task list of the platform. ObservedAt is the time at which
// the list was requested; lists may arrive late and out of order.
type TasksReported struct {
	ObservedAt time.Time
	Tasks      []TaskObservation
}

// WorkerPower is the power draw of one worker. It lags behind.
type WorkerPower struct {
	Worker string
	Watts  int
}

// PowerReported carries the power draw of workers. ObservedAt has the same meaning as
// in TasksReported.
type PowerReported struct {
	ObservedAt time.Time
	Workers    []WorkerPower
}

// InrushChanged sets the inrush power of rebooting workers that reports do not
// include yet.
type InrushChanged struct{ Watts int }

// WorkerInfo describes a worker of the fleet.
type WorkerInfo struct {
	Name             string
	Pool             string
	Rack             string
	AvailabilityZone string
	Capacity         Resources
	Condition        Condition
}

// FleetChanged carries changed workers. Complete means that all workers which are
// not listed are gone; the first event after a takeover must be complete.
type FleetChanged struct {
	Workers  []WorkerInfo
	Removed  []string
	Complete bool
}

// PolicyChanged sets the effective policy.
type PolicyChanged struct{ Policy *policy.Effective }

// StoredPage is a page read from the store. A missing key has revision zero.
type StoredPage struct {
	Page     Page
	Revision int64
	WriteID  string
}

// Takeover makes this process the active controller with the given epoch and
// rebuilds all tables from the pages. Platform calls are allowed from
// CallsAllowedFrom.
type Takeover struct {
	Epoch            uint64
	Pages            []StoredPage
	CallsAllowedFrom time.Time
}

// Deactivated reports that this process is no longer the active controller.
type Deactivated struct{}
