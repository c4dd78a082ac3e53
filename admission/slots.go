package admission

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// A rejected caller is told to return in its slot: a second of the wall clock whose number
// agrees with the hash of the job's ID, modulo the number of slots. Each process can tell
// from the ID, its clock and the expected room whether a caller may have been told to
// return now, without any exchange. New callers are in their slot by chance; with a single
// slot all callers are.
const (
	// maxSlots is the largest number of slots, and the longest time in seconds until the
	// next slot of a job. Callers give up after a few seconds.
	maxSlots = 4
	// slotTolerance is how long after its slot a caller counts as due: it has been told a
	// whole number of seconds, and its call takes time.
	slotTolerance = 300 * time.Millisecond
)

// slotsFor returns the number of slots over which callers are spread if room is expected
// after a time: 1, 2 or 4. A slot of four is also one of two, so that a caller stays due
// when the excess has shrunk meanwhile.
func slotsFor(room time.Duration) int {
	slots := 1
	for slots < maxSlots && time.Duration(slots)*time.Second < room {
		slots *= 2
	}
	return slots
}

// inSlot reports whether a time is in a slot of the job.
func inSlot(job string, at time.Time, slots int) bool {
	return uint64(at.Unix())%uint64(slots) == xxhash.Sum64String(job)%uint64(slots)
}

// isDue reports whether a caller may have returned because it was told to.
func isDue(submission Submission, slots int) bool {
	return inSlot(submission.Job.ID, submission.TimeOfDay, slots) ||
		inSlot(submission.Job.ID, submission.TimeOfDay.Add(-slotTolerance), slots)
}

// returnDelay returns when a rejected caller should return: in the next slot of the job.
func returnDelay(submission Submission, slots int) time.Duration {
	for delay := minRetryDelay; delay < maxRetryDelay; delay += time.Second {
		if inSlot(submission.Job.ID, submission.TimeOfDay.Add(delay), slots) {
			return delay
		}
	}
	return maxRetryDelay
}
