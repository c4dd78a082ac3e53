// Package infra defines the interface to the platform's VM and task API: the VM
// list, which is updated with a delay; drain, reboot and pool assignment of
// workers; and tasks with leases. Package infra/httpapi is its HTTP client.
package infra

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Errors of platform calls.
var (
	// ErrNotFound means that the worker or task does not exist.
	ErrNotFound = errors.New("infra: not found")
	// ErrUnavailable means that the platform gave no usable answer. The call may be
	// repeated because it carries an operation ID.
	ErrUnavailable = errors.New("infra: unavailable")
	// ErrRejected means that the platform rejects the call permanently.
	ErrRejected = errors.New("infra: rejected")
)

// WorkerStatus is the platform's status of a VM.
type WorkerStatus string

// The statuses that the platform reports.
const (
	WorkerLive      WorkerStatus = "live"
	WorkerDraining  WorkerStatus = "draining" // accepts no new requests and tasks
	WorkerRebooting WorkerStatus = "rebooting"
	WorkerLeaving   WorkerStatus = "leaving" // the platform is about to remove it
	WorkerDown      WorkerStatus = "down"
)

// Worker is one row of the VM list, which may be out of date.
type Worker struct {
	ID               string       `json:"id"`
	Address          string       `json:"address"` // host:port of the worker's target
	AvailabilityZone string       `json:"availability_zone"`
	Rack             string       `json:"rack"`
	Pool             string       `json:"pool"` // initial pool; later the fleet document is authoritative
	Cores            int          `json:"cores"`
	MemoryMB         int          `json:"memory_mb"`
	Accelerators     int          `json:"accelerators"`
	Status           WorkerStatus `json:"status"`
	BootID           int64        `json:"boot_id"`  // increases with each reboot
	Requests         int          `json:"requests"` // requests in flight as counted by the target
	Tasks            int          `json:"tasks"`
	PowerWatts       int          `json:"power_watts"`
	// Operation is the ID of the last operation that the platform executed on the
	// worker.
	Operation string `json:"operation"`
}

// TaskStatus is the platform's status of a task.
type TaskStatus string

// The statuses of a task.
const (
	TaskRunning      TaskStatus = "running"
	TaskThrottled    TaskStatus = "throttled"
	TaskCheckpointed TaskStatus = "checkpointed" // stopped; its checkpoint is kept for a later start
	TaskDone         TaskStatus = "done"
	TaskFailed       TaskStatus = "failed"
	TaskStopped      TaskStatus = "stopped"
	TaskLeaseExpired TaskStatus = "lease-lapsed" // stopped because its lease was not renewed
)

// TaskSpec describes a task to start. The operation ID makes the start idempotent.
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

// Task is the platform's report of a task. The usage figures are delayed.
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

// Platform is the platform's API. All mutating calls are idempotent by operation
// ID.
type Platform interface {
	ListWorkers(ctx context.Context) ([]Worker, error)
	// GetWorker returns the current state of one worker, without the delay of
	// ListWorkers.
	GetWorker(ctx context.Context, worker string) (Worker, error)
	Drain(ctx context.Context, worker, operation string) error
	// Undrain returns a drained worker to service.
	Undrain(ctx context.Context, worker, operation string) error
	// Reboot restarts a drained worker; it comes back drained with a new boot ID.
	Reboot(ctx context.Context, worker, operation string) error
	// Assign sets the pool that a drained worker serves.
	Assign(ctx context.Context, worker, pool, operation string) error

	StartTask(ctx context.Context, spec TaskSpec) error
	ListTasks(ctx context.Context) ([]Task, error)
	RenewTasks(ctx context.Context, operations []string, lease time.Duration) error
	CheckpointTask(ctx context.Context, operation string) error
	ThrottleTask(ctx context.Context, operation string, throttled bool) error
	StopTask(ctx context.Context, operation string) error
}
