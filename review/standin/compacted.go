package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Sizes and times of the case compactedHistory.
const (
	finishedJobs   = 1500
	submitters     = 64
	shortRetention = 40 // status_s, so that records are removed within the time of a script
	slowFactor     = 60 // platform_slow: x = 60, for_s = 4.5
	slowTime       = 4500 * time.Millisecond
	rounds         = 5
)

// compactedHistory: many jobs are done, and their records are being removed, ten every two
// seconds. The store forgets its history while it is slow.
func compactedHistory(w *world, trouble bool) bool {
	return w.removeAndCompact("order", func() {
		if trouble {
			w.setSlower(slowFactor)
			begin := time.Now()
			w.store.compact()
			time.Sleep(time.Until(begin.Add(slowTime)))
			w.setSlower(1)
		}
	})
}

// compactedLink: the same with a store that answers in its usual time, to machines with
// links of 10 Mbit/s, as on the grown site, and with jobs of the site's mean size.
func compactedLink(w *world, trouble bool) bool {
	w.linkMbps = 10
	return w.removeAndCompact(strings.Repeat("x", 500), func() {
		if trouble {
			w.store.compact()
		}
	})
}

// removeAndCompact plays the disruption up to five times while the records of finished
// jobs are removed. It reports whether none of the jobs has started again.
func (w *world) removeAndCompact(spec string, disrupt func()) bool {
	w.retention = shortRetention
	w.site(3)
	removal := time.Now().Add((shortRetention + 12) * time.Second) // of the first records
	w.finishJobs(finishedJobs, spec)
	w.say("all ends are taken note of")
	time.Sleep(time.Until(removal))
	for n := range rounds {
		disrupt()
		time.Sleep(4 * time.Second)
		if w.breaks() > 0 {
			w.say("the store has forgotten its history %d times", n+1)
			break
		}
	}
	broken := w.breaks()
	w.say("subtasks started although their end done was taken note of: %d", broken)
	return broken == 0
}

func (w *world) setSlower(factor int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.store.slower = factor
	w.note("the store's answers take %d times as long as usual", factor)
}

// finishJobs hands in n jobs of one subtask and waits until all of them are done and
// their ends are taken note of.
func (w *world) finishJobs(n int, spec string) {
	st := &step{Count: 1, Cpu: 500, MemoryMb: 64, EstimatedMs: 20, work: 20 * time.Millisecond}
	ids := make(chan string)
	var submitting sync.WaitGroup
	for i := range submitters {
		submitting.Go(func() {
			for id := range ids {
				j := &job{Spec: spec, Steps: []*step{st}}
				w.mu.Lock()
				w.jobs[id] = j
				w.mu.Unlock()
				for try := range 20 {
					if status, _ := w.call(w.entries[(i+try)%len(w.entries)], http.MethodPost, id, j); status/100 == 2 {
						break
					}
					time.Sleep(200 * time.Millisecond)
				}
			}
		})
	}
	for i := range n {
		ids <- fmt.Sprintf("%08x%08x", uint32(i)*2654435761, i)
	}
	close(ids)
	submitting.Wait()
	w.say("%d jobs are handed in", n)
	count := func() (done, broken int) {
		w.mu.Lock()
		defer w.mu.Unlock()
		return len(w.noted), w.broken
	}
	if !waitFor(35*time.Second, func() bool { done, _ := count(); return done == n }) {
		done, _ := count()
		w.cannotRun("the ends of only %d of %d subtasks were taken note of", done, n)
	}
}

// breaks returns how many breaks of a rule the minions have seen.
func (w *world) breaks() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.broken
}

// blindOwner: the store forgets its history, and a client cancels a job meanwhile. The
// machines have links of 10 Mbit/s, as on the grown sites, and the jobs 1,200 bytes, the mean of
// two kinds of request on qdr-bridge.
func blindOwner(w *world, trouble bool) bool {
	const cancelTimeGrown = 4 * time.Second // cancel_ms there
	w.linkMbps = 10
	w.site(3)
	w.finishJobs(3000, strings.Repeat("x", 1200))
	const id = "00000000000000ba"
	j := &job{Spec: "report"}
	for i := range 40 {
		st := &step{Count: 2, Cpu: 1800, MemoryMb: 512, EstimatedMs: 300, work: 300 * time.Millisecond}
		if i > 0 {
			st.After = []int{i - 1}
		}
		j.Steps = append(j.Steps, st)
	}
	w.submit(id, j)
	w.waitForRuns(id, 1)
	time.Sleep(time.Second)
	forgotten := make(chan struct{})
	go func() {
		if trouble {
			w.store.compact()
		}
		close(forgotten)
	}()
	time.Sleep(deafTime / 5)
	p := w.notOwner()
	status, _ := w.call(p, http.MethodDelete, id, nil)
	w.say("DELETE %s at %s: %d", id, p.name, status)
	time.Sleep(cancelTimeGrown)
	before := w.startsOf(id)
	<-forgotten
	time.Sleep(10 * time.Second)
	later := w.startsOf(id) - before
	w.say("%d subtasks of the job started later than %v after the acknowledgement; it is shown as %s", later, cancelTimeGrown, w.state(id))
	return later == 0
}

// notOwner returns a process that doesn't own the pool: the client's channel ends there.
func (w *world) notOwner() *process {
	w.mu.Lock()
	defer w.mu.Unlock()
	owner := string(w.store.items["waxwing/owner/"+service].Value)
	for _, p := range w.entries {
		if !strings.Contains(owner, p.name) {
			return p
		}
	}
	return w.entries[0]
}
