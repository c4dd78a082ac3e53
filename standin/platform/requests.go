package platform

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/infra"
	"github.com/waxwingbridge/waxwingbridge/infra/httpapi"
	"github.com/waxwingbridge/waxwingbridge/table"
)

type requestKind uint8

const (
	requestList requestKind = iota
	requestGet
	requestDrain
	requestUndrain
	requestReboot
	requestAssign
	requestStart
	requestTasks
	requestRenew
	requestControl
)

var requestNames = [...]string{
	"list-workers", "get-worker", "drain", "undrain", "reboot", "assign",
	"start-task", "list-tasks", "renew-tasks", "control-task",
}

// request is a call of the VM and task interface.
type request struct {
	kind   requestKind
	worker httpapi.WorkerRequest
	spec   infra.TaskSpec
	renew  httpapi.RenewRequest
	task   httpapi.TaskRequest
	answer chan response // buffered for one response, so the loop never blocks on the caller
}

type response struct {
	workers []infra.Worker
	tasks   []infra.Task
	err     error
}

func (r *request) apply(s *state, tick engine.Tick) {
	s.calls[requestNames[r.kind]]++
	s.lastSequence++
	due := tick.Now.Add(time.Duration(s.faults.PlatformSlowMS) * time.Millisecond)
	s.requests.Insert(requestRow{request: r, due: due, sequence: s.lastSequence})
}

func (s *state) answer(r *request, answer response) {
	s.answers.Add(answerRow{request: r, response: answer})
}

func (s *state) execute(now time.Time, r *request) {
	switch r.kind {
	case requestList:
		s.answer(r, response{workers: s.published})
	case requestGet:
		s.executeGet(r)
	case requestTasks:
		s.answer(r, response{tasks: s.listTasks()})
	case requestRenew:
		s.renewTasks(now, r.renew)
		s.answer(r, response{})
	case requestControl:
		s.answer(r, response{err: s.controlTask(now, r.task)})
	case requestStart:
		s.executeOnce(now, r, r.spec.Operation, r.spec.Worker)
	default:
		s.executeOnce(now, r, r.worker.Operation, r.worker.Worker)
	}
}

func (s *state) executeGet(r *request) {
	id, row := s.worker(r.worker.Worker)
	if row == nil {
		s.answer(r, response{err: notFound("worker", r.worker.Worker)})
		return
	}
	s.answer(r, response{workers: []infra.Worker{s.view(id, row)}})
}

func notFound(kind, name string) error {
	return errors.Newf("%w: %s %q", infra.ErrNotFound, kind, name)
}

func rejected(format string, values ...any) error {
	return errors.Newf("%w: %s", infra.ErrRejected, fmt.Sprintf(format, values...))
}

// executeOnce executes a mutating call unless its operation ID is already known; a
// repeated call gets the response of the first. A call that the target must
// confirm is answered when the command is done.
func (s *state) executeOnce(now time.Time, r *request, operation, worker string) {
	if operation == "" {
		s.answer(r, response{err: rejected("no operation ID")})
		return
	}
	key := operationKey{kind: r.kind, id: operation}
	if id, known := s.operationIDs.Get(key); known {
		s.answerRepeated(s.operations.Get(id), r)
		return
	}
	workerID, row := s.worker(worker)
	if row == nil {
		s.answer(r, response{err: notFound("worker", worker)})
		return
	}
	id := s.operations.Insert(operationRow{key: key, worker: workerID, at: now, waiting: []*request{r}})
	s.operationIDs.Put(key, id)
	confirmed, err := s.applyChange(now, r, id, workerID, row)
	switch {
	case err != nil:
		s.failOperation(id, err)
	case confirmed:
		s.completeOperation(id)
	}
}

func (s *state) answerRepeated(operation *operationRow, r *request) {
	if operation.done {
		s.answer(r, response{})
		return
	}
	operation.waiting = append(operation.waiting, r)
}

// completeOperation marks an operation as done, answers all its callers and records
// its effect on the worker.
func (s *state) completeOperation(id table.ID) {
	operation := s.operations.Get(id)
	if operation == nil {
		return
	}
	operation.done = true
	s.answerAll(operation, nil)
	if row := s.workers.Get(operation.worker); row != nil && operation.key.kind != requestStart {
		row.Operation = operation.key.id
		s.record(ExecutedOperation{Kind: requestNames[operation.key.kind], Worker: row.ID, Operation: operation.key.id})
	}
}

// maxExecuted limits the number of recorded operations, and so their memory.
const maxExecuted = 1 << 16

func (s *state) record(operation ExecutedOperation) {
	if s.executed.Len() < maxExecuted {
		s.executed.Insert(operation)
	}
}

// failOperation answers the callers with the error and deletes the operation. It
// had no effect, so a repeated call executes it again.
func (s *state) failOperation(id table.ID, err error) {
	operation := s.operations.Get(id)
	if operation == nil {
		return
	}
	s.answerAll(operation, err)
	s.operationIDs.Delete(operation.key)
	s.operations.Delete(id)
}

func (s *state) answerAll(operation *operationRow, err error) {
	for _, r := range operation.waiting {
		s.answer(r, response{err: err})
	}
	operation.waiting = nil
}

// applyChange applies the change of a call. It returns true if the change is
// complete, false if the target must still confirm it.
func (s *state) applyChange(now time.Time, r *request, operation, id table.ID, row *workerRow) (bool, error) {
	switch r.kind {
	case requestDrain:
		return s.drain(operation, id, row)
	case requestUndrain:
		return s.undrain(operation, id, row)
	case requestReboot:
		return true, s.reboot(now, id, row)
	case requestAssign:
		if row.Status != infra.WorkerDraining {
			return true, rejected("worker %s is %s, not draining", row.ID, row.Status)
		}
		row.Pool = r.worker.Pool
		return true, nil
	default:
		return true, s.startTask(now, r.spec, id, row)
	}
}

func (s *state) drain(operation, id table.ID, row *workerRow) (bool, error) {
	switch row.Status {
	case infra.WorkerDown, infra.WorkerRebooting:
		return true, rejected("worker %s is %s", row.ID, row.Status)
	case infra.WorkerLive:
		s.enqueueCommand(id, command{kind: commandDraining, value: true, operation: operation, nextStatus: infra.WorkerDraining})
		return false, nil
	default: // already refuses new requests
		return true, nil
	}
}

func (s *state) undrain(operation, id table.ID, row *workerRow) (bool, error) {
	switch row.Status {
	case infra.WorkerLive, infra.WorkerDraining:
		// Also sent to a live worker, because a drain may still be queued for it.
		s.enqueueCommand(id, command{kind: commandDraining, value: false, operation: operation, nextStatus: infra.WorkerLive})
		return false, nil
	default:
		return true, rejected("worker %s is %s", row.ID, row.Status)
	}
}

func (s *state) reboot(now time.Time, id table.ID, row *workerRow) error {
	if row.Status != infra.WorkerDraining {
		return rejected("worker %s is %s, not draining", row.ID, row.Status)
	}
	row.Status = infra.WorkerRebooting
	row.due = now.Add(s.options.RebootTime)
	s.enqueueCommand(id, command{kind: commandDown, value: true})
	s.endTasks(now, id, "worker rebooted")
	return nil
}

func (s *state) endTasks(now time.Time, worker table.ID, reason string) {
	for _, task := range s.tasks.All() {
		if task.worker == worker && task.active() {
			task.end(now, infra.TaskFailed, reason)
		}
	}
}
