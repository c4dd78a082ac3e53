package membership

import (
	"hash/fnv"
	"slices"
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/table"
)

// chooseContacts selects the peers with which this process exchanges messages:
// all of them up to FullMeshLimit, beyond that those in its own zone and one
// delegate per other zone. The active controller and the gateways always exchange
// messages, because a fleet revision must be acknowledged directly.
func chooseContacts(s *State, _ engine.Tick) {
	count := 0
	for _, peer := range s.Peers.All() {
		if !peer.Replaced {
			count++
		}
	}
	delegates := map[string]table.ID{}
	for id, peer := range s.Peers.All() {
		if !peer.Replaced && s.preferredDelegate(id, delegates[peer.AvailabilityZone]) {
			delegates[peer.AvailabilityZone] = id
		}
	}
	for id, peer := range s.Peers.All() {
		peer.Contact = !peer.Replaced && peer.Address != "" && (count <= FullMeshLimit || peer.AvailabilityZone == s.self.AvailabilityZone ||
			delegates[peer.AvailabilityZone] == id || s.controllerGatewayPair(peer))
	}
}

// controllerGatewayPair reports whether, of this process and the peer, one is the
// active controller and the other a gateway.
func (s *State) controllerGatewayPair(peer *Peer) bool {
	return (s.self.Active && peer.Role == Gateway) || (s.self.Role == Gateway && peer.Active)
}

// preferredDelegate reports whether the peer is preferred to the current delegate.
// Peers that are not suspected come first; the others are ordered by a hash that
// differs between processes, so that they choose different delegates.
func (s *State) preferredDelegate(id, currentID table.ID) bool {
	peer, current := s.Peers.Get(id), s.Peers.Get(currentID)
	if current == nil {
		return true
	}
	if peer.Suspected != current.Suspected {
		return current.Suspected
	}
	return s.delegateHash(peer) > s.delegateHash(current)
}

func (s *State) delegateHash(peer *Peer) uint64 {
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
		if due := s.nextDial(peer); tick.Now.Before(due) {
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
		if !s.hasContact(seed.address) {
			s.Sends.Add(Send{seed.address, s.compose(0, tick.Now)})
		}
	}
}

// nextDial returns the time of the next call to the peer. An exchange carries the
// state of both sides, so in each pair only the process with the lower incarnation
// dials, as long as messages arrive in both directions.
func (s *State) nextDial(peer *Peer) time.Time {
	if !peer.Received || s.self.Incarnation < peer.Incarnation {
		return time.Time{}
	}
	due := peer.LastReceivedAt.Add(dialAfterSilence)
	if unconfirmed := peer.acknowledgedComposedAt.Add(dialAfterUnconfirmed); unconfirmed.Before(due) {
		return unconfirmed
	}
	return due
}

// hasContact reports whether a known peer already receives messages at the address.
func (s *State) hasContact(address string) bool {
	return slices.ContainsFunc(s.byAddress.Get(address), func(id table.ID) bool { return !s.Peers.Get(id).Replaced })
}

// compose builds the next message for a peer, or a complete message for an unknown
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
		message.Receiver, message.Acknowledged = peer.Incarnation, peer.lastMerged
		message.Base = s.deltaBase(peer)
		message.Grants = peer.grants.delta(message.Base)
		peer.sent[peer.sentCount%len(peer.sent)] = sentMessage{s.sequence, now}
		peer.sentCount++
	}
	message.Demand = s.demand.delta(message.Base)
	message.Leaving = s.leaving.delta(message.Base)
	message.Members = s.members.delta(message.Base)
	return message
}

// deltaBase returns the sequence on which the next delta for the peer builds, or
// zero if the message must be complete.
func (s *State) deltaBase(peer *Peer) uint64 {
	acknowledged := peer.lastAcknowledged
	if s.demand.covers(acknowledged) && s.leaving.covers(acknowledged) && s.members.covers(acknowledged) && peer.grants.covers(acknowledged) {
		return acknowledged
	}
	return 0
}

// pruneTombstones deletes the tombstones of removals that all contacted peers have
// acknowledged.
func (s *State) pruneTombstones() {
	acknowledged := s.sequence
	for _, peer := range s.Peers.All() {
		peer.grants.prune(peer.lastAcknowledged)
		if peer.Contact && !peer.Suspected {
			acknowledged = min(acknowledged, peer.lastAcknowledged)
		}
	}
	s.demand.prune(acknowledged)
	s.leaving.prune(acknowledged)
	s.members.prune(acknowledged)
}
