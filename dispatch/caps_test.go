package dispatch

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// Load pattern: the demand of one team turns from pool to pool every 3 s and needs most of
// its cap in each. Guards against a cap that is exceeded while parts of it move, and against
// tasks that wait although the cap has room, as they do with fixed equal parts.
func TestCapsFollowDemandThatTurns(t *testing.T) {
	play := func(fixed bool) (site *capSite, mean, longest time.Duration) {
		site = newCapSite(t, 1, 3, 4, 4, map[string]int{"a": 8000})
		if site.fixedParts = fixed; fixed {
			for _, p := range site.processes {
				site.restart(p)
			}
		}
		site.run(2 * time.Second)
		for turn := range 6 {
			for n := range 30 {
				site.submit(fmt.Sprintf("t%d-%d", turn, n), "a", site.pools[turn%4], tasks(4, 500, 300*time.Millisecond))
				site.run(100 * time.Millisecond)
			}
		}
		mean, longest = site.waits(func(string) bool { return true })
		return site, mean, longest
	}
	site, mean, longest := play(false)
	fixed, fixedMean, fixedLongest := play(true)
	t.Logf("wait until the first start: lent parts %v mean, %v longest, %d store writes; fixed parts %v, %v, %d", mean, longest, site.writes, fixedMean, fixedLongest, fixed.writes)
	site.reportViolations("lent parts")
	fixed.reportViolations("fixed parts")
	if mean > 500*time.Millisecond || longest > 1200*time.Millisecond {
		t.Errorf("jobs waited %v in the mean and %v at most, want at most 0.5 s and 1.2 s", mean, longest)
	}
	if fixedMean < 2*mean {
		t.Errorf("with fixed parts jobs waited %v in the mean, with lent ones %v: the load does not tell them apart", fixedMean, mean)
	}
	if use := site.highest["a"]; use > 8000 {
		t.Errorf("the highest use was %d of a cap of 8000, no fault was injected", use)
	}
}

// Guards against a new owner that starts tasks beside runs of its predecessor that it can't
// know, since their worker does not answer.
func TestNewOwnerCountsUnansweredContacts(t *testing.T) {
	site := newCapSite(t, 2, 2, 2, 3, map[string]int{"a": 4000})
	site.run(time.Second)
	site.submit("first", "a", site.pools[0], tasks(8, 500, 10*time.Second))
	site.run(2 * time.Second)
	if use := site.use("a"); use != 4000 {
		t.Fatalf("the team uses %d before the change of the owner, want all of its cap", use)
	}
	for _, f := range site.workers {
		f.silent = f.Pool == site.pools[0]
	}
	owner := site.owners[site.pools[0]].process
	owner.frozenUntil = site.now.Add(time.Hour)
	site.run(2 * time.Second)
	if site.owners[site.pools[0]].process == owner {
		t.Fatal("the pool has no new owner")
	}
	site.submit("second", "a", site.pools[0], tasks(8, 500, 300*time.Millisecond))
	site.submit("third", "a", site.pools[1], tasks(8, 500, 300*time.Millisecond))
	for _, f := range site.workers {
		f.silent = f.ID == "w-0-0" // the others answer the new owner
	}
	site.run(14 * time.Second)
	site.reportViolations("unanswered contact")
	if use := site.highest["a"]; use > 4000 {
		t.Errorf("the highest use was %d of a cap of 4000", use)
	}
	for _, id := range []string{"second", "third"} {
		if _, known := site.started[id]; !known {
			t.Errorf("job %s never started", id)
		}
	}
}

// Guards against starts that are carried out late, or whose answers are lost, and run beside
// the tasks that were started in their place.
func TestLateStartsCountUntilTheyCannotRun(t *testing.T) {
	site := newCapSite(t, 3, 2, 2, 4, map[string]int{"a": 4000})
	site.lateShare = 0.3
	site.run(time.Second)
	for n := range 40 {
		site.submit(fmt.Sprintf("j-%d", n), "a", site.pools[n%2], tasks(3, 500, 400*time.Millisecond))
		site.run(200 * time.Millisecond)
	}
	site.reportViolations("late starts")
	t.Logf("highest use %d of 4000, %d starts", site.highest["a"], site.starts)
	if site.starts < 60 {
		t.Errorf("%d starts in 8 s, want at least 60", site.starts)
	}
}

// Guards against starts beyond a cap that was lowered while more than it runs: in one pool
// all of the old cap runs, in the other nothing.
func TestLoweredCapCountsWhatRunsElsewhere(t *testing.T) {
	site := newCapSite(t, 4, 3, 2, 4, map[string]int{"a": 12000})
	site.run(time.Second)
	site.submit("first", "a", site.pools[0], tasks(24, 500, 8*time.Second))
	site.run(2 * time.Second)
	if use := site.use("a"); use != 12000 {
		t.Fatalf("the team uses %d before its cap is lowered, want 12000", use)
	}
	site.setCaps(map[string]int{"a": 3000})
	site.run(capGrace)
	before := site.starts
	site.submit("second", "a", site.pools[1], tasks(4, 500, 500*time.Millisecond))
	site.run(2 * time.Second)
	if site.starts != before {
		t.Errorf("%d tasks started while 12000 of a cap of 3000 ran", site.starts-before)
	}
	site.run(6 * time.Second) // the first job ends
	if _, known := site.started["second"]; !known {
		t.Error("the second job never started")
	}
	site.reportViolations("lowered cap")
}

