// Package measure simulates maintenance roll-outs. It runs the real decision
// functions of packages fleet, budget and wave on a simulated clock, with a fake
// platform and generated demand, and compares the planner with two baselines: one
// worker at a time per pool, and a fixed share of each pool at once.
package measure

import (
	"fmt"
	"time"

	"github.com/waxwingbridge/waxwingbridge/budget"
	"github.com/waxwingbridge/waxwingbridge/fleet"
	"github.com/waxwingbridge/waxwingbridge/policy"
)

// epoch is the start of the simulated clock.
var epoch = time.Date(2026, 12, 4, 20, 0, 0, 0, time.UTC)

const (
	firstBoot      = 1
	workersPerRack = 4
	fixedShare     = 0.1 // of each pool at once, in the second baseline
	// noSlackInterval selects the pools without slack: the first pool of a site and
	// every tenth after it must keep all their workers serving.
	noSlackInterval = 10
)

// Scenario is a fleet to measure, with one layout per site.
type Scenario struct {
	Name      string
	Objective policy.Objective
	sites     []*layout
}

// layout is the workers and the policy of one site.
type layout struct {
	document  fleet.Document
	effective *policy.Effective
	pools     []string
	sizes     map[string]int
}

// Scenarios returns the fleets to measure.
func Scenarios() []Scenario {
	current := []int{9, 9, 11, 12, 8}
	large := []int{174, 173, 173}
	zones := []int{4, 4, 3}
	var sites []*layout
	for i, workers := range large {
		sites = append(sites, newLayout(largeSizes(workers), zones[i], policy.ObjectiveBuffer))
	}
	return []Scenario{
		{"zariste", policy.ObjectiveBuffer, []*layout{newLayout(current, 3, policy.ObjectiveBuffer)}},
		{"qalb", policy.ObjectiveRollout, []*layout{newLayout(current, 3, policy.ObjectiveRollout)}},
		{"520-workers", policy.ObjectiveBuffer, sites},
	}
}

// largeSizes returns the pool sizes of a region: its workers spread over 37 pools and
// a spare pool of 12. Three regions thus have 114 pools.
func largeSizes(workers int) []int {
	const pools, spare = 37, 12
	sizes := make([]int, pools, pools+1)
	for i := range workers - spare {
		sizes[i%pools]++
	}
	return append(sizes, spare)
}

// newLayout spreads the workers of each pool over the zones in turn and fills the
// racks of each zone in that order. The last pool is the spare pool. The budget is
// the default of the example configuration, with an exception for the pools without
// slack.
func newLayout(sizes []int, zones int, objective policy.Objective) *layout {
	l := &layout{sizes: map[string]int{}}
	inZone := make([]int, zones)
	n := 0
	for i, size := range sizes {
		pool := fmt.Sprintf("pool-%02d", i)
		if i == len(sizes)-1 {
			pool = "spare"
		}
		l.pools = append(l.pools, pool)
		l.sizes[pool] = size
		for range size {
			zone := n % zones
			l.document.Workers = append(l.document.Workers, fleet.Worker{
				ID: fmt.Sprintf("w%03d", n), Pool: pool, State: fleet.Serving, Since: epoch.Add(-time.Hour), BootID: firstBoot,
				AvailabilityZone: fmt.Sprintf("z%d", zone), Rack: fmt.Sprintf("z%d-r%02d", zone, inZone[zone]/workersPerRack),
			})
			inZone[zone]++
			n++
		}
	}
	doc := policy.Example(l.pools...)
	doc.Site.Objective = objective
	for i := 0; i < len(sizes)-1; i += noSlackInterval {
		doc.Exceptions = append(doc.Exceptions, policy.Exception{
			Scope: "pool/" + l.pools[i], Field: "min_serving", Value: float64(sizes[i]), Reason: "needs all its workers",
		})
	}
	l.effective = policy.Resolve(&doc, epoch)
	return l
}

// failingRack returns the rack whose workers fail in a run with correlated failures.
func (l *layout) failingRack(seed uint64) fleet.RackKey {
	worker := &l.document.Workers[seed%uint64(len(l.document.Workers))]
	return fleet.RackKey{AvailabilityZone: worker.AvailabilityZone, Rack: worker.Rack}
}

// Demand of one queue: a peak of 1.2 times the capacity of its pool, and a
// twentieth of the peak otherwise. Peaks take 3/19 of the time, so that the peak is
// five times the mean.
const (
	peakDuration       = 5 * time.Second
	peakCapacityFactor = 1.2
	troughFactor       = 1.0 / 20
	peakCycle          = peakDuration * 19 / 3
)

// demand is a deterministic source of joint demand. The queues peak in turn.
type demand struct {
	layout *layout
	cycle  time.Duration
	offset time.Duration
}

func newDemand(l *layout, seed uint64) *demand {
	return &demand{l, peakCycle, time.Duration(seed%uint64(peakCycle/time.Second)) * time.Second}
}

// at returns the demand of all pools in slots. The peaks of the queues are spaced
// evenly over the cycle.
func (d *demand) at(now time.Time) budget.Demand {
	slots := budget.Demand{}
	for i, pool := range d.layout.pools {
		values, _ := d.layout.effective.Pool(pool)
		wantedSlots := peakCapacityFactor * float64(d.layout.sizes[pool]*values.SlotsPerTarget)
		shift := d.cycle * time.Duration(i) / time.Duration(len(d.layout.pools))
		if (now.Sub(epoch)+d.offset+shift)%d.cycle >= peakDuration {
			wantedSlots *= troughFactor
		}
		slots[pool] = wantedSlots
	}
	return slots
}

// history returns one sample per second over one cycle.
func (d *demand) history() []budget.Sample {
	var samples []budget.Sample
	for at := time.Duration(0); at < d.cycle; at += time.Second {
		samples = append(samples, d.at(epoch.Add(at)))
	}
	return samples
}
