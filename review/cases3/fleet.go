package main

import (
	"bytes"
	"context"
	_ "embed"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// program is what the deploy file starts as the role entry.
const program = "target/waxwing-entry"

// standbyPool is the spare pool, whose machines are off.
const standbyPool = "spare"

// settings are those of a small site, with addresses on loopback.
//
//go:embed wire/settings.toml
var settings string

// node is a process of the system.
type node struct {
	name      string
	frontend  string
	readiness string
	settings  string
	log       *os.File
	command   *exec.Cmd
	exited    chan struct{}
}

// The ports for listeners are below those that Linux uses for outgoing connections, one of
// which might take a port before its listener is opened, or opened again after a crash.
const (
	firstPort = 12000
	portCount = 18000
)

var portsTaken atomic.Uint32

// listen opens a listener at an address, or at a free one on loopback.
func listen(address string) (net.Listener, error) {
	if address != "" {
		return net.Listen("tcp", address)
	}
	var failed error
	for range portCount {
		port := firstPort + (uint32(os.Getpid())*997+portsTaken.Add(1))%portCount
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err == nil {
			return listener, nil
		}
		failed = err
	}
	return nil, failed
}

// freeAddress returns an address on loopback at which nothing listens.
func freeAddress() (string, error) {
	listener, err := listen("")
	if err != nil {
		return "", err
	}
	return listener.Addr().String(), listener.Close()
}

func (w *world) newNode(directory string, number int) (*node, error) {
	n := &node{name: fmt.Sprintf("frontend-%d", number)}
	var err error
	if n.frontend, err = freeAddress(); err != nil {
		return nil, err
	}
	if n.readiness, err = freeAddress(); err != nil {
		return nil, err
	}
	n.settings = filepath.Join(directory, n.name+".toml")
	text := fmt.Sprintf(settings, n.name, number%3+1, w.address, n.frontend, n.readiness, w.address, w.address)
	if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	n.log, err = os.Create(filepath.Join(directory, n.name+".log"))
	return n, err
}

func (n *node) start() error {
	n.command = exec.Command(program)
	n.command.Env = append(os.Environ(), "WAXWINGBRIDGE_NODE_FILE="+n.settings)
	n.command.Stdout, n.command.Stderr = n.log, n.log
	n.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.command.Start(); err != nil {
		return err
	}
	command, exited := n.command, make(chan struct{})
	n.exited = exited
	go func() {
		_ = command.Wait() // a killed process reports an error
		close(exited)
	}()
	return nil
}

func (n *node) kill() {
	if n.command == nil {
		return
	}
	_ = n.command.Process.Kill() // it may have ended
	<-n.exited
}

func (n *node) ready() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + n.readiness + wire("readiness"))
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

const host = "stalls.example"

// step is a step of a job, as clients state it.
type step struct {
	Count          int
	Cpu            int //nolint:revive // spelled as in the protocol
	EstimatedMs    int
	LongRunning    bool `json:",omitempty"`
	MaxUnavailable int  `json:",omitempty"`
	MaxPerServer   int  `json:",omitempty"`
}

// job is a job, as clients state it.
type job struct {
	Spec  string
	Steps []step
}

// site is a small site with its processes.
type site struct {
	*world
	nodes []*node
	next  int
}

// call sends a client's request to the next node, and again after no answer, 502 and 504.
// After 503 and 429 it waits as it is told.
func (s *site) call(method, path string, body any) (int, string) {
	encoded, _ := json.Marshal(body) // its values can be encoded
	for range 5 {
		n := s.nodes[s.next%len(s.nodes)]
		s.next++
		status, text := send(method, "http://"+n.frontend+path, encoded)
		s.say("client: %s %s at %s: %d %s", method, path, n.name, status, text)
		switch status {
		case 0, http.StatusBadGateway, http.StatusGatewayTimeout:
		case http.StatusTooManyRequests, http.StatusServiceUnavailable:
			time.Sleep(time.Second)
		default:
			return status, text
		}
	}
	return 0, ""
}

func send(method, url string, body []byte) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	r.Host = host
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Deadline-Ms", "3000")
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, strings.TrimSpace(string(text))
}

func (s *site) submit(path string, j job) bool {
	status, _ := s.call(http.MethodPost, path, j)
	return status == http.StatusOK
}

// state returns the state of a job, or its status.
func (s *site) state(path string) string {
	status, text := s.call(http.MethodGet, path, nil)
	var body struct{ State string }
	if status == http.StatusOK && json.Unmarshal([]byte(text), &body) == nil {
		return body.State
	}
	return fmt.Sprint(status)
}

// newSite starts a platform and its processes, and waits until they are ready.
func newSite(directory, record string, nodes int, pools []pool) (*site, error) {
	w, err := newWorld(record)
	if err != nil {
		return nil, err
	}
	w.fill(pools)
	type route struct {
		Name, Host, Prefix, Kind, Service string
		TimeoutMs, TargetLatencyMs        int
		Priority, MaxAttempts             int
		SlowdownFactor                    float64
	}
	type service struct {
		Name            string
		RejectsOverload bool
		Standby         bool `json:",omitempty"`
	}
	manifest := struct {
		Version  int
		Routes   []route
		Services []service
		Limits   struct{ MaxBodyBytes int }
	}{Version: 3}
	manifest.Limits.MaxBodyBytes = 262144
	for _, p := range pools {
		manifest.Services = append(manifest.Services, service{p.name, true, p.standby})
		if !p.standby {
			manifest.Routes = append(manifest.Routes, route{
				Name: "r-" + p.name, Host: host, Prefix: "/" + p.name + "/", Kind: "non_idempotent", Service: p.name,
				TimeoutMs: 3000, TargetLatencyMs: 600, MaxAttempts: 2, SlowdownFactor: 2,
			})
		}
	}
	value, err := json.Marshal(manifest)
	if err != nil {
		return nil, err
	}
	w.mu.Lock()
	w.write("op/config", value)
	w.mu.Unlock()
	s := &site{world: w}
	for i := range nodes {
		n, err := w.newNode(directory, i+1)
		if err != nil {
			return nil, err
		}
		s.nodes = append(s.nodes, n)
		if err := n.start(); err != nil {
			return nil, err
		}
	}
	deadline := time.Now().Add(20 * time.Second)
	for _, n := range s.nodes {
		for !n.ready() {
			if time.Now().After(deadline) {
				return nil, fmt.Errorf("%s isn't ready", n.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(2 * time.Second) // the duties have owners by then
	return s, nil
}

// close ends all processes and servers.
func (s *site) close() {
	for _, n := range s.nodes {
		n.kill()
	}
	s.stop()
}
