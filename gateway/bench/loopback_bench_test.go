package bench

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/waxwingbridge/waxwingbridge/gateway"
	"github.com/waxwingbridge/waxwingbridge/gateway/traffic"
	"github.com/waxwingbridge/waxwingbridge/policy"
)

const (
	loopbackClients  = 32
	loopbackRequests = 4000 // per round and variant
	loopbackRounds   = 4
)

// bareForwarder is the baseline: it forwards a request without admission, queueing,
// target selection or checks of the response.
func bareForwarder(address string) http.Handler {
	transport := &http.Transport{MaxIdleConnsPerHost: loopbackClients, DisableCompression: true}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		request, _ := http.NewRequestWithContext(r.Context(), r.Method, "http://"+address+r.URL.RequestURI(), strings.NewReader(string(body)))
		request.Header = r.Header.Clone()
		response, err := transport.RoundTrip(request)
		if err != nil {
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		defer response.Body.Close()
		for name, values := range response.Header {
			w.Header()[name] = values
		}
		w.WriteHeader(response.StatusCode)
		_, _ = io.Copy(w, response.Body)
	})
}

// BenchmarkLoopback reports the throughput of the gateway relative to the bare
// forwarder. The two run alternately against the same target, so that other load on
// the machine affects both.
func BenchmarkLoopback(b *testing.B) {
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Waxwing-Attempt-Id", r.Header.Get("Waxwing-Attempt-Id"))
		_, _ = io.WriteString(w, "order accepted")
	}))
	defer target.Close()
	address := strings.TrimPrefix(target.URL, "http://")
	bare := httptest.NewServer(bareForwarder(address))
	defer bare.Close()
	proxy := gateway.NewProxy(gateway.ProxyConfig{Incarnation: "gw1", Shards: 2})
	proxy.Start()
	defer proxy.Stop()
	proxy.Publish(loopbackSnapshot(address))
	front := httptest.NewServer(proxy.Handler())
	defer front.Close()
	var gatewayTime, bareTime time.Duration
	for range b.N {
		for range loopbackRounds {
			bareTime += runClients(b, bare.URL+"/v1/pools/orders/a")
			gatewayTime += runClients(b, front.URL+"/v1/pools/orders/a")
		}
	}
	b.ReportMetric(float64(bareTime)/float64(gatewayTime), "gateway/bare")
	b.ReportMetric(float64(b.N*loopbackRounds*loopbackRequests)/gatewayTime.Seconds(), "gateway-req/s")
	b.ReportMetric(float64(b.N*loopbackRounds*loopbackRequests)/bareTime.Seconds(), "bare-req/s")
}

func loopbackSnapshot(address string) *traffic.Snapshot {
	doc := policy.Example("orders", "spare")
	doc.Defaults.Tenant.RequestsPerSecond, doc.Defaults.Tenant.Burst = 1e6, 1e6
	doc.Defaults.Pool.SlotsPerTarget = 64
	return &traffic.Snapshot{
		Version: 1, Policy: policy.Resolve(&doc, time.Now()), FreshUntil: time.Now().Add(time.Hour), LiveGateways: 1,
		Targets: []traffic.Target{{Worker: "w", Pool: "orders", Address: address, Usable: true, ServiceEpoch: 1}},
	}
}

// runClients sends the requests of a round and returns the elapsed time.
func runClients(b *testing.B, url string) time.Duration {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: loopbackClients}}
	defer client.CloseIdleConnections()
	var remaining, failed atomic.Int64
	remaining.Store(loopbackRequests)
	var clients sync.WaitGroup
	started := time.Now()
	for range loopbackClients {
		clients.Go(func() {
			for remaining.Add(-1) >= 0 {
				if !post(client, url) {
					failed.Add(1)
				}
			}
		})
	}
	clients.Wait()
	elapsed := time.Since(started)
	if n := failed.Load(); n > 0 {
		b.Errorf("%d of %d requests failed", n, loopbackRequests)
	}
	return elapsed
}

func post(client *http.Client, url string) bool {
	request, _ := http.NewRequest(http.MethodPost, url, strings.NewReader(`{"order": "coal", "sacks": 12}`))
	request.Header.Set("Waxwing-Tenant", "acme")
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return err == nil && response.StatusCode == http.StatusOK
}
