package dispatch

import (
	"time"

	"github.com/waxwingbridge/waxwingbridge/events"
	"github.com/waxwingbridge/waxwingbridge/table"
	"github.com/waxwingbridge/waxwingbridge/work"
)

// maxClockLead is how far the clock of a worker may be ahead of this machine's.
const maxClockLead = 24 * time.Hour

// namesNoWorker reports whether an entry comes from another writer: its pool does not
// exist, or the worker would start in the far future, so that all of its own entries
// would count as stale.
func (s *State) namesNoWorker(entry *work.Worker) bool {
	return s.IsPool != nil && !s.IsPool(entry.Pool) || s.startsInFuture(entry)
}

func (s *State) startsInFuture(entry *work.Worker) bool {
	return entry.Incarnation > s.TimeOfDay().Add(maxClockLead).UnixMilli()
}

// ApplyWorker adds or updates a worker from its registry entry.
func (s *State) ApplyWorker(now time.Time, entry *work.Worker, revision int64) {
	id, known := s.workerByID.Get(entry.ID)
	switch {
	case known && s.namesNoWorker(entry) && !s.namesNoWorker(&s.Workers.Get(id).Worker):
		s.WorkerRemoved(entry.ID, revision) // until the worker's next heartbeat
		return
	case s.startsInFuture(entry):
		return
	}
	s.endEarlierIncarnations(now, entry, revision)
	if !known {
		id = s.insertWorker(Worker{Worker: *entry, revision: revision})
	}
	w := s.Workers.Get(id)
	if known {
		if revision <= w.revision {
			return
		}
		if s.statesEarlierIncarnation(w, entry) {
			s.applyEarlierEntry(now, id, entry, revision)
			return
		}
		if w.Incarnation != entry.Incarnation {
			s.endIncarnation(now, id, entry.Incarnation, fromRegistry)
		}
		if w.Draining != entry.Draining {
			s.log(events.WorkerDraining, events.F("worker", entry.ID), events.F("draining", entry.Draining),
				events.F("revision", revision), events.F("remaining_ms", entry.Remaining.Milliseconds()))
		}
		machine := w.Machine
		w.Worker, w.revision = *entry, revision
		if machine != entry.Machine {
			s.forgetMachine(machine)
		}
	}
	if !w.Listed {
		w.Listed, w.nextPollAt = true, now
	}
	s.unsettled.Put(id, w.pool != 0 && len(w.lapsed) > 0)
	s.setLeaving(id, s.underMaintenance[w.ID], s.maintenancePending[w.Machine])
	if poolID, owned := s.poolByName.Get(s.partition(w)); owned && !s.namesNoWorker(&w.Worker) {
		s.setPool(id, poolID)
		s.queuePoll(id)
		p := s.Pools.Get(poolID)
		p.placementNeeded, p.contactsChanged = true, true
	}
}

// statesEarlierIncarnation reports whether an entry states an earlier incarnation of a worker
// than the known one, by its start or since the worker's lists have shown a later one.
func (s *State) statesEarlierIncarnation(w *Worker, entry *work.Worker) bool {
	if w.Incarnation == 0 || entry.Incarnation == 0 || entry.Incarnation == w.Incarnation || s.namesNoWorker(&w.Worker) {
		return false
	}
	return entry.Incarnation < w.Incarnation || entry.Incarnation == w.replacedIncarnation
}

// applyEarlierEntry applies an entry that states an earlier start than the known incarnation.
// It is either a late one of an earlier incarnation, or the time of day of the worker's
// machine has jumped back before the worker started again. Only the worker's answer to a poll
// can tell, so the entry brings an unlisted worker back, but ends no incarnation. It is kept
// for the case that the worker states that incarnation.
func (s *State) applyEarlierEntry(now time.Time, id table.ID, entry *work.Worker, revision int64) {
	w := s.Workers.Get(id)
	w.earlierEntry = entry
	if w.Listed {
		return
	}
	known := w.Incarnation
	w.Worker, w.revision, w.Listed = *entry, revision, true
	w.Incarnation = known
	s.unsettled.Put(id, w.pool != 0 && len(w.lapsed) > 0)
	if p := s.Pools.Get(w.pool); p != nil {
		p.contactsChanged = true
		s.pollAtOnce(id, now)
	}
}

