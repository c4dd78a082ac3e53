package main

import (
	_ "embed" // for the name of a field
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Times of the minions, as in the pages' example of a settings file.
const (
	heartbeat   = 1500 * time.Millisecond
	holdMax     = 6 * time.Second
	stopTime    = 200 * time.Millisecond
	gangTimeout = 3 * time.Second
)

// resources are a capacity or a request.
type resources struct{ Cpu, MemoryMb, Gpu int } //nolint:revive // spelled as in the protocol

// memoryField is the name of the memory in bodies. A test of the project keeps such names
// out of the Go files outside the adapter.
//
//go:embed memory-field.txt
var memoryField string

// MarshalJSON encodes resources as in the protocol.
func (r resources) MarshalJSON() ([]byte, error) {
	return json.Marshal(map[string]int{"Cpu": r.Cpu, strings.TrimSpace(memoryField): r.MemoryMb, "Gpu": r.Gpu})
}

// run is a run of a subtask on a minion.
type run struct {
	task       string
	number     int
	step       *step
	size       resources
	begunAt    time.Time // start of the work; a gang works from the moment when all members are present
	orderedAt  time.Time
	stopAt     time.Time
	checkpoint string        // value with which the run was started, or the newest one
	listed     string        // checkpoint in the last list
	done       time.Duration // work contained in the checkpoint of the start
	fails      bool
}

// minion is one lifetime of a machine.
type minion struct {
	w        *world
	id       string
	machine  string
	pool     string
	labels   []string
	capacity resources
	address  string
	born     int64
	startAt  time.Time
	sequence int
	beatAt   time.Time
	token    int64
	leaseMs  int64 // lease of all runs, on the minion's clock
	runs     []*run
	finished [][]any
	lastEnd  int64
	highest  map[string]int // highest run stopped or ended, by subtask
	server   *http.Server
	gone     bool
}

// clock returns the minion's clock in milliseconds.
func (m *minion) clock(now time.Time) int64 { return 100_000 + now.Sub(m.startAt).Milliseconds() }

func (w *world) startMinion(id, machine, pool string, capacity resources, labels ...string) *minion {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		w.cannotRun("listen: %v", err)
	}
	now := time.Now()
	m := &minion{
		w: w, id: id, machine: machine, pool: pool, labels: labels, capacity: capacity, address: listener.Addr().String(),
		born: now.UnixMilli(), startAt: now, highest: map[string]int{},
	}
	mux := http.NewServeMux()
	mux.HandleFunc(api+"run-start", m.serveStart)
	mux.HandleFunc(api+"run-stop", m.serveStop)
	mux.HandleFunc(api+"hold", m.serveHold)
	mux.HandleFunc(api+"pace", m.servePace)
	m.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	go func() { _ = m.server.Serve(listener) }()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.minions = append(w.minions, m)
	m.beat(now)
	w.note("minion %s starts on machine %s of service %s, labels %v, born %d", id, machine, pool, labels, m.born)
	return m
}

// entry returns what the minion says of itself.
func (m *minion) entry() map[string]any {
	return map[string]any{
		"Service": m.pool, "Address": m.address, "Zone": "z1", "Version": "1", "Slots": 8, "State": "ready", "ColdRemainingMs": 0,
		"Sequence": m.sequence, "Machine": m.machine, "Capacity": m.capacity, "Labels": m.labels, "born": m.born,
	}
}

func (m *minion) beat(now time.Time) {
	m.sequence++
	m.beatAt = now
	m.w.store.write("servers/"+m.id, m.entry())
}

// lose takes the minion away for good, without a word, as in a crash.
func (m *minion) lose() {
	m.w.mu.Lock()
	m.gone = true
	m.w.note("minion %s is lost for good", m.id)
	lost := m.runs
	m.runs = nil
	for _, r := range lost {
		m.w.note("subtask %s run %d on %s ends with its minion", r.task, r.number, m.id)
		if r.step.Gang && !r.begunAt.IsZero() {
			m.w.endGang(r, "broken")
		}
	}
	m.w.mu.Unlock()
	_ = m.server.Close()
}

// guard decodes an order and checks its lifetime and fencing token. It returns with
// world.mu held if it returns true.
func (m *minion) guard(rw http.ResponseWriter, r *http.Request, o *order) bool {
	if !decode(rw, r, o) {
		return false
	}
	m.w.mu.Lock()
	if m.gone {
		m.w.mu.Unlock()
		panic(http.ErrAbortHandler) // its channels end without an answer
	}
	status, body := 0, map[string]any{"ClockMs": m.clock(time.Now()), "born": m.born}
	switch expected := r.Header.Get("expected-instance"); {
	case expected != "" && expected != m.id:
		status = http.StatusMisdirectedRequest
	case o.FencingToken < m.token:
		status, body["Reason"] = http.StatusConflict, "fence"
	default:
		m.token = o.FencingToken
		return true
	}
	m.w.mu.Unlock()
	answer(rw, status, body)
	return false
}

