package crowd

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// Sizes of the crowds. They were fixed on the code without limits for clients, where
// crowds that hold memory or connections exceed the bounds.
const (
	bodyClients    = 380   // whose bodies of the legal size are 95 MB together
	expandClients  = 40    // whose bodies of the legal size decode to several MB each
	headClients    = 380   // that send heads of headBytes each
	silentClients  = 1500  // connections that say nothing
	churnClients   = 6000  // connections opened and closed in turn
	unreadClients  = 200   // that send unreadRequests without reading the answers
	unreadRequests = 20000 // whose answers exceed the buffers of a connection
	headBytes      = 900 << 10
	missing        = 100 // bytes of a body that are never sent
)

// sendTimeout bounds each write of a crowd. A process that doesn't read is not a failure
// of the crowd.
const sendTimeout = 20 * time.Second

// crowd is a set of connections that stay open until the test ends.
type crowd struct {
	t     *testing.T
	mu    sync.Mutex
	conns []net.Conn
}

// gather opens the connections and lets each send what it sends, up to 64 at once.
func gather(t *testing.T, address string, clients int, send func(net.Conn)) *crowd {
	c := &crowd{t: t}
	t.Cleanup(func() {
		for _, conn := range c.conns {
			conn.Close()
		}
	})
	var sending sync.WaitGroup
	slots := make(chan struct{}, 64)
	for range clients {
		slots <- struct{}{}
		sending.Go(func() {
			defer func() { <-slots }()
			conn, err := net.DialTimeout("tcp", address, sendTimeout)
			if err != nil {
				return // a process may refuse connections beyond its limits
			}
			c.mu.Lock()
			c.conns = append(c.conns, conn)
			c.mu.Unlock()
			_ = conn.SetWriteDeadline(time.Now().Add(sendTimeout))
			send(conn)
		})
	}
	sending.Wait()
	return c
}

// write sends a text and reports whether the connection still takes it.
func write(conn net.Conn, text string) bool {
	_, err := io.WriteString(conn, text)
	return err == nil
}

func postHead(header string) string {
	return "POST /orders/00000000c0000001 HTTP/1.1\r\nHost: shop.example\r\nContent-Type: application/json\r\n" + header + "\r\n\r\n"
}

// body returns the text of a valid job of the legal size.
func body() string {
	const begin, end = `{"Steps":[{"Count":1,"Cpu":500,"EstimatedMs":50}],"Spec":"`, `"}`
	return begin + strings.Repeat("x", maxBodyBytes-len(begin)-len(end)) + end
}

// Guards against whole bodies of the legal size that stop short of their end and fill the
// memory.
func TestWholeBodiesThatStopShort(t *testing.T) {
	p := start(t)
	text := body()[:maxBodyBytes-missing]
	gather(t, p.client, bodyClients, func(conn net.Conn) {
		if write(conn, postHead(fmt.Sprintf("Content-Length: %d", maxBodyBytes))) {
			write(conn, text)
		}
	})
	p.check()
}

// Guards against the same in pieces, where all connections are open before the bodies
// grow.
func TestBodiesInPiecesThatStopShort(t *testing.T) {
	p := start(t)
	text := body()[:maxBodyBytes-missing]
	c := gather(t, p.client, bodyClients, func(conn net.Conn) {
		write(conn, postHead(fmt.Sprintf("Content-Length: %d", maxBodyBytes)))
	})
	const piece = 32 << 10
	for from := 0; from < len(text); from += piece {
		c.each(func(conn net.Conn) { write(conn, text[from:min(from+piece, len(text))]) })
	}
	p.check()
}

// each lets all connections send at once.
func (c *crowd) each(send func(net.Conn)) {
	var sending sync.WaitGroup
	for _, conn := range c.conns {
		sending.Go(func() {
			_ = conn.SetWriteDeadline(time.Now().Add(sendTimeout))
			send(conn)
		})
	}
	sending.Wait()
}

// chunked encodes a text in chunks of one size, without the last chunk.
func chunked(text string, size int) string {
	var b strings.Builder
	for from := 0; from < len(text); from += size {
		piece := text[from:min(from+size, len(text))]
		fmt.Fprintf(&b, "%x\r\n%s\r\n", len(piece), piece)
	}
	return b.String()
}

// Guards against bodies of unknown length in large chunks.
func TestBodiesInLargeChunks(t *testing.T) {
	p := start(t)
	text := chunked(body()[:maxBodyBytes-missing], maxBodyBytes)
	gather(t, p.client, bodyClients, func(conn net.Conn) {
		if write(conn, postHead("Transfer-Encoding: chunked")) {
			write(conn, text)
		}
	})
	p.check()
}

