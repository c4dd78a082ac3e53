package membership

import (
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/table"
)

// mergeMessages merges the received messages into the tables and composes the
// replies that peers wait for.
func mergeMessages(s *State, tick engine.Tick) {
	for i := range s.inbox {
		received := &s.inbox[i]
		id := s.merge(received, tick.Now)
		if received.Token != 0 {
			s.Replies.Add(Reply{received.Token, s.compose(id, tick.Now)})
		}
	}
	clear(s.inbox)
	s.inbox = s.inbox[:0]
}

// merge applies a message. It returns the sender's row, or zero if the message
// names no sender or this process as its sender.
func (s *State) merge(received *Received, now time.Time) table.ID {
	message := &received.Message
	if message.Sender.Incarnation == "" {
		return 0
	}
	if message.Sender.Incarnation == s.self.Incarnation {
		s.dropSeed(received.Address)
		return 0
	}
	id := s.findOrAdd(message.Sender, now)
	peer := s.Peers.Get(id)
	if message.Sequence <= peer.lastReceivedSequence {
		return id // a duplicate or overtaken by a later message
	}
	peer.lastReceivedSequence = message.Sequence
	s.recordSender(id, peer, message, now)
	if message.Receiver == s.self.Incarnation {
		if message.Acknowledged > s.sequence {
			message.Acknowledged = 0 // never sent; the next message to the peer is complete
		}
		peer.recordAcknowledgement(message)
	}
	s.mergeDeltas(id, peer, message)
	s.addRelayedMembers(message, now)
	return id
}

// recordSender updates the sender's row with what the message says about it.
func (s *State) recordSender(id table.ID, peer *Peer, message *Message, now time.Time) {
	if !peer.Received {
		s.Changes.Add(Change{PeerJoined, message.Sender})
	}
	if peer.Address != message.Sender.Address {
		s.byAddress.Remove(peer.Address, id)
		s.byAddress.Add(message.Sender.Address, id)
	}
	peer.Member = message.Sender
	peer.Received, peer.Replaced, peer.LastReceivedAt = true, false, now
	peer.Revisions.raise(message.Revisions)
	peer.FleetEpoch = max(peer.FleetEpoch, message.FleetEpoch)
	if peer.Address == "" {
		return
	}
	for _, other := range s.byAddress.Get(peer.Address) {
		if row := s.Peers.Get(other); other != id && !row.Replaced {
			row.Replaced = true
			s.Changes.Add(Change{PeerReplaced, row.Member})
		}
	}
}

// recordAcknowledgement records which of our messages the peer holds. The message
// was composed after the acknowledged one, so the age of the peer's fleet view is
// counted from the time of the latter: after a delay in transit, the view appears
// older than it is, and never more recent.
func (p *Peer) recordAcknowledgement(message *Message) {
	p.lastAcknowledged = message.Acknowledged
	for _, sent := range p.sent {
		if sent.sequence != message.Acknowledged || sent.sequence == 0 {
			continue
		}
		p.acknowledgedComposedAt = sent.at
		if confirmedAt := sent.at.Add(-message.FleetAge); message.FleetConfirmed && confirmedAt.After(p.ViewConfirmed) {
			p.ViewConfirmed = confirmedAt
		}
	}
}

// mergeDeltas applies the deltas if their base has been merged. Otherwise the next
// acknowledgement makes the peer send a delta from there. A message for an earlier
// incarnation at this address, or for an unknown receiver, is not applied, because
// it carries other grants.
func (s *State) mergeDeltas(id table.ID, peer *Peer, message *Message) {
	if message.Base > peer.lastMerged || message.Receiver != s.self.Incarnation {
		return
	}
	complete := message.Base == 0
	s.Demand.merge(id, message.Demand, complete)
	s.Leaving.merge(id, message.Leaving, complete)
	s.Grants.merge(id, message.Grants, complete)
	s.relayed.merge(id, message.Members, complete)
	peer.lastMerged = message.Sequence
}

// addRelayedMembers adds rows for processes that the peer hears directly.
// Insertion moves rows, so no row pointer may be held across it.
func (s *State) addRelayedMembers(message *Message, now time.Time) {
	for _, entry := range message.Members.Set {
		member := entry.Value.Member
		if member.Incarnation == "" || member.Incarnation == s.self.Incarnation {
			continue
		}
		peer := s.Peers.Get(s.findOrAdd(member, now))
		if !peer.Contact {
			peer.Active = member.Active
		}
		peer.Revisions[DocumentConfig] = max(peer.Revisions[DocumentConfig], entry.Value.ConfigRevision)
	}
}

func (s *State) dropSeed(address string) {
	for i := range s.seeds {
		if s.seeds[i].address == address {
			s.seeds = append(s.seeds[:i], s.seeds[i+1:]...)
			return
		}
	}
}
