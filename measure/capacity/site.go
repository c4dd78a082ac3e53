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

// Simulated periods. The wave starts before the measured period, so that its canary
// stage has ended by then.
const (
	simulationStep = 5 * time.Millisecond // of simulated time; a message takes one step
	warmUp         = 30 * time.Second
	waveWarmUp     = 40 * time.Second
	measuredPeriod = 60 * time.Second
)

// site simulates the processes of a site, the store and the platform. Only the
// systems are real. Effects are answered after one simulation step.
type site struct {
	size        siteSize
	busy        bool
	now         time.Time
	random      *rand.Rand
	processes   []process
	gateways    []*gatewayHost
	controllers []*controllerHost
	byAddress   map[string]process
	scheduled   map[time.Time][]func()
	machines    *simulatedPlatform

	revision store.Revision
	homes    *idempotency.Homes
	leader   node.LeaderSeen
	fleet    node.FleetSeen
	config   node.ConfigSeen

	lastToken  uint64
	requesters map[uint64]process // process that waits for the reply, by token

	nextJob   int
	running   []string
	finished  []string
	pages     []placement.Page    // written in the measured period
	snapshots []*traffic.Snapshot // of the first gateway in the measured period
	counts    map[string]int      // of effects in the measured period
	counting  bool
}

var simulationStart = time.Date(2027, 12, 4, 20, 0, 0, 0, time.UTC)

// simulate runs a site. On a busy site every gateway reports changing demand, a wave
// is in progress and jobs start and end.
func simulate(z siteSize, busy bool) *site {
	s := &site{
		size: z, busy: busy, now: simulationStart, random: rand.New(rand.NewSource(1)), byAddress: map[string]process{},
		scheduled: map[time.Time][]func(){}, machines: newSimulatedPlatform(z), requesters: map[uint64]process{}, counts: map[string]int{},
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
		s.run(waveWarmUp)
	}
	s.counting = true
	for _, p := range s.processes {
		*p.peerTraffic() = exchangeTraffic{}
	}
	s.run(measuredPeriod)
	return s
}

// measurementStart returns the start of the measured period, once simulate has ended.
func (s *site) measurementStart() time.Time { return s.now.Add(-measuredPeriod) }

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

// schedule runs an effect one simulation step from now.
func (s *site) schedule(run func()) {
	at := s.now.Add(simulationStep)
	s.scheduled[at] = append(s.scheduled[at], run)
}

func (s *site) broadcast(event node.Event) {
	for _, p := range s.processes {
		p.observe(event)
	}
}

func (s *site) run(period time.Duration) {
	for end := s.now.Add(period); s.now.Before(end); {
		s.now = s.now.Add(simulationStep)
		for _, run := range s.scheduled[s.now] {
			run()
		}
		delete(s.scheduled, s.now)
		s.postPeriodicEvents()
		for i, p := range s.processes {
			if s.now.Sub(simulationStart) > s.startOffset(i) {
				p.tick(s.now)
			}
		}
	}
}

// startOffset returns when process i starts. The offsets keep the processes from
// ticking in step.
func (s *site) startOffset(i int) time.Duration { return time.Duration(i) * 85 * time.Millisecond }

// Intervals of events that a process receives without a request of its control loop.
const (
	progressInterval = time.Second
	demandInterval   = 250 * time.Millisecond
)

// eventDue reports whether a periodic event of process i is due.
func (s *site) eventDue(interval time.Duration, i int) bool {
	return (s.now.Sub(simulationStart)+s.startOffset(i))%interval == 0
}

