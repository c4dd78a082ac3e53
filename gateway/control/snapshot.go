package control

import (
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/gateway/traffic"
	"github.com/waxwingbridge/waxwingbridge/idempotency"
	"github.com/waxwingbridge/waxwingbridge/membership"
)

// publishSnapshot publishes a snapshot if its inputs changed since the last one.
func publishSnapshot(s *State, tick engine.Tick) {
	if s.View.Policy == nil || s.View.Fleet == nil {
		return
	}
	next := s.currentInputs()
	if s.snapshot != nil && !s.snapshotDue(next) {
		return
	}
	snapshot := &traffic.Snapshot{
		Version: 1, Policy: s.View.Policy, FreshUntil: next.freshUntil, LiveGateways: next.gateways,
		AvailabilityZone: s.View.Self.AvailabilityZone, Credits: s.mergedCredits(tick),
		Keys: s.Tracker.View(next.leaseUntil, s.gateways()),
	}
	if s.snapshot != nil {
		snapshot.Version = s.snapshot.Version + 1
		snapshot.Targets = s.snapshot.Targets
	}
	if s.snapshot == nil || next.targetsChanged {
		snapshot.Targets = s.snapshotTargets()
	}
	next.targetsChanged = false
	s.snapshot, s.publishedInputs = snapshot, next
	s.Outbound.Snapshots.Add(snapshot)
}

func (s *State) currentInputs() snapshotInputs {
	next := snapshotInputs{
		policy: s.View.Policy, gateways: len(s.liveGateways()), freshUntil: s.freshUntil(), epoch: s.Tracker.Epoch(),
		settled: s.Tracker.Settled(), grantVersion: s.grantVersion, targetsChanged: s.publishedInputs.targetsChanged,
	}
	if !s.View.LeaseDeadline.IsZero() {
		next.leaseUntil = s.View.LeaseDeadline.Add(-leaseMargin)
	}
	return next
}

// snapshotDue reports whether a snapshot must be published. An advance of the
// freshness time alone is published only once it reaches minFreshnessAdvance.
func (s *State) snapshotDue(next snapshotInputs) bool {
	last := s.publishedInputs
	advanced := next.freshUntil.Sub(last.freshUntil) >= minFreshnessAdvance || !next.leaseUntil.Equal(last.leaseUntil)
	last.freshUntil, last.leaseUntil = next.freshUntil, next.leaseUntil
	return advanced || next.targetsChanged || last != next
}

func (s *State) snapshotTargets() []traffic.Target {
	rows := make([]traffic.Target, 0, len(s.View.Fleet.Workers))
	for i := range s.View.Fleet.Workers {
		worker := &s.View.Fleet.Workers[i]
		row := s.target(worker.ID)
		rows = append(rows, traffic.Target{
			Worker: worker.ID, Pool: worker.Pool, Address: worker.Address, AvailabilityZone: worker.AvailabilityZone,
			Usable: row.usable, ServiceEpoch: row.serviceEpoch,
		})
	}
	return rows
}

// mergedCredits adds the slots that peers granted to those that this gateway granted
// to itself.
func (s *State) mergedCredits(tick engine.Tick) map[string]traffic.Credit {
	credits := make(map[string]traffic.Credit, len(s.ownCredits))
	until := tick.Now.Add(membership.GrantLease)
	for i := range s.View.Fleet.Workers {
		worker := s.View.Fleet.Workers[i].ID
		slots := int(s.Peers.GrantedSlots(worker, tick.Now)) + s.ownCredits[worker]
		if slots > 0 {
			credits[worker] = traffic.Credit{Slots: slots, Until: until}
		}
	}
	return credits
}

// gateways returns the gateways of the site by incarnation. It includes suspected ones,
// because an issued key has no other home.
func (s *State) gateways() idempotency.Gateways {
	addresses := map[string]string{s.View.Self.Incarnation: s.View.Self.PeerAddress}
	for _, peer := range s.Peers.Peers.All() {
		if peer.Role != membership.Gateway {
			continue
		}
		addresses[peer.Incarnation] = peer.Address
		if peer.Replaced {
			addresses[peer.Incarnation] = ""
		}
	}
	return idempotency.Gateways{Addresses: addresses, ReadAt: s.View.MembersRequestedAt}
}

// maxTickInterval is the maximum time between two ticks, so that freshness and
// leases are checked even if no event occurs.
const maxTickInterval = 500 * time.Millisecond
