package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// Figures of a minion.
const (
	heartbeatInterval = 1500 * time.Millisecond
	holdMax           = 6 * time.Second
	stopTime          = 150 * time.Millisecond // below StopMs
	advanceInterval   = 5 * time.Millisecond
	endsPerAnswer     = 500
	// inZone and crossZone are the times of a call and its answer on the links of the site.
	inZone         = 400 * time.Microsecond
	crossZone      = time.Millisecond
	servingPercent = 100
)

// size is an amount of a minion's resources.
type size struct{ cpu, memory int }

func (s size) fits(free size) bool { return s.cpu <= free.cpu && s.memory <= free.memory }

// run is one run of a subtask on a minion.
type run struct {
	task    string
	number  int
	need    size
	started time.Time
	took    time.Duration // 0 means until it is stopped
	fails   bool
	stopAt  time.Time
}

// end is the end of a run that a minion lists.
type end struct {
	number int
	task   string
	run    int
	how    string
}

// minion is one life of a machine. The mutex of the site guards all fields.
type minion struct {
	site     *site
	id       string
	machine  string
	rack     string
	zone     string
	capacity size
	address  string
	server   *http.Server
	born     time.Time
	token    int64
	lease    time.Duration // on the minion's clock
	runs     []*run
	ends     []end
	lastEnd  int
	refused  map[string]int // by subtask: the highest run that was stopped or has ended
	sequence int
	draining bool
	cut      bool // from the store
	gone     bool
	failing  bool          // all runs that it starts fail
	ahead    time.Duration // of the machine's time of day when it started
}

// clock is the minion's steady clock, which does not begin at zero.
func (m *minion) clock() time.Duration { return time.Since(m.born) + 8*time.Minute }

func (m *minion) used() size {
	var sum size
	for _, r := range m.runs {
		sum.cpu, sum.memory = sum.cpu+r.need.cpu, sum.memory+r.need.memory
	}
	return sum
}

func (m *minion) free() size {
	used := m.used()
	return size{m.capacity.cpu - used.cpu, m.capacity.memory - used.memory}
}

func (m *minion) listen() error {
	if m.address == "" {
		m.address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", m.address)
	if err != nil {
		return err
	}
	m.address = listener.Addr().String()
	m.server = &http.Server{Handler: http.HandlerFunc(m.serve), ReadHeaderTimeout: time.Minute}
	go func() { _ = m.server.Serve(listener) }() // ends when the minion is closed
	return nil
}

// entry is the minion's entry in the registry.
func (m *minion) entry() []byte {
	m.sequence++
	state := "ready"
	if m.draining {
		state = "draining"
	}
	value, _ := json.Marshal(map[string]any{ // cannot fail: the map holds plain values
		"Service": m.site.service, "Address": m.address, "Zone": m.zone, "Version": "v1", "Slots": 8, "State": state,
		"ColdRemainingMs": 0, "Machine": m.machine, "Labels": []string{"a", m.rack}, "Sequence": m.sequence,
		"Capacity": map[string]int{"Cpu": m.capacity.cpu, wire["memory"]: m.capacity.memory, "Gpu": 0},
		"ClockMs":  m.clock().Milliseconds(), "born": m.born.Add(m.ahead).UnixMilli(),
	})
	return value
}

// order is the body of a call to a minion.
type order struct {
	Task         string
	Run          int
	Spec         string
	DeadlineMs   int64
	FencingToken int64
	Ticket       string
	Acknowledged int
	WaitMs       int64
}

func (m *minion) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		return
	}
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.Header.Get(wire["instance"]) != m.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if time.Sleep(inZone); m.zone != entryZone {
		time.Sleep(crossZone - inZone)
	}
	status, answer := m.answer(r.URL.Path, &o)
	if status == http.StatusOK && r.URL.Path == wire["hold"] {
		m.waitForEnd(r, time.Duration(o.WaitMs)*time.Millisecond)
		answer = m.lists()
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(answer) // the caller may have disconnected
}

func (m *minion) answer(path string, o *order) (int, map[string]any) {
	m.site.mu.Lock()
	defer m.site.mu.Unlock()
	answer := map[string]any{"ClockMs": m.clock().Milliseconds(), "born": m.born.Add(m.ahead).UnixMilli()}
	reason := ""
	switch {
	case o.FencingToken < m.token:
		reason = "fence"
	default:
		m.token = o.FencingToken
		reason = m.execute(path, o)
	}
	if reason != "" {
		answer["Reason"] = reason
		return http.StatusConflict, answer
	}
	return http.StatusOK, answer
}

