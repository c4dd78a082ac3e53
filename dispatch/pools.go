package dispatch

import (
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/estimate"
	"github.com/waxwingbridge/waxwingbridge/events"
	"github.com/waxwingbridge/waxwingbridge/table"
	"github.com/waxwingbridge/waxwingbridge/work"
)

const (
	// clockDrift is the share by which a worker's monotonic clock may run slower
	// than this machine's.
	clockDrift = 0.02
	// leaseSlack allows for coarse timers on both sides.
	leaseSlack = 100 * time.Millisecond
	// reconcileSlack allows for the time until the last order of a replaced
	// owner arrives.
	reconcileSlack = 500 * time.Millisecond
)

// OwnPool records or extends the ownership of the pool under the fencing token.
// Orders may be sent until the given time.
func (s *State) OwnPool(now time.Time, name string, token int64, epoch int, until time.Time) {
	id, known := s.poolByName.Get(name)
	if known && s.Pools.Get(id).Token != token {
		s.DropPool(name)
		known = false
	}
	if !known {
		id = s.Pools.Insert(Pool{Name: name, Token: token, Epoch: epoch, OwnedSince: now, runTimes: estimate.NewRunTimes(maxLearntSteps, maxLearntImages), peers: estimate.NewPeers(maxPeerSteps)})
		s.poolByName.Put(name, id)
		s.log(events.PoolOwned, events.F("pool", name), events.F("token", token), events.F("epoch", epoch))
	}
	p := s.Pools.Get(id)
	if until.After(p.OwnedUntil) && !now.Before(p.OwnedUntil) {
		p.placementNeeded = true // no orders could be sent since the previous lease ended
	}
	p.OwnedUntil = until
}

// DropPool removes all rows of a pool that another process owns or will own.
func (s *State) DropPool(name string) {
	id, ok := s.poolByName.Get(name)
	if !ok {
		return
	}
	s.log(events.PoolLost, events.F("pool", name), events.F("token", s.Pools.Get(id).Token))
	for jobID, j := range s.Jobs.All() {
		if j.Pool == id {
			s.removeJob(jobID)
		}
	}
	for workerID, w := range s.workersOf(id) {
		for _, run := range w.runs {
			s.deleteRun(run)
		}
		s.setPool(workerID, 0)
		*w = Worker{
			Worker: w.Worker, Listed: w.Listed, revision: w.revision, underMaintenance: w.underMaintenance,
			maintenancePending: w.maintenancePending, unsavedEnds: map[int64]struct{}{},
		}
		if !w.Listed {
			s.deleteWorker(workerID)
		}
	}
	s.poolByName.Delete(name)
	s.Pools.Delete(id)
}

// OwnedPools iterates over the names of the pools in the tables.
func (s *State) OwnedPools(yield func(name string, token int64) bool) {
	for _, p := range s.Pools.All() {
		if !yield(p.Name, p.Token) {
			return
		}
	}
}

// mayOrder reports whether orders to the pool's workers may be sent now.
func (s *State) mayOrder(p *Pool, now time.Time) bool {
	return p != nil && p.Loaded && now.Before(p.OwnedUntil)
}

// loadJobs fills the tables of a pool once the ledger has caught up with the
// start of the ownership, and applies the ledger's changes afterwards.
func loadJobs(s *State, tick engine.Tick) {
	changed := append(s.Mirror.TakeChanged(), s.awaitingWatch...)
	s.awaitingWatch = nil
	for id, p := range s.Pools.All() {
		if p.Loaded || !s.Mirror.Synced || s.Mirror.Revision < p.Token {
			continue
		}
		p.Loaded = true
		p.caps.inherited = s.Allotment
		for row := range s.Mirror.Jobs.All() {
			s.syncJob(tick, row)
		}
		s.loadContacts(tick.Now, id)
		s.log(events.PoolLoaded, events.F("pool", s.Pools.Get(id).Name), events.F("jobs", s.Jobs.Len()), events.F("tasks", s.Tasks.Len()),
			events.F("contacts", len(s.Pools.Get(id).Contacts)), events.F("contacts_ahead", s.contactsAhead(id)),
			events.F("store_revision", s.Mirror.Revision))
	}
	for _, row := range changed {
		s.syncJob(tick, row)
	}
}

