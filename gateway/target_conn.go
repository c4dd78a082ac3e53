package gateway

import (
	"net"
	"sync"

	"github.com/cockroachdb/errors"
)

var errSealed = errors.New("connection is sealed")

// meteredConn counts writes, so that a failed attempt can prove that no byte of
// its request was written.
type meteredConn struct {
	net.Conn

	mu      sync.Mutex
	sealed  bool
	writing int
	written int64
}

// Write counts the bytes that were handed to the system.
func (c *meteredConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.writing++
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	c.writing--
	c.written += int64(n)
	c.mu.Unlock()
	return n, err
}

func (c *meteredConn) count() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// unchanged seals the connection against later writes and reports whether it
// provably wrote nothing since the count was start. A write in progress counts
// as written.
func (c *meteredConn) unchanged(start int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.writing == 0 && c.written == start
}
