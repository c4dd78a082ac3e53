package dispatch

import "github.com/waxwingbridge/waxwingbridge/engine"

// Systems lists the systems in the order in which they run. Systems that free
// capacity run before placement, and those that write to the store run last, so
// that the writes contain every change of the tick.
var Systems = []engine.System[State]{
	{Name: "load jobs of owned pools", Run: loadJobs},
	{Name: "reconcile runs of earlier owners", Run: reconcilePools},
	{Name: "give up runs with an expired lease", Run: expireRuns},
	{Name: "open occurrences that are due", Run: openScheduledOccurrences},
	{Name: "unblock stages that are due", Run: unblockDueStages},
	{Name: "evict workers under maintenance", Run: evictWorkers},
	{Name: "observe interference", Run: observeInterference},
	{Name: "forgive slow workers", Run: forgiveSlowWorkers},
	{Name: "restart runs of slow workers", Run: restartSlowRuns},
	{Name: "place ready tasks", Run: placeTasks},
	{Name: "log stages that are held up", Run: logHeldUpStages},
	{Name: "end waits for caps", Run: endCapWaits},
	{Name: "stop runs", Run: stopRuns},
	{Name: "adjust speed of best-effort runs", Run: adjustBestEffortSpeed},
	{Name: "poll workers", Run: pollWorkers},
	{Name: "report demand", Run: reportDemand},
	{Name: "save contacts", Run: saveContacts},
	{Name: "save progress", Run: saveProgress},
	{Name: "remove finished jobs", Run: removeFinishedJobs},
	{Name: "remove old records", Run: removeOldRecords},
}
