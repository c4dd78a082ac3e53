package control

import (
	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/events"
	"github.com/waxwingbridge/waxwingbridge/membership"
)

// trackHomes follows the homes list under the present lease. After a lapse it
// starts anew from a list that was read under the next lease, because another
// gateway may have taken over keys meanwhile.
func trackHomes(s *State, tick engine.Tick) {
	if s.lease != 0 && (s.View.Lease != s.lease || !tick.Now.Before(s.View.LeaseDeadline)) {
		s.lease = 0
		s.Tracker.LeaseExpired()
	}
	before, settled := s.Tracker.Epoch(), s.Tracker.Settled()
	if result := s.homesResult; result != nil {
		s.homesResult = nil
		if result.Lease == s.View.Lease && result.Lease != 0 && tick.Now.Before(s.View.LeaseDeadline) {
			s.lease = result.Lease
			s.Tracker.Observe(*result.Homes, tick.Now)
		}
	}
	if s.lease != 0 && s.View.Homes != nil {
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

// assignHomes asks for an update of the list when this gateway is not listed, or
// a listed one seems to be gone.
func assignHomes(s *State, tick engine.Tick) {
	if s.homesInFlight && tick.Now.Sub(s.homesAt) < homesTimeout {
		return
	}
	if tick.Now.Sub(s.homesAt) < homesCheckInterval || !s.View.StoreConnected || s.View.Lease == 0 || s.NotReadyReason() != "" {
		return
	}
	if s.lease == s.View.Lease && !s.homesNeedUpdate() {
		return
	}
	s.homesAt, s.homesInFlight = tick.Now, true
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
