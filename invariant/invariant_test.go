package invariant

import (
	"slices"
	"testing"
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/fleet"
	"github.com/waxwingbridge/waxwingbridge/outcome"
	"github.com/waxwingbridge/waxwingbridge/policy"
)

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

// step is an observation at a time after the start.
type step struct {
	at          time.Duration
	observation Observation
}

// document returns a fleet document of four workers in pool "orders" and one in
// "spare"; change edits it.
func document(epoch, revision uint64, change func(workers []fleet.Worker)) Observation {
	doc := &fleet.Document{Epoch: epoch, Revision: revision}
	for _, id := range []string{"w1", "w2", "w3", "w4", "w5"} {
		worker := fleet.Worker{ID: id, Pool: "orders", State: fleet.Serving, AvailabilityZone: "az1"}
		if id == "w5" {
			worker.Pool = "spare"
		}
		doc.Workers = append(doc.Workers, worker)
	}
	if change != nil {
		change(doc.Workers)
	}
	return FleetStored{doc}
}

func drain(worker *fleet.Worker) {
	worker.State, worker.Operation = fleet.Draining, &fleet.Operation{ID: "1-" + worker.ID, Kind: fleet.OperationMaintain}
}

func config(revision policy.Revision, writeID string) Observation {
	return configWithShare(revision, writeID, 0.75)
}

func configWithShare(revision policy.Revision, writeID string, serving float64) Observation {
	doc := policy.Example("orders", "spare")
	doc.Revision, doc.WriteID, doc.Defaults.Pool.MinServingShare = revision, writeID, serving
	return ConfigStored{&doc}
}

func answered(request, key string, idempotent bool, kind outcome.Kind) Observation {
	return Answered{Request: request, Key: key, Idempotent: idempotent, Outcome: outcome.Outcome{Kind: kind}}
}

var (
	oneDrain        = func(w []fleet.Worker) { drain(&w[0]) }
	twoDrains       = func(w []fleet.Worker) { drain(&w[0]); drain(&w[1]) }
	drainAndFailure = func(w []fleet.Worker) { drain(&w[0]); w[1].State = fleet.Suspected }
)

