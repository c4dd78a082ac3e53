// Package memory is an in-memory implementation of the key-value service with
// fault injection. Unit tests use it directly; the stand-in platform serves it
// over HTTP.
//
// Keys, leases and watches are tables that belong to one loop. Callers post a call
// to the loop and wait for the reply.
package memory

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/store"
	"github.com/waxwingbridge/waxwingbridge/table"
)

// Defaults of Options.
const (
	// DefaultProgressInterval is well below membership.FleetViewTTL of 4 s, so that
	// progress notifications keep the fleet view confirmed.
	DefaultProgressInterval = time.Second
	// DefaultMaxValueBytes is the largest value that the platform's store accepts.
	DefaultMaxValueBytes = 1 << 20
)

const inboxSize = 1024

// Options configure a Store. The zero value is usable.
type Options struct {
	// Now replaces the clock. After advancing it, the owner must call Tick: leases,
	// delayed calls and progress notifications depend on this clock only.
	Now              func() time.Time
	ProgressInterval time.Duration
	MaxValueBytes    int
	// ReadsPerSecond and WritesPerSecond limit the rate of calls; calls above the
	// limit fail with store.ErrUnavailable. Zero means no limit.
	ReadsPerSecond  float64
	WritesPerSecond float64
}

// Faults selects the faults that a Store injects.
type Faults struct {
	// Down makes every call fail with store.ErrUnavailable and ends all watches.
	// Leases do not expire during the outage and restart with their full time to
	// live after it, as they do when etcd elects a leader.
	Down bool
	// Latency delays the execution of each call. A write is executed even if its
	// caller has timed out by then.
	Latency time.Duration
	// LoseAnswers executes writes but makes them return store.ErrUnknown.
	LoseAnswers bool
	// LoseNextAnswers does the same for the given number of writes.
	LoseNextAnswers int
	// SilentWatches discards changes and progress notifications of watches, like a
	// half-open connection.
	SilentWatches bool
}

// KV is a value with additional fields, which only the stand-in platform needs.
type KV struct {
	store.Value
	Lease          store.LeaseID
	CreateRevision store.Revision
	Version        int64
}

// Store implements store.Store.
type Store struct {
	loop      *engine.Loop[state, event]
	counter   *store.CallCounter
	ctx       context.Context // cancelled by Close
	stop      context.CancelFunc
	stopped   chan struct{}
	closeOnce sync.Once
}

var _ store.Store = (*Store)(nil)

// New starts a store. Close stops its goroutine.
func New(options Options) *Store {
	s := newState(options)
	program := program()
	ctx, stop := context.WithCancel(context.Background())
	m := &Store{
		loop:    engine.NewLoop(program, s, inboxSize),
		counter: s.counter,
		ctx:     ctx,
		stop:    stop,
		stopped: make(chan struct{}),
	}
	go func() {
		defer close(m.stopped)
		m.loop.Run(ctx)
		s.closeWatches()
	}()
	return m
}

// Close stops the store and ends all watches.
func (m *Store) Close() {
	m.closeOnce.Do(m.stop)
	<-m.stopped
}

// Calls returns the number of calls by kind. A watch counts as one call.
func (m *Store) Calls() map[string]int64 { return m.counter.Snapshot() }

// Counter returns the live counter of calls.
func (m *Store) Counter() *store.CallCounter { return m.counter }

// SetFaults replaces the injected faults. They are in effect when it returns.
func (m *Store) SetFaults(faults Faults) { m.control(controlEvent{faults: &faults}) }

// CutWatches ends all watches, as a broken connection would.
func (m *Store) CutWatches() { m.control(controlEvent{cutWatches: true}) }

// Tick runs the systems once. The owner of a fake clock calls it after advancing
// the clock.
func (m *Store) Tick() { m.control(controlEvent{}) }

// Revision returns the revision of the latest change.
func (m *Store) Revision() store.Revision {
	done := make(chan store.Revision, 1)
	m.control(controlEvent{revision: done})
	select {
	case revision := <-done:
		return revision
	default:
		return 0
	}
}

func (m *Store) control(event controlEvent) {
	event.done = make(chan struct{})
	if m.ctx.Err() != nil || m.loop.Post(m.ctx, event) != nil {
		return
	}
	select {
	case <-event.done:
	case <-m.stopped:
	}
}

// Get implements store.Store.
func (m *Store) Get(ctx context.Context, key string) (store.Value, error) {
	answer, err := m.call(ctx, &call{kind: store.CallGet, key: key})
	if err != nil || len(answer.kvs) == 0 {
		return store.Value{Key: key}, err
	}
	return answer.kvs[0].Value, nil
}

// List implements store.Store. The values are sorted by key.
func (m *Store) List(ctx context.Context, prefix string) ([]store.Value, error) {
	kvs, _, err := m.Range(ctx, prefix, true)
	if err != nil {
		return nil, err
	}
	values := make([]store.Value, len(kvs))
	for i := range kvs {
		values[i] = kvs[i].Value
	}
	return values, nil
}

// Range returns a key, or all keys under a prefix, and the store's revision.
func (m *Store) Range(ctx context.Context, key string, prefix bool) ([]KV, store.Revision, error) {
	kind := store.CallGet
	if prefix {
		kind = store.CallList
	}
	answer, err := m.call(ctx, &call{kind: kind, key: key})
	return answer.kvs, answer.revision, err
}

