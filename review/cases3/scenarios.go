package main

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"
)

// smallPools are the pools of the small deployment that the cases use.
var smallPools = []pool{{"sales", 9, false}, {"supply", 9, false}, {standbyPool, 8, true}}

// allAtWork reports whether all subtasks of a step that lasts are at work. The lock is held.
func (w *world) allAtWork(step string, count int) bool {
	for i := range count {
		if t := taskStates[fmt.Sprintf("%s.%d", step, i)]; t == nil || !t.atWork {
			return false
		}
	}
	return true
}

// lastRun returns the highest run of a subtask that has started, or 0. The lock is held.
func (w *world) lastRun(task string) int {
	for _, s := range slices.Backward(w.starts) {
		if s.task == task {
			return s.run
		}
	}
	return 0
}

// failedEnds counts the ends failed of a job. The lock is held.
func (w *world) failedEnds(id string) int {
	n := 0
	for _, e := range w.ends {
		if strings.HasPrefix(e.task, id+".") && e.how == "failed" {
			n++
		}
	}
	return n
}

// crashes has the minion of one subtask of a lasting job crash four times, each time but the
// first right after the subtask has started there.
var crashes = scenario{nodes: 3, pools: smallPools, play: func(s *site, trouble bool) error {
	const id, count = "00000000000000c1", 3
	const path, lasting = "/sales/" + id, id + ".0.0"
	s.mu.Lock()
	s.unavailable[lasting] = 1
	s.mu.Unlock()
	if !s.submit(path, job{Spec: "0:2700", Steps: []step{{Count: count, Cpu: 2700, EstimatedMs: 90000, LongRunning: true, MaxUnavailable: 1, MaxPerServer: 1}}}) {
		return errNotRun("the job wasn't accepted")
	}
	if !s.until(20*time.Second, func() bool { return s.allAtWork(lasting, count) }) {
		return errNotRun("the job didn't come to work")
	}
	time.Sleep(6 * time.Second)
	const victim = lasting + ".0"
	for range 4 {
		s.mu.Lock()
		m, before := s.hostOf(victim), s.lastRun(victim)
		if m != nil && trouble {
			s.crash(m, time.Second)
		}
		s.mu.Unlock()
		if !trouble {
			time.Sleep(2 * time.Second)
			continue
		}
		if !s.until(8*time.Second, func() bool { return s.lastRun(victim) > before }) {
			break // the job may have been given up
		}
		time.Sleep(200 * time.Millisecond)
	}
	for range 12 {
		time.Sleep(time.Second)
		if s.state(path) == "failed" {
			s.mu.Lock()
			if s.failedEnds(id) == 0 {
				s.violate("LOST: the job is shown as failed, and none of its runs has ended failed")
			}
			s.mu.Unlock()
			break
		}
	}
	return nil
}}

// oddEntry has another writer leave an entry that names the machine of a busy minion. It
// lacks most fields of a minion's entry, and its version is a number.
var oddEntry = scenario{nodes: 3, pools: smallPools, play: func(s *site, trouble bool) error {
	const id, count = "00000000000000d1", 4
	const path, first = "/sales/" + id, id + ".0.0.0"
	if !s.submit(path, job{Spec: "15000:4000", Steps: []step{{Count: count, Cpu: 4000, EstimatedMs: 15000}}}) {
		return errNotRun("the job wasn't accepted")
	}
	running := func() bool {
		for i := range count {
			if m := s.hostOf(fmt.Sprintf("%s.0.0.%d", id, i)); m == nil {
				return false
			}
		}
		return true
	}
	if !s.until(20*time.Second, running) {
		return errNotRun("the job didn't start")
	}
	time.Sleep(3 * time.Second)
	nobody, err := freeAddress()
	if err != nil {
		return err
	}
	s.mu.Lock()
	m := s.hostOf(first)
	if m == nil {
		s.mu.Unlock()
		return errNotRun("the subtask doesn't run")
	}
	if trouble {
		value, _ := json.Marshal(map[string]any{ // its values can be encoded
			"Service": m.service, "Address": nobody, "State": "ready", "Machine": m.machine, "born": time.Now().UnixMilli(), "Version": 7,
			"Capacity": map[string]int{"Cpu": minionCPU, wire("memory"): minionMemoryMb},
		})
		s.note("another writer leaves servers/agent-%s: %s", m.machine, value)
		s.write("servers/agent-"+m.machine, value)
	}
	s.mu.Unlock()
	for range 25 {
		time.Sleep(time.Second)
		if s.state(path) == "completed" {
			break
		}
	}
	return nil
}}

