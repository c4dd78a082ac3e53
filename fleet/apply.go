package fleet

import "time"

// Snapshot returns the part of a snapshot that the tables know. The caller adds
// what the platform, the gateways and the lease say.
func (t *Tables) Snapshot(row *WorkerRow, now time.Time) Snapshot {
	id, _ := t.workers.Get(row.ID)
	return Snapshot{Now: now, Worker: t.documentRow(id), Durable: t.Durable(row)}
}

// ApplyStep records a step in the tables. Waits and calls change nothing but
// the highest boot ID.
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
		t.finish(row, operation, now)
	case StepFail:
		t.countFailure(row, operation, now)
		t.endOperation(row)
	}
	return nil
}

// changePool moves the worker and keeps the count of borrowed spares: a rotation
// gives back, a move of a wave borrows, or gives back when it leaves a pool that
// owes spares. The spare pool itself never owes any.
func (t *Tables) changePool(row *WorkerRow, operation *OperationRow, pool string) {
	from := row.Pool
	t.setPool(row, pool)
	if operation.Wave == "" {
		return
	}
	debtor := t.pool(from)
	switch operation.Kind {
	case OperationMove:
		if debtor.Borrowed > 0 {
			debtor.Borrowed--
		} else {
			t.pool(pool).Borrowed++
		}
		if t.Wave != nil && t.Wave.ID == operation.Wave {
			t.Wave.Moves++
		}
	case OperationRotate:
		debtor.Borrowed = max(0, debtor.Borrowed-1)
	}
}

func (t *Tables) finish(row *WorkerRow, operation *OperationRow, now time.Time) {
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

// widenStep is by how much each clean result widens a wave after its canary, so
// that a clean batch quadruples the width. With 1 most of the first rounds of a
// small site pass before the budgets, and not the width, limit the wave.
const widenStep = 3

func (t *Tables) countClean(operation *OperationRow) {
	wave := t.Wave
	if wave == nil || wave.ID != operation.Wave {
		return
	}
	wave.Clean++
	wave.Streak++
	most := max(t.Workers.Len(), 1)
	switch {
	case wave.Width > wave.Canary && wave.BatchFailures == 0:
		wave.Width = min(wave.Width+widenStep, most)
	case wave.Streak >= wave.Width: // the canary or the batch after a failure was clean
		wave.Width = min(2*wave.Width, most)
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
