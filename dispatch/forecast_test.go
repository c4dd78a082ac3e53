package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// Load of the trials: machines of 40 cores, tasks of one core and taskTime.
const (
	trialStep     = 10 * time.Millisecond
	trialCores    = 40
	trialTaskTime = 700 * time.Millisecond
	trialMoveTime = 1650 * time.Millisecond // with report and plan
	trialStandby  = 2500 * time.Millisecond // until a released machine is switched off
	trialReport   = 80 * time.Millisecond
)

// trialPool is a pool under one rule, with a queue in order of arrival.
type trialPool struct {
	p           *Pool
	useForecast bool
	have, busy  int           // machines, cores
	arriving    []time.Time   // ordered machines
	released    []time.Time   // since when machines are released
	waiting     []time.Time   // tasks
	ends        []time.Time   // of running tasks
	late        float64       // core-seconds that found no machine within a second
	held        time.Duration // machine time
	moves       int
}

func newTrialPool(now time.Time, useForecast bool) *trialPool {
	return &trialPool{p: &Pool{OwnedSince: now.Add(-time.Minute)}, useForecast: useForecast, have: minMachines + spareMachines}
}

// step advances a pool by one trialStep. It may order as many machines as are free in the
// standby pool, and returns how many are free then.
func (m *trialPool) step(now time.Time, jobs, tasksPerJob, free int) int {
	for range jobs {
		j := &Job{Work: float64(tasksPerJob) * trialTaskTime.Seconds()}
		m.p.recordArrival(now, 0, j)
		m.p.recordForecastArrival(now, j.Work)
		for range tasksPerJob {
			m.waiting = append(m.waiting, now)
		}
	}
	for len(m.ends) > 0 && !now.Before(m.ends[0]) {
		m.ends, m.busy = m.ends[1:], m.busy-1
	}
	for len(m.arriving) > 0 && !now.Before(m.arriving[0]) {
		m.arriving, m.have = m.arriving[1:], m.have+1
	}
	usable := int(float64((m.have-len(m.released))*trialCores) * usableShare)
	for len(m.waiting) > 0 && m.busy < usable {
		if now.Sub(m.waiting[0]) > time.Second {
			m.late += trialTaskTime.Seconds()
		}
		m.waiting, m.busy = m.waiting[1:], m.busy+1
		m.ends = append(m.ends, now.Add(trialTaskTime))
	}
	for len(m.released) > 0 && now.Sub(m.released[0]) > trialStandby {
		m.released, m.have, free, m.moves = m.released[1:], m.have-1, free+1, m.moves+1
	}
	m.held += time.Duration(m.have+len(m.arriving)) * trialStep
	if now.UnixNano()%int64(trialReport) != 0 {
		return free
	}
	m.p.forecast.Advance(now)
	arriving := m.p.expectedArrivalRate(now)
	if m.useForecast {
		arriving = m.p.arrivalRateToServe(now, float64(m.busy))
	}
	wanted := (max(float64(m.busy), arriving) + float64(len(m.waiting))) * 1000
	need := m.p.smoothNeed(now, max(int(wanted/(trialCores*1000*usableShare))+1, minMachines))
	keep, order := need+spareMachines, need
	if m.useForecast {
		expected := m.p.forecastMachines(now, trialCores*1000*usableShare)
		keep, order = max(keep, expected), max(order, expected)
	}
	idle := m.have - len(m.released) - (m.busy+trialCores-1)/trialCores
	for kept := m.have - len(m.released); kept > keep && idle > 0; kept, idle = kept-1, idle-1 {
		m.released = append(m.released, now)
	}
	for len(m.released) > 0 && m.have-len(m.released) < keep {
		m.released = m.released[:len(m.released)-1]
	}
	for m.have+len(m.arriving) < order && free > 0 {
		m.arriving, free, m.moves = append(m.arriving, now.Add(trialMoveTime)), free-1, m.moves+1
	}
	return free
}

// trialResult sums what pools of one rule had.
type trialResult struct {
	late, held, work float64
	moves            int
}

func (r *trialResult) add(m *trialPool) {
	r.late += m.late
	r.held += m.held.Seconds()
	r.moves += m.moves
}

func (r trialResult) String() string {
	return fmt.Sprintf("late %.0f of %.0f core-s, held %.0f machine-s, %d moves", r.late, r.work, r.held, r.moves)
}

// trial is a load of pools in phase that share a standby pool.
type trial struct {
	name     string
	pools    int
	standby  int
	peakJobs float64 // a second
	peak     float64 // cores
	duration time.Duration
	// firstSeed is the seed of the first run.
	firstSeed uint64
	// demand returns the share of the peak at a time.
	demand func(at time.Duration, seed uint64) float64
}

