package table

import (
	"iter"
	"maps"
	"slices"
)

// Index maps a unique key to the ID of its row. It is not updated by the table:
// the code that changes the table must update it. The zero value is an empty
// index.
type Index[K comparable] struct {
	ids map[K]ID
}

// Put binds the key to the ID and replaces an earlier binding.
func (x *Index[K]) Put(key K, id ID) {
	if x.ids == nil {
		x.ids = make(map[K]ID)
	}
	x.ids[key] = id
}

// Get returns the ID bound to the key.
func (x *Index[K]) Get(key K) (ID, bool) {
	id, ok := x.ids[key]
	return id, ok
}

// Delete removes the binding of the key.
func (x *Index[K]) Delete(key K) { delete(x.ids, key) }

// All iterates over the bindings, in no particular order.
func (x *Index[K]) All() iter.Seq2[K, ID] { return maps.All(x.ids) }

// Len returns the number of keys.
func (x *Index[K]) Len() int { return len(x.ids) }

// MultiIndex maps a key to the IDs of all rows that share it, in insertion
// order, so that systems that iterate over them stay deterministic. The zero
// value is an empty index.
type MultiIndex[K comparable] struct {
	ids map[K][]ID
}

// Add appends the ID to the key's rows.
func (x *MultiIndex[K]) Add(key K, id ID) {
	if x.ids == nil {
		x.ids = make(map[K][]ID)
	}
	x.ids[key] = append(x.ids[key], id)
}

// Remove deletes the ID from the key's rows, if present.
func (x *MultiIndex[K]) Remove(key K, id ID) {
	ids := x.ids[key]
	i := slices.Index(ids, id)
	if i < 0 {
		return
	}
	ids = slices.Delete(ids, i, i+1)
	if len(ids) == 0 {
		delete(x.ids, key)
		return
	}
	x.ids[key] = ids
}

// Get returns the IDs of the key's rows. The caller must not modify the slice
// and must not use it after the index changes.
func (x *MultiIndex[K]) Get(key K) []ID { return x.ids[key] }

// Count returns the number of rows that share the key.
func (x *MultiIndex[K]) Count(key K) int { return len(x.ids[key]) }
