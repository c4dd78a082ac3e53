package wave

import "github.com/waxwingbridge/waxwingbridge/fleet"

// haltReason returns why the wave has to halt, or the empty reason.
func haltReason(view *Input) Reason {
	wave := view.Tables.Wave
	most := max(1, view.Effective.Site().HaltAfterFailures)
	racks := map[fleet.RackKey]int{}
	for _, failure := range wave.FailedWorkers {
		key := fleet.RackKey{AvailabilityZone: failure.AvailabilityZone, Rack: failure.Rack}
		racks[key]++
		if racks[key] >= most {
			return ReasonRackFailures
		}
	}
	if wave.BatchFailures >= most {
		return ReasonBatchFailures
	}
	if zoneLost(view.Tables) {
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
