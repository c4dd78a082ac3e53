package table

import "sort"

// Sorted keeps rows of one table in the order of their priorities, for systems that
// visit rows in that order but seldom all of them. Rows with equal priority are
// ordered by their first Put. Put and Remove move the entries behind the row, which is
// cheap up to some thousand rows. The zero value is empty.
type Sorted[P Priority[P]] struct {
	items []heapItem[P]
	keys  map[ID]heapItem[P]
	seq   uint64
}

// Len returns the number of rows.
func (s *Sorted[P]) Len() int { return len(s.items) }

// At returns the row at position i, which must be below Len.
func (s *Sorted[P]) At(i int) ID { return s.items[i].id }

// PriorityAt returns the priority of the row at position i, which must be below Len.
func (s *Sorted[P]) PriorityAt(i int) P { return s.items[i].priority }

// Contains reports whether the row is present.
func (s *Sorted[P]) Contains(id ID) bool {
	_, ok := s.keys[id]
	return ok
}

// Put adds the row or changes its priority.
func (s *Sorted[P]) Put(id ID, priority P) {
	item, known := s.keys[id]
	if known {
		s.Remove(id)
	} else {
		s.seq++
		item = heapItem[P]{seq: s.seq, id: id}
	}
	item.priority = priority
	if s.keys == nil {
		s.keys = map[ID]heapItem[P]{}
	}
	s.keys[id] = item
	at := s.search(&item)
	s.items = append(s.items, heapItem[P]{})
	copy(s.items[at+1:], s.items[at:])
	s.items[at] = item
}

// Remove deletes the row and reports whether it was present.
func (s *Sorted[P]) Remove(id ID) bool {
	item, ok := s.keys[id]
	if !ok {
		return false
	}
	delete(s.keys, id)
	at := s.search(&item)
	copy(s.items[at:], s.items[at+1:])
	s.items[len(s.items)-1] = heapItem[P]{}
	s.items = s.items[:len(s.items)-1]
	return true
}

// search returns the position of the first entry that does not sort before the item.
func (s *Sorted[P]) search(item *heapItem[P]) int {
	return sort.Search(len(s.items), func(i int) bool { return !itemLess(&s.items[i], item) })
}
