package budget

import (
	"github.com/waxwingbridge/waxwingbridge/fleet"
	"github.com/waxwingbridge/waxwingbridge/policy"
)

// Sample is the demand of all pools at one moment.
type Sample = Demand

// Buffer is the number of spare workers that the site needs, with the figures it
// results from.
type Buffer struct {
	LargestDomain int // workers of the largest failure domain, lost at once
	JointDemand   int // workers that the largest joint demand of the history needs
	Capacity      int // workers of the pools other than the spare pool
	// Required is the number of spare workers that cover the loss of the largest
	// domain under the largest joint demand.
	Required int
	// RequiredSeparately is the sum for pools that each have a buffer of their own,
	// sized for their own largest demand. The difference is what sharing saves.
	RequiredSeparately int
}

// JointBuffer computes the size of the buffer shared by the pools. The demand of a
// sample is capped at what its pool can serve, because a spare worker outside the
// pool cannot serve the excess of a peak that lasts seconds. The maximum is taken
// over the sum of the pools, because their peaks do not coincide.
func JointBuffer(t *fleet.Tables, effective *policy.Effective, history []Sample) Buffer {
	sizes, domains := map[string]int{}, map[fleet.RackKey]int{}
	domainsByPool := map[string]map[fleet.RackKey]int{}
	byZone := effective.Site().SurviveLossOf == policy.DomainZone
	for _, row := range t.Workers.All() {
		key := fleet.RackKey{AvailabilityZone: row.AvailabilityZone, Rack: row.Rack}
		if byZone {
			key.Rack = ""
		}
		domains[key]++
		sizes[row.Pool]++
		if domainsByPool[row.Pool] == nil {
			domainsByPool[row.Pool] = map[fleet.RackKey]int{}
		}
		domainsByPool[row.Pool][key]++
	}
	buffer := Buffer{LargestDomain: maxCount(domains)}
	for _, spec := range effective.Pools() {
		if spec.Spare {
			continue
		}
		buffer.Capacity += sizes[spec.Name]
		values, _ := effective.Pool(spec.Name)
		poolPeak := maxWorkers(history, func(s Sample) int { return workersForDemand(s, spec.Name, values, sizes[spec.Name]) })
		buffer.RequiredSeparately += max(0, poolPeak+maxCount(domainsByPool[spec.Name])-sizes[spec.Name])
	}
	buffer.JointDemand = maxWorkers(history, func(s Sample) int { return jointDemand(s, effective, sizes) })
	buffer.Required = max(0, buffer.JointDemand+buffer.LargestDomain-buffer.Capacity)
	return buffer
}

func jointDemand(sample Sample, effective *policy.Effective, sizes map[string]int) int {
	sum := 0
	for _, spec := range effective.Pools() {
		if !spec.Spare {
			values, _ := effective.Pool(spec.Name)
			sum += workersForDemand(sample, spec.Name, values, sizes[spec.Name])
		}
	}
	return sum
}

func workersForDemand(sample Sample, pool string, values policy.Pool, size int) int {
	return min(size, NeededWorkers(sample[pool], values))
}

func maxWorkers(history []Sample, demand func(Sample) int) int {
	most := 0
	for _, sample := range history {
		most = max(most, demand(sample))
	}
	return most
}

func maxCount[K comparable](counts map[K]int) int {
	most := 0
	for _, count := range counts {
		most = max(most, count)
	}
	return most
}
