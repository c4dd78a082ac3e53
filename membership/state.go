package membership

import (
	"time"

	"github.com/waxwingbridge/waxwingbridge/table"
)

// Peer is a row for another process. Times are by the local clock.
type Peer struct {
	Member
	Listed         bool      // in the store's list of members
	Received       bool      // a message of this incarnation arrived
	LastReceivedAt time.Time // time of the last message; before the first one, the time at which the peer became known
	LastRelayed    time.Time // latest time at which another peer reported that it receives messages of this one
	Suspected      bool
	Replaced       bool // a later incarnation answers at its address
	Contact        bool // this process exchanges messages with it

	Revisions  Revisions // reported; never decrease
	FleetEpoch uint64
	// ViewConfirmed is a lower bound, by the local clock, of the time at which
	// the peer's fleet view was last confirmed. Zero means unknown.
	ViewConfirmed time.Time

	lastReceivedSequence   uint64          // highest sequence received from it
	lastMerged             uint64          // highest sequence whose deltas are merged
	lastAcknowledged       uint64          // sequence of our message that it acknowledged last
	acknowledgedComposedAt time.Time       // when the latest message that it acknowledged was composed
	sent                   [16]sentMessage // our last messages to it
	sentCount              int
	nextContact            time.Time
	grants                 versioned[uint32]
}

type sentMessage struct {
	sequence uint64
	at       time.Time
}

type seed struct {
	address     string
	nextContact time.Time
}

// fleetRevisionTime is the time at which a fleet revision became known to this
// process.
type fleetRevisionTime struct {
	revision uint64
	at       time.Time
}

// State holds the tables of the state exchange. Its owner sets the values to be
// reported and reads the tables, or queries them through the methods.
type State struct {
	Peers   table.Table[Peer]
	Demand  Replica[uint32]        // by pool
	Leaving Replica[struct{}]      // by worker
	Grants  Replica[uint32]        // by worker; see GrantedSlots
	relayed Replica[RelayedMember] // by incarnation

	Sends   table.Outbound[Send]
	Replies table.Outbound[Reply]
	Fetches table.Outbound[Fetch]
	Changes table.Outbound[Change]

	self           Member
	revisions      Revisions
	fleetEpoch     uint64
	fleetConfirmed time.Time
	fleetRevisions []fleetRevisionTime // ascending

	sequence uint64 // of the last composed message
	demand   versioned[uint32]
	leaving  versioned[struct{}]
	members  versioned[RelayedMember]

	byIncarnation table.Index[string]
	byAddress     table.MultiIndex[string]
	seeds         []seed
	inbox         []Received
	fetching      [documentKinds]fetchState
	deadline      time.Time
}

// Options describes the process.
type Options struct {
	Self      Member
	Seeds     []string       // peer addresses to contact besides known members
	Documents []DocumentKind // to fetch from peers when they hold later ones
}

// New returns the state of a process without known peers.
func New(options Options) *State {
	s := &State{self: options.Self, demand: versioned[uint32]{numbered: true}}
	for _, address := range options.Seeds {
		if address != options.Self.Address {
			s.seeds = append(s.seeds, seed{address: address})
		}
	}
	for _, kind := range options.Documents {
		s.fetching[kind].wanted = true
	}
	return s
}

// Self returns the identity that this process reports.
func (s *State) Self() Member { return s.self }

// SetActive sets whether this process reports to be the active controller.
func (s *State) SetActive(active bool) { s.self.Active = active }

// SetRevision sets the reported revision of a document that is in force in this
// process. A lower revision is ignored.
func (s *State) SetRevision(kind DocumentKind, revision uint64, now time.Time) {
	if revision <= s.revisions[kind] {
		return
	}
	s.revisions[kind] = revision
	if kind == DocumentFleet {
		s.recordFleetRevision(revision, now)
	}
}

