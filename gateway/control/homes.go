package control

import (
	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/events"
	"github.com/waxwingbridge/waxwingbridge/membership"
)

// trackHomes passes the homes list to the tracker while the current lease is valid.
// After the lease has expired, it starts again with a list that was read under a new
// lease, because another gateway may have taken over keys in the meantime.
func trackHomes(s *State, tick engine.Tick) {
	if s.homesLease != 0 && (s.View.Lease != s.homesLease || !tick.Now.Before(s.View.LeaseDeadline)) {
		s.homesLease = 0
		s.Tracker.LeaseExpired()
	}
	before, settled := s.Tracker.Epoch(), s.Tracker.Settled()
	if result := s.homesResult; result != nil {
		s.homesResult = nil
		if result.Lease == s.View.Lease && result.Lease != 0 && tick.Now.Before(s.View.LeaseDeadline) {
			s.homesLease = result.Lease
			s.Tracker.Observe(*result.Homes, tick.Now)
		}
	}
	if s.homesLease != 0 && s.View.Homes != nil {
		s.Tracker.Observe(*s.View.Homes, tick.Now)
	}
	for _, peer := range s.Peers.Peers.All() {
		s.Tracker.Acknowledge(peer.Incarnation, peer.Revisions[membership.DocumentHomes], tick.Now)
	}
	if s.Tracker.Epoch() != before {
		s.View.Log(events.HomesChanged, events.F("epoch", s.Tracker.Epoch()))
	}
	if s.Tracker.Settled() && !settled {
		s.View.Log(events.HomesSettled, events.F("epoch", s.Tracker.Epoch()))
	}
}

// assignHomes requests an update of the list if this gateway is not listed, or if a
// listed gateway appears to have failed.
func assignHomes(s *State, tick engine.Tick) {
	if s.homesInFlight && tick.Now.Sub(s.homesRequestedAt) < homesUpdateTimeout {
		return
	}
	if tick.Now.Sub(s.homesRequestedAt) < homesCheckInterval || !s.View.StoreConnected || s.View.Lease == 0 || s.NotReadyReason() != "" {
		return
	}
	if s.homesLease == s.View.Lease && !s.homesNeedUpdate() {
		return
	}
	s.homesRequestedAt, s.homesInFlight = tick.Now, true
	s.Outbound.Homes.Add(UpdateHomes{Lease: s.View.Lease})
}

func (s *State) homesNeedUpdate() bool {
	homes, ok := s.Tracker.Current()
	if !ok || !homes.Contains(s.View.Self.Incarnation) {
		return true
	}
	for _, member := range homes.Members {
		if member.Incarnation == s.View.Self.Incarnation {
			continue
		}
		if _, peer := s.Peers.Find(member.Incarnation); peer == nil || peer.Suspected || peer.Replaced {
			return true
		}
	}
	return false
}
