package entry

import (
	"fmt"
	"testing"

	"github.com/waxwingbridge/waxwingbridge/ledger"
	"github.com/waxwingbridge/waxwingbridge/placement"
	"github.com/waxwingbridge/waxwingbridge/work"
)

// Guards against an allotment that outgrows a value of the store although the owner of the
// fleet bounds it by the sizes that it assumes: 40 bytes for a part, 100 for one that may not
// be obeyed yet, 180 for a team beside its name.
func TestStoredAllotmentKeepsTheAssumedSizes(t *testing.T) {
	const names = 20 // bytes of a name
	largest := placement.Resources{MilliCores: 999_999_999, MemoryMB: 999_999_999, Accelerators: 999_999_999}
	size := func(teams, parts int, part work.AllottedPart) int {
		a := &work.Allotment{Revision: 1 << 40, Manifest: 1 << 40}
		for i := range 200 {
			a.Partitions = append(a.Partitions, fmt.Sprintf("%0*d", names, i))
		}
		for i := range teams {
			team := work.TeamAllotment{Team: fmt.Sprintf("%0*d", names, i), Cap: largest, Default: work.AllottedPart{Amount: largest, Lowered: 1 << 40}}
			for p := range parts {
				team.Parts = append(team.Parts, work.PartitionPart{Partition: p, AllottedPart: part})
			}
			a.Teams = append(a.Teams, team)
		}
		set, err := encodeRecord(ledger.Put{Key: ledger.Key{Kind: ledger.KindAllotment, Name: "teams"}, Content: a})
		if err != nil {
			t.Fatal(err)
		}
		return len(set.Value)
	}
	bare := size(1, 0, work.AllottedPart{})
	if n := (size(140, 0, work.AllottedPart{}) - bare) / 139; n > 180+names {
		t.Errorf("a team takes %d bytes", n)
	}
	if n := (size(1, 200, work.AllottedPart{Amount: largest, Held: largest}) - bare) / 200; n > 40 {
		t.Errorf("a part takes %d bytes", n)
	}
	if n := (size(1, 200, work.AllottedPart{Amount: largest, Lowered: 1 << 40}) - bare) / 200; n > 100 {
		t.Errorf("a part that may not be obeyed yet takes %d bytes", n)
	}
	usual := placement.Resources{MilliCores: 23_465, MemoryMB: 96_792}
	t.Logf("140 teams in 200 partitions: %d bytes without, %d with 6 parts each", size(140, 0, work.AllottedPart{}), size(140, 6, work.AllottedPart{Amount: usual, Held: usual}))
}
