package placement

import "time"

// Config holds the timing and the estimates of the decisions. Zero values are
// replaced by the defaults below.
type Config struct {
	// Incarnation makes write IDs unique across processes.
	Incarnation string
	// Seed of the generator that jitters retries.
	Seed uint64
	// TaskLease is how long a task runs without renewal.
	TaskLease time.Duration
	// CallTimeout is the longest platform call; a call has no effect later.
	CallTimeout time.Duration
	// LeaseMargin covers clock differences before an idempotent job runs again.
	LeaseMargin time.Duration
	// MaxReportLag is the longest lag of the platform's lists.
	MaxReportLag time.Duration
	// TaskAbsenceTimeout is how long a running task is missing from fresh lists before it counts as lost.
	TaskAbsenceTimeout time.Duration
	// ResendWindow bounds repeats of a start with the same operation ID. It must
	// be shorter than the platform remembers operation IDs.
	ResendWindow time.Duration
	// SubmitTimeout is how long a submission waits for its page.
	SubmitTimeout time.Duration
	// CommitInterval is the least time between two writes of one page. With 16
	// pages it bounds the load on the store.
	CommitInterval time.Duration
	// Retention of finished jobs in their page.
	Retention time.Duration
	// QuarantineDuration is the length of the first quarantine.
	QuarantineDuration time.Duration
	// FaultWindow bounds the age of failures that count against a worker.
	FaultWindow time.Duration
	// MaxDeclaredShare bounds the reservation of a family without observations, as a
	// share of the largest worker of the pool.
	MaxDeclaredShare float64
	// ThrottleShare is the part of its cores that a throttled task keeps.
	ThrottleShare float64
	// WattsPerCore estimates the draw of a task before it is reported.
	WattsPerCore int
	// UnthrottleThreshold is the share of the power cap under which tasks are restored.
	UnthrottleThreshold float64
	// MayQuarantine reports whether the availability budget allows taking the
	// worker out of service. Nil means always.
	MayQuarantine func(worker string) bool
}

// Defaults of Config.
const (
	DefaultTaskLease           = 30 * time.Second
	DefaultCallTimeout         = 2 * time.Second
	DefaultLeaseMargin         = 5 * time.Second
	DefaultMaxReportLag        = 3 * time.Second
	DefaultTaskAbsenceTimeout  = 10 * time.Second
	DefaultResendWindow        = time.Minute
	DefaultSubmitTimeout       = 5 * time.Second
	DefaultCommitInterval      = 100 * time.Millisecond // urgent jobs wait for up to two writes within 2.2 s
	DefaultRetention           = 10 * time.Minute
	minRetention               = time.Minute // a repeated submission is recognized at least this long
	DefaultQuarantineDuration  = 10 * time.Minute
	DefaultFaultWindow         = 10 * time.Minute
	DefaultMaxDeclaredShare    = 0.5
	DefaultThrottleShare       = 0.25
	DefaultWattsPerCore        = 10
	DefaultUnthrottleThreshold = 0.95
)

// Thresholds of attribution: both need this many different witnesses, so that
// one bad job does not condemn a worker and one bad worker does not condemn a job.
const (
	workersUntilJobAtFault  = 3
	jobsUntilWorkerAtFault  = 3
	maxQuarantineDoublings  = 5
	controlRepeatInterval   = 2 * time.Second // at least the call timeout, so that repeats do not pile up
	preemptRepeatInterval   = time.Second     // leaves time for a second plan within 2.2 s
	refusedAvoidInterval    = 5 * time.Second
	correctionReports       = 3    // reports before a reservation from a declaration is lowered
	correctionHeadroom      = 1.25 // above the observed peak
	pageRetryBase           = 200 * time.Millisecond
	pageRetryMax            = 5 * time.Second
	renewalsPerLease        = 3
	maxOperationsPerRenewal = 500
)

func orDefault[T comparable](value *T, fallback T) {
	var zero T
	if *value == zero {
		*value = fallback
	}
}

func (c Config) withDefaults() Config {
	orDefault(&c.TaskLease, DefaultTaskLease)
	orDefault(&c.CallTimeout, DefaultCallTimeout)
	orDefault(&c.LeaseMargin, DefaultLeaseMargin)
	orDefault(&c.MaxReportLag, DefaultMaxReportLag)
	orDefault(&c.TaskAbsenceTimeout, DefaultTaskAbsenceTimeout)
	orDefault(&c.ResendWindow, DefaultResendWindow)
	orDefault(&c.SubmitTimeout, DefaultSubmitTimeout)
	orDefault(&c.CommitInterval, DefaultCommitInterval)
	orDefault(&c.Retention, DefaultRetention)
	orDefault(&c.QuarantineDuration, DefaultQuarantineDuration)
	orDefault(&c.FaultWindow, DefaultFaultWindow)
	orDefault(&c.MaxDeclaredShare, DefaultMaxDeclaredShare)
	orDefault(&c.ThrottleShare, DefaultThrottleShare)
	orDefault(&c.WattsPerCore, DefaultWattsPerCore)
	orDefault(&c.UnthrottleThreshold, DefaultUnthrottleThreshold)
	return c
}
