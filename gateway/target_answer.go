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

// readAnswer classifies the answer of a target and reads it to the end or to
// the limit.
func readAnswer(finished *traffic.Finished, response *http.Response, attemptID string, trace *sendTrace) (*traffic.Finished, *streamedAnswer) {
	if ending, ok := refusalEnding(response, attemptID, trace); ok {
		_, _ = io.CopyN(io.Discard, response.Body, maxDiscardedAnswer)
		_ = response.Body.Close()
		finished.Status = ending
		return finished, nil
	}
	if response.Header.Get(headerAttemptID) != attemptID {
		_ = response.Body.Close()
		finished.Status = traffic.ResponseMismatch
		return finished, nil
	}
	if !verifiable(response) {
		_ = response.Body.Close()
		finished.Status = traffic.ResponseTruncated
		return finished, nil
	}
	return readBodyOf(finished, response)
}

// refusalEnding reports whether the target said that it did not run the request.
// A target that refuses a new connection may do so before it reads a request;
// on such a connection the answer can belong to no other one.
func refusalEnding(response *http.Response, attemptID string, trace *sendTrace) (traffic.AttemptStatus, bool) {
	if response.StatusCode != http.StatusServiceUnavailable {
		return 0, false
	}
	echo, refused := response.Header.Get(headerAttemptID), response.Header.Get(headerRefused)
	if echo == "" && refused == refusedConnections && !trace.reused {
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

// verifiable reports whether the end of the answer can be told from a broken
// connection: it has a length, a final chunk, or no body by definition.
func verifiable(response *http.Response) bool {
	return response.ContentLength >= 0 || slices.Contains(response.TransferEncoding, "chunked") ||
		response.Request.Method == http.MethodHead || response.StatusCode == http.StatusNoContent ||
		response.StatusCode == http.StatusNotModified
}

func readBodyOf(finished *traffic.Finished, response *http.Response) (*traffic.Finished, *streamedAnswer) {
	answer := &traffic.Response{StatusCode: response.StatusCode, Headers: endToEnd(response.Header)}
	finished.Response = answer
	body, whole, err := readUpTo(response.Body, response.ContentLength)
	answer.Body = body
	switch {
	case err != nil:
		_ = response.Body.Close()
		finished.Status, finished.Response = traffic.ResponseTruncated, nil
		return finished, nil
	case whole:
		_ = response.Body.Close()
		finished.Status = traffic.ResponseReceived
		return finished, nil
	}
	stream := &streamedAnswer{body: response.Body}
	finished.Status, answer.Stream = traffic.StreamStarted, stream
	return finished, stream
}

// readUpTo reads at most 1 MB and reports whether that was everything.
func readUpTo(body io.Reader, length int64) ([]byte, bool, error) {
	if length >= 0 && length <= maxBody {
		content, err := readAll(body, length)
		return content, true, err
	}
	content, err := io.ReadAll(io.LimitReader(body, maxBody+1))
	return content, len(content) <= maxBody, err
}

// streamedAnswer is the rest of a large answer. Closing it ends the attempt.
type streamedAnswer struct {
	body     io.ReadCloser
	once     sync.Once
	cutShort bool // by the target, not by an abort; written by Read, which never runs beside Close
	onEnd    func(traffic.AttemptStatus)
}

// Read returns io.ErrUnexpectedEOF when the target truncates the answer.
func (s *streamedAnswer) Read(p []byte) (int, error) {
	n, err := s.body.Read(p)
	if err != nil && err != io.EOF && !errors.Is(err, context.Canceled) { //nolint:errorlint // Read returns io.EOF itself
		s.cutShort = true
	}
	return n, err
}

// Close reports the end of the attempt.
func (s *streamedAnswer) Close() error {
	err := s.body.Close()
	s.once.Do(func() {
		if s.cutShort {
			s.onEnd(traffic.ResponseTruncated)
			return
		}
		s.onEnd(traffic.StreamEnded)
	})
	return err
}
