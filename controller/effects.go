package controller

import (
	"github.com/waxwingbridge/waxwingbridge/fleet"
	"github.com/waxwingbridge/waxwingbridge/policy"
	"github.com/waxwingbridge/waxwingbridge/store"
	"github.com/waxwingbridge/waxwingbridge/table"
)

// Outbound holds the effects of a tick, besides those of the peer exchange and
// of job placement, which have tables of their own.
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

// ClaimLeader asks to create the leader key under the process's lease.
type ClaimLeader struct{ Lease store.LeaseID }

// ReleaseLeader asks to delete the own leader key.
type ReleaseLeader struct{ Revision store.Revision }

// LoadState asks to read the fleet document and all pages of jobs.
type LoadState struct{}

// WriteFleet asks for a compare-and-swap of the fleet document.
type WriteFleet struct {
	Document fleet.Document
	Revision store.Revision
}

// WriteConfig asks to record the base in the history and then for a
// compare-and-swap of the configuration document.
type WriteConfig struct {
	Base     *policy.Document // recorded in the history first
	Document *policy.Document
	Revision store.Revision
}

// CallPlatform asks for a platform call about a worker.
type CallPlatform struct{ Call fleet.Call }

// PollWorker asks the platform directly about a worker.
type PollWorker struct{ Worker string }

// ListTasks asks for the platform's list of tasks.
type ListTasks struct{}

// SendResponse is the reply to a request. Its Reply channel has room for it.
type SendResponse struct {
	Reply    chan<- Response
	Response Response
}
