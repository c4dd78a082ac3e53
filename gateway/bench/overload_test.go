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

// urgentStart is the time in which urgent work must start.
const urgentStart = 2200 * time.Millisecond

// load describes arrivals at one gateway, as a rate with exponential gaps.
type load struct {
	tenant     string
	class      routing.Class
	perSecond  float64
	from, to   time.Duration
	idempotent bool
}

// offer submits the load until its end. submitted is called for each request.
func (w *world) offer(g *simGateway, l load, submitted func(id string)) {
	count := 0
	var next func()
	next = func() {
		if w.now.Sub(w.start) >= l.to {
			return
		}
		count++
		id := fmt.Sprintf("%s-%v-%v-%d", l.tenant, l.class, l.from, count)
		if submitted != nil {
			submitted(id)
		}
		g.submit(id, l.tenant, l.class, l.idempotent, 0)
		w.at(w.exponential(time.Duration(float64(time.Second)/l.perSecond)), next)
	}
	w.at(l.from, next)
}

// byClass gives long work a hundred times the time of other work.
func (w *world) byClass(message *traffic.Message) time.Duration {
	if message.Path == "/long" {
		return w.exponential(5 * time.Second)
	}
	return w.exponential(50 * time.Millisecond)
}

// Guards against urgent work that waits behind other classes, behind a tenant
// that floods the queue, or behind long work that holds all slots. The peak is
// more than five times the mean demand of 940 requests a second, on slots for
// 1440 short ones.
func TestUrgentWorkStartsInTimeUnderAPeak(t *testing.T) {
	property := prop.ForAll(func(seed uint64, credits bool) string {
		w := newWorld(seed)
		var names []string
		for i := range 9 {
			names = append(names, fmt.Sprintf("t%d", i))
			w.addTarget(names[i], healthy)
		}
		w.service = w.byClass
		g := w.addGateway(chooserOf(credits), w.snapshot(1, nil, names...))
		urgent := map[string]bool{}
		note := func(id string) { urgent[id] = true }
		w.offer(g, load{"ledger", routing.Long, 40, 0, 6 * time.Second, true}, nil)
		w.offer(g, load{"shop", routing.Quick, 600, 0, 3 * time.Second, true}, nil)
		w.offer(g, load{"flood", routing.Quick, 3000, 3 * time.Second, 6 * time.Second, true}, nil)
		w.offer(g, load{"shop", routing.Urgent, 200, 0, 6 * time.Second, false}, note)
		w.offer(g, load{"clinic", routing.Urgent, 100, 0, 6 * time.Second, false}, note)
		w.offer(g, load{"flood", routing.Urgent, 2000, 3 * time.Second, 6 * time.Second, false}, nil)
		w.run(20 * time.Second)
		for id := range urgent {
			result := g.results[id][0]
			if result.Outcome.Kind != outcome.Completed || result.QueueWait > urgentStart {
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

// Guards against a target that looks idle because it fails at once. Ejection is
// off, so that only the load measure protects the pool.
func TestFastFailingTargetGetsNoMoreThanItsShare(t *testing.T) {
	property := prop.ForAll(func(seed uint64, how int) string {
		w := newWorld(seed)
		names := []string{"t0", "t1", "t2", "t3", "t4"}
		for _, name := range names {
			w.addTarget(name, healthy)
		}
		w.targets["t0"].mode = []mode{failsFast, breaks, unreachable}[how]
		w.service = w.byClass
		g := w.addGateway(routing.PowerOfTwoChoices{}, w.snapshot(1, func(doc *policy.Document) {
			doc.Defaults.Pool.EjectionCap = 0
		}, names...))
		w.offer(g, load{"shop", routing.Quick, 300, 0, 10 * time.Second, false}, nil)
		w.run(12 * time.Second)
		if got, share := w.targets["t0"].requests, g.sends/len(names); got > share {
			return fmt.Sprintf("the failing target got %d of %d requests, its share is %d", got, g.sends, share)
		}
		return ""
	}, gen.UInt64(), gen.IntRange(0, 2))
	checkProperty(t, "share of a failing target", property, 9)
}
