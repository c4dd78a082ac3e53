package gateway

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/waxwingbridge/waxwingbridge/gateway/traffic"
	"github.com/waxwingbridge/waxwingbridge/policy"
)

const testSeed = 20261204

// testTarget is a target on loopback that counts executions. Its handler may be nil.
type testTarget struct {
	*httptest.Server
	executions atomic.Int64
}

func newTestTarget(t testing.TB, handle http.HandlerFunc) *testTarget {
	t.Helper()
	target := &testTarget{}
	target.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		target.executions.Add(1)
		w.Header().Set(headerAttemptID, r.Header.Get(headerAttemptID))
		if handle == nil {
			_, _ = io.WriteString(w, "hello")
			return
		}
		handle(w, r)
	}))
	t.Cleanup(target.Close)
	return target
}

func (t *testTarget) address() string { return strings.TrimPrefix(t.URL, "http://") }

// testSnapshot returns a snapshot with the addresses as targets of the pool "orders".
func testSnapshot(addresses ...string) *traffic.Snapshot {
	doc := policy.Example("orders", "spare")
	snapshot := &traffic.Snapshot{
		Version: 1, Policy: policy.Resolve(&doc, time.Now()), FreshUntil: time.Now().Add(time.Hour),
		LiveGateways: 1, AvailabilityZone: "a",
	}
	for _, address := range addresses {
		snapshot.Targets = append(snapshot.Targets, traffic.Target{
			Worker: "worker-" + address, Pool: "orders", Address: address, AvailabilityZone: "a", Usable: true, ServiceEpoch: 1,
		})
	}
	return snapshot
}

// startProxy runs a proxy with its front end on loopback.
func startProxy(t testing.TB, config ProxyConfig, snapshot *traffic.Snapshot) (*Proxy, string) {
	t.Helper()
	if config.Incarnation == "" {
		config.Incarnation = "gw1"
	}
	config.Seed = testSeed
	proxy := NewProxy(config)
	proxy.Start()
	if snapshot != nil {
		proxy.Publish(snapshot)
	}
	server := httptest.NewUnstartedServer(nil)
	server.Config = NewCallerServer(proxy.Handler())
	server.Start()
	t.Cleanup(func() {
		proxy.Stop()
		server.Close()
	})
	return proxy, server.URL
}

// callerResponse is the response that a caller received.
type callerResponse struct {
	status int
	header http.Header
	body   string
}

// call sends a request with the given headers ("Name: value").
func call(t testing.TB, method, url, body string, headers ...string) callerResponse {
	t.Helper()
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set(headerTenant, "acme")
	for _, header := range headers {
		name, value, _ := strings.Cut(header, ": ")
		request.Header[name] = append(request.Header[name], value)
	}
	return do(t, request)
}

// do sends a request and reads the complete response.
func do(t testing.TB, request *http.Request) callerResponse {
	t.Helper()
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return callerResponse{status: response.StatusCode, header: response.Header, body: string(content)}
}

func wantOutcome(t testing.TB, got callerResponse, status int, kind, reason string) {
	t.Helper()
	gotKind, gotReason := got.header.Get(headerOutcome), got.header.Get(headerReason)
	if got.status != status || gotKind != kind || gotReason != reason {
		t.Fatalf("response is %d %s %s, want %d %s %s", got.status, gotKind, gotReason, status, kind, reason)
	}
}
