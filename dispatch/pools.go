package dispatch

import (
	"slices"
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/events"
	"github.com/waxwingbridge/waxwingbridge/ledger"
	"github.com/waxwingbridge/waxwingbridge/table"
	"github.com/waxwingbridge/waxwingbridge/work"
)

const (
	// clockDrift is how much slower than this machine's clock a worker's
	// steady clock may run.
	clockDrift = 0.02
	// lapseSlack covers coarse timers on both sides.
	lapseSlack = 100 * time.Millisecond
	// settleSlack covers the time between a replaced owner's last order and
	// its arrival.
	settleSlack = 500 * time.Millisecond
)

// OwnPool tells that this process owns the pool with the token, and may order
// until the given moment.
func (s *State) OwnPool(now time.Time, name string, token int64, epoch int, until time.Time) {
	id, known := s.poolByName.Get(name)
	if known && s.Pools.Get(id).Token != token {
		s.DropPool(name)
		known = false
	}
	if !known {
		id = s.Pools.Insert(Pool{Name: name, Token: token, Epoch: epoch, OwnedSince: now})
		s.poolByName.Put(name, id)
		s.log(events.PoolOwned, events.F("pool", name), events.F("token", token), events.F("epoch", epoch))
	}
	p := s.Pools.Get(id)
	if until.After(p.OwnedUntil) && !now.Before(p.OwnedUntil) {
		p.place = true // orders were suspended
	}
	p.OwnedUntil = until
}

