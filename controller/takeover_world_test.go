package controller

import (
	"fmt"
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/fleet"
	"github.com/waxwingbridge/waxwingbridge/infra"
	"github.com/waxwingbridge/waxwingbridge/invariant"
	"github.com/waxwingbridge/waxwingbridge/node"
	"github.com/waxwingbridge/waxwingbridge/placement"
	"github.com/waxwingbridge/waxwingbridge/policy"
	"github.com/waxwingbridge/waxwingbridge/store"
)

// Times of the simulation.
const (
	simTick = 100 * time.Millisecond
	// renewInterval is that of a lease of which every other renewal fails.
	renewInterval = 2900 * time.Millisecond
	simRebootTime = time.Second
	// lateEffectDelay is the time until a delayed platform call or store write takes
	// effect, slightly less than callOutcomeTimeout.
	lateEffectDelay = 3900 * time.Millisecond
	restartDelay    = 3 * time.Second  // until a killed controller runs again
	shortPause      = 8 * time.Second  // longer than the controller's lease
	longPause       = 25 * time.Second // longer than a successor's takeover and its first operations
)

// faultMode is a fault injected at one effect of a controller.
type faultMode string

const (
	killBefore  faultMode = "killed before"
	killAfter   faultMode = "killed after"
	pauseBefore faultMode = "paused before"
	pauseAfter  faultMode = "paused after"
	answerLost  faultMode = "answer lost"
	delayed     faultMode = "delayed in transit"
	killDelayed faultMode = "killed, delayed in transit"
	notSent     faultMode = "not sent"
)

var faultModes = []faultMode{killBefore, killAfter, pauseBefore, pauseAfter, answerLost, delayed, killDelayed, notSent}

// scenario is the faults and the timing of a simulation.
type scenario struct {
	faults     map[int]faultMode // by number of the effect
	renewPhase time.Duration     // offset of the lease renewals
	// abortAt is the time after which an operator returns both workers, zero for never.
	abortAt       time.Duration
	pauseDuration time.Duration // zero means shortPause
}

// simulation is the store, the platform, a gateway with its traffic and two
// controllers, all with one clock. Effects are numbered over all controllers.
type simulation struct {
	scenario
	startedAt          time.Time
	now                time.Time
	effectCount        int
	effectNames        []string // of the effects, for failure messages
	revision           store.Revision
	fleet              store.Value
	document           fleet.Document
	leader             store.Value
	leaderIdentity     node.Identity
	leaderLease        store.LeaseID // that the leader key is bound to
	leaseDeadlines     map[store.LeaseID]time.Time
	pages              [placement.PageCount]placement.StoredPage
	workers            []*simWorker
	executedOperations map[string]bool // by operation ID
	pendingEffects     []pendingEffect
	gateway            simGateway
	processes          []*simProcess
	config             policy.Document
	checker            invariant.State
	violations         []invariant.Violation
}

type simWorker struct {
	infra.Worker
	rebootEndsAt     time.Time   // zero if never rebooted
	requestsInFlight []time.Time // the time at which each one ends
	received, cut    int
}

type pendingEffect struct {
	at  time.Time
	run func()
}

// simProcess is one controller process.
type simProcess struct {
	simulation    *simulation
	name          string
	starts        int
	state         *State
	program       engine.Program[State, Event]
	inbox         []Event
	delayedEvents []delayedEvent
	lease         store.LeaseID
	leaseDeadline time.Time // as the process knows it
	renewAt       time.Time
	seenRevision  store.Revision
	seq           uint64

	deadUntil, pausedUntil time.Time // zero while running
	heldEffects            []func()  // effects that a pause delayed before they were sent
}

type delayedEvent struct {
	at    time.Time
	event Event
}

func newSimulation(settings scenario) *simulation {
	if settings.pauseDuration == 0 {
		settings.pauseDuration = shortPause
	}
	startedAt := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	sim := &simulation{
		scenario: settings, startedAt: startedAt, now: startedAt, leaseDeadlines: map[store.LeaseID]time.Time{},
		executedOperations: map[string]bool{}, config: policy.Example("orders", "spare"),
	}
	sim.config.Exceptions = []policy.Exception{{Scope: "pool/spare", Field: "min_serving_share", Value: 0.5, Reason: "lent"}}
	for i := range sim.pages {
		sim.pages[i] = placement.StoredPage{Page: placement.Page{Index: i}}
	}
	for i := range 6 {
		pool := "orders"
		if i >= 4 {
			pool = "spare"
		}
		sim.workers = append(sim.workers, &simWorker{Worker: infra.Worker{
			ID: fmt.Sprintf("w%d", i+1), AvailabilityZone: fmt.Sprintf("az%d", i%3+1), Rack: fmt.Sprintf("r%d", i%3+1), Pool: pool,
			Status: infra.WorkerLive, BootID: 1, Cores: 8, MemoryMB: 1024,
		}})
	}
	sim.check(invariant.ConfigStored{Document: &sim.config})
	for i := range 2 {
		process := &simProcess{simulation: sim, name: fmt.Sprintf("c%d", i)}
		process.start()
		sim.processes = append(sim.processes, process)
	}
	return sim
}

