package test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"github.com/waxwingbridge/waxwingbridge/invariant"
	"github.com/waxwingbridge/waxwingbridge/outcome"
	"github.com/waxwingbridge/waxwingbridge/standin/target"
	"github.com/waxwingbridge/waxwingbridge/store"
)

const (
	callerPause = 20 * time.Millisecond
	callLimit   = 20 * time.Second // client-side limit of one call, longer than callTimeout
	callTimeout = "5000"           // milliseconds, requested of the gateway
	maxTries    = 6
)

// request is a request of a caller. Retries repeat it in further calls.
type request struct {
	method, pool, path, key, body string
	idempotent                    bool
}

// callResult is the outcome of one call.
type callResult struct {
	invariant.Answered
	status int
}

// outcomeCounts counts calls by outcome.
type outcomeCounts struct{ completed, notRun, unknown atomic.Int64 }

func (t *outcomeCounts) add(kind outcome.Kind) {
	switch kind {
	case outcome.Completed:
		t.completed.Add(1)
	case outcome.NotRun:
		t.notRun.Add(1)
	default:
		t.unknown.Add(1)
	}
}

// callers is a load generator: it sends requests of all kinds to all gateways until
// it is stopped.
type callers struct {
	site       *site
	pools      []string
	outcomes   outcomeCounts
	stop       context.CancelFunc
	goroutines sync.WaitGroup

	mu      sync.Mutex
	reasons map[outcome.Reason]int
	workers map[string]int // completed requests by worker
}

func (s *site) startCallers(number int, pools ...string) *callers {
	ctx, cancel := context.WithCancel(context.Background())
	c := &callers{site: s, pools: pools, stop: cancel, reasons: map[outcome.Reason]int{}, workers: map[string]int{}}
	for i := range number {
		c.goroutines.Go(func() { c.runCaller(ctx, i) })
	}
	s.t.Cleanup(c.stopAndWait)
	return c
}

// stopAndWait stops the callers and waits until their last calls have ended.
func (c *callers) stopAndWait() {
	c.stop()
	c.goroutines.Wait()
}

func (c *callers) record(got callResult) {
	c.outcomes.add(got.Outcome.Kind)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reasons[got.Outcome.Reason]++
	if got.Outcome.Kind == outcome.Completed {
		c.workers[got.Worker]++
	}
}

// completedBy returns how many requests the worker completed.
func (c *callers) completedBy(worker string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.workers[worker]
}

// waitCompleted waits until the given number of further requests has completed.
func (c *callers) waitCompleted(number int64) {
	c.site.t.Helper()
	before := c.outcomes.completed.Load()
	c.site.eventually(readyLimit, "the callers' requests complete", func() bool { return c.outcomes.completed.Load() >= before+number })
}

// unexpectedUnknown returns the number of unknown outcomes, except those of UUIDv7
// keys that may have been used before their present home took over.
func (c *callers) unexpectedUnknown() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return int(c.outcomes.unknown.Load()) - c.reasons[outcome.ReasonBeforeTakeover]
}

// summary describes the outcomes for the test log.
func (c *callers) summary() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return fmt.Sprintf("%d completed, %d not run, %d unknown, %v",
		c.outcomes.completed.Load(), c.outcomes.notRun.Load(), c.outcomes.unknown.Load(), c.reasons)
}

func (c *callers) runCaller(ctx context.Context, number int) {
	random := rand.New(rand.NewPCG(trafficSeed, uint64(number)))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}, Timeout: callLimit}
	defer client.CloseIdleConnections()
	for sequence := 0; ctx.Err() == nil; sequence++ {
		next := c.nextRequest(random, fmt.Sprintf("%d-%d", number, sequence))
		first := random.IntN(len(c.site.gateways))
		for try := range maxTries {
			got := c.site.send(client, c.site.gateways[(first+try)%len(c.site.gateways)], next)
			c.record(got)
			if !mayRetry(next, got) || store.Sleep(ctx, callerPause) != nil {
				break
			}
		}
		if store.Sleep(ctx, callerPause) != nil {
			return
		}
	}
}

