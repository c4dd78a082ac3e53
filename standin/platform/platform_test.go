package platform

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/waxwingbridge/waxwingbridge/infra"
	"github.com/waxwingbridge/waxwingbridge/infra/httpapi"
	"github.com/waxwingbridge/waxwingbridge/standin/target"
	"github.com/waxwingbridge/waxwingbridge/store/etcdgateway"
)

type fixture struct {
	*Server
	t       *testing.T
	ctx     context.Context
	client  *httpapi.Client
	targets *target.Group
}

// startSite starts the platform and targets of two workers, w001 and w002.
func startSite(t *testing.T, overHTTP bool) *fixture {
	t.Helper()
	options := Options{ListLag: minLag, UsageLag: minLag, RebootTime: 50 * time.Millisecond}
	options.Workers = BuildWorkers(FleetSpec{Pools: []PoolSize{{"orders", 2}}, Zones: 2, RackSize: 1, Cores: 4, MemoryMB: 1024})
	specs := []target.Spec{{Worker: "w001"}, {Worker: "w002"}}
	targets, err := target.Start(target.Options{Targets: specs})
	if err != nil {
		t.Fatal(err)
	}
	for i := range options.Workers {
		options.Workers[i].Address = targets.Address(options.Workers[i].ID)
	}
	admin := httptest.NewServer(targets.AdminHandler())
	control := NewHTTPTargetControl(admin.URL)
	options.Targets = targets
	if overHTTP {
		options.Targets = control
	}
	server, err := Start(options)
	if err != nil {
		t.Fatal(err)
	}
	f := &fixture{Server: server, t: t, ctx: testContext(t), client: httpapi.New(server.PlatformURL()), targets: targets}
	t.Cleanup(func() {
		f.client.Close()
		server.Close()
		control.Close()
		admin.Close()
		targets.Close()
		goleak.VerifyNone(t)
	})
	return f
}

func (f *fixture) must(err error) {
	f.t.Helper()
	if err != nil {
		f.t.Fatal(err)
	}
}

func (f *fixture) wantRejected(what string, err error) {
	f.t.Helper()
	if !errors.Is(err, infra.ErrRejected) {
		f.t.Errorf("%s: %v, want rejected", what, err)
	}
}

