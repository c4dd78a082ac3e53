package dispatch

import (
	"slices"
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/estimate"
	"github.com/waxwingbridge/waxwingbridge/events"
	"github.com/waxwingbridge/waxwingbridge/ledger"
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

// ApplyContacts records the stored contacts of a pool. Revisions that are not newer are
// ignored.
func (s *State) ApplyContacts(record ledger.Record) {
	if record.Revision <= s.storedContacts[record.Key.Name].Revision {
		return
	}
	s.storedContacts[record.Key.Name] = record
	if id, ok := s.poolByName.Get(record.Key.Name); ok {
		s.Pools.Get(id).contactsRevision = record.Revision
	}
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
			s.endEarlierIncarnations(now, &w.Worker)
		}
	}
	p := s.Pools.Get(id)
	seen := s.storedContacts[p.Name]
	p.contactsRevision = seen.Revision
	p.Contacts, _ = seen.Content.([]work.Contact)
	for _, contact := range p.Contacts {
		if s.latestIncarnation[contact.Machine] > contact.Incarnation {
			continue // a later worker is on its machine, so none of its runs exists
		}
		workerID, known := s.workerByID.Get(contact.Worker)
		if known && s.namesNoWorker(&s.Workers.Get(workerID).Worker) { // read before the manifest
			s.deleteWorker(workerID)
			known = false
		}
		if known {
			s.setPool(workerID, id)
			s.Workers.Get(workerID).inherited = true
			continue
		}
		workerID = s.insertWorker(Worker{Worker: work.Worker{ID: contact.Worker, Machine: contact.Machine, Address: contact.Address, Incarnation: contact.Incarnation, Pool: work.PoolOf(p.Name)}})
		s.setPool(workerID, id)
		s.Workers.Get(workerID).inherited = true
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

// reconcilePools marks a pool as reconciled, so that tasks of jobs accepted
// before the ownership may be started: when every contact of the earlier owner
// has answered a poll with the new token, or when the lease of every run that it
// started must have expired.
func reconcilePools(s *State, tick engine.Tick) {
	for id, p := range s.Pools.All() {
		if p.Reconciled || !p.Loaded {
			continue
		}
		longest := s.Config.OwnerLease + time.Duration(float64(s.Config.MaxLease)/(1-clockDrift)) + reconcileSlack
		waiting, answered := "", 0
		for _, contact := range p.Contacts {
			worker, ok := s.workerByID.Get(contact.Worker)
			if !ok {
				continue
			}
			// The registry may name an earlier incarnation than the contact, and the earlier
			// owner may have ordered runs from a later one than it knew of. So only the
			// worker's own list shows which runs exist, whatever its incarnation.
			if w := s.Workers.Get(worker); w.tokenAccepted {
				answered++
			} else {
				waiting = w.ID
			}
		}
		if waiting != "" && tick.Now.Before(p.OwnedSince.Add(longest)) {
			continue
		}
		p.Reconciled, p.placementNeeded = true, true
		s.blameUnaccountedRuns(tick.Now, id)
		s.log(events.PoolReconciled, events.F("pool", p.Name), events.F("contacts", len(p.Contacts)),
			events.F("answered", answered), events.F("unanswered", waiting), events.F("after_ms", tick.Now.Sub(p.OwnedSince).Milliseconds()))
	}
}

// saveContacts stores which workers may hold runs, before the first start on a
// further one, so that the next owner knows which workers to poll.
func saveContacts(s *State, tick engine.Tick) {
	for id, p := range s.Pools.All() {
		if !s.mayOrder(p, tick.Now) || p.contactsWrite != 0 || tick.Now.Before(p.contactsRetryAt) {
			continue
		}
		if !p.contactsChanged && tick.Now.Before(p.contactsCheckedAt.Add(contactPruneInterval)) {
			continue
		}
		p.contactsChanged, p.contactsCheckedAt = false, tick.Now
		contacts, missing := s.currentContacts(id)
		stale := len(contacts) < len(p.savedContacts) && !tick.Now.Before(p.contactsSavedAt.Add(contactPruneInterval))
		if !missing && !stale {
			continue
		}
		for _, w := range s.workersOf(id) { // a worker that is left out must be stored again before a start on it
			w.contactSaved = w.contactSaved && slices.ContainsFunc(contacts, func(c work.Contact) bool { return c.Worker == w.ID })
		}
		p.contactsSavedAt = tick.Now
		p.contactsWrite = s.NextWrite()
		s.pendingWrites[p.contactsWrite] = pendingWrite{pool: id, contacts: contacts}
		s.Out.Writes.Add(ledger.Write{
			ID: p.contactsWrite, NotAfter: p.OwnedUntil,
			Expect: []ledger.Condition{
				{Key: ledger.Key{Kind: ledger.KindOwner, Name: p.Name}, Revision: p.Token},
				{Key: ledger.Key{Kind: ledger.KindContacts, Name: p.Name}, Revision: p.contactsRevision},
			},
			Put: []ledger.Put{{Key: ledger.Key{Kind: ledger.KindContacts, Name: p.Name}, Content: contacts}},
		})
	}
}

// currentContacts returns the workers that hold or may get runs, and whether one
// of them is missing from the stored contacts. A worker that holds nothing and is
// released, leaves its pool or does not answer is left out: the next owner would
// wait for its answer, and it is stored again before a start on it.
func (s *State) currentContacts(id table.ID) (contacts []work.Contact, missing bool) {
	p := s.Pools.Get(id)
	for _, w := range s.workersOf(id) {
		neverOrdered := !w.inherited && !w.contactSaved && !w.tokenAccepted
		holdsNothing := w.holdsNothing() && (w.tokenAccepted || p.Reconciled || neverOrdered)
		if holdsNothing && neverOrdered {
			continue // perhaps an entry of another writer, for which a next owner would wait
		}
		if holdsNothing && (w.released || w.underMaintenance || !w.Listed || w.failedPolls >= maxFailedPolls) {
			continue
		}
		missing = missing || (!w.contactSaved && w.Listed && w.tokenAccepted)
		contacts = append(contacts, work.Contact{Worker: w.ID, Machine: w.Machine, Address: w.Address, Incarnation: w.Incarnation})
	}
	return contacts, missing
}

// contactPruneInterval is the shortest interval between writes that only remove
// contacts. They are needed because the next owner would wait for workers that
// have left.
const contactPruneInterval = 600 * time.Millisecond

// writeRetryDelay is the delay after a store write that was refused or whose
// result is unknown.
const writeRetryDelay = 120 * time.Millisecond

func (s *State) contactsSaved(now time.Time, p *Pool, pending pendingWrite, result ledger.WriteResult) {
	p.contactsWrite, p.contactsChanged = 0, true
	if result.Outcome != ledger.Applied {
		p.contactsRetryAt = now.Add(writeRetryDelay)
		for _, seen := range result.Current {
			if seen.Key.Kind == ledger.KindContacts {
				p.contactsRevision = seen.Revision
			}
		}
		return
	}
	p.contactsRevision, p.savedContacts, p.placementNeeded = result.Revision, pending.contacts, true
	for _, contact := range pending.contacts {
		if id, ok := s.workerByID.Get(contact.Worker); ok {
			if w := s.Workers.Get(id); w.Incarnation == contact.Incarnation {
				w.contactSaved = true
			}
		}
	}
}
