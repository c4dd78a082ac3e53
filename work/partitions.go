package work

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Partitions holds the number of partitions into which the machines and jobs of
// each pool are divided; pools that are not listed have one. Each partition has
// its own owner, so that no single node has to control a large pool. The numbers
// are powers of two.
type Partitions map[string]int

const (
	// maxPartitionMachines is the size up to which a pool has one partition. With
	// 0.4 cores, the owner of a pool of 77 machines, which grows to 160 at its
	// peak load, falls behind. Partitions of 20 machines, on the other hand, have
	// too few workers for steps that are spread over 28.
	maxPartitionMachines = 48
	partitionSeparator   = "#"
)

// PartitionsFor divides pools by their numbers of machines.
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

// PartitionOf returns the name of the partition to which a job or a machine of
// the pool belongs. The key is the job's ID or the machine's name.
func (p Partitions) PartitionOf(pool, key string) string {
	parts := p[pool]
	if parts <= 1 {
		return pool
	}
	return partitionName(pool, int(xxhash.Sum64String(key)%uint64(parts)))
}

// PartitionsOf returns the names of all partitions of a pool.
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

// PoolOf returns the name of the pool of a partition.
func PoolOf(partition string) string {
	pool, _, _ := strings.Cut(partition, partitionSeparator)
	return pool
}
