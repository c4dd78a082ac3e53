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

// inboxSize bounds the events that wait for a shard. Submissions beyond it are
// refused; endings of attempts wait.
const inboxSize = 8192

// shard is one traffic loop with the attempts that it has in flight. It is the
// Performer of its loop.
type shard struct {
	traffic *Proxy
	number  int
	loop    *engine.Loop[traffic.State, traffic.Event]

	mu      sync.Mutex
	cancels map[table.ID]context.CancelFunc
}

func newShard(t *Proxy, number int) *shard {
	s := &shard{traffic: t, number: number, cancels: map[table.ID]context.CancelFunc{}}
	state := traffic.NewState(traffic.Config{
		Source: &t.snapshot, Seed: t.config.Seed + uint64(number), Chooser: t.config.Chooser,
		Owns: func(pool string) bool { return t.numberOf(pool) == number },
	})
	s.loop = engine.NewLoop(traffic.Program(s), state, inboxSize)
	return s
}

// shardOf returns the shard that owns the requests of the pool.
func (t *Proxy) shardOf(pool string) *shard { return t.shards[t.numberOf(pool)] }

func (t *Proxy) numberOf(pool string) int {
	return int(xxhash.Sum64String(pool) % uint64(max(1, t.config.Shards)))
}

// Send starts the round trip of an attempt.
func (s *shard) Send(send traffic.Send) {
	ctx, cancel := context.WithCancel(s.traffic.context)
	s.mu.Lock()
	s.cancels[send.Attempt] = cancel
	s.mu.Unlock()
	if !s.traffic.client.attempts.enter() {
		go s.finish(&traffic.Finished{Attempt: send.Attempt, Status: traffic.NotSent})
		return
	}
	go s.roundTrip(ctx, send)
}

func (s *shard) roundTrip(ctx context.Context, send traffic.Send) {
	finished, stream := s.traffic.client.roundTrip(ctx, s.attemptID(send.Attempt), send)
	if stream == nil {
		s.finish(finished)
		s.traffic.client.attempts.leave()
		return
	}
	// The answer was handed on, so the shard no longer watches its deadline.
	limit := time.AfterFunc(send.Remaining, func() { s.Abort(send.Attempt) })
	stream.onEnd = func(ending traffic.AttemptStatus) {
		limit.Stop()
		s.finish(&traffic.Finished{Attempt: send.Attempt, Status: ending})
		s.traffic.client.attempts.leave()
	}
	s.post(finished)
}

// finish reports the end of an attempt and releases its context.
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

// post fails only when the shard has stopped; nothing waits for the event then.
func (s *shard) post(event traffic.Event) { _ = s.loop.Post(s.traffic.context, event) }

// Abort ends the round trip of an attempt whose answer nobody waits for.
func (s *shard) Abort(attempt table.ID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if cancel := s.cancels[attempt]; cancel != nil {
		cancel()
	}
}

// Reply hands a result to the goroutine that waits for it.
func (s *shard) Reply(reply traffic.Reply) { reply.Submission.Reply <- reply.Result }

// Discard closes the stream of an answer that nobody reads, which ends its
// attempt.
func (s *shard) Discard(answer *traffic.Response) { go answer.Stream.Close() }

var noticeEvents = map[traffic.LogEntryKind]events.Event{
	traffic.TargetEjected:     events.TargetEjected,
	traffic.TargetReadmitted:  events.TargetReadmitted,
	traffic.TargetDraining:    events.TargetLeaving,
	traffic.ResponseDiscarded: events.AnswerDiscarded,
}

// Log writes a notice to the log.
func (s *shard) Log(notice traffic.LogEntry) {
	s.traffic.config.Logger.Log(noticeEvents[notice.Kind], events.F("worker", notice.Worker))
}

// Report hands demand and refusals to control.
func (s *shard) Report(report traffic.Report) { s.traffic.config.Report(report) }

// attemptID returns the text that a target echoes. It is unique across shards,
// gateways and restarts, because the generation of a row is never reused.
func (s *shard) attemptID(id table.ID) string {
	text := make([]byte, 0, len(s.traffic.config.Incarnation)+24)
	text = append(text, s.traffic.config.Incarnation...)
	text = append(text, '-')
	text = appendHex(text, uint64(s.number))
	text = append(text, '-')
	return string(appendHex(text, uint64(id)))
}
