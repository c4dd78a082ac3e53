package soak

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/waxwingbridge/waxwingbridge/platform/standin"
)

var (
	seeds     = flag.Int("soak.seeds", 2, "number of seeds")
	firstSeed = flag.Uint64("soak.first", 20261204, "first seed; 0 draws one")
	harmTime  = flag.Duration("soak.time", 12*time.Second, "time with faults of each seed")
	keepLogs  = flag.String("soak.logs", "", "directory for the logs of failed seeds")
)

const (
	processCount = 4
	// settleLimit is how long accepted jobs may take after the last fault has
	// healed: leases of 5 s, a change of the owner of 3 s, and the work itself,
	// on a machine that may be busy.
	settleLimit = 60 * time.Second
	// faultPause is the longest pause between two faults.
	faultPause = 900 * time.Millisecond
)

// failedSeeds broke a promise once. Each has a line on the cause.
var failedSeeds = []uint64{}

// scene is one soak.
type scene struct {
	t         *testing.T
	ctx       context.Context // ends when all faults heal
	platform  *standin.Site
	processes []*process
	signals   []sync.Mutex // by process
	stores    []*path      // by process
	switches  sync.Mutex   // of the stand-in
	caller    *caller

	mu      sync.Mutex
	workers []*path
	waves   int
	version int
	history []string
}

// Guards the promises of the system under faults that come from outside the
// processes, in series and overlapping.
func TestSoak(t *testing.T) {
	first := *firstSeed
	if first == 0 {
		first = uint64(time.Now().UnixNano())
	}
	all := failedSeeds
	for i := range *seeds {
		all = append(all, first+uint64(i))
	}
	for _, seed := range all {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { soak(t, seed) })
	}
}

func soak(t *testing.T, seed uint64) {
	directory := t.TempDir()
	s := &scene{t: t, signals: make([]sync.Mutex, processCount)}
	var err error
	s.platform, err = standin.StartProxied(s.advertise, standin.Pool{Name: "orders", Machines: 6}, standin.Pool{Name: "reports", Machines: 6},
		standin.Pool{Name: "spare", Machines: 4, Standby: true})
	if err != nil {
		t.Fatal(err)
	}
	defer s.platform.Stop()
	s.manifest()
	for i := range processCount {
		store, err := newPath(s.platform.Address)
		if err != nil {
			t.Fatal(err)
		}
		defer store.Stop()
		s.stores = append(s.stores, store)
		p := newProcess(t, directory, fmt.Sprintf("entry-%d", i+1), store.Listen)
		p.start()
		defer p.end(9)
		s.processes = append(s.processes, p)
	}
	s.caller = newCaller(s.processes, seed)
	s.play(seed)
	open := s.caller.settle(settleLimit)
	s.check(open)
	if t.Failed() {
		s.report(directory, seed)
	}
}

// advertise puts a proxy before a worker.
func (s *scene) advertise(address string) (string, error) {
	p, err := newPath(address)
	if err != nil {
		return "", err
	}
	s.t.Cleanup(p.Stop)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.workers = append(s.workers, p)
	return p.Listen, nil
}

// play runs clients and faults, and heals all faults at the end.
func (s *scene) play(seed uint64) {
	var healed context.CancelFunc
	s.ctx, healed = context.WithTimeout(context.Background(), *harmTime)
	defer healed()
	var running sync.WaitGroup
	for client := range clients {
		running.Go(func() { s.caller.work(s.ctx, client) })
	}
	r := rand.New(rand.NewPCG(seed, 1))
	begin := time.Now()
	wait(s.ctx, 2*time.Second)
	for n := uint64(0); s.ctx.Err() == nil; n++ {
		f := faults[r.IntN(len(faults))]
		s.history = append(s.history, fmt.Sprintf("%5.1f s  %s", time.Since(begin).Seconds(), f.name))
		own := rand.New(rand.NewPCG(seed, 100+n))
		running.Go(func() { f.run(s, own) })
		wait(s.ctx, time.Duration(r.Int64N(int64(faultPause))))
	}
	running.Wait()
}

// check compares what clients were told with what workers did.
func (s *scene) check(open []*job) {
	for _, j := range open {
		s.t.Errorf("%s (%s, %d tasks) was accepted and is not finished %s after the last fault", j.id, j.queue, j.tasks, settleLimit)
	}
	for _, v := range s.platform.Violations() {
		s.t.Error(v)
	}
	for _, p := range s.caller.problems {
		s.t.Error(p)
	}
	started := map[string]bool{}
	for _, start := range s.platform.Starts() {
		id, _, _ := strings.Cut(start.Task, ".")
		started[id] = true
	}
	known := map[string]bool{}
	counts := map[string]int{}
	for _, j := range s.caller.jobs {
		known[j.id] = true
		if j.refused && started[j.id] {
			s.t.Errorf("%s was refused at every try, and ran", j.id)
		}
		if j.accepted && (j.final == "failed" || j.final == "cancelled" && !j.cancelled) {
			s.t.Errorf("%s is shown as %s without cause", j.id, j.final)
		}
		if j.accepted {
			counts[j.final]++
		} else {
			counts["not accepted"]++
		}
	}
	for id := range started {
		if !known[id] {
			s.t.Errorf("%s was started, and nobody submitted it", id)
		}
	}
	if counts["completed"] == 0 {
		s.t.Error("no job was completed")
	}
	s.t.Logf("%d jobs: %v; %d starts; %d faults", len(s.caller.jobs), counts, len(s.platform.Starts()), len(s.history))
	s.t.Log("jobs handed in each second (# accepted, . not):\n" + s.plot())
}

// plot draws the load and its outcome over time.
func (s *scene) plot() string {
	var lines []string
	begin := time.Time{}
	for _, j := range s.caller.jobs {
		if begin.IsZero() || j.at.Before(begin) {
			begin = j.at
		}
	}
	for _, j := range s.caller.jobs {
		second := int(j.at.Sub(begin).Seconds())
		for len(lines) <= second {
			lines = append(lines, fmt.Sprintf("%4d s  ", len(lines)))
		}
		if j.accepted {
			lines[second] += "#"
		} else {
			lines[second] += "."
		}
	}
	return strings.Join(lines, "\n")
}

// report shows the faults of a failed seed and keeps the processes' logs.
func (s *scene) report(directory string, seed uint64) {
	s.t.Log("faults:\n" + strings.Join(s.history, "\n"))
	if *keepLogs == "" {
		return
	}
	target := fmt.Sprintf("%s/%d", *keepLogs, seed)
	if err := os.CopyFS(target, os.DirFS(directory)); err != nil {
		s.t.Logf("keep the logs: %v", err)
		return
	}
	s.t.Log("logs are in " + target)
}
