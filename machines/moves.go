package machines

import (
	"cmp"
	"slices"
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/events"
	"github.com/waxwingbridge/waxwingbridge/ledger"
	"github.com/waxwingbridge/waxwingbridge/work"
)

const (
	// planInterval is the minimum interval between two move plans, and between two
	// choices of machines for waves, so that a plan covers the reports of several pools.
	planInterval = 60 * time.Millisecond
	// demandValidity is how long the demand that an owner reported is used.
	demandValidity = 8 * time.Second
	// standbyDelay is how long a machine must be released before it is moved to
	// the standby pool and switched off. A move costs about as much as 1.2 s of a
	// machine in a pool, and a machine that is switched on again misses the first
	// seconds of a load peak.
	standbyDelay = 2500 * time.Millisecond
	// maxMovesPerWrite keeps a plan within the limit of 32 entries per store
	// transaction: three per move, the fencing condition, and the demand records
	// of up to seven pools.
	maxMovesPerWrite = 8
	// maxPlanConflicts is the number of consecutive conflicts after which a plan is
	// repeated immediately. Pools that release machines report every 160 ms, and the
	// watch lags by half of that, so that every second plan conflicts once.
	maxPlanConflicts = 3
	// refusalCooldown is how long a machine is not moved after the machine service
	// refused an order for it.
	refusalCooldown = 10 * time.Second
)

// Demand is the demand that the owner of a partition last reported.
type Demand struct {
	Duty string // name of the partition
	Pool string
	work.Demand
	Revision      int64
	ReceivedAt    time.Time
	releasedSince map[string]time.Time // when each released worker was first reported
}

// ApplyDemand records the demand that a partition's owner reported.
func (s *State) ApplyDemand(now time.Time, record ledger.Record) {
	id, known := s.demandByDuty.Get(record.Key.Name)
	if !known {
		id = s.Demands.Insert(Demand{Duty: record.Key.Name, Pool: work.PoolOf(record.Key.Name)})
		s.demandByDuty.Put(record.Key.Name, id)
	}
	d := s.Demands.Get(id)
	demand, ok := record.Content.(*work.Demand)
	if !ok || record.Revision <= d.Revision {
		return
	}
	d.Demand, d.Revision, d.ReceivedAt = *demand, record.Revision, now
	since := make(map[string]time.Time, len(demand.Released))
	for _, worker := range demand.Released {
		since[worker] = now
		if at, reported := d.releasedSince[worker]; reported {
			since[worker] = at
		}
	}
	d.releasedSince = since
}

// shortage returns how many machines a partition lacks, given the moves that are
// not finished.
func (s *State) shortage(d *Demand) int { return s.lackOf(d, d.Need) }

// expectedShortage returns how many machines a partition lacks for its need and for the
// forecast of its next turn.
func (s *State) expectedShortage(d *Demand) int { return s.lackOf(d, max(d.Need, d.Expected)) }

// forecastShortage returns how many machines a partition lacks beyond its need.
func (s *State) forecastShortage(d *Demand) int {
	return s.expectedShortage(d) - max(0, s.shortage(d))
}

// lackOf returns how many machines a partition lacks to have the given number.
func (s *State) lackOf(d *Demand, wanted int) int {
	short := wanted - d.Have
	for _, o := range s.Orders.All() {
		if o.Target == d.Pool && o.State != work.MachineDone && s.Partitions.PartitionOf(o.Target, o.Machine) == d.Duty {
			short--
		}
	}
	return short
}

// reportTimeout is how long the owner of the target pool may take to report its
// demand after a machine has arrived.
const reportTimeout = time.Second

// countedByTarget reports whether the target pool's owner has reported its demand
// since the machine arrived. Until then, shortage counts the order as a machine on
// its way.
func (s *State) countedByTarget(now time.Time, o *Order) bool {
	id, ok := s.demandByDuty.Get(s.Partitions.PartitionOf(o.Target, o.Machine))
	return !ok || s.Demands.Get(id).ReceivedAt.After(o.returnedAt) || now.Sub(o.returnedAt) > reportTimeout
}

// needsListForMoves reports whether moves need a current machine list.
func (s *State) needsListForMoves(now time.Time) bool {
	for _, d := range s.Demands.All() {
		if now.Sub(d.ReceivedAt) < demandValidity && (s.expectedShortage(d) > 0 || s.hasSurplus(now, d)) {
			return true
		}
	}
	for _, o := range s.Orders.All() {
		if o.Target != "" {
			return true
		}
	}
	return false
}

// hasSurplus reports whether a machine of the pool should move to the standby pool.
func (s *State) hasSurplus(now time.Time, d *Demand) bool {
	return slices.ContainsFunc(d.Released, func(worker string) bool { return s.isSurplus(now, d, worker) })
}

func (s *State) isSurplus(now time.Time, d *Demand, worker string) bool {
	return s.StandbyPool() != "" && now.Sub(d.releasedSince[worker]) > standbyDelay
}

// availableMachine is a machine that can be moved to another pool.
type availableMachine struct {
	work.Machine
	demand *Demand // report that released it; nil for a machine of a standby pool
}

