package test

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
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

	command *exec.Cmd
	ended   chan struct{}
	paused  bool
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
	p.command = exec.Command(filepath.Join(binaries, p.program), p.args...)
	p.command.Stderr = log
	// The program ends with the test process, even if that is killed.
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.command.Start(); err != nil {
		p.t.Fatal(err)
	}
	ended, command := make(chan struct{}), p.command
	p.ended = ended
	go func() { _ = command.Wait(); close(ended) }() // the exit status is read from ProcessState
}

func (p *process) running() bool {
	if p.ended == nil {
		return false
	}
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

func (p *process) signal(signal syscall.Signal) {
	if p.running() {
		_ = p.command.Process.Signal(signal) // the process may just have ended
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
	return p.command.ProcessState.ExitCode()
}

func (p *process) pause()  { p.paused = true; p.signal(syscall.SIGSTOP) }
func (p *process) resume() { p.signal(syscall.SIGCONT); p.paused = false }

func (p *process) wait() {
	if p.ended != nil {
		<-p.ended
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