// CompareAndSwap implements store.Store.
func (m *Store) CompareAndSwap(ctx context.Context, put store.Put) (store.Revision, error) {
	answer, err := m.call(ctx, &call{kind: store.CallCompareAndSwap, key: put.Key, put: put})
	return answer.revision, err
}

// Delete implements store.Store.
func (m *Store) Delete(ctx context.Context, key string, revision store.Revision) error {
	_, err := m.call(ctx, &call{kind: store.CallDelete, key: key, put: store.Put{Revision: revision}})
	return err
}

// GrantLease implements store.Store.
func (m *Store) GrantLease(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	answer, err := m.call(ctx, &call{kind: store.CallGrantLease, ttl: ttl})
	return answer.lease, err
}

// RenewLease implements store.Store.
func (m *Store) RenewLease(ctx context.Context, lease store.LeaseID) (time.Duration, error) {
	answer, err := m.call(ctx, &call{kind: store.CallRenewLease, lease: lease})
	return answer.ttl, err
}

// RevokeLease implements store.Store. The keys of the lease are deleted.
func (m *Store) RevokeLease(ctx context.Context, lease store.LeaseID) error {
	_, err := m.call(ctx, &call{kind: store.CallRevokeLease, lease: lease})
	return err
}

// Watch implements store.Store. A progress notification follows the current
// values, so that the caller knows when all of them have been delivered.
func (m *Store) Watch(ctx context.Context, prefix string) (<-chan store.Event, error) {
	return m.WatchFrom(ctx, prefix, 0)
}

// WatchFrom delivers every change from the given revision on. Revision zero
// delivers the current values instead. It returns ErrCompacted if the history
// does not reach back to the revision. Progress notifications carry the store's
// revision in their value.
func (m *Store) WatchFrom(ctx context.Context, prefix string, from store.Revision) (<-chan store.Event, error) {
	answer, err := m.call(ctx, &call{kind: store.CallWatch, key: prefix, from: from})
	if err != nil {
		return nil, err
	}
	context.AfterFunc(ctx, func() {
		m.control(controlEvent{closeWatch: answer.watch})
	})
	return answer.events, nil
}

func (m *Store) call(ctx context.Context, c *call) (reply, error) {
	c.answer = make(chan reply, 1)
	select {
	case <-m.stopped:
		return reply{}, errors.Newf("%w: store is closed", store.ErrUnavailable)
	default:
	}
	if err := ctx.Err(); err != nil {
		return reply{}, fmt.Errorf("%w: %w", store.ErrUnavailable, err)
	}
	if err := m.loop.Post(ctx, c); err != nil {
		return reply{}, fmt.Errorf("%w: %w", store.ErrUnavailable, err)
	}
	select {
	case answer := <-c.answer:
		return answer, answer.err
	case <-ctx.Done():
		c.abandon(m)
		return reply{}, fmt.Errorf("%w: %w", c.noAnswerError(), ctx.Err())
	case <-m.stopped:
		return reply{}, errors.Newf("%w: store is closed", c.noAnswerError())
	}
}

// abandon ends the watch of a call whose caller no longer waits for the reply.
func (c *call) abandon(m *Store) {
	if c.kind != store.CallWatch {
		return
	}
	go func() {
		select {
		case answer := <-c.answer:
			m.control(controlEvent{closeWatch: answer.watch})
		case <-m.stopped:
		}
	}()
}

func (c *call) noAnswerError() error {
	if c.kind.IsWrite() {
		return store.ErrUnknown
	}
	return store.ErrUnavailable
}

func program() engine.Program[state, event] {
	return engine.Program[state, event]{
		Apply:        func(s *state, tick engine.Tick, e event) { e.apply(s, s.localTick(tick)) },
		Systems:      systems(),
		Flush:        flush,
		NextDeadline: nextDeadline,
	}
}

// event is a store call or a control event.
type event interface {
	apply(s *state, tick engine.Tick)
}

// call is a store call that the loop executes.
type call struct {
	kind   store.CallKind
	key    string // or prefix
	put    store.Put
	lease  store.LeaseID
	ttl    time.Duration
	from   store.Revision
	answer chan reply // capacity 1, so that the loop never blocks on the caller
}

func (c *call) apply(s *state, tick engine.Tick) {
	s.counter.Add(c.kind)
	s.arrivals++
	s.calls.Insert(callRow{call: c, due: tick.Now.Add(s.faults.Latency), arrival: s.arrivals})
}

type reply struct {
	kvs      []KV
	revision store.Revision
	lease    store.LeaseID
	ttl      time.Duration
	events   <-chan store.Event
	watch    table.ID
	err      error
}

// controlEvent changes the faults, ends watches or reads the revision. done is
// closed after the systems of the tick have run.
type controlEvent struct {
	faults     *Faults
	cutWatches bool
	closeWatch table.ID
	revision   chan store.Revision
	done       chan struct{}
}

func (e controlEvent) apply(s *state, tick engine.Tick) {
	if e.faults != nil {
		if s.faults.Down && !e.faults.Down {
			s.extendLeases(tick.Now)
		}
		s.faults = *e.faults
	}
	if e.cutWatches || s.faults.Down {
		s.closeWatches()
	}
	s.closeWatch(e.closeWatch)
	if e.revision != nil {
		e.revision <- s.revision
	}
	s.controls.Add(e.done)
}
