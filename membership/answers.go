package membership

import (
	"time"

	"github.com/waxwingbridge/waxwingbridge/table"
)

// Acknowledged reports whether no gateway may still act on a fleet view older
// than the revision: each one has reported it or has lost its right to send.
func (s *State) Acknowledged(revision uint64, now time.Time) bool {
	return s.knownSince(revision) != nil && len(s.Unacknowledged(revision, now)) == 0
}

// Unacknowledged lists the gateways for which Acknowledged still waits.
//
// A gateway without the revision loses its right to send after sendingLapse of
// silence, counted from the last moment at which its view can have been
// confirmed: its last message, or the commit of the revision if that is later,
// because the store may have confirmed the view of a gateway that this process
// does not hear.
func (s *State) Unacknowledged(revision uint64, now time.Time) []Member {
	known := s.knownSince(revision)
	var waiting []Member
	for _, peer := range s.Peers.All() {
		if peer.Role != Gateway || peer.Revisions[DocumentFleet] >= revision {
			continue
		}
		last := peer.LastHeard
		if known != nil && known.After(last) {
			last = *known
		}
		if known == nil || now.Sub(last) < sendingLapse {
			waiting = append(waiting, peer.Member)
		}
	}
	return waiting
}

// ReportedByAll reports whether every gateway that may be alive has reported the
// revision itself. A lapsed right to send does not count.
func (s *State) ReportedByAll(revision uint64) bool {
	for _, peer := range s.Peers.All() {
		if peer.Role == Gateway && !peer.Replaced && peer.Revisions[DocumentFleet] < revision {
			return false
		}
	}
	return true
}

// knownSince returns when the fleet revision became known here, or nil if it
// has not.
func (s *State) knownSince(revision uint64) *time.Time {
	for i := range s.fleetLog {
		if s.fleetLog[i].revision >= revision {
			return &s.fleetLog[i].at
		}
	}
	return nil
}

// LaggingProcess is a process in which a configuration is not in force.
type LaggingProcess struct {
	Member    Member
	Revision  uint64 // that it reported last; zero if it was never heard from
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

// ViewConfirmedByPeers returns the latest moment at which a peer's confirmed fleet
// view proves that the own view was current, by the local clock. A peer with a
// later revision than the own one proves the opposite and does not count. The
// zero time means that no peer vouches.
func (s *State) ViewConfirmedByPeers() time.Time {
	var latest time.Time
	for _, peer := range s.Peers.All() {
		if peer.Revisions[DocumentFleet] <= s.revisions[DocumentFleet] && peer.ViewConfirmed.After(latest) {
			latest = peer.ViewConfirmed
		}
	}
	return latest
}

// ReportedLeaving reports whether any peer says that the worker is leaving.
func (s *State) ReportedLeaving(worker string) bool {
	for range s.Leaving.ByName(worker) {
		return true
	}
	return false
}

// GrantedSlots returns the slots of a worker that peers have granted to this process
// under leases that have not ended.
func (s *State) GrantedSlots(worker string, now time.Time) uint32 {
	var slots uint32
	for row := range s.Grants.ByName(worker) {
		if peer := s.Peers.Get(row.Peer); !peer.Replaced && now.Sub(peer.LastHeard) < GrantLease {
			slots += row.Value
		}
	}
	return slots
}

// Alive reports whether the peer was heard from lately and was not replaced.
func (s *State) Alive(id table.ID) bool {
	peer := s.Peers.Get(id)
	return peer != nil && (peer.Heard || !peer.LastRelayed.IsZero()) && !peer.Suspected && !peer.Replaced
}

// ActiveController returns the active controller. If two claim to be it, the one
// with the later epoch counts, and then the one that was heard from last.
func (s *State) ActiveController() (table.ID, *Peer) {
	var best table.ID
	for id, peer := range s.Peers.All() {
		if !peer.Active || peer.Role != Controller || peer.Replaced || peer.Suspected {
			continue
		}
		current := s.Peers.Get(best)
		if current == nil || peer.FleetEpoch > current.FleetEpoch ||
			(peer.FleetEpoch == current.FleetEpoch && peer.LastHeard.After(current.LastHeard)) {
			best = id
		}
	}
	return best, s.Peers.Get(best)
}
