// Package gateway implements the gateway role of an entry VM: a reverse proxy that
// forwards the requests of callers to targets, and an interface for jobs.
package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"

	"github.com/waxwingbridge/waxwingbridge/events"
	"github.com/waxwingbridge/waxwingbridge/gateway/traffic"
	"github.com/waxwingbridge/waxwingbridge/outcome"
	"github.com/waxwingbridge/waxwingbridge/routing"
)

// ProxyConfig configures a Proxy.
type ProxyConfig struct {
	Incarnation string // unique per start of the process; part of request and attempt IDs
	Shards      int    // 1-64
	Seed        uint64 // of the random number generators; each shard adds its number
	Logger      *events.Logger
	Metrics     tally.Scope
	// Chooser selects the target of an attempt; nil means routing.CreditsFirst.
	Chooser routing.Chooser
	// Report receives the demand and the draining refusals of a shard. Shards call
	// it concurrently. It must not block.
	Report func(traffic.Report)
	// Forwarder executes keyed requests at other homes. Without one, they are
	// refused as not run (no-home).
	Forwarder KeyForwarder
}

// ErrNotSent marks an error of a KeyForwarder that occurred before a byte of
// the request was written.
var ErrNotSent = errors.New("request was not sent")

// KeyForwarder forwards a request with an idempotency key to the gateway that is the
// key's home. An error that does not wrap ErrNotSent means that the home may have
// executed the request. The response must not have a stream.
type KeyForwarder interface {
	ExecuteKeyed(ctx context.Context, address string, submission *traffic.Submission) (traffic.Result, error)
}

// Proxy is the reverse proxy of a gateway: the HTTP front end, the shards and the
// target I/O. It interacts with control through Publish and ProxyConfig.Report.
type Proxy struct {
	config        ProxyConfig
	snapshot      atomic.Pointer[traffic.Snapshot]
	shards        []*shard
	client        *targetClient
	recorder      *recorder
	requests      drainGroup // requests of callers and of peers
	sequence      atomic.Uint64
	bufferedBytes atomic.Int64 // bytes of request bodies in memory
	// bodyTimeout limits the time to receive a body, for which a part of
	// maxBufferedBytes is reserved.
	bodyTimeout time.Duration

	context context.Context
	stop    context.CancelFunc
	loops   sync.WaitGroup
}

// NewProxy returns a proxy. Start must be called before its handler is served.
// Requests before the first Publish are refused as not run (not-ready).
func NewProxy(config ProxyConfig) *Proxy {
	if config.Logger == nil {
		config.Logger = events.Discard()
	}
	if config.Metrics == nil {
		config.Metrics = tally.NoopScope
	}
	if config.Report == nil {
		config.Report = func(traffic.Report) {}
	}
	p := &Proxy{
		config: config, client: newTargetClient(), recorder: newRecorder(config.Metrics), bodyTimeout: callerBodyTimeout,
	}
	p.context, p.stop = context.WithCancel(context.Background())
	for number := range max(1, config.Shards) {
		p.shards = append(p.shards, newShard(p, number))
	}
	return p
}

// Start runs the shards until Stop.
func (p *Proxy) Start() {
	for _, s := range p.shards {
		p.loops.Go(func() { s.loop.Run(p.context) })
	}
}

// Publish replaces the snapshot. It does not block. Shards apply the snapshot at the
// start of their next tick, which an idle shard runs immediately.
func (p *Proxy) Publish(snapshot *traffic.Snapshot) {
	previous := p.snapshot.Swap(snapshot)
	for _, s := range p.shards {
		s.loop.TryPost(traffic.Published{}) // a shard with a full inbox runs a tick anyway
	}
	if previous == nil || !sameTargets(previous.Targets, snapshot.Targets) {
		p.client.closeUnlisted(snapshot.Targets)
	}
}

