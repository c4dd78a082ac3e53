package store

import (
	"context"
	"math/rand/v2"
	"time"
)

// Backoff yields waiting times with full jitter: each is drawn evenly from zero
// to a bound that doubles from Base up to Max. It belongs to one goroutine.
type Backoff struct {
	Base time.Duration
	Max  time.Duration
	Rand *rand.Rand // nil uses the shared generator

	failures int
}

// Next returns the time to wait after another failure.
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

// Reset returns to the first bound after a success.
func (b *Backoff) Reset() { b.failures = 0 }

// Wait sleeps for the next waiting time. It returns the context's error if the
// context ends first.
func (b *Backoff) Wait(ctx context.Context) error { return Sleep(ctx, b.Next()) }

// Sleep waits for the duration or until the context ends, and then returns the
// context's error.
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
