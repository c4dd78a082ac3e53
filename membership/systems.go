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
		{Name: "tell members", Run: tellMembers},
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

// suspectPeers marks peers that are silent. A peer that this process does not
// exchange with counts as heard while another peer tells that it hears it.
func suspectPeers(s *State, tick engine.Tick) {
	for id, peer := range s.Peers.All() {
		for told := range s.told.ByName(peer.Incarnation) {
			if teller := s.Peers.Get(told.Peer); told.Peer != id && teller.LastHeard.After(peer.LastRelayed) {
				peer.LastRelayed = teller.LastHeard
			}
		}
		silent := tick.Now.Sub(peer.lastSign()) >= SuspectAfter
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

// lastSign is the moment of the last sign of life that counts for the peer.
func (p *Peer) lastSign() time.Time {
	if !p.Contact && p.LastRelayed.After(p.LastHeard) {
		return p.LastRelayed
	}
	return p.LastHeard
}

// removePeers deletes peers after a long silence. Listed ones stay, so that
// they are contacted as long as the store knows them.
func removePeers(s *State, tick engine.Tick) {
	for id, peer := range s.Peers.All() {
		if tick.Now.Sub(peer.lastSign()) < RemoveAfter || (peer.Listed && !peer.Replaced) {
			continue
		}
		s.Changes.Add(Change{PeerRemoved, peer.Member})
		s.remove(id)
	}
}

// tellMembers keeps the list of processes that this one hears directly.
func tellMembers(s *State, tick engine.Tick) {
	many := s.Peers.Len() > FullMeshLimit
	for _, peer := range s.Peers.All() {
		if !peer.Heard || peer.Replaced || tick.Now.Sub(peer.LastHeard) >= SuspectAfter {
			continue
		}
		told := RelayedMember{Member: peer.Member}
		if many {
			told.ConfigRevision = peer.Revisions[DocumentConfig]
		}
		s.members.put(peer.Incarnation, told, s.next())
	}
	for _, row := range s.members.rows.All() {
		_, peer := s.Find(row.name)
		if peer == nil || peer.Replaced || tick.Now.Sub(peer.LastHeard) >= SuspectAfter {
			s.members.remove(row.name, s.next())
		}
	}
}

// minimumPause bounds the rate of ticks that a deadline causes.
const minimumPause = 5 * time.Millisecond

// schedule finds the next moment at which a system has something to do.
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
			consider(peer.lastSign().Add(SuspectAfter))
		}
	}
	for i := range s.seeds {
		consider(s.seeds[i].nextContact)
	}
	for kind := range s.fetching {
		if at := s.fetching[kind].due(); !at.IsZero() {
			consider(at)
		}
	}
	if soonest := tick.Now.Add(minimumPause); next.Before(soonest) {
		next = soonest
	}
	s.deadline = next
}
