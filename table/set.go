package table

// Set is a set of rows of one table, stored densely so that a system can pick a
// random row in constant time. A row must be removed from the set before it is
// deleted from its table. The zero value is an empty set.
type Set struct {
	ids       []ID
	positions []int32 // by slot of the row: index into ids plus one, or 0 if absent
}

// Len returns the number of rows.
func (s *Set) Len() int { return len(s.ids) }

// At returns the row at position i, which must be below Len. Remove may change
// the positions of other rows.
func (s *Set) At(i int) ID { return s.ids[i] }

// Contains reports whether the row is in the set.
func (s *Set) Contains(id ID) bool { return s.find(id) >= 0 }

// Add inserts the row if it is absent.
func (s *Set) Add(id ID) {
	if s.find(id) >= 0 {
		return
	}
	s.ids = append(s.ids, id)
	s.setPosition(id, len(s.ids))
}

// Remove deletes the row from the set if it is present. The last row takes its
// position.
func (s *Set) Remove(id ID) {
	i := s.find(id)
	if i < 0 {
		return
	}
	last := len(s.ids) - 1
	s.positions[id.slot()] = 0
	if i < last {
		s.ids[i] = s.ids[last]
		s.setPosition(s.ids[i], i+1)
	}
	s.ids = s.ids[:last]
}

// Put adds the row if present is true and removes it otherwise.
func (s *Set) Put(id ID, present bool) {
	if present {
		s.Add(id)
	} else {
		s.Remove(id)
	}
}

// TakeLast removes and returns the row at the last position. The set must not
// be empty.
func (s *Set) TakeLast() ID {
	id := s.ids[len(s.ids)-1]
	s.Remove(id)
	return id
}

func (s *Set) find(id ID) int {
	slot := id.slot()
	if slot >= len(s.positions) || s.positions[slot] == 0 {
		return -1
	}
	i := int(s.positions[slot]) - 1
	if s.ids[i] != id {
		return -1
	}
	return i
}

func (s *Set) setPosition(id ID, position int) {
	slot := id.slot()
	for len(s.positions) <= slot {
		s.positions = append(s.positions, 0)
	}
	s.positions[slot] = int32(position)
}
