package fleet

import (
	"slices"
	"strings"
	"time"
)

// Time limits of the reconciliation with the VM list.
const (
	// ListLag is the age that rows of the list usually do not exceed. A row that
	// contradicts a state younger than this is ignored without verification.
	ListLag = 30 * time.Second
	// MissingTimeout is the time for which a worker must be missing from all lists
	// before its row is removed. It exceeds ListLag, so that one truncated or
	// stale list removes nothing.
	MissingTimeout = 2 * time.Minute
	// SuspectTimeout is the time after which a suspected worker counts as failed.
	SuspectTimeout = time.Minute
)

// ChangeKind is the kind of change that the reconciliation made to a worker.
type ChangeKind string

// Kinds of change.
const (
	ChangeAdded   ChangeKind = "added"
	ChangeRemoved ChangeKind = "removed"
	ChangeState   ChangeKind = "state"
)

// Change is one effect of the reconciliation.
type Change struct {
	Worker   string
	Kind     ChangeKind
	From, To State
	Reason   Reason
}

// Reconciliation is the result of merging a VM list.
type Reconciliation struct {
	Changes []Change
	// Verify names the workers whose rows contradict the document. The caller queries
	// the platform directly and passes the answers to ApplyObservation.
	Verify []string
}

// Reconcile merges a VM list that was polled at the given time into the tables.
// Because the list may be stale by any amount, it only adds workers, marks workers
// as leaving, which is irreversible, and suspects and later removes those that stay
// missing. Every other contradiction has to be verified. Rows of workers with an
// operation are ignored, because its steps query the platform directly.
func (t *Tables) Reconcile(list []Observation, polled time.Time) Reconciliation {
	var result Reconciliation
	seen := make(map[string]bool, len(list))
	for i := range list {
		observed := &list[i]
		if seen[observed.Worker] {
			continue
		}
		seen[observed.Worker] = true
		row := t.Worker(observed.Worker)
		if row == nil {
			if change, ok := t.addListed(observed, polled); ok {
				result.Changes = append(result.Changes, change)
			}
			continue
		}
		row.MissingSince = time.Time{}
		t.mergeRow(row, observed, polled, &result)
	}
	result.Changes = append(result.Changes, t.removeMissing(seen, polled)...)
	return result
}

// mergeRow handles a listed worker that the document has. A row with a lower
// boot ID or about a worker that changed within ListLag is stale.
func (t *Tables) mergeRow(row *WorkerRow, observed *Observation, polled time.Time, result *Reconciliation) {
	if row.OperationID != 0 || observed.BootID < row.BootID {
		return
	}
	to, reason := stateWhenObserved(row, observed, polled)
	switch {
	case to == row.State && row.State != Suspected:
	case to == Leaving:
		if change, ok := t.changeState(row, to, reason, polled); ok {
			result.Changes = append(result.Changes, change)
		}
	case row.State == Suspected || polled.Sub(row.Since) > ListLag:
		result.Verify = append(result.Verify, row.ID)
	}
}

// ApplyObservation merges the platform's direct answer about a worker without an
// operation. It reports the change of state, if any.
func (t *Tables) ApplyObservation(observed *Observation, now time.Time) (Change, bool) {
	row := t.Worker(observed.Worker)
	if row == nil || row.OperationID != 0 || observed.BootID < row.BootID {
		return Change{}, false
	}
	if observed.BootID > row.BootID {
		row.BootID = observed.BootID
		t.markRowDirty(row)
	}
	to, reason := stateWhenObserved(row, observed, now)
	if to == row.State {
		return Change{}, false
	}
	return t.changeState(row, to, reason, now)
}

// addListed adds a worker that the document does not have. A worker that is not live
// is added as unknown and becomes serving once it is observed live.
func (t *Tables) addListed(observed *Observation, now time.Time) (Change, bool) {
	if observed.Status == StatusLeaving || observed.Status == StatusDown || observed.Pool == "" {
		return Change{}, false
	}
	state := Unknown
	if observed.Status == StatusLive {
		state = Serving
	}
	row := t.insert(Worker{
		ID: observed.Worker, Pool: observed.Pool, State: state, Since: now, Address: observed.Address,
		AvailabilityZone: observed.AvailabilityZone, Rack: observed.Rack, StateReason: ReasonListed, BootID: observed.BootID,
	}, 0)
	t.markRowDirty(row)
	return Change{Worker: row.ID, Kind: ChangeAdded, To: state, Reason: ReasonListed}, true
}

// stateWhenObserved returns the state that an observation implies for a worker
// without an operation.
func stateWhenObserved(row *WorkerRow, observed *Observation, now time.Time) (State, Reason) {
	switch observed.Status {
	case StatusLeaving:
		if row.State == Failed {
			return Failed, row.StateReason
		}
		return Leaving, ReasonWorkerLeaving
	case StatusDown, StatusRebooting:
		return stateWhenDown(row, now)
	case StatusLive:
		if row.State == Suspected || row.State == Failed || row.State == Unknown {
			return Serving, ReasonRecovered
		}
	case StatusDraining: // without an operation, nothing else undrains it
		if row.State != Leaving && row.State != Quarantined {
			return Returning, ReasonRecovered
		}
	}
	return row.State, row.StateReason
}

func stateWhenDown(row *WorkerRow, now time.Time) (State, Reason) {
	switch row.State {
	case Serving, Unknown, Quarantined:
		return Suspected, ReasonWorkerDown
	case Suspected:
		if now.Sub(row.Since) >= SuspectTimeout {
			return Failed, ReasonWorkerDown
		}
	}
	return row.State, row.StateReason
}

func (t *Tables) changeState(row *WorkerRow, to State, reason Reason, now time.Time) (Change, bool) {
	from := row.State
	if !CanTransition(from, to) {
		return Change{}, false
	}
	if to == Returning {
		// The time makes the ID unique among the returns of this worker.
		t.addOperation(row, OperationSpec{
			OperationID: row.ID + "/return/" + now.UTC().Format(time.RFC3339Nano), Kind: OperationDrain, Worker: row.ID,
		}, true)
	}
	if err := t.setState(row, to, reason, now); err != nil {
		return Change{}, false
	}
	return Change{Worker: row.ID, Kind: ChangeState, From: from, To: to, Reason: reason}, true
}

// removeMissing marks serving workers as suspected that have been missing from the
// list for more than ListLag, and removes workers missing for MissingTimeout.
func (t *Tables) removeMissing(seen map[string]bool, now time.Time) []Change {
	var changes []Change
	for _, row := range t.Workers.All() {
		switch {
		case seen[row.ID]:
		case row.MissingSince.IsZero():
			row.MissingSince = now
		case now.Sub(row.MissingSince) >= MissingTimeout:
			changes = append(changes, Change{Worker: row.ID, Kind: ChangeRemoved, From: row.State, Reason: ReasonMissingFromList})
			if operation := t.Operation(row); operation != nil {
				t.countFailure(row, operation, now)
			}
			t.remove(row)
		case row.State == Serving && row.OperationID == 0 && now.Sub(row.MissingSince) > ListLag:
			if change, ok := t.changeState(row, Suspected, ReasonMissingFromList, now); ok {
				changes = append(changes, change)
			}
		}
	}
	slices.SortStableFunc(changes, func(a, b Change) int { return strings.Compare(a.Worker, b.Worker) })
	return changes
}
