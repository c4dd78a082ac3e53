// Package dispatch runs the jobs of the pools that this process owns: it splits
// accepted jobs into tasks, places the tasks on workers, tracks their runs, and
// makes progress durable before it acknowledges the end of a run to a worker.
//
// State holds the tables and Systems lists the systems that run over them in
// each tick. Orders to workers, store writes and log records leave as outbound
// rows. The package does no I/O and depends on no encoding.
package dispatch

import (
	"time"

	"github.com/waxwingbridge/waxwingbridge/estimate"
	"github.com/waxwingbridge/waxwingbridge/events"
	"github.com/waxwingbridge/waxwingbridge/forecast"
	"github.com/waxwingbridge/waxwingbridge/interference"
	"github.com/waxwingbridge/waxwingbridge/ledger"
	"github.com/waxwingbridge/waxwingbridge/placement"
	"github.com/waxwingbridge/waxwingbridge/table"
	"github.com/waxwingbridge/waxwingbridge/work"
)

// Pool is a partition of a pool that this process owns or owned; a small pool
// consists of one partition.
type Pool struct {
	Name    string // name of the partition
	workers table.Set
	// Token is the fencing token of orders, but for workers that have restarted; highestRaise
	// is how far that of any worker is above it.
	Token        int64
	highestRaise int64
	Epoch        int
	OwnedSince   time.Time
	// OwnedUntil is the end of the ownership lease; no order may be sent later.
	OwnedUntil time.Time
	// Loaded is set once every job accepted before the ownership began is in
	// the tables.
	Loaded bool
	// Reconciled is set once no run of an earlier owner can exist that this
	// process does not know of.
	Reconciled bool
	// Contacts are the workers that may hold runs of an earlier owner.
	Contacts              []work.Contact
	savedContacts         []work.Contact
	contactsSavedAt       time.Time // time of the last write
	contactsRevision      int64
	contactsWrite         uint64
	contactsRetryAt       time.Time
	contactsCheckedAt     time.Time
	contactsChanged       bool // a change may call for a write of the contacts
	handoverContactsSaved bool // nothing was left to store in them when the planned shutdown began
	savesInFlight         int  // progress writes in flight
	nextSaveAt            time.Time
	unsavedJobs           table.Heap[time.Time] // changed jobs without a write in flight, by the time of their save
	ready                 readyQueue
	runTimes              *estimate.RunTimes // learnt by this owner
	peers                 *estimate.Peers    // nil judges no worker
	placedAt              time.Time
	retriedAt             time.Time // last placement that no change called for
	lastSweepAt           time.Time
	finishedRecords       table.Heap[time.Time] // ledger rows of finished jobs, by the end of their retention
	lastDemand            work.Demand           // last stored report
	demandCheckedAt       time.Time
	demandAt              time.Time
	reports               []sentReport // that may be stored, in the order in which they were sent
	demandRetryAt         time.Time
	firstReportRevision   int64 // store revision of this owner's first report; 0 before it
	startBudget           int   // starts that the current placement pass may still order
	arrivals              []arrival
	forecast              forecast.Learner               // of the work that arrives
	longRunningJobs       []table.ID                     // jobs with long-running steps
	teams                 map[string]placement.Resources // by team: what its runs that may exist occupy
	caps                  poolCaps
	windowNeed            int // highest need in the current window
	previousNeed          int // highest need in the previous window
	windowStart           time.Time
	interference          interference.Model // what the kinds of tasks do to each other
	unexplainedCrashAt    time.Time          // last crash of a worker that no task explains
	suspicionsSince       time.Time          // begin of the present suspicionInterval
	suspicions            int                // runs that have come under suspicion since then
	placementNeeded       bool               // set by any change since the last placement that may allow a start
	heldUpCheckAt         time.Time          // next search for stages that are held up
}

