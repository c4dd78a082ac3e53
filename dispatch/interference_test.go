package dispatch

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/waxwingbridge/waxwingbridge/interference"
	"github.com/waxwingbridge/waxwingbridge/placement"
	"github.com/waxwingbridge/waxwingbridge/table"
	"github.com/waxwingbridge/waxwingbridge/work"
)

const (
	trialLatencyTarget = 100 * time.Millisecond
	trialTail          = 45.0 // ms, of a serving task without any disturbance
	trialRunTime       = 700 * time.Millisecond
)

// interferenceTrial is a load of batch, best-effort and serving steps on one pool.
type interferenceTrial struct {
	name string
	// effect returns what an image does to the tail of a serving image, as the logarithm of
	// a factor.
	effect func(at time.Duration, serving, image string) float64
	// slow returns by how much a worker is slower, as the logarithm of a factor.
	slow       func(w *simulation, worker string) float64
	everywhere bool     // a task of serve-b runs on each worker
	perRun     bool     // the effect counts once for each run of an image
	images     []string // of the batch jobs
	perSecond  float64  // batch jobs of four tasks of one core
	seconds    int
}

// interferenceResult is what one rule had.
type interferenceResult struct {
	late, samples   int           // samples of tails above the target, and all
	waited, longest time.Duration // of the batch tasks until they started
	started         int
	beliefs         int
}

func (r interferenceResult) String() string {
	return fmt.Sprintf("tails late %.1f %%, mean wait %.0f ms, longest %d ms, %d starts, %d beliefs", 100*float64(r.late)/float64(r.samples),
		r.waited.Seconds()*1000/float64(max(1, r.started)), r.longest.Milliseconds(), r.started, r.beliefs)
}

// play runs the load under one rule. Both rules see the same jobs.
func (tr *interferenceTrial) play(t *testing.T, seed uint64, ignore bool) interferenceResult {
	var result interferenceResult
	random := rand.New(rand.NewPCG(seed, 11))
	tails := rand.New(rand.NewPCG(seed, 12))
	var names []string
	for i := range 10 {
		names = append(names, fmt.Sprintf("w%d", i))
	}
	w := newSimulation(t, names...)
	w.s.Config.IgnoreInterference, w.countsVisits = ignore, true
	w.runTime = trialRunTime
	images := map[string]string{} // by job
	submitted := map[string]time.Time{}
	w.observe = func(task work.TaskName) {
		if at, ok := submitted[task.Job]; ok {
			result.started++
			result.waited += w.now.Sub(at)
			result.longest = max(result.longest, w.now.Sub(at))
		}
	}
	for _, image := range []string{"serve-a", "serve-b"} {
		serving := step(6)
		serving.LongRunning, serving.LatencyTarget, serving.Image, serving.Estimate = true, trialLatencyTarget, image, 0
		serving.Size = placement.Resources{MilliCores: 400, MemoryMB: 100}
		j := job(serving)
		j.ID = image
		if image == "serve-b" && tr.everywhere {
			j.Steps[0].Count, j.Steps[0].MaxPerWorker = len(names), 1
		}
		images[image] = image
		w.accept(j)
	}
	next := random.ExpFloat64() / tr.perSecond
	for at, jobs := time.Duration(0), 0; at < time.Duration(tr.seconds)*time.Second; at += simulationStep {
		for next < at.Seconds() {
			next += random.ExpFloat64() / tr.perSecond
			jobs++
			batch := step(4)
			batch.Image, batch.Estimate = tr.images[random.IntN(len(tr.images))], trialRunTime
			batch.Size = placement.Resources{MilliCores: 1000, MemoryMB: 100}
			batch.BestEffort = strings.HasPrefix(batch.Image, "scan")
			if batch.BestEffort { // memory bounds how many share a worker
				batch.Size.MemoryMB = 1000
			}
			j := job(batch)
			j.ID = fmt.Sprintf("b%d", jobs)
			images[j.ID], submitted[j.ID] = batch.Image, w.now
			w.accept(j)
		}
		tr.setLoads(w, at, images, tails, &result)
		w.run(simulationStep)
	}
	kinds := w.s.Pools.Get(w.poolID()).interference
	_, _, result.beliefs = kinds.Sizes()
	return result
}

func (w *simulation) poolID() (id table.ID) {
	id, _ = w.s.poolByName.Get("pool")
	return id
}