// Guards against bodies of unknown length in chunks of one byte, whose encoding is six
// times as long as they are.
func TestBodiesInSmallChunks(t *testing.T) {
	p := start(t)
	text := chunked(body()[:maxBodyBytes-missing], 1)
	gather(t, p.client, bodyClients, func(conn net.Conn) {
		if write(conn, postHead("Transfer-Encoding: chunked")) {
			write(conn, text)
		}
	})
	p.check()
}

// Guards against complete bodies whose decoded form is many times as large as they are.
func TestBodiesThatExpand(t *testing.T) {
	p := start(t)
	text := `{"Steps":[` + strings.Repeat("{},", (maxBodyBytes-20)/3) + `{}]}`
	gather(t, p.client, expandClients, func(conn net.Conn) {
		if write(conn, postHead(fmt.Sprintf("Content-Length: %d", len(text)))) {
			write(conn, text)
		}
	})
	p.check()
}

// Guards against heads over the limit that are held before they are refused.
func TestHeadsOverTheLimit(t *testing.T) {
	p := start(t)
	var heads strings.Builder
	for i := range headBytes / 1024 {
		fmt.Fprintf(&heads, "X-%d: %s\r\n", i, strings.Repeat("h", 1000))
	}
	text := "GET /orders/1 HTTP/1.1\r\nHost: shop.example\r\n" + heads.String()
	c := gather(t, p.client, headClients, func(conn net.Conn) { write(conn, text) })
	c.each(func(conn net.Conn) { write(conn, "\r\n") })
	p.check()
}

// Guards against one header line without end.
func TestHeadsWithoutEnd(t *testing.T) {
	p := start(t)
	text := "GET /orders/1 HTTP/1.1\r\nHost: shop.example\r\nX: " + strings.Repeat("h", headBytes)
	gather(t, p.client, headClients, func(conn net.Conn) { write(conn, text) })
	p.check()
}

// Guards against empty lines without end before a request.
func TestEmptyLinesWithoutEnd(t *testing.T) {
	p := start(t)
	text := strings.Repeat("\r\n", headBytes/2)
	gather(t, p.client, headClients, func(conn net.Conn) { write(conn, text) })
	p.check()
}

// Guards against connections that say nothing and take all descriptors, so that neither
// callers nor the store can be reached.
func TestSilentConnections(t *testing.T) {
	p := start(t)
	gather(t, p.client, silentClients, func(net.Conn) {})
	p.check()
}

// Guards against silent connections to the listeners for readiness and metrics, which
// count against the same descriptors.
func TestSilentConnectionsToOtherListeners(t *testing.T) {
	p := start(t)
	gather(t, p.readiness, silentClients/2, func(net.Conn) {})
	gather(t, p.metrics, silentClients/2, func(net.Conn) {})
	p.check()
}

// Guards against answers that pile up because the client sends requests and reads none.
func TestPipelinedRequestsWithUnreadAnswers(t *testing.T) {
	p := start(t)
	text := strings.Repeat("GET /orders/0000000000000001 HTTP/1.1\r\nHost: shop.example\r\n\r\n", 100)
	gather(t, p.client, unreadClients, func(conn net.Conn) {
		_ = conn.SetWriteDeadline(time.Now().Add(3 * time.Second)) // a process that waits for its answers to be read takes no more
		for range unreadRequests / 100 {
			if !write(conn, text) {
				return
			}
		}
	})
	p.check()
}

// Guards against clients that read their answer a byte at a time and thereby hold it.
func TestAnswersReadByteByByte(t *testing.T) {
	p := start(t)
	stop := make(chan struct{})
	var reading sync.WaitGroup
	c := gather(t, p.metrics, silentClients/2, func(conn net.Conn) {
		write(conn, strings.Repeat("GET /metrics HTTP/1.1\r\nHost: shop.example\r\n\r\n", 200))
	})
	defer func() {
		close(stop)
		for _, conn := range c.conns {
			conn.Close() // ends reads of answers that never come
		}
		reading.Wait()
	}()
	for _, conn := range c.conns {
		reading.Go(func() {
			one := make([]byte, 1)
			for {
				select {
				case <-stop:
					return
				case <-time.After(50 * time.Millisecond):
				}
				if _, err := conn.Read(one); err != nil {
					return
				}
			}
		})
	}
	p.check()
}

// Guards against connections that are opened and closed in turn and leave something
// behind.
func TestConnectionsOpenedAndClosedInTurn(t *testing.T) {
	p := start(t)
	var turns sync.WaitGroup
	for range 8 {
		turns.Go(func() {
			for i := range churnClients / 8 {
				conn, err := net.DialTimeout("tcp", p.client, sendTimeout)
				if err != nil {
					continue // a process may refuse connections
				}
				if i%2 == 0 {
					write(conn, postHead("Content-Length: 100"))
				}
				conn.Close()
			}
		})
	}
	turns.Wait()
	if status, answer := p.call(http.MethodGet, "/none/1", ""); status != http.StatusNotFound {
		t.Errorf("an unknown queue is answered with %d %s, want 404", status, answer)
	}
	p.check()
}
