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
		{"controller-killed-drain-job-config", killedInDrain},
		{"controller-killed-reboot-move", killedInReboot},
		{"controller-paused-drain", pausedInDrain},
	}}
}

// racingConfigs expects that of two changes on one base exactly one is accepted,
// and that the other operator is told so.
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

// racingDrains expects that of two drains in a pool that can spare one worker
// exactly one starts.
func racingDrains(s *site, _ *callers) {
	m := s.active()
	s.eventually(readyLimit, "the first drain of a pool starts", func() bool {
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
			s.t.Error("both drains started")
		}
		return errs[0] == nil || errs[1] == nil
	})
	s.eventually(waveLimit, "the pool serves again", func() bool {
		return s.worker("w001").State == fleet.Serving && s.worker("w002").State == fleet.Serving
	})
}

// killedInDrain kills the active controller while a worker drains, a job runs
// and a configuration change has just been accepted.
func killedInDrain(s *site, _ *callers) {
	m := s.active()
	job := s.newJob("run:2s")
	s.accept(job)
	s.slow("w001", 3000)
	boot := s.bootID("w001")
	s.disrupt(fleet.OperationMaintain, "w001", "")
	s.waitState("w001", fleet.Draining)
	revision, err := s.applyConfig(m, s.config(m), "operator")
	if err != nil {
		s.t.Error(err)
	}
	m.kill()
	s.targetFaults("w001", target.Faults{})
	s.waitInForce(s.another(m), revision)
	s.finished(job, "done")
	s.serving("w001", boot)
	m.start()
	s.waitReady(m)
}

// killedInReboot kills the active controller during a reboot and a move.
func killedInReboot(s *site, _ *callers) {
	s.faults(standin.Faults{RebootHangs: true})
	boot := s.bootID("w005")
	s.disrupt(fleet.OperationMaintain, "w005", "")
	s.waitState("w005", fleet.Rebooting)
	s.disrupt(fleet.OperationMove, "w009", "orders")
	m := s.active()
	m.kill()
	s.faults(standin.Faults{})
	s.serving("w005", boot)
	if again := s.bootID("w005"); again != boot+1 {
		s.t.Errorf("the worker was rebooted %d times", again-boot)
	}
	s.eventually(waveLimit, "the move ends", func() bool {
		w := s.worker("w009")
		return w.Pool == "orders" && w.State == fleet.Serving
	})
	m.start()
	s.waitReady(m)
}

// pausedInDrain pauses the active controller until its lease has lapsed and
// another one is active, and lets it go on in the middle of the takeover.
func pausedInDrain(s *site, _ *callers) {
	m := s.active()
	s.slow("w002", 3000)
	boot := s.bootID("w002")
	s.disrupt(fleet.OperationMaintain, "w002", "")
	s.waitState("w002", fleet.Draining)
	epoch := s.watch.fleet().Epoch
	m.pause()
	s.eventually(readyLimit, "another controller writes", func() bool { return s.watch.fleet().Epoch > epoch })
	m.resume()
	s.targetFaults("w002", target.Faults{})
	s.eventually(readyLimit, "the paused controller steps down", func() bool { return s.phase(m) == "standby" })
	s.serving("w002", boot)
	if again := s.bootID("w002"); again != boot+1 {
		s.t.Errorf("the worker was rebooted %d times", again-boot)
	}
}

func waveGroup() group {
	return group{name: "wave", options: options{pools: "orders=4,ledger=4,spare=4"}, cells: []cell{
		{"controller-killed-wave", killedInWave},
		{"answer-lost-wave", func(s *site, _ *callers) { s.waveUnder(standin.Faults{}) }},
		{"platform-answer-lost-wave", func(s *site, _ *callers) { s.waveUnder(standin.Faults{PlatformLoseAnswers: true}) }},
	}}
}

// killedInWave expects that the next controller finishes the wave.
func killedInWave(s *site, _ *callers) {
	s.wave("start")
	s.eventually(waveLimit, "the wave has begun", func() bool { w := s.watch.fleet().Wave; return w != nil && w.Clean > 0 })
	m := s.active()
	m.kill()
	s.eventually(waveLimit, "the wave is done", func() bool { return s.waveStatus() == fleet.WaveDone })
	m.start()
	s.waitReady(m)
}

// waveUnder runs a wave while answers of the store are lost, besides other
// faults that only delay it. It ends the wave early, because the calls of each
// worker take long.
func (s *site) waveUnder(faults standin.Faults) {
	end := s.loseAnswers(faults)
	s.wave("start")
	s.eventually(waveLimit, "the wave maintains workers", func() bool {
		w := s.watch.fleet().Wave
		return w != nil && (w.Status == fleet.WaveDone || (w.Status == fleet.WaveRunning && w.Clean >= 2))
	})
	end()
	if s.waveStatus() == fleet.WaveRunning {
		s.wave("abort")
	}
	s.eventually(waveLimit, "every worker serves", func() bool {
		for _, worker := range s.watch.fleet().Workers {
			if worker.State != fleet.Serving {
				return false
			}
		}
		return true
	})
	time.Sleep(observePause)
}
