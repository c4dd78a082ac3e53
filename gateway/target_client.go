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

// Limits of connections to targets.
const (
	dialTimeout = time.Second
	// targetIdleTimeout is short, because the outcome of a request is unknown if the
	// target closes an idle connection while the request is sent on it.
	targetIdleTimeout      = 15 * time.Second
	maxResponseHeaderBytes = 64 << 10
	targetWriteBuffer      = 8 << 10
	targetReadBuffer       = 8 << 10
	maxDiscardedBytes      = 4 << 10 // read from the body of a refusal, so that the connection can be reused
)

// targetClient performs the round trips to targets, with one transport per target.
type targetClient struct {
	attempts drainGroup
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

// transport returns the transport of a target. When the connection limit changes, a
// new transport replaces the old one, on which attempts in flight continue.
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
			return &countingConn{Conn: conn}, nil
		},
		MaxConnsPerHost:        connections,
		MaxIdleConnsPerHost:    connections,
		IdleConnTimeout:        targetIdleTimeout,
		DisableCompression:     true, // bodies are forwarded unchanged
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		WriteBufferSize:        targetWriteBuffer,
		ReadBufferSize:         targetReadBuffer,
	}
}

// closeUnlisted removes the transports of targets that are no longer listed.
func (c *targetClient) closeUnlisted(targets []traffic.Target) {
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

func (c *targetClient) closeIdle() { c.closeUnlisted(nil) }

// roundTrip sends an attempt and reads its response. If the body is larger than
// 1 MB, it returns the rest as a stream, whose onEnd the caller must set before the
// stream is read.
func (c *targetClient) roundTrip(ctx context.Context, attemptID string, send traffic.Send) (*traffic.Finished, *responseStream) {
	finished := &traffic.Finished{Attempt: send.Attempt}
	trace := &connTrace{}
	request, err := newTargetRequest(ctx, trace, attemptID, send)
	if err != nil {
		finished.Status = traffic.NotSent
		return finished, nil
	}
	response, err := c.transport(send.Address, send.MaxConnections).RoundTrip(request)
	if err != nil {
		finished.Status = trace.failureStatus()
		return finished, nil
	}
	return readResponse(finished, response, attemptID, trace)
}

func newTargetRequest(ctx context.Context, trace *connTrace, attemptID string, send traffic.Send) (*http.Request, error) {
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
		// GetBody is not set, so that the transport cannot retry the request.
		request.Body = io.NopCloser(bytes.NewReader(send.Message.Body))
		request.ContentLength = int64(len(send.Message.Body))
	}
	return request.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: trace.gotConn})), nil
}

// net/http retries a request of any method on a new connection if it has one of
// these idempotency key headers. They are sent in lower case, which net/http does
// not look up; header names are case-insensitive on the wire.
const (
	wireIdempotencyKey    = "idempotency-key"
	wireXIdempotencyKey   = "x-idempotency-key"
	headerXIdempotencyKey = "X-Idempotency-Key"
	headerUserAgent       = "User-Agent"
)

func targetHeaders(attemptID string, send traffic.Send) http.Header {
	header := make(http.Header, len(send.Message.Headers)+8)
	for name, values := range send.Message.Headers {
		header[name] = values
	}
	if values, ok := header[headerXIdempotencyKey]; ok {
		delete(header, headerXIdempotencyKey)
		header[wireXIdempotencyKey] = values
	}
	if send.Key != "" {
		header[wireIdempotencyKey] = []string{send.Key}
	}
	if _, ok := header[headerUserAgent]; !ok {
		header[headerUserAgent] = []string{""} // prevents net/http from adding its own
	}
	header[headerRequestID] = []string{send.RequestID}
	header[headerAttemptID] = []string{attemptID}
	header[headerTenant] = []string{send.Tenant}
	header[headerClass] = []string{send.Class.String()}
	header[headerDeadline] = []string{strconv.FormatInt(send.Remaining.Milliseconds(), 10)}
	return header
}

// connTrace records the connections that one round trip uses.
type connTrace struct {
	mu           sync.Mutex
	conn         *countingConn
	start        int64 // bytes written on conn before this round trip
	possiblySent bool  // bytes may have been written to an earlier connection
	connReused   bool
}

func (t *connTrace) gotConn(info httptrace.GotConnInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn != nil && !t.conn.confirmUnwritten(t.start) {
		t.possiblySent = true
	}
	t.conn, _ = info.Conn.(*countingConn)
	if t.conn == nil {
		t.possiblySent = true // written bytes are not counted on this connection
		return
	}
	t.start, t.connReused = t.conn.bytesWritten(), info.Reused
}

// failureStatus returns the status of a failed round trip. It blocks further writes
// to the connection.
func (t *connTrace) failureStatus() traffic.AttemptStatus {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.possiblySent || (t.conn != nil && !t.conn.confirmUnwritten(t.start)) {
		return traffic.ConnectionLost
	}
	return traffic.NotSent
}
