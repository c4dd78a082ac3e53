package node

import (
	"time"

	"github.com/waxwingbridge/waxwingbridge/fleet"
	"github.com/waxwingbridge/waxwingbridge/idempotency"
	"github.com/waxwingbridge/waxwingbridge/infra"
	"github.com/waxwingbridge/waxwingbridge/policy"
	"github.com/waxwingbridge/waxwingbridge/store"
)

// Event is something that the I/O of a process observed. Roles pass it to
// View.Apply on their control loop.
type Event interface{ nodeEvent() }

type (
	// ConfigSeen is a configuration document. Revision is zero if a peer delivered it.
	ConfigSeen struct {
		Document *policy.Document
		Revision store.Revision
	}
	// FleetSeen is a fleet document. Revision is zero if a peer delivered it.
	FleetSeen struct {
		Document *fleet.Document
		Revision store.Revision
	}
	// HomesSeen is a list of the homes of idempotency keys.
	HomesSeen struct {
		Homes    *idempotency.Homes
		Revision store.Revision
	}
	// LeaderSeen is the identity of the active controller. A zero revision means
	// that the key was deleted.
	LeaderSeen struct {
		Identity Identity
		Revision store.Revision
	}
	// ValueInvalid reports a value that cannot be decoded.
	ValueInvalid struct {
		Key string
		Err error
	}
	// StoreConfirmed says that the watch had seen every change at At.
	StoreConfirmed struct{ At time.Time }
	// StoreLost says that the watch ended.
	StoreLost struct{ Err error }
	// WorkersListed is one answer of the platform's lagging list; Asked is the
	// moment before the call.
	WorkersListed struct {
		Workers     []infra.Worker
		RequestedAt time.Time
		Err         error
	}
	// MembersListed is the list of live processes as registered in the store.
	MembersListed struct {
		Members []Identity
		Err     error
	}
	// LeaseChanged tells the new local deadline of the process's lease; the zero
	// time means that there is none.
	LeaseChanged struct {
		Lease    store.LeaseID
		Deadline time.Time
	}
)

func (ConfigSeen) nodeEvent()     {}
func (FleetSeen) nodeEvent()      {}
func (HomesSeen) nodeEvent()      {}
func (LeaderSeen) nodeEvent()     {}
func (ValueInvalid) nodeEvent()   {}
func (StoreConfirmed) nodeEvent() {}
func (StoreLost) nodeEvent()      {}
func (WorkersListed) nodeEvent()  {}
func (MembersListed) nodeEvent()  {}
func (LeaseChanged) nodeEvent()   {}
