package store

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// renewalsPerTTL lets two renewals fail before the lease expires.
	renewalsPerTTL = 3
	// minRetryWait limits the rate of attempts during a store outage.
	minRetryWait = 100 * time.Millisecond
)

// ProcessLeaseOptions configure a ProcessLease.
type ProcessLeaseOptions struct {
	TTL time.Duration
	// Now replaces the clock, which must be monotonic.
	Now func() time.Time
	// OnGranted is called with each new lease. Keys attached to a previous lease
	// have been deleted or will be.
	OnGranted func(LeaseID)
	// OnLost is called once per lease, when the lease has expired by the local
	// clock or the store reports that it no longer exists.
	OnLost func(LeaseID)
	// OnError is called for each failed call.
	OnError func(error)
	// Rand draws the jitter; nil uses the global generator.
	Rand *rand.Rand
}

// ProcessLease maintains the single lease of a process. One goroutine executes
// Run; the lease and its deadline may be read from any goroutine.
//
// The local deadline counts from before the renewal was sent, so it is never later
// than the store's deadline. A lease whose local deadline has passed is abandoned,
// even if it still exists in the store.
type ProcessLease struct {
	store   Store
	options ProcessLeaseOptions
	current atomic.Pointer[heldLease]
	retry   Backoff
}

type heldLease struct {
	lease    LeaseID
	deadline time.Time
}

// NewProcessLease returns a ProcessLease without a lease; Run acquires one.
func NewProcessLease(s Store, options ProcessLeaseOptions) *ProcessLease {
	if options.Now == nil {
		options.Now = time.Now
	}
	maxWait := options.TTL / (2 * renewalsPerTTL)
	return &ProcessLease{
		store:   s,
		options: options,
		retry:   Backoff{Base: min(minRetryWait, maxWait), Max: maxWait, Rand: options.Rand},
	}
}

// Remaining returns the time until the local deadline. It is zero without a valid
// lease.
func (p *ProcessLease) Remaining(now time.Time) time.Duration {
	held := p.current.Load()
	if held == nil {
		return 0
	}
	return max(0, held.deadline.Sub(now))
}

// ID returns the lease ID, or zero if no lease is valid now.
func (p *ProcessLease) ID() LeaseID {
	held := p.current.Load()
	if held == nil || !p.options.Now().Before(held.deadline) {
		return 0
	}
	return held.lease
}

// Deadline returns the local deadline, or the zero time if there is no lease.
func (p *ProcessLease) Deadline() time.Time {
	held := p.current.Load()
	if held == nil {
		return time.Time{}
	}
	return held.deadline
}

// Run acquires and renews the lease until the context ends. It does not revoke
// the lease at the end; Release does.
func (p *ProcessLease) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if Sleep(ctx, p.Step(ctx)) != nil {
			return
		}
	}
}

// Step acquires or renews the lease once and returns the delay until the next
// step. Run calls it; tests with a fake clock call it directly.
func (p *ProcessLease) Step(ctx context.Context) time.Duration {
	held := p.current.Load()
	if held != nil && !p.options.Now().Before(held.deadline) {
		p.markLost(held)
		p.revoke(ctx, held.lease)
		held = nil
	}
	var err error
	if held == nil {
		err = p.grant(ctx)
	} else {
		err = p.renew(ctx, held)
	}
	if err != nil {
		if p.options.OnError != nil {
			p.options.OnError(err)
		}
		return p.waitAfterFailure()
	}
	p.retry.Reset()
	return p.options.TTL / renewalsPerTTL
}

// waitAfterFailure returns the delay before the next attempt. It ends no later
// than the deadline, so that OnLost is called in time.
func (p *ProcessLease) waitAfterFailure() time.Duration {
	wait := max(p.retry.Next(), p.retry.Base/2)
	if held := p.current.Load(); held != nil {
		return min(wait, max(time.Millisecond, held.deadline.Sub(p.options.Now())))
	}
	return wait
}

func (p *ProcessLease) grant(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, p.options.TTL/renewalsPerTTL)
	defer cancel()
	sent := p.options.Now()
	lease, err := p.store.GrantLease(ctx, p.options.TTL)
	if err != nil {
		return err
	}
	p.current.Store(&heldLease{lease: lease, deadline: sent.Add(p.options.TTL)})
	if p.options.OnGranted != nil {
		p.options.OnGranted(lease)
	}
	return nil
}

func (p *ProcessLease) renew(ctx context.Context, held *heldLease) error {
	ctx, cancel := context.WithTimeout(ctx, p.options.TTL/renewalsPerTTL)
	defer cancel()
	sent := p.options.Now()
	remaining, err := p.store.RenewLease(ctx, held.lease)
	switch {
	case errors.Is(err, ErrLeaseLost):
		p.markLost(held)
		return err
	case err != nil:
		return err
	case !p.options.Now().Before(held.deadline):
		// The process was paused past the deadline during the call. Other goroutines
		// may have seen the expiry through Remaining, so the lease must not become
		// valid again.
		p.markLost(held)
		p.revoke(ctx, held.lease)
		return ErrLeaseLost
	}
	p.current.Store(&heldLease{lease: held.lease, deadline: sent.Add(min(remaining, p.options.TTL))})
	return nil
}

func (p *ProcessLease) markLost(held *heldLease) {
	p.current.Store(nil)
	if p.options.OnLost != nil {
		p.options.OnLost(held.lease)
	}
}

// revoke revokes the lease in the store, so that other processes need not wait for
// its expiry. An error is ignored, because the store expires the lease anyway.
func (p *ProcessLease) revoke(ctx context.Context, lease LeaseID) {
	ctx, cancel := context.WithTimeout(ctx, p.options.TTL/renewalsPerTTL)
	defer cancel()
	_ = p.store.RevokeLease(ctx, lease)
}

// Release revokes the lease at shutdown, after Run has returned.
func (p *ProcessLease) Release(ctx context.Context) {
	held := p.current.Swap(nil)
	if held == nil {
		return
	}
	p.revoke(ctx, held.lease)
}