// setLoads sets the progress and the tails that the workers list.
func (tr *interferenceTrial) setLoads(w *simulation, at time.Duration, images map[string]string, tails *rand.Rand, result *interferenceResult) {
	for _, name := range slices.Sorted(maps.Keys(w.workers)) {
		f := w.workers[name]
		slow := 0.0
		if tr.slow != nil {
			slow = tr.slow(w, name)
		}
		for i := range f.running {
			r := &f.running[i]
			image := images[r.task.Job]
			if lasting := image == "serve-a" || image == "serve-b"; lasting {
				r.done = time.Time{}
				tail := math.Log(trialTail) + slow + 0.15*tails.NormFloat64()
				seen := map[string]bool{}
				for _, other := range f.running {
					if disturber := images[other.task.Job]; disturber != image && (tr.perRun || !seen[disturber]) {
						seen[disturber] = true
						share := 1.0
						if other.speed > 0 {
							share = float64(other.speed) / 100
						}
						tail += share * tr.effect(at, image, disturber)
					}
				}
				r.load = max(1, int(math.Exp(tail)))
				result.samples++
				if r.load > int(trialLatencyTarget.Milliseconds()) {
					result.late++
				}
				continue
			}
			r.percent = min(99, 1+int(100*w.now.Sub(r.began)/trialRunTime))
		}
	}
}

// slowServing has the first worker that serves be four times slower than the others.
func slowServing(w *simulation, worker string) float64 {
	for _, name := range slices.Sorted(maps.Keys(w.workers)) {
		if slices.ContainsFunc(w.workers[name].running, func(r fakeRun) bool { return r.task.Job == "serve-a" }) {
			return map[bool]float64{true: math.Log(4)}[name == worker]
		}
	}
	return 0
}

func noEffect(time.Duration, string, string) float64 { return 0 }

// Load patterns: batch images that disturb a serving one or don't, one of twenty, a
// best-effort image, a slow worker, a change of behaviour, and more work than the pool can do.
// Runs the former rule beside the new one on the same jobs. Guards against placement that
// leaves a serving task beside what disturbs it though there is room, and against one that
// has tasks wait longer than the former rule for it.
func TestInterferenceBesideFormerRule(t *testing.T) {
	grinding := func(_ time.Duration, serving, image string) float64 {
		if image == "grind" && serving == "serve-a" {
			return 1.1
		}
		return 0
	}
	grindingPerRun := func(at time.Duration, serving, image string) float64 { return 0.5 * grinding(at, serving, image) }
	twenty := []string{}
	for i := range 19 {
		twenty = append(twenty, fmt.Sprintf("calm%d", i))
	}
	for _, tr := range []struct {
		interferenceTrial
		maxLate    float64 // of the late tails of the former rule
		maxBeliefs int     // at the end, in both runs
	}{
		{interferenceTrial{name: "one of two images disturbs", effect: grinding, images: []string{"grind", "calm"}, perSecond: 5}, 0.6, 99},
		{interferenceTrial{name: "one of two images disturbs, with each run", perRun: true, effect: grindingPerRun, images: []string{"grind", "calm"}, perSecond: 5}, 0.8, 99},
		{interferenceTrial{name: "one of twenty images disturbs", effect: grinding, images: append(twenty, "grind"), perSecond: 5}, 1.02, 99},
		{interferenceTrial{name: "no effect", effect: noEffect, images: []string{"grind", "calm"}, perSecond: 5}, 1.02, 0},
		{interferenceTrial{name: "slow worker", effect: noEffect, slow: slowServing, images: []string{"grind", "calm"}, perSecond: 5}, 1.02, 0},
		{interferenceTrial{name: "slow worker and a disturbing image", effect: grinding, slow: slowServing, images: []string{"grind", "calm"}, perSecond: 5}, 1.02, 99},
		{interferenceTrial{name: "full", effect: grinding, images: []string{"grind", "calm"}, perSecond: 14}, 1.02, 99},
		{interferenceTrial{name: "best-effort image disturbs, serving tasks everywhere", effect: func(_ time.Duration, serving, image string) float64 {
			if image == "scan" && serving == "serve-a" {
				return 1
			}
			return 0
		}, images: []string{"scan", "scan-calm"}, perSecond: 6, everywhere: true}, 1.02, 99},
		{interferenceTrial{name: "disturbs until half time", effect: func(at time.Duration, serving, image string) float64 {
			if at < 20*time.Second {
				return grinding(at, serving, image)
			}
			return 0
		}, images: []string{"grind", "calm"}, perSecond: 5}, 1.02, 99},
	} {
		tr.seconds = 40
		var former, learned interferenceResult
		for seed := range uint64(1) {
			former.add(tr.play(t, seed, true))
			learned.add(tr.play(t, seed, false))
		}
		t.Logf("%s:\n former  %v\n learned %v", tr.name, former, learned)
		if float64(learned.late) > tr.maxLate*float64(former.late)+1 || learned.beliefs > tr.maxBeliefs {
			t.Errorf("%s: %d late tails, %d with the former rule; %d beliefs", tr.name, learned.late, former.late, learned.beliefs)
		}
		if learned.started < former.started || learned.waited > former.waited*102/100 || learned.longest > former.longest*105/100 {
			t.Errorf("%s: tasks wait longer than with the former rule: %v instead of %v", tr.name, learned, former)
		}
	}
}