// recordFleetRevision records when the revision became known. An entry is dropped
// when its successor is older than fleetViewExpiry: for both revisions, the older
// fleet views have then expired.
func (s *State) recordFleetRevision(revision uint64, now time.Time) {
	s.fleetRevisions = append(s.fleetRevisions, fleetRevisionTime{revision, now})
	for len(s.fleetRevisions) > 1 && now.Sub(s.fleetRevisions[1].at) >= fleetViewExpiry {
		s.fleetRevisions = s.fleetRevisions[1:]
	}
}

// SetFleetView sets the reported epoch of the fleet document and the time at which
// the local view of it was last confirmed. The zero time means that it is not
// confirmed.
func (s *State) SetFleetView(epoch uint64, confirmed time.Time) {
	s.fleetEpoch = max(s.fleetEpoch, epoch)
	s.fleetConfirmed = confirmed
}

// nextSequence returns the sequence of the next message, which is the first to
// contain a change that is made now.
func (s *State) nextSequence() uint64 { return s.sequence + 1 }

// SetDemand sets the reported number of waiting and running requests of a pool.
// Changes of up to an eighth of the reported value are not sent, to limit the size
// of messages under load; a change from or to zero always is.
func (s *State) SetDemand(pool string, requests uint32) {
	reported, ok := s.demand.get(pool)
	if requests == 0 {
		s.demand.remove(pool, s.nextSequence())
		return
	}
	if difference := max(reported, requests) - min(reported, requests); !ok || difference > reported/8 {
		s.demand.put(pool, requests, s.nextSequence())
	}
}

// SetLeaving sets whether a worker is reported as leaving, which means that it
// must not receive new work.
func (s *State) SetLeaving(worker string, leaving bool) {
	if leaving {
		s.leaving.put(worker, struct{}{}, s.nextSequence())
		return
	}
	s.leaving.remove(worker, s.nextSequence())
}

// SetGrant grants slots of a worker to a peer; zero withdraws them. Every message
// renews the grant until it changes. Unknown peers are ignored.
func (s *State) SetGrant(peer table.ID, worker string, slots uint32) {
	row := s.Peers.Get(peer)
	switch {
	case row == nil:
	case slots == 0:
		row.grants.remove(worker, s.nextSequence())
	default:
		row.grants.put(worker, slots, s.nextSequence())
	}
}

// SetMembers applies the store's list of running processes. A listed process that
// has sent no message counts as silent since it was first listed.
func (s *State) SetMembers(members []Member, now time.Time) {
	for _, peer := range s.Peers.All() {
		peer.Listed = false
	}
	for _, member := range members {
		if member.Incarnation == s.self.Incarnation || member.Incarnation == "" {
			continue
		}
		id := s.findOrAdd(member, now)
		s.Peers.Get(id).Listed = true
	}
}

// Receive queues a message for the next tick.
func (s *State) Receive(received Received) { s.inbox = append(s.inbox, received) }

// Find returns the peer with the incarnation.
func (s *State) Find(incarnation string) (table.ID, *Peer) {
	id, ok := s.byIncarnation.Get(incarnation)
	if !ok {
		return 0, nil
	}
	return id, s.Peers.Get(id)
}

// NextDeadline returns the time at which the systems have to run even without an
// event.
func (s *State) NextDeadline() time.Time { return s.deadline }

// findOrAdd returns the row of the member and inserts it if necessary.
func (s *State) findOrAdd(member Member, now time.Time) table.ID {
	if id, ok := s.byIncarnation.Get(member.Incarnation); ok {
		return id
	}
	id := s.Peers.Insert(Peer{
		Member: member, LastReceivedAt: now, acknowledgedComposedAt: now, nextContact: now, grants: versioned[uint32]{numbered: true},
	})
	s.byIncarnation.Put(member.Incarnation, id)
	s.byAddress.Add(member.Address, id)
	return id
}

func (s *State) remove(id table.ID) {
	peer := s.Peers.Get(id)
	s.byIncarnation.Delete(peer.Incarnation)
	s.byAddress.Remove(peer.Address, id)
	s.Demand.clear(id)
	s.Leaving.clear(id)
	s.Grants.clear(id)
	s.relayed.clear(id)
	s.Peers.Delete(id)
}
