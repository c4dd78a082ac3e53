package machines

import (
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/events"
	"github.com/waxwingbridge/waxwingbridge/ledger"
	"github.com/waxwingbridge/waxwingbridge/work"
)

// partitionListTimeout is how long the first owner of the fleet waits for a machine
// list before it leaves all pools undivided: until this is decided, no process
// serves them.
const partitionListTimeout = 4 * time.Second

// partitionPools decides, once in the lifetime of a site, into how many partitions
// each pool is divided.
func partitionPools(s *State, tick engine.Tick) {
	if !s.ownsFleet(tick.Now) || s.Partitions != nil || s.partitionsWrite != 0 || tick.Now.Before(s.partitionsRetryAt) {
		return
	}
	if s.machines == nil && tick.Now.Before(s.Ownership.Since.Add(partitionListTimeout)) {
		return
	}
	machineCount := map[string]int{}
	for _, m := range s.machines {
		machineCount[m.Pool]++
	}
	partitions := work.PartitionsFor(machineCount)
	key := ledger.Key{Kind: ledger.KindPartitions, Name: partitionsRecord}
	s.partitionsWrite = s.NextWrite()
	s.Writes.Add(ledger.Write{
		ID: s.partitionsWrite, NotAfter: s.Ownership.ValidUntil, Expect: []ledger.Condition{s.fenceCondition(), {Key: key}},
		Put: []ledger.Put{{Key: key, Content: &partitions}},
	})
	s.log(events.PoolsDivided, events.F("machines", len(s.machines)), events.F("partitions", partitions))
}

// partitionsRecord is the name of the only record of kind KindPartitions.
const partitionsRecord = "pools"
