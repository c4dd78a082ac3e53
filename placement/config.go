package placement

import "time"

// Config holds time limits and estimates. Zero values are replaced by the
// defaults below.
type Config struct {
	// Incarnation makes write IDs unique across processes.
	Incarnation string
	// Seed initializes the random generator that jitters retries.
	Seed uint64
	// TaskLease is how long a task may run without renewal of its lease.
	TaskLease time.Duration
	// CallTimeout bounds a platform call. A call takes no effect after it.
	CallTimeout time.Duration
	// LeaseMargin is added to the expiry of a lease before an idempotent job is
	// started again. It covers clock skew.
	LeaseMargin time.Duration
	// MaxReportLag is the maximum staleness of the platform's lists.
	MaxReportLag time.Duration
	// TaskAbsenceTimeout is how long a running task must be missing from recent
	// lists before it counts as lost.
	TaskAbsenceTimeout time.Duration
	// ResendWindow limits how long a start is resent with the same operation ID.
	// It must be shorter than the platform's retention of operation IDs.
	ResendWindow time.Duration
	// SubmitTimeout is how long a submission waits for the commit of its page.
	SubmitTimeout time.Duration
	// CommitInterval is the minimum time between two writes of one page. With 16
	// pages it bounds the write load on the store.
	CommitInterval time.Duration
	// Retention is how long finished jobs stay in their page.
	Retention time.Duration
	// QuarantineDuration is the length of the first quarantine.
	QuarantineDuration time.Duration
	// FaultWindow is the maximum age of failures that count against a worker.
	FaultWindow time.Duration
	// MaxDeclaredShare bounds the reservation of a job whose family has no
	// observations, as a share of the largest worker of the pool.
	MaxDeclaredShare float64
	// ThrottleShare is the share of its cores that a throttled task keeps.
	ThrottleShare float64
	// WattsPerCore estimates the power draw of a task until it is reported.
	WattsPerCore int
	// UnthrottleThreshold is the share of the power cap that the draw must not
	// exceed after a throttle ends.
	UnthrottleThreshold float64
	// MayQuarantine reports whether the availability budget allows taking the
	// worker out of service. Nil allows it always.
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
	DefaultCommitInterval      = 100 * time.Millisecond // an urgent job waits for up to two page writes and must start within 2.2 s
	DefaultRetention           = 10 * time.Minute
	minRetention               = time.Minute // minimum time for which a repeated submission is recognized
	DefaultQuarantineDuration  = 10 * time.Minute
	DefaultFaultWindow         = 10 * time.Minute
	DefaultMaxDeclaredShare    = 0.5
	DefaultThrottleShare       = 0.25
	DefaultWattsPerCore        = 10
	DefaultUnthrottleThreshold = 0.95
)

// Thresholds and retry intervals. A job counts as faulty after failures on several
// workers and a worker after failures of several jobs, so that one faulty job does
// not cause a quarantine and one faulty worker does not fail a job.
const (
	workersUntilJobAtFault  = 3
	jobsUntilWorkerAtFault  = 3
	maxQuarantineDoublings  = 5
	actionRetryInterval     = 2 * time.Second // at least the call timeout, so that retries do not overlap
	preemptRetryInterval    = time.Second     // leaves time for a second preemption within the 2.2 s limit of urgent jobs
	refusedStartBackoff     = 5 * time.Second
	reportsBeforeShrink     = 3    // usage reports before a declared reservation is lowered
	reservationHeadroom     = 1.25 // factor on the observed peak
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
