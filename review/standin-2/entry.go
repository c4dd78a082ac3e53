package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// deployFile holds the command that starts a process.
const deployFile = "deploy/system.toml"

// entryProcess is a process of the program under review.
type entryProcess struct {
	name, settings, frontend, readiness string
	log                                 *os.File
	command                             *exec.Cmd
}

// runCommand returns the command of the deploy file.
func runCommand() (string, error) {
	text, err := os.ReadFile(deployFile)
	if err != nil {
		return "", err
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "run = "); ok {
			return strings.Trim(strings.TrimSpace(rest), `"`), nil
		}
	}
	return "", fmt.Errorf("%s names no command", deployFile)
}

// firstPort and portCount are the ports for the processes, below those that the system
// uses for outgoing connections: a port that is free now must be free at the start.
const (
	firstPort = 12000
	portCount = 18000
)

func freeAddress() (string, error) {
	for range 100 {
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(portCount)))
		if err == nil {
			return listener.Addr().String(), listener.Close()
		}
	}
	return "", errors.New("no free port on loopback")
}

// newEntry writes the settings of a process.
func newEntry(folder, name, store, cloud string) (*entryProcess, error) {
	p := &entryProcess{name: name, settings: filepath.Join(folder, name+".toml")}
	var addresses [3]string
	for i := range addresses {
		var err error
		if addresses[i], err = freeAddress(); err != nil {
			return nil, err
		}
	}
	p.frontend, p.readiness = addresses[0], addresses[1]
	_, port, err := net.SplitHostPort(addresses[2])
	if err != nil {
		return nil, err
	}
	text := fmt.Sprintf(settingsText, name, port, port, cloud, p.frontend, p.readiness, store, cloud)
	if err := os.WriteFile(p.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	p.log, err = os.Create(filepath.Join(folder, name+".log"))
	return p, err
}

func (p *entryProcess) start() error {
	text, err := runCommand()
	if err != nil {
		return err
	}
	words := strings.Fields(text)
	p.command = exec.Command(words[0], words[1:]...)
	p.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "WAXWINGBRIDGE_NODE_FILE=" + p.settings}
	p.command.Stdout, p.command.Stderr = p.log, p.log
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return p.command.Start()
}

// end kills the process and waits for it.
func (p *entryProcess) end() {
	if p.command == nil || p.command.Process == nil {
		return
	}
	_ = p.command.Process.Kill() // it may have ended
	_ = p.command.Wait()
}

func (p *entryProcess) isReady() bool {
	response, err := http.Get("http://" + p.readiness + wire["readiness"])
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// client sends requests to the processes in turn, as the platform's ingress would.
type client struct {
	site      *site
	processes []*entryProcess
	next      int
}

func (c *client) call(method, path string, body any) (int, string) {
	p := c.processes[c.next%len(c.processes)]
	c.next++
	var content io.Reader
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return 0, err.Error()
		}
		content = bytes.NewReader(encoded)
	}
	request, err := http.NewRequest(method, "http://"+p.frontend+path, content)
	if err != nil {
		return 0, err.Error()
	}
	request.Host = "pule25.example"
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Deadline-Ms", "3000")
	response, err := (&http.Client{Timeout: 3 * time.Second}).Do(request)
	if err != nil {
		c.site.record.printf("%s %s at %s: %v", method, path, p.name, err)
		return 0, ""
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	text := strings.TrimSpace(string(answer))
	c.site.record.printf("%s %s at %s: %d %s", method, path, p.name, response.StatusCode, text)
	return response.StatusCode, text
}

// submit hands a job in until it is accepted, at most four times.
func (c *client) submit(id string, steps ...step) (*job, error) {
	j := &job{id: id, steps: steps, sentAt: time.Now(), runs: map[string]*history{}}
	var bodies []map[string]any
	for i := range steps {
		bodies = append(bodies, steps[i].body())
	}
	c.site.mu.Lock()
	c.site.jobs[id] = j
	c.site.mu.Unlock()
	for range 4 {
		if status, _ := c.call(http.MethodPost, "/puxa400/"+id, map[string]any{"Spec": "work", "Steps": bodies}); status/100 == 2 {
			c.site.mu.Lock()
			j.ackAt = time.Now()
			c.site.mu.Unlock()
			return j, nil
		}
		time.Sleep(time.Second)
	}
	return nil, fmt.Errorf("job %s is not accepted", id)
}

// state returns the state of a job that a process shows.
func (c *client) state(id string) string {
	status, text := c.call(http.MethodGet, "/puxa400/"+id, nil)
	var body struct{ State string }
	if status != http.StatusOK || json.Unmarshal([]byte(text), &body) != nil {
		return fmt.Sprint(status)
	}
	return body.State
}
