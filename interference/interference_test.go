package interference

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

const sampleInterval = 500 * time.Millisecond

func named(image string) Kind { return Kind{Queue: "q", Image: image} }

// world is a partition whose workers run random tasks. What a task takes follows from its
// kind, its worker and the kinds beside it.
type world struct {
	m       Model
	now     time.Time
	random  *rand.Rand
	workers int
	kinds   []Kind
	// effect returns what a disturber does to a victim, as the logarithm of a factor.
	effect func(victim, disturber Kind) float64
	slow   func(worker int) float64 // logarithm of a factor
	team   func(k Kind) string
	beside int // kinds on a worker
	noise  float64
	began  []Belief
	ended  []Belief
}

func newWorld(seed uint64, workers, kinds int) *world {
	w := &world{
		now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(seed, 5)), workers: workers, beside: 4, noise: 0.2,
		effect: func(Kind, Kind) float64 { return 0 }, slow: func(int) float64 { return 0 }, team: func(Kind) string { return "" },
	}
	for i := range kinds {
		w.kinds = append(w.kinds, named(fmt.Sprintf("k%d", i)))
	}
	return w
}

// run lets time pass. The tasks of a worker change every two seconds.
func (w *world) run(d time.Duration) {
	on := make([][]Kind, w.workers)
	for step := 0; d > 0; step++ {
		d -= sampleInterval
		w.now = w.now.Add(sampleInterval)
		for i := range w.workers {
			if step%4 == 0 || on[i] == nil {
				on[i] = nil
				for _, k := range w.random.Perm(len(w.kinds))[:min(len(w.kinds), 1+w.random.IntN(w.beside))] {
					on[i] = append(on[i], w.kinds[k])
				}
			}
			w.observe(i, on[i])
		}
		for _, b := range w.m.TakeChanges() {
			if b.Held {
				w.began = append(w.began, b)
			} else {
				w.ended = append(w.ended, b)
			}
		}
	}
}

func (w *world) observe(worker int, kinds []Kind) {
	var tasks []Task
	for _, victim := range kinds {
		cost := w.slow(worker) + w.noise*w.random.NormFloat64()
		for _, disturber := range kinds {
			if disturber != victim {
				cost += w.effect(victim, disturber)
			}
		}
		tasks = append(tasks, Task{Kind: victim, Team: w.team(victim), Job: uint64(w.random.IntN(20)), Cost: 1.7 * math.Exp(cost), Weight: 1})
	}
	w.m.Observe(w.now, fmt.Sprintf("w%d", worker), 0.5, tasks)
}

// believes reports whether the model would keep the two kinds apart.
func (w *world) believes(a, b Kind) bool {
	for _, p := range w.m.Partners(w.now, a, w.team(a)) {
		if p.Kind == b {
			return true
		}
	}
	return false
}

// falseBeliefs counts the beliefs in pairs without an effect.
func (w *world) falseBeliefs() int {
	n := 0
	for _, b := range w.began {
		if w.effect(b.Victim, b.Disturber) <= 0.05 {
			n++
		}
	}
	return n
}

// Load pattern: two kinds that slow each other among six. Guards against a pair that
// is not found within 15 s, and against others that are taken for it.
func TestDisturbingPairIsFound(t *testing.T) {
	for seed := range uint64(10) {
		w := newWorld(seed, 12, 6)
		w.effect = func(v, d Kind) float64 {
			if (v == named("k0") && d == named("k1")) || (v == named("k1") && d == named("k0")) {
				return 0.7
			}
			return 0
		}
		w.run(15 * time.Second)
		if !w.believes(named("k0"), named("k1")) || !w.believes(named("k1"), named("k0")) {
			t.Errorf("seed %d: the pair was not found", seed)
		}
		w.run(45 * time.Second)
		t.Logf("seed %d: %d beliefs, %d of them false", seed, len(w.began), w.falseBeliefs())
		if w.falseBeliefs() > 2 {
			t.Errorf("seed %d: %d false beliefs: %+v", seed, w.falseBeliefs(), w.began)
		}
	}
}

// Load pattern: kinds that do nothing to each other. Guards against beliefs from noise.
func TestKindsWithoutEffectAreNotBelievedToDisturb(t *testing.T) {
	total := 0
	for seed := range uint64(10) {
		w := newWorld(seed+100, 12, 8)
		w.noise = 0.3
		w.run(2 * time.Minute)
		total += len(w.began)
	}
	t.Logf("%d beliefs in 20 minutes", total)
	if total > 2 {
		t.Errorf("%d beliefs in 20 minutes without any effect", total)
	}
}

// Load pattern: one kind among twenty slows all others. Guards against a search pair by
// pair, which would take twenty times as long, and against beliefs in the quiet ones.
func TestNoisyKindAmongTwentyIsFound(t *testing.T) {
	for seed := range uint64(10) {
		w := newWorld(seed+200, 20, 20)
		w.effect = func(_, d Kind) float64 {
			if d == named("k7") {
				return 0.6
			}
			return 0
		}
		w.run(30 * time.Second)
		found := 0
		for _, k := range w.kinds {
			if k != named("k7") && w.believes(k, named("k7")) {
				found++
			}
		}
		t.Logf("seed %d: found beside %d of 19 kinds, %d false", seed, found, w.falseBeliefs())
		if found < 12 || w.falseBeliefs() > 3 {
			t.Errorf("seed %d: the noisy kind was found beside %d of 19 kinds, %d false beliefs", seed, found, w.falseBeliefs())
		}
	}
}

