package membership

import "github.com/waxwingbridge/waxwingbridge/table"

// versioned is a set of named values that is sent as deltas. Each row carries
// the sequence of the first message that could contain its present value, so a
// receiver that holds an earlier message needs exactly the later rows. Removed
// rows stay as tombstones until prune.
type versioned[V comparable] struct {
	numbered   bool // entries are numbered, and the name is sent only until it is acknowledged
	rows       table.Table[versionedRow[V]]
	byName     table.Index[string]
	prunedUpTo uint64 // highest sequence of a pruned tombstone
}

type versionedRow[V comparable] struct {
	name      string
	value     V
	namedIn   uint64 // sequence of the first message with the name
	changedIn uint64
	removed   bool
}

// put sets a value. The sequence is that of the first message to contain it.
func (v *versioned[V]) put(name string, value V, sequence uint64) {
	id, ok := v.byName.Get(name)
	if !ok {
		v.byName.Put(name, v.rows.Insert(versionedRow[V]{name: name, value: value, namedIn: sequence, changedIn: sequence}))
		return
	}
	row := v.rows.Get(id)
	if row.removed {
		row.namedIn = sequence // receivers delete the name with the removal
	}
	if row.removed || row.value != value {
		row.value, row.changedIn, row.removed = value, sequence, false
	}
}

func (v *versioned[V]) remove(name string, sequence uint64) {
	id, ok := v.byName.Get(name)
	if !ok {
		return
	}
	if row := v.rows.Get(id); !row.removed {
		var zero V
		row.value, row.changedIn, row.removed = zero, sequence, true
	}
}

func (v *versioned[V]) get(name string) (V, bool) {
	if id, ok := v.byName.Get(name); ok {
		row := v.rows.Get(id)
		return row.value, !row.removed
	}
	var zero V
	return zero, false
}

// covers reports whether a delta on the base would be complete.
func (v *versioned[V]) covers(base uint64) bool { return base >= v.prunedUpTo }

// delta returns the changes after the base; base zero returns all entries.
func (v *versioned[V]) delta(base uint64) Delta[V] {
	var delta Delta[V]
	for id, row := range v.rows.All() {
		if row.changedIn <= base || (row.removed && base == 0) {
			continue
		}
		name, number := row.name, v.number(id)
		if number > 0 && (row.removed || row.namedIn <= base) {
			name = ""
		}
		if row.removed {
			delta.Removed = append(delta.Removed, Removal{name, number})
			continue
		}
		delta.Set = append(delta.Set, Entry[V]{name, number, row.value})
	}
	return delta
}

// number returns the number of a row. It is unique among the rows and tombstones
// and is reused only after a prune; receivers that have not seen the removal then
// get a complete message.
func (v *versioned[V]) number(id table.ID) uint32 {
	if !v.numbered {
		return 0
	}
	return uint32(id) + 1 // the lower half of an ID is its slot
}

// prune deletes tombstones that every receiver with at least the acknowledged
// sequence has seen. A receiver behind that gets a complete message.
func (v *versioned[V]) prune(acknowledged uint64) {
	for id, row := range v.rows.All() {
		if row.removed && row.changedIn <= acknowledged {
			v.prunedUpTo = max(v.prunedUpTo, row.changedIn)
			v.byName.Delete(row.name)
			v.rows.Delete(id)
		}
	}
}
