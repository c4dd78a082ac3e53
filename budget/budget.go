// Package budget computes how many workers of each pool and availability zone
// may be disrupted without breaking the availability budget, and how many spare
// workers the site needs to survive the loss of a failure domain.
package budget

import (
	"cmp"
	"math"
	"slices"

	"github.com/waxwingbridge/waxwingbridge/fleet"
	"github.com/waxwingbridge/waxwingbridge/policy"
)

// Shortage says which limit a disruption would break.
type Shortage string

// Limits that a disruption can break.
const (
	ShortageNone          Shortage = ""
	ShortageUnknownPool   Shortage = "pool-not-declared"
	ShortagePoolFloor     Shortage = "pool-floor"           // fewer serving workers than the floor of the pool
	ShortageZoneFloor     Shortage = "zone-floor"           // fewer than the floor of the availability zone
	ShortageDemand        Shortage = "demand"               // the serving workers are needed now
	ShortageReceivingPool Shortage = "receiving-pool-floor" // the receiving pool, one worker larger, would be below its floor
)

// Counts is the availability of a pool or of one availability zone of a pool.
type Counts struct {
	Size     int // workers in the pool, whatever their state
	Incoming int // workers of other pools that an operation moves here
	Serving  int
	Floor    int // minimum number of serving workers, for Size + Incoming
}

// Slack returns how many more workers may be disrupted. It is negative while
// failures keep the number of serving workers below the floor.
func (c Counts) Slack() int { return c.Serving - c.Floor }

// Pool is the availability of one pool.
type Pool struct {
	Name   string
	Counts // of the whole pool
	Zones  map[string]Counts
	// Needed is the number of workers that the demand requires, -1 if unknown.
	Needed int
	policy policy.Pool
}

// Demand is the number of slots in use or wanted, per pool. A pool without an
// entry has unknown demand.
type Demand map[string]float64

// Availability holds the availability of all declared pools. A planner records its
// decisions in it, so that later decisions of the same plan account for them.
type Availability struct {
	pools map[string]*Pool
	names []string
}

// Floor returns the minimum number of serving workers of a pool with size workers.
func Floor(p policy.Pool, size int) int { return max(p.MinServing, ceilShare(p.MinServingShare, size)) }

// ZoneFloor returns the minimum number of serving workers of a pool within an
// availability zone that has size of its workers.
func ZoneFloor(p policy.Pool, size int) int { return ceilShare(p.MinServingZoneShare, size) }

// shareTolerance absorbs the rounding error of decimal shares: 0.7 × 10 must
// give 7 and not 8.
const shareTolerance = 1e-9

func ceilShare(fraction float64, size int) int {
	return int(math.Ceil(fraction*float64(size) - shareTolerance))
}

// Assess computes the availability of every declared pool. Workers that do not
// serve count as unavailable, and so do workers with an intended operation. The
// floor is computed for the size that includes workers moving in; a pool that a
// worker leaves gets no higher floor, so the budget holds before and after each move.
func Assess(t *fleet.Tables, effective *policy.Effective, demand Demand) *Availability {
	availability := &Availability{pools: map[string]*Pool{}}
	for _, spec := range effective.Pools() {
		values, _ := effective.Pool(spec.Name)
		pool := &Pool{Name: spec.Name, Zones: map[string]Counts{}, Needed: -1, policy: values}
		if slots, ok := demand[spec.Name]; ok {
			pool.Needed = NeededWorkers(slots, values)
		}
		availability.pools[spec.Name] = pool
		availability.names = append(availability.names, spec.Name)
	}
	for _, row := range t.Workers.All() {
		availability.addWorker(t, row)
	}
	for _, pool := range availability.pools {
		pool.updateFloors()
	}
	return availability
}

func (a *Availability) addWorker(t *fleet.Tables, row *fleet.WorkerRow) {
	if pool := a.pools[row.Pool]; pool != nil {
		serving := 0
		if row.Available() {
			serving = 1
		}
		pool.add(row.AvailabilityZone, Counts{Size: 1, Serving: serving})
	}
	operation := t.Operation(row)
	if operation == nil || operation.ToPool == "" || operation.ToPool == row.Pool {
		return
	}
	if pool := a.pools[operation.ToPool]; pool != nil {
		pool.add(row.AvailabilityZone, Counts{Incoming: 1})
	}
}

func (p *Pool) add(zone string, delta Counts) {
	p.Counts = p.plus(delta)
	p.Zones[zone] = p.Zones[zone].plus(delta)
}

func (c Counts) plus(delta Counts) Counts {
	c.Size += delta.Size
	c.Incoming += delta.Incoming
	c.Serving += delta.Serving
	return c
}

// updateFloors computes the floors for Size + Incoming.
func (p *Pool) updateFloors() {
	p.Floor = Floor(p.policy, p.Size+p.Incoming)
	for zone, counts := range p.Zones {
		counts.Floor = ZoneFloor(p.policy, counts.Size+counts.Incoming)
		p.Zones[zone] = counts
	}
}

