package node

import (
	"time"

	"github.com/waxwingbridge/waxwingbridge/platform"
	"github.com/waxwingbridge/waxwingbridge/store"
)

// Event is something that the I/O of a process observed. Roles pass it to
// View.Apply on their control loop.
type Event interface{ nodeEvent() }

type (
	// SharedValue is a value under the shared prefix as the watch delivered it.
	SharedValue struct {
		Value   store.Value
		Deleted bool
	}
	// StoreConfirmed says that the watch had seen every change at At.
	StoreConfirmed struct{ At time.Time }
	// StoreLost says that the watch ended.
	StoreLost struct{ Err error }
	// PeerDocument is a document that a peer delivered.
	PeerDocument struct {
		Kind     DocumentKind
		Document []byte
	}
	// WorkersListed is one answer of the platform's lagging list; Asked is the
	// moment before the call.
	WorkersListed struct {
		Workers []platform.Worker
		Asked   time.Time
		Err     error
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

func (SharedValue) nodeEvent()    {}
func (StoreConfirmed) nodeEvent() {}
func (StoreLost) nodeEvent()      {}
func (PeerDocument) nodeEvent()   {}
func (WorkersListed) nodeEvent()  {}
func (MembersListed) nodeEvent()  {}
func (LeaseChanged) nodeEvent()   {}

// DocumentKind names a shared document.
type DocumentKind uint8

// The shared documents.
const (
	DocumentConfig DocumentKind = iota + 1
	DocumentFleet
	DocumentHomes
)