// loadContacts inserts the workers on which an earlier owner may have started
// runs.
func (s *State) loadContacts(now time.Time, id table.ID) {
	for _, w := range s.Workers.All() { // the registry may have been read before the manifest
		if w.Listed {
			s.endEarlierIncarnations(now, &w.Worker, w.revision)
		}
	}
	p := s.Pools.Get(id)
	seen := s.storedContacts[p.Name]
	p.contactsRevision, p.Contacts = seen.revision, seen.contacts
	for _, contact := range p.Contacts {
		if s.hasOtherWorker(contact) {
			continue
		}
		workerID, known := s.workerByID.Get(contact.Worker)
		if known && s.namesNoWorker(&s.Workers.Get(workerID).Worker) { // read before the manifest
			s.deleteWorker(workerID)
			known = false
		}
		if !known {
			workerID = s.insertWorker(Worker{Worker: work.Worker{ID: contact.Worker, Machine: contact.Machine, Address: contact.Address, Incarnation: contact.Incarnation, Pool: work.PoolOf(p.Name)}})
		}
		s.setPool(workerID, id)
		w := s.Workers.Get(workerID)
		w.inherited, w.inheritedUntil = true, s.inheritedUntil(p, seen.seenAt, contact)
		w.leaseLimited = contact.LeaseLeft > 0
		if contact.Incarnation < w.Incarnation { // the earlier owner may not have known of the restart
			s.noteInheritedStrayLeases(w)
		}
	}
	for workerID, w := range s.Workers.All() {
		if w.Listed && s.partition(w) == p.Name && !s.namesNoWorker(&w.Worker) {
			s.setPool(workerID, id)
		}
	}
}

// contactsAhead returns how many contacts name a later incarnation of a worker than its
// registry entry: the worker has restarted and does not reach the store.
func (s *State) contactsAhead(id table.ID) int {
	ahead := 0
	for _, contact := range s.Pools.Get(id).Contacts {
		if worker, ok := s.workerByID.Get(contact.Worker); ok && s.Workers.Get(worker).Incarnation < contact.Incarnation {
			ahead++
		}
	}
	return ahead
}

// partition returns the name of the partition that a worker belongs to.
func (s *State) partition(w *Worker) string { return s.Partitions.PartitionOf(w.Pool, w.Machine) }

func (s *State) insertWorker(w Worker) table.ID {
	w.unsavedEnds = map[int64]struct{}{}
	id := s.Workers.Insert(w)
	s.workerByID.Put(w.ID, id)
	s.setLeaving(id, s.underMaintenance[w.ID], s.maintenancePending[w.Machine])
	return id
}

// inheritedUntil returns the latest time at which a run of an earlier owner may exist on a
// contact that was first seen in the store at the given time. Each order carries the end of
// its lease on the worker's clock, so that a late order of a replaced owner extends none.
func (s *State) inheritedUntil(p *Pool, seenAt time.Time, contact work.Contact) time.Time {
	lease := s.Config.MaxLease
	if contact.LongLeases {
		lease = s.Config.LongestHold
	}
	until := p.OwnedSince.Add(heldFor(lease) - leaseSlack + reconcileSlack)
	if limit := seenAt.Add(contact.LeaseLeft + leaseSlack); contact.LeaseLeft > 0 && limit.Before(until) {
		return limit
	}
	return until
}

// reconcilePools marks a pool as reconciled, so that tasks of jobs accepted
// before the ownership may be started: when every contact of the earlier owner
// has answered a poll with the new token, or when the lease of every run that it
// started there must have expired.
func reconcilePools(s *State, tick engine.Tick) {
	for id, p := range s.Pools.All() {
		if p.Reconciled || !p.Loaded {
			continue
		}
		waiting, unanswered, answered := false, "", 0
		for _, contact := range p.Contacts {
			if w := s.unansweredContact(contact); w == nil {
				answered++
			} else {
				unanswered, waiting = w.ID, waiting || tick.Now.Before(w.inheritedUntil)
			}
		}
		if waiting {
			continue
		}
		p.Reconciled, p.placementNeeded = true, true
		s.blameUnaccountedRuns(tick.Now, id)
		s.log(events.PoolReconciled, events.F("pool", p.Name), events.F("contacts", len(p.Contacts)),
			events.F("answered", answered), events.F("unanswered", unanswered), events.F("after_ms", tick.Now.Sub(p.OwnedSince).Milliseconds()))
	}
}
