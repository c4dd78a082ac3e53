package clientconn

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/waxwingbridge/waxwingbridge/clientlimit"
)

// waitLimit is generous because the tests wait for conditions.
const waitLimit = 30 * time.Second

// site is a server behind a gate whose handler reads bodies.
type site struct {
	t       *testing.T
	gate    *Gate
	address string

	mu      sync.Mutex
	limits  RequestLimits
	reasons map[clientlimit.Reason]int
}

func newSite(t *testing.T, limits clientlimit.Limits) *site {
	s := &site{t: t, gate: New(limits), reasons: map[clientlimit.Reason]int{}, limits: RequestLimits{
		HeaderBytes: 16 << 10, HeaderTimeout: waitLimit, IdleTimeout: waitLimit, BodyBytes: 256 << 10,
	}}
	s.gate.Current = func() RequestLimits { s.mu.Lock(); defer s.mu.Unlock(); return s.limits }
	s.gate.Count = func(r clientlimit.Reason) { s.mu.Lock(); defer s.mu.Unlock(); s.reasons[r]++ }
	s.gate.Observe = func(int64, int64, int) {}
	s.gate.Report = func(clientlimit.Report) {}
	s.gate.Start(t.Context())
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.address = inner.Addr().String()
	server := s.gate.Server(clientlimit.Clients, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := ReadBody(r, s.gate.Current().BodyBytes)
		switch {
		case errors.Is(err, ErrTooLarge):
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusRequestEntityTooLarge)
		case errors.Is(err, ErrNoRoom):
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusServiceUnavailable)
		case err != nil:
			w.WriteHeader(http.StatusBadRequest)
		default:
			fmt.Fprint(w, len(body))
		}
	}))
	served := make(chan struct{})
	go func() { _ = server.Serve(s.gate.Listen(inner, clientlimit.Clients)); close(served) }()
	t.Cleanup(func() { server.Close(); <-served })
	return s
}

func (s *site) setLimits(change func(*RequestLimits)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.limits)
}

func (s *site) count(r clientlimit.Reason) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reasons[r]
}

func (s *site) dial() net.Conn {
	conn, err := net.Dial("tcp", s.address)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(waitLimit)) // fails only if it is closed
	return conn
}

// exchange sends a text on a connection and returns the status of the answer, 0 if the
// connection is closed.
func exchange(conn net.Conn, text string) (int, string) {
	if _, err := io.WriteString(conn, text); err != nil {
		return 0, ""
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	return response.StatusCode, string(body)
}

func (s *site) await(what string, done func() bool) {
	s.t.Helper()
	for end := time.Now().Add(waitLimit); !done(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			s.t.Fatalf("timeout: %s", what)
		}
	}
}

func post(length int) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", length)
}

