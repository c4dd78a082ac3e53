package placement

import (
	"time"

	"github.com/waxwingbridge/waxwingbridge/table"
)

// Class is the urgency of a job. Higher classes are placed first and shed last.
type Class uint8

// The job classes, in increasing urgency.
const (
	ClassLong Class = iota + 1
	ClassQuick
	ClassUrgent
)

// String returns the class name used in requests and metrics.
func (c Class) String() string {
	switch c {
	case ClassLong:
		return "long"
	case ClassQuick:
		return "quick"
	case ClassUrgent:
		return "urgent"
	default:
		return "invalid"
	}
}

// Valid reports whether the class is defined.
func (c Class) Valid() bool { return c >= ClassLong && c <= ClassUrgent }

// Resources is an amount of worker capacity.
type Resources struct {
	MilliCores   int
	MemoryMB     int
	Accelerators int
}

// Add returns the sum of both amounts.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.MilliCores + o.MilliCores, r.MemoryMB + o.MemoryMB, r.Accelerators + o.Accelerators}
}

// Sub returns the difference of both amounts.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.MilliCores - o.MilliCores, r.MemoryMB - o.MemoryMB, r.Accelerators - o.Accelerators}
}

// Fits reports whether the amount does not exceed the capacity in any dimension.
func (r Resources) Fits(capacity Resources) bool {
	return r.MilliCores <= capacity.MilliCores && r.MemoryMB <= capacity.MemoryMB && r.Accelerators <= capacity.Accelerators
}

func (r Resources) max(o Resources) Resources {
	return Resources{max(r.MilliCores, o.MilliCores), max(r.MemoryMB, o.MemoryMB), max(r.Accelerators, o.Accelerators)}
}

// Spec is the specification of a submitted job. Submissions with the same ID must
// have equal specifications.
type Spec struct {
	ID               string
	Tenant           string
	Pool             string
	Class            Class
	Family           string // group of similar jobs; usage is observed per tenant and family
	Size             Resources
	RunTime          time.Duration // declared by the caller
	Idempotent       bool
	Checkpointable   bool // the platform can stop the task and resume it later without repeating work
	Payload          string
	Priority         int    // higher values first, within tenant and class
	AvailabilityZone string // required zone; empty means any
	SpreadRacks      bool   // active jobs of the family must run on different racks
}

// JobState is the lifecycle state of a job.
type JobState string

// The states of a job.
const (
	JobPending   JobState = "pending"
	JobStarting  JobState = "starting" // an attempt is recorded in the page or about to be
	JobRunning   JobState = "running"
	JobDone      JobState = "done"
	JobFailed    JobState = "failed"
	JobCancelled JobState = "cancelled"
	JobUnknown   JobState = "unknown" // a non-idempotent job that may have run; never started again
	JobParked    JobState = "parked"  // no worker of the current fleet can run it
)

// Finished reports whether the state is final.
func (s JobState) Finished() bool { return s == JobDone || s == JobFailed || s == JobCancelled }

func (s JobState) waiting() bool { return s == JobPending || s == JobParked }

// Reason is the cause of a job not running or of a refused request.
type Reason string

// Reasons of waiting jobs.
const (
	ReasonNone              Reason = ""
	ReasonQueued            Reason = "queued"              // placement has not been tried yet
	ReasonStarting          Reason = "starting"            // the start was sent, its result is pending
	ReasonWaitingForCommit  Reason = "waiting-for-commit"  // the page is not yet durable
	ReasonTakeover          Reason = "takeover"            // the new controller may not call the platform yet
	ReasonNoCapacity        Reason = "no-capacity"         // every suitable worker is full
	ReasonNoAvailableWorker Reason = "no-available-worker" // every suitable worker is draining, quarantined or unavailable
	ReasonQuota             Reason = "quota"
	ReasonAntiAffinity      Reason = "anti-affinity" // every rack already runs a job of the family
	ReasonPowerCap          Reason = "power-cap"
	ReasonPreempting        Reason = "preempting" // other tasks are being checkpointed to free capacity
	ReasonTaskLease         Reason = "task-lease" // an earlier attempt may run until its lease expires
	ReasonStopping          Reason = "stopping"   // cancelled; the task is being stopped
	ReasonStartUnresolved   Reason = "start-unresolved"
)

