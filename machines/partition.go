package machines

import (
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/events"
	"github.com/waxwingbridge/waxwingbridge/ledger"
	"github.com/waxwingbridge/waxwingbridge/work"
)

// undividedAfter is how long the first owner of the fleet waits for a list of
// machines before it leaves the pools whole: nobody serves them meanwhile.
const undividedAfter = 4 * time.Second

// dividePools decides, once in the life of a site, into how many partitions
// its pools are divided.
func dividePools(s *State, tick engine.Tick) {
	if !s.commands(tick.Now) || s.Partitions != nil || s.dividing != 0 || tick.Now.Before(s.divideAt) {
		return
	}
	if s.machines == nil && tick.Now.Before(s.Ownership.Since.Add(undividedAfter)) {
		return
	}
	count := map[string]int{}
	for _, m := range s.machines {
		count[m.Pool]++
	}
	partitions := work.PartitionsFor(count)
	key := ledger.Key{Kind: ledger.KindPartitions, Name: partitionsRecord}
	s.dividing = s.NextWrite()
	s.Writes.Add(ledger.Write{
		ID: s.dividing, NotAfter: s.Ownership.ValidUntil, Expect: []ledger.Condition{s.fence(), {Key: key}},
		Put: []ledger.Put{{Key: key, Content: &partitions}},
	})
	s.log(events.PoolsDivided, events.F("machines", len(s.machines)), events.F("partitions", partitions))
}

// partitionsRecord is the name of the only record of its kind.
const partitionsRecord = "pools"
