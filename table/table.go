// Package table provides the typed, slice-backed tables that hold all state:
// rows addressed by stable generational IDs, secondary indexes and ordered
// collections of rows, and queues of outbound effects.
//
// Tables do no locking: each is accessed by exactly one goroutine.
package table

import (
	"fmt"
	"iter"
)

// ID identifies a row for the lifetime of its table. The upper 32 bits hold the
// generation of the slot, so that the ID of a deleted row never matches a later
// row in the same slot. The zero ID identifies no row.
type ID uint64

const generationShift = 32

func makeID(generation uint32, slot int) ID {
	return ID(generation)<<generationShift | ID(uint32(slot))
}

func (id ID) slot() int          { return int(uint32(id)) }
func (id ID) generation() uint32 { return uint32(id >> generationShift) }

// String formats the ID as generation:slot for logs.
func (id ID) String() string { return fmt.Sprintf("%d:%d", id.generation(), id.slot()) }

// maxSlots bounds a table so that a slot number always fits into an ID.
const maxSlots = 1 << 31

type entry[R any] struct {
	row        R
	generation uint32 // odd while the slot is in use
}

// Table stores rows of type R. The zero value is an empty table.
type Table[R any] struct {
	entries []entry[R]
	free    []int
	size    int
	visited uint64
}

// Len returns the number of rows.
func (t *Table[R]) Len() int { return t.size }

// Insert adds a row and returns its ID.
func (t *Table[R]) Insert(row R) ID {
	slot := t.takeSlot()
	e := &t.entries[slot]
	e.row = row
	e.generation++
	t.size++
	return makeID(e.generation, slot)
}

func (t *Table[R]) takeSlot() int {
	if n := len(t.free); n > 0 {
		slot := t.free[n-1]
		t.free = t.free[:n-1]
		return slot
	}
	if len(t.entries) >= maxSlots {
		panic("table: too many rows")
	}
	t.entries = append(t.entries, entry[R]{})
	return len(t.entries) - 1
}

// Get returns the row, or nil if it was deleted or never existed. The pointer
// is valid until the next Insert.
func (t *Table[R]) Get(id ID) *R {
	slot := id.slot()
	if slot >= len(t.entries) || id.generation()%2 == 0 {
		return nil
	}
	e := &t.entries[slot]
	if e.generation != id.generation() {
		return nil
	}
	return &e.row
}

// Delete removes the row and reports whether it existed.
func (t *Table[R]) Delete(id ID) bool {
	if t.Get(id) == nil {
		return false
	}
	slot := id.slot()
	e := &t.entries[slot]
	var zero R
	e.row = zero
	e.generation++
	t.free = append(t.free, slot)
	t.size--
	return true
}

// Visited returns how many rows All has visited. It shows work that grows with the
// size of the table instead of with what has changed.
func (t *Table[R]) Visited() uint64 { return t.visited }

// All iterates over the rows in slot order. Rows may be deleted, but not
// inserted, during the iteration.
func (t *Table[R]) All() iter.Seq2[ID, *R] {
	return func(yield func(ID, *R) bool) {
		for slot := range t.entries {
			e := &t.entries[slot]
			if e.generation%2 == 0 {
				continue
			}
			t.visited++
			if !yield(makeID(e.generation, slot), &e.row) {
				return
			}
		}
	}
}

// Clear deletes all rows. Their IDs are never reused.
func (t *Table[R]) Clear() {
	for id := range t.All() {
		t.Delete(id)
	}
}
