package main

import (
	"bytes"
	"context"
	_ "embed" // for the settings file
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// process is one machine of the system with its process.
type process struct {
	w         *world
	name      string
	frontend  string
	readiness string
	settings  string
	mu        sync.Mutex
	command   *exec.Cmd
	exited    chan struct{}
	kills     int // by the platform, because of its memory
}

// memoryMb is the memory limit of a machine, as on the small sites.
const memoryMb = 284

// Ports for the processes are taken from below those that Linux uses for outgoing
// connections, so that a process finds its port free when it is started again.
const (
	firstPort = 12000
	portCount = 18000
)

func (w *world) freePort() int {
	for range portCount {
		w.ports++
		port := firstPort + (os.Getpid()*97+w.ports)%portCount
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue // in use
		}
		_ = listener.Close()
		return port
	}
	w.cannotRun("no free port")
	return 0
}

// startEntries starts n processes with the command of the deploy file and waits until
// all of them are ready.
func (w *world) startEntries(n int) {
	for i := range n {
		p := &process{w: w, name: fmt.Sprintf("frontend-z1-%d", i+1)}
		p.frontend, p.readiness = fmt.Sprintf("127.0.0.1:%d", w.freePort()), fmt.Sprintf("127.0.0.1:%d", w.freePort())
		p.settings = filepath.Join(w.folder, p.name+".toml")
		port := w.freePort()
		text := fmt.Sprintf(settingsText, p.name, port, port, p.frontend, p.readiness, memoryMb, w.retention, w.address, w.address)
		if err := os.WriteFile(p.settings, []byte(text), 0o600); err != nil {
			w.cannotRun("%v", err)
		}
		w.entries = append(w.entries, p)
		p.start()
	}
	for _, p := range w.entries {
		if !waitFor(15*time.Second, p.ready) {
			w.cannotRun("%s did not become ready", p.name)
		}
	}
	w.say("%d processes of waxwing-entry are ready", n)
}

// settingsText is a settings file like that of a small deployment.
//
//go:embed settings.toml.txt
var settingsText string

func (p *process) start() {
	p.mu.Lock()
	defer p.mu.Unlock()
	words := strings.Fields(os.Getenv("ENTRY_COMMAND"))
	if len(words) == 0 {
		p.w.cannotRun("ENTRY_COMMAND is not set")
	}
	log, err := os.OpenFile(filepath.Join(p.w.folder, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		p.w.cannotRun("%v", err)
	}
	defer func() { _ = log.Close() }()              // the process has its own descriptor
	command := exec.Command(words[0], words[1:]...) //nolint:gosec // the command of the deploy file
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "WAXWINGBRIDGE_NODE_FILE=" + p.settings}
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		p.w.cannotRun("start %s: %v", words[0], err)
	}
	exited := make(chan struct{})
	go func() {
		_ = command.Wait() // a killed process reports an error
		close(exited)
	}()
	p.command, p.exited = command, exited
}

func (p *process) kill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil {
		_ = p.command.Process.Kill() // it may have ended already
		<-p.exited
	}
}

func (w *world) endProcesses() {
	for _, p := range w.entries {
		p.kill()
	}
}

func (p *process) ready() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + p.readiness + api + "readiness")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// memory returns the resident memory of the process in MB, or 0.
func (p *process) memory() int {
	p.mu.Lock()
	id := p.command.Process.Pid
	p.mu.Unlock()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", id))
	fields := strings.Fields(string(data))
	if err != nil || len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.Atoi(fields[1])
	return pages * os.Getpagesize() >> 20
}

func waitFor(limit time.Duration, reached func() bool) bool {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		if reached() {
			return true
		}
	}
	return false
}

// The queue and the service of all cases, and the begin of the paths of the platform's
// interfaces.
const (
	api     = "/api/"
	host    = "queue.example"
	prefix  = "/orders/"
	service = "orders"
)

// call sends a client's request to a process and returns the status, or 0 without an
// answer, and the body.
func (w *world) call(p *process, method, id string, body any) (status int, answered map[string]any) {
	var encoded []byte
	if body != nil {
		encoded, _ = json.Marshal(body) // plain structs
	}
	ctx, cancel := context.WithTimeout(context.Background(), clientTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+p.frontend+prefix+id, bytes.NewReader(encoded))
	if err != nil {
		w.cannotRun("%v", err)
	}
	request.Host = host
	request.Header.Set("Deadline-Ms", strconv.FormatInt(clientTimeout.Milliseconds(), 10))
	request.Header.Set("Content-Type", "application/json")
	response, err := w.client.RoundTrip(request)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	_ = json.NewDecoder(response.Body).Decode(&answered) // most answers have no body
	_, _ = io.Copy(io.Discard, response.Body)            // so that the channel can be used again
	return response.StatusCode, answered
}

// clientTimeout is the clients' time limit on the small sites.
const clientTimeout = 3 * time.Second

// submit hands a job in, at another process after each try, and ends the case if it is
// not accepted.
func (w *world) submit(id string, j *job) {
	w.mu.Lock()
	w.jobs[id] = j
	w.mu.Unlock()
	for try := range 20 {
		p := w.entries[try%len(w.entries)]
		status, _ := w.call(p, http.MethodPost, id, j)
		w.say("POST %s at %s: %d", id, p.name, status)
		if status/100 == 2 {
			w.submittedAt = time.Now()
			return
		}
		time.Sleep(300 * time.Millisecond)
	}
	w.cannotRun("job %s was not accepted", id)
}

// state asks for a job's state at each process in turn until one answers.
func (w *world) state(id string) string {
	for try := range 2 * len(w.entries) {
		if status, body := w.call(w.entries[try%len(w.entries)], http.MethodGet, id, nil); status == http.StatusOK {
			text, _ := body["State"].(string)
			return text
		}
	}
	return "no answer"
}
