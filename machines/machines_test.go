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

const maintenanceTime = 2 * time.Second

// harness runs a State that owns the fleet and all pools, with a simulated machine
// service and store.
type harness struct {
	t              *testing.T
	s              *State
	now            time.Time
	ownedSince     time.Time // when this process became the owner of the fleet
	revision       int64
	ids            uint64
	machines       map[string]*work.Machine
	returnAt       map[string]time.Time
	workersStarted int
	busy           map[string]bool // workers with a run
	maxDown        int             // largest number of machines that were down at the same time
	calls          []MachineCall
	statuses       []bool
	writes         []ledger.Write
	// watchLag is the delay between the result of a write and its delivery by the
	// watch.
	watchLag    time.Duration
	undelivered []delayedRecord
	// refuse reports whether the store refuses a write; nil accepts all.
	refuse func(ledger.Write) bool
	// current returns the records with which a write conflicts, or nil if it does not.
	current func(ledger.Write) []ledger.Record
	// holdAnswers keeps the answers of the machine service from the process.
	holdAnswers bool
	// loseAnswers is the number of calls that are executed but get no answer until
	// the maintenance has finished.
	loseAnswers int
	// holdLists keeps the answers of machine lists from the process.
	holdLists  bool
	maintained map[string]int // the last wave for which each machine was maintained
	lost       []MachineCall
}

type delayedRecord struct {
	at     time.Time
	record ledger.Record
}

func newHarness(t *testing.T, pools map[string]int) *harness {
	h := &harness{t: t, now: time.Unix(1000, 0), ownedSince: time.Unix(1000, 0), machines: map[string]*work.Machine{}, returnAt: map[string]time.Time{}, busy: map[string]bool{}, maintained: map[string]int{}}
	h.s = &State{
		TakeoverDelay: 0, MaintenanceTime: maintenanceTime, CallsPerSecond: 1000, Partitions: work.Partitions{},
		IsStandbyPool: func(pool string) bool { return pool == "standby" },
		StandbyPool:   func() string { return "standby" },
		IsIdle:        func(worker string, _ time.Time) (bool, bool) { return !h.busy[worker], true },
		PoolToken:     func(string, time.Time) (int64, bool) { return 1, true },
		NextWrite:     func() uint64 { h.ids++; return h.ids },
	}
	for pool, n := range pools {
		for i := range n {
			name := fmt.Sprintf("%s-%d", pool, i)
			h.machines[name] = &work.Machine{Name: name, Pool: pool, State: work.MachineUp}
			h.startMachine(name)
		}
	}
	return h
}

func (h *harness) startMachine(name string) {
	m := h.machines[name]
	m.State = work.MachineUp
	if m.Worker = ""; m.Pool != "standby" {
		h.workersStarted++
		m.Worker = fmt.Sprintf("w%d", h.workersStarted)
	}
}

func (h *harness) run(d time.Duration) {
	for end := h.now.Add(d); h.now.Before(end); {
		h.now = h.now.Add(50 * time.Millisecond)
		tick := engine.Tick{Now: h.now}
		h.s.Ownership = FleetOwnership{Owned: true, Token: 1, Since: h.ownedSince, ValidUntil: h.now.Add(time.Second)}
		for len(h.undelivered) > 0 && !h.now.Before(h.undelivered[0].at) {
			h.s.ApplyOrder(h.now, h.undelivered[0].record)
			h.undelivered = h.undelivered[1:]
		}
		down := 0
		for name, at := range h.returnAt {
			if h.now.Before(at) {
				down++
				continue
			}
			delete(h.returnAt, name)
			h.startMachine(name)
		}
		if len(h.lost) > 0 && len(h.returnAt) == 0 {
			h.s.CallDone(tick, h.lost[0], CallRetry, "no answer", nil)
			h.lost = h.lost[1:]
		}
		h.maxDown = max(h.maxDown, down)
		for _, system := range Systems {
			system.Run(h.s, tick)
		}
		h.s.Lists.Drain(func(struct{}) {
			if h.holdLists {
				return
			}
			var list []work.Machine
			for _, m := range h.machines {
				list = append(list, *m)
			}
			h.s.ListDone(list, nil)
		})
		h.s.Calls.Drain(func(c MachineCall) { h.call(tick, c) })
		h.s.Writes.Drain(func(w ledger.Write) { h.write(tick, w) })
	}
}

