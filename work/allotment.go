package work

import (
	"cmp"
	"slices"

	"github.com/waxwingbridge/waxwingbridge/placement"
)

// Allotment is the durable record of the amounts of the teams' caps that the owner of the
// fleet has lent to partitions. It is immutable.
type Allotment struct {
	// Revision counts the versions of the record. Reports of partitions name the one that
	// their owner obeys.
	Revision int64
	// Manifest is the version of the manifest from which the amounts were computed.
	Manifest   int64
	Partitions []string        // in ascending order
	Teams      []TeamAllotment // in ascending order of Team
}

// TeamAllotment holds the amounts of one team's cap.
type TeamAllotment struct {
	Team    string
	Cap     placement.Resources // the cap from which the amounts were computed
	Default AllottedPart        // of all partitions without an entry in Parts
	Parts   []PartitionPart     // in ascending order of Partition
}

// PartitionPart is the part of a partition that differs from the default.
type PartitionPart struct {
	Partition int // index in Allotment.Partitions
	AllottedPart
}

// AllottedPart is the part of a team's cap that a partition may use.
type AllottedPart struct {
	Amount placement.Resources
	// Held counts against the cap: it is above Amount until a report has shown that the
	// partition obeys Amount and that its use fits.
	Held    placement.Resources
	Lowered int64 // revision of the allotment that last lowered Amount
}

// Team returns the amounts of a team, or nil.
func (a *Allotment) Team(team string) *TeamAllotment {
	if a == nil {
		return nil
	}
	i, found := slices.BinarySearchFunc(a.Teams, team, func(t TeamAllotment, name string) int { return cmp.Compare(t.Team, name) })
	if !found {
		return nil
	}
	return &a.Teams[i]
}

// Part returns the part of a partition in the cap of a team in the record. A partition
// that the record does not name has none.
func (a *Allotment) Part(t *TeamAllotment, partition string) AllottedPart {
	i, found := slices.BinarySearch(a.Partitions, partition)
	if !found {
		return AllottedPart{}
	}
	return t.Part(i)
}

// Part returns the part of the partition with the index.
func (t *TeamAllotment) Part(partition int) AllottedPart {
	i, found := slices.BinarySearchFunc(t.Parts, partition, func(p PartitionPart, n int) int { return cmp.Compare(p.Partition, n) })
	if !found {
		return t.Default
	}
	return t.Parts[i].AllottedPart
}

// startingDivisor divides the equal part of a cap. The rest of the cap is not lent until a
// partition asks for it, so that no other one has to give up room first.
const startingDivisor = 2

// StartingAmount returns the part of a cap that each of n partitions has without a record.
func StartingAmount(limit placement.Resources, n int) placement.Resources {
	n = startingDivisor * max(1, n)
	return placement.Resources{MilliCores: limit.MilliCores / n, MemoryMB: limit.MemoryMB / n, Accelerators: limit.Accelerators / n}
}

// TeamDemand is what a team uses and lacks in a partition.
type TeamDemand struct {
	Team string
	Use  placement.Resources // of all runs that may exist
	// Waiting is the size of the tasks that only the cap keeps from starting.
	Waiting placement.Resources
	// Next is what the first of them needs: one task, or all members of a gang.
	Next placement.Resources
}
