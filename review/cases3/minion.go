package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// minion is a minion of the platform. It may crash and start again under its id.
type minion struct {
	id      string
	machine string
	service string
	zone    string
	rack    string
	address string
	server  *http.Server
	born    time.Time
	// clockStart is what its clock shows at the start of each life.
	clockStart time.Duration
	up         bool
	backAt     time.Time // of a crashed one
	cut        bool      // it reaches nobody, and nobody reaches it
	sequence   int
	beatAt     time.Time

	token     int64
	holdUntil time.Duration // on its clock
	runs      []*run
	finished  []finished
	lastEnd   int64
	highest   map[string]int // highest run that was stopped or has ended, by subtask
}

type run struct {
	task   string
	number int
	work   time.Duration // 0 lasts
	cpu    int
	began  time.Time
	stopAt time.Time
}

type finished struct {
	number int64
	task   string
	run    int
	how    string
}

// taskState is what AVAIL asks of a subtask that lasts.
type taskState struct {
	atWork  bool
	last    time.Time // when it was last at work, or its first start
	ordered bool      // an order has ended it, and it has not been at work since
}

var taskStates = map[string]*taskState{}

func (m *minion) clock(now time.Time) time.Duration { return now.Sub(m.born) + m.clockStart }

func (r *run) percent(now time.Time) int {
	took := now.Sub(r.began)
	if r.work == 0 {
		return min(100, int(100*took/startupTime))
	}
	return min(99, int(100*took/r.work))
}

func (w *world) serve(handler http.Handler) (string, error) {
	listener, err := listen("")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 20 * time.Second}
	w.mu.Lock()
	w.servers = append(w.servers, server)
	w.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// open starts a life of a minion. The lock is held.
func (w *world) open(m *minion) {
	listener, err := listen(m.address)
	if err != nil {
		w.note("minion %s finds no address: %v", m.id, err)
		return
	}
	m.address = listener.Addr().String()
	m.server = &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) { w.serveMinion(rw, r, m) }), ReadHeaderTimeout: 20 * time.Second}
	server := m.server
	go func() { _ = server.Serve(listener) }()
	m.up, m.backAt = true, time.Time{}
	m.forget()
	w.beat(m)
}

// forget begins a life that knows nothing of the one before. Its clock starts anew.
func (m *minion) forget() {
	m.born = time.Now()
	m.token, m.holdUntil, m.runs, m.finished, m.lastEnd, m.highest, m.sequence = 0, 0, nil, nil, 0, map[string]int{}, 0
}

// restartBehindCut has a minion crash and start again at once while it is cut off. The lock is
// held.
func (w *world) restartBehindCut(m *minion) {
	w.note("minion %s is cut off from all, crashes with %d runs and starts again", m.id, len(m.runs))
	m.cut = true
	m.forget()
	w.wake()
}

// newMinion has a new minion join the pool of a machine. The lock is held.
func (w *world) newMinion(name string) {
	k := w.machines[name]
	w.nextID++
	m := &minion{id: fmt.Sprintf("i-%04d", w.nextID), clockStart: 20 * time.Second, machine: name, service: k.pool, zone: k.zone, rack: k.rack}
	w.minions[m.id], k.minion = m, m
	w.open(m)
	w.note("minion %s of %s joins %s", m.id, name, k.pool)
}

// beat writes the entry of a minion. The lock is held.
func (w *world) beat(m *minion) {
	m.sequence++
	m.beatAt = time.Now()
	value, _ := json.Marshal(map[string]any{ // its values can be encoded
		"Service": m.service, "Address": m.address, "Zone": m.zone, "Version": "v1", "Slots": 8, "State": "ready", "ColdRemainingMs": 0,
		"Capacity": map[string]int{"Cpu": minionCPU, wire("memory"): minionMemoryMb, "Gpu": 0}, "Labels": []string{"a", m.rack},
		"Machine": m.machine, "ClockMs": m.clock(m.beatAt).Milliseconds(), "Sequence": m.sequence, "born": m.born.UnixMilli(),
	})
	w.write("servers/"+m.id, value)
}

// crash ends the present life of a minion. It starts again under its id. The lock is held.
func (w *world) crash(m *minion, away time.Duration) {
	w.note("minion %s crashes with %d runs, for %v", m.id, len(m.runs), away)
	for _, r := range m.runs {
		w.away(r, false)
	}
	m.up, m.runs, m.backAt = false, nil, time.Now().Add(away)
	server := m.server
	go func() { _ = server.Close() }()
	w.wake()
}

// leave ends a minion for good. The lock is held.
func (w *world) leave(m *minion) {
	m.up, m.runs = false, nil
	server := m.server
	go func() { _ = server.Close() }()
	delete(w.minions, m.id)
	w.revision++
	w.remove("servers/" + m.id)
	w.wake()
}

