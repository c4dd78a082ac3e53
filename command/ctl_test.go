package command

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/waxwingbridge/waxwingbridge/controller"
	"github.com/waxwingbridge/waxwingbridge/gateway"
	"github.com/waxwingbridge/waxwingbridge/local"
	"github.com/waxwingbridge/waxwingbridge/policy"
	"github.com/waxwingbridge/waxwingbridge/settings"
	standin "github.com/waxwingbridge/waxwingbridge/standin/platform"
)

// limit bounds every wait on a condition. It is generous, because the machine is shared.
const limit = 3 * time.Minute

// site is a running site with the command line of its operators.
type site struct {
	*local.Site
	t *testing.T
}

func startSite(t *testing.T, options local.Options) *site {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	t.Cleanup(cancel)
	running, err := local.Start(ctx, options)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		stop, cancelStop := context.WithTimeout(context.Background(), limit)
		defer cancelStop()
		running.Stop(stop)
	})
	return &site{running, t}
}

// ctl runs waxwingctl against all controllers that were there at the start.
func (s *site) ctl(stdin string, args ...string) (status int, stdout, stderr string) {
	s.t.Helper()
	s.t.Setenv("WAXWING_CONTROLLER", strings.Join(baseURLs(s.OperatorAddresses()), ","))
	return runCommand(s.t, stdin, args...)
}

func runCommand(t *testing.T, stdin string, args ...string) (status int, stdout, stderr string) {
	t.Helper()
	t.Setenv("USER", "alena")
	var out, errors bytes.Buffer
	status = Ctl(args, strings.NewReader(stdin), &out, &errors)
	return status, out.String(), errors.String()
}

// must runs a command that has to succeed and returns its output.
func (s *site) must(stdin string, args ...string) string {
	s.t.Helper()
	status, stdout, stderr := s.ctl(stdin, args...)
	if status != exitOK {
		s.t.Fatalf("waxwingctl %v: exit %d, %s", args, status, stderr)
	}
	return stdout
}

// until waits for a condition.
func until(t *testing.T, what string, met func() bool) {
	t.Helper()
	for deadline := time.Now().Add(limit); !met(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%s: not met within %v", what, limit)
		}
	}
}

// get returns the status and body of a GET.
func get(t *testing.T, url string) (int, string) {
	t.Helper()
	response, err := http.Get(url)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	var body bytes.Buffer
	if _, err := body.ReadFrom(response.Body); err != nil {
		t.Fatal(err)
	}
	return response.StatusCode, body.String()
}

// revision returns the revision that a controller holds.
func revision(t *testing.T, c *controller.Controller) policy.Revision {
	t.Helper()
	var document policy.Document
	if status, body := get(t, "http://"+c.OperatorAddress()+"/v1/config"); status == http.StatusOK {
		if err := json.Unmarshal([]byte(body), &document); err != nil {
			t.Fatal(err)
		}
	}
	return document.Revision
}

// inForce reports whether the controller knows that all processes hold the revision.
func inForce(t *testing.T, c *controller.Controller, revision policy.Revision) bool {
	t.Helper()
	status, body := get(t, fmt.Sprintf("http://%s/v1/config/in-force/%d", c.OperatorAddress(), revision))
	return status == http.StatusOK && strings.Contains(body, `"lagging":[]`)
}

// peers returns the number of other processes that the controller knows.
func peers(t *testing.T, c *controller.Controller) int {
	t.Helper()
	var report controller.StatusReport
	if _, body := get(t, "http://"+c.OperatorAddress()+"/v1/status"); json.Unmarshal([]byte(body), &report) != nil {
		t.Fatal(body)
	}
	return len(report.Peers)
}

// documentFile writes the configuration in force with a change.
func (s *site) documentFile(change func(*policy.Document)) string {
	s.t.Helper()
	var document policy.Document
	if err := json.Unmarshal([]byte(s.must("", "config", "show")), &document); err != nil {
		s.t.Fatal(err)
	}
	change(&document)
	data, err := policy.Encode(&document)
	if err != nil {
		s.t.Fatal(err)
	}
	file := filepath.Join(s.t.TempDir(), "config.json")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		s.t.Fatal(err)
	}
	return file
}

// Guards against a change that does not reach every process, a first
// configuration that cannot be applied and a rollback that does not come into force.
func TestApplyReachesEveryProcess(t *testing.T) {
	s := startSite(t, local.Options{Gateways: 2, Controllers: 2, NoConfig: true})
	example := s.must("", "config", "example", "orders", "ledger", "bookings", "reports", "spare")
	until(t, "the store is seen", func() bool {
		_, stdout, _ := s.ctl("", "status", "--output", "json")
		return strings.Contains(stdout, `"store_reachable": true`)
	})
	if status, _, stderr := s.ctl(example, "apply", "-", "--base", "4"); status != exitFailure || !strings.Contains(stderr, "must be 0") {
		t.Fatalf("wrong base: exit %d, %s", status, stderr)
	}
	s.must(example, "apply", "-", "--wait", "--timeout", "3m")
	file := s.documentFile(func(d *policy.Document) { d.Site.CanaryWorkers = 3 })
	if out := s.must("", "diff", file); !strings.Contains(out, "site.canary_workers") {
		t.Errorf("diff: %s", out)
	}
	s.must("", "apply", file, "--wait", "--timeout", "3m")
	s.must("", "rollback", "1", "--wait", "--timeout", "3m")
	for _, c := range s.Controllers {
		if got := revision(t, c); got != 3 {
			t.Errorf("controller %s holds revision %d, want 3", c.OperatorAddress(), got)
		}
	}
	if status, _, stderr := s.ctl("", "apply", file); status != exitFailure || !strings.Contains(stderr, "revision 3 by \"alena\"") {
		t.Errorf("conflict: exit %d, %s", status, stderr)
	}
	if history := s.must("", "history"); !strings.Contains(history, "rollback to revision 1") {
		t.Errorf("history:\n%s", history)
	}
}

