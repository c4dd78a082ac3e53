package admission

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// A rejected caller is told to return in its slot: a second of the wall clock whose number
// agrees with the hash of the job's ID. Each process can tell from the ID and its own clock
// whether a caller may have been told to return now, without any exchange. New callers are
// in their slot by chance, one in returnSlots.
const (
	// returnSlots is the number of slots, and the longest time in seconds until the next
	// slot of a job. Callers give up after a few seconds.
	returnSlots = 4
	// slotTolerance is how long after its slot a caller counts as due: it has been told a
	// whole number of seconds, and its call takes time.
	slotTolerance = 300 * time.Millisecond
)

// inSlot reports whether a time is in a slot of the job.
func inSlot(job string, at time.Time) bool {
	return uint64(at.Unix())%returnSlots == xxhash.Sum64String(job)%returnSlots
}

// isDue reports whether a caller may have returned because it was told to.
func isDue(submission Submission) bool {
	return inSlot(submission.Job.ID, submission.TimeOfDay) ||
		inSlot(submission.Job.ID, submission.TimeOfDay.Add(-slotTolerance))
}

// returnDelay returns when a rejected caller should return: in the next slot of the job.
// Slots spread those who are rejected together over all returnSlots seconds, also when
// room is expected earlier: with a shorter spread every caller would be due, and none
// preferred.
func returnDelay(submission Submission) time.Duration {
	for delay := minRetryDelay; delay < maxRetryDelay; delay += time.Second {
		if inSlot(submission.Job.ID, submission.TimeOfDay.Add(delay)) {
			return delay
		}
	}
	return maxRetryDelay
}