// lateReport loses the answer of one write of the system, the report that releases machines of
// a pool. It is executed four seconds later, when the machines have work again.
var lateReport = scenario{nodes: 3, pools: smallPools, play: func(s *site, trouble bool) error {
	const id, count = "00000000000000e1", 6
	const path, lasting = "/sales/" + id, id + ".0.0"
	s.mu.Lock()
	s.unavailable[lasting] = 1
	s.mu.Unlock()
	const turn = "/sales/00000000000000e0"
	if !s.submit(turn, job{Spec: "6000:4000", Steps: []step{{Count: 60, Cpu: 4000, EstimatedMs: 6000}}}) {
		return errNotRun("the first job wasn't accepted")
	}
	armed := make(chan struct{})
	lost := make(chan struct{})
	s.mu.Lock()
	taken := false
	s.loseTxn = func(t *txn) time.Duration {
		key, value := t.key("waxwing/demand/sales")
		var report struct{ Released []string }
		if key == "" || taken || json.Unmarshal(value, &report) != nil || len(report.Released) < 4 {
			return 0
		}
		select {
		case <-armed:
		default:
			return 0
		}
		taken = true
		close(lost)
		s.note("store: the write of %s is answered: %v; it is %s", key, !trouble, value)
		if !trouble {
			return 0
		}
		return 4 * time.Second
	}
	s.mu.Unlock()
	grown := s.until(20*time.Second, func() bool {
		n := 0
		for _, m := range s.minions {
			if m.service == "sales" && m.up {
				n++
			}
		}
		return n >= 8 && s.idle("sales")
	})
	if !grown {
		return errNotRun("the pool hasn't grown and become idle")
	}
	close(armed)
	select {
	case <-lost:
	case <-time.After(5 * time.Second):
		return errNotRun("the pool hasn't released machines")
	}
	time.Sleep(500 * time.Millisecond)
	if !s.submit(path, job{Spec: "0:2700", Steps: []step{{Count: count, Cpu: 2700, EstimatedMs: 90000, LongRunning: true, MaxUnavailable: 1, MaxPerServer: 1}}}) {
		return errNotRun("the lasting job wasn't accepted")
	}
	if !s.until(12*time.Second, func() bool { return s.allAtWork(lasting, count) }) {
		s.say("the lasting job isn't at work with all of its subtasks")
	}
	// More than the pool holds with all spare machines, as in a turn of the demand.
	if !s.submit("/supply/00000000000000e2", job{Spec: "6000:4000", Steps: []step{{Count: 200, Cpu: 4000, EstimatedMs: 6000}}}) {
		return errNotRun("the job of the other queue wasn't accepted")
	}
	time.Sleep(10 * time.Second)
	s.state(path)
	return nil
}}

// idle reports whether nothing runs in a pool. The lock is held.
func (w *world) idle(service string) bool {
	for _, m := range w.minions {
		if m.service == service && len(m.runs) > 0 {
			return false
		}
	}
	return len(w.starts) > 0
}

