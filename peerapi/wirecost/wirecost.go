// Package wirecost counts the bytes of the state exchange: it runs the systems
// of a number of processes with a fake clock, encodes their messages and adds up
// what each process sends and receives.
//
// The bytes are those on the TCP stream: encoded messages with the frames of
// drpc, without TCP and IP headers.
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

// Scenario describes a site and how much of it changes every second.
type Scenario struct {
	Gateways    int
	Controllers int
	Zones       int
	Pools       int
	Workers     int
	// ChangedPoolShare is the share of pools whose demand changes at each gateway.
	ChangedPoolShare float64
	// ChangedGrantShare is the share of workers whose slots are divided anew. Each
	// worker's slots are granted by one gateway to all gateways.
	ChangedGrantShare float64
	// ChangedWorkerCount is the number of workers that start or stop leaving.
	ChangedWorkerCount int
	Seconds            int // measured after the state has spread
	Seed               int64
}

// Traffic is the number of bytes per second of the process with the most traffic.
type Traffic struct {
	Sent     float64
	Received float64
}

// Total returns sent and received bytes together.
func (c Traffic) Total() float64 { return c.Sent + c.Received }

// spreadSeconds is the time in which the complete state reaches all processes.
const spreadSeconds = 10

const slotsPerWorker = 8

// site is a set of processes without sockets.
type site struct {
	load     Scenario
	random   *rand.Rand
	now      time.Time
	nodes    map[string]*membership.State
	order    []string
	gateways []*membership.State
	sent     map[string]int
	received map[string]int
}

// Measure runs the load and returns the cost.
func Measure(load Scenario) Traffic {
	s := newSite(load)
	s.fill()
	s.run(spreadSeconds, func() {})
	s.sent, s.received = map[string]int{}, map[string]int{}
	s.run(load.Seconds, s.change)
	var worst Traffic
	for _, address := range s.order {
		seconds := float64(load.Seconds)
		cost := Traffic{float64(s.sent[address]) / seconds, float64(s.received[address]) / seconds}
		if cost.Total() > worst.Total() {
			worst = cost
		}
	}
	return worst
}

func newSite(load Scenario) *site {
	s := &site{
		load: load, random: rand.New(rand.NewSource(load.Seed)), now: time.Unix(1_700_000_000, 0),
		nodes: map[string]*membership.State{}, sent: map[string]int{}, received: map[string]int{},
	}
	var seed string
	for i := range load.Gateways + load.Controllers {
		address := fmt.Sprintf("10.0.%d.%d:7400", i/250, i%250)
		role := membership.Gateway
		if i >= load.Gateways {
			role = membership.Controller
		}
		state := membership.New(membership.Options{
			Self: membership.Member{
				Incarnation: fmt.Sprintf("%08x-0000-7000-8000-%012x", s.random.Uint32(), i), Role: role, Address: address,
				AvailabilityZone: fmt.Sprintf("zone-%d", i%max(1, load.Zones)), CallerAddress: address, Active: i == load.Gateways,
			},
			Seeds: []string{seed},
		})
		if role == membership.Gateway {
			s.gateways = append(s.gateways, state)
		}
		s.nodes[address] = state
		s.order = append(s.order, address)
		seed = s.order[0]
	}
	return s
}

// fill gives every pool a demand and every worker its grants.
func (s *site) fill() {
	s.run(spreadSeconds, func() {}) // grants need known peers
	for _, gateway := range s.gateways {
		for pool := range s.load.Pools {
			gateway.SetDemand(poolName(pool), s.demand())
		}
	}
	for worker := range s.load.Workers {
		s.grant(worker)
	}
}

func poolName(pool int) string { return fmt.Sprintf("pool-%03d", pool) }

func workerName(worker int) string { return fmt.Sprintf("worker-%04d", worker) }

func (s *site) demand() uint32 { return 1 + uint32(s.random.Intn(100)) }

// grant divides the slots of a worker by random demand.
func (s *site) grant(worker int) {
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

// change applies one second of change.
func (s *site) change() {
	for _, gateway := range s.gateways {
		for pool := range s.load.Pools {
			if s.random.Float64() < s.load.ChangedPoolShare {
				gateway.SetDemand(poolName(pool), s.demand())
			}
		}
	}
	for worker := range s.load.Workers {
		if s.random.Float64() < s.load.ChangedGrantShare {
			s.grant(worker)
		}
	}
	for range s.load.ChangedWorkerCount {
		worker, leaving := workerName(s.random.Intn(s.load.Workers)), s.random.Intn(2) == 0
		for _, address := range s.order {
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
		for _, address := range s.order {
			s.nodes[address].SetFleetView(1, s.now.Add(-time.Duration(s.random.Intn(1000))*time.Millisecond))
			s.tick(address)
		}
		s.now = s.now.Add(time.Second / stepsPerSecond)
	}
}

// tick runs the systems of a process and delivers its messages and the answers.
func (s *site) tick(address string) {
	state := s.nodes[address]
	s.systems(state)
	state.Sends.Drain(func(send membership.Send) {
		peer := s.nodes[send.Address]
		if peer == nil {
			return
		}
		s.count(address, send.Address, RequestBytes(&send.Message))
		peer.Receive(membership.Received{Message: send.Message, Token: 1})
		s.systems(peer)
		peer.Replies.Drain(func(reply membership.Reply) {
			s.count(send.Address, address, ResponseBytes(&reply.Message))
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

func (s *site) count(from, to string, bytes int) {
	s.sent[from] += bytes
	s.received[to] += bytes
}

const exchangeMethod = "/waxwing.peer.v1.Peer/Exchange"

// RequestBytes returns the size of a message that calls a peer.
func RequestBytes(message *membership.Message) int {
	return frameBytes(drpcwire.KindInvoke, len(exchangeMethod)) + ResponseBytes(message)
}

// ResponseBytes returns the size of a message that answers a call.
func ResponseBytes(message *membership.Message) int {
	size := proto.Size(peerapi.MessageToProto(message))
	return frameBytes(drpcwire.KindMessage, size) + frameBytes(drpcwire.KindCloseSend, 0)
}

// typicalStream is a stream number of a connection that has lived for hours; it
// is part of each frame as a varint.
const typicalStream = 20_000

func frameBytes(kind drpcwire.Kind, size int) int {
	frame := drpcwire.Frame{ID: drpcwire.ID{Stream: typicalStream, Message: 1}, Kind: kind, Done: true, Data: make([]byte, size)}
	return len(drpcwire.AppendFrame(nil, frame))
}