// Guards against a cap that is lowered while the fleet has no owner and then exceeded by the
// unused part of another pool, and against a team that waits without end because nobody
// computes the amounts again.
func TestCapIsLoweredWithoutAnOwnerOfTheFleet(t *testing.T) {
	site := newCapSite(t, 5, 3, 2, 4, map[string]int{"a": 16000})
	site.run(time.Second)
	site.submit("first", "a", site.pools[0], tasks(20, 500, 7*time.Second))
	site.run(2 * time.Second)
	site.fleetLess = true
	site.owners[fleetDuty].process.frozenUntil = site.now.Add(time.Hour)
	site.setCaps(map[string]int{"a": 8000})
	site.run(capGrace + 200*time.Millisecond)
	site.submit("second", "a", site.pools[1], tasks(2, 500, 500*time.Millisecond))
	site.run(10 * time.Second)
	if _, known := site.started["second"]; !known {
		t.Error("the job under the lowered cap never started")
	}
	site.reportViolations("no owner of the fleet")
}

// Guards against work that stops with the owner of the fleet: the amounts stay, and the next
// owner goes on from the record.
func TestAmountsStayWithoutAnOwnerOfTheFleet(t *testing.T) {
	site := newCapSite(t, 6, 3, 2, 4, map[string]int{"a": 8000})
	site.run(time.Second)
	load := func(seconds int) {
		for n := range seconds * 5 {
			site.submit(fmt.Sprintf("j-%v-%d", site.now.UnixMilli(), n), "a", site.pools[0], tasks(3, 500, 300*time.Millisecond))
			site.run(200 * time.Millisecond)
		}
	}
	load(2)
	site.fleetLess = true
	site.owners[fleetDuty].process.cutUntil = site.now.Add(time.Hour) // and its pools move
	load(4)
	before := site.starts
	load(2)
	if n := site.starts - before; n < 20 {
		t.Errorf("%d starts in 2 s without an owner of the fleet, want 30", n)
	}
	site.fleetLess = false
	site.submit("other", "a", site.pools[1], tasks(12, 500, 300*time.Millisecond))
	load(3)
	if _, known := site.started["other"]; !known {
		t.Error("the next owner of the fleet lent nothing")
	}
	site.reportViolations("loss of the fleet's owner")
}

// Load pattern: gangs of a team beside the tasks of another team. Guards against a gang of
// which only some members start, against one that never starts although its team has room
// for it, and against one beyond its team's cap that keeps others waiting.
func TestGangStartsTogetherUnderTheCap(t *testing.T) {
	site := newCapSite(t, 7, 2, 2, 6, map[string]int{"a": 6000, "b": 6000})
	site.run(time.Second)
	gang := tasks(10, 500, 500*time.Millisecond)
	gang.Gang = true
	site.submit("fits", "a", site.pools[0], gang)
	gang.Count = 14 // 7000 of a cap of 6000
	site.submit("never", "a", site.pools[0], gang)
	for n := range 20 {
		site.submit(fmt.Sprintf("a-%d", n), "a", site.pools[0], tasks(1, 500, 200*time.Millisecond))
		site.submit(fmt.Sprintf("b-%d", n), "b", site.pools[0], tasks(1, 500, 200*time.Millisecond))
		site.run(100 * time.Millisecond)
	}
	site.run(2 * time.Second)
	if _, started := site.started["never"]; started {
		t.Error("a gang beyond the cap started")
	}
	if at, started := site.started["fits"]; !started || at.Sub(site.submitted["fits"]) > 1500*time.Millisecond {
		t.Errorf("the gang under the cap started: %v, after %v", started, at.Sub(site.submitted["fits"]))
	}
	for _, team := range []string{"a-", "b-"} {
		mean, longest := site.waits(func(id string) bool { return strings.HasPrefix(id, team) })
		t.Logf("tasks %s waited %v in the mean, %v at most", team, mean, longest)
		if longest > 1500*time.Millisecond {
			t.Errorf("a task %s waited %v beside gangs", team, longest)
		}
	}
	site.reportViolations("gangs")
}

// Guards against a manifest without caps that costs placement a scan or the store a call.
func TestTeamsWithoutCapsCostNothing(t *testing.T) {
	writes := func(team string) int {
		site := newCapSite(t, 8, 2, 2, 2, map[string]int{"a": 0})
		for n := range 20 {
			site.submit(fmt.Sprintf("j-%d", n), team, site.pools[n%2], tasks(2, 500, 200*time.Millisecond))
			site.run(100 * time.Millisecond)
		}
		for key := range site.store {
			if strings.HasPrefix(key.Name, "teams") {
				t.Errorf("record %v was written", key)
			}
		}
		return site.writes
	}
	if with, without := writes("a"), writes(""); with != without {
		t.Errorf("%d store writes with a team without a cap, %d without a team", with, without)
	}
}
