package work

import (
	"fmt"
	"slices"
	"testing"
)

// Guards against a partition that no owner would claim, and against one that
// holds most of a pool.
func TestPartitionsShareAPool(t *testing.T) {
	p := PartitionsFor(map[string]int{"small": 12, "limit": 48, "large": 150})
	if p["small"] != 0 || p["limit"] != 0 || p["large"] != 4 {
		t.Fatalf("partitions are %v", p)
	}
	if duty := p.PartitionOf("small", "m-1"); duty != "small" || !slices.Equal(p.PartitionsOf("small"), []string{"small"}) {
		t.Errorf("the duty of a whole pool is %q", duty)
	}
	counts := map[string]int{}
	for i := range 1000 {
		counts[p.PartitionOf("large", fmt.Sprintf("m-%d", i))]++
	}
	duties := p.PartitionsOf("large")
	if len(duties) != 4 || len(counts) != 4 {
		t.Fatalf("duties %v, used %v", duties, counts)
	}
	for _, duty := range duties {
		if counts[duty] < 200 || counts[duty] > 300 {
			t.Errorf("%s has %d of 1000 machines", duty, counts[duty])
		}
		if PoolOf(duty) != "large" {
			t.Errorf("the pool of %s is %s", duty, PoolOf(duty))
		}
	}
}
