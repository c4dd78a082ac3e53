package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/waxwingbridge/waxwingbridge/node"
	"github.com/waxwingbridge/waxwingbridge/policy"
	standin "github.com/waxwingbridge/waxwingbridge/standin/platform"
	"github.com/waxwingbridge/waxwingbridge/store"
	"github.com/waxwingbridge/waxwingbridge/store/etcdgateway"
)

// Periods of the measurement with real processes. The stand-in for the platform runs
// inside this command, without targets, so that only the processes of the system
// count.
const (
	startUpTime  = 25 * time.Second // start, takeover and first fleet document
	samplePeriod = 40 * time.Second
	waveLeadTime = 20 * time.Second // from the start of the wave to its measurement
)

// systemProcess is a child process: a gateway or a controller.
type systemProcess struct {
	role       string
	command    *exec.Cmd
	startUsage processUsage
}

// processUsage is the resource usage of a process since its start, as the kernel
// counts it.
type processUsage struct {
	cpu            time.Duration
	read, written  int64
	resident, peak float64 // MB
}

// clockTick is the unit of processor time in /proc.
const clockTick = 10 * time.Millisecond

func (c *systemProcess) sample() (processUsage, error) {
	directory := fmt.Sprintf("/proc/%d/", c.command.Process.Pid)
	var s processUsage
	stat, err := os.ReadFile(directory + "stat")
	if err != nil {
		return s, err
	}
	_, rest, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	user, _ := strconv.ParseInt(fields[11], 10, 64)
	system, _ := strconv.ParseInt(fields[12], 10, 64)
	s.cpu = time.Duration(user+system) * clockTick
	traffic, err := readKeyedNumbers(directory + "io")
	if err != nil {
		return s, err
	}
	s.read, s.written = traffic["rchar"], traffic["wchar"]
	status, err := readKeyedNumbers(directory + "status")
	s.resident, s.peak = float64(status["VmRSS"])/1024, float64(status["VmHWM"])/1024
	return s, err
}

// readKeyedNumbers parses a file of lines such as "rchar: 12 kB".
func readKeyedNumbers(path string) (map[string]int64, error) {
	data, err := os.ReadFile(path)
	values := map[string]int64{}
	for _, line := range strings.Split(string(data), "\n") {
		name, text, _ := strings.Cut(line, ":")
		if fields := strings.Fields(text); len(fields) > 0 {
			if value, err := strconv.ParseInt(fields[0], 10, 64); err == nil {
				values[name] = value
			}
		}
	}
	return values, err
}

// processSite is a site of real processes.
type processSite struct {
	size     siteSize
	platform *standin.Server
	children []*systemProcess
	bin      string
}

func startProcesses(z siteSize) (*processSite, error) {
	bin, err := os.MkdirTemp("", "capacity")
	if err != nil {
		return nil, err
	}
	r := &processSite{size: z, bin: bin}
	if err := r.start(); err != nil {
		r.stop()
		return nil, err
	}
	return r, nil
}

func (r *processSite) start() error {
	build := exec.Command("go", "build", "-o", r.bin, "./cmd/waxwing-gateway", "./cmd/waxwing-controller")
	if output, err := build.CombinedOutput(); err != nil {
		return errors.Newf("build: %w\n%s", err, output)
	}
	var err error
	if r.platform, err = standin.Start(standin.Options{Workers: r.size.workerList(), RebootTime: rebootTime}); err != nil {
		return err
	}
	data, err := policy.Encode(r.size.config())
	if err != nil {
		return err
	}
	put := store.Put{Key: node.NewKeys(siteName).Config(), Data: data, WriteID: node.NewWriteID()}
	if _, err := r.platform.Store().CompareAndSwap(context.Background(), put); err != nil {
		return err
	}
	for i := range r.size.gateways + r.size.controllers {
		identity := r.size.identity(i)
		command := exec.Command(filepath.Join(r.bin, "waxwing-"+string(identity.Role)), "--site", siteName,
			"--availability-zone", identity.AvailabilityZone, "--store", r.platform.StoreURL(),
			"--platform", r.platform.PlatformURL(), "--log-level", "error")
		command.Stderr = os.Stderr
		if err := command.Start(); err != nil {
			return err
		}
		r.children = append(r.children, &systemProcess{role: string(identity.Role), command: command})
	}
	return nil
}

