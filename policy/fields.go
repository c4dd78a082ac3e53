package policy

import (
	"fmt"
	"math"
)

// field describes one number that an exception can override, with its accepted range.
type field[T any] struct {
	least, most float64
	whole       bool
	get         func(*T) float64
	set         func(*T, float64)
}

// accepts reports whether the value is in the range. NaN is in no range.
func (f field[T]) accepts(value float64) bool {
	return value >= f.least && value <= f.most && (!f.whole || math.Trunc(value) == value)
}

// accepted describes the range to an operator.
func (f field[T]) accepted() string {
	kind := "a number"
	if f.whole {
		kind = "a whole number"
	}
	return fmt.Sprintf("%s from %s to %s", kind, formatNumber(f.least), formatNumber(f.most))
}

func wholeField[T any](least, most int, ref func(*T) *int) field[T] {
	return field[T]{
		least: float64(least), most: float64(most), whole: true,
		get: func(t *T) float64 { return float64(*ref(t)) },
		set: func(t *T, value float64) { *ref(t) = int(math.Round(value)) },
	}
}

func realField[T any](least, most float64, ref func(*T) *float64) field[T] {
	return field[T]{
		least: least, most: most,
		get: func(t *T) float64 { return *ref(t) },
		set: func(t *T, value float64) { *ref(t) = value },
	}
}

// Largest accepted values. They keep sums over all workers of a fleet far from
// integer overflow.
const (
	maxWorkersPerPool = 10_000
	maxTimeoutMS      = 24 * 60 * 60 * 1000
	maxRate           = 1e6
	maxWatts          = 100_000_000
)

var siteFields = map[string]field[Site]{
	"maintenance_days":       wholeField(1, 365, func(s *Site) *int { return &s.MaintenanceDays }),
	"canary_workers":         wholeField(1, maxWorkersPerPool, func(s *Site) *int { return &s.CanaryWorkers }),
	"halt_after_failures":    wholeField(1, maxWorkersPerPool, func(s *Site) *int { return &s.HaltAfterFailures }),
	"power_cap_watts":        wholeField(0, maxWatts, func(s *Site) *int { return &s.PowerCapWatts }),
	"reboot_inrush_watts":    wholeField(0, maxWatts, func(s *Site) *int { return &s.RebootInrushWatts }),
	"job_quarantine_cap":     realField(0, 1, func(s *Site) *float64 { return &s.JobQuarantineCap }),
	"max_concurrent_reboots": wholeField(0, maxWorkersPerPool, func(s *Site) *int { return &s.MaxConcurrentReboots }),
}

var poolFields = map[string]field[Pool]{
	"min_serving":            wholeField(0, maxWorkersPerPool, func(p *Pool) *int { return &p.MinServing }),
	"min_serving_share":      realField(0, 1, func(p *Pool) *float64 { return &p.MinServingShare }),
	"min_serving_zone_share": realField(0, 1, func(p *Pool) *float64 { return &p.MinServingZoneShare }),
	"slots_per_target":       wholeField(1, 1024, func(p *Pool) *int { return &p.SlotsPerTarget }),
	"connections_per_target": wholeField(1, 65535, func(p *Pool) *int { return &p.ConnectionsPerTarget }),
	"queue_limit":            wholeField(0, 100_000, func(p *Pool) *int { return &p.QueueLimit }),
	"retry_budget":           realField(0, 1, func(p *Pool) *float64 { return &p.RetryBudget }),
	"ejection_cap":           realField(0, 1, func(p *Pool) *float64 { return &p.EjectionCap }),
	"urgent_timeout_ms":      wholeField(1, maxTimeoutMS, func(p *Pool) *int { return &p.UrgentTimeoutMS }),
	"quick_timeout_ms":       wholeField(1, maxTimeoutMS, func(p *Pool) *int { return &p.QuickTimeoutMS }),
	"long_timeout_ms":        wholeField(1, maxTimeoutMS, func(p *Pool) *int { return &p.LongTimeoutMS }),
	"long_floor":             realField(0, 1, func(p *Pool) *float64 { return &p.LongFloor }),
	"drain_warning_s":        wholeField(1, 86_400, func(p *Pool) *int { return &p.DrainWarningSeconds }),
	"job_millicores_share":   realField(0, 1, func(p *Pool) *float64 { return &p.JobMilliCoresShare }),
}

var tenantFields = map[string]field[Tenant]{
	"requests_per_second": realField(0, maxRate, func(t *Tenant) *float64 { return &t.RequestsPerSecond }),
	"burst":               wholeField(1, 1_000_000, func(t *Tenant) *int { return &t.Burst }),
	"concurrency":         wholeField(1, 1_000_000, func(t *Tenant) *int { return &t.Concurrency }),
	"weight":              realField(0.001, 1000, func(t *Tenant) *float64 { return &t.Weight }),
	"job_cores":           wholeField(0, 1_000_000, func(t *Tenant) *int { return &t.JobCores }),
	"jobs_pending":        wholeField(0, 1_000_000, func(t *Tenant) *int { return &t.JobsPending }),
}
