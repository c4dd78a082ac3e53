// Package infra is the port to the platform's VM and task interface: the
// lagging VM list, drain, reboot and pool assignment of workers, and tasks under
// leases. The HTTP client lives in platform/httpapi.
package infra

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Errors of the port.
var (
	// ErrNotFound means that the worker or task does not exist.
	ErrNotFound = errors.New("infra: not found")
	// ErrUnavailable means that the platform did not answer; calls carry an
	// operation ID and may be repeated.
	ErrUnavailable = errors.New("infra: unavailable")
	// ErrRejected means that the platform refuses the call for good.
	ErrRejected = errors.New("infra: rejected")
)

// WorkerStatus is the platform's own view of a VM.
type WorkerStatus string

// The statuses that the platform reports.
const (
	WorkerLive      WorkerStatus = "live"
	WorkerDraining  WorkerStatus = "draining" // refuses new requests and tasks
	WorkerRebooting WorkerStatus = "rebooting"
	WorkerLeaving   WorkerStatus = "leaving" // will be taken away on the platform's initiative
	WorkerDown      WorkerStatus = "down"
)

// Worker is one row of the VM list. The list lags behind the truth.
type Worker struct {
	ID               string       `json:"id"`
	Address          string       `json:"address"` // host:port of its target
	AvailabilityZone string       `json:"availability_zone"`
	Rack             string       `json:"rack"`
	Pool             string       `json:"pool"` // initial pool; the fleet document is authoritative afterwards
	Cores            int          `json:"cores"`
	MemoryMB         int          `json:"memory_mb"`
	Accelerators     int          `json:"accelerators"`
	Status           WorkerStatus `json:"status"`
	BootID           int64        `json:"boot_id"`  // increases with each reboot
	Requests         int          `json:"requests"` // the target's own count of requests in flight
	Tasks            int          `json:"tasks"`
	PowerWatts       int          `json:"power_watts"`
	// Operation is the last operation that the platform executed on the worker.
	Operation string `json:"operation"`
}

// TaskStatus is the platform's view of a task.
type TaskStatus string

// The statuses of a task.
const (
	TaskRunning      TaskStatus = "running"
	TaskThrottled    TaskStatus = "throttled"
	TaskCheckpointed TaskStatus = "checkpointed" // stopped; its state is kept for a later start
	TaskDone         TaskStatus = "done"
	TaskFailed       TaskStatus = "failed"
	TaskStopped      TaskStatus = "stopped"
	TaskLeaseLapsed  TaskStatus = "lease-lapsed" // stopped because its lease was not renewed
)

// TaskSpec describes a task to start. Operation makes the start idempotent.
type TaskSpec struct {
	Operation    string        `json:"operation"`
	Job          string        `json:"job"`
	Worker       string        `json:"worker"`
	MilliCores   int           `json:"milli_cores"`
	MemoryMB     int           `json:"memory_mb"`
	Accelerators int           `json:"accelerators"`
	Lease        time.Duration `json:"lease_ns"`
	Payload      string        `json:"payload"`
	Resume       bool          `json:"resume"` // continue from the job's checkpoint
}

// Task is the platform's report of a task. Usage lags.
type Task struct {
	Operation      string     `json:"operation"`
	Job            string     `json:"job"`
	Worker         string     `json:"worker"`
	Status         TaskStatus `json:"status"`
	UsedMilliCores int        `json:"used_milli_cores"`
	UsedMemoryMB   int        `json:"used_memory_mb"`
	PowerWatts     int        `json:"power_watts"`
	Error          string     `json:"error,omitempty"`
}

// Platform is the port. All mutating calls are idempotent by operation ID.
type Platform interface {
	ListWorkers(ctx context.Context) ([]Worker, error)
	// GetWorker returns the current, not lagging, state of one worker.
	GetWorker(ctx context.Context, worker string) (Worker, error)
	Drain(ctx context.Context, worker, operation string) error
	// Undrain returns a drained worker to service.
	Undrain(ctx context.Context, worker, operation string) error
	// Reboot restarts a drained worker; it comes back drained with a new boot ID.
	Reboot(ctx context.Context, worker, operation string) error
	// Assign tells the platform which pool a drained worker serves from now on.
	Assign(ctx context.Context, worker, pool, operation string) error

	StartTask(ctx context.Context, spec TaskSpec) error
	ListTasks(ctx context.Context) ([]Task, error)
	RenewTasks(ctx context.Context, operations []string, lease time.Duration) error
	CheckpointTask(ctx context.Context, operation string) error
	ThrottleTask(ctx context.Context, operation string, throttled bool) error
	StopTask(ctx context.Context, operation string) error
}