// Reasons of parked and refused jobs.
const (
	ReasonUnknownPool    Reason = "unknown-pool"
	ReasonNoWorkerInZone Reason = "no-worker-in-zone"
	ReasonNoAccelerator  Reason = "no-accelerator"
	ReasonTooLarge       Reason = "too-large"
	ReasonQuotaTooSmall  Reason = "quota-too-small" // the reservation exceeds the tenant's total quota
	ReasonNoWorkers      Reason = "no-workers"
	ReasonBadRequest     Reason = "bad-request"
	ReasonJobMismatch    Reason = "job-mismatch" // the ID was already used with a different specification
	ReasonPageFull       Reason = "page-full"
	ReasonNotDurable     Reason = "not-durable"
	ReasonNoController   Reason = "no-controller"
	ReasonNotFound       Reason = "not-found"
)

// Reasons of finished and unknown jobs.
const (
	ReasonTaskFailed   Reason = "task-failed"
	ReasonJobAtFault   Reason = "job-at-fault" // failed on several workers or too often
	ReasonWorkerLost   Reason = "worker-lost"
	ReasonStartUnknown Reason = "start-unknown"
	ReasonTaskLost     Reason = "task-lost" // no longer in the platform's task list, or its lease expired
	ReasonCancelled    Reason = "cancelled"
)

// Job is a row of the job table.
type Job struct {
	Spec
	State         JobState
	Reason        Reason
	Detail        string // error text of the platform
	SubmittedAt   time.Time
	FinishedAt    time.Time
	Attempts      int      // number of attempts so far; part of operation IDs
	FailedOn      []string // distinct workers on which it failed
	Failures      int
	Cancelling    bool
	Resume        bool      // the next attempt continues from a checkpoint
	PeakUsage     Resources // observed, set when an attempt finishes
	ActualRunTime time.Duration

	attempt            table.ID
	pageIndex          int
	cachedRecord       *JobRecord // record since the last change; nil if it must be rebuilt
	submissionSequence uint64     // page sequence of the submission; zero if loaded from a page
	submitOrder        uint64     // submission order within this process
	preemptingUntil    time.Time
}

// checkpointable reports whether the task may be stopped and restarted without
// violating at-most-once execution.
func (j *Job) checkpointable() bool { return j.Idempotent || j.Checkpointable }

// AttemptStatus is the status of an attempt.
type AttemptStatus string

// The attempt statuses.
const (
	AttemptIntended  AttemptStatus = "intended"  // not committed yet; the start was provably not sent
	AttemptSent      AttemptStatus = "sent"      // the start was emitted, its result is pending
	AttemptUncertain AttemptStatus = "uncertain" // the start may have been executed
	AttemptRunning   AttemptStatus = "running"
	AttemptLost      AttemptStatus = "lost"    // unreachable; runs at most until its lease expires
	AttemptUnknown   AttemptStatus = "unknown" // kept so that a late report can resolve the job
)

// Attempt is one start of a job on a worker.
type Attempt struct {
	Operation     string
	Job           table.ID
	Worker        string
	Status        AttemptStatus
	Resume        bool
	Throttled     bool
	Reserved      Resources
	CreatedAt     time.Time
	StartedAt     time.Time
	LeaseDeadline time.Time // latest time at which the task can still be running

	unthrottledMilliCores   int // reservation without throttling
	reservedFromDeclaration bool
	peakUsage               Resources
	usageReports            int
	startSentAt             time.Time
	lastListedAt            time.Time // observation time of the newest list that contains the operation
	lastSeenAt              time.Time // observation time of the last list that shows it running
	lastAbsentAt            time.Time // observation time of the last list without it
	absentSince             time.Time
	startMayBeInTransit     bool // an earlier copy of the start may still be executed
	holdsReservation        bool // Reserved is counted for worker and tenant
	estimatedWatts          int
	pendingAction           ControlAction
	actionRequestedAt       time.Time
}

func (a *Attempt) running() bool { return a.Status == AttemptRunning }
