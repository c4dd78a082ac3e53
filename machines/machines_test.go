package machines

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/ledger"
	"github.com/waxwingbridge/waxwingbridge/work"
)

const returnTime = 2 * time.Second

// fleet is the owner of the fleet and of all pools beside a machine service.
type fleet struct {
	t        *testing.T
	s        *State
	now      time.Time
	revision int64
	ids      uint64
	machines map[string]*work.Machine
	backAt   map[string]time.Time
	lives    int
	busy     map[string]bool // workers on which something runs
	most     int             // machines that were down at the same time
	calls    []MachineCall
	statuses []bool
	writes   []ledger.Write
	// watchLag is how much later than the answer to a write the watch shows it.
	watchLag time.Duration
	unseen   []laggingRecord
}

type laggingRecord struct {
	at   time.Time
	seen ledger.Record
}

func newFleet(t *testing.T, pools map[string]int) *fleet {
	f := &fleet{t: t, now: time.Unix(1000, 0), machines: map[string]*work.Machine{}, backAt: map[string]time.Time{}, busy: map[string]bool{}}
	f.s = &State{
		TakeoverDelay: 0, MaintenanceTime: returnTime, Partitions: work.Partitions{},
		IsStandbyPool: func(pool string) bool { return pool == "standby" },
		StandbyPool:   func() string { return "standby" },
		IsIdle:        func(worker string, _ time.Time) (bool, bool) { return !f.busy[worker], true },
		PoolToken:     func(string, time.Time) (int64, bool) { return 1, true },
		NextWrite:     func() uint64 { f.ids++; return f.ids },
	}
	for pool, n := range pools {
		for i := range n {
			name := fmt.Sprintf("%s-%d", pool, i)
			f.machines[name] = &work.Machine{Name: name, Pool: pool, State: work.MachineUp}
			f.begin(name)
		}
	}
	return f
}

func (f *fleet) begin(name string) {
	m := f.machines[name]
	m.State = work.MachineUp
	if m.Worker = ""; m.Pool != "standby" {
		f.lives++
		m.Worker = fmt.Sprintf("w%d", f.lives)
	}
}

func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(50 * time.Millisecond)
		tick := engine.Tick{Now: f.now}
		f.s.Ownership = FleetOwnership{Owned: true, Token: 1, ValidUntil: f.now.Add(time.Second)}
		for len(f.unseen) > 0 && !f.now.Before(f.unseen[0].at) {
			f.s.ApplyOrder(f.unseen[0].seen)
			f.unseen = f.unseen[1:]
		}
		down := 0
		for name, at := range f.backAt {
			if f.now.Before(at) {
				down++
				continue
			}
			delete(f.backAt, name)
			f.begin(name)
		}
		f.most = max(f.most, down)
		for _, system := range Systems {
			system.Run(f.s, tick)
		}
		f.s.Lists.Drain(func(struct{}) {
			var list []work.Machine
			for _, m := range f.machines {
				list = append(list, *m)
			}
			f.s.ListDone(list, nil)
		})
		f.s.Calls.Drain(func(c MachineCall) {
			f.calls = append(f.calls, c)
			m := f.machines[c.Machine]
			m.State = work.MachineInMaintenance
			if c.Target != "" {
				m.Pool = c.Target
			}
			f.backAt[c.Machine] = f.now.Add(returnTime)
			f.s.CallDone(tick, c, CallAccepted, "accepted", nil)
		})
		f.s.Writes.Drain(func(w ledger.Write) { f.write(tick, w) })
	}
}

func (f *fleet) write(tick engine.Tick, w ledger.Write) {
	f.revision++
	f.writes = append(f.writes, w)
	for _, put := range w.Put {
		if completed, ok := put.Content.(bool); ok {
			f.statuses = append(f.statuses, completed)
			continue
		}
		f.show(ledger.Record{Key: put.Key, Content: put.Content, Revision: f.revision})
	}
	for _, key := range w.Delete {
		f.show(ledger.Record{Key: key, Deleted: true, Revision: f.revision})
	}
	f.s.WriteDone(tick, ledger.WriteResult{ID: w.ID, Outcome: ledger.Applied, Revision: f.revision})
}

func (f *fleet) show(seen ledger.Record) {
	f.unseen = append(f.unseen, laggingRecord{at: f.now.Add(f.watchLag), seen: seen})
}

// Guards against more machines down than a wave allows: a machine of a standby
// pool has no worker that would tell that it is back.
func TestWaveKeepsItsCap(t *testing.T) {
	f := newFleet(t, map[string]int{"a": 4, "standby": 3})
	f.s.ApplyWave(f.now, work.Wave{Number: 1, Machines: []string{"a-0", "a-1", "standby-0", "standby-1", "standby-2"}, Cap: 2})
	f.run(20 * time.Second)
	if f.most > 2 {
		t.Errorf("%d machines were down at once, the cap is 2", f.most)
	}
	if len(f.calls) != 5 || len(f.statuses) != 2 || !f.statuses[1] {
		t.Errorf("%d orders, statuses %v; want 5 and [false true]", len(f.calls), f.statuses)
	}
}

