package work

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/waxwingbridge/waxwingbridge/placement"
)

// JobState is the state of a job as clients see it.
type JobState uint8

// The states of a job.
const (
	JobQueued JobState = iota + 1
	JobRunning
	JobCompleted
	JobFailed
	JobCancelled
)

// Final reports whether the state is terminal.
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

// Job is an accepted job. It is immutable; the limits are those that the queue
// had when the job was accepted.
type Job struct {
	ID       string
	Queue    string
	Pool     string // pool whose workers run the tasks
	Team     string // team that submitted it; empty for public queues and where there are no teams
	Payload  string // opaque; passed to every run
	Steps    []Step
	Schedule Schedule
	Limits   Limits
	// AcceptedAt is the wall-clock time of the accepting machine.
	AcceptedAt time.Time
}

// Limits are the limits and objectives of a queue.
type Limits struct {
	Priority       int // jobs with a lower number go first
	MaxFailures    int // a task with this many failed runs fails its job; 0 means one
	SlowdownFactor float64
	Latency        time.Duration // allowance in addition to the slowed-down work
	// Advice is set for queues whose policy permits only certain workers.
	Advice AdviceSettings
}

// AdviceSettings describes the advice service for a queue, which issues the
// tickets that starts need. The zero value means that none are needed.
type AdviceSettings struct {
	Decision  time.Duration // expected time per call
	PerWorker time.Duration // expected additional time per worker in a call
	Validity  time.Duration // validity of a ticket
}

// Needed reports whether starts on the queue need a ticket.
func (a AdviceSettings) Needed() bool { return a != AdviceSettings{} }

// Schedule repeats the steps of a job. The zero value means a single immediate
// occurrence.
type Schedule struct {
	Times    int
	First    time.Time
	Interval time.Duration
}

// Occurrences returns how often the steps are run.
func (s Schedule) Occurrences() int { return max(1, s.Times) }

// DueAt returns when an occurrence is due; the zero time means immediately.
func (s Schedule) DueAt(occurrence int) time.Time {
	if s.Times <= 0 {
		return time.Time{}
	}
	return s.First.Add(time.Duration(occurrence) * s.Interval)
}

// validate returns an error if an occurrence has no due time, because the interval is
// negative or the schedule longer than a time.Duration.
func (s Schedule) validate() error {
	switch {
	case s.Interval < 0:
		return errors.Newf("interval is %v, accepted are 0 and more", s.Interval)
	case s.Times > 1 && s.Interval > math.MaxInt64/time.Duration(s.Times-1):
		return errors.Newf("%d occurrences at an interval of %v exceed %v", s.Times, s.Interval, time.Duration(math.MaxInt64))
	default:
		return nil
	}
}

// Step is a set of identical tasks.
type Step struct {
	Count          int
	Size           placement.Resources
	Estimate       time.Duration // rough estimate of a task's run time
	After          []int         // indices of earlier steps that must be done first
	Checkpointing  bool
	Gang           bool
	SameRack       bool
	Speculative    bool
	LongRunning    bool // runs until the job is cancelled
	BestEffort     bool // runs on capacity that other tasks leave unused; reserves no cores
	Label          string
	Rack           string // rack that holds the step's data
	MaxPerWorker   int    // 0 means unlimited
	Image          string
	LatencyTarget  time.Duration // for long-running tasks that serve users; 0 means none
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

// longRunningMinWorkers is the minimum number of workers on which the tasks of a
// long-running step are spread, so that the loss of one worker affects only a
// part of them.
const longRunningMinWorkers = 3

// WorkerLimit returns how many tasks of the step may run on one worker; 0 means
// unlimited.
func (s *Step) WorkerLimit() int {
	if s.LongRunning && s.MaxPerWorker == 0 {
		return (s.Count + longRunningMinWorkers - 1) / longRunningMinWorkers
	}
	return s.MaxPerWorker
}

// MinWorkers returns how many workers the step needs, because of its limit per
// worker, to run all of its tasks at the same time.
func (s *Step) MinWorkers() int {
	if limit := s.WorkerLimit(); limit > 0 {
		return (s.Count + limit - 1) / limit
	}
	return 1
}

// Validate returns an error if the job can't be run as described.
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

// TasksPerOccurrence returns the number of tasks of all steps.
func (j *Job) TasksPerOccurrence() int {
	n := 0
	for i := range j.Steps {
		n += j.Steps[i].Count
	}
	return n
}

// Limits of a job. Each task of an occurrence that is due is a row in the tables of an
// owner.
const (
	maxTasksPerStep       = 10_000
	maxTasksPerOccurrence = 20_000
	// maxResourceAmount bounds each resource of a task, in millicores, megabytes or
	// accelerators. The sum over all tasks of a pool fits into an integer.
	maxResourceAmount = 1_000_000_000
)

// ValidateNew returns an error if a new job can't be run as described, or exceeds a
// limit. Jobs that were accepted under other limits remain valid.
func (j *Job) ValidateNew() error {
	if err := j.Validate(); err != nil {
		return err
	}
	if n := j.TasksPerOccurrence(); n > maxTasksPerOccurrence {
		return errors.Newf("the steps have %d tasks, accepted are up to %d", n, maxTasksPerOccurrence)
	}
	for i := range j.Steps {
		size := j.Steps[i].Size
		if amount := max(size.MilliCores, size.MemoryMB, size.Accelerators); amount > maxResourceAmount {
			return errors.Newf("step %d: a resource is %d, accepted are up to %d", i, amount, maxResourceAmount)
		}
	}
	return errors.Wrap(j.Schedule.validate(), "schedule")
}

func (s *Step) validate(index int) error {
	if s.Count < 1 || s.Count > maxTasksPerStep {
		return errors.Newf("count is %d, accepted are 1 to %d", s.Count, maxTasksPerStep)
	}
	if s.Size.MilliCores < 0 || s.Size.MemoryMB < 0 || s.Size.Accelerators < 0 {
		return errors.New("a resource is negative")
	}
	for _, dependency := range s.After {
		if dependency < 0 || dependency >= index {
			return errors.Newf("dependency %d is not an earlier step", dependency)
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

// StageName returns the form job.occurrence.step, which identifies the step of
// one occurrence.
func (n TaskName) StageName() string {
	return n.Job + "." + strconv.Itoa(n.Occurrence) + "." + strconv.Itoa(n.Step)
}

// String returns the form job.occurrence.step.index.
func (n TaskName) String() string { return n.StageName() + "." + strconv.Itoa(n.Index) }

// ParseTaskName is the inverse of TaskName.String.
func ParseTaskName(text string) (TaskName, error) {
	parts := strings.Split(text, ".")
	if len(parts) != 4 || parts[0] == "" {
		return TaskName{}, errors.Newf("invalid task name %q: want the form job.occurrence.step.index", text)
	}
	name := TaskName{Job: parts[0]}
	for i, field := range []*int{&name.Occurrence, &name.Step, &name.Index} {
		n, err := strconv.Atoi(parts[i+1])
		if err != nil || n < 0 {
			return TaskName{}, errors.Newf("invalid task name %q: %q is not a non-negative integer", text, parts[i+1])
		}
		*field = n
	}
	return name, nil
}
