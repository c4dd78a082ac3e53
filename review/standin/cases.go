package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// The sizes of a small site: nine minions of 32 cores in one service, four a rack, and
// three machines of the system.
const (
	minionCount  = 9
	entryCount   = 3
	rackSize     = 4
	finishTime   = 14 * time.Second // finish_s
	allowedIdle  = 3 * time.Second  // LOST: for 3 s a job has nothing running
	cancelTime   = 3 * time.Second  // cancel_ms
	restartDelay = time.Second      // of a process that the platform has killed
)

var minionSize = resources{Cpu: 32000, MemoryMb: 65536}

// site starts the minions, of which those listed are of kind b and the others of kind a,
// writes the manifest and starts the processes.
func (w *world) site(maxAttempts int, kindB ...int) {
	w.manifest(maxAttempts)
	for i := 1; i <= minionCount; i++ {
		kind := "a"
		for _, b := range kindB {
			if b == i {
				kind = "b"
			}
		}
		w.startMinion(fmt.Sprintf("i-%02d", i), fmt.Sprintf("m-%02d", i), service, minionSize, kind, fmt.Sprintf("r1-%d", 1+(i-1)/rackSize))
	}
	w.startEntries(entryCount)
	time.Sleep(3 * time.Second) // the processes claim their duties
}

// runsOf returns the minions on which subtasks of a job run, by subtask.
func (w *world) runsOf(id string) map[string]*minion {
	w.mu.Lock()
	defer w.mu.Unlock()
	found := map[string]*minion{}
	for _, m := range w.minions {
		for _, r := range m.runs {
			if strings.HasPrefix(r.task, id+".") {
				found[r.task] = m
			}
		}
	}
	return found
}

// waitForRuns waits until n subtasks of a job run and returns the minion of the first.
func (w *world) waitForRuns(id string, n int) *minion {
	if !waitFor(20*time.Second, func() bool { return len(w.runsOf(id)) >= n }) {
		w.cannotRun("%d subtasks of %s did not start", n, id)
	}
	return w.runsOf(id)[id+".0.0.0"]
}

// follow watches a job until it has ended or the time is over. It returns the longest
// time without a running subtask, from finishTime after its submission, the last request
// of the traffic, on.
func (w *world) follow(id string, limit time.Duration) (idle time.Duration) {
	last, asked, state := w.submittedAt.Add(finishTime), time.Time{}, ""
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		if now := time.Now(); now.After(last) {
			if len(w.runsOf(id)) > 0 {
				last = now
			}
			idle = max(idle, now.Sub(last))
		}
		if time.Since(asked) > time.Second {
			asked = time.Now()
			if state = w.state(id); state == "completed" || state == "failed" || state == "cancelled" {
				break
			}
		}
	}
	w.say("job %s is shown as %s; from 14 s after its submission on, the longest time with nothing running is %.1f s", id, state, idle.Seconds())
	return idle
}

// foreignEntry: another writer leaves an entry without the field born in place of a
// minion's own one.
func foreignEntry(w *world, trouble bool) bool {
	w.site(3)
	const id = "00000000000000e1"
	w.submit(id, &job{Spec: "report", Steps: []*step{{Count: 6, Cpu: 1800, MemoryMb: 512, EstimatedMs: 10000, work: 10 * time.Second}}})
	m := w.waitForRuns(id, 6)
	time.Sleep(2 * time.Second)
	if trouble {
		w.mu.Lock()
		entry := m.entry()
		delete(entry, "born")
		w.store.write("servers/"+m.id, entry)
		w.note("another writer leaves an entry without born at servers/%s", m.id)
		w.mu.Unlock()
	}
	w.follow(id, 40*time.Second)
	w.mu.Lock()
	broken := w.broken
	w.mu.Unlock()
	w.say("subtasks started while they ran or after their end: %d", broken)
	return broken == 0
}

