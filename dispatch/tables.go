// Package dispatch runs the jobs of the pools that this process owns: it turns
// accepted jobs into tasks, places tasks on workers, follows their runs, and
// saves progress before a worker may forget an end.
//
// State holds the tables, Systems lists what runs over them in each tick, and
// orders, writes and log records leave as outbound rows. The package does no
// I/O and knows no encoding.
package dispatch

import (
	"time"

	"github.com/waxwingbridge/waxwingbridge/events"
	"github.com/waxwingbridge/waxwingbridge/ledger"
	"github.com/waxwingbridge/waxwingbridge/placement"
	"github.com/waxwingbridge/waxwingbridge/table"
	"github.com/waxwingbridge/waxwingbridge/work"
)

// Pool is a partition of a pool that this process owns or owned; a small pool
// is one partition.
type Pool struct {
	Name       string // of the partition
	Token      int64  // fencing token of all orders
	Epoch      int
	OwnedSince time.Time // start of the ownership
	// OwnedUntil is the last moment at which an order may leave.
	OwnedUntil time.Time
	// Loaded is set once every job that was accepted before the ownership is
	// in the tables.
	Loaded bool
	// Reconciled is set once no unknown run of an earlier owner can exist.
	Reconciled bool
	// Contacts are the workers that may hold runs of an earlier owner.
	Contacts         []work.Contact
	savedContacts    []work.Contact
	contactsAt       time.Time // of the last write
	contactsRevision int64
	contactsWrite    uint64
	contactsRetry    time.Time
	saves            int // progress writes in flight
	saveRetry        time.Time
	ready            []table.ID // stages with ready tasks, in the order of placement
	unordered        bool       // ready needs sorting
	sortedAt         time.Time
	placedAt         time.Time
	sweptAt          time.Time
	demand           work.Demand // last report
	demandAt         time.Time
	demandWrite      uint64
	demandRetry      time.Time
	reported         int64 // revision of this owner's first report; 0 before
	startsLeft       int   // that may be ordered in the present placement
	arrivals         []arrival
	lasting          []table.ID // jobs with lasting steps
	need             int        // highest of the present window
	lastNeed         int        // of the window before
	needAt           time.Time
	place            bool // something changed since the last placement
}

// Job is an accepted job of an owned pool.
type Job struct {
	LedgerRow    table.ID // in the ledger
	Spec         *work.Job
	Pool         table.ID
	Created      int64 // store revision of the acceptance
	Started      bool
	Final        work.JobState // 0 while unfinished
	Reason       string        // why it failed
	Deadline     time.Time     // finishing later earns little
	ValueDensity float64       // relative order among jobs of equal urgency
	Work         float64       // estimated, in core-seconds

	rest        []time.Duration // estimated time from the start of a step to the end of the job
	stages      []table.ID      // by occurrence and step
	unfinished  int             // stages that are not done
	revision    int64           // of the saved progress
	dirty       bool
	urgent      bool // a final state waits to be saved
	saving      uint64
	saved       bool // the final state is durable
	ends        []pendingEnd
	savingEnds  []pendingEnd
	savingState *work.Progress
	saveAfter   time.Time
}

// pendingEnd is an end that may be acknowledged once the job is saved.
type pendingEnd struct {
	worker table.ID
	born   int64
	number int64
}

// Stage is one step of one occurrence of a job.
type Stage struct {
	Job              table.ID
	Occurrence       int
	Step             int
	DueAt            time.Time
	OpenDependencies int // stages before it that are not done
	DoneTasks        int // tasks
	Tasks            []table.ID
	ReadyTasks       int // tasks that wait for placement
	queued           bool
	perWorker        map[table.ID]int
	tickets          map[string]ticket
	askedAt          time.Time
	asking           bool
	after            []table.ID // stages that wait for this one
}

type ticket struct {
	value string
	born  int64
	until time.Time
}

// TaskState is the state of a task.
type TaskState uint8

// The states of a task.
const (
	TaskBlocked TaskState = iota // its step waits for others or for its time
	TaskReady
	TaskActive // a run may exist
	TaskDone
	TaskDropped // the job ended without it
)

// Task is a task of a stage.
type Task struct {
	Stage       table.ID
	Index       int
	State       TaskState
	Run         table.ID // the run that may exist
	LastRun     int
	FailedRuns  []int // runs whose failure is counted
	Checkpoint  string
	AvoidWorker table.ID // worker of the last failure
	NotBefore   time.Time
	ReadySince  time.Time
	settled     bool // its run of an earlier owner was found
}

// RunState is the state of a run.
type RunState uint8

// The states of a run.
const (
	RunOrdered    RunState = iota + 1 // the start was sent, no answer yet
	RunUnanswered                     // the start got no answer
	RunConfirmed                      // the worker has it
	RunStopping                       // a stop was ordered
)

// Run is one start of a task that may exist on a worker.
type Run struct {
	Task      table.ID // 0 for a run that belongs to no task
	Name      work.TaskName
	Number    int
	Worker    table.ID
	State     RunState
	OrderedAt time.Time
	Size      placement.Resources

	clock       time.Duration // of the worker when it confirmed or refused the run
	percent     int
	progressAt  time.Time // last change of percent
	load        int
	pace        int // percent of full speed that is in force
	paceAsked   bool
	paceAt      time.Time
	stopAsked   bool
	stopAt      time.Time // of the last stop order
	stopTries   int
	stopClock   time.Duration // of the worker when it answered a stop; 0 before
	stopAnswers bool
}

