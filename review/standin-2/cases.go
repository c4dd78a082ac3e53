package main

import (
	"fmt"
	"slices"
	"strings"
	"syscall"
	"time"
)

func init() {
	capacity := size{32000, 65536}
	advice := map[string]any{"Advice": map[string]int{"DecisionMs": 20, "PeriodMs": 5, "ValidityMs": 3000}}
	cases[6] = caseSpec{minions: 9, capacity: capacity, play: rebornBehindCut}
	cases[7] = caseSpec{minions: 9, capacity: capacity, route: advice, play: adviceAfterLoss}
	cases[8] = caseSpec{minions: 12, capacity: capacity, play: avoidedMinion}
	cases[9] = caseSpec{minions: 9, capacity: capacity, play: leftMinionAndRoll}
	cases[10] = caseSpec{minions: 9, capacity: capacity, play: crashesCountAsFailures}
	cases[11] = caseSpec{minions: 9, capacity: capacity, play: bornBefore} // has no folder
}

func batch(count, cpu int, took time.Duration) step {
	return step{count: count, cpu: cpu, memory: 2500, estimatedMs: int(took.Milliseconds()), took: took}
}

func lasting(count, cpu int) step {
	return step{count: count, cpu: cpu, memory: 4800, estimatedMs: 900, lasts: true, maxUnavailable: 1}
}

// crashesCountAsFailures: the only minion of a rack crashes six times, while a subtask
// that must run in that rack is at work there. No run of it ever ends failed.
func crashesCountAsFailures(w *world) (bool, error) {
	const up, down, crashes = 2500 * time.Millisecond, 2 * time.Second, 6
	time.Sleep(6 * time.Second)
	only := w.minions[8]
	st := batch(1, 3800, 5*time.Second)
	st.requirements = only.rack
	j, err := w.client.submit("00000000000000a1", st)
	if err != nil {
		return false, err
	}
	for range crashes {
		time.Sleep(up)
		if !w.trouble {
			time.Sleep(down)
			continue
		}
		w.end(only, "crashes")
		time.Sleep(down)
		if err := w.restart(only); err != nil {
			return false, err
		}
	}
	state := ""
	for until := time.Now().Add(30 * time.Second); time.Now().Before(until) && state != "completed" && state != "failed"; time.Sleep(time.Second) {
		state = w.client.state(j.id)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	ends := w.historyOf(j.id + ".0.0.0").ends
	w.record.printf("job %s is shown as %s; its runs ended %q", j.id, state, ends)
	if state != "completed" && state != "failed" {
		return false, fmt.Errorf("job %s is %s", j.id, state)
	}
	return state == "completed" || slices.Contains(ends, "failed"), nil
}

// adviceAfterLoss: of nine minions the policy of the queue allows three. One of them is
// lost for good. A job that comes later must still run on one of the other two.
func adviceAfterLoss(w *world) (bool, error) {
	w.policy, w.decide = func(id string) bool { return id == "i-01" || id == "i-02" || id == "i-09" }, 65*time.Millisecond
	time.Sleep(6 * time.Second)
	first, err := w.client.submit("00000000000000a1", batch(2, 1800, 640*time.Millisecond))
	if err != nil {
		return false, err
	}
	if longest := w.longestWait(first, 8*time.Second, 0); longest >= lostAfter {
		return false, fmt.Errorf("the job before the disruption waited for %v", longest)
	}
	if w.trouble {
		w.end(w.minions[8], "crashes and is lost for good")
	}
	time.Sleep(10 * time.Second)
	second, err := w.client.submit("00000000000000a2", batch(2, 1800, 640*time.Millisecond))
	if err != nil {
		return false, err
	}
	return w.longestWait(second, 30*time.Second, 0) < lostAfter, nil
}

// avoidedMinion: eleven of twelve minions are half full with subtasks that last. For a
// moment the twelfth fails what it starts, once a subtask that fits on no other.
func avoidedMinion(w *world) (bool, error) {
	for i, count := range []int{6, 5} {
		st := lasting(count, 16500)
		st.maxPerServer = 1
		if _, err := w.client.submit(fmt.Sprintf("00000000000000b%d", i), st); err != nil {
			return false, err
		}
	}
	time.Sleep(8 * time.Second)
	w.mu.Lock()
	for _, m := range w.minions {
		if len(m.runs) == 0 && w.trouble {
			m.failing = true
			w.record.printf("minion %s fails what it starts", m.id)
		}
	}
	w.mu.Unlock()
	j, err := w.client.submit("00000000000000a1", batch(1, 15900, 640*time.Millisecond))
	if err != nil {
		return false, err
	}
	time.Sleep(800 * time.Millisecond)
	w.mu.Lock()
	for _, m := range w.minions {
		m.failing = false
	}
	w.record.printf("all minions are sound")
	w.mu.Unlock()
	time.Sleep(calmBefore)
	return w.longestWait(j, 30*time.Second, 0) < lostAfter, nil
}

// leftMinionAndRoll: a minion on which subtasks that last run drains and leaves. From then
// on the processes are stopped and started in turn, two seconds apart.
func leftMinionAndRoll(w *world) (bool, error) {
	j, err := w.client.submit("00000000000000b1", lasting(5, 2700))
	if err != nil {
		return false, err
	}
	time.Sleep(8 * time.Second)
	w.leave(w.busiest(func(*minion) bool { return true }), 5*time.Second)
	done := make(chan error, 1)
	go func() { done <- w.roll() }()
	longest := w.longestWait(j, 30*time.Second, lastingGrace)
	if err := <-done; err != nil {
		return false, err
	}
	return longest < lostAfter, nil
}

// rebornBehindCut: a minion is cut off from the store, crashes behind the cut and starts
// again under its ID. The owner of the pool goes on giving it work, and is then stopped as
// planned, as is its successor. That is played until the rule breaks, three times at most.
func rebornBehindCut(w *world) (bool, error) {
	const rounds, cutFor = 3, 5 * time.Second
	time.Sleep(4 * time.Second)
	for round := range rounds {
		if _, err := w.client.submit(fmt.Sprintf("000000000000a%03d", round), batch(9, 3800, 5*time.Second)); err != nil {
			return false, err
		}
		time.Sleep(time.Second)
		struck := w.busiest(func(m *minion) bool { return m.zone != entryZone })
		healed := time.Now().Add(cutFor)
		if w.trouble {
			w.cutOff(struck, true)
			w.end(struck, "crashes")
			time.Sleep(100 * time.Millisecond)
			if err := w.restart(struck); err != nil {
				return false, err
			}
		}
		time.Sleep(1700 * time.Millisecond)
		if _, err := w.client.submit(fmt.Sprintf("000000000000b%03d", round), batch(24, 3800, 5*time.Second)); err != nil {
			return false, err
		}
		ended := make(chan error, 2)
		for range cap(ended) {
			time.Sleep(300 * time.Millisecond)
			w.stopOwner(ended)
			time.Sleep(700 * time.Millisecond)
		}
		time.Sleep(time.Until(healed))
		w.cutOff(struck, false)
		for range cap(ended) {
			if err := <-ended; err != nil {
				return false, err
			}
		}
		if w.starts() > 0 {
			return false, nil
		}
		time.Sleep(2500 * time.Millisecond)
	}
	return true, nil
}

// busiest returns the minion with the most runs among those that are meant.
func (w *world) busiest(meant func(*minion) bool) *minion {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.MaxFunc(w.minions, func(a, b *minion) int {
		switch {
		case meant(a) && meant(b):
			return len(a.runs) - len(b.runs)
		case meant(a):
			return 1
		default:
			return -1
		}
	})
}

// starts returns the number of starts that broke TWICE.
func (w *world) starts() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.twice
}

