package dispatch

import (
	"fmt"
	"testing"
	"time"
)

// Load pattern: three teams with caps of different sizes ask for more than their caps in
// six pools. Guards against a cap that is exceeded in some order of claims, handovers,
// pauses, restarts, losses of the store, late starts, lost answers, silent workers and
// changes of the caps, and against tasks that never start again after them.
func TestCapHoldsInAnyOrderOfFaults(t *testing.T) {
	for seed := int64(20261206); seed < 20261218; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			caps := map[string]int{"a": 6000, "b": 2500, "c": 14000}
			site := newCapSite(t, seed, 4, 6, 4, caps)
			site.lateShare, site.lostShare, site.shuffled = 0.05, 0.1, true
			site.run(time.Second)
			for n := 0; site.now.Sub(simulationStart) < 30*time.Second; n++ {
				team := []string{"a", "b", "c", ""}[site.random.Intn(4)]
				pool := site.pools[(n/40+site.random.Intn(2))%len(site.pools)]
				step := tasks(1+site.random.Intn(6), 200+100*site.random.Intn(9), time.Duration(100+site.random.Intn(2500))*time.Millisecond)
				step.Gang = site.random.Intn(8) == 0 && step.Count*step.Size.MilliCores <= 1200
				site.submit(fmt.Sprintf("j-%d", n), team, pool, step)
				site.run(time.Duration(20+site.random.Intn(100)) * time.Millisecond)
				if site.random.Intn(5) == 0 {
					site.injectFault(caps)
				}
			}
			site.lateShare, site.lostShare = 0, 0
			for _, f := range site.workers {
				f.silent = false
			}
			site.run(15 * time.Second)
			const samples = 20
			used := map[string]int{}
			for range samples {
				site.run(500 * time.Millisecond)
				for team := range caps {
					used[team] += site.use(team)
				}
			}
			waiting := map[string]int{}
			for id := range site.submitted {
				if _, started := site.started[id]; !started {
					waiting[site.specs[id].Team]++
				}
			}
			t.Logf("seed %d: %d jobs, %d starts, %d changes of caps, highest use %v of the last caps %v, %d store writes", seed, len(site.submitted), site.starts,
				len(site.manifests)-1, site.highest, caps, site.writes)
			site.reportViolations(fmt.Sprintf("seed %d", seed))
			for team, n := range waiting {
				if share := float64(used[team]) / samples / float64(max(1, caps[team])); share < 0.5 {
					t.Errorf("seed %d: %d jobs of team %q wait 25 s after the last fault, while it used %.2f of its cap in the last 10 s", seed, n, team, share)
				}
			}
		})
	}
}

// injectFault injects one fault, or changes the cap of a team.
func (site *capSite) injectFault(caps map[string]int) {
	p := site.processes[site.random.Intn(len(site.processes))]
	until := site.now.Add(time.Duration(200+site.random.Intn(4000)) * time.Millisecond)
	switch site.random.Intn(7) {
	case 0:
		p.frozenUntil = until
	case 1:
		p.cutUntil = until
	case 2:
		site.restart(p)
	case 3: // a planned handover
		duty := append([]string{fleetDuty}, site.pools...)[site.random.Intn(len(site.pools)+1)]
		if owner := site.owners[duty]; owner != nil && site.reachesStore(owner.process) {
			owner.process.sim.s.DropPool(duty)
			delete(owner.process.owned, duty)
			owner.process.quota.Ownership.Owned = owner.process.quota.Ownership.Owned && duty != fleetDuty
			site.claim(duty, p)
		}
	case 4, 5:
		f := site.workers[fmt.Sprintf("w-%d-%d", site.random.Intn(len(site.pools)), site.random.Intn(4))]
		f.silent = !f.silent
	case 6:
		team := []string{"a", "b", "c"}[site.random.Intn(3)]
		caps[team] = max(2000, caps[team]*(40+site.random.Intn(120))/100)
		site.setCaps(caps)
	}
}
