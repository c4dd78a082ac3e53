package table

import (
	"cmp"
	"slices"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

type number int

func (n number) Compare(other number) int { return cmp.Compare(n, other) }

type linkedRow struct{ link Link }

func rowLink(r *linkedRow) *Link { return &r.link }

// model holds a heap, a linked list and a set over the same rows, and slices
// with their expected contents.
type model struct {
	rows     Table[linkedRow]
	ids      []ID
	heap     Heap[number]
	list     LinkedList[linkedRow]
	set      Set
	priority map[ID]number
	wantHeap []ID // rows of the heap by time of insertion
	wantList []ID // rows of the linked list
}

func (m *model) apply(op int) {
	if op%5 == 0 || len(m.ids) == 0 {
		m.ids = append(m.ids, m.rows.Insert(linkedRow{}))
	}
	id := m.ids[op/5%len(m.ids)]
	linked := slices.Contains(m.wantList, id)
	switch {
	case op%5 < 3 && !linked:
		m.list.PushBack(&m.rows, rowLink, id)
		m.wantList = append(m.wantList, id)
	case op%5 == 3 && !linked:
		m.list.PushFront(&m.rows, rowLink, id)
		m.wantList = slices.Insert(m.wantList, 0, id)
	case op%5 == 4:
		m.remove(id, linked)
		return
	}
	m.set.Add(id)
	m.heap.Put(id, number(op%7))
	m.priority[id] = number(op % 7)
	m.wantHeap = append(slices.DeleteFunc(m.wantHeap, func(other ID) bool { return other == id }), id)
}

// remove deletes the row, so that a later row reuses its slot.
func (m *model) remove(id ID, linked bool) {
	m.heap.Remove(id)
	m.set.Remove(id)
	if linked {
		m.list.Remove(&m.rows, rowLink, id)
	}
	same := func(other ID) bool { return other == id }
	m.wantList, m.wantHeap, m.ids = slices.DeleteFunc(m.wantList, same), slices.DeleteFunc(m.wantHeap, same), slices.DeleteFunc(m.ids, same)
	delete(m.priority, id)
	m.rows.Delete(id)
}

func (m *model) agrees() bool {
	slices.SortStableFunc(m.wantHeap, func(a, b ID) int { return m.priority[a].Compare(m.priority[b]) })
	for _, want := range m.wantHeap {
		id, priority, ok := m.heap.Min()
		if !ok || id != want || priority != m.priority[want] || !m.set.Contains(want) {
			return false
		}
		m.heap.Remove(id)
	}
	for _, want := range m.wantList {
		if m.list.Front() != want || !m.list.Remove(&m.rows, rowLink, want) {
			return false
		}
	}
	return m.heap.Len() == 0 && m.list.Len() == 0 && m.list.Front() == 0 && m.set.Len() == len(m.wantHeap)
}

// Guards against rows that are lost, repeated or out of order in a heap, linked
// list or set, including rows that reuse the slots of deleted ones.
func TestHeapLinkedListAndSetMatchSlices(t *testing.T) {
	t.Logf("seed %d", propertySeed)
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(propertySeed))
	properties.Property("heap, linked list and set agree with slices", prop.ForAll(func(operations []int) bool {
		m := &model{priority: map[ID]number{}}
		for _, op := range operations {
			m.apply(op)
		}
		return m.agrees()
	}, gen.SliceOf(gen.IntRange(0, 500))))
	properties.TestingRun(t)
}

// Guards against rows of a Sorted that are lost, repeated or out of order after rows
// have changed their priority or left.
func TestSortedMatchesSortedSlice(t *testing.T) {
	t.Logf("seed %d", propertySeed)
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(propertySeed))
	properties.Property("sorted agrees with a slice", prop.ForAll(func(operations []int) bool {
		var sorted Sorted[number]
		var want []ID // in the order of the first Put
		priority := map[ID]number{}
		for _, op := range operations {
			id := makeID(1, op%23)
			if op%3 == 0 {
				if sorted.Remove(id) != slices.Contains(want, id) {
					return false
				}
				want = slices.DeleteFunc(want, func(other ID) bool { return other == id })
				continue
			}
			sorted.Put(id, number(op%7))
			priority[id] = number(op % 7)
			if !slices.Contains(want, id) {
				want = append(want, id)
			}
		}
		slices.SortStableFunc(want, func(a, b ID) int { return priority[a].Compare(priority[b]) })
		for i, id := range want {
			if sorted.At(i) != id || !sorted.Contains(id) {
				return false
			}
		}
		return sorted.Len() == len(want)
	}, gen.SliceOf(gen.IntRange(0, 500))))
	properties.TestingRun(t)
}

// Guards against an item that can neither be found nor removed, and stays the first of the
// heap, because the slot of its deleted row was given to another row.
func TestHeapDropsTheRowWhoseSlotIsReused(t *testing.T) {
	var rows Table[int]
	var h Heap[number]
	earlier := rows.Insert(0)
	h.Put(earlier, 1)
	rows.Delete(earlier)
	later := rows.Insert(0)
	if later.slot() != earlier.slot() {
		t.Fatalf("the rows %v and %v have different slots", earlier, later)
	}
	h.Put(later, 2)
	if id, _, _ := h.Min(); id != later || h.Len() != 1 || !h.Remove(later) {
		t.Errorf("the first of %d items is %v, want only the present row %v", h.Len(), id, later)
	}
}
