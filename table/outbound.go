package table

// Outbound is a table of effects that a tick has decided on and that I/O
// goroutines will perform: a store write, a platform call, a message to a peer
// or an answer to a caller. Systems append to it; the loop drains it after the
// last system of the tick. The zero value is empty.
type Outbound[R any] struct {
	rows []R
}

// Add appends an effect.
func (o *Outbound[R]) Add(row R) { o.rows = append(o.rows, row) }

// Len returns the number of effects that wait for the end of the tick.
func (o *Outbound[R]) Len() int { return len(o.rows) }

// Drain calls perform for each effect in the order of Add and empties the
// table. perform must not block and must not append to the same table.
func (o *Outbound[R]) Drain(perform func(R)) {
	for i := range o.rows {
		perform(o.rows[i])
	}
	clear(o.rows)
	o.rows = o.rows[:0]
}

// Rows returns the waiting effects, for tests and checks.
func (o *Outbound[R]) Rows() []R { return o.rows }
