// Package memory is the key-value service in memory, with fault switches. Unit
// tests use it directly; the stand-in platform serves it over HTTP.
//
// Keys, leases and watches are tables that one loop owns. Callers post their
// call and wait for the answer.
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
	// DefaultProgressInterval keeps a watch's freshness well inside the vouch period of 4 s.
	DefaultProgressInterval = time.Second
	// DefaultMaxValueBytes is the largest value that the platform's store holds.
	DefaultMaxValueBytes = 1 << 20
)

const inboxSize = 1024

// Options configure a Store. The zero value is usable.
type Options struct {
	// Now replaces the clock. The owner calls Tick after it has moved the clock;
	// leases, delayed calls and progress notifications follow this clock only.
	Now              func() time.Time
	ProgressInterval time.Duration
	MaxValueBytes    int
	// ReadsPerSecond and WritesPerSecond limit the rate of calls; calls above it
	// fail with store.ErrUnavailable. Zero does not limit.
	ReadsPerSecond  float64
	WritesPerSecond float64
}

// Faults are the switches of a Store.
type Faults struct {
	// Down makes every call fail with store.ErrUnavailable and ends all watches.
	// Leases do not expire meanwhile, and start anew with their full time to live
	// afterwards, as they do when etcd elects a leader.
	Down bool
	// Latency delays the effect of each call. A write takes effect even if its
	// caller has given up meanwhile.
	Latency time.Duration
	// LoseAnswers makes writes take effect and return store.ErrUnknown.
	LoseAnswers bool
	// LoseNextAnswers does the same for this number of writes.
	LoseNextAnswers int
	// SilentWatches holds back changes and progress notifications of watches, as a
	// connection does whose other end is gone. Changes held back are lost.
	SilentWatches bool
}

// KV is a value with the fields that only the stand-in of the service needs.
type KV struct {
	store.Value
	Lease          store.LeaseID
	CreateRevision store.Revision
	Version        int64
}

// Store is the service. It implements store.Store.
type Store struct {
	loop    *engine.Loop[state, event]
	counter *store.CallCounter
	running context.Context // ends with Close
	stop    context.CancelFunc
	stopped chan struct{}
	once    sync.Once
}

var _ store.Store = (*Store)(nil)

// New starts a store. Close ends its goroutine.
func New(options Options) *Store {
	s := newState(options)
	program := program()
	ctx, stop := context.WithCancel(context.Background())
	m := &Store{
		loop:    engine.NewLoop(program, s, inboxSize),
		counter: s.counter,
		running: ctx,
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

// Close ends the store and all watches.
func (m *Store) Close() {
	m.once.Do(m.stop)
	<-m.stopped
}

// Calls returns the number of calls by kind; a waiting watch counts as one call.
func (m *Store) Calls() map[string]int64 { return m.counter.Snapshot() }

// Counter returns the live counter of calls.
func (m *Store) Counter() *store.CallCounter { return m.counter }

// SetFaults replaces the fault switches and returns when they are in force.
func (m *Store) SetFaults(faults Faults) { m.control(controlEvent{faults: &faults}) }

// CutWatches ends all watches, as a broken connection would.
func (m *Store) CutWatches() { m.control(controlEvent{cutWatches: true}) }

// Tick runs the systems once. Owners of a fake clock call it after moving the clock.
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
	if m.running.Err() != nil || m.loop.Post(m.running, event) != nil {
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
// values, so that the caller knows when it has seen all of them.
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
		m.control(controlEvent{unwatch: answer.watch})
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
		return reply{}, fmt.Errorf("%w: %w", c.unanswered(), ctx.Err())
	case <-m.stopped:
		return reply{}, errors.Newf("%w: store is closed", c.unanswered())
	}
}

// abandon ends the watch of a call whose caller no longer waits for its answer.
func (c *call) abandon(m *Store) {
	if c.kind != store.CallWatch {
		return
	}
	go func() {
		select {
		case answer := <-c.answer:
			m.control(controlEvent{unwatch: answer.watch})
		case <-m.stopped:
		}
	}()
}

func (c *call) unanswered() error {
	if c.kind.IsWrite() {
		return store.ErrUnknown
	}
	return store.ErrUnavailable
}

func program() engine.Program[state, event] {
	return engine.Program[state, event]{
		Apply:        func(s *state, tick engine.Tick, e event) { e.apply(s, s.local(tick)) },
		Systems:      systems(),
		Flush:        flush,
		NextDeadline: nextDeadline,
	}
}

// event is a call or a change of the switches.
type event interface {
	apply(s *state, tick engine.Tick)
}

// call is one call of the port on its way through the loop.
type call struct {
	kind   store.CallKind
	key    string // or prefix
	put    store.Put
	lease  store.LeaseID
	ttl    time.Duration
	from   store.Revision
	answer chan reply // holds one reply, so the loop never waits for the caller
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

// controlEvent changes switches. done is closed after the systems of its tick.
type controlEvent struct {
	faults     *Faults
	cutWatches bool
	unwatch    table.ID
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
	s.closeWatch(e.unwatch)
	if e.revision != nil {
		e.revision <- s.revision
	}
	s.controls.Add(e.done)
}
