package store

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// RateLimits limits the rate of store calls of one process. A rate of zero means no
// limit.
type RateLimits struct {
	ReadsPerSecond  float64
	ReadBurst       float64
	WritesPerSecond float64
	WriteBurst      float64
	// LeaseReserve is the number of write tokens that only lease calls may use, so
	// that a burst of writes cannot delay a renewal until the lease expires.
	LeaseReserve float64
}

// DefaultRateLimits limits 16 processes (a gateway and a controller on each of 8
// entry VMs) to 320 writes and 800 reads per second together. The service sustains
// several hundred writes and 2000 reads per second.
var DefaultRateLimits = RateLimits{ReadsPerSecond: 50, ReadBurst: 50, WritesPerSecond: 20, WriteBurst: 20, LeaseReserve: 4}

// RateLimitedStore is a Store that limits and counts the calls of one process. A
// call above the limit is not sent and returns ErrRateLimited.
type RateLimitedStore struct {
	store    Store
	reserve  float64
	now      func() time.Time
	sent     CallCounter
	rejected atomic.Int64

	mu     sync.Mutex // guards the buckets, which several I/O goroutines use
	reads  TokenBucket
	writes TokenBucket
}

var _ Store = (*RateLimitedStore)(nil)

// NewRateLimitedStore wraps the store with rate limits. A nil clock means time.Now.
func NewRateLimitedStore(s Store, budget RateLimits, now func() time.Time) *RateLimitedStore {
	if now == nil {
		now = time.Now
	}
	return &RateLimitedStore{
		store:   s,
		reserve: budget.LeaseReserve,
		now:     now,
		reads:   TokenBucket{Rate: budget.ReadsPerSecond, Burst: budget.ReadBurst},
		writes:  TokenBucket{Rate: budget.WritesPerSecond, Burst: budget.WriteBurst},
	}
}

// Sent returns the counter of the calls that were passed to the store.
func (b *RateLimitedStore) Sent() *CallCounter { return &b.sent }

// Rejected returns the number of calls above the limit, which were not sent.
func (b *RateLimitedStore) Rejected() int64 { return b.rejected.Load() }

func (b *RateLimitedStore) admit(kind CallKind) error {
	if !b.takeToken(kind) {
		b.rejected.Add(1)
		return errors.Newf("%w: %s", ErrRateLimited, kind)
	}
	b.sent.Add(kind)
	return nil
}

func (b *RateLimitedStore) takeToken(kind CallKind) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	switch {
	case kind.IsLease():
		return b.writes.Take(now, 0)
	case kind.IsWrite():
		return b.writes.Take(now, b.reserve)
	default:
		return b.reads.Take(now, 0)
	}
}

// Get implements Store.
func (b *RateLimitedStore) Get(ctx context.Context, key string) (Value, error) {
	if err := b.admit(CallGet); err != nil {
		return Value{}, err
	}
	return b.store.Get(ctx, key)
}

// List implements Store.
func (b *RateLimitedStore) List(ctx context.Context, prefix string) ([]Value, error) {
	if err := b.admit(CallList); err != nil {
		return nil, err
	}
	return b.store.List(ctx, prefix)
}

// CompareAndSwap implements Store.
func (b *RateLimitedStore) CompareAndSwap(ctx context.Context, put Put) (Revision, error) {
	if err := b.admit(CallCompareAndSwap); err != nil {
		return 0, err
	}
	return b.store.CompareAndSwap(ctx, put)
}

// Delete implements Store.
func (b *RateLimitedStore) Delete(ctx context.Context, key string, revision Revision) error {
	if err := b.admit(CallDelete); err != nil {
		return err
	}
	return b.store.Delete(ctx, key, revision)
}

// GrantLease implements Store.
func (b *RateLimitedStore) GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	if err := b.admit(CallGrantLease); err != nil {
		return 0, err
	}
	return b.store.GrantLease(ctx, ttl)
}

// RenewLease implements Store.
func (b *RateLimitedStore) RenewLease(ctx context.Context, lease LeaseID) (time.Duration, error) {
	if err := b.admit(CallRenewLease); err != nil {
		return 0, err
	}
	return b.store.RenewLease(ctx, lease)
}

// RevokeLease implements Store.
func (b *RateLimitedStore) RevokeLease(ctx context.Context, lease LeaseID) error {
	if err := b.admit(CallRevokeLease); err != nil {
		return err
	}
	return b.store.RevokeLease(ctx, lease)
}

// Watch implements Store.
func (b *RateLimitedStore) Watch(ctx context.Context, prefix string) (<-chan Event, error) {
	if err := b.admit(CallWatch); err != nil {
		return nil, err
	}
	return b.store.Watch(ctx, prefix)
}
