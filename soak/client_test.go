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
	"sync/atomic"
	"time"

	"github.com/waxwingbridge/waxwingbridge/platform/standin"
)

// Load that the clients generate.
const (
	clientCount = 4
	jobInterval = 120 * time.Millisecond // between two jobs of one client
	callTimeout = 3 * time.Second
	maxTries    = 5
	cancelShare = 0.1
	crashShare  = 0.01 // jobs whose tasks crash their workers
	// longRunningTasks is the number of tasks of a job that runs until it is cancelled.
	longRunningTasks = 3
	// withdrawnSuffix marks the keys that are withdrawn while the soak runs.
	withdrawnSuffix = "-withdrawn"
)

// job is the client's record of a submitted job.
type job struct {
	id          string
	key         string // of its team; withdrawn keys are used for submissions only
	submitKey   string
	queue       string
	tasks       int
	accepted    bool
	refused     bool // every try was answered 429 or 503, which guarantee that the job never runs
	crashes     bool // its tasks crash their workers
	longRunning bool // its tasks run until it is cancelled
	cancelled   bool // a cancellation was sent, regardless of its response
	finalState  string
	firstTryAt  time.Time
}

// jobClient submits jobs and keeps connections to all processes open.
type jobClient struct {
	http      *http.Client
	processes []*process
	random    *rand.Rand

	withdrawnAt atomic.Pointer[time.Time] // when the keys with withdrawnSuffix were withdrawn

	mu       sync.Mutex
	jobs     []*job
	problems []string
}

func newJobClient(processes []*process, seed uint64) *jobClient {
	return &jobClient{
		http:      &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}, Timeout: callTimeout},
		processes: processes, random: rand.New(rand.NewPCG(seed, 2)),
	}
}

// request sends one HTTP request. Status 0 means that no complete response arrived.
func (c *jobClient) request(p *process, method, queue, id, key, body string) (int, string) {
	request, err := http.NewRequestWithContext(context.Background(), method, "http://"+p.frontendAddress+"/"+queue+"/"+id, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	request.Host = "shop.example"
	request.Header.Set("Key", key)
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

func (c *jobClient) randomProcess() *process {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.processes[c.random.IntN(len(c.processes))]
}

// submitJobs submits jobs until the context is cancelled.
func (c *jobClient) submitJobs(ctx context.Context, client int) {
	for n := 1; ctx.Err() == nil; n++ {
		c.mu.Lock()
		j := &job{
			id: fmt.Sprintf("%04x%012x", client+1, n), queue: []string{"orders", "reports", "advised"}[c.random.IntN(3)],
			tasks: 1 + c.random.IntN(5), firstTryAt: time.Now(),
		}
		j.key = []string{"key-large", "key-large", "key-large", "key-small"}[c.random.IntN(4)]
		if j.submitKey = j.key; c.random.IntN(5) == 0 {
			j.submitKey += withdrawnSuffix
		}
		duration, cancel := 100+c.random.IntN(900), c.random.Float64() < cancelShare
		payload := fmt.Sprintf("run:%dms", duration)
		if c.random.Float64() < crashShare {
			j.crashes, payload, cancel = true, "crash", false
		}
		c.jobs = append(c.jobs, j)
		c.mu.Unlock()
		c.submit(ctx, j, fmt.Sprintf(`{"Spec":%q,"Steps":[{"Count":%d,"Cpu":500,"EstimatedMs":%d},{"Count":1,"Cpu":500,"EstimatedMs":100,"After":[0]}]}`, payload, j.tasks, duration))
		if j.accepted && cancel {
			j.cancelled = true
			c.request(c.randomProcess(), http.MethodDelete, j.queue, j.id, j.key, "")
		}
		sleep(ctx, jobInterval)
	}
}

// submitLongRunningJobs submits one job of long-running tasks to each of two queues, before the
// faults begin.
func (c *jobClient) submitLongRunningJobs(ctx context.Context) {
	for n, queue := range []string{"orders", "reports"} {
		j := &job{id: fmt.Sprintf("ffff%012x", n+1), queue: queue, key: "key-long-running", submitKey: "key-long-running", tasks: longRunningTasks, longRunning: true, firstTryAt: time.Now()}
		c.jobs = append(c.jobs, j)
		for !j.accepted && ctx.Err() == nil {
			c.submit(ctx, j, fmt.Sprintf(`{"Spec":"last","Steps":[{"Count":%d,"Cpu":3000,"EstimatedMs":900,"LongRunning":true,"MaxUnavailable":1}]}`, longRunningTasks))
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// submit retries at randomly chosen processes, as the platform's clients do.
func (c *jobClient) submit(ctx context.Context, j *job, body string) {
	refusals, tries := 0, 0
	for ; tries < maxTries && !j.accepted; tries++ {
		sentAt := time.Now()
		switch status, _ := c.request(c.randomProcess(), http.MethodPost, j.queue, j.id, j.submitKey, body); {
		case status/100 == 2:
			j.accepted = true
			if at := c.withdrawnAt.Load(); at != nil && j.submitKey != j.key && sentAt.Sub(*at) > standin.ManifestBound() {
				c.recordProblem("job %s was accepted with a key that had been withdrawn %v before", j.id, sentAt.Sub(*at))
			}
		case status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable:
			refusals++
			sleep(ctx, 200*time.Millisecond)
		default:
			sleep(ctx, 100*time.Millisecond)
		}
	}
	j.refused = refusals == tries
}

// awaitFinalStates polls the states of accepted jobs until each is final, and
// returns the jobs that are not final within the limit.
func (c *jobClient) awaitFinalStates(limit time.Duration) (unfinished []*job) {
	deadline := time.Now().Add(limit)
	for {
		unfinished = unfinished[:0]
		for _, j := range c.jobs {
			if j.accepted && !j.longRunning && j.finalState == "" {
				if c.queryState(j); j.finalState == "" {
					unfinished = append(unfinished, j)
				}
			}
		}
		if len(unfinished) == 0 || time.Now().After(deadline) {
			return unfinished
		}
		time.Sleep(300 * time.Millisecond)
	}
}

func (c *jobClient) queryState(j *job) {
	p := c.randomProcess()
	status, body := c.request(p, http.MethodGet, j.queue, j.id, j.key, "")
	var report struct{ State string }
	switch {
	case status == http.StatusGone:
		c.recordProblem("job %s was accepted, but %s answers that it does not exist", j.id, p.name)
		j.finalState = "lost"
	case status != http.StatusOK:
	case json.Unmarshal([]byte(body), &report) != nil:
		c.recordProblem("job %s: %s returned an invalid state %q", j.id, p.name, body)
	case report.State == "completed", report.State == "cancelled", report.State == "failed":
		j.finalState = report.State
	}
}

func (c *jobClient) recordProblem(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.problems = append(c.problems, fmt.Sprintf(format, args...))
}
