package routing

import (
	"time"

	"github.com/waxwingbridge/waxwingbridge/policy"
)

// TokenBucket limits the rate of a tenant. Rate and burst come from the policy
// in force at each use, so that a change needs no update of the buckets. The
// zero value is full.
type TokenBucket struct {
	used float64 // tokens below the burst
	at   time.Time
}

// Take uses a token and reports false if none is left. A rate of zero admits
// nothing.
func (b *TokenBucket) Take(now time.Time, limits policy.Tenant) bool {
	if limits.RequestsPerSecond <= 0 {
		return false
	}
	if !b.at.IsZero() {
		b.used = max(0, b.used-now.Sub(b.at).Seconds()*limits.RequestsPerSecond)
	}
	b.at = now
	if b.used+1 > float64(limits.Burst) {
		return false
	}
	b.used++
	return true
}

// TimeUntilFull returns the time until the bucket is full again, after which its
// row may be forgotten.
func (b *TokenBucket) TimeUntilFull(limits policy.Tenant) time.Duration {
	if limits.RequestsPerSecond <= 0 {
		return 0
	}
	return time.Duration(b.used / limits.RequestsPerSecond * float64(time.Second))
}

// maxRetryTokens bounds the retries that a quiet time may save up for a burst.
const maxRetryTokens = 100

// RetryBudget allows retries as a share of fresh requests. It starts empty, so
// that the retries never exceed the share, not even at the start.
type RetryBudget struct{ tokens float64 }

// AddRequest adds the share of one fresh request.
func (b *RetryBudget) AddRequest(share float64) { b.tokens = min(maxRetryTokens, b.tokens+share) }

// Take uses one retry and reports false if none is left.
func (b *RetryBudget) Take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Backoff bounds of retries. The delay is drawn from zero to the bound ("full
// jitter"), and the bound doubles with each attempt.
const (
	retryBase = 20 * time.Millisecond
	retryMost = 500 * time.Millisecond
)

// MaxRetryDelay returns the largest delay before the next attempt after the
// given number of attempts.
func MaxRetryDelay(attempts int) time.Duration {
	return min(retryMost, retryBase<<min(max(attempts-1, 0), 10))
}

// Smoothing of observed service times.
const (
	meanWeight = 0.1
	// The low estimate follows shorter times quickly and longer ones slowly, so
	// that it stays near the fastest tenth of the requests.
	lowWeightDown = 0.3
	lowWeightUp   = 0.02
	// staleAfter ends the use of an observation. Without it, a pool that once
	// was slow would refuse every request and never observe anything else.
	staleAfter = 10 * time.Second
)

// ServiceTime observes how long targets take for the requests of one class.
type ServiceTime struct {
	mean, low time.Duration
	at        time.Time
}

// Observe records the time of one completed request.
func (s *ServiceTime) Observe(now time.Time, took time.Duration) {
	if s.at.IsZero() || now.Sub(s.at) > staleAfter {
		s.mean, s.low, s.at = took, took, now
		return
	}
	s.at = now
	s.mean += time.Duration(meanWeight * float64(took-s.mean))
	weight := lowWeightUp
	if took < s.low {
		weight = lowWeightDown
	}
	s.low += time.Duration(weight * float64(took-s.low))
}

// Mean returns the mean time, and zero without a recent observation.
func (s *ServiceTime) Mean(now time.Time) time.Duration { return s.recent(now, s.mean) }

// Low returns a time that most requests exceed, and zero without a recent
// observation.
func (s *ServiceTime) Low(now time.Time) time.Duration { return s.recent(now, s.low) }

func (s *ServiceTime) recent(now time.Time, value time.Duration) time.Duration {
	if s.at.IsZero() || now.Sub(s.at) > staleAfter {
		return 0
	}
	return value
}
