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

// Shortage is the typed reason why a disruption would break a budget.
type Shortage string

// The shortages.
const (
	ShortageNone          Shortage = ""
	ShortageUnknownPool   Shortage = "pool-not-declared"
	ShortagePoolFloor     Shortage = "pool-floor"           // fewer serving workers than the floor of the pool
	ShortageZoneFloor     Shortage = "zone-floor"           // fewer than the floor of the availability zone
	ShortageDemand        Shortage = "demand"               // the serving workers are needed now
	ShortageReceivingPool Shortage = "receiving-pool-floor" // the larger pool would have a higher floor than it can keep
)

// Counts is the availability of a pool or of one availability zone of a pool.
type Counts struct {
	Size     int // workers in the pool, whatever their state
	Incoming int // workers of other pools with an operation that brings them here
	Serving  int
	Floor    int // least number of serving workers, for Size + Incoming
}

// Slack returns how many more workers may be disrupted. It is negative while
// faults hold the count below its floor.
func (c Counts) Slack() int { return c.Serving - c.Floor }

// Pool is the availability of one pool.
type Pool struct {
	Name   string
	Counts // of the whole pool
	Zones  map[string]Counts
	// Needed is the number of workers that the demand needs, -1 while unknown.
	Needed int
	policy policy.Pool
}

// Demand is the number of slots in use or wanted, per pool. A pool without an
// entry has unknown demand.
type Demand map[string]float64

// Availability holds the availability of all declared pools. A planner records its
// decisions in it, so that later decisions of the same plan see them.
type Availability struct {
	pools map[string]*Pool
	names []string
}

// Floor returns the least number of serving workers of a pool with size workers.
func Floor(p policy.Pool, size int) int { return max(p.MinServing, share(p.MinServingShare, size)) }

// ZoneFloor returns the least number of serving workers of a pool within an
// availability zone that has size of its workers.
func ZoneFloor(p policy.Pool, size int) int { return share(p.MinServingZoneShare, size) }

// shareTolerance absorbs the rounding error of decimal shares: 0.7 × 10 must
// give 7 and not 8.
const shareTolerance = 1e-9

func share(of float64, size int) int { return int(math.Ceil(of*float64(size) - shareTolerance)) }

// Assess computes the availability of every declared pool. Everything that is
// not serving counts as unavailable, including workers with an intended
// operation. The floor is that of the larger size that a pool has while workers
// move in; the size after a worker moves out has no higher floor, so the budget
// holds before and after each move.
func Assess(t *fleet.Tables, effective *policy.Effective, demand Demand) *Availability {
	book := &Availability{pools: map[string]*Pool{}}
	for _, spec := range effective.Pools() {
		values, _ := effective.Pool(spec.Name)
		pool := &Pool{Name: spec.Name, Zones: map[string]Counts{}, Needed: -1, policy: values}
		if slots, ok := demand[spec.Name]; ok {
			pool.Needed = NeededWorkers(slots, values)
		}
		book.pools[spec.Name] = pool
		book.names = append(book.names, spec.Name)
	}
	for _, row := range t.Workers.All() {
		book.addWorker(t, row)
	}
	for _, pool := range book.pools {
		pool.raise()
	}
	return book
}

