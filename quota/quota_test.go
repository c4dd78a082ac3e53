package quota

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/events"
	"github.com/waxwingbridge/waxwingbridge/ledger"
	"github.com/waxwingbridge/waxwingbridge/placement"
	"github.com/waxwingbridge/waxwingbridge/work"
)

// harness is an owner of the fleet with a store that applies each write.
type harness struct {
	t        *testing.T
	s        *State
	now      time.Time
	revision int64
	writes   []time.Time
	refuse   bool // the store refuses writes
}

func newHarness(t *testing.T, partitions int, caps map[string]int) *harness {
	h := &harness{t: t, now: time.Unix(1000, 0), revision: 10}
	id := uint64(0)
	h.s = &State{Duty: "fleet", NextWrite: func() uint64 { id++; return id }}
	h.s.SetManifest(manifest(1, caps))
	h.s.SetPartitions(partitionNames(partitions))
	h.s.Ownership = Ownership{Owned: true, Token: 7, Since: h.now, ValidUntil: h.now.Add(time.Hour)}
	h.run(500 * time.Millisecond)
	return h
}

func partitionNames(n int) []string {
	var names []string
	for i := range n {
		names = append(names, fmt.Sprintf("p%03d", i))
	}
	return names
}

func manifest(version int64, caps map[string]int) *work.Manifest {
	m := &work.Manifest{Version: version}
	var teams []work.Team
	for name, limit := range caps {
		teams = append(teams, work.Team{Name: name, Weight: 1, Cap: cores(limit)})
	}
	m.SetTeams(teams)
	return m
}

func cores(n int) placement.Resources { return placement.Resources{MilliCores: n} }

func (h *harness) run(d time.Duration) {
	for end := h.now.Add(d); h.now.Before(end); {
		h.now = h.now.Add(10 * time.Millisecond)
		for _, system := range Systems {
			system.Run(h.s, engine.Tick{Now: h.now})
		}
		h.s.Writes.Drain(h.apply)
		h.s.Logs.Drain(func(events.Record) {})
		h.s.Counters.Drain(func(CounterIncrement) {})
	}
}

func (h *harness) apply(w ledger.Write) {
	fence := ledger.Condition{Key: ledger.Key{Kind: ledger.KindOwner, Name: "fleet"}, Revision: 7}
	if !slices.Contains(w.Expect, fence) {
		h.t.Errorf("a write lacks the fencing token: %v", w.Expect)
	}
	if h.refuse {
		h.s.WriteDone(h.now, ledger.WriteResult{ID: w.ID, Outcome: ledger.Unknown})
		return
	}
	h.revision++
	h.writes = append(h.writes, h.now)
	h.checkSum(w.Put[0].Content.(*work.Allotment))
	h.s.WriteDone(h.now, ledger.WriteResult{ID: w.ID, Outcome: ledger.Applied, Revision: h.revision})
}

// checkSum fails the test if amounts that are newly lent exceed a cap with what is held.
func (h *harness) checkSum(a *work.Allotment) {
	for i := range a.Teams {
		t := &a.Teams[i]
		held, amount := 0, 0
		for p := range a.Partitions {
			held += t.Part(p).Held.MilliCores
			amount += t.Part(p).Amount.MilliCores
		}
		if before := h.s.allotment.Team(t.Team); before != nil && before.Cap == t.Cap && held > t.Cap.MilliCores && h.heldBefore(before) <= t.Cap.MilliCores {
			h.t.Errorf("revision %d holds %d of a cap of %d of team %s", a.Revision, held, t.Cap.MilliCores, t.Team)
		}
		if amount > t.Cap.MilliCores {
			h.t.Errorf("revision %d lends %d of a cap of %d of team %s", a.Revision, amount, t.Cap.MilliCores, t.Team)
		}
	}
}

func (h *harness) heldBefore(t *work.TeamAllotment) int {
	held := 0
	for p := range h.s.allotment.Partitions {
		held += t.Part(p).Held.MilliCores
	}
	return held
}

// report delivers a report that obeys the present allotment.
func (h *harness) report(partition int, teams ...work.TeamDemand) {
	h.reportObeying(partition, h.s.allotment.Revision, false, teams...)
}

