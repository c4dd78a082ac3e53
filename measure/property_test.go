package measure

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/waxwingbridge/waxwingbridge/budget"
	"github.com/waxwingbridge/waxwingbridge/fleet"
	"github.com/waxwingbridge/waxwingbridge/policy"
	"github.com/waxwingbridge/waxwingbridge/wave"
)

const (
	propertySeed        = 20261204
	eventPeriod         = 20 * time.Second
	settleTime          = 7 * time.Second // lease TTL plus the longest platform call
	completionTimeLimit = 3 * time.Hour   // time for every operation to end once the faults are cleared
)

// faultySite injects faults of the store, platform, worker list and controller, and
// random operator requests.
type faultySite struct {
	*site
	storedDocument      fleet.Document
	storeDown           bool
	callsHeldUntil      time.Time // a new controller does not call the platform before
	loseCalls           bool
	delayCalls          bool
	delayedCalls        []delayedCall
	removed             map[string]int // workers removed by the platform, per pool
	firstUnrecordedCall string         // operation ID of the first call whose intent was not in the store
}

type delayedCall struct {
	call fleet.Call
	at   time.Time
}

func newFaultySite(objective policy.Objective, seed uint64) *faultySite {
	l := newLayout([]int{9, 9, 11, 12, 8}, 3, objective)
	if seed%2 == 1 { // a floor that rises with every borrowed spare except the first
		doc := policy.Example(l.pools...)
		doc.Site.Objective = objective
		doc.Exceptions = append(doc.Exceptions, policy.Exception{Scope: "pool/pool-00", Field: "min_serving_share", Value: 0.9, Reason: "test"})
		l.effective = policy.Resolve(&doc, epoch)
	}
	f := &faultySite{site: newSite(l, wavePlanner{}, seed, l.failingRack(seed)), storedDocument: l.document, removed: map[string]int{}}
	f.callPlatform = f.deliver
	f.startWave()
	f.commit()
	return f
}

// deliver drops calls or executes them after their timeout, depending on the fault.
// It records the first call whose intent is not in the store.
func (f *faultySite) deliver(call fleet.Call) error {
	if !f.intentStored(call) && f.firstUnrecordedCall == "" {
		f.firstUnrecordedCall = call.OperationID
	}
	switch {
	case f.loseCalls:
		return nil
	case f.delayCalls:
		f.delayedCalls = append(f.delayedCalls, delayedCall{call, f.now.Add(4 * time.Second)})
		f.outcomeUnknownUntil[call.Worker] = f.now.Add(settleTime)
		return nil
	}
	return f.platform.execute(call, f.now)
}

func (f *faultySite) intentStored(call fleet.Call) bool {
	states := map[fleet.CallKind]fleet.State{
		fleet.CallDrain: fleet.Draining, fleet.CallReboot: fleet.Rebooting, fleet.CallUndrain: fleet.Returning, fleet.CallAssign: fleet.Returning,
	}
	for i := range f.storedDocument.Workers {
		if w := &f.storedDocument.Workers[i]; w.ID == call.Worker {
			return w.Operation != nil && w.State == states[call.Kind] && strings.HasPrefix(call.OperationID, w.Operation.ID+"/")
		}
	}
	return false
}

func (f *faultySite) startWave() {
	f.sequence++
	_ = wave.Start(f.tables, f.effective, wave.Spec{ID: fmt.Sprintf("wave-%d", f.sequence)}, f.now) // refused while a wave is in progress
}

func (f *faultySite) commit() {
	doc, ok := f.tables.BeginCommit()
	if !ok {
		return
	}
	f.tables.EndCommit(!f.storeDown)
	if !f.storeDown {
		f.storedDocument = doc
	}
}

// takeOver replaces the controller by one that knows only the stored document.
func (f *faultySite) takeOver() {
	f.tables = fleet.Load(&f.storedDocument)
	f.tables.Epoch++
	f.tables.MarkDirty()
	f.rejectedCalls, f.callsHeldUntil = map[string]rejection{}, f.now.Add(settleTime)
}