func (f *fixture) await(what string, condition func() bool) {
	f.t.Helper()
	for !condition() {
		if f.ctx.Err() != nil {
			f.t.Fatalf("timed out waiting for %s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (f *fixture) worker1() infra.Worker {
	f.t.Helper()
	worker, err := f.client.GetWorker(f.ctx, "w001")
	f.must(err)
	return worker
}

func (f *fixture) task(operation string) infra.Task {
	f.t.Helper()
	tasks, err := f.client.ListTasks(f.ctx)
	f.must(err)
	for _, task := range tasks {
		if task.Operation == operation {
			return task
		}
	}
	return infra.Task{}
}

func (f *fixture) awaitTask(operation string, status infra.TaskStatus) infra.Task {
	f.t.Helper()
	f.await("task "+operation+" "+string(status), func() bool { return f.task(operation).Status == status })
	return f.task(operation)
}

func (f *fixture) startTask(operation, job, payload string) {
	f.t.Helper()
	f.must(f.client.StartTask(f.ctx, infra.TaskSpec{
		Operation: operation, Job: job, Worker: "w001", MilliCores: 1000, MemoryMB: 10, Lease: time.Minute, Payload: payload,
	}))
}

// Guards against a drain that is confirmed before the target refuses requests, and
// against a worker that is live instead of draining after a reboot.
func TestDrainRebootAssignUndrain(t *testing.T) {
	t.Run("in process", func(t *testing.T) { checkMaintenance(startSite(t, false)) })
	t.Run("over HTTP", func(t *testing.T) { checkMaintenance(startSite(t, true)) })
}

func checkMaintenance(f *fixture) {
	f.wantRejected("reboot of a live worker", f.client.Reboot(f.ctx, "w001", "op0"))
	f.must(f.client.Drain(f.ctx, "w001", "op1"))
	statuses, err := f.targets.Status(f.ctx)
	f.must(err)
	if w := f.worker1(); w.Status != infra.WorkerDraining || w.Operation != "op1" || !statuses[0].Draining {
		f.t.Fatalf("after the drain: %+v, target %+v", w, statuses[0])
	}
	f.must(f.client.Reboot(f.ctx, "w001", "op0")) // a rejected operation ID can be reused
	f.must(f.client.Reboot(f.ctx, "w001", "op0"))
	f.await("end of the reboot", func() bool {
		w, _ := f.Worker("w001")
		return w.BootID == 2
	})
	f.must(f.client.Reboot(f.ctx, "w001", "op0"))
	if w := f.worker1(); w.BootID != 2 || w.Status != infra.WorkerDraining {
		f.t.Errorf("after a repeated reboot: %+v", w)
	}
	f.must(f.client.Assign(f.ctx, "w001", "spare", "op1"))
	f.must(f.client.Undrain(f.ctx, "w001", "op1"))
	f.wantRejected("assign of a live worker", f.client.Assign(f.ctx, "w001", "orders", "op2"))
	f.await("list with the new pool", func() bool {
		workers, err := f.client.ListWorkers(f.ctx)
		f.must(err)
		return len(workers) == 2 && workers[0].Pool == "spare" && workers[0].Status == infra.WorkerLive
	})
	if err := f.client.Drain(f.ctx, "w009", "op3"); !errors.Is(err, infra.ErrNotFound) {
		f.t.Errorf("drain of an unknown worker: %v", err)
	}
}

// Guards against a start that runs a task twice when it is repeated after a lost
// response.
func TestTaskStartIsIdempotentAfterLostAnswer(t *testing.T) {
	f := startSite(t, false)
	spec := infra.TaskSpec{Operation: "t1", Job: "j1", Worker: "w001", Lease: time.Minute, Payload: "run:1ms"}
	f.must(f.SetFaults(Faults{PlatformLoseAnswers: true}))
	if err := f.client.StartTask(f.ctx, spec); !errors.Is(err, infra.ErrUnavailable) {
		t.Fatalf("lost response: %v", err)
	}
	f.must(f.SetFaults(Faults{}))
	f.must(f.client.StartTask(f.ctx, spec))
	f.awaitTask("t1", infra.TaskDone)
	if starts := f.Executions()["j1"]; starts != 1 {
		t.Errorf("job started %d times", starts)
	}
}

// Guards against payload directives and task actions that have no effect.
func TestTaskBehaviour(t *testing.T) {
	f := startSite(t, false)
	f.startTask("fails", "j1", "run:1ms fail")
	f.startTask("hangs", "j2", "hang cores:3000 memory:77 watts:30")
	f.startTask("kept", "j3", "run:1h")
	if task := f.awaitTask("fails", infra.TaskFailed); task.Error == "" {
		t.Error("failed task without reason")
	}
	f.await("usage", func() bool { return f.task("hangs").UsedMilliCores == 3000 })
	f.must(f.client.ThrottleTask(f.ctx, "hangs", true))
	f.await("power of a throttled task", func() bool { return f.task("hangs").PowerWatts == 15 })
	f.must(f.client.CheckpointTask(f.ctx, "kept"))
	f.awaitTask("kept", infra.TaskCheckpointed)
	if w := f.worker1(); w.Tasks != 1 || w.PowerWatts != idleWatts+15 {
		t.Errorf("worker %+v", w)
	}
	f.must(f.client.StopTask(f.ctx, "hangs"))
	f.awaitTask("hangs", infra.TaskStopped)
	f.wantRejected("unknown directive", f.client.StartTask(f.ctx, infra.TaskSpec{
		Operation: "bad", Worker: "w001", Lease: time.Minute, Payload: "sleep",
	}))
	f.must(f.SetFaults(Faults{FailingWorkers: []string{"w001"}}))
	f.startTask("bad worker", "j4", "")
	f.awaitTask("bad worker", infra.TaskFailed)
}

// Guards against a task that runs past its lease, and against a renewal of the
// lease of a task on a worker that is down.
func TestTaskLeaseLapsesOnDeadWorker(t *testing.T) {
	f := startSite(t, false)
	f.startTask("t1", "j1", "hang")
	f.must(f.client.RenewTasks(f.ctx, []string{"t1", "unknown"}, 200*time.Millisecond))
	f.ApplyWorkerAction(WorkerActionRequest{Selector: Selector{Rack: "r01"}, Action: FailWorker})
	f.must(f.client.RenewTasks(f.ctx, []string{"t1"}, time.Hour))
	f.awaitTask("t1", infra.TaskLeaseExpired)
	f.ApplyWorkerAction(WorkerActionRequest{Selector: Selector{Workers: []string{"w001"}}, Action: RecoverWorker})
	f.await("recovery", func() bool { return f.worker1().Status == infra.WorkerLive })
	if w := f.worker1(); w.BootID != 2 {
		t.Errorf("recovered worker %+v", w)
	}
}

// Guards against a leaving worker that is reported as live or stays in the list.
func TestLeavingWorkerGoes(t *testing.T) {
	f := startSite(t, false)
	f.ApplyWorkerAction(WorkerActionRequest{Selector: Selector{AvailabilityZone: "az2"}, Action: RemoveWorker, GraceMS: 50})
	if w, known := f.Worker("w002"); known && w.Status != infra.WorkerLeaving && w.Status != infra.WorkerDown {
		t.Errorf("leaving worker %+v", w)
	}
	f.await("removal of the leaving worker", func() bool {
		workers, err := f.client.ListWorkers(f.ctx)
		f.must(err)
		return len(workers) == 1 && workers[0].ID == "w001"
	})
}

// Guards against injected faults that have no effect.
func TestFaultSwitches(t *testing.T) {
	f := startSite(t, false)
	request, err := http.NewRequestWithContext(f.ctx, http.MethodPut, f.PlatformURL()+PathFaults,
		strings.NewReader(`{"store_down":true,"list_frozen":true,"reboot_hangs":true}`))
	f.must(err)
	response, err := http.DefaultClient.Do(request)
	f.must(err)
	response.Body.Close()
	http.DefaultClient.CloseIdleConnections()
	s, err := etcdgateway.New(f.StoreURL())
	f.must(err)
	defer s.Close()
	if _, err := s.Get(f.ctx, "a"); err == nil {
		t.Error("store answers while down")
	}
	f.must(f.client.Drain(f.ctx, "w001", "op1"))
	f.must(f.client.Reboot(f.ctx, "w001", "op1"))
	time.Sleep(100 * time.Millisecond) // longer than the reboot time (50 ms) and ListLag
	if w, _ := f.Worker("w001"); w.Status != infra.WorkerRebooting {
		t.Errorf("hanging reboot: %+v", w)
	}
	if workers, err := f.client.ListWorkers(f.ctx); err != nil || workers[0].Status != infra.WorkerLive {
		t.Errorf("frozen list: %+v, %v", workers, err)
	}
	f.must(f.SetFaults(Faults{}))
	f.await("end of the reboot", func() bool {
		w, _ := f.Worker("w001")
		return w.Status == infra.WorkerDraining
	})
	if _, err := s.Get(f.ctx, "a"); err != nil {
		t.Errorf("store after it came back up: %v", err)
	}
	f.must(f.SetFaults(Faults{PlatformDown: true}))
	if _, err := f.client.ListWorkers(f.ctx); !errors.Is(err, infra.ErrUnavailable) {
		t.Errorf("platform that is down: %v", err)
	}
	f.must(f.SetFaults(Faults{PlatformSlowMS: 60_000}))
	short, cancel := context.WithTimeout(f.ctx, 100*time.Millisecond)
	defer cancel()
	if _, err := f.client.ListWorkers(short); !errors.Is(err, infra.ErrUnavailable) {
		t.Errorf("slow platform: %v", err)
	}
	if calls := f.Calls(); calls.Platform["reboot"] != 1 || calls.Store["get"] == 0 {
		t.Errorf("calls %+v", calls)
	}
}

// Guards against a rack that spans two zones, and against pools that are
// concentrated in few racks.
func TestBuildWorkersSpreadsPools(t *testing.T) {
	workers := BuildWorkers(DefaultFleet())
	if len(workers) != 49 {
		t.Fatalf("%d workers, want 49", len(workers))
	}
	zoneOfRack, inRack := map[string]string{}, map[string]int{}
	perRack := map[string]int{}
	for _, w := range workers {
		if zone, known := zoneOfRack[w.Rack]; known && zone != w.AvailabilityZone {
			t.Errorf("rack %s in %s and %s", w.Rack, zone, w.AvailabilityZone)
		}
		zoneOfRack[w.Rack] = w.AvailabilityZone
		perRack[w.Rack]++
		inRack[w.Pool+w.Rack]++
	}
	for rack, count := range perRack {
		if count > 4 {
			t.Errorf("rack %s holds %d workers", rack, count)
		}
	}
	for key, count := range inRack {
		if count > 1 {
			t.Errorf("%d workers of one pool in one rack: %s", count, key)
		}
	}
	if _, err := ParsePools("orders=0"); err == nil {
		t.Error("pool without workers accepted")
	}
}
