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
	// planEvery is the interval of move plans. A machine needs 1.5 s to move,
	// so planning more often gains little.
	planEvery = 250 * time.Millisecond
	// demandFor is how long what an owner said about a pool counts.
	demandFor = 8 * time.Second
	// standbyAfter is how long a pool must have spare machines before one is
	// switched off. A move costs about as much as 1.2 s of a machine in a pool,
	// and a machine that comes back misses the first seconds of a peak.
	standbyAfter = 2500 * time.Millisecond
	// maxMovesPerPlan keeps a plan within one store transaction.
	maxMovesPerPlan = 8
	// refusedFor keeps a machine from being tried again.
	refusedFor = 10 * time.Second
)

// Demand is the latest word of a pool's owner.
type Demand struct {
	Pool string
	work.Demand
	Revision   int64
	SeenAt     time.Time
	spareSince time.Time // zero while nothing is spare
}

// DemandSeen records what a pool's owner says about its machines.
func (s *State) DemandSeen(now time.Time, seen ledger.Seen) {
	id, known := s.demandByPool.Get(seen.Key.Name)
	if !known {
		id = s.Demands.Insert(Demand{Pool: seen.Key.Name})
		s.demandByPool.Put(seen.Key.Name, id)
	}
	d := s.Demands.Get(id)
	demand, ok := seen.Content.(*work.Demand)
	if !ok || seen.Revision <= d.Revision {
		return
	}
	d.Demand, d.Revision, d.SeenAt = *demand, seen.Revision, now
	switch {
	case len(demand.Spare) == 0:
		d.spareSince = time.Time{}
	case d.spareSince.IsZero():
		d.spareSince = now
	}
}

// shortage is how many machines a pool lacks, given the moves under way.
func (s *State) shortage(d *Demand) int {
	short := d.Need - d.Have
	for _, o := range s.Orders.All() {
		if o.Target == d.Pool && o.State != work.MachineDone {
			short--
		}
	}
	return short
}