// execute carries an order out, or returns why it does not.
func (m *minion) execute(path string, o *order) string {
	deadline := min(time.Duration(o.DeadlineMs)*time.Millisecond, m.clock()+holdMax)
	switch path {
	case wire["start"]:
		reason := m.start(o, deadline)
		m.site.record.printf("start %s run %d on %s token %d: %s", o.Task, o.Run, m.id, o.FencingToken, orDone(reason))
		return reason
	case wire["stop"]:
		m.refused[o.Task] = max(m.refused[o.Task], o.Run)
		for _, r := range m.runs {
			if r.task == o.Task && r.number == o.Run && r.stopAt.IsZero() {
				r.stopAt = time.Now().Add(stopTime)
			}
		}
		m.site.record.printf("stop %s run %d on %s", o.Task, o.Run, m.id)
	case wire["hold"]:
		m.lease = max(m.lease, deadline)
		for len(m.ends) > 0 && m.ends[0].number <= o.Acknowledged {
			m.site.acknowledged(m.ends[0])
			m.ends = m.ends[1:]
		}
	}
	return ""
}

func orDone(reason string) string {
	if reason == "" {
		return "done"
	}
	return "409 " + reason
}

func (m *minion) start(o *order, deadline time.Duration) string {
	if deadline <= m.clock() {
		return "late"
	}
	for _, r := range m.runs {
		if r.task == o.Task && r.number == o.Run {
			return ""
		}
	}
	if o.Run <= m.refused[o.Task] {
		m.lease = max(m.lease, deadline)
		return "old"
	}
	if m.site.policy != nil && o.Ticket != m.site.ticket(m.id) {
		return "ticket"
	}
	r := m.site.newRun(o)
	if !r.need.fits(m.free()) {
		m.lease = max(m.lease, deadline)
		return "room"
	}
	m.lease = max(m.lease, deadline)
	r.fails = m.failing
	m.site.startedRun(m, r)
	m.runs = append(m.runs, r)
	return ""
}

func (m *minion) waitForEnd(r *http.Request, wait time.Duration) {
	for until := time.Now().Add(wait); time.Now().Before(until) && r.Context().Err() == nil; time.Sleep(advanceInterval) {
		m.site.mu.Lock()
		ready := len(m.ends) > 0 || m.gone
		m.site.mu.Unlock()
		if ready {
			return
		}
	}
}

func (m *minion) lists() map[string]any {
	m.site.mu.Lock()
	defer m.site.mu.Unlock()
	running, finished := [][]any{}, [][]any{}
	for _, r := range m.runs {
		percent := servingPercent
		if r.took > 0 {
			percent = int(100 * time.Since(r.started) / r.took)
		}
		running = append(running, []any{r.task, r.number, "", min(percent, servingPercent), r.need.cpu})
	}
	for _, e := range m.ends[:min(len(m.ends), endsPerAnswer)] {
		finished = append(finished, []any{e.number, e.task, e.run, e.how, ""})
	}
	return map[string]any{"ClockMs": m.clock().Milliseconds(), "born": m.born.Add(m.ahead).UnixMilli(), "Running": running, "Finished": finished}
}

// advance ends the runs whose time has come.
func (m *minion) advance(now time.Time) {
	kept := m.runs[:0]
	for _, r := range m.runs {
		how := m.fate(now, r)
		if how == "" {
			kept = append(kept, r)
			continue
		}
		m.lastEnd++
		m.ends = append(m.ends, end{m.lastEnd, r.task, r.number, how})
		m.refused[r.task] = max(m.refused[r.task], r.number)
		m.site.endedRun(m, r, how)
	}
	m.runs = kept
}

func (m *minion) fate(now time.Time, r *run) string {
	switch {
	case m.clock() >= m.lease:
		return "lapsed"
	case !r.stopAt.IsZero() && !now.Before(r.stopAt):
		return "stopped"
	case r.took > 0 && now.Sub(r.started) >= r.took && r.fails:
		return "failed"
	case r.took > 0 && now.Sub(r.started) >= r.took:
		return "done"
	}
	return ""
}

// record is the file that says what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	begin time.Time
	file  interface{ WriteString(string) (int, error) }
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = r.file.WriteString(fmt.Sprintf("%8.3f  ", time.Since(r.begin).Seconds()) + fmt.Sprintf(format, args...) + "\n")
}
