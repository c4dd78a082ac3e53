// Package policy defines the configuration document of a fleet: fleet-wide
// defaults, a short list of exceptions with reasons, and the effective values
// that result from both. The package does no I/O; other packages store and
// distribute the document.
package policy

import "time"

// Revision is the number of a configuration document. A process never returns to a
// lower revision. Zero means that no document is known.
type Revision uint64

// Document is the operators' configuration of one site.
type Document struct {
	Revision   Revision    `json:"revision"`
	WriteID    string      `json:"write_id,omitempty"`
	Author     string      `json:"author,omitempty"`
	Comment    string      `json:"comment,omitempty"`
	AppliedAt  time.Time   `json:"applied_at,omitzero"`
	Site       Site        `json:"site"`
	Pools      []PoolSpec  `json:"pools"`
	Defaults   Defaults    `json:"defaults"`
	Exceptions []Exception `json:"exceptions"`
}

// PoolSpec declares a pool. Exactly one pool of a site is the spare pool, from
// which waves borrow workers.
type PoolSpec struct {
	Name  string `json:"name"`
	Spare bool   `json:"spare,omitempty"`
}

// Defaults are the fleet-wide values.
type Defaults struct {
	Pool   Pool   `json:"pool"`
	Tenant Tenant `json:"tenant"`
}

// Exception overrides one field within one scope. Scope is "pool/<name>" or
// "tenant/<name>"; Field is the JSON name of a field of Pool or Tenant.
type Exception struct {
	Scope   string    `json:"scope"`
	Field   string    `json:"field"`
	Value   float64   `json:"value"`
	Reason  string    `json:"reason"`
	Expires time.Time `json:"expires,omitzero"`
}

// Objective selects what a maintenance wave optimizes.
type Objective string

// Objectives of a site.
const (
	ObjectiveBuffer  Objective = "buffer"  // least spare capacity held back
	ObjectiveRollout Objective = "rollout" // shortest roll-out
)

// FailureDomain is the unit whose loss the shared buffer must cover.
type FailureDomain string

// Failure domains.
const (
	DomainRack FailureDomain = "rack"
	DomainZone FailureDomain = "availability-zone"
)

// Site holds the values that exist once per site.
type Site struct {
	Objective            Objective     `json:"objective"`
	SurviveLossOf        FailureDomain `json:"survive_loss_of"`
	MaintenanceDays      int           `json:"maintenance_days"`       // every worker is maintained once in this period
	CanaryWorkers        int           `json:"canary_workers"`         // size of the first batch of a wave
	HaltAfterFailures    int           `json:"halt_after_failures"`    // correlated failures that halt a wave
	PowerCapWatts        int           `json:"power_cap_watts"`        // zero means no cap
	RebootInrushWatts    int           `json:"reboot_inrush_watts"`    // draw of a rebooting worker
	JobQuarantineCap     float64       `json:"job_quarantine_cap"`     // largest share of a pool in quarantine
	MaxConcurrentReboots int           `json:"max_concurrent_reboots"` // zero means no limit other than the budgets
}

// Pool holds the effective policy of one pool. All fields are numbers so that
// exceptions can override each of them.
type Pool struct {
	MinServing           int     `json:"min_serving"`            // absolute floor of serving workers
	MinServingShare      float64 `json:"min_serving_share"`      // floor as a share of the pool's workers, rounded up
	MinServingZoneShare  float64 `json:"min_serving_zone_share"` // floor per availability zone as a share, rounded up
	SlotsPerTarget       int     `json:"slots_per_target"`
	ConnectionsPerTarget int     `json:"connections_per_target"`
	QueueLimit           int     `json:"queue_limit"`          // waiting requests per gateway and class
	RetryBudget          float64 `json:"retry_budget"`         // retries as a share of fresh requests
	EjectionCap          float64 `json:"ejection_cap"`         // largest share of targets ejected at once
	UrgentTimeoutMS      int     `json:"urgent_timeout_ms"`    // default deadline of urgent requests
	QuickTimeoutMS       int     `json:"quick_timeout_ms"`     // default deadline of quick requests
	LongTimeoutMS        int     `json:"long_timeout_ms"`      // default deadline of long requests
	LongFloor            float64 `json:"long_floor"`           // minimum share of slot time for long requests under overload
	DrainWarningSeconds  int     `json:"drain_warning_s"`      // a drain that takes longer is logged as slow
	JobMilliCoresShare   float64 `json:"job_millicores_share"` // share of a worker's cores that jobs may reserve
}

// Tenant holds the effective policy of one tenant.
type Tenant struct {
	RequestsPerSecond float64 `json:"requests_per_second"` // per gateway and pool
	Burst             int     `json:"burst"`
	Concurrency       int     `json:"concurrency"` // requests waiting or running, per gateway and pool
	Weight            float64 `json:"weight"`      // share in weighted fair queueing
	JobCores          int     `json:"job_cores"`   // cores that the tenant's jobs may hold at once
	JobsPending       int     `json:"jobs_pending"`
}
