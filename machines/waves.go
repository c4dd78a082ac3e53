// Package machines carries out the operator's maintenance waves and moves
// machines to the pools that need them. The owner of the fleet duty selects
// machines and calls the machine service; before the call, the owner of a
// machine's pool drains it. Both keep their progress in durable orders, so that
// either can be replaced at any step.
//
// The package does no I/O: records and results come in through methods, Systems
// run in each tick, and writes and calls leave as outbound rows.
package machines

import (
	"strconv"
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/events"
	"github.com/waxwingbridge/waxwingbridge/ledger"
	"github.com/waxwingbridge/waxwingbridge/table"
	"github.com/waxwingbridge/waxwingbridge/work"
)

// FleetDuty is the name of the duty whose owner gives the orders for machines.
const FleetDuty = "fleet"

const (
	// listInterval is the minimum interval between machine lists.
	listInterval = 400 * time.Millisecond
	// idleCheckInterval is the shortest interval between two checks whether the machines
	// that are being drained are idle. Workers' lists arrive at most every 25 ms.
	idleCheckInterval = 20 * time.Millisecond
	// callRetryDelay is the pause after a call that the machine service did not
	// accept.
	callRetryDelay = 400 * time.Millisecond
	// writeRetryDelay is the pause after a failed write.
	writeRetryDelay = 150 * time.Millisecond
	// maintenanceMargin is added to MaintenanceTime before a machine without a worker
	// counts as returned.
	maintenanceMargin = 500 * time.Millisecond
	// maxEntries keeps a write within the limit of 32 entries per store
	// transaction.
	maxEntries = 30
)

// Wave is a maintenance wave that the operator requested.
type Wave struct {
	work.Wave
	ReceivedAt time.Time
	AgeKnown   bool // received as a change, and not with a full read of the store
	Status     WaveStatus
	// statusRevision is that of the stored status, 0 without one, and statusSeen the highest
	// revision at which it was seen to have changed.
	statusRevision, statusSeen int64
	writeID                    uint64               // write in flight, or 0
	chosenOrders               []*work.MachineOrder // orders in the write
	retryAt                    time.Time
	completing                 bool // the write reports the wave as completed
}

// WaveStatus is the status of a wave that was last reported to the operator.
type WaveStatus uint8

// The reported statuses of a wave.
const (
	WaveStatusNone WaveStatus = iota
	WaveStatusRunning
	WaveStatusCompleted
)

// MachineCall is an outbound call to the machine service: a move to the pool
// Target, or the maintenance for Wave if Target is empty.
type MachineCall struct {
	Order    table.ID
	Machine  string
	Wave     int
	Target   string
	Token    int64
	NotAfter time.Time
}

// FleetOwnership tells whether, and until when, this process owns FleetDuty.
type FleetOwnership struct {
	Owned      bool
	Token      int64
	Since      time.Time
	ValidUntil time.Time
}

// State holds the waves, the orders for machines and the demand of pools.
type State struct {
	// TakeoverDelay is the pause before a new owner of the fleet orders a machine that
	// an earlier owner may have ordered.
	TakeoverDelay time.Duration
	// CallsPerSecond is the rate of orders that the machine service accepts.
	CallsPerSecond float64
	// MaintenanceTime is how long a machine is unavailable during maintenance.
	MaintenanceTime time.Duration
	Ownership       FleetOwnership
	// Partitions tells how pools are partitioned; nil until that is decided.
	Partitions    work.Partitions
	IsStandbyPool func(pool string) bool
	// StandbyPool returns the pool whose machines are switched off, or "".
	StandbyPool func() string
	// IsIdle reports whether nothing runs on a worker. known is false unless this
	// process owns the worker's pool.
	IsIdle func(worker string, now time.Time) (idle, known bool)
	// PoolToken returns the fencing token of a pool, and whether this process owns
	// the pool.
	PoolToken func(pool string, now time.Time) (int64, bool)

	Waves  table.Table[Wave]
	Orders table.Table[Order]

	Writes    table.Outbound[ledger.Write]
	Calls     table.Outbound[MachineCall]
	Lists     table.Outbound[struct{}]
	Logs      table.Outbound[events.Record]
	NextWrite func() uint64

	Demands table.Table[Demand]

	waveByNumber      table.Index[int]
	orderByKey        table.Index[ledger.Key]
	demandByDuty      table.Index[string]
	machines          map[string]work.Machine
	calls             callLimit
	takeover          takeover
	listedAt          time.Time // when the list in machines was requested
	listRequestedAt   time.Time // when the list in flight was requested
	listInFlight      bool
	nextList          time.Time
	appliedRevisions  map[ledger.Key]int64           // last applied revision of each order record
	planWrites        map[uint64][]work.MachineOrder // moves in writes in flight, by write
	planConflicts     int                            // consecutive plan writes that were not applied
	removalWrites     map[uint64][]ledger.Key        // records deleted by writes in flight, by write
	nextPlan          time.Time
	nextChoice        time.Time
	nextIdleCheck     time.Time
	nextRemoval       time.Time
	partitionsWrite   uint64 // write of the partitions in flight, or 0
	partitionsRetryAt time.Time
	refusedAt         map[string]time.Time // when the service last refused a machine
	changes           uint64               // number of changes of orders and waves
	open              []table.ID           // orders that are not finished, as of openChanges
	openChanges       uint64
}