// Job is an accepted job of an owned pool.
type Job struct {
	LedgerRow    table.ID // row of the job in the ledger
	Spec         *work.Job
	Pool         table.ID
	Created      int64 // store revision at which the job was accepted
	Started      bool
	Final        work.JobState // 0 while unfinished
	Reason       string        // name of the task that failed the job
	Deadline     time.Time     // soft deadline; finishing later earns little
	ValueDensity float64       // benefit per unit of work; orders jobs of equal urgency
	Work         float64       // estimated core-seconds

	overdueAt     time.Time       // from then on the job earns nothing, and other jobs pass it over only so often
	expectedTimes []time.Duration // by step: expected run time of a task; nil for the declared ones
	worth         float64         // benefit if it is in time, against the mean of its kind
	workLeft      []float64       // by step: core-seconds of the step and of those that depend on it
	remainingTime []time.Duration // by step: estimated time from its start to the end of the job
	// occurrences holds the rows of the occurrences in the tables, by number. The others
	// are finished or not due yet; every one below nextOccurrence is in the tables or
	// finished.
	occurrences    []table.ID
	finished       work.OccurrenceSet
	nextOccurrence int
	openTasks      int   // tasks of the occurrences in the tables
	activeRuns     int   // number of tasks of which a run may exist
	revision       int64 // store revision of the saved progress
	dirty          bool
	finalUnsaved   bool   // the final state is not durable yet
	saveWrite      uint64 // ID of the write in flight; 0 for none
	finalSaved     bool   // the final state is durable
	unsavedEnds    []pendingEnd
	savingEnds     []pendingEnd
	savingState    *work.Progress
	saveAfter      time.Time
	// crashes counts the crashes that were put down to tasks of the job, savingCrashes
	// and savedCrashes those in the write in flight and in the store.
	crashes, savingCrashes, savedCrashes int
}

// pendingEnd is the end of a run that may be acknowledged to the worker once
// the job is saved.
type pendingEnd struct {
	worker      table.ID
	incarnation int64
	number      int64
}

// Occurrence is one repetition of the steps of a job; a job without a schedule has one.
// It is in the tables from its due time, or from the first trace of a run of it, until
// all of its steps are done and saved as such.
type Occurrence struct {
	Job        table.ID
	Number     int
	Stages     []table.ID // by step
	unfinished int        // stages that are not done
	activeRuns int        // tasks of which a run may exist
	saved      bool       // it is saved as finished
}

// Stage is one step of one occurrence of a job.
type Stage struct {
	Job              table.ID
	Occurrence       table.ID
	Step             int
	DueAt            time.Time
	OpenDependencies int // stages it depends on that are not done
	DoneTasks        int
	Tasks            []table.ID
	ReadyTasks       int              // tasks that wait for placement
	readyQueue       table.ID         // queue of its team among the ready stages; 0 without ready tasks
	rates            estimate.Rates   // of its runs, by worker
	late             bool             // the job has passed its deadline, as far as the ready queue knows
	perWorker        map[table.ID]int // tasks of the stage that may run, by worker
	advice           advice
	dependents       []table.ID // stages that wait for this one
}

// TaskState is the state of a task.
type TaskState uint8

// The states of a task.
const (
	TaskBlocked TaskState = iota // its step waits for other steps or for its due time
	TaskReady
	TaskActive // a run may exist
	TaskDone
	TaskDropped // the job ended before the task was done
)

// Task is a task of a stage.
type Task struct {
	Stage       table.ID
	Index       int
	State       TaskState
	Run         table.ID // the run that may exist
	LastRun     int
	FailedRuns  []int // numbers of the failed runs, each counted once
	CrashedRuns []int // numbers of the runs under which a worker crashed
	// EarlyCrashes is how many of CrashedRuns the worker did not survive for earlyCrash.
	EarlyCrashes int
	// LateCrashes is how many of CrashedRuns had survived their start.
	LateCrashes int
	// unaccountedRun is a run of an earlier owner that may have crashed its worker, until its
	// worker or its end is found; 0 for none.
	unaccountedRun int
	// suspectedRun is a run after whose start its worker has stopped answering, until it is
	// known whether the worker has crashed; 0 for none. A later such run takes its place.
	suspectedRun int
	Checkpoint   string
	AvoidWorker  table.ID // worker of the last run that failed, stood still or was slow
	avoidances   int      // how many such runs there were
	NotBefore    time.Time
	ReadySince   time.Time
	// surplusRuns counts the runs beside Run that were found on workers and are being stopped.
	surplusRuns int
	movedOff    bool // a run of it was stopped on a slow worker
	runFound    bool // a run started by an earlier owner was found and adopted
}

