// Package wirecost measures the network traffic of the state exchange. It runs the
// membership systems of a number of processes with a fake clock, encodes their
// messages and sums the bytes that each process sends and receives.
//
// The bytes are those of the TCP stream: encoded messages with drpc framing,
// without TCP and IP headers.
package wirecost

import (
	"fmt"
	"math/rand"
	"time"

	"google.golang.org/protobuf/proto"
	"storj.io/drpc/drpcwire"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/membership"
	"github.com/waxwingbridge/waxwingbridge/peerapi"
)

// Scenario describes the size of a site and its rate of change.
type Scenario struct {
	Gateways    int
	Controllers int
	Zones       int
	Pools       int
	Workers     int
	// ChangedPoolShare is the fraction of pools whose demand changes at each
	// gateway every second.
	ChangedPoolShare float64
	// ChangedGrantShare is the fraction of workers whose slots are redistributed
	// every second. One gateway grants the slots of a worker to all gateways.
	ChangedGrantShare float64
	// ChangedWorkerCount is the number of workers per second whose leaving flag is
	// set or cleared.
	ChangedWorkerCount int
	Seconds            int // duration of the measurement, which starts after the state has converged
	Seed               int64
}

// Traffic is the number of bytes per second that one process sends and receives.
type Traffic struct {
	Sent     float64
	Received float64
}

// Total returns the sum of sent and received bytes per second.
func (c Traffic) Total() float64 { return c.Sent + c.Received }

// convergenceSeconds is the time after which the complete state has reached all
// processes.
const convergenceSeconds = 10

const slotsPerWorker = 8

// site is a set of simulated processes that exchange messages in memory.
type site struct {
	scenario  Scenario
	random    *rand.Rand
	now       time.Time
	nodes     map[string]*membership.State
	addresses []string
	gateways  []*membership.State
	sent      map[string]int
	received  map[string]int
}

// Measure runs the scenario and returns the traffic of the process with the most.
func Measure(scenario Scenario) Traffic {
	s := newSite(scenario)
	s.populate()
	s.run(convergenceSeconds, func() {})
	s.sent, s.received = map[string]int{}, map[string]int{}
	s.run(scenario.Seconds, s.applyChanges)
	var worst Traffic
	for _, address := range s.addresses {
		seconds := float64(scenario.Seconds)
		cost := Traffic{float64(s.sent[address]) / seconds, float64(s.received[address]) / seconds}
		if cost.Total() > worst.Total() {
			worst = cost
		}
	}
	return worst
}

func newSite(scenario Scenario) *site {
	s := &site{
		scenario: scenario, random: rand.New(rand.NewSource(scenario.Seed)), now: time.Unix(1_700_000_000, 0),
		nodes: map[string]*membership.State{}, sent: map[string]int{}, received: map[string]int{},
	}
	var seed string
	for i := range scenario.Gateways + scenario.Controllers {
		address := fmt.Sprintf("10.0.%d.%d:7400", i/250, i%250)
		role := membership.Gateway
		if i >= scenario.Gateways {
			role = membership.Controller
		}
		state := membership.New(membership.Options{
			Self: membership.Member{
				Incarnation: fmt.Sprintf("%08x-0000-7000-8000-%012x", s.random.Uint32(), i), Role: role, Address: address,
				AvailabilityZone: fmt.Sprintf("zone-%d", i%max(1, scenario.Zones)), CallerAddress: address, Active: i == scenario.Gateways,
			},
			Seeds: []string{seed},
		})
		if role == membership.Gateway {
			s.gateways = append(s.gateways, state)
		}
		s.nodes[address] = state
		s.addresses = append(s.addresses, address)
		seed = s.addresses[0]
	}
	return s
}

// populate sets the demand of every pool and grants the slots of every worker.
func (s *site) populate() {
	s.run(convergenceSeconds, func() {}) // slots can be granted to known peers only
	for _, gateway := range s.gateways {
		for pool := range s.scenario.Pools {
			gateway.SetDemand(poolName(pool), s.randomDemand())
		}
	}
	for worker := range s.scenario.Workers {
		s.redistributeSlots(worker)
	}
}

