package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/fleet"
	"github.com/waxwingbridge/waxwingbridge/gateway/traffic"
	"github.com/waxwingbridge/waxwingbridge/idempotency"
	"github.com/waxwingbridge/waxwingbridge/infra"
	"github.com/waxwingbridge/waxwingbridge/membership"
	"github.com/waxwingbridge/waxwingbridge/node"
	"github.com/waxwingbridge/waxwingbridge/outcome"
	"github.com/waxwingbridge/waxwingbridge/policy"
	"github.com/waxwingbridge/waxwingbridge/store"
)

// bench steps the control state of a gateway "self" with a fake clock. Its
// fleet has workers w1 and w2 in pool "orders"; "peer" is another gateway.
type bench struct {
	t         *testing.T
	now       time.Time
	state     *State
	program   engine.Program[State, Event]
	snapshots []*traffic.Snapshot
	updates   []UpdateHomes
	key       string
	sent      uint64 // sequence of the last message to the peer
	received  uint64
}

const (
	self  = "a-self"
	other = "b-peer"
)

func newBench(t *testing.T) *bench {
	identity := node.Identity{Incarnation: self, Role: node.RoleGateway, PeerAddress: "self:1"}
	b := &bench{t: t, key: "key", now: time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)}
	b.state = NewState(node.NewView("test", identity), membership.New(membership.Options{Self: identity.Member()}))
	b.program = Program(func(s *State, _ engine.Tick) {
		s.Outbound.Snapshots.Drain(func(snapshot *traffic.Snapshot) { b.snapshots = append(b.snapshots, snapshot) })
		s.Outbound.Homes.Drain(func(e UpdateHomes) { b.updates = append(b.updates, e) })
		s.Peers.Sends.Drain(func(send membership.Send) { b.sent = send.Message.Sequence })
		s.Peers.Replies.Drain(func(membership.Reply) {})
		s.Peers.Fetches.Drain(func(membership.Fetch) {})
		s.Peers.Changes.Drain(func(membership.Change) {})
	})
	document := policy.Example("orders", "spare")
	b.step(Observed{node.ConfigSeen{Document: &document, Revision: 1}}, b.fleet(1, nil), Observed{node.MembersListed{Members: []node.Identity{
		{Incarnation: other, Role: node.RoleGateway, PeerAddress: "peer:1"},
	}}})
	return b
}

func (b *bench) wait(period time.Duration) { b.now = b.now.Add(period) }

func (b *bench) step(events ...Event) {
	b.program.Step(b.state, engine.Tick{Now: b.now}, events...)
}

// fleet returns a document of which change edits w1.
func (b *bench) fleet(revision uint64, change func(*fleet.Worker)) Event {
	document := &fleet.Document{Epoch: 1, Revision: revision}
	for _, id := range []string{"w1", "w2"} {
		document.Workers = append(document.Workers, fleet.Worker{ID: id, Pool: "orders", State: fleet.Serving, BootID: 1})
	}
	if change != nil {
		change(&document.Workers[0])
	}
	return Observed{node.FleetSeen{Document: document, Revision: 1}}
}

func (b *bench) list(status infra.WorkerStatus) Event {
	return Observed{node.WorkersListed{RequestedAt: b.now, Workers: []infra.Worker{
		{ID: "w1", Status: status, BootID: 1}, {ID: "w2", Status: infra.WorkerLive, BootID: 1},
	}}}
}

func (b *bench) confirmed() Event { return Observed{node.StoreConfirmed{At: b.now}} }

// peer returns a message of the peer that answers the last one to it.
func (b *bench) peer(fleetRevision, homesEpoch uint64, age time.Duration, leaving ...string) Event {
	b.received++
	message := membership.Message{
		Sender: membership.Member{Incarnation: other, Role: membership.Gateway, Address: "peer:1"}, Receiver: self,
		Sequence: b.received, Acknowledged: b.sent, FleetConfirmed: true, FleetAge: age, FleetEpoch: 1,
		Revisions: membership.Revisions{membership.DocumentFleet: fleetRevision, membership.DocumentHomes: homesEpoch},
	}
	for _, worker := range leaving {
		message.Leaving.Set = append(message.Leaving.Set, membership.Entry[struct{}]{Name: worker})
	}
	return PeerMessage{membership.Received{Message: message}}
}

