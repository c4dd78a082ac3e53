package machines

import (
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/events"
	"github.com/waxwingbridge/waxwingbridge/ledger"
	"github.com/waxwingbridge/waxwingbridge/table"
	"github.com/waxwingbridge/waxwingbridge/work"
)

// Order is a durable order for a machine, with its revision in the store.
type Order struct {
	work.MachineOrder
	Revision     int64
	writeID      uint64
	written      *work.MachineOrder // state in the write in flight; nil for a deletion
	retryAt      time.Time
	callInFlight bool
	// answered is the state that the machine service's answer calls for, while it is
	// not durable yet, or 0.
	answered work.MachineOrderState
	// orderedAt is when this process learned that the machine service accepted
	// the order.
	orderedAt  time.Time
	returnedAt time.Time // when a list showed the machine in its target pool
}

// ApplyOrder updates the orders from a store record.
func (s *State) ApplyOrder(now time.Time, record ledger.Record) {
	if s.appliedRevisions == nil {
		s.appliedRevisions = map[ledger.Key]int64{}
	}
	if record.Revision <= s.appliedRevisions[record.Key] {
		return
	}
	s.appliedRevisions[record.Key] = record.Revision
	s.changes++
	id, known := s.orderByKey.Get(record.Key)
	order, _ := record.Content.(*work.MachineOrder)
	if finishedBefore := !known && order != nil && order.State == work.MachineDone; !finishedBefore {
		s.takeover.noteChange(now, record.Key.Name)
	}
	switch {
	case record.Deleted || order == nil:
		if known {
			s.orderByKey.Delete(record.Key)
			s.Orders.Delete(id)
		}
	case known:
		o := s.Orders.Get(id)
		if order.Wave != o.Wave { // the order of a later wave
			*o = Order{writeID: o.writeID, written: o.written}
		}
		o.MachineOrder, o.Revision = *order, record.Revision
		if o.State != work.MachineIdle {
			o.callInFlight, o.answered = false, 0
		}
	default:
		s.orderByKey.Put(record.Key, s.Orders.Insert(Order{MachineOrder: *order, Revision: record.Revision}))
	}
}

// markIdleMachines marks the orders of machines in owned pools on which nothing runs
// any more, so that the owner of the fleet can carry them out.
func markIdleMachines(s *State, tick engine.Tick) {
	if tick.Now.Before(s.nextIdleCheck) {
		return
	}
	s.nextIdleCheck = tick.Now.Add(idleCheckInterval)
	for _, id := range s.openOrders() {
		o := s.Orders.Get(id)
		if o.State != work.MachineDraining || o.writeID != 0 || tick.Now.Before(o.retryAt) {
			continue
		}
		if idle, known := s.IsIdle(o.Worker, tick.Now); !idle || !known {
			continue
		}
		duty := s.Partitions.PartitionOf(o.Pool, o.Machine)
		token, owned := s.PoolToken(duty, tick.Now)
		if !owned {
			continue
		}
		next := o.MachineOrder
		next.State = work.MachineIdle
		s.writeOrder(id, next, ledger.Condition{Key: ledger.Key{Kind: ledger.KindOwner, Name: duty}, Revision: token})
	}
}

// writeOrder writes the next state of an order. The fence is the condition that this
// process still owns the duty for which it writes.
func (s *State) writeOrder(id table.ID, next work.MachineOrder, fence ledger.Condition) {
	o := s.Orders.Get(id)
	key := orderKey(&o.MachineOrder)
	write := ledger.Write{
		ID: s.NextWrite(), Expect: []ledger.Condition{fence, {Key: key, Revision: o.Revision}},
		Put: []ledger.Put{{Key: key, Content: &next}},
	}
	o.writeID, o.written = write.ID, &next
	s.Writes.Add(write)
}

func orderKey(o *work.MachineOrder) ledger.Key {
	if o.Target != "" {
		return ledger.Key{Kind: ledger.KindMachineMove, Name: o.Machine}
	}
	return ledger.Key{Kind: ledger.KindMachineOrder, Name: o.Machine}
}

// hasOpenOrder reports whether a machine has an order that is not finished.
func (s *State) hasOpenOrder(machine string) bool {
	for _, kind := range []ledger.Kind{ledger.KindMachineOrder, ledger.KindMachineMove} {
		if id, ok := s.orderByKey.Get(ledger.Key{Kind: kind, Name: machine}); ok && s.Orders.Get(id).State != work.MachineDone {
			return true
		}
	}
	return false
}