// takeOverAfterLostResponse is a takeover after a write that the store committed
// but whose response was lost.
func (f *faultySite) takeOverAfterLostResponse() {
	if doc, ok := f.tables.BeginCommit(); ok && !f.storeDown {
		f.storedDocument = doc
	}
	f.takeOver()
}

// applyEvent applies one random event to the worker that selector picks.
func (f *faultySite) applyEvent(kind, selector int) {
	id := f.platform.order[selector%len(f.platform.order)]
	m := f.platform.byID[id]
	f.sequence++
	start := fleet.OperationSpec{OperationID: fmt.Sprintf("op-%d", f.sequence), Kind: fleet.OperationDrain, Worker: id, Operator: "test"}
	switch kind {
	case 0:
		f.takeOver()
	case 1:
		f.takeOverAfterLostResponse()
	case 2:
		f.storeDown = !f.storeDown
	case 3:
		f.platform.failWorker(m, f.now)
	case 4: // no new list is published for five minutes
		f.platform.listedAt = f.now.Add(5 * time.Minute)
	case 5:
		_ = f.tables.AbortOperation(id)
	case 6:
		row := f.tables.Worker(id)
		if row != nil && !f.storeDown && budget.Assess(f.tables, f.effective, nil).CheckDisruption(row.Pool, row.AvailabilityZone) == "" {
			_ = f.tables.StartOperation(start, f.now)
		}
	case 7:
		start.OperationID = "return-" + start.OperationID
		_ = f.tables.ReturnWorker(start, f.now)
	case 8:
		_ = wave.Pause(f.tables, "test")
	case 9:
		_ = wave.Resume(f.tables, f.effective)
	case 10:
		_ = wave.Abort(f.tables, "test")
		f.startWave()
	case 11:
		f.loseCalls = !f.loseCalls
	case 12:
		f.delayCalls = !f.delayCalls
	case 13:
		if m.Status == fleet.StatusLive {
			m.Status, m.dueAt = fleet.StatusLeaving, f.now.Add(time.Minute)
		}
	}
}

const eventKinds = 14

func (f *faultySite) step() error {
	for len(f.delayedCalls) > 0 && !f.now.Before(f.delayedCalls[0].at) {
		_ = f.platform.execute(f.delayedCalls[0].call, f.now)
		f.delayedCalls = f.delayedCalls[1:]
	}
	f.disruptionAllowed = !f.storeDown && !f.now.Before(f.callsHeldUntil)
	before := f.poolByWorker()
	f.tick()
	for id, pool := range before {
		if f.tables.Worker(id) == nil {
			f.removed[pool]++
		}
	}
	f.commit()
	return f.check()
}

func (f *faultySite) poolByWorker() map[string]string {
	pools := map[string]string{}
	for _, row := range f.tables.Workers.All() {
		pools[row.ID] = row.Pool
	}
	return pools
}

// check verifies the invariants from the rows, without the planner's own counts.
func (f *faultySite) check() error {
	if f.platform.rebootsWithWork > 0 {
		return fmt.Errorf("a worker was rebooted with work in flight")
	}
	if f.firstUnrecordedCall != "" {
		return fmt.Errorf("call %s was sent before its intent was in the store", f.firstUnrecordedCall)
	}
	if f.result.Violations > 0 {
		return fmt.Errorf("a planned start left a pool below its floor")
	}
	members := 0
	for _, spec := range f.effective.Pools() {
		members += len(f.tables.WorkersOfPool(spec.Name))
		if err := f.checkPool(spec.Name); err != nil {
			return fmt.Errorf("%s: %w", spec.Name, err)
		}
	}
	if members != f.tables.Workers.Len() {
		return fmt.Errorf("pools have %d members in total, but there are %d workers", members, f.tables.Workers.Len())
	}
	return nil
}

