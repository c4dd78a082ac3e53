package estimate

import (
	"math"
	"slices"
	"time"

	"github.com/waxwingbridge/waxwingbridge/table"
)

const (
	// slowShare and fineShare of the peers' median bound the rates that count against and
	// for a worker. Tasks of a stage vary by 15 to 30 %; a slow worker has a fifth.
	slowShare = 0.4
	fineShare = 0.6
	// slowShareOfStep is slowShare among the runs of different jobs, whose estimates are off
	// by 50 to 90 %.
	slowShareOfStep = 0.25
	// minPeers is the number of other workers that a rate is compared with at least.
	minPeers = 2
	// maxPeers bounds the workers that a step remembers.
	maxPeers = 16
	// peerMemory is the age above which a peer's rate is not used.
	peerMemory = 5 * time.Second
	// suspicionHalfLife is the time in which a worker's rates lose half of their weight.
	suspicionHalfLife = 4 * time.Second
	// suspectFrom and suspectUntil are the weights of slow rates between which a worker
	// stays suspected.
	suspectFrom  = 2.5
	suspectUntil = 1.0
	// maxSuspicion bounds the weight, so that a worker that has become fast again is
	// forgiven within a few seconds.
	maxSuspicion = 4.0
	// maxFine bounds the weight of fine rates, and fineLost is what a slow rate takes off
	// it: a worker that becomes slow has many fine rates from before. A loss of 1 accused 30
	// of 1200 workers when a queue became slow everywhere.
	maxFine  = 3.0
	fineLost = 0.5
	// slowDominance is how many times the weight of fine rates the slow ones must have.
	slowDominance = 4.0
)

// Verdict is what a rate says about the speed of a worker.
type Verdict uint8

// The verdicts.
const (
	VerdictNone Verdict = iota // too few peers, or between slow and fine
	VerdictFine
	VerdictSlow
)

// Rates holds the last rate of each of some workers. A rate is the expected run time over
// the time that a run takes by its progress: 1 is as expected. The zero value is empty.
type Rates struct {
	rates []peerRate // at most maxPeers
	at    time.Time  // of the last one
}

type peerRate struct {
	worker table.ID
	rate   float64
	at     time.Time
}

// Judge records a rate of a worker and compares it with the median of the other workers.
// The rates must be those of one stage.
func (r *Rates) Judge(now time.Time, worker table.ID, rate float64) Verdict {
	return r.judge(now, worker, rate, slowShare)
}

func (r *Rates) judge(now time.Time, worker table.ID, rate, slow float64) Verdict {
	var buffer [maxPeers]float64
	others := buffer[:0]
	for _, peer := range r.rates {
		if peer.worker != worker && now.Sub(peer.at) <= peerMemory {
			others = append(others, peer.rate)
		}
	}
	r.record(now, worker, rate)
	if len(others) < minPeers {
		return VerdictNone
	}
	slices.Sort(others)
	switch median := others[(len(others)-1)/2]; {
	case rate < slow*median:
		return VerdictSlow
	case rate > fineShare*median:
		return VerdictFine
	default:
		return VerdictNone
	}
}

// Peers holds the rates of workers at the steps of queues, over all jobs.
type Peers struct {
	steps  table.Table[Rates]
	byStep table.Index[StepKey]
	limit  int
}

// NewPeers returns an empty table for at most the given number of steps. With none it
// judges nothing.
func NewPeers(steps int) *Peers { return &Peers{limit: steps} }

// Judge records a rate of a worker and compares it with the median of the other workers at
// the same step. If all of them are slow, the step is, and none of them is accused.
func (p *Peers) Judge(now time.Time, key StepKey, worker table.ID, rate float64) Verdict {
	step := p.step(now, key.bounded())
	if step == nil {
		return VerdictNone
	}
	return step.judge(now, worker, rate, slowShareOfStep)
}

// step returns the row of a step, in place of the one that was unused for longest if there
// is no room, or nil.
func (p *Peers) step(now time.Time, key StepKey) *Rates {
	if id, ok := p.byStep.Get(key); ok {
		return p.steps.Get(id)
	}
	if p.byStep.Len() >= p.limit {
		var unused []StepKey
		for other, id := range p.byStep.All() {
			if now.Sub(p.steps.Get(id).at) > peerMemory {
				unused = append(unused, other)
				p.steps.Delete(id)
			}
		}
		for _, other := range unused {
			p.byStep.Delete(other)
		}
		if len(unused) == 0 {
			return nil
		}
	}
	id := p.steps.Insert(Rates{})
	p.byStep.Put(key, id)
	return p.steps.Get(id)
}

func (r *Rates) record(now time.Time, worker table.ID, rate float64) {
	r.at = now
	oldest := 0
	for i := range r.rates {
		if r.rates[i].worker == worker {
			r.rates[i].rate, r.rates[i].at = rate, now
			return
		}
		if r.rates[i].at.Before(r.rates[oldest].at) {
			oldest = i
		}
	}
	if len(r.rates) < maxPeers {
		r.rates = append(r.rates, peerRate{worker: worker, rate: rate, at: now})
		return
	}
	r.rates[oldest] = peerRate{worker: worker, rate: rate, at: now}
}

// Suspicion is what the rates of a worker's runs say about its speed. It decays. The zero
// value is no suspicion.
type Suspicion struct {
	slow, fine float64
	at         time.Time
	job        string // of a slow rate
	several    bool   // slow rates come from at least two jobs
}

func (s *Suspicion) decay(now time.Time) {
	factor := math.Exp2(-max(0, now.Sub(s.at).Seconds()) / suspicionHalfLife.Seconds())
	s.slow, s.fine, s.at = s.slow*factor, s.fine*factor, now
	if s.slow < suspectUntil/2 {
		s.job, s.several = "", false
	}
}

// Add includes a verdict about a run of the job.
func (s *Suspicion) Add(now time.Time, job string, v Verdict) {
	s.decay(now)
	switch v {
	case VerdictSlow:
		s.slow, s.fine = min(s.slow+1, maxSuspicion), max(0, s.fine-fineLost)
		s.several = s.several || s.job != "" && s.job != job
		s.job = job
	case VerdictFine:
		s.fine = min(s.fine+1, maxFine)
	}
}

// Suspects reports whether the worker counts as slow, given whether it did before.
func (s *Suspicion) Suspects(now time.Time, before bool) bool {
	s.decay(now)
	if before {
		return s.slow >= suspectUntil && s.slow > s.fine
	}
	return s.several && s.slow >= suspectFrom && s.slow >= slowDominance*s.fine
}

// Weights returns the weights of the slow and the fine rates, for logs.
func (s *Suspicion) Weights() (slow, fine float64) { return s.slow, s.fine }
