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
	// planEvery is the shortest interval between two move plans; in between,
	// the reports of several pools come together.
	planEvery = 60 * time.Millisecond
	// demandFor is how long what an owner said about a pool counts.
	demandFor = 8 * time.Second
	// standbyAfter is how long a machine must be released before it is switched
	// off. A move costs about as much as 1.2 s of a machine in a pool, and a
	// machine that comes back misses the first seconds of a peak.
	standbyAfter = 2500 * time.Millisecond
	// maxMovesPerWrite keeps a plan within the 32 entries of a store
	// transaction: three a move, the fence, and the reports of up to seven
	// pools.
	maxMovesPerWrite = 8
	// refusedFor keeps a machine from being tried again.
	refusedFor = 10 * time.Second
)

// Demand is the latest word of a partition's owner.
type Demand struct {
	Duty string // name of the partition
	Pool string
	work.Demand
	Revision   int64
	ReceivedAt time.Time
	since      map[string]time.Time // when a worker was released
}

// ApplyDemand records what a pool's owner says about its machines.
func (s *State) ApplyDemand(now time.Time, seen ledger.Record) {
	id, known := s.demandByDuty.Get(seen.Key.Name)
	if !known {
		id = s.Demands.Insert(Demand{Duty: seen.Key.Name, Pool: work.PoolOf(seen.Key.Name)})
		s.demandByDuty.Put(seen.Key.Name, id)
	}
	d := s.Demands.Get(id)
	demand, ok := seen.Content.(*work.Demand)
	if !ok || seen.Revision <= d.Revision {
		return
	}
	d.Demand, d.Revision, d.ReceivedAt = *demand, seen.Revision, now
	since := make(map[string]time.Time, len(demand.Released))
	for _, worker := range demand.Released {
		since[worker] = now
		if at, before := d.since[worker]; before {
			since[worker] = at
		}
	}
	d.since = since
}

// shortage is how many machines a pool lacks, given the moves under way.
func (s *State) shortage(d *Demand) int {
	short := d.Need - d.Have
	for _, o := range s.Orders.All() {
		if o.Target == d.Pool && o.State != work.MachineDone && s.Partitions.PartitionOf(o.Target, o.Machine) == d.Duty {
			short--
		}
	}
	return short
}

// countWait is how long the owner of the target pool may take to count a
// machine that has come.
const countWait = time.Second

// counted reports whether the target pool's owner has reported since the
// machine came. Until then the order counts as a machine on its way.
func (s *State) counted(now time.Time, o *Order) bool {
	id, ok := s.demandByDuty.Get(s.Partitions.PartitionOf(o.Target, o.Machine))
	return !ok || s.Demands.Get(id).ReceivedAt.After(o.backAt) || now.Sub(o.backAt) > countWait
}

