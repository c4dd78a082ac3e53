package controller

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/waxwingbridge/waxwingbridge/budget"
	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/placement"
)

// metricsInterval is the time between two updates of the metrics, each of which
// iterates over all workers and jobs.
const metricsInterval = 5 * time.Second

// reporter updates the metrics from the control state after a tick.
type reporter struct {
	scope        tally.Scope
	nextReportAt time.Time
	lastCounters placement.Counters // at the last update
}

func (r *reporter) report(s *State, tick engine.Tick) {
	if tick.Now.Before(r.nextReportAt) {
		return
	}
	r.nextReportAt = tick.Now.Add(metricsInterval)
	r.scope.Gauge("active").Update(boolGauge(s.Active()))
	r.scope.Gauge("config_revision").Update(float64(s.configRevision()))
	r.scope.Gauge("store_reachable").Update(boolGauge(s.storeReachable(tick.Now)))
	if !s.Active() || s.View.Policy == nil {
		return
	}
	r.reportPools(s)
	r.reportJobs(s)
}

func boolGauge(value bool) float64 {
	if value {
		return 1
	}
	return 0
}

func (s *State) configRevision() uint64 {
	if s.View.Config == nil {
		return 0
	}
	return uint64(s.View.Config.Revision)
}

func (r *reporter) reportPools(s *State) {
	availability := budget.Assess(s.Fleet, s.View.Policy, s.totalDemand())
	for _, spec := range s.View.Policy.Pools() {
		pool := availability.Pool(spec.Name)
		scope := r.scope.Tagged(map[string]string{"pool": spec.Name})
		scope.Gauge("pool_workers").Update(float64(pool.Size))
		scope.Gauge("pool_serving").Update(float64(pool.Serving))
		scope.Gauge("pool_floor").Update(float64(pool.Floor))
	}
	r.scope.Gauge("operations").Update(float64(s.Fleet.Operations.Len()))
}

func (r *reporter) reportJobs(s *State) {
	gauges := s.Jobs.Gauges()
	for state, count := range gauges.JobsByState {
		r.scope.Tagged(map[string]string{"state": string(state)}).Gauge("jobs").Update(float64(count))
	}
	r.scope.Gauge("draw_watts").Update(float64(gauges.DrawWatts))
	r.scope.Gauge("quarantined_workers").Update(float64(gauges.QuarantinedWorkers))
	counters := s.Jobs.Counters
	for name, count := range map[string]uint64{
		"job_starts":      counters.Starts - r.lastCounters.Starts,
		"job_preemptions": counters.Preemptions - r.lastCounters.Preemptions,
		"jobs_done":       counters.Done - r.lastCounters.Done,
		"jobs_failed":     counters.Failed - r.lastCounters.Failed,
		"jobs_unknown":    counters.JobsUnknown - r.lastCounters.JobsUnknown,
		"job_page_writes": counters.PageWrites - r.lastCounters.PageWrites,
		"power_throttles": counters.PowerThrottles - r.lastCounters.PowerThrottles,
	} {
		r.scope.Counter(name).Inc(int64(count))
	}
	r.lastCounters = counters
}
