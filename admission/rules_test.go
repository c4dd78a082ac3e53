package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/ledger"
	"github.com/waxwingbridge/waxwingbridge/placement"
	"github.com/waxwingbridge/waxwingbridge/work"
)

// site is the state of one process with a mirror, a pool of four workers of ten cores and
// the teams "large", of weight 8 and a cap of 20 cores, and "small", of weight 1.
type site struct {
	s   *State
	now time.Time
	rev int64
}

func newSite() *site {
	f := &site{s: &State{Mirror: &ledger.JobMirror{Synced: true, ReadAt: start}}, now: start}
	m := &work.Manifest{Version: 1}
	m.SetTeams([]work.Team{
		{Name: "large", Weight: 8, Cap: placement.Resources{MilliCores: 20_000}},
		{Name: "small", Weight: 1, Cap: placement.Resources{MilliCores: 20_000}},
		{Name: "unlimited", Weight: 1},
		{Name: "tiny", Weight: 0.1, Cap: placement.Resources{MilliCores: 100}},
		{Name: "weightless", Cap: placement.Resources{MilliCores: 100}},
	})
	f.s.Load.Configure(m)
	for i := range 4 {
		f.s.Load.ApplyWorker(fmt.Sprint("w", i), &work.Worker{Pool: "p", Capacity: placement.Resources{MilliCores: 10_000}}, 1)
	}
	f.report(4, 4)
	f.step(0)
	return f
}

func (f *site) report(need, have int) {
	f.rev++
	f.s.Load.ApplyReport(f.now, ledger.Record{
		Key: ledger.Key{Kind: ledger.KindDemand, Name: "p"}, Revision: f.rev, Content: &work.Demand{Need: need, Have: have},
	})
}

func (f *site) step(d time.Duration) {
	f.now = f.now.Add(d)
	f.s.Mirror.ReadAt = f.now
	for _, system := range Systems {
		system.Run(f.s, engine.Tick{Now: f.now})
	}
}

// spec is a job of one step of a second. Its objective is 3 s, its allowed wait 2 s.
func spec(id, team string, tasks, cores int) *work.Job {
	return &work.Job{
		ID: id, Pool: "p", Team: team, Limits: work.Limits{SlowdownFactor: 2, Latency: time.Second},
		Steps: []work.Step{{Count: tasks, Size: placement.Resources{MilliCores: cores * 1000}, Estimate: time.Second}},
	}
}

func (f *site) stored(job *work.Job, progress *work.Progress) {
	f.rev++
	f.s.Mirror.Apply(f.now, ledger.Record{Key: ledger.Key{Kind: ledger.KindJob, Name: job.ID}, Content: job, Revision: f.rev, CreateRevision: f.rev})
	if progress != nil {
		f.s.Mirror.Apply(f.now, ledger.Record{Key: ledger.Key{Kind: ledger.KindProgress, Name: job.ID}, Content: progress, Revision: f.rev})
	}
}

func (f *site) decide(job *work.Job) Decision {
	return f.s.Decide(f.now, Submission{Job: job, TimeOfDay: f.now})
}

// send lets a team send jobs of one core-second each.
func (f *site) send(team string, jobs int) {
	for i := range jobs {
		f.stored(spec(fmt.Sprint(team, f.rev, "-", i), team, 1, 1), nil)
	}
	f.step(0)
}

