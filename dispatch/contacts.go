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

// The stored contacts of a pool name the workers that may hold runs. For a worker that does
// not answer they also state how long its leases last at most, so that the time which one
// owner has waited counts for the next ones.

// storedContacts are the contacts of a pool in the store.
type storedContacts struct {
	revision int64
	contacts []work.Contact
	// seenAt is when this process first saw this revision. It is later than the write, so
	// that a limit counted from here on is never too early.
	seenAt time.Time
}

// ApplyContacts records the stored contacts of a pool, which this process has received at
// the given time. Revisions that are not newer are ignored.
func (s *State) ApplyContacts(receivedAt time.Time, record ledger.Record) {
	if record.Revision <= s.storedContacts[record.Key.Name].revision {
		return
	}
	contacts, _ := record.Content.([]work.Contact)
	s.storedContacts[record.Key.Name] = storedContacts{revision: record.Revision, contacts: contacts, seenAt: receivedAt}
	if id, ok := s.poolByName.Get(record.Key.Name); ok {
		s.Pools.Get(id).contactsRevision = record.Revision
	}
}

// unansweredContact returns the worker of a contact if it has not answered this owner, or
// nil. The registry may name an earlier incarnation than the contact, and the earlier owner
// may have ordered runs from a later one than it knew of. So only the worker's own list
// shows which runs exist, whatever its incarnation.
func (s *State) unansweredContact(contact work.Contact) *Worker {
	id, ok := s.workerByID.Get(contact.Worker)
	if !ok {
		return nil // a later worker is on its machine, so none of its runs exists
	}
	if w := s.Workers.Get(id); !w.tokenAccepted {
		return w
	}
	return nil
}

// saveContacts stores which workers may hold runs, before the first start on a
// further one, so that the next owner knows which workers to poll.
func saveContacts(s *State, tick engine.Tick) {
	for id, p := range s.Pools.All() {
		if !s.mayOrder(p, tick.Now) || p.contactsWrite != 0 || tick.Now.Before(p.contactsRetryAt) {
			continue
		}
		last := s.Stopping && !p.handoverContactsSaved
		if !last && !p.contactsChanged && tick.Now.Before(p.contactsCheckedAt.Add(contactPruneInterval)) {
			continue
		}
		p.contactsChanged, p.contactsCheckedAt = false, tick.Now
		contacts, missing := s.currentContacts(tick.Now, id)
		stale := (len(contacts) < len(p.savedContacts) || longLeasesEnded(p.savedContacts, contacts)) && !tick.Now.Before(p.contactsSavedAt.Add(contactPruneInterval))
		p.handoverContactsSaved = s.Stopping
		limited, dueAt := s.limitsDueAt(p, contacts)
		limitsDue := limited && (last || !tick.Now.Before(dueAt))
		if !missing && !stale && !limitsDue {
			if limited {
				p.contactsCheckedAt = dueAt.Add(-contactPruneInterval)
			}
			continue
		}
		s.prepareContacts(tick.Now, id, contacts)
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

// longLeasesEnded reports whether fewer contacts have long leases than are stored so.
func longLeasesEnded(saved, present []work.Contact) bool {
	long := func(contacts []work.Contact) (n int) {
		for _, c := range contacts {
			if c.LongLeases {
				n++
			}
		}
		return n
	}
	return long(present) < long(saved)
}

// limitsDueAt reports whether the contacts state an end of the leases of any worker, and when
// that is to be stored: soon after a worker has fallen silent, and at intervals after that,
// since a next owner that has not watched the record counts from when it reads it.
func (s *State) limitsDueAt(p *Pool, contacts []work.Contact) (limited bool, dueAt time.Time) {
	interval := leaseLimitInterval
	for _, c := range contacts {
		if c.LeaseLeft == 0 {
			continue
		}
		limited = true
		if id, ok := s.workerByID.Get(c.Worker); ok && !s.Workers.Get(id).leaseLimited {
			interval = contactPruneInterval
		}
	}
	return limited, p.contactsSavedAt.Add(interval)
}

// prepareContacts withdraws what the present record allows and the next one does not: a
// worker that is left out or has a limit must be stored again before a start on it, and one
// with a limit before its leases are extended.
func (s *State) prepareContacts(now time.Time, id table.ID, contacts []work.Contact) {
	p := s.Pools.Get(id)
	limited, longest := 0, time.Duration(0)
	for _, w := range s.workersOf(id) {
		at := slices.IndexFunc(contacts, func(c work.Contact) bool { return c.Worker == w.ID })
		if at >= 0 && contacts[at].LeaseLeft > 0 {
			w.leaseLimited = true
			limited, longest = limited+1, max(longest, contacts[at].LeaseLeft)
		}
		w.contactSaved = w.contactSaved && at >= 0 && contacts[at].LeaseLeft == 0
	}
	p.contactsSavedAt = now
	if limited > 0 {
		s.log(events.LeaseLimitsStored, events.F("pool", p.Name), events.F("workers", limited), events.F("longest_ms", longest.Milliseconds()))
	}
}

// leaseLeft returns how long a run may still exist on a worker that does not answer, at
// least a millisecond, or 0 if this owner may extend leases there or cannot tell.
func (s *State) leaseLeft(now time.Time, p *Pool, w *Worker) time.Duration {
	switch {
	case w.failedPolls == 0:
		return 0
	case w.tokenAccepted && !w.clockAt.IsZero():
		return max(time.Millisecond, w.leasesExpireAt().Sub(now))
	case !w.tokenAccepted && w.inherited && !p.Reconciled:
		return max(time.Millisecond, w.inheritedUntil.Sub(now))
	case !w.tokenAccepted && !w.strayLeasesUntil.IsZero():
		return max(time.Millisecond, w.strayLeasesUntil.Sub(now))
	}
	return 0
}

// currentContacts returns the workers that hold or may get runs, and whether one
// of them is missing from the stored contacts. A worker that holds nothing and is
// released, leaves its pool or does not answer is left out: the next owner would
// wait for its answer, and it is stored again before a start on it.
func (s *State) currentContacts(now time.Time, id table.ID) (contacts []work.Contact, missing bool) {
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
		left := s.leaseLeft(now, p, w)
		missing = missing || (left == 0 && w.tokenAccepted && (!w.contactSaved && w.Listed || w.leaseLimited))
		contacts = append(contacts, work.Contact{
			Worker: w.ID, Machine: w.Machine, Address: w.Address, Incarnation: w.Incarnation, LeaseLeft: left, LongLeases: now.Before(w.strayLeasesUntil),
		})
	}
	return contacts, missing
}

// contactPruneInterval is the shortest interval between writes that only remove
// contacts. They are needed because the next owner would wait for workers that
// have left.
const contactPruneInterval = 600 * time.Millisecond

// leaseLimitInterval is the interval at which the ends of the leases on silent workers are
// stored again. A next owner that starts anew waits longer than needed by at most this time.
const leaseLimitInterval = time.Second

// writeRetryDelay is the delay after a store write that was refused or whose
// result is unknown.
const writeRetryDelay = 120 * time.Millisecond

func (s *State) contactsSaved(now time.Time, p *Pool, pending pendingWrite, result ledger.WriteResult) {
	p.contactsWrite, p.contactsChanged = 0, true
	if result.Outcome != ledger.Applied {
		p.handoverContactsSaved = false
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
			if w := s.Workers.Get(id); w.Incarnation == contact.Incarnation && contact.LeaseLeft == 0 {
				w.contactSaved, w.leaseLimited = true, false
			}
		}
	}
}
