package interference

import (
	"math"
	"time"
)

// estimate is a normal estimate of one coefficient. Without observations it returns to its
// prior, whose mean is 0.
type estimate struct {
	mean, variance float64
	at             time.Time
}

// prior is the distribution of a coefficient before observations, and how fast it returns
// there.
type prior struct {
	variance float64
	memory   time.Duration
}

// The priors. Effects are natural logarithms of a factor: 0.7 doubles a run time or a tail.
var (
	// disturbPrior is that of what a kind does to all others, pairPrior that of what is
	// particular to a pair. It is smaller, so that a pair that was seen seldom is judged by
	// its kinds.
	disturbPrior = prior{variance: 0.3, memory: 30 * time.Second}
	mindPrior    = prior{variance: 0.05, memory: 30 * time.Second}
	pairPrior    = prior{variance: 0.04, memory: 30 * time.Second}
	// workerPrior is wide, since a slow worker is five times slower, and short, since
	// workers recover.
	workerPrior = prior{variance: 0.4, memory: 10 * time.Second}
	fullPrior   = prior{variance: 0.1, memory: time.Minute}
)

// baseVariance is the initial variance of the level of a kind, and baseDrift what is added
// to it in a second. The level has no prior mean.
const (
	baseVariance = 4.0
	baseDrift    = 0.002
)

// age lets an estimate return towards its prior.
func (e *estimate) age(now time.Time, p prior) {
	if e.at.IsZero() {
		e.variance, e.at = p.variance, now
		return
	}
	if e.at.Equal(now) {
		return
	}
	kept := math.Exp(-max(0, now.Sub(e.at).Seconds()) / p.memory.Seconds())
	e.mean *= kept
	e.variance = p.variance - (p.variance-e.variance)*kept*kept
	e.at = now
}

// ageBase lets the level of a kind drift.
func (e *estimate) ageBase(now time.Time) {
	if e.at.IsZero() {
		e.variance, e.at = baseVariance, now
		return
	}
	e.variance = min(baseVariance, e.variance+baseDrift*max(0, now.Sub(e.at).Seconds()))
	e.at = now
}

// term is a coefficient in an observation, with the weight by which it counts.
type term struct {
	estimate *estimate
	weight   float64
}

// maxDeviation is the number of standard deviations to which a surprise is cut, so that one
// odd task moves the estimates little.
const maxDeviation = 2.5

// fit moves the coefficients of an observation towards it, each by its share of the
// variance. Correlations between coefficients are not kept, which bounds the memory.
func fit(terms []term, observed, noise float64) {
	total, expected := noise, 0.0
	for _, t := range terms {
		total += t.estimate.variance * t.weight * t.weight
		expected += t.estimate.mean * t.weight
	}
	limit := maxDeviation * math.Sqrt(total)
	surprise := min(max(observed-expected, -limit), limit)
	for _, t := range terms {
		gain := t.estimate.variance * t.weight / total
		t.estimate.mean += gain * surprise
		t.estimate.variance -= gain * t.weight * t.estimate.variance
	}
}
