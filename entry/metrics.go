package entry

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/waxwingbridge/waxwingbridge/metrics"
)

// counters creates the counters of the process on first use.
type counters struct {
	scope  tally.Scope
	byName sync.Map // string to tally.Counter
}

func (c *counters) add(name string, delta int64) {
	counter, ok := c.byName.Load(name)
	if !ok {
		counter, _ = c.byName.LoadOrStore(name, c.scope.Counter(name))
	}
	counter.(tally.Counter).Inc(delta)
}

// timers creates the latency histograms of the process on first use.
type timers struct {
	scope  tally.Scope
	byName sync.Map // string to tally.Histogram
}

func (t *timers) record(name string, d time.Duration) {
	histogram, ok := t.byName.Load(name)
	if !ok {
		histogram, _ = t.byName.LoadOrStore(name, metrics.Latency(t.scope, name))
	}
	histogram.(tally.Histogram).RecordDuration(d)
}
