package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/phuslu/log"

	"github.com/waxwingbridge/waxwingbridge/events"
	"github.com/waxwingbridge/waxwingbridge/platform"
	"github.com/waxwingbridge/waxwingbridge/platform/standin"
)

// waitLimit is generous because the tests wait for conditions and assert no
// durations.
const waitLimit = 60 * time.Second

// site is a stand-in for the platform with some processes.
type site struct {
	t         *testing.T
	platform  *standin.Site
	processes map[string]*Process
	clients   map[string]string // client address by process
	next      int
}

// freeAddress returns an address at which nothing listens. It is on a loopback address of this
// test process: a port of 127.0.0.1 may become the local one of any connection before it is used.
func freeAddress(t *testing.T) string {
	pid := os.Getpid()
	listener, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 1+pid>>14&63, pid>>7&127, 1+pid&127))
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

func newSite(t *testing.T, processes int) *site {
	s := newSiteOf(t, 4)
	for range processes {
		s.start()
	}
	return s
}

// newSiteOf returns a site without processes and with so many machines in each pool.
func newSiteOf(t *testing.T, machines int) *site {
	p, err := standin.Start(standin.Pool{Name: "orders", Machines: machines}, standin.Pool{Name: "reports", Machines: machines},
		standin.Pool{Name: "spare", Machines: 2, Standby: true})
	if err != nil {
		t.Fatal(err)
	}
	s := &site{t: t, platform: p, processes: map[string]*Process{}, clients: map[string]string{}}
	t.Cleanup(s.stop)
	s.manifest(1, "orders")
	return s
}

// manifest writes a manifest in which the queue "q1" is served by the pool.
func (s *site) manifest(version int, pool string) {
	s.platform.Put("op/config", []byte(fmt.Sprintf(`{"Version":%d,
		"Routes":[{"Name":"q1","Host":"shop.example","Prefix":"/q1/","Service":%q,"MaxAttempts":2,"SlowdownFactor":2,"TargetLatencyMs":600},
			{"Name":"q2","Host":"shop.example","Prefix":"/q2/","Service":"reports","MaxAttempts":2,"SlowdownFactor":2,"TargetLatencyMs":600}],
		"Services":[{"Name":"orders","RejectsOverload":true},{"Name":"reports","RejectsOverload":true},{"Name":"spare","Standby":true}],
		"Limits":{"MaxBodyBytes":65536}}`, version, pool)))
}

func (s *site) start() {
	s.next++
	name := fmt.Sprintf("node-%d", s.next)
	settings, err := platform.ParseSettings([]byte(fmt.Sprintf(`
		NodeName = %q
		Zone = "z1"
		Advice = %q
		[Listen]
		Frontend = %q
		Readiness = %q
		[platform]
		Address = %q
		[Cloud]
		Address = %q
	`, name, s.platform.Address, freeAddress(s.t), freeAddress(s.t), s.platform.Address, s.platform.Address)))
	if err != nil {
		s.t.Fatal(err)
	}
	p := New(settings, Features{}, testLog(s.t, name), "incarnation-"+name)
	if err := p.Start(); err != nil {
		s.t.Fatal(err)
	}
	s.processes[name], s.clients[name] = p, settings.ClientAddress
	s.waitFor(name+" is ready", func() bool { return p.ready.Load() })
}

// kill ends a process without a planned shutdown.
func (s *site) kill(name string) {
	p := s.processes[name]
	delete(s.processes, name)
	delete(s.clients, name)
	p.cancel()
	for _, server := range p.servers {
		_ = server.Close()
	}
}

func (s *site) stop() {
	for name := range s.processes {
		s.kill(name)
	}
	s.platform.Stop()
}

func (s *site) waitFor(what string, done func() bool) {
	s.t.Helper()
	for end := time.Now().Add(waitLimit); !done(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			s.t.Fatalf("timeout: %s", what)
		}
	}
}

// call sends a client's request to one of the processes.
func (s *site) call(method, path, body string) (int, string) {
	for _, address := range s.clients {
		request, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
		if err != nil {
			s.t.Fatal(err)
		}
		request.Host = "shop.example"
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			continue
		}
		answer, _ := io.ReadAll(response.Body)
		_ = response.Body.Close()
		return response.StatusCode, string(answer)
	}
	return 0, ""
}

