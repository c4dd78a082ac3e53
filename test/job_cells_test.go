package test

import (
	"fmt"
	"sync"
	"time"

	"github.com/waxwingbridge/waxwingbridge/gateway"
	"github.com/waxwingbridge/waxwingbridge/outcome"
	standin "github.com/waxwingbridge/waxwingbridge/standin/platform"
)

func jobGroup() group {
	return group{name: "job", options: options{controllers: 1}, callers: 2, cells: []cell{
		{"urgent-job", urgentJob},
		{"worker-fails-all-job", failingWorker},
		{"worker-killed-job", workerKilledInJob},
		{"gateway-killed-job", gatewayKilledInJob},
		{"many-cancellations", cancelMany},
	}}
}

// urgentStart is the bound of the design page on the start of urgent work.
const urgentStart = 2200 * time.Millisecond

// fullWorker is what one job may reserve of a worker: half of its 32 cores.
const fullWorker = 16_000

// urgentJob fills a pool with long jobs and expects that an urgent one starts
// within the bound, in place of another.
func urgentJob(s *site, _ *callers) {
	var long []gateway.JobRequest
	for range 4 {
		job := s.newJob("run:5s")
		job.MilliCores, job.Idempotent, job.Checkpointable = fullWorker, true, true
		s.accept(job)
		long = append(long, job)
	}
	for _, job := range long {
		s.finished(job, "running")
	}
	urgent := s.newJob("run:10ms")
	urgent.Class, urgent.Family, urgent.MilliCores = "urgent", "restock", fullWorker
	submitted := time.Now()
	s.accept(urgent)
	for s.starts(urgent) == 0 {
		if since := time.Since(submitted); since > urgentStart {
			s.t.Errorf("the urgent job has not started after %v", since)
			break
		}
		time.Sleep(pollPause)
	}
	for _, job := range append(long, urgent) {
		s.finished(job, "done")
	}
}

func (s *site) starts(job gateway.JobRequest) int {
	var starts map[string]int
	if s.get(s.at(platformPort)+standin.PathExecutions, &starts) != nil {
		return 0
	}
	return starts[job.ID]
}

// failingWorker expects that jobs end although one worker fails each task that
// it starts.
func failingWorker(s *site, _ *callers) {
	s.faults(standin.Faults{FailingWorkers: []string{"w005"}})
	var jobs []gateway.JobRequest
	for i := range 8 {
		job := s.newJob("run:50ms")
		job.Idempotent, job.MilliCores, job.Family = true, 4000, fmt.Sprintf("family-%d", i)
		s.accept(job)
		jobs = append(jobs, job)
	}
	for _, job := range jobs {
		s.finished(job, "done")
	}
	s.faults(standin.Faults{})
}

// workerKilledInJob expects that a non-idempotent job whose worker is lost is
// shown as unknown and not run again, and that an idempotent one is done elsewhere.
func workerKilledInJob(s *site, _ *callers) {
	once, again := s.newJob("hang"), s.newJob("run:10s") // neither ends before its worker is lost
	again.Idempotent = true
	s.accept(once)
	s.accept(again)
	s.finished(once, "running")
	s.finished(again, "running")
	lost := map[string]bool{s.job(s.gateways[0], once.ID).Worker: true, s.job(s.gateways[0], again.ID).Worker: true}
	for worker := range lost {
		s.fail(worker)
	}
	s.finished(once, "unknown")
	for worker := range lost {
		s.recover(worker)
	}
	s.finished(again, "done")
	if starts := s.starts(once); starts != 1 {
		s.t.Errorf("the non-idempotent job started %d times", starts)
	}
}

// gatewayKilledInJob kills a gateway during submissions and repeats them at the
// other one. The IDs keep each job from running twice.
func gatewayKilledInJob(s *site, _ *callers) {
	var jobs []gateway.JobRequest
	var work sync.WaitGroup
	for range 6 {
		job := s.newJob("run:50ms")
		jobs = append(jobs, job)
		work.Go(func() { s.submitJob(s.gateways[0], job) })
	}
	s.gateways[0].kill()
	work.Wait()
	for _, job := range jobs {
		s.accept(job)
		s.finished(job, "done")
		if starts := s.starts(job); starts != 1 {
			s.t.Errorf("%s started %d times", job.ID, starts)
		}
	}
	s.gateways[0].start()
	s.waitReady(s.gateways[0])
}

// cancelMany cancels many jobs at once; each ends as cancelled or done.
func cancelMany(s *site, _ *callers) {
	var jobs []gateway.JobRequest
	for range 40 {
		job := s.newJob("run:20s")
		job.MilliCores = 4000
		s.accept(job)
		jobs = append(jobs, job)
	}
	var work sync.WaitGroup
	for _, job := range jobs {
		work.Go(func() { s.cancelJob(s.gateways[1], job.ID) })
	}
	work.Wait()
	for _, job := range jobs {
		s.finished(job, "cancelled", "done")
	}
	answer := s.cancelJob(s.gateways[1], jobs[0].ID)
	if answer.Outcome == outcome.Unknown.String() {
		s.t.Errorf("a repeated cancellation ended as %+v", answer)
	}
}
