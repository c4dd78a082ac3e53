package store_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"github.com/waxwingbridge/waxwingbridge/store"
	"github.com/waxwingbridge/waxwingbridge/store/memory"
)

const leaseTTL = 9 * time.Second

type fakeClock struct{ nanos atomic.Int64 }

func (c *fakeClock) now() time.Time          { return time.Unix(1_800_000_000, c.nanos.Load()) }
func (c *fakeClock) advance(d time.Duration) { c.nanos.Add(int64(d)) }

type leaseFixture struct {
	clock         fakeClock
	memory        *memory.Store
	lease         *store.ProcessLease
	granted, lost []store.LeaseID
}

func newLeaseFixture(t *testing.T) *leaseFixture {
	f := &leaseFixture{}
	f.memory = memory.New(memory.Options{Now: f.clock.now})
	t.Cleanup(f.memory.Close)
	f.lease = store.NewProcessLease(f.memory, store.ProcessLeaseOptions{
		TTL: leaseTTL, Now: f.clock.now, Rand: rand.New(rand.NewPCG(20261204, 1)),
		OnGranted: func(id store.LeaseID) { f.granted = append(f.granted, id) },
		OnLost:    func(id store.LeaseID) { f.lost = append(f.lost, id) },
	})
	return f
}

// Guards against a deadline that counts from the response instead of the request.
func TestProcessLeaseDeadlineCountsFromSending(t *testing.T) {
	f := newLeaseFixture(t)
	ctx := context.Background()
	f.lease.Step(ctx)
	sent := f.clock.now()
	f.clock.advance(3 * time.Second)
	if got := f.lease.Remaining(f.clock.now()); got != leaseTTL-3*time.Second {
		t.Errorf("remaining = %v, want 3 s less than the TTL", got)
	}
	if wait := f.lease.Step(ctx); wait <= 0 || wait > leaseTTL/2 {
		t.Errorf("next renewal in %v, want at most half of the TTL", wait)
	}
	if got := f.lease.Deadline(); !got.Equal(sent.Add(3*time.Second + leaseTTL)) {
		t.Errorf("deadline = %v", got)
	}
}

// Guards against a paused process that keeps acting under an expired lease.
func TestProcessLeaseGrantsAnewAfterExpiry(t *testing.T) {
	f := newLeaseFixture(t)
	ctx := context.Background()
	f.lease.Step(ctx)
	first := f.lease.ID()
	f.clock.advance(leaseTTL)
	if f.lease.Remaining(f.clock.now()) != 0 || f.lease.ID() != 0 {
		t.Fatal("expired lease is still reported as valid")
	}
	f.lease.Step(ctx)
	if len(f.lost) != 1 || f.lost[0] != first || len(f.granted) != 2 || f.lease.ID() == first {
		t.Errorf("granted %v, lost %v", f.granted, f.lost)
	}
}

// Guards against retrying without delay, and against giving the lease up before
// its deadline, during a store outage.
func TestProcessLeaseSurvivesShortOutage(t *testing.T) {
	f := newLeaseFixture(t)
	ctx := context.Background()
	f.lease.Step(ctx)
	f.memory.SetFaults(memory.Faults{Down: true})
	for range 5 {
		if wait := f.lease.Step(ctx); wait < 10*time.Millisecond || wait > leaseTTL/6 {
			t.Errorf("retry after %v", wait)
		}
	}
	f.memory.SetFaults(memory.Faults{})
	f.clock.advance(leaseTTL - time.Second)
	f.lease.Step(ctx)
	if len(f.lost) != 0 || f.lease.Remaining(f.clock.now()) != leaseTTL {
		t.Errorf("lost %v, remaining %v", f.lost, f.lease.Remaining(f.clock.now()))
	}
}

// Guards against a process that continues to use a lease revoked in the store.
func TestProcessLeaseNoticesRevocation(t *testing.T) {
	f := newLeaseFixture(t)
	ctx := context.Background()
	f.lease.Step(ctx)
	if err := f.memory.RevokeLease(ctx, f.lease.ID()); err != nil {
		t.Fatal(err)
	}
	f.lease.Step(ctx)
	if f.lease.Remaining(f.clock.now()) != 0 || len(f.lost) != 1 {
		t.Errorf("lease remains valid after its revocation; lost = %v", f.lost)
	}
	f.lease.Step(ctx)
	if f.lease.Remaining(f.clock.now()) != leaseTTL {
		t.Error("no new lease was granted after the loss")
	}
}