// submit repeats a job submission until it is accepted.
func (s *site) submit(path, body string) {
	s.t.Helper()
	s.waitFor("accept "+path, func() bool { status, _ := s.call(http.MethodPost, path, body); return status == http.StatusOK })
}

func (s *site) state(path string) string {
	_, body := s.call(http.MethodGet, path, "")
	var answer struct{ State string }
	_ = json.Unmarshal([]byte(body), &answer) // a body in another format has no state
	return answer.State
}

func jobBody(payload string, counts ...int) string {
	var steps []string
	for i, count := range counts {
		after := ""
		if i > 0 {
			after = fmt.Sprintf(`,"After":[%d]`, i-1)
		}
		steps = append(steps, fmt.Sprintf(`{"Count":%d,"Cpu":1000,"MemoryRequestMb":64,"EstimatedMs":200%s}`, count, after))
	}
	return fmt.Sprintf(`{"Spec":%q,"Steps":[%s]}`, payload, strings.Join(steps, ","))
}

// checkStartedOnce checks that each task was started exactly once.
func (s *site) checkStartedOnce(want int) {
	s.t.Helper()
	seen := map[string]int{}
	for _, start := range s.platform.Starts() {
		seen[start.Task]++
	}
	for task, n := range seen {
		if n > 1 {
			s.t.Errorf("task %s was started %d times", task, n)
		}
	}
	if len(seen) != want {
		s.t.Errorf("%d tasks were started, want %d", len(seen), want)
	}
}

// Guards against a break anywhere on the path from a client to a worker.
func TestJobIsServedEndToEnd(t *testing.T) {
	s := newSite(t, 2)
	s.submit("/q1/00000000000000a1", jobBody("run:100ms", 4, 3))
	s.submit("/q1/00000000000000a1", jobBody("run:100ms", 4, 3)) // a repeated submission must not create a second job
	s.waitFor("job is completed", func() bool { return s.state("/q1/00000000000000a1") == "completed" })
	s.checkStartedOnce(7)
	if status, _ := s.call(http.MethodGet, "/q1/00000000000000ff", ""); status != http.StatusGone {
		t.Errorf("an unknown job is answered with %d, want 410", status)
	}
	if status, _ := s.call(http.MethodGet, "/none/1", ""); status != http.StatusNotFound {
		t.Errorf("an unknown queue is answered with %d, want 404", status)
	}
	if status, _ := s.call(http.MethodPost, "/q1/00000000000000a2", `{"Steps":[{"Count":-1}]}`); status != http.StatusBadRequest {
		t.Errorf("an invalid job is answered with %d, want 400", status)
	}
}

// Guards against tasks that are lost or run twice when processes are killed,
// including the owner of the pool.
func TestJobsSurviveTheirOwner(t *testing.T) {
	s := newSite(t, 3)
	for i := range 6 {
		s.submit(fmt.Sprintf("/q1/00000000000000b%d", i), jobBody("run:1s", 2, 2))
	}
	s.waitFor("some runs began", func() bool { return len(s.platform.Starts()) > 4 })
	for name := range s.processes {
		if p := s.processes[name]; p.ownsDuty.Load() && len(s.processes) > 1 {
			s.kill(name)
		}
	}
	for i := range 6 {
		path := fmt.Sprintf("/q1/00000000000000b%d", i)
		s.waitFor("job is completed", func() bool { return s.state(path) == "completed" })
	}
	s.checkStartedOnce(24)
}

// Guards against accepted jobs that exist only in memory: all processes are
// killed right after the acknowledgement.
func TestAcceptedJobSurvivesAllProcesses(t *testing.T) {
	s := newSite(t, 2)
	s.submit("/q1/00000000000000c1", jobBody("run:100ms", 2))
	for name := range s.processes {
		s.kill(name)
	}
	s.start()
	s.waitFor("job is completed", func() bool { return s.state("/q1/00000000000000c1") == "completed" })
}

