package membership

import (
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/table"
)

// mergeMessages takes over the received messages and composes the answers that
// peers wait for.
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

// merge returns the sender's row, or zero if the message names no other process.
func (s *State) merge(received *Received, now time.Time) table.ID {
	message := &received.Message
	if message.Sender.Incarnation == "" {
		return 0
	}
	if message.Sender.Incarnation == s.self.Incarnation {
		s.dropSeed(received.Address)
		return 0
	}
	id := s.ensure(message.Sender, now)
	peer := s.Peers.Get(id)
	if message.Sequence <= peer.received {
		return id // a duplicate or overtaken by a later message
	}
	peer.received = message.Sequence
	s.hear(id, peer, message, now)
	if message.Receiver == s.self.Incarnation {
		if message.Acknowledged > s.sequence {
			message.Acknowledged = 0 // never sent: the peer starts again from a complete message
		}
		peer.confirm(message)
	}
	s.mergeDeltas(id, peer, message)
	s.learnMembers(message, now)
	return id
}

// hear records what the arrival of the message itself tells.
func (s *State) hear(id table.ID, peer *Peer, message *Message, now time.Time) {
	if !peer.Heard {
		s.Changes.Add(Change{PeerJoined, message.Sender})
	}
	if peer.Address != message.Sender.Address {
		s.byAddress.Remove(peer.Address, id)
		s.byAddress.Add(message.Sender.Address, id)
	}
	peer.Member = message.Sender
	peer.Heard, peer.Replaced, peer.LastHeard = true, false, now
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

// confirm records which of our messages the peer holds. The message was
// composed after the acknowledged one, so the age of the peer's fleet view is
// counted from there: a message that was held up in transit then looks older
// than it is, and never fresher.
func (p *Peer) confirm(message *Message) {
	p.acked = message.Acknowledged
	for _, mark := range p.sent {
		if mark.sequence != message.Acknowledged || mark.sequence == 0 {
			continue
		}
		p.confirmed = mark.at
		if viewed := mark.at.Add(-message.FleetAge); message.FleetConfirmed && viewed.After(p.ViewConfirmed) {
			p.ViewConfirmed = viewed
		}
	}
}

// mergeDeltas applies the deltas if they build on what is held. Otherwise the
// next acknowledgement makes the peer start from there. A message for an earlier
// incarnation at this address, or for an unknown receiver, carries other grants.
func (s *State) mergeDeltas(id table.ID, peer *Peer, message *Message) {
	if message.Base > peer.merged || message.Receiver != s.self.Incarnation {
		return
	}
	complete := message.Base == 0
	s.Demand.merge(id, message.Demand, complete)
	s.Leaving.merge(id, message.Leaving, complete)
	s.Grants.merge(id, message.Grants, complete)
	s.told.merge(id, message.Members, complete)
	peer.merged = message.Sequence
}

// learnMembers makes rows for processes that the peer hears. Insertion moves
// rows, so no row pointer may be held across it.
func (s *State) learnMembers(message *Message, now time.Time) {
	for _, entry := range message.Members.Set {
		member := entry.Value.Member
		if member.Incarnation == "" || member.Incarnation == s.self.Incarnation {
			continue
		}
		peer := s.Peers.Get(s.ensure(member, now))
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
