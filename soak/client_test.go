package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Jobs and clients of a soak.
const (
	clients     = 4
	jobInterval = 120 * time.Millisecond // of one client
	callTimeout = 3 * time.Second
	maxTries    = 5
	cancelShare = 0.1
)

// job is what a client knows about a job.
type job struct {
	id        string
	queue     string
	tasks     int
	accepted  bool
	refused   bool // every try was answered 429 or 503, which promise that it never runs
	cancelled bool // a cancellation was sent, whatever its answer was
	final     string
	at        time.Time // of the first try
}

// caller hands jobs in and keeps connections to all processes open.
type caller struct {
	http      *http.Client
	processes []*process
	random    *rand.Rand

	mu       sync.Mutex
	jobs     []*job
	problems []string
}

func newCaller(processes []*process, seed uint64) *caller {
	return &caller{
		http:      &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}, Timeout: callTimeout},
		processes: processes, random: rand.New(rand.NewPCG(seed, 2)),
	}
}

// call makes one request. Status 0 means that no answer came.
func (c *caller) call(p *process, method, queue, id, body string) (int, string) {
	request, err := http.NewRequestWithContext(context.Background(), method, "http://"+p.client+"/"+queue+"/"+id, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	request.Host = "shop.example"
	response, err := c.http.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(answer)
}

func (c *caller) any() *process {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.processes[c.random.IntN(len(c.processes))]
}

// work hands jobs in until the context ends.
func (c *caller) work(ctx context.Context, client int) {
	for n := 1; ctx.Err() == nil; n++ {
		c.mu.Lock()
		j := &job{
			id: fmt.Sprintf("%04x%012x", client+1, n), queue: []string{"orders", "reports"}[c.random.IntN(2)],
			tasks: 1 + c.random.IntN(5), at: time.Now(),
		}
		duration, cancel := 100+c.random.IntN(900), c.random.Float64() < cancelShare
		c.jobs = append(c.jobs, j)
		c.mu.Unlock()
		c.submit(ctx, j, fmt.Sprintf(`{"Spec":"run:%dms","Steps":[{"Count":%d,"Cpu":500,"EstimatedMs":%d},{"Count":1,"Cpu":500,"EstimatedMs":100,"After":[0]}]}`, duration, j.tasks, duration))
		if j.accepted && cancel {
			j.cancelled = true
			c.call(c.any(), http.MethodDelete, j.queue, j.id, "")
		}
		wait(ctx, jobInterval)
	}
}

func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// submit tries at several processes, as the platform's clients do.
func (c *caller) submit(ctx context.Context, j *job, body string) {
	refusals, tries := 0, 0
	for ; tries < maxTries && !j.accepted; tries++ {
		switch status, _ := c.call(c.any(), http.MethodPost, j.queue, j.id, body); {
		case status/100 == 2:
			j.accepted = true
		case status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable:
			refusals++
			wait(ctx, 200*time.Millisecond)
		default:
			wait(ctx, 100*time.Millisecond)
		}
	}
	j.refused = refusals == tries
}

// settle asks for the states of accepted jobs until each is final, and returns
// those that are not in time.
func (c *caller) settle(limit time.Duration) (open []*job) {
	deadline := time.Now().Add(limit)
	for {
		open = open[:0]
		for _, j := range c.jobs {
			if j.accepted && j.final == "" {
				if c.ask(j); j.final == "" {
					open = append(open, j)
				}
			}
		}
		if len(open) == 0 || time.Now().After(deadline) {
			return open
		}
		time.Sleep(300 * time.Millisecond)
	}
}

func (c *caller) ask(j *job) {
	p := c.any()
	status, body := c.call(p, http.MethodGet, j.queue, j.id, "")
	var shown struct{ State string }
	switch {
	case status == http.StatusGone:
		c.problem("%s: accepted, but %s answers that no such job exists", j.id, p.name)
		j.final = "lost"
	case status != http.StatusOK:
	case json.Unmarshal([]byte(body), &shown) != nil:
		c.problem("%s: %s answers %q", j.id, p.name, body)
	case shown.State == "completed", shown.State == "cancelled", shown.State == "failed":
		j.final = shown.State
	}
}

func (c *caller) problem(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.problems = append(c.problems, fmt.Sprintf(format, args...))
}
