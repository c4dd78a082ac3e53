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

// drainAhead is how many machines beyond its cap a wave has under order, so that the
// next ones are drained by the time others return and draining does not lengthen the
// wave.
const drainAhead = 1

// chooseMachines starts to drain the next machines of each wave: those of standby
// pools first, then those of the pools with the fewest machines under order.
func chooseMachines(s *State, tick engine.Tick) {
	if !s.ownsFleet(tick.Now) || !s.hasCurrentList() || tick.Now.Before(s.nextChoice) {
		return
	}
	s.nextChoice = tick.Now.Add(planInterval)
	for _, w := range s.Waves.All() {
		if w.Status == WaveStatusCompleted || w.writeID != 0 || tick.Now.Before(w.retryAt) {
			continue
		}
		underOrder, active := map[string]int{}, 0
		for _, o := range s.Orders.All() {
			if o.State != work.MachineDone {
				underOrder[o.Pool]++
				if o.Wave == w.Number && o.Target == "" {
					active++
				}
			}
		}
		capacity := w.Cap + drainAhead - active
		if capacity <= 0 {
			continue
		}
		var chosen []work.Machine
		for _, name := range w.Machines {
			m, listed := s.machines[name]
			if listed && m.State == work.MachineUp && !s.isMaintainedFor(w, name) && !s.hasOpenOrder(name) && !s.hasPlannedMove(name) && !s.isChosen(name) {
				chosen = append(chosen, m)
			}
		}
		slices.SortStableFunc(chosen, func(a, b work.Machine) int {
			return cmp.Or(compareBool(s.IsStandbyPool(b.Pool), s.IsStandbyPool(a.Pool)), cmp.Compare(underOrder[a.Pool], underOrder[b.Pool]))
		})
		if !s.isUrgent(tick.Now, w) {
			chosen = s.dispensable(tick.Now, chosen, underOrder, max(1, w.Cap/lackingPoolDivisor))
		}
		s.startDraining(w, chosen[:min(len(chosen), capacity)])
	}
}

// maintenanceOverhead is added to MaintenanceTime for the time between two machines
// that are down in turn: draining, calls and machine lists.
const maintenanceOverhead = 1500 * time.Millisecond

// urgencyFactor multiplies the time that the rest of a wave takes at its cap. Below
// that time the wave no longer waits for the pools.
const urgencyFactor = 2

// isUrgent reports whether a wave must go on although pools lack machines.
func (s *State) isUrgent(now time.Time, w *Wave) bool {
	if !w.AgeKnown {
		return true
	}
	remaining := 0
	for _, name := range w.Machines {
		if !s.isMaintainedFor(w, name) {
			remaining++
		}
	}
	rounds := (remaining + max(1, w.Cap) - 1) / max(1, w.Cap)
	needed := urgencyFactor * time.Duration(rounds) * (s.MaintenanceTime + maintenanceOverhead)
	return now.Add(needed).After(w.ReceivedAt.Add(w.Within))
}

// lackingPoolDivisor divides the cap of a wave for each pool that lacks machines. Such
// a pool still drains some, because long-running tasks leave their machines one after
// the other, which takes most of the time of a wave.
const lackingPoolDivisor = 8

// dispensable removes the machines that pools need at present: as many standby machines
// as all pools together lack, and those of pools that lack machines beyond perPool under
// order.
func (s *State) dispensable(now time.Time, machines []work.Machine, underOrder map[string]int, perPool int) []work.Machine {
	lacking, total := map[string]bool{}, 0
	for _, d := range s.Demands.All() {
		if n := s.shortage(d); n > 0 && now.Sub(d.ReceivedAt) < demandValidity {
			lacking[d.Pool] = true
			total += n
		}
	}
	if total == 0 {
		return machines
	}
	spare := len(s.standbyMachines(now)) - total
	var kept []work.Machine
	for _, m := range machines {
		switch {
		case s.IsStandbyPool(m.Pool) && spare > 0:
			spare--
			kept = append(kept, m)
		case !s.IsStandbyPool(m.Pool) && (!lacking[m.Pool] || underOrder[m.Pool] < perPool):
			underOrder[m.Pool]++
			kept = append(kept, m)
		}
	}
	return kept
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}

func (s *State) startDraining(w *Wave, machines []work.Machine) {
	if len(machines) == 0 {
		return
	}
	write := ledger.Write{ID: s.NextWrite(), NotAfter: s.Ownership.ValidUntil, Expect: []ledger.Condition{s.fenceCondition()}}
	if w.Status == WaveStatusNone {
		write.Expect = append(write.Expect, w.statusCondition())
		write.Put = append(write.Put, ledger.Put{Key: w.statusKey(), Content: false})
	}
	for _, m := range machines {
		key := ledger.Key{Kind: ledger.KindMachineOrder, Name: m.Name}
		write.Expect = append(write.Expect, ledger.Condition{Key: key, Revision: s.orderRevision(key)}, ledger.Condition{Key: ledger.Key{Kind: ledger.KindMachineMove, Name: m.Name}})
		order := &work.MachineOrder{
			Machine: m.Name, Worker: m.Worker, Pool: m.Pool, Wave: w.Number, State: s.initialState(m), Maintained: s.openWavesDone(key),
		}
		write.Put = append(write.Put, ledger.Put{Key: key, Content: order})
		w.chosenOrders = append(w.chosenOrders, order)
		s.log(events.MachineChosen, events.F("machine", m.Name), events.F("worker", m.Worker), events.F("pool", m.Pool), events.F("wave", w.Number))
		if write.Entries() >= maxEntries {
			break
		}
	}
	w.writeID = write.ID
	s.Writes.Add(write)
}

// isChosen reports whether a write in flight starts to drain the machine for a wave.
func (s *State) isChosen(machine string) bool {
	for _, w := range s.Waves.All() {
		if slices.ContainsFunc(w.chosenOrders, func(o *work.MachineOrder) bool { return o.Machine == machine }) {
			return true
		}
	}
	return false
}

// openWavesDone returns the waves that are not reported as completed and for which
// the order's machine has been maintained.
func (s *State) openWavesDone(key ledger.Key) []int {
	id, known := s.orderByKey.Get(key)
	if !known {
		return nil
	}
	var open []int
	for _, w := range s.Waves.All() {
		if w.Status != WaveStatusCompleted && s.Orders.Get(id).MaintainedFor(w.Number) {
			open = append(open, w.Number)
		}
	}
	return open
}
