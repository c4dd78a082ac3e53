package ownership

import (
	"testing"
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/ledger"
	"github.com/waxwingbridge/waxwingbridge/work"
)

var start = time.Unix(1000, 0)

// cluster simulates several processes that share one store.
type cluster struct {
	t           *testing.T
	now         time.Time
	revision    int64
	leases      int64
	records     map[ledger.Key]ledger.Record
	leaseOf     map[ledger.Key]int64
	states      map[string]*State
	unreachable map[string]bool // processes whose store calls fail
	writeIDs    uint64
}

func newCluster(t *testing.T, duties []string, nodes ...string) *cluster {
	c := &cluster{t: t, now: start, records: map[ledger.Key]ledger.Record{}, leaseOf: map[ledger.Key]int64{}, states: map[string]*State{}, unreachable: map[string]bool{}}
	for _, node := range nodes {
		s := &State{Node: node, Incarnation: "1", Millicores: 400, NextWrite: func() uint64 { c.writeIDs++; return c.writeIDs }}
		s.SetRequired(c.now, duties)
		s.MarkSynced(c.now)
		c.states[node] = s
	}
	return c
}

func (c *cluster) run(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); {
		c.now = c.now.Add(20 * time.Millisecond)
		for _, s := range c.states {
			for _, system := range Systems {
				system.Run(s, engine.Tick{Now: c.now})
			}
			s.LeaseCalls.Drain(func(call LeaseCall) { c.answerLeaseCall(s, call) })
			s.Writes.Drain(func(w ledger.Write) { c.commit(s, w) })
		}
	}
}

func (c *cluster) answerLeaseCall(s *State, call LeaseCall) {
	switch {
	case c.unreachable[s.Node]:
		s.LeaseCallDone(c.now, call, 0, 0, c.now, false, errStoreUnreachable{})
	case call.Verb == LeaseGrant:
		c.leases++
		s.LeaseCallDone(c.now, call, c.leases, LeaseTTL, c.now, false, nil)
	case call.Verb == LeaseRelease:
		c.expire(call.Lease)
		s.LeaseCallDone(c.now, call, 0, 0, c.now, false, nil)
	default:
		s.LeaseCallDone(c.now, call, call.Lease, LeaseTTL, c.now, false, nil)
	}
}

type errStoreUnreachable struct{}

func (errStoreUnreachable) Error() string { return "store is unreachable" }

// expire deletes the records bound to a lease.
func (c *cluster) expire(lease int64) {
	for key, holder := range c.leaseOf {
		if holder == lease {
			delete(c.leaseOf, key)
			c.setRecord(ledger.Record{Key: key, Deleted: true})
		}
	}
}

func (c *cluster) setRecord(record ledger.Record) {
	c.revision++
	record.Revision = c.revision
	c.records[record.Key] = record
	for node, s := range c.states {
		if !c.unreachable[node] {
			s.Apply(c.now, record)
		}
	}
}

func (c *cluster) commit(s *State, w ledger.Write) {
	result := ledger.WriteResult{ID: w.ID, Outcome: ledger.Refused}
	if c.unreachable[s.Node] {
		s.WriteDone(c.now, result)
		return
	}
	for _, condition := range w.Expect {
		current := c.records[condition.Key]
		if current.Deleted {
			current.Revision = 0
		}
		if current.Revision != condition.Revision {
			result.Outcome, result.Current = ledger.Conflict, []ledger.Record{{Key: condition.Key, Content: current.Content, Revision: current.Revision, Deleted: current.Revision == 0}}
			s.WriteDone(c.now, result)
			return
		}
	}
	for _, put := range w.Put {
		if put.Leased {
			c.leaseOf[put.Key] = s.Lease
		}
		c.setRecord(ledger.Record{Key: put.Key, Content: put.Content})
		result.Outcome, result.Revision = ledger.Applied, c.revision
		if put.Key.Kind == ledger.KindOwner {
			result.Revision = c.records[put.Key].Revision
		}
	}
	s.WriteDone(c.now, result)
}

func (c *cluster) owners(duty string) (names []string, token int64) {
	for node, s := range c.states {
		if at, _, owned := s.FencingToken(duty, c.now); owned {
			names, token = append(names, node), at
		}
	}
	return names, token
}

