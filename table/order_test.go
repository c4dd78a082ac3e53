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

// model holds a heap, a chain and a set over the same rows, and slices that say
// what they must contain.
type model struct {
	rows     Table[linkedRow]
	ids      []ID
	heap     Heap[number]
	chain    LinkedList[linkedRow]
	set      Set
	priority map[ID]number
	order    []ID // of heap insertion
	list     []ID // of the chain
}

func (m *model) apply(op int) {
	if op%5 == 0 || len(m.ids) == 0 {
		m.ids = append(m.ids, m.rows.Insert(linkedRow{}))
	}
	id := m.ids[op/5%len(m.ids)]
	linked := slices.Contains(m.list, id)
	switch {
	case op%5 < 3 && !linked:
		m.chain.PushBack(&m.rows, rowLink, id)
		m.list = append(m.list, id)
	case op%5 == 3 && !linked:
		m.chain.PushFront(&m.rows, rowLink, id)
		m.list = slices.Insert(m.list, 0, id)
	case op%5 == 4:
		m.remove(id, linked)
		return
	}
	m.set.Add(id)
	m.heap.Put(id, number(op%7))
	m.priority[id] = number(op % 7)
	m.order = append(slices.DeleteFunc(m.order, func(other ID) bool { return other == id }), id)
}

// remove deletes the row, so that a later one reuses its slot.
func (m *model) remove(id ID, linked bool) {
	m.heap.Remove(id)
	m.set.Remove(id)
	if linked {
		m.chain.Remove(&m.rows, rowLink, id)
	}
	same := func(other ID) bool { return other == id }
	m.list, m.order, m.ids = slices.DeleteFunc(m.list, same), slices.DeleteFunc(m.order, same), slices.DeleteFunc(m.ids, same)
	delete(m.priority, id)
	m.rows.Delete(id)
}

func (m *model) agrees() bool {
	slices.SortStableFunc(m.order, func(a, b ID) int { return m.priority[a].Compare(m.priority[b]) })
	for _, want := range m.order {
		id, priority, ok := m.heap.Min()
		if !ok || id != want || priority != m.priority[want] || !m.set.Contains(want) {
			return false
		}
		m.heap.Remove(id)
	}
	for _, want := range m.list {
		if m.chain.Front() != want || !m.chain.Remove(&m.rows, rowLink, want) {
			return false
		}
	}
	return m.heap.Len() == 0 && m.chain.Len() == 0 && m.chain.Front() == 0 && m.set.Len() == len(m.order)
}

// Guards against rows lost, repeated or out of order in a heap, chain or set,
// also when rows are deleted and their slots reused.
func TestHeapChainAndSetMatchSlices(t *testing.T) {
	t.Logf("seed %d", propertySeed)
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(propertySeed))
	properties.Property("heap, chain and set agree with slices", prop.ForAll(func(operations []int) bool {
		m := &model{priority: map[ID]number{}}
		for _, op := range operations {
			m.apply(op)
		}
		return m.agrees()
	}, gen.SliceOf(gen.IntRange(0, 500))))
	properties.TestingRun(t)
}
