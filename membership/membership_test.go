package membership

import (
	"fmt"
	"maps"
	"math/rand"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

func properties(t *testing.T) *gopter.Properties {
	parameters := gopter.DefaultTestParametersWithSeed(20260301)
	parameters.MinSuccessfulTests = 60
	t.Logf("gopter seed %d", 20260301)
	return gopter.NewProperties(parameters)
}

// Guards against a delta that leaves out a change or resurrects a removed entry
// when messages are lost, repeated, reordered, or the receiver restarts.
func TestDeltaMergeEqualsFullState(t *testing.T) {
	p := properties(t)
	p.Property("merged state equals the sender's state after a quiet exchange", prop.ForAll(func(seed int64) string {
		random := rand.New(rand.NewSource(seed))
		n, controller := mesh(2)
		lossy := true
		n.dropMessage = func(string, string) bool { return lossy && random.Intn(3) == 0 }
		n.random = random
		for range 60 {
			changeAtRandom(random, n, controller)
			n.run(300 * time.Millisecond)
		}
		lossy, n.random, n.delayed = false, nil, nil
		n.run(5 * time.Second)
		return compareAll(n)
	}, gen.Int64()))
	p.TestingRun(t)
}

func changeAtRandom(random *rand.Rand, n *network, controller *State) {
	name := fmt.Sprintf("n%d", random.Intn(6))
	switch random.Intn(10) {
	case 0: // restart of a gateway at its address
		n.add(fmt.Sprintf("g%d", random.Int()), Gateway, "z0", "g00:1", "c:1")
	case 1, 2:
		controller.SetLeaving(name, random.Intn(2) == 0)
	case 3, 4, 5:
		for id := range controller.Peers.All() {
			controller.SetGrant(id, name, uint32(random.Intn(3)))
		}
	default:
		n.nodes[n.order[random.Intn(len(n.order))]].SetDemand(name, uint32(random.Intn(3)*10))
	}
}

func compareAll(n *network) string {
	for _, from := range n.order {
		sender := n.nodes[from]
		for _, to := range n.order {
			if from == to {
				continue
			}
			receiver := n.nodes[to]
			id, peer := receiver.Find(sender.self.Incarnation)
			_, row := sender.Find(receiver.self.Incarnation)
			if peer == nil || row == nil {
				return fmt.Sprintf("%s and %s do not know each other", from, to)
			}
			if !maps.Equal(valuesOf(&receiver.Demand, id), reportedValues(&sender.demand)) ||
				!maps.Equal(valuesOf(&receiver.Leaving, id), reportedValues(&sender.leaving)) ||
				!maps.Equal(valuesOf(&receiver.Grants, id), reportedValues(&row.grants)) ||
				!maps.Equal(valuesOf(&receiver.relayed, id), reportedValues(&sender.members)) {
				return fmt.Sprintf("%s and %s hold different states of the latter", to, from)
			}
		}
	}
	return ""
}

// Guards against a late message that reverts a revision or merged state.
func TestRevisionsNeverGoBack(t *testing.T) {
	p := properties(t)
	p.Property("reported and own revisions only rise", prop.ForAll(func(seed int64) bool {
		random := rand.New(rand.NewSource(seed))
		s := New(Options{Self: Member{Incarnation: "a", Address: "a:1"}})
		var high Revisions
		var own uint64
		for sequence := range uint64(40) {
			message := Message{
				Sender: Member{Incarnation: "b", Address: "b:1"}, Receiver: "a", Sequence: uint64(random.Intn(20)) + sequence/2,
				Revisions: Revisions{uint64(random.Intn(50)), uint64(random.Intn(50)), uint64(random.Intn(50))},
			}
			s.Receive(Received{Message: message})
			s.merge(&s.inbox[0], start)
			s.inbox = nil
			s.SetRevision(DocumentConfig, uint64(random.Intn(50)), start)
			_, peer := s.Find("b")
			for kind := range high {
				if peer != nil && peer.Revisions[kind] < high[kind] {
					return false
				}
			}
			if peer != nil {
				high = peer.Revisions
			}
			if s.revisions[DocumentConfig] < own {
				return false
			}
			own = s.revisions[DocumentConfig]
		}
		return true
	}, gen.Int64()))
	p.TestingRun(t)
}

// Guards against maintenance that starts while a silent gateway may still send.
func TestAcknowledgedWaitsForSilentGateway(t *testing.T) {
	n, controller := mesh(3)
	n.run(3 * time.Second)
	report := func(revision uint64) {
		for _, address := range n.order {
			if address != "g02:1" {
				n.nodes[address].SetRevision(DocumentFleet, revision, n.now)
			}
		}
	}
	report(7)
	n.run(2 * time.Second)
	if controller.Acknowledged(7, n.now) || len(controller.Unacknowledged(7, n.now)) != 1 {
		t.Fatal("acknowledged although a live gateway lacks the revision")
	}
	n.dropMessage = func(from, to string) bool { return from == "g02:1" || to == "g02:1" }
	lost := n.now
	for !controller.Acknowledged(7, n.now) {
		n.run(100 * time.Millisecond)
	}
	if waited := n.now.Sub(lost); waited < fleetViewExpiry-ExchangeInterval || waited > fleetViewExpiry+ExchangeInterval {
		t.Errorf("waited %v after the last message", waited)
	}
	n.run(10 * time.Second) // the gateway is silent for long when the next revision is committed
	report(8)
	n.run(4 * time.Second)
	if controller.Acknowledged(8, n.now) {
		t.Error("the store may have confirmed the silent gateway's view until the commit")
	}
	n.run(1500 * time.Millisecond)
	if !controller.Acknowledged(8, n.now) || controller.Acknowledged(9, n.now) {
		t.Error("wrong answer after the view expired or for an unknown revision")
	}
}

// Guards against a new controller that treats a gateway of which it has received no
// message as absent, and against one that drops a gateway too early when another
// incarnation appears at its address.
func TestAcknowledgedCountsUnheardAndReplacedGateways(t *testing.T) {
	n := newNetwork()
	c := n.add("c", Controller, "z0", "c:1")
	c.SetRevision(DocumentFleet, 3, n.now)
	c.SetMembers([]Member{{Incarnation: "old", Role: Gateway, Address: "g:1"}}, n.now)
	n.run(time.Second)
	if c.Acknowledged(3, n.now) {
		t.Fatal("a listed gateway that was never heard from is treated as absent")
	}
	if lagging := c.LaggingProcesses(1); len(lagging) != 2 {
		t.Errorf("lagging %+v, want the controller and the unheard gateway", lagging)
	}
	n.add("new", Gateway, "z0", "g:1", "c:1").SetRevision(DocumentFleet, 3, n.now)
	n.run(time.Second)
	if _, old := c.Find("old"); old == nil || !old.Replaced || c.Acknowledged(3, n.now) {
		t.Fatal("the fleet view of the replaced incarnation counts as expired too early")
	}
	n.run(4 * time.Second)
	if !c.Acknowledged(3, n.now) {
		t.Error("not acknowledged after the replaced incarnation's view expired")
	}
	n.run(RemoveAfter)
	if _, old := c.Find("old"); old != nil {
		t.Error("the replaced incarnation was not removed")
	}
}

// Guards against a pair that loses contact although one direction works.
func TestOneWayLossKeepsContact(t *testing.T) {
	for _, lost := range []string{"g00:1>g01:1", "g01:1>g00:1"} {
		n, _ := mesh(2)
		n.run(3 * time.Second)
		n.dropMessage = func(from, to string) bool { return from+">"+to == lost }
		n.run(20 * time.Second)
		heard := 0
		for _, pair := range [][2]string{{"g00:1", "g01"}, {"g01:1", "g00"}} {
			if _, peer := n.nodes[pair[0]].Find(pair[1]); !peer.Suspected {
				heard++
			}
		}
		if heard != 1 {
			t.Errorf("%s lost: %d sides hear the other, want the one whose direction works", lost, heard)
		}
	}
}

// Guards against peers that suspect each other because answers are lost, although
// the side that normally does not dial could do so.
func TestLostAnswersMakeTheOtherSideDial(t *testing.T) {
	n, _ := mesh(2)
	n.run(3 * time.Second)
	n.dropAnswer = func(_, to string) bool { return to == "g00:1" }
	n.run(20 * time.Second)
	_, one := n.nodes["g00:1"].Find("g01")
	_, other := n.nodes["g01:1"].Find("g00")
	if one.Suspected || other.Suspected {
		t.Errorf("suspected: %v and %v", one.Suspected, other.Suspected)
	}
}

// Guards against a late message that replays old deltas, and against applying a
// delta whose base the receiver does not hold.
func TestMergeIgnoresLateAndGappedDeltas(t *testing.T) {
	s := New(Options{Self: Member{Incarnation: "a", Address: "a:1"}})
	receive := func(sequence, base uint64, requests uint32) (uint32, uint64) {
		s.inbox = []Received{{Message: Message{
			Sender: Member{Incarnation: "b", Address: "b:1"}, Receiver: "a", Sequence: sequence, Base: base,
			Demand: Delta[uint32]{Set: []Entry[uint32]{{Name: "p", Value: requests}}},
		}}}
		id := s.merge(&s.inbox[0], start)
		value, _ := s.Demand.Get(id, "p")
		return value, s.compose(id, start).Acknowledged
	}
	for _, c := range []struct{ sequence, base, wantAck uint64 }{
		{5, 3, 0}, {6, 0, 6}, {8, 6, 8}, {7, 6, 8}, {8, 0, 8}, {10, 9, 8}, {11, 8, 11},
	} {
		value, ack := receive(c.sequence, c.base, uint32(c.sequence))
		if ack != c.wantAck || uint64(value) != c.wantAck {
			t.Errorf("after message %d on %d: value %d, acknowledged %d, want %d", c.sequence, c.base, value, ack, c.wantAck)
		}
	}
}

// Guards against a fleet view that appears more recent than it is because its
// message was delayed, and against confirmation by a view later than the local one.
func TestPeerConfirmationIsNeverTooFresh(t *testing.T) {
	n, c := mesh(1)
	g := n.nodes["g00:1"]
	n.run(3 * time.Second)
	g.SetRevision(DocumentFleet, 5, n.now)
	c.SetRevision(DocumentFleet, 5, n.now)

	sequence, sent := g.sequence+1, n.now
	message := c.compose(0, n.now)
	message.Receiver, message.FleetConfirmed, message.FleetAge = "g00", true, 300*time.Millisecond
	id, peer := g.Find("c")
	g.compose(id, n.now)
	message.Acknowledged = sequence
	n.now = n.now.Add(10 * time.Second)
	g.Receive(Received{Message: message})
	g.merge(&g.inbox[0], n.now)
	if want := sent.Add(-300 * time.Millisecond); !g.ViewConfirmedByPeers().Equal(want) || !peer.ViewConfirmed.Equal(want) {
		t.Errorf("confirmed at %v, want %v", g.ViewConfirmedByPeers(), want)
	}
	c.SetRevision(DocumentFleet, 6, n.now)
	message.Revisions[DocumentFleet], message.Sequence = 6, message.Sequence+1
	g.Receive(Received{Message: message})
	g.merge(&g.inbox[1], n.now)
	if !g.ViewConfirmedByPeers().IsZero() {
		t.Error("a peer with a later revision confirms the local view")
	}
}

// Guards against a large fleet in which a process never learns of another one.
func TestLargeFleetUsesDelegates(t *testing.T) {
	n, c := mesh(24)
	c.SetActive(true)
	n.run(8 * time.Second)
	g := n.nodes["g05:1"]
	contacts := 0
	for _, peer := range g.Peers.All() {
		if peer.Suspected {
			t.Errorf("%s is suspected without a fault", peer.Incarnation)
		}
		if peer.Contact {
			contacts++
		}
	}
	if g.Peers.Len() != 24 || contacts > 11 {
		t.Errorf("%d peers, %d contacts", g.Peers.Len(), contacts)
	}
	for _, address := range n.order {
		n.nodes[address].SetRevision(DocumentConfig, 4, n.now)
	}
	n.run(4 * time.Second)
	if lagging := g.LaggingProcesses(4); len(lagging) != 0 {
		t.Errorf("lagging %+v", lagging)
	}
}

// Guards against a process that keeps fetching from the same peer, or fetches
// without need.
func TestFetchesLaterDocuments(t *testing.T) {
	n, c := mesh(2)
	n.run(3 * time.Second)
	g := n.nodes["g00:1"]
	var fetches []Fetch
	collect := func() { g.Fetches.Drain(func(f Fetch) { fetches = append(fetches, f) }) }
	c.SetRevision(DocumentConfig, 9, n.now)
	n.nodes["g01:1"].SetRevision(DocumentConfig, 9, n.now)
	n.run(2 * time.Second)
	collect()
	if len(fetches) != 1 || fetches[0].Kind != DocumentConfig || fetches[0].Revision != 9 {
		t.Fatalf("fetches %+v", fetches)
	}
	g.FetchFinished(DocumentConfig, fetches[0].Peer, n.now)
	n.run(1500 * time.Millisecond)
	collect()
	if len(fetches) != 2 || fetches[1].Peer == fetches[0].Peer {
		t.Fatalf("fetches %+v, want the other peer after a failure", fetches)
	}
	g.SetRevision(DocumentConfig, 9, n.now)
	n.run(10 * time.Second)
	collect()
	if len(fetches) != 2 {
		t.Errorf("fetches %+v although the document is in force", fetches)
	}
}

// Guards against grants that stay valid after their granter falls silent, and
// against deadlines that make the loop spin.
func TestGrantLeaseAndDeadline(t *testing.T) {
	n, c := mesh(1)
	n.run(2 * time.Second)
	id, _ := c.Find("g00")
	c.SetGrant(id, "w1", 5)
	n.run(2 * time.Second)
	g := n.nodes["g00:1"]
	if g.GrantedSlots("w1", n.now) != 5 {
		t.Fatal("grant did not arrive")
	}
	n.dropMessage = func(string, string) bool { return true }
	n.run(GrantLease + time.Second)
	if g.GrantedSlots("w1", n.now) != 0 {
		t.Error("grant outlived its lease")
	}
	for range 50 {
		n.tick("g00:1")
		if !g.NextDeadline().After(n.now) {
			t.Fatal("deadline is not in the future")
		}
		n.now = g.NextDeadline()
	}
	if elapsed := n.now.Sub(start); elapsed < 20*time.Second {
		t.Errorf("50 deadlines within %v", elapsed)
	}
}

// Guards against a silent process that is removed while the store lists it or kept
// after it is no longer listed, and against wrong answers about homes and the
// controller.
func TestListedPeersAndAnswers(t *testing.T) {
	n, c := mesh(1)
	c.SetActive(true)
	n.run(2 * time.Second)
	g := n.nodes["g00:1"]
	if _, active := g.ActiveController(); active == nil || active.Incarnation != "c" {
		t.Error("the active controller is not known")
	}
	g.SetRevision(DocumentHomes, 2, n.now)
	n.run(1500 * time.Millisecond)
	if !c.HomesAcknowledged(2, []string{"g00"}) || c.HomesAcknowledged(2, []string{"g00", "c"}) || c.HomesAcknowledged(1, []string{"unknown"}) {
		t.Error("wrong answer about the acknowledged homes")
	}
	id, _ := c.Find("g00")
	c.SetMembers([]Member{{Incarnation: "g00", Role: Gateway, Address: "g00:1"}}, n.now)
	n.dropMessage = func(string, string) bool { return true }
	n.run(RemoveAfter + SuspectAfter)
	if c.Peers.Get(id) == nil || c.Alive(id) {
		t.Error("a listed silent gateway must be kept and not count as alive")
	}
	c.SetMembers(nil, n.now)
	n.run(time.Second)
	if c.Peers.Get(id) != nil {
		t.Error("a silent gateway was kept although the store no longer lists it")
	}
}
