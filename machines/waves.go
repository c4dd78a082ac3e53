// Package machines carries out the operator's maintenance waves and moves
// machines to the pools that need them. The owner of the fleet's machines
// chooses machines and gives the orders; the owner of a machine's pool takes
// the work off it first. Both work on durable orders, so that either may be
// replaced at any step.
//
// The package does no I/O: Systems run in each tick, and writes and orders
// leave as outbound rows.
package machines

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/events"
	"github.com/waxwingbridge/waxwingbridge/ledger"
	"github.com/waxwingbridge/waxwingbridge/table"
	"github.com/waxwingbridge/waxwingbridge/work"
)

// FleetDuty is the name of the duty whose owner orders machines.
const FleetDuty = "fleet"

const (
	// listEvery is the interval of machine lists while a wave is open.
	listEvery = 400 * time.Millisecond
	// retryOrder is the pause after an order that was not accepted.
	retryOrder = 400 * time.Millisecond
	// retryWrite is the pause after a write that failed.
	retryWrite = 150 * time.Millisecond
	// drainAhead machines are taken out of their pools before a place under
	// the cap is free, so that draining doesn't lengthen the wave.
	drainAhead = 1
	// returnSlack is added to the stated length of a maintenance.
	returnSlack = 500 * time.Millisecond
	// maxEntries keeps a write within the 32 entries of a store transaction.
	maxEntries = 30
)

// Wave is a maintenance wave of the operator.
type Wave struct {
	work.Wave
	ReceivedAt time.Time
	Status     WaveStatus
	saving     uint64
	chosen     []*work.MachineOrder // orders that are being written
	retryAt    time.Time
	completed  bool // said to the operator
}

// WaveStatus is what the operator was told.
type WaveStatus uint8

// What the operator was told about a wave.
const (
	WaveStatusNone WaveStatus = iota
	WaveStatusRunning
	WaveStatusCompleted
)

// MachineCall is an outbound call to the machine service: a move to the target
// pool, or the maintenance of the wave if there is no target.
type MachineCall struct {
	Order    table.ID
	Machine  string
	Wave     int
	Target   string
	Token    int64
	NotAfter time.Time
}

// FleetOwnership is what this process may do at the moment.
type FleetOwnership struct {
	Owned      bool
	Token      int64
	Since      time.Time
	ValidUntil time.Time
}

// State holds the tables.
type State struct {
	// TakeoverDelay is the pause before a new owner orders a machine.
	TakeoverDelay time.Duration
	// MaintenanceTime is how long a machine is down for its maintenance.
	MaintenanceTime time.Duration
	Ownership       FleetOwnership
	// Partitions tells how pools are divided; nil until that is decided.
	Partitions    work.Partitions
	IsStandbyPool func(pool string) bool
	// StandbyPool returns the pool whose machines are off, or "".
	StandbyPool func() string
	// IsIdle reports whether nothing runs on a worker of an owned pool.
	IsIdle func(worker string, now time.Time) (idle, known bool)
	// PoolToken returns the token of an owned pool.
	PoolToken func(pool string, now time.Time) (int64, bool)

	Waves  table.Table[Wave]
	Orders table.Table[Order]

	Writes    table.Outbound[ledger.Write]
	Calls     table.Outbound[MachineCall]
	Lists     table.Outbound[struct{}]
	Logs      table.Outbound[events.Record]
	NextWrite func() uint64

	Demands table.Table[Demand]

	waveByNumber table.Index[int]
	orderByKey   table.Index[ledger.Key]
	demandByDuty table.Index[string]
	machines     map[string]work.Machine
	listedAt     time.Time // when the last list was asked for
	listing      bool
	nextList     time.Time
	changes      map[ledger.Key]int64           // last seen revision of an order
	planned      map[uint64][]work.MachineOrder // moves that are being written
	removing     map[uint64][]ledger.Key        // records of moves that are being deleted
	nextPlan     time.Time
	nextRemoval  time.Time
	dividing     uint64 // write of the partitions in flight
	divideAt     time.Time
	refused      map[string]time.Time // machines that the service would not move
}

