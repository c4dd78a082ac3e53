package etcdgateway

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/waxwingbridge/waxwingbridge/store"
)

const (
	// dialTimeout limits the time spent on a base URL whose host does not respond.
	dialTimeout = time.Second
	// maxErrorBytes limits how much of an error response's body is read.
	maxErrorBytes = 16 << 10
	// maxIdleConnections covers the few calls that a process has in flight.
	maxIdleConnections = 8
	idleTimeout        = 30 * time.Second
)

// client sends JSON requests to one of several base URLs and fails over to the
// next one.
type client struct {
	urls      []string
	preferred atomic.Uint64 // index of the base URL to try first, modulo their number
	http      *http.Client
}

func newClient(urls []string) *client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &client{urls: urls, http: &http.Client{Transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: maxIdleConnections,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}}}
}

// errNotExecuted marks failures of calls that certainly had no effect.
var errNotExecuted = errors.New("not executed")

// gatewayError is an error response of the gateway.
type gatewayError struct {
	status int
	body   ErrorBody
}

func (e *gatewayError) Error() string {
	text := e.body.Message
	if text == "" {
		text = e.body.Error
	}
	return fmt.Sprintf("status %d, code %d: %s", e.status, e.body.Code, text)
}

// rejected reports whether the code proves that the service did not execute the
// call. Code 14 (unavailable) does not: the service also returns it for a proposal
// that timed out.
func (e *gatewayError) rejected() bool {
	switch e.body.Code {
	case CodeInvalidArgument, CodeNotFound, CodePermissionDenied, CodeResourceExhausted,
		CodeFailedPrecondition, CodeOutOfRange, CodeUnimplemented, CodeUnauthenticated:
		return true
	default:
		return false
	}
}

// call sends the request and decodes the response. A read is tried at each base
// URL in turn; a write is tried at the next one only if it was not executed.
func (c *client) call(ctx context.Context, kind store.CallKind, path string, request, answer any) error {
	body, err := json.Marshal(request)
	if err != nil {
		return fmt.Errorf("%w: encode request: %w", store.ErrUnavailable, err)
	}
	for range c.urls {
		err = c.callOnce(ctx, path, body, answer)
		var answered *gatewayError
		if err == nil || (errors.As(err, &answered) && answered.rejected()) {
			break
		}
		c.preferred.Add(1)
		if ctx.Err() != nil || (kind.IsWrite() && !errors.Is(err, errNotExecuted)) {
			break
		}
	}
	return classify(kind, err)
}

// classify maps a failure to the errors of package store.
func classify(kind store.CallKind, err error) error {
	if err == nil {
		return nil
	}
	var answered *gatewayError
	if errors.As(err, &answered) && answered.rejected() {
		switch {
		case answered.body.Code == CodeNotFound:
			return fmt.Errorf("%w: %w", store.ErrLeaseLost, err)
		case answered.body.Code == CodeInvalidArgument && strings.Contains(answered.Error(), MessageTooLarge):
			return fmt.Errorf("%w: %w", store.ErrTooLarge, err)
		}
		return fmt.Errorf("%w: %w", store.ErrUnavailable, err)
	}
	if kind.IsWrite() && !errors.Is(err, errNotExecuted) {
		return fmt.Errorf("%w: %w", store.ErrUnknown, err)
	}
	return fmt.Errorf("%w: %w", store.ErrUnavailable, err)
}

func (c *client) callOnce(ctx context.Context, path string, body []byte, answer any) error {
	response, err := c.send(ctx, path, body)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if err := json.NewDecoder(response.Body).Decode(answer); err != nil {
		return errors.Newf("decode answer: %w", err)
	}
	// Read the body to its end so that the connection can be reused.
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return errors.Newf("read answer: %w", err)
	}
	return nil
}

// send posts the body and returns a response with status 200. The caller must
// close its body.
func (c *client) send(ctx context.Context, path string, body []byte) (*http.Response, error) {
	connected := new(atomic.Bool)
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	base := c.urls[c.preferred.Load()%uint64(len(c.urls))]
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost, base+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errNotExecuted, err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		// Nothing was sent if no connection was obtained.
		if !connected.Load() {
			return nil, fmt.Errorf("%w: %w", errNotExecuted, err)
		}
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		defer response.Body.Close()
		failure := &gatewayError{status: response.StatusCode}
		// If the body is not JSON, the code stays zero, which does not count as rejected.
		_ = json.NewDecoder(io.LimitReader(response.Body, maxErrorBytes)).Decode(&failure.body)
		return nil, failure
	}
	return response, nil
}
