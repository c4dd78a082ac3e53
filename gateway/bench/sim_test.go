package bench

import (
	"math"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/gateway/traffic"
	"github.com/waxwingbridge/waxwingbridge/policy"
	"github.com/waxwingbridge/waxwingbridge/routing"
	"github.com/waxwingbridge/waxwingbridge/table"
)

const (
	simPool    = "orders"
	hopLatency = 500 * time.Microsecond // one way between gateway and target
)

// mode is how a simulated target behaves.
type mode int

const (
	healthy      mode = iota
	failsFast         // executes and answers 500 at once
	breaks            // executes and breaks the connection
	drops             // breaks the connection without executing
	truncates         // executes and cuts the answer short
	unreachable       // no connection is made
	refusesFull       // refuses every request
	refusesDrain      // refuses as draining
	hangs             // executes and never answers
	foreign           // executes and answers with another attempt ID
	modeCount
)

// simTarget is a stand-in for a target with slots.
type simTarget struct {
	mode       mode
	slots      int
	running    int
	requests   int
	refused    int
	executions map[string]int // by request ID
}

type simEvent struct{ run func() }

// world drives the systems of several gateways with a fake clock. Events of
// equal time run in the order in which they were added.
type world struct {
	start, now time.Time
	events     table.Table[simEvent]
	agenda     table.Heap[time.Time]
	random     *rand.Rand
	targets    map[string]*simTarget
	gateways   []*simGateway
	service    func(*traffic.Message) time.Duration
	busy       float64 // slot seconds in use, for slot use
	busySince  time.Time
}

// simGateway is one shard with its effects.
type simGateway struct {
	world    *world
	source   atomic.Pointer[traffic.Snapshot]
	state    *traffic.State
	program  engine.Program[traffic.State, traffic.Event]
	seq      uint64
	flights  map[table.ID]*flight
	sends    int
	sent     map[string]int // by request ID
	results  map[string][]traffic.Result
	demand   int
	onResult func(*traffic.Submission, traffic.Result)
}

type flight struct {
	done bool
	end  func(traffic.AttemptStatus, *traffic.Response)
}

func newWorld(seed uint64) *world {
	start := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	return &world{
		start: start, now: start, busySince: start, targets: map[string]*simTarget{},
		random:  rand.New(rand.NewPCG(seed, 1)),
		service: func(*traffic.Message) time.Duration { return 50 * time.Millisecond },
	}
}

func (w *world) at(delay time.Duration, run func()) {
	w.agenda.Put(w.events.Insert(simEvent{run: run}), w.now.Add(delay))
}

// exponential draws a time with the given mean.
func (w *world) exponential(mean time.Duration) time.Duration {
	return time.Duration(-math.Log(1-w.random.Float64()) * float64(mean))
}

func (w *world) addTarget(name string, mode mode) {
	w.targets[name] = &simTarget{mode: mode, slots: 8, executions: map[string]int{}}
}

func (w *world) addGateway(chooser routing.Chooser, snapshot *traffic.Snapshot) *simGateway {
	g := &simGateway{world: w, flights: map[table.ID]*flight{}, sent: map[string]int{}, results: map[string][]traffic.Result{}}
	g.source.Store(snapshot)
	g.state = traffic.NewState(traffic.Config{Source: &g.source, Seed: w.random.Uint64(), Chooser: chooser})
	g.program = traffic.Program(g)
	w.gateways = append(w.gateways, g)
	g.step(traffic.Published{})
	return g
}

// run advances the clock until the given time since the start.
func (w *world) run(until time.Duration) {
	end := w.start.Add(until)
	for {
		next, gateway := w.next()
		if next.IsZero() || next.After(end) {
			w.now = end
			return
		}
		w.now = next
		if gateway != nil {
			gateway.step()
			continue
		}
		id, _, _ := w.agenda.Min()
		event := w.events.Get(id).run
		w.agenda.Remove(id)
		w.events.Delete(id)
		event()
	}
}

func (w *world) next() (time.Time, *simGateway) {
	next := w.agenda.MinPriority()
	var due *simGateway
	for _, g := range w.gateways {
		if at := g.program.NextDeadline(g.state); !at.IsZero() && (next.IsZero() || at.Before(next)) {
			next, due = at, g
		}
	}
	if next.Before(w.now) && !next.IsZero() {
		next = w.now
	}
	return next, due
}

func (g *simGateway) step(events ...traffic.Event) {
	g.seq++
	g.program.Step(g.state, engine.Tick{Now: g.world.now, Seq: g.seq}, events...)
}

