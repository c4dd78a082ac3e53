package work

import (
	"time"

	"github.com/waxwingbridge/waxwingbridge/placement"
)

// Worker is what a worker reports about itself in the registry.
type Worker struct {
	ID          string
	Incarnation int64 // start of its present life, Unix milliseconds; tells lives under one ID apart
	Pool        string
	Address     string
	Zone        string
	Rack        string
	Labels      []string
	Machine     string
	Capacity    placement.Resources
	Draining    bool
	// Remaining is the least time until a draining worker leaves.
	Remaining time.Duration
}

// RunStatus is a run in a worker's list.
type RunStatus struct {
	Task       TaskName
	Run        int
	Checkpoint string
	Percent    int // work done; a lasting task is at work at 100
	// Load is the tail latency in milliseconds of a task that serves users,
	// and the used millicores of any other.
	Load int
}

// EndReason says how a run ended.
type EndReason uint8

// The reasons of an end.
const (
	EndDone           EndReason = iota + 1
	EndFailed                   // the task's fault or the worker's
	EndStopped                  // on order
	EndLeaseExpired             // its lease ran out
	EndGangBroken               // another member of its gang ended
	EndGangIncomplete           // its gang did not assemble in time
)

// String returns the name used in logs.
func (r EndReason) String() string {
	names := [...]string{"invalid", "done", "failed", "stopped", "lapsed", "broken", "alone"}
	if int(r) >= len(names) {
		return names[0]
	}
	return names[r]
}

// RunEnd is the end of a run in a worker's list.
type RunEnd struct {
	Number     int64 // rises within the worker's life
	Task       TaskName
	Run        int
	Reason     EndReason
	Checkpoint string
}

// Machine is a row of the platform's machine list.
type Machine struct {
	Name   string
	Pool   string
	Worker string // empty while it is down
	State  MachineState
}

// MachineState is the platform's view of a machine.
type MachineState uint8

// The states of a machine.
const (
	MachineUp MachineState = iota + 1
	MachineMoving
	MachineInMaintenance
	MachineDown
)
