package httpapi

import "time"

// Paths of the platform's VM and task interface. Queries are GET, everything
// else is POST with one of the request types as JSON body.
const (
	PathWorkers       = "/v1/workers" // GET lists; GET PathWorkers/{id} returns one
	PathDrain         = "/v1/workers/drain"
	PathUndrain       = "/v1/workers/undrain"
	PathReboot        = "/v1/workers/reboot"
	PathAssign        = "/v1/workers/assign"
	PathTasks         = "/v1/tasks" // GET lists; POST starts a platform.TaskSpec
	PathTasksRenew    = "/v1/tasks/renew"
	PathTasksControl  = "/v1/tasks/control"
	maxResponseBytes  = 16 << 20
	maxIdleConnection = 16
)

// WorkerRequest is the body of drain, undrain, reboot and assign.
type WorkerRequest struct {
	Worker    string `json:"worker"`
	Operation string `json:"operation"`
	Pool      string `json:"pool,omitempty"` // assign only
}

// RenewRequest is the body of PathTasksRenew. Tasks that no longer run are skipped.
type RenewRequest struct {
	Operations []string      `json:"operations"`
	Lease      time.Duration `json:"lease_ns"`
}

// TaskAction is what PathTasksControl does to a task.
type TaskAction string

// The actions on a task.
const (
	ActionCheckpoint TaskAction = "checkpoint"
	ActionThrottle   TaskAction = "throttle"
	ActionUnthrottle TaskAction = "unthrottle"
	ActionStop       TaskAction = "stop"
)

// TaskRequest is the body of PathTasksControl.
type TaskRequest struct {
	Operation string     `json:"operation"` // of the task's start
	Action    TaskAction `json:"action"`
}

// ErrorBody is the body of an answer that is not 200. Status 404 means not
// found, 409 and 400 mean rejected for good; any other status may be retried.
type ErrorBody struct {
	Error string `json:"error"`
}
