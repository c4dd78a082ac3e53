package gateway

import (
	"net/http"
	"testing"
)

// Guards against a request path that is not connected from end to end.
func TestRequestReachesTargetAndAnswerReturns(t *testing.T) {
	target := newTestTarget(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Path", r.URL.RequestURI())
		w.WriteHeader(http.StatusCreated)
	})
	url := startTraffic(t, TrafficConfig{}, testSnapshot(target.address()))
	got := call(t, http.MethodPost, url+"/v1/pools/orders/a%2Fb/c?x=1", "body")
	wantOutcome(t, got, http.StatusCreated, "completed", "")
	if path := got.header.Get("X-Path"); path != "/a%2Fb/c?x=1" {
		t.Errorf("target saw the path %q", path)
	}
	if got.header.Get(headerRequestID) == "" {
		t.Error("answer has no request ID")
	}
}
