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

// Times of the world in which controllers are stepped.
const (
	worldTick = 100 * time.Millisecond
	// renewPause is that of a lease of which every other renewal fails.
	renewPause  = 2900 * time.Millisecond
	worldReboot = time.Second
	// lateEffect is how long a delayed platform call or store write is on its
	// way, close to callSettle.
	lateEffect = 3900 * time.Millisecond
	restart    = 3 * time.Second  // of a killed controller
	shortPause = 8 * time.Second  // longer than the controller's lease
	longPause  = 25 * time.Second // longer than the takeover by a successor and its first steps
)

// mode says what happens at one effect of a controller.
type mode string

const (
	killBefore  mode = "killed before"
	killAfter   mode = "killed after"
	pauseBefore mode = "paused before"
	pauseAfter  mode = "paused after"
	answerLost  mode = "answer lost"
	delayed     mode = "delayed in transit"
	killDelayed mode = "killed, delayed in transit"
	notSent     mode = "not sent"
)

var modes = []mode{killBefore, killAfter, pauseBefore, pauseAfter, answerLost, delayed, killDelayed, notSent}

// story is what happens in a world.
type story struct {
	faults map[int]mode  // by effect number
	phase  time.Duration // of the renewals of leases
	// abortAt is when an operator returns both workers, zero for never.
	abortAt time.Duration
	pause   time.Duration // zero means shortPause
}

// world is the store, the platform, a gateway with its traffic and two
// controllers, all under one clock. Effects are numbered over all controllers.
type world struct {
	story
	began    time.Time
	now      time.Time
	effects  int
	names    []string // of the effects, for messages
	revision store.Revision
	fleet    store.Value
	document fleet.Document
	leader   store.Value
	identity node.Identity
	lease    store.LeaseID // under which the leader key was written
	leases   map[store.LeaseID]time.Time
	pages    [placement.PageCount]placement.StoredPage
	workers  []*worldWorker
	executed map[string]bool // operation IDs
	pending  []pendingEffect
	gateway  worldGateway
	sims     []*sim
	config   policy.Document
	checker  invariant.State
	found    []invariant.Violation
}

type worldWorker struct {
	infra.Worker
	rebooted      time.Time   // end of the reboot
	busy          []time.Time // ends of the requests in flight
	received, cut int
}

type pendingEffect struct {
	at  time.Time
	run func()
}

// sim is one controller process.
type sim struct {
	world   *world
	name    string
	starts  int
	state   *State
	program engine.Program[State, Event]
	inbox   []Event
	delayed []delayedEvent
	lease   store.LeaseID
	until   time.Time // local deadline of the lease
	renewAt time.Time
	seen    store.Revision
	seq     uint64

	dead, paused time.Time // until then; zero while running
	frozen       []func()  // effects that a pause caught before they were sent
}

type delayedEvent struct {
	at    time.Time
	event Event
}

func newWorld(told story) *world {
	if told.pause == 0 {
		told.pause = shortPause
	}
	began := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	w := &world{
		story: told, began: began, now: began, leases: map[store.LeaseID]time.Time{},
		executed: map[string]bool{}, config: policy.Example("orders", "spare"),
	}
	w.config.Exceptions = []policy.Exception{{Scope: "pool/spare", Field: "min_serving_share", Value: 0.5, Reason: "lent"}}
	for i := range w.pages {
		w.pages[i] = placement.StoredPage{Page: placement.Page{Index: i}}
	}
	for i := range 6 {
		pool := "orders"
		if i >= 4 {
			pool = "spare"
		}
		w.workers = append(w.workers, &worldWorker{Worker: infra.Worker{
			ID: fmt.Sprintf("w%d", i+1), AvailabilityZone: fmt.Sprintf("az%d", i%3+1), Rack: fmt.Sprintf("r%d", i%3+1), Pool: pool,
			Status: infra.WorkerLive, BootID: 1, Cores: 8, MemoryMB: 1024,
		}})
	}
	w.see(invariant.ConfigStored{Document: &w.config})
	for i := range 2 {
		s := &sim{world: w, name: fmt.Sprintf("c%d", i)}
		s.begin()
		w.sims = append(w.sims, s)
	}
	return w
}

