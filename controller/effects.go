package controller

import (
	"github.com/waxwingbridge/waxwingbridge/fleet"
	"github.com/waxwingbridge/waxwingbridge/policy"
	"github.com/waxwingbridge/waxwingbridge/store"
	"github.com/waxwingbridge/waxwingbridge/table"
)

// Outbound holds the effects of a tick, except those of the peer exchange and of job
// placement, which have outbound tables of their own.
type Outbound struct {
	Claims       table.Outbound[ClaimLeader]
	Releases     table.Outbound[ReleaseLeader]
	Loads        table.Outbound[LoadState]
	FleetWrites  table.Outbound[WriteFleet]
	ConfigWrites table.Outbound[WriteConfig]
	Calls        table.Outbound[CallPlatform]
	WorkerPolls  table.Outbound[PollWorker]
	TaskLists    table.Outbound[ListTasks]
	Responses    table.Outbound[SendResponse]
}

// ClaimLeader creates the leader key, bound to the lease of the process.
type ClaimLeader struct{ Lease store.LeaseID }

// ReleaseLeader deletes the own leader key.
type ReleaseLeader struct{ Revision store.Revision }

// LoadState reads the fleet document and all job pages.
type LoadState struct{}

// WriteFleet replaces the fleet document by a compare-and-swap.
type WriteFleet struct {
	Document fleet.Document
	Revision store.Revision
}

// WriteConfig records the base in the history and then replaces the configuration
// document by a compare-and-swap.
type WriteConfig struct {
	Base     *policy.Document // recorded in the history first
	Document *policy.Document
	Revision store.Revision
}

// CallPlatform calls an operation of the platform on a worker.
type CallPlatform struct{ Call fleet.Call }

// PollWorker reads a worker directly from the platform, not from the lagging VM list.
type PollWorker struct{ Worker string }

// ListTasks reads the platform's list of tasks.
type ListTasks struct{}

// SendResponse delivers the response to a request. Reply is buffered, so that the
// send does not block.
type SendResponse struct {
	Reply    chan<- Response
	Response Response
}
