package test

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
)

// process is one program. Its signals go to its own PID only.
type process struct {
	t       *testing.T
	name    string
	program string
	args    []string
	log     string // path of its stderr

	run    atomic.Pointer[execution] // the last one, nil before the first
	paused atomic.Bool
}

// execution is one start of a process.
type execution struct {
	*exec.Cmd
	ended chan struct{}
}

func newProcess(t *testing.T, name, program string, args ...string) *process {
	return &process{t: t, name: name, program: program, args: args, log: filepath.Join(t.TempDir(), "stderr")}
}

// start starts the program, also after it has ended.
func (p *process) start() {
	p.t.Helper()
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		p.t.Fatal(err)
	}
	defer log.Close()
	command := exec.Command(filepath.Join(binaries, p.program), p.args...)
	command.Stderr = log
	// The program ends with the test process, even if that is killed.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		p.t.Fatal(err)
	}
	run := &execution{command, make(chan struct{})}
	go func() { _ = command.Wait(); close(run.ended) }() // the exit status is read from ProcessState
	p.run.Store(run)
}

func (p *process) running() bool {
	run := p.run.Load()
	if run == nil {
		return false
	}
	select {
	case <-run.ended:
		return false
	default:
		return true
	}
}

// answers reports whether the process runs and is not paused.
func (p *process) answers() bool { return p.running() && !p.paused.Load() }

func (p *process) signal(signal syscall.Signal) {
	if p.running() {
		_ = p.run.Load().Process.Signal(signal) // the process may just have ended
	}
}

// kill ends the process at once.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	p.wait()
}

// terminate asks for a graceful shutdown and returns the exit status.
func (p *process) terminate() int {
	p.signal(syscall.SIGTERM)
	p.wait()
	return p.run.Load().ProcessState.ExitCode()
}

func (p *process) pause()  { p.paused.Store(true); p.signal(syscall.SIGSTOP) }
func (p *process) resume() { p.signal(syscall.SIGCONT); p.paused.Store(false) }

func (p *process) wait() {
	if run := p.run.Load(); run != nil {
		<-run.ended
	}
}

// stop ends the process at the end of its test: gracefully, or at once if that
// takes too long.
func (p *process) stop() {
	p.resume()
	p.signal(syscall.SIGTERM)
	if !waitFor(stopLimit, func() bool { return !p.running() }) {
		p.signal(syscall.SIGKILL)
	}
	p.wait()
	if p.t.Failed() {
		p.t.Logf("last log lines of %s:\n%s", p.name, tail(p.log))
	}
}

const tailBytes = 6000

func tail(path string) []byte {
	data, _ := os.ReadFile(path) // a missing log has no tail
	return data[max(0, len(data)-tailBytes):]
}

// logged reports whether the process logged the text.
func (p *process) logged(text string) bool {
	data, _ := os.ReadFile(p.log) // a missing log holds nothing
	return bytes.Contains(data, []byte(text))
}