func (b *Availability) addWorker(t *fleet.Tables, row *fleet.WorkerRow) {
	if pool := b.pools[row.Pool]; pool != nil {
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
	if pool := b.pools[operation.ToPool]; pool != nil {
		pool.add(row.AvailabilityZone, Counts{Incoming: 1})
	}
}

func (p *Pool) add(zone string, by Counts) {
	p.Counts = p.plus(by)
	p.Zones[zone] = p.Zones[zone].plus(by)
}

func (c Counts) plus(by Counts) Counts {
	c.Size += by.Size
	c.Incoming += by.Incoming
	c.Serving += by.Serving
	return c
}

// raise computes the floors from the sizes.
func (p *Pool) raise() {
	p.Floor = Floor(p.policy, p.Size+p.Incoming)
	for zone, count := range p.Zones {
		count.Floor = ZoneFloor(p.policy, count.Size+count.Incoming)
		p.Zones[zone] = count
	}
}

// NeededWorkers returns the number of workers that serve a number of slots.
func NeededWorkers(slots float64, p policy.Pool) int {
	return int(math.Ceil(slots/float64(max(p.SlotsPerTarget, 1)) - shareTolerance))
}

// Pool returns the availability of a pool, or nil for an undeclared one.
func (b *Availability) Pool(name string) *Pool { return b.pools[name] }

// Slack returns how many more workers of the pool may be disrupted now: what
// the budget allows, and no more than the demand leaves unless it is unknown.
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

// ByIdleShare returns the names of the pools, those that demand leaves the largest
// share of their workers idle first, then in the order of the configuration.
// Pools with unknown demand come last.
func (b *Availability) ByIdleShare() []string {
	names := slices.Clone(b.names)
	slices.SortStableFunc(names, func(x, y string) int {
		return cmp.Compare(b.pools[y].idle(), b.pools[x].idle())
	})
	return names
}

func (p *Pool) idle() float64 {
	if p.Needed < 0 || p.Size == 0 {
		return -1
	}
	return max(0, float64(p.Serving-p.Needed)/float64(p.Size))
}

// CheckDisruption reports what prevents the disruption of one serving worker of
// the pool in the availability zone.
func (b *Availability) CheckDisruption(pool, zone string) Shortage {
	p := b.pools[pool]
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
func (b *Availability) RecordDisruption(pool, zone string) {
	if p := b.pools[pool]; p != nil {
		p.add(zone, Counts{Serving: -1})
	}
}

// CheckMove reports what prevents moving one serving worker from one pool to
// another: the disruption of the first, or the higher floor of the second,
// which applies before the worker serves there.
func (b *Availability) CheckMove(from, to, zone string) Shortage {
	if shortage := b.CheckDisruption(from, zone); shortage != ShortageNone {
		return shortage
	}
	target := b.pools[to]
	if target == nil {
		return ShortageUnknownPool
	}
	if target.Serving < Floor(target.policy, target.Size+target.Incoming+1) {
		return ShortageReceivingPool
	}
	count := target.Zones[zone]
	if count.Serving < ZoneFloor(target.policy, count.Size+count.Incoming+1) {
		return ShortageReceivingPool
	}
	return ShortageNone
}

// RecordMove records the start of a move of one serving worker.
func (b *Availability) RecordMove(from, to, zone string) {
	b.RecordDisruption(from, zone)
	if target := b.pools[to]; target != nil {
		target.add(zone, Counts{Incoming: 1})
		target.raise()
	}
}

// DependsOnSpares reports that the pool, or the part of it in the zone, has no slack
// even when all its workers serve. Only spares can give it slack.
func (b *Availability) DependsOnSpares(pool, zone string) bool {
	p := b.pools[pool]
	if p == nil {
		return false
	}
	inZone := p.Zones[zone]
	return Floor(p.policy, p.Size) >= p.Size || ZoneFloor(p.policy, inZone.Size) >= inZone.Size
}

// SparesNeeded returns the least number of further spare workers in the zone that
// give the pool slack for one disruption there; those already on their way count
// as arrived. It returns false if no number up to most is enough: a floor that
// is the whole pool at any size cannot be lifted by spares.
func (b *Availability) SparesNeeded(pool, zone string, most int) (int, bool) {
	p := b.pools[pool]
	if p == nil {
		return 0, false
	}
	inZone := p.Zones[zone]
	for borrowed := 0; borrowed <= most; borrowed++ {
		arrived, arrivedZone := p.Incoming+borrowed, inZone.Incoming+borrowed
		if p.Serving+arrived > Floor(p.policy, p.Size+arrived) &&
			inZone.Serving+arrivedZone > ZoneFloor(p.policy, inZone.Size+arrivedZone) {
			return borrowed, true
		}
	}
	return 0, false
}
