package membership

import "github.com/waxwingbridge/waxwingbridge/table"

// versioned is a set of named values that is sent as deltas. Each row carries
// the sequence of the first message that could contain its present value, so a
// receiver that holds an earlier message needs exactly the later rows. Removed
// rows stay as tombstones until prune.
type versioned[V comparable] struct {
	numbered bool // entries are numbered; the name is sent once
	rows     table.Table[versionedRow[V]]
	byName   table.Index[string]
	floor    uint64 // highest sequence of a pruned tombstone
}

type versionedRow[V comparable] struct {
	name    string
	value   V
	named   uint64 // sequence of the first message with the name
	changed uint64
	removed bool
}

// put sets a value that the message with the sequence is the first to contain.
func (v *versioned[V]) put(name string, value V, sequence uint64) {
	id, ok := v.byName.Get(name)
	if !ok {
		v.byName.Put(name, v.rows.Insert(versionedRow[V]{name: name, value: value, named: sequence, changed: sequence}))
		return
	}
	row := v.rows.Get(id)
	if row.removed {
		row.named = sequence // receivers forgot the name with the removal
	}
	if row.removed || row.value != value {
		row.value, row.changed, row.removed = value, sequence, false
	}
}

func (v *versioned[V]) remove(name string, sequence uint64) {
	id, ok := v.byName.Get(name)
	if !ok {
		return
	}
	if row := v.rows.Get(id); !row.removed {
		var zero V
		row.value, row.changed, row.removed = zero, sequence, true
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
func (v *versioned[V]) covers(base uint64) bool { return base >= v.floor }

// delta returns the changes after the base; base zero returns all entries.
func (v *versioned[V]) delta(base uint64) Delta[V] {
	var delta Delta[V]
	for id, row := range v.rows.All() {
		if row.changed <= base || (row.removed && base == 0) {
			continue
		}
		name, number := row.name, v.number(id)
		if number > 0 && (row.removed || row.named <= base) {
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

// number is unique among the rows and tombstones. It is used again only after a
// prune, and receivers that have not seen the removal then get a complete message.
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
		if row.removed && row.changed <= acknowledged {
			v.floor = max(v.floor, row.changed)
			v.byName.Delete(row.name)
			v.rows.Delete(id)
		}
	}
}
