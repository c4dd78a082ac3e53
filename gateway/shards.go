package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/events"
	"github.com/waxwingbridge/waxwingbridge/gateway/traffic"
	"github.com/waxwingbridge/waxwingbridge/table"
)

// shardInboxSize limits the events that are queued for a shard. When the inbox is
// full, submissions are refused, and reports of finished attempts block.
const shardInboxSize = 8192

// shard is a traffic loop with its attempts in flight. It is the Performer of its
// loop.
type shard struct {
	proxy  *Proxy
	number int
	loop   *engine.Loop[traffic.State, traffic.Event]

	mu      sync.Mutex
	cancels map[table.ID]context.CancelFunc
}

func newShard(p *Proxy, number int) *shard {
	s := &shard{proxy: p, number: number, cancels: map[table.ID]context.CancelFunc{}}
	state := traffic.NewState(traffic.Config{
		Source: &p.snapshot, Seed: p.config.Seed + uint64(number), Chooser: p.config.Chooser,
		Owns: func(pool string) bool { return p.shardNumber(pool) == number },
	})
	s.loop = engine.NewLoop(traffic.Program(s), state, shardInboxSize)
	return s
}

// shardOf returns the shard that owns the requests of the pool.
func (p *Proxy) shardOf(pool string) *shard { return p.shards[p.shardNumber(pool)] }

func (p *Proxy) shardNumber(pool string) int {
	return int(xxhash.Sum64String(pool) % uint64(max(1, p.config.Shards)))
}

// Send starts the round trip of an attempt.
func (s *shard) Send(send traffic.Send) {
	ctx, cancel := context.WithCancel(s.proxy.context)
	s.mu.Lock()
	s.cancels[send.Attempt] = cancel
	s.mu.Unlock()
	if !s.proxy.client.attempts.begin() {
		go s.finish(&traffic.Finished{Attempt: send.Attempt, Status: traffic.NotSent})
		return
	}
	go s.roundTrip(ctx, send)
}

func (s *shard) roundTrip(ctx context.Context, send traffic.Send) {
	finished, stream := s.proxy.client.roundTrip(ctx, s.attemptID(send.Attempt), send)
	if stream == nil {
		s.finish(finished)
		s.proxy.client.attempts.end()
		return
	}
	// The shard passes the response on and no longer enforces the request's deadline.
	timer := time.AfterFunc(send.Remaining, func() { s.Abort(send.Attempt) })
	stream.onEnd = func(status traffic.AttemptStatus) {
		timer.Stop()
		s.finish(&traffic.Finished{Attempt: send.Attempt, Status: status})
		s.proxy.client.attempts.end()
	}
	s.post(finished)
}

// finish cancels the context of an attempt and reports its end to the loop.
func (s *shard) finish(finished *traffic.Finished) {
	s.mu.Lock()
	cancel := s.cancels[finished.Attempt]
	delete(s.cancels, finished.Attempt)
	s.mu.Unlock()
	if cancel != nil {
		cancel()
	}
	s.post(finished)
}

// post ignores the error, which occurs only when the shard has stopped and needs no
// more events.
func (s *shard) post(event traffic.Event) { _ = s.loop.Post(s.proxy.context, event) }

// Abort cancels the round trip of an attempt.
func (s *shard) Abort(attempt table.ID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if cancel := s.cancels[attempt]; cancel != nil {
		cancel()
	}
}

// Reply sends a result to the goroutine that waits for it.
func (s *shard) Reply(reply traffic.Reply) { reply.Submission.Reply <- reply.Result }

// Discard closes the stream of a response that has no reader, which ends its
// attempt.
func (s *shard) Discard(response *traffic.Response) { go response.Stream.Close() }

var logEvents = map[traffic.LogEntryKind]events.Event{
	traffic.TargetEjected:     events.TargetEjected,
	traffic.TargetReadmitted:  events.TargetReadmitted,
	traffic.TargetDraining:    events.TargetLeaving,
	traffic.ResponseDiscarded: events.ResponseDiscarded,
}

// Log writes an entry to the log.
func (s *shard) Log(entry traffic.LogEntry) {
	s.proxy.config.Logger.Log(logEvents[entry.Kind], events.F("worker", entry.Worker))
}

// Report passes demand and refusals to control.
func (s *shard) Report(report traffic.Report) { s.proxy.config.Report(report) }

// attemptID returns the attempt ID that the target must echo. It is unique across
// shards, gateways and restarts, because the generation of a row ID is never reused.
func (s *shard) attemptID(id table.ID) string {
	text := make([]byte, 0, len(s.proxy.config.Incarnation)+24)
	text = append(text, s.proxy.config.Incarnation...)
	text = append(text, '-')
	text = appendHex(text, uint64(s.number))
	text = append(text, '-')
	return string(appendHex(text, uint64(id)))
}
