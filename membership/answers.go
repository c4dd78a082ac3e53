package membership

import (
	"time"

	"github.com/waxwingbridge/waxwingbridge/table"
)

// Acknowledged reports whether no gateway may still act on a fleet view older
// than the revision: each one has reported it, or its older view has expired.
func (s *State) Acknowledged(revision uint64, now time.Time) bool {
	return s.revisionKnownAt(revision) != nil && len(s.Unacknowledged(revision, now)) == 0
}

// Unacknowledged lists the gateways because of which Acknowledged is false.
//
// The view of a gateway without the revision expires after fleetViewExpiry of
// silence, counted from the last time at which the view can have been confirmed:
// its last message, or the commit of the revision if that is later, because the
// store may have confirmed the view of a gateway that this process does not hear.
func (s *State) Unacknowledged(revision uint64, now time.Time) []Member {
	known := s.revisionKnownAt(revision)
	var unacknowledged []Member
	for _, peer := range s.Peers.All() {
		if peer.Role != Gateway || peer.Revisions[DocumentFleet] >= revision {
			continue
		}
		last := peer.LastReceivedAt
		if known != nil && known.After(last) {
			last = *known
		}
		if known == nil || now.Sub(last) < fleetViewExpiry {
			unacknowledged = append(unacknowledged, peer.Member)
		}
	}
	return unacknowledged
}

// ReportedByAll reports whether every gateway that may be running has itself
// reported the revision. An expired fleet view does not count as a report.
func (s *State) ReportedByAll(revision uint64) bool {
	for _, peer := range s.Peers.All() {
		if peer.Role == Gateway && !peer.Replaced && peer.Revisions[DocumentFleet] < revision {
			return false
		}
	}
	return true
}

// revisionKnownAt returns when the fleet revision became known to this process,
// or nil if it is not known.
func (s *State) revisionKnownAt(revision uint64) *time.Time {
	for i := range s.fleetRevisions {
		if s.fleetRevisions[i].revision >= revision {
			return &s.fleetRevisions[i].at
		}
	}
	return nil
}

// LaggingProcess is a process in which a configuration revision is not in force.
type LaggingProcess struct {
	Member    Member
	Revision  uint64 // last reported by it; zero if no message of it arrived
	Suspected bool
}

// LaggingProcesses lists the processes that have not reported the configuration
// revision, including this one. An empty list means that it is in force
// everywhere.
func (s *State) LaggingProcesses(revision uint64) []LaggingProcess {
	var lagging []LaggingProcess
	if own := s.revisions[DocumentConfig]; own < revision {
		lagging = append(lagging, LaggingProcess{Member: s.self, Revision: own})
	}
	for _, peer := range s.Peers.All() {
		if held := peer.Revisions[DocumentConfig]; held < revision && !peer.Replaced {
			lagging = append(lagging, LaggingProcess{peer.Member, held, peer.Suspected})
		}
	}
	return lagging
}

// HomesAcknowledged reports whether each listed gateway holds this or a later
// epoch of the homes document.
func (s *State) HomesAcknowledged(epoch uint64, incarnations []string) bool {
	for _, incarnation := range incarnations {
		held := s.revisions[DocumentHomes]
		if incarnation != s.self.Incarnation {
			_, peer := s.Find(incarnation)
			if peer == nil {
				return false
			}
			held = peer.Revisions[DocumentHomes]
		}
		if held < epoch {
			return false
		}
	}
	return true
}

// ViewConfirmedByPeers returns the latest time, by the local clock, at which the
// confirmed fleet view of a peer shows that the local view was current. A peer
// with a later revision than the local one shows the opposite and does not count.
// The zero time means that no peer confirms the local view.
func (s *State) ViewConfirmedByPeers() time.Time {
	var latest time.Time
	for _, peer := range s.Peers.All() {
		if peer.Revisions[DocumentFleet] <= s.revisions[DocumentFleet] && peer.ViewConfirmed.After(latest) {
			latest = peer.ViewConfirmed
		}
	}
	return latest
}

// ReportedLeaving reports whether any peer reports the worker as leaving.
func (s *State) ReportedLeaving(worker string) bool {
	for range s.Leaving.ByName(worker) {
		return true
	}
	return false
}

// GrantedSlots returns the slots of a worker that peers have granted to this
// process under leases that have not expired.
func (s *State) GrantedSlots(worker string, now time.Time) uint32 {
	var slots uint32
	for row := range s.Grants.ByName(worker) {
		if peer := s.Peers.Get(row.Peer); !peer.Replaced && now.Sub(peer.LastReceivedAt) < GrantLease {
			slots += row.Value
		}
	}
	return slots
}

// Alive reports whether a message of the peer arrived recently, directly or as
// relayed by another peer, and the peer was not replaced.
func (s *State) Alive(id table.ID) bool {
	peer := s.Peers.Get(id)
	return peer != nil && (peer.Received || !peer.LastRelayed.IsZero()) && !peer.Suspected && !peer.Replaced
}

// ActiveController returns the active controller. If two processes claim this
// role, the later fleet epoch takes precedence, and then the later message.
func (s *State) ActiveController() (table.ID, *Peer) {
	var best table.ID
	for id, peer := range s.Peers.All() {
		if !peer.Active || peer.Role != Controller || peer.Replaced || peer.Suspected {
			continue
		}
		current := s.Peers.Get(best)
		if current == nil || peer.FleetEpoch > current.FleetEpoch ||
			(peer.FleetEpoch == current.FleetEpoch && peer.LastReceivedAt.After(current.LastReceivedAt)) {
			best = id
		}
	}
	return best, s.Peers.Get(best)
}