func (w *world) advanceMinion(now time.Time, m *minion) {
	if (!m.up || m.cut) && now.Sub(m.beatAt) > 3*heartbeatEvery && w.items["servers/"+m.id] != nil {
		w.revision++
		w.remove("servers/" + m.id)
		w.wake()
	}
	if !m.up {
		if !m.backAt.IsZero() && now.After(m.backAt) {
			w.open(m)
			w.note("minion %s is back, born %d", m.id, m.born.UnixMilli())
		}
		return
	}
	if now.Sub(m.beatAt) >= heartbeatEvery && !m.cut {
		w.beat(m)
	}
	for _, r := range slices.Clone(m.runs) {
		how := ""
		switch {
		case m.clock(now) >= m.holdUntil:
			how = "lapsed"
		case !r.stopAt.IsZero() && now.After(r.stopAt):
			how = "stopped"
		case r.work > 0 && now.Sub(r.began) >= r.work:
			how = "done"
		}
		if how != "" {
			w.endRun(now, m, r, how)
		}
		if t := taskStates[r.task]; t != nil && how == "" && r.work == 0 && r.percent(now) == 100 && r.stopAt.IsZero() {
			t.atWork, t.last, t.ordered = true, now, false
		}
	}
}

func (w *world) endRun(now time.Time, m *minion, r *run, how string) {
	m.runs = slices.DeleteFunc(m.runs, func(other *run) bool { return other == r })
	m.lastEnd++
	m.finished = append(m.finished, finished{m.lastEnd, r.task, r.number, how})
	m.highest[r.task] = max(m.highest[r.task], r.number)
	w.ends = append(w.ends, end{now, r.task, r.number, m.id, how})
	w.note("%s run %d on %s ends: %s", r.task, r.number, m.id, how)
	if how != "stopped" {
		w.away(r, false)
	}
	w.wake()
}

// away records that a subtask is not at work any more, and checks AVAIL if an order ends it.
func (w *world) away(r *run, ordered bool) {
	t := taskStates[r.task]
	if t == nil {
		return
	}
	was := t.atWork
	t.atWork = false
	if !ordered || !was {
		return
	}
	t.ordered, t.last = true, time.Now()
	step := r.task[:strings.LastIndexByte(r.task, '.')]
	others := 0
	for name, other := range taskStates {
		if name != r.task && strings.HasPrefix(name, step+".") && !other.atWork && (other.ordered || time.Since(other.last) >= noticeTime) {
			others++
		}
	}
	if allowed := w.unavailable[step]; allowed > 0 && others >= allowed {
		w.violate("AVAIL: an order ends %s, which is at work, while %d others of its step are away, and %d may be", r.task, others, allowed)
	}
}

type minionOrder struct {
	Task         string
	Run          int
	Spec         string
	DeadlineMs   int64
	FencingToken int64
	Acknowledged int64
	WaitMs       int64
}

func (w *world) serveMinion(rw http.ResponseWriter, r *http.Request, m *minion) {
	var o minionOrder
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		answer(rw, http.StatusBadRequest, nil)
		return
	}
	w.mu.Lock()
	if !m.up {
		w.mu.Unlock()
		drop(rw)
		return
	}
	if late := w.lateBy(r.URL.Path, &o, m); m.cut || late > 0 {
		w.mu.Unlock()
		if late > 0 {
			go w.executeLate(late, &o, m)
		}
		<-r.Context().Done()
		return
	}
	if expected := r.Header.Get(wire("expected")); expected != "" && expected != m.id {
		w.mu.Unlock()
		answer(rw, http.StatusMisdirectedRequest, nil)
		return
	}
	now := time.Now()
	body := map[string]any{"ClockMs": m.clock(now).Milliseconds(), "born": m.born.UnixMilli()}
	if o.FencingToken < m.token {
		w.note("minion %s refuses %s %s run %d: token %d is below %d", m.id, r.URL.Path, o.Task, o.Run, o.FencingToken, m.token)
		w.mu.Unlock()
		body["Reason"] = "fence"
		answer(rw, http.StatusConflict, body)
		return
	}
	m.token = o.FencingToken
	status := http.StatusOK
	switch r.URL.Path {
	case wire("start"):
		if reason := w.startRun(now, m, &o); reason != "" {
			status, body["Reason"] = http.StatusConflict, reason
		}
	case wire("stop"):
		w.stopRun(now, m, &o)
	case wire("hold"):
		w.mu.Unlock()
		w.serveHold(rw, r, m, &o)
		return
	case wire("pace"):
	default:
		status = http.StatusNotFound
	}
	w.mu.Unlock()
	answer(rw, status, body)
}

// lateBy returns after which time a start that gets no answer is executed, or 0 for an order
// that is executed now.
func (w *world) lateBy(path string, o *minionOrder, m *minion) time.Duration {
	if path != wire("start") || w.lateStart == nil || m.cut {
		return 0
	}
	return w.lateStart(o, m)
}

