package platform

import (
	"slices"
	"strings"
	"time"

	"github.com/waxwingbridge/waxwingbridge/infra"
	"github.com/waxwingbridge/waxwingbridge/infra/httpapi"
	"github.com/waxwingbridge/waxwingbridge/table"
)

func (s *state) startTask(now time.Time, spec infra.TaskSpec, id table.ID, row *workerRow) error {
	if row.Status != infra.WorkerLive {
		return rejected("worker %s is %s", row.ID, row.Status)
	}
	if spec.Lease <= 0 {
		return rejected("lease of %v", spec.Lease)
	}
	behaviour, err := parsePayload(spec.Payload, spec.MilliCores, spec.MemoryMB)
	if err != nil {
		return rejected("%v", err)
	}
	task := taskRow{
		Task: infra.Task{
			Operation: spec.Operation, Job: spec.Job, Worker: spec.Worker, Status: infra.TaskRunning,
		},
		behaviour: behaviour, worker: id, since: now, lease: now.Add(spec.Lease),
	}
	if spec.Resume {
		task.progress = s.checkpoints[spec.Job]
	}
	s.starts[spec.Job]++
	if slices.Contains(s.faults.FailingWorkers, row.ID) {
		task.end(now, infra.TaskFailed, "worker cannot run tasks")
	}
	s.taskIDs.Put(spec.Operation, s.tasks.Insert(task))
	return nil
}

func (s *state) task(operation string) *taskRow {
	id, ok := s.taskIDs.Get(operation)
	if !ok {
		return nil
	}
	return s.tasks.Get(id)
}

func (s *state) listTasks() []infra.Task {
	tasks := make([]infra.Task, 0, s.tasks.Len())
	for _, row := range s.tasks.All() {
		tasks = append(tasks, row.Task)
	}
	slices.SortFunc(tasks, func(a, b infra.Task) int { return strings.Compare(a.Operation, b.Operation) })
	return tasks
}

// renewTasks extends task leases. The lease of a task on a worker that is down is
// not renewed, so it expires.
func (s *state) renewTasks(now time.Time, renew httpapi.RenewRequest) {
	for _, operation := range renew.Operations {
		task := s.task(operation)
		if task == nil || !task.active() {
			continue
		}
		if worker := s.workers.Get(task.worker); worker == nil || worker.Status == infra.WorkerDown {
			continue
		}
		task.lease = now.Add(renew.Lease)
	}
}

// controlTask applies an action to a task. Actions are idempotent and have no
// effect after the end of the task.
func (s *state) controlTask(now time.Time, change httpapi.TaskRequest) error {
	task := s.task(change.Operation)
	if task == nil {
		return notFound("task", change.Operation)
	}
	if !task.active() {
		return nil
	}
	switch change.Action {
	case httpapi.ActionCheckpoint:
		task.updateProgress(now)
		s.checkpoints[task.Job] = task.progress
		task.end(now, infra.TaskCheckpointed, "")
	case httpapi.ActionThrottle:
		task.updateProgress(now)
		task.Status = infra.TaskThrottled
	case httpapi.ActionUnthrottle:
		task.updateProgress(now)
		task.Status = infra.TaskRunning
	case httpapi.ActionStop:
		task.end(now, infra.TaskStopped, "")
	default:
		return rejected("action %q", change.Action)
	}
	return nil
}
