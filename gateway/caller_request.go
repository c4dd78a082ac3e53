package gateway

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/waxwingbridge/waxwingbridge/gateway/traffic"
	"github.com/waxwingbridge/waxwingbridge/idempotency"
	"github.com/waxwingbridge/waxwingbridge/outcome"
	"github.com/waxwingbridge/waxwingbridge/routing"
	"github.com/waxwingbridge/waxwingbridge/settings"
)

const (
	// maxBodyBytes limits the bodies of requests, and the size up to which a response
	// is buffered completely before it is passed on.
	maxBodyBytes = 1 << 20
	// maxBufferedBytes limits the total size of the request bodies in memory.
	maxBufferedBytes = 256 << 20
	maxTimeout       = 24 * time.Hour

	poolsPrefix = "/v1/pools/"
)

// refusal is the JSON body of a reply without a response from a target. Header,
// Value and Accepted name the cause if a single value is invalid.
type refusal struct {
	Outcome  string         `json:"outcome"`
	Reason   outcome.Reason `json:"reason"`
	Message  string         `json:"message"`
	Header   string         `json:"header,omitempty"`
	Value    string         `json:"value,omitempty"`
	Accepted string         `json:"accepted,omitempty"`
	Request  string         `json:"request_id"`

	status int
}

func badHeader(name, value, accepted string) *refusal {
	return &refusal{
		Reason: outcome.ReasonBadRequest, Header: name, Value: value, Accepted: accepted, status: http.StatusBadRequest,
		Message: fmt.Sprintf("header %s has the value %q; accepted is %s", name, value, accepted),
	}
}

func badRequest(status int, message string) *refusal {
	return &refusal{Reason: outcome.ReasonBadRequest, Message: message, status: status}
}

// idempotentMethods are idempotent by definition (RFC 9110, section 9.2.2).
var idempotentMethods = map[string]bool{
	http.MethodGet: true, http.MethodHead: true, http.MethodPut: true, http.MethodDelete: true, http.MethodOptions: true,
}

// acceptedMethods excludes CONNECT and TRACE, which are addressed to a proxy
// itself, and extension methods.
var acceptedMethods = map[string]bool{
	http.MethodGet: true, http.MethodHead: true, http.MethodPut: true, http.MethodDelete: true, http.MethodOptions: true,
	http.MethodPost: true, http.MethodPatch: true,
}

// parseSubmission validates a caller's request, reads its body, and converts it to
// a submission.
func parseSubmission(w http.ResponseWriter, r *http.Request, pool string) (*traffic.Submission, *refusal) {
	submission := &traffic.Submission{Pool: pool}
	for _, parse := range []func(*http.Request, *traffic.Submission) *refusal{
		parseMethod, parseTenant, parseClass, parseTimeout, parseIdempotency,
	} {
		if refused := parse(r, submission); refused != nil {
			return nil, refused
		}
	}
	body, refused := readBody(w, r)
	if refused != nil {
		return nil, refused
	}
	headers := endToEndHeaders(r.Header)
	delete(headers, headerContentLength)
	delete(headers, headerIdempotencyKey)
	submission.Message = &traffic.Message{
		Method: r.Method, Path: targetPath(r, pool), Headers: headers, Body: body,
	}
	return submission, nil
}

// targetPath returns the part of the path after the pool, with the escaping and
// the query unchanged.
func targetPath(r *http.Request, pool string) string {
	path := strings.TrimPrefix(r.URL.EscapedPath(), poolsPrefix+pool)
	if path == "" {
		path = "/"
	}
	if r.URL.RawQuery != "" || r.URL.ForceQuery {
		path += "?" + r.URL.RawQuery
	}
	return path
}

func parseMethod(r *http.Request, submission *traffic.Submission) *refusal {
	if !acceptedMethods[r.Method] {
		return badRequest(http.StatusMethodNotAllowed,
			fmt.Sprintf("method %q is not one of GET, HEAD, POST, PUT, PATCH, DELETE, OPTIONS", r.Method))
	}
	submission.Idempotent = idempotentMethods[r.Method]
	return nil
}

