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

// StartOperation records the intent of an operation: the worker leaves service with
// the next write of the document. The caller checks the budget.
func (t *Tables) StartOperation(spec OperationSpec, now time.Time) error {
	row := t.Worker(spec.Worker)
	if row == nil {
		return &RequestError{spec.Worker, "", ReasonUnknownWorker}
	}
	if row.OperationID != 0 {
		return &RequestError{spec.Worker, row.State, ReasonOperationInProgress}
	}
	if row.State != Serving {
		return &RequestError{spec.Worker, row.State, ReasonNotServing}
	}
	changesPool := spec.Kind == OperationMove || spec.Kind == OperationRotate
	if changesPool && (spec.ToPool == "" || spec.ToPool == row.Pool) {
		return &RequestError{spec.Worker, row.State, ReasonUnknownPool}
	}
	if !changesPool {
		spec.ToPool = ""
	}
	t.addOperation(row, spec, false)
	return t.setState(row, Draining, ReasonOperationStarted, now)
}

func (t *Tables) addOperation(row *WorkerRow, spec OperationSpec, aborted bool) {
	id, _ := t.workersByID.Get(row.ID)
	row.OperationID = t.Operations.Insert(OperationRow{Worker: id, Operation: Operation{
		ID: spec.OperationID, Kind: spec.Kind, ToPool: spec.ToPool, Wave: spec.Wave, Operator: spec.Operator,
		Reason: spec.Reason, Aborted: aborted, StartRevision: t.NextRevision(), BootID: row.BootID,
	}})
}

// ReturnWorker brings a worker back to service. An operation in progress is
// aborted; a worker without one gets an operation that only undrains it.
func (t *Tables) ReturnWorker(spec OperationSpec, now time.Time) error {
	row := t.Worker(spec.Worker)
	if row == nil {
		return &RequestError{spec.Worker, "", ReasonUnknownWorker}
	}
	if row.OperationID != 0 {
		return t.AbortOperation(spec.Worker)
	}
	if row.State == Serving || !CanTransition(row.State, Returning) {
		return &RequestError{spec.Worker, row.State, ReasonNoOperation}
	}
	spec.Kind, spec.ToPool = OperationDrain, ""
	t.addOperation(row, spec, true)
	return t.setState(row, Returning, ReasonRecovered, now)
}

// AbortOperation makes the operation return the worker to service. A reboot that
// has already been requested completes first. A repeated abort has no effect.
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
		t.markRowDirty(row)
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
	t.markRowDirty(row)
	return nil
}
