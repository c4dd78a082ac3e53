package entry

import (
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/ledger"
	"github.com/waxwingbridge/waxwingbridge/machines"
	"github.com/waxwingbridge/waxwingbridge/placement"
	"github.com/waxwingbridge/waxwingbridge/platform"
	"github.com/waxwingbridge/waxwingbridge/work"
)

// Guards against a record field that is lost when a record is encoded and decoded.
func TestRecordsSurviveTheStore(t *testing.T) {
	limits := work.Limits{Priority: 1, MaxFailures: 2, SlowdownFactor: 1.5, Latency: time.Second, Advice: work.AdviceSettings{Decision: time.Millisecond}}
	for _, put := range []ledger.Put{
		{Key: ledger.Key{Kind: ledger.KindJob, Name: "j"}, Content: &work.Job{
			ID: "j", Queue: "q", Pool: "p", Payload: "x", Limits: limits, AcceptedAt: time.UnixMilli(1234),
			Schedule: work.Schedule{Times: 2, First: time.UnixMilli(99).UTC(), Interval: time.Second},
			Steps: []work.Step{{Count: 3, Size: placement.Resources{MilliCores: 1, MemoryMB: 2, Accelerators: 3}, Estimate: 5, Gang: true, Rack: "r", Image: "i"}, {
				Count: 1, After: []int{0}, Checkpointing: true, SameRack: true, Speculative: true, LongRunning: true, BestEffort: true, Label: "l",
				MaxPerWorker: 2, LatencyTarget: 6, MaxUnavailable: 7,
			}},
		}},
		{Key: ledger.Key{Kind: ledger.KindProgress, Name: "j"}, Content: &work.Progress{State: work.JobRunning, Stages: []work.StageProgress{
			{Occurrence: 1, Step: 2, Done: []byte{5}, Failed: []work.TaskRuns{{Index: 1, Runs: []int{2, 3}}}, Crashed: []work.TaskCrashes{{Index: 0, Runs: []int{4, 6}, Early: 1, Late: 1, Running: 5}}},
		}}},
		{Key: ledger.Key{Kind: ledger.KindOwner, Name: "p"}, Content: &work.Ownership{Node: "n", Incarnation: "i", Epoch: 3}},
		{Key: ledger.Key{Kind: ledger.KindContacts, Name: "p"}, Content: []work.Contact{{Worker: "w", Address: "a", Incarnation: 4}}},
		{Key: ledger.Key{Kind: ledger.KindMachineOrder, Name: "m"}, Content: &work.MachineOrder{Machine: "m", Worker: "w", Pool: "p", Wave: 1, State: work.MachineIdle}},
		{Key: ledger.Key{Kind: ledger.KindMachineMove, Name: "m"}, Content: &work.MachineOrder{Machine: "m", Target: "t"}},
		{Key: ledger.Key{Kind: ledger.KindDemand, Name: "p"}, Content: &work.Demand{Need: 3, Have: 2, Released: []string{"w"}, Write: 9}},
		{Key: ledger.Key{Kind: ledger.KindDemand, Name: "q"}, Content: &work.Demand{Need: 3, Have: 2, Expected: 4, Obeyed: 7, Incomplete: true, Teams: []work.TeamDemand{
			{Team: "a", Use: placement.Resources{MilliCores: 500, MemoryMB: 64}},
			{Team: "b", Waiting: placement.Resources{MilliCores: 1, Accelerators: 2}, Next: placement.Resources{MilliCores: 1, Accelerators: 1}},
		}}},
		{Key: ledger.Key{Kind: ledger.KindAllotment, Name: "teams"}, Content: &work.Allotment{
			Revision: 7, Manifest: 3, Partitions: []string{"p", "q#0"}, Teams: []work.TeamAllotment{{
				Team: "a", Cap: placement.Resources{MilliCores: 4000}, Default: work.AllottedPart{Amount: placement.Resources{MilliCores: 1000}, Held: placement.Resources{MilliCores: 1000}},
				Parts: []work.PartitionPart{{Partition: 1, AllottedPart: work.AllottedPart{Held: placement.Resources{MilliCores: 3000}, Lowered: 6}}},
			}},
		}},
	} {
		set, err := encodeRecord(put)
		if err != nil {
			t.Fatal(err)
		}
		seen, err := recordFromItem(strings.TrimPrefix(set.Key, platform.RecordPrefix), set.Value, 7, 6, false)
		if err != nil {
			t.Fatal(err)
		}
		if seen.Key != put.Key || !reflect.DeepEqual(seen.Content, put.Content) {
			t.Errorf("%s came back as %+v, want %+v", set.Key, seen.Content, put.Content)
		}
	}
}

