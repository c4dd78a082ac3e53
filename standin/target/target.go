// Package target implements stand-ins for the targets on the workers: HTTP
// servers with limited slots and connections, refusals as the protocol defines
// them, execution counters and fault injection. Many targets run in one process,
// each on its own address.
//
// Targets, requests in flight and execution counters are tables owned by
// one loop. HTTP handlers request a slot from it and report when their response
// has been written.
package target

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/standin/listen"
	"github.com/waxwingbridge/waxwingbridge/table"
)

// Defaults of Options.
const (
	DefaultSlots       = 8
	DefaultConnections = 64
)

const inboxSize = 4096

// ServiceTime is the distribution of service times. A request can override it
// with ?ms=.
type ServiceTime struct {
	Mean        time.Duration
	Exponential bool // otherwise every service time is the mean
}

// maxServiceTimeFactor limits an exponential service time to this multiple of the mean.
const maxServiceTimeFactor = 20

func (t ServiceTime) sample(random *rand.Rand) time.Duration {
	if !t.Exponential {
		return t.Mean
	}
	return time.Duration(min(random.ExpFloat64(), maxServiceTimeFactor) * float64(t.Mean))
}

// Spec gives the worker and listen address of a target. An empty address selects
// a free port on loopback.
type Spec struct {
	Worker string
	Listen string
}

// Options configure a Group.
type Options struct {
	Targets     []Spec
	Slots       int
	Connections int
	Service     ServiceTime
	Seed        uint64 // seed of the service times
}

// Group is a set of running targets. It implements TargetControl of the platform
// stand-in.
type Group struct {
	options    Options
	loop       *engine.Loop[state, event]
	servers    map[string]*server // by worker; read-only after Start
	ctx        context.Context    // cancelled by Close
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
}

// server is the HTTP server of a target; its state is a targetRow.
type server struct {
	group       *Group
	id          table.ID
	worker      string
	httpServer  *listen.Server
	connections atomic.Int64
}

// Start starts the targets. Close stops them.
func Start(options Options) (*Group, error) {
	if options.Slots <= 0 {
		options.Slots = DefaultSlots
	}
	if options.Connections <= 0 {
		options.Connections = DefaultConnections
	}
	g := &Group{options: options, servers: make(map[string]*server, len(options.Targets))}
	g.ctx, g.cancel = context.WithCancel(context.Background())
	s := &state{service: options.Service, random: rand.New(rand.NewPCG(options.Seed, 0))}
	g.loop = engine.NewLoop(program(), s, inboxSize)
	// All rows must exist before the first server accepts requests.
	for _, spec := range options.Targets {
		if err := g.add(s, spec); err != nil {
			return nil, err
		}
	}
	for _, spec := range options.Targets {
		if err := g.listen(s, spec); err != nil {
			g.Close()
			return nil, err
		}
	}
	g.goroutines.Go(func() { g.loop.Run(g.ctx) })
	return g, nil
}

func program() engine.Program[state, event] {
	return engine.Program[state, event]{
		Apply:        func(s *state, _ engine.Tick, e event) { e.apply(s) },
		Systems:      systems(),
		Flush:        flush,
		NextDeadline: func(*state) time.Time { return time.Time{} },
	}
}

func flush(s *state, _ engine.Tick) {
	s.admissions.Drain(func(row admissionRow) { row.reply <- row.admission })
	s.completions.Drain(func(done chan struct{}) { close(done) })
}

func (g *Group) add(s *state, spec Spec) error {
	if _, exists := g.servers[spec.Worker]; exists {
		return errors.Newf("duplicate target for worker %s", spec.Worker)
	}
	id := s.targets.Insert(targetRow{Status: Status{Worker: spec.Worker}, slots: g.options.Slots})
	g.servers[spec.Worker] = &server{group: g, id: id, worker: spec.Worker}
	return nil
}

// listen starts the server of a target. It accesses the state directly, because
// the loop is not running yet.
func (g *Group) listen(s *state, spec Spec) error {
	if spec.Listen == "" {
		spec.Listen = "127.0.0.1:0"
	}
	target := g.servers[spec.Worker]
	httpServer, err := listen.Start(spec.Listen, target.configure)
	if err != nil {
		return errors.Newf("target of worker %s: %w", spec.Worker, err)
	}
	target.httpServer = httpServer
	s.targets.Get(target.id).Address = httpServer.Address()
	return nil
}