// Guards against jobs that are turned away although they would only be late, teams that are
// turned away where there is room or for the work of others, teams that fill a pool or
// their cap with work that is worth nothing when it ends, and reasons in the wrong order.
// New jobs earn something up to a wait of 8 s.
func TestRulesForTeams(t *testing.T) {
	cases := map[string]struct {
		prepare func(*site)
		team    string
		want    Reason
	}{
		"alone, with room":             {func(f *site) { f.send("large", 36) }, "large", None},
		"at its cap, 5 s late":         {func(f *site) { f.send("large", 200) }, "large", None},
		"at its cap, worth nothing":    {func(f *site) { f.send("large", 330) }, "large", TeamAtCap},
		"at its cap, with a large job": {func(f *site) { f.stored(spec("huge", "small", 330, 1), nil); f.step(0) }, "small", TeamAtCap},
		"without a weight, at its cap": {func(f *site) { f.stored(spec("huge", "weightless", 300, 1), nil); f.step(0) }, "weightless", TeamAtCap},
		"without a weight, with room": {func(f *site) {
			f.stored(spec("one", "weightless", 1, 1), nil)
			f.send("large", 1)
		}, "weightless", None},
		"within its share, pool full with the work of others": {func(f *site) {
			f.send("unlimited", 300)
			f.send("large", 33)
		}, "large", None},
		"beyond its share, but the pool does all while it earns something": {func(f *site) {
			f.send("unlimited", 300)
			f.send("large", 33)
		}, "unlimited", None},
		"beyond its share, pool full": {func(f *site) {
			f.send("unlimited", 900)
			f.send("large", 33)
		}, "unlimited", TeamOverShare},
		"beyond its share, pool full, 6 s late": {func(f *site) {
			f.send("unlimited", 50)
			f.send("large", 100)
		}, "unlimited", None},
		"beyond its share, pool with room": {func(f *site) {
			f.send("unlimited", 75)
			f.send("large", 1)
		}, "unlimited", None},
		"beyond its share, pool about to get spare machines": {func(f *site) {
			f.send("unlimited", 900)
			f.send("large", 1)
			f.rev++
			f.s.Load.ApplyReport(f.now, ledger.Record{Key: ledger.Key{Kind: ledger.KindDemand, Name: "q"}, Revision: f.rev, Content: &work.Demand{Have: 8}})
		}, "unlimited", None},
		"beyond its share, pool full, the same without spare machines": {func(f *site) {
			f.send("unlimited", 900)
			f.send("large", 1)
		}, "unlimited", TeamOverShare},
		"beyond its share, pool overloaded too": {func(f *site) {
			f.stored(spec("huge", "unlimited", 1000, 1), nil)
			f.send("small", 1)
		}, "unlimited", TeamOverShare},
		"alone in a full pool": {func(f *site) { f.send("unlimited", 150) }, "unlimited", None},
		"without work, pool full with the work of others": {func(f *site) {
			f.send("unlimited", 300)
		}, "small", None},
		"alone, its own work surely beyond three objectives": {func(f *site) {
			f.stored(spec("huge", "unlimited", 1000, 1), nil)
			f.step(5 * time.Second)
			f.report(4, 4)
		}, "unlimited", PoolOverloaded},
		"a public job beside a full pool": {func(f *site) {
			f.stored(spec("huge", "unlimited", 1000, 1), nil)
			f.step(0)
		}, "", PoolOverloaded},
	}
	for name, c := range cases {
		f := newSite()
		c.prepare(f)
		if d := f.decide(spec("new", c.team, 1, 1)); d.Reason != c.want {
			t.Errorf("%s: the reason is %v, want %v; inputs %+v", name, d.Reason, c.want, d.Inputs)
		}
	}
}

// Guards against teams that are turned away for their share where the manifest has no
// weights, and so no shares.
func TestTeamsWithoutWeightsHaveNoShares(t *testing.T) {
	f := newSite()
	m := &work.Manifest{Version: 2}
	m.SetTeams([]work.Team{{Name: "a"}, {Name: "b"}})
	f.s.Load.Configure(m)
	f.send("a", 400)
	f.send("b", 1)
	if d := f.decide(spec("new", "a", 1, 1)); d.Reason != None || d.Inputs.PoolWait <= d.Inputs.Allowed {
		t.Errorf("the reason is %v; inputs %+v", d.Reason, d.Inputs)
	}
	f.send("a", 400)
	if d := f.decide(spec("new", "a", 1, 1)); d.Reason != PoolOverloaded {
		t.Errorf("the reason in an overloaded pool is %v; inputs %+v", d.Reason, d.Inputs)
	}
}

// Guards against rejections on a view that no longer holds: each input has its own age.
func TestOldViewsLeaveTheRuleOfTheStore(t *testing.T) {
	full := func() *site {
		f := newSite()
		f.send("unlimited", 900)
		f.send("small", 1)
		return f
	}
	f := full()
	if d := f.decide(spec("new", "unlimited", 1, 1)); d.Reason != TeamOverShare {
		t.Fatalf("the reason on a young view is %v", d.Reason)
	}
	f.now = f.now.Add(maxViewAge + time.Millisecond) // no read of the store
	if d := f.decide(spec("new", "unlimited", 1, 1)); d.Reason != None {
		t.Errorf("the reason with an old mirror is %v", d.Reason)
	}
	f = full()
	f.send("large", 60)
	for range 4 {
		f.step(time.Second)
		f.send("large", 60)
		f.send("unlimited", 20)
		f.send("small", 1)
	}
	f.step(maxReportAge - 4*time.Second + time.Millisecond) // no report
	f.send("unlimited", 400)
	f.send("large", 400)
	f.send("small", 1)
	if d := f.decide(spec("new", "unlimited", 1, 1)); d.Reason != None {
		t.Errorf("the reason with an old report is %v", d.Reason)
	}
	if d := f.decide(spec("new", "large", 1, 1)); d.Reason != TeamAtCap {
		t.Errorf("the reason with an old report, but a young mirror, is %v", d.Reason)
	}
	f.s.Load.Partitions = work.Partitions{"p": 2}
	f.report(4, 4)
	if d := f.decide(spec("new", "unlimited", 1, 1)); d.Reason != None {
		t.Errorf("the reason without the report of a partition is %v", d.Reason)
	}
}

