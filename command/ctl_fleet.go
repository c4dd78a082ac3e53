package command

import (
	"github.com/waxwingbridge/waxwingbridge/controller"
	"github.com/waxwingbridge/waxwingbridge/ctl"
	"github.com/waxwingbridge/waxwingbridge/fleet"
	"github.com/waxwingbridge/waxwingbridge/settings"
)

type (
	statusCommand struct{}
	poolsCommand  struct{}
	vmsCommand    struct {
		Pool settings.Name `env:"-" help:"Only the workers of this pool."`
	}
	maintainCommand struct {
		Worker workerID   `arg:"" help:"ID of the worker, as in vms."`
		Reason reasonText `env:"-" required:"" help:"Why the worker is maintained; recorded with the operation."`
	}
	drainCommand struct {
		Worker workerID   `arg:"" help:"ID of the worker, as in vms."`
		Reason reasonText `env:"-" help:"Why the worker is drained; recorded with the operation."`
	}
	returnCommand struct {
		Worker workerID `arg:"" help:"ID of the worker, as in vms."`
	}
	moveCommand struct {
		Worker workerID      `arg:"" help:"ID of the worker, as in vms."`
		Pool   settings.Name `arg:"" help:"Pool that gets the worker."`
		Reason reasonText    `env:"-" help:"Why the worker is moved; recorded with the operation."`
	}
	waveCommands struct {
		Start  waveStartCommand  `cmd:"" help:"Start a maintenance wave."`
		Pause  wavePauseCommand  `cmd:"" help:"Start nothing more; operations in progress end normally."`
		Resume waveResumeCommand `cmd:"" help:"Continue a paused or halted wave."`
		Abort  waveAbortCommand  `cmd:"" help:"End the wave for good and return its workers to service."`
		Show   waveShowCommand   `cmd:"" help:"Show the progress of the wave."`
	}
	waveStartCommand struct {
		Pool []settings.Name `env:"-" help:"Only the workers of these pools. Default: all pools."`
	}
	wavePauseCommand struct {
		Reason reasonText `env:"-" help:"Why the wave is paused."`
	}
	waveResumeCommand struct{}
	waveAbortCommand  struct {
		Reason reasonText `env:"-" help:"Why the wave is aborted."`
	}
	waveShowCommand struct{}
	jobsCommand     struct {
		Tenant settings.Name `env:"-" help:"Only the jobs of this tenant."`
	}
	cancelCommand struct {
		Job jobID `arg:"" help:"ID of the job, as in jobs."`
	}
	explainCommand struct {
		Kind string `arg:"" enum:"worker,job" help:"worker or job."`
		Name string `arg:"" help:"ID of the worker or job."`
	}
)

// Run shows the state of the site and of its controllers.
func (statusCommand) Run(s *session) error {
	report, err := s.operator.Status(s.ctx)
	return printResult(s, &report, err, ctl.StatusTable)
}

// Run shows the availability of the pools.
func (poolsCommand) Run(s *session) error {
	reports, err := s.operator.Pools(s.ctx)
	return printResult(s, reports, err, ctl.PoolsTable)
}

// Run lists the workers.
func (c vmsCommand) Run(s *session) error {
	reports, err := s.operator.Workers(s.ctx, string(c.Pool))
	return printResult(s, reports, err, ctl.WorkersTable)
}

// startOperation validates the operator, sends the request and prints the result.
func (s *session) startOperation(body controller.OperationRequest) error {
	if err := s.validateOperator(); err != nil {
		return err
	}
	started, err := s.operator.StartOperation(s.ctx, body)
	return printResult(s, &started, err, ctl.OperationTable)
}

// Run drains, reboots and returns a worker.
func (c maintainCommand) Run(s *session) error {
	return s.startOperation(controller.OperationRequest{Kind: string(fleet.OperationMaintain), Worker: string(c.Worker), Reason: string(c.Reason)})
}

// Run drains a worker and keeps it drained.
func (c drainCommand) Run(s *session) error {
	return s.startOperation(controller.OperationRequest{Kind: string(fleet.OperationDrain), Worker: string(c.Worker), Reason: string(c.Reason)})
}

// Run returns a worker to service or aborts its operation.
func (c returnCommand) Run(s *session) error {
	return s.startOperation(controller.OperationRequest{Kind: "return", Worker: string(c.Worker)})
}

// Run moves a worker to another pool.
func (c moveCommand) Run(s *session) error {
	return s.startOperation(controller.OperationRequest{
		Kind: string(fleet.OperationMove), Worker: string(c.Worker), ToPool: string(c.Pool), Reason: string(c.Reason),
	})
}

// controlWave validates the operator, sends the action and prints the wave.
func (s *session) controlWave(action controller.WaveAction, pools []settings.Name, reason reasonText) error {
	if err := s.validateOperator(); err != nil {
		return err
	}
	body := controller.WaveRequest{Action: string(action), Reason: string(reason)}
	for _, pool := range pools {
		body.Pools = append(body.Pools, string(pool))
	}
	wave, err := s.operator.ControlWave(s.ctx, body)
	return printResult(s, &wave, err, ctl.WaveSummaryTable)
}

// Run starts a wave.
func (c waveStartCommand) Run(s *session) error {
	return s.controlWave(controller.WaveStart, c.Pool, "")
}

// Run pauses the wave.
func (c wavePauseCommand) Run(s *session) error {
	return s.controlWave(controller.WavePause, nil, c.Reason)
}

// Run resumes the wave.
func (waveResumeCommand) Run(s *session) error { return s.controlWave(controller.WaveResume, nil, "") }

// Run aborts the wave.
func (c waveAbortCommand) Run(s *session) error {
	return s.controlWave(controller.WaveAbort, nil, c.Reason)
}

// Run shows the progress of the wave.
func (waveShowCommand) Run(s *session) error {
	report, err := s.operator.Wave(s.ctx)
	return printResult(s, &report, err, ctl.WaveTable)
}

// Run lists the jobs.
func (c jobsCommand) Run(s *session) error {
	reports, err := s.operator.Jobs(s.ctx, string(c.Tenant))
	return printResult(s, reports, err, ctl.JobsTable)
}

// Run cancels a job.
func (c cancelCommand) Run(s *session) error {
	if err := s.validateOperator(); err != nil {
		return err
	}
	report, err := s.operator.CancelJob(s.ctx, string(c.Job))
	return printResult(s, &report, err, ctl.JobTable)
}

// Run shows the reason for the last decision about a worker or a job.
func (c explainCommand) Run(s *session) error {
	explanation, err := s.operator.Explain(s.ctx, c.Kind, c.Name)
	return printResult(s, &explanation, err, ctl.ExplanationTable)
}