// moving reports whether machines must be known for moves.
func (s *State) moving(now time.Time) bool {
	for _, d := range s.Demands.All() {
		if now.Sub(d.ReceivedAt) < demandFor && (s.shortage(d) > 0 || s.switchesOff(now, d)) {
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

// switchesOff reports whether a machine of the pool is to be switched off.
func (s *State) switchesOff(now time.Time, d *Demand) bool {
	return slices.ContainsFunc(d.Released, func(worker string) bool { return s.unneeded(now, d, worker) })
}

func (s *State) unneeded(now time.Time, d *Demand, worker string) bool {
	return s.StandbyPool() != "" && now.Sub(d.since[worker]) > standbyAfter
}

// releasedMachine is a machine that a pool's owner gave up.
type releasedMachine struct {
	work.Machine
	by *Demand // nil for a machine of a standby pool
}

// planMoves gives machines to the pools that lack some: those that other pools
// released first, then machines of a standby pool. Machines that nobody needs
// go to the standby pool.
func planMoves(s *State, tick engine.Tick) {
	if !s.commands(tick.Now) || s.machines == nil || len(s.planned) > 0 || tick.Now.Before(s.nextPlan) {
		return
	}
	s.nextPlan = tick.Now.Add(planEvery)
	var short, all []*Demand
	for _, d := range s.Demands.All() {
		if tick.Now.Sub(d.ReceivedAt) < demandFor {
			all = append(all, d)
			if s.shortage(d) > 0 {
				short = append(short, d)
			}
		}
	}
	var free []releasedMachine
	for _, d := range all {
		if !slices.Contains(short, d) {
			free = append(free, s.releasedMachines(tick.Now, d)...)
		}
	}
	free = append(free, s.standbyMachines(tick.Now)...)
	var moves []work.MachineOrder
	by := map[string]*Demand{}
	take := func(m releasedMachine, target string) {
		moves = append(moves, work.MachineOrder{Machine: m.Name, Worker: m.Worker, Pool: m.Pool, Target: target, State: work.MachineIdle})
		by[m.Name] = m.by
	}
	for _, d := range s.inTurn(short) {
		fits := func(m releasedMachine) bool { return s.Partitions.PartitionOf(d.Pool, m.Name) == d.Duty }
		if i := slices.IndexFunc(free, fits); i >= 0 {
			take(free[i], d.Pool)
			free = slices.Delete(free, i, i+1)
		}
	}
	for _, m := range free {
		if m.by != nil && s.unneeded(tick.Now, m.by, m.Worker) {
			take(m, s.StandbyPool())
		}
	}
	for part := range slices.Chunk(moves, maxMovesPerWrite) {
		s.writeMoves(part, by)
	}
}

// inTurn lists pools that lack machines, once for each machine: the pool that
// lacks most is next.
func (s *State) inTurn(short []*Demand) []*Demand {
	lack := make(map[*Demand]int, len(short))
	total := 0
	for _, d := range short {
		lack[d] = s.shortage(d)
		total += lack[d]
	}
	turns := make([]*Demand, 0, total)
	for range total {
		next := slices.MinFunc(short, func(a, b *Demand) int {
			return cmp.Or(cmp.Compare(lack[b], lack[a]), cmp.Compare(a.Duty, b.Duty))
		})
		lack[next]--
		turns = append(turns, next)
	}
	return turns
}

func (s *State) movable(now time.Time, m work.Machine) bool {
	at, refused := s.refused[m.Name]
	return m.State == work.MachineUp && !s.ordered(m.Name) && (!refused || now.Sub(at) > refusedFor)
}

// planning reports whether a move of the machine is being written.
func (s *State) planning(machine string) bool {
	for _, moves := range s.planned {
		if slices.ContainsFunc(moves, func(o work.MachineOrder) bool { return o.Machine == machine }) {
			return true
		}
	}
	return false
}

func (s *State) standbyMachines(now time.Time) []releasedMachine {
	var free []releasedMachine
	for _, m := range s.machines {
		if s.IsStandbyPool(m.Pool) && s.movable(now, m) {
			free = append(free, releasedMachine{Machine: m})
		}
	}
	slices.SortFunc(free, func(a, b releasedMachine) int { return cmp.Compare(a.Name, b.Name) })
	return free
}

func (s *State) releasedMachines(now time.Time, d *Demand) []releasedMachine {
	byWorker := map[string]work.Machine{}
	for _, m := range s.machines {
		if m.Worker != "" && m.Pool == d.Pool {
			byWorker[m.Worker] = m
		}
	}
	var free []releasedMachine
	for _, worker := range d.Released {
		if m, ok := byWorker[worker]; ok && s.movable(now, m) {
			free = append(free, releasedMachine{Machine: m, by: d})
		}
	}
	return free
}

// writeMoves stores planned moves. A machine must still be released by the
// report that was seen, and must not be under another order.
func (s *State) writeMoves(moves []work.MachineOrder, by map[string]*Demand) {
	write := ledger.Write{ID: s.NextWrite(), NotAfter: s.Ownership.ValidUntil, Expect: []ledger.Condition{s.fence()}}
	for i := range moves {
		key := orderKey(&moves[i])
		maintenance := ledger.Key{Kind: ledger.KindMachineOrder, Name: moves[i].Machine}
		conditions := []ledger.Condition{{Key: key}, {Key: maintenance, Revision: s.revision(maintenance)}}
		if d := by[moves[i].Machine]; d != nil {
			conditions = append(conditions, ledger.Condition{Key: ledger.Key{Kind: ledger.KindDemand, Name: d.Duty}, Revision: d.Revision})
		}
		for _, condition := range conditions {
			if !slices.Contains(write.Expect, condition) {
				write.Expect = append(write.Expect, condition)
			}
		}
		write.Put = append(write.Put, ledger.Put{Key: key, Content: &moves[i]})
		s.log(events.MachineMovePlanned, events.F("machine", moves[i].Machine), events.F("from", moves[i].Pool), events.F("to", moves[i].Target),
			events.F("worker", moves[i].Worker))
	}
	if s.planned == nil {
		s.planned = map[uint64][]work.MachineOrder{}
	}
	s.planned[write.ID] = moves
	s.Writes.Add(write)
}

// revision returns the last known revision of an order's record, or 0.
func (s *State) revision(key ledger.Key) int64 {
	if id, ok := s.orderByKey.Get(key); ok {
		return s.Orders.Get(id).Revision
	}
	return 0
}

// movesPlanned records the answer to a plan.
func (s *State) movesPlanned(tick engine.Tick, moves []work.MachineOrder, result ledger.WriteResult) {
	if result.Outcome != ledger.Applied {
		s.nextPlan = tick.Now.Add(retryWrite)
		s.seen(tick.Now, result)
		return
	}
	for i := range moves {
		s.ApplyOrder(ledger.Record{Key: orderKey(&moves[i]), Content: &moves[i], Revision: result.Revision})
	}
}

// orderMoves gives the orders for machines on which nothing runs.
func orderMoves(s *State, tick engine.Tick) {
	if !s.commands(tick.Now) || tick.Now.Before(s.Ownership.Since.Add(s.TakeoverDelay)) {
		return
	}
	for id, o := range s.Orders.All() {
		if o.Target == "" || o.State != work.MachineIdle || o.calling || tick.Now.Before(o.retryAt) {
			continue
		}
		o.calling = true
		s.Calls.Add(MachineCall{Order: id, Machine: o.Machine, Target: o.Target, Token: s.Ownership.Token, NotAfter: s.Ownership.ValidUntil})
		s.log(events.MachineMoveOrdered, events.F("machine", o.Machine), events.F("to", o.Target), events.F("token", s.Ownership.Token))
	}
}

// removeMoves deletes the records of finished moves, many at once.
func removeMoves(s *State, tick engine.Tick) {
	if !s.commands(tick.Now) || len(s.removing) > 0 || tick.Now.Before(s.nextRemoval) {
		return
	}
	write := ledger.Write{ID: s.NextWrite(), NotAfter: s.Ownership.ValidUntil, Expect: []ledger.Condition{s.fence()}}
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
	if s.removing == nil {
		s.removing = map[uint64][]ledger.Key{}
	}
	s.removing[write.ID] = write.Delete
	s.Writes.Add(write)
}

// movesRemoved records the answer to a deletion.
func (s *State) movesRemoved(tick engine.Tick, keys []ledger.Key, result ledger.WriteResult) {
	if result.Outcome != ledger.Applied {
		s.nextRemoval = tick.Now.Add(retryWrite)
		s.seen(tick.Now, result)
		return
	}
	for _, key := range keys {
		s.ApplyOrder(ledger.Record{Key: key, Deleted: true, Revision: result.Revision})
	}
}