// Guards against an order for a machine on which something runs, and against a
// wave that is said to be completed without it.
func TestMaintenanceWaitsForTheWork(t *testing.T) {
	f := newFleet(t, map[string]int{"a": 2})
	f.busy[f.machines["a-0"].Worker] = true
	f.s.ApplyWave(f.now, work.Wave{Number: 1, Machines: []string{"a-0", "a-1"}, Cap: 2})
	f.run(10 * time.Second)
	for _, c := range f.calls {
		if c.Machine == "a-0" {
			t.Fatal("a machine is ordered while a run exists on its worker")
		}
	}
	for _, completed := range f.statuses {
		if completed {
			t.Fatal("the wave is said to be completed")
		}
	}
	f.busy = map[string]bool{}
	f.run(10 * time.Second)
	if len(f.statuses) == 0 || !f.statuses[len(f.statuses)-1] {
		t.Error("the wave is not completed")
	}
}

func (f *fleet) demand(pool string, d work.Demand) {
	f.revision++
	f.s.ApplyDemand(f.now, ledger.Record{Key: ledger.Key{Kind: ledger.KindDemand, Name: pool}, Content: &d, Revision: f.revision})
}

// Guards against machines that stay where nobody needs them: a pool that lacks
// some gets those of the standby pool first, then what others can spare.
func TestMovesFollowTheNeed(t *testing.T) {
	f := newFleet(t, map[string]int{"a": 2, "b": 3, "standby": 1})
	spare := f.machines["b-2"].Worker
	f.demand("a", work.Demand{Need: 4, Have: 2})
	f.demand("b", work.Demand{Need: 2, Have: 3, Released: []string{spare}})
	f.run(5 * time.Second)
	if f.machines["standby-0"].Pool != "a" || f.machines["b-2"].Pool != "a" || len(f.calls) != 2 {
		t.Errorf("machines are %+v and %+v after %d orders", f.machines["standby-0"], f.machines["b-2"], len(f.calls))
	}
	if f.s.Orders.Len() != 0 {
		t.Errorf("%d orders stay", f.s.Orders.Len())
	}
}

// Guards against spare machines that stay switched on.
func TestSpareMachinesGoToStandby(t *testing.T) {
	f := newFleet(t, map[string]int{"a": 2})
	f.demand("a", work.Demand{Need: 1, Have: 2, Released: []string{f.machines["a-1"].Worker}})
	f.run(standbyAfter / 2)
	if len(f.calls) != 0 {
		t.Fatal("a machine is switched off before its pool is known to spare it for long")
	}
	f.run(5 * time.Second)
	if f.machines["a-1"].Pool != "standby" {
		t.Error("the spare machine stays on")
	}
}

// Guards against the same state written again and again until the watch shows
// it: each repetition met a conflict and a pause, so that moves took seconds.
func TestOrdersAreWrittenOnce(t *testing.T) {
	f := newFleet(t, map[string]int{"a": 2, "b": 3, "standby": 1})
	f.watchLag = 400 * time.Millisecond
	f.s.ApplyWave(f.now, work.Wave{Number: 1, Machines: []string{"a-0"}, Cap: 1})
	f.demand("b", work.Demand{Need: 4, Have: 3})
	f.run(6 * time.Second)
	puts := map[string]int{}
	for _, w := range f.writes {
		for _, put := range w.Put {
			if order, ok := put.Content.(*work.MachineOrder); ok {
				puts[fmt.Sprint(put.Key, order.State)]++
			}
		}
	}
	for record, n := range puts {
		if n > 1 {
			t.Errorf("%s was written %d times", record, n)
		}
	}
	if len(puts) != 5 { // draining, idle, ordered and done of the wave's machine; the move
		t.Errorf("%d different records were written: %v", len(puts), puts)
	}
}

// Guards against the move of a machine whose pool took it back meanwhile: a plan
// must not be stored beside a later report of the pool, nor beside another
// order for the machine.
func TestPlanNeedsThePresentReport(t *testing.T) {
	f := newFleet(t, map[string]int{"a": 2, "b": 3})
	f.demand("b", work.Demand{Need: 1, Have: 3, Released: []string{f.machines["b-2"].Worker}})
	reported := f.revision
	f.demand("a", work.Demand{Need: 3, Have: 2})
	f.run(time.Second)
	for _, w := range f.writes {
		if len(w.Put) == 0 || w.Put[0].Key.Kind != ledger.KindMachineMove {
			continue
		}
		for _, condition := range []ledger.Condition{
			{Key: ledger.Key{Kind: ledger.KindDemand, Name: "b"}, Revision: reported},
			{Key: ledger.Key{Kind: ledger.KindMachineMove, Name: "b-2"}},
			{Key: ledger.Key{Kind: ledger.KindMachineOrder, Name: "b-2"}},
		} {
			if !slices.Contains(w.Expect, condition) {
				t.Errorf("the plan lacks the condition %+v", condition)
			}
		}
		return
	}
	t.Error("no move was planned")
}
