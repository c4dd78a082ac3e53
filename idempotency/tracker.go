package idempotency

import (
	"maps"
	"slices"
	"time"
)

// maxEpochs bounds the history. If a key has had the same home for longer, its
// takeover is taken to be in the oldest epoch kept, which is later than the true
// takeover and therefore safe.
const maxEpochs = 64

// Tracker records the epochs of the homes list and the acknowledgements of the
// listed members. It is owned by the control loop.
type Tracker struct {
	self   string
	epochs []Epoch
	acks   map[string]uint64 // highest epoch acknowledged, by incarnation
}

// NewTracker returns a tracker without known epochs.
func NewTracker(self string) *Tracker {
	return &Tracker{self: self, acks: map[string]uint64{}}
}

// Observe records a homes list that this gateway has learned of. From then on
// Epoch returns its epoch, which the gateway acknowledges to its peers. Lower
// and known epochs are ignored.
func (t *Tracker) Observe(homes Homes, now time.Time) {
	current := t.Epoch()
	if homes.Epoch <= current {
		return
	}
	if homes.Epoch != current+1 {
		t.epochs = nil // an epoch is missing, so another gateway may have been home
	}
	if len(t.epochs) == maxEpochs {
		t.epochs = slices.Delete(t.epochs, 0, 1)
	}
	t.epochs = append(t.epochs, Epoch{Homes: homes})
	t.acks[t.self] = homes.Epoch
	t.settle(now)
}

// Acknowledge records that a member knows of the epoch.
func (t *Tracker) Acknowledge(incarnation string, epoch uint64, now time.Time) {
	if epoch <= t.acks[incarnation] {
		return
	}
	t.acks[incarnation] = epoch
	t.settle(now)
}

// LeaseExpired must be called when the store lease of this gateway has expired or
// may have expired. The gateway is home of no key until it observes the list that
// it reads from the store under its next lease: another gateway may have removed
// it in the meantime and taken over its keys.
func (t *Tracker) LeaseExpired() { t.epochs = nil }

// Epoch returns the highest known epoch, or zero.
func (t *Tracker) Epoch() uint64 {
	if len(t.epochs) == 0 {
		return 0
	}
	return t.epochs[len(t.epochs)-1].Epoch
}

// Current returns the list with the highest known epoch, and false if no epoch is
// known.
func (t *Tracker) Current() (Homes, bool) {
	if len(t.epochs) == 0 {
		return Homes{}, false
	}
	return t.epochs[len(t.epochs)-1].Homes, true
}

// Settled reports whether every member of the current epoch has acknowledged it.
func (t *Tracker) Settled() bool {
	return len(t.epochs) > 0 && t.epochs[len(t.epochs)-1].Settled
}

// View returns an immutable view for a snapshot. leaseUntil is the expiry of this
// gateway's store lease on the local monotonic clock, minus a safety margin.
func (t *Tracker) View(leaseUntil time.Time, gateways Gateways) *View {
	gateways.Addresses = maps.Clone(gateways.Addresses)
	return &View{Self: t.self, LeaseUntil: leaseUntil, Epochs: slices.Clone(t.epochs), Gateways: gateways}
}

// settle marks the current epoch as settled when all members acknowledged this
// or a later one: none of them acts under an earlier list any more. A member in a
// later epoch cannot act on keys whose home in this epoch is this gateway before
// this gateway acknowledges the later epoch.
func (t *Tracker) settle(now time.Time) {
	if len(t.epochs) == 0 {
		return
	}
	current := &t.epochs[len(t.epochs)-1]
	if current.Settled || len(current.Members) == 0 {
		return
	}
	for _, member := range current.Members {
		if t.acks[member.Incarnation] < current.Epoch {
			return
		}
	}
	current.Settled, current.SettledAt = true, now
	t.pruneAcknowledgements(current)
}

// pruneAcknowledgements deletes the acknowledgements of gateways that are no longer
// listed.
func (t *Tracker) pruneAcknowledgements(current *Epoch) {
	maps.DeleteFunc(t.acks, func(incarnation string, epoch uint64) bool {
		return incarnation != t.self && epoch <= current.Epoch && !current.Contains(incarnation)
	})
}