// Guards against a cancelled job that keeps running, and against a long-running
// task that is not started again after its worker restarts.
func TestLongRunningJobRunsUntilItIsCancelled(t *testing.T) {
	s := newSite(t, 2)
	s.submit("/q2/00000000000000d1", `{"Spec":"last","Steps":[{"Count":2,"Cpu":1000,"LongRunning":true}]}`)
	s.waitFor("two runs", func() bool { return len(s.platform.Starts()) == 2 })
	s.platform.RestartWorkers("reports")
	s.waitFor("runs after the restart", func() bool { return len(s.platform.Starts()) >= 4 })
	if status, _ := s.call(http.MethodDelete, "/q2/00000000000000d1", ""); status != http.StatusOK {
		t.Fatalf("the cancellation is answered with %d", status)
	}
	s.waitFor("job is cancelled", func() bool { return s.state("/q2/00000000000000d1") == "cancelled" })
}

// Guards against a wave that is not carried out, or that is reported as completed
// before all its machines had their maintenance.
func TestWaveIsCarriedOut(t *testing.T) {
	s := newSite(t, 2)
	s.submit("/q2/00000000000000e1", `{"Spec":"last","Steps":[{"Count":3,"Cpu":1000,"LongRunning":true,"MaxUnavailable":1,"MaxPerServer":1}]}`)
	s.waitFor("three runs", func() bool { return len(s.platform.Starts()) == 3 })
	s.platform.Put("op/wave/1", []byte(`{"Wave":1,"Machines":["m-reports-0","m-reports-1","m-orders-0","m-spare-0"],"DurationS":30,"Cap":2}`))
	s.waitFor("wave is completed", func() bool { return strings.Contains(string(s.platform.Get("status/wave/1")), "completed") })
	maintained := 0
	for _, order := range s.platform.MachineOrders() {
		if strings.HasPrefix(order, "upkeep ") {
			maintained++
		}
	}
	if maintained != 4 {
		t.Errorf("%d machines had their maintenance, want 4: %v", maintained, s.platform.MachineOrders())
	}
}

// Guards against a refused job that runs although it was refused, and against
// processes that do not recover after a store outage.
func TestStoreOutage(t *testing.T) {
	s := newSite(t, 2)
	s.submit("/q1/00000000000000f0", jobBody("run:100ms", 1))
	s.platform.SetFaults(standin.Faults{StoreBusy: true})
	status, _ := s.call(http.MethodPost, "/q1/00000000000000f1", jobBody("run:100ms", 1))
	if status != http.StatusServiceUnavailable {
		t.Errorf("a job is answered with %d while the store refuses writes, want 503", status)
	}
	s.platform.SetFaults(standin.Faults{LoseAnswers: 0.5})
	s.submit("/q1/00000000000000f2", jobBody("run:100ms", 3, 2))
	s.platform.SetFaults(standin.Faults{})
	s.platform.Compact()
	s.submit("/q1/00000000000000f3", jobBody("run:100ms", 3, 2))
	for _, id := range []string{"f0", "f2", "f3"} {
		s.waitFor("job "+id+" is completed", func() bool { return s.state("/q1/00000000000000"+id) == "completed" })
	}
	for _, start := range s.platform.Starts() {
		if strings.HasPrefix(start.Task, "00000000000000f1") {
			t.Errorf("the refused job ran: %+v", start)
		}
	}
}

// Guards against a process that does not apply a new manifest, or that reverts to
// an older version.
func TestManifestIsInForceEverywhere(t *testing.T) {
	s := newSite(t, 3)
	s.manifest(7, "reports")
	for name, p := range s.processes {
		s.waitFor(name+" uses version 7", func() bool { return p.manifest.Load().Version == 7 })
	}
	s.manifest(3, "orders")
	s.submit("/q1/0000000000000001", jobBody("run:50ms", 1))
	for name, p := range s.processes {
		if v := p.manifest.Load().Version; v != 7 {
			t.Errorf("%s uses version %d after 7", name, v)
		}
	}
}

// Guards against a manifest that waits for the other watches, which lag on a slow
// machine while many jobs are submitted.
func TestManifestDoesNotWaitForOtherChanges(t *testing.T) {
	s := newSite(t, 1)
	s.platform.SetFaults(standin.Faults{StallWatch: true})
	s.manifest(7, "reports")
	for name, p := range s.processes {
		s.waitFor(name+" uses version 7", func() bool { return p.manifest.Load().Version == 7 })
	}
}

