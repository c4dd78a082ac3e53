package traffic

import (
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/routing"
	"github.com/waxwingbridge/waxwingbridge/table"
)

// adoptSnapshot applies the latest published snapshot. Targets are only compared
// if control published a new list of them.
func adoptSnapshot(s *State, tick engine.Tick) {
	next := s.config.Source.Load()
	previous := s.snapshot
	if next == nil || next == previous {
		return
	}
	s.snapshot = next
	if previous == nil || previous.Policy != next.Policy || previous.LiveGateways != next.LiveGateways {
		s.adoptPools(tick)
	}
	if previous == nil || previous.Policy != next.Policy || !sameTargets(previous.Targets, next.Targets) ||
		previous.AvailabilityZone != next.AvailabilityZone {
		s.adoptTargets(tick)
	}
	s.adoptCredits(tick)
	for id := range s.Pools.All() {
		s.markDirty(id)
	}
}

func sameTargets(a, b []Target) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// adoptPools creates the rows of new pools and updates the policy of all pools.
// The row of a pool that is no longer declared is kept; new requests to it are
// refused.
func (s *State) adoptPools(tick engine.Tick) {
	for _, spec := range s.snapshot.Policy.Pools() {
		if s.config.Owns != nil && !s.config.Owns(spec.Name) {
			continue
		}
		id, ok := s.poolIndex.Get(spec.Name)
		if !ok {
			id = s.Pools.Insert(Pool{Name: spec.Name})
			s.poolIndex.Put(spec.Name, id)
		}
		pool := s.Pools.Get(id)
		pool.Policy, _ = s.snapshot.Policy.Pool(spec.Name)
		pool.Targets.SetLimits(&s.Targets, s.poolTargets.Get(id), s.targetLimits(pool), tick.Now)
	}
}

func (s *State) targetLimits(pool *Pool) routing.Limits {
	gateways := max(1, s.snapshot.LiveGateways)
	return routing.Limits{
		Slots:       pool.Policy.SlotsPerTarget,
		Connections: routing.ConnectionsPerGateway(pool.Policy.ConnectionsPerTarget, gateways),
		Gateways:    gateways,
		EjectionCap: pool.Policy.EjectionCap,
	}
}

func (s *State) adoptTargets(tick engine.Tick) {
	for i := range s.snapshot.Targets {
		listed := &s.snapshot.Targets[i]
		if poolID, ok := s.poolIndex.Get(listed.Pool); ok {
			s.adoptTarget(tick, poolID, listed)
		}
	}
	for id, target := range s.Targets.Rows.All() {
		if target.ListedVersion != s.snapshot.Version {
			s.removeUnlisted(id, target, tick.Now)
		}
	}
}

func (s *State) adoptTarget(tick engine.Tick, poolID table.ID, listed *Target) {
	pool := s.Pools.Get(poolID)
	key := targetKey{pool: poolID, worker: listed.Worker, address: listed.Address}
	id, known := s.targetIndex.Get(key)
	if !known {
		id = pool.Targets.Add(&s.Targets, routing.Target{
			Pool: poolID, Worker: listed.Worker, Address: listed.Address,
		}, tick.Now)
		s.targetIndex.Put(key, id)
		s.poolTargets.Add(poolID, id)
	}
	pool.Targets.Update(&s.Targets, id, tick.Now, func(t *routing.Target) {
		t.AvailabilityZone = listed.AvailabilityZone
		t.Local = listed.AvailabilityZone == s.snapshot.AvailabilityZone
		t.ServiceEpoch = listed.ServiceEpoch
		t.Usable = listed.Usable
		t.ListedVersion = s.snapshot.Version
	})
}

// removeUnlisted takes a target that is no longer listed out of service. Its row is
// deleted once its last attempt has ended.
func (s *State) removeUnlisted(id table.ID, target *routing.Target, now time.Time) {
	pool := s.Pools.Get(target.Pool)
	if target.InFlight > 0 {
		pool.Targets.Update(&s.Targets, id, now, func(t *routing.Target) { t.Usable = false })
		return
	}
	s.targetIndex.Delete(targetKey{pool: target.Pool, worker: target.Worker, address: target.Address})
	s.poolTargets.Remove(target.Pool, id)
	pool.Targets.Remove(&s.Targets, id, now)
}

func (s *State) adoptCredits(tick engine.Tick) {
	for id, target := range s.Targets.Rows.All() {
		credit := s.snapshot.Credits[target.Worker]
		if credit.Slots == target.Credits && credit.Until.Equal(target.CreditsUntil) {
			continue
		}
		s.Pools.Get(target.Pool).Targets.SetCredits(&s.Targets, id, credit.Slots, credit.Until, tick.Now)
	}
}

// fleetViewFresh reports whether the fleet view may be used to select targets.
func (s *State) fleetViewFresh(now time.Time) bool {
	return s.snapshot != nil && now.Before(s.snapshot.FreshUntil)
}

// staleAt returns the time at which queued requests must be refused as isolated,
// or zero if none are queued.
func (s *State) staleAt() time.Time {
	if s.snapshot == nil || s.queued == 0 {
		return time.Time{}
	}
	return s.snapshot.FreshUntil
}

// wakeTargets updates the targets whose state changes with time: at the end of an
// ejection, of the backoff after a refusal, or of slot credits.
func wakeTargets(s *State, tick engine.Tick) {
	for {
		id, at, ok := s.Targets.WakeTimes.Min()
		if !ok || at.After(tick.Now) {
			return
		}
		poolID := s.Targets.Rows.Get(id).Pool
		s.Pools.Get(poolID).Targets.HandleWake(&s.Targets, id, tick.Now)
		s.markDirty(poolID)
	}
}