// checkPool verifies that planned disruptions alone never take the pool below its
// floor, and that the wave disrupts only one rack of the pool at a time.
func (f *faultySite) checkPool(pool string) error {
	serving, faulted, size := 0, f.removed[pool], 0
	racks := map[fleet.RackKey]bool{}
	for _, id := range f.tables.WorkersOfPool(pool) {
		row := f.tables.Workers.Get(id)
		operation := f.tables.Operation(row)
		size++
		switch {
		case row.Pool != pool:
			return fmt.Errorf("pool index lists worker %s, which belongs to pool %s", row.ID, row.Pool)
		case operation == nil && row.State == fleet.Serving:
			serving++
		case operation == nil || strings.Contains(operation.ID, "return"):
			faulted++
		case operation.Wave != "" && operation.ToPool != pool:
			racks[fleet.RackKey{AvailabilityZone: row.AvailabilityZone, Rack: row.Rack}] = true
		}
	}
	values, _ := f.effective.Pool(pool)
	if serving+faulted < budget.Floor(values, size) {
		return fmt.Errorf("%d serving and %d faulted of %d workers are below the floor", serving, faulted, size)
	}
	if len(racks) > 1 {
		return fmt.Errorf("wave disrupts %d racks at once", len(racks))
	}
	return nil
}

// clearFaults ends all faults and aborts the wave and the drains of operators.
func (f *faultySite) clearFaults() {
	f.storeDown, f.loseCalls, f.delayCalls = false, false, false
	_ = wave.Abort(f.tables, "end")
	for _, operation := range f.tables.Operations.All() {
		if operation.Kind == fleet.OperationDrain {
			_ = f.tables.AbortOperation(f.tables.Workers.Get(operation.Worker).ID)
		}
	}
}

// run applies the events and then waits until every operation has ended.
func (f *faultySite) run(events []int) error {
	for _, event := range events {
		f.applyEvent(event%eventKinds, event/eventKinds)
		for range eventPeriod / tickPeriod {
			if err := f.step(); err != nil {
				return err
			}
		}
	}
	f.clearFaults()
	for range completionTimeLimit / tickPeriod {
		if err := f.step(); err != nil {
			return err
		}
		if f.tables.Operations.Len() == 0 {
			return nil
		}
	}
	for _, operation := range f.tables.Operations.All() {
		row := f.tables.Workers.Get(operation.Worker)
		return fmt.Errorf("operation %s on %s in state %s did not end", operation.ID, row.ID, row.State)
	}
	return nil
}

// Guards against a sequence of faults, operator requests and takeovers in which
// planned disruptions exceed a budget, a worker with work in flight is rebooted, a
// worker belongs to no pool or to two, two racks of a pool are disrupted at once,
// or an operation never ends.
func TestWaveKeepsInvariantsUnderFaults(t *testing.T) {
	t.Logf("seed %d", propertySeed)
	params := gopter.DefaultTestParametersWithSeed(propertySeed)
	params.MinSuccessfulTests = 150
	params.MaxShrinkCount = 20 // each shrink simulates hours
	properties := gopter.NewProperties(params)
	for _, objective := range []policy.Objective{policy.ObjectiveBuffer, policy.ObjectiveRollout} {
		properties.Property(string(objective), prop.ForAll(func(seed uint64, events []int) string {
			if err := newFaultySite(objective, seed).run(events); err != nil {
				return err.Error()
			}
			return ""
		}, gen.UInt64Range(0, 1000), gen.SliceOfN(80, gen.IntRange(0, eventKinds*49-1))))
	}
	properties.TestingRun(t)
}

// Guards against a roll-out that never ends and against more than one move per
// borrowed slot, with and without a failing rack.
func TestRollOutEnds(t *testing.T) {
	for _, objective := range []policy.Objective{policy.ObjectiveBuffer, policy.ObjectiveRollout} {
		l := newLayout([]int{9, 9, 11, 12, 8}, 3, objective)
		for _, failing := range []fleet.RackKey{{}, l.failingRack(1)} {
			s := newSite(l, wavePlanner{}, 1, failing)
			r := s.run("test")
			if !r.Finished || r.Violations > 0 || r.RebootsWithWork > 0 || r.Moves > r.Borrowed || r.Borrowed == 0 {
				t.Errorf("%s, failing rack %v: %+v", objective, failing, r)
			}
			if owed := s.tables.Borrowed("pool-00"); owed != 0 {
				t.Errorf("%s, failing rack %v: %d borrowed spares were not returned", objective, failing, owed)
			}
		}
	}
}