func (h *harness) reportObeying(partition int, obeyed int64, incomplete bool, teams ...work.TeamDemand) {
	h.revision++
	h.s.ApplyReport(h.now, ledger.Record{
		Key: ledger.Key{Kind: ledger.KindDemand, Name: h.s.allotment.Partitions[partition]}, Revision: h.revision,
		Content: &work.Demand{Teams: teams, Obeyed: obeyed, Incomplete: incomplete},
	})
}

func (h *harness) part(partition int) work.AllottedPart {
	return h.s.allotment.Team("a").Part(partition)
}

func demand(team string, use, waiting, next int) work.TeamDemand {
	return work.TeamDemand{Team: team, Use: cores(use), Waiting: cores(waiting), Next: cores(next)}
}

// Guards against an amount that is lent a second time although the report of the partition
// that has it is missing, old, or incomplete after a change of its owner.
func TestAmountIsLentAgainOnlyAfterItIsGivenUp(t *testing.T) {
	h := newHarness(t, 2, map[string]int{"a": 8000})
	h.report(0, demand("a", 2000, 6000, 500))
	h.run(300 * time.Millisecond)
	if got := h.part(0).Amount.MilliCores; got != 6000 { // the other one keeps its start
		t.Fatalf("the partition that asks has %d, want all but the starting amount of the other", got)
	}
	old := h.s.allotment.Revision
	h.report(0, demand("a", 6000, 0, 0))
	h.report(1, demand("a", 2000, 6000, 500))
	h.run(time.Second)
	if p := h.part(0); p.Held.MilliCores != 6000 || p.Amount.MilliCores > 4000 || h.part(1).Amount.MilliCores > 2000 {
		t.Fatalf("without a report the parts are %+v and %+v, want 6000 held and no more lent", p, h.part(1))
	}
	h.reportObeying(0, old, false, demand("a", 0, 0, 0))
	h.run(time.Second)
	if n := h.part(1).Amount.MilliCores; n > 2000 {
		t.Fatalf("%d lent on a report that does not obey", n)
	}
	h.reportObeying(0, h.s.allotment.Revision, true, demand("a", 0, 0, 0))
	h.run(time.Second)
	if n := h.part(1).Amount.MilliCores; n > 2000 {
		t.Fatalf("%d lent on a report of an owner that does not know all runs", n)
	}
	h.report(0, demand("a", 5000, 0, 0))
	h.run(time.Second)
	if n := h.part(1).Amount.MilliCores; n != 3000 {
		t.Fatalf("%d lent, want the 3000 that the other partition does not use", n)
	}
	h.report(0)
	h.report(1, demand("a", 3000, 5000, 500))
	h.run(time.Second)
	if n := h.part(1).Amount.MilliCores; n < 6000 {
		t.Errorf("%d lent after the other partition became idle, want at least 6000", n)
	}
}

// Guards against partitions that never get their starting amount back after another one
// used the whole cap.
func TestStartingAmountsComeBack(t *testing.T) {
	h := newHarness(t, 4, map[string]int{"a": 8000})
	h.report(0, demand("a", 1000, 8000, 500))
	for range 10 {
		h.run(200 * time.Millisecond)
		for p := 1; p < 4; p++ {
			h.report(p)
		}
	}
	if n := h.part(0).Amount.MilliCores; n != 8000 {
		t.Fatalf("the only partition that asks has %d of 8000", n)
	}
	h.report(0)
	for range 30 {
		h.run(200 * time.Millisecond)
		h.report(0)
	}
	for p := range 4 {
		if n := h.part(p).Amount.MilliCores; n < 1000 {
			t.Errorf("partition %d has %d, want its starting amount of 1000", p, n)
		}
	}
}

