// Package target is the stand-in for the targets on the workers: HTTP servers
// with few slots and connections, refusals as the protocol describes them,
// counters of executions and fault switches. Many targets run in one process,
// each on its own address.
//
// Targets, requests in flight and execution counters are tables that one loop
// owns; HTTP handlers ask it for a slot and report the end of their answer.
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

// ServiceTime is the distribution of the time that a request takes unless it
// asks for another with ?ms=.
type ServiceTime struct {
	Mean        time.Duration
	Exponential bool // otherwise every request takes the mean
}

// maxExponential bounds a drawn time to this multiple of the mean.
const maxExponential = 20

func (t ServiceTime) draw(random *rand.Rand) time.Duration {
	if !t.Exponential {
		return t.Mean
	}
	return time.Duration(min(random.ExpFloat64(), maxExponential) * float64(t.Mean))
}

// Spec names a target and its address; an empty address picks a free port of loopback.
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
	Seed        uint64 // of the service times
}

// Group is a set of running targets. Its control methods have the form of the
// platform stand-in's TargetControl.
type Group struct {
	options Options
	loop    *engine.Loop[state, event]
	servers map[string]*server // by worker; not changed after the start
	running context.Context    // ends with Close
	stop    context.CancelFunc
	work    sync.WaitGroup
}

// server is the I/O side of a target.
type server struct {
	group       *Group
	id          table.ID
	worker      string
	web         *listen.Server
	connections atomic.Int64
}

// Start starts the targets. Close ends them.
func Start(options Options) (*Group, error) {
	if options.Slots <= 0 {
		options.Slots = DefaultSlots
	}
	if options.Connections <= 0 {
		options.Connections = DefaultConnections
	}
	g := &Group{options: options, servers: make(map[string]*server, len(options.Targets))}
	g.running, g.stop = context.WithCancel(context.Background())
	s := &state{service: options.Service, random: rand.New(rand.NewPCG(options.Seed, 0))}
	g.loop = engine.NewLoop(program(), s, inboxSize)
	// All rows exist before the first server answers.
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
	g.work.Go(func() { g.loop.Run(g.running) })
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
	s.verdicts.Drain(func(row verdictRow) { row.answer <- row.verdict })
	s.signals.Drain(func(done chan struct{}) { close(done) })
}

func (g *Group) add(s *state, spec Spec) error {
	if _, exists := g.servers[spec.Worker]; exists {
		return errors.Newf("two targets for worker %s", spec.Worker)
	}
	id := s.targets.Insert(targetRow{Status: Status{Worker: spec.Worker}, slots: g.options.Slots})
	g.servers[spec.Worker] = &server{group: g, id: id, worker: spec.Worker}
	return nil
}

// listen starts the server of a target. The loop does not run yet.
func (g *Group) listen(s *state, spec Spec) error {
	if spec.Listen == "" {
		spec.Listen = "127.0.0.1:0"
	}
	target := g.servers[spec.Worker]
	web, err := listen.Start(spec.Listen, target.configure)
	if err != nil {
		return errors.Newf("target of worker %s: %w", spec.Worker, err)
	}
	target.web = web
	s.targets.Get(target.id).Address = web.Address()
	return nil
}

// Close ends the targets and cuts their connections.
func (g *Group) Close() {
	g.stop()
	for _, target := range g.servers {
		if target.web != nil {
			target.web.Close()
		}
	}
	g.work.Wait()
}

// Address returns the address of a worker's target, or an empty text.
func (g *Group) Address(worker string) string {
	if target, ok := g.servers[worker]; ok {
		return target.web.Address()
	}
	return ""
}

func (g *Group) control(ctx context.Context, change func(*state)) error {
	event := controlEvent{change: change, done: make(chan struct{})}
	if err := g.loop.Post(ctx, event); err != nil {
		return err
	}
	select {
	case <-event.done:
		return nil
	case <-g.running.Done():
		return g.running.Err()
	}
}

func (g *Group) change(ctx context.Context, worker string, change func(*state, table.ID)) error {
	target, ok := g.servers[worker]
	if !ok {
		return errors.Newf("no target on worker %s", worker)
	}
	return g.control(ctx, func(s *state) { change(s, target.id) })
}

// SetDraining makes a target refuse new requests, or accept them again.
func (g *Group) SetDraining(ctx context.Context, worker string, draining bool) error {
	return g.change(ctx, worker, func(s *state, id table.ID) { s.targets.Get(id).Draining = draining })
}

// SetDown stops a target, which closes its port and cuts its connections, or
// starts it again on the same port.
func (g *Group) SetDown(ctx context.Context, worker string, down bool) error {
	if down {
		if err := g.change(ctx, worker, (*state).stop); err != nil {
			return err
		}
		return g.servers[worker].web.SetDown(ctx, true)
	}
	if err := g.change(ctx, worker, func(s *state, id table.ID) { s.targets.Get(id).Down = false }); err != nil {
		return err
	}
	return g.servers[worker].web.SetDown(ctx, false)
}

// SetFaults replaces the faults of a target, or of all targets if worker is empty.
func (g *Group) SetFaults(ctx context.Context, worker string, faults Faults) error {
	if worker != "" {
		return g.change(ctx, worker, func(s *state, id table.ID) { s.targets.Get(id).Faults = faults })
	}
	return g.control(ctx, func(s *state) {
		for _, row := range s.targets.All() {
			row.Faults = faults
		}
	})
}

// InFlight returns the number of requests that hold a slot of the target.
func (g *Group) InFlight(ctx context.Context, worker string) (int, error) {
	count := 0
	err := g.change(ctx, worker, func(s *state, id table.ID) { count = s.targets.Get(id).InFlight })
	return count, err
}

// InFlightByWorker returns the numbers of requests in flight by worker.
func (g *Group) InFlightByWorker(ctx context.Context) (map[string]int, error) {
	counts := make(map[string]int, len(g.servers))
	err := g.control(ctx, func(s *state) {
		for _, row := range s.targets.All() {
			counts[row.Worker] = row.InFlight
		}
	})
	return counts, err
}

// Status returns the state of all targets in the order of their specs.
func (g *Group) Status(ctx context.Context) ([]Status, error) {
	var statuses []Status
	err := g.control(ctx, func(s *state) {
		for _, row := range s.targets.All() {
			statuses = append(statuses, row.Status)
		}
	})
	for i := range statuses {
		statuses[i].Connections = int(g.servers[statuses[i].Worker].connections.Load())
	}
	return statuses, err
}

// Executions returns the requests and keys that were executed at least this often.
func (g *Group) Executions(ctx context.Context, atLeast int) (Executions, error) {
	var executions Executions
	err := g.control(ctx, func(s *state) { executions = s.countsAtLeast(atLeast) })
	return executions, err
}
