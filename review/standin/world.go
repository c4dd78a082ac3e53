package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// world is the platform with its minions, and the record of what they saw.
type world struct {
	mu      sync.Mutex
	changed chan struct{} // closed at the next change
	store   *store
	minions []*minion
	jobs    map[string]*job
	starts  map[string]int  // starts by subtask
	noted   map[string]bool // subtasks whose end done was acknowledged
	ends    map[string]int  // ends by kind
	broken  int             // breaks of a rule that the minions have seen
	// mixedGangs counts the gangs whose members were started with different checkpoints.
	mixedGangs int
	begunAt    time.Time
	// submittedAt is when the last job was accepted. Only the goroutine of the case uses it.
	submittedAt time.Time
	record      *os.File
	address     string // of the store, the machine service and the advice service
	entries     []*process
	folder      string
	linkMbps    int             // speed of the machines\' links, or 0 for no limit
	retention   int             // status_s of the settings
	client      *http.Transport // of the clients
	ports       int             // ports given out or found in use
}

// step is a step of a job, as a client sends it. The fields without a name on the wire
// tell the stand-in how its subtasks behave.
type step struct {
	Count       int
	Cpu         int   `json:",omitempty"` //nolint:revive // spelled as in the protocol
	MemoryMb    int   `json:"-"`          // memoryField on the wire
	Gpu         int   `json:",omitempty"`
	EstimatedMs int   `json:",omitempty"`
	After       []int `json:",omitempty"`

	Checkpointing  bool   `json:",omitempty"`
	Gang           bool   `json:",omitempty"`
	LongRunning    bool   `json:",omitempty"`
	Requirements   string `json:",omitempty"`
	MaxPerServer   int    `json:",omitempty"`
	MaxUnavailable int    `json:",omitempty"`

	work      time.Duration
	failRuns  int // the first runs of each subtask end failed, after failAfter
	failAfter time.Duration
}

// MarshalJSON encodes a step as in the protocol.
func (s *step) MarshalJSON() ([]byte, error) {
	type plain step
	encoded, err := json.Marshal((*plain)(s))
	if err != nil || s.MemoryMb == 0 {
		return encoded, err
	}
	return append(encoded[:len(encoded)-1], fmt.Sprintf(",%q:%d}", strings.TrimSpace(memoryField), s.MemoryMb)...), nil
}

// job is a job as a client sends it.
type job struct {
	Spec        string
	Steps       []*step
	Repetitions int   `json:",omitempty"`
	StartAtMs   int64 `json:",omitempty"`
	IntervalMs  int64 `json:",omitempty"`
}

func newWorld(folder, record string) (*world, error) {
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	w := &world{
		changed: make(chan struct{}), jobs: map[string]*job{}, starts: map[string]int{}, noted: map[string]bool{}, ends: map[string]int{},
		begunAt: time.Now(), record: file, folder: folder, retention: 120,
		client: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 5 * time.Second},
	}
	w.store = newStore(w)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.address = listener.Addr().String()
	mux := http.NewServeMux()
	w.store.register(mux)
	mux.HandleFunc(api+"machines", w.serveMachines)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	go w.run()
	return w, nil
}

// run lets time pass.
func (w *world) run() {
	for now := range time.Tick(5 * time.Millisecond) {
		w.mu.Lock()
		w.store.expireLeases(now)
		for _, m := range w.minions {
			m.advance(now)
			if m.gone && now.Sub(m.beatAt) > 3*heartbeat && w.store.items["servers/"+m.id] != nil {
				w.store.revision++
				w.store.remove("servers/"+m.id, w.store.revision)
				w.note("the entry of %s is removed from the registry", m.id)
				w.wake()
			}
		}
		w.mu.Unlock()
	}
}

func (w *world) wake() {
	close(w.changed)
	w.changed = make(chan struct{})
}

// note adds a line to the record. The caller holds mu.
func (w *world) note(format string, args ...any) {
	_, _ = fmt.Fprintf(w.record, "%8.3f %s\n", time.Since(w.begunAt).Seconds(), fmt.Sprintf(format, args...)) // nothing to do about a full disk
}

// say adds a line to the record and prints it.
func (w *world) say(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.note(format, args...)
	fmt.Printf(format+"\n", args...)
}

// cannotRun ends the case because it could not be played.
func (w *world) cannotRun(format string, args ...any) {
	w.say("could not run: "+format, args...)
	w.endProcesses()
	os.Exit(exitNotRun)
}

