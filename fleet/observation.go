package fleet

// Status is the status of a worker according to the platform. The values equal
// those of infra.WorkerStatus.
type Status string

// Statuses of a worker.
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

// Observation is the platform's report about one worker: either a row of the VM
// list, which may be stale, or the answer to a direct query.
type Observation struct {
	Worker           string
	Address          string
	AvailabilityZone string
	Rack             string
	Pool             string
	Status           Status
	BootID           int64
	Requests         int    // requests in flight, as counted by the target itself
	Tasks            int    // tasks that run on the worker
	LastOperationID  string // last operation that the platform executed on the worker
}