// Guards against a process that the store has turned away for long and that still
// serves requests by a manifest which may have been replaced.
func TestUnconfirmedManifestIsNotUsed(t *testing.T) {
	s := newSite(t, 1)
	s.submit("/q1/0000000000000003", jobBody("run:50ms", 1))
	s.platform.SetFaults(standin.Faults{StoreBusy: true})
	for _, path := range []string{"/q1/0000000000000003", "/q1/", "/added/"} {
		s.waitFor(path+" is refused as not run", func() bool {
			status, _ := s.call(http.MethodGet, path, "")
			return status == http.StatusServiceUnavailable
		})
	}
	s.platform.SetFaults(standin.Faults{})
	s.waitFor("the answer is delivered again", func() bool {
		status, _ := s.call(http.MethodGet, "/q1/0000000000000003", "")
		return status == http.StatusOK
	})
	if status, _ := s.call(http.MethodGet, "/added/", ""); status != http.StatusNotFound {
		t.Errorf("a route that does not exist is answered with %d", status)
	}
}

// Guards against a large manifest that is transferred twice, by the watch over the
// operator's keys and by another one, which halves the speed of both and delays jobs.
func TestEachKeyIsWatchedOnce(t *testing.T) {
	s := newSite(t, 1)
	prefixes := map[string]bool{}
	s.waitFor("all watches run", func() bool {
		for _, prefix := range s.platform.WatchedPrefixes() {
			prefixes[prefix] = true
		}
		return len(prefixes) >= 3
	})
	for _, key := range []string{"op/config", "op/wave/1", "servers/i-1", "status/wave/1", platform.RecordPrefix + "job/1"} {
		covered := 0
		for prefix := range prefixes {
			if strings.HasPrefix(key, prefix) {
				covered++
			}
		}
		if covered != 1 {
			t.Errorf("key %s is covered by %d watches of %v", key, covered, prefixes)
		}
	}
}

// Guards against a task that crashes one worker after the other, also while its pool
// changes the owner, and against the loss of the tasks beside it.
func TestTaskThatCrashesWorkersIsGivenUp(t *testing.T) {
	s := newSite(t, 2)
	s.submit("/q1/0000000000000004", jobBody("run:300ms", 6, 6))
	s.submit("/q1/0000000000000005", jobBody("crash", 1))
	s.waitFor("two workers have crashed", func() bool {
		starts := 0
		for _, start := range s.platform.Starts() {
			if strings.HasPrefix(start.Task, "0000000000000005") {
				starts++
			}
		}
		return starts >= 3
	})
	for name, p := range s.processes {
		if p.ownsDuty.Load() {
			s.kill(name)
			break
		}
	}
	s.start()
	s.waitFor("the job that crashes is failed", func() bool { return s.state("/q1/0000000000000005") == "failed" })
	s.waitFor("the job beside it is completed", func() bool { return s.state("/q1/0000000000000004") == "completed" })
	if violations := s.platform.Violations(); len(violations) > 0 {
		t.Errorf("violations: %v", violations)
	}
}

// Guards against a planned shutdown that leaves duties without an owner until the
// lease expires, or that cuts off an answer.
func TestPlannedStopHandsOver(t *testing.T) {
	s := newSite(t, 2)
	s.submit("/q1/0000000000000002", jobBody("run:500ms", 4))
	s.waitFor("the job runs", func() bool { return len(s.platform.Starts()) == 4 })
	for name, p := range s.processes {
		if !p.ownsDuty.Load() {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
		p.Stop(ctx)
		cancel()
		delete(s.processes, name)
		delete(s.clients, name)
		break
	}
	s.waitFor("job is completed", func() bool { return s.state("/q1/0000000000000002") == "completed" })
	s.checkStartedOnce(4)
}

// testLog writes the processes' logs to the test's output in verbose runs.
func testLog(t *testing.T, name string) *events.Logger {
	if !testing.Verbose() {
		return events.Discard()
	}
	w := &testOutput{out: t.Output()}
	t.Cleanup(w.close)
	return events.New(w, log.InfoLevel, name, "")
}

// testOutput drops what calls in flight log after the end of the test.
type testOutput struct {
	mu  sync.Mutex
	out io.Writer // nil after the end
}

func (o *testOutput) Write(line []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.out == nil {
		return len(line), nil
	}
	return o.out.Write(line)
}

func (o *testOutput) close() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.out = nil
}
