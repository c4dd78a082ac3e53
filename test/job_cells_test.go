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

// urgentStartLimit is the bound that docs/design.md sets on the start of urgent jobs.
const urgentStartLimit = 2200 * time.Millisecond

// maxJobMilliCores is the share of a worker that one job may reserve: half of its
// 32 cores.
const maxJobMilliCores = 16_000

// urgentJob fills a pool with long jobs and expects that an urgent job preempts one
// of them and starts within the limit.
func urgentJob(s *site, _ *callers) {
	var long []gateway.JobRequest
	for range 4 {
		job := s.newJob("run:5s")
		job.MilliCores, job.Idempotent, job.Checkpointable = maxJobMilliCores, true, true
		s.submitUntilAccepted(job)
		long = append(long, job)
	}
	for _, job := range long {
		s.waitJobState(job, "running")
	}
	urgent := s.newJob("run:10ms")
	urgent.Class, urgent.Family, urgent.MilliCores = "urgent", "restock", maxJobMilliCores
	submitted := time.Now()
	s.submitUntilAccepted(urgent)
	for s.startCount(urgent) == 0 {
		if since := time.Since(submitted); since > urgentStartLimit {
			s.t.Errorf("the urgent job has not started after %v", since)
			break
		}
		time.Sleep(pollInterval)
	}
	for _, job := range append(long, urgent) {
		s.waitJobState(job, "done")
	}
}

func (s *site) startCount(job gateway.JobRequest) int {
	var starts map[string]int
	if s.get(s.address(platformPort)+standin.PathExecutions, &starts) != nil {
		return 0
	}
	return starts[job.ID]
}

// failingWorker expects that jobs complete although one worker fails every task
// that it starts.
func failingWorker(s *site, _ *callers) {
	s.setPlatformFaults(standin.Faults{FailingWorkers: []string{"w005"}})
	var jobs []gateway.JobRequest
	for i := range 8 {
		job := s.newJob("run:50ms")
		job.Idempotent, job.MilliCores, job.Family = true, 4000, fmt.Sprintf("family-%d", i)
		s.submitUntilAccepted(job)
		jobs = append(jobs, job)
	}
	for _, job := range jobs {
		s.waitJobState(job, "done")
	}
	s.setPlatformFaults(standin.Faults{})
}

// workerKilledInJob expects that a non-idempotent job whose worker fails is reported
// as unknown and not started again, and that an idempotent one is started again and
// completes.
func workerKilledInJob(s *site, _ *callers) {
	nonIdempotent, idempotent := s.newJob("hang"), s.newJob("run:10s") // neither ends before its worker fails
	idempotent.Idempotent = true
	s.submitUntilAccepted(nonIdempotent)
	s.submitUntilAccepted(idempotent)
	s.waitJobState(nonIdempotent, "running")
	s.waitJobState(idempotent, "running")
	failed := map[string]bool{s.getJob(s.gateways[0], nonIdempotent.ID).Worker: true, s.getJob(s.gateways[0], idempotent.ID).Worker: true}
	for worker := range failed {
		s.failWorker(worker)
	}
	s.waitJobState(nonIdempotent, "unknown")
	for worker := range failed {
		s.recoverWorker(worker)
	}
	s.waitJobState(idempotent, "done")
	if starts := s.startCount(nonIdempotent); starts != 1 {
		s.t.Errorf("the non-idempotent job was started %d times, want 1", starts)
	}
}

// gatewayKilledInJob kills a gateway during submissions and repeats these at the
// other one. It expects that the job IDs prevent a second start.
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
		s.submitUntilAccepted(job)
		s.waitJobState(job, "done")
		if starts := s.startCount(job); starts != 1 {
			s.t.Errorf("%s was started %d times, want 1", job.ID, starts)
		}
	}
	s.gateways[0].start()
	s.waitReady(s.gateways[0])
}

// cancelMany cancels 40 jobs concurrently and expects that each ends as cancelled or
// done, and that a repeated cancellation has a definite outcome.
func cancelMany(s *site, _ *callers) {
	var jobs []gateway.JobRequest
	for range 40 {
		job := s.newJob("run:20s")
		job.MilliCores = 4000
		s.submitUntilAccepted(job)
		jobs = append(jobs, job)
	}
	var work sync.WaitGroup
	for _, job := range jobs {
		work.Go(func() { s.cancelJob(s.gateways[1], job.ID) })
	}
	work.Wait()
	for _, job := range jobs {
		s.waitJobState(job, "cancelled", "done")
	}
	repeated := s.cancelJob(s.gateways[1], jobs[0].ID)
	if repeated.Outcome == outcome.Unknown.String() {
		s.t.Errorf("a repeated cancellation ended with an unknown outcome: %+v", repeated)
	}
}
