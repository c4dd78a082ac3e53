package placement

import (
	"time"

	"github.com/waxwingbridge/waxwingbridge/outcome"
	"github.com/waxwingbridge/waxwingbridge/table"
)

// WritePage requests a compare-and-swap of one page. The owner responds with PageResult.
type WritePage struct {
	Page     Page
	Revision int64 // expected revision; zero creates the key
	WriteID  string
}

// ReadPage requests the current write ID and revision of a page. The owner
// responds with PageRead.
type ReadPage struct{ Index int }

// StartTask requests the start of an attempt from the platform. It is emitted only
// after the page that contains the attempt is committed. The owner responds with
// StartResult.
type StartTask struct {
	Operation string
	Job       string
	Worker    string
	Reserved  Resources
	Lease     time.Duration
	Payload   string
	Resume    bool
	// For metrics: whether this is the job's first attempt, and the time since its submission.
	Tenant       string
	Class        Class
	FirstAttempt bool
	WaitTime     time.Duration
}

// ControlAction is an action on a started task.
type ControlAction uint8

// The control actions.
const (
	ActionNone ControlAction = iota
	ActionThrottle
	ActionUnthrottle // ends throttling
	ActionCheckpoint
	ActionStop
)

// ControlTask requests an action on a task from the platform. The owner responds with
// ControlResult.
type ControlTask struct {
	Operation string
	Action    ControlAction
}

// RenewTasks requests the renewal of task leases. It has no response.
type RenewTasks struct {
	Operations []string
	Lease      time.Duration
}

// Reply is the response to a submission or cancellation.
type Reply struct {
	Token   uint64 // ReplyToken of the request
	Outcome outcome.Kind
	Reason  Reason
	Job     JobView
}

// QuarantineChange reports that a worker enters or leaves quarantine.
type QuarantineChange struct {
	Worker      string
	Quarantined bool
	Jobs        []string // jobs that failed on the worker
}

// Outbound holds the effects of a tick. The owner drains every table in Flush.
type Outbound struct {
	Writes        table.Outbound[WritePage]
	Reads         table.Outbound[ReadPage]
	Starts        table.Outbound[StartTask]
	Controls      table.Outbound[ControlTask]
	Renewals      table.Outbound[RenewTasks]
	Replies       table.Outbound[Reply]
	Quarantines   table.Outbound[QuarantineChange]
	Notifications table.Outbound[Notification]
}

// JobView is a copy of the job fields that callers and operators see.
type JobView struct {
	ID       string
	Tenant   string
	State    JobState
	Reason   Reason
	Detail   string
	Worker   string
	Attempts int
}
