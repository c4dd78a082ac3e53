package machines

import (
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/work"
)

const (
	// callRateShare is the share of the accepted rate of orders that is used, so that
	// an order seldom waits for callRetryDelay after a refusal.
	callRateShare = 0.9
	// callBurst is the time for which an idle process saves up calls.
	callBurst = 100 * time.Millisecond
	// maxCallsInFlight bounds the calls that wait for a slow machine service. A call
	// that waits longer for a connection would be sent close to the end of the lease.
	maxCallsInFlight = 16
)

// callLimit is a token bucket for orders to the machine service, with a bound on the
// calls in flight.
type callLimit struct {
	tokens     float64
	refilledAt time.Time
	inFlight   int
}

func refillCalls(s *State, tick engine.Tick) {
	rate := s.CallsPerSecond * callRateShare
	c := &s.calls
	if !c.refilledAt.IsZero() {
		c.tokens += rate * tick.Now.Sub(c.refilledAt).Seconds()
	}
	c.tokens, c.refilledAt = min(c.tokens, max(1, rate*callBurst.Seconds())), tick.Now
}

// takeCall takes a call from the limit, or returns false if none is left in this tick.
func (s *State) takeCall() bool {
	c := &s.calls
	if c.tokens < 1 || c.inFlight >= maxCallsInFlight {
		return false
	}
	c.tokens--
	c.inFlight++
	return true
}

func (c *callLimit) done() { c.inFlight = max(0, c.inFlight-1) }

// takeover tells which machines an earlier owner of the fleet may have ordered shortly
// before this process became the owner. Every order has a durable record before its
// call, so machines without one can be ordered at once.
type takeover struct {
	token     int64
	changedAt map[string]time.Time // last change of an order record, by machine
	blocked   map[string]time.Time // when the machine may be ordered
}

func (t *takeover) noteChange(now time.Time, machine string) {
	if t.changedAt == nil {
		t.changedAt = map[string]time.Time{}
	}
	t.changedAt[machine] = now
}

// noteTakeover determines, at the start of an ownership, the machines that must not be
// ordered yet: those with an open order, and those whose order changed within
// TakeoverDelay.
func noteTakeover(s *State, tick engine.Tick) {
	t := &s.takeover
	if !s.Ownership.Owned || t.token == s.Ownership.Token {
		return
	}
	t.token, t.blocked = s.Ownership.Token, map[string]time.Time{}
	for machine, at := range t.changedAt {
		if until := at.Add(s.TakeoverDelay); tick.Now.Before(until) {
			t.blocked[machine] = until
		}
	}
	for _, o := range s.Orders.All() {
		if o.State == work.MachineIdle || o.State == work.MachineOrdered {
			t.blocked[o.Machine] = s.Ownership.Since.Add(s.TakeoverDelay)
		}
	}
}

// mayCall reports whether the machine of an order may be ordered under the present
// ownership.
func (s *State) mayCall(now time.Time, o *Order) bool {
	return !now.Before(s.takeover.blocked[o.Machine])
}
