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

// mode is the behavior of a simulated target.
type mode int

const (
	healthy          mode = iota
	failsFast             // executes and responds with 500 immediately
	breaksConnection      // executes and closes the connection
	dropsConnection       // closes the connection without executing
	truncates             // executes and truncates the response
	unreachable           // accepts no connection
	refusesFull           // refuses every request
	refusesDraining       // refuses as draining
	neverResponds         // executes and never responds
	mismatches            // executes and responds with another attempt ID
	modeCount
)

// simTarget is a simulated target.
type simTarget struct {
	mode       mode
	slots      int
	running    int
	requests   int
	refused    int
	executions map[string]int // by request ID
}

type simEvent struct{ run func() }

// simulation runs several gateways with a fake clock. Events with the same time run
// in the order in which they were added.
type simulation struct {
	start, now    time.Time
	events        table.Table[simEvent]
	schedule      table.Heap[time.Time]
	random        *rand.Rand
	targets       map[string]*simTarget
	gateways      []*simGateway
	service       func(*traffic.Message) time.Duration
	slotSeconds   float64 // sum of the occupied slot time
	slotSecondsAt time.Time
}

// simGateway is a gateway with one shard. It is the Performer of the shard.
type simGateway struct {
	sim        *simulation
	source     atomic.Pointer[traffic.Snapshot]
	state      *traffic.State
	program    engine.Program[traffic.State, traffic.Event]
	seq        uint64
	roundTrips map[table.ID]*roundTrip
	sends      int
	sent       map[string]int // by request ID
	results    map[string][]traffic.Result
	demand     int
	onResult   func(*traffic.Submission, traffic.Result)
}

type roundTrip struct {
	done bool
	end  func(traffic.AttemptStatus, *traffic.Response)
}

func newSimulation(seed uint64) *simulation {
	start := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	return &simulation{
		start: start, now: start, slotSecondsAt: start, targets: map[string]*simTarget{},
		random:  rand.New(rand.NewPCG(seed, 1)),
		service: func(*traffic.Message) time.Duration { return 50 * time.Millisecond },
	}
}

func (sim *simulation) after(delay time.Duration, run func()) {
	sim.schedule.Put(sim.events.Insert(simEvent{run: run}), sim.now.Add(delay))
}

// exponential returns an exponentially distributed time with the given mean.
func (sim *simulation) exponential(mean time.Duration) time.Duration {
	return time.Duration(-math.Log(1-sim.random.Float64()) * float64(mean))
}

func (sim *simulation) addTarget(name string, mode mode) {
	sim.targets[name] = &simTarget{mode: mode, slots: 8, executions: map[string]int{}}
}

func (sim *simulation) addGateway(chooser routing.Chooser, snapshot *traffic.Snapshot) *simGateway {
	g := &simGateway{sim: sim, roundTrips: map[table.ID]*roundTrip{}, sent: map[string]int{}, results: map[string][]traffic.Result{}}
	g.source.Store(snapshot)
	g.state = traffic.NewState(traffic.Config{Source: &g.source, Seed: sim.random.Uint64(), Chooser: chooser})
	g.program = traffic.Program(g)
	sim.gateways = append(sim.gateways, g)
	g.step(traffic.Published{})
	return g
}

// run advances the clock until the given time since the start.
func (sim *simulation) run(until time.Duration) {
	end := sim.start.Add(until)
	for {
		next, gateway := sim.next()
		if next.IsZero() || next.After(end) {
			sim.now = end
			return
		}
		sim.now = next
		if gateway != nil {
			gateway.step()
			continue
		}
		id, _, _ := sim.schedule.Min()
		event := sim.events.Get(id).run
		sim.schedule.Remove(id)
		sim.events.Delete(id)
		event()
	}
}

func (sim *simulation) next() (time.Time, *simGateway) {
	next := sim.schedule.MinPriority()
	var due *simGateway
	for _, g := range sim.gateways {
		if at := g.program.NextDeadline(g.state); !at.IsZero() && (next.IsZero() || at.Before(next)) {
			next, due = at, g
		}
	}
	if next.Before(sim.now) && !next.IsZero() {
		next = sim.now
	}
	return next, due
}

func (g *simGateway) step(events ...traffic.Event) {
	g.seq++
	g.program.Step(g.state, engine.Tick{Now: g.sim.now, Seq: g.seq}, events...)
}

// submit submits a request with the given ID.
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
	f := &roundTrip{}
	f.end = func(status traffic.AttemptStatus, response *traffic.Response) {
		if f.done {
			return
		}
		f.done = true
		delete(g.roundTrips, send.Attempt)
		g.step(&traffic.Finished{Attempt: send.Attempt, Status: status, Response: response})
	}
	g.roundTrips[send.Attempt] = f
	g.sim.after(hopLatency, func() { g.sim.deliver(f, send) })
}

// deliver processes a request that has reached its target.
func (sim *simulation) deliver(f *roundTrip, send traffic.Send) {
	target := sim.targets[send.Address]
	target.requests++
	reply := func(status traffic.AttemptStatus, response *traffic.Response) {
		sim.after(hopLatency, func() { f.end(status, response) })
	}
	switch {
	case target.mode == unreachable:
		reply(traffic.NotSent, nil)
		return
	case target.mode == dropsConnection:
		reply(traffic.ConnectionLost, nil)
		return
	case target.mode == refusesDraining:
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
	case breaksConnection:
		reply(traffic.ConnectionLost, nil)
	case truncates:
		reply(traffic.ResponseTruncated, nil)
	case mismatches:
		reply(traffic.ResponseMismatch, nil)
	default:
		sim.changeRunning(target, 1)
		sim.after(sim.service(send.Message), func() {
			sim.changeRunning(target, -1)
			if target.mode != neverResponds {
				reply(traffic.ResponseReceived, &traffic.Response{StatusCode: 200})
			}
		})
	}
}

// changeRunning changes the number of occupied slots of a target.
func (sim *simulation) changeRunning(target *simTarget, change int) {
	sim.accrueSlotSeconds()
	target.running += change
}

func (sim *simulation) accrueSlotSeconds() {
	running := 0
	for _, target := range sim.targets {
		running += target.running
	}
	sim.slotSeconds += float64(running) * sim.now.Sub(sim.slotSecondsAt).Seconds()
	sim.slotSecondsAt = sim.now
}

// Abort implements traffic.Performer. A request that was already sent still reaches
// its target.
func (g *simGateway) Abort(attempt table.ID) {
	if f := g.roundTrips[attempt]; f != nil {
		g.sim.after(0, func() { f.end(traffic.ConnectionLost, nil) })
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

// snapshot returns a snapshot in which the named targets are usable.
func (sim *simulation) snapshot(gateways int, change func(*policy.Document), targets ...string) *traffic.Snapshot {
	doc := policy.Example(simPool, "spare")
	doc.Defaults.Tenant.RequestsPerSecond, doc.Defaults.Tenant.Burst, doc.Defaults.Tenant.Concurrency = 1e5, 1e5, 1e5
	if change != nil {
		change(&doc)
	}
	snapshot := &traffic.Snapshot{
		Version: 1, Policy: policy.Resolve(&doc, sim.now), FreshUntil: sim.now.Add(time.Hour), LiveGateways: gateways,
		AvailabilityZone: "a",
	}
	for i, name := range targets {
		snapshot.Targets = append(snapshot.Targets, traffic.Target{
			Worker: name, Pool: simPool, Address: name, AvailabilityZone: string(rune('a' + i%3)), Usable: true, ServiceEpoch: 1,
		})
	}
	return snapshot
}
