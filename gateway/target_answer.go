package gateway

import (
	"context"
	"io"
	"net/http"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/waxwingbridge/waxwingbridge/gateway/traffic"
)

// Values of Waxwing-Refused.
const (
	refusedFull        = "full"
	refusedDraining    = "draining"
	refusedConnections = "connections"
)

// readResponse classifies the response of a target and reads its body to the end or
// to maxBodyBytes.
func readResponse(finished *traffic.Finished, response *http.Response, attemptID string, trace *connTrace) (*traffic.Finished, *responseStream) {
	if status, ok := refusalStatus(response, attemptID, trace); ok {
		_, _ = io.CopyN(io.Discard, response.Body, maxDiscardedBytes)
		_ = response.Body.Close()
		finished.Status = status
		return finished, nil
	}
	if response.Header.Get(headerAttemptID) != attemptID {
		_ = response.Body.Close()
		finished.Status = traffic.ResponseMismatch
		return finished, nil
	}
	if !hasVerifiableEnd(response) {
		_ = response.Body.Close()
		finished.Status = traffic.ResponseTruncated
		return finished, nil
	}
	return readResponseBody(finished, response)
}

// refusalStatus reports whether the response states that the target did not run the
// request. A target that refuses a new connection may respond without the attempt
// ID, before it reads the request. On a new connection the response cannot belong to
// another request.
func refusalStatus(response *http.Response, attemptID string, trace *connTrace) (traffic.AttemptStatus, bool) {
	if response.StatusCode != http.StatusServiceUnavailable {
		return 0, false
	}
	echo, refused := response.Header.Get(headerAttemptID), response.Header.Get(headerRefused)
	if echo == "" && refused == refusedConnections && !trace.connReused {
		return traffic.RefusedConnections, true
	}
	if echo != attemptID {
		return 0, false
	}
	switch refused {
	case refusedFull:
		return traffic.RefusedFull, true
	case refusedDraining:
		return traffic.RefusedDraining, true
	case refusedConnections:
		return traffic.RefusedConnections, true
	default:
		return 0, false
	}
}

// hasVerifiableEnd reports whether the end of the response can be distinguished from
// a broken connection: it has a length, a final chunk, or no body by definition.
func hasVerifiableEnd(response *http.Response) bool {
	return response.ContentLength >= 0 || slices.Contains(response.TransferEncoding, "chunked") ||
		response.Request.Method == http.MethodHead || response.StatusCode == http.StatusNoContent ||
		response.StatusCode == http.StatusNotModified
}

func readResponseBody(finished *traffic.Finished, response *http.Response) (*traffic.Finished, *responseStream) {
	result := &traffic.Response{StatusCode: response.StatusCode, Headers: endToEndHeaders(response.Header)}
	finished.Response = result
	body, complete, err := readBounded(response.Body, response.ContentLength)
	result.Body = body
	switch {
	case err != nil:
		_ = response.Body.Close()
		finished.Status, finished.Response = traffic.ResponseTruncated, nil
		return finished, nil
	case complete:
		_ = response.Body.Close()
		finished.Status = traffic.ResponseReceived
		return finished, nil
	}
	stream := &responseStream{body: response.Body}
	finished.Status, result.Stream = traffic.StreamStarted, stream
	return finished, stream
}

// readBounded reads the body and reports whether it is complete. Of a body larger
// than 1 MB it reads only the first part.
func readBounded(body io.Reader, length int64) ([]byte, bool, error) {
	if length >= 0 && length <= maxBodyBytes {
		content, err := readAll(body, length)
		return content, true, err
	}
	content, err := io.ReadAll(io.LimitReader(body, maxBodyBytes+1))
	return content, len(content) <= maxBodyBytes, err
}

// responseStream is the rest of a large response body. Closing it ends the attempt.
type responseStream struct {
	body      io.ReadCloser
	once      sync.Once
	truncated bool // by the target, not by an abort; written by Read, which never runs concurrently with Close
	onEnd     func(traffic.AttemptStatus)
}

// Read returns io.ErrUnexpectedEOF when the target truncates the response.
func (s *responseStream) Read(p []byte) (int, error) {
	n, err := s.body.Read(p)
	if err != nil && err != io.EOF && !errors.Is(err, context.Canceled) { //nolint:errorlint // Read returns io.EOF itself
		s.truncated = true
	}
	return n, err
}

// Close closes the body and reports the end of the attempt.
func (s *responseStream) Close() error {
	err := s.body.Close()
	s.once.Do(func() {
		if s.truncated {
			s.onEnd(traffic.ResponseTruncated)
			return
		}
		s.onEnd(traffic.StreamEnded)
	})
	return err
}