// Systems lists the systems in the order in which they run.
var Systems = []engine.System[State]{
	{Name: "hand over idle machines", Run: handOver},
	{Name: "list machines", Run: listMachines},
	{Name: "divide pools", Run: dividePools},
	{Name: "follow machines", Run: followMachines},
	{Name: "choose machines", Run: chooseMachines},
	{Name: "plan moves", Run: planMoves},
	{Name: "order maintenance", Run: orderMaintenance},
	{Name: "order moves", Run: orderMoves},
	{Name: "remove finished moves", Run: removeMoves},
	{Name: "tell the operator", Run: tellOperator},
}

func (s *State) log(event events.Event, fields ...events.Field) {
	s.Logs.Add(events.Record{Event: event, Fields: fields})
}

// ApplyWave records a wave of the operator.
func (s *State) ApplyWave(now time.Time, wave work.Wave) {
	if id, ok := s.waveByNumber.Get(wave.Number); ok {
		s.Waves.Get(id).Wave = wave
		return
	}
	s.waveByNumber.Put(wave.Number, s.Waves.Insert(Wave{Wave: wave, ReceivedAt: now}))
	s.log(events.MaintenanceWaveRequested, events.F("wave", wave.Number), events.F("machines", len(wave.Machines)),
		events.F("cap", wave.Cap), events.F("within_s", wave.Within.Seconds()))
}

// ApplyWaveStatus records what the store says the operator was told.
func (s *State) ApplyWaveStatus(now time.Time, number int, completed bool) {
	id, ok := s.waveByNumber.Get(number)
	if !ok {
		id = s.Waves.Insert(Wave{Wave: work.Wave{Number: number}, ReceivedAt: now})
		s.waveByNumber.Put(number, id)
	}
	s.Waves.Get(id).Status = WaveStatusRunning
	if completed {
		s.Waves.Get(id).Status = WaveStatusCompleted
	}
}

// WorkersUnderOrder iterates over the workers that are taken out of their pools.
func (s *State) WorkersUnderOrder(yield func(worker string) bool) {
	for _, o := range s.Orders.All() {
		if o.Worker != "" && o.State != work.MachineDone && !yield(o.Worker) {
			return
		}
	}
}

// MaintenanceDue iterates over the machines whose maintenance is still to come.
func (s *State) MaintenanceDue(yield func(machine string) bool) {
	for _, w := range s.Waves.All() {
		if w.Status == WaveStatusCompleted {
			continue
		}
		for _, name := range w.Machines {
			id, known := s.orderByKey.Get(ledger.Key{Kind: ledger.KindMachineOrder, Name: name})
			if known && s.Orders.Get(id).State == work.MachineDone {
				continue
			}
			if !yield(name) {
				return
			}
		}
	}
}

func (s *State) fence() ledger.Condition {
	return ledger.Condition{Key: ledger.Key{Kind: ledger.KindOwner, Name: FleetDuty}, Revision: s.Ownership.Token}
}

func (s *State) commands(now time.Time) bool {
	return s.Ownership.Owned && now.Before(s.Ownership.ValidUntil)
}

func (s *State) open() bool {
	for _, w := range s.Waves.All() {
		if w.Status != WaveStatusCompleted && len(w.Machines) > 0 {
			return true
		}
	}
	return false
}

func listMachines(s *State, tick engine.Tick) {
	if !s.commands(tick.Now) || (!s.open() && !s.moving(tick.Now) && s.Partitions != nil) || s.listing || tick.Now.Before(s.nextList) {
		return
	}
	s.listing, s.nextList, s.listedAt = true, tick.Now.Add(listEvery), tick.Now
	s.Lists.Add(struct{}{})
}

// ListDone records a list of machines.
func (s *State) ListDone(machines []work.Machine, err error) {
	s.listing = false
	if err != nil {
		s.log(events.MachinesUnavailable, events.Err(err))
		return
	}
	s.machines = make(map[string]work.Machine, len(machines))
	for _, m := range machines {
		s.machines[m.Name] = m
	}
}