// lostUpkeep loses the answer to the first upkeep of a wave, which begins.
var lostUpkeep = scenario{nodes: 3, pools: smallPools, play: func(s *site, trouble bool) error {
	time.Sleep(2 * time.Second)
	s.mu.Lock()
	done := false
	s.loseUpkeep = func(machine string) bool {
		lose := trouble && !done
		done = true
		if lose {
			s.note("machines: the answer to the upkeep of %s is lost", machine)
		}
		return lose
	}
	value, _ := json.Marshal(map[string]any{ // its values can be encoded
		"Wave": 1, "Machines": []string{"m-supply-0", "m-supply-3", "m-supply-5", "m-sales-4"}, "DurationS": 40, "Cap": 1,
	})
	s.write("op/wave/1", value)
	s.note("operator: op/wave/1 is %s", value)
	s.mu.Unlock()
	completed := s.until(60*time.Second, func() bool {
		it := s.items["status/wave/1"]
		return it != nil && strings.Contains(string(it.Value), "completed")
	})
	if !completed {
		return errNotRun("the wave isn't completed")
	}
	return nil
}}

// reborn has the minion of a start that gets no answer crash behind a cut and start again there,
// where it executes the start late.
var reborn = scenario{nodes: 3, pools: smallPools, play: func(s *site, trouble bool) error {
	const id = "00000000000000b1"
	const path, task = "/sales/" + id, id + ".0.0.0"
	const late, cut = 4 * time.Second, 5500 * time.Millisecond
	ordered := make(chan *minion, 1)
	s.mu.Lock()
	s.lateStart = func(o *minionOrder, m *minion) time.Duration {
		if !trouble || o.Task != task || o.Run != 1 {
			return 0
		}
		s.note("minion %s leaves the start of %s run %d unanswered, to execute it in %v", m.id, o.Task, o.Run, late)
		ordered <- m
		return late
	}
	s.mu.Unlock()
	time.Sleep(5 * time.Second)
	if !s.submit(path, job{Spec: "9000:4000", Steps: []step{{Count: 1, Cpu: 4000, EstimatedMs: 9000}}}) {
		return errNotRun("the job wasn't accepted")
	}
	if trouble {
		select {
		case m := <-ordered:
			time.Sleep(50 * time.Millisecond)
			s.mu.Lock()
			s.restartBehindCut(m)
			s.mu.Unlock()
			time.Sleep(cut)
			s.mu.Lock()
			s.note("minion %s is reached again", m.id)
			m.cut = false
			s.mu.Unlock()
		case <-time.After(10 * time.Second):
			return errNotRun("the start didn't come")
		}
	}
	for range 30 {
		time.Sleep(time.Second)
		if s.state(path) == "completed" {
			break
		}
	}
	return nil
}}

// probation has the minions of three long subtasks crash, one after the other and twice each, and
// then hands in a small job.
var probation = scenario{nodes: 3, pools: smallPools, play: func(s *site, trouble bool) error {
	const id, count = "00000000000000a1", 3
	const path, small = "/sales/" + id, "/sales/00000000000000a2"
	task := func(i int) string { return fmt.Sprintf("%s.0.0.%d", id, i) }
	running := func() bool {
		for i := range count {
			if s.hostOf(task(i)) == nil {
				return false
			}
		}
		return true
	}
	time.Sleep(5 * time.Second) // the pool gives machines up that it doesn't need
	if !s.submit(path, job{Spec: "60000:4000", Steps: []step{{Count: count, Cpu: 4000, EstimatedMs: 60000}}}) {
		return errNotRun("the job wasn't accepted")
	}
	if !s.until(20*time.Second, running) {
		return errNotRun("the job didn't start")
	}
	time.Sleep(2 * time.Second)
	for i := range 2 * count {
		if !trouble {
			break
		}
		s.mu.Lock()
		m, before := s.hostOf(task(i%count)), s.lastRun(task(i%count))
		if m != nil {
			s.crash(m, time.Second)
		}
		s.mu.Unlock()
		if !s.until(10*time.Second, func() bool { return s.lastRun(task(i%count)) > before && running() }) {
			return errNotRun("the subtask didn't start again")
		}
		time.Sleep(1500 * time.Millisecond)
	}
	if !s.submit(small, job{Spec: "1000:4000", Steps: []step{{Count: 1, Cpu: 4000, EstimatedMs: 1000}}}) {
		return errNotRun("the small job wasn't accepted")
	}
	time.Sleep(finishTime)
	var idleSince time.Time
	for end := time.Now().Add(8 * time.Second); time.Now().Before(end); time.Sleep(tickEvery) {
		s.mu.Lock()
		stuck := s.waits("00000000000000a2", "sales", 4000)
		if !stuck {
			idleSince = time.Time{}
		} else if idleSince.IsZero() {
			idleSince = time.Now()
		}
		if stuck && time.Since(idleSince) >= 3*time.Second {
			s.violate("LOST: for 3 s the small job has nothing running, with room for its subtask on %d minions, and less than half of the service in use", s.roomFor("sales", 4000))
			s.mu.Unlock()
			break
		}
		s.mu.Unlock()
	}
	s.state(small)
	s.state(path)
	return nil
}}

