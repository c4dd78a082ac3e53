package membership

import (
	"time"

	"github.com/waxwingbridge/waxwingbridge/table"
)

// Peer is another process. Times are local.
type Peer struct {
	Member
	Listed      bool      // in the store's list of members
	Heard       bool      // a message of this incarnation arrived
	LastHeard   time.Time // last message; before the first one, the moment at which the peer became known
	LastRelayed time.Time // moment to which another peer vouches that it hears this one
	Suspected   bool
	Replaced    bool // a later incarnation answers at its address
	Contact     bool // this process exchanges with it

	Revisions  Revisions // reported; never decrease
	FleetEpoch uint64
	// ViewConfirmed is a moment at or before the one at which the peer's fleet
	// view was last confirmed, by the local clock. Zero means unknown.
	ViewConfirmed time.Time

	received    uint64       // highest sequence of its messages
	merged      uint64       // highest sequence whose deltas are merged
	acked       uint64       // of our messages, as it said last
	confirmed   time.Time    // when we composed the latest message that it acknowledged
	sent        [16]sentMark // our last messages to it
	sentCount   int
	nextContact time.Time
	grants      versioned[uint32]
}

type sentMark struct {
	sequence uint64
	at       time.Time
}

type seed struct {
	address     string
	nextContact time.Time
}

// fleetMark is the moment at which a fleet revision became known here.
type fleetMark struct {
	revision uint64
	at       time.Time
}

// State holds the tables of the exchange. Its owner sets the values that are
// reported and reads the tables and answers.
type State struct {
	Peers   table.Table[Peer]
	Demand  Replica[uint32]        // by pool
	Leaving Replica[struct{}]      // by worker
	Grants  Replica[uint32]        // by worker; see Granted
	told    Replica[RelayedMember] // by incarnation

	Sends   table.Outbound[Send]
	Replies table.Outbound[Reply]
	Fetches table.Outbound[Fetch]
	Changes table.Outbound[Change]

	self           Member
	revisions      Revisions
	fleetEpoch     uint64
	fleetConfirmed time.Time
	fleetLog       []fleetMark // ascending

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

// New returns the state of a process that knows no peer.
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

// Self returns the own identity as it is reported.
func (s *State) Self() Member { return s.self }

// SetActive reports whether this process is the active controller.
func (s *State) SetActive(active bool) { s.self.Active = active }

// SetRevision reports the revision of a document that is in force here. A lower
// one is ignored.
func (s *State) SetRevision(kind DocumentKind, revision uint64, now time.Time) {
	if revision <= s.revisions[kind] {
		return
	}
	s.revisions[kind] = revision
	if kind == DocumentFleet {
		s.markFleet(revision, now)
	}
}

// markFleet records when the revision became known. A mark is dropped when its
// successor is older than sendingLapse: both then mean that the lapse is over.
func (s *State) markFleet(revision uint64, now time.Time) {
	s.fleetLog = append(s.fleetLog, fleetMark{revision, now})
	for len(s.fleetLog) > 1 && now.Sub(s.fleetLog[1].at) >= sendingLapse {
		s.fleetLog = s.fleetLog[1:]
	}
}

// SetFleetView reports the epoch of the fleet document and when the local view
// of it was last confirmed. The zero time means that it is not confirmed.
func (s *State) SetFleetView(epoch uint64, confirmed time.Time) {
	s.fleetEpoch = max(s.fleetEpoch, epoch)
	s.fleetConfirmed = confirmed
}

// next is the sequence of the next message, the first to contain a change that
// is made now.
func (s *State) next() uint64 { return s.sequence + 1 }

// SetDemand reports the waiting and running requests of a pool. Changes within
// an eighth of the reported value are not sent, to bound the size of busy
// exchanges; a change from or to zero always is.
func (s *State) SetDemand(pool string, requests uint32) {
	reported, ok := s.demand.get(pool)
	if requests == 0 {
		s.demand.remove(pool, s.next())
		return
	}
	if difference := max(reported, requests) - min(reported, requests); !ok || difference > reported/8 {
		s.demand.put(pool, requests, s.next())
	}
}

// SetLeaving reports whether a worker must not receive new work.
func (s *State) SetLeaving(worker string, leaving bool) {
	if leaving {
		s.leaving.put(worker, struct{}{}, s.next())
		return
	}
	s.leaving.remove(worker, s.next())
}

// SetGrant grants slots of a worker to a peer; zero withdraws them. The grant
// is renewed by every message until it changes. Unknown peers are ignored.
func (s *State) SetGrant(peer table.ID, worker string, slots uint32) {
	row := s.Peers.Get(peer)
	switch {
	case row == nil:
	case slots == 0:
		row.grants.remove(worker, s.next())
	default:
		row.grants.put(worker, slots, s.next())
	}
}

// SetMembers takes over the store's list of live processes. Processes on it
// that were never heard from count as silent since they were first listed.
func (s *State) SetMembers(members []Member, now time.Time) {
	for _, peer := range s.Peers.All() {
		peer.Listed = false
	}
	for _, member := range members {
		if member.Incarnation == s.self.Incarnation || member.Incarnation == "" {
			continue
		}
		id := s.ensure(member, now)
		s.Peers.Get(id).Listed = true
	}
}

// Receive takes a message for the next tick.
func (s *State) Receive(received Received) { s.inbox = append(s.inbox, received) }

// Find returns the peer with the incarnation.
func (s *State) Find(incarnation string) (table.ID, *Peer) {
	id, ok := s.byIncarnation.Get(incarnation)
	if !ok {
		return 0, nil
	}
	return id, s.Peers.Get(id)
}

// NextDeadline returns the moment at which the systems have to run without an
// event.
func (s *State) NextDeadline() time.Time { return s.deadline }

// ensure returns the row of the member and makes it if needed.
func (s *State) ensure(member Member, now time.Time) table.ID {
	if id, ok := s.byIncarnation.Get(member.Incarnation); ok {
		return id
	}
	id := s.Peers.Insert(Peer{
		Member: member, LastHeard: now, confirmed: now, nextContact: now, grants: versioned[uint32]{numbered: true},
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
	s.told.clear(id)
	s.Peers.Delete(id)
}
