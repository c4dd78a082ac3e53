package store

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// renewalsPerTTL leaves room for two failed renewals before the lease lapses.
	renewalsPerTTL = 3
	// minRetryWait bounds the rate of attempts while the store is away.
	minRetryWait = 100 * time.Millisecond
)

// ProcessLeaseOptions configure a ProcessLease.
type ProcessLeaseOptions struct {
	TTL time.Duration
	// Now replaces the clock; its readings must be monotonic.
	Now func() time.Time
	// OnGranted is called with each new lease. Keys attached to an earlier lease
	// are gone or about to go.
	OnGranted func(LeaseID)
	// OnLost is called once when a lease has lapsed by the local clock or by the
	// store's word.
	OnLost func(LeaseID)
	// OnError is called for each failed call.
	OnError func(error)
	// Rand draws the jitter; nil uses the shared generator.
	Rand *rand.Rand
}

// ProcessLease holds the one lease of a process. One goroutine executes Run;
// any goroutine may ask Remaining.
//
// The local deadline counts from before the renewal was sent, so it never lies
// after the store's own. A lease that passed it is given up, even if the store
// still knows it.
type ProcessLease struct {
	store   Store
	options ProcessLeaseOptions
	current atomic.Pointer[grant]
	retry   Backoff
}

type grant struct {
	lease    LeaseID
	deadline time.Time
}

// NewProcessLease returns a lease that Run grants and renews.
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

// Remaining returns the time until the local deadline, or zero without a valid lease.
func (p *ProcessLease) Remaining(now time.Time) time.Duration {
	held := p.current.Load()
	if held == nil {
		return 0
	}
	return max(0, held.deadline.Sub(now))
}

// ID returns the lease, or zero if none is valid now.
func (p *ProcessLease) ID() LeaseID {
	held := p.current.Load()
	if held == nil || !p.options.Now().Before(held.deadline) {
		return 0
	}
	return held.lease
}

// Deadline returns the local deadline, or the zero time without a lease.
func (p *ProcessLease) Deadline() time.Time {
	held := p.current.Load()
	if held == nil {
		return time.Time{}
	}
	return held.deadline
}

// Run grants and renews the lease until the context ends. It does not revoke it;
// see Release.
func (p *ProcessLease) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if Sleep(ctx, p.Step(ctx)) != nil {
			return
		}
	}
}

// Step grants or renews once and returns the time until the next step. Run calls
// it; tests with a fake clock call it directly.
func (p *ProcessLease) Step(ctx context.Context) time.Duration {
	held := p.current.Load()
	if held != nil && !p.options.Now().Before(held.deadline) {
		p.lose(held)
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

// waitAfterFailure does not sleep past the deadline, so that OnLost is not late.
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
	p.current.Store(&grant{lease: lease, deadline: sent.Add(p.options.TTL)})
	if p.options.OnGranted != nil {
		p.options.OnGranted(lease)
	}
	return nil
}

func (p *ProcessLease) renew(ctx context.Context, held *grant) error {
	ctx, cancel := context.WithTimeout(ctx, p.options.TTL/renewalsPerTTL)
	defer cancel()
	sent := p.options.Now()
	remaining, err := p.store.RenewLease(ctx, held.lease)
	switch {
	case errors.Is(err, ErrLeaseLost):
		p.lose(held)
		return err
	case err != nil:
		return err
	case !p.options.Now().Before(held.deadline):
		// The process was paused past the deadline during the call. Others may have
		// seen the lapse through Remaining, so the lease does not come back.
		p.lose(held)
		p.revoke(ctx, held.lease)
		return ErrLeaseLost
	}
	p.current.Store(&grant{lease: held.lease, deadline: sent.Add(min(remaining, p.options.TTL))})
	return nil
}

func (p *ProcessLease) lose(held *grant) {
	p.current.Store(nil)
	if p.options.OnLost != nil {
		p.options.OnLost(held.lease)
	}
}

// revoke deletes what is left of a lapsed lease, so that others need not wait
// for the store to expire it. Failure is harmless.
func (p *ProcessLease) revoke(ctx context.Context, lease LeaseID) {
	ctx, cancel := context.WithTimeout(ctx, p.options.TTL/renewalsPerTTL)
	defer cancel()
	_ = p.store.RevokeLease(ctx, lease)
}

// Release gives the lease up at shutdown, after Run has returned.
func (p *ProcessLease) Release(ctx context.Context) {
	held := p.current.Swap(nil)
	if held == nil {
		return
	}
	p.revoke(ctx, held.lease)
}
