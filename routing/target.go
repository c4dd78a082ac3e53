package routing

import (
	"math"
	"time"

	"github.com/waxwingbridge/waxwingbridge/table"
)

// Target is a row for a worker as seen by one shard.
type Target struct {
	Pool             table.ID
	Worker           string
	Address          string
	AvailabilityZone string
	Local            bool // in the zone of this gateway
	Usable           bool // by the snapshot
	ServiceEpoch     uint64
	InFlight         int
	Credits          int
	CreditsUntil     time.Time
	ListedVersion    uint64 // version of the snapshot that last listed it

	drainingEpoch uint64 // service epoch in which it refused with "draining"
	limit         float64
	lastFull      time.Time
	blockedUntil  time.Time // after a refusal
	refusals      int       // in a row
	cooling       time.Time // failures occupy the target's load until then
	coolingUnit   time.Duration
	health        health
	circuit       circuit
}

// circuit is the state of outlier ejection.
type circuit struct {
	state     circuitState
	until     time.Time // end of the ejection
	count     int       // ejections in a row
	readmit   time.Time
	successes int // of probes in a row
}

type circuitState uint8

const (
	closed   circuitState = iota // takes requests
	ejected                      // takes none until circuit.until
	halfOpen                     // takes one probe at a time
)

// Tuning of outlier ejection. A target is ejected when at least half of its
// recent attempts failed, and clearly more than in the whole pool: when
// everything fails, ejecting targets helps nobody.
const (
	healthDecay        = 10 * time.Second
	ejectionSamples    = 5
	ejectionShare      = 0.5
	ejectionDifference = 0.2
	ejectionBase       = 5 * time.Second
	ejectionMost       = 60 * time.Second
	ejectionJitter     = 0.2
	probeSuccesses     = 2
	// probeAnyAfter opens probing to requests that must not be repeated. Before,
	// only requests that can be retried elsewhere are used as probes.
	probeAnyAfter = 5 * time.Second
)

// health counts attempts with exponential decay.
type health struct {
	good, bad float64
	at        time.Time
}

func (h *health) record(now time.Time, failed bool) {
	h.decay(now)
	if failed {
		h.bad++
	} else {
		h.good++
	}
}

func (h *health) decay(now time.Time) {
	if !h.at.IsZero() {
		factor := math.Exp(-float64(now.Sub(h.at)) / float64(healthDecay))
		h.good *= factor
		h.bad *= factor
	}
	h.at = now
}

func (h *health) share() float64 {
	if h.good+h.bad == 0 {
		return 0
	}
	return h.bad / (h.good + h.bad)
}

// draining reports whether the target refused with "draining" and has not come
// back into service since.
func (t *Target) draining() bool { return t.drainingEpoch != 0 && t.drainingEpoch >= t.ServiceEpoch }

// Reachable reports whether the target may receive requests now or after a
// short time: the snapshot lists it as usable and it is not draining.
func (t *Target) Reachable() bool { return t.Usable && !t.draining() }

// Load is the number of requests that count against the target: those in flight
// and, for one typical service time each, those that failed. Without the
// latter, a target that fails fast would look idle.
func (t *Target) Load(now time.Time) float64 {
	load := float64(t.InFlight)
	if rest := t.cooling.Sub(now); rest > 0 && t.coolingUnit > 0 {
		load += float64(rest) / float64(t.coolingUnit)
	}
	return load
}

// Growth of the local limit of a target. It starts at a fair share of the slots
// and doubles per round trip until the first refusal. After a refusal it drops
// and then grows slowly, faster the longer no refusal comes: about 20 answers
// per refusal at first, so that probing for slots stays well below the retry
// budget.
const (
	limitDrop         = 0.8
	limitGrowth       = 0.05
	limitAcceleration = 0.25 // per second squared
)

func (t *Target) grow(now time.Time, most int) {
	growth := 1.0
	if !t.lastFull.IsZero() {
		since := now.Sub(t.lastFull).Seconds()
		growth = min(1, limitGrowth+limitAcceleration*since*since) / t.limit
	}
	t.limit = min(float64(most), t.limit+growth)
}

func (t *Target) shrink(now time.Time) {
	t.limit = max(1, limitDrop*float64(t.InFlight))
	t.lastFull = now
}
