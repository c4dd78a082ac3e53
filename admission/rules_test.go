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

// Guards against a team within its weight that is turned away for its own use, a team
// beyond it that is turned away where there is room, and reasons in the wrong order.
func TestRulesForTeams(t *testing.T) {
	cases := map[string]struct {
		prepare func(*site)
		team    string
		want    Reason
	}{
		"alone, far over its weight, with room": {func(f *site) { f.send("large", 36) }, "large", None},
		"over its weight, at its cap":           {func(f *site) { f.send("large", 60) }, "large", TeamAtCap},
		"within its weight, at its cap": {func(f *site) {
			f.stored(spec("huge", "small", 300, 1), nil)
			f.step(0)
		}, "small", None},
		"over its weight, within its share, pool full with the work of others": {func(f *site) {
			f.send("unlimited", 300)
			f.send("large", 33)
		}, "large", None},
		"over its weight and its share, pool full": {func(f *site) {
			f.send("unlimited", 300)
			f.send("large", 33)
		}, "unlimited", TeamOverShare},
		"its first job in the window, of a weight below a job in the window": {func(f *site) {
			f.stored(spec("huge", "tiny", 300, 1), nil)
			f.step(sentWindow)
		}, "tiny", None},
		"without a weight, at its cap": {func(f *site) {
			f.stored(spec("huge", "weightless", 300, 1), nil)
			f.step(sentWindow)
		}, "weightless", TeamAtCap},
		"over its weight, alone in a full pool": {func(f *site) {
			f.send("unlimited", 150)
		}, "unlimited", None},
		"within its weight, pool full with the work of others": {func(f *site) {
			f.send("unlimited", 300)
		}, "small", None},
		"within its weight, its own work surely beyond three objectives": {func(f *site) {
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

// Guards against rejections on a view that no longer holds: each input has its own age.
func TestOldViewsLeaveTheRuleOfTheStore(t *testing.T) {
	full := func() *site {
		f := newSite()
		f.send("unlimited", 300)
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
	f.send("unlimited", 300)
	f.send("large", 60)
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

// Guards against jobs that a process reads at its start, or after a gap, and takes for
// sent just now, so that teams within their weight are turned away.
func TestJobsReadTogetherAreNotCountedAsSent(t *testing.T) {
	f := newSite()
	f.now = f.now.Add(3 * time.Second)
	f.send("small", 50)
	if d := f.decide(spec("new", "small", 1, 1)); d.Inputs.Sent != 0 || d.Inputs.TeamWork != 50 {
		t.Errorf("after a gap the inputs are %+v", d.Inputs)
	}
	f.send("small", 8)
	if d := f.decide(spec("new", "small", 1, 1)); d.Inputs.Sent != 2 {
		t.Errorf("%v jobs a second are sent, want 2", d.Inputs.Sent)
	}
	f.step(sentWindow + time.Second)
	if d := f.decide(spec("new", "small", 1, 1)); d.Inputs.Sent != 0 {
		t.Errorf("%v jobs a second are sent after the window, want 0", d.Inputs.Sent)
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
	f.s.Load.Release(f.now, "refused")
	f.step(0)
	f.s.Load.Release(f.now, "held") // stored meanwhile
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
// new callers that are, and against slots that differ between processes.
func TestReturnSlots(t *testing.T) {
	due, delays := 0, map[time.Duration]int{}
	const jobs = 4000
	for i := range jobs {
		at := start.Add(time.Duration(i) * 7 * time.Millisecond)
		submission := Submission{Job: spec(fmt.Sprint("j", i), "large", 1, 1), TimeOfDay: at}
		if isDue(submission) {
			due++
		}
		delay := returnDelay(submission)
		delays[delay]++
		submission.TimeOfDay = at.Add(delay + 200*time.Millisecond) // the way to the client and back
		if !isDue(submission) {
			t.Fatalf("job %d is not due %v after it was told to return then", i, delay)
		}
	}
	if due < jobs/4 || due > jobs*2/5 {
		t.Errorf("%d of %d new jobs are due, want about a third", due, jobs)
	}
	for delay := time.Second; delay <= 4*time.Second; delay += time.Second {
		if delays[delay] < jobs/5 || delays[delay] > jobs/3 {
			t.Errorf("%d of %d are told %v; all: %v", delays[delay], jobs, delay, delays)
		}
	}
}
