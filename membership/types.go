// Package membership maintains the state that the processes of a site exchange:
// the peers with their incarnations, the document revisions they report, and their
// reports on demand, leaving workers and slot grants. It decides which peers to
// contact, what to send and which documents to fetch. It does no I/O: messages
// arrive through Receive, and effects leave through outbound tables.
//
// A wrong entry in the peer table can cause unnecessary work but never violates
// safety.
package membership

import (
	"time"

	"github.com/waxwingbridge/waxwingbridge/table"
)

// Periods of the exchange.
const (
	ExchangeInterval = time.Second            // between two messages to one peer
	SuspectAfter     = 3 * time.Second        // of silence
	RemoveAfter      = 30 * time.Second       // of silence
	GrantLease       = 3 * time.Second        // of slot grants, from the granter's last message
	FleetViewTTL     = 4 * time.Second        // a gateway sends only while its fleet view was confirmed within this period
	FleetViewMargin  = time.Second            // on top of FleetViewTTL, for differences in clock rate and scheduling delays
	FetchDelay       = 300 * time.Millisecond // the store's watch usually delivers a document before a peer has to be asked
	FetchTimeout     = 3 * time.Second        // of one fetch
	FetchRetry       = time.Second            // pause after a fetch that did not deliver the document
)

// FullMeshLimit is the number of peers up to which a process exchanges messages
// with all of them.
const FullMeshLimit = 12

// The process of a pair that normally does not dial does so after these periods:
// the first covers a peer that cannot dial, the second lost answers.
const (
	dialAfterSilence     = ExchangeInterval * 3 / 2
	dialAfterUnconfirmed = ExchangeInterval * 5 / 2
)

// fleetViewExpiry is the silence after which the fleet view of a gateway has
// expired, so that it no longer sends requests.
const fleetViewExpiry = FleetViewTTL + FleetViewMargin

// Role is the function of a process.
type Role string

// The roles.
const (
	Gateway    Role = "gateway"
	Controller Role = "controller"
)

// Member identifies a process.
type Member struct {
	Incarnation      string // unique per start of a process
	Role             Role
	Address          string // peer address, ip:port
	AvailabilityZone string
	CallerAddress    string // HTTP address for callers or operators
	Active           bool   // true for the active controller
}

// DocumentKind names a document that peers can fetch from each other.
type DocumentKind uint8

// The kinds of document.
const (
	DocumentConfig DocumentKind = iota
	DocumentFleet
	DocumentHomes
	documentKinds
)

// String returns the name used in logs.
func (k DocumentKind) String() string {
	switch k {
	case DocumentConfig:
		return "config"
	case DocumentFleet:
		return "fleet"
	case DocumentHomes:
		return "homes"
	default:
		return "unknown"
	}
}

// Revisions holds one revision per kind of document. The revision of the homes
// document is its epoch. Zero means that none is held.
type Revisions [documentKinds]uint64

// raise sets each revision to the higher one of the two.
func (r *Revisions) raise(other Revisions) {
	for kind := range r {
		r[kind] = max(r[kind], other[kind])
	}
}

// RelayedMember is what a process reports about another one that it hears
// directly.
type RelayedMember struct {
	Member         Member
	ConfigRevision uint64 // zero while every process hears all others directly
}

// Entry is a named value in a message. Demand and grants are numbered by their
// sender: an entry whose name the receiver already holds carries only the number,
// because names make up most of the bytes of a message under load.
type Entry[V any] struct {
	Name   string // empty if the receiver knows it by the number
	Number uint32 // zero if the set is not numbered
	Value  V
}

// Removal names an entry that no longer exists, by its number if it has one.
type Removal struct {
	Name   string
	Number uint32
}

// Delta holds the entries that changed since the base of a message, or all
// entries if the base is zero.
type Delta[V any] struct {
	Set     []Entry[V]
	Removed []Removal
}

// Message is the state that one process sends to another.
type Message struct {
	Sender       Member
	Receiver     string // incarnation that the message is for; empty if the sender does not know it
	Sequence     uint64 // increases with every message of the sender, to any peer
	Acknowledged uint64 // sequence of the receiver's message that the sender merged last
	Base         uint64 // sequence that the deltas build on; zero means complete
	Revisions    Revisions
	FleetEpoch   uint64
	// FleetConfirmed reports whether FleetAge is known. FleetAge is the time since
	// the sender's fleet view was last confirmed, when the message was composed.
	FleetConfirmed bool
	FleetAge       time.Duration
	Demand         Delta[uint32]        // waiting and running requests per pool
	Leaving        Delta[struct{}]      // workers that must not receive new work
	Grants         Delta[uint32]        // slots per worker, granted to the receiver
	Members        Delta[RelayedMember] // processes that the sender hears directly, by incarnation
}

// Received is a received message. Token is nonzero if the peer waits for a reply;
// Address is set if the message is the reply to one that was sent to that address.
type Received struct {
	Message Message
	Token   uint64
	Address string
}

// Send is an effect: deliver a message to an address. The reply is posted back as
// Received.
type Send struct {
	Address string
	Message Message
}

// Reply is an effect: answer the call with the token.
type Reply struct {
	Token   uint64
	Message Message
}

// Fetch is an effect: fetch a document from a peer. The result is posted back,
// and the owner then calls FetchFinished.
type Fetch struct {
	Kind     DocumentKind
	Peer     table.ID
	Address  string
	Revision uint64 // reported by the peer
}

// ChangeKind says what happened to a peer.
type ChangeKind uint8

// The kinds of change.
const (
	PeerJoined ChangeKind = iota + 1
	PeerSuspected
	PeerRecovered
	PeerReplaced
	PeerRemoved
)

// Change is an effect: report a change of the peer table.
type Change struct {
	Kind   ChangeKind
	Member Member
}
