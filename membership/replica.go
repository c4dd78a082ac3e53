package membership

import (
	"iter"
	"slices"

	"github.com/waxwingbridge/waxwingbridge/table"
)

// Replica holds the values that peers report, one row per peer and name.
type Replica[V any] struct {
	rows     table.Table[ReplicaRow[V]]
	byKey    table.Index[replicaKey]
	byNumber table.Index[numberKey]
	byPeer   table.MultiIndex[table.ID]
	byName   table.MultiIndex[string]
}

// ReplicaRow is one value reported by one peer.
type ReplicaRow[V any] struct {
	Peer  table.ID
	Name  string
	Value V

	number uint32
}

type numberKey struct {
	peer   table.ID
	number uint32
}

type replicaKey struct {
	peer table.ID
	name string
}

// Get returns the value that the peer reports under the name.
func (r *Replica[V]) Get(peer table.ID, name string) (V, bool) {
	if id, ok := r.byKey.Get(replicaKey{peer, name}); ok {
		return r.rows.Get(id).Value, true
	}
	var zero V
	return zero, false
}

// ByName iterates over the rows of all peers under the name, in the order in
// which they were first reported.
func (r *Replica[V]) ByName(name string) iter.Seq[*ReplicaRow[V]] {
	return r.rowsOf(r.byName.Get(name))
}

// ByPeer iterates over the rows of a peer.
func (r *Replica[V]) ByPeer(peer table.ID) iter.Seq[*ReplicaRow[V]] {
	return r.rowsOf(r.byPeer.Get(peer))
}

// All iterates over the rows of all peers.
func (r *Replica[V]) All() iter.Seq2[table.ID, *ReplicaRow[V]] { return r.rows.All() }

func (r *Replica[V]) rowsOf(ids []table.ID) iter.Seq[*ReplicaRow[V]] {
	return func(yield func(*ReplicaRow[V]) bool) {
		for _, id := range ids {
			if !yield(r.rows.Get(id)) {
				return
			}
		}
	}
}

// merge applies a delta, or replaces all values of the peer if it is complete.
func (r *Replica[V]) merge(peer table.ID, delta Delta[V], complete bool) {
	if complete {
		r.clear(peer)
	}
	for _, entry := range delta.Set {
		r.put(peer, entry)
	}
	for _, removal := range delta.Removed {
		r.remove(peer, r.resolve(peer, removal.Name, removal.Number))
	}
}

// resolve returns the name of an entry that may carry only its number.
func (r *Replica[V]) resolve(peer table.ID, name string, number uint32) string {
	if name != "" || number == 0 {
		return name
	}
	if id, ok := r.byNumber.Get(numberKey{peer, number}); ok {
		return r.rows.Get(id).Name
	}
	return ""
}

func (r *Replica[V]) put(peer table.ID, entry Entry[V]) {
	name := r.resolve(peer, entry.Name, entry.Number)
	if name == "" {
		return
	}
	key := replicaKey{peer, name}
	if id, ok := r.byKey.Get(key); ok {
		r.rows.Get(id).Value = entry.Value
		return
	}
	id := r.rows.Insert(ReplicaRow[V]{peer, name, entry.Value, entry.Number})
	r.byKey.Put(key, id)
	if entry.Number > 0 {
		r.byNumber.Put(numberKey{peer, entry.Number}, id)
	}
	r.byPeer.Add(peer, id)
	r.byName.Add(entry.Name, id)
}

func (r *Replica[V]) remove(peer table.ID, name string) {
	key := replicaKey{peer, name}
	id, ok := r.byKey.Get(key)
	if !ok {
		return
	}
	r.byKey.Delete(key)
	r.byNumber.Delete(numberKey{peer, r.rows.Get(id).number})
	r.byPeer.Remove(peer, id)
	r.byName.Remove(name, id)
	r.rows.Delete(id)
}

func (r *Replica[V]) clear(peer table.ID) {
	for _, id := range slices.Clone(r.byPeer.Get(peer)) {
		r.remove(peer, r.rows.Get(id).Name)
	}
}
