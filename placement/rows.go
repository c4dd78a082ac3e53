package placement

import (
	"slices"
	"time"

	"github.com/waxwingbridge/waxwingbridge/table"
)

// Condition is what the fleet says about a worker.
type Condition uint8

// The conditions of a worker.
const (
	ConditionUnavailable Condition = iota // no new task; running ones continue
	ConditionAvailable
	ConditionDraining // no new task; checkpointable ones are moved away
	ConditionLost     // its tasks run at most until their leases lapse
	ConditionQuarantined
)

// Worker is a row of the worker table.
type Worker struct {
	Name             string
	Pool             string
	Rack             string
	AvailabilityZone string
	Capacity         Resources // of the machine
	Condition        Condition
	Reserved         Resources
	Used             Resources // lagging
	PowerWatts       int       // lagging
	ReportedAt       time.Time
	Quarantine       Quarantine

	known      bool // present in the fleet; false for a name read from a page
	faults     []fault
	avoidUntil time.Time // after a refused start
}

// Quarantine is the state of a worker that failed several jobs.
type Quarantine struct {
	Active   bool
	Probing  bool // time is over; one idempotent job decides
	Until    time.Time
	Duration time.Duration // doubles with each failed probe
}

type fault struct {
	job string
	at  time.Time
}

// addFault records a failure and returns the number of different jobs within the window.
func (w *Worker) addFault(job string, now time.Time, window time.Duration) int {
	w.faults = slices.DeleteFunc(w.faults, func(f fault) bool { return f.job == job || now.Sub(f.at) > window })
	w.faults = append(w.faults, fault{job, now})
	return len(w.faults)
}

func (w *Worker) forgetFault(job string) {
	w.faults = slices.DeleteFunc(w.faults, func(f fault) bool { return f.job == job })
}

// Tenant is a row of the tenant table.
type Tenant struct {
	Name     string
	Reserved Resources
	Waiting  int // pending and parked jobs
	Active   int // attempts that hold capacity

	blockedPools []string // pools in which the quota stopped a placement
}

// familyKey identifies the jobs that share observations.
type familyKey struct{ tenant, family string }

// Family is a row of the family table: observations of finished jobs.
type Family struct {
	Tenant       string
	Name         string
	PeakUsage    Resources     // observed quantile of the peak usage
	RunTime      time.Duration // observed quantile
	Observations int

	samples []sample
	next    int
}

type sample struct {
	peak Resources
	ran  time.Duration
}

// Observations of a family: the quantile of the last samples follows a change
// of behaviour within familySamples jobs.
const (
	familySamples  = 32
	familyQuantile = 0.9
)

func (f *Family) observe(peak Resources, ran time.Duration) {
	if len(f.samples) < familySamples {
		f.samples = append(f.samples, sample{peak, ran})
	} else {
		f.samples[f.next] = sample{peak, ran}
	}
	f.next = (f.next + 1) % familySamples
	f.Observations++
	f.PeakUsage.MilliCores = f.quantile(func(s sample) int { return s.peak.MilliCores })
	f.PeakUsage.MemoryMB = f.quantile(func(s sample) int { return s.peak.MemoryMB })
	f.RunTime = time.Duration(f.quantile(func(s sample) int { return int(s.ran) }))
}

func (f *Family) quantile(value func(sample) int) int {
	values := make([]int, len(f.samples))
	for i, s := range f.samples {
		values[i] = value(s)
	}
	slices.Sort(values)
	return values[int(familyQuantile*float64(len(values)-1)+0.5)]
}

// pageWrite is a write whose outcome is not known for certain.
type pageWrite struct {
	writeID  string
	sequence uint64
}

// pageRow is the commit state of one page.
type pageRow struct {
	index       int
	revision    int64
	sequence    uint64 // of the last change
	committed   uint64 // sequence up to which changes are durable
	inFlight    string // write ID, empty if none
	outstanding []pageWrite
	reading     bool
	writes      uint64
	startedAt   time.Time // of the last write
	retryAt     time.Time
	failures    int
	dirty       bool
	claimed     bool          // written with the own epoch
	finished    []table.ID    // in order of finishing; may hold removed rows
	starts      []startAction // in order of sequence
	replies     []replyAction // in order of sequence and deadline
	bytes       int           // estimated size of the encoded page
}

// maybeWritten reports whether a change may be durable although it is not
// known to be.
func (p *pageRow) maybeWritten(sequence uint64) bool {
	for _, w := range p.outstanding {
		if w.sequence >= sequence {
			return true
		}
	}
	return false
}
