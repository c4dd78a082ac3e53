// Package invariant checks the eight invariants of section 1 of docs/design.md.
// Tests feed it with what they observe of a site: fleet and configuration
// documents of the store, operations that the platform executed, counters of the
// targets and outcomes of callers. The checker is pure: observations change
// tables, and systems.go lists the systems that look for violations.
package invariant

import (
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/fleet"
	"github.com/waxwingbridge/waxwingbridge/outcome"
	"github.com/waxwingbridge/waxwingbridge/policy"
	"github.com/waxwingbridge/waxwingbridge/table"
)

// Bounds of the design page.
const (
	// LeavingGracePeriod is the time after which a leaving target receives no new work:
	// the vouch period with its margin, and as long again for requests in transit.
	LeavingGracePeriod = 10 * time.Second
	// InForceDeadline is the time within which a configuration is in force everywhere.
	InForceDeadline = 19 * time.Second
	// reportSilence is the time after which a process that nobody reports any
	// more counts as gone.
	reportSilence = 3 * time.Second
	// confirmWait is the time for which a request to a leaving target must stay
	// unexplained: the counters of a target may be read before the document that
	// returns it to service.
	confirmWait = 2 * time.Second
)

// Observation is something that a test saw.
type Observation interface{ apply(*State, engine.Tick) }

type (
	// FleetStored is a fleet document in the order of the store. Documents may be
	// missing in between.
	FleetStored struct{ Document *fleet.Document }
	// ConfigStored is a configuration document in the order of the store.
	ConfigStored struct{ Document *policy.Document }
	// ConfigAccepted says that an operator was told that a change is accepted.
	ConfigAccepted struct {
		Revision policy.Revision
		WriteID  string // unique name of the change
	}
	// ConfigReported says that a process reported the configuration that is in
	// force in it. Reporter is the process that passed the report on; reports
	// through different reporters may overtake each other.
	ConfigReported struct {
		Reporter, Process string
		Revision          policy.Revision
		Suspected         bool // the reporter does not hear the process
	}
	// OperationExecuted says that the platform executed an operation on a worker.
	OperationExecuted struct{ Worker, Kind, Operation string }
	// TargetCounted holds the counters of a target: requests that arrived, and
	// requests in flight that planned stops cut off.
	TargetCounted struct {
		Worker        string
		Received, Cut int
	}
	// Answered is the end of one call of a caller, or the loss of its connection
	// (an unknown outcome).
	Answered struct {
		Request    string // ID from the answer, empty if there is none
		Key        string
		Idempotent bool
		Outcome    outcome.Outcome
		Problem    string // how a completed answer differs from the whole and own one
		Pool       string
		Worker     string // that executed it, if known
	}
	// ExecutionsCounted holds the numbers of executions since the start, counted
	// by the targets after all the answers before it.
	ExecutionsCounted struct{ Requests, Keys map[string]int }
)

// workerRow is what the checker knows of a worker.
type workerRow struct {
	id           string
	state        fleet.State
	available    bool
	leavingSince time.Time // observed; zero while available
	received     int       // at the first count after LeavingBound
	counted      bool
	suspect      *ReceivedWhileLeaving // reported once confirmWait has passed
	suspectAt    time.Time
	cut          int
	pool, former string    // former is the pool before the last change
	poolSince    time.Time // observed
}

type operationRow struct {
	worker, id, kind string
	reported         bool
}

type configRow struct {
	revision   policy.Revision
	writeID    string
	acceptedAt time.Time // zero if only seen in the store
}

type processRow struct {
	name         string
	held         policy.Revision
	heardAt      time.Time // last report by a reporter that hears it
	liveSince    time.Time
	lateReported policy.Revision
}

type reportRow struct {
	reporter, process string
	revision          policy.Revision
}

// requestRow collects the calls under one request ID or key.
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
	document  *fleet.Document
	tables    *fleet.Tables
	stored    *policy.Document
	policies  []policyMark // in force lately, the latest last
	announced map[string]bool

	workers      table.Table[workerRow]
	workerIndex  table.Index[string]
	operations   table.Table[operationRow]
	configs      table.Table[configRow]
	configIndex  table.Index[policy.Revision]
	processes    table.Table[processRow]
	processIndex table.Index[string]
	reports      table.Table[reportRow]
	reportIndex  table.Index[[2]string]
	requests     table.Table[requestRow]
	requestIndex table.Index[requestKey]
	executions   bool // executions were counted since the last tick

	// Violations found so far. The owner drains them.
	Violations table.Outbound[Violation]
}

type policyMark struct {
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

// row returns the row of a name and makes it if needed.
func row[K comparable, R any](rows *table.Table[R], index *table.Index[K], key K, fresh R) *R {
	id, ok := index.Get(key)
	if !ok {
		id = rows.Insert(fresh)
		index.Put(key, id)
	}
	return rows.Get(id)
}
