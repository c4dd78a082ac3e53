package target

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
)

type fixture struct {
	*Group
	t      *testing.T
	ctx    context.Context
	client *http.Client
}

func start(t *testing.T, options Options) *fixture {
	t.Helper()
	options.Targets = []Spec{{Worker: "w001"}}
	group, err := Start(options)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	f := &fixture{Group: group, t: t, ctx: ctx, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}}}
	t.Cleanup(func() {
		f.client.CloseIdleConnections()
		cancel()
		group.Close()
		goleak.VerifyNone(t)
	})
	return f
}

type received struct {
	status  int
	refused string
	attempt string
	body    []byte
	err     error
}

func (f *fixture) send(query, requestID string) received {
	request, err := http.NewRequestWithContext(f.ctx, http.MethodPost, "http://"+f.Address("w001")+"/order?"+query, strings.NewReader("coal"))
	if err != nil {
		return received{err: err}
	}
	request.Header.Set(HeaderRequestID, requestID)
	request.Header.Set(HeaderAttemptID, "a-"+requestID)
	request.Header.Set(HeaderIdempotencyKey, "k-"+requestID)
	response, err := f.client.Do(request)
	if err != nil {
		return received{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	header := response.Header
	return received{response.StatusCode, header.Get(HeaderRefused), header.Get(HeaderAttemptID), body, err}
}

func (f *fixture) status() Status {
	statuses, err := f.Status(f.ctx)
	if err != nil || len(statuses) != 1 {
		f.t.Fatalf("Status = %v, %v", statuses, err)
	}
	return statuses[0]
}

func (f *fixture) await(what string, condition func(Status) bool) {
	f.t.Helper()
	for !condition(f.status()) {
		if f.ctx.Err() != nil {
			f.t.Fatalf("timed out waiting for %s: %+v", what, f.status())
		}
		time.Sleep(2 * time.Millisecond)
	}
}

func (f *fixture) must(err error) {
	f.t.Helper()
	if err != nil {
		f.t.Fatal(err)
	}
}

// Guards against refusals that are counted as executions, and executions that
// are counted as refusals.
func TestRefusesBeyondSlotsAndWhileDraining(t *testing.T) {
	f := start(t, Options{Slots: 2})
	var first sync.WaitGroup
	for _, id := range []string{"r1", "r2"} {
		first.Go(func() {
			if got := f.send("ms=2000", id); got.status != http.StatusOK || got.attempt != "a-"+id {
				t.Errorf("%s: %+v", id, got)
			}
		})
	}
	f.await("full target", func(s Status) bool { return s.InFlight == 2 })
	if got := f.send("", "r3"); got.status != http.StatusServiceUnavailable || got.refused != RefusedFull {
		t.Errorf("third request: %+v", got)
	}
	f.must(f.SetDraining(f.ctx, "w001", true))
	if got := f.send("", "r4"); got.refused != RefusedDraining {
		t.Errorf("request to a draining target: %+v", got)
	}
	first.Wait()
	f.await("empty target", func(s Status) bool { return s.InFlight == 0 })
	f.must(f.SetDraining(f.ctx, "w001", false))
	got := f.send("size=5", "r1")
	var answer EchoResponse
	f.must(json.Unmarshal(got.body, &answer))
	if answer.RequestID != "r1" || string(answer.Body) != "coal" || answer.Padding != "xxxxx" || answer.URI != "/order?size=5" {
		t.Errorf("echo response %+v", answer)
	}
	executions, err := f.Executions(f.ctx, 0)
	f.must(err)
	if len(executions.Requests) != 2 || executions.Requests["r1"] != 2 || executions.Keys["k-r2"] != 1 {
		t.Errorf("executions %+v", executions)
	}
	if s := f.status(); s.Refused != 2 || s.Executed != 3 || s.HighestInFlight != 2 {
		t.Errorf("status %+v", s)
	}
}

// Guards against an injected fault that has no effect.
func TestFaults(t *testing.T) {
	f := start(t, Options{})
	f.must(f.SetFaults(f.ctx, "", Faults{FailFast: true}))
	if got := f.send("", "r1"); got.status != http.StatusInternalServerError {
		t.Errorf("failing target: %+v", got)
	}
	f.must(f.SetFaults(f.ctx, "w001", Faults{TruncateResponse: true}))
	if got := f.send("size=1000", "r2"); got.err == nil || len(got.body) == 0 {
		t.Errorf("truncated response: %d bytes, error %v", len(got.body), got.err)
	}
	f.must(f.SetFaults(f.ctx, "w001", Faults{WrongAttemptID: true}))
	if got := f.send("", "r3"); got.status != http.StatusOK || got.attempt == "a-r3" {
		t.Errorf("response with a wrong attempt ID: %+v", got)
	}
	f.must(f.SetFaults(f.ctx, "w001", Faults{NeverRespond: true}))
	ctx, cancel := context.WithTimeout(f.ctx, 500*time.Millisecond)
	defer cancel()
	whole := f.ctx
	f.ctx = ctx
	got := f.send("", "r4")
	f.ctx = whole
	if got.err == nil {
		t.Errorf("target that never responds: %+v", got)
	}
	f.await("released slot", func(s Status) bool { return s.InFlight == 0 && s.Executed == 4 })
}

// Guards against a stopped target that still accepts connections, comes back on
// another port, or does not count the requests that it aborted.
func TestDownCutsConnectionsAndReturnsOnSamePort(t *testing.T) {
	f := start(t, Options{})
	address := f.Address("w001")
	cut := make(chan received, 1)
	go func() { cut <- f.send("ms=60000", "r1") }()
	f.await("request in flight", func(s Status) bool { return s.InFlight == 1 })
	f.must(f.SetDown(f.ctx, "w001", true))
	if got := <-cut; got.err == nil {
		t.Errorf("request during the stop: %+v", got)
	}
	if connection, err := net.Dial("tcp", address); err == nil {
		connection.Close()
		t.Error("stopped target accepts connections")
	}
	f.must(f.SetDown(f.ctx, "w001", false))
	if got := f.send("", "r2"); got.status != http.StatusOK || f.Address("w001") != address {
		t.Errorf("after the restart: %+v at %s", got, f.Address("w001"))
	}
	// The target releases a slot only after the response has left the process, so
	// the client may have the response before the slot is free.
	f.await("released slots", func(s Status) bool { return s.InFlight == 0 })
	if s := f.status(); s.Aborted != 1 || s.InFlight != 0 {
		t.Errorf("status %+v", s)
	}
}

// Guards against a connection limit that is not enforced, and against a
// connection count that is not decremented when connections close.
func TestConnectionLimit(t *testing.T) {
	f := start(t, Options{Connections: 1})
	busy := make(chan received, 1)
	go func() { busy <- f.send("ms=2000", "r1") }()
	f.await("request in flight", func(s Status) bool { return s.InFlight == 1 })
	if got := f.send("", "r2"); got.refused != RefusedConnections {
		t.Errorf("second connection: %+v", got)
	}
	if got := <-busy; got.status != http.StatusOK {
		t.Errorf("first connection: %+v", got)
	}
	f.client.CloseIdleConnections()
	f.await("closed connections", func(s Status) bool { return s.Connections == 0 })
}

// Guards against administration endpoints that do not match the Go methods.
func TestAdminOverHTTP(t *testing.T) {
	f := start(t, Options{})
	call := func(method, path, body string, answer any) {
		request, err := http.NewRequestWithContext(f.ctx, method, "http://"+f.Address("w001")+path, strings.NewReader(body))
		f.must(err)
		response, err := f.client.Do(request)
		f.must(err)
		defer response.Body.Close()
		if response.StatusCode != http.StatusOK {
			t.Errorf("%s %s: status %d", method, path, response.StatusCode)
		}
		f.must(json.NewDecoder(response.Body).Decode(answer))
	}
	f.send("", "r1")
	call(http.MethodPut, PathFaults, `{"slow_ms":1}`, &FaultRequest{})
	call(http.MethodPost, PathControl, `{"worker":"w001","draining":true}`, &ControlRequest{})
	var statuses []Status
	call(http.MethodGet, PathStatus, "", &statuses)
	if len(statuses) != 1 || statuses[0].SlowMS != 1 || !statuses[0].Draining {
		t.Errorf("status %+v", statuses)
	}
	var executions Executions
	call(http.MethodGet, PathExecutions+"?at_least=2", "", &executions)
	if len(executions.Requests) != 0 {
		t.Errorf("executions at least twice: %+v", executions)
	}
}
