package gateway

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
)

// Guards against invalid headers that are ignored or replaced by a default, against
// refusals that do not name the header, the value and the accepted range, and against
// invalid requests that reach a target.
func TestMalformedHeadersAreRefused(t *testing.T) {
	target := newTestTarget(t, nil)
	_, url := startProxy(t, ProxyConfig{}, testSnapshot(target.address()))
	const milliseconds, key, tenant = "1 to 86400000", "printable ASCII", "1 to 32 characters"
	for _, test := range []struct{ header, value, accepted string }{
		{headerTenant, "", tenant},
		{headerTenant, "A", tenant},
		{headerTenant, strings.Repeat("a", 33), tenant},
		{headerClass, "", "urgent"},
		{headerClass, "fast", "urgent"},
		{headerTimeout, "", milliseconds},
		{headerTimeout, "-1", milliseconds},
		{headerTimeout, "0", milliseconds},
		{headerTimeout, "1.5", milliseconds},
		{headerTimeout, "86400001", milliseconds},
		{headerTimeout, "18446744073709551617", milliseconds},
		{headerIdempotent, "yes", "true, false"},
		{headerIdempotencyKey, "", key},
		{headerIdempotencyKey, "two words", key},
		{headerIdempotencyKey, "caf\u00e9", key},
		{headerIdempotencyKey, strings.Repeat("k", 4096), key},
	} {
		t.Run(test.header+"="+test.value[:min(len(test.value), 20)], func(t *testing.T) {
			request, err := http.NewRequest(http.MethodPost, url+"/v1/pools/orders/x", strings.NewReader("body"))
			if err != nil {
				t.Fatal(err)
			}
			request.Header[headerTenant] = []string{"acme"}
			request.Header[test.header] = []string{test.value}
			got := do(t, request)
			wantOutcome(t, got, http.StatusBadRequest, "not-run", "bad-request")
			var body refusal
			if err := json.Unmarshal([]byte(got.body), &body); err != nil {
				t.Fatalf("%v in %q", err, got.body)
			}
			if body.Header != test.header || !strings.Contains(body.Accepted, test.accepted) || !strings.Contains(body.Message, test.header) {
				t.Errorf("body %+v", body)
			}
		})
	}
	for _, name := range []string{headerTenant, headerClass, headerTimeout, headerIdempotencyKey} {
		got := call(t, http.MethodPost, url+"/v1/pools/orders/x", "", name+": a", name+": b")
		wantOutcome(t, got, http.StatusBadRequest, "not-run", "bad-request")
	}
	if n := target.executions.Load(); n != 0 {
		t.Errorf("%d invalid requests reached the target", n)
	}
}

// Guards against a body above the limit that is truncated or forwarded, with a
// declared length and with chunked encoding.
func TestOversizedBodiesAreRefused(t *testing.T) {
	target := newTestTarget(t, nil)
	_, url := startProxy(t, ProxyConfig{}, testSnapshot(target.address()))
	for _, chunked := range []bool{false, true} {
		request, err := http.NewRequest(http.MethodPost, url+"/v1/pools/orders/x", strings.NewReader(strings.Repeat("x", maxBodyBytes+1)))
		if err != nil {
			t.Fatal(err)
		}
		if chunked {
			request.ContentLength = -1
		}
		request.Header.Set(headerTenant, "acme")
		got := do(t, request)
		wantOutcome(t, got, http.StatusRequestEntityTooLarge, "not-run", "bad-request")
		if !strings.Contains(got.body, "1048576") {
			t.Errorf("body %q does not name the limit", got.body)
		}
	}
	if n := target.executions.Load(); n != 0 {
		t.Errorf("%d oversized requests reached the target", n)
	}
}