// Systems lists the systems in the order in which they run.
var Systems = []engine.System[State]{
	{Name: "note a takeover of the fleet", Run: noteTakeover},
	{Name: "refill the limit of calls", Run: refillCalls},
	{Name: "mark idle machines", Run: markIdleMachines},
	{Name: "list machines", Run: listMachines},
	{Name: "partition pools", Run: partitionPools},
	{Name: "track machines", Run: trackMachines},
	{Name: "plan moves", Run: planMoves}, // before the waves, which can wait
	{Name: "choose machines", Run: chooseMachines},
	{Name: "save answers of the machine service", Run: saveAnswers},
	{Name: "order moves", Run: orderMoves}, // before the maintenance, which is less urgent
	{Name: "order maintenance", Run: orderMaintenance},
	{Name: "remove finished moves", Run: removeMoves},
	{Name: "report completed waves", Run: reportCompletedWaves},
}

func (s *State) log(event events.Event, fields ...events.Field) {
	s.Logs.Add(events.Record{Event: event, Fields: fields})
}

// ApplyWave records a wave that the operator requested. ageKnown is false if the
// request may have been made long before.
func (s *State) ApplyWave(now time.Time, wave work.Wave, ageKnown bool) {
	s.changes++
	if id, ok := s.waveByNumber.Get(wave.Number); ok {
		s.Waves.Get(id).Wave = wave
		return
	}
	s.waveByNumber.Put(wave.Number, s.Waves.Insert(Wave{Wave: wave, ReceivedAt: now, AgeKnown: ageKnown}))
	s.log(events.MaintenanceWaveRequested, events.F("wave", wave.Number), events.F("machines", len(wave.Machines)),
		events.F("cap", wave.Cap), events.F("within_s", wave.Within.Seconds()))
}

// ApplyWaveStatus records the stored status of a wave. Changes that are not newer are ignored.
func (s *State) ApplyWaveStatus(now time.Time, number int, record ledger.Record) {
	id, ok := s.waveByNumber.Get(number)
	if !ok {
		if record.Deleted {
			return
		}
		id = s.Waves.Insert(Wave{Wave: work.Wave{Number: number}, ReceivedAt: now})
		s.waveByNumber.Put(number, id)
	}
	w := s.Waves.Get(id)
	switch {
	case record.Deleted && record.Revision == 0: // a conflict doesn't tell when it was deleted
		w.statusRevision = 0
		return
	case record.Revision <= w.statusSeen:
		return
	}
	s.changes++
	w.statusRevision, w.statusSeen = record.Revision, record.Revision
	completed, readable := record.Content.(bool)
	switch {
	case record.Deleted: // the wave goes on as this process knows it
		w.statusRevision = 0
	case !readable:
	case completed:
		w.Status = WaveStatusCompleted
	default:
		w.Status = WaveStatusRunning
	}
}

// statusKey returns the key of the status that is reported to the operator.
func (w *Wave) statusKey() ledger.Key {
	return ledger.Key{Kind: ledger.KindWaveStatus, Name: strconv.Itoa(w.Number)}
}

// statusCondition keeps a status that is stored late from replacing a newer one.
func (w *Wave) statusCondition() ledger.Condition {
	return ledger.Condition{Key: w.statusKey(), Revision: w.statusRevision}
}

// Changes returns a number that rises whenever WorkersUnderOrder or MaintenanceDue may
// have changed.
func (s *State) Changes() uint64 { return s.changes }

