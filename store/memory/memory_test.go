package memory

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/waxwingbridge/waxwingbridge/store"
)

type fakeClock struct{ nanos atomic.Int64 }

func (c *fakeClock) now() time.Time          { return time.Unix(1_800_000_000, c.nanos.Load()) }
func (c *fakeClock) advance(d time.Duration) { c.nanos.Add(int64(d)) }

func start(t *testing.T, options Options) *Store {
	t.Helper()
	s := New(options)
	t.Cleanup(func() {
		s.Close()
		goleak.VerifyNone(t)
	})
	return s
}

func mustPut(t *testing.T, s *Store, put store.Put) store.Revision {
	t.Helper()
	revision, err := s.CompareAndSwap(context.Background(), put)
	if err != nil {
		t.Fatalf("put %+v: %v", put, err)
	}
	return revision
}

func next(t *testing.T, events <-chan store.Event) store.Event {
	t.Helper()
	select {
	case event, ok := <-events:
		if !ok {
			t.Fatal("watch ended")
		}
		return event
	case <-time.After(10 * time.Second):
		t.Fatal("no event")
		return store.Event{}
	}
}

// Guards against two writes that both succeed on the same revision.
func TestCompareAndSwapRefusesStaleRevision(t *testing.T) {
	s := start(t, Options{})
	ctx := context.Background()
	first := mustPut(t, s, store.Put{Key: "a", Data: []byte("1"), WriteID: "w1"})
	second := mustPut(t, s, store.Put{Key: "a", Data: []byte("2"), WriteID: "w2", Revision: first})
	for _, stale := range []store.Revision{0, first} {
		if _, err := s.CompareAndSwap(ctx, store.Put{Key: "a", WriteID: "w3", Revision: stale}); !errors.Is(err, store.ErrConflict) {
			t.Errorf("write based on revision %d: %v, want conflict", stale, err)
		}
	}
	if err := s.Delete(ctx, "a", first); !errors.Is(err, store.ErrConflict) {
		t.Errorf("delete of an old revision: %v, want conflict", err)
	}
	if got, err := s.Get(ctx, "a"); err != nil || string(got.Data) != "2" || got.WriteID != "w2" || got.Revision != second {
		t.Errorf("Get = %+v, %v", got, err)
	}
	if err := s.Delete(ctx, "a", second); err != nil {
		t.Error(err)
	}
	if got, err := s.Get(ctx, "a"); err != nil || got.Revision != 0 {
		t.Errorf("deleted key: %+v, %v", got, err)
	}
}

// Guards against repeating a write that took effect although its response was lost.
func TestResolveAfterLostAnswer(t *testing.T) {
	s := start(t, Options{})
	ctx := context.Background()
	lost := store.Put{Key: "a", Data: []byte("1"), WriteID: "w1"}
	if _, err := store.Resolve(ctx, s, lost); !errors.Is(err, store.ErrNotApplied) {
		t.Fatalf("Resolve before the write arrives: %v, want not applied", err)
	}
	s.SetFaults(Faults{LoseNextAnswers: 1})
	if _, err := s.CompareAndSwap(ctx, lost); !errors.Is(err, store.ErrUnknown) {
		t.Fatalf("write with a lost response: %v, want unknown", err)
	}
	revision, err := store.Resolve(ctx, s, lost)
	if err != nil || revision == 0 {
		t.Fatalf("Resolve = %d, %v", revision, err)
	}
	mustPut(t, s, store.Put{Key: "a", WriteID: "w2", Revision: revision})
	if _, err := store.Resolve(ctx, s, lost); !errors.Is(err, store.ErrConflict) {
		t.Errorf("Resolve after another write: %v, want conflict", err)
	}
	s.SetFaults(Faults{Down: true})
	if _, err := store.Resolve(ctx, s, lost); !errors.Is(err, store.ErrUnknown) {
		t.Errorf("Resolve while down: %v, want unknown", err)
	}
}

