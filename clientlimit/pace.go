package clientlimit

import (
	"context"
	"sync/atomic"
	"time"
)

// Framing that bodies may have beyond their bytes. Chunks of one byte have five bytes of
// framing each, and their decoding takes about 50 ns.
const (
	// framingRate in bytes a second keeps the decoding of such chunks to some hundredths
	// of a core, for all clients together.
	framingRate = 2 << 20
	// framingBurst lets one body of the legal size pass at once.
	framingBurst = 3 << 19
)

// Pace bounds the processor time that the framing of bodies takes. It may be used by any
// goroutine.
type Pace struct{ due atomic.Int64 } // when the framing seen so far is paid, in Unix nanoseconds

// Wait accounts for some bytes of framing and waits until they are due.
func (p *Pace) Wait(ctx context.Context, now time.Time, bytes int) {
	const burst = framingBurst * int64(time.Second) / framingRate
	cost := int64(bytes) * int64(time.Second) / framingRate
	var due int64
	for {
		last := p.due.Load()
		due = max(last, now.UnixNano()-burst) + cost
		if p.due.CompareAndSwap(last, due) {
			break
		}
	}
	wait := time.Duration(due - now.UnixNano())
	if wait <= 0 {
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