// trialTurns returns the demand of turns with a quarter of the period at the peak.
func trialTurns(period, phase time.Duration) func(time.Duration, uint64) float64 {
	return func(at time.Duration, _ uint64) float64 {
		if at >= phase && (at-phase)%period < period/4 {
			return 1
		}
		return 1.0 / 90
	}
}

// run plays the load with the present rule and with the forecast, on the same arrivals.
func (tr *trial) run(seeds int) (former, forecast trialResult) {
	for seed := tr.firstSeed; seed < tr.firstSeed+uint64(seeds); seed++ {
		random := rand.New(rand.NewPCG(seed, 77))
		start := time.Unix(2000, 0)
		var pools [2][]*trialPool
		for range tr.pools {
			pools[0] = append(pools[0], newTrialPool(start, false))
			pools[1] = append(pools[1], newTrialPool(start, true))
		}
		free := [2]int{tr.standby, tr.standby}
		perJob := max(1, int(tr.peak/tr.peakJobs/trialTaskTime.Seconds()))
		for at := time.Duration(0); at < tr.duration; at += trialStep {
			for i := range tr.pools {
				jobs, tasks := 0, max(1, int(float64(perJob)*(0.5+random.Float64())))
				for rest := random.ExpFloat64(); rest < tr.demand(at, seed)*tr.peakJobs*trialStep.Seconds(); rest += random.ExpFloat64() {
					jobs++
				}
				for rule := range pools {
					free[rule] = pools[rule][i].step(start.Add(at), jobs, tasks, free[rule])
				}
				former.work += float64(jobs*tasks) * trialTaskTime.Seconds()
				forecast.work = former.work
			}
		}
		for i := range tr.pools {
			former.add(pools[0][i])
			forecast.add(pools[1][i])
		}
	}
	return former, forecast
}

// trialBursts returns bursts of 4 s at irregular times, other ones for each seed.
func trialBursts(at time.Duration, seed uint64) float64 {
	random := rand.New(rand.NewPCG(seed, 3))
	for begin := 5 * time.Second; begin <= at; begin += 8*time.Second + time.Duration(random.Int64N(int64(20*time.Second))) {
		if at < begin+4*time.Second {
			return 1
		}
	}
	return 1.0 / 90
}

// until returns a demand that changes from one to another at a time.
func until(change time.Duration, before, after func(time.Duration, uint64) float64) func(time.Duration, uint64) float64 {
	return func(at time.Duration, seed uint64) float64 {
		if at < change {
			return before(at, seed)
		}
		return after(at, seed)
	}
}

func flat(share float64) func(time.Duration, uint64) float64 {
	return func(time.Duration, uint64) float64 { return share }
}