func (r *processSite) stop() {
	for _, c := range r.children {
		_ = c.command.Process.Kill() // they have no state to save
		_ = c.command.Wait()
	}
	if r.platform != nil {
		r.platform.Close()
	}
	_ = os.RemoveAll(r.bin)
}

// roleCost is the mean cost of the processes of a role.
type roleCost struct {
	processes                                   int
	corePercent, sent, received, peakResidentMB float64
}

// periodCost is the cost of a period by role, and the store and platform calls per
// second of all processes together.
type periodCost struct {
	name           string
	roles          map[string]*roleCost
	callsPerSecond map[string]float64
}

// measure samples all processes before and after a period.
func (r *processSite) measure(name string) (periodCost, error) {
	cost := periodCost{name: name, roles: map[string]*roleCost{}, callsPerSecond: map[string]float64{}}
	before := r.platform.Calls()
	began := time.Now()
	for _, c := range r.children {
		var err error
		if c.startUsage, err = c.sample(); err != nil {
			return cost, err
		}
	}
	time.Sleep(samplePeriod)
	seconds := time.Since(began).Seconds()
	active := r.activeController()
	for i, c := range r.children {
		now, err := c.sample()
		if err != nil {
			return cost, err
		}
		role := c.role
		if role == string(node.RoleController) {
			role = "standby controller"
			if i == active {
				role = "active controller"
			}
		}
		cost.add(role, c.startUsage, now, seconds)
	}
	after := r.platform.Calls()
	for kind, count := range after.Store {
		cost.callsPerSecond["store "+kind] = float64(count-before.Store[kind]) / seconds
	}
	for kind, count := range after.Platform {
		cost.callsPerSecond["platform "+kind] = float64(count-before.Platform[kind]) / seconds
	}
	return cost, nil
}

func (p *periodCost) add(role string, before, now processUsage, seconds float64) {
	row := p.roles[role]
	if row == nil {
		row = &roleCost{}
		p.roles[role] = row
	}
	mean := func(value *float64, next float64) {
		*value = (*value*float64(row.processes) + next) / float64(row.processes+1)
	}
	mean(&row.corePercent, percent*(now.cpu-before.cpu).Seconds()/seconds)
	mean(&row.sent, float64(now.written-before.written)/seconds)
	mean(&row.received, float64(now.read-before.read)/seconds)
	mean(&row.peakResidentMB, now.peak)
	row.processes++
}

// activeController returns the index of the controller that used the most processor
// time since the start of the period, which is the active one.
func (r *processSite) activeController() int {
	best, most := -1, time.Duration(-1)
	for i, c := range r.children {
		now, err := c.sample()
		if used := now.cpu - c.startUsage.cpu; err == nil && c.role == string(node.RoleController) && used > most {
			best, most = i, used
		}
	}
	return best
}

// startWave asks each registered controller in turn, because only the active one
// accepts. Processes register with the address on which they listen.
func (r *processSite) startWave() error {
	client, err := etcdgateway.New(r.platform.StoreURL())
	if err != nil {
		return err
	}
	defer client.Close()
	members, err := client.List(context.Background(), node.NewKeys(siteName).MembersPrefix())
	if err != nil {
		return err
	}
	var refused []string
	for _, value := range members {
		var identity node.Identity
		if err := json.Unmarshal(value.Data, &identity); err != nil || identity.Role != node.RoleController {
			continue
		}
		request, err := http.NewRequest(http.MethodPost, "http://"+identity.PublicAddress+"/v1/wave", bytes.NewReader([]byte(`{"action":"start"}`)))
		if err != nil {
			return err
		}
		request.Header.Set("Waxwing-Operator", "capacity")
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			continue
		}
		answer, _ := io.ReadAll(response.Body) // only used in the error message
		_ = response.Body.Close()
		refused = append(refused, fmt.Sprintf("%d %s", response.StatusCode, answer))
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errors.Newf("no controller started the wave: %v", refused)
}

// checkProcesses measures an idle site and then the same site during a wave.
func checkProcesses(z siteSize) ([]periodCost, error) {
	r, err := startProcesses(z)
	if err != nil {
		return nil, err
	}
	defer r.stop()
	time.Sleep(startUpTime)
	idle, err := r.measure("idle")
	if err != nil {
		return nil, err
	}
	if err := r.startWave(); err != nil {
		return []periodCost{idle}, err
	}
	time.Sleep(waveLeadTime)
	wave, err := r.measure("wave")
	return []periodCost{idle, wave}, err
}
