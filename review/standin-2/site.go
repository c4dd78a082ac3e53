package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/waxwingbridge/waxwingbridge/platform/standin"
)

// site is the platform around the processes: the project's stand-in of the store, and
// minions, the machine service and the advice service of this program.
type site struct {
	record  *record
	service string
	store   *standin.Site
	cloud   string // address of the machine service and of the advice service

	mu      sync.Mutex
	minions []*minion
	jobs    map[string]*job
	policy  func(minion string) bool
	decide  time.Duration // of the advice service, a call
	turn    sync.Mutex    // the advice service handles one call at a time
	twice   int           // starts of a subtask that ran or was done
}

// job is a job that a client has handed in.
type job struct {
	id     string
	steps  []step
	sentAt time.Time
	ackAt  time.Time // zero while it is not accepted
	runs   map[string]*history
}

// history is what has become of a subtask.
type history struct {
	running int
	done    bool
	ends    []string
	endedAt time.Time
}

func startSite(rec *record, service string) (*site, error) {
	s := &site{record: rec, service: service, jobs: map[string]*job{}}
	var err error
	if s.store, err = standin.Start(); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.cloud = listener.Addr().String()
	server := &http.Server{Handler: http.HandlerFunc(s.serveCloud), ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }() // ends with the program
	go s.advance()
	return s, nil
}

// entryZone is the zone of the processes.
const entryZone = "z1"

// zones are those of the minions.
var zones = []string{"z2", "z2", "z2", entryZone, entryZone, entryZone, entryZone, "z2", entryZone}

// addMinions starts n minions, four a rack.
func (s *site) addMinions(n int, capacity size) error {
	for i := range n {
		m := &minion{
			site: s, id: fmt.Sprintf("i-%02d", i+1), machine: fmt.Sprintf("m-%02d", i+1), rack: fmt.Sprintf("r1-%d", i/4+1), zone: zones[i%len(zones)],
			capacity: capacity, born: time.Now(), refused: map[string]int{},
		}
		if err := m.listen(); err != nil {
			return err
		}
		s.mu.Lock()
		s.minions = append(s.minions, m)
		s.mu.Unlock()
		s.store.Put("servers/"+m.id, m.entry())
		go s.beat(m)
	}
	return nil
}

// beat writes a minion's entry in the registry, which is removed after three intervals of
// silence.
func (s *site) beat(m *minion) {
	silent := 0
	for range time.Tick(heartbeatInterval) {
		s.mu.Lock()
		silenced, value := m.gone || m.cut, m.entry()
		s.mu.Unlock()
		if silent++; !silenced {
			silent = 0
			s.store.Put("servers/"+m.id, value)
		}
		if silent == 3 {
			s.removeKey("servers/" + m.id)
		}
	}
}

func (s *site) removeKey(key string) {
	body, _ := json.Marshal(map[string][]string{"Remove": {key}}) // cannot fail
	response, err := http.Post("http://"+s.store.Address+wire["txn"], "application/json", bytes.NewReader(body))
	if err != nil {
		s.record.printf("the entry %s is not removed: %v", key, err)
		return
	}
	_ = response.Body.Close()
}

// end ends a minion and what runs on it. Its port has no listener any more.
func (s *site) end(m *minion, how string) {
	s.mu.Lock()
	m.gone = true
	for _, r := range m.runs {
		s.endedRun(m, r, "lost with its minion")
	}
	m.runs = nil
	s.mu.Unlock()
	_ = m.server.Close() // the callers see a closed connection
	s.record.printf("minion %s %s", m.id, how)
}

// restart starts a minion again on its machine, under its ID. It knows nothing of before.
func (s *site) restart(m *minion) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	m.ends, m.lastEnd, m.token, m.lease, m.refused = nil, 0, 0, 0, map[string]int{}
	m.born, m.sequence, m.gone = time.Now(), 0, false
	if err := m.listen(); err != nil {
		return err
	}
	if !m.cut {
		s.store.Put("servers/"+m.id, m.entry())
	}
	s.record.printf("minion %s is back", m.id)
	return nil
}

// cutOff cuts a minion off from the store, or ends the cut.
func (s *site) cutOff(m *minion, cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m.cut = cut
	s.record.printf("minion %s is cut off from the store: %t", m.id, cut)
}

// leave has a minion report that it drains, and ends it when it has served for a time.
func (s *site) leave(m *minion, after time.Duration) {
	s.mu.Lock()
	m.draining = true
	value := m.entry()
	s.mu.Unlock()
	s.store.Put("servers/"+m.id, value)
	s.record.printf("minion %s drains", m.id)
	time.Sleep(after)
	s.end(m, "leaves")
	s.removeKey("servers/" + m.id)
}