// finishTime is finish_s, after which the jobs are asked for.
const finishTime = 14 * time.Second

// roomFor returns how many minions of a service that are up have room for a subtask. The lock is
// held.
func (w *world) roomFor(service string, cpu int) int {
	n := 0
	for _, m := range w.minions {
		if m.service == service && m.up && m.used()+cpu <= minionCPU {
			n++
		}
	}
	return n
}

// waits reports whether a job of one subtask hasn't ended and doesn't run, though its service has
// room for the subtask twice over and is used by less than a half. The lock is held.
func (w *world) waits(id, service string, cpu int) bool {
	used, all := 0, 0
	for _, m := range w.minions {
		if m.service != service || !m.up {
			continue
		}
		used, all = used+m.used(), all+minionCPU
		for _, r := range m.runs {
			if strings.HasPrefix(r.task, id+".") {
				return false
			}
		}
	}
	for _, e := range w.ends {
		if strings.HasPrefix(e.task, id+".") && e.how == "done" {
			return false
		}
	}
	return w.roomFor(service, cpu) >= 2 && 2*used < all
}

// refused has a minion refuse a late start, since the owner has stopped it, crash and carry the
// start out in its next life.
var refused = scenario{nodes: 3, pools: smallPools, play: func(s *site, trouble bool) error {
	const id = "00000000000000b2"
	const path, task = "/sales/" + id, id + ".0.0.0"
	const late, away = 4 * time.Second, 2 * time.Second
	ordered := make(chan *minion, 1)
	s.mu.Lock()
	s.lateStart = func(o *minionOrder, m *minion) time.Duration {
		if !trouble || o.Task != task || o.Run != 1 {
			return 0
		}
		s.note("minion %s leaves the start of %s run %d unanswered, to execute it in %v", m.id, o.Task, o.Run, late)
		ordered <- m
		return late
	}
	s.mu.Unlock()
	time.Sleep(5 * time.Second)
	// The subtask goes to the minion without these two, and not there again after the third.
	filled := s.submit("/sales/00000000000000b3", job{Spec: "30000:6000", Steps: []step{{Count: 2, Cpu: 6000, EstimatedMs: 30000, MaxPerServer: 1}}})
	time.Sleep(time.Second)
	if !filled || !s.submit(path, job{Spec: "9000:4000", Steps: []step{{Count: 1, Cpu: 4000, EstimatedMs: 9000}}}) {
		return errNotRun("the job wasn't accepted")
	}
	if trouble {
		select {
		case m := <-ordered:
			if !s.submit("/sales/00000000000000b4", job{Spec: "30000:8000", Steps: []step{{Count: 1, Cpu: 8000, EstimatedMs: 30000}}}) {
				return errNotRun("the third job wasn't accepted")
			}
			time.Sleep(3 * time.Second)
			s.mu.Lock()
			s.crash(m, away)
			s.mu.Unlock()
		case <-time.After(10 * time.Second):
			return errNotRun("the start didn't come")
		}
	}
	for range 20 {
		time.Sleep(time.Second)
		if s.state(path) == "completed" {
			break
		}
	}
	return nil
}}
