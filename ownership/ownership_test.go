package ownership

import (
	"testing"
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/ledger"
	"github.com/waxwingbridge/waxwingbridge/work"
)

var start = time.Unix(1000, 0)

// group is some processes on one store.
type group struct {
	t        *testing.T
	now      time.Time
	revision int64
	leases   int64
	records  map[ledger.Key]ledger.Record
	leaseOf  map[ledger.Key]int64
	states   map[string]*State
	cut      map[string]bool // the store turns the process away
	writeIDs uint64
}

func newGroup(t *testing.T, duties []string, nodes ...string) *group {
	g := &group{t: t, now: start, records: map[ledger.Key]ledger.Record{}, leaseOf: map[ledger.Key]int64{}, states: map[string]*State{}, cut: map[string]bool{}}
	for _, node := range nodes {
		s := &State{Node: node, Incarnation: "1", Millicores: 400, NextWrite: func() uint64 { g.writeIDs++; return g.writeIDs }}
		s.SetRequired(g.now, duties)
		s.MarkSynced(g.now)
		g.states[node] = s
	}
	return g
}

func (g *group) run(d time.Duration) {
	for end := g.now.Add(d); g.now.Before(end); {
		g.now = g.now.Add(20 * time.Millisecond)
		for _, s := range g.states {
			for _, system := range Systems {
				system.Run(s, engine.Tick{Now: g.now})
			}
			s.LeaseCalls.Drain(func(c LeaseCall) { g.lease(s, c) })
			s.Writes.Drain(func(w ledger.Write) { g.write(s, w) })
		}
	}
}

func (g *group) lease(s *State, c LeaseCall) {
	switch {
	case g.cut[s.Node]:
		s.LeaseCallDone(g.now, c, 0, 0, g.now, false, errCut{})
	case c.Verb == LeaseGrant:
		g.leases++
		s.LeaseCallDone(g.now, c, g.leases, LeaseTTL, g.now, false, nil)
	case c.Verb == LeaseRelease:
		g.expire(c.Lease)
		s.LeaseCallDone(g.now, c, 0, 0, g.now, false, nil)
	default:
		s.LeaseCallDone(g.now, c, c.Lease, LeaseTTL, g.now, false, nil)
	}
}

type errCut struct{}

func (errCut) Error() string { return "cut off" }

// expire removes the records of a lease.
func (g *group) expire(lease int64) {
	for key, of := range g.leaseOf {
		if of == lease {
			delete(g.leaseOf, key)
			g.change(ledger.Record{Key: key, Deleted: true})
		}
	}
}

func (g *group) change(seen ledger.Record) {
	g.revision++
	seen.Revision = g.revision
	g.records[seen.Key] = seen
	for node, s := range g.states {
		if !g.cut[node] {
			s.Apply(g.now, seen)
		}
	}
}

func (g *group) write(s *State, w ledger.Write) {
	result := ledger.WriteResult{ID: w.ID, Outcome: ledger.Refused}
	if g.cut[s.Node] {
		s.WriteDone(g.now, result)
		return
	}
	for _, c := range w.Expect {
		current := g.records[c.Key]
		if current.Deleted {
			current.Revision = 0
		}
		if current.Revision != c.Revision {
			result.Outcome = ledger.Conflict
			s.WriteDone(g.now, result)
			return
		}
	}
	for _, put := range w.Put {
		if put.Leased {
			g.leaseOf[put.Key] = s.Lease
		}
		g.change(ledger.Record{Key: put.Key, Content: put.Content})
		result.Outcome, result.Revision = ledger.Applied, g.revision
		if put.Key.Kind == ledger.KindOwner {
			result.Revision = g.records[put.Key].Revision
		}
	}
	s.WriteDone(g.now, result)
}

func (g *group) owners(duty string) (names []string, token int64) {
	for node, s := range g.states {
		if at, _, owned := s.FencingToken(duty, g.now); owned {
			names, token = append(names, node), at
		}
	}
	return names, token
}