func (w *world) see(observation invariant.Observation) {
	program := invariant.Program()
	program.Step(&w.checker, engine.Tick{Now: w.now}, observation)
	w.checker.Violations.Drain(func(v invariant.Violation) { w.found = append(w.found, v) })
}

// step moves the clock by one tick.
func (w *world) step() {
	w.now = w.now.Add(worldTick)
	w.runPending()
	if w.leader.Revision != 0 && !w.now.Before(w.leases[w.lease]) {
		w.leader = store.Value{}
		w.revision++
	}
	for _, worker := range w.workers {
		worker.advance(w.now)
	}
	w.gateway.step(w)
	for _, s := range w.sims {
		s.step()
	}
	for _, worker := range w.workers {
		w.see(invariant.TargetCounted{Worker: worker.ID, Received: worker.received, Cut: worker.cut})
	}
}

func (w *world) runPending() {
	var left []pendingEffect
	due := w.pending
	w.pending = nil
	for _, effect := range due {
		if w.now.Before(effect.at) {
			left = append(left, effect)
			continue
		}
		effect.run()
	}
	w.pending = append(left, w.pending...)
}

func (w *world) later(after time.Duration, run func()) {
	w.pending = append(w.pending, pendingEffect{w.now.Add(after), run})
}

// writeFleet is the compare-and-swap of the store.
func (w *world) writeFleet(e WriteFleet) (store.Revision, bool) {
	if e.Revision != w.fleet.Revision {
		return 0, false
	}
	w.revision++
	w.fleet.Revision, w.document = w.revision, e.Document
	document := e.Document
	w.see(invariant.FleetStored{Document: &document})
	return w.revision, true
}

func (w *world) claim(s *sim, e ClaimLeader) (store.Revision, bool) {
	if w.leader.Revision != 0 || !w.now.Before(w.leases[e.Lease]) {
		return 0, false
	}
	w.revision++
	w.leader.Revision, w.identity, w.lease = w.revision, s.state.View.Self, e.Lease
	return w.revision, true
}

func (w *world) writePage(e placement.WritePage) placement.PageResult {
	result := placement.PageResult{Index: e.Page.Index, WriteID: e.WriteID, Result: placement.WriteConflict}
	if page := &w.pages[e.Page.Index]; page.Revision == e.Revision {
		w.revision++
		*page = placement.StoredPage{Page: e.Page, Revision: int64(w.revision), WriteID: e.WriteID}
		result.Result, result.Revision = placement.WriteCommitted, page.Revision
	}
	return result
}

func (w *world) worker(id string) *worldWorker {
	for _, worker := range w.workers {
		if worker.ID == id {
			return worker
		}
	}
	return nil
}

// call executes an operation of the platform, once for each ID.
func (w *world) call(call fleet.Call) error {
	worker := w.worker(call.Worker)
	if w.executed[call.OperationID] {
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
		worker.Status, worker.rebooted = infra.WorkerRebooting, w.now.Add(worldReboot)
		worker.cut += len(worker.busy)
		worker.busy = nil
	default:
		return infra.ErrRejected
	}
	w.executed[call.OperationID], worker.Operation = true, call.OperationID
	w.see(invariant.OperationExecuted{Worker: call.Worker, Kind: string(call.Kind), Operation: call.OperationID})
	return nil
}

func (r *worldWorker) advance(now time.Time) {
	if r.Status == infra.WorkerRebooting && !now.Before(r.rebooted) {
		r.Status = infra.WorkerDraining
		r.BootID++
	}
	for len(r.busy) > 0 && !now.Before(r.busy[0]) {
		r.busy = r.busy[1:]
	}
	r.Requests = len(r.busy)
}
