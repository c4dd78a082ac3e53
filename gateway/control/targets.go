package control

import (
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/events"
	"github.com/waxwingbridge/waxwingbridge/fleet"
	"github.com/waxwingbridge/waxwingbridge/membership"
)

// vouchForTargets decides which workers may receive new requests and tells
// peers which may not.
func vouchForTargets(s *State, tick engine.Tick) {
	for _, worker := range s.refused {
		s.target(worker).refusedAt = tick.Now
	}
	s.refused = s.refused[:0]
	if s.View.Fleet == nil {
		return
	}
	present := make(map[string]bool, len(s.View.Fleet.Workers))
	for i := range s.View.Fleet.Workers {
		worker := &s.View.Fleet.Workers[i]
		present[worker.ID] = true
		s.vouch(worker)
	}
	for id, row := range s.targets.All() {
		if !present[row.worker] {
			s.Peers.SetLeaving(row.worker, false)
			s.targetIndex.Delete(row.worker)
			s.targets.Delete(id)
			s.published.targets = true
		}
	}
}

func (s *State) vouch(worker *fleet.Worker) {
	row := s.target(worker.ID)
	own := s.View.AcceptsRequests(worker) && !s.refusedSince(row, s.View.WorkerStateChangedAt[worker.ID])
	if row.leavingTold == own {
		row.leavingTold = !own
		s.Peers.SetLeaving(worker.ID, !own)
	}
	usable := own && !s.peersReportLeaving(worker.ID)
	if usable == row.usable {
		return
	}
	row.usable = usable
	s.published.targets = true
	if usable {
		row.serviceEpoch++
	} else {
		s.View.Log(events.TargetLeaving, events.F("worker", worker.ID), events.F("state", worker.State))
	}
}

// refusedSince reports whether the target refused with "draining" after the
// document's last change of the worker. A refusal is forgotten after a while,
// because a target that was drained behind the controller's back and returned
// changes nothing in the document.
func (s *State) refusedSince(row *target, changed time.Time) bool {
	return !row.refusedAt.IsZero() && row.refusedAt.After(changed) && s.lastTick.Sub(row.refusedAt) < refusalMemory
}

const refusalMemory = 10 * time.Second

// peersReportLeaving reports whether a peer that knows at least as much of the
// fleet excludes the worker. A peer with an older document would keep a worker
// out that has returned to service.
func (s *State) peersReportLeaving(worker string) bool {
	for row := range s.Peers.Leaving.ByName(worker) {
		peer := s.Peers.Peers.Get(row.Peer)
		if peer.Role == membership.Gateway && !peer.Replaced && !peer.Suspected &&
			peer.Revisions[membership.DocumentFleet] >= s.View.Fleet.Revision {
			return true
		}
	}
	return false
}

// reportFreshness logs when the view becomes stale or fresh again.
func reportFreshness(s *State, tick engine.Tick) {
	fresh := tick.Now.Before(s.freshUntil())
	if fresh == s.fresh {
		return
	}
	s.fresh = fresh
	if fresh {
		s.View.Log(events.FleetViewFresh)
	} else {
		s.View.Log(events.FleetViewStale)
	}
}
