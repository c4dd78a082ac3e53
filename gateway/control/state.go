// Package control holds the control state of a gateway: its view of the site and
// of its peers, the homes of idempotency keys, the slot credits of targets, and the
// snapshot that it publishes to traffic. One goroutine owns the state; systems.go
// lists the systems in the order in which they run. The package does no I/O.
package control

import (
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/gateway/traffic"
	"github.com/waxwingbridge/waxwingbridge/idempotency"
	"github.com/waxwingbridge/waxwingbridge/membership"
	"github.com/waxwingbridge/waxwingbridge/node"
	"github.com/waxwingbridge/waxwingbridge/policy"
	"github.com/waxwingbridge/waxwingbridge/store"
	"github.com/waxwingbridge/waxwingbridge/table"
)

// Timing of the control loop.
const (
	// leaseMargin is the time before the expiry of its store lease at which a
	// gateway stops acting as a home.
	leaseMargin = time.Second
	// homesCheckInterval is the minimum time between updates of the homes list.
	homesCheckInterval = 2 * time.Second
	// homesUpdateTimeout is the time after which an update without a result is
	// assumed to be lost.
	homesUpdateTimeout = 30 * time.Second
	// grantInterval is the minimum time between two divisions of slots.
	grantInterval = time.Second
	// minFreshnessAdvance is the minimum advance of the freshness time that causes a
	// new snapshot.
	minFreshnessAdvance = 200 * time.Millisecond
)

// target is a row for a worker: its state that is not in the fleet document.
type target struct {
	worker          string
	usable          bool
	serviceEpoch    uint64 // increases each time the worker returns to service
	refusedAt       time.Time
	leavingReported bool
}

// State is the control state of a gateway.
type State struct {
	View    *node.View
	Peers   *membership.State
	Tracker *idempotency.Tracker

	targets        table.Table[target]
	targetIndex    table.Index[string]
	demand         map[string]int // queued and running requests of this gateway, by pool
	refusedWorkers []string       // workers that refused with "draining" since the last tick
	ownCredits     map[string]int // slots that this gateway granted to itself, by worker
	grantedAt      time.Time
	grantVersion   uint64

	homesLease       store.LeaseID // lease under which the tracker observes the homes list
	homesRequestedAt time.Time
	homesInFlight    bool
	homesResult      *HomesUpdated

	snapshot        *traffic.Snapshot // published last
	publishedInputs snapshotInputs
	wasFresh        bool
	lastTick        time.Time

	Outbound Outbound
}

// snapshotInputs are the values from which a snapshot is created.
type snapshotInputs struct {
	policy         *policy.Effective
	gateways       int
	freshUntil     time.Time
	epoch          uint64
	settled        bool
	leaseUntil     time.Time
	grantVersion   uint64
	targetsChanged bool // the targets changed since the last snapshot
}

// NewState returns the state of a gateway that has received no documents yet.
func NewState(view *node.View, peers *membership.State) *State {
	return &State{
		View: view, Peers: peers, Tracker: idempotency.NewTracker(view.Self.Incarnation),
		demand: map[string]int{}, ownCredits: map[string]int{},
	}
}

// Outbound holds the effects of a tick, except for those of the peer exchange.
type Outbound struct {
	Snapshots table.Outbound[*traffic.Snapshot]
	Homes     table.Outbound[UpdateHomes]
}

// UpdateHomes is the effect of updating the homes list in the store: read the list,
// then the live processes, and write the next list if it differs. The order of the
// reads matters, see idempotency.NextHomes.
type UpdateHomes struct{ Lease store.LeaseID }

// Event is an input of the control loop.
type Event interface{ apply(*State, engine.Tick) }

type (
	// Observed wraps an event from the I/O that all processes share.
	Observed struct{ Event node.Event }
	// PeerMessage is a message of the peer exchange.
	PeerMessage struct{ Received membership.Received }
	// PeerFetched reports the end of a fetch. Document is nil if the fetch failed.
	PeerFetched struct {
		Kind     membership.DocumentKind
		Peer     table.ID
		Document node.Event
	}
	// HomesUpdated reports the end of UpdateHomes. Homes is the list that is then in
	// the store.
	HomesUpdated struct {
		Lease store.LeaseID
		Homes *idempotency.Homes
		Err   error
	}
	// TrafficReported carries the report of a traffic shard.
	TrafficReported struct{ Report traffic.Report }
)

func (e Observed) apply(s *State, tick engine.Tick) { s.View.Apply(tick, e.Event) }

func (e PeerMessage) apply(s *State, _ engine.Tick) { s.Peers.Receive(e.Received) }

func (e PeerFetched) apply(s *State, tick engine.Tick) {
	if e.Document != nil {
		s.View.Apply(tick, e.Document)
	}
	node.ReportRevisions(s.View, s.Peers, tick)
	s.Peers.FetchFinished(e.Kind, e.Peer, tick.Now)
}

func (e HomesUpdated) apply(s *State, _ engine.Tick) {
	s.homesInFlight = false
	if e.Err == nil {
		s.homesResult = &e
	}
}

func (e TrafficReported) apply(s *State, _ engine.Tick) {
	for _, demand := range e.Report.Demand {
		s.demand[demand.Pool] = demand.Requests
	}
	s.refusedWorkers = append(s.refusedWorkers, e.Report.Draining...)
}

func (s *State) target(worker string) *target {
	if id, ok := s.targetIndex.Get(worker); ok {
		return s.targets.Get(id)
	}
	id := s.targets.Insert(target{worker: worker})
	s.targetIndex.Put(worker, id)
	return s.targets.Get(id)
}

// freshUntil returns the time at which the fleet view becomes stale.
func (s *State) freshUntil() time.Time {
	confirmed := s.View.FleetConfirmedAt()
	if peers := s.Peers.ViewConfirmedByPeers(); peers.After(confirmed) {
		confirmed = peers
	}
	if confirmed.IsZero() || s.View.Fleet == nil {
		return time.Time{}
	}
	return confirmed.Add(membership.FleetViewTTL)
}

// NotReadyReason returns why the gateway should receive no traffic, or the empty
// string if it is ready.
func (s *State) NotReadyReason() string {
	switch {
	case s.View.Config == nil:
		return "no configuration"
	case s.View.Fleet == nil:
		return "no fleet document"
	case len(s.View.Fleet.Workers) == 0:
		return "fleet document without workers"
	case !s.lastTick.Before(s.freshUntil()):
		return "fleet view is not fresh"
	}
	return ""
}
