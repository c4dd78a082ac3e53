package gateway

import (
	"context"
	"sync"
)

// gate counts work in progress and lets a shutdown wait for its end.
type gate struct {
	mu     sync.Mutex
	count  int
	closed bool
	empty  chan struct{} // closed when the gate is closed and the count is zero
}

// enter counts one piece of work, or reports false if the gate is closed.
func (g *gate) enter() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return false
	}
	g.count++
	return true
}

func (g *gate) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.count--
	if g.closed && g.count == 0 {
		close(g.empty)
	}
}

// close lets nothing more in.
func (g *gate) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return
	}
	g.closed = true
	g.empty = make(chan struct{})
	if g.count == 0 {
		close(g.empty)
	}
}

// wait returns when a closed gate is empty or the context ends.
func (g *gate) wait(ctx context.Context) error {
	select {
	case <-g.empty:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
