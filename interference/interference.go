// Package interference estimates how much tasks of one kind are slowed by tasks of another
// on the same worker.
//
// The logarithm of what a task takes, against what is expected for it, is a sum: the level
// of its kind, the slowness of the worker, what a full worker costs, and for each kind
// beside it what that kind does to others, what this kind minds, and what is particular to
// the pair. Each is a normal estimate that returns to its prior without observations, so
// that a pair which was seen seldom is judged by its kinds (shrinkage).
package interference

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/waxwingbridge/waxwingbridge/table"
)

// Bounds of the memory.
const (
	maxKinds   = 256
	maxPairs   = 2048
	maxWorkers = 256
	// maxBeside is the number of kinds beside a task that an observation counts, those of
	// the largest weight.
	maxBeside = 8
	// maxWitnesses is the number of workers, jobs and teams that are kept as evidence.
	maxWitnesses = 4
)

const (
	// noise is the variance of one observation: sizes of tasks of a step vary by 15 to 30 %.
	noise = 0.1
	// minEffect is the effect, as a logarithm, that a pair must have for a belief: 15 %.
	// keptEffect is the one at which the belief ends.
	minEffect  = 0.14
	keptEffect = 0.07
	// certainty is how many standard deviations an effect must lie above minEffect.
	certainty = 1.5
	// minWorkers and minJobs are the numbers of workers, and of pairs of a disturbed and a
	// disturbing job, on which an effect must be seen before a kind is charged with it. One
	// slow worker, or one odd job, is not enough.
	minWorkers = 3
	minJobs    = 2
	// witnessMemory is how long such evidence counts.
	witnessMemory = 45 * time.Second
	// minWeight is the weight from which a kind beside a task can be held responsible.
	minWeight = 0.5
	maxWeight = 1.0
	// fullFrom is the used share of a worker from which it may be slow because it is full.
	fullFrom = 0.7
)

// Kind is a kind of tasks, which behave alike: those of one image of a queue, or of one step
// where there is no image.
type Kind struct {
	Queue string
	Image string
	Step  int // 0 with an image
}

// Task is a running task, or several of one kind, team and job.
type Task struct {
	Kind Kind
	Team string
	Job  uint64
	// Cost is what the task takes against what is expected of it: its run time or tail
	// divided by the declared one. 0 means that nothing was measured.
	Cost float64
	// Weight is how much of the task ran: 1 at full speed, 0 while it is suspended.
	Weight float64
}

// Belief is a pair of kinds of which the first is slowed by the second, or no longer is.
type Belief struct {
	Victim, Disturber Kind
	Held              bool
	Effect, Deviation float64 // as logarithms of a factor
	Workers, Jobs     int     // on which the effect was seen lately
	Samples           int
}

// Partner is a kind beside which a task should not run.
type Partner struct {
	Kind Kind
	// Cost is the sum of what both do to each other, as a logarithm of a factor.
	Cost float64
}

// witnesses are the last keys with which an effect was seen.
type witnesses[K comparable] struct {
	keys [maxWitnesses]K
	at   [maxWitnesses]time.Time
}

func (w *witnesses[K]) add(now time.Time, key K) {
	oldest := 0
	for i := range w.keys {
		if w.keys[i] == key && !w.at[i].IsZero() {
			w.at[i] = now
			return
		}
		if w.at[i].Before(w.at[oldest]) {
			oldest = i
		}
	}
	w.keys[oldest], w.at[oldest] = key, now
}

func (w *witnesses[K]) count(now time.Time) int {
	n := 0
	for _, at := range w.at {
		if !at.IsZero() && now.Sub(at) < witnessMemory {
			n++
		}
	}
	return n
}

func (w *witnesses[K]) contains(now time.Time, key K) bool {
	for i, k := range w.keys {
		if k == key && !w.at[i].IsZero() && now.Sub(w.at[i]) < witnessMemory {
			return true
		}
	}
	return false
}

// jobPair is a disturbed and a disturbing job.
type jobPair struct{ victim, disturber uint64 }

// kind is what is known of a Kind.
type kind struct {
	key      Kind
	owner    string // team that brought it first, or its queue; evicted together
	seenAt   time.Time
	base     estimate
	disturbs estimate
	minds    estimate
	pairs    []table.ID
	// The evidence of effects on other kinds.
	workers witnesses[string]
	jobs    witnesses[jobPair]
	teams   witnesses[string] // teams whose tasks of the kind had an effect
}