// RunState is the state of a run.
type RunState uint8

// The states of a run.
const (
	RunOrdered    RunState = iota + 1 // the start was sent and its answer is outstanding
	RunUnanswered                     // the start call ended without an answer
	RunConfirmed                      // the worker reported the run
	RunStopping                       // a stop was ordered
)

// Run is one start of a task that may exist on a worker.
type Run struct {
	Task      table.ID // 0 for a run that belongs to no task
	surplusOf table.ID // the task of which it is a further run; 0 for none
	Name      work.TaskName
	Number    int
	Worker    table.ID
	State     RunState
	OrderedAt time.Time
	Size      placement.Resources
	// team is charged with teamSize while the run may exist; it is empty for none.
	team     string
	teamSize placement.Resources
	teamPool table.ID // the pool whose use contains it

	// incarnation is the one of its worker that has shown to hold it, by its list or by an
	// answer with its clock; 0 if none has. token is that of the start order.
	incarnation int64
	token       int64
	// unanswered is set while its start may be executed once more: it was ordered here and has
	// no answer.
	unanswered bool

	workerClock  time.Duration // the worker's clock in the last answer that proved the run to exist
	percent      int
	progressAt   time.Time // last change of percent
	load         int
	speed        int // in percent of full speed
	speedPending bool
	// speedUncertain is set while an order of an earlier owner, one for an earlier incarnation
	// or one without an answer may have changed the speed.
	speedUncertain  bool
	speedOrderedAt  time.Time
	stopRequested   bool
	stopOrderedAt   time.Time // time of the last stop order
	stopAttempts    int
	stopAnswerClock time.Duration // the worker's clock when it answered a stop; 0 before that
	stopAnswered    bool
	startedAt       time.Time // when the first proof of the run arrived
	// startClock is the worker's clock in the answer that accepted the start; 0 if there
	// was none. firstClock and firstPercent are from the first list with the run.
	startClock, firstClock time.Duration
	firstPercent           int
	restored               bool // it began with a checkpoint
	// ratedClock and ratedPercent are from the last list at which its rate was judged.
	ratedClock   time.Duration
	ratedPercent int
	slow         bool // by its last rate
	kind         interference.Kind
	// observedPercent is the progress at observedAt, from which the next observation
	// measures the speed.
	observedPercent int
	observedAt      time.Time
	// brokenOff reports that the connection ended right after the start was ordered,
	// as when the run crashes its worker before that can answer.
	brokenOff bool
	// crashInDoubt is set if a crash was put down to it before it is known whether the next
	// incarnation holds it, and crashProven if it was the only early run in that crash.
	crashInDoubt, crashProven bool
	// The kind of its task, as counted in the load of the worker.
	longRunning, latencySensitive, bestEffort, onProbation, crashed bool
}

// workerLoad counts the runs on a worker by what placement needs to know of them.
type workerLoad struct {
	starts           int // unanswered starts
	longRunning      int
	latencySensitive int // tasks with a latency target
	bestEffort       int
	onProbation      int // of tasks on probation, also those that have survived their start
	crashed          int // of tasks under which workers have crashed repeatedly
}

