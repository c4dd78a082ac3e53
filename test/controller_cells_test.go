package test

import (
	"net/http"
	"sync"
	"time"

	"github.com/waxwingbridge/waxwingbridge/controller"
	"github.com/waxwingbridge/waxwingbridge/fleet"
	standin "github.com/waxwingbridge/waxwingbridge/standin/platform"
	"github.com/waxwingbridge/waxwingbridge/standin/target"
)

func controllerGroup() group {
	return group{name: "controller", options: options{controllers: 3}, cells: []cell{
		{"operators-racing-config", racingConfigs},
		{"operators-racing-drain", racingDrains},
		{"controller-killed-drain-job-config", controllerKilledInDrain},
		{"controller-killed-reboot-move", controllerKilledInReboot},
		{"controller-paused-drain", controllerPausedInDrain},
	}}
}

// racingConfigs expects that of two concurrent changes to the same base revision
// exactly one is accepted, and that the other is answered with a conflict.
func racingConfigs(s *site, _ *callers) {
	base := s.config(s.controllers[0])
	var errs [2]error
	var work sync.WaitGroup
	for i := range errs {
		work.Go(func() { _, errs[i] = s.applyConfig(s.controllers[i], base, "operator-"+s.controllers[i].name) })
	}
	work.Wait()
	accepted, conflicts := 0, 0
	for _, err := range errs {
		switch {
		case err == nil:
			accepted++
		case statusOf(err) == http.StatusConflict:
			conflicts++
		default:
			s.t.Error(err)
		}
	}
	if accepted != 1 || conflicts != 1 {
		s.t.Errorf("%d changes accepted and %d conflicts, want 1 and 1", accepted, conflicts)
	}
}

// racingDrains expects that of two concurrent maintenance requests in a pool that
// can spare one worker exactly one starts.
func racingDrains(s *site, _ *callers) {
	m := s.activeController()
	s.eventually(readyLimit, "one of two concurrent drains starts", func() bool {
		var errs [2]error
		var work sync.WaitGroup
		for i, worker := range []string{"w001", "w002"} {
			work.Go(func() {
				request := controller.OperationRequest{Kind: string(fleet.OperationMaintain), Worker: worker, Reason: "test"}
				errs[i] = s.call(http.MethodPost, m.public+"/v1/operations", request, nil)
			})
		}
		work.Wait()
		if errs[0] == nil && errs[1] == nil {
			s.t.Error("both concurrent drains started, although the pool can spare one worker")
		}
		return errs[0] == nil || errs[1] == nil
	})
	s.eventually(waveLimit, "the pool serves again", func() bool {
		return s.workerRow("w001").State == fleet.Serving && s.workerRow("w002").State == fleet.Serving
	})
}

// controllerKilledInDrain kills the active controller while a worker drains, a job
// runs and a configuration change has just been accepted. It expects that all three
// are finished by the other controllers.
func controllerKilledInDrain(s *site, _ *callers) {
	m := s.activeController()
	job := s.newJob("run:2s")
	s.submitUntilAccepted(job)
	s.slowTarget("w001", 3000)
	boot := s.bootID("w001")
	s.startOperation(fleet.OperationMaintain, "w001", "")
	s.waitState("w001", fleet.Draining)
	revision, err := s.applyConfig(m, s.config(m), "operator")
	if err != nil {
		s.t.Error(err)
	}
	m.kill()
	s.setTargetFaults("w001", target.Faults{})
	s.waitInForce(s.otherController(m), revision)
	s.waitJobState(job, "done")
	s.waitServing("w001", boot)
	m.start()
	s.waitReady(m)
}

// controllerKilledInReboot kills the active controller during a reboot and a move.
// It expects that both finish and that the worker is rebooted once.
func controllerKilledInReboot(s *site, _ *callers) {
	s.setPlatformFaults(standin.Faults{RebootHangs: true})
	boot := s.bootID("w005")
	s.startOperation(fleet.OperationMaintain, "w005", "")
	s.waitState("w005", fleet.Rebooting)
	s.startOperation(fleet.OperationMove, "w009", "orders")
	m := s.activeController()
	m.kill()
	s.setPlatformFaults(standin.Faults{})
	s.waitServing("w005", boot)
	if bootAfter := s.bootID("w005"); bootAfter != boot+1 {
		s.t.Errorf("the worker was rebooted %d times, want once", bootAfter-boot)
	}
	s.eventually(waveLimit, "the move ends", func() bool {
		w := s.workerRow("w009")
		return w.Pool == "orders" && w.State == fleet.Serving
	})
	m.start()
	s.waitReady(m)
}

// controllerPausedInDrain pauses the active controller until its lease has lapsed
// and another one writes, and resumes it during the takeover. It expects that the
// paused controller steps down and that the worker is rebooted once.
func controllerPausedInDrain(s *site, _ *callers) {
	m := s.activeController()
	s.slowTarget("w002", 3000)
	boot := s.bootID("w002")
	s.startOperation(fleet.OperationMaintain, "w002", "")
	s.waitState("w002", fleet.Draining)
	epoch := s.observer.fleet().Epoch
	m.pause()
	s.eventually(readyLimit, "another controller writes under a later epoch", func() bool { return s.observer.fleet().Epoch > epoch })
	m.resume()
	s.setTargetFaults("w002", target.Faults{})
	s.eventually(readyLimit, "the paused controller steps down", func() bool { return s.phase(m) == "standby" })
	s.waitServing("w002", boot)
	if bootAfter := s.bootID("w002"); bootAfter != boot+1 {
		s.t.Errorf("the worker was rebooted %d times, want once", bootAfter-boot)
	}
}

func waveGroup() group {
	return group{name: "wave", options: options{pools: "orders=4,ledger=4,spare=4"}, cells: []cell{
		{"controller-killed-wave", controllerKilledInWave},
		{"answer-lost-wave", func(s *site, _ *callers) { s.waveWithLostResponses(standin.Faults{}) }},
		{"platform-answer-lost-wave", func(s *site, _ *callers) { s.waveWithLostResponses(standin.Faults{PlatformLoseAnswers: true}) }},
	}}
}

// controllerKilledInWave kills the active controller during a wave and expects that
// the next one finishes the wave.
func controllerKilledInWave(s *site, _ *callers) {
	s.changeWave("start")
	s.eventually(waveLimit, "the wave has maintained a worker", func() bool { w := s.observer.fleet().Wave; return w != nil && w.Clean > 0 })
	m := s.activeController()
	m.kill()
	s.eventually(waveLimit, "the wave is done", func() bool { return s.waveStatus() == fleet.WaveDone })
	m.start()
	s.waitReady(m)
}

// waveWithLostResponses runs a wave while the store loses responses, in addition to
// the given faults, which only delay the wave. It aborts the wave after two workers,
// because lost responses make the calls for each worker slow.
func (s *site) waveWithLostResponses(faults standin.Faults) {
	restore := s.loseStoreResponses(faults)
	s.changeWave("start")
	s.eventually(waveLimit, "the wave is done or has maintained two workers", func() bool {
		w := s.observer.fleet().Wave
		return w != nil && (w.Status == fleet.WaveDone || (w.Status == fleet.WaveRunning && w.Clean >= 2))
	})
	restore()
	if s.waveStatus() == fleet.WaveRunning {
		s.changeWave("abort")
	}
	s.eventually(waveLimit, "every worker serves", func() bool {
		for _, worker := range s.observer.fleet().Workers {
			if worker.State != fleet.Serving {
				return false
			}
		}
		return true
	})
	time.Sleep(observeInterval)
}
