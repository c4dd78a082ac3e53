package httpapi

import "time"

// Paths of the platform's VM and task API. Queries use GET; all other calls use POST
// with one of the request types as JSON body.
const (
	PathWorkers      = "/v1/workers" // GET returns the list; GET PathWorkers/{id} returns one worker
	PathDrain        = "/v1/workers/drain"
	PathUndrain      = "/v1/workers/undrain"
	PathReboot       = "/v1/workers/reboot"
	PathAssign       = "/v1/workers/assign"
	PathTasks        = "/v1/tasks" // GET returns the list; POST starts an infra.TaskSpec
	PathTasksRenew   = "/v1/tasks/renew"
	PathTasksControl = "/v1/tasks/control"
	maxResponseBytes = 16 << 20
	maxIdleConns     = 16
)

// WorkerRequest is the body of drain, undrain, reboot and assign.
type WorkerRequest struct {
	Worker    string `json:"worker"`
	Operation string `json:"operation"`
	Pool      string `json:"pool,omitempty"` // assign only
}

// RenewRequest is the body of PathTasksRenew. Tasks that are no longer running are
// ignored.
type RenewRequest struct {
	Operations []string      `json:"operations"`
	Lease      time.Duration `json:"lease_ns"`
}

// TaskAction is an action of PathTasksControl on a task.
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
	Operation string     `json:"operation"` // operation ID of the task's start
	Action    TaskAction `json:"action"`
}

// ErrorBody is the body of a response with another status than 200. Status 404 means
// not found, 400 and 409 mean permanently rejected; any other status may be retried.
type ErrorBody struct {
	Error string `json:"error"`
}
