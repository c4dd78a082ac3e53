package work

import "slices"

// OccurrenceRange is a range of the occurrences of a schedule, First and Last included.
type OccurrenceRange struct {
	First, Last int
}

// OccurrenceSet is a set of occurrences: ranges in ascending order that neither overlap
// nor touch. Its size follows the gaps between them and not the number of occurrences.
type OccurrenceSet []OccurrenceRange

// find returns the index of the first range that ends at or after the occurrence.
func (s OccurrenceSet) find(occurrence int) int {
	i, _ := slices.BinarySearchFunc(s, occurrence, func(r OccurrenceRange, n int) int { return r.Last - n })
	return i
}

// Contains reports whether the occurrence is in the set.
func (s OccurrenceSet) Contains(occurrence int) bool {
	i := s.find(occurrence)
	return i < len(s) && s[i].First <= occurrence
}

// NextMissing returns the first occurrence from the given one on that is not in the set.
func (s OccurrenceSet) NextMissing(from int) int {
	if i := s.find(from); i < len(s) && s[i].First <= from {
		return s[i].Last + 1
	}
	return from
}

// Len returns the number of occurrences in the set.
func (s OccurrenceSet) Len() int {
	n := 0
	for _, r := range s {
		n += r.Last - r.First + 1
	}
	return n
}

// With returns the set with an occurrence added. It may reuse the memory of s.
func (s OccurrenceSet) With(occurrence int) OccurrenceSet {
	i := s.find(occurrence)
	if i < len(s) && s[i].First <= occurrence {
		return s
	}
	joinsPrevious := i > 0 && s[i-1].Last == occurrence-1
	joinsNext := i < len(s) && s[i].First == occurrence+1
	switch {
	case joinsPrevious && joinsNext:
		s[i-1].Last = s[i].Last
		return slices.Delete(s, i, i+1)
	case joinsPrevious:
		s[i-1].Last = occurrence
	case joinsNext:
		s[i].First = occurrence
	default:
		return slices.Insert(s, i, OccurrenceRange{First: occurrence, Last: occurrence})
	}
	return s
}

// IsValid reports whether the ranges are in order.
func (s OccurrenceSet) IsValid() bool {
	next := 0
	for _, r := range s {
		if r.First < next || r.Last < r.First {
			return false
		}
		next = r.Last + 2
	}
	return true
}