// serveMachines lists the machines.
func (w *world) serveMachines(rw http.ResponseWriter, _ *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	rows := []map[string]any{}
	for _, m := range w.minions {
		row := map[string]any{"Machine": m.machine, "Pool": m.pool, "State": "up", "Zone": "z1", "Labels": m.labels, "Capacity": m.capacity, "Id": m.id}
		if m.gone {
			row["State"] = "down"
			delete(row, "Id")
		}
		rows = append(rows, row)
	}
	answer(rw, http.StatusOK, map[string]any{"Machines": rows, "NextToken": nil})
}

// manifest writes the first manifest: one queue and one service.
func (w *world) manifest(maxAttempts int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.store.write("op/config", map[string]any{
		"Version": 3,
		"Routes": []map[string]any{{
			"Name": "queue", "Host": host, "Prefix": prefix, "Service": service, "Priority": 0, "MaxAttempts": maxAttempts,
			"SlowdownFactor": 2, "TargetLatencyMs": 600,
		}},
		"Services": []map[string]any{{"Name": service, "RejectsOverload": true}},
		"Limits":   map[string]any{"MaxBodyBytes": 262144},
	})
	w.note("the operator writes the manifest")
}

// stepOf returns the step of a subtask, or nil if no client sent it.
func (w *world) stepOf(task string) *step {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return nil
	}
	j := w.jobs[parts[0]]
	index, err := strconv.Atoi(parts[2])
	if j == nil || err != nil || index >= len(j.Steps) {
		return nil
	}
	return j.Steps[index]
}

// checkTwice notes a start of a subtask that runs already, or whose end done was taken
// note of.
func (w *world) checkTwice(at *minion, o *order) {
	now := time.Now()
	for _, m := range w.minions {
		for _, r := range m.runs {
			if r.task == o.Task && !m.gone && m.clock(now) < m.leaseMs {
				w.broken++
				w.note("RULE TWICE: %s run %d starts on %s while run %d is on %s", o.Task, o.Run, at.id, r.number, m.id)
			}
		}
	}
	if w.noted[o.Task] {
		w.broken++
		w.note("RULE TWICE: %s run %d starts on %s after its end done was taken note of", o.Task, o.Run, at.id)
	}
}

// gangMembers returns the runs of a gang with their minions.
func (w *world) gangMembers(task string, number int) map[*run]*minion {
	stage := task[:strings.LastIndexByte(task, '.')+1]
	members := map[*run]*minion{}
	for _, m := range w.minions {
		for _, r := range m.runs {
			if strings.HasPrefix(r.task, stage) && r.number == number {
				members[r] = m
			}
		}
	}
	return members
}

// assembleGang lets a gang begin once all of its members are present. Members that
// carry different checkpoints don't resume from one point and so never work together.
func (w *world) assembleGang(now time.Time, task string, number int, st *step) {
	members := w.gangMembers(task, number)
	if len(members) < st.Count {
		return
	}
	values := map[string]bool{}
	for r := range members {
		values[r.checkpoint] = true
	}
	if len(values) > 1 {
		w.mixedGangs++
		w.note("the members of gang %s run %d are present, but carry %d different checkpoints", task, number, len(values))
		return
	}
	for r := range members {
		r.begunAt = now
	}
	w.note("gang %s run %d begins to work", task, number)
}

func (w *world) endGang(ended *run, how string) {
	for r, m := range w.gangMembers(ended.task, ended.number) {
		m.end(r, how)
	}
}

func answer(rw http.ResponseWriter, status int, body any) {
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	if body != nil {
		_ = json.NewEncoder(rw).Encode(body) // the caller may have gone
	}
}

// answerAtLinkSpeed answers with 200 at the speed of a machine's link, if one is set.
func (w *world) answerAtLinkSpeed(rw http.ResponseWriter, body any) {
	if w.linkMbps == 0 {
		answer(rw, http.StatusOK, body)
		return
	}
	encoded, err := json.Marshal(body)
	if err != nil {
		panic(err) // only items of the store are encoded
	}
	rw.Header().Set("Content-Length", strconv.Itoa(len(encoded)))
	const chunk = 16 << 10
	for len(encoded) > 0 {
		n := min(chunk, len(encoded))
		time.Sleep(time.Duration(n) * 8 * time.Microsecond / time.Duration(w.linkMbps))
		if _, err := rw.Write(encoded[:n]); err != nil {
			return
		}
		_ = http.NewResponseController(rw).Flush()
		encoded = encoded[n:]
	}
}

func decode(rw http.ResponseWriter, r *http.Request, target any) bool {
	data, err := io.ReadAll(r.Body)
	if err == nil && len(data) > 0 {
		err = json.Unmarshal(data, target)
	}
	if err != nil {
		answer(rw, http.StatusBadRequest, map[string]string{"Error": err.Error()})
		return false
	}
	return true
}
