package measure

import (
	"fmt"
	"time"

	"github.com/waxwingbridge/waxwingbridge/budget"
	"github.com/waxwingbridge/waxwingbridge/fleet"
	"github.com/waxwingbridge/waxwingbridge/policy"
	"github.com/waxwingbridge/waxwingbridge/wave"
)

// Intervals and delays of the simulation.
const (
	tickPeriod           = time.Second
	listPollPeriod       = 2 * time.Second
	gatewayAckTime       = 2 * time.Second // gateways exchange state once a second
	operatorResponseTime = 5 * time.Minute // from the halt of a wave until the operator resumes it
)

// strategy decides which operations to start next.
type strategy interface {
	plan(s *site) []wave.Decision
	// dedicatedSpares returns the number of spares dedicated to the roll-out of a
	// pool of the given size.
	dedicatedSpares(size int) int
}

// site runs the decision functions of one site on a simulated clock.
type site struct {
	now                   time.Time
	started               time.Time
	tables                *fleet.Tables
	effective             *policy.Effective
	platform              *fakePlatform
	demand                *demand
	strategy              strategy
	reserve               int
	cachedSeparateReserve *int // result of separateReserve, computed on first use
	sequence              int
	haltedAt              time.Time
	rejectedCalls         map[string]rejection
	// Tests replace disruptionAllowed and callPlatform to inject faults.
	disruptionAllowed   bool
	callPlatform        func(fleet.Call) error
	outcomeUnknownUntil map[string]time.Time // per worker, until when a timed-out call may still take effect
	result              Result
}

// rejection is a call that the platform refused, with the state of the worker at that
// time.
type rejection struct {
	state fleet.State
	kind  fleet.CallKind
}

func newSite(l *layout, s strategy, seed uint64, failingRack fleet.RackKey) *site {
	v := &site{
		now: epoch, started: epoch, tables: fleet.Load(&l.document), effective: l.effective, strategy: s,
		platform: newFakePlatform(&l.document, seed, failingRack), demand: newDemand(l, seed), rejectedCalls: map[string]rejection{}, disruptionAllowed: true,
		outcomeUnknownUntil: map[string]time.Time{},
	}
	v.callPlatform = func(c fleet.Call) error { return v.platform.execute(c, v.now) }
	v.reserve = budget.JointBuffer(v.tables, v.effective, v.demand.history()).Required
	return v
}

func (s *site) plannerInput() *wave.Input {
	return &wave.Input{
		Now: s.now, Tables: s.tables, Effective: s.effective, Demand: s.demand.at(s.now), SpareReserve: s.reserve, DisruptionAllowed: s.disruptionAllowed,
	}
}

// tick runs the controller systems once.
func (s *site) tick() {
	s.now = s.now.Add(tickPeriod)
	s.platform.advance(s.now)
	if s.now.Unix()%int64(listPollPeriod/time.Second) == 0 {
		s.reconcile()
	}
	s.resumeHalted()
	s.applyPlan()
	s.advanceOperations()
}

func (s *site) reconcile() {
	reconciliation := s.tables.Reconcile(s.platform.list, s.now)
	for _, id := range reconciliation.Verify {
		if observed := s.platform.queryWorker(id); observed != nil {
			s.tables.ApplyObservation(observed, s.now)
		}
	}
}

// resumeHalted simulates the operator who inspects a halted wave and resumes it.
func (s *site) resumeHalted() {
	halted := s.tables.Wave != nil && s.tables.Wave.Status == fleet.WaveHalted
	switch {
	case !halted:
		s.haltedAt = time.Time{}
	case s.haltedAt.IsZero():
		s.haltedAt = s.now
		s.result.Halts++
	case s.now.Sub(s.haltedAt) >= operatorResponseTime:
		_ = wave.Resume(s.tables, s.effective) // cannot fail: the wave is halted
	}
}

func (s *site) applyPlan() {
	for _, decision := range s.strategy.plan(s) {
		s.sequence++
		id := fmt.Sprintf("op-%d-%d", s.tables.Epoch, s.sequence)
		if err := wave.Apply(s.tables, decision, id, s.now); err != nil {
			panic(err) // the planner returned a decision that its own tables refuse
		}
		s.recordDecision(decision)
	}
}

// advanceOperations runs one step of every operation.
func (s *site) advanceOperations() {
	for _, operation := range s.tables.Operations.All() {
		row := s.tables.Workers.Get(operation.Worker)
		snapshot := s.tables.Snapshot(row, s.now)
		snapshot.Observed = s.platform.queryWorker(row.ID)
		snapshot.CallOutcomeUnknown = s.now.Before(s.outcomeUnknownUntil[row.ID])
		snapshot.GatewaysAcknowledged = s.now.Sub(row.Since) >= gatewayAckTime
		snapshot.DisruptionAllowed, snapshot.CallAllowed = s.disruptionAllowed, s.disruptionAllowed
		if r := s.rejectedCalls[row.ID]; r.state == row.State {
			snapshot.Rejected = r.kind
		}
		s.performStep(row, fleet.NextStep(&snapshot))
	}
}

func (s *site) performStep(row *fleet.WorkerRow, step fleet.Step) {
	if step.Kind == fleet.StepCall {
		if err := s.callPlatform(step.Call); err == errRejected { //nolint:errorlint // the fake returns the bare error
			s.rejectedCalls[row.ID] = rejection{row.State, step.Call.Kind}
		}
	} else if step.Kind != fleet.StepWait {
		delete(s.rejectedCalls, row.ID)
		if step.Pool != "" {
			s.result.PoolChanges++
		}
	}
	if err := s.tables.ApplyStep(row.ID, step, s.now); err != nil {
		panic(err) // NextStep returned a step that the state machine refuses
	}
}

// commit writes the document to a fake store, which confirms immediately.
func (s *site) commit() {
	if _, ok := s.tables.BeginCommit(); ok {
		s.tables.EndCommit(true)
	}
}

// maxRunTime limits a run. A roll-out that takes longer is reported as unfinished.
const maxRunTime = 24 * time.Hour

// run maintains every worker of the site once.
func (s *site) run(objective string) Result {
	if err := wave.Start(s.tables, s.effective, wave.Spec{ID: "wave", Operator: objective}, s.now); err != nil {
		panic(err) // cannot fail: a new site has no wave
	}
	for s.now.Sub(s.started) < maxRunTime {
		s.tick()
		s.commit()
		s.accumulateCosts()
		if s.tables.Wave.Status == fleet.WaveDone && s.tables.Operations.Len() == 0 {
			s.result.Finished = true
			break
		}
	}
	s.result.Duration = s.now.Sub(s.started)
	s.result.Failures = s.tables.Wave.Failures
	s.result.RebootsWithWork = s.platform.rebootsWithWork
	return s.result
}
