// Command standin-2 plays the cases of the second review: it starts processes of the
// program as the deploy file says, with a stand-in of the platform around them, sends
// jobs and judges one rule by what clients and minions have seen.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit codes of a case.
const (
	exitHeld = iota
	exitBroken
	exitCannotRun
)

// processes is the number of processes of the program.
const processes = 3

// world is what a case plays in.
type world struct {
	*site
	client  *client
	entries []*entryProcess
	trouble bool
}

// caseSpec is a case: its minions, the fields of its queue, and what happens. play returns
// whether the rule held.
type caseSpec struct {
	minions  int
	capacity size
	route    map[string]any
	play     func(w *world) (held bool, err error)
}

// cases holds each case by its number.
var cases = map[int]caseSpec{}

func main() {
	number := flag.Int("case", 0, "number of the case")
	folder := flag.String("folder", "", "folder for record.txt")
	trouble := flag.Bool("trouble", true, "with the disruption")
	logs := flag.String("logs", "", "folder for the logs of the processes; empty for a temporary one")
	flag.Parse()
	os.Exit(runCase(*number, *folder, *logs, *trouble))
}

func runCase(number int, folder, logs string, trouble bool) int {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	defer func() { _ = file.Close() }() // all lines are written
	temporary, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	defer func() { _ = os.RemoveAll(temporary) }()
	if logs == "" {
		logs = temporary
	}
	rec := &record{begin: time.Now(), file: file}
	w, err := startWorld(rec, number, logs)
	if w != nil {
		defer func() {
			for _, p := range w.entries {
				p.end()
			}
		}()
	}
	held := false
	if err == nil {
		w.trouble = trouble
		held, err = cases[number].play(w)
	}
	switch {
	case err != nil:
		rec.printf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	case held:
		rec.printf("the rule held")
		return exitHeld
	}
	rec.printf("the rule was broken")
	return exitBroken
}

func startWorld(rec *record, number int, logs string) (*world, error) {
	c, ok := cases[number]
	if !ok {
		return nil, fmt.Errorf("there is no case %d", number)
	}
	s, err := startSite(rec, "huvo11a")
	if err != nil {
		return nil, err
	}
	w := &world{site: s}
	if err := s.addMinions(c.minions, c.capacity); err != nil {
		return nil, err
	}
	s.store.Put("op/config", s.manifest(c.route))
	for i := range processes {
		p, err := newEntry(logs, fmt.Sprintf("entry-%d", i+1), s.store.Address, s.cloud)
		if err != nil {
			return w, err
		}
		w.entries = append(w.entries, p)
		if err := p.start(); err != nil {
			return w, err
		}
	}
	w.client = &client{site: s, processes: w.entries}
	for until := time.Now().Add(10 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		ready := true
		for _, p := range w.entries {
			ready = ready && p.isReady()
		}
		if ready {
			rec.printf("%d processes are ready", len(w.entries))
			return w, nil
		}
		if time.Now().After(until) {
			return w, errors.New("the processes are not ready")
		}
	}
}
