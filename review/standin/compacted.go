package main

import (
	"fmt"
	"net/http"
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
	slowRounds     = 5
)

// compactedHistory: many jobs are done, and their records are being removed, ten every two
// seconds. The store forgets its history while it is slow.
func compactedHistory(w *world, trouble bool) bool {
	w.retention = shortRetention
	w.site(3)
	st := &step{Count: 1, Cpu: 500, MemoryMb: 64, EstimatedMs: 20, work: 20 * time.Millisecond}
	removal := time.Now().Add((shortRetention + 12) * time.Second) // of the first records
	ids := make(chan string)
	var submitting sync.WaitGroup
	for i := range submitters {
		submitting.Go(func() {
			for id := range ids {
				j := &job{Spec: "order", Steps: []*step{st}}
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
	for n := range finishedJobs {
		ids <- fmt.Sprintf("%08x%08x", uint32(n)*2654435761, n)
	}
	close(ids)
	submitting.Wait()
	w.say("%d jobs are handed in", finishedJobs)
	count := func() (done, broken int) {
		w.mu.Lock()
		defer w.mu.Unlock()
		return len(w.noted), w.broken
	}
	if !waitFor(35*time.Second, func() bool { done, _ := count(); return done == finishedJobs }) {
		done, _ := count()
		w.cannotRun("the ends of only %d of %d subtasks were taken note of", done, finishedJobs)
	}
	w.say("all ends are taken note of")
	time.Sleep(time.Until(removal))
	for n := range slowRounds {
		if trouble {
			w.setSlower(slowFactor)
			begin := time.Now()
			w.store.compact()
			time.Sleep(time.Until(begin.Add(slowTime)))
			w.setSlower(1)
		}
		time.Sleep(4 * time.Second)
		if _, broken := count(); broken > 0 {
			w.say("the store has been slow, and has forgotten its history, %d times", n+1)
			break
		}
	}
	_, broken := count()
	w.say("subtasks started although their end done was taken note of: %d", broken)
	return broken == 0
}

func (w *world) setSlower(factor int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.store.slower = factor
	w.note("the store's answers take %d times as long as usual", factor)
}