// openOrders returns the orders that are not finished. Finished ones stay in the table
// until the next wave.
func (s *State) openOrders() []table.ID {
	if s.openChanges != s.changes {
		s.openChanges, s.open = s.changes, s.open[:0]
		for id, o := range s.Orders.All() {
			if o.State != work.MachineDone {
				s.open = append(s.open, id)
			}
		}
	}
	return s.open
}

// WorkersUnderOrder iterates over the workers of machines with an open order. They
// must not get new work.
func (s *State) WorkersUnderOrder(yield func(worker string) bool) {
	for _, o := range s.Orders.All() {
		if o.Worker != "" && o.State != work.MachineDone && !yield(o.Worker) {
			return
		}
	}
}

// MaintenanceDue iterates over the machines of open waves whose maintenance has not
// finished.
func (s *State) MaintenanceDue(yield func(machine string) bool) {
	for _, w := range s.Waves.All() {
		if w.Status == WaveStatusCompleted {
			continue
		}
		for _, name := range w.Machines {
			id, known := s.orderByKey.Get(ledger.Key{Kind: ledger.KindMachineOrder, Name: name})
			if known && s.Orders.Get(id).MaintainedFor(w.Number) {
				continue
			}
			if !yield(name) {
				return
			}
		}
	}
}

func (s *State) fenceCondition() ledger.Condition {
	return ledger.Condition{Key: ledger.Key{Kind: ledger.KindOwner, Name: FleetDuty}, Revision: s.Ownership.Token}
}

func (s *State) ownsFleet(now time.Time) bool {
	return s.Ownership.Owned && now.Before(s.Ownership.ValidUntil)
}

// hasCurrentList reports whether the list of machines was requested under the present
// ownership. Other owners have moved and maintained machines since an earlier one.
func (s *State) hasCurrentList() bool {
	return s.machines != nil && !s.listedAt.Before(s.Ownership.Since)
}

func (s *State) hasOpenWave() bool {
	for _, w := range s.Waves.All() {
		if w.Status != WaveStatusCompleted && len(w.Machines) > 0 {
			return true
		}
	}
	return false
}

func listMachines(s *State, tick engine.Tick) {
	if !s.ownsFleet(tick.Now) || s.listInFlight || tick.Now.Before(s.nextList) {
		return
	}
	if !s.hasOpenWave() && !s.needsListForMoves(tick.Now) && s.Partitions != nil {
		return
	}
	s.listInFlight, s.nextList, s.listRequestedAt = true, tick.Now.Add(listInterval), tick.Now
	s.Lists.Add(struct{}{})
}

// ListDone records the result of a machine list.
func (s *State) ListDone(machines []work.Machine, err error) {
	s.listInFlight = false
	if err != nil {
		s.log(events.MachinesUnavailable, events.Err(err))
		return
	}
	s.listedAt = s.listRequestedAt
	s.machines = make(map[string]work.Machine, len(machines))
	for _, m := range machines {
		s.machines[m.Name] = m
	}
}

// orderMaintenance orders the maintenance of idle machines, up to the cap of each
// wave.
func orderMaintenance(s *State, tick engine.Tick) {
	if !s.ownsFleet(tick.Now) || !s.hasCurrentList() { // the list shows which machines are down
		return
	}
	for _, w := range s.Waves.All() {
		down := 0
		for _, o := range s.Orders.All() {
			if o.Target == "" && o.Wave == w.Number && s.isDown(o) {
				down++
			}
		}
		for id, o := range s.Orders.All() {
			if down >= w.Cap && !s.isDown(o) {
				continue
			}
			if o.Target != "" || o.Wave != w.Number || o.State != work.MachineIdle || o.callInFlight || o.answered != 0 || o.writeID != 0 || tick.Now.Before(o.retryAt) || !s.mayCall(tick.Now, o) {
				continue
			}
			if !s.takeCall() {
				return
			}
			if !s.isDown(o) { // the call repeats one without an answer otherwise
				down++
			}
			o.callInFlight = true
			s.Calls.Add(MachineCall{Order: id, Machine: o.Machine, Wave: w.Number, Token: s.Ownership.Token, NotAfter: s.Ownership.ValidUntil})
			s.log(events.MaintenanceOrdered, events.F("machine", o.Machine), events.F("wave", w.Number), events.F("token", s.Ownership.Token),
				events.F("down", down), events.F("cap", w.Cap))
		}
	}
}

