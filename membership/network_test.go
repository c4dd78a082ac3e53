package membership

import (
	"fmt"
	"math/rand"
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/table"
)

var start = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

// network connects states without sockets. dropMessage selects the messages that
// are lost, and dropAnswer the answers; the request of a lost answer is delivered.
type network struct {
	now         time.Time
	nodes       map[string]*State // by address
	order       []string
	dropMessage func(from, to string) bool
	dropAnswer  func(from, to string) bool
	random      *rand.Rand // reorders and duplicates messages if set
	delayed     []delayedMessage
}

type delayedMessage struct {
	to       string
	received Received
}

func newNetwork() *network {
	never := func(string, string) bool { return false }
	return &network{now: start, nodes: map[string]*State{}, dropMessage: never, dropAnswer: never}
}

func (n *network) add(incarnation string, role Role, zone, address string, seeds ...string) *State {
	s := New(Options{
		Self:      Member{Incarnation: incarnation, Role: role, Address: address, AvailabilityZone: zone},
		Seeds:     seeds,
		Documents: []DocumentKind{DocumentConfig, DocumentFleet, DocumentHomes},
	})
	if _, known := n.nodes[address]; !known {
		n.order = append(n.order, address)
	}
	n.nodes[address] = s
	return s
}

// tick runs the systems of a node and delivers what it sends.
func (n *network) tick(address string) {
	s := n.nodes[address]
	for _, system := range Systems() {
		system.Run(s, engine.Tick{Now: n.now})
	}
	s.Changes.Drain(func(Change) {})
	s.Replies.Drain(func(Reply) {})
	s.Sends.Drain(func(send Send) { n.exchange(address, send) })
}

func (n *network) exchange(from string, send Send) {
	peer := n.nodes[send.Address]
	if peer == nil || n.dropMessage(from, send.Address) {
		return
	}
	peer.Receive(Received{Message: send.Message, Token: 1})
	mergeMessages(peer, engine.Tick{Now: n.now})
	peer.Replies.Drain(func(reply Reply) {
		if !n.dropMessage(send.Address, from) && !n.dropAnswer(send.Address, from) {
			n.deliver(from, Received{Message: reply.Message, Address: send.Address})
		}
	})
}

func (n *network) deliver(to string, received Received) {
	if n.random == nil {
		n.nodes[to].Receive(received)
		return
	}
	n.delayed = append(n.delayed, delayedMessage{to, received})
	if n.random.Intn(4) == 0 {
		n.delayed = append(n.delayed, delayedMessage{to, received})
	}
	n.random.Shuffle(len(n.delayed), func(i, j int) { n.delayed[i], n.delayed[j] = n.delayed[j], n.delayed[i] })
	for len(n.delayed) > 3 {
		n.nodes[n.delayed[0].to].Receive(n.delayed[0].received)
		n.delayed = n.delayed[1:]
	}
}

// run advances the time in steps and ticks every node at each step.
func (n *network) run(duration time.Duration) {
	for end := n.now.Add(duration); n.now.Before(end); n.now = n.now.Add(100 * time.Millisecond) {
		for _, address := range n.order {
			n.tick(address)
		}
	}
}

// mesh adds one controller c and gateways g00, g01, ... that use it as their seed.
func mesh(gateways int) (*network, *State) {
	n := newNetwork()
	controller := n.add("c", Controller, "z0", "c:1")
	for i := range gateways {
		n.add(fmt.Sprintf("g%02d", i), Gateway, fmt.Sprintf("z%d", i%3), fmt.Sprintf("g%02d:1", i), "c:1")
	}
	return n, controller
}

func valuesOf[V comparable](r *Replica[V], peer table.ID) map[string]V {
	found := map[string]V{}
	for row := range r.ByPeer(peer) {
		found[row.Name] = row.Value
	}
	return found
}

func reportedValues[V comparable](v *versioned[V]) map[string]V {
	found := map[string]V{}
	for _, row := range v.rows.All() {
		if !row.removed {
			found[row.name] = row.value
		}
	}
	return found
}
