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
	propertySeed = 20261204
	eventPeriod  = 20 * time.Second
	settleTime   = 7 * time.Second // lease TTL and longest platform call
	endTime      = 3 * time.Hour   // within which every operation has to end without further faults
)

// faulty is a site whose store, platform, list, controller and operators
// misbehave.
type faulty struct {
	*site
	stored    fleet.Document
	storeDown bool
	heldUntil time.Time // a new controller does not call the platform before
	loseCalls bool
	lateCalls bool
	late      []lateCall
	removed   map[string]int // workers that the platform took away, per pool
	premature string         // first call whose intent was not in the store
}

type lateCall struct {
	call fleet.Call
	at   time.Time
}

func newFaulty(objective policy.Objective, seed uint64) *faulty {
	l := newLayout([]int{9, 9, 11, 12, 8}, 3, objective)
	if seed%2 == 1 { // a floor that rises with each borrowed spare but the first
		doc := policy.Example(l.pools...)
		doc.Site.Objective = objective
		doc.Exceptions = append(doc.Exceptions, policy.Exception{Scope: "pool/pool-00", Field: "min_serving_share", Value: 0.9, Reason: "test"})
		l.effective = policy.Resolve(&doc, epoch)
	}
	f := &faulty{site: newSite(l, waves{}, seed, l.rack(seed)), stored: l.document, removed: map[string]int{}}
	f.call = f.deliver
	f.begin()
	f.commit()
	return f
}

// deliver loses calls or executes them after their timeout. It records calls
// whose intent is not in the store.
func (f *faulty) deliver(call fleet.Call) error {
	if !f.intended(call) && f.premature == "" {
		f.premature = call.OperationID
	}
	switch {
	case f.loseCalls:
		return nil
	case f.lateCalls:
		f.late = append(f.late, lateCall{call, f.now.Add(4 * time.Second)})
		f.unsettled[call.Worker] = f.now.Add(settleTime)
		return nil
	}
	return f.platform.call(call, f.now)
}

func (f *faulty) intended(call fleet.Call) bool {
	states := map[fleet.CallKind]fleet.State{
		fleet.CallDrain: fleet.Draining, fleet.CallReboot: fleet.Rebooting, fleet.CallUndrain: fleet.Returning, fleet.CallAssign: fleet.Returning,
	}
	for i := range f.stored.Workers {
		if w := &f.stored.Workers[i]; w.ID == call.Worker {
			return w.Operation != nil && w.State == states[call.Kind] && strings.HasPrefix(call.OperationID, w.Operation.ID+"/")
		}
	}
	return false
}

func (f *faulty) begin() {
	f.sequence++
	_ = wave.Start(f.tables, f.effective, wave.Spec{ID: fmt.Sprintf("wave-%d", f.sequence)}, f.now) // refused while one runs
}

func (f *faulty) commit() {
	doc, ok := f.tables.BeginCommit()
	if !ok {
		return
	}
	f.tables.EndCommit(!f.storeDown)
	if !f.storeDown {
		f.stored = doc
	}
}

// takeover replaces the controller by one that knows only the stored document.
func (f *faulty) takeover() {
	f.tables = fleet.Load(&f.stored)
	f.tables.Epoch++
	f.tables.MarkDirty()
	f.rejected, f.heldUntil = map[string]rejection{}, f.now.Add(settleTime)
}

// lostAnswer is a takeover after a write whose answer did not arrive.
func (f *faulty) lostAnswer() {
	if doc, ok := f.tables.BeginCommit(); ok && !f.storeDown {
		f.stored = doc
	}
	f.takeover()
}

// event applies one random event; who selects the worker.
func (f *faulty) event(kind, who int) {
	id := f.platform.order[who%len(f.platform.order)]
	m := f.platform.byID[id]
	f.sequence++
	start := fleet.OperationSpec{OperationID: fmt.Sprintf("op-%d", f.sequence), Kind: fleet.OperationDrain, Worker: id, Operator: "test"}
	switch kind {
	case 0:
		f.takeover()
	case 1:
		f.lostAnswer()
	case 2:
		f.storeDown = !f.storeDown
	case 3:
		f.platform.fail(m, f.now)
	case 4: // the list stays as it is for some minutes
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
		f.begin()
	case 11:
		f.loseCalls = !f.loseCalls
	case 12:
		f.lateCalls = !f.lateCalls
	case 13:
		if m.Status == fleet.StatusLive {
			m.Status, m.nextAt = fleet.StatusLeaving, f.now.Add(time.Minute)
		}
	}
}

const eventKinds = 14