// DropPool removes everything about a pool that another process owns or will own.
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
	for workerID, w := range s.Workers.All() {
		if w.pool != id {
			continue
		}
		for _, run := range w.runs {
			s.Runs.Delete(run)
		}
		*w = Worker{
			Worker: w.Worker, Listed: w.Listed, revision: w.revision, maintenance: w.maintenance,
			acking: map[int64]struct{}{},
		}
		if !w.Listed {
			s.workerByID.Delete(w.ID)
			s.Workers.Delete(workerID)
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

// ordering reports whether orders for the pool may leave now.
func (s *State) ordering(p *Pool, now time.Time) bool {
	return p != nil && p.Loaded && now.Before(p.OwnedUntil)
}

// ContactsSeen records the saved contacts of a pool.
func (s *State) ContactsSeen(seen ledger.Record) {
	if seen.Revision <= s.contactsSeen[seen.Key.Name].Revision {
		return
	}
	s.contactsSeen[seen.Key.Name] = seen
	if id, ok := s.poolByName.Get(seen.Key.Name); ok {
		s.Pools.Get(id).contactsRevision = seen.Revision
	}
}

// loadJobs fills the tables of a pool once the ledger has caught up with the
// start of the ownership, and follows changes afterwards.
func loadJobs(s *State, tick engine.Tick) {
	changed := append(s.Ledger.TakeChanged(), s.early...)
	s.early = nil
	for id, p := range s.Pools.All() {
		if p.Loaded || !s.Ledger.Synced || s.Ledger.Revision < p.Token {
			continue
		}
		p.Loaded = true
		for row := range s.Ledger.Jobs.All() {
			s.followJob(tick, row)
		}
		s.loadContacts(id)
		s.log(events.PoolLoaded, events.F("pool", s.Pools.Get(id).Name), events.F("jobs", s.Jobs.Len()),
			events.F("contacts", len(s.Pools.Get(id).Contacts)), events.F("store_revision", s.Ledger.Revision))
	}
	for _, row := range changed {
		s.followJob(tick, row)
	}
}

// loadContacts makes rows for the workers on which an earlier owner may have
// started runs.
func (s *State) loadContacts(id table.ID) {
	p := s.Pools.Get(id)
	seen := s.contactsSeen[p.Name]
	p.contactsRevision = seen.Revision
	p.Contacts, _ = seen.Content.([]work.Contact)
	for _, contact := range p.Contacts {
		if s.lives[contact.Machine] > contact.Incarnation {
			continue // its machine began a new life, so nothing of this one runs
		}
		if workerID, ok := s.workerByID.Get(contact.Worker); ok {
			s.Workers.Get(workerID).pool = id
			continue
		}
		s.insertWorker(Worker{Worker: work.Worker{ID: contact.Worker, Machine: contact.Machine, Address: contact.Address, Incarnation: contact.Incarnation, Pool: work.PoolOf(p.Name)}, pool: id})
	}
	for _, w := range s.Workers.All() {
		if w.Listed && s.partition(w) == p.Name {
			w.pool = id
		}
	}
}

// partition names the partition that a worker belongs to.
func (s *State) partition(w *Worker) string { return s.Partitions.PartitionOf(w.Pool, w.Machine) }

func (s *State) insertWorker(w Worker) table.ID {
	w.acking = map[int64]struct{}{}
	id := s.Workers.Insert(w)
	s.workerByID.Put(w.ID, id)
	return id
}

// settlePools ends the time in which tasks of older jobs must wait: when every
// worker that an earlier owner ordered has answered under the new token, or
// when whatever it started has lapsed.
func settlePools(s *State, tick engine.Tick) {
	for _, p := range s.Pools.All() {
		if p.Reconciled || !p.Loaded {
			continue
		}
		longest := s.Config.OwnerLease + time.Duration(float64(s.Config.MaxLease)/(1-clockDrift)) + settleSlack
		waiting := ""
		for _, contact := range p.Contacts {
			if id, ok := s.workerByID.Get(contact.Worker); ok {
				if w := s.Workers.Get(id); !w.fenced && w.Incarnation == contact.Incarnation {
					waiting = w.ID
				}
			}
		}
		if waiting != "" && tick.Now.Before(p.OwnedSince.Add(longest)) {
			continue
		}
		p.Reconciled, p.place = true, true
		s.log(events.PoolSettled, events.F("pool", p.Name), events.F("unanswered", waiting),
			events.F("after_ms", tick.Now.Sub(p.OwnedSince).Milliseconds()))
	}
}

// saveContacts writes the workers that may hold runs before the first start on
// a new one, so that the next owner knows whom to ask.
func saveContacts(s *State, tick engine.Tick) {
	for id, p := range s.Pools.All() {
		if !s.ordering(p, tick.Now) || p.contactsWrite != 0 || tick.Now.Before(p.contactsRetry) {
			continue
		}
		contacts, missing := s.contacts(id)
		stale := len(contacts) < len(p.savedContacts) && !tick.Now.Before(p.contactsAt.Add(pruneEvery))
		if !missing && !stale {
			continue
		}
		for _, w := range s.Workers.All() { // those that are left out must be written again before a start
			w.saved = w.saved && (w.pool != id || slices.ContainsFunc(contacts, func(c work.Contact) bool { return c.Worker == w.ID }))
		}
		p.contactsAt = tick.Now
		p.contactsWrite = s.NextWrite()
		s.writes[p.contactsWrite] = writeTarget{pool: id, contacts: contacts}
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

// contacts returns the workers that hold or may get runs, and whether one of
// them is not among the saved ones.
func (s *State) contacts(id table.ID) (contacts []work.Contact, missing bool) {
	for _, w := range s.Workers.All() {
		if w.pool != id || (len(w.runs) == 0 && (w.released || !w.Listed && w.fenced)) {
			continue
		}
		missing = missing || (!w.saved && w.Listed && w.fenced)
		contacts = append(contacts, work.Contact{Worker: w.ID, Machine: w.Machine, Address: w.Address, Incarnation: w.Incarnation})
	}
	return contacts, missing
}

// pruneEvery is the shortest interval of writes that only remove contacts. A
// next owner would wait for workers that are gone.
const pruneEvery = time.Second

// retryWrite is the pause after a write that the store refused or left open.
const retryWrite = 120 * time.Millisecond

func (s *State) contactsSaved(now time.Time, p *Pool, target writeTarget, result ledger.WriteResult) {
	p.contactsWrite = 0
	if result.Outcome != ledger.Applied {
		p.contactsRetry = now.Add(retryWrite)
		for _, seen := range result.Current {
			if seen.Key.Kind == ledger.KindContacts {
				p.contactsRevision = seen.Revision
			}
		}
		return
	}
	p.contactsRevision, p.savedContacts, p.place = result.Revision, target.contacts, true
	for _, contact := range target.contacts {
		if id, ok := s.workerByID.Get(contact.Worker); ok {
			if w := s.Workers.Get(id); w.Incarnation == contact.Incarnation {
				w.saved = true
			}
		}
	}
}