// NeededWorkers returns the number of workers required to serve a number of slots.
func NeededWorkers(slots float64, p policy.Pool) int {
	return int(math.Ceil(slots/float64(max(p.SlotsPerTarget, 1)) - shareTolerance))
}

// Pool returns the availability of a pool, or nil for an undeclared one.
func (a *Availability) Pool(name string) *Pool { return a.pools[name] }

// Slack returns how many more workers of the pool may be disrupted now. The budget
// limits it, and so does the demand unless it is unknown.
func (p *Pool) Slack() int {
	slack := p.Counts.Slack()
	if p.Needed >= 0 {
		slack = min(slack, p.Serving-p.Needed)
	}
	return slack
}

// MaxSlack returns the slack that the pool has when all its workers serve.
func (p *Pool) MaxSlack() int { return p.Size - Floor(p.policy, p.Size) }

// DemandLimited reports whether demand, and not the budget, limits the slack.
func (p *Pool) DemandLimited() bool { return p.Slack() < p.Counts.Slack() }

// ByIdleShare returns the names of the pools by decreasing share of idle workers,
// then in the order of the configuration. Pools with unknown demand come last.
func (a *Availability) ByIdleShare() []string {
	names := slices.Clone(a.names)
	slices.SortStableFunc(names, func(x, y string) int {
		return cmp.Compare(a.pools[y].idleShare(), a.pools[x].idleShare())
	})
	return names
}

func (p *Pool) idleShare() float64 {
	if p.Needed < 0 || p.Size == 0 {
		return -1
	}
	return max(0, float64(p.Serving-p.Needed)/float64(p.Size))
}

// CheckDisruption reports what prevents the disruption of one serving worker of
// the pool in the availability zone.
func (a *Availability) CheckDisruption(pool, zone string) Shortage {
	p := a.pools[pool]
	switch {
	case p == nil:
		return ShortageUnknownPool
	case p.Counts.Slack() < 1:
		return ShortagePoolFloor
	case p.Zones[zone].Slack() < 1:
		return ShortageZoneFloor
	case p.Slack() < 1:
		return ShortageDemand
	}
	return ShortageNone
}

// RecordDisruption records the disruption of one serving worker.
func (a *Availability) RecordDisruption(pool, zone string) {
	if p := a.pools[pool]; p != nil {
		p.add(zone, Counts{Serving: -1})
	}
}

// CheckMove reports what prevents moving one serving worker from one pool to
// another: the disruption of the first, or the higher floor of the second, which
// applies already before the worker serves there.
func (a *Availability) CheckMove(from, to, zone string) Shortage {
	if shortage := a.CheckDisruption(from, zone); shortage != ShortageNone {
		return shortage
	}
	receiving := a.pools[to]
	if receiving == nil {
		return ShortageUnknownPool
	}
	if receiving.Serving < Floor(receiving.policy, receiving.Size+receiving.Incoming+1) {
		return ShortageReceivingPool
	}
	counts := receiving.Zones[zone]
	if counts.Serving < ZoneFloor(receiving.policy, counts.Size+counts.Incoming+1) {
		return ShortageReceivingPool
	}
	return ShortageNone
}

// RecordMove records the start of a move of one serving worker.
func (a *Availability) RecordMove(from, to, zone string) {
	a.RecordDisruption(from, zone)
	if receiving := a.pools[to]; receiving != nil {
		receiving.add(zone, Counts{Incoming: 1})
		receiving.updateFloors()
	}
}

// DependsOnSpares reports whether the pool, or its part in the zone, has no slack
// even when all its workers serve. Only spares can give it slack.
func (a *Availability) DependsOnSpares(pool, zone string) bool {
	p := a.pools[pool]
	if p == nil {
		return false
	}
	inZone := p.Zones[zone]
	return Floor(p.policy, p.Size) >= p.Size || ZoneFloor(p.policy, inZone.Size) >= inZone.Size
}

// SparesNeeded returns the minimum number of additional spare workers in the zone
// that give the pool slack for one disruption there. Spares already moving in count
// as serving. It returns false if no number up to limit is enough: spares give no
// slack to a pool whose floor equals its size at any size.
func (a *Availability) SparesNeeded(pool, zone string, limit int) (int, bool) {
	p := a.pools[pool]
	if p == nil {
		return 0, false
	}
	inZone := p.Zones[zone]
	for borrowed := 0; borrowed <= limit; borrowed++ {
		arrived, arrivedZone := p.Incoming+borrowed, inZone.Incoming+borrowed
		if p.Serving+arrived > Floor(p.policy, p.Size+arrived) &&
			inZone.Serving+arrivedZone > ZoneFloor(p.policy, inZone.Size+arrivedZone) {
			return borrowed, true
		}
	}
	return 0, false
}
