package main

import (
	"math/rand"
	"time"

	"github.com/waxwingbridge/waxwingbridge/controller"
	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/fleet"
	"github.com/waxwingbridge/waxwingbridge/gateway/control"
	"github.com/waxwingbridge/waxwingbridge/gateway/traffic"
	"github.com/waxwingbridge/waxwingbridge/idempotency"
	"github.com/waxwingbridge/waxwingbridge/membership"
	"github.com/waxwingbridge/waxwingbridge/node"
	"github.com/waxwingbridge/waxwingbridge/peerapi/wirecost"
	"github.com/waxwingbridge/waxwingbridge/placement"
	"github.com/waxwingbridge/waxwingbridge/store"
)

// The simulated periods. The wave starts before the measured period, so that
// its canary is over.
const (
	quantum  = 5 * time.Millisecond // of simulated time; a message takes one
	warmUp   = 30 * time.Second
	waveLead = 40 * time.Second
	measured = 60 * time.Second
)

// site simulates the processes of a site with the store and the platform. Only
// the systems are real; effects are answered after one quantum.
type site struct {
	size        size
	busy        bool
	now         time.Time
	random      *rand.Rand
	processes   []process
	gateways    []*gatewayHost
	controllers []*controllerHost
	byAddress   map[string]process
	pending     map[time.Time][]func()
	machines    *machines

	revision store.Revision
	homes    *idempotency.Homes
	leader   node.LeaderSeen
	fleet    node.FleetSeen
	config   node.ConfigSeen

	tokens  uint64
	waiting map[uint64]process // process that waits for the answer

	nextJob   int
	running   []string
	finished  []string
	pages     []placement.Page    // written in the measured period
	snapshots []*traffic.Snapshot // of the first gateway in the measured period
	counts    map[string]int      // of effects in the measured period
	counting  bool
}

var started = time.Date(2027, 12, 4, 20, 0, 0, 0, time.UTC)

// simulate runs a site. Every gateway of a busy site reports changing demand,
// a wave is in progress and jobs come and go.
func simulate(z size, busy bool) *site {
	s := &site{
		size: z, busy: busy, now: started, random: rand.New(rand.NewSource(1)), byAddress: map[string]process{},
		pending: map[time.Time][]func(){}, machines: newMachines(z), waiting: map[uint64]process{}, counts: map[string]int{},
	}
	for i := range z.gateways + z.controllers {
		s.add(z.identity(i))
	}
	s.config = node.ConfigSeen{Document: z.config(), Revision: s.nextRevision()}
	s.broadcast(s.config)
	s.broadcast(node.LeaderSeen{})
	s.run(warmUp)
	if busy {
		s.startWave()
		s.run(waveLead)
	}
	s.counting = true
	for _, p := range s.processes {
		*p.bytes() = wire{}
	}
	s.run(measured)
	return s
}

// measuredFrom is the start of the measured period.
func (s *site) measuredFrom() time.Time { return s.now.Add(-measured) }

func (s *site) add(identity node.Identity) {
	seed := s.size.identity(0).PeerAddress
	if identity.Role == node.RoleGateway {
		g := &gatewayHost{}
		g.identity, g.state = identity, newGatewayState(identity, seed)
		g.program = control.Program(func(st *control.State, _ engine.Tick) { s.flushGateway(g, st) })
		s.gateways = append(s.gateways, g)
		s.processes = append(s.processes, g)
	} else {
		c := &controllerHost{}
		c.identity, c.state = identity, newControllerState(identity, seed)
		c.program = controller.Program(func(st *controller.State, tick engine.Tick) { s.flushController(c, st, tick) })
		s.controllers = append(s.controllers, c)
		s.processes = append(s.processes, c)
	}
	s.byAddress[identity.PeerAddress] = s.processes[len(s.processes)-1]
}

func (s *site) nextRevision() store.Revision { s.revision++; return s.revision }

func (s *site) count(name string) {
	if s.counting {
		s.counts[name]++
	}
}

// later runs an effect one quantum from now.
func (s *site) later(run func()) {
	at := s.now.Add(quantum)
	s.pending[at] = append(s.pending[at], run)
}

func (s *site) broadcast(event node.Event) {
	for _, p := range s.processes {
		p.observe(event)
	}
}

func (s *site) run(period time.Duration) {
	for end := s.now.Add(period); s.now.Before(end); {
		s.now = s.now.Add(quantum)
		for _, run := range s.pending[s.now] {
			run()
		}
		delete(s.pending, s.now)
		s.observeWorld()
		for i, p := range s.processes {
			if s.now.Sub(started) > s.offset(i) {
				p.tick(s.now)
			}
		}
	}
}

// offset is when process i starts; the processes are not in step with each other.
func (s *site) offset(i int) time.Duration { return time.Duration(i) * 85 * time.Millisecond }

// Intervals of what a process hears without asking in its control loop.
const (
	progressInterval = time.Second
	demandInterval   = 250 * time.Millisecond
)

