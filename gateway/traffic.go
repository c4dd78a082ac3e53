// Package gateway is the role of an entry VM: it takes the requests of callers and
// forwards them to targets. Traffic is its request path.
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

// ProxyConfig configures the request path of a gateway.
type ProxyConfig struct {
	Incarnation string // unique per start of the process; part of request and attempt IDs
	Shards      int    // 1-64
	Seed        uint64 // of the random choices; the shard number is mixed in
	Logger      *events.Logger
	Metrics     tally.Scope
	// Chooser selects the target choice; nil means slot credits first.
	Chooser routing.Chooser
	// Report receives the demand and the draining refusals of a shard. Shards
	// call it concurrently, and it must not block.
	Report func(traffic.Report)
	// Forwarder executes keyed requests at other homes. Without one, they are
	// refused as not run (no-home).
	Forwarder KeyForwarder
}

// ErrNotSent marks an error of a KeyForwarder that occurred before a byte of
// the request was written.
var ErrNotSent = errors.New("request was not sent")

// KeyForwarder hands a request with an idempotency key to the gateway that is
// the key's home. Every error that does not wrap ErrNotSent means that the home
// may have executed the request. The result must not carry a stream.
type KeyForwarder interface {
	ExecuteKeyed(ctx context.Context, address string, submission *traffic.Submission) (traffic.Result, error)
}

// Proxy is the request path of a gateway: the HTTP front end, the shards and
// the target I/O. Control talks to it through Publish and ProxyConfig.Report.
type Proxy struct {
	config   ProxyConfig
	snapshot atomic.Pointer[traffic.Snapshot]
	shards   []*shard
	client   *targetClient
	recorder *recorder
	requests gate // requests of callers and of peers
	sequence atomic.Uint64
	buffered atomic.Int64 // bytes of request bodies in memory
	// bodyTimeout bounds the arrival of a body, which holds a part of maxBuffered.
	bodyTimeout time.Duration

	context context.Context
	stop    context.CancelFunc
	loops   sync.WaitGroup
}

// NewProxy returns a request path. Start must be called before its handler is
// served; requests before the first Publish are refused as not run (not-ready).
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
	t := &Proxy{
		config: config, client: newTargetClient(), recorder: newRecorder(config.Metrics), bodyTimeout: callerBodyTimeout,
	}
	t.context, t.stop = context.WithCancel(context.Background())
	for number := range max(1, config.Shards) {
		t.shards = append(t.shards, newShard(t, number))
	}
	return t
}

// Start runs the shards until Stop.
func (t *Proxy) Start() {
	for _, s := range t.shards {
		t.loops.Go(func() { s.loop.Run(t.context) })
	}
}

// Publish puts a snapshot in force. It does not block. Shards adopt it at the
// start of their next tick, which a waiting shard runs at once.
func (t *Proxy) Publish(snapshot *traffic.Snapshot) {
	previous := t.snapshot.Swap(snapshot)
	for _, s := range t.shards {
		s.loop.TryPost(traffic.Published{}) // a shard with a full inbox ticks anyway
	}
	if previous == nil || !sameSlice(previous.Targets, snapshot.Targets) {
		t.client.retain(snapshot.Targets)
	}
}

func sameSlice(a, b []traffic.Target) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// Drain refuses new requests as not run (stopping) and waits until the requests
// and attempts in flight have ended. It returns the context's error if that
// ends first. Issued keys are lost afterwards.
func (t *Proxy) Drain(ctx context.Context) error {
	t.requests.close()
	if err := t.requests.wait(ctx); err != nil {
		return err
	}
	t.client.attempts.close()
	return t.client.attempts.wait(ctx)
}

// Stop ends the shards. Requests that are still in flight end as unknown.
func (t *Proxy) Stop() {
	t.requests.close()
	t.stop()
	t.loops.Wait()
	t.client.closeIdle()
}

// ExecuteKeyed runs a request that another gateway forwarded, because this
// gateway is the home of its key. It never forwards again. The context is that
// of the peer's call.
func (t *Proxy) ExecuteKeyed(ctx context.Context, submission *traffic.Submission) traffic.Result {
	if !t.requests.enter() {
		return notRun(outcome.ReasonStopping)
	}
	defer t.requests.leave()
	if submission.RequestID == "" {
		submission.RequestID = t.requestID()
	}
	result := t.execute(ctx, submission)
	return withoutStream(result)
}

// withoutStream reads the rest of a streamed answer for which the message to a
// peer has no room, and drops it. The request completed, so that its outcome is
// an answer that is not kept.
func withoutStream(result traffic.Result) traffic.Result {
	if result.Response == nil || result.Response.Stream == nil {
		return result
	}
	_ = result.Response.Stream.Close()
	result.Response = nil
	result.Outcome = outcome.UnknownBecause(outcome.ReasonAnswerDropped)
	return result
}

// execute hands the submission to the shard of its pool and waits for the answer.
func (t *Proxy) execute(ctx context.Context, submission *traffic.Submission) traffic.Result {
	reply := make(chan traffic.Result, 1)
	submission.Reply = reply
	s := t.shardOf(submission.Pool)
	if !s.loop.TryPost(&traffic.Arrived{Submission: submission}) {
		t.config.Logger.Log(events.ShardInboxFull, events.F("shard", s.number))
		return notRun(outcome.ReasonQueueFull)
	}
	select {
	case result := <-reply:
		return result
	case <-t.context.Done():
		return traffic.Result{Outcome: outcome.UnknownBecause(outcome.ReasonConnectionLost)}
	case <-ctx.Done():
	}
	// The shard answers an abandoned request at once.
	_ = s.loop.Post(t.context, &traffic.Abandoned{Submission: submission})
	select {
	case result := <-reply:
		return result
	case <-t.context.Done():
		return traffic.Result{Outcome: outcome.UnknownBecause(outcome.ReasonConnectionLost)}
	}
}

// forward hands a keyed request to its home.
func (t *Proxy) forward(ctx context.Context, address string, submission *traffic.Submission) traffic.Result {
	if t.config.Forwarder == nil {
		return notRun(outcome.ReasonNoHome)
	}
	if pool, ok := t.snapshot.Load().Policy.Pool(submission.Pool); ok && submission.Timeout <= 0 {
		submission.Timeout = traffic.DefaultTimeout(&pool, submission.Class)
	}
	ctx, cancel := context.WithTimeout(ctx, submission.Timeout+forwardGrace)
	defer cancel()
	result, err := t.config.Forwarder.ExecuteKeyed(ctx, address, submission)
	switch {
	case err == nil:
		return result
	case errors.Is(err, ErrNotSent):
		return notRun(outcome.ReasonNoHome)
	default:
		return traffic.Result{Outcome: outcome.UnknownBecause(outcome.ReasonHomeNoAnswer)}
	}
}

// forwardGrace lets the home report an expired deadline itself, which says more
// than a call that was given up.
const forwardGrace = 500 * time.Millisecond

func notRun(reason outcome.Reason) traffic.Result {
	return traffic.Result{Outcome: outcome.NotRunBecause(reason)}
}
