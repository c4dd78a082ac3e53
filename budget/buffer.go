package budget

import (
	"github.com/waxwingbridge/waxwingbridge/fleet"
	"github.com/waxwingbridge/waxwingbridge/policy"
)

// Sample is the demand of all pools at one moment.
type Sample = Demand

// Buffer is the number of spare workers that the site needs.
type Buffer struct {
	LargestDomain int // workers of the largest failure domain, lost at once
	JointDemand   int // workers that the largest joint demand of the history needs
	Capacity      int // workers of the pools other than the spare pool
	// Required is how many spare workers the loss of the largest domain takes
	// under the largest joint demand.
	Required int
	// RequiredSeparately is the same for pools that share nothing, each sized for
	// its own largest demand; it shows what sharing saves.
	RequiredSeparately int
}

// JointBuffer sizes the buffer shared by the pools. The demand of a sample is
// capped at what its pool can serve, because a spare worker that is not in the
// pool cannot serve the excess of a peak of seconds. The maximum is taken over
// the sum of the pools, because they do not peak together.
func JointBuffer(t *fleet.Tables, effective *policy.Effective, history []Sample) Buffer {
	sizes, domains := map[string]int{}, map[fleet.RackKey]int{}
	perPool := map[string]map[fleet.RackKey]int{}
	byZone := effective.Site().SurviveLossOf == policy.DomainZone
	for _, row := range t.Workers.All() {
		key := fleet.RackKey{AvailabilityZone: row.AvailabilityZone, Rack: row.Rack}
		if byZone {
			key.Rack = ""
		}
		domains[key]++
		sizes[row.Pool]++
		if perPool[row.Pool] == nil {
			perPool[row.Pool] = map[fleet.RackKey]int{}
		}
		perPool[row.Pool][key]++
	}
	buffer := Buffer{LargestDomain: largest(domains)}
	for _, spec := range effective.Pools() {
		if spec.Spare {
			continue
		}
		buffer.Capacity += sizes[spec.Name]
		values, _ := effective.Pool(spec.Name)
		own := peak(history, func(s Sample) int { return served(s, spec.Name, values, sizes[spec.Name]) })
		buffer.RequiredSeparately += max(0, own+largest(perPool[spec.Name])-sizes[spec.Name])
	}
	buffer.JointDemand = peak(history, func(s Sample) int { return jointDemand(s, effective, sizes) })
	buffer.Required = max(0, buffer.JointDemand+buffer.LargestDomain-buffer.Capacity)
	return buffer
}

func jointDemand(sample Sample, effective *policy.Effective, sizes map[string]int) int {
	sum := 0
	for _, spec := range effective.Pools() {
		if !spec.Spare {
			values, _ := effective.Pool(spec.Name)
			sum += served(sample, spec.Name, values, sizes[spec.Name])
		}
	}
	return sum
}

func served(sample Sample, pool string, values policy.Pool, size int) int {
	return min(size, NeededWorkers(sample[pool], values))
}

func peak(history []Sample, demand func(Sample) int) int {
	most := 0
	for _, sample := range history {
		most = max(most, demand(sample))
	}
	return most
}

func largest[K comparable](counts map[K]int) int {
	most := 0
	for _, count := range counts {
		most = max(most, count)
	}
	return most
}
