// Package invariant checks the eight invariants of section 1 of docs/design.md.
// Tests pass in what they observe of a site: fleet and configuration documents in
// the store, operations that the platform executed, counters of the targets and
// outcomes that callers received. The checker does no I/O: observations update
// tables, and the systems in systems.go search them for violations.
package invariant

import (
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/fleet"
	"github.com/waxwingbridge/waxwingbridge/outcome"
	"github.com/waxwingbridge/waxwingbridge/policy"
	"github.com/waxwingbridge/waxwingbridge/table"
)

// Time limits from docs/design.md.
const (
	// LeavingGracePeriod is the time after which a leaving target must receive no
	// new work: the period for which a gateway may use a target after its fleet
	// view was last confirmed, FleetViewTTL and FleetViewMargin of package
	// membership, and as long again for requests in transit.
	LeavingGracePeriod = 10 * time.Second
	// InForceTimeout is the time within which an accepted configuration must be in
	// force in every process.
	InForceTimeout = 19 * time.Second
	// reportTimeout is the time without reports after which a process counts as
	// gone.
	reportTimeout = 3 * time.Second
	// confirmDelay is the time after which a request to a leaving target is
	// reported, unless the target has returned to service. Its counters may be read
	// before the document that returns it.
	confirmDelay = 2 * time.Second
)

// Observation is an input of the checker.
type Observation interface{ apply(*State, engine.Tick) }

type (
	// FleetStored holds a fleet document read from the store. Documents arrive in
	// store order; some may be missing.
	FleetStored struct{ Document *fleet.Document }
	// ConfigStored holds a configuration document read from the store. Documents
	// arrive in store order.
	ConfigStored struct{ Document *policy.Document }
	// ConfigAccepted says that a controller acknowledged a configuration change to
	// an operator.
	ConfigAccepted struct {
		Revision policy.Revision
		WriteID  string // unique ID of the change
	}
	// ConfigReported says that a process reported the configuration in force in it.
	// Reporter is the process that forwarded the report; reports from different
	// reporters may arrive out of order.
	ConfigReported struct {
		Reporter, Process string
		Revision          policy.Revision
		Suspected         bool // the reporter receives nothing from the process
	}
	// OperationExecuted says that the platform executed an operation on a worker.
	OperationExecuted struct{ Worker, Kind, Operation string }
	// TargetCounted holds the counters of a target: requests received, and requests
	// in flight interrupted by planned stops.
	TargetCounted struct {
		Worker        string
		Received, Cut int
	}
	// Answered is the response to one call of a caller, or the loss of its
	// connection (an unknown outcome).
	Answered struct {
		Request    string // ID from the response, empty if there is none
		Key        string
		Idempotent bool
		Outcome    outcome.Outcome
		Problem    string // how a completed response differs from the expected one
		Pool       string
		Worker     string // worker that executed the request, if known
	}
	// ExecutionsCounted holds the number of executions since the start by request
	// ID and by key. The targets count them after all the responses observed before.
	ExecutionsCounted struct{ Requests, Keys map[string]int }
)

// workerRow holds what was observed of a worker.
type workerRow struct {
	id                 string
	state              fleet.State
	available          bool
	leavingSince       time.Time // time of observation; zero while available
	received           int       // baseline: first count after LeavingGracePeriod
	hasBaseline        bool
	unconfirmed        *ReceivedWhileLeaving // reported after confirmDelay
	unconfirmedSince   time.Time
	cut                int
	pool, previousPool string    // previousPool is the pool before the last change
	poolSince          time.Time // time of observation
}

type operationRow struct {
	worker, id, kind string
	reported         bool
}

type configRow struct {
	revision   policy.Revision
	writeID    string
	acceptedAt time.Time // zero if only read from the store
}

type processRow struct {
	name            string
	revision        policy.Revision // highest reported
	reportedAt      time.Time       // last report by a reporter that does not suspect it
	liveSince       time.Time
	overdueReported policy.Revision
}

type reportRow struct {
	reporter, process string
	revision          policy.Revision
}

// requestRow aggregates the calls with one request ID or key.
type requestRow struct {
	Answered
	keyed      bool
	onlyNotRun bool
	completed  bool
	executions int
	reported   bool
}

type requestKey struct {
	keyed bool
	id    string
}

// State is the state of the checker. The zero value is ready for use.
type State struct {
	document *fleet.Document
	tables   *fleet.Tables
	stored   *policy.Document
	policies []policyPeriod  // configurations that were in force, oldest first
	intents  map[string]bool // operations in the fleet documents read, by operationKey

	workers           table.Table[workerRow]
	workerIndex       table.Index[string]
	operations        table.Table[operationRow]
	configs           table.Table[configRow]
	configIndex       table.Index[policy.Revision]
	processes         table.Table[processRow]
	processIndex      table.Index[string]
	reports           table.Table[reportRow]
	reportIndex       table.Index[[2]string]
	requests          table.Table[requestRow]
	requestIndex      table.Index[requestKey]
	executionsCounted bool // executions were counted since the last check

	// Violations holds the violations found. The owner drains it.
	Violations table.Outbound[Violation]
}

// policyPeriod is the time for which a configuration was the latest in the store.
type policyPeriod struct {
	effective *policy.Effective
	until     time.Time // zero for the latest
}

// Program returns the checker as an engine program.
func Program() engine.Program[State, Observation] {
	return engine.Program[State, Observation]{
		Apply:   func(s *State, tick engine.Tick, o Observation) { o.apply(s, tick) },
		Systems: Systems(),
	}
}

func (s *State) report(violation Violation) { s.Violations.Add(violation) }

// getOrInsert returns the row of a key and inserts the initial one if there is none.
func getOrInsert[K comparable, R any](rows *table.Table[R], index *table.Index[K], key K, initial R) *R {
	id, ok := index.Get(key)
	if !ok {
		id = rows.Insert(initial)
		index.Put(key, id)
	}
	return rows.Get(id)
}
