package budget

import (
	"fmt"
	"testing"
	"time"

	"github.com/waxwingbridge/waxwingbridge/fleet"
	"github.com/waxwingbridge/waxwingbridge/policy"
)

var testTime = time.Date(2026, 12, 4, 20, 0, 0, 0, time.UTC)

// tables returns pools of the given sizes in three zones and in racks of four.
func tables(sizes map[string]int, order ...string) *fleet.Tables {
	doc := fleet.Document{}
	n := 0
	for _, pool := range order {
		for range sizes[pool] {
			doc.Workers = append(doc.Workers, fleet.Worker{
				ID: fmt.Sprintf("w%03d", n), Pool: pool, State: fleet.Serving,
				AvailabilityZone: fmt.Sprintf("z%d", n%3), Rack: fmt.Sprintf("r%d", n/3/4),
			})
			n++
		}
	}
	return fleet.Load(&doc)
}

func effective(change func(*policy.Document), pools ...string) *policy.Effective {
	doc := policy.Example(pools...)
	if change != nil {
		change(&doc)
	}
	return policy.Resolve(&doc, testTime)
}

// Guards against a floor that is rounded down, or too high because of a
// floating-point error.
func TestFloorRoundsUp(t *testing.T) {
	for _, c := range []struct {
		minServing, size int
		share            float64
		want             int
	}{{0, 9, 0.75, 7}, {0, 12, 0.75, 9}, {0, 10, 0.7, 7}, {0, 10, 0.1 + 0.2, 3}, {8, 9, 0.5, 8}, {0, 0, 1, 0}} {
		if got := Floor(policy.Pool{MinServing: c.minServing, MinServingShare: c.share}, c.size); got != c.want {
			t.Errorf("Floor(%d, %v of %d) = %d, want %d", c.minServing, c.share, c.size, got, c.want)
		}
	}
}

// Guards against counting suspected workers and workers with an intended operation
// as serving.
func TestIntendedOperationUsesSlack(t *testing.T) {
	rows := tables(map[string]int{"a": 9, "spare": 8}, "a", "spare")
	e := effective(nil, "a", "spare")
	if slack := Assess(rows, e, nil).Pool("a").Slack(); slack != 2 {
		t.Fatalf("slack of an untouched pool = %d, want 2", slack)
	}
	if err := rows.StartOperation(fleet.OperationSpec{OperationID: "op", Kind: fleet.OperationMaintain, Worker: "w000"}, testTime); err != nil {
		t.Fatal(err)
	}
	rows.Worker("w001").State = fleet.Suspected
	availability := Assess(rows, e, nil)
	if got := availability.CheckDisruption("a", "z2"); got != ShortagePoolFloor {
		t.Fatalf("third disruption = %q, want %q", got, ShortagePoolFloor)
	}
}

// Guards against disrupting a whole zone of a pool that has slack as a whole.
func TestZoneFloor(t *testing.T) {
	rows := tables(map[string]int{"a": 9, "spare": 3}, "a", "spare")
	e := effective(func(d *policy.Document) { d.Defaults.Pool.MinServingZoneShare = 0.6 }, "a", "spare")
	availability := Assess(rows, e, nil)
	availability.RecordDisruption("a", "z0")
	if got := availability.CheckDisruption("a", "z0"); got != ShortageZoneFloor {
		t.Fatalf("second disruption in z0 = %q, want %q", got, ShortageZoneFloor)
	}
	if got := availability.CheckDisruption("a", "z1"); got != ShortageNone {
		t.Fatalf("disruption in z1 = %q", got)
	}
}

// Guards against a move that raises the floor of the receiving pool above the
// number of workers that serve there until the moved worker does.
func TestMoveChecksBothPools(t *testing.T) {
	rows := tables(map[string]int{"a": 4, "spare": 4}, "a", "spare")
	e := effective(func(d *policy.Document) { d.Defaults.Pool.MinServingShare = 1 }, "a", "spare")
	if got := Assess(rows, e, nil).CheckMove("spare", "a", "z1"); got != ShortagePoolFloor {
		t.Fatalf("move out of a pool without slack = %q", got)
	}
	e = effective(func(d *policy.Document) {
		d.Exceptions = append(d.Exceptions, policy.Exception{Scope: "pool/a", Field: "min_serving_share", Value: 1, Reason: "test"})
	}, "a", "spare")
	availability := Assess(rows, e, nil)
	if got := availability.CheckMove("spare", "a", "z1"); got != ShortageReceivingPool {
		t.Fatalf("move into a pool whose floor is its size = %q, want %q", got, ShortageReceivingPool)
	}
	if _, ok := availability.SparesNeeded("a", "z1", 8); ok {
		t.Fatal("SparesNeeded found spares for a pool whose floor is its size")
	}
}

// Guards against a second move that is checked against the floor from before the
// first one.
func TestIncomingWorkerRaisesFloor(t *testing.T) {
	rows := tables(map[string]int{"a": 8, "spare": 8}, "a", "spare")
	e := effective(func(d *policy.Document) { d.Defaults.Pool.MinServingShare = 0.75 }, "a", "spare")
	if err := rows.StartOperation(fleet.OperationSpec{OperationID: "op", Kind: fleet.OperationMove, Worker: "w008", ToPool: "a"}, testTime); err != nil {
		t.Fatal(err)
	}
	if pool := Assess(rows, e, nil).Pool("a"); pool.Incoming != 1 || pool.Floor != 7 || pool.Slack() != 1 {
		t.Fatalf("pool with an incoming worker = %+v, want floor 7 of 9", pool)
	}
}

// Guards against disruptions at peak demand, and against unknown demand treated as
// no demand.
func TestDemandLimitsSlack(t *testing.T) {
	rows := tables(map[string]int{"a": 9, "spare": 8}, "a", "spare")
	e := effective(nil, "a", "spare")
	for _, c := range []struct {
		demand Demand
		want   int
	}{{nil, 2}, {Demand{"a": 8}, 2}, {Demand{"a": 64}, 1}, {Demand{"a": 72}, 0}} {
		if got := Assess(rows, e, c.demand).Pool("a").Slack(); got != c.want {
			t.Errorf("slack with demand %v = %d, want %d", c.demand, got, c.want)
		}
	}
	if got := Assess(rows, e, Demand{"a": 1, "spare": 60}).ByIdleShare(); got[0] != "a" {
		t.Errorf("ByIdleShare = %v, want a first", got)
	}
}

// Guards against a buffer sized for the sum of the peaks of all pools, which do not
// coincide.
func TestJointBufferUsesMaximumOfSum(t *testing.T) {
	rows := tables(map[string]int{"a": 8, "b": 8, "spare": 4}, "a", "b", "spare")
	history := []Sample{{"a": 64, "b": 8}, {"a": 8, "b": 64}}
	got := JointBuffer(rows, effective(nil, "a", "b", "spare"), history)
	// Pool a has at most three workers in one rack and pool b two. Each pool needs all its
	// workers at its peak.
	want := Buffer{LargestDomain: 4, JointDemand: 9, Capacity: 16, Required: 0, RequiredSeparately: 5}
	if got != want {
		t.Fatalf("JointBuffer = %+v, want %+v", got, want)
	}
}