var duties = []string{"a", "b", "c", "d"}

// Guards against duties with no owner or two, and against one process that owns
// most of them.
func TestDutiesAreShared(t *testing.T) {
	c := newCluster(t, duties, "n1", "n2", "n3", "n4")
	c.run(2 * time.Second)
	per := map[string]int{}
	for _, duty := range duties {
		names, _ := c.owners(duty)
		if len(names) != 1 {
			t.Fatalf("duty %s is owned by %v", duty, names)
		}
		per[names[0]]++
	}
	for node, n := range per {
		if n > 2 {
			t.Errorf("%s owns %d of 4 duties", node, n)
		}
	}
}

// Guards against two owners of a duty and against a fencing token that does not
// increase: a process that cannot reach the store gives up its duties by its own
// clock before the store can expire its lease.
func TestUnreachableOwnerStopsBeforeTakeover(t *testing.T) {
	c := newCluster(t, []string{"a"}, "n1", "n2")
	c.run(2 * time.Second)
	names, token := c.owners("a")
	if len(names) != 1 {
		t.Fatalf("owners are %v", names)
	}
	old := c.states[names[0]]
	c.unreachable[names[0]] = true
	for c.now.Before(start.Add(2*time.Second + LeaseTTL)) {
		c.run(20 * time.Millisecond)
	}
	if _, _, owned := old.FencingToken("a", c.now); owned {
		t.Fatal("the process still owns the duty when the store may expire its lease")
	}
	c.expire(old.Lease)
	c.run(2 * time.Second)
	now, next := c.owners("a")
	if len(now) != 1 || now[0] == names[0] || next <= token {
		t.Errorf("owners are %v with token %d after %d", now, next, token)
	}
}

// Guards against a planned shutdown whose duties have no owner until the lease
// expires.
func TestReleaseHandsOverImmediately(t *testing.T) {
	c := newCluster(t, []string{"a"}, "n1", "n2")
	c.run(2 * time.Second)
	names, _ := c.owners("a")
	c.states[names[0]].Release()
	c.run(time.Second)
	if now, _ := c.owners("a"); len(now) != 1 || now[0] == names[0] {
		t.Errorf("owners after the release are %v", now)
	}
}

// Guards against a restarted process that takes the owner record of its
// predecessor for its own.
func TestRestartedProcessIsAnotherOwner(t *testing.T) {
	s := &State{Node: "n1", Incarnation: "2", NextWrite: func() uint64 { return 1 }}
	s.Apply(start, ledger.Record{
		Key: ledger.Key{Kind: ledger.KindOwner, Name: "a"}, Revision: 5, Content: &work.Ownership{Node: "n1", Incarnation: "1"},
	})
	if s.IsRecordedOwner("a") {
		t.Error("the owner record of an earlier incarnation counts as the process's own")
	}
}

// Guards against duties that go to machines with a small processor share although
// a larger one has room for them.
func TestLargerMachinesArePreferred(t *testing.T) {
	c := newCluster(t, []string{"a", "b"}, "n1", "n2", "n3")
	c.states["n2"].Millicores = 1600
	c.run(2 * time.Second)
	for _, duty := range []string{"a", "b"} {
		if names, _ := c.owners(duty); len(names) != 1 || names[0] != "n2" {
			t.Errorf("duty %s is owned by %v, want n2", duty, names)
		}
	}
}

// Guards against duties without owner until the lease of a killed process expires:
// a process restarted on the same machine claims them immediately.
func TestRestartedProcessInheritsItsDuties(t *testing.T) {
	c := newCluster(t, []string{"a", "b"}, "n1", "n2")
	c.run(2 * time.Second)
	names, token := c.owners("a")
	killed := names[0]
	next := &State{Node: killed, Incarnation: "2", Millicores: 400, NextWrite: c.states[killed].NextWrite}
	c.states[killed] = next
	next.SetRequired(c.now, []string{"a", "b"})
	for _, record := range c.records {
		next.Apply(c.now, record)
	}
	next.MarkSynced(c.now)
	c.run(200 * time.Millisecond)
	if after, newToken := c.owners("a"); len(after) != 1 || after[0] != killed || newToken <= token {
		t.Errorf("owners are %v with token %d after %d", after, newToken, token)
	}
}