func (b *bench) snapshot() *traffic.Snapshot {
	b.t.Helper()
	if len(b.snapshots) == 0 {
		b.t.Fatal("no snapshot was published")
	}
	return b.snapshots[len(b.snapshots)-1]
}

func (b *bench) target(worker string) traffic.Target {
	for _, target := range b.snapshot().Targets {
		if target.Worker == worker {
			return target
		}
	}
	return traffic.Target{}
}

// Guards against a gateway that sends although nothing has confirmed its view
// of the fleet for the vouch period, and against one that refuses too early.
func TestVouchPeriod(t *testing.T) {
	cases := map[string]struct {
		source func(*bench) Event // of the last confirmation
		fresh  time.Duration      // after it
	}{
		"store":                      {(*bench).confirmed, membership.FleetViewTTL},
		"VM list":                    {func(b *bench) Event { return b.list(infra.WorkerLive) }, membership.FleetViewTTL},
		"peer":                       {func(b *bench) Event { return b.peer(1, 0, 0) }, membership.FleetViewTTL},
		"peer with an aged view":     {func(b *bench) Event { return b.peer(1, 0, time.Second) }, membership.FleetViewTTL - time.Second},
		"peer with an older fleet":   {func(b *bench) Event { return b.peer(0, 0, 0) }, membership.FleetViewTTL},
		"peer with a later fleet":    {func(b *bench) Event { return b.peer(2, 0, 0) }, 0},
		"failed list":                {func(*bench) Event { return Observed{node.WorkersListed{Err: infra.ErrUnavailable}} }, 0},
		"lost watch":                 {func(*bench) Event { return Observed{node.StoreLost{}} }, 0},
		"peer that was not asked":    {unasked, 0},
		"a fleet document by itself": {func(b *bench) Event { return b.fleet(2, nil) }, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := newBench(t)
			b.step(c.source(b))
			if ready := b.state.NotReadyReason() == ""; ready != (c.fresh > 0) {
				t.Fatalf("at the confirmation: %q", b.state.NotReadyReason())
			}
			if c.fresh == 0 {
				return
			}
			if until := b.snapshot().FreshUntil; !until.Equal(b.now.Add(c.fresh)) {
				t.Errorf("traffic may send until %v after the confirmation, want %v", until.Sub(b.now), c.fresh)
			}
			b.wait(c.fresh - time.Millisecond)
			b.step()
			if reason := b.state.NotReadyReason(); reason != "" {
				t.Errorf("just before the end: %s", reason)
			}
			b.wait(time.Millisecond)
			b.step()
			if b.state.NotReadyReason() == "" {
				t.Error("ready although nothing confirms the view")
			}
		})
	}
}

func unasked(b *bench) Event {
	b.sent = 0
	return b.peer(1, 0, 0)
}