// reportCompletedWaves writes that a wave is completed once the maintenance of each
// of its machines has finished.
func reportCompletedWaves(s *State, tick engine.Tick) {
	if !s.ownsFleet(tick.Now) || !s.hasCurrentList() {
		return
	}
	for _, w := range s.Waves.All() {
		if w.Status == WaveStatusCompleted || w.writeID != 0 || len(w.Machines) == 0 || tick.Now.Before(w.retryAt) || !s.isMaintained(w) {
			continue
		}
		write := ledger.Write{
			ID: s.NextWrite(), NotAfter: s.Ownership.ValidUntil, Expect: []ledger.Condition{s.fenceCondition(), w.statusCondition()},
			Put: []ledger.Put{{Key: w.statusKey(), Content: true}},
		}
		w.writeID, w.completing = write.ID, true
		s.log(events.MaintenanceWaveDone, events.F("wave", w.Number), events.F("after_ms", tick.Now.Sub(w.ReceivedAt).Milliseconds()))
		s.Writes.Add(write)
	}
}

func (s *State) isMaintained(w *Wave) bool {
	for _, name := range w.Machines {
		if _, listed := s.machines[name]; listed && !s.isMaintainedFor(w, name) {
			return false
		}
	}
	return true
}

// isMaintainedFor reports whether the maintenance of a machine for the wave has
// finished.
func (s *State) isMaintainedFor(w *Wave, machine string) bool {
	id, ordered := s.orderByKey.Get(ledger.Key{Kind: ledger.KindMachineOrder, Name: machine})
	return ordered && s.Orders.Get(id).MaintainedFor(w.Number)
}

// WriteDone records the result of a write and reports whether this package issued
// the write.
func (s *State) WriteDone(tick engine.Tick, result ledger.WriteResult) bool {
	if s.partitionsWrite != 0 && result.ID == s.partitionsWrite {
		s.partitionsWrite, s.partitionsRetryAt = 0, tick.Now.Add(writeRetryDelay) // the watch will deliver the record
		return true
	}
	if moves, ok := s.planWrites[result.ID]; ok {
		delete(s.planWrites, result.ID)
		s.planWriteDone(tick, moves, result)
		return true
	}
	if keys, ok := s.removalWrites[result.ID]; ok {
		delete(s.removalWrites, result.ID)
		s.removalWriteDone(tick, keys, result)
		return true
	}
	for _, w := range s.Waves.All() {
		if w.writeID != result.ID {
			continue
		}
		chosen := w.chosenOrders
		w.writeID, w.chosenOrders = 0, nil
		if result.Outcome != ledger.Applied {
			w.retryAt = tick.Now.Add(writeRetryDelay)
			s.writeFailed(tick.Now, result)
			w.completing = false
			return true
		}
		for _, order := range chosen {
			s.ApplyOrder(tick.Now, ledger.Record{Key: orderKey(order), Content: order, Revision: result.Revision})
		}
		if w.Status == WaveStatusNone || w.completing {
			s.ApplyWaveStatus(tick.Now, w.Number, ledger.Record{Key: w.statusKey(), Content: w.completing, Revision: result.Revision})
		}
		w.completing = false
		return true
	}
	for _, o := range s.Orders.All() {
		if o.writeID != result.ID {
			continue
		}
		written := o.written
		o.writeID, o.written = 0, nil
		if result.Outcome != ledger.Applied {
			o.retryAt = tick.Now.Add(writeRetryDelay)
			s.writeFailed(tick.Now, result)
			return true
		}
		// Apply the new revision now: otherwise the systems would repeat the write,
		// and conflict, until the watch delivers the record.
		key := orderKey(&o.MachineOrder)
		s.ApplyOrder(tick.Now, ledger.Record{Key: key, Content: written, Revision: result.Revision, Deleted: written == nil})
		return true
	}
	return false
}

func (s *State) writeFailed(now time.Time, result ledger.WriteResult) {
	s.log(events.MaintenanceNotSaved, events.F("outcome", result.Outcome.String()), events.Err(result.Err))
	for _, record := range result.Current {
		switch record.Key.Kind {
		case ledger.KindMachineOrder, ledger.KindMachineMove:
			s.ApplyOrder(now, record)
		case ledger.KindDemand:
			s.ApplyDemand(now, record)
		case ledger.KindWaveStatus:
			if number, err := strconv.Atoi(record.Key.Name); err == nil {
				s.ApplyWaveStatus(now, number, record)
			}
		}
	}
}