// failedOnce: the only minion that may run a subtask lists one run of it as failed.
func failedOnce(w *world, trouble bool) bool {
	w.site(4, minionCount)
	const id = "00000000000000b1"
	st := &step{Count: 1, Cpu: 1800, MemoryMb: 512, EstimatedMs: 2000, Requirements: "b", work: 2 * time.Second, failAfter: 500 * time.Millisecond}
	if trouble {
		st.failRuns = 1
	}
	w.submit(id, &job{Spec: "report", Steps: []*step{st}})
	w.waitForRuns(id, 1)
	idle := w.follow(id, 30*time.Second)
	return idle <= allowedIdle
}

// lostMinion: one of the three minions that may run the subtasks of a job is lost for
// good. The others have room for all of them.
func lostMinion(w *world, trouble bool) bool {
	w.site(3, minionCount-2, minionCount-1, minionCount)
	const id, count = "00000000000000c1", 5
	w.submit(id, &job{Spec: "ledger", Steps: []*step{{Count: count, Cpu: 1800, MemoryMb: 512, EstimatedMs: 1000, LongRunning: true, MaxUnavailable: 1, Requirements: "b"}}})
	m := w.waitForRuns(id, count)
	time.Sleep(3 * time.Second)
	if trouble {
		m.lose()
	}
	time.Sleep(30 * time.Second)
	runs := w.runsOf(id)
	missing := []string{}
	for i := range count {
		if task := fmt.Sprintf("%s.0.0.%d", id, i); runs[task] == nil {
			missing = append(missing, task)
		}
	}
	w.say("30 s later %d of %d subtasks run, without a run are %v", len(runs), count, missing)
	return len(missing) == 0
}

// releasedMinion: the minion that runs a subtask is lost for good. Another minion of the
// same kind is idle.
func releasedMinion(w *world, trouble bool) bool {
	w.site(3, 1, minionCount)
	const id = "00000000000000d1"
	w.submit(id, &job{Spec: "report", Steps: []*step{{Count: 1, Cpu: 1800, MemoryMb: 512, EstimatedMs: 8000, Requirements: "b", work: 8 * time.Second}}})
	m := w.waitForRuns(id, 1)
	time.Sleep(2 * time.Second)
	if trouble {
		m.lose()
	}
	idle := w.follow(id, 35*time.Second)
	return idle <= allowedIdle
}

// hasUnlistedCheckpoint reports whether a subtask of the job on the minion has a newer
// checkpoint than its last list shows, as for about half of the time.
func (w *world) hasUnlistedCheckpoint(m *minion, id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range m.runs {
		if strings.HasPrefix(r.task, id+".") && r.checkpoint != r.listed {
			return true
		}
	}
	return false
}

// gangCheckpoint: a minion that runs a member of a gang is lost for good.
func gangCheckpoint(w *world, trouble bool) bool {
	w.site(3)
	const id = "00000000000000a1"
	w.submit(id, &job{Spec: "train", Steps: []*step{{Count: 4, Cpu: 6000, MemoryMb: 512, EstimatedMs: 8000, Gang: true, Checkpointing: true, work: 8 * time.Second}}})
	m := w.waitForRuns(id, 4)
	time.Sleep(2500 * time.Millisecond)
	if trouble {
		if !waitFor(5*time.Second, func() bool { return w.hasUnlistedCheckpoint(m, id) }) {
			w.cannotRun("no checkpoint of %s is missing from its lists", m.id)
		}
		m.lose()
	}
	w.follow(id, 45*time.Second)
	w.mu.Lock()
	alone, mixed := w.ends["alone"], w.mixedGangs
	w.mu.Unlock()
	w.say("%d ends alone; gangs started with different checkpoints: %d", alone, mixed)
	return alone == 0
}

