package gateway

import (
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
)

// Headers of the interface towards callers and targets.
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

// hopByHop lists the headers that describe one connection only (RFC 9110,
// section 7.6.1). The body is framed anew on each side.
var hopByHop = map[string]bool{
	"Connection": true, "Proxy-Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Expect": true,
}

// endToEnd copies the headers that pass a gateway: neither hop-by-hop headers,
// nor those that Connection names, nor headers of this system, which either
// side could otherwise forge.
func endToEnd(headers http.Header) map[string][]string {
	named := connectionHeaders(headers)
	passed := make(map[string][]string, len(headers)+4)
	for name, values := range headers {
		if hopByHop[name] || strings.HasPrefix(name, headerPrefix) || named[name] {
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
