package wave

import "github.com/waxwingbridge/waxwingbridge/fleet"

// haltReason returns why the wave has to halt, or the empty reason.
func haltReason(input *Input) Reason {
	wave := input.Tables.Wave
	limit := max(1, input.Effective.Site().HaltAfterFailures)
	racks := map[fleet.RackKey]int{}
	for _, failure := range wave.FailedWorkers {
		key := fleet.RackKey{AvailabilityZone: failure.AvailabilityZone, Rack: failure.Rack}
		racks[key]++
		if racks[key] >= limit {
			return ReasonRackFailures
		}
	}
	if wave.BatchFailures >= limit {
		return ReasonBatchFailures
	}
	if zoneLost(input.Tables) {
		return ReasonZoneLost
	}
	return ""
}

// zoneLost reports whether more than half of the workers of an availability
// zone, and at least two, are suspected or failed.
func zoneLost(t *fleet.Tables) bool {
	size, lost := map[string]int{}, map[string]int{}
	for _, row := range t.Workers.All() {
		size[row.AvailabilityZone]++
		if row.State == fleet.Suspected || row.State == fleet.Failed {
			lost[row.AvailabilityZone]++
		}
	}
	for zone, count := range lost {
		if count >= 2 && 2*count > size[zone] {
			return true
		}
	}
	return false
}
