package platform

import (
	"slices"
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/infra"
	"github.com/waxwingbridge/waxwingbridge/table"
)

// Selector chooses workers: those that are listed and those in the rack or zone.
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

// WorkerAction is something that the platform does to workers unasked.
type WorkerAction string

// The initiatives of the platform.
const (
	// FailWorker stops a worker at once. Its tasks do not answer and lapse.
	FailWorker WorkerAction = "fail"
	// RecoverWorker restarts a failed worker; it comes back live with a new boot ID.
	RecoverWorker WorkerAction = "recover"
	// RemoveWorker lets the target refuse new work and takes the worker away after a grace period.
	RemoveWorker WorkerAction = "leave"
)

// WorkerActionRequest is the body of PathWorkerAction.
type WorkerActionRequest struct {
	Selector
	Action  WorkerAction `json:"initiative"`
	GraceMS int          `json:"grace_ms,omitempty"` // of Leave
}

// controlEvent comes from a fault switch or a Go method. done is closed after
// the systems of its tick.
type controlEvent struct {
	change func(*state, time.Time)
	done   chan struct{}
}

func (e controlEvent) apply(s *state, tick engine.Tick) {
	e.change(s, tick.Now)
	s.signals.Add(e.done)
}

func (s *state) take(now time.Time, request WorkerActionRequest) {
	for id, row := range s.workers.All() {
		if !request.matches(&row.Worker) || row.gone {
			continue
		}
		switch request.Action {
		case FailWorker:
			row.Status, row.due = infra.WorkerDown, time.Time{}
			s.command(id, command{kind: commandDown, value: true})
		case RecoverWorker:
			s.recoverWorker(now, id, row)
		case RemoveWorker:
			s.leave(now, id, row, time.Duration(request.GraceMS)*time.Millisecond)
		}
	}
}

func (s *state) recoverWorker(now time.Time, id table.ID, row *workerRow) {
	if row.Status != infra.WorkerDown {
		return
	}
	row.Status = infra.WorkerRebooting
	s.endTasks(now, id, "worker rebooted")
	s.command(id, command{kind: commandDraining, value: false})
	s.command(id, command{kind: commandDown, value: false, then: infra.WorkerLive, boots: true})
}

func (s *state) leave(now time.Time, id table.ID, row *workerRow, grace time.Duration) {
	if row.Status == infra.WorkerDown || row.Status == infra.WorkerLeaving {
		return
	}
	row.Status = infra.WorkerLeaving
	row.due = now.Add(grace)
	s.command(id, command{kind: commandDraining, value: true})
}

// commandDone reports that the target took a command, or an error.
type commandDone struct {
	commandRow
	err error
}

func (e commandDone) apply(s *state, _ engine.Tick) {
	row := s.workers.Get(e.worker)
	if row == nil {
		return
	}
	row.busy = false
	row.commands = slices.Delete(row.commands, 0, 1)
	if e.err != nil {
		s.abandon(e.operation, e.err)
		return
	}
	if e.appliesTo(row.Status) {
		row.Status = e.then
		if e.boots {
			row.BootID++
		}
	}
	s.complete(e.operation)
}

// appliesTo reports whether the worker still waits for this command: it may have
// failed, left or been rebooted since the command was queued.
func (c command) appliesTo(status infra.WorkerStatus) bool {
	switch {
	case c.then == "":
		return false
	case c.boots:
		return status == infra.WorkerRebooting
	default:
		return status == infra.WorkerLive || status == infra.WorkerDraining
	}
}

// countsEvent carries the targets' counts of requests in flight.
type countsEvent map[string]int

func (e countsEvent) apply(s *state, _ engine.Tick) {
	for _, row := range s.workers.All() {
		row.Requests = e[row.ID]
	}
}
