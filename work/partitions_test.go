package work

import (
	"fmt"
	"slices"
	"testing"
)

// Guards against a partition that is not among the listed ones, so that no owner
// would claim it, and against one that holds most of a pool.
func TestPartitionsDivideAPoolEvenly(t *testing.T) {
	p := PartitionsFor(map[string]int{"small": 12, "limit": 48, "large": 150})
	if p["small"] != 0 || p["limit"] != 0 || p["large"] != 4 {
		t.Fatalf("partitions are %v, want only 4 of the large pool", p)
	}
	if partition := p.PartitionOf("small", "m-1"); partition != "small" || !slices.Equal(p.PartitionsOf("small"), []string{"small"}) {
		t.Errorf("the partition of an undivided pool is %q, want small", partition)
	}
	counts := map[string]int{}
	for i := range 1000 {
		counts[p.PartitionOf("large", fmt.Sprintf("m-%d", i))]++
	}
	names := p.PartitionsOf("large")
	if len(names) != 4 || len(counts) != 4 {
		t.Fatalf("partitions are %v, machines per partition %v, want 4 of each", names, counts)
	}
	for _, name := range names {
		if counts[name] < 200 || counts[name] > 300 {
			t.Errorf("%s has %d of 1000 machines, want 200 to 300", name, counts[name])
		}
		if PoolOf(name) != "large" {
			t.Errorf("the pool of %s is %s, want large", name, PoolOf(name))
		}
	}
}
