package fleet

import "time"

// OperationSpec describes an operation to start.
type OperationSpec struct {
	OperationID string // ID, never used again
	Kind        OperationKind
	Worker      string
	ToPool      string // required for moves and rotations
	Wave        string
	Operator    string
	Reason      string
}

// StartOperation records the intent of an operation: the worker leaves service
// in the next write of the document. The budget is the caller's concern.
func (t *Tables) StartOperation(start OperationSpec, now time.Time) error {
	row := t.Worker(start.Worker)
	if row == nil {
		return &RequestError{start.Worker, "", ReasonUnknownWorker}
	}
	if row.OperationID != 0 {
		return &RequestError{start.Worker, row.State, ReasonOperationInProgress}
	}
	if row.State != Serving {
		return &RequestError{start.Worker, row.State, ReasonNotServing}
	}
	changesPool := start.Kind == OperationMove || start.Kind == OperationRotate
	if changesPool && (start.ToPool == "" || start.ToPool == row.Pool) {
		return &RequestError{start.Worker, row.State, ReasonUnknownPool}
	}
	if !changesPool {
		start.ToPool = ""
	}
	t.addOperation(row, start, false)
	return t.setState(row, Draining, ReasonOperationStarted, now)
}

func (t *Tables) addOperation(row *WorkerRow, start OperationSpec, aborted bool) {
	id, _ := t.workers.Get(row.ID)
	row.OperationID = t.Operations.Insert(OperationRow{Worker: id, Operation: Operation{
		ID: start.OperationID, Kind: start.Kind, ToPool: start.ToPool, Wave: start.Wave, Operator: start.Operator,
		Reason: start.Reason, Aborted: aborted, StartRevision: t.NextRevision(), BootID: row.BootID,
	}})
}

// ReturnWorker brings a worker back to service. An operation in progress is
// aborted; a worker without one gets an operation that only undrains it.
func (t *Tables) ReturnWorker(start OperationSpec, now time.Time) error {
	row := t.Worker(start.Worker)
	if row == nil {
		return &RequestError{start.Worker, "", ReasonUnknownWorker}
	}
	if row.OperationID != 0 {
		return t.AbortOperation(start.Worker)
	}
	if row.State == Serving || !CanTransition(row.State, Returning) {
		return &RequestError{start.Worker, row.State, ReasonNoOperation}
	}
	start.Kind, start.ToPool = OperationDrain, ""
	t.addOperation(row, start, true)
	return t.setState(row, Returning, ReasonRecovered, now)
}

// AbortOperation turns the operation on the worker towards service. A reboot that was
// already sent is waited for. Repeating it has no effect.
func (t *Tables) AbortOperation(worker string) error {
	row := t.Worker(worker)
	if row == nil {
		return &RequestError{worker, "", ReasonUnknownWorker}
	}
	operation := t.Operation(row)
	if operation == nil {
		return &RequestError{worker, row.State, ReasonNoOperation}
	}
	if !operation.Aborted {
		operation.Aborted = true
		t.touchRow(row)
	}
	return nil
}

// Quarantine takes a serving worker out of service because of its failures.
func (t *Tables) Quarantine(worker string, now time.Time) error {
	row := t.Worker(worker)
	if row == nil {
		return &RequestError{worker, "", ReasonUnknownWorker}
	}
	if !row.Available() {
		return &RequestError{worker, row.State, ReasonNotServing}
	}
	return t.setState(row, Quarantined, ReasonQuarantine, now)
}

// setState changes the state of a row and marks it for the next write.
func (t *Tables) setState(row *WorkerRow, to State, reason Reason, now time.Time) error {
	if !CanTransition(row.State, to) {
		return &TransitionError{row.ID, row.State, to}
	}
	row.State, row.Since, row.StateReason = to, now, reason
	t.touchRow(row)
	return nil
}
