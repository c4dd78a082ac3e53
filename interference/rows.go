package interference

import (
	"cmp"
	"slices"
	"time"

	"github.com/waxwingbridge/waxwingbridge/table"
)

// The functions of this file keep the tables within their bounds.

// kind returns the row of a task's kind, and inserts it if it is new.
func (m *Model) kind(now time.Time, t *Task) table.ID {
	id, ok := m.kindByKey.Get(t.Kind)
	if !ok {
		if m.kinds.Len() >= maxKinds {
			m.evictKind()
		}
		owner := cmp.Or(t.Team, t.Kind.Queue)
		id = m.kinds.Insert(kind{key: t.Kind, owner: owner})
		m.kindByKey.Put(t.Kind, id)
		if m.owners == nil {
			m.owners = map[string]int{}
		}
		m.owners[owner]++
	}
	m.kinds.Get(id).seenAt = now
	return id
}

// evictKind removes the kind of the owner with the most kinds that was not seen for longest,
// so that a client that invents kinds loses its own ones.
func (m *Model) evictKind() {
	victim := table.ID(0)
	for id, k := range m.kinds.All() {
		if victim == 0 {
			victim = id
			continue
		}
		v := m.kinds.Get(victim)
		if cmp.Or(cmp.Compare(m.owners[k.owner], m.owners[v.owner]), cmp.Compare(v.owner, k.owner), v.seenAt.Compare(k.seenAt)) > 0 {
			victim = id
		}
	}
	k := m.kinds.Get(victim)
	for _, pairID := range slices.Clone(k.pairs) {
		m.deletePair(pairID)
	}
	if m.owners[k.owner]--; m.owners[k.owner] == 0 {
		delete(m.owners, k.owner)
	}
	m.kindByKey.Delete(k.key)
	m.kinds.Delete(victim)
}

// pair returns the row of a pair, and inserts it if it is new.
func (m *Model) pair(now time.Time, victim, disturber table.ID) *pair {
	key := pairKey{victim, disturber}
	id, ok := m.pairByKey.Get(key)
	if !ok {
		if m.pairs.Len() >= maxPairs {
			m.evictPair()
		}
		id = m.pairs.Insert(pair{victim: victim, disturber: disturber, seenAt: now})
		m.pairByKey.Put(key, id)
		for _, kindID := range []table.ID{victim, disturber} {
			k := m.kinds.Get(kindID)
			k.pairs = append(k.pairs, id)
		}
	}
	return m.pairs.Get(id)
}

// evictPair removes the pair that was not seen for longest.
func (m *Model) evictPair() {
	oldest := table.ID(0)
	for id, p := range m.pairs.All() {
		if oldest == 0 || p.seenAt.Before(m.pairs.Get(oldest).seenAt) {
			oldest = id
		}
	}
	m.deletePair(oldest)
}

func (m *Model) deletePair(id table.ID) {
	p := m.pairs.Get(id)
	m.setBelieved(p, false)
	for _, kindID := range []table.ID{p.victim, p.disturber} {
		k := m.kinds.Get(kindID)
		k.pairs = slices.DeleteFunc(k.pairs, func(other table.ID) bool { return other == id })
	}
	m.pairByKey.Delete(pairKey{p.victim, p.disturber})
	m.pairs.Delete(id)
}

// worker returns the row of a worker, and inserts it if it is new.
func (m *Model) worker(now time.Time, name string) *worker {
	id, ok := m.byName.Get(name)
	if !ok {
		if m.workers.Len() >= maxWorkers {
			oldest := table.ID(0)
			for id, w := range m.workers.All() {
				if oldest == 0 || w.seenAt.Before(m.workers.Get(oldest).seenAt) {
					oldest = id
				}
			}
			m.byName.Delete(m.workers.Get(oldest).name)
			m.workers.Delete(oldest)
		}
		id = m.workers.Insert(worker{name: name})
		m.byName.Put(name, id)
	}
	w := m.workers.Get(id)
	w.seenAt = now
	return w
}