// due reports whether a periodic event of process i is due.
func (s *site) due(interval time.Duration, i int) bool {
	return (s.now.Sub(started)+s.offset(i))%interval == 0
}

// observeWorld posts what the I/O goroutines of each process would.
func (s *site) observeWorld() {
	s.machines.advance(s.now, s.busy, s.random)
	for i, p := range s.processes {
		if s.due(progressInterval, i) {
			p.observe(node.StoreConfirmed{At: s.now})
		}
		if s.due(node.WorkerListInterval, i) {
			p.observe(node.WorkersListed{Workers: s.machines.list(), RequestedAt: s.now})
		}
		if s.due(node.MemberListInterval, i) || s.now.Sub(started) == quantum {
			p.observe(s.members())
		}
		ttl := node.GatewayLeaseTTL
		if p.self().Role == node.RoleController {
			ttl = node.ControllerLeaseTTL
		}
		if s.due((ttl/3).Truncate(quantum), i) || s.now.Sub(started) == quantum {
			p.observe(node.LeaseChanged{Lease: store.LeaseID(i + 1), Deadline: s.now.Add(ttl)})
		}
	}
	for i, g := range s.gateways {
		if s.busy && s.due(demandInterval, i) {
			g.post(control.TrafficReported{Report: s.demand()})
		}
	}
	s.offerJobs()
}

func (s *site) members() node.MembersListed {
	var listed node.MembersListed
	for _, p := range s.processes {
		listed.Members = append(listed.Members, p.self())
	}
	return listed
}

// Demand of a queue: for a few seconds about five times its mean, which is more
// than the pool holds, and a twentieth of that otherwise. The queues peak in turn.
const (
	peakTime   = 5 * time.Second
	peakCycle  = peakTime * 19 / 3
	peakOfPool = 1.2
	trough     = 1.0 / 20
)

func (s *site) demand() traffic.Report {
	var report traffic.Report
	names := s.size.poolNames()
	slots := float64(s.size.workers) / float64(s.size.pools) * 8 / float64(s.size.gateways)
	for i, pool := range names {
		wanted := peakOfPool * slots
		if (s.now.Sub(started)+peakCycle*time.Duration(i)/time.Duration(len(names)))%peakCycle >= peakTime {
			wanted *= trough
		}
		requests := int(wanted*(0.7+0.6*s.random.Float64()) + s.random.Float64())
		report.Demand = append(report.Demand, traffic.PoolDemand{Pool: pool, Requests: requests})
	}
	return report
}

func (s *site) startWave() {
	if active := s.active(); active != nil {
		reply := make(chan controller.Response, 1)
		active.post(controller.Requested{Request: controller.Request{
			Operator: "capacity", Command: controller.ControlWave{Action: controller.WaveStart}, Reply: reply,
		}})
	}
}

// active returns the active controller, or nil.
func (s *site) active() *controllerHost {
	for _, c := range s.controllers {
		if c.state.Active() {
			return c
		}
	}
	return nil
}

// exchangeEffects delivers the effects of the peer exchange.
func (s *site) exchangeEffects(p process, peers *membership.State) {
	peers.Sends.Drain(func(send membership.Send) {
		to := s.byAddress[send.Address]
		if to == nil {
			return
		}
		s.tokens++
		token := s.tokens
		s.waiting[token] = p
		s.carry(p, to, wirecost.RequestBytes(&send.Message), send.Message)
		s.later(func() { to.receive(membership.Received{Message: send.Message, Token: token}) })
	})
	peers.Replies.Drain(func(reply membership.Reply) {
		to := s.waiting[reply.Token]
		delete(s.waiting, reply.Token)
		s.carry(p, to, wirecost.ResponseBytes(&reply.Message), reply.Message)
		s.later(func() {
			to.receive(membership.Received{Message: reply.Message, Address: p.self().PeerAddress})
		})
	})
	peers.Fetches.Drain(func(fetch membership.Fetch) {
		s.later(func() { p.fetched(fetch, s.document(fetch.Kind)) })
	})
	peers.Changes.Drain(func(membership.Change) {})
}

func (s *site) carry(from, to process, size int, message membership.Message) {
	out, in := from.bytes(), to.bytes()
	out.sent += size
	in.received += size
	if s.counting {
		out.sentMessages = append(out.sentMessages, message)
		in.messages = append(in.messages, message)
	}
}

func (s *site) document(kind membership.DocumentKind) node.Event {
	switch {
	case kind == membership.DocumentConfig:
		return s.config
	case kind == membership.DocumentFleet && s.fleet.Document != nil:
		return node.FleetSeen{Document: s.fleet.Document}
	case kind == membership.DocumentHomes && s.homes != nil:
		return node.HomesSeen{Homes: s.homes}
	}
	return nil
}

// wroteFleet tells all processes of a fleet write by their watches.
func (s *site) wroteFleet(document *fleet.Document) store.Revision {
	s.count("fleet document: writes")
	s.fleet = node.FleetSeen{Document: document, Revision: s.nextRevision()}
	s.broadcast(s.fleet)
	return s.fleet.Revision
}