// planMoves assigns machines to the pools that lack some: first those that other
// pools released, then those of standby pools. Released machines that no pool needs
// go to the standby pool.
func planMoves(s *State, tick engine.Tick) {
	if !s.ownsFleet(tick.Now) || !s.hasCurrentList() || len(s.planWrites) > 0 || tick.Now.Before(s.nextPlan) {
		return
	}
	s.nextPlan = tick.Now.Add(planInterval)
	var short, expecting, all []*Demand
	for _, d := range s.Demands.All() {
		if tick.Now.Sub(d.ReceivedAt) < demandValidity {
			all = append(all, d)
			if s.shortage(d) > 0 {
				short = append(short, d)
			}
			if s.expectedShortage(d) > 0 {
				expecting = append(expecting, d)
			}
		}
	}
	var available []availableMachine
	for _, d := range all {
		if !slices.Contains(short, d) {
			available = append(available, s.releasedMachines(tick.Now, d)...)
		}
	}
	available = append(available, s.standbyMachines(tick.Now)...)
	var moves []work.MachineOrder
	demandByMachine := map[string]*Demand{}
	assign := func(m availableMachine, target string) {
		moves = append(moves, work.MachineOrder{Machine: m.Name, Worker: m.Worker, Pool: m.Pool, Target: target, State: work.MachineIdle})
		demandByMachine[m.Name] = m.demand
	}
	for _, d := range append(s.allotmentOrder(short, s.shortage), s.allotmentOrder(expecting, s.forecastShortage)...) {
		fits := func(m availableMachine) bool {
			return m.demand != d && s.Partitions.PartitionOf(d.Pool, m.Name) == d.Duty
		}
		if i := slices.IndexFunc(available, fits); i >= 0 {
			assign(available[i], d.Pool)
			available = slices.Delete(available, i, i+1)
		}
	}
	for _, m := range available {
		if m.demand != nil && s.isSurplus(tick.Now, m.demand, m.Worker) {
			assign(m, s.StandbyPool())
		}
	}
	for chunk := range slices.Chunk(moves, maxMovesPerWrite) {
		s.writeMoves(tick.Now, chunk, demandByMachine)
	}
}

// allotmentOrder lists the pools that lack machines, once for each missing machine.
// The pool with the largest remaining shortage comes next.
func (s *State) allotmentOrder(short []*Demand, shortage func(*Demand) int) []*Demand {
	lack := make(map[*Demand]int, len(short))
	total := 0
	for _, d := range short {
		lack[d] = shortage(d)
		total += lack[d]
	}
	allotments := make([]*Demand, 0, total)
	for range total {
		next := slices.MinFunc(short, func(a, b *Demand) int {
			return cmp.Or(cmp.Compare(lack[b], lack[a]), cmp.Compare(a.Duty, b.Duty))
		})
		lack[next]--
		allotments = append(allotments, next)
	}
	return allotments
}

func (s *State) movable(now time.Time, m work.Machine) bool {
	at, refused := s.refusedAt[m.Name]
	return m.State == work.MachineUp && !s.hasOpenOrder(m.Name) && (!refused || now.Sub(at) > refusalCooldown)
}

// hasPlannedMove reports whether a write that plans a move of the machine is in
// flight.
func (s *State) hasPlannedMove(machine string) bool {
	for _, moves := range s.planWrites {
		if slices.ContainsFunc(moves, func(o work.MachineOrder) bool { return o.Machine == machine }) {
			return true
		}
	}
	return false
}

func (s *State) standbyMachines(now time.Time) []availableMachine {
	var available []availableMachine
	for _, m := range s.machines {
		if s.IsStandbyPool(m.Pool) && s.movable(now, m) {
			available = append(available, availableMachine{Machine: m})
		}
	}
	slices.SortFunc(available, func(a, b availableMachine) int { return cmp.Compare(a.Name, b.Name) })
	return available
}

func (s *State) releasedMachines(now time.Time, d *Demand) []availableMachine {
	byWorker := map[string]work.Machine{}
	for _, m := range s.machines {
		if m.Worker != "" && m.Pool == d.Pool {
			byWorker[m.Worker] = m
		}
	}
	var available []availableMachine
	for _, worker := range d.Released {
		if m, ok := byWorker[worker]; ok && s.movable(now, m) {
			available = append(available, availableMachine{Machine: m, demand: d})
		}
	}
	return available
}

// writeMoves stores planned moves. Its conditions require that the demand report
// that released a machine is still the latest one, and that the machine is under no
// other order.
func (s *State) writeMoves(now time.Time, moves []work.MachineOrder, demandByMachine map[string]*Demand) {
	write := ledger.Write{ID: s.NextWrite(), NotAfter: s.Ownership.ValidUntil, Expect: []ledger.Condition{s.fenceCondition()}}
	for i := range moves {
		key := orderKey(&moves[i])
		maintenance := ledger.Key{Kind: ledger.KindMachineOrder, Name: moves[i].Machine}
		conditions := []ledger.Condition{{Key: key}, {Key: maintenance, Revision: s.orderRevision(maintenance)}}
		if d := demandByMachine[moves[i].Machine]; d != nil {
			conditions = append(conditions, ledger.Condition{Key: ledger.Key{Kind: ledger.KindDemand, Name: d.Duty}, Revision: d.Revision})
		}
		for _, condition := range conditions {
			if !slices.Contains(write.Expect, condition) {
				write.Expect = append(write.Expect, condition)
			}
		}
		write.Put = append(write.Put, ledger.Put{Key: key, Content: &moves[i]})
		s.logPlannedMove(now, &moves[i], demandByMachine[moves[i].Machine])
	}
	if s.planWrites == nil {
		s.planWrites = map[uint64][]work.MachineOrder{}
	}
	s.planWrites[write.ID] = moves
	s.Writes.Add(write)
}

