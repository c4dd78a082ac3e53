package main

import (
	"fmt"
	"io"
	"strings"

	"github.com/waxwingbridge/waxwingbridge/store"
)

// The bounds of control per node, and of the store.
const (
	boundCore   = 2.6 // percent of a core
	boundMemory = 256 // MB
	boundBytes  = 11  // KB a second, both directions
	boundWrites = 500 // a second; "several hundred"
	boundReads  = 2000
)

// Rates that do not depend on the size of the site.
const (
	idleStoreBytes = 0.5 // KB/s: watch progress, lease and registrations, as the process check shows
	taskLists      = 1.0 // a second
	registrations  = 0.1 // lists a second
	renewalRate    = 0.6 // of a controller's lease, a second
	questionBytes  = 0.7 // KB of a direct question about a worker and its answer
)

type verdict struct {
	name         string
	value, bound float64
}

// total is what a role spends in a busy site with a wave at full speed.
func total(r *report, role string, x float64) (core, bytes float64) {
	writes := r.at("fleet document: writes", x)
	core = r.at(role+": control loop", x) + r.at("peer exchange: encode and decode", x) +
		(listRate*r.at("VM list: decode", x)+writes*r.at("fleet document: decode", x))/millisecondsPerPercent
	bytes = r.at(role+": exchange sent", x) + r.at(role+": exchange received", x) + idleStoreBytes +
		listRate*r.at("VM list: size compressed", x) + writes*r.at("fleet document: size as stored, in base64", x)
	switch role {
	case "gateway":
		core += r.at("traffic shards: adopt snapshots", x)
	case "active":
		core += writes * r.at("fleet document: encode", x) / millisecondsPerPercent
		bytes += writes*r.at("fleet document: size as stored, in base64", x) + r.at("platform: worker questions", x)*questionBytes
	}
	return core, bytes
}

// jobs is what job pages and the task list add to the active controller, besides
// the control loop, which contains their systems.
func jobs(r *report, x float64) (core, bytes float64) {
	core = r.at("job pages: encode", x) + taskLists*r.at("task list: decode", x)/millisecondsPerPercent
	bytes = taskLists*r.at("task list: size", x) + r.at("job pages: writes", x)*r.at("job pages: size of a write, in base64", x)
	return core, bytes
}

// millisecondsPerPercent of a core in one second.
const millisecondsPerPercent = 10

func writeBounds(w io.Writer, idle, busy *report) error {
	for _, place := range []size{regionSize, wholeSize} {
		x := float64(place.workers)
		if _, err := fmt.Fprintf(w, "\nbounds, from the fitted lines at %d workers\n\n", place.workers); err != nil {
			return err
		}
		var t strings.Builder
		for _, v := range verdicts(idle, busy, place, x) {
			word := "kept"
			if v.value > v.bound {
				word = "BROKEN"
			}
			fmt.Fprintf(&t, "%s\t%.3g\tat most %g\t%s\n", v.name, v.value, v.bound, word)
		}
		if err := aligned(w, t.String(), 0); err != nil {
			return err
		}
	}
	return nil
}

func verdicts(idle, busy *report, z size, x float64) []verdict {
	var rows []verdict
	for _, role := range []string{"gateway", "standby", "active"} {
		quiet := idle.at(role+": exchange sent", x) + idle.at(role+": exchange received", x) + idleStoreBytes
		core, bytes := total(busy, role, x)
		rows = append(rows,
			verdict{role + ", idle: exchange, store and unchanged list, KB/s", quiet, boundBytes},
			verdict{role + ", every queue and worker changing, wave at full speed: KB/s", bytes, boundBytes},
			verdict{role + ", the same without the wave's writes: KB/s", bytes - waveBytes(busy, role, x), boundBytes},
			verdict{role + ", busy: % core", core, boundCore},
			verdict{role + ", busy: state in MB", busy.at(role+": state", x), boundMemory},
		)
	}
	core, bytes := jobs(busy, x)
	rows = append(rows, verdict{"active, added by jobs: KB/s", bytes, boundBytes}, verdict{"active, added by jobs: % core", core, boundCore})
	processes := float64(z.gateways + z.controllers)
	const historyAndDocument = 2 // writes of a configuration change
	writes := processes*renewalRate + busy.at("fleet document: writes", x) + busy.at("job pages: writes", x) +
		historyAndDocument*changesADay/day.Seconds()
	return append(rows,
		verdict{"store, busy: writes a second", writes, boundWrites},
		verdict{"store, busy: writes a second of the active controller", writes - (processes-1)*renewalRate, store.DefaultRateLimits.WritesPerSecond},
		verdict{"store, busy: reads a second", processes*registrations + changesADay/day.Seconds(), boundReads},
		verdict{"store budgets of 16 processes: writes a second", 16 * store.DefaultRateLimits.WritesPerSecond, boundWrites},
		verdict{"store budgets of 16 processes: reads a second", 16 * store.DefaultRateLimits.ReadsPerSecond, boundReads},
	)
}

// waveBytes is what the writes of a wave add.
func waveBytes(r *report, role string, x float64) float64 {
	bytes := r.at("fleet document: writes", x) * r.at("fleet document: size as stored, in base64", x)
	if role == "active" {
		return 2*bytes + r.at("platform: worker questions", x)*questionBytes // writes it and watches it
	}
	return bytes
}
