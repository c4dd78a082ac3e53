package table

// Priority is the sort key of a Heap: Compare returns a negative number if the
// receiver sorts first. time.Time implements Priority.
type Priority[P any] interface {
	Compare(other P) int
}

// Heap is a min-heap of rows of one table, for deadlines and queue tags. Rows
// with equal priority are ordered by their last Put, so that systems stay
// deterministic. A row must be removed from the heap before it is deleted from
// its table. The zero value is an empty heap.
type Heap[P Priority[P]] struct {
	items     []heapItem[P]
	positions []int32 // by slot of the row: index into items plus one, or 0 if absent
	seq       uint64
}

type heapItem[P any] struct {
	priority P
	seq      uint64
	id       ID
}

// Len returns the number of rows.
func (h *Heap[P]) Len() int { return len(h.items) }

// Contains reports whether the row is present.
func (h *Heap[P]) Contains(id ID) bool { return h.find(id) >= 0 }

// Min returns the row that sorts first and its priority. The last result is
// false for an empty heap.
func (h *Heap[P]) Min() (ID, P, bool) {
	if len(h.items) == 0 {
		var none P
		return 0, none, false
	}
	return h.items[0].id, h.items[0].priority, true
}

// MinPriority returns the lowest priority, or the zero value for an empty heap.
func (h *Heap[P]) MinPriority() P {
	_, priority, _ := h.Min()
	return priority
}

// Put adds the row or changes its priority. A deleted row that had the same slot is removed:
// it could not be found any more, and would stay in front of all others.
func (h *Heap[P]) Put(id ID, priority P) {
	if slot := id.slot(); slot < len(h.positions) && h.positions[slot] != 0 {
		if earlier := h.items[h.positions[slot]-1].id; earlier != id {
			h.Remove(earlier)
		}
	}
	h.seq++
	item := heapItem[P]{priority: priority, seq: h.seq, id: id}
	if i := h.find(id); i >= 0 {
		h.items[i] = item
		h.fix(i)
		return
	}
	h.items = append(h.items, item)
	h.fix(len(h.items) - 1)
}

// Remove deletes the row from the heap and reports whether it was present.
func (h *Heap[P]) Remove(id ID) bool {
	i := h.find(id)
	if i < 0 {
		return false
	}
	last := len(h.items) - 1
	h.positions[id.slot()] = 0
	moved := h.items[last]
	h.items[last] = heapItem[P]{}
	h.items = h.items[:last]
	if i < last {
		h.items[i] = moved
		h.fix(i)
	}
	return true
}

func (h *Heap[P]) find(id ID) int {
	slot := id.slot()
	if slot >= len(h.positions) || h.positions[slot] == 0 {
		return -1
	}
	i := int(h.positions[slot]) - 1
	if h.items[i].id != id {
		return -1
	}
	return i
}

func (h *Heap[P]) less(a, b *heapItem[P]) bool { return itemLess(a, b) }

func itemLess[P Priority[P]](a, b *heapItem[P]) bool {
	if order := a.priority.Compare(b.priority); order != 0 {
		return order < 0
	}
	return a.seq < b.seq
}

// fix restores the heap order for the item at i and updates the positions of
// all items that it moves.
func (h *Heap[P]) fix(i int) {
	item := h.items[i]
	for i > 0 && h.less(&item, &h.items[(i-1)/2]) {
		h.place(i, h.items[(i-1)/2])
		i = (i - 1) / 2
	}
	for {
		child := 2*i + 1
		if child >= len(h.items) {
			break
		}
		if child+1 < len(h.items) && h.less(&h.items[child+1], &h.items[child]) {
			child++
		}
		if !h.less(&h.items[child], &item) {
			break
		}
		h.place(i, h.items[child])
		i = child
	}
	h.place(i, item)
}

func (h *Heap[P]) place(i int, item heapItem[P]) {
	h.items[i] = item
	slot := item.id.slot()
	for len(h.positions) <= slot {
		h.positions = append(h.positions, 0)
	}
	h.positions[slot] = int32(i + 1)
}