// Worker is a worker in the registry, or one that was removed from it but may
// still hold runs.
type Worker struct {
	work.Worker
	Listed bool // present in the registry

	pool          table.ID // owned pool that the worker belongs or belonged to; 0 for none
	revision      int64
	tokenAccepted bool               // the worker has answered a poll with its current token
	unsavedEnds   map[int64]struct{} // ends that must not be acknowledged yet
	lastReadEnd   int64              // highest number of an applied end
	// acknowledged is the highest number up to which this incarnation has forgotten its ends,
	// acknowledging that in the poll in flight.
	acknowledged, acknowledging int64
	used                        placement.Resources
	runs                        []table.ID
	load                        workerLoad
	contactSaved                bool // among the stored contacts
	inherited                   bool // among the contacts of an earlier owner
	// inheritedUntil is the latest time at which a run of an earlier owner may exist there.
	inheritedUntil time.Time
	// leaseLimited is set while the stored contacts may state an end of its leases. They
	// must not be extended before a record without it is stored.
	leaseLimited bool

	// tokenRaise is how far the fencing token of its orders is above that of the pool.
	tokenRaise int64
	// incarnationRaise is tokenRaise at the begin of the present incarnation.
	incarnationRaise int64
	// settlesStarts is set while the answer to a poll under a raised token has to settle starts
	// without an answer.
	settlesStarts bool
	// replacedIncarnation is the last one that the worker's own lists have ended; registry
	// entries that state it come late. earlierEntry is an entry that states an earlier start
	// than the known incarnation, until the worker's lists tell which is the later one.
	replacedIncarnation int64
	earlierEntry        *work.Worker
	// leaseSentAt is the time of the last order that carried a lease. strayLeasesUntil is the
	// latest time at which a run may exist because of an order that was meant for an earlier
	// incarnation, or zero.
	leaseSentAt, strayLeasesUntil time.Time

	clock      time.Duration // last reading of the worker's clock
	clockAt    time.Time     // arrival time of that reading
	leaseUntil time.Duration // end of the longest lease sent, on the worker's clock

	pollInFlight bool
	pollAttempt  int64 // number of the last poll; answers to earlier ones are ignored
	pollWaits    bool  // the poll in flight lets the worker wait for an end
	// mayHaveRestarted is set from a sign of a restart on until the next list.
	mayHaveRestarted bool
	nextPollAt       time.Time
	lastListAt       time.Time // time of the last list of runs
	observedAt       time.Time // last observation of the interference of its runs
	failedPolls      int       // unanswered polls since the last list
	silentSince      time.Time // first unanswered poll since the last list, or zero

	// lapsed are runs that were given up because the worker was silent. They count
	// as crashed if the worker turns out to have restarted.
	lapsed   []lapsedRun
	lapsedAt time.Time
	// reservedUntil keeps starts off the worker, except those of tasks on probation.
	reservedUntil time.Time
	// reservedFor is an overdue stage for which other starts are kept off the worker.
	reservedFor      table.ID
	reservedForUntil time.Time

	noStartsUntil      time.Time
	quarantinedUntil   time.Time
	faultScore         float64
	failedJobs         map[string]struct{}
	suspicion          estimate.Suspicion
	slowCapped         bool      // stays in service although it is slow
	nextProbeAt        time.Time // a slow worker gets no start before
	underMaintenance   bool      // a machine order takes the worker out of its pool
	maintenancePending bool      // its machine is scheduled for maintenance
	surplus            bool      // gets no new work because the pool has enough other machines
	// keptUntil keeps the worker from becoming surplus, since a waiting stage fits on few
	// others.
	keptUntil time.Time
	released  bool // listed as released in a demand report that may be stored
}

// ClockReading is the clock and incarnation stated in a worker's answer, with
// the arrival time of that answer. The tick that applies it may run much later
// when the process is short of processor time, and may carry a time before the
// arrival.
type ClockReading struct {
	Clock       time.Duration // the worker's monotonic clock
	Incarnation int64         // see work.Worker; 0 if not stated
	At          time.Time
}

// Config holds the time limits that decisions depend on.
type Config struct {
	MaxLease time.Duration // longest lease of a run
	// LongestHold is the longest lease that a worker grants, at least MaxLease. A lease that
	// was meant for the clock of an earlier incarnation may last that long.
	LongestHold time.Duration
	Retention   time.Duration // how long finished jobs stay visible
	StopTime    time.Duration // how long a worker takes to stop a run
	// Forecast has the pools learn the turns of their demand and order machines ahead.
	Forecast bool
	// IgnoreInterference leaves out of placement what tasks do to each other.
	IgnoreInterference bool
}

