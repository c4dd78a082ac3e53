package gateway

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/waxwingbridge/waxwingbridge/gateway/traffic"
	"github.com/waxwingbridge/waxwingbridge/metrics"
	"github.com/waxwingbridge/waxwingbridge/outcome"
	"github.com/waxwingbridge/waxwingbridge/routing"
)

// Callers choose their tenant's name, so the number of series must not depend
// on them. Later tenants share one label.
const (
	maxTenantLabels = 256
	otherTenants    = "other"
)

type seriesKey struct {
	pool, tenant string
	class        routing.Class
}

type series struct {
	latency, queueWait tally.Histogram
}

// recorder counts outcomes and keeps the histograms per pool, tenant and class.
type recorder struct {
	scope    tally.Scope
	mu       sync.RWMutex
	series   map[seriesKey]*series
	tenants  map[string]bool
	outcomes map[outcome.Outcome]tally.Counter
}

func newRecorder(scope tally.Scope) *recorder {
	return &recorder{
		scope: scope, series: map[seriesKey]*series{}, tenants: map[string]bool{},
		outcomes: map[outcome.Outcome]tally.Counter{},
	}
}

// record adds a request that reached a shard or another home.
func (r *recorder) record(submission *traffic.Submission, result *traffic.Result, took time.Duration) {
	r.counter(result.Outcome).Inc(1)
	if result.Outcome.Reason == outcome.ReasonUnknownPool {
		return // the name of the pool is the caller's invention
	}
	s := r.seriesOf(seriesKey{submission.Pool, submission.Tenant, submission.Class})
	s.latency.RecordDuration(took)
	if result.Attempts > 0 {
		s.queueWait.RecordDuration(result.QueueWait)
	}
}

// refused counts a request that ended in the front end.
func (r *recorder) refused(reason outcome.Reason) { r.counter(outcome.NotRunBecause(reason)).Inc(1) }

func (r *recorder) counter(result outcome.Outcome) tally.Counter {
	r.mu.RLock()
	counter, ok := r.outcomes[result]
	r.mu.RUnlock()
	if ok {
		return counter
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	counter = r.scope.Tagged(map[string]string{"outcome": result.Kind.String(), "reason": string(result.Reason)}).
		Counter("requests_total")
	r.outcomes[result] = counter
	return counter
}

func (r *recorder) seriesOf(key seriesKey) *series {
	r.mu.RLock()
	found, ok := r.series[key]
	r.mu.RUnlock()
	if ok {
		return found
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	key.tenant = r.tenantLabel(key.tenant)
	if found, ok = r.series[key]; ok {
		return found
	}
	found = &series{
		latency:   metrics.RequestLatency(r.scope, key.pool, key.tenant, key.class.String()),
		queueWait: metrics.QueueWait(r.scope, key.pool, key.tenant, key.class.String()),
	}
	r.series[key] = found
	return found
}

func (r *recorder) tenantLabel(tenant string) string {
	if r.tenants[tenant] {
		return tenant
	}
	if len(r.tenants) >= maxTenantLabels {
		return otherTenants
	}
	r.tenants[tenant] = true
	return tenant
}
