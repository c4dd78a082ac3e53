package routing

import (
	"math/rand/v2"
	"time"
)

// AttemptResult classifies the end of an attempt by what it shows about the
// target.
type AttemptResult uint8

// The results of attempts.
const (
	// AttemptSucceeded is a complete answer.
	AttemptSucceeded AttemptResult = iota + 1
	// AttemptFailed is a failure to connect, a broken connection, a truncated answer,
	// a missed deadline or a server error.
	AttemptFailed
	// AttemptRefusedFull is a refusal for lack of slots or connections.
	AttemptRefusedFull
	// AttemptRefusedDraining is a refusal because the target is draining.
	AttemptRefusedDraining
	// AttemptAbandoned is an attempt that was cancelled for reasons of the caller.
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
	// After a refusal, the target receives no requests for a random time between
	// these bounds, about the time in which one of eight slots becomes free. The
	// bounds double with each further consecutive refusal, up to
	// maxBackoffDoublings times.
	minRefusalBackoff   = 5 * time.Millisecond
	maxRefusalBackoff   = 30 * time.Millisecond
	maxBackoffDoublings = 3
	// defaultServiceTime is assumed for a pool that has not returned an answer.
	defaultServiceTime = 50 * time.Millisecond
)

// EndAttempt records the end of an attempt. It reports whether the target was
// ejected or readmitted because of it.
func (p *PoolTargets) EndAttempt(targets *TargetTable, end AttemptEnd, now time.Time) (wasEjected, wasReadmitted bool) {
	if end.Choice.Uncredited {
		p.uncredited--
		p.adjustUncreditedPause(end.Result, now, targets.Random)
	}
	p.Update(targets, end.Choice.Target, now, func(t *Target) {
		atLimit := t.InFlight >= p.limitOf(t)
		t.InFlight--
		switch end.Result {
		case AttemptSucceeded:
			t.refusals = 0
			if atLimit {
				t.increaseLimit(now, p.Limits.maxInFlight())
			}
			wasReadmitted = p.recordSuccess(t, now)
		case AttemptFailed:
			wasEjected = p.recordFailure(t, end.ServiceTime, now, targets.Random)
		case AttemptRefusedFull:
			t.decreaseLimit(now)
			pause := minRefusalBackoff + jitter(targets.Random, maxRefusalBackoff-minRefusalBackoff)
			t.backoffUntil = now.Add(pause << min(t.refusals, maxBackoffDoublings))
			t.refusals++
		case AttemptRefusedDraining:
			t.drainingEpoch = t.ServiceEpoch
		case AttemptAbandoned:
		}
	})
	return wasEjected, wasReadmitted
}

// adjustUncreditedPause sets the pause between uncredited attempts. Each refusal
// doubles it and each answer halves it, so that a saturated pool receives few
// such attempts, and slots that other gateways leave idle are found within a few
// attempts.
func (p *PoolTargets) adjustUncreditedPause(result AttemptResult, now time.Time, random *rand.Rand) {
	switch result {
	case AttemptRefusedFull:
		p.uncreditedPause = min(maxUncreditedPause, max(minUncreditedPause, 2*p.uncreditedPause))
		p.uncreditedAfter = now.Add(p.uncreditedPause/2 + jitter(random, p.uncreditedPause))
	case AttemptSucceeded:
		p.uncreditedPause /= 2
	case AttemptFailed, AttemptRefusedDraining, AttemptAbandoned:
	}
}

func (p *PoolTargets) recordSuccess(t *Target, now time.Time) bool {
	t.health.record(now, false)
	p.health.record(now, false)
	if t.circuit.state != halfOpen {
		return false
	}
	t.circuit.successes++
	if t.circuit.successes < probeSuccesses {
		return false
	}
	t.circuit.state, t.circuit.readmittedAt = closed, now
	t.health = health{}
	return true
}

func (p *PoolTargets) recordFailure(t *Target, serviceTime time.Duration, now time.Time, random *rand.Rand) bool {
	t.health.record(now, true)
	p.health.record(now, true)
	if serviceTime <= 0 {
		serviceTime = defaultServiceTime
	}
	if t.failureLoadUntil.Before(now) {
		t.failureLoadUntil = now
	}
	t.failureLoadUntil, t.failureLoadUnit = t.failureLoadUntil.Add(serviceTime), serviceTime
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
	failureRate := t.health.failureRate()
	if t.health.successes+t.health.failures < minEjectionSamples || failureRate < minEjectionFailureRate ||
		failureRate < p.health.failureRate()+minFailureRateExcess {
		return false
	}
	// Update has already subtracted this target from the totals of the pool.
	return float64(p.outOfService+1) <= p.Limits.EjectionCap*float64(p.Reachable+1)
}

func (t *Target) eject(now time.Time, random *rand.Rand) {
	if t.circuit.state == closed && now.Sub(t.circuit.readmittedAt) > maxEjectionTime {
		t.circuit.ejections = 0
	}
	duration := min(maxEjectionTime, minEjectionTime<<min(t.circuit.ejections, 10))
	duration += jitter(random, time.Duration(ejectionJitter*float64(duration)))
	t.circuit.ejections++
	t.circuit.state, t.circuit.ejectedUntil = ejected, now.Add(duration)
}

func jitter(random *rand.Rand, bound time.Duration) time.Duration {
	if bound <= 0 {
		return 0
	}
	return time.Duration(random.Int64N(int64(bound)))
}