// Guards against a target that gets new requests after any source has reported
// that it leaves, and against one that stays out after its return.
func TestLeavingTargets(t *testing.T) {
	draining := func(w *fleet.Worker) { w.State = fleet.Draining }
	cases := map[string]struct {
		events func(*bench) []Event
		after  time.Duration // before the check
		usable bool
	}{
		"nothing":  {func(*bench) []Event { return nil }, 0, true},
		"draining": {func(b *bench) []Event { return []Event{b.fleet(2, draining)} }, 0, false},
		"an intended operation": {func(b *bench) []Event {
			return []Event{b.fleet(2, func(w *fleet.Worker) { w.Operation = &fleet.Operation{} })}
		}, 0, false},
		"returned":           {func(b *bench) []Event { return []Event{b.fleet(2, draining), b.fleet(3, nil)} }, 0, true},
		"an older document":  {func(b *bench) []Event { return []Event{b.fleet(3, draining), b.fleet(2, nil)} }, 0, false},
		"listed as leaving":  {func(b *bench) []Event { return []Event{b.list(infra.WorkerLeaving)} }, 0, false},
		"listed as draining": {func(b *bench) []Event { return []Event{b.list(infra.WorkerLive), b.list(infra.WorkerDraining)} }, 0, false},
		"listed as leaving before the last change": {func(b *bench) []Event {
			return []Event{b.list(infra.WorkerLeaving), b.fleet(2, draining), b.fleet(3, nil)}
		}, 0, false},
		"refused":            {refusal, 0, false},
		"refused long ago":   {refusal, refusalMemory, true},
		"reported by a peer": {func(b *bench) []Event { return []Event{b.peer(1, 0, 0, "w1")} }, 0, false},
		"reported by a peer with an older document": {func(b *bench) []Event {
			return []Event{b.fleet(2, nil), b.peer(1, 0, 0, "w1")}
		}, 0, true},
		"reported by a silent peer": {func(b *bench) []Event { return []Event{b.peer(1, 0, 0, "w1")} }, membership.SuspectAfter, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := newBench(t)
			b.wait(time.Second)
			b.step(b.confirmed(), b.peer(1, 0, 0))
			before := b.target("w1").ServiceEpoch
			for _, event := range c.events(b) {
				b.wait(10 * time.Millisecond)
				b.step(event)
			}
			b.wait(c.after)
			b.step()
			b.step() // peers are suspected after targets were judged
			if got := b.target("w1").Usable; got != c.usable {
				t.Errorf("w1 is usable: %v, want %v", got, c.usable)
			}
			if name == "returned" && b.target("w1").ServiceEpoch <= before {
				t.Error("the return did not increase the service epoch")
			}
			if !b.target("w2").Usable {
				t.Error("w2 is not usable")
			}
		})
	}
}

func refusal(*bench) []Event {
	return []Event{TrafficReported{traffic.Report{Draining: []string{"w1"}}}}
}

func (b *bench) lease(id int) Event {
	return Observed{node.LeaseChanged{Lease: store.LeaseID(id + 1), Deadline: b.now.Add(node.GatewayLeaseTTL)}}
}

// route returns how traffic handles an opaque key.
func (b *bench) route() string {
	route := b.snapshot().Keys.Route(b.key, b.now)
	if route.Kind == idempotency.RouteLocal {
		return fmt.Sprintf("here, fresh: %v", route.HistoryComplete)
	}
	return fmt.Sprintf("%v %s", route.Outcome.Kind, route.Outcome.Reason)
}

func (b *bench) wantRoute(when, want string) {
	b.t.Helper()
	if got := b.route(); got != want {
		b.t.Errorf("%s: the key is handled %q, want %q", when, got, want)
	}
}

var noHome = fmt.Sprintf("%v %s", outcome.NotRun, outcome.ReasonNoHome)

// Guards against a gateway that acts as home of a key after its lease lapsed:
// another gateway may have taken over. It must read the list under a new lease.
func TestHomesAfterLapse(t *testing.T) {
	b := newBench(t)
	homes := idempotency.InitialHomes(idempotency.Member{Incarnation: self, Address: "self:1"})
	b.wait(time.Second)
	b.step(b.confirmed(), b.lease(1))
	b.wantRoute("before the list is known", noHome)
	b.wait(time.Second)
	b.step(b.confirmed(), HomesUpdated{Lease: 2, Homes: &homes})
	b.wantRoute("as the first home", "here, fresh: true")
	b.wait(node.GatewayLeaseTTL - time.Second)
	b.step(b.confirmed())
	b.wantRoute("after the lapse", noHome)
	b.wait(time.Second)
	b.step(b.confirmed(), b.lease(2), Observed{node.HomesSeen{Homes: &homes}})
	b.wantRoute("under a new lease with the old list", noHome)
	b.wait(time.Second)
	b.step(b.confirmed(), HomesUpdated{Lease: 2, Homes: &homes})
	b.wantRoute("after a late answer under the old lease", noHome)
	if len(b.updates) == 0 || b.updates[len(b.updates)-1].Lease != 3 {
		t.Errorf("updates of the list: %v, want one under the new lease", b.updates)
	}
	taken := idempotency.Homes{Epoch: 3, Members: []idempotency.Member{{Incarnation: self, Address: "self:1"}}}
	b.wait(time.Second)
	b.step(b.confirmed(), HomesUpdated{Lease: 3, Homes: &taken})
	b.wantRoute("after another one was home", "here, fresh: false")
}

