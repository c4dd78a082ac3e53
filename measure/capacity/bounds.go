package main

import (
	"fmt"
	"io"
	"strings"

	"github.com/waxwingbridge/waxwingbridge/store"
)

// Bounds of the control plane per node, and of the store.
const (
	maxCorePercent          = 2.6 // of a core
	maxStateMB              = 256
	maxKBPerSecond          = 11  // sent and received together
	maxStoreWritesPerSecond = 500 // stated as "several hundred"
	maxStoreReadsPerSecond  = 2000
)

// Rates that do not depend on the size of the site.
const (
	idleStoreKBPerSecond = 0.5 // watch progress, lease and registrations
	taskListsPerSecond   = 1.0
	memberListsPerSecond = 0.1 // per process
	renewalsPerSecond    = 0.6 // of a controller's lease
	workerQueryKB        = 0.7 // a query about one worker and its response
)

type boundCheck struct {
	name         string
	value, bound float64
}

// busyRoleCost returns the cost of a role on a busy site with a wave at full speed, in
// percent of a core and in KB/s.
func busyRoleCost(r *report, role string, x float64) (core, kbPerSecond float64) {
	writes := r.at("fleet document: writes", x)
	core = r.at(role+": control loop", x) + r.at("peer exchange: encode and decode", x) +
		(listsPerSecond*r.at("VM list: decode", x)+writes*r.at("fleet document: decode", x))/millisecondsPerPercent
	kbPerSecond = r.at(role+": exchange sent", x) + r.at(role+": exchange received", x) + idleStoreKBPerSecond +
		listsPerSecond*r.at("VM list: size compressed", x) + writes*r.at("fleet document: size as stored, in base64", x)
	switch role {
	case "gateway":
		core += r.at("traffic shards: adopt snapshots", x)
	case "active":
		core += writes * r.at("fleet document: encode", x) / millisecondsPerPercent
		kbPerSecond += writes*r.at("fleet document: size as stored, in base64", x) + r.at("platform: worker questions", x)*workerQueryKB
	}
	return core, kbPerSecond
}

// jobCost returns what job pages and the task list add to the active controller. The
// systems for jobs are already part of the control loop.
func jobCost(r *report, x float64) (core, kbPerSecond float64) {
	core = r.at("job pages: encode", x) + taskListsPerSecond*r.at("task list: decode", x)/millisecondsPerPercent
	kbPerSecond = taskListsPerSecond*r.at("task list: size", x) + r.at("job pages: writes", x)*r.at("job pages: size of a write, in base64", x)
	return core, kbPerSecond
}

// millisecondsPerPercent is one percent of a core during one second.
const millisecondsPerPercent = 10

func writeBounds(w io.Writer, idle, busy *report) error {
	for _, place := range []siteSize{regionSite, wholeSite} {
		x := float64(place.workers)
		if _, err := fmt.Fprintf(w, "\nbounds, from the fitted lines at %d workers\n\n", place.workers); err != nil {
			return err
		}
		var t strings.Builder
		for _, v := range boundChecks(idle, busy, place, x) {
			word := "kept"
			if v.value > v.bound {
				word = "BROKEN"
			}
			fmt.Fprintf(&t, "%s\t%.3g\tat most %g\t%s\n", v.name, v.value, v.bound, word)
		}
		if err := writeTable(w, t.String(), 0); err != nil {
			return err
		}
	}
	return nil
}

func boundChecks(idle, busy *report, z siteSize, x float64) []boundCheck {
	var rows []boundCheck
	for _, role := range []string{"gateway", "standby", "active"} {
		quiet := idle.at(role+": exchange sent", x) + idle.at(role+": exchange received", x) + idleStoreKBPerSecond
		core, kbPerSecond := busyRoleCost(busy, role, x)
		rows = append(rows,
			boundCheck{role + ", idle: exchange, store and unchanged list, KB/s", quiet, maxKBPerSecond},
			boundCheck{role + ", every queue and worker changing, wave at full speed: KB/s", kbPerSecond, maxKBPerSecond},
			boundCheck{role + ", the same without the wave's writes: KB/s", kbPerSecond - waveKBPerSecond(busy, role, x), maxKBPerSecond},
			boundCheck{role + ", busy: % core", core, maxCorePercent},
			boundCheck{role + ", busy: state in MB", busy.at(role+": state", x), maxStateMB},
		)
	}
	core, kbPerSecond := jobCost(busy, x)
	rows = append(rows, boundCheck{"active, added by jobs: KB/s", kbPerSecond, maxKBPerSecond}, boundCheck{"active, added by jobs: % core", core, maxCorePercent})
	processes := float64(z.gateways + z.controllers)
	const historyAndDocument = 2 // writes of a configuration change
	writes := processes*renewalsPerSecond + busy.at("fleet document: writes", x) + busy.at("job pages: writes", x) +
		historyAndDocument*configChangesPerDay/day.Seconds()
	return append(rows,
		boundCheck{"store, busy: writes a second", writes, maxStoreWritesPerSecond},
		boundCheck{"store, busy: writes a second of the active controller", writes - (processes-1)*renewalsPerSecond, store.DefaultRateLimits.WritesPerSecond},
		boundCheck{"store, busy: reads a second", processes*memberListsPerSecond + configChangesPerDay/day.Seconds(), maxStoreReadsPerSecond},
		boundCheck{"store budgets of 16 processes: writes a second", 16 * store.DefaultRateLimits.WritesPerSecond, maxStoreWritesPerSecond},
		boundCheck{"store budgets of 16 processes: reads a second", 16 * store.DefaultRateLimits.ReadsPerSecond, maxStoreReadsPerSecond},
	)
}

// waveKBPerSecond returns the traffic that the writes of a wave add.
func waveKBPerSecond(r *report, role string, x float64) float64 {
	kbPerSecond := r.at("fleet document: writes", x) * r.at("fleet document: size as stored, in base64", x)
	if role == "active" {
		return 2*kbPerSecond + r.at("platform: worker questions", x)*workerQueryKB // writes the document and receives it from its watch
	}
	return kbPerSecond
}
