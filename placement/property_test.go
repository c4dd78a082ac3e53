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

// checkState verifies that sums and indexes match the rows, and that new attempts stay
// within capacity and quota. It runs after each tick.
func (sim *simulation) checkState() {
	s := sim.state
	reserved, byTenant, waiting := map[string]Resources{}, map[string]Resources{}, map[string]int{}
	for id, a := range s.attempts.All() {
		job := s.jobs.Get(a.Job)
		if job == nil || job.attempt != id {
			sim.recordViolation("attempt %s has no job", a.Operation)
			return
		}
		if a.holdsReservation {
			reserved[a.Worker] = reserved[a.Worker].Add(a.Reserved)
			byTenant[job.Tenant] = byTenant[job.Tenant].Add(a.Reserved)
		}
	}
	for id, job := range s.jobs.All() {
		if job.State.waiting() {
			waiting[job.Tenant]++
		}
		if found, ok := s.jobByID.Get(job.ID); !ok || found != id {
			sim.recordViolation("index does not contain job %s", job.ID)
		}
	}
	for _, worker := range s.workers.All() {
		if worker.Reserved != reserved[worker.Name] {
			sim.recordViolation("worker %s: %v reserved, attempts hold %v", worker.Name, worker.Reserved, reserved[worker.Name])
		}
	}
	for _, t := range s.tenants.All() {
		if t.Reserved != byTenant[t.Name] || t.Waiting != waiting[t.Name] {
			sim.recordViolation("tenant %s: %v reserved and %d waiting, rows add up to %v and %d", t.Name, t.Reserved, t.Waiting, byTenant[t.Name], waiting[t.Name])
		}
	}
	sim.checkNewAttempts()
	sim.checkPower()
}

// checkNewAttempts checks each attempt only in the tick that created it. Later, a task
// that counted as lost may turn out to be running and hold its reservation as well.
func (sim *simulation) checkNewAttempts() {
	s := sim.state
	for _, a := range s.attempts.All() {
		if a.Status != AttemptIntended || sim.checkedAttempts[a.Operation] {
			continue
		}
		sim.checkedAttempts[a.Operation] = true
		job, worker := s.jobs.Get(a.Job), s.worker(a.Worker)
		if !worker.Reserved.Fits(s.usableCapacity(worker)) {
			sim.recordViolation("attempt %s exceeds the capacity of worker %s: %v reserved, %v usable", a.Operation, worker.Name, worker.Reserved, s.usableCapacity(worker))
		}
		if reserved := s.tenant(job.Tenant).Reserved.MilliCores; reserved > s.quotaMilliCores(job.Tenant) {
			sim.recordViolation("attempt %s exceeds the quota of tenant %s: %d milli-cores reserved", a.Operation, job.Tenant, reserved)
		}
		if !worker.inService() || worker.Pool != job.Pool {
			sim.recordViolation("attempt %s on worker %s, which is not in service or not in the pool", a.Operation, worker.Name)
		}
	}
}

func (sim *simulation) checkPower() {
	var starts, reduction, confirmed, reported int
	for _, adj := range sim.state.powerAdjustments.All() {
		switch {
		case adj.watts >= 0:
			starts += adj.watts
		case adj.confirmed:
			confirmed += adj.watts
			reduction += adj.watts
		default:
			reduction += adj.watts
		}
	}
	for _, worker := range sim.state.workers.All() {
		reported += worker.PowerWatts
	}
	p := sim.state.power
	if p.unreportedStarts != starts || p.reduction != reduction || p.confirmedReduction != confirmed || p.reported != reported {
		sim.recordViolation("power sums %+v differ from rows: reported %d, starts %d, reduction %d, confirmed %d", p, reported, starts, reduction, confirmed)
	}
}

