package dispatch

import (
	"fmt"
	"math"
	"math/rand"
	"testing"
	"time"

	"github.com/waxwingbridge/waxwingbridge/estimate"
	"github.com/waxwingbridge/waxwingbridge/placement"
	"github.com/waxwingbridge/waxwingbridge/work"
)

// overloadResult counts the jobs of one run by when they completed.
type overloadResult struct {
	jobs, inTime, late, worthless int
	benefit, possible             float64
	longest                       time.Duration // from acceptance to completion
}

func (r *overloadResult) add(other overloadResult) {
	r.jobs, r.inTime, r.late, r.worthless = r.jobs+other.jobs, r.inTime+other.inTime, r.late+other.late, r.worthless+other.worthless
	r.benefit, r.possible, r.longest = r.benefit+other.benefit, r.possible+other.possible, max(r.longest, other.longest)
}

func (r overloadResult) String() string {
	return fmt.Sprintf("%d jobs: %d in time, %d late, %d without benefit; benefit %.3f; longest %v",
		r.jobs, r.inTime, r.late, r.worthless, r.benefit/r.possible, r.longest)
}

// uneven describes a load of overload tests: the mean load against the pool, and the share
// by which estimates are off.
type uneven struct {
	mean, estimateError float64
	bias                [3]float64 // by step: mean ratio of true to declared run times; 0 for 1
	learnsNothing       bool
}

// runUneven sends jobs of three kinds at 4 to 5 times the mean for 4 s and a twentieth of it
// for 12 s, twice, to a pool of 8 workers, and waits until all are done. Without teams the
// former rule applies.
func runUneven(t *testing.T, seed int64, load uneven, teams bool) overloadResult {
	random := rand.New(rand.NewSource(seed))
	w := newSimulation(t)
	w.countsVisits = true
	w.s.Team = func(name string) *work.Team { return &work.Team{Name: name, Weight: 1000} }
	const workers = 8
	for i := range workers {
		w.addWorker(fmt.Sprintf("w%d", i))
	}
	w.run(200 * time.Millisecond)
	if load.learnsNothing {
		w.pool().runTimes = estimate.NewRunTimes(0, 0)
	}
	accepted, done := map[string]*work.Job{}, map[string]time.Duration{}
	runTimes := map[work.TaskName]time.Duration{}
	w.runTimeOf = func(o StartOrder) time.Duration { return runTimes[o.Task] }
	kinds := []struct{ tasks, estimate, cores int }{{2, 300, 500}, {6, 400, 1000}, {16, 600, 1000}}
	newJob := func(n int) *work.Job {
		kind := kinds[random.Intn(len(kinds))]
		scale := math.Exp(0.5 * random.NormFloat64())
		j := job()
		j.ID = fmt.Sprintf("j%d", n)
		j.Limits.SlowdownFactor, j.Limits.Latency = 1.6, time.Second
		for i := range 1 + random.Intn(3) {
			s := work.Step{
				Count: max(1, int(float64(kind.tasks)*scale)), Size: placement.Resources{MilliCores: kind.cores, MemoryMB: 100},
				Estimate: time.Duration(kind.estimate) * time.Millisecond,
			}
			if i > 0 {
				s.After = []int{i - 1}
			}
			off := 1.0
			if load.bias[i] > 0 {
				off = load.bias[i]
			}
			off *= 1 + load.estimateError*(2*random.Float64()-1)
			for index := range s.Count {
				spread := 0.8 + 0.4*random.Float64()
				runTimes[work.TaskName{Job: j.ID, Step: i, Index: index}] = time.Duration(off * spread * float64(s.Estimate))
			}
			j.Steps = append(j.Steps, s)
		}
		if teams {
			j.Team = "team"
		}
		return j
	}
	// The mean work of a job is measured on a sample, so that the load is as named.
	forLoad := random
	random = rand.New(rand.NewSource(seed + 1_000_000))
	meanWork := 0.0
	for range 400 {
		meanWork += jobWork(newJob(-1)) / 400
	}
	random = forLoad
	perSecond := load.mean * workers * 4 / meanWork
	for tick := range 3200 {
		rate := perSecond * (4 + random.Float64())
		if tick%1600 >= 400 {
			rate = perSecond / 20
		}
		for p := rate * simulationStep.Seconds(); p > 0; p-- {
			if random.Float64() < p {
				j := newJob(len(accepted))
				accepted[j.ID] = j
				w.accept(j)
				j.AcceptedAt = w.now
			}
		}
		w.run(simulationStep)
		w.noteDone(accepted, done)
	}
	for range 12_000 {
		if len(done) == len(accepted) {
			break
		}
		w.run(simulationStep)
		w.noteDone(accepted, done)
	}
	return resultOf(t, accepted, done, meanWork)
}

func jobWork(j *work.Job) float64 {
	sum := 0.0
	for i := range j.Steps {
		sum += (&Job{Spec: j}).stepWork(i)
	}
	return sum
}