// call executes an order. The order of a wave that has maintained the machine before
// is accepted without effect.
func (h *harness) call(tick engine.Tick, c MachineCall) {
	h.calls = append(h.calls, c)
	m := h.machines[c.Machine]
	if c.Target != "" || h.maintained[c.Machine] != c.Wave {
		m.State = work.MachineInMaintenance
		if c.Target != "" {
			m.Pool = c.Target
		} else {
			h.maintained[c.Machine] = c.Wave
		}
		h.returnAt[c.Machine] = h.now.Add(maintenanceTime)
	}
	switch {
	case h.holdAnswers:
	case h.loseAnswers > 0:
		h.loseAnswers--
		h.lost = append(h.lost, c)
	default:
		h.s.CallDone(tick, c, CallAccepted, "accepted", nil)
	}
}

func (h *harness) write(tick engine.Tick, w ledger.Write) {
	h.revision++
	h.writes = append(h.writes, w)
	if h.refuse != nil && h.refuse(w) {
		h.s.WriteDone(tick, ledger.WriteResult{ID: w.ID, Outcome: ledger.Refused})
		return
	}
	if h.current != nil {
		if records := h.current(w); records != nil {
			h.s.WriteDone(tick, ledger.WriteResult{ID: w.ID, Outcome: ledger.Conflict, Current: records})
			return
		}
	}
	for _, put := range w.Put {
		if completed, ok := put.Content.(bool); ok {
			h.statuses = append(h.statuses, completed)
			continue
		}
		h.publish(ledger.Record{Key: put.Key, Content: put.Content, Revision: h.revision})
	}
	for _, key := range w.Delete {
		h.publish(ledger.Record{Key: key, Deleted: true, Revision: h.revision})
	}
	h.s.WriteDone(tick, ledger.WriteResult{ID: w.ID, Outcome: ledger.Applied, Revision: h.revision})
}

func (h *harness) publish(record ledger.Record) {
	h.undelivered = append(h.undelivered, delayedRecord{at: h.now.Add(h.watchLag), record: record})
}

// Guards against more machines down than the cap of a wave. A machine of a standby
// pool has no worker whose replacement would show that it is back.
func TestWaveRespectsItsCap(t *testing.T) {
	h := newHarness(t, map[string]int{"a": 4, "standby": 3})
	h.s.ApplyWave(h.now, work.Wave{Number: 1, Machines: []string{"a-0", "a-1", "standby-0", "standby-1", "standby-2"}, Cap: 2}, true)
	h.run(20 * time.Second)
	if h.maxDown > 2 {
		t.Errorf("%d machines were down at once, the cap is 2", h.maxDown)
	}
	if len(h.calls) != 5 || len(h.statuses) != 2 || !h.statuses[1] {
		t.Errorf("%d orders, statuses %v; want 5 and [false true]", len(h.calls), h.statuses)
	}
}

// Guards against the maintenance of a machine on which something runs, and against
// a wave that is reported as completed without that machine.
func TestMaintenanceWaitsForRuns(t *testing.T) {
	h := newHarness(t, map[string]int{"a": 2})
	h.busy[h.machines["a-0"].Worker] = true
	h.s.ApplyWave(h.now, work.Wave{Number: 1, Machines: []string{"a-0", "a-1"}, Cap: 2}, true)
	h.run(10 * time.Second)
	for _, c := range h.calls {
		if c.Machine == "a-0" {
			t.Fatal("maintenance was ordered while a run exists on the machine's worker")
		}
	}
	for _, completed := range h.statuses {
		if completed {
			t.Fatal("the wave is reported as completed before the maintenance of all machines")
		}
	}
	h.busy = map[string]bool{}
	h.run(10 * time.Second)
	if len(h.statuses) == 0 || !h.statuses[len(h.statuses)-1] {
		t.Error("the wave is not reported as completed")
	}
}

func (h *harness) reportDemand(pool string, d work.Demand) {
	h.revision++
	h.s.ApplyDemand(h.now, ledger.Record{Key: ledger.Key{Kind: ledger.KindDemand, Name: pool}, Content: &d, Revision: h.revision})
}