// Guards against leases that do not expire, and against keys that remain after
// their lease has expired.
func TestLeaseExpiryDeletesItsKeys(t *testing.T) {
	clock := &fakeClock{}
	s := start(t, Options{Now: clock.now})
	ctx := context.Background()
	lease, err := s.GrantLease(ctx, 10*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	mustPut(t, s, store.Put{Key: "members/1", WriteID: "w1", Lease: lease})
	clock.advance(9 * time.Second)
	if _, err := s.RenewLease(ctx, lease); err != nil {
		t.Fatal(err)
	}
	clock.advance(9 * time.Second)
	if got, _ := s.Get(ctx, "members/1"); got.Revision == 0 {
		t.Fatal("key was deleted although its lease was renewed")
	}
	clock.advance(time.Second)
	if _, err := s.RenewLease(ctx, lease); !errors.Is(err, store.ErrLeaseLost) {
		t.Errorf("renewal at the time of expiry: %v, want lost", err)
	}
	if got, _ := s.Get(ctx, "members/1"); got.Revision != 0 {
		t.Error("key still exists after its lease has expired")
	}
	if _, err := s.CompareAndSwap(ctx, store.Put{Key: "members/1", WriteID: "w2", Lease: lease}); !errors.Is(err, store.ErrLeaseLost) {
		t.Errorf("write with an expired lease: %v, want lost", err)
	}
}

// Guards against all leases expiring at once after a store outage.
func TestLeasesStartAnewAfterOutage(t *testing.T) {
	clock := &fakeClock{}
	s := start(t, Options{Now: clock.now})
	ctx := context.Background()
	lease, err := s.GrantLease(ctx, 10*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	s.SetFaults(Faults{Down: true})
	clock.advance(time.Hour)
	s.SetFaults(Faults{})
	clock.advance(9 * time.Second)
	if _, err := s.RenewLease(ctx, lease); err != nil {
		t.Errorf("renewal after the outage: %v", err)
	}
}

// Guards against a resumed watch that misses or repeats changes.
func TestWatchDeliversAndResumes(t *testing.T) {
	clock := &fakeClock{}
	s := start(t, Options{Now: clock.now})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	first := mustPut(t, s, store.Put{Key: "shared/a", WriteID: "w1"})
	events, err := s.Watch(ctx, "shared/")
	if err != nil {
		t.Fatal(err)
	}
	if e := next(t, events); e.Value.WriteID != "w1" {
		t.Errorf("first event %+v", e)
	}
	if e := next(t, events); !e.Progress || e.Value.Revision != first {
		t.Errorf("second event %+v, want progress at %d", e, first)
	}
	mustPut(t, s, store.Put{Key: "other", WriteID: "w2"})
	second := mustPut(t, s, store.Put{Key: "shared/a", WriteID: "w3", Revision: first})
	if e := next(t, events); e.Value.WriteID != "w3" {
		t.Errorf("change %+v", e)
	}
	clock.advance(DefaultProgressInterval)
	s.Tick()
	if e := next(t, events); !e.Progress {
		t.Errorf("event %+v, want progress", e)
	}
	s.CutWatches()
	if _, open := <-events; open {
		t.Fatal("watch is still open after CutWatches")
	}
	third := mustPut(t, s, store.Put{Key: "shared/a", WriteID: "w4", Revision: second})
	resumed, err := s.WatchFrom(ctx, "shared/", second+1)
	if err != nil {
		t.Fatal(err)
	}
	if e := next(t, resumed); e.Value.Revision != third || e.Value.WriteID != "w4" {
		t.Errorf("first event of the resumed watch is %+v", e)
	}
}

// Guards against a resumed watch that silently skips compacted changes.
func TestWatchFromCompactedRevisionFails(t *testing.T) {
	s := start(t, Options{})
	var revision store.Revision
	for range historyLength + 1 {
		revision = mustPut(t, s, store.Put{Key: "a", WriteID: "w", Revision: revision})
	}
	if _, err := s.WatchFrom(context.Background(), "a", firstRevision+1); !errors.Is(err, ErrCompacted) {
		t.Errorf("watch from a compacted revision: %v, want ErrCompacted", err)
	}
}

// Guards against reporting a write as not executed although it arrives later.
func TestSlowWriteTakesEffectAfterCallerGaveUp(t *testing.T) {
	clock := &fakeClock{}
	s := start(t, Options{Now: clock.now})
	s.SetFaults(Faults{Latency: time.Second})
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	if _, err := s.CompareAndSwap(ctx, store.Put{Key: "a", WriteID: "w1"}); !errors.Is(err, store.ErrUnknown) {
		t.Fatalf("write that timed out: %v, want unknown", err)
	}
	clock.advance(time.Second)
	s.SetFaults(Faults{})
	if got, err := s.Get(context.Background(), "a"); err != nil || got.WriteID != "w1" {
		t.Errorf("Get = %+v, %v", got, err)
	}
}

// Guards against executing calls that the rate limit rejects.
func TestRateLimitAndCounters(t *testing.T) {
	clock := &fakeClock{}
	s := start(t, Options{Now: clock.now, WritesPerSecond: 2})
	ctx := context.Background()
	mustPut(t, s, store.Put{Key: "a", WriteID: "w1"})
	mustPut(t, s, store.Put{Key: "b", WriteID: "w2"})
	if _, err := s.CompareAndSwap(ctx, store.Put{Key: "c", WriteID: "w3"}); !errors.Is(err, store.ErrUnavailable) {
		t.Errorf("write above the rate limit: %v, want unavailable", err)
	}
	if values, err := s.List(ctx, ""); err != nil || len(values) != 2 {
		t.Errorf("List = %v, %v", values, err)
	}
	calls := s.Calls()
	if calls["compare-and-swap"] != 3 || calls["list"] != 1 {
		t.Errorf("calls = %v", calls)
	}
}
