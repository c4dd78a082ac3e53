package control

import (
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/gateway/traffic"
	"github.com/waxwingbridge/waxwingbridge/membership"
)

// publishSnapshot publishes what changed since the last snapshot.
func publishSnapshot(s *State, tick engine.Tick) {
	if s.View.Policy == nil || s.View.Fleet == nil {
		return
	}
	next := s.parts()
	if s.snapshot != nil && !s.differs(next) {
		return
	}
	snapshot := &traffic.Snapshot{
		Version: 1, Policy: s.View.Policy, FreshUntil: next.freshUntil, LiveGateways: next.gateways,
		AvailabilityZone: s.View.Self.AvailabilityZone, Credits: s.credits(tick),
		Keys: s.Tracker.View(next.lease, s.gatewayAddresses()),
	}
	if s.snapshot != nil {
		snapshot.Version = s.snapshot.Version + 1
		snapshot.Targets = s.snapshot.Targets
	}
	if s.snapshot == nil || next.targets {
		snapshot.Targets = s.targetRows()
	}
	next.targets = false
	s.snapshot, s.published = snapshot, next
	s.Outbound.Snapshots.Add(snapshot)
}

func (s *State) parts() publishedParts {
	next := publishedParts{
		policy: s.View.Policy, gateways: len(s.gateways()), freshUntil: s.freshUntil(), epoch: s.Tracker.Epoch(),
		settled: s.Tracker.Settled(), grants: s.grantVersion, targets: s.published.targets,
	}
	if !s.View.LeaseDeadline.IsZero() {
		next.lease = s.View.LeaseDeadline.Add(-leaseMargin)
	}
	return next
}

// differs reports whether a snapshot is due. Progress of freshness and lease
// alone is published in steps.
func (s *State) differs(next publishedParts) bool {
	last := s.published
	advanced := next.freshUntil.Sub(last.freshUntil) >= freshnessStep || !next.lease.Equal(last.lease)
	last.freshUntil, last.lease = next.freshUntil, next.lease
	return advanced || next.targets || last != next
}

func (s *State) targetRows() []traffic.Target {
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

// credits merges the slots that peers granted and the own ones.
func (s *State) credits(tick engine.Tick) map[string]traffic.Credit {
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

// gatewayAddresses returns the peer addresses of the gateways by incarnation,
// suspected ones included: an issued key has no other home.
func (s *State) gatewayAddresses() map[string]string {
	addresses := map[string]string{s.View.Self.Incarnation: s.View.Self.PeerAddress}
	for _, peer := range s.Peers.Peers.All() {
		if peer.Role == membership.Gateway && !peer.Replaced {
			addresses[peer.Incarnation] = peer.Address
		}
	}
	return addresses
}

// idleInterval is the longest pause between two ticks, so that freshness and
// leases are looked at without an event.
const idleInterval = 500 * time.Millisecond
