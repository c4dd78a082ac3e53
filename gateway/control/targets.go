package control

import (
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/events"
	"github.com/waxwingbridge/waxwingbridge/fleet"
	"github.com/waxwingbridge/waxwingbridge/membership"
)

// updateTargetUsability decides which workers may receive new requests and reports
// to the peers which may not.
func updateTargetUsability(s *State, tick engine.Tick) {
	for _, worker := range s.refusedWorkers {
		s.target(worker).refusedAt = tick.Now
	}
	s.refusedWorkers = s.refusedWorkers[:0]
	if s.View.Fleet == nil {
		return
	}
	present := make(map[string]bool, len(s.View.Fleet.Workers))
	for i := range s.View.Fleet.Workers {
		worker := &s.View.Fleet.Workers[i]
		present[worker.ID] = true
		s.updateUsability(worker)
	}
	for id, row := range s.targets.All() {
		if !present[row.worker] {
			s.Peers.SetLeaving(row.worker, false)
			s.targetIndex.Delete(row.worker)
			s.targets.Delete(id)
			s.publishedInputs.targetsChanged = true
		}
	}
}

func (s *State) updateUsability(worker *fleet.Worker) {
	row := s.target(worker.ID)
	usableHere := s.View.AcceptsRequests(worker) && !s.refusedSince(row, s.View.WorkerStateChangedAt[worker.ID])
	if row.leavingReported == usableHere {
		row.leavingReported = !usableHere
		s.Peers.SetLeaving(worker.ID, !usableHere)
	}
	usable := usableHere && !s.peersReportLeaving(worker.ID)
	if usable == row.usable {
		return
	}
	row.usable = usable
	s.publishedInputs.targetsChanged = true
	if usable {
		row.serviceEpoch++
	} else {
		s.View.Log(events.TargetLeaving, events.F("worker", worker.ID), events.F("state", worker.State))
	}
}

// refusedSince reports whether the target refused with "draining" after the
// document's last change of the worker. A refusal expires after refusalRetention,
// because the document does not change when a target was drained without the
// controller and then returned to service.
func (s *State) refusedSince(row *target, changed time.Time) bool {
	return !row.refusedAt.IsZero() && row.refusedAt.After(changed) && s.lastTick.Sub(row.refusedAt) < refusalRetention
}

const refusalRetention = 10 * time.Second

// peersReportLeaving reports whether a peer with the same or a newer fleet document
// reports the worker as leaving. A peer with an older document could exclude a
// worker that has already returned to service.
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

// reportFreshness logs when the fleet view becomes stale or fresh.
func reportFreshness(s *State, tick engine.Tick) {
	fresh := tick.Now.Before(s.freshUntil())
	if fresh == s.wasFresh {
		return
	}
	s.wasFresh = fresh
	if fresh {
		s.View.Log(events.FleetViewFresh)
	} else {
		s.View.Log(events.FleetViewStale)
	}
}