// Guards against teams that are judged by how fast their jobs arrive: jobs that a process
// reads together, at its start or after a gap, count as the same jobs read one by one.
func TestJobsReadTogetherCountAsThoseReadOneByOne(t *testing.T) {
	decide := func(together bool) Decision {
		f := newSite()
		for range 36 {
			f.stored(spec(fmt.Sprint("small-", f.rev), "small", 1, 1), nil)
			if !together {
				f.step(10 * time.Millisecond)
			}
		}
		if together {
			f.step(360 * time.Millisecond)
		}
		return f.decide(spec("new", "small", 1, 1))
	}
	one, all := decide(false), decide(true)
	if one.Reason != None || *one.Inputs != *all.Inputs {
		t.Errorf("read one by one: %v, %+v; together: %v, %+v", one.Reason, one.Inputs, all.Reason, all.Inputs)
	}
}

// Guards against sums that drift from the jobs behind them: done tasks, ends, removals,
// late jobs, held requests that are stored or not, and sizes that a client makes up.
func TestOutstandingWorkFollowsTheJobs(t *testing.T) {
	f := newSite()
	done := work.StageProgress{}
	done.SetDone(0)
	done.SetDone(9)
	f.stored(spec("a", "large", 10, 1), &work.Progress{State: work.JobRunning, Stages: []work.StageProgress{done}})
	long := spec("long", "large", 10, 1)
	long.Steps[0].LongRunning = true
	f.stored(long, nil)
	scheduled := spec("scheduled", "large", 10, 1)
	scheduled.Schedule = work.Schedule{Times: 2, First: start.Add(time.Hour)}
	f.stored(scheduled, nil)
	absurd := spec("absurd", "unlimited", 10_000, 1_000_000)
	absurd.Steps[0].Estimate = 1 << 62
	f.stored(absurd, nil)
	f.s.Load.Hold(f.now, spec("held", "large", 4, 1))
	f.s.Load.Hold(f.now, spec("refused", "large", 4, 1))
	f.step(0)
	check := func(when string, want float64) {
		t.Helper()
		if d := f.decide(spec("new", "large", 1, 1)); d.Inputs.TeamWork != want {
			t.Errorf("%s: the work is %v, want %v", when, d.Inputs.TeamWork, want)
		}
	}
	check("with two held requests", 16)
	f.stored(spec("held", "large", 4, 1), nil)
	f.s.Load.Release("refused")
	f.step(0)
	f.s.Load.Release("held") // stored meanwhile
	check("one stored, one refused", 12)
	f.step(4 * time.Second)
	check("all late", 12*lateWorkWeight)
	for _, id := range []string{"a", "long", "scheduled", "absurd", "held"} {
		f.rev++
		for _, kind := range []ledger.Kind{ledger.KindJob, ledger.KindProgress} {
			f.s.Mirror.Apply(f.now, ledger.Record{Key: ledger.Key{Kind: kind, Name: id}, Revision: f.rev, Deleted: true})
		}
	}
	f.step(0)
	check("all removed", 0)
	l := &f.s.Load
	if l.Jobs.Len() != 0 || l.Uses.Len() != 0 || l.inTime.Len() != 0 || l.jobByID.Len() != 0 {
		t.Errorf("%d jobs, %d uses and %d times are left", l.Jobs.Len(), l.Uses.Len(), l.inTime.Len())
	}
	for _, p := range l.Pools.All() {
		if p.work != (outstanding{}) {
			t.Errorf("pool %s has %+v left", p.Name, p.work)
		}
	}
}

