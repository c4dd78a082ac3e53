package store

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// Budget bounds the calls of one process. A rate of zero does not limit.
type Budget struct {
	ReadsPerSecond  float64
	ReadBurst       float64
	WritesPerSecond float64
	WriteBurst      float64
	// LeaseReserve is the number of write tokens that only lease calls may use,
	// so that a burst of writes never costs the process its lease.
	LeaseReserve float64
}

// DefaultBudget keeps 16 processes (a gateway and a controller on each of 8 entry
// VMs) at 320 writes and 800 reads a second, inside the service's several hundred
// writes and 2000 reads.
var DefaultBudget = Budget{ReadsPerSecond: 50, ReadBurst: 50, WritesPerSecond: 20, WriteBurst: 20, LeaseReserve: 4}

// Budgeted is a Store that limits and counts the calls of a process. A call
// above the budget returns ErrBudget and is not sent.
type Budgeted struct {
	store   Store
	reserve float64
	now     func() time.Time
	sent    CallCounter
	refused atomic.Int64

	mu     sync.Mutex // guards the buckets, which the I/O goroutines share
	reads  TokenBucket
	writes TokenBucket
}

var _ Store = (*Budgeted)(nil)

// NewBudgeted returns a decorator of the store. A nil clock means time.Now.
func NewBudgeted(s Store, budget Budget, now func() time.Time) *Budgeted {
	if now == nil {
		now = time.Now
	}
	return &Budgeted{
		store:   s,
		reserve: budget.LeaseReserve,
		now:     now,
		reads:   TokenBucket{Rate: budget.ReadsPerSecond, Burst: budget.ReadBurst},
		writes:  TokenBucket{Rate: budget.WritesPerSecond, Burst: budget.WriteBurst},
	}
}

// Sent returns the counter of the calls that were sent.
func (b *Budgeted) Sent() *CallCounter { return &b.sent }

// Refused returns the number of calls that the budget held back.
func (b *Budgeted) Refused() int64 { return b.refused.Load() }

func (b *Budgeted) take(kind CallKind) error {
	if !b.takeToken(kind) {
		b.refused.Add(1)
		return errors.Newf("%w: %s", ErrBudget, kind)
	}
	b.sent.Add(kind)
	return nil
}

func (b *Budgeted) takeToken(kind CallKind) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	switch {
	case kind.Lease():
		return b.writes.Take(now, 0)
	case kind.Write():
		return b.writes.Take(now, b.reserve)
	default:
		return b.reads.Take(now, 0)
	}
}

// Get implements Store.
func (b *Budgeted) Get(ctx context.Context, key string) (Value, error) {
	if err := b.take(CallGet); err != nil {
		return Value{}, err
	}
	return b.store.Get(ctx, key)
}

// List implements Store.
func (b *Budgeted) List(ctx context.Context, prefix string) ([]Value, error) {
	if err := b.take(CallList); err != nil {
		return nil, err
	}
	return b.store.List(ctx, prefix)
}

// CompareAndSwap implements Store.
func (b *Budgeted) CompareAndSwap(ctx context.Context, put Put) (Revision, error) {
	if err := b.take(CallCompareAndSwap); err != nil {
		return 0, err
	}
	return b.store.CompareAndSwap(ctx, put)
}

// Delete implements Store.
func (b *Budgeted) Delete(ctx context.Context, key string, revision Revision) error {
	if err := b.take(CallDelete); err != nil {
		return err
	}
	return b.store.Delete(ctx, key, revision)
}

// GrantLease implements Store.
func (b *Budgeted) GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	if err := b.take(CallGrantLease); err != nil {
		return 0, err
	}
	return b.store.GrantLease(ctx, ttl)
}

// RenewLease implements Store.
func (b *Budgeted) RenewLease(ctx context.Context, lease LeaseID) (time.Duration, error) {
	if err := b.take(CallRenewLease); err != nil {
		return 0, err
	}
	return b.store.RenewLease(ctx, lease)
}

// RevokeLease implements Store.
func (b *Budgeted) RevokeLease(ctx context.Context, lease LeaseID) error {
	if err := b.take(CallRevokeLease); err != nil {
		return err
	}
	return b.store.RevokeLease(ctx, lease)
}

// Watch implements Store.
func (b *Budgeted) Watch(ctx context.Context, prefix string) (<-chan Event, error) {
	if err := b.take(CallWatch); err != nil {
		return nil, err
	}
	return b.store.Watch(ctx, prefix)
}
