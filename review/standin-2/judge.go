package main

import (
	"strconv"
	"time"
)

// lostAfter is how long a job may have nothing running although a subtask's turn has come
// and there is capacity for it twice over; calmBefore is how long no disruption may have
// been near before. For a subtask that lasts the time counts from lastingGrace after its
// last run.
const (
	lostAfter    = 3 * time.Second
	calmBefore   = 4 * time.Second
	lastingGrace = 6 * time.Second
)

// room returns for how many subtasks of a step sound minions that may run them have room,
// and whether under half of the service's capacity is in use.
func (s *site) room(st *step) (subtasks int, underHalf bool) {
	used, all := 0, 0
	for _, m := range s.minions {
		if m.gone {
			continue
		}
		used, all = used+m.used().cpu, all+m.capacity.cpu
		if m.draining || s.policy != nil && !s.policy(m.id) || st.requirements != "" && st.requirements != m.rack && st.requirements != "a" {
			continue
		}
		for free := m.free(); (size{st.cpu, st.memory}).fits(free); subtasks++ {
			free.cpu, free.memory = free.cpu-st.cpu, free.memory-st.memory
		}
	}
	return subtasks, 2*used < all
}

// waits reports whether a job of one step has nothing running although its turn has come,
// with capacity for its subtasks twice over and under half of the service's in use. One
// subtask that lasts is enough.
func (s *site) waits(j *job, grace time.Duration) bool {
	st := &j.steps[0]
	open := 0
	for i := range st.count {
		h := s.historyOf(j.id + ".0.0." + strconv.Itoa(i))
		switch n := len(h.ends); {
		case h.running > 0 && !st.lasts:
			return false
		case h.running > 0 || time.Since(h.endedAt) < grace:
		case n == 0 || h.ends[n-1] != "done":
			open++
		}
	}
	subtasks, underHalf := s.room(st)
	return open > 0 && !j.ackAt.IsZero() && subtasks >= 2*open && underHalf
}

// longestWait watches a job for a time and returns how long it waited at most on end.
func (w *world) longestWait(j *job, watch, grace time.Duration) time.Duration {
	var longest time.Duration
	since, asked := time.Time{}, time.Time{}
	for until := time.Now().Add(watch); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		w.mu.Lock()
		waits := w.waits(j, grace)
		w.mu.Unlock()
		switch {
		case !waits:
			since = time.Time{}
		case since.IsZero():
			since = time.Now()
		default:
			longest = max(longest, time.Since(since))
		}
		if time.Since(asked) > 2*time.Second {
			w.client.state(j.id)
			asked = time.Now()
		}
	}
	w.record.printf("job %s waited for at most %.2f s on end without a run, with room for it twice over", j.id, longest.Seconds())
	return longest
}