// pair is what is known of a victim and a disturber beyond their kinds.
type pair struct {
	victim, disturber table.ID
	effect            estimate
	seenAt            time.Time
	samples           int
	believed          bool
}

type pairKey struct{ victim, disturber table.ID }

type worker struct {
	name   string
	slow   estimate
	seenAt time.Time
}

// Model holds the estimates of one partition. The zero value is ready.
type Model struct {
	kinds     table.Table[kind]
	pairs     table.Table[pair]
	workers   table.Table[worker]
	kindByKey table.Index[Kind]
	pairByKey table.Index[pairKey]
	byName    table.Index[string]
	owners    map[string]int // kinds by owner
	full      estimate
	believed  int // number of pairs that are believed
	changes   []Belief
	terms     []term // scratch
	groups    []group
}

// group is the tasks of one kind on a worker.
type group struct {
	kind      table.ID
	team      string
	manyTeams bool
	job       uint64
	weight    float64
	cost      float64 // sum of the logarithms
	measured  int
}

// Observe adds what was seen on a worker at one time. The used share of its capacity tells a
// full worker from a slow one.
func (m *Model) Observe(now time.Time, name string, used float64, tasks []Task) {
	m.group(now, tasks)
	if len(m.groups) == 0 {
		return
	}
	w := m.worker(now, name)
	w.slow.age(now, workerPrior)
	m.full.age(now, fullPrior)
	for i := range m.groups {
		if m.groups[i].measured > 0 {
			m.observeGroup(now, w, used, i)
		}
	}
}

// group sums the tasks by kind. Only the kinds of the largest weights are kept.
func (m *Model) group(now time.Time, tasks []Task) {
	m.groups = m.groups[:0]
	for i := range tasks {
		t := &tasks[i]
		if t.Cost <= 0 && t.Weight <= 0 {
			continue
		}
		id := m.kind(now, t)
		g := slices.IndexFunc(m.groups, func(g group) bool { return g.kind == id })
		if g < 0 {
			g = len(m.groups)
			m.groups = append(m.groups, group{kind: id, team: t.Team, job: t.Job})
		}
		found := &m.groups[g]
		found.manyTeams = found.manyTeams || found.team != t.Team
		found.weight = min(maxWeight, found.weight+t.Weight)
		if t.Cost > 0 {
			found.cost += math.Log(t.Cost)
			found.measured++
		}
	}
	// A row may have been evicted for a later one of the same list.
	m.groups = slices.DeleteFunc(m.groups, func(g group) bool { return m.kinds.Get(g.kind) == nil })
	slices.SortStableFunc(m.groups, func(a, b group) int { return cmp.Compare(b.weight, a.weight) })
	if len(m.groups) > maxBeside+1 {
		m.groups = m.groups[:maxBeside+1]
	}
}

// observeGroup fits the estimates to what the tasks of one kind took.
func (m *Model) observeGroup(now time.Time, w *worker, used float64, victim int) {
	g := &m.groups[victim]
	k := m.kinds.Get(g.kind)
	k.base.ageBase(now)
	k.minds.age(now, mindPrior)
	observed := g.cost / float64(g.measured)
	m.terms = append(m.terms[:0], term{&k.base, 1}, term{&w.slow, 1}, term{&m.full, max(0, used-fullFrom) / (1 - fullFrom)})
	weight := 0.0
	for i := range m.groups { // rows must not move once terms point to them
		if i != victim && m.groups[i].weight > 0 {
			m.pair(now, g.kind, m.groups[i].kind)
		}
	}
	for i := range m.groups {
		if beside := &m.groups[i]; i != victim && beside.weight > 0 {
			d := m.kinds.Get(beside.kind)
			d.disturbs.age(now, disturbPrior)
			p := m.pair(now, g.kind, beside.kind)
			p.effect.age(now, pairPrior)
			p.seenAt = now
			p.samples++
			weight += beside.weight
			m.terms = append(m.terms, term{&d.disturbs, beside.weight}, term{&p.effect, beside.weight})
		}
	}
	m.terms = append(m.terms, term{&k.minds, weight})
	m.recordWitnesses(now, w, victim, observed)
	// A slow worker tells little about pairs.
	fit(m.terms, observed, noise/float64(g.measured)+noise/4+w.slow.mean*w.slow.mean)
	for i := range m.groups {
		if i != victim && m.groups[i].weight > 0 {
			m.judge(now, g.kind, m.groups[i].kind)
		}
	}
}

