package membership

import (
	"hash/fnv"
	"slices"
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/table"
)

// chooseContacts decides with which peers this process exchanges: all of them
// up to FullMeshLimit, beyond that those in its own zone and one delegate per
// other zone. The active controller and the gateways always exchange with each
// other, because the acknowledgement of a fleet revision must be heard directly.
func chooseContacts(s *State, _ engine.Tick) {
	count := 0
	for _, peer := range s.Peers.All() {
		if !peer.Replaced {
			count++
		}
	}
	delegates := map[string]table.ID{}
	for id, peer := range s.Peers.All() {
		if !peer.Replaced && s.betterDelegate(id, delegates[peer.AvailabilityZone]) {
			delegates[peer.AvailabilityZone] = id
		}
	}
	for id, peer := range s.Peers.All() {
		peer.Contact = !peer.Replaced && peer.Address != "" && (count <= FullMeshLimit || peer.AvailabilityZone == s.self.AvailabilityZone ||
			delegates[peer.AvailabilityZone] == id || s.commands(peer))
	}
}

// commands reports whether one of the two is the active controller and the
// other a gateway.
func (s *State) commands(peer *Peer) bool {
	return (s.self.Active && peer.Role == Gateway) || (s.self.Role == Gateway && peer.Active)
}

// betterDelegate prefers peers that are not suspected and spreads the rest by
// hash, so that processes choose different delegates.
func (s *State) betterDelegate(id, than table.ID) bool {
	peer, current := s.Peers.Get(id), s.Peers.Get(than)
	if current == nil {
		return true
	}
	if peer.Suspected != current.Suspected {
		return current.Suspected
	}
	return s.weight(peer) > s.weight(current)
}

func (s *State) weight(peer *Peer) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(s.self.Incarnation + "/" + peer.Incarnation)) // never fails
	return hash.Sum64()
}

// sendState composes the messages that are due.
func sendState(s *State, tick engine.Tick) {
	s.pruneTombstones()
	for id, peer := range s.Peers.All() {
		if !peer.Contact || tick.Now.Before(peer.nextContact) {
			continue
		}
		if due := s.dialMoment(peer); tick.Now.Before(due) {
			peer.nextContact = due
			continue
		}
		peer.nextContact = tick.Now.Add(ExchangeInterval)
		s.Sends.Add(Send{peer.Address, s.compose(id, tick.Now)})
	}
	for i := range s.seeds {
		seed := &s.seeds[i]
		if tick.Now.Before(seed.nextContact) {
			continue
		}
		seed.nextContact = tick.Now.Add(ExchangeInterval)
		if !s.contacted(seed.address) {
			s.Sends.Add(Send{seed.address, s.compose(0, tick.Now)})
		}
	}
}

// dialMoment returns when to dial the peer. An exchange carries the state of
// both sides, so of each pair only the lower incarnation dials while that works
// in both directions.
func (s *State) dialMoment(peer *Peer) time.Time {
	if !peer.Heard || s.self.Incarnation < peer.Incarnation {
		return time.Time{}
	}
	due := peer.LastHeard.Add(dialAfterSilence)
	if unconfirmed := peer.confirmed.Add(dialAfterUnconfirmed); unconfirmed.Before(due) {
		return unconfirmed
	}
	return due
}

// contacted reports whether messages to the address are sent for a known peer.
func (s *State) contacted(address string) bool {
	return slices.ContainsFunc(s.byAddress.Get(address), func(id table.ID) bool { return !s.Peers.Get(id).Replaced })
}

// compose makes the next message for a peer, or a complete one for an unknown
// receiver if the ID is zero.
func (s *State) compose(id table.ID, now time.Time) Message {
	s.sequence++
	message := Message{
		Sender: s.self, Sequence: s.sequence, Revisions: s.revisions, FleetEpoch: s.fleetEpoch,
		FleetConfirmed: !s.fleetConfirmed.IsZero(),
	}
	if message.FleetConfirmed {
		message.FleetAge = max(0, now.Sub(s.fleetConfirmed))
	}
	if peer := s.Peers.Get(id); peer != nil {
		message.Receiver, message.Acknowledged = peer.Incarnation, peer.merged
		message.Base = s.base(peer)
		message.Grants = peer.grants.delta(message.Base)
		peer.sent[peer.sentCount%len(peer.sent)] = sentMark{s.sequence, now}
		peer.sentCount++
	}
	message.Demand = s.demand.delta(message.Base)
	message.Leaving = s.leaving.delta(message.Base)
	message.Members = s.members.delta(message.Base)
	return message
}

// base returns the sequence on which the next delta for the peer builds.
func (s *State) base(peer *Peer) uint64 {
	acked := peer.acked
	if s.demand.covers(acked) && s.leaving.covers(acked) && s.members.covers(acked) && peer.grants.covers(acked) {
		return acked
	}
	return 0
}

// pruneTombstones forgets removals that all peers in contact have seen.
func (s *State) pruneTombstones() {
	acked := s.sequence
	for _, peer := range s.Peers.All() {
		peer.grants.prune(peer.acked)
		if peer.Contact && !peer.Suspected {
			acked = min(acked, peer.acked)
		}
	}
	s.demand.prune(acked)
	s.leaving.prune(acked)
	s.members.prune(acked)
}