// chooseMachines starts the draining of the next machines of each wave, from
// the pools with the fewest machines out.
func chooseMachines(s *State, tick engine.Tick) {
	if !s.commands(tick.Now) || s.machines == nil {
		return
	}
	for _, w := range s.Waves.All() {
		if w.Status == WaveStatusCompleted || w.saving != 0 || tick.Now.Before(w.retryAt) {
			continue
		}
		out, active := map[string]int{}, 0
		for _, o := range s.Orders.All() {
			if o.State != work.MachineDone {
				out[o.Pool]++
				if o.Wave == w.Number && o.Target == "" {
					active++
				}
			}
		}
		room := w.Cap + drainAhead - active
		if room <= 0 {
			continue
		}
		var chosen []work.Machine
		for _, name := range w.Machines {
			m, listed := s.machines[name]
			if _, known := s.orderByKey.Get(ledger.Key{Kind: ledger.KindMachineOrder, Name: name}); !known && listed && m.State == work.MachineUp && !s.ordered(name) && !s.planning(name) {
				chosen = append(chosen, m)
			}
		}
		slices.SortStableFunc(chosen, func(a, b work.Machine) int {
			return cmp.Or(boolOrder(s.IsStandbyPool(b.Pool), s.IsStandbyPool(a.Pool)), cmp.Compare(out[a.Pool], out[b.Pool]))
		})
		s.begin(w, chosen[:min(len(chosen), room)])
	}
}

func boolOrder(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}

func (s *State) begin(w *Wave, machines []work.Machine) {
	if len(machines) == 0 {
		return
	}
	write := ledger.Write{ID: s.NextWrite(), Expect: []ledger.Condition{s.fence()}}
	if w.Status == WaveStatusNone {
		write.Put = append(write.Put, ledger.Put{Key: ledger.Key{Kind: ledger.KindWaveStatus, Name: strconv.Itoa(w.Number)}, Content: false})
	}
	for _, m := range machines {
		key := ledger.Key{Kind: ledger.KindMachineOrder, Name: m.Name}
		write.Expect = append(write.Expect, ledger.Condition{Key: key}, ledger.Condition{Key: ledger.Key{Kind: ledger.KindMachineMove, Name: m.Name}})
		order := &work.MachineOrder{Machine: m.Name, Worker: m.Worker, Pool: m.Pool, Wave: w.Number, State: s.firstState(m)}
		write.Put = append(write.Put, ledger.Put{Key: key, Content: order})
		w.chosen = append(w.chosen, order)
		s.log(events.MachineChosen, events.F("machine", m.Name), events.F("worker", m.Worker), events.F("pool", m.Pool), events.F("wave", w.Number))
		if write.Entries() >= maxEntries {
			break
		}
	}
	w.saving = write.ID
	s.Writes.Add(write)
}

// orderMaintenance gives the orders for idle machines, under the cap.
func orderMaintenance(s *State, tick engine.Tick) {
	if !s.commands(tick.Now) || tick.Now.Before(s.Ownership.Since.Add(s.TakeoverDelay)) {
		return
	}
	for _, w := range s.Waves.All() {
		down := 0
		for _, o := range s.Orders.All() {
			if o.Target == "" && o.Wave == w.Number && (o.State == work.MachineOrdered || o.calling) {
				down++
			}
		}
		for id, o := range s.Orders.All() {
			if down >= w.Cap {
				break
			}
			if o.Target != "" || o.Wave != w.Number || o.State != work.MachineIdle || o.calling || o.saving != 0 || tick.Now.Before(o.retryAt) {
				continue
			}
			o.calling = true
			down++
			s.Calls.Add(MachineCall{Order: id, Machine: o.Machine, Wave: w.Number, Token: s.Ownership.Token, NotAfter: s.Ownership.ValidUntil})
			s.log(events.MaintenanceOrdered, events.F("machine", o.Machine), events.F("wave", w.Number), events.F("token", s.Ownership.Token),
				events.F("down", down), events.F("cap", w.Cap))
		}
	}
}

