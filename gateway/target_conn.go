package gateway

import (
	"net"
	"sync"

	"github.com/cockroachdb/errors"
)

var errWritesBlocked = errors.New("write rejected: the round trip on this connection has failed")

// countingConn counts written bytes, so that it can be proved that no byte of a
// failed attempt was written.
type countingConn struct {
	net.Conn

	mu            sync.Mutex
	writesBlocked bool
	writing       int
	written       int64
}

// Write counts the bytes that were passed to the operating system.
func (c *countingConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.writesBlocked {
		c.mu.Unlock()
		return 0, errWritesBlocked
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

func (c *countingConn) bytesWritten() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// confirmUnwritten blocks later writes and reports whether provably nothing was
// written since bytesWritten returned start. A write in progress counts as written.
func (c *countingConn) confirmUnwritten(start int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writesBlocked = true
	return c.writing == 0 && c.written == start
}
