package forecast

import (
	"math/rand/v2"
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

// demand is a rate of jobs a second at a time since the start.
type demand func(at time.Duration) float64

// turns returns a demand of 4.5 times the mean in the first quarter of each period and
// of a twentieth in the rest.
func turns(mean float64, period, phase time.Duration) demand {
	return func(at time.Duration) float64 {
		if (at+period-phase)%period < period/4 {
			return 4.5 * mean
		}
		return mean / 20
	}
}

// run feeds Poisson arrivals of one core-second each, and calls each with each change.
func run(l *Learner, d demand, seed uint64, from, to time.Duration, each func(at time.Duration, c Change)) {
	const step = 10 * time.Millisecond
	random := rand.New(rand.NewPCG(seed, 1))
	for at := from; at < to; at += step {
		now := start.Add(at)
		for rest := random.ExpFloat64(); rest < d(at)*step.Seconds(); rest += random.ExpFloat64() {
			l.Record(now, 1)
		}
		each(at, l.Advance(now))
	}
}

// Load pattern: turns of several periods, phases and rates. Guards against a belief that
// comes later than the third turn, or that has another period or phase than the demand.
func TestPeriodIsLearntFromTwoTurns(t *testing.T) {
	for _, period := range []time.Duration{8 * time.Second, 16 * time.Second, 23 * time.Second, 40 * time.Second} {
		for _, mean := range []float64{2, 7, 30} {
			learnt := 0
			const seeds = 40
			for seed := range uint64(seeds) {
				var l Learner
				phase := period * time.Duration(seed%6+2) / 10
				run(&l, turns(mean, period, phase), seed+500, 0, phase+period+period*3/4, func(time.Duration, Change) {})
				b := l.Belief()
				next := start.Add(phase + 2*period)
				if b.Trust > 0 && b.Begin.Sub(next).Abs() < 600*time.Millisecond && (b.Length-period/4).Abs() < period/12 {
					learnt++
				}
			}
			want := seeds * 9 / 10
			if mean < 5 { // nine jobs a second in a turn place its begin only within half a second
				want = seeds / 2
			}
			t.Logf("period %v, %v jobs/s: learnt from two turns in %d of %d", period, mean, learnt, seeds)
			if learnt < want {
				t.Errorf("period %v, %v jobs/s: learnt from two turns in %d of %d runs, want %d", period, mean, learnt, seeds, want)
			}
		}
	}
}

// Load pattern: an even demand, with Poisson arrivals. Guards against a period that is
// learnt from noise.
func TestEvenDemandIsNotBelievedToHavePeriod(t *testing.T) {
	for _, rate := range []float64{0.3, 2, 7, 30} {
		learnt := 0
		for seed := range uint64(40) {
			var l Learner
			run(&l, func(time.Duration) float64 { return rate }, seed+900, 0, 2*time.Minute, func(_ time.Duration, c Change) {
				if c == Learnt {
					learnt++
				}
			})
		}
		t.Logf("%v jobs/s: %d beliefs in 80 minutes", rate, learnt)
		if learnt > 4 {
			t.Errorf("%v jobs/s: %d beliefs in 80 minutes", rate, learnt)
		}
	}
}

// Load pattern: turns that stop. Guards against forecasts that go on after the turns.
func TestBeliefIsLostWhenTurnsStop(t *testing.T) {
	const period = 16 * time.Second
	for seed := range uint64(20) {
		var l Learner
		regular := turns(7, period, 5*time.Second)
		stopping := func(at time.Duration) float64 {
			if at > 70*time.Second {
				return 0.3
			}
			return regular(at)
		}
		run(&l, stopping, seed, 0, 70*time.Second, func(time.Duration, Change) {})
		if l.Belief().Trust < 0.7 {
			t.Errorf("seed %d: trust of %v after five turns", seed, l.Belief().Trust)
		}
		expected := 0
		run(&l, stopping, seed, 70*time.Second, 200*time.Second, func(at time.Duration, _ Change) {
			if rate, trust := l.Expect(start.Add(at)); rate*trust > 0 {
				expected++
			}
		})
		if l.Belief().Trust > 0 || expected > 600 {
			t.Errorf("seed %d: after the turns a belief of trust %v, and demand was expected for %d ms", seed, l.Belief().Trust, 10*expected)
		}
	}
}

// Load pattern: turns whose period changes. Guards against a belief that keeps the old
// period.
func TestChangedPeriodIsLearntAnew(t *testing.T) {
	const seeds = 40
	learnt := 0
	for seed := range uint64(seeds) {
		var l Learner
		before, after := turns(7, 16*time.Second, 5*time.Second), turns(7, 23*time.Second, 80*time.Second%(23*time.Second))
		changing := func(at time.Duration) float64 {
			if at < 80*time.Second {
				return before(at)
			}
			return after(at)
		}
		run(&l, changing, seed, 0, 200*time.Second, func(time.Duration, Change) {})
		if b := l.Belief(); b.Trust > 0 && (b.Period-23*time.Second).Abs() < time.Second {
			learnt++
		}
	}
	t.Logf("%d of %d learnt the new period within two minutes", learnt, seeds)
	if learnt < seeds*9/10 {
		t.Errorf("%d of %d learnt the new period within two minutes", learnt, seeds)
	}
}

// Load pattern: bursts without a period. Guards against a learner that believes again and
// again after forecasts that failed: each one costs moves.
func TestIrregularBurstsGiveFewBeliefs(t *testing.T) {
	learnt := 0
	const seeds = 40
	for seed := range uint64(seeds) {
		random := rand.New(rand.NewPCG(seed, 7))
		var begins []time.Duration
		for at := time.Duration(0); at < 10*time.Minute; {
			at += 8*time.Second + time.Duration(random.Int64N(int64(20*time.Second)))
			begins = append(begins, at)
		}
		irregular := func(at time.Duration) float64 {
			for _, begin := range begins {
				if at >= begin && at < begin+4*time.Second {
					return 30
				}
			}
			return 0.35
		}
		var l Learner
		run(&l, irregular, seed, 0, 10*time.Minute, func(_ time.Duration, c Change) {
			if c == Learnt {
				learnt++
			}
		})
	}
	t.Logf("%.2f beliefs in 33 irregular bursts", float64(learnt)/seeds)
	if learnt > 3*seeds {
		t.Errorf("%d beliefs in %d runs of 33 irregular bursts", learnt, seeds)
	}
}

// Guards against a cost that grows with the arrivals.
func BenchmarkRecord(b *testing.B) {
	var l Learner
	for i := range b.N {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		l.Record(now, 1)
		l.Advance(now)
	}
}