// nextRequest picks a request at random: a GET, an idempotent POST, or a
// non-idempotent POST without an idempotency key, with a UUIDv7 key or with a key
// that a gateway issued.
func (c *callers) nextRequest(random *rand.Rand, name string) request {
	r := request{
		method: http.MethodPost, pool: c.pools[random.IntN(len(c.pools))], body: "order " + name,
		path: fmt.Sprintf("/op/%s?ms=%d", name, 1+random.IntN(15)),
	}
	switch random.IntN(5) {
	case 0:
		r.method, r.body, r.idempotent = http.MethodGet, "", true
	case 1:
		r.idempotent = true
	case 2:
		r.key = uuid.Must(uuid.NewV7()).String()
	case 3:
		r.key = c.site.issueKey(c.site.gateways[random.IntN(len(c.site.gateways))])
	}
	return r
}

// issueKey returns an idempotency key issued by the gateway, or an empty string if
// the call fails.
func (s *site) issueKey(gateway *member) string {
	var issued struct{ Keys []string }
	if s.call(http.MethodPost, gateway.public+"/v1/keys", map[string]int{"count": 1}, &issued) != nil {
		return ""
	}
	return issued.Keys[0]
}

// mayRetry reports whether a caller can safely repeat a call that did not complete:
// always if the request is idempotent or carries a key, otherwise only if the
// outcome says that it was not run.
func mayRetry(wanted request, got callResult) bool {
	if got.Outcome.Kind == outcome.Completed {
		return false
	}
	return wanted.idempotent || wanted.key != "" || got.Outcome.Kind == outcome.NotRun
}

// send makes one call and reports its outcome to the invariant checker.
func (s *site) send(client *http.Client, gateway *member, wanted request) callResult {
	got := s.roundTrip(client, gateway, wanted)
	got.Key, got.Idempotent, got.Pool = wanted.key, wanted.idempotent, wanted.pool
	s.observer.post(got.Answered)
	return got
}

func (s *site) roundTrip(client *http.Client, gateway *member, wanted request) callResult {
	lost := callResult{Answered: invariant.Answered{Outcome: outcome.UnknownBecause("caller-connection-lost")}}
	url := "http://" + gateway.public + "/v1/pools/" + wanted.pool + wanted.path
	call, err := http.NewRequest(wanted.method, url, strings.NewReader(wanted.body))
	if err != nil {
		lost.Problem = err.Error()
		return lost
	}
	call.Header = http.Header{"Waxwing-Tenant": {"tenant-1"}, "Waxwing-Timeout": {callTimeout}}
	if wanted.key != "" {
		// net/http repeats requests with this header by itself, but not if the name is
		// not in canonical form.
		call.Header["idempotency-key"] = []string{wanted.key}
	}
	if wanted.idempotent && wanted.method == http.MethodPost {
		call.Header.Set("Waxwing-Idempotent", "true")
	}
	response, err := client.Do(call)
	if err != nil {
		return lost
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return lost
	}
	return s.parseResponse(wanted, response, body)
}

var outcomeKinds = map[string]outcome.Kind{
	outcome.Completed.String(): outcome.Completed, outcome.NotRun.String(): outcome.NotRun, outcome.Unknown.String(): outcome.Unknown,
}

func (s *site) parseResponse(wanted request, response *http.Response, body []byte) callResult {
	got := callResult{status: response.StatusCode}
	got.Request = response.Header.Get("Waxwing-Request-Id")
	kind, known := outcomeKinds[response.Header.Get("Waxwing-Outcome")]
	if !known {
		got.Problem = fmt.Sprintf("status %d without an outcome", response.StatusCode)
	}
	got.Outcome = outcome.Outcome{Kind: kind, Reason: outcome.Reason(response.Header.Get("Waxwing-Reason"))}
	if kind != outcome.Completed || response.StatusCode != http.StatusOK {
		return got
	}
	var executed target.EchoResponse
	switch err := json.Unmarshal(body, &executed); {
	case err != nil:
		got.Problem = fmt.Sprintf("decode the body of %d bytes: %v", len(body), err)
	case executed.Method != wanted.method || executed.URI != wanted.path || !bytes.Equal(executed.Body, []byte(wanted.body)):
		got.Problem = fmt.Sprintf("the response belongs to another request: %s %s with body %q", executed.Method, executed.URI, executed.Body)
	}
	got.Worker = executed.Worker
	return got
}
