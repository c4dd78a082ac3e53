package gateway

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/waxwingbridge/waxwingbridge/gateway/traffic"
)

// Limits of the connections to targets.
const (
	dialTimeout = time.Second
	// targetIdleTimeout is short, because a request that meets an idle
	// connection in the moment in which the target closes it ends as unknown.
	targetIdleTimeout  = 15 * time.Second
	maxAnswerHeader    = 64 << 10
	targetWriteBuffer  = 8 << 10
	targetReadBuffer   = 8 << 10
	maxDiscardedAnswer = 4 << 10 // rest of a refusal that is read to keep its connection
)

// targetClient does the round trips to targets, with one transport per target.
type targetClient struct {
	attempts gate
	dialer   net.Dialer

	mu      sync.RWMutex
	targets map[string]*targetTransport // by address
}

type targetTransport struct {
	connections int
	transport   *http.Transport
}

func newTargetClient() *targetClient {
	return &targetClient{dialer: net.Dialer{Timeout: dialTimeout}, targets: map[string]*targetTransport{}}
}

// transport returns the transport of a target. When the number of connections
// changes, a new transport replaces the old one, whose attempts run to the end.
func (c *targetClient) transport(address string, connections int) *http.Transport {
	c.mu.RLock()
	known := c.targets[address]
	c.mu.RUnlock()
	if known != nil && known.connections == connections {
		return known.transport
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	known = c.targets[address]
	if known != nil && known.connections == connections {
		return known.transport
	}
	if known != nil {
		known.transport.CloseIdleConnections()
	}
	created := &targetTransport{connections: connections, transport: c.newTransport(connections)}
	c.targets[address] = created
	return created.transport
}

func (c *targetClient) newTransport(connections int) *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := c.dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &meteredConn{Conn: conn}, nil
		},
		MaxConnsPerHost:        connections,
		MaxIdleConnsPerHost:    connections,
		IdleConnTimeout:        targetIdleTimeout,
		DisableCompression:     true, // bodies pass unchanged
		MaxResponseHeaderBytes: maxAnswerHeader,
		WriteBufferSize:        targetWriteBuffer,
		ReadBufferSize:         targetReadBuffer,
	}
}

// retain drops the transports of targets that are no longer listed.
func (c *targetClient) retain(targets []traffic.Target) {
	listed := make(map[string]bool, len(targets))
	for i := range targets {
		listed[targets[i].Address] = true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, target := range c.targets {
		if !listed[address] {
			target.transport.CloseIdleConnections()
			delete(c.targets, address)
		}
	}
}

func (c *targetClient) closeIdle() { c.retain(nil) }

// roundTrip sends one attempt and reads its answer. If the answer is larger
// than 1 MB, it returns the rest as a stream, whose onEnd the caller must set
// before anyone reads it.
func (c *targetClient) roundTrip(ctx context.Context, attemptID string, send traffic.Send) (*traffic.Finished, *streamedAnswer) {
	finished := &traffic.Finished{Attempt: send.Attempt}
	trace := &sendTrace{}
	request, err := newTargetRequest(ctx, trace, attemptID, send)
	if err != nil {
		finished.Status = traffic.NotSent
		return finished, nil
	}
	response, err := c.transport(send.Address, send.MaxConnections).RoundTrip(request)
	if err != nil {
		finished.Status = trace.failure()
		return finished, nil
	}
	return readAnswer(finished, response, attemptID, trace)
}

func newTargetRequest(ctx context.Context, trace *sendTrace, attemptID string, send traffic.Send) (*http.Request, error) {
	location, err := url.ParseRequestURI(send.Message.Path)
	if err != nil {
		return nil, err
	}
	location.Scheme, location.Host = "http", send.Address
	request := &http.Request{
		Method: send.Message.Method, URL: location, Host: send.Address, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: targetHeaders(attemptID, send), Body: http.NoBody,
	}
	if len(send.Message.Body) > 0 {
		// Without GetBody the transport cannot send the request a second time.
		request.Body = io.NopCloser(bytes.NewReader(send.Message.Body))
		request.ContentLength = int64(len(send.Message.Body))
	}
	return request.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: trace.gotConn})), nil
}

// Names under which net/http would repeat a request of any method on a new
// connection. They are sent in a spelling that it does not look up; names are
// case-insensitive on the wire.
const (
	wireIdempotencyKey   = "idempotency-key"
	wireXIdempotencyKey  = "x-idempotency-key"
	headerXIdempotentKey = "X-Idempotency-Key"
	headerUserAgent      = "User-Agent"
)

func targetHeaders(attemptID string, send traffic.Send) http.Header {
	header := make(http.Header, len(send.Message.Headers)+8)
	for name, values := range send.Message.Headers {
		header[name] = values
	}
	if values, ok := header[headerXIdempotentKey]; ok {
		delete(header, headerXIdempotentKey)
		header[wireXIdempotencyKey] = values
	}
	if send.Key != "" {
		header[wireIdempotencyKey] = []string{send.Key}
	}
	if _, ok := header[headerUserAgent]; !ok {
		header[headerUserAgent] = []string{""} // keeps net/http from adding its own
	}
	header[headerRequestID] = []string{send.RequestID}
	header[headerAttemptID] = []string{attemptID}
	header[headerTenant] = []string{send.Tenant}
	header[headerClass] = []string{send.Class.String()}
	header[headerDeadline] = []string{strconv.FormatInt(send.Remaining.Milliseconds(), 10)}
	return header
}

// sendTrace follows the connections of one round trip.
type sendTrace struct {
	mu     sync.Mutex
	conn   *meteredConn
	start  int64
	sent   bool // an earlier connection may have carried the request
	reused bool
}

func (t *sendTrace) gotConn(info httptrace.GotConnInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn != nil && !t.conn.unchanged(t.start) {
		t.sent = true
	}
	t.conn, _ = info.Conn.(*meteredConn)
	if t.conn == nil {
		t.sent = true // without the count nothing can be proved
		return
	}
	t.start, t.reused = t.conn.count(), info.Reused
}

// failure says what a failed round trip proves. It seals the connection.
func (t *sendTrace) failure() traffic.AttemptStatus {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.sent || (t.conn != nil && !t.conn.unchanged(t.start)) {
		return traffic.ConnectionLost
	}
	return traffic.NotSent
}