// tellOperator writes that a wave is completed once each of its machines had
// its maintenance, and removes its orders.
func tellOperator(s *State, tick engine.Tick) {
	if !s.commands(tick.Now) || s.machines == nil {
		return
	}
	for _, w := range s.Waves.All() {
		if w.Status == WaveStatusCompleted || w.saving != 0 || len(w.Machines) == 0 || tick.Now.Before(w.retryAt) || !s.maintained(w) {
			continue
		}
		write := ledger.Write{
			ID: s.NextWrite(), Expect: []ledger.Condition{s.fence()},
			Put: []ledger.Put{{Key: ledger.Key{Kind: ledger.KindWaveStatus, Name: strconv.Itoa(w.Number)}, Content: true}},
		}
		w.saving, w.completed = write.ID, true
		s.log(events.MaintenanceWaveDone, events.F("wave", w.Number), events.F("after_ms", tick.Now.Sub(w.ReceivedAt).Milliseconds()))
		s.Writes.Add(write)
	}
}

func (s *State) maintained(w *Wave) bool {
	for _, name := range w.Machines {
		id, ordered := s.orderByKey.Get(ledger.Key{Kind: ledger.KindMachineOrder, Name: name})
		_, listed := s.machines[name]
		if listed && (!ordered || s.Orders.Get(id).State != work.MachineDone || s.Orders.Get(id).Wave != w.Number) {
			return false
		}
	}
	return true
}

// WriteDone records the result of a write and reports whether it was one of
// this package.
func (s *State) WriteDone(tick engine.Tick, result ledger.WriteResult) bool {
	if s.dividing != 0 && result.ID == s.dividing {
		s.dividing, s.divideAt = 0, tick.Now.Add(retryWrite) // the watch shows the record
		return true
	}
	if moves, ok := s.planned[result.ID]; ok {
		delete(s.planned, result.ID)
		s.movesPlanned(tick, moves, result)
		return true
	}
	if keys, ok := s.removing[result.ID]; ok {
		delete(s.removing, result.ID)
		s.movesRemoved(tick, keys, result)
		return true
	}
	for _, w := range s.Waves.All() {
		if w.saving != result.ID {
			continue
		}
		chosen := w.chosen
		w.saving, w.chosen = 0, nil
		if result.Outcome != ledger.Applied {
			w.retryAt = tick.Now.Add(retryWrite)
			s.seen(tick.Now, result)
			w.completed = false
			return true
		}
		for _, order := range chosen {
			s.ApplyOrder(ledger.Record{Key: orderKey(order), Content: order, Revision: result.Revision})
		}
		w.Status = WaveStatusRunning
		if w.completed {
			w.Status = WaveStatusCompleted
		}
		return true
	}
	for _, o := range s.Orders.All() {
		if o.saving != result.ID {
			continue
		}
		saved := o.saved
		o.saving, o.saved = 0, nil
		if result.Outcome != ledger.Applied {
			o.retryAt, o.calling = tick.Now.Add(retryWrite), false
			s.seen(tick.Now, result)
			return true
		}
		// Without the new revision at once, the systems would write again and
		// meet a conflict until the watch shows the record.
		key := orderKey(&o.MachineOrder)
		s.ApplyOrder(ledger.Record{Key: key, Content: saved, Revision: result.Revision, Deleted: saved == nil})
		return true
	}
	return false
}

func (s *State) seen(now time.Time, result ledger.WriteResult) {
	s.log(events.MaintenanceNotSaved, events.F("outcome", result.Outcome.String()), events.Err(result.Err))
	for _, seen := range result.Current {
		switch seen.Key.Kind {
		case ledger.KindMachineOrder, ledger.KindMachineMove:
			s.ApplyOrder(seen)
		case ledger.KindDemand:
			s.ApplyDemand(now, seen)
		}
	}
}
