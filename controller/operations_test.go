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

// operating returns a controller whose fleet has an operation on each worker,
// all of which were asked about just now.
func operating(t *testing.T, workers int) (*machine, *trackedWorker) {
	t.Helper()
	m := newMachine(t)
	document := &fleet.Document{Epoch: 1, Revision: 1}
	var list []infra.Worker
	for i := range workers {
		id := fmt.Sprintf("w%03d", i)
		document.Workers = append(document.Workers, fleet.Worker{ID: id, Pool: "orders", State: fleet.Serving})
		list = append(list, infra.Worker{ID: id, Pool: "orders", Status: infra.WorkerRebooting, BootID: 1})
	}
	m.state.Fleet = fleet.Load(document)
	m.step(0, Observed{node.WorkersListed{Workers: list, Asked: m.now}})
	for i := range list {
		if err := m.state.Fleet.StartOperation(fleet.OperationSpec{
			OperationID: list[i].ID, Kind: fleet.OperationMaintain, Worker: list[i].ID,
		}, m.now); err != nil {
			t.Fatal(err)
		}
	}
	o := m.state.trackWorker("w000")
	m.state.poll(o)
	WorkerAnswered{Worker: "w000", Observation: &fleet.Observation{Worker: "w000"}}.apply(m.state, engine.Tick{Now: m.now})
	return m, o
}

// Guards against a wave of 100 workers that asks the platform about each of them
// twice a second: the rate of all questions is bounded.
func TestQuestionsOfWideWaveAreBounded(t *testing.T) {
	m, o := operating(t, 100)
	if m.state.pollDue(o, m.now.Add(9*time.Second)) {
		t.Error("asked after 9 s, want a pause of 10 s with 100 operations")
	}
	if !m.state.pollDue(o, m.now.Add(10*time.Second)) {
		t.Error("not asked after 10 s")
	}
	m, o = operating(t, 1)
	if !m.state.pollDue(o, m.now.Add(minPollInterval)) {
		t.Errorf("a single operation is not asked about after %v", minPollInterval)
	}
}

// Guards against a wide wave that notices the end of a reboot late: a change in
// the list makes the worker due before its pause is over.
func TestListedChangeMakesWorkerDue(t *testing.T) {
	m, o := operating(t, 100)
	rebooted := infra.Worker{ID: "w000", Pool: "orders", Status: infra.WorkerDraining, BootID: 2}
	m.state.View.Apply(engine.Tick{Now: m.now}, node.WorkersListed{Workers: []infra.Worker{rebooted}, Asked: m.now.Add(time.Second)})
	if m.state.pollDue(o, m.now.Add(minPollInterval/2)) {
		t.Errorf("asked again before %v have passed", minPollInterval)
	}
	if !m.state.pollDue(o, m.now.Add(minPollInterval)) {
		t.Error("not asked although the list shows another boot")
	}
}
