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

// process is a program that a test starts, signals and restarts. Signals go to
// its own PID only.
type process struct {
	t       *testing.T
	name    string
	program string
	args    []string
	log     string // path of the file that receives stderr

	lastExecution atomic.Pointer[execution] // nil before the first start
	paused        atomic.Bool
}

// execution is one start of a process.
type execution struct {
	*exec.Cmd
	exited chan struct{}
}

func newProcess(t *testing.T, name, program string, args ...string) *process {
	return &process{t: t, name: name, program: program, args: args, log: filepath.Join(t.TempDir(), "stderr")}
}

// start starts the program. It may be called again after the program has exited.
func (p *process) start() {
	p.t.Helper()
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		p.t.Fatal(err)
	}
	defer log.Close()
	command := exec.Command(filepath.Join(binaries, p.program), p.args...)
	command.Stderr = log
	// The kernel kills the program when the test process ends, even if that is killed.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		p.t.Fatal(err)
	}
	started := &execution{command, make(chan struct{})}
	go func() { _ = command.Wait(); close(started.exited) }() // the exit status is read from ProcessState
	p.lastExecution.Store(started)
}

func (p *process) running() bool {
	last := p.lastExecution.Load()
	if last == nil {
		return false
	}
	select {
	case <-last.exited:
		return false
	default:
		return true
	}
}

// responsive reports whether the process runs and is not paused.
func (p *process) responsive() bool { return p.running() && !p.paused.Load() }

func (p *process) signal(signal syscall.Signal) {
	if p.running() {
		_ = p.lastExecution.Load().Process.Signal(signal) // the process may have exited already
	}
}

// kill terminates the process with SIGKILL and waits for it to exit.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	p.wait()
}

// terminate requests a graceful shutdown and returns the exit status.
func (p *process) terminate() int {
	p.signal(syscall.SIGTERM)
	p.wait()
	return p.lastExecution.Load().ProcessState.ExitCode()
}

func (p *process) pause()  { p.paused.Store(true); p.signal(syscall.SIGSTOP) }
func (p *process) resume() { p.signal(syscall.SIGCONT); p.paused.Store(false) }

func (p *process) wait() {
	if last := p.lastExecution.Load(); last != nil {
		<-last.exited
	}
}

// stop ends the process at the end of its test: gracefully, or with SIGKILL after
// stopLimit. If the test failed, it logs the end of the process's log.
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
	data, _ := os.ReadFile(path) // a missing log is treated as empty
	return data[max(0, len(data)-tailBytes):]
}

// hasLogged reports whether the log contains the text.
func (p *process) hasLogged(text string) bool {
	data, _ := os.ReadFile(p.log) // a missing log is treated as empty
	return bytes.Contains(data, []byte(text))
}
