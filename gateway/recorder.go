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

// Callers choose the name of their tenant, so the number of tenant labels must be
// limited. Tenants beyond the limit share one label.
const (
	maxTenantLabels   = 256
	otherTenantsLabel = "other"
)

type seriesKey struct {
	pool, tenant string
	class        routing.Class
}

type series struct {
	latency, queueWait tally.Histogram
}

// recorder counts outcomes and records histograms per pool, tenant and class.
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

// record records a request that reached a shard or the home of its key.
func (r *recorder) record(submission *traffic.Submission, result *traffic.Result, elapsed time.Duration) {
	r.counter(result.Outcome).Inc(1)
	if result.Outcome.Reason == outcome.ReasonUnknownPool {
		return // callers could create any number of series with invented pool names
	}
	s := r.seriesFor(seriesKey{submission.Pool, submission.Tenant, submission.Class})
	s.latency.RecordDuration(elapsed)
	if result.Attempts > 0 {
		s.queueWait.RecordDuration(result.QueueWait)
	}
}

// recordRefusal counts a request that the front end refused.
func (r *recorder) recordRefusal(reason outcome.Reason) {
	r.counter(outcome.NotRunBecause(reason)).Inc(1)
}

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

func (r *recorder) seriesFor(key seriesKey) *series {
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
		return otherTenantsLabel
	}
	r.tenants[tenant] = true
	return tenant
}
