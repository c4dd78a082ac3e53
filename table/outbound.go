package table

// Outbound is a table of effects that the systems of a tick have decided on and
// that I/O goroutines will perform: a store write, a platform call, a message to a peer
// or a response to a caller. Systems append to it; the loop drains it after the
// last system of the tick. The zero value is empty.
type Outbound[R any] struct {
	rows []R
}

// Add appends an effect.
func (o *Outbound[R]) Add(row R) { o.rows = append(o.rows, row) }

// Len returns the number of effects that have not been drained.
func (o *Outbound[R]) Len() int { return len(o.rows) }

// Drain calls perform for each effect in insertion order and empties the
// table. perform must not block and must not append to the same table.
func (o *Outbound[R]) Drain(perform func(R)) {
	for i := range o.rows {
		perform(o.rows[i])
	}
	clear(o.rows)
	o.rows = o.rows[:0]
}

// Rows returns the effects that have not been drained, for tests and invariant
// checks.
func (o *Outbound[R]) Rows() []R { return o.rows }
