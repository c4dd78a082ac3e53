// Command cases3 plays the script cases of the review in REPORT-3.md. It starts the program
// of the deploy file as separate processes on loopback, against stand-ins of its own for the
// platform, the minions and the clients.
//
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// longest is the time after which a case that hasn't ended couldn't run.
const longest = 110 * time.Second

// errNotRun tells why a case couldn't run.
type errNotRun string

// Error implements error.
func (e errNotRun) Error() string { return string(e) }

// scenario plays a case. With trouble unset it leaves out the disruption.
type scenario struct {
	nodes int
	pools []pool
	play  func(s *site, trouble bool) error
}

var scenarios = map[string]scenario{
	"crashes":   crashes,
	"odd":       oddEntry,
	"report":    lateReport,
	"wave":      lostUpkeep,
	"reborn":    reborn,
	"refused":   refused,
	"probation": probation,
}

func main() { os.Exit(playCase()) }

func playCase() int {
	name := flag.String("case", "", "name of the case")
	record := flag.String("record", "record.txt", "file for the record")
	logs := flag.String("logs", "", "directory for the logs of the processes; empty for a temporary one")
	flag.Parse()
	chosen, ok := scenarios[*name]
	if !ok {
		fmt.Fprintf(os.Stderr, "cases3: no case %q\n", *name)
		return exitNotRun
	}
	directory := *logs
	if directory == "" {
		temporary, err := os.MkdirTemp("", "waxwing-review-3-")
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return exitNotRun
		}
		defer func() { _ = os.RemoveAll(temporary) }() // what is left is harmless
		directory = temporary
	}
	s, err := newSite(directory, *record, chosen.nodes, chosen.pools)
	if err != nil {
		fmt.Fprintln(os.Stderr, "cases3:", err)
		return exitNotRun
	}
	defer s.close()
	result := make(chan error, 1)
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	trouble := os.Getenv("TROUBLE") != "0"
	go func() { result <- chosen.play(s, trouble) }()
	select {
	case err = <-result:
	case <-interrupted:
		err = errNotRun("interrupted")
	case <-time.After(longest):
		err = errNotRun("the case hasn't ended in time")
	}
	return s.verdict(err, trouble)
}

// verdict states the result in the record.
func (s *site) verdict(err error, trouble bool) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case len(s.violations) > 0:
		s.note("result: the rule was broken %d times (trouble: %v)", len(s.violations), trouble)
		fmt.Println(s.violations[0])
		return exitBroken
	case err != nil:
		s.note("result: the case couldn't run: %v", err)
		fmt.Fprintln(os.Stderr, "cases3:", err)
		return exitNotRun
	}
	s.note("result: the rule held (trouble: %v)", trouble)
	return exitHeld
}
