package platform

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/infra"
	"github.com/waxwingbridge/waxwingbridge/table"
)

// systems returns the systems of the platform in the order in which they run.
// Tasks finish before leases expire, and both happen before requests, so that a
// late renewal does not revive a task.
func systems() []engine.System[state] {
	return []engine.System[state]{
		{Name: "finish tasks", Run: finishTasks},
		{Name: "expire task leases", Run: expireTaskLeases},
		{Name: "advance reboots", Run: advanceReboots},
		{Name: "execute requests", Run: executeRequests},
		{Name: "start commands", Run: startCommands},
		{Name: "sample usage", Run: sampleUsage},
		{Name: "forget ended tasks and operations", Run: removeExpired},
		{Name: "publish list", Run: publishList},
	}
}

func finishTasks(s *state, tick engine.Tick) {
	for _, task := range s.tasks.All() {
		if !s.makesProgress(task) {
			continue
		}
		if at := task.completionTime(); at.IsZero() || tick.Now.Before(at) {
			continue
		}
		if task.fails {
			task.end(tick.Now, infra.TaskFailed, "task failed")
		} else {
			task.end(tick.Now, infra.TaskDone, "")
		}
	}
}

// makesProgress reports whether the task makes progress. Tasks on a worker that is
// down do not.
func (s *state) makesProgress(task *taskRow) bool {
	worker := s.workers.Get(task.worker)
	return task.active() && worker != nil && worker.Status != infra.WorkerDown
}

func expireTaskLeases(s *state, tick engine.Tick) {
	for _, task := range s.tasks.All() {
		if task.active() && !tick.Now.Before(task.lease) {
			task.end(tick.Now, infra.TaskLeaseExpired, "lease lapsed")
		}
	}
}

// advanceReboots restarts workers whose reboot time is over and removes leaving
// workers whose grace period is over.
func advanceReboots(s *state, tick engine.Tick) {
	for id, row := range s.workers.All() {
		if !s.hasDeadline(row) || tick.Now.Before(row.due) {
			continue
		}
		row.due = time.Time{}
		if row.Status == infra.WorkerRebooting {
			s.enqueueCommand(id, command{kind: commandDown, value: false, nextStatus: infra.WorkerDraining, restartsWorker: true})
			continue
		}
		row.Status, row.removing = infra.WorkerDown, true
		s.enqueueCommand(id, command{kind: commandDown, value: true})
	}
}

func (s *state) hasDeadline(row *workerRow) bool {
	hangs := s.faults.RebootHangs && row.Status == infra.WorkerRebooting
	return !row.due.IsZero() && !hangs
}

func executeRequests(s *state, tick engine.Tick) {
	var due []table.ID
	for id, row := range s.requests.All() {
		if !tick.Now.Before(row.due) {
			due = append(due, id)
		}
	}
	slices.SortFunc(due, func(a, b table.ID) int {
		return cmp.Compare(s.requests.Get(a).sequence, s.requests.Get(b).sequence)
	})
	for _, id := range due {
		r := s.requests.Get(id).request
		s.requests.Delete(id)
		s.execute(tick.Now, r)
	}
}

// startCommands starts the oldest queued command of each worker. Commands run one
// at a time, so that the target receives them in order.
func startCommands(s *state, _ engine.Tick) {
	for id, row := range s.workers.All() {
		if row.commandInProgress {
			continue
		}
		if len(row.commands) > 0 {
			row.commandInProgress = true
			s.outgoingCommands.Add(commandRow{worker: id, name: row.ID, command: row.commands[0]})
		} else if row.removing {
			s.workerIDs.Delete(row.ID)
			s.workers.Delete(id)
		}
	}
}

func sampleUsage(s *state, tick engine.Tick) {
	if tick.Now.Before(s.sampleAt) {
		return
	}
	s.sampleAt = tick.Now.Add(s.options.UsageLag)
	for _, task := range s.tasks.All() {
		if task.active() {
			task.UsedMilliCores, task.UsedMemoryMB, task.PowerWatts = task.milliCores, task.memoryMB, task.currentPower()
		}
	}
}

func removeExpired(s *state, tick engine.Tick) {
	oldest := tick.Now.Add(-s.options.Retention)
	for id, task := range s.tasks.All() {
		if !task.ended.IsZero() && task.ended.Before(oldest) {
			s.taskIDs.Delete(task.Operation)
			s.tasks.Delete(id)
		}
	}
	for id, operation := range s.operations.All() {
		if operation.done && operation.at.Before(oldest) {
			s.operationIDs.Delete(operation.key)
			s.operations.Delete(id)
		}
	}
}

func publishList(s *state, tick engine.Tick) {
	if tick.Now.Before(s.publishAt) {
		return
	}
	s.publishAt = tick.Now.Add(s.options.ListLag)
	if s.faults.ListFrozen && s.published != nil {
		return
	}
	published := make([]infra.Worker, 0, s.workers.Len())
	for id, row := range s.workers.All() {
		published = append(published, s.view(id, row))
	}
	slices.SortFunc(published, func(a, b infra.Worker) int { return strings.Compare(a.ID, b.ID) })
	s.published = published // a new slice each time, because responses may still refer to the old one
}

func nextDeadline(s *state) time.Time {
	next := s.publishAt
	earliest := func(at time.Time) {
		if !at.IsZero() && at.Before(next) {
			next = at
		}
	}
	for _, row := range s.requests.All() {
		earliest(row.due)
	}
	for _, row := range s.workers.All() {
		if s.hasDeadline(row) {
			earliest(row.due)
		}
	}
	for _, task := range s.tasks.All() {
		if task.active() {
			earliest(task.lease)
			earliest(s.sampleAt)
		}
		if s.makesProgress(task) {
			earliest(task.completionTime())
		}
	}
	return next
}
