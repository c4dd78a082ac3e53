package controller

import (
	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/events"
	"github.com/waxwingbridge/waxwingbridge/fleet"
	"github.com/waxwingbridge/waxwingbridge/membership"
	"github.com/waxwingbridge/waxwingbridge/node"
)

// reconcileList merges a new VM list into the fleet tables and polls workers whose
// listed state contradicts them.
func reconcileList(s *State, tick engine.Tick) {
	if !s.Active() || !s.View.ListedAt.After(s.mergedListAt) {
		return
	}
	s.mergedListAt = s.View.ListedAt
	list := make([]fleet.Observation, 0, s.View.ListedWorkers.Len())
	for _, row := range s.View.ListedWorkers.All() {
		list = append(list, observationFrom(&row.Worker))
	}
	result := s.Fleet.Reconcile(list, s.View.ListedAt)
	for _, change := range result.Changes {
		s.recordWorkerChange(change)
	}
	for i, worker := range result.Verify {
		if i == maxVerifications {
			break
		}
		if tracked := s.trackWorker(worker); !tracked.polling && !tick.Now.Before(tracked.nextPollAt) {
			s.poll(tracked)
		}
	}
}

func (s *State) recordWorkerChange(change fleet.Change) {
	s.markFleetChanged()
	fields := []events.Field{
		events.F("worker", change.Worker), events.F("from", change.From), events.F("to", change.To), events.F("reason", change.Reason),
	}
	switch change.Kind {
	case fleet.ChangeAdded:
		s.View.Log(events.WorkerAdded, fields...)
	case fleet.ChangeRemoved:
		s.View.Log(events.WorkerRemoved, fields...)
		s.untrackWorker(change.Worker)
	default:
		s.View.Log(events.WorkerStateChanged, fields...)
	}
}

// reportRevisions publishes to peers which document revisions this process holds and
// how fresh its view is.
func reportRevisions(s *State, tick engine.Tick) {
	node.ReportRevisions(s.View, s.Peers, tick)
	s.Peers.SetActive(s.Active())
}

// followMembers passes the members registered in the store to the peer exchange.
func followMembers(s *State, tick engine.Tick) { node.UpdateMembers(s.View, s.Peers, tick) }

// expireExceptions recomputes the effective policy when an exception expires.
func expireExceptions(s *State, tick engine.Tick) { s.View.ExpireExceptions(tick) }

// totalDemand returns the demand by pool, summed over the gateways. It returns nil,
// for unknown demand, if no gateway is reporting.
func (s *State) totalDemand() map[string]float64 {
	demand := map[string]float64{}
	gateways := 0
	for _, peer := range s.Peers.Peers.All() {
		if peer.Role == membership.Gateway && peer.Received && !peer.Suspected && !peer.Replaced {
			gateways++
		}
	}
	if gateways == 0 || s.View.Policy == nil {
		return nil
	}
	for _, spec := range s.View.Policy.Pools() {
		demand[spec.Name] = 0
		for row := range s.Peers.Demand.ByName(spec.Name) {
			demand[spec.Name] += float64(row.Value)
		}
	}
	return demand
}
