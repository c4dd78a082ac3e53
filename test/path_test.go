package test

import (
	"testing"

	"github.com/waxwingbridge/waxwingbridge/fleet"
	"github.com/waxwingbridge/waxwingbridge/gateway"
	"github.com/waxwingbridge/waxwingbridge/standin/target"
)

// Guards against failing steps of normal operation, without injected faults, when
// each program runs as a separate process. Covers requests, a job, maintenance, a
// drain with return, a move, a wave and a configuration change.
func TestOrdinaryPath(t *testing.T) {
	t.Parallel()
	s := startSite(t, options{})
	traffic := s.startCallers(4, "orders", "ledger")
	job := gateway.JobRequest{ID: "job-1", Pool: "ledger", Class: "long", Family: "reconcile", MilliCores: 500, Payload: "run:300ms"}
	s.eventually(readyLimit, "the job is accepted", func() bool { return s.submitJob(s.gateways[0], job).Outcome == "completed" })

	s.slowTarget("w001", 2000) // the reboot has to wait for these requests
	s.startOperation(fleet.OperationMaintain, "w001", "")
	s.waitState("w001", fleet.Rebooting, fleet.Returning)
	s.waitState("w001", fleet.Serving)
	s.setTargetFaults("w001", target.Faults{})
	s.startOperation(fleet.OperationDrain, "w005", "")
	s.waitState("w005", fleet.Drained)
	s.returnWorker("w005")
	s.waitState("w005", fleet.Serving)
	s.startOperation(fleet.OperationMove, "w009", "orders")
	s.eventually(waveLimit, "the move ends", func() bool {
		w := s.workerRow("w009")
		return w.Pool == "orders" && w.State == fleet.Serving
	})
	revision, err := s.applyConfig(s.controllers[1], s.config(s.controllers[1]), "operator-a")
	if err != nil {
		t.Fatal(err)
	}
	s.waitInForce(s.controllers[0], revision)
	s.eventually(readyLimit, "the job is done", func() bool { return s.getJob(s.gateways[1], "job-1").State == "done" })
	s.changeWave("start")
	s.eventually(waveLimit, "the wave is done", func() bool { return s.waveStatus() == fleet.WaveDone })

	traffic.stopAndWait()
	t.Log(traffic.summary())
	if traffic.unexpectedUnknown() > 0 {
		t.Error("requests ended as unknown although no fault was injected")
	}
	s.observer.check([]string{"job-1"})
	for _, m := range s.members() {
		if status := m.terminate(); status != 0 {
			t.Errorf("%s: exit status %d", m.name, status)
		}
	}
}