// checkHistory verifies that non-idempotent jobs start at most once and that no
// acknowledged job is lost.
func (sim *simulation) checkHistory() {
	for _, spec := range sim.submitted {
		if spec.Idempotent {
			continue
		}
		allowed := 1
		if spec.Checkpointable {
			allowed += sim.checkpoints[spec.ID]
		}
		emitted := 0
		for operation := range sim.emittedStarts[spec.ID] {
			if !sim.refused[operation] {
				emitted++
			}
		}
		if emitted > allowed || len(sim.executed[spec.ID]) > allowed {
			sim.recordViolation("non-idempotent job %s: %d starts emitted, %d executed, %d allowed", spec.ID, emitted, len(sim.executed[spec.ID]), allowed)
		}
	}
	for id := range sim.acknowledged {
		if _, ok := sim.state.Get(id); !ok {
			sim.recordViolation("acknowledged job %s is lost", id)
		}
	}
}

// randomStep applies one random external action and advances the clock.
func (sim *simulation) randomStep(choice uint32) {
	sim.random.Uint64()
	worker := sim.workers[int(choice>>8)%len(sim.workers)].Name
	switch choice % 16 {
	case 0, 1, 2, 3, 4:
		sim.submit(sim.randomSpec(choice >> 8))
	case 5:
		if len(sim.submitted) > 0 {
			sim.submit(sim.submitted[int(choice>>8)%len(sim.submitted)])
		}
	case 6, 7:
		if len(sim.submitted) > 0 {
			sim.cancel(sim.submitted[int(choice>>8)%len(sim.submitted)].ID)
		}
	case 8:
		sim.takeover(7 * time.Second)
	case 9:
		sim.setConditionDelayed(worker, Condition(choice>>20)%(ConditionLost+1))
	case 10:
		sim.setConditionDelayed(worker, ConditionAvailable)
	case 11:
		sim.storeDown = !sim.storeDown && choice>>8%4 == 0
	case 12:
		sim.faultyWorker = ""
		if choice>>8%2 == 0 {
			sim.faultyWorker = worker
		}
	case 13:
		sim.step(FleetChanged{Workers: sim.workers[1:], Complete: true})
	default:
		sim.step(FleetChanged{Workers: sim.workers, Complete: true})
	}
	sim.report()
	sim.advance(time.Duration(choice>>12%4000+1) * time.Millisecond)
}

func (sim *simulation) randomSpec(r uint32) Spec {
	return Spec{
		ID: fmt.Sprintf("job-%d", len(sim.submitted)), Tenant: fmt.Sprintf("t%d", r%3), Pool: "orders",
		Class: Class(r>>2%3 + 1), Family: fmt.Sprintf("f%d", r>>4%3), Size: Resources{int(r>>6%4000) + 1, int(r>>6%9000) + 1, 0},
		Idempotent: r>>18%2 == 0, Checkpointable: r>>19%4 == 0, SpreadRacks: r>>21%5 == 0, Priority: int(r >> 22 % 3),
	}
}

func propertyDocument() policy.Document {
	doc := policy.Example("orders", "spare")
	doc.Defaults.Tenant.JobCores = 12
	return doc
}

// Guards against duplicate starts, lost acknowledged jobs, starts before their commit,
// and exceeded capacity or quota. Store and platform calls are lost or delayed, task
// lists are stale, and takeovers occur between any two events.
func TestRandomHistoriesKeepTheGuarantees(t *testing.T) {
	t.Logf("seed %d", propertySeed)
	params := gopter.DefaultTestParametersWithSeed(propertySeed)
	params.MinSuccessfulTests = propertyRuns
	params.Workers = 1
	properties := gopter.NewProperties(params)
	var starts, takeovers int
	properties.Property("scheduling guarantees hold", prop.ForAllNoShrink(func(choices []uint32) string {
		sim := newSimulation(uint64(choices[0]), propertyDocument(), makeWorkers("orders", 6))
		sim.faults = true
		for i, choice := range choices {
			sim.randomStep(choice)
			sim.checkHistory()
			if sim.violation != "" {
				return fmt.Sprintf("step %d: %s", i, sim.violation)
			}
		}
		starts += len(sim.starts)
		takeovers += int(sim.epoch)
		return ""
	}, gen.SliceOfN(propertySteps, gen.UInt32())))
	properties.TestingRun(t)
	t.Logf("%d starts, %d takeovers", starts, takeovers)
	if starts == 0 {
		t.Error("no job was ever started; the property checked nothing")
	}
}