func (f *faulty) step() error {
	for len(f.late) > 0 && !f.now.Before(f.late[0].at) {
		_ = f.platform.call(f.late[0].call, f.now)
		f.late = f.late[1:]
	}
	f.allowed = !f.storeDown && !f.now.Before(f.heldUntil)
	before := f.pools()
	f.tick()
	for id, pool := range before {
		if f.tables.Worker(id) == nil {
			f.removed[pool]++
		}
	}
	f.commit()
	return f.check()
}

func (f *faulty) pools() map[string]string {
	pools := map[string]string{}
	for _, row := range f.tables.Workers.All() {
		pools[row.ID] = row.Pool
	}
	return pools
}

// check verifies the invariants from the rows alone.
func (f *faulty) check() error {
	if f.platform.cutOff > 0 {
		return fmt.Errorf("a reboot was sent with work in flight")
	}
	if f.premature != "" {
		return fmt.Errorf("call %s was sent before its intent was in the store", f.premature)
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
		return fmt.Errorf("%d members of pools for %d workers", members, f.tables.Workers.Len())
	}
	return nil
}

// checkPool verifies that planned disruptions alone never take the pool below
// its floor, and that the wave disrupts one rack of it at a time.
func (f *faulty) checkPool(pool string) error {
	serving, faulted, size := 0, f.removed[pool], 0
	racks := map[fleet.RackKey]bool{}
	for _, id := range f.tables.WorkersOfPool(pool) {
		row := f.tables.Workers.Get(id)
		operation := f.tables.Operation(row)
		size++
		switch {
		case row.Pool != pool:
			return fmt.Errorf("index holds worker %s of %s", row.ID, row.Pool)
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
		return fmt.Errorf("%d serving and %d faulted of %d", serving, faulted, size)
	}
	if len(racks) > 1 {
		return fmt.Errorf("wave disrupts %d racks", len(racks))
	}
	return nil
}

// heal ends all faults and lets operators return what they hold.
func (f *faulty) heal() {
	f.storeDown, f.loseCalls, f.lateCalls = false, false, false
	_ = wave.Abort(f.tables, "end")
	for _, operation := range f.tables.Operations.All() {
		if operation.Kind == fleet.OperationDrain {
			_ = f.tables.AbortOperation(f.tables.Workers.Get(operation.Worker).ID)
		}
	}
}

// run applies the events and then waits until every operation has ended.
func (f *faulty) run(events []int) error {
	for _, event := range events {
		f.event(event%eventKinds, event/eventKinds)
		for range eventPeriod / tickPeriod {
			if err := f.step(); err != nil {
				return err
			}
		}
	}
	f.heal()
	for range endTime / tickPeriod {
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

// Guards against any order of faults, operators' requests and takeovers that
// breaks a budget by plan, reboots a worker with work in flight, puts a worker
// into no or two pools, disrupts two racks of a pool or leaves an operation
// without an end.
func TestWaveKeepsInvariantsUnderFaults(t *testing.T) {
	t.Logf("seed %d", propertySeed)
	params := gopter.DefaultTestParametersWithSeed(propertySeed)
	params.MinSuccessfulTests = 150
	params.MaxShrinkCount = 20 // each shrink runs hours of fake time
	properties := gopter.NewProperties(params)
	for _, objective := range []policy.Objective{policy.ObjectiveBuffer, policy.ObjectiveRollout} {
		properties.Property(string(objective), prop.ForAll(func(seed uint64, events []int) string {
			if err := newFaulty(objective, seed).run(events); err != nil {
				return err.Error()
			}
			return ""
		}, gen.UInt64Range(0, 1000), gen.SliceOfN(80, gen.IntRange(0, eventKinds*49-1))))
	}
	properties.TestingRun(t)
}

// Guards against a roll-out that does not end, and against more than one move
// per borrowed slot, with and without a rack that fails.
func TestRollOutEnds(t *testing.T) {
	for _, objective := range []policy.Objective{policy.ObjectiveBuffer, policy.ObjectiveRollout} {
		l := newLayout([]int{9, 9, 11, 12, 8}, 3, objective)
		for _, bad := range []fleet.RackKey{{}, l.rack(1)} {
			s := newSite(l, waves{}, 1, bad)
			r := s.run("test")
			if !r.Finished || r.Violations > 0 || r.RebootsWithWork > 0 || r.Moves > r.Borrowed || r.Borrowed == 0 {
				t.Errorf("%s, bad rack %v: %+v", objective, bad, r)
			}
			if owed := s.tables.Borrowed("pool-00"); owed != 0 {
				t.Errorf("%s, bad rack %v: %d spares were not given back", objective, bad, owed)
			}
		}
	}
}
