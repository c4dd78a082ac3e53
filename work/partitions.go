package work

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Partitions tells into how many partitions the machines and jobs of each pool
// are divided; pools that are not listed have one. Each partition has an owner
// of its own, so that no machine carries a large pool alone. The numbers are
// powers of two.
type Partitions map[string]int

const (
	// maxPartitionMachines is the size up to which a pool stays whole. The
	// owner of a pool of 77 machines, 160 in its turn of the demand, falls
	// behind on 0.4 cores; partitions of 20 machines have too few workers for
	// steps that are spread over 28.
	maxPartitionMachines = 48
	partitionSeparator   = "#"
)

// PartitionsFor divides pools of the given numbers of machines.
func PartitionsFor(machines map[string]int) Partitions {
	p := Partitions{}
	for pool, n := range machines {
		parts := 1
		for n > parts*maxPartitionMachines {
			parts *= 2
		}
		if parts > 1 {
			p[pool] = parts
		}
	}
	return p
}

// PartitionOf names the partition of a pool that a job, by its ID, or a machine, by
// its name, belongs to.
func (p Partitions) PartitionOf(pool, key string) string {
	parts := p[pool]
	if parts <= 1 {
		return pool
	}
	return partitionName(pool, int(xxhash.Sum64String(key)%uint64(parts)))
}

// PartitionsOf names all partitions of a pool.
func (p Partitions) PartitionsOf(pool string) []string {
	if p[pool] <= 1 {
		return []string{pool}
	}
	names := make([]string, p[pool])
	for i := range names {
		names[i] = partitionName(pool, i)
	}
	return names
}

func partitionName(pool string, part int) string {
	return pool + partitionSeparator + strconv.Itoa(part)
}

// PoolOf returns the pool of a partition.
func PoolOf(duty string) string {
	pool, _, _ := strings.Cut(duty, partitionSeparator)
	return pool
}
