package platform

import (
	"time"

	"github.com/waxwingbridge/waxwingbridge/infra"
	"github.com/waxwingbridge/waxwingbridge/table"
)

const (
	idleWatts   = 120
	rebootWatts = 350 // inrush of a reboot
)

type workerRow struct {
	infra.Worker
	// due is the end of a reboot, or the moment at which a leaving worker goes.
	due      time.Time
	gone     bool      // removed once its commands are done
	commands []command // in the order in which the target receives them
	busy     bool      // the first command is being performed
}

// command is a message to the target of a worker.
type command struct {
	kind      commandKind
	value     bool
	operation table.ID // answered when the command is done; zero means none
	then      infra.WorkerStatus
	boots     bool // the worker has restarted when the command is done
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
	progress time.Duration // of behaviour.run, until since
	since    time.Time
	lease    time.Time // moment at which the lease lapses
	ended    time.Time
}

func (t *taskRow) active() bool {
	return t.Status == infra.TaskRunning || t.Status == infra.TaskThrottled
}

// settle adds the work done since the last change of speed.
func (t *taskRow) settle(now time.Time) {
	elapsed := now.Sub(t.since)
	if t.Status == infra.TaskThrottled {
		elapsed /= throttledSpeedFactor
	}
	t.progress += elapsed
	t.since = now
}

// finish returns the moment at which the task ends, or the zero time.
func (t *taskRow) finish() time.Time {
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
	t.settle(now)
	t.Status, t.Error, t.ended = status, reason, now
	t.UsedMilliCores, t.UsedMemoryMB, t.PowerWatts = 0, 0, 0
}

// operationKey identifies a call: an operation of the fleet makes several calls
// of different kinds under one ID.
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
	request *request
	due     time.Time
	arrival uint64
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
	executed     table.Table[ExecutedOperation] // in order, at most maxExecuted
	requests     table.Table[requestRow]
	arrivals     uint64
	checkpoints  map[string]time.Duration // progress by job
	starts       map[string]int           // executions by job
	calls        map[string]int64
	published    []infra.Worker
	publishAt    time.Time
	sampleAt     time.Time

	answers  table.Outbound[answerRow]
	outgoing table.Outbound[commandRow]
	signals  table.Outbound[chan struct{}]
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

func (s *state) command(id table.ID, c command) {
	row := s.workers.Get(id)
	row.commands = append(row.commands, c)
}

// view returns the current state of a worker.
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
			worker.PowerWatts += task.draw()
		}
	}
	return worker
}

func (t *taskRow) draw() int {
	if t.Status == infra.TaskThrottled {
		return t.watts / throttledSpeedFactor
	}
	return t.watts
}