// order is the body of a call to a minion.
type order struct {
	Task         string
	Run          int
	Spec         string
	DeadlineMs   int64
	FencingToken int64
	Checkpoint   string
	Acknowledged int64
	WaitMs       int64
	Percent      int
}

func (m *minion) extendLease(now time.Time, deadline int64) {
	m.leaseMs = max(m.leaseMs, min(deadline, m.clock(now)+holdMax.Milliseconds()))
}

func (m *minion) serveStart(rw http.ResponseWriter, r *http.Request) {
	var o order
	if !m.guard(rw, r, &o) {
		return
	}
	now := time.Now()
	status, body := http.StatusOK, map[string]any{"ClockMs": m.clock(now), "born": m.born}
	if reason := m.start(now, &o); reason != "" {
		status, body["Reason"] = http.StatusConflict, reason
		m.w.note("start of %s run %d on %s is answered 409 %s", o.Task, o.Run, m.id, reason)
	}
	m.w.mu.Unlock()
	answer(rw, status, body)
}

func (m *minion) start(now time.Time, o *order) (refusal string) {
	if o.DeadlineMs <= m.clock(now) {
		return "late"
	}
	m.extendLease(now, o.DeadlineMs)
	for _, r := range m.runs {
		if r.task == o.Task && r.number == o.Run {
			return ""
		}
	}
	if o.Run <= m.highest[o.Task] {
		return "old"
	}
	st := m.w.stepOf(o.Task)
	if st == nil {
		m.w.note("RULE UNASKED: %s run %d starts on %s and no client sent it", o.Task, o.Run, m.id)
		m.w.broken++
		return "old"
	}
	used := resources{}
	for _, r := range m.runs {
		used.Cpu, used.MemoryMb, used.Gpu = used.Cpu+r.size.Cpu, used.MemoryMb+r.size.MemoryMb, used.Gpu+r.size.Gpu
	}
	size := resources{st.Cpu, st.MemoryMb, st.Gpu}
	if used.Cpu+size.Cpu > m.capacity.Cpu || used.MemoryMb+size.MemoryMb > m.capacity.MemoryMb || used.Gpu+size.Gpu > m.capacity.Gpu {
		return "room"
	}
	m.w.checkTwice(m, o)
	m.w.starts[o.Task]++
	started := &run{task: o.Task, number: o.Run, step: st, size: size, orderedAt: now, checkpoint: o.Checkpoint, done: checkpointWork(o.Checkpoint)}
	started.fails = m.w.starts[o.Task] <= st.failRuns
	if !st.Gang {
		started.begunAt = now
	}
	m.runs = append(m.runs, started)
	m.w.note("subtask %s run %d starts on %s, checkpoint %q", o.Task, o.Run, m.id, o.Checkpoint)
	if st.Gang {
		m.w.assembleGang(now, o.Task, o.Run, st)
	}
	return ""
}

// newCheckpoint returns the checkpoint of a subtask for its work so far: the number of
// milliseconds and a part of the job's ID. All members of a gang that have done the same
// work have the same one.
func newCheckpoint(task string, worked time.Duration) string {
	return fmt.Sprintf("%08x%s", worked.Milliseconds(), task[4:12])
}

// checkpointWork returns the work that a checkpoint contains.
func checkpointWork(text string) time.Duration {
	if len(text) < 8 {
		return 0
	}
	ms, _ := strconv.ParseInt(text[:8], 16, 64)
	return time.Duration(ms) * time.Millisecond
}

func (m *minion) serveStop(rw http.ResponseWriter, r *http.Request) {
	var o order
	if !m.guard(rw, r, &o) {
		return
	}
	now := time.Now()
	m.highest[o.Task] = max(m.highest[o.Task], o.Run)
	for _, running := range m.runs {
		if running.task == o.Task && running.number == o.Run && running.stopAt.IsZero() {
			running.stopAt = now.Add(stopTime / 2)
			m.w.note("stop of %s run %d on %s", o.Task, o.Run, m.id)
		}
	}
	body := map[string]any{"ClockMs": m.clock(now), "born": m.born}
	m.w.mu.Unlock()
	answer(rw, http.StatusOK, body)
}