// recordWitnesses adds the worker, the job and the team to the evidence against each kind
// beside a victim that took longer than the level of its kind, the worker and the other kinds
// explain.
func (m *Model) recordWitnesses(now time.Time, w *worker, victim int, observed float64) {
	g := &m.groups[victim]
	k := m.kinds.Get(g.kind)
	if k.base.variance > noise { // its level is not known yet
		return
	}
	excess := observed
	for _, t := range m.terms {
		excess -= t.estimate.mean * t.weight
	}
	for i := range m.groups {
		beside := &m.groups[i]
		if i == victim || beside.weight < minWeight {
			continue
		}
		d := m.kinds.Get(beside.kind)
		own := d.disturbs.mean + k.minds.mean
		if id, ok := m.pairByKey.Get(pairKey{g.kind, beside.kind}); ok {
			own += m.pairs.Get(id).effect.mean
		}
		if excess+own*beside.weight < minEffect {
			continue
		}
		d.workers.add(now, w.name)
		d.jobs.add(now, jobPair{g.job, beside.job})
		if !beside.manyTeams {
			d.teams.add(now, beside.team)
		}
	}
}

// effect returns the estimated effect of a pair at full weight, with its deviation.
func (m *Model) effect(victim, disturber *kind, p *pair) (mean, deviation float64) {
	return disturber.disturbs.mean + victim.minds.mean + p.effect.mean,
		math.Sqrt(disturber.disturbs.variance + victim.minds.variance + p.effect.variance)
}

// judge begins or ends the belief in a pair.
func (m *Model) judge(now time.Time, victim, disturber table.ID) {
	id, ok := m.pairByKey.Get(pairKey{victim, disturber})
	if !ok {
		return
	}
	p, v, d := m.pairs.Get(id), m.kinds.Get(victim), m.kinds.Get(disturber)
	mean, deviation := m.effect(v, d, p)
	workers, jobs := d.workers.count(now), d.jobs.count(now)
	switch {
	case !p.believed && mean-certainty*deviation > minEffect && workers >= minWorkers && jobs >= minJobs:
		m.setBelieved(p, true)
	case p.believed && mean < keptEffect:
		m.setBelieved(p, false)
	default:
		return
	}
	m.changes = append(m.changes, Belief{
		Victim: v.key, Disturber: d.key, Held: p.believed, Effect: mean, Deviation: deviation, Workers: workers, Jobs: jobs, Samples: p.samples,
	})
}

func (m *Model) setBelieved(p *pair, believed bool) {
	if p.believed != believed {
		m.believed += map[bool]int{true: 1, false: -1}[believed]
	}
	p.believed = believed
}

// TakeChanges returns the beliefs that began or ended since the last call.
func (m *Model) TakeChanges() []Belief {
	changes := m.changes
	m.changes = nil
	return changes
}

// charged reports whether a kind is held responsible when a team runs it: the effect was seen
// with tasks of that team, or with tasks of several teams. One team alone can't give the
// images of another one a bad name.
func (k *kind) charged(now time.Time, team string) bool {
	return k.teams.contains(now, team) || k.teams.count(now) >= 2
}

// Partners returns the kinds beside which a task of the kind and team should not run: those
// that slow it, and those that it slows.
func (m *Model) Partners(now time.Time, key Kind, team string) []Partner {
	if m.believed == 0 {
		return nil
	}
	id, ok := m.kindByKey.Get(key)
	if !ok {
		return nil
	}
	k := m.kinds.Get(id)
	var partners []Partner
	for _, pairID := range k.pairs {
		p := m.pairs.Get(pairID)
		if !p.believed || now.Sub(p.seenAt) > witnessMemory {
			continue
		}
		v, d := m.kinds.Get(p.victim), m.kinds.Get(p.disturber)
		if p.disturber == id && !d.charged(now, team) {
			continue
		}
		mean, _ := m.effect(v, d, p)
		other := v.key
		if p.victim == id {
			other = d.key
		}
		if i := slices.IndexFunc(partners, func(p Partner) bool { return p.Kind == other }); i >= 0 {
			partners[i].Cost += max(0, mean)
		} else {
			partners = append(partners, Partner{Kind: other, Cost: max(0, mean)})
		}
	}
	return partners
}

// Sizes returns the numbers of kinds and pairs that are kept, and of pairs that are believed
// to disturb.
func (m *Model) Sizes() (kinds, pairs, believed int) {
	return m.kinds.Len(), m.pairs.Len(), m.believed
}

// String returns the form queue/image or queue/step N, as used in logs.
func (k Kind) String() string {
	if k.Image != "" {
		return k.Queue + "/" + k.Image
	}
	return k.Queue + "/step " + strconv.Itoa(k.Step)
}
