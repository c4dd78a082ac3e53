package membership

import (
	"fmt"
	"math/rand"
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/table"
)

var start = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

// network connects states without sockets. cut says which messages are lost and
// lost which answers; the request of a lost answer is delivered.
type network struct {
	now    time.Time
	nodes  map[string]*State // by address
	order  []string
	cut    func(from, to string) bool
	lost   func(from, to string) bool
	random *rand.Rand // reorders and repeats messages if set
	held   []held
}

type held struct {
	to       string
	received Received
}

func newNetwork() *network {
	never := func(string, string) bool { return false }
	return &network{now: start, nodes: map[string]*State{}, cut: never, lost: never}
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
	if peer == nil || n.cut(from, send.Address) {
		return
	}
	peer.Receive(Received{Message: send.Message, Token: 1})
	mergeMessages(peer, engine.Tick{Now: n.now})
	peer.Replies.Drain(func(reply Reply) {
		if !n.cut(send.Address, from) && !n.lost(send.Address, from) {
			n.deliver(from, Received{Message: reply.Message, Address: send.Address})
		}
	})
}

func (n *network) deliver(to string, received Received) {
	if n.random == nil {
		n.nodes[to].Receive(received)
		return
	}
	n.held = append(n.held, held{to, received})
	if n.random.Intn(4) == 0 {
		n.held = append(n.held, held{to, received})
	}
	n.random.Shuffle(len(n.held), func(i, j int) { n.held[i], n.held[j] = n.held[j], n.held[i] })
	for len(n.held) > 3 {
		n.nodes[n.held[0].to].Receive(n.held[0].received)
		n.held = n.held[1:]
	}
}

// run advances the time in steps and ticks every node that is due.
func (n *network) run(duration time.Duration) {
	for end := n.now.Add(duration); n.now.Before(end); n.now = n.now.Add(100 * time.Millisecond) {
		for _, address := range n.order {
			n.tick(address)
		}
	}
}

// mesh adds gateways g0, g1, ... and one controller c that know each other.
func mesh(gateways int) (*network, *State) {
	n := newNetwork()
	controller := n.add("c", Controller, "z0", "c:1")
	for i := range gateways {
		n.add(fmt.Sprintf("g%02d", i), Gateway, fmt.Sprintf("z%d", i%3), fmt.Sprintf("g%02d:1", i), "c:1")
	}
	return n, controller
}

func told[V comparable](r *Replica[V], peer table.ID) map[string]V {
	found := map[string]V{}
	for row := range r.ByPeer(peer) {
		found[row.Name] = row.Value
	}
	return found
}

func own[V comparable](v *versioned[V]) map[string]V {
	found := map[string]V{}
	for _, row := range v.rows.All() {
		if !row.removed {
			found[row.name] = row.value
		}
	}
	return found
}
