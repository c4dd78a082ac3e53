package fleet

import "time"

// Snapshot returns a snapshot with the fields that the tables determine. The caller
// sets those that depend on the platform, the gateways and the lease.
func (t *Tables) Snapshot(row *WorkerRow, now time.Time) Snapshot {
	id, _ := t.workersByID.Get(row.ID)
	return Snapshot{Now: now, Worker: t.documentWorker(id), Durable: t.Durable(row)}
}

// ApplyStep records a step in the tables. Waits and calls change only the highest
// boot ID.
func (t *Tables) ApplyStep(worker string, step Step, now time.Time) error {
	row := t.Worker(worker)
	if row == nil {
		return &RequestError{worker, "", ReasonUnknownWorker}
	}
	operation := t.Operation(row)
	if operation == nil {
		return &RequestError{worker, row.State, ReasonNoOperation}
	}
	row.BootID = max(row.BootID, step.BootID)
	if step.Kind == StepWait || step.Kind == StepCall {
		return nil
	}
	if err := t.setState(row, step.State, step.Reason, now); err != nil {
		return err
	}
	switch step.Kind {
	case StepCommit:
		if step.Pool != "" {
			t.changePool(row, operation, step.Pool)
		}
	case StepFinish:
		t.finishOperation(row, operation, now)
	case StepFail:
		t.countFailure(row, operation, now)
		t.endOperation(row)
	}
	return nil
}

// changePool moves the worker and updates the count of borrowed spares. A rotation
// gives a spare back. A move by a wave gives one back if it leaves a pool that has
// borrowed spares; otherwise it borrows one. The spare pool itself never borrows.
func (t *Tables) changePool(row *WorkerRow, operation *OperationRow, pool string) {
	from := row.Pool
	t.setPool(row, pool)
	if operation.Wave == "" {
		return
	}
	source := t.ensurePool(from)
	switch operation.Kind {
	case OperationMove:
		if source.Borrowed > 0 {
			source.Borrowed--
		} else {
			t.ensurePool(pool).Borrowed++
		}
		if t.Wave != nil && t.Wave.ID == operation.Wave {
			t.Wave.Moves++
		}
	case OperationRotate:
		source.Borrowed = max(0, source.Borrowed-1)
	}
}

func (t *Tables) finishOperation(row *WorkerRow, operation *OperationRow, now time.Time) {
	reboots := operation.Kind == OperationMaintain || operation.Kind == OperationRotate
	if reboots && row.State == Serving && row.BootID > operation.BootID {
		row.MaintainedAt = now
		t.countClean(operation)
	}
	t.endOperation(row)
}

func (t *Tables) endOperation(row *WorkerRow) {
	t.Operations.Delete(row.OperationID)
	row.OperationID = 0
}

// widenStep is added to the width of a wave for each clean result after the canary,
// so that a clean batch quadruples the width. With 1, a small site spends most of its
// first rounds limited by the width and not by the budgets.
const widenStep = 3

func (t *Tables) countClean(operation *OperationRow) {
	wave := t.Wave
	if wave == nil || wave.ID != operation.Wave {
		return
	}
	wave.Clean++
	wave.Streak++
	maxWidth := max(t.Workers.Len(), 1)
	switch {
	case wave.Width > wave.Canary && wave.BatchFailures == 0:
		wave.Width = min(wave.Width+widenStep, maxWidth)
	case wave.Streak >= wave.Width: // the whole canary batch, or the batch after a failure, was clean
		wave.Width = min(2*wave.Width, maxWidth)
		wave.Streak, wave.BatchFailures = 0, 0
	}
}

func (t *Tables) countFailure(row *WorkerRow, operation *OperationRow, now time.Time) {
	wave := t.Wave
	if wave == nil || wave.ID != operation.Wave {
		return
	}
	wave.Failures++
	wave.BatchFailures++
	wave.Streak = 0
	wave.FailedWorkers = append(wave.FailedWorkers, WaveFailure{
		Worker: row.ID, Pool: row.Pool, AvailabilityZone: row.AvailabilityZone, Rack: row.Rack, At: now,
	})
}