// Load patterns: turns of several periods, phases and rates, turns that stop or change, and
// demands without turns. Runs the present rule and the forecast on the same arrivals.
// Guards against a forecast that helps only in the case on which it was tuned (16 s), and
// against one that costs more than a bounded number of moves where it is wrong.
func TestForecastBesideFormerRule(t *testing.T) {
	const seconds = time.Second
	for _, tr := range []struct {
		trial
		maxLate  float64 // of the late work of the former rule
		maxHeld  float64 // of its machine time
		maxMoves float64 // of its moves
	}{
		{trial{name: "16 s, 30 jobs/s", peakJobs: 30, demand: trialTurns(16*seconds, 5*seconds)}, 0.65, 1.03, 1.03},
		{trial{name: "8 s, 30 jobs/s", peakJobs: 30, demand: trialTurns(8*seconds, 3*seconds)}, 0.65, 1.03, 1.03},
		{trial{name: "23 s, 30 jobs/s", peakJobs: 30, duration: 100 * seconds, demand: trialTurns(23*seconds, 11*seconds)}, 0.75, 1.03, 1.03},
		{trial{name: "40 s, 30 jobs/s", peakJobs: 30, duration: 160 * seconds, demand: trialTurns(40*seconds, 17*seconds)}, 0.75, 1.03, 1.03},
		{trial{name: "13 s, 100 jobs/s", peakJobs: 100, demand: trialTurns(13*seconds, 2*seconds)}, 0.65, 1.03, 1.03},
		{trial{name: "16 s, 9 jobs/s", peakJobs: 9, demand: trialTurns(16*seconds, 9*seconds)}, 0.75, 1.03, 1.03},
		{trial{name: "19 s, 4 jobs/s", peakJobs: 4, demand: trialTurns(19*seconds, 9*seconds)}, 1.03, 1.03, 1.05},
		{trial{name: "16 s, 2 jobs/s", peakJobs: 2, demand: trialTurns(16*seconds, 5*seconds)}, 1.03, 1.03, 1.05},
		{trial{name: "two pools in phase", pools: 2, peakJobs: 30, demand: trialTurns(16*seconds, 7*seconds)}, 0.75, 1.03, 1.03},
		{trial{name: "two pools in phase, few machines", pools: 2, standby: 14, peakJobs: 30, demand: trialTurns(16*seconds, 7*seconds)}, 1.03, 1.03, 1.03},
		{trial{name: "turns stop", peakJobs: 30, duration: 160 * seconds, demand: until(75*seconds, trialTurns(16*seconds, 5*seconds), flat(0.02))}, 0.75, 1.05, 1.05},
		{trial{name: "period changes", peakJobs: 30, duration: 200 * seconds, demand: until(70*seconds, trialTurns(16*seconds, 5*seconds), trialTurns(23*seconds, 11*seconds))}, 0.9, 1.05, 1.05},
		// Cases that were run for the first time when all constants were settled.
		{trial{name: "11 s, 50 jobs/s, other seeds", firstSeed: 4000, peakJobs: 50, demand: trialTurns(11*seconds, 6*seconds)}, 0.75, 1.03, 1.03},
		{trial{name: "29 s, 18 jobs/s, other seeds", firstSeed: 5000, peakJobs: 18, duration: 120 * seconds, demand: trialTurns(29*seconds, 21*seconds)}, 0.75, 1.03, 1.03},
		{trial{name: "16 s, low level of a quarter", firstSeed: 6000, peakJobs: 40, demand: func(at time.Duration, _ uint64) float64 {
			return max(0.25, trialTurns(16*seconds, 4*seconds)(at, 0))
		}}, 1.03, 1.03, 1.03}, // the former rule has hardly any late work there
		{trial{name: "16 s, bursts between turns", firstSeed: 7000, peakJobs: 30, duration: 200 * seconds, demand: func(at time.Duration, seed uint64) float64 {
			return max(0.6*trialBursts(at, seed), trialTurns(16*seconds, 4*seconds)(at, 0))
		}}, 1.03, 1.05, 1.05},
		{trial{name: "even", peakJobs: 30, demand: flat(0.5)}, 1.001, 1.001, 1.001},
		{trial{name: "irregular bursts", peakJobs: 30, duration: 200 * seconds, demand: trialBursts}, 1.03, 1.05, 1.05},
	} {
		if tr.pools == 0 {
			tr.pools = 1
		}
		if tr.standby == 0 {
			tr.standby = 50
		}
		if tr.duration == 0 {
			tr.duration = 70 * seconds
		}
		tr.peak = 320
		former, forecast := tr.run(20)
		t.Logf("%-34s late %6.0f to %6.0f, held %6.0f to %6.0f, moves %5d to %5d", tr.name, former.late, forecast.late, former.held, forecast.held, former.moves, forecast.moves)
		if forecast.late > tr.maxLate*former.late+1 || forecast.held > tr.maxHeld*former.held || float64(forecast.moves) > tr.maxMoves*float64(former.moves) {
			t.Errorf("%s: former rule %v, forecast %v", tr.name, former, forecast)
		}
	}
}

// playTurns hands in jobs in turns of a quarter of the period, and calls each every step.
func (w *simulation) playTurns(period, duration time.Duration, each func(at time.Duration)) {
	begin := w.now
	for jobs := 0; w.now.Sub(begin) < duration; {
		at := w.now.Sub(begin)
		interval := 2 * time.Second
		if at%period >= period/2 && at%period < period*3/4 {
			interval = 50 * time.Millisecond
		}
		if at%interval == 0 {
			next := job(step(1))
			next.ID = fmt.Sprintf("turn-%d-%d", w.seq, jobs)
			jobs++
			w.accept(next)
		}
		w.run(simulationStep)
		each(at)
	}
}

// Load pattern: turns of demand. Guards against an owner that orders machines for a turn
// only when it has begun, and against a forecast that outlives the ownership.
func TestOwnerOrdersMachinesAheadOfTurn(t *testing.T) {
	var names []string
	for i := range 4 {
		names = append(names, fmt.Sprintf("w%d", i))
	}
	w := newSimulation(t, names...)
	w.s.Config.Forecast = true
	w.run(time.Second)
	const period = 8 * time.Second
	ahead := 0
	w.playTurns(period, 4*period, func(at time.Duration) {
		if lead := period/2 - at%period; at > 2*period && lead > 0 && lead < time.Second && w.demand.Expected > 0 {
			ahead++
		}
		if at < period && w.demand.Expected > 0 {
			t.Fatalf("%d machines are expected %v after the start, before any period can be known", w.demand.Expected, at)
		}
	})
	if ahead < 100 {
		t.Errorf("machines were expected during %d ms of the last second before two turns", 10*ahead)
	}
	w.s.DropPool("pool")
	w.ledger.Revision++
	w.token = w.ledger.Revision
	w.run(100 * time.Millisecond)
	id, _ := w.s.poolByName.Get("pool")
	if trust := w.s.Pools.Get(id).forecast.Belief().Trust; trust != 0 {
		t.Errorf("a new ownership starts with a trust of %v", trust)
	}
}
