// Package metrics creates the tally scope of a process with a Prometheus reporter,
// and the latency histograms that processes share.
package metrics

import (
	"io"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	promreporter "github.com/uber-go/tally/v4/prometheus"
)

// reportInterval is the interval at which tally passes values to the reporter.
const reportInterval = time.Second

// latencyBuckets cover queue waits and response times from 1 ms to about 65 s.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 17)

// Metrics holds the root scope of a process and the handler of its metrics page.
type Metrics struct {
	Scope   tally.Scope
	handler http.Handler
	closer  io.Closer
}

// New returns the metrics of a process. All metric names start with waxwing_.
func New(role string) *Metrics {
	registry := prometheus.NewRegistry()
	reporter := promreporter.NewReporter(promreporter.Options{
		Registerer:       registry,
		Gatherer:         registry,
		DefaultTimerType: promreporter.HistogramTimerType,
		OnRegisterError:  func(error) {},
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:          "waxwing",
		Tags:            map[string]string{"role": role},
		CachedReporter:  reporter,
		Separator:       promreporter.DefaultSeparator,
		SanitizeOptions: &promreporter.DefaultSanitizerOpts,
	}, reportInterval)
	return &Metrics{Scope: scope, handler: reporter.HTTPHandler(), closer: closer}
}

// Handler returns a handler that serves the Prometheus text format.
func (m *Metrics) Handler() http.Handler { return m.handler }

// Close stops the reporting goroutine.
func (m *Metrics) Close() error { return m.closer.Close() }

// RequestLatency returns the histogram of total request times by pool, tenant and
// class.
func RequestLatency(scope tally.Scope, pool, tenant, class string) tally.Histogram {
	return scope.Tagged(map[string]string{"pool": pool, "tenant": tenant, "class": class}).
		Histogram("request_seconds", latencyBuckets)
}

// QueueWait returns the histogram of queue times before the first attempt.
func QueueWait(scope tally.Scope, pool, tenant, class string) tally.Histogram {
	return scope.Tagged(map[string]string{"pool": pool, "tenant": tenant, "class": class}).
		Histogram("queue_wait_seconds", latencyBuckets)
}

// JobStartWait returns the histogram of times from the acceptance of a job to its
// start.
func JobStartWait(scope tally.Scope, tenant, class string) tally.Histogram {
	return scope.Tagged(map[string]string{"tenant": tenant, "class": class}).
		Histogram("job_start_wait_seconds", latencyBuckets)
}

// TeamWait returns the histogram of times from the acceptance of a job to its start by
// team.
func TeamWait(scope tally.Scope, team string) tally.Histogram {
	return scope.Tagged(map[string]string{"team": team}).Histogram("team_wait_seconds", latencyBuckets)
}

// Latency returns the histogram with the given name; the suffix _seconds is added.
func Latency(scope tally.Scope, step string) tally.Histogram {
	return scope.Histogram(step+"_seconds", latencyBuckets)
}
