package placement

import (
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/policy"
)

// Event is an input of the package.
type Event interface{ apply(*State, engine.Tick) }

// Apply records one event in the tables.
func Apply(s *State, tick engine.Tick, event Event) { event.apply(s, tick) }

// SubmitRequested asks to accept a job. ReplyToken is the Token of the Reply.
type SubmitRequested struct {
	Spec       Spec
	ReplyToken uint64
}

// CancelRequested asks to cancel a job. An empty Tenant stands for an operator.
type CancelRequested struct {
	Job        string
	Tenant     string
	ReplyToken uint64
}

// WriteResult says what is known about a page write.
type WriteResult uint8

// The results of a page write.
const (
	WriteCommitted  WriteResult = iota + 1
	WriteNotApplied             // provably not executed: store unavailable, budget used up
	WriteConflict               // revision compare failed; nothing was written
	WriteUnknown
)

// PageResult answers WritePage. Revision is set for WriteCommitted.
type PageResult struct {
	Index    int
	WriteID  string
	Result   WriteResult
	Revision int64
}

// PageRead answers ReadPage. Failed means that the store did not answer. Page
// is the decoded value.
type PageRead struct {
	Index    int
	Failed   bool
	Page     Page
	WriteID  string
	Revision int64
}

// CallResult says what is known about a platform call.
type CallResult uint8

// The results of a platform call.
const (
	CallDone     CallResult = iota + 1
	CallRefused             // provably not executed
	CallNotFound            // the platform knows no such task
	CallUnknown
)

// StartResult answers StartTask.
type StartResult struct {
	Operation string
	Result    CallResult
	Error     string
}

// ControlResult answers ControlTask. CallDone means that the action is complete.
type ControlResult struct {
	Operation string
	Action    ControlAction
	Result    CallResult
}

// TaskStatus is the platform's view of a task.
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

// TaskObservation is one task of a report. Usage lags.
type TaskObservation struct {
	Operation  string
	Status     TaskStatus
	Used       Resources
	PowerWatts int
	Error      string
}

// TasksReported is the platform's task list. ObservedAt is the moment at which
// the request was sent; lists may arrive late and out of order.
type TasksReported struct {
	ObservedAt time.Time
	Tasks      []TaskObservation
}

// WorkerPower is the lagging draw of one worker.
type WorkerPower struct {
	Worker string
	Watts  int
}

// PowerReported carries the draw of workers. ObservedAt as in TasksReported.
type PowerReported struct {
	ObservedAt time.Time
	Workers    []WorkerPower
}

// InrushChanged sets the draw of rebooting workers that is not in reports yet.
type InrushChanged struct{ Watts int }

// WorkerInfo is what the fleet says about a worker.
type WorkerInfo struct {
	Name             string
	Pool             string
	Rack             string
	AvailabilityZone string
	Capacity         Resources
	Condition        Condition
}

// FleetChanged carries workers that changed. Complete means that all other
// workers are gone; the first event after a takeover must be complete.
type FleetChanged struct {
	Workers  []WorkerInfo
	Removed  []string
	Complete bool
}

// PolicyChanged sets the effective policy.
type PolicyChanged struct{ Policy *policy.Effective }

// StoredPage is a page as read from the store. A missing key has revision zero.
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

// Deactivated says that this process is no longer the active controller.
type Deactivated struct{}
