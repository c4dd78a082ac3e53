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
		Default storedPart   `json:"D"`
		Parts   []storedPart `json:"P,omitempty"`
	}
	storedPart struct {
		Partition int          `json:"I,omitempty"`
		Amount    storedAmount `json:"A,omitzero"`
		Held      storedAmount `json:"H,omitzero"` // omitted if it equals Amount
		Lowered   int64        `json:"L,omitempty"`
	}
)

func storeAmount(r placement.Resources) storedAmount {
	return storedAmount{r.MilliCores, r.MemoryMB, r.Accelerators}
}

func (a storedAmount) resources() placement.Resources {
	return placement.Resources{MilliCores: a[0], MemoryMB: a[1], Accelerators: a[2]}
}

func (a storedAmount) isValid() bool { return a[0] >= 0 && a[1] >= 0 && a[2] >= 0 }

func storeDemand(d *work.Demand) storedDemand {
	stored := storedDemand{Need: d.Need, Have: d.Have, Expected: d.Expected, Released: d.Released, Obeyed: d.Obeyed, Incomplete: d.Incomplete}
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
	demand := &work.Demand{Need: stored.Need, Have: stored.Have, Expected: stored.Expected, Released: stored.Released, Obeyed: stored.Obeyed, Incomplete: stored.Incomplete}
	for _, t := range stored.Teams {
		if !t.Use.isValid() || !t.Waiting.isValid() || !t.Next.isValid() {
			return nil, errors.Newf("team %q: an amount is negative", t.Team)
		}
		demand.Teams = append(demand.Teams, work.TeamDemand{Team: t.Team, Use: t.Use.resources(), Waiting: t.Waiting.resources(), Next: t.Next.resources()})
	}
	return demand, nil
}

func storePart(partition int, p work.AllottedPart) storedPart {
	stored := storedPart{Partition: partition, Amount: storeAmount(p.Amount), Lowered: p.Lowered}
	if p.Held != p.Amount {
		stored.Held = storeAmount(p.Held)
	}
	return stored
}

func (p storedPart) part() work.AllottedPart {
	part := work.AllottedPart{Amount: p.Amount.resources(), Held: p.Held.resources(), Lowered: p.Lowered}
	if p.Held == (storedAmount{}) {
		part.Held = part.Amount
	}
	return part
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
		team := work.TeamAllotment{Team: t.Team, Cap: t.Cap.resources(), Default: t.Default.part()}
		valid := t.Cap.isValid() && t.Default.Amount.isValid() && t.Default.Held.isValid()
		for _, p := range t.Parts {
			valid = valid && p.Amount.isValid() && p.Held.isValid() && p.Partition >= 0 && p.Partition < len(stored.Partitions)
			team.Parts = append(team.Parts, work.PartitionPart{Partition: p.Partition, AllottedPart: p.part()})
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