// pausingStore advances the clock during a renewal, as if the process was paused.
type pausingStore struct {
	store.Store
	clock *fakeClock
	pause time.Duration
}

func (p pausingStore) RenewLease(ctx context.Context, lease store.LeaseID) (time.Duration, error) {
	ttl, err := p.Store.RenewLease(ctx, lease)
	p.clock.advance(p.pause)
	return ttl, err
}

// Guards against a lease that becomes valid again after other goroutines have seen
// it expire.
func TestProcessLeaseExpiresDuringRenewal(t *testing.T) {
	f := newLeaseFixture(t)
	lost := 0
	lease := store.NewProcessLease(pausingStore{f.memory, &f.clock, leaseTTL}, store.ProcessLeaseOptions{
		TTL: leaseTTL, Now: f.clock.now, OnLost: func(store.LeaseID) { lost++ },
	})
	ctx := context.Background()
	lease.Step(ctx)
	lease.Step(ctx)
	if lease.ID() != 0 || lost != 1 {
		t.Errorf("lease %d after the pause, OnLost called %d times; want no lease and one call", lease.ID(), lost)
	}
}

// Guards against a Run that renews without delay or after its context has ended.
func TestProcessLeaseRunRenewsWithoutSpinning(t *testing.T) {
	m := memory.New(memory.Options{})
	defer m.Close()
	lease := store.NewProcessLease(m, store.ProcessLeaseOptions{TTL: 900 * time.Millisecond})
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	started := time.Now()
	go func() { defer close(stopped); lease.Run(ctx) }()
	for m.Counter().Get(store.CallRenewLease) < 3 {
		time.Sleep(5 * time.Millisecond)
	}
	cancel()
	<-stopped
	// Steps are at least 50 ms apart, even failed ones, and make at most two calls.
	most := 2 * (int64(time.Since(started)/(50*time.Millisecond)) + 1)
	if calls := m.Counter().Total(); calls > most {
		t.Errorf("%d calls, at most %d expected", calls, most)
	}
	lease.Release(context.Background())
	if lease.ID() != 0 || m.Counter().Get(store.CallRevokeLease) != 1 {
		t.Error("lease was not revoked by Release")
	}
}

// Guards against writes that consume the tokens reserved for lease renewals.
func TestBudgetKeepsReserveForLeases(t *testing.T) {
	var clock fakeClock
	m := memory.New(memory.Options{})
	defer m.Close()
	b := store.NewRateLimitedStore(m, store.RateLimits{WritesPerSecond: 1, WriteBurst: 3, LeaseReserve: 2}, clock.now)
	ctx := context.Background()
	if _, err := b.CompareAndSwap(ctx, store.Put{Key: "a", WriteID: "1"}); err != nil {
		t.Fatal(err)
	}
	if _, err := b.CompareAndSwap(ctx, store.Put{Key: "b", WriteID: "2"}); !errors.Is(err, store.ErrRateLimited) {
		t.Errorf("write that would use the reserve: %v, want rate limited", err)
	}
	if _, err := b.GrantLease(ctx, leaseTTL); err != nil {
		t.Errorf("lease call within the reserve: %v", err)
	}
	if m.Calls()["compare-and-swap"] != 1 || b.Rejected() != 1 || b.Sent().Get(store.CallGrantLease) != 1 {
		t.Errorf("calls %v, rejected %d", m.Calls(), b.Rejected())
	}
	clock.advance(2 * time.Second)
	if _, err := b.CompareAndSwap(ctx, store.Put{Key: "b", WriteID: "3"}); err != nil {
		t.Errorf("write after refill: %v", err)
	}
}

// Guards against delays outside the bounds, and against overflow of the bound.
func TestBackoffStaysWithinBounds(t *testing.T) {
	b := store.Backoff{Base: 10 * time.Millisecond, Max: time.Second, Rand: rand.New(rand.NewPCG(20261204, 2))}
	bound := b.Base
	for range 200 {
		if wait := b.Next(); wait <= 0 || wait > bound {
			t.Fatalf("delay %v outside (0, %v]", wait, bound)
		}
		bound = min(2*bound, b.Max)
	}
}