// Guards against bytes or connections that are not given back on some way out, which
// would close the process to all clients in time.
func TestAllIsGivenBack(t *testing.T) {
	s := newSite(t, clientlimit.Derive(184<<20, 4100))
	s.setLimits(func(l *RequestLimits) { l.HeaderTimeout = 200 * time.Millisecond })
	full := strings.Repeat("x", 256<<10)
	ways := map[string]struct {
		text   string
		status int
	}{
		"served":                     {post(len(full)) + full, 200},
		"served in small chunks":     {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\nx\r\n", len(full)) + "0\r\n\r\n", 200},
		"without body":               {"GET / HTTP/1.1\r\nHost: a\r\n\r\n", 200},
		"stated length over limit":   {post(len(full) + 1), 413},
		"chunks over limit":          {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n50000\r\n" + full + strings.Repeat("x", 0x10000) + "\r\n0\r\n\r\n", 413},
		"broken chunk":               {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 400},
		"head over limit":            {"GET / HTTP/1.1\r\nHost: a\r\nX: " + full, 431},
		"head a little over limit":   {"GET / HTTP/1.1\r\nHost: a\r\nX: " + full[:17<<10] + "\r\n\r\n", 431},
		"head at the limit":          {"GET / HTTP/1.1\r\nHost: a\r\nX: " + full[:16000] + "\r\n\r\n", 200},
		"head that takes too long":   {"GET / HTTP/1.1\r\nHost: a\r\n", 408},
		"nothing but an empty line":  {"\r\n", 400},
		"unknown transfer coding":    {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: x\r\n\r\n", 501},
		"options for the whole host": {"OPTIONS * HTTP/1.1\r\nHost: a\r\n\r\n", 200},
		"no word":                    {"", 0},
	}
	for name, way := range ways {
		conn := s.dial()
		if status, _ := exchange(conn, way.text); status != way.status {
			t.Errorf("%s: status %d, want %d", name, status, way.status)
		}
		conn.Close()
	}
	cut := s.dial()
	if _, err := io.WriteString(cut, post(len(full))+full[:1000]); err != nil {
		t.Fatal(err)
	}
	s.await("the body is held", func() bool { return s.gate.Held() > clientlimit.ConnBytes })
	cut.Close()
	s.await("all is given back", func() bool { return s.gate.Held() == 0 && len(s.gate.slots[clientlimit.Clients]) == 0 })
}

// Guards against heads and bodies that a connection holds until it is closed.
func TestRequestsGiveBackOnAnOpenConnection(t *testing.T) {
	s := newSite(t, clientlimit.Derive(184<<20, 4100))
	conn := s.dial()
	body := strings.Repeat("x", 100<<10)
	for range 3 {
		head := fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nX: %s\r\nContent-Length: %d\r\n\r\n", body[:10<<10], len(body))
		if status, _ := exchange(conn, head+body); status != 200 {
			t.Fatalf("status %d", status)
		}
		s.await("the request's bytes are given back", func() bool { return s.gate.Held() == clientlimit.ConnBytes })
	}
}

// Guards against a limit that holds only for connections opened after its change.
func TestChangedLimitsHoldForTheNextRequest(t *testing.T) {
	s := newSite(t, clientlimit.Derive(184<<20, 4100))
	conn := s.dial()
	body := strings.Repeat("x", 2000)
	if status, _ := exchange(conn, post(len(body))+body); status != 200 {
		t.Fatalf("status %d", status)
	}
	s.setLimits(func(l *RequestLimits) { l.BodyBytes, l.HeaderBytes = 1999, 100 })
	if status, _ := exchange(conn, post(len(body))); status != 413 {
		t.Errorf("a body over the new limit: status %d, want 413", status)
	}
	if status, _ := exchange(s.dial(), "GET / HTTP/1.1\r\nHost: a\r\nX: "+strings.Repeat("x", 100)+"\r\n\r\n"); status != 431 {
		t.Errorf("a head over the new limit: status %d, want 431", status)
	}
}

// Guards against limits that turn away honest load: many bodies of the largest size at
// once on the smallest machine, on links of 2 Mbit/s.
func TestManyHonestBodiesAtOnce(t *testing.T) {
	s := newSite(t, clientlimit.Derive(184<<20, 4100))
	const clients, piece = 60, 25_000 // a piece every 100 ms is 2 Mbit/s
	full := strings.Repeat("x", 256<<10)
	var sending sync.WaitGroup
	for range clients {
		conn := s.dial()
		sending.Go(func() {
			rest := post(len(full)) + full
			for len(rest) > piece {
				if _, err := io.WriteString(conn, rest[:piece]); err != nil {
					t.Errorf("the connection was closed: %v", err)
					return
				}
				rest = rest[piece:]
				time.Sleep(100 * time.Millisecond)
			}
			if status, answer := exchange(conn, rest); status != 200 || answer != fmt.Sprint(len(full)) {
				t.Errorf("status %d %s", status, answer)
			}
		})
	}
	sending.Wait()
}

// Guards against a crowd of stalled bodies that shuts out ordinary callers.
func TestStalledBodiesGiveWay(t *testing.T) {
	limits := clientlimit.Derive(184<<20, 4100)
	limits.Bytes = 4 << 20
	s := newSite(t, limits)
	part := strings.Repeat("x", 255<<10)
	for range 40 {
		_, _ = io.WriteString(s.dial(), post(256<<10)+part) // the process may close it
	}
	s.await("an ordinary request is served", func() bool {
		status, _ := exchange(s.dial(), post(100)+part[:100])
		return status == 200
	})
	s.await("a connection is closed to make room", func() bool { return s.count(clientlimit.OutOfMemory) > 0 })
	s.await("an ordinary request is served afterwards", func() bool {
		status, _ := exchange(s.dial(), post(100)+part[:100])
		return status == 200
	})
	if held := s.gate.Held(); held > limits.Bytes {
		t.Errorf("%d bytes are held, the limit is %d", held, limits.Bytes)
	}
}

// Guards against silent connections that keep out new callers.
func TestSilentConnectionsGiveWay(t *testing.T) {
	limits := clientlimit.Derive(184<<20, 4100)
	limits.Conns[clientlimit.Clients] = 20
	s := newSite(t, limits)
	for range 60 {
		s.dial()
	}
	if status, _ := exchange(s.dial(), "GET / HTTP/1.1\r\nHost: a\r\n\r\n"); status != 200 {
		t.Errorf("a caller behind silent connections: status %d, want 200", status)
	}
	if s.count(clientlimit.TooManyConns) == 0 {
		t.Error("no connection was closed to make room")
	}
}

// Guards against a budget that counts connections below their real cost.
func TestCostOfAConnection(t *testing.T) {
	s := newSite(t, clientlimit.Derive(4<<30, 20000))
	const conns = 500
	before := inUse()
	for range conns {
		conn := s.dial()
		if status, _ := exchange(conn, post(100)+strings.Repeat("x", 100)); status != 200 {
			t.Fatalf("status %d", status)
		}
	}
	cost := (inUse() - before) / conns
	t.Logf("a connection takes %d bytes, and its client's end is among them", cost)
	if cost > clientlimit.ConnBytes {
		t.Errorf("a connection takes %d bytes, the budget counts %d", cost, clientlimit.ConnBytes)
	}
}

func inUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}
