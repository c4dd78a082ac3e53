package clientlimit

import (
	"context"
	"sync/atomic"
	"time"
)

// waitLimit is how long a request waits for room in the budget before it is refused.
const waitLimit = 2 * time.Second

// Use tells what bytes are taken for. What ends sooner may fill the budget further, so
// that requests which have arrived are executed and give back what they hold, and short
// ones start beside large bodies.
type Use uint8

// The uses of bytes.
const (
	Growing   Use = iota // the body of a request beyond its first buffer
	Starting             // a connection, a head or the first buffer of a body
	Executing            // the execution of a request that has arrived
	uses
)

// useShares are the parts of the budget up to which bytes are taken for each use.
var useShares = [uses]float64{Growing: 0.75, Starting: 0.9, Executing: 1}

// Budget is the number of bytes that clients may make the process hold. It may be used
// by any goroutine.
type Budget struct {
	limit   atomic.Int64
	used    atomic.Int64
	waiters atomic.Int64
	// freed wakes one waiter, which wakes the next one if it has found room.
	freed chan struct{}
	// pressure is called when a waiter has found no room. It must not block.
	pressure func()
}

// NewBudget returns a budget of limit bytes.
func NewBudget(limit int64, pressure func()) *Budget {
	b := &Budget{freed: make(chan struct{}, 1), pressure: pressure}
	b.limit.Store(limit)
	return b
}

// Limit returns the size of the budget for a use.
func (b *Budget) Limit(use Use) int64 { return int64(useShares[use] * float64(b.limit.Load())) }

// SetLimit changes the size of the budget. Bytes that are taken stay taken.
func (b *Budget) SetLimit(limit int64) {
	if b.limit.Swap(limit) < limit {
		b.wake()
	}
}

// Used returns the bytes that are taken.
func (b *Budget) Used() int64 { return b.used.Load() }

// TryTake takes n bytes if there is room.
func (b *Budget) TryTake(n int64, use Use) bool {
	for {
		used := b.used.Load()
		if used+n > b.Limit(use) {
			return false
		}
		if b.used.CompareAndSwap(used, used+n) {
			return true
		}
	}
}

// Take takes n bytes and waits for room if there is none. It returns false if none comes
// within waitLimit or before the context ends.
func (b *Budget) Take(ctx context.Context, n int64, use Use) bool {
	if b.TryTake(n, use) {
		return true
	}
	if n > b.Limit(use) {
		return false
	}
	b.waiters.Add(1)
	defer b.waiters.Add(-1)
	b.pressure()
	timer := time.NewTimer(waitLimit)
	defer timer.Stop()
	for {
		if b.TryTake(n, use) {
			b.wake() // there may be room for another one
			return true
		}
		select {
		case <-b.freed:
		case <-timer.C:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

// Give gives back n bytes.
func (b *Budget) Give(n int64) {
	if n == 0 {
		return
	}
	b.used.Add(-n)
	b.wake()
}

func (b *Budget) wake() {
	if b.waiters.Load() == 0 {
		return
	}
	select {
	case b.freed <- struct{}{}:
	default: // a waiter is being woken already
	}
}
