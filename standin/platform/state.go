package platform

import (
	"time"

	"github.com/waxwingbridge/waxwingbridge/infra"
	"github.com/waxwingbridge/waxwingbridge/table"
)

const (
	idleWatts   = 120
	rebootWatts = 350 // inrush power of a reboot
)

type workerRow struct {
	infra.Worker
	// due is the end of a reboot, or the time at which a leaving worker is removed.
	due               time.Time
	removing          bool      // the row is deleted when its commands are done
	commands          []command // queue, in the order in which the target receives them
	commandInProgress bool      // the first command is being executed
}

// command changes the state of a worker's target.
type command struct {
	kind           commandKind
	value          bool
	operation      table.ID // completed with the command; zero if none
	nextStatus     infra.WorkerStatus
	restartsWorker bool // the command ends a restart and increments the boot ID
}

type commandKind uint8

const (
	commandDraining commandKind = iota
	commandDown
)

type commandRow struct {
	worker table.ID
	name   string
	command
}

type taskRow struct {
	infra.Task
	behaviour
	worker   table.ID
	progress time.Duration // part of behaviour.run done until since
	since    time.Time
	lease    time.Time // expiry of the lease
	ended    time.Time
}

func (t *taskRow) active() bool {
	return t.Status == infra.TaskRunning || t.Status == infra.TaskThrottled
}

// updateProgress adds the progress made since the last change of speed.
func (t *taskRow) updateProgress(now time.Time) {
	elapsed := now.Sub(t.since)
	if t.Status == infra.TaskThrottled {
		elapsed /= throttledSpeedFactor
	}
	t.progress += elapsed
	t.since = now
}

// completionTime returns the time at which the task finishes, or the zero time
// if it hangs.
func (t *taskRow) completionTime() time.Time {
	if t.hangs {
		return time.Time{}
	}
	left := t.run - t.progress
	if t.Status == infra.TaskThrottled {
		left *= throttledSpeedFactor
	}
	return t.since.Add(left)
}

func (t *taskRow) end(now time.Time, status infra.TaskStatus, reason string) {
	t.updateProgress(now)
	t.Status, t.Error, t.ended = status, reason, now
	t.UsedMilliCores, t.UsedMemoryMB, t.PowerWatts = 0, 0, 0
}

// operationKey identifies a call. The kind is part of the key because a fleet
// operation makes several calls of different kinds with the same ID.
type operationKey struct {
	kind requestKind
	id   string
}

type operationRow struct {
	key     operationKey
	worker  table.ID
	at      time.Time
	done    bool
	waiting []*request
}

// ExecutedOperation is an operation that took effect on a worker.
type ExecutedOperation struct {
	Kind      string `json:"kind"` // drain, undrain, reboot or assign
	Worker    string `json:"worker"`
	Operation string `json:"operation"`
}

type requestRow struct {
	request  *request
	due      time.Time
	sequence uint64
}

type answerRow struct {
	request  *request
	response response
}

type state struct {
	options Options
	faults  Faults

	workers      table.Table[workerRow]
	workerIDs    table.Index[string]
	tasks        table.Table[taskRow]
	taskIDs      table.Index[string] // by operation
	operations   table.Table[operationRow]
	operationIDs table.Index[operationKey]
	executed     table.Table[ExecutedOperation] // in order of execution, at most maxExecuted
	requests     table.Table[requestRow]
	lastSequence uint64                   // of requestRow.sequence
	checkpoints  map[string]time.Duration // progress by job
	starts       map[string]int           // task starts by job
	calls        map[string]int64
	published    []infra.Worker
	publishAt    time.Time
	sampleAt     time.Time

	answers          table.Outbound[answerRow]
	outgoingCommands table.Outbound[commandRow]
	completions      table.Outbound[chan struct{}]
}

func newState(options Options) *state {
	s := &state{
		options:     options,
		checkpoints: make(map[string]time.Duration),
		starts:      make(map[string]int),
		calls:       make(map[string]int64),
	}
	for _, worker := range options.Workers {
		s.addWorker(worker)
	}
	return s
}

func (s *state) addWorker(worker infra.Worker) {
	if _, exists := s.workerIDs.Get(worker.ID); exists {
		return
	}
	if worker.Status == "" {
		worker.Status = infra.WorkerLive
	}
	s.workerIDs.Put(worker.ID, s.workers.Insert(workerRow{Worker: worker}))
}

func (s *state) worker(name string) (table.ID, *workerRow) {
	id, ok := s.workerIDs.Get(name)
	if !ok {
		return 0, nil
	}
	return id, s.workers.Get(id)
}

func (s *state) enqueueCommand(id table.ID, c command) {
	row := s.workers.Get(id)
	row.commands = append(row.commands, c)
}

// view returns the current state of a worker as the interface reports it.
func (s *state) view(id table.ID, row *workerRow) infra.Worker {
	worker := row.Worker
	worker.Tasks, worker.PowerWatts = 0, 0
	switch row.Status {
	case infra.WorkerDown:
		return worker
	case infra.WorkerRebooting:
		worker.PowerWatts = rebootWatts
	default:
		worker.PowerWatts = idleWatts
	}
	for _, task := range s.tasks.All() {
		if task.worker == id && task.active() {
			worker.Tasks++
			worker.PowerWatts += task.currentPower()
		}
	}
	return worker
}

func (t *taskRow) currentPower() int {
	if t.Status == infra.TaskThrottled {
		return t.watts / throttledSpeedFactor
	}
	return t.watts
}
