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
	Usable           bool // according to the snapshot
	ServiceEpoch     uint64
	InFlight         int
	Credits          int
	CreditsUntil     time.Time
	ListedVersion    uint64 // version of the snapshot that last listed it

	drainingEpoch    uint64 // service epoch in which it refused with "draining"
	limit            float64
	lastRefusal      time.Time
	backoffUntil     time.Time // after a refusal
	refusals         int       // consecutive
	failureLoadUntil time.Time // failed attempts count as load until then
	failureLoadUnit  time.Duration
	health           health
	circuit          circuit
}

// circuit is the circuit breaker of a target, used for outlier ejection.
type circuit struct {
	state        circuitState
	ejectedUntil time.Time // end of the ejection
	ejections    int       // consecutive ejections
	readmittedAt time.Time
	successes    int // consecutive successful probes
}

type circuitState uint8

const (
	closed   circuitState = iota // receives requests
	ejected                      // receives none until circuit.ejectedUntil
	halfOpen                     // receives one probe at a time
)

// Parameters of outlier ejection. A target is ejected when at least half of its
// recent attempts failed and its failure rate is clearly above that of the whole
// pool: when all targets fail, ejecting some of them does not help.
const (
	healthDecay            = 10 * time.Second
	minEjectionSamples     = 5
	minEjectionFailureRate = 0.5
	minFailureRateExcess   = 0.2
	minEjectionTime        = 5 * time.Second
	maxEjectionTime        = 60 * time.Second
	ejectionJitter         = 0.2
	probeSuccesses         = 2
	// probeAnyAfter is the time after which requests that must not be repeated may
	// be used as probes. Before that, only requests that can be retried on another
	// target are used.
	probeAnyAfter = 5 * time.Second
)

// health counts successful and failed attempts with exponential decay.
type health struct {
	successes, failures float64
	updatedAt           time.Time
}

func (h *health) record(now time.Time, failed bool) {
	h.decay(now)
	if failed {
		h.failures++
	} else {
		h.successes++
	}
}

func (h *health) decay(now time.Time) {
	if !h.updatedAt.IsZero() {
		factor := math.Exp(-float64(now.Sub(h.updatedAt)) / float64(healthDecay))
		h.successes *= factor
		h.failures *= factor
	}
	h.updatedAt = now
}

func (h *health) failureRate() float64 {
	if h.successes+h.failures == 0 {
		return 0
	}
	return h.failures / (h.successes + h.failures)
}

// draining reports whether the target refused with "draining" and has not
// returned to service since.
func (t *Target) draining() bool { return t.drainingEpoch != 0 && t.drainingEpoch >= t.ServiceEpoch }

// Reachable reports whether the target may receive requests now or after a short
// backoff: the snapshot lists it as usable and it is not draining.
func (t *Target) Reachable() bool { return t.Usable && !t.draining() }

// Load is the number of requests that count against the target: those in flight
// and, for one typical service time each, those that failed. Without the
// latter, a target that fails fast would appear idle.
func (t *Target) Load(now time.Time) float64 {
	load := float64(t.InFlight)
	if remaining := t.failureLoadUntil.Sub(now); remaining > 0 && t.failureLoadUnit > 0 {
		load += float64(remaining) / float64(t.failureLoadUnit)
	}
	return load
}

// Adaptation of a target's local limit of requests in flight. It starts at a fair
// share of the slots and doubles per round trip until the first refusal. A
// refusal lowers the limit. It then grows slowly, and faster the longer no
// refusal occurs: about 20 answers per refusal at first, so that the refusals
// caused by probing for slots stay well below the retry budget.
const (
	limitDrop         = 0.8
	limitGrowth       = 0.05
	limitAcceleration = 0.25 // per second squared
)

func (t *Target) increaseLimit(now time.Time, maxLimit int) {
	growth := 1.0
	if !t.lastRefusal.IsZero() {
		since := now.Sub(t.lastRefusal).Seconds()
		growth = min(1, limitGrowth+limitAcceleration*since*since) / t.limit
	}
	t.limit = min(float64(maxLimit), t.limit+growth)
}

func (t *Target) decreaseLimit(now time.Time) {
	t.limit = max(1, limitDrop*float64(t.InFlight))
	t.lastRefusal = now
}
