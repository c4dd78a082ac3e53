package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/waxwingbridge/waxwingbridge/work"
)

const modelProcesses = 8

func anyProcess(_ int, random *rand.Rand) int { return random.IntN(modelProcesses) }

// manyTeams returns a first team and n others of the same kind.
func manyTeams(first modelTeam, n int, other modelTeam) []modelTeam {
	teams := []modelTeam{first}
	for i := range n {
		t := other
		t.name = fmt.Sprint(other.name, "-", i)
		teams = append(teams, t)
	}
	return teams
}

// leastWorthOfAll is what all calls together must be worth, as a multiple of their worth
// under the former rule.
const leastWorthOfAll = 0.97

// largeTeam is the load in which all calls together miss leastWorthOfAll.
const largeTeam = "a large team and many small ones"

type loadCase struct {
	name string
	play play
}

func loadCases() []loadCase {
	usual := modelTeam{name: "usual", weight: 4, cap: 60, rate: steady(4)}
	small := modelTeam{name: "small", weight: 1, cap: 40, rate: steady(0.9)}
	turns := func(at time.Duration) float64 {
		if at%(16*time.Second) < 4*time.Second {
			return 5
		}
		return 0.05
	}
	sixfold := manyTeams(modelTeam{name: "sixfold", weight: 4, cap: 60, rate: between(4*time.Second, 10*time.Second, 24, 4)}, 19, usual)
	return []loadCase{
		{name: "a team with six times its usual beside nineteen", play: play{cores: 150, processes: modelProcesses, length: 16 * time.Second, teams: sixfold, process: anyProcess}},
		{name: "five times the mean by turns", play: play{
			cores: 120, processes: modelProcesses, length: 32 * time.Second, process: anyProcess,
			teams: manyTeams(modelTeam{name: "first", weight: 1, cap: 60, rate: turns}, 19, modelTeam{name: "other", weight: 1, cap: 60, rate: turns}),
		}},
		{name: largeTeam, play: play{
			cores: 150, processes: modelProcesses, length: 16 * time.Second, process: anyProcess,
			teams: manyTeams(modelTeam{name: "large", weight: 8, cap: 120, rate: between(4*time.Second, 10*time.Second, 190, 40)}, 40, small),
		}},
		{name: "a crowd that returns after an outage", play: play{
			cores: 150, processes: modelProcesses, length: 16 * time.Second, teams: sixfold, process: anyProcess,
			outage: func(at time.Duration) bool { return at >= 3*time.Second && at < 7*time.Second },
		}},
		{name: "one process with most of a team's connections", play: play{
			cores: 150, processes: modelProcesses, length: 16 * time.Second, teams: sixfold,
			process: func(team int, random *rand.Rand) int {
				if team == 0 && random.IntN(10) < 8 {
					return 0
				}
				return random.IntN(modelProcesses)
			},
		}},
		{name: "a view that is stale at half of the processes", play: play{
			cores: 150, processes: modelProcesses, length: 16 * time.Second, teams: sixfold, process: anyProcess,
			read: func(process int, at time.Duration) bool { return process%2 == 0 || at < 4*time.Second },
		}},
		{name: "processes that have just started", play: play{
			cores: 150, processes: modelProcesses, length: 16 * time.Second, teams: sixfold, process: anyProcess,
			read: func(_ int, at time.Duration) bool { return at >= 5*time.Second },
		}},
	}
}

// comparison is a load under the former rule, by which every submission is accepted while
// the store serves the process, and under the new one.
type comparison struct {
	formerOthers, others, formerAll, all *result
}

func (c *loadCase) compare(t *testing.T) comparison {
	former, results := c.play.runs(true), c.play.runs(false)
	r := comparison{total(former[1:]), total(results[1:]), total(former), total(results)}
	t.Logf("first team,  former rule: %v", former[0])
	t.Logf("first team,  new rule:    %v", results[0])
	t.Logf("other teams, former rule: %v", r.formerOthers)
	t.Logf("other teams, new rule:    %v", r.others)
	t.Logf("all teams,   former rule: %v", r.formerAll)
	t.Logf("all teams,   new rule:    %v", r.all)
	return r
}

func (c *comparison) checkAll(t *testing.T) {
	t.Helper()
	if c.all.worth() < leastWorthOfAll*c.formerAll.worth() {
		t.Errorf("all calls are worth %.3f, %.3f under the former rule; want %.2f of that", c.all.worth(), c.formerAll.worth(), leastWorthOfAll)
	}
}

// Guards against teams that pay for one beyond its share, or that are turned away for it,
// and against rejections that cost all teams together more than they gain.
func TestLoads(t *testing.T) {
	for _, c := range loadCases() {
		t.Run(c.name, func(t *testing.T) {
			r := c.compare(t)
			if r.others.worth() < r.formerOthers.worth() {
				t.Errorf("calls of the other teams are worth %.4f, %.4f under the former rule", r.others.worth(), r.formerOthers.worth())
			}
			if r.others.refused > r.formerOthers.refused {
				t.Errorf("%d calls of the other teams are refused, %d under the former rule", r.others.refused, r.formerOthers.refused)
			}
			if c.name != largeTeam { // TestAllTeamsBesideALargeOne
				r.checkAll(t)
			}
		})
	}
}

// Guards against rejections that cost all teams together more than they gain, where one
// team sends most of the load. It is apart from TestLoads because it fails (KNOWN-RED.txt).
func TestAllTeamsBesideALargeOne(t *testing.T) {
	for _, c := range loadCases() {
		if c.name == largeTeam {
			r := c.compare(t)
			r.checkAll(t)
		}
	}
}

// BenchmarkDecide measures a decision beside 140 teams with work in one pool.
func BenchmarkDecide(b *testing.B) {
	p := play{cores: 400}
	for i := range 140 {
		p.teams = append(p.teams, modelTeam{name: fmt.Sprint("t", i), weight: 1, cap: 40})
	}
	for _, teams := range []bool{false, true} {
		b.Run(fmt.Sprintf("teams=%v", teams), func(b *testing.B) {
			f := newSite()
			if teams {
				f.s.Load.Configure(p.manifest())
				for _, t := range p.teams {
					f.send(t.name, 10)
				}
			} else {
				f.s.Load.Configure(&work.Manifest{})
			}
			job := spec("new", "t1", 4, 1)
			b.ReportAllocs()
			for b.Loop() {
				f.decide(job)
			}
		})
	}
}
