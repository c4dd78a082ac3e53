package routing

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/waxwingbridge/waxwingbridge/table"
)

// TargetTable holds the target rows of a shard and the times at which their state
// changes without an event.
type TargetTable struct {
	Rows      table.Table[Target]
	WakeTimes table.Heap[time.Time]
	Random    *rand.Rand
}

// Limits are the settings of a pool that limit the use of its targets.
type Limits struct {
	Slots       int     // per target
	Connections int     // per target, for this gateway
	Gateways    int     // that share the targets
	EjectionCap float64 // largest share of the pool that may be ejected
}

// ConnectionsPerGateway returns the connections that each gateway may have to one
// target.
func ConnectionsPerGateway(connections, gateways int) int {
	return max(1, connections/max(1, gateways))
}

// maxInFlight is the maximum number of requests in flight to one target. The
// target would refuse more requests than it has slots.
func (l *Limits) maxInFlight() int { return max(1, min(l.Slots, l.Connections)) }

// Zone groups of the sets in PoolTargets.
const (
	localZone = iota
	otherZones
	zoneGroups
)

// PoolTargets indexes the targets of one pool that can accept a request at
// present. All updates take constant time, apart from the heap of wake times.
type PoolTargets struct {
	Limits    Limits
	Reachable int // usable and not draining
	InFlight  int
	Capacity  int // requests that this gateway may have in flight to targets that are not ejected

	ready           [zoneGroups]table.Set // below their local limit
	credited        [zoneGroups]table.Set // below their slot credits
	probeable       table.Set             // half-open, without a probe in flight
	granted         table.Set             // with slot credits that have not expired
	outOfService    int                   // number of targets that are ejected or half-open
	uncredited      int                   // uncredited attempts in flight
	uncreditedPause time.Duration         // between uncredited attempts
	uncreditedAfter time.Time             // earliest time of the next uncredited attempt
	health          health
}

// Add inserts a target and returns its row.
func (p *PoolTargets) Add(targets *TargetTable, target Target, now time.Time) table.ID {
	limits := &p.Limits
	fair := math.Ceil(float64(limits.Slots) / float64(max(1, limits.Gateways)))
	target.limit = min(float64(limits.maxInFlight()), max(1, fair))
	id := targets.Rows.Insert(target)
	p.addToTotals(&target, 1)
	p.Refresh(targets, id, now)
	return id
}

// Update applies a change to the row and updates the sets and totals.
func (p *PoolTargets) Update(targets *TargetTable, id table.ID, now time.Time, update func(*Target)) {
	target := targets.Rows.Get(id)
	p.addToTotals(target, -1)
	update(target)
	p.addToTotals(target, 1)
	p.Refresh(targets, id, now)
}

// SetLimits replaces the limits. ids are the rows of the pool.
func (p *PoolTargets) SetLimits(targets *TargetTable, ids []table.ID, limits Limits, now time.Time) {
	if limits == p.Limits {
		return
	}
	for _, id := range ids {
		p.addToTotals(targets.Rows.Get(id), -1)
	}
	p.Limits = limits
	for _, id := range ids {
		p.addToTotals(targets.Rows.Get(id), 1)
		p.Refresh(targets, id, now)
	}
}

// Remove deletes the row of a target without requests in flight.
func (p *PoolTargets) Remove(targets *TargetTable, id table.ID, now time.Time) {
	p.Update(targets, id, now, func(t *Target) { t.Usable = false }) // removes the row from all sets
	targets.WakeTimes.Remove(id)
	targets.Rows.Delete(id)
}

// addToTotals adds or subtracts the contribution of a row to the totals of the
// pool.
func (p *PoolTargets) addToTotals(target *Target, sign int) {
	p.InFlight += sign * target.InFlight
	if !target.Reachable() {
		return
	}
	p.Reachable += sign
	if target.circuit.state != closed {
		p.outOfService += sign
		return
	}
	p.Capacity += sign * p.limitOf(target)
}

func (p *PoolTargets) limitOf(target *Target) int {
	return min(p.Limits.maxInFlight(), int(target.limit))
}

// Refresh updates the sets that the target belongs to and schedules the next time
// at which they change without an event.
func (p *PoolTargets) Refresh(targets *TargetTable, id table.ID, now time.Time) {
	target := targets.Rows.Get(id)
	load := target.Load(now)
	available := target.Reachable() && !now.Before(target.backoffUntil)
	inService := available && target.circuit.state == closed
	granted := target.Reachable() && target.Credits > 0 && now.Before(target.CreditsUntil)
	credits := min(target.Credits, p.Limits.maxInFlight())
	for zone := range zoneGroups {
		inGroup := (zone == localZone) == target.Local
		p.ready[zone].Put(id, inGroup && inService && load+1 <= float64(p.limitOf(target)))
		p.credited[zone].Put(id, inGroup && inService && granted && load+1 <= float64(credits))
	}
	p.granted.Put(id, granted)
	p.probeable.Put(id, available && target.circuit.state == halfOpen && target.InFlight == 0)
	p.schedule(targets, id, target, now)
}

func (p *PoolTargets) schedule(targets *TargetTable, id table.ID, target *Target, now time.Time) {
	next := time.Time{}
	consider := func(at time.Time) {
		if at.After(now) && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	if target.Reachable() {
		consider(target.backoffUntil)
		consider(target.CreditsUntil)
		if target.failureLoadUntil.After(now) {
			consider(now.Add(min(target.failureLoadUnit, target.failureLoadUntil.Sub(now))))
		}
		if target.circuit.state == ejected {
			consider(target.circuit.ejectedUntil)
		}
	}
	if next.IsZero() {
		targets.WakeTimes.Remove(id)
		return
	}
	targets.WakeTimes.Put(id, next)
}

// HandleWake updates a target whose wake time has been reached.
func (p *PoolTargets) HandleWake(targets *TargetTable, id table.ID, now time.Time) {
	p.Update(targets, id, now, func(t *Target) {
		if t.circuit.state == ejected && !now.Before(t.circuit.ejectedUntil) {
			t.circuit.state = halfOpen
			t.circuit.successes = 0
		}
	})
}

// SetCredits records the slot credits for a target. An increase raises the local
// limit to the new number at once; refusals lower it again.
func (p *PoolTargets) SetCredits(targets *TargetTable, id table.ID, slots int, until, now time.Time) {
	p.Update(targets, id, now, func(t *Target) {
		if slots > t.Credits {
			t.limit = max(t.limit, min(float64(slots), float64(p.Limits.maxInFlight())))
		}
		t.Credits, t.CreditsUntil = slots, until
	})
}

// StartAttempt counts an attempt that is sent to the target.
func (p *PoolTargets) StartAttempt(targets *TargetTable, choice Choice, now time.Time) {
	if choice.Uncredited {
		p.uncredited++
	}
	p.Update(targets, choice.Target, now, func(t *Target) { t.InFlight++ })
}
