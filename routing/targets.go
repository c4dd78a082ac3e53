package routing

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/waxwingbridge/waxwingbridge/table"
)

// TargetTable holds the target rows of a shard and the times at which they change
// without an event.
type TargetTable struct {
	Rows      table.Table[Target]
	WakeTimes table.Heap[time.Time]
	Random    *rand.Rand
}

// Limits are the values of a pool that bound its targets.
type Limits struct {
	Slots       int     // of one target
	Connections int     // that this gateway may have to one target
	Gateways    int     // that share the targets
	EjectionCap float64 // largest share of the pool that may be ejected
}

// ConnectionsPerGateway returns the connections that each gateway may have to one
// target.
func ConnectionsPerGateway(connections, gateways int) int {
	return max(1, connections/max(1, gateways))
}

// most is the largest number of requests in flight to one target. More than its
// slots would be refused by the target.
func (l *Limits) most() int { return max(1, min(l.Slots, l.Connections)) }

// Zones of targets in Targets.
const (
	localZone = iota
	otherZones
	zoneGroups
)

// PoolTargets holds the targets of one pool that can take a request now. All
// updates take constant time, apart from the heap of wake times.
type PoolTargets struct {
	Limits    Limits
	Reachable int // usable and not draining
	InFlight  int
	Capacity  int // requests that the targets in service may have in flight from here

	ready    [zoneGroups]table.Set // below their local limit
	credited [zoneGroups]table.Set // below their slot credits
	probing  table.Set             // half open and without a probe in flight
	granted  table.Set             // with credits that have not expired
	broken   int                   // ejected or half open
	beyond   int                   // in flight beyond the credits
	pause    time.Duration         // between tries beyond the credits
	resume   time.Time             // no such try before
	health   health
}

// Add inserts a target and returns its row.
func (p *PoolTargets) Add(fleet *TargetTable, target Target, now time.Time) table.ID {
	limits := &p.Limits
	fair := math.Ceil(float64(limits.Slots) / float64(max(1, limits.Gateways)))
	target.limit = min(float64(limits.most()), max(1, fair))
	id := fleet.Rows.Insert(target)
	p.account(&target, 1)
	p.Refresh(fleet, id, now)
	return id
}

// Update applies an update to the row and keeps the sets and sums current.
func (p *PoolTargets) Update(fleet *TargetTable, id table.ID, now time.Time, update func(*Target)) {
	target := fleet.Rows.Get(id)
	p.account(target, -1)
	update(target)
	p.account(target, 1)
	p.Refresh(fleet, id, now)
}

// SetLimits puts other limits in force. ids are the rows of the pool.
func (p *PoolTargets) SetLimits(fleet *TargetTable, ids []table.ID, limits Limits, now time.Time) {
	if limits == p.Limits {
		return
	}
	for _, id := range ids {
		p.account(fleet.Rows.Get(id), -1)
	}
	p.Limits = limits
	for _, id := range ids {
		p.account(fleet.Rows.Get(id), 1)
		p.Refresh(fleet, id, now)
	}
}

// Remove deletes the row of a target without requests in flight.
func (p *PoolTargets) Remove(fleet *TargetTable, id table.ID, now time.Time) {
	p.Update(fleet, id, now, func(t *Target) { t.Usable = false }) // leaves all sets
	fleet.WakeTimes.Remove(id)
	fleet.Rows.Delete(id)
}

// account adds or subtracts what a row contributes to the sums of the pool.
func (p *PoolTargets) account(target *Target, sign int) {
	p.InFlight += sign * target.InFlight
	if !target.Reachable() {
		return
	}
	p.Reachable += sign
	if target.circuit.state != closed {
		p.broken += sign
		return
	}
	p.Capacity += sign * p.limitOf(target)
}

func (p *PoolTargets) limitOf(target *Target) int { return min(p.Limits.most(), int(target.limit)) }

// Refresh puts the target into the sets it belongs to at this moment and
// schedules the next moment at which that changes by itself.
func (p *PoolTargets) Refresh(fleet *TargetTable, id table.ID, now time.Time) {
	target := fleet.Rows.Get(id)
	load := target.Load(now)
	open := target.Reachable() && !now.Before(target.blockedUntil)
	inService := open && target.circuit.state == closed
	granted := target.Reachable() && target.Credits > 0 && now.Before(target.CreditsUntil)
	credits := min(target.Credits, p.Limits.most())
	for zone := range zoneGroups {
		here := (zone == localZone) == target.Local
		p.ready[zone].Put(id, here && inService && load+1 <= float64(p.limitOf(target)))
		p.credited[zone].Put(id, here && inService && granted && load+1 <= float64(credits))
	}
	p.granted.Put(id, granted)
	p.probing.Put(id, open && target.circuit.state == halfOpen && target.InFlight == 0)
	p.schedule(fleet, id, target, now)
}

func (p *PoolTargets) schedule(fleet *TargetTable, id table.ID, target *Target, now time.Time) {
	next := time.Time{}
	consider := func(at time.Time) {
		if at.After(now) && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	if target.Reachable() {
		consider(target.blockedUntil)
		consider(target.CreditsUntil)
		if target.cooling.After(now) {
			consider(now.Add(min(target.coolingUnit, target.cooling.Sub(now))))
		}
		if target.circuit.state == ejected {
			consider(target.circuit.until)
		}
	}
	if next.IsZero() {
		fleet.WakeTimes.Remove(id)
		return
	}
	fleet.WakeTimes.Put(id, next)
}

// HandleWake updates a target whose wake time has come.
func (p *PoolTargets) HandleWake(fleet *TargetTable, id table.ID, now time.Time) {
	p.Update(fleet, id, now, func(t *Target) {
		if t.circuit.state == ejected && !now.Before(t.circuit.until) {
			t.circuit.state = halfOpen
			t.circuit.successes = 0
		}
	})
}

// SetCredits records the slot credits for a target. More credits than before raise
// the local limit to them at once; refusals lower it again.
func (p *PoolTargets) SetCredits(fleet *TargetTable, id table.ID, slots int, until, now time.Time) {
	p.Update(fleet, id, now, func(t *Target) {
		if slots > t.Credits {
			t.limit = max(t.limit, min(float64(slots), float64(p.Limits.most())))
		}
		t.Credits, t.CreditsUntil = slots, until
	})
}

// StartAttempt counts an attempt that is handed to the target.
func (p *PoolTargets) StartAttempt(fleet *TargetTable, choice Choice, now time.Time) {
	if choice.Uncredited {
		p.beyond++
	}
	p.Update(fleet, choice.Target, now, func(t *Target) { t.InFlight++ })
}