// moving reports whether machines must be known for moves.
func (s *State) moving(now time.Time) bool {
	for _, d := range s.Demands.All() {
		if now.Sub(d.SeenAt) < demandFor && (s.shortage(d) > 0 || s.switchOff(now, d)) {
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

func (s *State) switchOff(now time.Time, d *Demand) bool {
	return s.StandbyPool() != "" && !d.spareSince.IsZero() && now.Sub(d.spareSince) > standbyAfter
}

// planMoves gives machines to the pools that lack some: machines of a standby
// pool first, then spare ones of other pools. Machines that nobody needs go to
// the standby pool.
func planMoves(s *State, tick engine.Tick) {
	if !s.commands(tick.Now) || s.machines == nil || len(s.planned) > 0 || tick.Now.Before(s.nextPlan) {
		return
	}
	s.nextPlan = tick.Now.Add(planEvery)
	var short, all []*Demand
	for _, d := range s.Demands.All() {
		if tick.Now.Sub(d.SeenAt) < demandFor {
			all = append(all, d)
			if s.shortage(d) > 0 {
				short = append(short, d)
			}
		}
	}
	slices.SortFunc(short, func(a, b *Demand) int {
		return cmp.Or(cmp.Compare(s.shortage(b), s.shortage(a)), cmp.Compare(a.Pool, b.Pool))
	})
	free := s.standbyMachines(tick.Now)
	for _, d := range all {
		if !slices.Contains(short, d) {
			free = append(free, s.spareMachines(tick.Now, d)...)
		}
	}
	var moves []work.MachineOrder
	for _, d := range short {
		for n := s.shortage(d); n > 0 && len(free) > 0 && len(moves) < maxMovesPerPlan; n-- {
			moves = append(moves, s.move(free[0], d.Pool))
			free = free[1:]
		}
	}
	if len(short) == 0 {
		for _, d := range all {
			if spare := s.spareMachines(tick.Now, d); s.switchOff(tick.Now, d) && len(spare) > 0 && len(moves) < maxMovesPerPlan {
				moves = append(moves, s.move(spare[0], s.StandbyPool()))
			}
		}
	}
	s.writeMoves(tick, moves)
}

func (s *State) move(m work.Machine, to string) work.MachineOrder {
	return work.MachineOrder{Machine: m.Name, Worker: m.Worker, Pool: m.Pool, Target: to, State: s.firstState(m)}
}

func (s *State) movable(now time.Time, m work.Machine) bool {
	at, refused := s.refused[m.Name]
	return m.State == work.MachineUp && !s.ordered(m.Name) && (!refused || now.Sub(at) > refusedFor)
}

func (s *State) standbyMachines(now time.Time) []work.Machine {
	var free []work.Machine
	for _, m := range s.machines {
		if s.Standby(m.Pool) && s.movable(now, m) {
			free = append(free, m)
		}
	}
	slices.SortFunc(free, func(a, b work.Machine) int { return cmp.Compare(a.Name, b.Name) })
	return free
}

func (s *State) spareMachines(now time.Time, d *Demand) []work.Machine {
	byWorker := map[string]work.Machine{}
	for _, m := range s.machines {
		if m.Worker != "" && m.Pool == d.Pool {
			byWorker[m.Worker] = m
		}
	}
	// Machines that leave already count against what is spare.
	leaving := 0
	for _, o := range s.Orders.All() {
		if o.Target != "" && o.Pool == d.Pool && o.State != work.MachineDone && slices.Contains(d.Spare, o.Worker) {
			leaving++
		}
	}
	var free []work.Machine
	for _, worker := range d.Spare {
		if m, ok := byWorker[worker]; ok && s.movable(now, m) && len(free)+leaving < len(d.Spare) {
			free = append(free, m)
		}
	}
	return free
}

func (s *State) writeMoves(tick engine.Tick, moves []work.MachineOrder) {
	if len(moves) == 0 {
		return
	}
	write := ledger.Write{ID: s.NextWrite(), NotAfter: s.Role.Until, Expect: []ledger.Condition{s.fence()}}
	for i := range moves {
		key := orderKey(&moves[i])
		write.Expect = append(write.Expect, ledger.Condition{Key: key})
		write.Put = append(write.Put, ledger.Put{Key: key, Content: &moves[i]})
		s.log(events.MachineMovePlanned, events.F("machine", moves[i].Machine), events.F("from", moves[i].Pool), events.F("to", moves[i].Target),
			events.F("worker", moves[i].Worker))
	}
	if s.planned == nil {
		s.planned = map[uint64]time.Time{}
	}
	s.planned[write.ID] = tick.Now
	s.Writes.Add(write)
}

// orderMoves gives the orders for machines on which nothing runs.
func orderMoves(s *State, tick engine.Tick) {
	if !s.commands(tick.Now) || tick.Now.Before(s.Role.FleetSince.Add(s.OrderTurn)) {
		return
	}
	for id, o := range s.Orders.All() {
		if o.Target == "" || o.State != work.MachineIdle || o.calling || o.saving != 0 || tick.Now.Before(o.retryAt) {
			continue
		}
		o.calling = true
		s.Calls.Add(MachineCall{Order: id, Machine: o.Machine, Target: o.Target, Token: s.Role.FleetToken, NotAfter: s.Role.Until})
		s.log(events.MachineMoveOrdered, events.F("machine", o.Machine), events.F("to", o.Target), events.F("token", s.Role.FleetToken))
	}
}

// removeMoves deletes the records of finished moves.
func removeMoves(s *State, tick engine.Tick) {
	if !s.commands(tick.Now) {
		return
	}
	for _, o := range s.Orders.All() {
		if o.Target == "" || o.State != work.MachineDone || o.saving != 0 || tick.Now.Before(o.retryAt) {
			continue
		}
		write := ledger.Write{
			ID: s.NextWrite(), NotAfter: s.Role.Until,
			Expect: []ledger.Condition{s.fence(), {Key: orderKey(&o.MachineOrder), Revision: o.Revision}},
			Delete: []ledger.Key{orderKey(&o.MachineOrder)},
		}
		o.saving = write.ID
		s.Writes.Add(write)
	}
}
