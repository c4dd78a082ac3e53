package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"
)

// Figures of the small deployments.
const (
	heartbeatEvery  = 1500 * time.Millisecond
	longestHold     = 6 * time.Second
	stopTime        = 100 * time.Millisecond // at most StopMs, which is 200
	startupTime     = 900 * time.Millisecond // of a subtask that lasts
	noticeTime      = 4500 * time.Millisecond
	moveTime        = 1500 * time.Millisecond
	upkeepTime      = 2 * time.Second
	longestLate     = 12 * time.Second // after which an order without an answer isn't carried out
	minionCPU       = 32000
	minionMemoryMb  = 65536
	machinesPerRack = 4
	tickEvery       = 5 * time.Millisecond
)

// world is the platform, its minions and machines. One lock guards all of it.
type world struct {
	mu      sync.Mutex
	changed chan struct{} // closed at the next change
	begin   time.Time
	record  *os.File
	ended   bool

	revision  int64
	items     map[string]*item
	history   []event
	leases    map[int64]*lease
	nextLease int64

	minions  map[string]*minion
	machines map[string]*machine
	order    []string // names of the machines
	nextID   int

	starts      []start
	ends        []end
	upkeeps     []upkeep
	violations  []string
	unavailable map[string]int // MaxUnavailable by step, as ID.K.STEP

	// loseTxn returns how long after its arrival a transaction without an answer is executed,
	// or 0 for one that is executed and answered at once.
	loseTxn func(t *txn) time.Duration
	// lateStart returns after which time a start without an answer is executed, or 0.
	lateStart func(o *minionOrder, m *minion) time.Duration
	// loseUpkeep reports whether the answer to an accepted upkeep is lost.
	loseUpkeep func(machine string) bool

	servers []*http.Server
	address string
}

type start struct {
	at     time.Time
	task   string
	run    int
	minion string
}

type end struct {
	at     time.Time
	task   string
	run    int
	minion string
	how    string
}

type upkeep struct {
	at      time.Time
	machine string
	wave    int
}

func newWorld(recordPath string) (*world, error) {
	file, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	w := &world{
		changed: make(chan struct{}), begin: time.Now(), record: file, items: map[string]*item{}, leases: map[int64]*lease{},
		minions: map[string]*minion{}, machines: map[string]*machine{}, unavailable: map[string]int{}, revision: 1,
	}
	if w.address, err = w.serve(http.HandlerFunc(w.servePlatform)); err != nil {
		return nil, err
	}
	go w.run()
	return w, nil
}

// note writes a line to the record. The lock is held.
func (w *world) note(format string, args ...any) {
	_, _ = fmt.Fprintf(w.record, "%9.3f  %s\n", time.Since(w.begin).Seconds(), fmt.Sprintf(format, args...))
}

// say is note without the lock.
func (w *world) say(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.note(format, args...)
}

// violate records that a rule was broken. The lock is held.
func (w *world) violate(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	w.violations = append(w.violations, text)
	w.note("BROKEN: %s", text)
}

// wake lets all that wait for a change look again. The lock is held.
func (w *world) wake() {
	close(w.changed)
	w.changed = make(chan struct{})
}

// run advances time.
func (w *world) run() {
	for {
		time.Sleep(tickEvery)
		w.mu.Lock()
		if w.ended {
			w.mu.Unlock()
			return
		}
		now := time.Now()
		w.expireLeases(now)
		w.advanceMachines(now)
		for _, m := range w.minions {
			w.advanceMinion(now, m)
		}
		w.mu.Unlock()
	}
}

// stop ends all servers.
func (w *world) stop() {
	w.mu.Lock()
	w.ended = true
	servers := w.servers
	for _, m := range w.minions {
		if m.server != nil {
			servers = append(servers, m.server)
		}
	}
	w.mu.Unlock()
	for _, s := range servers {
		_ = s.Close() // its connections end with the program
	}
}

// until waits for a condition, which is called with the lock held.
func (w *world) until(limit time.Duration, holds func() bool) bool {
	deadline := time.Now().Add(limit)
	for {
		w.mu.Lock()
		ok := holds()
		w.mu.Unlock()
		if ok {
			return true
		}
		if time.Now().After(deadline) {
			return false
		}
		time.Sleep(tickEvery)
	}
}
