package store

import "time"

// TokenBucket limits a rate of calls. It belongs to one goroutine or is guarded
// by its owner. A rate of zero or less does not limit anything.
type TokenBucket struct {
	Rate  float64 // tokens per second
	Burst float64 // most tokens that are kept; the bucket starts full

	tokens  float64
	updated time.Time
}

// Take removes one token if that leaves at least reserve tokens, and reports
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
	// A clock that steps back adds nothing.
	if elapsed := now.Sub(b.updated); elapsed > 0 {
		b.tokens = min(b.Burst, b.tokens+elapsed.Seconds()*b.Rate)
		b.updated = now
	}
}