// submit hands in a request with the given ID.
func (g *simGateway) submit(id, tenant string, class routing.Class, idempotent bool, timeout time.Duration) *traffic.Submission {
	submission := &traffic.Submission{
		RequestID: id, Pool: simPool, Tenant: tenant, Class: class, Timeout: timeout, Idempotent: idempotent,
		Message: &traffic.Message{Method: "POST", Path: "/" + class.String(), Headers: traffic.Headers{}},
	}
	g.step(&traffic.Arrived{Submission: submission})
	return submission
}

// Send implements traffic.Performer.
func (g *simGateway) Send(send traffic.Send) {
	g.sends++
	g.sent[send.RequestID]++
	f := &flight{}
	f.end = func(ending traffic.AttemptStatus, answer *traffic.Response) {
		if f.done {
			return
		}
		f.done = true
		delete(g.flights, send.Attempt)
		g.step(&traffic.Finished{Attempt: send.Attempt, Status: ending, Response: answer})
	}
	g.flights[send.Attempt] = f
	g.world.at(hopLatency, func() { g.world.deliver(f, send) })
}

// deliver lets the target act on a request that has reached it.
func (w *world) deliver(f *flight, send traffic.Send) {
	target := w.targets[send.Address]
	target.requests++
	reply := func(ending traffic.AttemptStatus, answer *traffic.Response) {
		w.at(hopLatency, func() { f.end(ending, answer) })
	}
	switch {
	case target.mode == unreachable:
		reply(traffic.NotSent, nil)
		return
	case target.mode == drops:
		reply(traffic.ConnectionLost, nil)
		return
	case target.mode == refusesDrain:
		reply(traffic.RefusedDraining, nil)
		return
	case target.mode == refusesFull || target.running >= target.slots:
		target.refused++
		reply(traffic.RefusedFull, nil)
		return
	}
	target.executions[send.RequestID]++
	switch target.mode {
	case failsFast:
		reply(traffic.ResponseReceived, &traffic.Response{StatusCode: 500})
	case breaks:
		reply(traffic.ConnectionLost, nil)
	case truncates:
		reply(traffic.ResponseTruncated, nil)
	case foreign:
		reply(traffic.ResponseMismatch, nil)
	default:
		w.occupy(target, 1)
		w.at(w.service(send.Message), func() {
			w.occupy(target, -1)
			if target.mode != hangs {
				reply(traffic.ResponseReceived, &traffic.Response{StatusCode: 200})
			}
		})
	}
}

// occupy changes the slots in use of a target and adds up the slot time.
func (w *world) occupy(target *simTarget, change int) {
	w.settleBusy()
	target.running += change
}

func (w *world) settleBusy() {
	running := 0
	for _, target := range w.targets {
		running += target.running
	}
	w.busy += float64(running) * w.now.Sub(w.busySince).Seconds()
	w.busySince = w.now
}

// Abort implements traffic.Performer. A request that already left still reaches
// its target.
func (g *simGateway) Abort(attempt table.ID) {
	if f := g.flights[attempt]; f != nil {
		g.world.at(0, func() { f.end(traffic.ConnectionLost, nil) })
	}
}

// Reply implements traffic.Performer.
func (g *simGateway) Reply(reply traffic.Reply) {
	g.results[reply.Submission.RequestID] = append(g.results[reply.Submission.RequestID], reply.Result)
	if g.onResult != nil {
		g.onResult(reply.Submission, reply.Result)
	}
}

// Discard implements traffic.Performer.
func (g *simGateway) Discard(*traffic.Response) {}

// Log implements traffic.Performer.
func (g *simGateway) Log(traffic.LogEntry) {}

// Report implements traffic.Performer.
func (g *simGateway) Report(report traffic.Report) {
	for _, demand := range report.Demand {
		g.demand = demand.Requests
	}
}

// snapshot lists the named targets as usable.
func (w *world) snapshot(gateways int, change func(*policy.Document), targets ...string) *traffic.Snapshot {
	doc := policy.Example(simPool, "spare")
	doc.Defaults.Tenant.RequestsPerSecond, doc.Defaults.Tenant.Burst, doc.Defaults.Tenant.Concurrency = 1e5, 1e5, 1e5
	if change != nil {
		change(&doc)
	}
	snapshot := &traffic.Snapshot{
		Version: 1, Policy: policy.Resolve(&doc, w.now), FreshUntil: w.now.Add(time.Hour), LiveGateways: gateways,
		AvailabilityZone: "a",
	}
	for i, name := range targets {
		snapshot.Targets = append(snapshot.Targets, traffic.Target{
			Worker: name, Pool: simPool, Address: name, AvailabilityZone: string(rune('a' + i%3)), Usable: true, ServiceEpoch: 1,
		})
	}
	return snapshot
}