// Guards against malformed records, for example of another writer, that crash the
// process or are partly applied.
func TestBadRecordsAreErrors(t *testing.T) {
	for _, name := range []string{"job/j", "progress/j", "owner/p", "contacts/p", "machine/m", "demand/p", "allotment/teams", "unknown/x", "nothing"} {
		for _, value := range []string{"", "{", `"text"`, `{"Steps":7}`, "\xff"} {
			if name == "demand/p" && value == `{"Steps":7}` {
				continue // decodes as an empty demand; unknown fields are ignored
			}
			if _, err := recordFromItem(name, []byte(value), 1, 1, false); err == nil {
				t.Errorf("no error for %s = %q", name, value)
			}
		}
	}
}

// Guards against names of the platform's protocol outside the adapter package.
func TestWireNamesStayInTheAdapter(t *testing.T) {
	wire := regexp.MustCompile(`/api/(run-|hold|pace|advise|machine|kv-|readiness)|Duty-Holder|Fencing-Token|Expected-Instance|MemoryRequestMb|GangTimeoutMs`)
	err := filepath.WalkDir("..", func(path string, entry os.DirEntry, err error) error {
		if err != nil || entry.IsDir() || filepath.Ext(path) != ".go" || strings.HasPrefix(path, "../platform/") {
			return err
		}
		if strings.HasSuffix(path, "_test.go") {
			return nil
		}
		text, err := os.ReadFile(path)
		if found := wire.Find(text); found != nil {
			t.Errorf("%s contains %q, which belongs in platform/ only", path, found)
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
}

// Guards against a new owner that acts on a registry and on wave statuses from before its
// ownership, since they are watched apart from the records.
func TestOwnerWaitsForTheRegistry(t *testing.T) {
	s := newState(&platform.Settings{Node: "n", Bounds: platform.DefaultBounds()}, Features{}, "i", time.Now)
	s.Manifest = &work.Manifest{Version: 1, Pools: []work.Pool{{Name: "p"}}}
	tick := engine.Tick{Now: time.Unix(1000, 0)}
	partitions := work.Partitions{}
	s.Dispatch.Partitions, s.Machines.Partitions = partitions, partitions
	s.updateRequiredDuties(tick)
	s.Ownership.LeaseValidUntil = tick.Now.Add(time.Second)
	for _, duty := range []string{"p", machines.FleetDuty} {
		s.applyRecord(tick, ledger.Record{Key: ledger.Key{Kind: ledger.KindOwner, Name: duty}, Revision: 20, Content: &work.Ownership{Node: "n", Incarnation: "i", Epoch: 1}}, tick.Now)
	}
	s.Mirror.Revision = 20
	for _, revision := range []int64{19, 20} {
		registryChanged{batch: platform.Batch{Revision: revision}}.apply(s, tick)
		applyOwnership(s, tick)
		owned := false
		for range s.Dispatch.OwnedPools {
			owned = true
		}
		if want := revision >= 20; owned != want || s.Machines.Ownership.Owned != want {
			t.Errorf("with the registry of revision %d the pool is owned: %v, the fleet: %v", revision, owned, s.Machines.Ownership.Owned)
		}
	}
}

// Guards against writes that are refused for good because the item they conflict with can't be
// read, and against an unreadable item that is taken for a deleted one.
func TestConflictStatesTheRevisionOfAnUnreadableItem(t *testing.T) {
	demand, status := ledger.Key{Kind: ledger.KindDemand, Name: "p"}, ledger.Key{Kind: ledger.KindWaveStatus, Name: "3"}
	progress := ledger.Key{Kind: ledger.KindProgress, Name: "j"}
	records, err := currentRecords([]platform.Item{
		{Key: storeKey(demand), Value: []byte("{"), Revision: 4},
		{Key: storeKey(status), Value: []byte("{"), Revision: 5},
		{Key: storeKey(progress), Value: []byte("{"), Revision: 6},
		{Key: "unknown/key", Revision: 7},
	})
	want := []ledger.Record{{Key: demand, Revision: 4}, {Key: status, Revision: 5}}
	if err == nil || !reflect.DeepEqual(records, want) {
		t.Errorf("the records are %+v and the error is %v, want %+v and an error", records, err, want)
	}
	missing, err := currentRecords([]platform.Item{{Key: storeKey(status)}})
	if want := []ledger.Record{{Key: status, Deleted: true}}; err != nil || !reflect.DeepEqual(missing, want) {
		t.Errorf("the records are %+v and the error is %v, want %+v", missing, err, want)
	}
}