// noteDone records how long the jobs took that are saved as completed.
func (w *simulation) noteDone(accepted map[string]*work.Job, done map[string]time.Duration) {
	for id, progress := range w.saved {
		if progress.State == work.JobCompleted {
			if _, known := done[id]; !known {
				done[id] = w.now.Sub(accepted[id].AcceptedAt)
			}
			delete(w.saved, id)
		}
	}
}

func resultOf(t *testing.T, accepted map[string]*work.Job, done map[string]time.Duration, meanWork float64) overloadResult {
	var r overloadResult
	for id, j := range accepted {
		took, ok := done[id]
		if !ok {
			t.Errorf("job %s never completed", id)
			continue
		}
		chain := time.Duration(0)
		for i := range j.Steps {
			chain += j.Steps[i].Estimate
		}
		objective := time.Duration(j.Limits.SlowdownFactor*float64(chain)) + j.Limits.Latency
		worth := min(maxWorth, fixedWorth+(1-fixedWorth)*jobWork(j)/meanWork)
		r.jobs++
		r.possible += worth
		r.longest = max(r.longest, took)
		switch {
		case took <= objective:
			r.inTime++
			r.benefit += worth
		case took <= 3*objective:
			r.late++
			r.benefit += 0.07 * worth
		default:
			r.worthless++
		}
	}
	return r
}

// Guards against an order that makes many jobs a little late instead of some in time. Load:
// 4 to 5 times the mean for 4 s, a twentieth for 12 s, at mean loads from half of the pool
// to all of it, estimates off by up to 50 and 90 %, seeds 301 to 306, which the rule was not
// tuned on. Beside it the former rule.
func TestMoreJobsAreInTimeUnderOverload(t *testing.T) {
	var present, former overloadResult
	for _, load := range []uneven{{mean: 0.45, estimateError: 0.9}, {mean: 0.7, estimateError: 0.5}, {mean: 1, estimateError: 0.5}} {
		var a, b overloadResult
		for seed := int64(301); seed <= 306; seed++ {
			a.add(runUneven(t, seed, load, true))
			b.add(runUneven(t, seed, load, false))
		}
		t.Logf("mean load %.2f, estimates off by up to %.0f %%, seeds 301 to 306\n  new:    %v\n  former: %v", load.mean, 100*load.estimateError, a, b)
		present.add(a)
		former.add(b)
	}
	if float64(present.inTime) < 1.02*float64(former.inTime) || present.benefit < 1.01*former.benefit || present.longest > former.longest {
		t.Errorf("new: %v; former: %v; want 2 %% more jobs in time, 1 %% more benefit, and no longer time", present, former)
	}
}

// Guards against a late job that still earns something behind jobs that earn nothing any
// more. Load: both kinds wait for a full worker.
func TestLateJobsWithBenefitGoBeforeWorthlessOnes(t *testing.T) {
	w := newSharedSimulation(t, map[string]float64{"team": 1000})
	for i := range 8 {
		w.accept(teamJob(fmt.Sprintf("first-%d", i), "team", 8))
	}
	w.run(100 * time.Millisecond)
	for i, age := range []time.Duration{20 * time.Second, 2 * time.Second} {
		j := teamJob(fmt.Sprintf("late-%d", i), "team", 1)
		j.AcceptedAt = w.now.Add(-age)
		w.accept(j)
	}
	w.run(simulationStep)
	p := w.pool()
	queue := p.ready.teams.Get(p.ready.queueOf("team"))
	n := queue.stages.Len()
	job := func(i int) string { return w.s.Jobs.Get(w.s.Stages.Get(queue.stages.At(i)).Job).Spec.ID }
	if n < 2 || job(n-2) != "late-1" || job(n-1) != "late-0" {
		t.Errorf("the last of %d stages are of %s and %s, want late-1 and late-0", n, job(n-2), job(n-1))
	}
}

// Guards against a wrong order of the benefit per core-second, and against a load that
// counts work before its deadline only.
func TestWorthAndDeadlineLoad(t *testing.T) {
	kind := jobKind{}
	for _, work := range []float64{1, 3} {
		kind.add(work)
	}
	for work, want := range map[float64]float64{2: 1, 0: 0.3, 100: 4} {
		if got := kind.worth(work); math.Abs(got-want) > 0.001 {
			t.Errorf("a job of %.0f core-seconds beside a mean of 2 is worth %.3f, want %.1f", work, got, want)
		}
	}
	diamond := []work.Step{step(2), step(4), step(4), step(2)} // 0.15 core-seconds a task
	diamond[1].After, diamond[2].After, diamond[3].After = []int{0}, []int{0}, []int{1, 2}
	for i, want := range []float64{1.8, 0.9, 0.9, 0.3} {
		if got := (&Job{Spec: job(diamond...)}).workByStep()[i]; math.Abs(got-want) > 0.001 {
			t.Errorf("%.2f core-seconds are left from step %d on, want %.2f", got, i, want)
		}
	}
	var load deadlineLoad
	load.add(900*time.Millisecond, 8)
	load.add(10*time.Second, 8)
	if got := load.onCores(4); math.Abs(got-2) > 0.001 {
		t.Errorf("load %.2f, want 2: 8 core-seconds within a second on 4 cores", got)
	}
}