// Guards against a cap that is lent beyond its size when pools come and go.
func TestPartitionsComeAndGo(t *testing.T) {
	h := newHarness(t, 2, map[string]int{"a": 8000})
	h.report(0, demand("a", 4000, 0, 0))
	h.s.SetPartitions([]string{"p000", "p001", "p002"})
	h.run(2 * time.Second)
	if n := h.part(2).Amount.MilliCores; n != 1333 {
		t.Errorf("the new partition has %d, want its starting amount of 1333", n)
	}
	h.s.SetPartitions([]string{"p001", "p002"})
	h.run(time.Second)
	if !slices.Equal(h.s.allotment.Partitions, partitionNames(3)) {
		t.Errorf("the partitions are %v: tasks may still run in the one that is gone", h.s.allotment.Partitions)
	}
	h.run(removalDelay + 2*time.Second)
	if slices.Contains(h.s.allotment.Partitions, "p000") {
		t.Errorf("the partitions are %v, of which one is gone", h.s.allotment.Partitions)
	}
}

// Load pattern: 140 teams ask for more than their caps in 200 partitions, in random order.
// Guards against a record that outgrows the store's limit, against writes that follow each
// other too closely, and against amounts beyond a cap.
func TestRecordAndRateAreBounded(t *testing.T) {
	const seed = 20261206
	random := rand.New(rand.NewSource(seed))
	caps := map[string]int{}
	for i := range 140 {
		caps[fmt.Sprintf("team-%03d", i)] = 200_000 + random.Intn(800_000)
	}
	h := newHarness(t, 200, caps)
	largest, before := 0, len(h.writes)
	for range 60 {
		for range 20 {
			partition := random.Intn(200)
			var teams []work.TeamDemand
			for i := range h.s.allotment.Teams {
				if t := &h.s.allotment.Teams[i]; random.Intn(3) == 0 {
					teams = append(teams, demand(t.Team, random.Intn(t.Part(partition).Amount.MilliCores+1), random.Intn(20_000), 500))
				}
			}
			h.report(partition, teams...)
		}
		h.run(50 * time.Millisecond)
		largest = max(largest, recordBytes(h.s.allotment))
	}
	t.Logf("seed %d: %d writes in 3 s, at most %d bytes", seed, len(h.writes)-before, largest)
	if largest > maxRecordBytes {
		t.Errorf("the record grew to %d bytes", largest)
	}
	for i := 1; i < len(h.writes); i++ {
		if d := h.writes[i].Sub(h.writes[i-1]); d < writeInterval {
			t.Errorf("two writes are %v apart", d)
		}
	}
}

// Guards against store calls where no team has a cap, without the fleet, and under an older
// manifest than that of the record, and against a store that is called without a pause.
func TestWritesNeedAReason(t *testing.T) {
	if h := newHarness(t, 3, map[string]int{"a": 0}); len(h.writes) != 0 {
		t.Errorf("%d writes without a cap", len(h.writes))
	}
	h := newHarness(t, 3, map[string]int{"a": 8000})
	if len(h.writes) != 1 {
		t.Errorf("%d writes at the start, want the first version", len(h.writes))
	}
	h.run(5 * time.Second)
	h.report(0, demand("a", 100, 0, 0))
	h.run(5 * time.Second)
	if len(h.writes) != 1 {
		t.Errorf("%d writes although no team lacks room", len(h.writes))
	}
	h.s.SetManifest(manifest(2, map[string]int{"a": 4000}))
	h.run(time.Second)
	if len(h.writes) != 2 || h.s.allotment.Team("a").Cap.MilliCores != 4000 {
		t.Errorf("%d writes after the cap was lowered, want 2", len(h.writes))
	}
	h.s.SetManifest(manifest(1, map[string]int{"a": 8000})) // a process that is behind
	h.run(time.Second)
	h.s.SetManifest(manifest(2, map[string]int{"a": 4000}))
	h.s.Ownership.Owned = false
	h.report(0, demand("a", 100, 5000, 500))
	h.run(time.Second)
	if len(h.writes) != 2 {
		t.Errorf("%d writes without the fleet or under an old manifest, want 2", len(h.writes))
	}
	h.s.Ownership.Owned, h.refuse = true, true
	first := h.s.NextWrite()
	h.run(2 * time.Second)
	if n := h.s.NextWrite() - first; n > uint64(2*time.Second/writeRetryDelay)+2 {
		t.Errorf("%d writes in 2 s while the store refuses them", n)
	}
}
