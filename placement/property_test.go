package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/waxwingbridge/waxwingbridge/policy"
)

const (
	propertySeed  = 20261204
	propertySteps = 150
	propertyRuns  = 150
)

// checkState verifies after each tick that sums and indexes agree with the rows
// and that new attempts keep capacity and quota.
func (w *world) checkState() {
	s := w.state
	reserved, byTenant, waiting := map[string]Resources{}, map[string]Resources{}, map[string]int{}
	for id, a := range s.attempts.All() {
		job := s.jobs.Get(a.Job)
		if job == nil || job.attempt != id {
			w.violate("attempt %s has no job", a.Operation)
			return
		}
		if a.holding {
			reserved[a.Worker] = reserved[a.Worker].Add(a.Reserved)
			byTenant[job.Tenant] = byTenant[job.Tenant].Add(a.Reserved)
		}
	}
	for id, job := range s.jobs.All() {
		if job.State.waiting() {
			waiting[job.Tenant]++
		}
		if found, ok := s.jobByID.Get(job.ID); !ok || found != id {
			w.violate("index does not find job %s", job.ID)
		}
	}
	for _, x := range s.workers.All() {
		if x.Reserved != reserved[x.Name] {
			w.violate("worker %s has %v reserved, its attempts hold %v", x.Name, x.Reserved, reserved[x.Name])
		}
	}
	for _, t := range s.tenants.All() {
		if t.Reserved != byTenant[t.Name] || t.Waiting != waiting[t.Name] {
			w.violate("tenant %s: %v reserved and %d waiting, rows say %v and %d", t.Name, t.Reserved, t.Waiting, byTenant[t.Name], waiting[t.Name])
		}
	}
	w.checkNewAttempts()
	w.checkPower()
}

// checkNewAttempts looks at an attempt in the tick that made it. Afterwards a
// task that counted as lost may turn out to hold its share as well.
func (w *world) checkNewAttempts() {
	s := w.state
	for _, a := range s.attempts.All() {
		if a.Status != AttemptIntended || w.checked[a.Operation] {
			continue
		}
		w.checked[a.Operation] = true
		job, x := s.jobs.Get(a.Job), s.worker(a.Worker)
		if !x.Reserved.Fits(s.usable(x)) {
			w.violate("attempt %s overfills worker %s: %v of %v", a.Operation, x.Name, x.Reserved, s.usable(x))
		}
		if held := s.tenant(job.Tenant).Reserved.MilliCores; held > s.quotaMilliCores(job.Tenant) {
			w.violate("attempt %s exceeds the quota of %s: %d", a.Operation, job.Tenant, held)
		}
		if !x.inService() || x.Pool != job.Pool {
			w.violate("attempt %s on worker %s that takes no tasks of the pool", a.Operation, x.Name)
		}
	}
}

func (w *world) checkPower() {
	var started, relief, confirmed, reported int
	for _, adj := range w.state.adjustments.All() {
		switch {
		case adj.watts >= 0:
			started += adj.watts
		case adj.confirmed:
			confirmed += adj.watts
			relief += adj.watts
		default:
			relief += adj.watts
		}
	}
	for _, x := range w.state.workers.All() {
		reported += x.PowerWatts
	}
	p := w.state.power
	if p.started != started || p.relief != relief || p.confirmed != confirmed || p.reported != reported {
		w.violate("power sums %+v differ from rows: %d %d %d %d", p, reported, started, relief, confirmed)
	}
}

// checkHistory verifies at-most-once starts and that no acknowledged job is lost.
func (w *world) checkHistory() {
	for _, spec := range w.submitted {
		if spec.Idempotent {
			continue
		}
		allowed := 1
		if spec.Checkpointable {
			allowed += w.checkpoints[spec.ID]
		}
		emitted := 0
		for operation := range w.emitted[spec.ID] {
			if !w.refused[operation] {
				emitted++
			}
		}
		if emitted > allowed || len(w.ran[spec.ID]) > allowed {
			w.violate("non-idempotent job %s: %d starts emitted, %d executed, %d allowed", spec.ID, emitted, len(w.ran[spec.ID]), allowed)
		}
	}
	for id := range w.acked {
		if _, ok := w.state.Get(id); !ok {
			w.violate("acknowledged job %s is lost", id)
		}
	}
}

// randomStep does one thing of the outside and lets some time pass.
func (w *world) randomStep(choice uint32) {
	w.rng.Uint64()
	pick := w.workers[int(choice>>8)%len(w.workers)].Name
	switch choice % 16 {
	case 0, 1, 2, 3, 4:
		w.submit(w.randomSpec(choice >> 8))
	case 5:
		if len(w.submitted) > 0 {
			w.submit(w.submitted[int(choice>>8)%len(w.submitted)])
		}
	case 6, 7:
		if len(w.submitted) > 0 {
			w.cancel(w.submitted[int(choice>>8)%len(w.submitted)].ID)
		}
	case 8:
		w.takeover(7 * time.Second)
	case 9:
		w.changeCondition(pick, Condition(choice>>20)%(ConditionLost+1))
	case 10:
		w.changeCondition(pick, ConditionAvailable)
	case 11:
		w.storeDown = !w.storeDown && choice>>8%4 == 0
	case 12:
		w.badWorker = ""
		if choice>>8%2 == 0 {
			w.badWorker = pick
		}
	case 13:
		w.step(FleetChanged{Workers: w.workers[1:], Complete: true})
	default:
		w.step(FleetChanged{Workers: w.workers, Complete: true})
	}
	w.report()
	w.advance(time.Duration(choice>>12%4000+1) * time.Millisecond)
}

func (w *world) randomSpec(r uint32) Spec {
	return Spec{
		ID: fmt.Sprintf("job-%d", len(w.submitted)), Tenant: fmt.Sprintf("t%d", r%3), Pool: "orders",
		Class: Class(r>>2%3 + 1), Family: fmt.Sprintf("f%d", r>>4%3), Size: Resources{int(r>>6%4000) + 1, int(r>>6%9000) + 1, 0},
		Idempotent: r>>18%2 == 0, Checkpointable: r>>19%4 == 0, SpreadRacks: r>>21%5 == 0, Priority: int(r >> 22 % 3),
	}
}

func propertyDocument() policy.Document {
	doc := policy.Example("orders", "spare")
	doc.Defaults.Tenant.JobCores = 12
	return doc
}

// Guards against double starts, lost acknowledged jobs, starts before their
// commit, and overfilled workers or quotas, under lost and late store and
// platform calls, stale lists and takeovers between any two events.
func TestRandomHistoriesKeepTheGuarantees(t *testing.T) {
	t.Logf("seed %d", propertySeed)
	params := gopter.DefaultTestParametersWithSeed(propertySeed)
	params.MinSuccessfulTests = propertyRuns
	params.Workers = 1
	properties := gopter.NewProperties(params)
	var starts, takeovers int
	properties.Property("guarantees hold", prop.ForAllNoShrink(func(choices []uint32) string {
		w := newWorld(uint64(choices[0]), propertyDocument(), makeWorkers("orders", 6))
		w.faults = true
		for i, choice := range choices {
			w.randomStep(choice)
			w.checkHistory()
			if w.violation != "" {
				return fmt.Sprintf("step %d: %s", i, w.violation)
			}
		}
		starts += len(w.starts)
		takeovers += int(w.epoch)
		return ""
	}, gen.SliceOfN(propertySteps, gen.UInt32())))
	properties.TestingRun(t)
	t.Logf("%d starts, %d takeovers", starts, takeovers)
	if starts == 0 {
		t.Error("no job was ever started; the property checked nothing")
	}
}