// Guards against two homes of one key: a list counts only after every member
// has acknowledged it.
func TestHomesSettle(t *testing.T) {
	b := newBench(t)
	homes := idempotency.Homes{Epoch: 4, Members: []idempotency.Member{{Incarnation: self, Address: "self:1"}, {Incarnation: other, Address: "peer:1"}}}
	for home, _ := homes.Home(b.key); home.Incarnation != self; home, _ = homes.Home(b.key) {
		b.key += "x" // until the hash gives the key to this gateway
	}
	b.wait(time.Second)
	b.step(b.confirmed(), b.lease(1), HomesUpdated{Lease: 2, Homes: &homes})
	b.wantRoute("before the peer knows the list", noHome)
	b.wait(time.Second)
	b.step(b.confirmed(), b.peer(1, 3, 0))
	b.wantRoute("while the peer holds an earlier list", noHome)
	b.wait(time.Second)
	b.step(b.confirmed(), b.peer(1, 4, 0))
	b.step() // homes are tracked before the messages of peers are merged
	b.wantRoute("after the acknowledgement", "here, fresh: false")
}

// Guards against snapshots that are published without a change, which costs
// every shard work, and against changes that traffic does not learn.
func TestSnapshots(t *testing.T) {
	b := newBench(t)
	b.wait(time.Second)
	b.step(b.confirmed(), b.list(infra.WorkerLive))
	count, first := len(b.snapshots), b.snapshot()
	b.wait(freshnessStep / 2)
	b.step()
	if len(b.snapshots) != count {
		t.Error("a snapshot was published without a change")
	}
	b.wait(freshnessStep/2 - time.Millisecond)
	b.step(b.confirmed())
	if len(b.snapshots) != count {
		t.Error("a small progress of freshness was published")
	}
	b.wait(time.Millisecond)
	b.step(b.confirmed())
	if len(b.snapshots) != count+1 || b.snapshot().Version != first.Version+1 || &b.snapshot().Targets[0] != &first.Targets[0] {
		t.Error("progress of freshness must publish one snapshot with the same targets")
	}
	document := policy.Example("orders", "spare")
	document.Revision = 2
	b.wait(time.Millisecond)
	b.step(Observed{node.ConfigSeen{Document: &document, Revision: 2}})
	if b.snapshot().Policy.Revision() != 2 {
		t.Error("the new configuration was not published")
	}
	b.wait(time.Millisecond)
	b.step(b.fleet(2, func(w *fleet.Worker) { w.State = fleet.Draining }))
	if &b.snapshot().Targets[0] == &first.Targets[0] || !first.Targets[0].Usable {
		t.Error("changed targets must be published in a new slice")
	}
	b.wait(2 * creditInterval)
	b.step(b.confirmed(), TrafficReported{traffic.Report{Demand: []traffic.PoolDemand{{Pool: "orders", Requests: 9}}}})
	if b.snapshot().LiveGateways != 1 {
		t.Errorf("%d live gateways before any was heard", b.snapshot().LiveGateways)
	}
	b.wait(creditInterval)
	b.step(b.confirmed(), b.peer(2, 0, 0))
	if b.snapshot().LiveGateways != 2 {
		t.Errorf("%d live gateways after a peer was heard", b.snapshot().LiveGateways)
	}
}
