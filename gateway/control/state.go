// Package control holds the control state of a gateway: what it knows of the
// site, its peers, the homes of idempotency keys and the slots of targets, and
// the snapshot that it publishes to traffic. One goroutine owns the state;
// systems.go lists the systems in the order in which they run. The package does
// no I/O.
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
	// leaseMargin ends the right to be a home before the store's lease can lapse.
	leaseMargin = time.Second
	// homesCheckInterval is the pause between two checks of the homes list.
	homesCheckInterval = 2 * time.Second
	// homesTimeout ends the wait for a result that got lost.
	homesTimeout = 30 * time.Second
	// creditInterval is the pause between two divisions of slots.
	creditInterval = time.Second
	// freshnessStep is the least progress of freshness that is worth a snapshot.
	freshnessStep = 200 * time.Millisecond
)

// target is what control keeps about a worker besides the fleet document.
type target struct {
	worker       string
	usable       bool
	serviceEpoch uint64 // increases each time the worker returns to service
	refusedAt    time.Time
	leavingTold  bool
}

// State is the control state of a gateway.
type State struct {
	View    *node.View
	Peers   *membership.State
	Tracker *idempotency.Tracker

	targets      table.Table[target]
	targetIndex  table.Index[string]
	demand       map[string]int // own waiting and running requests, by pool
	refused      []string       // workers that refused with "draining" since the last tick
	ownCredits   map[string]int // slots that this gateway granted to itself, by worker
	creditsAt    time.Time
	grantVersion uint64

	lease         store.LeaseID // under which the tracker observes
	homesAt       time.Time
	homesInFlight bool
	homesResult   *HomesUpdated

	snapshot  *traffic.Snapshot // published last
	published publishedParts
	fresh     bool
	lastTick  time.Time

	Outbound Outbound
}

// publishedParts are the inputs of the last snapshot.
type publishedParts struct {
	policy     *policy.Effective
	gateways   int
	freshUntil time.Time
	epoch      uint64
	settled    bool
	lease      time.Time
	grants     uint64
	targets    bool // the targets changed since
}

// NewState returns the state of a gateway that knows nothing yet.
func NewState(view *node.View, peers *membership.State) *State {
	return &State{
		View: view, Peers: peers, Tracker: idempotency.NewTracker(view.Self.Incarnation),
		demand: map[string]int{}, ownCredits: map[string]int{},
	}
}

// Outbound holds the effects of a tick besides those of the peer exchange.
type Outbound struct {
	Snapshots table.Outbound[*traffic.Snapshot]
	Homes     table.Outbound[UpdateHomes]
}

// UpdateHomes asks to bring the homes list in the store up to date: read it,
// then the live processes, and write the successor if one is needed. The order
// matters, see idempotency.NextHomes.
type UpdateHomes struct{ Lease store.LeaseID }

// Event is an input of the control loop.
type Event interface{ apply(*State, engine.Tick) }

type (
	// Observed wraps what the I/O of every process observes.
	Observed struct{ Event node.Event }
	// PeerMessage is a message of the peer exchange.
	PeerMessage struct{ Received membership.Received }
	// PeerFetched is the end of a fetch. Document is nil if none was delivered.
	PeerFetched struct {
		Kind     membership.DocumentKind
		Peer     table.ID
		Document node.Event
	}
	// HomesUpdated ends UpdateHomes. Homes is the list in the store after it.
	HomesUpdated struct {
		Lease store.LeaseID
		Homes *idempotency.Homes
		Err   error
	}
	// TrafficReported is the report of a traffic shard.
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
	s.refused = append(s.refused, e.Report.Draining...)
}

func (s *State) target(worker string) *target {
	if id, ok := s.targetIndex.Get(worker); ok {
		return s.targets.Get(id)
	}
	id := s.targets.Insert(target{worker: worker})
	s.targetIndex.Put(worker, id)
	return s.targets.Get(id)
}

// freshUntil returns the moment until which the view of the fleet may be used.
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

// NotReadyReason returns why the gateway should get no traffic, or the empty string.
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
