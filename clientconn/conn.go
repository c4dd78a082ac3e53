package clientconn

import (
	"context"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/waxwingbridge/waxwingbridge/clientlimit"
)

const (
	// headFactor is what a byte of a head takes while it is decoded: the line, its
	// growth and the copy in the header map.
	headFactor = 3
	// freeHeadBytes is the part of a head that ConnBytes covers.
	freeHeadBytes = 2 << 10
	// refusalTime bounds the time in which a refusal is written and the client may read
	// it before the connection is closed.
	refusalTime = 500 * time.Millisecond
)

// errRefused ends the reading of a request that the connection has answered itself. As a
// read error of the network it is one that net/http doesn't answer.
var errRefused = &net.OpError{Op: "read", Net: "tcp", Err: errors.New("the request was refused")}

type connKey struct{}

// From returns the connection of a request, or nil if its server has no limits. The
// methods of a nil connection limit nothing.
func From(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

// Conn is a connection of a client. Only the goroutine that serves it uses it, except
// for its usage and for reads of one byte, with which net/http watches for its end.
type Conn struct {
	net.Conn
	gate  *Gate
	usage clientlimit.Usage

	handling    bool      // a handler runs: it sets the deadlines
	waitSince   time.Time // start of the wait for a request
	waitLimit   time.Duration
	headSince   time.Time // first byte of the head, or zero
	headBytes   int       // bytes read since the last answer
	headHeld    int64
	requestHeld int64
	answerSince time.Time // first byte of the answer, or zero
	answerBytes int
	refused     bool
}

func (g *Gate) open(inner net.Conn, class clientlimit.Class) *Conn {
	c := &Conn{Conn: inner, gate: g, waitSince: time.Now(), waitLimit: g.Current().HeaderTimeout}
	c.usage.Class = class
	c.usage.Close = func() { inner.Close() }
	c.usage.Held.Store(clientlimit.ConnBytes)
	g.post(event{kind: opened, usage: &c.usage})
	return c
}

// release gives back all that the connection holds, once its goroutine has ended.
func (c *Conn) release() {
	c.gate.budget.Give(c.usage.Held.Swap(0))
	<-c.gate.slots[c.usage.Class]
	c.gate.post(event{kind: closed, usage: &c.usage})
}

// awaitRequest begins the wait for the next request.
func (c *Conn) awaitRequest() {
	c.handling, c.waitSince, c.waitLimit = false, time.Now(), c.gate.Current().IdleTimeout
	c.headSince, c.headBytes, c.answerSince, c.answerBytes = time.Time{}, 0, time.Time{}, 0
}

func (c *Conn) beginRequest(r *http.Request, bodyLimit int) {
	c.handling = true
	if r.ContentLength != 0 {
		// Also bounds the reading of what a refused request still sends.
		_ = c.SetReadDeadline(time.Now().Add(clientlimit.TransferTime(bodyLimit))) // fails only if it is closed
	}
}

func (c *Conn) endRequest() {
	c.give(c.requestHeld + c.headHeld)
	c.requestHeld, c.headHeld = 0, 0
	c.usage.SetBusy(false)
	c.usage.Served.Add(1)
}

func (c *Conn) give(n int64) {
	c.usage.Held.Add(-n)
	c.gate.budget.Give(n)
}

// Hold takes bytes for the present request and waits for room if there is none. They are
// given back when the request ends. It returns false if there is no room.
func (c *Conn) Hold(ctx context.Context, n int64, use clientlimit.Use) bool {
	if c == nil {
		return true
	}
	if !c.gate.budget.TryTake(n, use) {
		c.usage.SetBusy(true) // it waits for the process
		room := c.gate.budget.Take(ctx, n, use)
		c.usage.SetBusy(false)
		if !room {
			c.gate.count(clientlimit.NoRoom)
			return false
		}
	}
	c.usage.Held.Add(n)
	c.requestHeld += n
	return true
}

// Fits reports whether the budget has room for the execution of a request that takes n
// bytes while little else is held.
func (c *Conn) Fits(n int64) bool { return c == nil || n <= c.gate.budget.Limit(clientlimit.Growing) }

// drop gives back bytes of the present request before its end.
func (c *Conn) drop(n int64) {
	if c != nil {
		c.requestHeld -= n
		c.give(n)
	}
}

// Busy marks that the process executes the request, so that the connection isn't closed
// to make room.
func (c *Conn) Busy() {
	if c != nil {
		c.usage.SetBusy(true)
	}
}

// Refuse counts a request that a handler refuses.
func (c *Conn) Refuse(reason clientlimit.Reason) {
	if c != nil {
		c.gate.count(reason)
	}
}

// Read implements net.Conn. While no handler runs it applies the limits of heads.
func (c *Conn) Read(p []byte) (int, error) {
	// net/http ends a read of one byte by a deadline, which must not be replaced.
	if c.handlesRead(p) {
		n, err := c.Conn.Read(p)
		c.usage.Received.Add(int64(n))
		return n, err
	}
	limits := c.gate.Current()
	deadline := c.waitSince.Add(c.waitLimit)
	if !c.headSince.IsZero() {
		deadline = c.headSince.Add(limits.HeaderTimeout)
	}
	if err := c.SetReadDeadline(deadline); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	c.usage.Received.Add(int64(n))
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return n, c.tooSlow(p, err)
	}
	if n == 0 {
		return n, err
	}
	if c.headSince.IsZero() {
		c.headSince = time.Now()
	}
	c.headBytes += n
	if c.headBytes > limits.HeaderBytes+bufferSlack {
		return 0, c.refuse(p, clientlimit.HeadTooLarge, "431 Request Header Fields Too Large", "")
	}
	if needed := int64(headFactor * (c.headBytes - freeHeadBytes)); needed > c.headHeld {
		if !c.gate.budget.TryTake(needed-c.headHeld, clientlimit.Starting) {
			c.gate.loop.TryPost(event{kind: short})
			return 0, c.refuse(p, clientlimit.NoRoom, "503 Service Unavailable", "Retry-After: 1\r\n")
		}
		c.usage.Held.Add(needed - c.headHeld)
		c.headHeld = needed
	}
	return n, err
}