// postPeriodicEvents posts what the I/O goroutines of each process would post.
func (s *site) postPeriodicEvents() {
	s.machines.advance(s.now, s.busy, s.random)
	for i, p := range s.processes {
		if s.eventDue(progressInterval, i) {
			p.observe(node.StoreConfirmed{At: s.now})
		}
		if s.eventDue(node.WorkerListInterval, i) {
			p.observe(node.WorkersListed{Workers: s.machines.list(), RequestedAt: s.now})
		}
		if s.eventDue(node.MemberListInterval, i) || s.now.Sub(simulationStart) == simulationStep {
			p.observe(s.members())
		}
		ttl := node.GatewayLeaseTTL
		if p.self().Role == node.RoleController {
			ttl = node.ControllerLeaseTTL
		}
		if s.eventDue((ttl/3).Truncate(simulationStep), i) || s.now.Sub(simulationStart) == simulationStep {
			p.observe(node.LeaseChanged{Lease: store.LeaseID(i + 1), Deadline: s.now.Add(ttl)})
		}
	}
	for i, g := range s.gateways {
		if s.busy && s.eventDue(demandInterval, i) {
			g.post(control.TrafficReported{Report: s.demand()})
		}
	}
	s.submitJobs()
}

func (s *site) members() node.MembersListed {
	var listed node.MembersListed
	for _, p := range s.processes {
		listed.Members = append(listed.Members, p.self())
	}
	return listed
}

// Demand of a queue: for a few seconds a peak of about five times its mean, which
// exceeds the capacity of the pool, and a twentieth of the peak otherwise. The
// queues peak in turn.
const (
	peakDuration       = 5 * time.Second
	peakCycle          = peakDuration * 19 / 3
	peakCapacityFactor = 1.2
	troughFactor       = 1.0 / 20
)

func (s *site) demand() traffic.Report {
	var report traffic.Report
	names := s.size.poolNames()
	slots := float64(s.size.workers) / float64(s.size.pools) * 8 / float64(s.size.gateways)
	for i, pool := range names {
		wantedSlots := peakCapacityFactor * slots
		if (s.now.Sub(simulationStart)+peakCycle*time.Duration(i)/time.Duration(len(names)))%peakCycle >= peakDuration {
			wantedSlots *= troughFactor
		}
		requests := int(wantedSlots*(0.7+0.6*s.random.Float64()) + s.random.Float64())
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

// active returns the active controller, or nil if there is none.
func (s *site) active() *controllerHost {
	for _, c := range s.controllers {
		if c.state.Active() {
			return c
		}
	}
	return nil
}

// exchangeEffects performs the effects of the peer exchange.
func (s *site) exchangeEffects(p process, peers *membership.State) {
	peers.Sends.Drain(func(send membership.Send) {
		to := s.byAddress[send.Address]
		if to == nil {
			return
		}
		s.lastToken++
		token := s.lastToken
		s.requesters[token] = p
		s.countTransfer(p, to, wirecost.RequestBytes(&send.Message), send.Message)
		s.schedule(func() { to.receive(membership.Received{Message: send.Message, Token: token}) })
	})
	peers.Replies.Drain(func(reply membership.Reply) {
		to := s.requesters[reply.Token]
		delete(s.requesters, reply.Token)
		s.countTransfer(p, to, wirecost.ResponseBytes(&reply.Message), reply.Message)
		s.schedule(func() {
			to.receive(membership.Received{Message: reply.Message, Address: p.self().PeerAddress})
		})
	})
	peers.Fetches.Drain(func(fetch membership.Fetch) {
		s.schedule(func() { p.receiveDocument(fetch, s.latestDocument(fetch.Kind)) })
	})
	peers.Changes.Drain(func(membership.Change) {})
}

func (s *site) countTransfer(from, to process, size int, message membership.Message) {
	out, in := from.peerTraffic(), to.peerTraffic()
	out.sent += size
	in.received += size
	if s.counting {
		out.sentMessages = append(out.sentMessages, message)
		in.receivedMessages = append(in.receivedMessages, message)
	}
}

func (s *site) latestDocument(kind membership.DocumentKind) node.Event {
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

// publishFleet stores a fleet document and notifies all processes as their watches
// would.
func (s *site) publishFleet(document *fleet.Document) store.Revision {
	s.count("fleet document: writes")
	s.fleet = node.FleetSeen{Document: document, Revision: s.nextRevision()}
	s.broadcast(s.fleet)
	return s.fleet.Revision
}
