package controller

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/waxwingbridge/waxwingbridge/budget"
	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/placement"
)

// metricsInterval is the pause between two reports of gauges, which visit every
// worker and job.
const metricsInterval = 5 * time.Second

// reporter turns the control state into metrics after a tick.
type reporter struct {
	scope    tally.Scope
	next     time.Time
	counters placement.Counters // reported so far
}

func (r *reporter) report(s *State, tick engine.Tick) {
	if tick.Now.Before(r.next) {
		return
	}
	r.next = tick.Now.Add(metricsInterval)
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
	book := budget.Assess(s.Fleet, s.View.Policy, s.totalDemand())
	for _, spec := range s.View.Policy.Pools() {
		pool := book.Pool(spec.Name)
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
	now := s.Jobs.Counters
	for name, count := range map[string]uint64{
		"job_starts":      now.Starts - r.counters.Starts,
		"job_preemptions": now.Preemptions - r.counters.Preemptions,
		"jobs_done":       now.Done - r.counters.Done,
		"jobs_failed":     now.Failed - r.counters.Failed,
		"jobs_unknown":    now.JobsUnknown - r.counters.JobsUnknown,
		"job_page_writes": now.PageWrites - r.counters.PageWrites,
		"power_throttles": now.PowerThrottles - r.counters.PowerThrottles,
	} {
		r.scope.Counter(name).Inc(int64(count))
	}
	r.counters = now
}
