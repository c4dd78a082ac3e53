package membership

import (
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
)

// Systems lists the systems in the order in which they run.
func Systems() []engine.System[State] {
	return []engine.System[State]{
		{Name: "merge peer state", Run: mergeMessages},
		{Name: "suspect peers", Run: suspectPeers},
		{Name: "remove peers", Run: removePeers},
		{Name: "tell members", Run: publishMembers},
		{Name: "choose contacts", Run: chooseContacts},
		{Name: "send state", Run: sendState},
		{Name: "fetch documents", Run: fetchDocuments},
		{Name: "schedule", Run: schedule},
	}
}

// Lift returns the systems for an owner whose state contains a State.
func Lift[S any](part func(*S) *State) []engine.System[S] {
	systems := Systems()
	lifted := make([]engine.System[S], len(systems))
	for i, system := range systems {
		lifted[i] = engine.System[S]{Name: system.Name, Run: func(s *S, tick engine.Tick) { system.Run(part(s), tick) }}
	}
	return lifted
}

// suspectPeers marks silent peers as suspected. A peer with which this process
// exchanges no messages is not silent while another peer receives its messages.
func suspectPeers(s *State, tick engine.Tick) {
	for id, peer := range s.Peers.All() {
		for relayed := range s.relayed.ByName(peer.Incarnation) {
			if relay := s.Peers.Get(relayed.Peer); relayed.Peer != id && relay.LastReceivedAt.After(peer.LastRelayed) {
				peer.LastRelayed = relay.LastReceivedAt
			}
		}
		silent := tick.Now.Sub(peer.lastSeen()) >= SuspectAfter
		if silent == peer.Suspected || peer.Replaced {
			continue
		}
		peer.Suspected = silent
		kind := PeerRecovered
		if silent {
			kind = PeerSuspected
		}
		s.Changes.Add(Change{kind, peer.Member})
	}
}

// lastSeen returns the time at which the peer was last known to be running: that
// of its last message or, for a peer without contact, of a later report about it.
func (p *Peer) lastSeen() time.Time {
	if !p.Contact && p.LastRelayed.After(p.LastReceivedAt) {
		return p.LastRelayed
	}
	return p.LastReceivedAt
}

// removePeers deletes peers after RemoveAfter of silence. Listed ones are kept, so
// that they are contacted as long as the store lists them.
func removePeers(s *State, tick engine.Tick) {
	for id, peer := range s.Peers.All() {
		if tick.Now.Sub(peer.lastSeen()) < RemoveAfter || (peer.Listed && !peer.Replaced) {
			continue
		}
		s.Changes.Add(Change{PeerRemoved, peer.Member})
		s.remove(id)
	}
}

// publishMembers maintains the reported list of processes that this one hears
// directly.
func publishMembers(s *State, tick engine.Tick) {
	partialMesh := s.Peers.Len() > FullMeshLimit
	for _, peer := range s.Peers.All() {
		if !peer.Received || peer.Replaced || tick.Now.Sub(peer.LastReceivedAt) >= SuspectAfter {
			continue
		}
		relayed := RelayedMember{Member: peer.Member}
		if partialMesh {
			relayed.ConfigRevision = peer.Revisions[DocumentConfig]
		}
		s.members.put(peer.Incarnation, relayed, s.nextSequence())
	}
	for _, row := range s.members.rows.All() {
		_, peer := s.Find(row.name)
		if peer == nil || peer.Replaced || tick.Now.Sub(peer.LastReceivedAt) >= SuspectAfter {
			s.members.remove(row.name, s.nextSequence())
		}
	}
}

// minTickInterval limits the rate of ticks that are caused by deadlines.
const minTickInterval = 5 * time.Millisecond

// schedule computes the next time at which a system has work to do.
func schedule(s *State, tick engine.Tick) {
	next := tick.Now.Add(ExchangeInterval)
	consider := func(at time.Time) {
		if at.Before(next) {
			next = at
		}
	}
	for _, peer := range s.Peers.All() {
		if peer.Contact {
			consider(peer.nextContact)
		}
		if !peer.Suspected && !peer.Replaced {
			consider(peer.lastSeen().Add(SuspectAfter))
		}
	}
	for i := range s.seeds {
		consider(s.seeds[i].nextContact)
	}
	for kind := range s.fetching {
		if at := s.fetching[kind].nextDeadline(); !at.IsZero() {
			consider(at)
		}
	}
	if earliest := tick.Now.Add(minTickInterval); next.Before(earliest) {
		next = earliest
	}
	s.deadline = next
}
