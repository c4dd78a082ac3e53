package routing

import (
	"time"

	"github.com/waxwingbridge/waxwingbridge/policy"
)

// TokenBucket limits the request rate of a tenant. Rate and burst are passed in
// from the policy in force at each use, so that a policy change needs no update
// of the buckets. The zero value is a full bucket.
type TokenBucket struct {
	used      float64 // tokens missing from a full bucket
	updatedAt time.Time
}

// Take consumes a token and reports false if none is left. A rate of zero admits
// no request.
func (b *TokenBucket) Take(now time.Time, limits policy.Tenant) bool {
	if limits.RequestsPerSecond <= 0 {
		return false
	}
	if !b.updatedAt.IsZero() {
		b.used = max(0, b.used-now.Sub(b.updatedAt).Seconds()*limits.RequestsPerSecond)
	}
	b.updatedAt = now
	if b.used+1 > float64(limits.Burst) {
		return false
	}
	b.used++
	return true
}

// TimeUntilFull returns the time until the bucket is full again. The row of a
// full bucket can be deleted, because the zero value is equivalent.
func (b *TokenBucket) TimeUntilFull(limits policy.Tenant) time.Duration {
	if limits.RequestsPerSecond <= 0 {
		return 0
	}
	return time.Duration(b.used / limits.RequestsPerSecond * float64(time.Second))
}

// maxRetryTokens limits the retries that can accumulate while few are used.
const maxRetryTokens = 100

// RetryBudget allows retries as a share of new requests. It starts empty, so that
// the retries never exceed the share, not even after a start.
type RetryBudget struct{ tokens float64 }

// AddRequest adds the share that one new request contributes.
func (b *RetryBudget) AddRequest(share float64) { b.tokens = min(maxRetryTokens, b.tokens+share) }

// Take consumes one retry and reports false if none is left.
func (b *RetryBudget) Take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Bounds of the retry backoff. The delay is drawn uniformly between zero and the
// bound ("full jitter"), and the bound doubles with each attempt.
const (
	baseRetryBackoff = 20 * time.Millisecond
	maxRetryBackoff  = 500 * time.Millisecond
)

// MaxRetryDelay returns the largest delay before the next attempt after the
// given number of attempts.
func MaxRetryDelay(attempts int) time.Duration {
	return min(maxRetryBackoff, baseRetryBackoff<<min(max(attempts-1, 0), 10))
}

// Weights of the exponential moving averages of service times.
const (
	meanWeight = 0.1
	// The low estimate follows shorter times quickly and longer ones slowly, so
	// that it stays near the 10th percentile.
	lowWeightDown = 0.3
	lowWeightUp   = 0.02
	// staleAfter is the age from which an observation is ignored. Without it, a
	// pool that was slow once would refuse every request and never obtain a new
	// observation.
	staleAfter = 10 * time.Second
)

// ServiceTime estimates how long targets take for the requests of one class.
type ServiceTime struct {
	mean, low time.Duration
	updatedAt time.Time
}

// Observe records the time of one completed request.
func (s *ServiceTime) Observe(now time.Time, took time.Duration) {
	if s.updatedAt.IsZero() || now.Sub(s.updatedAt) > staleAfter {
		s.mean, s.low, s.updatedAt = took, took, now
		return
	}
	s.updatedAt = now
	s.mean += time.Duration(meanWeight * float64(took-s.mean))
	weight := lowWeightUp
	if took < s.low {
		weight = lowWeightDown
	}
	s.low += time.Duration(weight * float64(took-s.low))
}

// Mean returns the mean time, or zero without a recent observation.
func (s *ServiceTime) Mean(now time.Time) time.Duration { return s.recent(now, s.mean) }

// Low returns a time that most requests exceed, or zero without a recent
// observation.
func (s *ServiceTime) Low(now time.Time) time.Duration { return s.recent(now, s.low) }

func (s *ServiceTime) recent(now time.Time, value time.Duration) time.Duration {
	if s.updatedAt.IsZero() || now.Sub(s.updatedAt) > staleAfter {
		return 0
	}
	return value
}
