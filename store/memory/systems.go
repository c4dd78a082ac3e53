package memory

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/store"
	"github.com/waxwingbridge/waxwingbridge/table"
)

// ErrCompacted means that the history no longer contains the requested revision.
var ErrCompacted = errors.New("memory: revision has been compacted")

// ErrTooManyRequests is wrapped together with store.ErrUnavailable when a call
// exceeds the rate limit.
var ErrTooManyRequests = errors.New("memory: too many requests")

// systems returns the systems of the store in execution order. Leases expire
// first, so that a late renewal cannot extend an expired lease.
func systems() []engine.System[state] {
	list := []engine.System[state]{
		{Name: "expire leases", Run: expireLeases},
		{Name: "execute calls", Run: executeCalls},
		{Name: "deliver changes", Run: deliverChanges},
		{Name: "notify progress", Run: notifyProgress},
	}
	for i := range list {
		run := list[i].Run
		list[i].Run = func(s *state, tick engine.Tick) { run(s, s.localTick(tick)) }
	}
	return list
}

func expireLeases(s *state, tick engine.Tick) {
	if s.faults.Down {
		return
	}
	for id, lease := range s.leases.All() {
		if !tick.Now.Before(lease.expires) {
			s.dropLease(id, lease.id)
		}
	}
}

func executeCalls(s *state, tick engine.Tick) {
	var due []table.ID
	for id, row := range s.calls.All() {
		if !tick.Now.Before(row.due) {
			due = append(due, id)
		}
	}
	slices.SortFunc(due, func(a, b table.ID) int {
		return cmp.Compare(s.calls.Get(a).arrival, s.calls.Get(b).arrival)
	})
	for _, id := range due {
		c := s.calls.Get(id).call
		s.calls.Delete(id)
		s.answers.Add(answerRow{call: c, reply: s.execute(tick.Now, c)})
	}
}

func (s *state) execute(now time.Time, c *call) reply {
	if s.faults.Down {
		return reply{err: errors.Newf("%w: down", store.ErrUnavailable)}
	}
	if !s.withinRate(now, c.kind) {
		return reply{err: fmt.Errorf("%w: %w", store.ErrUnavailable, ErrTooManyRequests)}
	}
	answer := s.executeByKind(now, c)
	answer.revision = max(answer.revision, s.revision)
	if c.kind.IsWrite() && answer.err == nil && s.consumeLostAnswer() {
		return reply{err: errors.Newf("%w: answer lost", store.ErrUnknown)}
	}
	return answer
}

func (s *state) withinRate(now time.Time, kind store.CallKind) bool {
	if kind.IsWrite() {
		return s.writes.Take(now, 0)
	}
	return s.reads.Take(now, 0)
}

func (s *state) consumeLostAnswer() bool {
	if s.faults.LoseNextAnswers > 0 {
		s.faults.LoseNextAnswers--
		return true
	}
	return s.faults.LoseAnswers
}

func (s *state) executeByKind(now time.Time, c *call) reply {
	switch c.kind {
	case store.CallGet:
		return reply{kvs: s.get(c.key)}
	case store.CallList:
		return reply{kvs: s.list(c.key)}
	case store.CallCompareAndSwap:
		return s.compareAndSwap(c.put)
	case store.CallDelete:
		return s.compareAndDelete(c.key, c.put.Revision)
	case store.CallGrantLease:
		return s.grantLease(now, c.ttl)
	case store.CallRenewLease:
		return s.renewLease(now, c.lease)
	case store.CallRevokeLease:
		return s.revokeLease(c.lease)
	default:
		return s.watch(now, c)
	}
}

func (s *state) compareAndSwap(put store.Put) reply {
	if len(put.Data) > s.options.MaxValueBytes {
		return reply{err: errors.Newf("%w: %d bytes", store.ErrTooLarge, len(put.Data))}
	}
	if put.Lease != 0 {
		if _, ok := s.leaseIDs.Get(put.Lease); !ok {
			return reply{err: store.ErrLeaseLost}
		}
	}
	if s.currentRevision(put.Key) != put.Revision {
		return reply{err: store.ErrConflict}
	}
	return reply{revision: s.write(put)}
}