// Guards against a local epoch that runs ahead of the stored one when the watch
// delivers a claim before the result of its write, and against a late result that
// revives an owner record which was deleted meanwhile.
func TestLateResultOfAClaimKeepsTheStoredState(t *testing.T) {
	c := newCluster(t, []string{"a"}, "n1")
	c.run(2 * time.Second)
	s := c.states["n1"]
	stored, _ := c.records[ledger.Key{Kind: ledger.KindEpoch, Name: "a"}].Content.(*work.Ownership)
	if _, epoch, owned := s.FencingToken("a", c.now); !owned || epoch != stored.Epoch {
		t.Errorf("owned %v in epoch %d, the store has epoch %d", owned, epoch, stored.Epoch)
	}

	var claim ledger.Write
	late := &State{Node: "n2", Incarnation: "1", Millicores: 400, NextWrite: func() uint64 { return 77 }}
	late.SetRequired(c.now, []string{"b"})
	late.MarkSynced(c.now.Add(-time.Minute))
	late.Lease, late.LeaseValidUntil, late.advertised = 9, c.now.Add(time.Second), true
	claimDuties(late, engine.Tick{Now: c.now})
	late.Writes.Drain(func(w ledger.Write) { claim = w })
	owner := ledger.Key{Kind: ledger.KindOwner, Name: "b"}
	late.Apply(c.now, ledger.Record{Key: owner, Revision: 50, Content: claim.Put[0].Content})
	late.Apply(c.now, ledger.Record{Key: owner, Revision: 51, Deleted: true})
	late.WriteDone(c.now, ledger.WriteResult{ID: claim.ID, Outcome: ledger.Applied, Revision: 50})
	if late.IsRecordedOwner("b") {
		t.Error("the late result of a claim revives a deleted owner record")
	}
}

// Guards against an advertisement of an earlier process that is stored late: it would replace
// that of the present process and vanish with the earlier lease.
func TestLateAdvertisementReplacesNoLaterOne(t *testing.T) {
	c := newCluster(t, []string{"a"}, "n1")
	earlier := c.states["n1"]
	maintainLease(earlier, engine.Tick{Now: c.now})
	earlier.LeaseCalls.Drain(func(call LeaseCall) { c.answerLeaseCall(earlier, call) })
	advertise(earlier, engine.Tick{Now: c.now})
	var late ledger.Write
	earlier.Writes.Drain(func(w ledger.Write) { late = w })
	next := &State{Node: "n1", Incarnation: "2", Millicores: 400, NextWrite: earlier.NextWrite}
	next.SetRequired(c.now, []string{"a"})
	next.MarkSynced(c.now)
	c.states["n1"] = next
	c.run(time.Second)
	c.commit(earlier, late)
	key := ledger.Key{Kind: ledger.KindPeer, Name: "n1"}
	if owner, _ := c.records[key].Content.(*work.Ownership); owner == nil || owner.Incarnation != "2" {
		t.Errorf("the process is advertised as %+v, want incarnation 2", owner)
	}
}

// Guards against a process that never claims a duty since it can't advertise itself: a record of
// an earlier process that it hasn't read is stored, or its own view of that record is out of date.
func TestProcessAdvertisesWhateverIsStored(t *testing.T) {
	key := ledger.Key{Kind: ledger.KindPeer, Name: "n1"}
	for name, c := range map[string]struct{ stored, known bool }{
		"unread record":       {stored: true},
		"record that is gone": {known: true},
		"unreadable record":   {stored: true, known: true},
	} {
		t.Run(name, func(t *testing.T) {
			cluster := newCluster(t, []string{"a"}, "n1")
			cluster.revision = 10
			if c.known {
				cluster.states["n1"].Apply(cluster.now, ledger.Record{Key: key, Content: &work.Ownership{Node: "n1"}, Revision: 5})
			}
			if c.stored {
				cluster.records[key] = ledger.Record{Key: key, Revision: 7}
			}
			cluster.run(2 * time.Second)
			if owner, _ := cluster.records[key].Content.(*work.Ownership); owner == nil || owner.Incarnation != "1" {
				t.Errorf("the process is advertised as %+v", owner)
			}
		})
	}
}
