// Command standin plays one case of the review: it is the platform, the minions and the
// clients on loopback, and starts the processes of waxwing-entry.
package main

import (
	"fmt"
	"os"
)

// The exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the cases by name. Each returns whether the rule held. trouble is false for
// the same without the disruption.
var cases = map[string]func(w *world, trouble bool) bool{
	"foreign-entry":   foreignEntry,
	"blind":           blindOwner,
	"compacted":       compactedHistory,
	"compacted-link":  compactedLink,
	"long-schedule":   longSchedule,
	"failed-once":     failedOnce,
	"lost-minion":     lostMinion,
	"released-minion": releasedMinion,
	"gang":            gangCheckpoint,
	"cancelled":       cancelledUnsure,
}

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		return exitNotRun
	}
	folder, err := os.MkdirTemp("", "waxwing-review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(folder) }()
	} else {
		fmt.Println("logs in", folder)
	}
	w, err := newWorld(folder, os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	held := cases[os.Args[1]](w, os.Getenv("TROUBLE") != "0")
	w.endProcesses()
	if !held {
		w.say("the rule was BROKEN")
		return exitBroken
	}
	w.say("the rule held")
	return exitHeld
}