// Load pattern: workers that are slow, one of them on and off. Guards against a slow worker
// that accuses the kinds of its tasks.
func TestSlowWorkersAccuseNoKind(t *testing.T) {
	total := 0
	for seed := range uint64(10) {
		w := newWorld(seed+300, 12, 8)
		w.slow = func(i int) float64 {
			if i == 3 || (i == 5 && w.now.Second()%20 < 8) {
				return math.Log(5)
			}
			return 0
		}
		w.run(time.Minute)
		total += len(w.began)
	}
	t.Logf("%d beliefs in 10 minutes with slow workers", total)
	if total > 3 {
		t.Errorf("%d beliefs in 10 minutes with slow workers", total)
	}
}

// Load pattern: a kind that disturbs and then no longer does. Guards against a belief that
// outlives its cause.
func TestBeliefEndsWhenBehaviourChanges(t *testing.T) {
	for seed := range uint64(10) {
		w := newWorld(seed+400, 12, 6)
		noisy := true
		w.effect = func(_, d Kind) float64 {
			if noisy && d == named("k1") {
				return 0.7
			}
			return 0
		}
		w.run(20 * time.Second)
		if !w.believes(named("k0"), named("k1")) {
			t.Errorf("seed %d: the noisy kind was not found", seed)
		}
		noisy = false
		w.run(25 * time.Second)
		if _, _, believed := w.m.Sizes(); believed > 1 {
			t.Errorf("seed %d: %d pairs are still believed to disturb 25 s after the last effect", seed, believed)
		}
	}
}

// Guards against a belief that rests on one worker, on one pair of jobs or on two samples.
func TestFewSamplesGiveNoBelief(t *testing.T) {
	play := func(workers, rounds int, job func(i int) uint64) int {
		var m Model
		now := time.Unix(1000, 0)
		for i := range 40 { // the level of the victim is known
			now = now.Add(sampleInterval)
			m.Observe(now, fmt.Sprintf("w%d", i%5), 0.5, []Task{{Kind: named("a"), Job: uint64(i % 5), Cost: 1, Weight: 1}})
		}
		for i := range rounds {
			now = now.Add(sampleInterval)
			m.Observe(now, fmt.Sprintf("w%d", i%workers), 0.5, []Task{{Kind: named("a"), Job: job(i), Cost: 2.5, Weight: 1}, {Kind: named("b"), Weight: 1}})
		}
		_, _, believed := m.Sizes()
		return believed
	}
	manyJobs := func(i int) uint64 { return uint64(i) }
	if n := play(1, 60, manyJobs); n != 0 {
		t.Errorf("%d beliefs from one worker", n)
	}
	if n := play(5, 60, func(int) uint64 { return 1 }); n != 0 {
		t.Errorf("%d beliefs from one pair of jobs", n)
	}
	if n := play(5, 2, manyJobs); n != 0 {
		t.Errorf("%d beliefs from two samples", n)
	}
	if n := play(5, 60, manyJobs); n != 1 {
		t.Errorf("%d beliefs from 60 samples on five workers, want 1", n)
	}
}

// Guards against a client that invents kinds: the memory must stay bounded, and the kinds of
// others must not be forgotten.
func TestTenThousandKindsStayWithinBounds(t *testing.T) {
	w := newWorld(1, 12, 6)
	w.effect = func(_, d Kind) float64 {
		if d == named("k1") {
			return 0.7
		}
		return 0
	}
	w.run(20 * time.Second)
	for i := range 10_000 {
		if i%200 == 0 {
			w.run(sampleInterval)
		}
		flood := Task{Kind: Kind{Queue: "flood", Image: fmt.Sprintf("i%d", i)}, Team: "flooder", Cost: 1, Weight: 1}
		w.m.Observe(w.now, fmt.Sprintf("w%d", i%12), 0.5, []Task{flood, {Kind: named("k0"), Job: uint64(i), Cost: 1.7, Weight: 1}})
		if kinds, pairs, _ := w.m.Sizes(); kinds > maxKinds || pairs > maxPairs || w.m.workers.Len() > maxWorkers || len(w.m.owners) > maxKinds {
			t.Fatalf("%d kinds and %d pairs", kinds, pairs)
		}
	}
	if !w.believes(named("k0"), named("k1")) {
		t.Error("a flood of new kinds displaced what was known of others")
	}
	for range 1000 {
		w.m.Observe(w.now, fmt.Sprintf("other%d", w.random.IntN(100000)), 0.5, []Task{{Kind: named("k0"), Cost: 1, Weight: 1}})
	}
	if w.m.workers.Len() > maxWorkers {
		t.Errorf("%d workers are kept", w.m.workers.Len())
	}
}

// Guards against a team that gives the image of another one a bad name by running noise
// under its name.
func TestOneTeamDoesNotMarkTheImageOfAnother(t *testing.T) {
	w := newWorld(2, 12, 6)
	w.team = func(Kind) string { return "attacker" }
	w.effect = func(_, d Kind) float64 {
		if d == named("k1") {
			return 0.7
		}
		return 0
	}
	w.run(30 * time.Second)
	if !w.believes(named("k1"), named("k0")) {
		t.Fatal("the noise was not found")
	}
	w.team = func(Kind) string { return "owner" }
	if w.believes(named("k1"), named("k0")) {
		t.Error("the image of the owner is kept apart for what another team ran")
	}
}

// Guards against a cost of observations that grows with the kinds, and against allocations
// for each.
func BenchmarkObserve(b *testing.B) {
	w := newWorld(1, 48, 100)
	w.run(20 * time.Second)
	tasks := make([]Task, 20)
	for i := range tasks {
		tasks[i] = Task{Kind: w.kinds[i%8], Job: uint64(i), Cost: 1.7, Weight: 1}
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		w.m.Observe(w.now, "w1", 0.5, tasks)
		if i%100 == 0 {
			w.now = w.now.Add(sampleInterval)
			w.m.TakeChanges()
		}
	}
}
