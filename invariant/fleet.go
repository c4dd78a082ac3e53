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
		return // read again
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
	if s.announced == nil {
		s.announced = map[string]bool{}
	}
	present := map[string]bool{}
	for i := range doc.Workers {
		worker := &doc.Workers[i]
		present[worker.ID] = true
		if worker.Operation != nil {
			s.announced[announcement(worker.ID, worker.Operation.ID)] = true
		}
		s.followWorker(worker, tick.Now)
	}
	for id, row := range s.workers.All() {
		if !present[row.id] {
			s.workerIndex.Delete(row.id)
			s.workers.Delete(id)
		}
	}
}

func announcement(worker, operation string) string { return worker + " " + operation }

// checkWorkers checks that each worker is listed once, in one pool, and changes
// its pool only while it is out of service.
func (s *State) checkWorkers(doc *fleet.Document) {
	seen := map[string]bool{}
	for i := range doc.Workers {
		worker := &doc.Workers[i]
		broken := InvalidFleetDocument{Worker: worker.ID, FleetRevision: doc.Revision}
		switch {
		case seen[worker.ID]:
			broken.Problem = "is listed twice"
		case worker.Pool == "":
			broken.Problem = "is in no pool"
		case s.changedPoolInService(worker):
			broken.Problem = "changed its pool while in service"
		}
		seen[worker.ID] = true
		if broken.Problem != "" {
			s.report(broken)
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

// followWorker keeps since when a worker has been leaving and in which pool it is.
func (s *State) followWorker(worker *fleet.Worker, now time.Time) {
	r := row(&s.workers, &s.workerIndex, worker.ID, workerRow{id: worker.ID, available: true, pool: worker.Pool})
	if r.pool != worker.Pool {
		r.former, r.pool, r.poolSince = r.pool, worker.Pool, now
	}
	r.state = worker.State
	isAvailable := available(worker)
	if isAvailable == r.available {
		return
	}
	r.available, r.counted, r.suspect = isAvailable, false, nil
	r.leavingSince = time.Time{}
	if !isAvailable {
		r.leavingSince = now
	}
}

// checkBudget checks that each pool in which planned operations started has the
// available workers that its budget asks for. Workers that failed between the
// two documents are added, because the failure may have come after the start.
func (s *State) checkBudget(after *fleet.Tables, now time.Time) {
	type scope struct{ pool, zone string }
	started, failed := map[scope][]string{}, map[scope]int{}
	for _, now := range after.Workers.All() {
		before := s.tables.Worker(now.ID)
		if before == nil || !before.Available() || now.Available() {
			continue
		}
		for _, in := range []scope{{before.Pool, ""}, {before.Pool, now.AvailabilityZone}} {
			if operation := after.Operation(now); operation != nil && !operation.Aborted && now.State == fleet.Draining {
				started[in] = append(started[in], now.ID)
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

// floor returns the available workers and the lowest floor of the
// configurations that may be in force in the active controller.
func (s *State) floor(tables *fleet.Tables, pool, zone string, now time.Time) (serving, floor int) {
	first := true
	for _, mark := range s.policies {
		if !mark.until.IsZero() && now.Sub(mark.until) > InForceDeadline {
			continue
		}
		assessed := budget.Assess(tables, mark.effective, nil).Pool(pool)
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

func (s *State) putInForce(doc *policy.Document, now time.Time) {
	if n := len(s.policies); n > 0 {
		s.policies[n-1].until = now
	}
	s.policies = append(s.policies, policyMark{effective: policy.Resolve(doc, now)})
}

func (e OperationExecuted) apply(s *State, _ engine.Tick) {
	s.operations.Insert(operationRow{worker: e.Worker, id: e.Operation, kind: e.Kind})
}

// checkOperations finds operations of the platform that no document announced.
// A platform call carries the ID of its operation with a suffix for the step.
// The check runs at the end, because the store's watch may lag behind the platform.
func (s *State) checkOperations() {
	for _, operation := range s.operations.All() {
		if operation.reported {
			continue
		}
		announced := false
		for name := range maps.Keys(s.announced) {
			if strings.HasPrefix(announcement(operation.worker, operation.id), name+"/") {
				announced = true
				break
			}
		}
		if !announced {
			operation.reported = true
			s.report(UnplannedOperation{operation.worker, operation.kind, operation.id})
		}
	}
}