// logPlannedMove logs a move with the reports that it goes by: the one that released the
// machine, or nil, and the one of the pool that lacks machines.
func (s *State) logPlannedMove(now time.Time, move *work.MachineOrder, released *Demand) {
	fields := []events.Field{
		events.F("machine", move.Machine), events.F("from", move.Pool), events.F("to", move.Target), events.F("worker", move.Worker),
	}
	if released != nil {
		fields = append(fields, events.F("released_in_revision", released.Revision), events.F("released_ms_ago", now.Sub(released.ReceivedAt).Milliseconds()))
	}
	if id, ok := s.demandByDuty.Get(s.Partitions.PartitionOf(move.Target, move.Machine)); ok {
		lacking := s.Demands.Get(id)
		fields = append(fields, events.F("lacked_in_revision", lacking.Revision), events.F("need", lacking.Need), events.F("have", lacking.Have))
	}
	s.log(events.MachineMovePlanned, fields...)
}

// orderRevision returns the last known revision of an order record, or 0.
func (s *State) orderRevision(key ledger.Key) int64 {
	if id, ok := s.orderByKey.Get(key); ok {
		return s.Orders.Get(id).Revision
	}
	return 0
}

// planWriteDone records the result of writing a plan.
func (s *State) planWriteDone(tick engine.Tick, moves []work.MachineOrder, result ledger.WriteResult) {
	if result.Outcome != ledger.Applied {
		s.planConflicts++
		if result.Outcome != ledger.Conflict || s.planConflicts > maxPlanConflicts {
			s.nextPlan = tick.Now.Add(writeRetryDelay)
		} else {
			s.nextPlan = tick.Now // the result contains the current records
		}
		s.writeFailed(tick.Now, result)
		return
	}
	s.planConflicts = 0
	for i := range moves {
		s.ApplyOrder(tick.Now, ledger.Record{Key: orderKey(&moves[i]), Content: &moves[i], Revision: result.Revision})
	}
}

// orderMoves orders the planned moves of machines on which nothing runs.
func orderMoves(s *State, tick engine.Tick) {
	if !s.ownsFleet(tick.Now) || !s.hasCurrentList() { // the list shows whether a plan that was stored late still holds
		return
	}
	for id, o := range s.Orders.All() {
		if o.Target == "" || o.State != work.MachineIdle || o.callInFlight || tick.Now.Before(o.retryAt) || !s.mayCall(tick.Now, o) {
			continue
		}
		if !s.takeCall() {
			return
		}
		o.callInFlight = true
		s.Calls.Add(MachineCall{Order: id, Machine: o.Machine, Target: o.Target, Token: s.Ownership.Token, NotAfter: s.Ownership.ValidUntil})
		s.log(events.MachineMoveOrdered, events.F("machine", o.Machine), events.F("to", o.Target), events.F("token", s.Ownership.Token))
	}
}

// removeMoves deletes the records of finished moves, several per write.
func removeMoves(s *State, tick engine.Tick) {
	if !s.ownsFleet(tick.Now) || len(s.removalWrites) > 0 || tick.Now.Before(s.nextRemoval) {
		return
	}
	write := ledger.Write{ID: s.NextWrite(), NotAfter: s.Ownership.ValidUntil, Expect: []ledger.Condition{s.fenceCondition()}}
	for _, o := range s.Orders.All() {
		if o.Target == "" || o.State != work.MachineDone || write.Entries()+2 > maxEntries {
			continue
		}
		key := orderKey(&o.MachineOrder)
		write.Expect = append(write.Expect, ledger.Condition{Key: key, Revision: o.Revision})
		write.Delete = append(write.Delete, key)
	}
	if len(write.Delete) == 0 {
		return
	}
	if s.removalWrites == nil {
		s.removalWrites = map[uint64][]ledger.Key{}
	}
	s.removalWrites[write.ID] = write.Delete
	s.Writes.Add(write)
}

// removalWriteDone records the result of deleting finished moves.
func (s *State) removalWriteDone(tick engine.Tick, keys []ledger.Key, result ledger.WriteResult) {
	if result.Outcome != ledger.Applied {
		s.nextRemoval = tick.Now.Add(writeRetryDelay)
		s.writeFailed(tick.Now, result)
		return
	}
	for _, key := range keys {
		s.ApplyOrder(tick.Now, ledger.Record{Key: key, Deleted: true, Revision: result.Revision})
	}
}
