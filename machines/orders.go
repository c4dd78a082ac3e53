package machines

import (
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/events"
	"github.com/waxwingbridge/waxwingbridge/ledger"
	"github.com/waxwingbridge/waxwingbridge/table"
	"github.com/waxwingbridge/waxwingbridge/work"
)

// Order is a durable order for a machine with its revision.
type Order struct {
	work.MachineOrder
	Revision int64
	saving   uint64
	saved    *work.MachineOrder // what is being written; nil for a deletion
	retryAt  time.Time
	calling  bool
	// orderedAt is when this process saw the order as given.
	orderedAt time.Time
	backAt    time.Time // when a list showed the machine in its target pool
}

// ApplyOrder records a durable order.
func (s *State) ApplyOrder(seen ledger.Record) {
	if s.changes == nil {
		s.changes = map[ledger.Key]int64{}
	}
	if seen.Revision <= s.changes[seen.Key] {
		return
	}
	s.changes[seen.Key] = seen.Revision
	id, known := s.orderByKey.Get(seen.Key)
	order, _ := seen.Content.(*work.MachineOrder)
	switch {
	case seen.Deleted || order == nil:
		if known {
			s.orderByKey.Delete(seen.Key)
			s.Orders.Delete(id)
		}
	case known:
		o := s.Orders.Get(id)
		o.MachineOrder, o.Revision = *order, seen.Revision
		if o.State != work.MachineIdle {
			o.calling = false
		}
	default:
		s.orderByKey.Put(seen.Key, s.Orders.Insert(Order{MachineOrder: *order, Revision: seen.Revision}))
	}
}

// handOver tells the fleet's owner which machines of owned pools are idle.
func handOver(s *State, tick engine.Tick) {
	for id, o := range s.Orders.All() {
		if o.State != work.MachineDraining || o.saving != 0 || tick.Now.Before(o.retryAt) {
			continue
		}
		duty := s.Partitions.PartitionOf(o.Pool, o.Machine)
		token, owned := s.PoolToken(duty, tick.Now)
		if !owned {
			continue
		}
		if idle, known := s.IsIdle(o.Worker, tick.Now); idle && known {
			next := o.MachineOrder
			next.State = work.MachineIdle
			s.save(id, next, ledger.Condition{Key: ledger.Key{Kind: ledger.KindOwner, Name: duty}, Revision: token})
		}
	}
}

// save writes the next state of an order.
func (s *State) save(id table.ID, next work.MachineOrder, fence ledger.Condition) {
	o := s.Orders.Get(id)
	key := orderKey(&o.MachineOrder)
	write := ledger.Write{
		ID: s.NextWrite(), Expect: []ledger.Condition{fence, {Key: key, Revision: o.Revision}},
		Put: []ledger.Put{{Key: key, Content: &next}},
	}
	o.saving, o.saved = write.ID, &next
	s.Writes.Add(write)
}

func orderKey(o *work.MachineOrder) ledger.Key {
	if o.Target != "" {
		return ledger.Key{Kind: ledger.KindMachineMove, Name: o.Machine}
	}
	return ledger.Key{Kind: ledger.KindMachineOrder, Name: o.Machine}
}

// ordered reports whether a machine is under an order that is not finished.
func (s *State) ordered(machine string) bool {
	for _, kind := range []ledger.Kind{ledger.KindMachineOrder, ledger.KindMachineMove} {
		if id, ok := s.orderByKey.Get(ledger.Key{Kind: kind, Name: machine}); ok && s.Orders.Get(id).State != work.MachineDone {
			return true
		}
	}
	return false
}

// followMachines notes which ordered machines are back.
func followMachines(s *State, tick engine.Tick) {
	if !s.commands(tick.Now) || s.machines == nil {
		return
	}
	for id, o := range s.Orders.All() {
		if o.saving != 0 || tick.Now.Before(o.retryAt) || o.State == work.MachineDone {
			continue
		}
		if o.State == work.MachineOrdered && o.orderedAt.IsZero() {
			o.orderedAt = tick.Now
		}
		m, listed := s.machines[o.Machine]
		next := o.MachineOrder
		switch {
		case !listed:
			next.State = work.MachineDone // the machine was taken away
		case o.State == work.MachineOrdered && m.State == work.MachineUp && s.isBack(o, m):
			next.State = work.MachineDone
		case o.State != work.MachineOrdered && m.State == work.MachineUp && m.Worker != o.Worker && o.Target != "":
			next.State = work.MachineDone // a new worker began meanwhile; it stays
		case o.State != work.MachineOrdered && m.State == work.MachineUp && m.Worker != o.Worker:
			// The worker was replaced meanwhile; its successor must be drained.
			next.Worker, next.Pool, next.State = m.Worker, m.Pool, s.firstState(m)
		}
		switch {
		case next == o.MachineOrder:
		case o.Target != "":
			if o.backAt.IsZero() {
				o.backAt = tick.Now
			}
			if s.counted(tick.Now, o) {
				o.MachineOrder = next // its record is removed
			}
		default:
			s.save(id, next, s.fence())
		}
	}
}

// isBack reports whether a list shows the machine after its maintenance. A
// machine of a standby pool has no worker that would tell, so a list counts
// only if it was asked for after the maintenance must have ended.
func (s *State) isBack(o *Order, m work.Machine) bool {
	if o.Target != "" {
		return m.Pool == o.Target && s.listedAt.After(o.orderedAt)
	}
	if m.Worker != "" && m.Worker != o.Worker {
		return s.listedAt.After(o.orderedAt)
	}
	return m.Worker == "" && s.listedAt.After(o.orderedAt.Add(s.MaintenanceTime+returnSlack))
}

func (s *State) firstState(m work.Machine) work.MachineOrderState {
	if m.Worker == "" || s.IsStandbyPool(m.Pool) {
		return work.MachineIdle
	}
	return work.MachineDraining
}

// CallResult is the answer to an order for a machine.
type CallResult uint8

// The answers to an order for a machine.
const (
	CallAccepted CallResult = iota + 1
	CallRefused             // for good: not of the wave, or not allowed in the pool
	CallRetry               // not accepted, or unanswered: the same order is given again
)

// CallDone records the answer to an order. An unanswered order is given again:
// the service answers an order that is already carried out like a new one.
func (s *State) CallDone(tick engine.Tick, call MachineCall, result CallResult, reason string, err error) {
	o := s.Orders.Get(call.Order)
	s.log(events.MaintenanceAnswered, events.F("machine", call.Machine), events.F("wave", call.Wave), events.F("answer", reason), events.Err(err))
	if o == nil {
		return
	}
	if result == CallRefused {
		if s.refused == nil {
			s.refused = map[string]time.Time{}
		}
		s.refused[call.Machine] = tick.Now
	}
	next := o.MachineOrder
	switch result {
	case CallAccepted:
		next.State = work.MachineOrdered
	case CallRefused:
		next.State = work.MachineDone
	default:
		o.calling, o.retryAt = false, tick.Now.Add(retryOrder)
		return
	}
	if o.Target != "" {
		// A repeated move of a machine that has moved has no effect, so that the
		// state of a move need not be durable.
		o.calling, o.State, o.orderedAt = false, next.State, tick.Now
		return
	}
	// calling stays set until the state is durable, so that the machine counts
	// as down.
	if s.commands(tick.Now) {
		s.save(call.Order, next, s.fence())
	}
}