func (sim *simulation) check(observation invariant.Observation) {
	program := invariant.Program()
	program.Step(&sim.checker, engine.Tick{Now: sim.now}, observation)
	sim.checker.Violations.Drain(func(v invariant.Violation) { sim.violations = append(sim.violations, v) })
}

// step advances the clock by one tick.
func (sim *simulation) step() {
	sim.now = sim.now.Add(simTick)
	sim.runPendingEffects()
	if sim.leader.Revision != 0 && !sim.now.Before(sim.leaseDeadlines[sim.leaderLease]) {
		sim.leader = store.Value{}
		sim.revision++
	}
	for _, worker := range sim.workers {
		worker.advance(sim.now)
	}
	sim.gateway.step(sim)
	for _, process := range sim.processes {
		process.step()
	}
	for _, worker := range sim.workers {
		sim.check(invariant.TargetCounted{Worker: worker.ID, Received: worker.received, Cut: worker.cut})
	}
}

func (sim *simulation) runPendingEffects() {
	var left []pendingEffect
	due := sim.pendingEffects
	sim.pendingEffects = nil
	for _, effect := range due {
		if sim.now.Before(effect.at) {
			left = append(left, effect)
			continue
		}
		effect.run()
	}
	sim.pendingEffects = append(left, sim.pendingEffects...)
}

func (sim *simulation) schedule(after time.Duration, run func()) {
	sim.pendingEffects = append(sim.pendingEffects, pendingEffect{sim.now.Add(after), run})
}

// writeFleet executes a compare-and-swap in the store.
func (sim *simulation) writeFleet(e WriteFleet) (store.Revision, bool) {
	if e.Revision != sim.fleet.Revision {
		return 0, false
	}
	sim.revision++
	sim.fleet.Revision, sim.document = sim.revision, e.Document
	document := e.Document
	sim.check(invariant.FleetStored{Document: &document})
	return sim.revision, true
}

func (sim *simulation) claim(process *simProcess, e ClaimLeader) (store.Revision, bool) {
	if sim.leader.Revision != 0 || !sim.now.Before(sim.leaseDeadlines[e.Lease]) {
		return 0, false
	}
	sim.revision++
	sim.leader.Revision, sim.leaderIdentity, sim.leaderLease = sim.revision, process.state.View.Self, e.Lease
	return sim.revision, true
}

func (sim *simulation) writePage(e placement.WritePage) placement.PageResult {
	result := placement.PageResult{Index: e.Page.Index, WriteID: e.WriteID, Result: placement.WriteConflict}
	if page := &sim.pages[e.Page.Index]; page.Revision == e.Revision {
		sim.revision++
		*page = placement.StoredPage{Page: e.Page, Revision: int64(sim.revision), WriteID: e.WriteID}
		result.Result, result.Revision = placement.WriteCommitted, page.Revision
	}
	return result
}

func (sim *simulation) findWorker(id string) *simWorker {
	for _, worker := range sim.workers {
		if worker.ID == id {
			return worker
		}
	}
	return nil
}

// executeCall executes an operation of the platform, once for each operation ID.
func (sim *simulation) executeCall(call fleet.Call) error {
	worker := sim.findWorker(call.Worker)
	if sim.executedOperations[call.OperationID] {
		return nil
	}
	draining := worker.Status == infra.WorkerDraining
	switch {
	case call.Kind == fleet.CallDrain && worker.Status == infra.WorkerLive:
		worker.Status = infra.WorkerDraining
	case call.Kind == fleet.CallDrain && draining:
	case call.Kind == fleet.CallUndrain && (draining || worker.Status == infra.WorkerLive):
		worker.Status = infra.WorkerLive
	case call.Kind == fleet.CallAssign && draining:
		worker.Pool = call.Pool
	case call.Kind == fleet.CallReboot && draining:
		worker.Status, worker.rebootEndsAt = infra.WorkerRebooting, sim.now.Add(simRebootTime)
		worker.cut += len(worker.requestsInFlight)
		worker.requestsInFlight = nil
	default:
		return infra.ErrRejected
	}
	sim.executedOperations[call.OperationID], worker.Operation = true, call.OperationID
	sim.check(invariant.OperationExecuted{Worker: call.Worker, Kind: string(call.Kind), Operation: call.OperationID})
	return nil
}

func (worker *simWorker) advance(now time.Time) {
	if worker.Status == infra.WorkerRebooting && !now.Before(worker.rebootEndsAt) {
		worker.Status = infra.WorkerDraining
		worker.BootID++
	}
	for len(worker.requestsInFlight) > 0 && !now.Before(worker.requestsInFlight[0]) {
		worker.requestsInFlight = worker.requestsInFlight[1:]
	}
	worker.Requests = len(worker.requestsInFlight)
}