// Guards against a manifest without teams for which jobs are counted, teams of earlier
// manifests that stay, and a capacity that falls to the first report of a new owner.
func TestConfigurationOfTheLoad(t *testing.T) {
	f := newSite()
	f.send("small", 3)
	f.s.Load.Configure(&work.Manifest{Version: 2})
	f.send("small", 3)
	if d := f.decide(spec("new", "small", 1, 1)); d.Inputs != nil || f.s.Load.Jobs.Len() != 0 || f.s.Load.Teams.Len() != 0 {
		t.Errorf("without teams the decision is %+v, with %d jobs", d, f.s.Load.Jobs.Len())
	}
	next := &work.Manifest{Version: 3}
	next.SetTeams([]work.Team{{Name: "other", Weight: 1}})
	f.s.Load.Configure(next)
	f.step(0)
	if got := f.s.Load.Teams.Len(); got != 2 || f.s.Load.Jobs.Len() != 6 { // small still has jobs
		t.Errorf("%d teams and %d jobs, want 2 and 6", got, f.s.Load.Jobs.Len())
	}
	f.report(2, 2)
	if d := f.decide(spec("new", "other", 1, 1)); d.Inputs.Capacity != 40 {
		t.Errorf("the capacity is %v cores after the report of a new owner, want 40", d.Inputs.Capacity)
	}
}

// Guards against callers who return when they were told and are not preferred, against
// new callers that are, against slots that differ between processes, and against callers
// who are told to wait longer than the excess lasts, or who return together.
func TestReturnSlots(t *testing.T) {
	for room, want := range map[time.Duration]int{0: 1, time.Second: 1, 1500 * time.Millisecond: 2, 2 * time.Second: 2, 2100 * time.Millisecond: 4, time.Hour: 4} {
		if got := slotsFor(room); got != want {
			t.Errorf("%d slots if room is expected after %v, want %d", got, room, want)
		}
	}
	const jobs = 4000
	for slots, share := range map[int]float64{1: 1, 2: 0.65, 4: 0.325} { // slot and tolerance
		due, delays := 0, map[time.Duration]int{}
		for i := range jobs {
			at := start.Add(time.Duration(i) * 7 * time.Millisecond)
			submission := Submission{Job: spec(fmt.Sprint("j", i), "large", 1, 1), TimeOfDay: at}
			if isDue(submission, slots) {
				due++
			}
			delay := returnDelay(submission, slots)
			delays[delay]++
			submission.TimeOfDay = at.Add(delay + 200*time.Millisecond) // the way to the client and back
			for fewer := slots; fewer > 0; fewer /= 2 {
				if !isDue(submission, fewer) {
					t.Fatalf("job %d is not due with %d slots, %v after it was told to return then with %d slots", i, fewer, delay, slots)
				}
			}
		}
		if want := share * jobs; float64(due) < 0.9*want || float64(due) > 1.1*want {
			t.Errorf("%d slots: %d of %d new jobs are due, want about %.0f", slots, due, jobs, want)
		}
		for delay := time.Second; delay <= time.Duration(slots)*time.Second; delay += time.Second {
			if n := delays[delay] * slots; n < jobs*4/5 || n > jobs*6/5 {
				t.Errorf("%d slots: %d of %d are told %v; all: %v", slots, delays[delay], jobs, delay, delays)
			}
		}
		if len(delays) != slots {
			t.Errorf("%d slots: the delays are %v", slots, delays)
		}
	}
}

// Guards against a reserved part of the room that new callers use up, and against callers
// who return when they were told and find it closed. The team's work surely takes 7.5 s at
// its cap: 1.5 s more than new callers may wait, and 0.5 s less than those who are due.
func TestCallersWhoAreDueHaveMoreRoom(t *testing.T) {
	f := newSite()
	f.send("large", 300)
	f.step(500 * time.Millisecond) // beyond the tolerance, which makes two slots due
	accepted := 0
	const jobs = 200
	for i := range jobs {
		submission := Submission{Job: spec(fmt.Sprint("j", i), "large", 1, 1), TimeOfDay: f.now}
		d := f.s.Decide(f.now, submission)
		if d.Reason == None {
			accepted++
			continue
		}
		if d.Reason != TeamAtCap || d.Inputs.Slots != 2 || d.Inputs.Due || d.RetryAfter > 2*time.Second {
			t.Fatalf("job %d is rejected for %v with a return after %v; inputs %+v", i, d.Reason, d.RetryAfter, d.Inputs)
		}
		submission.TimeOfDay = f.now.Add(d.RetryAfter + 100*time.Millisecond)
		if d := f.s.Decide(f.now, submission); d.Reason != None || !d.Inputs.Due {
			t.Fatalf("job %d is rejected for %v when it returns as told; inputs %+v", i, d.Reason, d.Inputs)
		}
	}
	if accepted < jobs*2/5 || accepted > jobs*3/5 {
		t.Errorf("%d of %d new jobs are accepted, want about half", accepted, jobs)
	}
}
