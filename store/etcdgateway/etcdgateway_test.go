package etcdgateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/waxwingbridge/waxwingbridge/store"
)

// Guards against reporting a write as not executed although the service may have
// executed it, and against an unknown result where the service rejected the write.
func TestErrorsOfWritesAndReads(t *testing.T) {
	cases := []struct {
		status, code int
		message      string
		write, read  error
	}{
		{http.StatusServiceUnavailable, CodeUnavailable, "etcdserver: request timed out", store.ErrUnknown, store.ErrUnavailable},
		{http.StatusBadGateway, 0, "", store.ErrUnknown, store.ErrUnavailable},
		{http.StatusTooManyRequests, CodeResourceExhausted, "etcdserver: too many requests", store.ErrUnavailable, store.ErrUnavailable},
		{http.StatusNotFound, CodeNotFound, "etcdserver: requested lease not found", store.ErrLeaseLost, store.ErrLeaseLost},
		{http.StatusBadRequest, CodeInvalidArgument, MessageTooLarge, store.ErrTooLarge, store.ErrTooLarge},
	}
	for _, c := range cases {
		calls := 0
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			calls++
			w.WriteHeader(c.status)
			fmt.Fprintf(w, `{"code":%d,"message":%q}`, c.code, c.message)
		}))
		s, err := New(server.URL, server.URL)
		if err != nil {
			t.Fatal(err)
		}
		ctx := context.Background()
		if _, err := s.CompareAndSwap(ctx, store.Put{Key: "a", WriteID: "w"}); !errors.Is(err, c.write) || calls != 1 {
			t.Errorf("status %d, code %d: write returned %v after %d calls, want %v after one", c.status, c.code, err, calls, c.write)
		}
		if _, err := s.Get(ctx, "a"); !errors.Is(err, c.read) {
			t.Errorf("status %d, code %d: read returned %v, want %v", c.status, c.code, err, c.read)
		}
		s.Close()
		server.Close()
	}
}

// Guards against decoding data of another program as an envelope, and against a
// write ID that exceeds the length field.
func TestEnvelope(t *testing.T) {
	for _, data := range []string{"", "x", "\x00wb\x01", "\x00wb\x01\x05"} {
		if id, got := decodeEnvelope(encodeEnvelope("w1", []byte(data))); id != "w1" || string(got) != data {
			t.Errorf("open(seal(%q)) = %q, %q", data, id, got)
		}
		if id, got := decodeEnvelope([]byte(data)); id != "" || string(got) != data {
			t.Errorf("value %q of another program decoded as write ID %q, data %q", data, id, got)
		}
	}
	s, err := New("http://127.0.0.1:1")
	if err != nil {
		t.Fatal(err)
	}
	long := store.Put{Key: "a", WriteID: strings.Repeat("w", maxWriteIDBytes+1)}
	if _, err := s.CompareAndSwap(context.Background(), long); !errors.Is(err, store.ErrTooLarge) {
		t.Errorf("write ID above the maximum length: %v, want too large", err)
	}
}

// Guards against a range that omits the last keys of a prefix.
func TestPrefixEnd(t *testing.T) {
	for prefix, want := range map[string]string{"a/": "a0", "a\xff": "b", "\xff": "\x00"} {
		if got := string(PrefixEnd([]byte(prefix))); got != want {
			t.Errorf("PrefixEnd(%q) = %q, want %q", prefix, got, want)
		}
	}
}
