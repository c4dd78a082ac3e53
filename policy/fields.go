package policy

import (
	"fmt"
	"math"
)

// numberField describes a numeric field that an exception can override, and its accepted range.
type numberField[T any] struct {
	lower, upper float64
	integer      bool
	get          func(*T) float64
	set          func(*T, float64)
}

// accepts reports whether the value is in the range. NaN is in no range.
func (f numberField[T]) accepts(value float64) bool {
	return value >= f.lower && value <= f.upper && (!f.integer || math.Trunc(value) == value)
}

// acceptedRange describes the range to an operator.
func (f numberField[T]) acceptedRange() string {
	kind := "a number"
	if f.integer {
		kind = "a whole number"
	}
	return fmt.Sprintf("%s from %s to %s", kind, formatNumber(f.lower), formatNumber(f.upper))
}

func intField[T any](lower, upper int, pointer func(*T) *int) numberField[T] {
	return numberField[T]{
		lower: float64(lower), upper: float64(upper), integer: true,
		get: func(t *T) float64 { return float64(*pointer(t)) },
		set: func(t *T, value float64) { *pointer(t) = int(math.Round(value)) },
	}
}

func floatField[T any](lower, upper float64, pointer func(*T) *float64) numberField[T] {
	return numberField[T]{
		lower: lower, upper: upper,
		get: func(t *T) float64 { return *pointer(t) },
		set: func(t *T, value float64) { *pointer(t) = value },
	}
}

// Largest accepted values. With them, sums over all workers of a fleet stay far below
// integer overflow.
const (
	maxWorkersPerPool = 10_000
	maxTimeoutMS      = 24 * 60 * 60 * 1000
	maxRate           = 1e6
	maxWatts          = 100_000_000
)

var siteFields = map[string]numberField[Site]{
	"maintenance_days":       intField(1, 365, func(s *Site) *int { return &s.MaintenanceDays }),
	"canary_workers":         intField(1, maxWorkersPerPool, func(s *Site) *int { return &s.CanaryWorkers }),
	"halt_after_failures":    intField(1, maxWorkersPerPool, func(s *Site) *int { return &s.HaltAfterFailures }),
	"power_cap_watts":        intField(0, maxWatts, func(s *Site) *int { return &s.PowerCapWatts }),
	"reboot_inrush_watts":    intField(0, maxWatts, func(s *Site) *int { return &s.RebootInrushWatts }),
	"job_quarantine_cap":     floatField(0, 1, func(s *Site) *float64 { return &s.JobQuarantineCap }),
	"max_concurrent_reboots": intField(0, maxWorkersPerPool, func(s *Site) *int { return &s.MaxConcurrentReboots }),
}

var poolFields = map[string]numberField[Pool]{
	"min_serving":            intField(0, maxWorkersPerPool, func(p *Pool) *int { return &p.MinServing }),
	"min_serving_share":      floatField(0, 1, func(p *Pool) *float64 { return &p.MinServingShare }),
	"min_serving_zone_share": floatField(0, 1, func(p *Pool) *float64 { return &p.MinServingZoneShare }),
	"slots_per_target":       intField(1, 1024, func(p *Pool) *int { return &p.SlotsPerTarget }),
	"connections_per_target": intField(1, 65535, func(p *Pool) *int { return &p.ConnectionsPerTarget }),
	"queue_limit":            intField(0, 100_000, func(p *Pool) *int { return &p.QueueLimit }),
	"retry_budget":           floatField(0, 1, func(p *Pool) *float64 { return &p.RetryBudget }),
	"ejection_cap":           floatField(0, 1, func(p *Pool) *float64 { return &p.EjectionCap }),
	"urgent_timeout_ms":      intField(1, maxTimeoutMS, func(p *Pool) *int { return &p.UrgentTimeoutMS }),
	"quick_timeout_ms":       intField(1, maxTimeoutMS, func(p *Pool) *int { return &p.QuickTimeoutMS }),
	"long_timeout_ms":        intField(1, maxTimeoutMS, func(p *Pool) *int { return &p.LongTimeoutMS }),
	"long_floor":             floatField(0, 1, func(p *Pool) *float64 { return &p.LongFloor }),
	"drain_warning_s":        intField(1, 86_400, func(p *Pool) *int { return &p.DrainWarningSeconds }),
	"job_millicores_share":   floatField(0, 1, func(p *Pool) *float64 { return &p.JobMilliCoresShare }),
}

var tenantFields = map[string]numberField[Tenant]{
	"requests_per_second": floatField(0, maxRate, func(t *Tenant) *float64 { return &t.RequestsPerSecond }),
	"burst":               intField(1, 1_000_000, func(t *Tenant) *int { return &t.Burst }),
	"concurrency":         intField(1, 1_000_000, func(t *Tenant) *int { return &t.Concurrency }),
	"weight":              floatField(0.001, 1000, func(t *Tenant) *float64 { return &t.Weight }),
	"job_cores":           intField(0, 1_000_000, func(t *Tenant) *int { return &t.JobCores }),
	"jobs_pending":        intField(0, 1_000_000, func(t *Tenant) *int { return &t.JobsPending }),
}
