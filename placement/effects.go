package placement

import (
	"time"

	"github.com/waxwingbridge/waxwingbridge/outcome"
	"github.com/waxwingbridge/waxwingbridge/table"
)

// WritePage asks for a compare-and-swap of one page. The owner answers with PageResult.
type WritePage struct {
	Page     Page
	Revision int64 // expected; zero creates the key
	WriteID  string
}

// ReadPage asks for the current write ID and revision of a page. The owner
// answers with PageRead.
type ReadPage struct{ Index int }

// StartTask asks the platform to start an attempt. It is emitted only after the
// page with the attempt is committed. The owner answers with StartResult.
type StartTask struct {
	Operation string
	Job       string
	Worker    string
	Reserved  Resources
	Lease     time.Duration
	Payload   string
	Resume    bool
	// For metrics: whether it is the job's first attempt, and the time since its submission.
	Tenant       string
	Class        Class
	FirstAttempt bool
	WaitTime     time.Duration
}

// ControlAction is a call about a started task.
type ControlAction uint8

// The actions on a task.
const (
	ActionNone ControlAction = iota
	ActionThrottle
	ActionUnthrottle // ends a throttle
	ActionCheckpoint
	ActionStop
)

// ControlTask asks the platform to act on a task. The owner answers with ControlResult.
type ControlTask struct {
	Operation string
	Action    ControlAction
}

// RenewTasks asks the platform to extend the leases of tasks. It needs no answer.
type RenewTasks struct {
	Operations []string
	Lease      time.Duration
}

// Reply answers a submission or cancellation.
type Reply struct {
	Token   uint64 // ReplyToken of the request
	Outcome outcome.Kind
	Reason  Reason
	Job     JobView
}

// QuarantineChange announces that a worker enters or leaves quarantine.
type QuarantineChange struct {
	Worker      string
	Quarantined bool
	Jobs        []string // that failed on it
}

// Outbound holds the effects of a tick. The owner drains each table in Flush.
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

// JobView is a copy of what callers and operators see of a job.
type JobView struct {
	ID       string
	Tenant   string
	State    JobState
	Reason   Reason
	Detail   string
	Worker   string
	Attempts int
}
