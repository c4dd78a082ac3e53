package store

import (
	"context"
	"math/rand/v2"
	"time"
)

// Backoff computes exponential backoff with full jitter: each delay is drawn
// uniformly between zero and a bound that doubles from Base up to Max. It is not
// safe for concurrent use.
type Backoff struct {
	Base time.Duration
	Max  time.Duration
	Rand *rand.Rand // nil uses the global generator

	failures int
}

// Next returns the delay after another failure.
func (b *Backoff) Next() time.Duration {
	bound := b.Base
	for range b.failures {
		if bound >= b.Max/2 {
			bound = b.Max
			break
		}
		bound *= 2
	}
	b.failures++
	if bound <= 0 {
		return 0
	}
	if b.Rand == nil {
		return rand.N(bound) + 1
	}
	return time.Duration(b.Rand.Int64N(int64(bound))) + 1
}

// Reset sets the bound back to Base. It is called after a success.
func (b *Backoff) Reset() { b.failures = 0 }

// Wait sleeps for the next delay. It returns the context's error if the context
// ends first.
func (b *Backoff) Wait(ctx context.Context) error { return Sleep(ctx, b.Next()) }

// Sleep waits for the duration. It returns the context's error if the context
// ends first.
func Sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
