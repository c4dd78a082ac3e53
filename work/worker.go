package work

import (
	"time"

	"github.com/waxwingbridge/waxwingbridge/placement"
)

// Worker is a worker's own entry in the registry.
type Worker struct {
	ID          string
	Incarnation int64 // start time in Unix milliseconds; distinguishes restarts under the same ID
	Pool        string
	Address     string
	Zone        string
	Rack        string
	Labels      []string
	Machine     string
	Capacity    placement.Resources
	Draining    bool
	// Remaining is the minimum time until a draining worker leaves.
	Remaining time.Duration
}

// RunStatus is an entry in a worker's list of running runs.
type RunStatus struct {
	Task       TaskName
	Run        int
	Checkpoint string
	Percent    int // progress; a long-running task serves at 100
	// Load is the tail latency in milliseconds for a task that serves users, and
	// the number of used millicores for any other.
	Load int
}

// EndReason is the reason why a run ended.
type EndReason uint8

// The reasons for the end of a run.
const (
	EndDone           EndReason = iota + 1
	EndFailed                   // through a fault of the task or of the worker
	EndStopped                  // by a stop order
	EndLeaseExpired             // its lease expired
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

// RunEnd is an entry in a worker's list of ended runs.
type RunEnd struct {
	Number     int64 // increases within an incarnation of the worker
	Task       TaskName
	Run        int
	Reason     EndReason
	Checkpoint string
}

// Machine is a row of the platform's machine list.
type Machine struct {
	Name   string
	Pool   string
	Worker string // empty while the machine is down
	State  MachineState
}

// MachineState is the state of a machine as the platform reports it.
type MachineState uint8

// The states of a machine.
const (
	MachineUp MachineState = iota + 1
	MachineMoving
	MachineInMaintenance
	MachineDown
)
