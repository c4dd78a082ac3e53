package measure

import (
	"fmt"
	"time"

	"github.com/waxwingbridge/waxwingbridge/budget"
	"github.com/waxwingbridge/waxwingbridge/fleet"
	"github.com/waxwingbridge/waxwingbridge/policy"
	"github.com/waxwingbridge/waxwingbridge/wave"
)

// Periods of the driver.
const (
	tickPeriod   = time.Second
	listPoll     = 2 * time.Second
	acknowledge  = 2 * time.Second // gateways exchange once a second
	operatorTime = 5 * time.Minute // until the operator resumes a halted wave
)

// strategy decides what to start next.
type strategy interface {
	plan(s *site) []wave.Decision
	// spares is the number of workers dedicated to the roll-out of a pool.
	spares(size int) int
}

// site drives the decision functions of one site with a fake clock.
type site struct {
	now       time.Time
	started   time.Time
	tables    *fleet.Tables
	effective *policy.Effective
	platform  *machines
	demand    *demand
	strategy  strategy
	reserve   int
	separate  *int // reserve of pools that share nothing, computed when needed
	sequence  int
	haltedAt  time.Time
	rejected  map[string]rejection
	// allowed and call can be replaced by tests that inject faults.
	allowed   bool
	call      func(fleet.Call) error
	unsettled map[string]time.Time // per worker, until when a call may still take effect
	result    Result
}

// rejection is a call that the platform refused in a state of a worker.
type rejection struct {
	state fleet.State
	kind  fleet.CallKind
}

func newSite(l *layout, s strategy, seed uint64, badRack fleet.RackKey) *site {
	v := &site{
		now: epoch, started: epoch, tables: fleet.Load(&l.document), effective: l.effective, strategy: s,
		platform: newMachines(&l.document, seed, badRack), demand: newDemand(l, seed), rejected: map[string]rejection{}, allowed: true,
		unsettled: map[string]time.Time{},
	}
	v.call = func(c fleet.Call) error { return v.platform.call(c, v.now) }
	v.reserve = budget.JointBuffer(v.tables, v.effective, v.demand.history()).Required
	return v
}

func (s *site) view() *wave.Input {
	return &wave.Input{
		Now: s.now, Tables: s.tables, Effective: s.effective, Demand: s.demand.at(s.now), SpareReserve: s.reserve, DisruptionAllowed: s.allowed,
	}
}

// tick runs the systems of the controller once.
func (s *site) tick() {
	s.now = s.now.Add(tickPeriod)
	s.platform.advance(s.now)
	if s.now.Unix()%int64(listPoll/time.Second) == 0 {
		s.reconcile()
	}
	s.resumeHalted()
	s.start()
	s.advance()
}

func (s *site) reconcile() {
	reconciliation := s.tables.Reconcile(s.platform.list, s.now)
	for _, id := range reconciliation.Verify {
		if observed := s.platform.ask(id); observed != nil {
			s.tables.ApplyObservation(observed, s.now)
		}
	}
}

// resumeHalted is the operator who looks at a halted wave and resumes it.
func (s *site) resumeHalted() {
	halted := s.tables.Wave != nil && s.tables.Wave.Status == fleet.WaveHalted
	switch {
	case !halted:
		s.haltedAt = time.Time{}
	case s.haltedAt.IsZero():
		s.haltedAt = s.now
		s.result.Halts++
	case s.now.Sub(s.haltedAt) >= operatorTime:
		_ = wave.Resume(s.tables, s.effective) // the status was checked
	}
}

func (s *site) start() {
	for _, decision := range s.strategy.plan(s) {
		s.sequence++
		id := fmt.Sprintf("op-%d-%d", s.tables.Epoch, s.sequence)
		if err := wave.Apply(s.tables, decision, id, s.now); err != nil {
			panic(err) // a plan that its own tables refuse is a fault of the planner
		}
		s.count(decision)
	}
}

// advance runs one step of every operation.
func (s *site) advance() {
	for _, operation := range s.tables.Operations.All() {
		row := s.tables.Workers.Get(operation.Worker)
		snapshot := s.tables.Snapshot(row, s.now)
		snapshot.Observed = s.platform.ask(row.ID)
		snapshot.CallOutcomeUnknown = s.now.Before(s.unsettled[row.ID])
		snapshot.GatewaysAcknowledged = s.now.Sub(row.Since) >= acknowledge
		snapshot.DisruptionAllowed, snapshot.CallAllowed = s.allowed, s.allowed
		if r := s.rejected[row.ID]; r.state == row.State {
			snapshot.Rejected = r.kind
		}
		s.perform(row, fleet.NextStep(&snapshot))
	}
}

func (s *site) perform(row *fleet.WorkerRow, step fleet.Step) {
	if step.Kind == fleet.StepCall {
		if err := s.call(step.Call); err == errRejected { //nolint:errorlint // the fake returns the bare error
			s.rejected[row.ID] = rejection{row.State, step.Call.Kind}
		}
	} else if step.Kind != fleet.StepWait {
		delete(s.rejected, row.ID)
		if step.Pool != "" {
			s.result.PoolChanges++
		}
	}
	if err := s.tables.ApplyStep(row.ID, step, s.now); err != nil {
		panic(err) // a step that the state machine refuses is a fault of NextStep
	}
}

// commit writes the document; the fake store answers at once.
func (s *site) commit() {
	if _, ok := s.tables.BeginCommit(); ok {
		s.tables.EndCommit(true)
	}
}

// longest bounds a run; a roll-out that takes longer is reported as unfinished.
const longest = 24 * time.Hour

// run maintains the whole site once.
func (s *site) run(objective string) Result {
	if err := wave.Start(s.tables, s.effective, wave.Spec{ID: "wave", Operator: objective}, s.now); err != nil {
		panic(err) // a new site has no wave
	}
	for s.now.Sub(s.started) < longest {
		s.tick()
		s.commit()
		s.account()
		if s.tables.Wave.Status == fleet.WaveDone && s.tables.Operations.Len() == 0 {
			s.result.Finished = true
			break
		}
	}
	s.result.Duration = s.now.Sub(s.started)
	s.result.Failures = s.tables.Wave.Failures
	s.result.RebootsWithWork = s.platform.cutOff
	return s.result
}