func poolName(pool int) string { return fmt.Sprintf("pool-%03d", pool) }

func workerName(worker int) string { return fmt.Sprintf("worker-%04d", worker) }

func (s *site) randomDemand() uint32 { return 1 + uint32(s.random.Intn(100)) }

// redistributeSlots grants the slots of a worker to the gateways in random shares.
func (s *site) redistributeSlots(worker int) {
	granter := s.gateways[worker%len(s.gateways)]
	left := slotsPerWorker
	for id, peer := range granter.Peers.All() {
		if peer.Role == membership.Gateway {
			slots := s.random.Intn(left + 1)
			left -= slots
			granter.SetGrant(id, workerName(worker), uint32(slots))
		}
	}
}

// applyChanges applies the changes of one second.
func (s *site) applyChanges() {
	for _, gateway := range s.gateways {
		for pool := range s.scenario.Pools {
			if s.random.Float64() < s.scenario.ChangedPoolShare {
				gateway.SetDemand(poolName(pool), s.randomDemand())
			}
		}
	}
	for worker := range s.scenario.Workers {
		if s.random.Float64() < s.scenario.ChangedGrantShare {
			s.redistributeSlots(worker)
		}
	}
	for range s.scenario.ChangedWorkerCount {
		worker, leaving := workerName(s.random.Intn(s.scenario.Workers)), s.random.Intn(2) == 0
		for _, address := range s.addresses {
			s.nodes[address].SetLeaving(worker, leaving)
		}
	}
}

const stepsPerSecond = 10

func (s *site) run(seconds int, change func()) {
	for step := range seconds * stepsPerSecond {
		if step%stepsPerSecond == 0 {
			change()
		}
		for _, address := range s.addresses {
			s.nodes[address].SetFleetView(1, s.now.Add(-time.Duration(s.random.Intn(1000))*time.Millisecond))
			s.tick(address)
		}
		s.now = s.now.Add(time.Second / stepsPerSecond)
	}
}

// tick runs the systems of a process and delivers its messages and their replies.
func (s *site) tick(address string) {
	state := s.nodes[address]
	s.systems(state)
	state.Sends.Drain(func(send membership.Send) {
		peer := s.nodes[send.Address]
		if peer == nil {
			return
		}
		s.countBytes(address, send.Address, RequestBytes(&send.Message))
		peer.Receive(membership.Received{Message: send.Message, Token: 1})
		s.systems(peer)
		peer.Replies.Drain(func(reply membership.Reply) {
			s.countBytes(send.Address, address, ResponseBytes(&reply.Message))
			state.Receive(membership.Received{Message: reply.Message, Address: send.Address})
		})
	})
}

func (s *site) systems(state *membership.State) {
	for _, system := range membership.Systems() {
		system.Run(state, engine.Tick{Now: s.now})
	}
	state.Changes.Drain(func(membership.Change) {})
	state.Fetches.Drain(func(membership.Fetch) {})
}

func (s *site) countBytes(from, to string, bytes int) {
	s.sent[from] += bytes
	s.received[to] += bytes
}

const exchangeMethod = "/waxwing.peer.v1.Peer/Exchange"

// RequestBytes returns the size on the wire of a message that is sent to a peer.
func RequestBytes(message *membership.Message) int {
	return frameBytes(drpcwire.KindInvoke, len(exchangeMethod)) + ResponseBytes(message)
}

// ResponseBytes returns the size on the wire of a message that is sent as a reply.
func ResponseBytes(message *membership.Message) int {
	size := proto.Size(peerapi.MessageToProto(message))
	return frameBytes(drpcwire.KindMessage, size) + frameBytes(drpcwire.KindCloseSend, 0)
}

// typicalStream is the stream number of a connection that has been open for hours.
// Each frame contains it as a varint, so its value affects the frame size.
const typicalStream = 20_000

func frameBytes(kind drpcwire.Kind, size int) int {
	frame := drpcwire.Frame{ID: drpcwire.ID{Stream: typicalStream, Message: 1}, Kind: kind, Done: true, Data: make([]byte, size)}
	return len(drpcwire.AppendFrame(nil, frame))
}
