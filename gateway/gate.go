package gateway

import (
	"context"
	"sync"
)

// drainGroup counts operations in progress and lets a shutdown wait for their end.
type drainGroup struct {
	mu     sync.Mutex
	count  int
	closed bool
	empty  chan struct{} // closed when the group is closed and the count is zero
}

// begin counts an operation. It reports false if the group is closed.
func (g *drainGroup) begin() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return false
	}
	g.count++
	return true
}

func (g *drainGroup) end() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.count--
	if g.closed && g.count == 0 {
		close(g.empty)
	}
}

// close rejects further operations.
func (g *drainGroup) close() {
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

// wait returns when a closed group is empty or the context ends.
func (g *drainGroup) wait(ctx context.Context) error {
	select {
	case <-g.empty:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