func (c *Conn) handlesRead(p []byte) bool { return len(p) <= 1 || c.handling }

// tooSlow answers a head that hasn't ended in time. A connection on which no request has
// begun is closed without an answer.
func (c *Conn) tooSlow(p []byte, err error) error {
	if c.headSince.IsZero() {
		if c.usage.Served.Load() == 0 {
			c.gate.count(clientlimit.Silent)
		}
		return err
	}
	return c.refuse(p, clientlimit.HeadTooSlow, "408 Request Timeout", "")
}

// refuse answers a request whose head isn't read to its end, and reads some of what the
// client still sends, since a connection closed with unread bytes loses the answer.
func (c *Conn) refuse(p []byte, reason clientlimit.Reason, status, header string) error {
	c.gate.count(reason)
	c.refused = true
	if err := c.SetDeadline(time.Now().Add(refusalTime)); err != nil {
		return err
	}
	if _, err := c.Conn.Write([]byte("HTTP/1.1 " + status + "\r\nConnection: close\r\nContent-Length: 0\r\n" + header + "\r\n")); err != nil {
		return err
	}
	if err := c.CloseWrite(); err != nil {
		return err
	}
	for read := 0; read < maxHeaderBytes; {
		n, err := c.Conn.Read(p)
		if err != nil {
			break
		}
		read += n
	}
	return errRefused
}

// CloseWrite lets net/http send an answer before it closes a connection with unread
// bytes.
func (c *Conn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// Write implements net.Conn. The client must read an answer at the least rate.
func (c *Conn) Write(p []byte) (int, error) {
	if c.refused {
		return 0, errRefused
	}
	if c.answerSince.IsZero() {
		c.answerSince = time.Now()
	}
	c.answerBytes += len(p)
	if err := c.SetWriteDeadline(c.answerSince.Add(clientlimit.TransferTime(c.answerBytes))); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	c.usage.Sent.Add(int64(n))
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.gate.count(clientlimit.AnswerTooSlow)
	}
	return n, err
}
