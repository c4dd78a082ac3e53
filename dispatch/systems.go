package dispatch

import "github.com/waxwingbridge/waxwingbridge/engine"

// Systems lists the systems in the order in which they run. What frees
// capacity comes before placement, and the writes come last, so that they
// contain every change of the tick.
var Systems = []engine.System[State]{
	{Name: "load jobs of owned pools", Run: loadJobs},
	{Name: "settle runs of earlier owners", Run: settlePools},
	{Name: "give up runs whose lease has lapsed", Run: expireRuns},
	{Name: "open stages that are due", Run: openDue},
	{Name: "evict workers under maintenance", Run: evictWorkers},
	{Name: "place ready tasks", Run: placeTasks},
	{Name: "stop runs", Run: stopRuns},
	{Name: "pace fillers", Run: paceFillers},
	{Name: "look at workers", Run: lookAtWorkers},
	{Name: "report demand", Run: reportDemand},
	{Name: "save contacts", Run: saveContacts},
	{Name: "save progress", Run: saveProgress},
	{Name: "retire jobs", Run: retireJobs},
	{Name: "remove old records", Run: removeOldRecords},
}
