package bench

import (
	"fmt"
	"testing"
	"time"

	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/waxwingbridge/waxwingbridge/gateway/traffic"
	"github.com/waxwingbridge/waxwingbridge/outcome"
	"github.com/waxwingbridge/waxwingbridge/policy"
	"github.com/waxwingbridge/waxwingbridge/routing"
)

// maxUrgentWait is the maximum time until an urgent request must be sent.
const maxUrgentWait = 2200 * time.Millisecond

// load describes the arrivals at one gateway: a rate with exponentially distributed
// intervals.
type load struct {
	tenant     string
	class      routing.Class
	perSecond  float64
	from, to   time.Duration
	idempotent bool
}

// addLoad submits the requests of the load. submitted is called with the ID of each
// request.
func (sim *simulation) addLoad(g *simGateway, l load, submitted func(id string)) {
	count := 0
	var next func()
	next = func() {
		if sim.now.Sub(sim.start) >= l.to {
			return
		}
		count++
		id := fmt.Sprintf("%s-%v-%v-%d", l.tenant, l.class, l.from, count)
		if submitted != nil {
			submitted(id)
		}
		g.submit(id, l.tenant, l.class, l.idempotent, 0)
		sim.after(sim.exponential(time.Duration(float64(time.Second)/l.perSecond)), next)
	}
	sim.after(l.from, next)
}

// serviceTimeByClass gives long requests a hundred times the service time of others.
func (sim *simulation) serviceTimeByClass(message *traffic.Message) time.Duration {
	if message.Path == "/long" {
		return sim.exponential(5 * time.Second)
	}
	return sim.exponential(50 * time.Millisecond)
}

// Guards against urgent requests that wait behind other classes, behind a tenant
// that floods the queue, or behind long requests that occupy all slots. The peak is
// more than five times the mean of 940 requests per second, and the slots can serve
// 1440 short requests per second.
func TestUrgentWorkStartsInTimeUnderAPeak(t *testing.T) {
	property := prop.ForAll(func(seed uint64, credits bool) string {
		sim := newSimulation(seed)
		var names []string
		for i := range 9 {
			names = append(names, fmt.Sprintf("t%d", i))
			sim.addTarget(names[i], healthy)
		}
		sim.service = sim.serviceTimeByClass
		g := sim.addGateway(chooserOf(credits), sim.snapshot(1, nil, names...))
		urgent := map[string]bool{}
		record := func(id string) { urgent[id] = true }
		sim.addLoad(g, load{"ledger", routing.Long, 40, 0, 6 * time.Second, true}, nil)
		sim.addLoad(g, load{"shop", routing.Quick, 600, 0, 3 * time.Second, true}, nil)
		sim.addLoad(g, load{"flood", routing.Quick, 3000, 3 * time.Second, 6 * time.Second, true}, nil)
		sim.addLoad(g, load{"shop", routing.Urgent, 200, 0, 6 * time.Second, false}, record)
		sim.addLoad(g, load{"clinic", routing.Urgent, 100, 0, 6 * time.Second, false}, record)
		sim.addLoad(g, load{"flood", routing.Urgent, 2000, 3 * time.Second, 6 * time.Second, false}, nil)
		sim.run(20 * time.Second)
		for id := range urgent {
			result := g.results[id][0]
			if result.Outcome.Kind != outcome.Completed || result.QueueWait > maxUrgentWait {
				return fmt.Sprintf("%s ended as %v after a wait of %v", id, result.Outcome, result.QueueWait)
			}
		}
		return ""
	}, gen.UInt64(), gen.Bool())
	checkProperty(t, "urgent work starts within 2.2 s", property, 6)
}

func chooserOf(credits bool) routing.Chooser {
	if credits {
		return routing.CreditsFirst{}
	}
	return routing.PowerOfTwoChoices{}
}

// Guards against a target that appears idle because it fails immediately. Ejection
// is disabled, so that only the measure of load protects the pool.
func TestFastFailingTargetGetsNoMoreThanItsShare(t *testing.T) {
	property := prop.ForAll(func(seed uint64, failure int) string {
		sim := newSimulation(seed)
		names := []string{"t0", "t1", "t2", "t3", "t4"}
		for _, name := range names {
			sim.addTarget(name, healthy)
		}
		sim.targets["t0"].mode = []mode{failsFast, breaksConnection, unreachable}[failure]
		sim.service = sim.serviceTimeByClass
		g := sim.addGateway(routing.PowerOfTwoChoices{}, sim.snapshot(1, func(doc *policy.Document) {
			doc.Defaults.Pool.EjectionCap = 0
		}, names...))
		sim.addLoad(g, load{"shop", routing.Quick, 300, 0, 10 * time.Second, false}, nil)
		sim.run(12 * time.Second)
		if got, share := sim.targets["t0"].requests, g.sends/len(names); got > share {
			return fmt.Sprintf("the failing target received %d of %d requests, want at most %d", got, g.sends, share)
		}
		return ""
	}, gen.UInt64(), gen.IntRange(0, 2))
	checkProperty(t, "share of a failing target", property, 9)
}