// cancelledUnsure: the store carries out the writes of a submission late and without an
// answer, all others as usual. The client is told that the outcome is not known, and
// cancels the job.
func cancelledUnsure(w *world, trouble bool) bool {
	w.site(3)
	const id = "00000000000000f1"
	const late = 4500 * time.Millisecond
	begin := time.Now()
	if trouble {
		w.store.late = func(t *txn) time.Duration {
			if len(t.SetKeys) == 0 || !strings.Contains(t.SetKeys[0].Key, id) || time.Since(begin) > clientTimeout {
				return 0
			}
			w.note("the store receives a write of the submission, and carries it out %v later without an answer", late)
			return late
		}
	}
	j := &job{Spec: "report"}
	for i := range 6 {
		st := &step{Count: 2, Cpu: 1800, MemoryMb: 512, EstimatedMs: 2500, work: 2500 * time.Millisecond}
		if i > 0 {
			st.After = []int{i - 1}
		}
		j.Steps = append(j.Steps, st)
	}
	w.mu.Lock()
	w.jobs[id] = j
	w.mu.Unlock()
	status, _ := w.call(w.entries[0], http.MethodPost, id, j)
	w.say("POST %s at %s: %d", id, w.entries[0].name, status)
	status, _ = w.call(w.entries[1], http.MethodDelete, id, nil)
	w.say("DELETE %s at %s: %d", id, w.entries[1].name, status)
	if status/100 != 2 && status != http.StatusGone {
		w.cannotRun("the cancelling was not acknowledged")
	}
	time.Sleep(cancelTime + stopTime)
	before := w.startsOf(id)
	running := len(w.runsOf(id))
	w.say("%.1f s after the acknowledgement %d subtasks of the job run", (cancelTime + stopTime).Seconds(), running)
	time.Sleep(18 * time.Second)
	later := w.startsOf(id) - before
	w.say("%d subtasks of the job started later than that; it is shown as %s", later, w.state(id))
	return running == 0 && later == 0
}

// startsOf returns the number of starts of a job's subtasks.
func (w *world) startsOf(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for task, starts := range w.starts {
		if strings.HasPrefix(task, id+".") {
			n += starts
		}
	}
	return n
}

// watchMemory kills processes that exceed their memory and starts them again, as the
// platform does, until the returned function is called. That notes the kills.
func (w *world) watchMemory() (stop func()) {
	peak := make([]int, len(w.entries))
	end, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case <-end:
				return
			case <-time.After(50 * time.Millisecond):
			}
			for i, p := range w.entries {
				used := p.memory()
				peak[i] = max(peak[i], used)
				if used > memoryMb {
					p.kills++
					w.say("%s uses %d MB of %d: the platform kills it", p.name, used, memoryMb)
					p.kill()
					time.AfterFunc(restartDelay, p.start)
				}
			}
		}
	}()
	return func() {
		close(end)
		<-done
		for i, p := range w.entries {
			w.say("%s: at most %d MB, killed %d times", p.name, peak[i], p.kills)
		}
	}
}

// longSchedule: a client hands in a job with a long schedule, and another client a small
// job. The platform kills processes that exceed their memory and starts them again.
func longSchedule(w *world, trouble bool) bool {
	w.site(3)
	repetitions, interval := 6, 5*time.Minute
	if trouble {
		repetitions = int(365 * 24 * time.Hour / interval)
	}
	stop := w.watchMemory()
	const long, small = "0000000000000091", "0000000000000092"
	st := step{Count: 6, Cpu: 1800, MemoryMb: 512, EstimatedMs: 640, work: 640 * time.Millisecond}
	after := st
	after.After = []int{0}
	w.submit(long, &job{
		Spec: "every five minutes for a year", Steps: []*step{&st, &after},
		Repetitions: repetitions, StartAtMs: time.Now().Add(interval).UnixMilli(), IntervalMs: interval.Milliseconds(),
	})
	time.Sleep(2 * time.Second)
	w.submit(small, &job{Spec: "order", Steps: []*step{{Count: 4, Cpu: 1800, MemoryMb: 512, EstimatedMs: 1000, work: time.Second}}})
	idle := w.follow(small, 40*time.Second)
	stop()
	return idle <= allowedIdle
}
