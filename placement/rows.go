package placement

import (
	"slices"
	"time"

	"github.com/waxwingbridge/waxwingbridge/table"
)

// Condition is the availability of a worker as the fleet reports it.
type Condition uint8

// The worker conditions.
const (
	ConditionUnavailable Condition = iota // no new tasks; running ones continue
	ConditionAvailable
	ConditionDraining // no new tasks; checkpointable ones are moved to other workers
	ConditionLost     // its tasks run at most until their leases expire
	ConditionQuarantined
)

// Worker is a row of the worker table.
type Worker struct {
	Name             string
	Pool             string
	Rack             string
	AvailabilityZone string
	Capacity         Resources // total capacity of the machine
	Condition        Condition
	Reserved         Resources
	Used             Resources // lags behind
	PowerWatts       int       // lags behind
	ReportedAt       time.Time
	Quarantine       Quarantine

	inFleet           bool // part of the fleet; false for a worker known only from a page
	faults            []fault
	startBackoffUntil time.Time // set after a refused start
}

// Quarantine is the quarantine state of a worker on which several jobs failed.
type Quarantine struct {
	Active   bool
	Probing  bool // the time has elapsed; the result of one idempotent job decides
	Until    time.Time
	Duration time.Duration // doubles with each failed probe
}

type fault struct {
	job string
	at  time.Time
}

// addFault records a failure and returns the number of distinct jobs that failed within
// the window.
func (w *Worker) addFault(job string, now time.Time, window time.Duration) int {
	w.faults = slices.DeleteFunc(w.faults, func(f fault) bool { return f.job == job || now.Sub(f.at) > window })
	w.faults = append(w.faults, fault{job, now})
	return len(w.faults)
}

func (w *Worker) removeFault(job string) {
	w.faults = slices.DeleteFunc(w.faults, func(f fault) bool { return f.job == job })
}

// Tenant is a row of the tenant table.
type Tenant struct {
	Name     string
	Reserved Resources
	Waiting  int // pending and parked jobs
	Active   int // attempts that hold a reservation

	blockedPools []string // pools in which the quota blocked a placement
}

// familyKey identifies a family: the jobs that share usage observations.
type familyKey struct{ tenant, family string }

// Family is a row of the family table. It holds usage observations of finished jobs.
type Family struct {
	Tenant       string
	Name         string
	PeakUsage    Resources     // quantile of the observed peak usage
	RunTime      time.Duration // quantile of the observed run times
	Observations int

	samples    []usageSample
	nextSample int
}

type usageSample struct {
	peakUsage Resources
	runTime   time.Duration
}

// The estimates of a family are the given quantile over its last samples, so they
// adapt to a change in usage within familySampleLimit jobs.
const (
	familySampleLimit = 32
	familyQuantile    = 0.9
)

func (f *Family) addSample(peakUsage Resources, runTime time.Duration) {
	if len(f.samples) < familySampleLimit {
		f.samples = append(f.samples, usageSample{peakUsage, runTime})
	} else {
		f.samples[f.nextSample] = usageSample{peakUsage, runTime}
	}
	f.nextSample = (f.nextSample + 1) % familySampleLimit
	f.Observations++
	f.PeakUsage.MilliCores = f.quantile(func(s usageSample) int { return s.peakUsage.MilliCores })
	f.PeakUsage.MemoryMB = f.quantile(func(s usageSample) int { return s.peakUsage.MemoryMB })
	f.RunTime = time.Duration(f.quantile(func(s usageSample) int { return int(s.runTime) }))
}

func (f *Family) quantile(value func(usageSample) int) int {
	values := make([]int, len(f.samples))
	for i, s := range f.samples {
		values[i] = value(s)
	}
	slices.Sort(values)
	return values[int(familyQuantile*float64(len(values)-1)+0.5)]
}

// pageWrite is a write with an unknown outcome.
type pageWrite struct {
	writeID  string
	sequence uint64
}

// pageRow is the commit state of one page.
type pageRow struct {
	index             int
	revision          int64
	sequence          uint64 // of the last change
	committedSequence uint64 // changes up to this sequence are durable
	inFlightWriteID   string // empty if none
	unresolvedWrites  []pageWrite
	readPending       bool
	writeCount        uint64
	writeStartedAt    time.Time // start of the last write
	retryAt           time.Time
	retryCount        int
	dirty             bool
	claimed           bool          // committed with this controller's epoch
	finished          []table.ID    // in order of completion; may contain deleted rows
	pendingStarts     []startAction // ordered by sequence
	pendingReplies    []replyAction // ordered by sequence and deadline
	estimatedBytes    int           // estimated size of the encoded page
}

// mayBeStored reports whether a write with an unknown outcome contains the change.
func (p *pageRow) mayBeStored(sequence uint64) bool {
	for _, w := range p.unresolvedWrites {
		if w.sequence >= sequence {
			return true
		}
	}
	return false
}
