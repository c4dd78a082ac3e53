package controller

import (
	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/events"
	"github.com/waxwingbridge/waxwingbridge/fleet"
	"github.com/waxwingbridge/waxwingbridge/membership"
	"github.com/waxwingbridge/waxwingbridge/node"
)

// reconcileList merges a new VM list into the fleet and asks the platform
// directly about contradictions.
func reconcileList(s *State, tick engine.Tick) {
	if !s.Active() || !s.View.ListedAt.After(s.listMerged) {
		return
	}
	s.listMerged = s.View.ListedAt
	list := make([]fleet.Observation, 0, s.View.ListedWorkers.Len())
	for _, row := range s.View.ListedWorkers.All() {
		list = append(list, observationFrom(&row.Worker))
	}
	result := s.Fleet.Reconcile(list, s.View.ListedAt)
	for _, change := range result.Changes {
		s.noteChange(change)
	}
	for i, worker := range result.Verify {
		if i == maxVerifications {
			break
		}
		if o := s.observationOf(worker); !o.asking && !tick.Now.Before(o.askAt) {
			s.ask(o)
		}
	}
}

func (s *State) noteChange(change fleet.Change) {
	s.changed()
	fields := []events.Field{
		events.F("worker", change.Worker), events.F("from", change.From), events.F("to", change.To), events.F("reason", change.Reason),
	}
	switch change.Kind {
	case fleet.ChangeAdded:
		s.View.Log(events.WorkerAdded, fields...)
	case fleet.ChangeRemoved:
		s.View.Log(events.WorkerRemoved, fields...)
		s.dropObservation(change.Worker)
	default:
		s.View.Log(events.WorkerStateChanged, fields...)
	}
}

// reportRevisions tells peers what this process holds and how fresh it is.
func reportRevisions(s *State, tick engine.Tick) {
	node.ReportRevisions(s.View, s.Peers, tick)
	s.Peers.SetActive(s.Active())
}

// followMembers hands the registrations of the store to the peer exchange.
func followMembers(s *State, tick engine.Tick) { node.UpdateMembers(s.View, s.Peers, tick) }

// expireExceptions resolves the policy anew when an exception expires.
func expireExceptions(s *State, tick engine.Tick) { s.View.ExpireExceptions(tick) }

// totalDemand sums the demand that gateways report. Without any gateway it is
// unknown, and nil is returned.
func (s *State) totalDemand() map[string]float64 {
	demand := map[string]float64{}
	gateways := 0
	for _, peer := range s.Peers.Peers.All() {
		if peer.Role == membership.Gateway && peer.Heard && !peer.Suspected && !peer.Replaced {
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