func (r *interferenceResult) add(other interferenceResult) {
	r.late, r.samples, r.started, r.beliefs = r.late+other.late, r.samples+other.samples, r.started+other.started, r.beliefs+other.beliefs
	r.waited, r.longest = r.waited+other.waited, max(r.longest, other.longest)
}

// Guards against what was learnt outliving the ownership of the pool, and against an
// observation of pools without a serving or best-effort task, which would cost processor
// time for nothing.
func TestInterferenceIsLearntByTheOwner(t *testing.T) {
	w := newSimulation(t, "a", "b", "c")
	w.runTime = 5 * time.Second
	w.accept(job(step(6)))
	w.run(3 * time.Second)
	if kinds, _, _ := w.s.Pools.Get(w.poolID()).interference.Sizes(); kinds != 0 {
		t.Errorf("%d kinds were observed in a pool without a serving or best-effort task", kinds)
	}
	serving := longRunningStep(3, 1)
	serving.LatencyTarget = trialLatencyTarget
	second := job(serving)
	second.ID = "j2"
	w.accept(second)
	w.run(3 * time.Second)
	if kinds, _, _ := w.s.Pools.Get(w.poolID()).interference.Sizes(); kinds == 0 {
		t.Error("nothing was observed beside a serving task")
	}
	w.s.DropPool("pool")
	w.ledger.Revision++
	w.token = w.ledger.Revision
	w.renewOwnership()
	if kinds, _, _ := w.s.Pools.Get(w.poolID()).interference.Sizes(); kinds != 0 {
		t.Errorf("a new ownership starts with %d kinds", kinds)
	}
}

// Guards against a cost of interference that decides more than the order of workers that a
// task may use: a task that waits on a worker with room, one that starts where a constraint
// forbids it, or one that leaves the rack of its data or waits for it longer.
func TestInterferenceOnlyOrdersWorkers(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	changed := 0
	for range 3000 {
		var names []string
		for i := range 5 {
			names = append(names, fmt.Sprintf("w%d", i))
		}
		w := newSimulation(t, names...)
		w.countsVisits = true
		placed := make([]candidate, 0, len(names))
		stage := &Stage{perWorker: map[table.ID]int{}}
		kinds := []interference.Kind{{Queue: "queue", Image: "x"}, {Queue: "queue", Image: "y"}, {Queue: "queue", Image: "z"}}
		for id, worker := range w.s.Workers.All() {
			worker.Rack, worker.Capacity.MilliCores = fmt.Sprintf("r%d", random.IntN(3)), 1000*(1+random.IntN(4))
			worker.faultScore = float64(random.IntN(2)) / 4
			for range random.IntN(4) {
				run := w.s.Runs.Insert(Run{Worker: id, kind: kinds[random.IntN(3)]})
				worker.runs = append(worker.runs, run)
				worker.used.MilliCores += 500 * random.IntN(2)
			}
			worker.load.bestEffort, worker.load.longRunning = random.IntN(2), random.IntN(2)
			stage.perWorker[id] = random.IntN(2)
			placed = append(placed, w.s.newCandidate(w.now, id, worker))
		}
		st := work.Step{Count: 3, Size: placement.Resources{MilliCores: 500 * (1 + random.IntN(6)), MemoryMB: 1}, Image: "a"}
		st.MaxPerWorker, st.LongRunning = random.IntN(2), random.IntN(2) == 0
		if random.IntN(2) == 0 {
			st.Rack = "r0"
		}
		if random.IntN(2) == 0 {
			st.LatencyTarget = trialLatencyTarget
		}
		j, task := &Job{Spec: job(st), Pool: w.poolID()}, &Task{State: TaskReady, ReadySince: w.now.Add(-time.Duration(random.IntN(600)) * time.Millisecond)}
		partners := []interference.Partner{{Kind: kinds[0], Cost: 3 * random.Float64()}, {Kind: kinds[1], Cost: 3 * random.Float64()}}
		former := w.s.bestOf(w.tickNow(), stage, j, &st, task, placed, "", nil)
		learned := w.s.bestOf(w.tickNow(), stage, j, &st, task, placed, "", partners)
		if (former < 0) != (learned < 0) {
			t.Fatalf("step %+v: candidate %d without and %d with partners", st, former, learned)
		}
		if learned < 0 {
			continue
		}
		if former != learned {
			changed++
		}
		c := &placed[learned]
		if !st.Reserved().Fits(c.free) || !w.s.satisfiesConstraints(w.now, c, stage, &st, task, "") {
			t.Fatalf("step %+v was placed on a worker that may not run it", st)
		}
		if st.Rack != "" && placed[former].w.Rack == st.Rack && c.w.Rack != st.Rack {
			t.Fatalf("step %+v left the rack of its data", st)
		}
	}
	if changed < 100 {
		t.Errorf("the cost changed the choice in %d of 3000 cases, too few for the test to show anything", changed)
	}
}