// trackMachines updates open orders from the machine list.
func trackMachines(s *State, tick engine.Tick) {
	if !s.ownsFleet(tick.Now) || !s.hasCurrentList() {
		return
	}
	for id, o := range s.Orders.All() {
		if o.writeID != 0 || tick.Now.Before(o.retryAt) || o.State == work.MachineDone {
			continue
		}
		if o.State == work.MachineOrdered && o.orderedAt.IsZero() {
			o.orderedAt = tick.Now
		}
		if o.callInFlight || o.answered != 0 {
			continue // the service's answer decides
		}
		m, listed := s.machines[o.Machine]
		next, changed := o.MachineOrder, true
		switch {
		case !listed:
			next.State = work.MachineDone // the machine no longer exists
		case o.State == work.MachineOrdered && m.State == work.MachineUp && s.hasReturned(o, m):
			next.State = work.MachineDone
		case o.State != work.MachineOrdered && m.State == work.MachineUp && m.Worker != o.Worker && o.Target != "":
			next.State = work.MachineDone // a new worker has started there; the move is dropped
		case o.State != work.MachineOrdered && m.State == work.MachineUp && m.Worker != o.Worker:
			// The worker has been replaced; its successor must be drained.
			next.Worker, next.Pool, next.State = m.Worker, m.Pool, s.initialState(m)
		default:
			changed = false
		}
		switch {
		case !changed:
		case o.Target != "":
			if o.returnedAt.IsZero() {
				o.returnedAt = tick.Now
			}
			if s.countedByTarget(tick.Now, o) {
				o.MachineOrder = next // removeMoves deletes its record
				s.changes++
			}
		default:
			s.writeOrder(id, next, s.fenceCondition())
		}
	}
}

// hasReturned reports whether the last list shows the machine after its maintenance
// or move. The replacement of the worker shows that, but a machine of a standby pool
// has none, and the call of a previous owner may have been executed before the order
// named the present worker. A list that was requested after the maintenance must have
// ended counts in any case.
func (s *State) hasReturned(o *Order, m work.Machine) bool {
	if o.Target != "" {
		return m.Pool == o.Target && s.listedAt.After(o.orderedAt)
	}
	if m.Worker != "" && m.Worker != o.Worker {
		return s.listedAt.After(o.orderedAt)
	}
	return s.listedAt.After(o.orderedAt.Add(s.MaintenanceTime + maintenanceMargin))
}

func (s *State) initialState(m work.Machine) work.MachineOrderState {
	if m.Worker == "" || s.IsStandbyPool(m.Pool) {
		return work.MachineIdle
	}
	return work.MachineDraining
}

// CallResult is the result of a MachineCall.
type CallResult uint8

// The results of a MachineCall.
const (
	CallAccepted CallResult = iota + 1
	CallRefused             // permanently: not in the wave, or not allowed in the pool
	CallRetry               // not accepted, or no answer: the call is repeated
)

// CallDone records the result of a MachineCall. A call without answer is repeated:
// the machine service answers an order that it has carried out like a new one.
func (s *State) CallDone(tick engine.Tick, call MachineCall, result CallResult, reason string, err error) {
	o := s.Orders.Get(call.Order)
	s.log(events.MaintenanceAnswered, events.F("machine", call.Machine), events.F("wave", call.Wave), events.F("answer", reason), events.Err(err))
	s.calls.done()
	if o == nil || o.Wave != call.Wave || o.Target != call.Target { // the order of another wave
		return
	}
	o.callInFlight = false
	if result == CallRefused {
		if s.refusedAt == nil {
			s.refusedAt = map[string]time.Time{}
		}
		s.refusedAt[call.Machine] = tick.Now
	}
	var next work.MachineOrderState
	switch result {
	case CallAccepted:
		next = work.MachineOrdered
	case CallRefused:
		next = work.MachineDone
	default:
		o.retryAt = tick.Now.Add(callRetryDelay)
		return
	}
	if o.Target != "" {
		// Repeating a move that was carried out has no effect, so the state of a
		// move need not be durable.
		o.State, o.orderedAt = next, tick.Now
		s.changes++
		return
	}
	if s.ownsFleet(tick.Now) && call.Token == s.Ownership.Token { // otherwise the owner repeats the call
		o.answered = next
	}
}

// saveAnswers writes the states that the answers of the machine service call for. An
// answer that arrived under an earlier ownership is dropped, since another owner may
// have continued the order.
func saveAnswers(s *State, tick engine.Tick) {
	owned := s.ownsFleet(tick.Now)
	for _, id := range s.openOrders() {
		o := s.Orders.Get(id)
		switch {
		case o.answered == 0:
		case !owned:
			o.answered = 0
		case o.writeID == 0 && !tick.Now.Before(o.retryAt):
			next := o.MachineOrder
			next.State = o.answered
			s.writeOrder(id, next, s.fenceCondition())
		}
	}
}

// isDown reports whether the machine of an order counts against the cap of its wave.
// The list shows calls of a previous owner whose answer is not in the order.
func (s *State) isDown(o *Order) bool {
	return o.State == work.MachineOrdered || o.callInFlight || o.answered == work.MachineOrdered ||
		o.State != work.MachineDone && s.machines[o.Machine].State == work.MachineInMaintenance
}
