package table

// Link places a row in a LinkedList. A row type has one Link field for each list
// that its rows can be in at the same time.
type Link struct {
	prev, next ID
	linked     bool
}

// Linked reports whether the row is in a list through this link.
func (l *Link) Linked() bool { return l.linked }

// LinkedList is an intrusive doubly linked list of rows of one table, for FIFO
// queues. Adding and removing a row takes constant time and does not allocate.
// The link function returns the row's Link for this list. A row must be removed
// from the list before it is deleted from its table. The zero value is an empty
// list.
type LinkedList[R any] struct {
	head, tail ID
	size       int
}

// Len returns the number of rows.
func (c *LinkedList[R]) Len() int { return c.size }

// Front returns the first row, or the zero ID.
func (c *LinkedList[R]) Front() ID { return c.head }

// PushBack appends the row.
func (c *LinkedList[R]) PushBack(rows *Table[R], link func(*R) *Link, id ID) {
	*link(rows.Get(id)) = Link{prev: c.tail, linked: true}
	if c.tail != 0 {
		link(rows.Get(c.tail)).next = id
	} else {
		c.head = id
	}
	c.tail = id
	c.size++
}

// PushFront prepends the row.
func (c *LinkedList[R]) PushFront(rows *Table[R], link func(*R) *Link, id ID) {
	*link(rows.Get(id)) = Link{next: c.head, linked: true}
	if c.head != 0 {
		link(rows.Get(c.head)).prev = id
	} else {
		c.tail = id
	}
	c.head = id
	c.size++
}

// Remove unlinks the row and reports whether it was linked.
func (c *LinkedList[R]) Remove(rows *Table[R], link func(*R) *Link, id ID) bool {
	l := link(rows.Get(id))
	if !l.linked {
		return false
	}
	if l.prev != 0 {
		link(rows.Get(l.prev)).next = l.next
	} else {
		c.head = l.next
	}
	if l.next != 0 {
		link(rows.Get(l.next)).prev = l.prev
	} else {
		c.tail = l.prev
	}
	*l = Link{}
	c.size--
	return true
}