// Guards against a change that is lost when the store goes down right after it
// was accepted, and against a fresh process that serves without a configuration
// or does not get it from its peers.
func TestChangeSpreadsWithoutTheStore(t *testing.T) {
	s := startSite(t, local.Options{Gateways: 2, Controllers: 2})
	for _, c := range s.Controllers {
		until(t, "all processes know each other", func() bool { return peers(t, c) == 3 && inForce(t, c, 1) })
	}
	document := s.documentFile(func(d *policy.Document) { d.Site.CanaryWorkers = 3 })
	// No watch shows the change, so that it can spread over peers only. The store
	// counts as reachable for a short time after that.
	until(t, "the change is accepted", func() bool {
		if err := s.Platform.SetFaults(standin.Faults{StoreWatchesSilent: true}); err != nil {
			t.Fatal(err)
		}
		status, _, stderr := s.ctl("", "apply", document)
		if status != exitOK {
			t.Log(stderr)
			if err := s.Platform.SetFaults(standin.Faults{}); err != nil {
				t.Fatal(err)
			}
		}
		return status == exitOK
	})
	if err := s.Platform.SetFaults(standin.Faults{StoreDown: true, StoreWatchesSilent: true}); err != nil {
		t.Fatal(err)
	}
	for _, c := range s.Controllers {
		until(t, "the change is in force everywhere", func() bool { return revision(t, c) == 2 && inForce(t, c, 2) })
	}
	if status, _, stderr := s.ctl("", "rollback", "1"); status != exitFailure || !strings.Contains(stderr, "store-unreachable") {
		t.Errorf("change during the outage: exit %d, %s", status, stderr)
	}
	freshProcesses(t, s)
}

// freshProcesses starts processes while the store is down.
func freshProcesses(t *testing.T, s *site) {
	t.Helper()
	alone, err := s.AddController(nil)
	if err != nil {
		t.Fatal(err)
	}
	seeds := []settings.Address{settings.Address(s.Controllers[0].PeerAddress())}
	c, err := s.AddController(func(flags *controller.Settings) { flags.Peers = seeds })
	if err != nil {
		t.Fatal(err)
	}
	g, err := s.AddGateway(func(flags *gateway.Settings) { flags.Peers = seeds })
	if err != nil {
		t.Fatal(err)
	}
	until(t, "the fresh controller is ready", func() bool { return readyz(t, c.AdminAddress()) })
	if got := revision(t, c); got != 2 {
		t.Errorf("the fresh controller is ready with revision %d, want 2", got)
	}
	until(t, "the fresh gateway is ready", func() bool { return readyz(t, g.AdminAddress()) })
	until(t, "the fresh gateway reports the revision", func() bool { return inForce(t, c, 2) })
	if readyz(t, alone.AdminAddress()) || revision(t, alone) != 0 {
		t.Errorf("a process without store and peers is ready with revision %d", revision(t, alone))
	}
}

func readyz(t *testing.T, address string) bool {
	t.Helper()
	status, _ := get(t, "http://"+address+"/readyz")
	return status == http.StatusOK
}

// Guards against a wait that hides the processes that lack the change, or that
// reports success without them.
func TestApplyWaitListsLaggingProcesses(t *testing.T) {
	current := policy.Example("orders", "spare")
	mux := http.NewServeMux()
	answer := func(pattern string, value any) {
		mux.HandleFunc(pattern, func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(value) })
	}
	answer("GET /v1/config", current)
	answer("PUT /v1/config", controller.ConfigAccepted{Revision: 2})
	answer("GET /v1/config/in-force/2", controller.InForceReport{
		Revision: 2, Lagging: []controller.LaggingReport{{Incarnation: "g1", Role: "gateway", Address: "10.0.0.9:7000", Revision: 1}},
	})
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	current.Site.CanaryWorkers = 2
	data, err := policy.Encode(&current)
	if err != nil {
		t.Fatal(err)
	}
	status, _, stderr := runCommand(t, string(data), "--controller", server.URL, "apply", "-", "--wait", "--timeout", "1s")
	if status != exitLagging || !strings.Contains(stderr, "10.0.0.9:7000") {
		t.Errorf("exit %d, %s", status, stderr)
	}
}
