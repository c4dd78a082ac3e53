package fleet

// Status is the platform's own view of the condition of a worker. The values
// equal those of platform.WorkerStatus.
type Status string

// The statuses.
const (
	StatusLive      Status = "live"
	StatusDraining  Status = "draining" // refuses new requests and tasks
	StatusRebooting Status = "rebooting"
	StatusLeaving   Status = "leaving"
	StatusDown      Status = "down"
)

func (s Status) valid() bool {
	switch s {
	case StatusLive, StatusDraining, StatusRebooting, StatusLeaving, StatusDown:
		return true
	}
	return false
}

// Observation is what the platform reports of one worker, either as a row of
// the lagging list or as the answer to a direct question.
type Observation struct {
	Worker           string
	Address          string
	AvailabilityZone string
	Rack             string
	Pool             string
	Status           Status
	BootID           int64
	Requests         int    // the target's own count of requests in flight
	Tasks            int    // tasks that run on the worker
	LastOperationID  string // last operation that the platform executed on the worker
}