// singleHeader returns the value of a header that may occur at most once. A repeated
// header is refused, because intermediaries could disagree on which value applies.
func singleHeader(r *http.Request, name, accepted string) (string, *refusal) {
	values := r.Header[name]
	switch len(values) {
	case 0:
		return "", nil
	case 1:
		return values[0], nil
	default:
		return "", badHeader(name, strings.Join(values, ", "), "one value: "+accepted)
	}
}

func parseTenant(r *http.Request, submission *traffic.Submission) *refusal {
	value, refused := singleHeader(r, headerTenant, settings.NameFormat)
	if refused == nil && !settings.ValidName(value) {
		refused = badHeader(headerTenant, value, settings.NameFormat)
	}
	submission.Tenant = value
	return refused
}

func parseClass(r *http.Request, submission *traffic.Submission) *refusal {
	value, refused := singleHeader(r, headerClass, routing.ClassNames)
	if refused != nil {
		return refused
	}
	submission.Class = routing.Quick
	if value == "" && len(r.Header[headerClass]) == 0 {
		return nil
	}
	class, err := routing.ParseClass(value)
	if err != nil {
		return badHeader(headerClass, value, "one of "+routing.ClassNames)
	}
	submission.Class = class
	return nil
}

func parseTimeout(r *http.Request, submission *traffic.Submission) *refusal {
	accepted := fmt.Sprintf("a whole number of milliseconds from 1 to %d", maxTimeout.Milliseconds())
	value, refused := singleHeader(r, headerTimeout, accepted)
	if refused != nil || len(r.Header[headerTimeout]) == 0 {
		return refused
	}
	milliseconds, err := strconv.ParseUint(value, 10, 32)
	if err != nil || milliseconds < 1 || milliseconds > uint64(maxTimeout.Milliseconds()) {
		return badHeader(headerTimeout, value, accepted)
	}
	submission.Timeout = time.Duration(milliseconds) * time.Millisecond
	return nil
}

func parseIdempotency(r *http.Request, submission *traffic.Submission) *refusal {
	value, refused := singleHeader(r, headerIdempotent, "true, false")
	if refused != nil {
		return refused
	}
	switch value {
	case "true":
		submission.Idempotent = true
	case "", "false":
	default:
		return badHeader(headerIdempotent, value, "true, false")
	}
	accepted := fmt.Sprintf("1 to %d printable ASCII characters without spaces", idempotency.MaxKeyLength)
	key, refused := singleHeader(r, headerIdempotencyKey, accepted)
	if refused == nil && len(r.Header[headerIdempotencyKey]) > 0 && !idempotency.ValidKey(key) {
		refused = badHeader(headerIdempotencyKey, key, accepted)
	}
	submission.Key = key
	return refused
}

func readBody(w http.ResponseWriter, r *http.Request) ([]byte, *refusal) {
	if r.ContentLength > maxBodyBytes {
		return nil, bodyTooLarge()
	}
	if r.ContentLength == 0 {
		return nil, nil
	}
	reader := http.MaxBytesReader(w, r.Body, maxBodyBytes)
	body, err := readAll(reader, r.ContentLength)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, bodyTooLarge()
	case err != nil:
		return nil, badRequest(http.StatusBadRequest, "the body ended early or is malformed")
	}
	return body, nil
}

// readAll reads to the end. A known length avoids growing the buffer.
func readAll(reader io.Reader, length int64) ([]byte, error) {
	if length < 0 {
		return io.ReadAll(reader)
	}
	body := make([]byte, length)
	_, err := io.ReadFull(reader, body)
	return body, err
}

func bodyTooLarge() *refusal {
	return badRequest(http.StatusRequestEntityTooLarge, fmt.Sprintf("the body is larger than %d bytes", maxBodyBytes))
}