// Guards against a pool that lacks machines while others have released some or the
// standby pool has some.
func TestMovesFollowDemand(t *testing.T) {
	h := newHarness(t, map[string]int{"a": 2, "b": 3, "standby": 1})
	released := h.machines["b-2"].Worker
	h.reportDemand("a", work.Demand{Need: 4, Have: 2})
	h.reportDemand("b", work.Demand{Need: 2, Have: 3, Released: []string{released}})
	h.run(5 * time.Second)
	if h.machines["standby-0"].Pool != "a" || h.machines["b-2"].Pool != "a" || len(h.calls) != 2 {
		t.Errorf("machines are %+v and %+v after %d orders", h.machines["standby-0"], h.machines["b-2"], len(h.calls))
	}
	if h.s.Orders.Len() != 0 {
		t.Errorf("%d orders are left", h.s.Orders.Len())
	}
}

// Guards against machines that go to a pool whose forecast calls for many while another
// pool needs them now, and against a forecast that gets none of those that are left.
func TestForecastNeedComesAfterPresentNeeds(t *testing.T) {
	h := newHarness(t, map[string]int{"a": 2, "b": 2, "standby": 3})
	h.reportDemand("a", work.Demand{Need: 2, Have: 2, Expected: 20})
	h.reportDemand("b", work.Demand{Need: 4, Have: 2})
	h.run(5 * time.Second)
	moved := map[string]int{}
	for _, name := range []string{"standby-0", "standby-1", "standby-2"} {
		moved[h.machines[name].Pool]++
	}
	if moved["b"] != 2 || moved["a"] != 1 {
		t.Errorf("of three machines %d went to the pool that needs 2 now and %d to the one with a forecast", moved["b"], moved["a"])
	}
}

// Guards against machines that are taken from a pool which has as many as it needs, because
// the forecast of another pool calls for them.
func TestForecastTakesNoMachineFromAnotherPool(t *testing.T) {
	h := newHarness(t, map[string]int{"a": 2, "b": 3})
	h.reportDemand("a", work.Demand{Need: 2, Have: 2, Expected: 20})
	h.reportDemand("b", work.Demand{Need: 3, Have: 3})
	h.run(5 * time.Second)
	if len(h.calls) != 0 {
		t.Errorf("%d machines were moved, want none", len(h.calls))
	}
}

// Guards against released machines that stay switched on.
func TestReleasedMachinesMoveToStandby(t *testing.T) {
	h := newHarness(t, map[string]int{"a": 2})
	h.reportDemand("a", work.Demand{Need: 1, Have: 2, Released: []string{h.machines["a-1"].Worker}})
	h.run(standbyDelay / 2)
	if len(h.calls) != 0 {
		t.Fatal("a machine is switched off before it has been released for standbyDelay")
	}
	h.run(5 * time.Second)
	if h.machines["a-1"].Pool != "standby" {
		t.Error("the released machine was not moved to the standby pool")
	}
}

// Guards against repeated writes of the same state until the watch delivers it: each
// repetition conflicts and is followed by a pause, which delayed moves by seconds.
func TestOrdersAreWrittenOnce(t *testing.T) {
	h := newHarness(t, map[string]int{"a": 2, "b": 3, "standby": 1})
	h.watchLag = 400 * time.Millisecond
	h.s.ApplyWave(h.now, work.Wave{Number: 1, Machines: []string{"a-0"}, Cap: 1}, true)
	h.reportDemand("b", work.Demand{Need: 4, Have: 3})
	h.run(6 * time.Second)
	puts := map[string]int{}
	for _, w := range h.writes {
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
	if len(puts) != 5 { // four states of the wave's machine: draining, idle, ordered, done; the move
		t.Errorf("%d different records were written, want 5: %v", len(puts), puts)
	}
}

// Guards against the move of a machine that its pool has taken back: a plan must not
// be stored after a later report of the pool, or beside another order for the
// machine.
func TestPlanRequiresLatestDemandReport(t *testing.T) {
	h := newHarness(t, map[string]int{"a": 2, "b": 3})
	h.reportDemand("b", work.Demand{Need: 1, Have: 3, Released: []string{h.machines["b-2"].Worker}})
	reported := h.revision
	h.reportDemand("a", work.Demand{Need: 3, Have: 2})
	h.run(time.Second)
	for _, w := range h.writes {
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
