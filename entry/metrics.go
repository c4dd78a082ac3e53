package entry

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/waxwingbridge/waxwingbridge/metrics"
)

// counters holds the counters of the process by name.
type counters struct {
	scope tally.Scope
	byKey sync.Map // string to tally.Counter
}

func (c *counters) add(name string, delta int64) {
	counter, ok := c.byKey.Load(name)
	if !ok {
		counter, _ = c.byKey.LoadOrStore(name, c.scope.Counter(name))
	}
	counter.(tally.Counter).Inc(delta)
}

// timers holds the latency histograms of the process by name.
type timers struct {
	scope tally.Scope
	byKey sync.Map // string to tally.Histogram
}

func (t *timers) record(name string, d time.Duration) {
	histogram, ok := t.byKey.Load(name)
	if !ok {
		histogram, _ = t.byKey.LoadOrStore(name, metrics.Latency(t.scope, name))
	}
	histogram.(tally.Histogram).RecordDuration(d)
}
