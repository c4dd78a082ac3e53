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
	callLimit   = 20 * time.Second // of one call, longer than the timeout that it asks for
	callTimeout = "5000"           // milliseconds
	maxTries    = 6
)

// request is what a caller wants to be done, by one or several calls.
type request struct {
	method, pool, path, key, body string
	idempotent                    bool
}

// answer is the end of one call.
type answer struct {
	invariant.Answered
	status int
}

// tally counts the calls by outcome.
type tally struct{ completed, notRun, unknown atomic.Int64 }

func (t *tally) add(kind outcome.Kind) {
	switch kind {
	case outcome.Completed:
		t.completed.Add(1)
	case outcome.NotRun:
		t.notRun.Add(1)
	default:
		t.unknown.Add(1)
	}
}

// callers send requests of all kinds to all gateways until they are stopped.
type callers struct {
	site  *site
	pools []string
	tally tally
	stop  context.CancelFunc
	work  sync.WaitGroup

	mu      sync.Mutex
	reasons map[outcome.Reason]int
	workers map[string]int // completed requests
}

func (s *site) startCallers(number int, pools ...string) *callers {
	ctx, cancel := context.WithCancel(context.Background())
	c := &callers{site: s, pools: pools, stop: cancel, reasons: map[outcome.Reason]int{}, workers: map[string]int{}}
	for i := range number {
		c.work.Go(func() { c.run(ctx, i) })
	}
	s.t.Cleanup(c.end)
	return c
}

// end stops the callers and waits for their last answers.
func (c *callers) end() {
	c.stop()
	c.work.Wait()
}

func (c *callers) count(got answer) {
	c.tally.add(got.Outcome.Kind)
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

// progress waits until a number of further requests completed.
func (c *callers) progress(number int64) {
	c.site.t.Helper()
	before := c.tally.completed.Load()
	c.site.eventually(readyLimit, "callers get answers", func() bool { return c.tally.completed.Load() >= before+number })
}

// unexpected is the number of unknown outcomes besides those of UUIDv7 keys that
// may have been used at an earlier home.
func (c *callers) unexpected() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return int(c.tally.unknown.Load()) - c.reasons[outcome.ReasonBeforeTakeover]
}

// counts describes the outcomes for the log of a test.
func (c *callers) counts() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return fmt.Sprintf("%d completed, %d not run, %d unknown, %v",
		c.tally.completed.Load(), c.tally.notRun.Load(), c.tally.unknown.Load(), c.reasons)
}

func (c *callers) run(ctx context.Context, number int) {
	random := rand.New(rand.NewPCG(seed, uint64(number)))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}, Timeout: callLimit}
	defer client.CloseIdleConnections()
	for sequence := 0; ctx.Err() == nil; sequence++ {
		wanted := c.next(random, fmt.Sprintf("%d-%d", number, sequence))
		first := random.IntN(len(c.site.gateways))
		for try := range maxTries {
			got := c.site.send(client, c.site.gateways[(first+try)%len(c.site.gateways)], wanted)
			c.count(got)
			if !mayRetry(wanted, got) || store.Sleep(ctx, callerPause) != nil {
				break
			}
		}
		if store.Sleep(ctx, callerPause) != nil {
			return
		}
	}
}

// next draws a request: reads, orders without a key, with a UUIDv7 key or one
// that a gateway issued, and idempotent posts.
func (c *callers) next(random *rand.Rand, name string) request {
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

// issueKey returns a key that the gateway issued, or none if it does not answer.
func (s *site) issueKey(gateway *member) string {
	var issued struct{ Keys []string }
	if s.call(http.MethodPost, gateway.public+"/v1/keys", map[string]int{"count": 1}, &issued) != nil {
		return ""
	}
	return issued.Keys[0]
}

// mayRetry reports whether a careful caller repeats the call: always under a key
// or if the request is idempotent, otherwise only if it was not run.
func mayRetry(wanted request, got answer) bool {
	if got.Outcome.Kind == outcome.Completed {
		return false
	}
	return wanted.idempotent || wanted.key != "" || got.Outcome.Kind == outcome.NotRun
}

// send makes one call and reports its end to the checker.
func (s *site) send(client *http.Client, gateway *member, wanted request) answer {
	got := s.exchange(client, gateway, wanted)
	got.Key, got.Idempotent, got.Pool = wanted.key, wanted.idempotent, wanted.pool
	s.watch.see(got.Answered)
	return got
}

func (s *site) exchange(client *http.Client, gateway *member, wanted request) answer {
	lost := answer{Answered: invariant.Answered{Outcome: outcome.UnknownBecause("caller-connection-lost")}}
	url := "http://" + gateway.public + "/v1/pools/" + wanted.pool + wanted.path
	call, err := http.NewRequest(wanted.method, url, strings.NewReader(wanted.body))
	if err != nil {
		lost.Problem = err.Error()
		return lost
	}
	call.Header = http.Header{"Waxwing-Tenant": {"tenant-1"}, "Waxwing-Timeout": {callTimeout}}
	if wanted.key != "" {
		// In this spelling net/http does not repeat the request by itself.
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
	return s.interpret(wanted, response, body)
}

var outcomeKinds = map[string]outcome.Kind{
	outcome.Completed.String(): outcome.Completed, outcome.NotRun.String(): outcome.NotRun, outcome.Unknown.String(): outcome.Unknown,
}

func (s *site) interpret(wanted request, response *http.Response, body []byte) answer {
	got := answer{status: response.StatusCode}
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
		got.Problem = fmt.Sprintf("the body of %d bytes is not whole: %v", len(body), err)
	case executed.Method != wanted.method || executed.URI != wanted.path || !bytes.Equal(executed.Body, []byte(wanted.body)):
		got.Problem = fmt.Sprintf("it answers %s %s with body %q", executed.Method, executed.URI, executed.Body)
	}
	got.Worker = executed.Worker
	return got
}
