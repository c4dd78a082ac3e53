package placement

import (
	"time"

	"github.com/waxwingbridge/waxwingbridge/table"
)

// Class orders jobs by urgency. A higher class is placed first and shed last.
type Class uint8

// The classes of a job.
const (
	ClassLong Class = iota + 1
	ClassQuick
	ClassUrgent
)

// String returns the form used in requests and metrics.
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

// Valid reports whether the class is one of the defined ones.
func (c Class) Valid() bool { return c >= ClassLong && c <= ClassUrgent }

// Resources is an amount of a worker's capacity.
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

// Fits reports whether the amount is available within capacity.
func (r Resources) Fits(capacity Resources) bool {
	return r.MilliCores <= capacity.MilliCores && r.MemoryMB <= capacity.MemoryMB && r.Accelerators <= capacity.Accelerators
}

func (r Resources) max(o Resources) Resources {
	return Resources{max(r.MilliCores, o.MilliCores), max(r.MemoryMB, o.MemoryMB), max(r.Accelerators, o.Accelerators)}
}

// Spec is the content of a submission. Two submissions with the same ID must
// have equal specs.
type Spec struct {
	ID               string
	Tenant           string
	Pool             string
	Class            Class
	Family           string // jobs of one kind; observed sizes are kept per tenant and family
	Size             Resources
	RunTime          time.Duration // declared
	Idempotent       bool
	Checkpointable   bool // the platform can stop the task and continue it later without repeating work
	Payload          string
	Priority         int    // higher first, within tenant and class
	AvailabilityZone string // constraint; empty means any
	SpreadRacks      bool   // active jobs of the family run on different racks
}

// JobState is the lifecycle state of a job.
type JobState string

// The states of a job.
const (
	JobPending   JobState = "pending"
	JobStarting  JobState = "starting" // an attempt is written or being written into the page
	JobRunning   JobState = "running"
	JobDone      JobState = "done"
	JobFailed    JobState = "failed"
	JobCancelled JobState = "cancelled"
	JobUnknown   JobState = "unknown" // a non-idempotent job that may have run; never started again
	JobParked    JobState = "parked"  // cannot run in the present fleet
)

// Finished reports whether the state is final.
func (s JobState) Finished() bool { return s == JobDone || s == JobFailed || s == JobCancelled }

func (s JobState) waiting() bool { return s == JobPending || s == JobParked }

// Reason says why a job is not running, or why a call was refused.
type Reason string

// Reasons of waiting jobs.
const (
	ReasonNone              Reason = ""
	ReasonQueued            Reason = "queued"              // not yet considered
	ReasonStarting          Reason = "starting"            // the start was sent, its result is open
	ReasonWaitingForCommit  Reason = "waiting-for-commit"  // the page is not yet durable
	ReasonTakeover          Reason = "takeover"            // the new controller may not yet call the platform
	ReasonNoCapacity        Reason = "no-capacity"         // every fitting worker is full
	ReasonNoAvailableWorker Reason = "no-available-worker" // every fitting worker drains, is quarantined or is unavailable
	ReasonQuota             Reason = "quota"
	ReasonAntiAffinity      Reason = "anti-affinity" // every rack holds a job of the family
	ReasonPowerCap          Reason = "power-cap"
	ReasonPreempting        Reason = "preempting" // other tasks are being checkpointed to make room
	ReasonTaskLease         Reason = "task-lease" // an earlier attempt may run until its lease lapses
	ReasonStopping          Reason = "stopping"   // cancelled; the task is being stopped
	ReasonStartUnresolved   Reason = "start-unresolved"
)

// Reasons of parked and refused jobs.
const (
	ReasonUnknownPool    Reason = "unknown-pool"
	ReasonNoWorkerInZone Reason = "no-worker-in-zone"
	ReasonNoAccelerator  Reason = "no-accelerator"
	ReasonTooLarge       Reason = "too-large"
	ReasonQuotaTooSmall  Reason = "quota-too-small" // the size exceeds the tenant's whole quota
	ReasonNoWorkers      Reason = "no-workers"
	ReasonBadRequest     Reason = "bad-request"
	ReasonJobMismatch    Reason = "job-mismatch" // the ID was used with other content
	ReasonPageFull       Reason = "page-full"
	ReasonNotDurable     Reason = "not-durable"
	ReasonNoController   Reason = "no-controller"
	ReasonNotFound       Reason = "not-found"
)

// Reasons of finished and unknown jobs.
const (
	ReasonTaskFailed   Reason = "task-failed"
	ReasonJobAtFault   Reason = "job-at-fault" // failed on several workers
	ReasonWorkerLost   Reason = "worker-lost"
	ReasonStartUnknown Reason = "start-unknown"
	ReasonTaskLost     Reason = "task-lost" // no longer in the platform's list, or its lease lapsed
	ReasonCancelled    Reason = "cancelled"
)

// Job is a row of the job table.
type Job struct {
	Spec
	State         JobState
	Reason        Reason
	Detail        string // the platform's error text
	SubmittedAt   time.Time
	FinishedAt    time.Time
	Attempts      int      // attempts made so far; numbers the operations
	FailedOn      []string // different workers on which it failed
	Failures      int
	Cancelling    bool
	Resume        bool      // the next attempt continues from a checkpoint
	PeakUsage     Resources // observed, set at the end
	ActualRunTime time.Duration

	attempt      table.ID
	page         int
	record       *JobRecord // as of the last change, nil if not yet made
	submitted    uint64     // page sequence of the submission; zero if read from a page
	order        uint64     // submission order within this process
	preemptUntil time.Time
}

// checkpointable reports whether the task may be stopped and started again
// without breaking at-most-once execution.
func (j *Job) checkpointable() bool { return j.Idempotent || j.Checkpointable }

// AttemptStatus is the progress of one attempt.
type AttemptStatus string

// The statuses of an attempt.
const (
	AttemptIntended  AttemptStatus = "intended"  // not committed; provably not sent
	AttemptSent      AttemptStatus = "sent"      // start effect emitted, no result yet
	AttemptUncertain AttemptStatus = "uncertain" // the start may have taken effect
	AttemptRunning   AttemptStatus = "running"
	AttemptLost      AttemptStatus = "lost"    // runs at most until its lease lapses
	AttemptUnknown   AttemptStatus = "unknown" // kept so that a late report can settle the job
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
	LeaseDeadline time.Time // latest moment at which the task can still run

	fullCores       int // reserved cores without throttling
	fromDeclaration bool
	peak            Resources
	reports         int
	sentAt          time.Time
	listedAt        time.Time // observation time of the newest list with the operation
	seenAt          time.Time // observation time of the last report that showed it
	absentAt        time.Time // observation time of the last report without it
	absentSince     time.Time
	maybeSent       bool // a copy of the start may still be in transit
	holding         bool // Reserved counts against worker and tenant
	watts           int
	asked           ControlAction
	askedAt         time.Time
}

func (a *Attempt) active() bool { return a.Status == AttemptRunning }
