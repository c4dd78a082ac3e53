package work

import (
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/waxwingbridge/waxwingbridge/placement"
)

// JobState is the state of a job as callers see it.
type JobState uint8

// The states of a job.
const (
	JobQueued JobState = iota + 1
	JobRunning
	JobCompleted
	JobFailed
	JobCancelled
)

// Final reports whether the state never changes again.
func (s JobState) Final() bool { return s >= JobCompleted }

// String returns the name used in logs.
func (s JobState) String() string {
	switch s {
	case JobQueued:
		return "queued"
	case JobRunning:
		return "running"
	case JobCompleted:
		return "completed"
	case JobFailed:
		return "failed"
	case JobCancelled:
		return "cancelled"
	default:
		return "invalid"
	}
}

// Job is an accepted job. It never changes after acceptance; the limits are
// those of the queue at that moment.
type Job struct {
	ID       string
	Queue    string
	Pool     string // pool whose workers run the tasks
	Payload  string // opaque; handed to every run
	Steps    []Step
	Schedule Schedule
	Limits   Limits
	// AcceptedAt is the accepting machine's time of day.
	AcceptedAt time.Time
}

// Limits are the limits and objectives of a queue.
type Limits struct {
	Priority       int // lower first
	MaxFailures    int // a task that failed so often fails its job; 0 means one
	SlowdownFactor float64
	Latency        time.Duration // allowance beside the slowed-down work
	// Advice is set for queues whose policy allows only some workers.
	Advice AdviceSettings
}

// AdviceSettings describe the advice service for a queue. The zero value means
// that no advice is needed.
type AdviceSettings struct {
	Decision  time.Duration // per call
	PerWorker time.Duration
	Validity  time.Duration // of a ticket
}

// Needed reports whether starts on the queue need a ticket.
func (a AdviceSettings) Needed() bool { return a != AdviceSettings{} }

// Schedule repeats the steps of a job. The zero value means once, at once.
type Schedule struct {
	Times    int
	First    time.Time
	Interval time.Duration
}

// Occurrences returns how often the steps run.
func (s Schedule) Occurrences() int { return max(1, s.Times) }

// DueAt returns when an occurrence is due; the zero time means at once.
func (s Schedule) DueAt(occurrence int) time.Time {
	if s.Times <= 0 {
		return time.Time{}
	}
	return s.First.Add(time.Duration(occurrence) * s.Interval)
}

// Step is a set of equal tasks.
type Step struct {
	Count          int
	Size           placement.Resources
	Estimate       time.Duration // rough
	After          []int         // earlier steps that must be done
	Checkpointing  bool
	Gang           bool
	SameRack       bool
	Speculative    bool
	LongRunning    bool // runs until the job is cancelled
	BestEffort     bool // uses capacity that others leave; its cores are not reserved
	Label          string
	Rack           string // rack that holds the data
	MaxPerWorker   int    // 0 means unlimited
	Image          string
	LatencyTarget  time.Duration // of a lasting task that serves users; 0 means none
	MaxUnavailable int           // 0 means no limit
}

// Reserved returns the capacity that one task occupies on a worker.
func (s *Step) Reserved() placement.Resources {
	size := s.Size
	if s.BestEffort {
		size.MilliCores = 0
	}
	return size
}

// lastingWorkers is the least number of workers on which a lasting step is
// spread, so that the loss of one takes a part of it only.
const lastingWorkers = 3

// WorkerLimit returns how many tasks of the step may run on one worker; 0 means
// unlimited.
func (s *Step) WorkerLimit() int {
	if s.LongRunning && s.MaxPerWorker == 0 {
		return (s.Count + lastingWorkers - 1) / lastingWorkers
	}
	return s.MaxPerWorker
}

// MinWorkers returns how many workers the step needs to run all of its tasks at
// the same time, by their limit per worker.
func (s *Step) MinWorkers() int {
	if limit := s.WorkerLimit(); limit > 0 {
		return (s.Count + limit - 1) / limit
	}
	return 1
}

// Validate reports a job that can't be run as described.
func (j *Job) Validate() error {
	if len(j.Steps) == 0 {
		return errors.New("a job needs at least one step")
	}
	for i := range j.Steps {
		if err := j.Steps[i].validate(i); err != nil {
			return errors.Wrapf(err, "step %d", i)
		}
	}
	return nil
}

// maxTasksPerStep bounds the rows that one step creates.
const maxTasksPerStep = 10_000

func (s *Step) validate(index int) error {
	if s.Count < 1 || s.Count > maxTasksPerStep {
		return errors.Newf("count is %d, accepted are 1 to %d", s.Count, maxTasksPerStep)
	}
	if s.Size.MilliCores < 0 || s.Size.MemoryMB < 0 || s.Size.Accelerators < 0 {
		return errors.New("a resource is negative")
	}
	for _, before := range s.After {
		if before < 0 || before >= index {
			return errors.Newf("dependency %d is not an earlier step", before)
		}
	}
	return nil
}

// TaskName identifies a task across processes.
type TaskName struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// StageName identifies a step of one occurrence.
func (n TaskName) StageName() string {
	return n.Job + "." + strconv.Itoa(n.Occurrence) + "." + strconv.Itoa(n.Step)
}

// String returns the form job.occurrence.step.index.
func (n TaskName) String() string { return n.StageName() + "." + strconv.Itoa(n.Index) }

// ParseTaskName is the inverse of TaskName.String.
func ParseTaskName(text string) (TaskName, error) {
	parts := strings.Split(text, ".")
	if len(parts) != 4 || parts[0] == "" {
		return TaskName{}, errors.Newf("%q is not a task name of the form job.occurrence.step.index", text)
	}
	name := TaskName{Job: parts[0]}
	for i, target := range []*int{&name.Occurrence, &name.Step, &name.Index} {
		n, err := strconv.Atoi(parts[i+1])
		if err != nil || n < 0 {
			return TaskName{}, errors.Newf("%q is not a task name: %q is not a number from 0", text, parts[i+1])
		}
		*target = n
	}
	return name, nil
}