// executeLate has the present life of a minion execute a start, at once when it is up again.
func (w *world) executeLate(late time.Duration, o *minionOrder, m *minion) {
	time.Sleep(late)
	w.until(longestLate-late, func() bool { return m.up })
	w.mu.Lock()
	defer w.mu.Unlock()
	if !m.up || o.FencingToken < m.token {
		w.note("minion %s refuses the late start of %s run %d", m.id, o.Task, o.Run)
		return
	}
	m.token = o.FencingToken
	w.note("minion %s executes the late start of %s run %d: %q", m.id, o.Task, o.Run, w.startRun(time.Now(), m, o))
}

// used returns what the runs on a minion occupy.
func (m *minion) used() int {
	used := 0
	for _, r := range m.runs {
		used += r.cpu
	}
	return used
}

// hold extends what runs on a minion.
func (m *minion) hold(now time.Time, deadlineMs int64) {
	m.holdUntil = max(m.holdUntil, min(time.Duration(deadlineMs)*time.Millisecond, m.clock(now)+longestHold))
}

// parseSpec returns the work and the size that the text of a job names: WORK_MS:CPU, where a
// work of 0 lasts.
func parseSpec(spec string) (work time.Duration, cpu int) {
	ms, size, _ := strings.Cut(spec, ":")
	n, _ := strconv.Atoi(ms)
	cpu, _ = strconv.Atoi(size)
	return time.Duration(n) * time.Millisecond, cpu
}

func (w *world) startRun(now time.Time, m *minion, o *minionOrder) string {
	if time.Duration(o.DeadlineMs)*time.Millisecond <= m.clock(now) {
		return "late"
	}
	m.hold(now, o.DeadlineMs)
	work, cpu := parseSpec(o.Spec)
	for _, r := range m.runs {
		if r.task == o.Task && r.number == o.Run {
			return ""
		}
	}
	switch {
	case o.Run <= m.highest[o.Task]:
		return "old"
	case m.used()+cpu > minionCPU:
		return "room"
	}
	for _, other := range w.minions {
		for _, r := range other.runs {
			if r.task == o.Task && other.up {
				w.violate("TWICE: %s starts as run %d on %s while run %d is on %s, both up", o.Task, o.Run, m.id, r.number, other.id)
			}
		}
	}
	for _, e := range w.ends {
		if e.task == o.Task && e.how == "done" {
			w.note("%s starts after an end done", o.Task)
		}
	}
	m.runs = append(m.runs, &run{task: o.Task, number: o.Run, work: work, cpu: cpu, began: now})
	w.starts = append(w.starts, start{now, o.Task, o.Run, m.id})
	if work == 0 && taskStates[o.Task] == nil {
		taskStates[o.Task] = &taskState{last: now}
	}
	w.note("%s run %d starts on %s (%s, machine %s), token %d", o.Task, o.Run, m.id, m.service, m.machine, o.FencingToken)
	w.wake()
	return ""
}

func (w *world) stopRun(now time.Time, m *minion, o *minionOrder) {
	m.highest[o.Task] = max(m.highest[o.Task], o.Run)
	for _, r := range m.runs {
		if r.task == o.Task && r.number == o.Run && r.stopAt.IsZero() {
			r.stopAt = now.Add(stopTime)
			w.note("%s run %d on %s is told to stop", o.Task, o.Run, m.id)
			w.away(r, true)
		}
	}
}

func (w *world) serveHold(rw http.ResponseWriter, r *http.Request, m *minion, o *minionOrder) {
	timer := time.NewTimer(time.Duration(o.WaitMs) * time.Millisecond)
	defer timer.Stop()
	w.mu.Lock()
	born := m.born
	m.finished = slices.DeleteFunc(m.finished, func(f finished) bool { return f.number <= o.Acknowledged })
	if o.DeadlineMs > 0 {
		m.hold(time.Now(), o.DeadlineMs)
	}
	w.mu.Unlock()
	for expired := false; ; {
		w.mu.Lock()
		if !m.up || m.cut || m.born != born {
			w.mu.Unlock()
			drop(rw)
			return
		}
		if len(m.finished) > 0 || expired || o.WaitMs == 0 {
			body := m.lists(time.Now())
			w.mu.Unlock()
			answer(rw, http.StatusOK, body)
			return
		}
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

func (m *minion) lists(now time.Time) map[string]any {
	running, ended := [][]any{}, [][]any{}
	for _, r := range m.runs {
		running = append(running, []any{r.task, r.number, "", r.percent(now), 0})
	}
	for _, f := range m.finished[:min(500, len(m.finished))] {
		ended = append(ended, []any{f.number, f.task, f.run, f.how, ""})
	}
	return map[string]any{"ClockMs": m.clock(now).Milliseconds(), "born": m.born.UnixMilli(), "Running": running, "Finished": ended}
}

// hostOf returns the minion that a subtask runs on, or nil. The lock is held.
func (w *world) hostOf(task string) *minion {
	for _, m := range w.minions {
		for _, r := range m.runs {
			if r.task == task && m.up && r.stopAt.IsZero() {
				return m
			}
		}
	}
	return nil
}
