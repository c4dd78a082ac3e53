package store

import "time"

// TokenBucket is a token bucket rate limiter. It is not safe for concurrent use;
// the owner synchronizes access. A rate of zero or less means no limit.
type TokenBucket struct {
	Rate  float64 // tokens per second
	Burst float64 // capacity; the bucket starts full

	tokens  float64
	updated time.Time
}

// Take removes one token if at least reserve tokens remain afterwards, and reports
// whether it did.
func (b *TokenBucket) Take(now time.Time, reserve float64) bool {
	if b.Rate <= 0 {
		return true
	}
	b.refill(now)
	if b.tokens-1 < reserve {
		return false
	}
	b.tokens--
	return true
}

func (b *TokenBucket) refill(now time.Time) {
	if b.updated.IsZero() {
		b.tokens, b.updated = b.Burst, now
		return
	}
	// A clock that moves backwards adds no tokens.
	if elapsed := now.Sub(b.updated); elapsed > 0 {
		b.tokens = min(b.Burst, b.tokens+elapsed.Seconds()*b.Rate)
		b.updated = now
	}
}
