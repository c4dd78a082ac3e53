package node

import (
	"time"

	"github.com/waxwingbridge/waxwingbridge/fleet"
	"github.com/waxwingbridge/waxwingbridge/idempotency"
	"github.com/waxwingbridge/waxwingbridge/infra"
	"github.com/waxwingbridge/waxwingbridge/policy"
	"github.com/waxwingbridge/waxwingbridge/store"
)

// Event is an observation of the I/O goroutines. Roles pass it to View.Apply on
// their control loop.
type Event interface{ nodeEvent() }

type (
	// ConfigSeen carries a configuration document. Revision is zero if it came
	// from a peer instead of the store.
	ConfigSeen struct {
		Document *policy.Document
		Revision store.Revision
	}
	// FleetSeen carries a fleet document. Revision is zero if it came from a peer.
	FleetSeen struct {
		Document *fleet.Document
		Revision store.Revision
	}
	// HomesSeen carries the list of gateways that are homes of idempotency keys.
	// Revision is zero if it came from a peer.
	HomesSeen struct {
		Homes    *idempotency.Homes
		Revision store.Revision
	}
	// LeaderSeen carries the identity of the active controller. A zero revision
	// means that the leader key does not exist.
	LeaderSeen struct {
		Identity Identity
		Revision store.Revision
	}
	// ValueInvalid reports a store value or fetched document that cannot be decoded.
	ValueInvalid struct {
		Key string
		Err error
	}
	// StoreConfirmed reports that at time At the watch had delivered every change
	// of the store.
	StoreConfirmed struct{ At time.Time }
	// StoreLost reports that the store watch ended or could not be opened.
	StoreLost struct{ Err error }
	// WorkersListed is the result of one call of the platform's worker list, which
	// may lag behind. RequestedAt is the time before the call.
	WorkersListed struct {
		Workers     []infra.Worker
		RequestedAt time.Time
		Err         error
	}
	// MembersListed is the result of reading the registrations of live processes
	// from the store. RequestedAt is the time before the call.
	MembersListed struct {
		Members     []Identity
		RequestedAt time.Time
		Err         error
	}
	// LeaseChanged carries the local deadline of the process's lease. The zero time
	// means that the process holds no lease.
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
