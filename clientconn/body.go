package clientconn

import (
	"io"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/waxwingbridge/waxwingbridge/clientlimit"
)

// Errors of ReadBody. The request has not been executed.
var (
	ErrTooLarge = errors.New("the body is too large")
	ErrTooSlow  = errors.New("the body came too slowly")
	ErrNoRoom   = errors.New("the process has no room for the body")
)

const (
	// firstPiece is the size of the first buffer of a body. Most jobs fit into it.
	firstPiece = 4 << 10
	// framingSlack is the framing that a body may have beyond as many bytes as it has.
	framingSlack = 4 << 10
)

// ReadBody reads the body of a request of up to limit bytes. Memory is taken from the
// budget as the body arrives, so that the length that a head states takes nothing.
func ReadBody(r *http.Request, limit int) ([]byte, error) {
	c := From(r.Context())
	if r.ContentLength > int64(limit) {
		c.Refuse(clientlimit.BodyTooLarge)
		return nil, ErrTooLarge
	}
	longest := limit + 1 // shows that a body of unknown length exceeds the limit
	if r.ContentLength >= 0 {
		longest = int(r.ContentLength)
	}
	if longest == 0 {
		return nil, nil
	}
	b := bodyReader{conn: c, started: time.Now()}
	if c != nil {
		b.received = c.usage.Received.Load()
	}
	if !b.grow(r, min(firstPiece, longest), clientlimit.Starting) {
		return nil, ErrNoRoom
	}
	for {
		if len(b.data) == cap(b.data) && !b.grow(r, min(2*cap(b.data), longest), clientlimit.Growing) {
			return nil, ErrNoRoom
		}
		b.setDeadline()
		n, err := r.Body.Read(b.data[len(b.data):cap(b.data)])
		b.data = b.data[:len(b.data)+n]
		switch {
		case len(b.data) > limit:
			c.Refuse(clientlimit.BodyTooLarge)
			return nil, ErrTooLarge
		case errors.Is(err, io.EOF) || r.ContentLength >= 0 && len(b.data) == longest:
			return b.data, nil
		case errors.Is(err, os.ErrDeadlineExceeded):
			c.Refuse(clientlimit.BodyTooSlow)
			return nil, ErrTooSlow
		case err != nil:
			return nil, errors.Wrap(err, "read body")
		}
		b.payFraming(r)
	}
}

type bodyReader struct {
	conn     *Conn
	data     []byte
	started  time.Time
	received int64 // bytes of the connection before the body
	paid     int64 // framing that was accounted for
}

// grow replaces the buffer by a larger one. Both count until the data is copied.
func (b *bodyReader) grow(r *http.Request, size int, use clientlimit.Use) bool {
	waiting := time.Now()
	if !b.conn.Hold(r.Context(), int64(size), use) {
		return false
	}
	b.started = b.started.Add(time.Since(waiting)) // the client isn't slow while it waits for room
	old := cap(b.data)
	data := make([]byte, len(b.data), size)
	copy(data, b.data)
	b.data = data
	b.conn.drop(int64(old))
	return true
}

// setDeadline gives the client until it falls below the least rate.
func (b *bodyReader) setDeadline() {
	if b.conn != nil {
		_ = b.conn.SetReadDeadline(b.started.Add(clientlimit.TransferTime(len(b.data)))) // fails only if it is closed
	}
}

// payFraming waits if the body consists mostly of framing and all such bodies together
// take too much processor time. The wait counts against the client's rate.
func (b *bodyReader) payFraming(r *http.Request) {
	if b.conn == nil {
		return
	}
	data := int64(len(b.data))
	framing := b.conn.usage.Received.Load() - b.received - data
	if excess := framing - b.paid; framing > data+framingSlack && excess > 0 {
		b.paid = framing
		b.conn.gate.pace.Wait(r.Context(), time.Now(), int(excess))
	}
}