// Worker is a worker of the registry, or one that left it while it may hold
// runs.
type Worker struct {
	work.Worker
	Listed bool // in the registry

	pool     table.ID // owned pool that it serves or served; 0 for none
	revision int64
	fenced   bool // answered with the present token
	acking   map[int64]struct{}
	read     int64 // highest end that was applied
	used     placement.Resources
	runs     []table.ID
	saved    bool // among the saved contacts

	clock      time.Duration // last reading of its clock
	clockAt    time.Time     // when that reading arrived
	leaseUntil time.Duration // on its clock; the longest lease that was sent

	looking    bool
	nextLook   time.Time
	lookedAt   time.Time // last list
	failedLook int       // looks without answer since the last list

	noRoomUntil time.Time
	unfitUntil  time.Time
	suspicion   float64
	failedJobs  map[string]struct{}
	maintenance bool // a machine order takes it out
	due         bool // its machine has a maintenance to come
	surplus     bool // gets no work: the pool has enough machines without it
	released    bool // among the released workers of a report that may be stored
}

// ClockReading is what an answer of a worker says about itself, with the moment of
// its arrival. A tick may apply it much later, when the process is short of
// processor time, or carry an earlier time than the arrival.
type ClockReading struct {
	Clock       time.Duration // the worker's steady clock
	Incarnation int64         // start of the worker's life, Unix milliseconds; 0 if not stated
	At          time.Time
}

// Effects are the outbound rows of a tick.
type Effects struct {
	Starts   table.Outbound[StartOrder]
	Stops    table.Outbound[StopOrder]
	Speeds   table.Outbound[SpeedOrder]
	Polls    table.Outbound[PollOrder]
	Writes   table.Outbound[ledger.Write]
	Advice   table.Outbound[AdviceRequest]
	Logs     table.Outbound[events.Record]
	Counters table.Outbound[CounterIncrement]
}

// CounterIncrement adds to a counter of the metrics.
type CounterIncrement struct {
	Name  string
	Delta int64
}

// Target addresses a worker. NotAfter is the last moment at which an order may
// be sent to it.
type Target struct {
	Worker      table.ID
	ID          string
	Address     string
	Incarnation int64
	Token       int64
	NotAfter    time.Time
}

// StartOrder starts a run.
type StartOrder struct {
	Target     Target
	Run        table.ID
	Task       work.TaskName
	Number     int
	Payload    string
	LeaseUntil time.Duration
	Checkpoint string
	Ticket     string
}

// StopOrder ends a run.
type StopOrder struct {
	Target Target
	Run    table.ID
	Task   work.TaskName
	Number int
}

// SpeedOrder sets the speed of a run, in percent.
type SpeedOrder struct {
	Target  Target
	Run     table.ID
	Task    work.TaskName
	Number  int
	Percent int
}

// PollOrder reads a worker's lists, renews leases and acknowledges ends.
type PollOrder struct {
	Target       Target
	LeaseUntil   time.Duration
	Acknowledged int64
	Wait         time.Duration
}

// AdviceRequest asks which workers may run a stage.
type AdviceRequest struct {
	Stage    table.ID
	Name     string
	Workers  []string
	Expected time.Duration
}

// Config holds the bounds that decisions depend on.
type Config struct {
	MaxLease   time.Duration // lease of everything that runs
	OwnerLease time.Duration // longest time that a replaced owner may still order
	Retention  time.Duration // finished jobs are shown so long
}

// State holds the tables of the pools that this process owns.
type State struct {
	Config Config
	Ledger *ledger.JobMirror
	// Partitions tells which jobs and machines of a pool go together.
	Partitions work.Partitions

	Pools   table.Table[Pool]
	Jobs    table.Table[Job]
	Stages  table.Table[Stage]
	Tasks   table.Table[Task]
	Runs    table.Table[Run]
	Workers table.Table[Worker]

	Out       Effects
	NextWrite func() uint64
	// Clock returns the time of day, which scheduled jobs follow.
	TimeOfDay func() time.Time
	Stopping  bool

	poolByName   table.Index[string]
	jobByID      table.Index[string]
	workerByID   table.Index[string]
	lives        map[string]int64 // start of the latest life of a machine, Unix milliseconds
	contactsSeen map[string]ledger.Record
	writes       map[uint64]writeTarget
	due          table.Heap[time.Time] // stages that wait for their time
	early        []table.ID            // rows of the ledger whose acceptance the watch has not passed
	evictedEarly time.Time
	ended        []table.ID // jobs whose rows may be removed
}

// writeTarget tells what a write in flight is for.
type writeTarget struct {
	pool     table.ID
	jobs     []table.ID
	contacts []work.Contact
	demand   *work.Demand
}

// New returns an empty state.
func New(config Config, jobs *ledger.JobMirror, nextWrite func() uint64, timeOfDay func() time.Time) *State {
	return &State{
		Config: config, Ledger: jobs, NextWrite: nextWrite, TimeOfDay: timeOfDay,
		contactsSeen: map[string]ledger.Record{}, lives: map[string]int64{}, writes: map[uint64]writeTarget{},
	}
}

func (s *State) log(event events.Event, fields ...events.Field) {
	s.Out.Logs.Add(events.Record{Event: event, Fields: fields})
}

func (s *State) count(name string) { s.Out.Counters.Add(CounterIncrement{Name: name, Delta: 1}) }
