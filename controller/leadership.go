package controller

import (
	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/events"
	"github.com/waxwingbridge/waxwingbridge/fleet"
	"github.com/waxwingbridge/waxwingbridge/node"
	"github.com/waxwingbridge/waxwingbridge/placement"
	"github.com/waxwingbridge/waxwingbridge/table"
)

// campaign claims the leader key when no controller holds it.
func campaign(s *State, tick engine.Tick) {
	lead := &s.Leadership
	if lead.phase != standby || tick.Now.Before(lead.retryAt) || !s.storeReachable(tick.Now) {
		return
	}
	if leader := s.View.Leader; leader.Revision != 0 && leader.Identity.Incarnation == s.View.Self.Incarnation {
		// A release did not arrive, or a claim that was given up did. The process
		// keeps its lease, so nothing else would delete the key.
		lead.retryAt = tick.Now.Add(claimRetry)
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
		s.Leadership.phase, s.Leadership.retryAt = standby, tick.Now.Add(claimRetry)
		return
	}
	s.Leadership = leadership{
		phase: loading, lease: s.Leadership.lease, leaderRevision: e.Revision, quietUntil: tick.Now.Add(takeoverQuiet),
	}
	s.Out.Loads.Add(LoadState{})
}

func (e StateLoaded) apply(s *State, tick engine.Tick) {
	if s.Leadership.phase != loading {
		return
	}
	if e.Err != nil {
		s.Leadership.steppingDown = "state-not-read"
		s.View.Log(events.StoreUnavailable, events.Err(e.Err))
		return
	}
	doc := e.Fleet
	if doc == nil {
		doc = &fleet.Document{}
	}
	s.Fleet = fleet.Load(doc)
	s.Fleet.Epoch = doc.Epoch + 1
	s.Fleet.MarkDirty()
	s.fleetStore = e.FleetRevision
	s.Leadership.phase = fencing
	s.changed()
	placement.Apply(s.Jobs, tick, placement.Takeover{Epoch: s.Fleet.Epoch, Pages: e.Pages, CallsAllowedFrom: s.Leadership.quietUntil})
}

// retreat ends the active role when the lease has lapsed, another controller
// wrote, or a step of the takeover failed.
func retreat(s *State, tick engine.Tick) {
	lead := &s.Leadership
	if lead.phase == standby || lead.phase == claiming {
		return
	}
	reason := lead.steppingDown
	own := s.View.Leader.Revision == lead.leaderRevision
	lead.confirmed = lead.confirmed || own
	switch {
	case reason != "":
	case !tick.Now.Before(s.View.LeaseDeadline), s.View.Lease != lead.lease: // a new lease does not carry the leader key
		reason = "lease-lapsed"
	case !own && (lead.confirmed || s.View.Leader.Revision > lead.leaderRevision):
		reason = "leader-replaced"
	case s.Jobs.Fenced():
		reason = "job-page-fenced"
	default:
		return
	}
	s.View.Log(events.ControllerInactive, events.F("reason", reason), events.F("phase", lead.phase.String()))
	s.Out.Releases.Add(ReleaseLeader{Revision: lead.leaderRevision})
	s.Leadership = leadership{phase: standby, retryAt: tick.Now.Add(claimRetry)}
	s.Fleet = nil
	s.listMerged = tick.Now
	s.observations.Clear()
	s.observationIndex = table.Index[string]{}
	s.failRequests(tick)
	placement.Apply(s.Jobs, tick, placement.Deactivated{})
}

// commitFleet writes the fleet document if it changed and no write is under way.
func commitFleet(s *State, tick engine.Tick) {
	if s.Fleet == nil || tick.Now.Before(s.commitRetryAt) {
		return
	}
	if doc, ok := s.Fleet.BeginCommit(); ok {
		s.Out.FleetWrites.Add(WriteFleet{Document: doc, Revision: s.fleetStore})
	}
}

func (e FleetWritten) apply(s *State, tick engine.Tick) {
	if s.Fleet == nil || e.Document.Epoch != s.Fleet.Epoch {
		return
	}
	switch e.Result.Status {
	case node.WriteCommitted:
		s.Fleet.EndCommit(true)
		s.fleetStore = e.Result.Revision
		document := e.Document
		s.View.AdoptFleet(tick, &document)
		if s.Leadership.phase == fencing {
			s.Leadership.phase = active
			s.View.Log(events.ControllerActive, events.F("epoch", s.Fleet.Epoch), events.F("workers", len(document.Workers)))
		}
	case node.WriteNotExecuted:
		s.Fleet.EndCommit(false)
		s.commitRetryAt = tick.Now.Add(commitRetry)
	case node.WriteConflicted, node.WriteUnknown:
		// Either another controller wrote, or the own write did not arrive and may
		// still do so. Reading everything anew under a higher epoch covers both.
		s.View.Log(events.StoreWriteConflict, events.F("key", s.View.Keys.Fleet()), events.Err(e.Result.Err))
		s.Leadership.steppingDown = "fleet-write-conflict"
	}
}
