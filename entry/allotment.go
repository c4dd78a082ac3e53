package entry

import (
	"cmp"
	"encoding/json"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/waxwingbridge/waxwingbridge/placement"
	"github.com/waxwingbridge/waxwingbridge/work"
)

// The stored forms of reports and allotments. Amounts are lists and names are short,
// because the allotment has an entry for each team and up to thousands of parts, and every
// process reads each version.
type (
	storedAmount [3]int // millicores, megabytes, accelerators
	storedDemand struct {
		Need, Have int
		Expected   int `json:",omitempty"`
		Released   []string
		Write      uint64             `json:",omitempty"`
		Teams      []storedTeamDemand `json:",omitempty"`
		Obeyed     int64              `json:",omitempty"`
		Incomplete bool               `json:",omitempty"`
	}
	storedTeamDemand struct {
		Team    string       `json:"T"`
		Use     storedAmount `json:"U,omitzero"`
		Waiting storedAmount `json:"W,omitzero"`
		Next    storedAmount `json:"N,omitzero"`
	}
	storedAllotment struct {
		Revision   int64
		Manifest   int64
		Partitions []string
		Teams      []storedTeamAllotment
	}
	storedTeamAllotment struct {
		Team    string       `json:"T"`
		Cap     storedAmount `json:"C"`
		Default storedPart   `json:"D"` // as of partition 0
		Parts   []storedPart `json:"P,omitempty"`
	}
	// storedPart is the partition and the amount, followed by what is held and by the
	// revision that lowered the amount if the partition may not obey it yet.
	storedPart []int64
)

func storeAmount(r placement.Resources) storedAmount {
	return storedAmount{r.MilliCores, r.MemoryMB, r.Accelerators}
}

func (a storedAmount) resources() placement.Resources {
	return placement.Resources{MilliCores: a[0], MemoryMB: a[1], Accelerators: a[2]}
}

func (a storedAmount) isValid() bool { return a[0] >= 0 && a[1] >= 0 && a[2] >= 0 }

func storeDemand(d *work.Demand) storedDemand {
	stored := storedDemand{Need: d.Need, Have: d.Have, Expected: d.Expected, Released: d.Released, Write: d.Write, Obeyed: d.Obeyed, Incomplete: d.Incomplete}
	for _, t := range d.Teams {
		stored.Teams = append(stored.Teams, storedTeamDemand{Team: t.Team, Use: storeAmount(t.Use), Waiting: storeAmount(t.Waiting), Next: storeAmount(t.Next)})
	}
	return stored
}

func decodeDemand(value []byte) (*work.Demand, error) {
	var stored storedDemand
	if err := json.Unmarshal(value, &stored); err != nil {
		return nil, err
	}
	demand := &work.Demand{Need: stored.Need, Have: stored.Have, Expected: stored.Expected, Released: stored.Released, Write: stored.Write, Obeyed: stored.Obeyed, Incomplete: stored.Incomplete}
	for _, t := range stored.Teams {
		if !t.Use.isValid() || !t.Waiting.isValid() || !t.Next.isValid() {
			return nil, errors.Newf("team %q: an amount is negative", t.Team)
		}
		demand.Teams = append(demand.Teams, work.TeamDemand{Team: t.Team, Use: t.Use.resources(), Waiting: t.Waiting.resources(), Next: t.Next.resources()})
	}
	return demand, nil
}

func storePart(partition int, p work.AllottedPart) storedPart {
	stored := storedPart{int64(partition), int64(p.Amount.MilliCores), int64(p.Amount.MemoryMB), int64(p.Amount.Accelerators)}
	if p.Held == p.Amount && p.Lowered == 0 {
		return stored
	}
	return append(stored, int64(p.Held.MilliCores), int64(p.Held.MemoryMB), int64(p.Held.Accelerators), p.Lowered)
}

// Lengths of a storedPart.
const (
	settledPart = 4
	pendingPart = 8
)

// decode returns false for a part of another length or with a negative number.
func (p storedPart) decode() (work.PartitionPart, bool) {
	if len(p) != settledPart && len(p) != pendingPart || slices.Min(p) < 0 {
		return work.PartitionPart{}, false
	}
	amount := func(at int) placement.Resources {
		return placement.Resources{MilliCores: int(p[at]), MemoryMB: int(p[at+1]), Accelerators: int(p[at+2])}
	}
	part := work.AllottedPart{Amount: amount(1), Held: amount(1)}
	if len(p) == pendingPart {
		part.Held, part.Lowered = amount(settledPart), p[pendingPart-1]
	}
	return work.PartitionPart{Partition: int(p[0]), AllottedPart: part}, true
}

func storeAllotment(a *work.Allotment) storedAllotment {
	stored := storedAllotment{Revision: a.Revision, Manifest: a.Manifest, Partitions: a.Partitions}
	for i := range a.Teams {
		t := &a.Teams[i]
		team := storedTeamAllotment{Team: t.Team, Cap: storeAmount(t.Cap), Default: storePart(0, t.Default)}
		for _, p := range t.Parts {
			team.Parts = append(team.Parts, storePart(p.Partition, p.AllottedPart))
		}
		stored.Teams = append(stored.Teams, team)
	}
	return stored
}

func decodeAllotment(value []byte) (*work.Allotment, error) {
	var stored storedAllotment
	if err := json.Unmarshal(value, &stored); err != nil {
		return nil, err
	}
	if stored.Revision < 1 || !slices.IsSorted(stored.Partitions) {
		return nil, errors.New("field Revision is missing, or the partitions are not in order")
	}
	a := &work.Allotment{Revision: stored.Revision, Manifest: stored.Manifest, Partitions: stored.Partitions}
	for _, t := range stored.Teams {
		rest, valid := t.Default.decode()
		team := work.TeamAllotment{Team: t.Team, Cap: t.Cap.resources(), Default: rest.AllottedPart}
		valid = valid && t.Cap.isValid()
		for _, stored := range t.Parts {
			part, ok := stored.decode()
			valid = valid && ok && part.Partition < len(a.Partitions)
			team.Parts = append(team.Parts, part)
		}
		if !valid || !slices.IsSortedFunc(team.Parts, func(x, y work.PartitionPart) int { return cmp.Compare(x.Partition, y.Partition) }) {
			return nil, errors.Newf("team %q: an amount or partition is out of range or order", t.Team)
		}
		a.Teams = append(a.Teams, team)
	}
	if !slices.IsSortedFunc(a.Teams, func(x, y work.TeamAllotment) int { return cmp.Compare(x.Team, y.Team) }) {
		return nil, errors.New("the teams are not in order")
	}
	return a, nil
}