// machineWorker is the worker on a machine that states the latest start, by the registry.
// revision is that of its entry when it became the latest one.
type machineWorker struct {
	id          string
	incarnation int64
	revision    int64
}

// hasOtherWorker reports whether a later worker has taken the place of a contact on its
// machine, so that none of its runs exists. A later incarnation of the same worker may have
// executed orders that were meant for the contact.
func (s *State) hasOtherWorker(contact work.Contact) bool {
	latest := s.latestWorkers[contact.Machine]
	if latest.id == contact.Worker || latest.incarnation <= contact.Incarnation {
		return false
	}
	id, known := s.workerByID.Get(contact.Worker)
	return !known || !s.Workers.Get(id).listedSince(latest.revision)
}

// listedSince reports whether the worker wrote its registry entry after the given revision. A
// worker that has left its machine to another one writes nothing after that one's entry, even
// if that one states an earlier start because the machine's time of day has jumped back.
func (w *Worker) listedSince(revision int64) bool { return w.Listed && w.revision > revision }

// endEarlierIncarnations gives up the runs of workers that were on the machine
// before the present one. Those workers no longer answer, so there is no need
// to wait for their leases. Whether a worker of a pool that is not owned yet may hold
// runs is decided with its contact.
func (s *State) endEarlierIncarnations(now time.Time, entry *work.Worker, revision int64) {
	if s.IsPool == nil || s.namesNoWorker(entry) { // loadContacts repeats this when the pools are known
		return
	}
	if entry.Machine == "" || entry.Incarnation <= s.latestWorkers[entry.Machine].incarnation {
		return
	}
	s.latestWorkers[entry.Machine] = machineWorker{id: entry.ID, incarnation: entry.Incarnation, revision: revision}
	for id, w := range s.Workers.All() {
		if w.pool == 0 || w.Machine != entry.Machine || w.ID == entry.ID || w.Incarnation >= entry.Incarnation || w.listedSince(revision) {
			continue
		}
		s.endIncarnation(now, id, w.Incarnation, fromMachine)
		w.tokenAccepted, w.lastListAt = true, time.Time{}
		if w.Listed {
			s.schedulePoll(id, now.Add(idlePollWait))
		}
	}
}

// forgetMachine forgets the latest worker of a machine that no known worker is on.
func (s *State) forgetMachine(machine string) {
	for _, w := range s.Workers.All() {
		if w.Machine == machine {
			return
		}
	}
	delete(s.latestWorkers, machine)
}

// WorkerRemoved records that a worker's entry was removed from the registry.
// Its runs may continue until their lease expires.
func (s *State) WorkerRemoved(id string, revision int64) {
	row, ok := s.workerByID.Get(id)
	if !ok {
		return
	}
	w := s.Workers.Get(row)
	if revision <= w.revision || !w.Listed {
		return
	}
	w.Listed, w.revision = false, revision
	if w.pool == 0 { // not a worker of an owned pool
		s.deleteWorker(row)
		return
	}
	s.unsettled.Add(row)
	s.log(events.WorkerUnregistered, events.F("worker", id), events.F("pool", w.Pool), events.F("runs", len(w.runs)), events.F("revision", revision))
}

// SetMaintenance records whether a machine order takes the worker out of its
// pool.
func (s *State) SetMaintenance(worker string, on bool) {
	if on {
		s.underMaintenance[worker] = true
	} else {
		delete(s.underMaintenance, worker)
	}
	if id, ok := s.workerByID.Get(worker); ok {
		s.setLeaving(id, on, s.Workers.Get(id).maintenancePending)
	}
}

// setLeaving records whether a worker's machine is under maintenance or due for it.
func (s *State) setLeaving(id table.ID, underMaintenance, pending bool) {
	w := s.Workers.Get(id)
	if p := s.Pools.Get(w.pool); p != nil && w.underMaintenance != underMaintenance {
		p.placementNeeded, p.contactsChanged = true, true
	}
	w.underMaintenance, w.maintenancePending = underMaintenance, pending
	s.leaving.Put(id, underMaintenance || pending)
}

// SetMaintenancePending records which machines are scheduled for maintenance.
// Long-running tasks are moved off them early, since only a few tasks of a step
// may be unavailable at the same time.
func (s *State) SetMaintenancePending(machines map[string]bool) {
	s.maintenancePending = machines
	for id, w := range s.Workers.All() {
		s.setLeaving(id, w.underMaintenance, machines[w.Machine])
	}
}
