package estimate

import (
	"fmt"
	"math"
	"math/rand"
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

// Guards against expected run times that ignore what was seen. Load: queues whose declared
// times are half, equal to and twice the true ones on average, each job off by 50 % more,
// 40 jobs, seeds 1 to 20. Beside it the former rule, which trusts the declared time.
func TestExpectedTimesComeNearerThanDeclaredOnes(t *testing.T) {
	for _, truth := range []float64{0.5, 1, 2} {
		var learnt, declared float64
		for seed := int64(1); seed <= 20; seed++ {
			random := rand.New(rand.NewSource(seed))
			times, now := NewRunTimes(16, 16), start
			key := StepKey{Queue: "q", Step: 1}
			for range 40 {
				now = now.Add(200 * time.Millisecond)
				actual := truth * (0.5 + random.Float64())
				learnt += math.Abs(times.Factor(now, key, "") - truth)
				declared += math.Abs(1 - truth)
				times.Observe(now, Observation{Key: key, Declared: time.Second, Observed: time.Duration(actual * float64(time.Second)), Weight: 1})
			}
		}
		t.Logf("true ratio %.1f, seeds 1 to 20: mean error %.3f, of the declared time %.3f", truth, learnt/800, declared/800)
		if truth != 1 && learnt > 0.5*declared || truth == 1 && learnt/800 > 0.08 {
			t.Errorf("true ratio %.1f: mean error %.3f, of the declared time %.3f", truth, learnt/800, declared/800)
		}
	}
}

// Guards against one job that decides for all others: with many tasks, or declared absurdly.
func TestOneJobDoesNotDecide(t *testing.T) {
	times, key := NewRunTimes(16, 16), StepKey{Queue: "q"}
	for range 10_000 {
		times.Observe(start, Observation{Key: key, Declared: time.Millisecond, Observed: time.Hour, Weight: 1.0 / 10_000})
	}
	if factor := times.Factor(start, key, ""); factor > 1+(maxRatio-1)/(priorJobs+1)+0.01 {
		t.Errorf("the factor is %.2f after one job", factor)
	}
	for range 1000 {
		times.Observe(start, Observation{Key: key, Declared: time.Millisecond, Observed: time.Hour, Weight: 1})
	}
	if factor := times.Factor(start, key, ""); factor > maxFactor {
		t.Errorf("the factor is %.2f, want at most %.0f", factor, maxFactor)
	}
}

// Guards against a ratio that is kept after the tasks have changed.
func TestObservationsDecay(t *testing.T) {
	times, key, now := NewRunTimes(16, 16), StepKey{Queue: "q"}, start
	observe := func(n int, ratio float64) {
		for range n {
			times.Observe(now, Observation{Key: key, Declared: time.Second, Observed: time.Duration(ratio * float64(time.Second)), Weight: 1})
		}
	}
	observe(200, 3)
	if factor := times.Factor(now, key, ""); factor < 2.7 {
		t.Errorf("the factor is %.2f after 200 jobs of three times the declared time", factor)
	}
	now = now.Add(10 * time.Minute)
	if factor := times.Factor(now, key, ""); factor > 1.1 {
		t.Errorf("the factor is %.2f ten minutes later, want about 1", factor)
	}
}

// Guards against clients that make the tables grow: by images, steps or queues that no
// longer exist.
func TestRowsAreBounded(t *testing.T) {
	times, now := NewRunTimes(32, 8), start
	for i := range 1000 {
		times.Observe(now, Observation{
			Key: StepKey{Queue: fmt.Sprintf("q%d", i%50), Step: i}, Image: fmt.Sprintf("image-%d", i), Declared: time.Second, Observed: time.Second, Weight: 1,
		})
	}
	if times.Len() != 40 {
		t.Errorf("%d rows, want 32 and 8", times.Len())
	}
	now = now.Add(10 * time.Minute)
	times.Observe(now, Observation{Key: StepKey{Queue: "new"}, Image: "new", Declared: time.Second, Observed: 4 * time.Second, Weight: 1})
	if factor := times.Factor(now, StepKey{Queue: "new"}, ""); factor <= 1 || times.Len() > 40 {
		t.Errorf("a new queue has the factor %.2f beside %d rows that have lost their weight", factor, times.Len())
	}
}
