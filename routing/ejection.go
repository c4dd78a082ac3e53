package routing

import (
	"math/rand/v2"
	"time"
)

// AttemptResult says what the end of an attempt tells about its target.
type AttemptResult uint8

// The verdicts.
const (
	// AttemptSucceeded is a whole answer.
	AttemptSucceeded AttemptResult = iota + 1
	// AttemptFailed is a failure to connect, a broken connection, a truncated answer,
	// a missed deadline or a server error.
	AttemptFailed
	// AttemptRefusedFull is a refusal for lack of slots or connections.
	AttemptRefusedFull
	// AttemptRefusedDraining is a refusal because the target is leaving.
	AttemptRefusedDraining
	// AttemptAbandoned is an attempt that was given up for reasons of the caller.
	AttemptAbandoned
)

// AttemptEnd describes the end of an attempt.
type AttemptEnd struct {
	Result AttemptResult
	Choice Choice
	// ServiceTime is the typical service time of the pool, zero if not known.
	ServiceTime time.Duration
}

const (
	// A refusal keeps the target out for a random time between these bounds. It
	// is about the time in which one of eight slots becomes free. The bounds
	// double with each further refusal in a row, up to blockedDoublings times.
	blockedLeast     = 5 * time.Millisecond
	blockedMost      = 30 * time.Millisecond
	blockedDoublings = 3
	// unknownService stands in for the service time of a pool without answers.
	unknownService = 50 * time.Millisecond
)

// EndAttempt counts the end of an attempt. It reports whether the target was ejected
// or readmitted by it.
func (p *PoolTargets) EndAttempt(fleet *TargetTable, ending AttemptEnd, now time.Time) (wasEjected, wasReadmitted bool) {
	if ending.Choice.Uncredited {
		p.beyond--
		p.pace(ending.Result, now, fleet.Random)
	}
	p.Update(fleet, ending.Choice.Target, now, func(t *Target) {
		atLimit := t.InFlight >= p.limitOf(t)
		t.InFlight--
		switch ending.Result {
		case AttemptSucceeded:
			t.refusals = 0
			if atLimit {
				t.grow(now, p.Limits.most())
			}
			wasReadmitted = p.succeeded(t, now)
		case AttemptFailed:
			wasEjected = p.failed(t, ending.ServiceTime, now, fleet.Random)
		case AttemptRefusedFull:
			t.shrink(now)
			pause := blockedLeast + jitter(fleet.Random, blockedMost-blockedLeast)
			t.blockedUntil = now.Add(pause << min(t.refusals, blockedDoublings))
			t.refusals++
		case AttemptRefusedDraining:
			t.drainingEpoch = t.ServiceEpoch
		case AttemptAbandoned:
		}
	})
	return wasEjected, wasReadmitted
}

// pace spreads the tries beyond the credits. Each refusal doubles the pause and
// each answer halves it, so that a saturated pool sees few tries, and slots that
// others do not use are found within a few tries.
func (p *PoolTargets) pace(verdict AttemptResult, now time.Time, random *rand.Rand) {
	switch verdict {
	case AttemptRefusedFull:
		p.pause = min(beyondPauseMost, max(beyondPauseLeast, 2*p.pause))
		p.resume = now.Add(p.pause/2 + jitter(random, p.pause))
	case AttemptSucceeded:
		p.pause /= 2
	case AttemptFailed, AttemptRefusedDraining, AttemptAbandoned:
	}
}

func (p *PoolTargets) succeeded(t *Target, now time.Time) bool {
	t.health.record(now, false)
	p.health.record(now, false)
	if t.circuit.state != halfOpen {
		return false
	}
	t.circuit.successes++
	if t.circuit.successes < probeSuccesses {
		return false
	}
	t.circuit.state, t.circuit.readmit = closed, now
	t.health = health{}
	return true
}

func (p *PoolTargets) failed(t *Target, service time.Duration, now time.Time, random *rand.Rand) bool {
	t.health.record(now, true)
	p.health.record(now, true)
	if service <= 0 {
		service = unknownService
	}
	if t.cooling.Before(now) {
		t.cooling = now
	}
	t.cooling, t.coolingUnit = t.cooling.Add(service), service
	switch t.circuit.state {
	case halfOpen:
		t.eject(now, random)
		return true
	case closed:
		if p.isOutlier(t) {
			t.eject(now, random)
			return true
		}
	case ejected:
	}
	return false
}

func (p *PoolTargets) isOutlier(t *Target) bool {
	share := t.health.share()
	if t.health.good+t.health.bad < ejectionSamples || share < ejectionShare ||
		share < p.health.share()+ejectionDifference {
		return false
	}
	// The caller has taken this target out of the sum of the pool.
	return float64(p.broken+1) <= p.Limits.EjectionCap*float64(p.Reachable+1)
}

func (t *Target) eject(now time.Time, random *rand.Rand) {
	if t.circuit.state == closed && now.Sub(t.circuit.readmit) > ejectionMost {
		t.circuit.count = 0
	}
	length := min(ejectionMost, ejectionBase<<min(t.circuit.count, 10))
	length += jitter(random, time.Duration(ejectionJitter*float64(length)))
	t.circuit.count++
	t.circuit.state, t.circuit.until = ejected, now.Add(length)
}

func jitter(random *rand.Rand, most time.Duration) time.Duration {
	if most <= 0 {
		return 0
	}
	return time.Duration(random.Int64N(int64(most)))
}