func (s *site) advance() {
	for {
		time.Sleep(advanceInterval)
		s.mu.Lock()
		for _, m := range s.minions {
			if !m.gone {
				m.advance(time.Now())
			}
		}
		s.mu.Unlock()
	}
}

// stepOf returns the job and the step of a subtask named job.occurrence.step.index.
func (s *site) stepOf(task string) (*job, *step) {
	parts := strings.Split(task, ".")
	j := s.jobs[parts[0]]
	if j == nil || len(parts) != 4 {
		return nil, nil
	}
	n, err := strconv.Atoi(parts[2])
	if err != nil || n >= len(j.steps) {
		return nil, nil
	}
	return j, &j.steps[n]
}

func (s *site) newRun(o *order) *run {
	r := &run{task: o.Task, number: o.Run, started: time.Now()}
	if _, step := s.stepOf(o.Task); step != nil {
		r.need, r.took = size{step.cpu, step.memory}, step.took
	}
	return r
}

func (s *site) historyOf(task string) *history {
	j, _ := s.stepOf(task)
	if j == nil {
		return &history{}
	}
	if j.runs[task] == nil {
		j.runs[task] = &history{}
	}
	return j.runs[task]
}

func (s *site) startedRun(m *minion, r *run) {
	h := s.historyOf(r.task)
	if h.running > 0 || h.done {
		s.twice++
		s.record.printf("TWICE: %s run %d on %s, beside another run or after an end done", r.task, r.number, m.id)
	}
	h.running++
}

func (s *site) endedRun(m *minion, r *run, how string) {
	h := s.historyOf(r.task)
	h.running--
	h.ends, h.endedAt = append(h.ends, how), time.Now()
	s.record.printf("end %s run %d on %s: %s", r.task, r.number, m.id, how)
}

// acknowledged notes that an end was taken note of.
func (s *site) acknowledged(e end) {
	if e.how == "done" {
		s.historyOf(e.task).done = true
	}
}

func (s *site) ticket(minion string) string {
	if !s.policy(minion) {
		return "none"
	}
	return "ticket-" + minion
}

func (s *site) serveCloud(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Step    string
		Workers []string
	}
	switch {
	case r.URL.Path == wire["machines"]:
		s.serveMachines(w)
	case r.URL.Path == wire["advise"] && json.NewDecoder(r.Body).Decode(&body) == nil:
		s.turn.Lock()
		time.Sleep(s.decide)
		s.turn.Unlock()
		allowed := [][]string{}
		for _, id := range body.Workers {
			if s.policy(id) {
				allowed = append(allowed, []string{id, s.ticket(id)})
			}
		}
		s.record.printf("advise %s for %v: allowed are %v", body.Step, body.Workers, allowed)
		respond(w, map[string]any{"Allowed": allowed, "ValidityMs": 3000})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *site) serveMachines(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := []map[string]any{}
	for _, m := range s.minions {
		row := map[string]any{"Machine": m.machine, "Pool": s.service, "State": "up", "Zone": m.zone, "Labels": []string{"a", m.rack}, "Id": m.id}
		row["Capacity"] = map[string]int{"Cpu": m.capacity.cpu, wire["memory"]: m.capacity.memory, "Gpu": 0}
		if m.gone {
			row["State"] = "down"
			delete(row, "Id")
		}
		list = append(list, row)
	}
	respond(w, map[string]any{"Machines": list, "NextToken": nil})
}

func respond(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body) // the caller may have disconnected
}

// manifest returns the text of a manifest with one queue.
func (s *site) manifest(route map[string]any) []byte {
	queue := map[string]any{
		"Name": "r-1", "Host": "pule25.example", "Prefix": "/puxa400/", "Kind": "non_idempotent", "TimeoutMs": 3000, "TargetLatencyMs": 600,
		"Priority": 0, "Service": s.service, "MaxAttempts": 4, "SlowdownFactor": 1.6,
	}
	for key, value := range route {
		queue[key] = value
	}
	value, _ := json.Marshal(map[string]any{ // cannot fail: the map holds plain values
		"Version": 7, "Routes": []any{queue},
		"Services": []any{map[string]any{"Name": s.service, "HealthPath": "/health", "MaxConnections": 64, "Protocol": "h1", "Tls": false, "RejectsOverload": true, "Standby": false}},
		"Limits":   map[string]int{"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	})
	return value
}
