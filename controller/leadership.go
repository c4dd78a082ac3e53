package controller

import (
	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/events"
	"github.com/waxwingbridge/waxwingbridge/fleet"
	"github.com/waxwingbridge/waxwingbridge/node"
	"github.com/waxwingbridge/waxwingbridge/placement"
	"github.com/waxwingbridge/waxwingbridge/table"
)

// campaign claims the leader key if no controller holds it.
func campaign(s *State, tick engine.Tick) {
	lead := &s.Leadership
	if lead.phase != standby || tick.Now.Before(lead.retryAt) || !s.storeReachable(tick.Now) {
		return
	}
	if leader := s.View.Leader; leader.Revision != 0 && leader.Identity.Incarnation == s.View.Self.Incarnation {
		// A release was lost, or a claim took effect after it was given up. The process
		// keeps its lease, so nothing else would delete the key.
		lead.retryAt = tick.Now.Add(claimRetryDelay)
		s.Out.Releases.Add(ReleaseLeader{Revision: leader.Revision})
		return
	}
	if s.View.Leader.Revision != 0 || s.View.Lease == 0 || s.View.LeaseDeadline.Sub(tick.Now) <= callTimeout {
		return
	}
	lead.phase, lead.lease = claiming, s.View.Lease
	s.Out.Claims.Add(ClaimLeader{Lease: s.View.Lease})
}

func (e LeaderClaimed) apply(s *State, tick engine.Tick) {
	if s.Leadership.phase != claiming {
		return
	}
	if e.Err != nil {
		s.Leadership.phase, s.Leadership.retryAt = standby, tick.Now.Add(claimRetryDelay)
		return
	}
	s.Leadership = leadership{
		phase: loading, lease: s.Leadership.lease, leaderRevision: e.Revision, callsAllowedFrom: tick.Now.Add(takeoverCallDelay),
	}
	s.Out.Loads.Add(LoadState{})
}

func (e StateLoaded) apply(s *State, tick engine.Tick) {
	if s.Leadership.phase != loading {
		return
	}
	if e.Err != nil {
		s.Leadership.stepDownReason = "state-not-read"
		s.View.Log(events.StoreUnavailable, events.Err(e.Err))
		return
	}
	document := e.Fleet
	if document == nil {
		document = &fleet.Document{}
	}
	s.Fleet = fleet.Load(document)
	s.Fleet.Epoch = document.Epoch + 1
	s.Fleet.MarkDirty()
	s.fleetStoreRevision = e.FleetRevision
	s.Leadership.phase = fencing
	s.markFleetChanged()
	placement.Apply(s.Jobs, tick, placement.Takeover{Epoch: s.Fleet.Epoch, Pages: e.Pages, CallsAllowedFrom: s.Leadership.callsAllowedFrom})
}

// stepDown gives up leadership when the lease has expired, another controller has
// written, or a step of the takeover has failed.
func stepDown(s *State, tick engine.Tick) {
	lead := &s.Leadership
	if lead.phase == standby || lead.phase == claiming {
		return
	}
	reason := lead.stepDownReason
	ownsKey := s.View.Leader.Revision == lead.leaderRevision
	lead.leaderKeySeen = lead.leaderKeySeen || ownsKey
	switch {
	case reason != "":
	case !tick.Now.Before(s.View.LeaseDeadline), s.View.Lease != lead.lease: // the leader key is not bound to a new lease
		reason = "lease-lapsed"
	case !ownsKey && (lead.leaderKeySeen || s.View.Leader.Revision > lead.leaderRevision):
		reason = "leader-replaced"
	case s.Jobs.Fenced():
		reason = "job-page-fenced"
	default:
		return
	}
	s.View.Log(events.ControllerInactive, events.F("reason", reason), events.F("phase", lead.phase.String()))
	s.Out.Releases.Add(ReleaseLeader{Revision: lead.leaderRevision})
	s.Leadership = leadership{phase: standby, retryAt: tick.Now.Add(claimRetryDelay)}
	s.Fleet = nil
	s.mergedListAt = tick.Now
	s.trackedWorkers.Clear()
	s.trackedWorkerIndex = table.Index[string]{}
	s.failRequests(tick)
	placement.Apply(s.Jobs, tick, placement.Deactivated{})
}

// commitFleet writes the fleet document if it has changed and no write is in flight.
func commitFleet(s *State, tick engine.Tick) {
	if s.Fleet == nil || tick.Now.Before(s.commitRetryAt) {
		return
	}
	if document, ok := s.Fleet.BeginCommit(); ok {
		s.Out.FleetWrites.Add(WriteFleet{Document: document, Revision: s.fleetStoreRevision})
	}
}

func (e FleetWritten) apply(s *State, tick engine.Tick) {
	if s.Fleet == nil || e.Document.Epoch != s.Fleet.Epoch {
		return
	}
	switch e.Result.Status {
	case node.WriteCommitted:
		s.Fleet.EndCommit(true)
		s.fleetStoreRevision = e.Result.Revision
		document := e.Document
		s.View.AdoptFleet(tick, &document)
		if s.Leadership.phase == fencing {
			s.Leadership.phase = active
			s.View.Log(events.ControllerActive, events.F("epoch", s.Fleet.Epoch), events.F("workers", len(document.Workers)))
		}
	case node.WriteNotExecuted:
		s.Fleet.EndCommit(false)
		s.commitRetryAt = tick.Now.Add(commitRetryDelay)
	case node.WriteConflicted, node.WriteUnknown:
		// Either another controller has written, or the own write has not arrived and may
		// still do so. Reloading everything under a higher epoch handles both cases.
		s.View.Log(events.StoreWriteConflict, events.F("key", s.View.Keys.Fleet()), events.Err(e.Result.Err))
		s.Leadership.stepDownReason = "fleet-write-conflict"
	}
}