// Guards against violations that the checker misses, and against reports of what
// docs/design.md allows.
func TestViolations(t *testing.T) {
	initial := []step{{0, config(1, "a")}, {0, document(1, 1, nil)}}
	drained := slices.Concat(initial, []step{{0, document(1, 2, oneDrain)}, {11 * time.Second, TargetCounted{"w1", 5, 0}}})
	counted := func(requests, keys map[string]int) step {
		return step{2 * time.Second, ExecutionsCounted{requests, keys}}
	}
	cases := map[string]struct {
		steps []step
		want  Number // zero for none
	}{
		"one drain keeps the budget":               {append(initial[:2:2], step{1, document(1, 2, oneDrain)}), 0},
		"two drains break the budget":              {append(initial[:2:2], step{1, document(1, 2, twoDrains)}), DisruptionBudget},
		"a failure beside a drain is no violation": {append(initial[:2:2], step{1, document(1, 2, drainAndFailure)}), 0},
		"a drain after a failure breaks the budget": {append(initial[:2:2],
			step{1, document(1, 2, func(w []fleet.Worker) { w[1].State = fleet.Suspected })}, step{2, document(1, 3, drainAndFailure)}), DisruptionBudget},
		"a lower floor is in force":              {append(initial[:2:2], step{1, configWithShare(2, "b", 0.5)}, step{2, document(1, 2, twoDrains)}), 0},
		"a higher floor may not be in force yet": {[]step{{0, configWithShare(1, "a", 0.5)}, {0, document(1, 1, nil)}, {1, config(2, "b")}, {2, document(1, 2, twoDrains)}}, 0},
		"a higher floor is in force":             {[]step{{0, configWithShare(1, "a", 0.5)}, {0, document(1, 1, nil)}, {1, config(2, "b")}, {20 * time.Second, document(1, 2, twoDrains)}}, DisruptionBudget},
		"a worker is listed twice":               {[]step{{0, document(1, 1, func(w []fleet.Worker) { w[1].ID = "w1" })}}, SinglePool},
		"a worker is in no pool":                 {[]step{{0, document(1, 1, func(w []fleet.Worker) { w[1].Pool = "" })}}, SinglePool},
		"a serving worker changes its pool":      {append(initial[:2:2], step{1, document(1, 2, func(w []fleet.Worker) { w[4].Pool = "orders" })}), SinglePool},
		"a fenced controller writes":             {[]step{{0, document(2, 5, nil)}, {1, document(1, 6, nil)}}, SinglePool},
		"a fleet revision is written twice":      {[]step{{0, document(1, 5, nil)}, {1, document(2, 5, nil)}}, SinglePool},
		"a document read again":                  {[]step{{0, document(1, 5, nil)}, {1, document(1, 5, nil)}}, 0},
		"a worker of another pool responds":      {append(initial[:2:2], step{1, Answered{Request: "r", Pool: "spare", Worker: "w1"}}), SinglePool},
		"a worker of the pool responds":          {append(initial[:2:2], step{1, Answered{Request: "r", Pool: "orders", Worker: "w1"}}), 0},
		"a response to another request":          {[]step{{0, Answered{Request: "r", Problem: "other body"}}}, CompleteResponse},
		"a response without an execution":        {[]step{{0, answered("r", "k", false, outcome.Completed)}, counted(nil, nil)}, CompleteResponse},
		"not run, and not executed":              {[]step{{0, answered("r", "", false, outcome.NotRun)}, counted(nil, nil)}, 0},
		"not run, but executed":                  {[]step{{0, answered("r", "", true, outcome.NotRun)}, counted(map[string]int{"r": 1}, nil)}, NotRunAccurate},
		"a key not run, but executed":            {[]step{{0, answered("r", "k", false, outcome.NotRun)}, counted(nil, map[string]int{"k": 1})}, NotRunAccurate},
		"a key not run, then completed":          {[]step{{0, answered("r", "k", false, outcome.NotRun)}, {1, answered("s", "k", false, outcome.Completed)}, counted(nil, map[string]int{"k": 1})}, 0},
		"a request executed twice":               {[]step{{0, answered("r", "", false, outcome.Unknown)}, counted(map[string]int{"r": 2}, nil)}, AtMostOnce},
		"a keyed request executed twice":         {[]step{{0, answered("", "k", false, outcome.Unknown)}, counted(nil, map[string]int{"k": 2})}, AtMostOnce},
		"an idempotent request executed twice":   {[]step{{0, answered("r", "", true, outcome.Completed)}, counted(map[string]int{"r": 2}, nil)}, 0},
		"requests within the grace period":       {append(initial[:2:2], step{0, document(1, 2, oneDrain)}, step{9 * time.Second, TargetCounted{"w1", 5, 0}}, step{9 * time.Second, TargetCounted{"w1", 9, 0}}), 0},
		"requests after the grace period":        {append(drained[:4:4], step{12 * time.Second, TargetCounted{"w1", 6, 0}}, step{15 * time.Second, TargetCounted{"w1", 6, 0}}), NoWorkWhileLeaving},
		"requests after the return to service":   {append(drained[:4:4], step{12 * time.Second, TargetCounted{"w1", 6, 0}}, step{13 * time.Second, document(1, 3, nil)}, step{16 * time.Second, TargetCounted{"w1", 7, 0}}), 0},
		"a planned stop interrupts requests":     {append(initial[:2:2], step{1, TargetCounted{"w1", 5, 2}}), GracefulStop},
		"an operation without intent":            {append(initial[:2:2], step{1, OperationExecuted{"w1", "reboot", "1-w1/reboot/1"}}, counted(nil, nil)), GracefulStop},
		"an intent observed after the operation": {append(initial[:2:2], step{1, OperationExecuted{"w1", "reboot", "1-w1/reboot/1"}}, step{2, document(1, 2, oneDrain)}, counted(nil, nil)), 0},
		"an operation of another worker":         {append(initial[:2:2], step{1, OperationExecuted{"w2", "reboot", "1-w1/reboot/1"}}, step{2, document(1, 2, oneDrain)}, counted(nil, nil)), GracefulStop},
		"the store's configuration reverts":      {[]step{{0, config(2, "b")}, {1, config(1, "a")}}, ConfigConvergence},
		"a process reverts":                      {[]step{{0, ConfigReported{"c", "g", 2, false}}, {1, ConfigReported{"c", "g", 1, false}}}, ConfigConvergence},
		"reports arrive out of order":            {[]step{{0, ConfigReported{"c", "g", 2, false}}, {1, ConfigReported{"d", "g", 1, false}}}, 0},
		"an accepted change is overwritten":      {[]step{{0, config(2, "b")}, {1, config(2, "c")}}, ConfigConvergence},
		"a configuration overdue in one process": {processReports(false, 1), ConfigConvergence},
		"a configuration in force":               {processReports(false, 2), 0},
		"a process without contact":              {processReports(true, 1), 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			violations := replay(c.steps)
			switch {
			case c.want == 0 && len(violations) > 0:
				t.Errorf("reported %v", violations)
			case c.want != 0 && (len(violations) != 1 || violations[0].Invariant() != c.want || violations[0].String() == ""):
				t.Errorf("reported %v, want one violation of invariant %d", violations, c.want)
			}
		})
	}
}

// processReports returns the reports of a process about a change that is accepted
// after 1 s. The process reports the held revision from 11 s on.
func processReports(suspected bool, held policy.Revision) []step {
	steps := []step{{time.Second, ConfigAccepted{Revision: 2}}}
	for at := time.Duration(0); at <= 25*time.Second; at += time.Second {
		revision := policy.Revision(1)
		if at > 10*time.Second {
			revision = held
		}
		steps = append(steps, step{at, ConfigReported{"c", "g", revision, suspected}})
	}
	return steps
}

func replay(steps []step) []Violation {
	state, program := &State{}, Program()
	var violations []Violation
	for i, s := range steps {
		program.Step(state, engine.Tick{Now: start.Add(s.at), Seq: uint64(i)}, s.observation)
		state.Violations.Drain(func(v Violation) { violations = append(violations, v) })
	}
	return violations
}
