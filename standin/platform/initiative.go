package platform

import (
	"slices"
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/infra"
	"github.com/waxwingbridge/waxwingbridge/table"
)

// Selector selects the listed workers and those in the rack or availability zone.
type Selector struct {
	Workers          []string `json:"workers,omitempty"`
	Rack             string   `json:"rack,omitempty"`
	AvailabilityZone string   `json:"availability_zone,omitempty"`
}

func (x Selector) matches(worker *infra.Worker) bool {
	return slices.Contains(x.Workers, worker.ID) ||
		(x.Rack != "" && x.Rack == worker.Rack) ||
		(x.AvailabilityZone != "" && x.AvailabilityZone == worker.AvailabilityZone)
}

// WorkerAction is a change of workers that the platform makes by itself, without
// a call through its interface.
type WorkerAction string

// Worker actions.
const (
	// FailWorker stops a worker immediately. Its tasks stop making progress and
	// their leases expire.
	FailWorker WorkerAction = "fail"
	// RecoverWorker restarts a failed worker, which becomes live with a new boot ID.
	RecoverWorker WorkerAction = "recover"
	// RemoveWorker makes the target refuse new requests and removes the worker
	// after a grace period.
	RemoveWorker WorkerAction = "leave"
)

// WorkerActionRequest is the body of PathWorkerAction.
type WorkerActionRequest struct {
	Selector
	Action  WorkerAction `json:"initiative"`
	GraceMS int          `json:"grace_ms,omitempty"` // grace period of RemoveWorker
}

// controlEvent runs the change of an administration call in the loop. done is
// closed after the systems of its tick have run.
type controlEvent struct {
	change func(*state, time.Time)
	done   chan struct{}
}

func (e controlEvent) apply(s *state, tick engine.Tick) {
	e.change(s, tick.Now)
	s.completions.Add(e.done)
}

func (s *state) applyWorkerAction(now time.Time, request WorkerActionRequest) {
	for id, row := range s.workers.All() {
		if !request.matches(&row.Worker) || row.removing {
			continue
		}
		switch request.Action {
		case FailWorker:
			row.Status, row.due = infra.WorkerDown, time.Time{}
			s.enqueueCommand(id, command{kind: commandDown, value: true})
		case RecoverWorker:
			s.recoverWorker(now, id, row)
		case RemoveWorker:
			s.startRemoval(now, id, row, time.Duration(request.GraceMS)*time.Millisecond)
		}
	}
}

func (s *state) recoverWorker(now time.Time, id table.ID, row *workerRow) {
	if row.Status != infra.WorkerDown {
		return
	}
	row.Status = infra.WorkerRebooting
	s.endTasks(now, id, "worker rebooted")
	s.enqueueCommand(id, command{kind: commandDraining, value: false})
	s.enqueueCommand(id, command{kind: commandDown, value: false, nextStatus: infra.WorkerLive, restartsWorker: true})
}

func (s *state) startRemoval(now time.Time, id table.ID, row *workerRow, grace time.Duration) {
	if row.Status == infra.WorkerDown || row.Status == infra.WorkerLeaving {
		return
	}
	row.Status = infra.WorkerLeaving
	row.due = now.Add(grace)
	s.enqueueCommand(id, command{kind: commandDraining, value: true})
}

// commandDone reports that the target has executed a command, or the error.
type commandDone struct {
	commandRow
	err error
}

func (e commandDone) apply(s *state, _ engine.Tick) {
	row := s.workers.Get(e.worker)
	if row == nil {
		return
	}
	row.commandInProgress = false
	row.commands = slices.Delete(row.commands, 0, 1)
	if e.err != nil {
		s.failOperation(e.operation, e.err)
		return
	}
	if e.appliesTo(row.Status) {
		row.Status = e.nextStatus
		if e.restartsWorker {
			row.BootID++
		}
	}
	s.completeOperation(e.operation)
}

// appliesTo reports whether the command still determines the worker's status: the
// worker may have failed, been removed or rebooted since the command was queued.
func (c command) appliesTo(status infra.WorkerStatus) bool {
	switch {
	case c.nextStatus == "":
		return false
	case c.restartsWorker:
		return status == infra.WorkerRebooting
	default:
		return status == infra.WorkerLive || status == infra.WorkerDraining
	}
}

// countsEvent carries the number of requests in flight by worker.
type countsEvent map[string]int

func (e countsEvent) apply(s *state, _ engine.Tick) {
	for _, row := range s.workers.All() {
		row.Requests = e[row.ID]
	}
}