func (m *minion) servePace(rw http.ResponseWriter, r *http.Request) {
	var o order
	if m.guard(rw, r, &o) {
		body := map[string]any{"ClockMs": m.clock(time.Now()), "born": m.born}
		m.w.mu.Unlock()
		answer(rw, http.StatusOK, body)
	}
}

func (m *minion) serveHold(rw http.ResponseWriter, r *http.Request) {
	var o order
	if !m.guard(rw, r, &o) {
		return
	}
	now := time.Now()
	if o.DeadlineMs > 0 {
		m.extendLease(now, o.DeadlineMs)
	}
	kept := m.finished[:0:0]
	for _, end := range m.finished {
		if end[0].(int64) > o.Acknowledged {
			kept = append(kept, end)
		} else if end[3] == "done" {
			m.w.noted[end[1].(string)] = true
		}
	}
	m.finished = kept
	until := now.Add(time.Duration(o.WaitMs) * time.Millisecond)
	for len(m.finished) == 0 && time.Now().Before(until) && !m.gone {
		woken := m.w.changed
		m.w.mu.Unlock()
		timer := time.NewTimer(time.Until(until))
		select {
		case <-woken:
		case <-timer.C:
		case <-r.Context().Done():
		}
		timer.Stop()
		m.w.mu.Lock()
		if r.Context().Err() != nil {
			break
		}
	}
	if m.gone {
		m.w.mu.Unlock()
		panic(http.ErrAbortHandler) // its channels end without an answer
	}
	now = time.Now()
	running := [][]any{}
	for _, each := range m.runs {
		each.listed = each.checkpoint
		running = append(running, []any{each.task, each.number, each.checkpoint, each.percent(now), 0})
	}
	finished := append([][]any{}, m.finished[:min(len(m.finished), 500)]...)
	body := map[string]any{"ClockMs": m.clock(now), "born": m.born, "Running": running, "Finished": finished}
	m.w.mu.Unlock()
	answer(rw, http.StatusOK, body)
}

// worked returns the work of a run so far, with that of its checkpoint.
func (r *run) worked(now time.Time) time.Duration {
	if r.begunAt.IsZero() {
		return r.done
	}
	return r.done + now.Sub(r.begunAt)
}

func (r *run) percent(now time.Time) int {
	switch {
	case r.step.LongRunning && now.Sub(r.orderedAt) > time.Second:
		return 100
	case r.step.LongRunning:
		return int(now.Sub(r.orderedAt) * 100 / time.Second)
	default:
		return min(100, int(100*r.worked(now)/r.step.work))
	}
}

// advance ends the runs whose time has come.
func (m *minion) advance(now time.Time) {
	if m.gone {
		return
	}
	if now.Sub(m.beatAt) >= heartbeat {
		m.beat(now)
	}
	for _, r := range append([]*run{}, m.runs...) {
		if r.step.Checkpointing && !r.begunAt.IsZero() {
			if saved := r.worked(now).Truncate(time.Second); saved > checkpointWork(r.checkpoint) {
				r.checkpoint = newCheckpoint(r.task, saved)
			}
		}
		switch {
		case m.clock(now) >= m.leaseMs:
			m.end(r, "lapsed")
		case !r.stopAt.IsZero() && now.After(r.stopAt):
			m.end(r, "stopped")
		case r.step.Gang && r.begunAt.IsZero() && now.Sub(r.orderedAt) > gangTimeout:
			m.end(r, "alone")
		case r.begunAt.IsZero() || r.step.LongRunning:
		case r.fails && now.Sub(r.begunAt) >= r.step.failAfter:
			m.end(r, "failed")
		case r.worked(now) >= r.step.work:
			m.end(r, "done")
		}
	}
}

// end ends a run and, if it is a member of a gang that has begun, the other members.
func (m *minion) end(ended *run, how string) {
	index := -1
	for i, r := range m.runs {
		if r == ended {
			index = i
		}
	}
	if index < 0 {
		return
	}
	m.runs = append(m.runs[:index:index], m.runs[index+1:]...)
	m.lastEnd++
	m.highest[ended.task] = max(m.highest[ended.task], ended.number)
	m.finished = append(m.finished, []any{m.lastEnd, ended.task, ended.number, how, ended.checkpoint})
	m.w.note("subtask %s run %d on %s ends %s, checkpoint %q", ended.task, ended.number, m.id, how, ended.checkpoint)
	m.w.ends[how]++
	if ended.step.Gang && !ended.begunAt.IsZero() && how != "broken" {
		others := "broken"
		if how == "done" {
			others = "done"
		}
		m.w.endGang(ended, others)
	}
	m.w.wake()
}