// State holds the tables of the pools that this process owns.
type State struct {
	Config Config
	Mirror *ledger.JobMirror
	// IsPool reports whether the manifest in force has the pool. It is nil until one is.
	IsPool func(pool string) bool
	// Team returns the team with the name in the manifest in force, or nil.
	Team func(name string) *work.Team
	// ManifestVersion is that of the manifest in force.
	ManifestVersion int64
	// Allotment is the stored division of the teams' caps among the partitions, or nil.
	Allotment *work.Allotment
	// PartitionCount is the number of partitions among which caps are divided.
	PartitionCount int
	// Partitions assigns the jobs and machines of each pool to partitions.
	Partitions work.Partitions

	Pools       table.Table[Pool]
	Jobs        table.Table[Job]
	Occurrences table.Table[Occurrence]
	Stages      table.Table[Stage]
	Tasks       table.Table[Task]
	Runs        table.Table[Run]
	Workers     table.Table[Worker]
	TeamWaits   table.Table[TeamWait]

	Out       Effects
	NextWrite func() uint64
	// TimeOfDay returns the wall-clock time, by which scheduled jobs are due.
	TimeOfDay func() time.Time
	Stopping  bool

	poolByName        table.Index[string]
	jobByID           table.Index[string]
	workerByID        table.Index[string]
	teamWaitByKey     table.Index[teamKey]
	allotmentRevision int64
	hasCaps           bool                     // the manifest in force has a team with a cap
	latestWorkers     map[string]machineWorker // by machine
	storedContacts    map[string]storedContacts
	storedReports     map[string]storedReport
	pendingWrites     map[uint64]pendingWrite
	dueOccurrences    table.Heap[time.Time] // jobs, by the due time of their next occurrence
	dueStages         table.Heap[time.Time] // stages that wait for their due time
	awaitingWatch     []table.ID            // ledger rows accepted at a revision that the watch has not reached
	lastEviction      time.Time
	lastEarlyEviction time.Time
	finishedJobs      []table.ID // jobs of which nothing runs and whose final state is saved
	// finishedOccurrences are those of which nothing runs and that are saved as finished.
	finishedOccurrences []table.ID

	kinds       table.Table[jobKind]
	kindByQueue table.Index[string]

	pollQueue      table.Heap[time.Time] // workers of owned pools without a poll in flight, by the time of the next one
	leaseChecks    table.Heap[time.Time] // workers with runs, by the time at which their leases may have expired
	unsettled      table.Set             // workers of owned pools that left the registry or whose runs were given up
	leaving        table.Set             // workers whose machine is under, or due for, maintenance or a move
	stopRequests   table.Set             // runs for which a stop is requested
	bestEffortRuns table.Set
	slowWorkers    table.Set
	restartsAt     time.Time // next search for runs to restart
	observable     table.Set // workers whose last list is to be observed
	// underMaintenance and maintenancePending hold the workers and machines that were
	// last reported, also those that are not in the tables yet.
	underMaintenance   map[string]bool
	maintenancePending map[string]bool
	visitedIndexed     uint64 // rows that systems have visited through an index
}

// pendingWrite records the purpose of a store write in flight.
type pendingWrite struct {
	pool     table.ID
	jobs     []table.ID
	contacts []work.Contact
	isReport bool // of the demand
}

// New returns an empty state.
func New(config Config, jobs *ledger.JobMirror, nextWrite func() uint64, timeOfDay func() time.Time) *State {
	config.LongestHold = max(config.LongestHold, config.MaxLease)
	return &State{
		IsPool: func(string) bool { return true }, Team: func(string) *work.Team { return nil }, Config: config, Mirror: jobs, NextWrite: nextWrite, TimeOfDay: timeOfDay,
		underMaintenance: map[string]bool{}, storedContacts: map[string]storedContacts{}, storedReports: map[string]storedReport{}, latestWorkers: map[string]machineWorker{}, pendingWrites: map[uint64]pendingWrite{},
	}
}

func (s *State) log(event events.Event, fields ...events.Field) {
	s.Out.Logs.Add(events.Record{Event: event, Fields: fields})
}

func (s *State) count(name string) { s.Out.Counters.Add(CounterIncrement{Name: name, Delta: 1}) }