func (s *state) compareAndDelete(key string, revision store.Revision) reply {
	if current := s.currentRevision(key); current == 0 || current != revision {
		return reply{err: store.ErrConflict}
	}
	s.remove(key)
	return reply{}
}

func (s *state) grantLease(now time.Time, ttl time.Duration) reply {
	s.lastLease++
	id := s.leases.Insert(leaseRow{id: s.lastLease, ttl: ttl, expires: now.Add(ttl)})
	s.leaseIDs.Put(s.lastLease, id)
	return reply{lease: s.lastLease, ttl: ttl}
}

func (s *state) renewLease(now time.Time, lease store.LeaseID) reply {
	id, ok := s.leaseIDs.Get(lease)
	if !ok {
		return reply{err: store.ErrLeaseLost}
	}
	row := s.leases.Get(id)
	row.expires = now.Add(row.ttl)
	return reply{lease: lease, ttl: row.ttl}
}

func (s *state) revokeLease(lease store.LeaseID) reply {
	id, ok := s.leaseIDs.Get(lease)
	if !ok {
		return reply{err: store.ErrLeaseLost}
	}
	s.dropLease(id, lease)
	return reply{}
}

func (s *state) watch(now time.Time, c *call) reply {
	// The backlog includes changes made earlier in this tick. They are delivered to
	// the existing watches now, so that the new watch does not receive them twice.
	deliverChanges(s, engine.Tick{Now: now})
	backlog, err := s.backlog(c.key, c.from)
	if err != nil {
		return reply{err: err}
	}
	events := make(chan store.Event, len(backlog)+watchBufferSize)
	for _, event := range backlog {
		events <- event
	}
	id := s.watches.Insert(watchRow{prefix: c.key, events: events, progress: now.Add(s.options.ProgressInterval)})
	return reply{events: events, watch: id}
}

func (s *state) backlog(prefix string, from store.Revision) ([]store.Event, error) {
	if from == 0 {
		var current []store.Event
		for _, kv := range s.list(prefix) {
			current = append(current, store.Event{Value: kv.Value})
		}
		return append(current, s.progressEvent()), nil
	}
	if from <= s.compacted {
		return nil, ErrCompacted
	}
	var missed []store.Event
	for _, event := range s.history {
		if event.Value.Revision >= from && strings.HasPrefix(event.Value.Key, prefix) {
			missed = append(missed, event)
		}
	}
	return missed, nil
}

func deliverChanges(s *state, _ engine.Tick) {
	s.changes.Drain(func(change store.Event) {
		for id, watch := range s.watches.All() {
			if strings.HasPrefix(change.Value.Key, watch.prefix) {
				s.send(id, watch, change)
			}
		}
	})
}

func notifyProgress(s *state, tick engine.Tick) {
	for id, watch := range s.watches.All() {
		if !tick.Now.Before(watch.progress) {
			watch.progress = tick.Now.Add(s.options.ProgressInterval)
			s.send(id, watch, s.progressEvent())
		}
	}
}

func flush(s *state, _ engine.Tick) {
	s.answers.Drain(func(row answerRow) { row.call.answer <- row.reply })
	s.controls.Drain(func(done chan struct{}) { close(done) })
}

func nextDeadline(s *state) time.Time {
	var next time.Time
	if s.options.Now != nil {
		return next // the owner of the clock calls Tick
	}
	earliest := func(at time.Time) {
		if next.IsZero() || at.Before(next) {
			next = at
		}
	}
	for _, row := range s.calls.All() {
		earliest(row.due)
	}
	if !s.faults.Down {
		for _, row := range s.leases.All() {
			earliest(row.expires)
		}
	}
	for _, row := range s.watches.All() {
		earliest(row.progress)
	}
	return next
}
