package gateway

import (
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
)

// Headers of requests and responses exchanged with callers and targets.
const (
	headerPrefix         = "Waxwing-"
	headerTenant         = "Waxwing-Tenant"
	headerClass          = "Waxwing-Class"
	headerTimeout        = "Waxwing-Timeout"
	headerIdempotent     = "Waxwing-Idempotent"
	headerOutcome        = "Waxwing-Outcome"
	headerReason         = "Waxwing-Reason"
	headerRequestID      = "Waxwing-Request-Id"
	headerReplayed       = "Waxwing-Replayed"
	headerAttemptID      = "Waxwing-Attempt-Id"
	headerDeadline       = "Waxwing-Deadline-Ms"
	headerRefused        = "Waxwing-Refused"
	headerIdempotencyKey = "Idempotency-Key"
	headerContentLength  = "Content-Length"
	headerContentType    = "Content-Type"
)

// hopByHopHeaders lists the headers that apply to a single connection (RFC 9110,
// section 7.6.1). The body is framed separately on each connection.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Proxy-Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Expect": true,
}

// endToEndHeaders copies the headers that a gateway forwards. It omits hop-by-hop
// headers, those that Connection names, and headers of this system, which callers or
// targets could otherwise forge.
func endToEndHeaders(headers http.Header) map[string][]string {
	named := connectionHeaders(headers)
	passed := make(map[string][]string, len(headers)+4)
	for name, values := range headers {
		if hopByHopHeaders[name] || strings.HasPrefix(name, headerPrefix) || named[name] {
			continue
		}
		passed[name] = values
	}
	return passed
}

func connectionHeaders(headers http.Header) map[string]bool {
	values := headers["Connection"]
	if len(values) == 0 {
		return nil
	}
	named := map[string]bool{}
	for _, value := range values {
		for name := range strings.SplitSeq(value, ",") {
			named[textproto.CanonicalMIMEHeaderKey(textproto.TrimString(name))] = true
		}
	}
	return named
}

func appendHex(text []byte, value uint64) []byte { return strconv.AppendUint(text, value, 16) }