// stopOwner stops the process that owns the pool as planned, and starts it again.
func (w *world) stopOwner(ended chan<- error) {
	owner := string(w.store.Get("waxwing/owner/" + w.service))
	for _, p := range w.entries {
		if strings.Contains(owner, `"`+p.name+`"`) {
			w.record.printf("SIGTERM to %s, the owner of the pool", p.name)
			_ = p.command.Process.Signal(syscall.SIGTERM) // it runs
			go func() {
				_ = p.command.Wait() // it reports how the process has ended
				ended <- p.start()
			}()
			return
		}
	}
	w.record.printf("the pool has no owner now")
	ended <- nil
}

// roll stops and starts the processes in turn, with a pause between the stops.
func (w *world) roll() error {
	const pause = 2 * time.Second
	if !w.trouble {
		return nil
	}
	ended := make(chan error, len(w.entries))
	for _, p := range w.entries {
		time.Sleep(pause)
		w.record.printf("SIGTERM to %s", p.name)
		if err := p.command.Process.Signal(syscall.SIGTERM); err != nil {
			return err
		}
		go func() {
			_ = p.command.Wait() // it reports how the process has ended
			ended <- p.start()
		}()
	}
	for range w.entries {
		if err := <-ended; err != nil {
			return err
		}
	}
	return nil
}

// bornBefore: the time of day of a machine is ahead when its minion starts, and jumps back
// soon after. The minion crashes and is back at once: its new life states an earlier start
// than the one before. A job that needs this minion must run there.
func bornBefore(w *world) (bool, error) {
	const ahead = 2400 * time.Millisecond
	time.Sleep(6 * time.Second)
	only := w.minions[8]
	for _, step := range []time.Duration{ahead, 0} {
		w.end(only, "crashes")
		time.Sleep(500 * time.Millisecond)
		if w.trouble {
			only.ahead = step
			w.record.printf("the time of day of machine %s is %v ahead", only.machine, step)
		}
		if err := w.restart(only); err != nil {
			return false, err
		}
		time.Sleep(time.Second)
	}
	time.Sleep(10 * time.Second)
	st := batch(2, 3800, 2100*time.Millisecond)
	st.requirements = only.rack
	j, err := w.client.submit("00000000000000a1", st)
	if err != nil {
		return false, err
	}
	return w.longestWait(j, 30*time.Second, 0) < lostAfter, nil
}