var duties = []string{"a", "b", "c", "d"}

// Guards against duties without an owner, with two, or all at one process.
func TestDutiesAreShared(t *testing.T) {
	g := newGroup(t, duties, "n1", "n2", "n3", "n4")
	g.run(2 * time.Second)
	per := map[string]int{}
	for _, duty := range duties {
		names, _ := g.owners(duty)
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

// Guards against a token that does not rise, and against two owners: a process
// that the store turns away stops by its own clock before its lease can end.
func TestOwnerThatIsCutOffStopsFirst(t *testing.T) {
	g := newGroup(t, []string{"a"}, "n1", "n2")
	g.run(2 * time.Second)
	names, token := g.owners("a")
	if len(names) != 1 {
		t.Fatalf("owners are %v", names)
	}
	old := g.states[names[0]]
	g.cut[names[0]] = true
	for g.now.Before(start.Add(2*time.Second + LeaseTTL)) {
		g.run(20 * time.Millisecond)
	}
	if _, _, owned := old.FencingToken("a", g.now); owned {
		t.Fatal("the process owns the duty when the store may give it away")
	}
	g.expire(old.Lease)
	g.run(2 * time.Second)
	now, next := g.owners("a")
	if len(now) != 1 || now[0] == names[0] || next <= token {
		t.Errorf("owners are %v with token %d after %d", now, next, token)
	}
}

// Guards against a planned stop that leaves its duties to the end of a lease.
func TestReleaseHandsOverAtOnce(t *testing.T) {
	g := newGroup(t, []string{"a"}, "n1", "n2")
	g.run(2 * time.Second)
	names, _ := g.owners("a")
	g.states[names[0]].Release()
	g.run(time.Second)
	if now, _ := g.owners("a"); len(now) != 1 || now[0] == names[0] {
		t.Errorf("owners after the release are %v", now)
	}
}

// Guards against a predecessor's record that a restarted process takes for its
// own.
func TestRestartedProcessIsAnotherOwner(t *testing.T) {
	s := &State{Node: "n1", Incarnation: "2", NextWrite: func() uint64 { return 1 }}
	s.Apply(start, ledger.Record{
		Key: ledger.Key{Kind: ledger.KindOwner, Name: "a"}, Revision: 5, Content: &work.Ownership{Node: "n1", Incarnation: "1"},
	})
	if s.IsRecordedOwner("a") {
		t.Error("the record of an earlier incarnation counts as its own")
	}
}

// Guards against all duties on weak machines.
func TestStrongMachinesComeFirst(t *testing.T) {
	g := newGroup(t, []string{"a", "b"}, "n1", "n2", "n3")
	g.states["n2"].Millicores = 1600
	g.run(2 * time.Second)
	for _, duty := range []string{"a", "b"} {
		if names, _ := g.owners(duty); len(names) != 1 || names[0] != "n2" {
			t.Errorf("duty %s is owned by %v, want n2", duty, names)
		}
	}
}

// Guards against duties that wait for the lease of a process that was killed
// and is back: its successor on the machine takes them over at once.
func TestRestartedProcessInheritsItsDuties(t *testing.T) {
	g := newGroup(t, []string{"a", "b"}, "n1", "n2")
	g.run(2 * time.Second)
	names, token := g.owners("a")
	killed := names[0]
	next := &State{Node: killed, Incarnation: "2", Millicores: 400, NextWrite: g.states[killed].NextWrite}
	g.states[killed] = next
	next.SetRequired(g.now, []string{"a", "b"})
	for _, seen := range g.records {
		next.Apply(g.now, seen)
	}
	next.MarkSynced(g.now)
	g.run(200 * time.Millisecond)
	if after, newToken := g.owners("a"); len(after) != 1 || after[0] != killed || newToken <= token {
		t.Errorf("owners are %v with token %d after %d", after, newToken, token)
	}
}