func sameTargets(a, b []traffic.Target) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// Drain refuses new requests as not run (stopping) and waits until the requests
// and attempts in flight have ended. It returns the context's error if the context
// ends first. Keys issued by this incarnation have no home once the process ends.
func (p *Proxy) Drain(ctx context.Context) error {
	p.requests.close()
	if err := p.requests.wait(ctx); err != nil {
		return err
	}
	p.client.attempts.close()
	return p.client.attempts.wait(ctx)
}

// Stop stops the shards. The outcome of requests that are still in flight is unknown.
func (p *Proxy) Stop() {
	p.requests.close()
	p.stop()
	p.loops.Wait()
	p.client.closeIdle()
}

// ExecuteKeyed executes a request that another gateway forwarded because this
// gateway is the home of its key. It never forwards the request again. The context
// is that of the peer's call.
func (p *Proxy) ExecuteKeyed(ctx context.Context, submission *traffic.Submission) traffic.Result {
	if !p.requests.begin() {
		return notRun(outcome.ReasonStopping)
	}
	defer p.requests.end()
	if submission.RequestID == "" {
		submission.RequestID = p.requestID()
	}
	result := p.execute(ctx, submission)
	return withoutStream(result)
}

// withoutStream discards a streamed response, which is too large for a message to a
// peer. The request was executed, but its response cannot be returned, so its
// outcome is unknown (answer-dropped).
func withoutStream(result traffic.Result) traffic.Result {
	if result.Response == nil || result.Response.Stream == nil {
		return result
	}
	_ = result.Response.Stream.Close()
	result.Response = nil
	result.Outcome = outcome.UnknownBecause(outcome.ReasonResponseDropped)
	return result
}

// execute posts the submission to the shard of its pool and waits for the result.
func (p *Proxy) execute(ctx context.Context, submission *traffic.Submission) traffic.Result {
	reply := make(chan traffic.Result, 1)
	submission.Reply = reply
	s := p.shardOf(submission.Pool)
	if !s.loop.TryPost(&traffic.Arrived{Submission: submission}) {
		p.config.Logger.Log(events.ShardInboxFull, events.F("shard", s.number))
		return notRun(outcome.ReasonQueueFull)
	}
	select {
	case result := <-reply:
		return result
	case <-p.context.Done():
		return traffic.Result{Outcome: outcome.UnknownBecause(outcome.ReasonConnectionLost)}
	case <-ctx.Done():
	}
	// The shard replies to an abandoned request immediately.
	_ = s.loop.Post(p.context, &traffic.Abandoned{Submission: submission})
	select {
	case result := <-reply:
		return result
	case <-p.context.Done():
		return traffic.Result{Outcome: outcome.UnknownBecause(outcome.ReasonConnectionLost)}
	}
}

// forward forwards a keyed request to its home.
func (p *Proxy) forward(ctx context.Context, address string, submission *traffic.Submission) traffic.Result {
	if p.config.Forwarder == nil {
		return notRun(outcome.ReasonNoHome)
	}
	if pool, ok := p.snapshot.Load().Policy.Pool(submission.Pool); ok && submission.Timeout <= 0 {
		submission.Timeout = traffic.DefaultTimeout(&pool, submission.Class)
	}
	ctx, cancel := context.WithTimeout(ctx, submission.Timeout+forwardGrace)
	defer cancel()
	result, err := p.config.Forwarder.ExecuteKeyed(ctx, address, submission)
	switch {
	case err == nil:
		return result
	case errors.Is(err, ErrNotSent):
		return notRun(outcome.ReasonNoHome)
	default:
		return traffic.Result{Outcome: outcome.UnknownBecause(outcome.ReasonHomeNoAnswer)}
	}
}

// forwardGrace is added to the timeout of a forwarded request, so that the home can
// report an expired deadline itself. Its outcome is more precise than that of a call
// that timed out.
const forwardGrace = 500 * time.Millisecond

func notRun(reason outcome.Reason) traffic.Result {
	return traffic.Result{Outcome: outcome.NotRunBecause(reason)}
}
