package invariant

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/waxwingbridge/waxwingbridge/budget"
	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/fleet"
	"github.com/waxwingbridge/waxwingbridge/policy"
)

func (e FleetStored) apply(s *State, tick engine.Tick) {
	doc, last := e.Document, s.document
	if last != nil && doc.Epoch == last.Epoch && doc.Revision == last.Revision {
		return // the same document was read again
	}
	if last != nil && (doc.Epoch < last.Epoch || doc.Revision <= last.Revision) {
		s.report(FleetReverted{last.Epoch, last.Revision, doc.Epoch, doc.Revision})
		return
	}
	s.checkWorkers(doc)
	tables := fleet.Load(doc)
	if s.tables != nil {
		s.checkBudget(tables, tick.Now)
	}
	s.document, s.tables = doc, tables
	if s.intents == nil {
		s.intents = map[string]bool{}
	}
	present := map[string]bool{}
	for i := range doc.Workers {
		worker := &doc.Workers[i]
		present[worker.ID] = true
		if worker.Operation != nil {
			s.intents[operationKey(worker.ID, worker.Operation.ID)] = true
		}
		s.trackWorker(worker, tick.Now)
	}
	for id, row := range s.workers.All() {
		if !present[row.id] {
			s.workerIndex.Delete(row.id)
			s.workers.Delete(id)
		}
	}
}

func operationKey(worker, operation string) string { return worker + " " + operation }

// checkWorkers checks that each worker is listed exactly once, is in a pool and
// changes its pool only while it is out of service.
func (s *State) checkWorkers(doc *fleet.Document) {
	seen := map[string]bool{}
	for i := range doc.Workers {
		worker := &doc.Workers[i]
		invalid := InvalidFleetDocument{Worker: worker.ID, FleetRevision: doc.Revision}
		switch {
		case seen[worker.ID]:
			invalid.Problem = "is listed twice"
		case worker.Pool == "":
			invalid.Problem = "is in no pool"
		case s.changedPoolInService(worker):
			invalid.Problem = "changed its pool while in service"
		}
		seen[worker.ID] = true
		if invalid.Problem != "" {
			s.report(invalid)
		}
	}
}

func (s *State) changedPoolInService(worker *fleet.Worker) bool {
	if s.tables == nil {
		return false
	}
	before := s.tables.Worker(worker.ID)
	return before != nil && before.Pool != worker.Pool && before.Available() && available(worker)
}

func available(worker *fleet.Worker) bool { return worker.State.Available() && worker.Operation == nil }

// trackWorker records the worker's pool and the time since which it has been leaving.
func (s *State) trackWorker(worker *fleet.Worker, now time.Time) {
	r := getOrInsert(&s.workers, &s.workerIndex, worker.ID, workerRow{id: worker.ID, available: true, pool: worker.Pool})
	if r.pool != worker.Pool {
		r.previousPool, r.pool, r.poolSince = r.pool, worker.Pool, now
	}
	r.state = worker.State
	isAvailable := available(worker)
	if isAvailable == r.available {
		return
	}
	r.available, r.hasBaseline, r.unconfirmed = isAvailable, false, nil
	r.leavingSince = time.Time{}
	if !isAvailable {
		r.leavingSince = now
	}
}

// checkBudget checks that each pool and availability zone in which planned
// operations started still has the available workers that its budget requires.
// Workers that failed between the two documents count as available, because they
// may have failed after the operations started.
func (s *State) checkBudget(after *fleet.Tables, now time.Time) {
	type scope struct{ pool, zone string }
	started, failed := map[scope][]string{}, map[scope]int{}
	for _, worker := range after.Workers.All() {
		before := s.tables.Worker(worker.ID)
		if before == nil || !before.Available() || worker.Available() {
			continue
		}
		for _, in := range []scope{{before.Pool, ""}, {before.Pool, worker.AvailabilityZone}} {
			if operation := after.Operation(worker); operation != nil && !operation.Aborted && worker.State == fleet.Draining {
				started[in] = append(started[in], worker.ID)
			} else {
				failed[in]++
			}
		}
	}
	for in, workers := range started {
		slices.Sort(workers)
		count, floor := s.floor(after, in.pool, in.zone, now)
		if count+failed[in] < floor {
			s.report(BudgetViolated{
				Pool: in.pool, AvailabilityZone: in.zone, Started: workers, Available: count, Failed: failed[in],
				Floor: floor, FleetRevision: after.Revision,
			})
		}
	}
}

// floor returns the number of available workers and the lowest floor among the
// configurations that may be in force in the active controller.
func (s *State) floor(tables *fleet.Tables, pool, zone string, now time.Time) (serving, floor int) {
	first := true
	for _, period := range s.policies {
		if !period.until.IsZero() && now.Sub(period.until) > InForceTimeout {
			continue
		}
		assessed := budget.Assess(tables, period.effective, nil).Pool(pool)
		if assessed == nil {
			continue
		}
		count := assessed.Counts
		if zone != "" {
			count = assessed.Zones[zone]
		}
		if first || count.Floor < floor {
			serving, floor, first = count.Serving, count.Floor, false
		}
	}
	return serving, floor
}

// setInForce ends the period of the previous configuration and starts that of doc.
func (s *State) setInForce(doc *policy.Document, now time.Time) {
	if n := len(s.policies); n > 0 {
		s.policies[n-1].until = now
	}
	s.policies = append(s.policies, policyPeriod{effective: policy.Resolve(doc, now)})
}

func (e OperationExecuted) apply(s *State, _ engine.Tick) {
	s.operations.Insert(operationRow{worker: e.Worker, id: e.Operation, kind: e.Kind})
}

// checkOperations reports operations that the platform executed without an intent
// in a fleet document. The operation ID of a platform call is that of the intent
// with a suffix for the step. The check runs after the executions were counted,
// because the store's watch may lag behind the platform.
func (s *State) checkOperations() {
	for _, operation := range s.operations.All() {
		if operation.reported {
			continue
		}
		known := false
		for name := range maps.Keys(s.intents) {
			if strings.HasPrefix(operationKey(operation.worker, operation.id), name+"/") {
				known = true
				break
			}
		}
		if !known {
			operation.reported = true
			s.report(UnplannedOperation{operation.worker, operation.kind, operation.id})
		}
	}
}
