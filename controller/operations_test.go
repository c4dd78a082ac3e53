package controller

import (
	"fmt"
	"testing"
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/fleet"
	"github.com/waxwingbridge/waxwingbridge/infra"
	"github.com/waxwingbridge/waxwingbridge/node"
)

// newOperatingHarness returns a controller whose fleet has an operation on each
// worker. The worker that is returned has just been polled.
func newOperatingHarness(t *testing.T, workers int) (*harness, *trackedWorker) {
	t.Helper()
	h := newHarness(t)
	document := &fleet.Document{Epoch: 1, Revision: 1}
	var list []infra.Worker
	for i := range workers {
		id := fmt.Sprintf("w%03d", i)
		document.Workers = append(document.Workers, fleet.Worker{ID: id, Pool: "orders", State: fleet.Serving})
		list = append(list, infra.Worker{ID: id, Pool: "orders", Status: infra.WorkerRebooting, BootID: 1})
	}
	h.state.Fleet = fleet.Load(document)
	h.step(0, Observed{node.WorkersListed{Workers: list, RequestedAt: h.now}})
	for i := range list {
		if err := h.state.Fleet.StartOperation(fleet.OperationSpec{
			OperationID: list[i].ID, Kind: fleet.OperationMaintain, Worker: list[i].ID,
		}, h.now); err != nil {
			t.Fatal(err)
		}
	}
	tracked := h.state.trackWorker("w000")
	h.state.poll(tracked)
	WorkerAnswered{Worker: "w000", Observation: &fleet.Observation{Worker: "w000"}}.apply(h.state, engine.Tick{Now: h.now})
	return h, tracked
}

// Guards against a wave of 100 workers that polls each of them twice a second: the
// rate of all polls is bounded.
func TestQuestionsOfWideWaveAreBounded(t *testing.T) {
	h, tracked := newOperatingHarness(t, 100)
	if h.state.pollDue(tracked, h.now.Add(9*time.Second)) {
		t.Error("poll due after 9 s, want an interval of 10 s with 100 operations")
	}
	if !h.state.pollDue(tracked, h.now.Add(10*time.Second)) {
		t.Error("poll not due after 10 s")
	}
	h, tracked = newOperatingHarness(t, 1)
	if !h.state.pollDue(tracked, h.now.Add(minPollInterval)) {
		t.Errorf("poll of a single operation not due after %v", minPollInterval)
	}
}

// Guards against late detection of the end of a reboot in a wide wave: a change in
// the VM list makes a poll due before the poll interval has passed.
func TestListedChangeMakesWorkerDue(t *testing.T) {
	h, tracked := newOperatingHarness(t, 100)
	rebooted := infra.Worker{ID: "w000", Pool: "orders", Status: infra.WorkerDraining, BootID: 2}
	h.state.View.Apply(engine.Tick{Now: h.now}, node.WorkersListed{Workers: []infra.Worker{rebooted}, RequestedAt: h.now.Add(time.Second)})
	if h.state.pollDue(tracked, h.now.Add(minPollInterval/2)) {
		t.Errorf("poll due before %v have passed", minPollInterval)
	}
	if !h.state.pollDue(tracked, h.now.Add(minPollInterval)) {
		t.Error("poll not due although the VM list shows another boot")
	}
}

// Guards against a row for a worker that was removed while a poll was in flight: no
// later event would delete it.
func TestLateAnswerOfRemovedWorkerIsDropped(t *testing.T) {
	h, _ := newOperatingHarness(t, 2)
	h.state.untrackWorker("w000")
	before := h.state.trackedWorkers.Len()
	WorkerAnswered{Worker: "w000", Observation: &fleet.Observation{Worker: "w000"}}.apply(h.state, engine.Tick{Now: h.now})
	if after := h.state.trackedWorkers.Len(); after != before {
		t.Errorf("%d tracked workers after the late answer, want %d", after, before)
	}
}