// Close stops the targets and closes their connections.
func (g *Group) Close() {
	g.cancel()
	for _, target := range g.servers {
		if target.httpServer != nil {
			target.httpServer.Close()
		}
	}
	g.goroutines.Wait()
}

// Address returns the address of a worker's target, or an empty string
// if the worker has no target.
func (g *Group) Address(worker string) string {
	if target, ok := g.servers[worker]; ok {
		return target.httpServer.Address()
	}
	return ""
}

func (g *Group) runInLoop(ctx context.Context, change func(*state)) error {
	event := controlEvent{change: change, done: make(chan struct{})}
	if err := g.loop.Post(ctx, event); err != nil {
		return err
	}
	select {
	case <-event.done:
		return nil
	case <-g.ctx.Done():
		return g.ctx.Err()
	}
}

func (g *Group) runOnTarget(ctx context.Context, worker string, change func(*state, table.ID)) error {
	target, ok := g.servers[worker]
	if !ok {
		return errors.Newf("no target on worker %s", worker)
	}
	return g.runInLoop(ctx, func(s *state) { change(s, target.id) })
}

// SetDraining makes a target refuse new requests, or accept them again.
func (g *Group) SetDraining(ctx context.Context, worker string, draining bool) error {
	return g.runOnTarget(ctx, worker, func(s *state, id table.ID) { s.targets.Get(id).Draining = draining })
}

// SetDown stops a target, which closes its port and its connections, or restarts
// it on the same port.
func (g *Group) SetDown(ctx context.Context, worker string, down bool) error {
	if down {
		if err := g.runOnTarget(ctx, worker, (*state).stopTarget); err != nil {
			return err
		}
		return g.servers[worker].httpServer.SetDown(ctx, true)
	}
	if err := g.runOnTarget(ctx, worker, func(s *state, id table.ID) { s.targets.Get(id).Down = false }); err != nil {
		return err
	}
	return g.servers[worker].httpServer.SetDown(ctx, false)
}

// SetFaults replaces the faults of a target, or of all targets if worker is empty.
func (g *Group) SetFaults(ctx context.Context, worker string, faults Faults) error {
	if worker != "" {
		return g.runOnTarget(ctx, worker, func(s *state, id table.ID) { s.targets.Get(id).Faults = faults })
	}
	return g.runInLoop(ctx, func(s *state) {
		for _, row := range s.targets.All() {
			row.Faults = faults
		}
	})
}

// InFlight returns the number of requests that hold a slot of the worker's target.
func (g *Group) InFlight(ctx context.Context, worker string) (int, error) {
	count := 0
	err := g.runOnTarget(ctx, worker, func(s *state, id table.ID) { count = s.targets.Get(id).InFlight })
	return count, err
}

// InFlightByWorker returns the number of requests in flight of each target.
func (g *Group) InFlightByWorker(ctx context.Context) (map[string]int, error) {
	counts := make(map[string]int, len(g.servers))
	err := g.runInLoop(ctx, func(s *state) {
		for _, row := range s.targets.All() {
			counts[row.Worker] = row.InFlight
		}
	})
	return counts, err
}

// Status returns the state of all targets in the order of their specs.
func (g *Group) Status(ctx context.Context) ([]Status, error) {
	var statuses []Status
	err := g.runInLoop(ctx, func(s *state) {
		for _, row := range s.targets.All() {
			statuses = append(statuses, row.Status)
		}
	})
	for i := range statuses {
		statuses[i].Connections = int(g.servers[statuses[i].Worker].connections.Load())
	}
	return statuses, err
}

// Executions returns the request IDs and idempotency keys that were executed at
// least the given number of times.
func (g *Group) Executions(ctx context.Context, atLeast int) (Executions, error) {
	var executions Executions
	err := g.runInLoop(ctx, func(s *state) { executions = s.countsAtLeast(atLeast) })
	return executions, err
}
