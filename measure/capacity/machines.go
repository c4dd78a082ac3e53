package main

import (
	"math/rand"
	"slices"
	"time"

	"github.com/waxwingbridge/waxwingbridge/fleet"
	"github.com/waxwingbridge/waxwingbridge/infra"
)

// rebootTime of a worker in the simulation.
const rebootTime = 15 * time.Second

// simulatedPlatform executes calls immediately. Its worker list is always current.
type simulatedPlatform struct {
	rows        []infra.Worker
	rowByWorker map[string]int
	rebootEnds  map[string]time.Time // end of the reboot in progress, by worker
}

func newSimulatedPlatform(z siteSize) *simulatedPlatform {
	m := &simulatedPlatform{rows: z.workerList(), rowByWorker: map[string]int{}, rebootEnds: map[string]time.Time{}}
	for i := range m.rows {
		m.rowByWorker[m.rows[i].ID] = i
	}
	return m
}

// advance completes reboots and, on a busy site, changes the load of every worker
// once a second.
func (m *simulatedPlatform) advance(now time.Time, busy bool, random *rand.Rand) {
	for worker, end := range m.rebootEnds {
		if !now.Before(end) {
			row := &m.rows[m.rowByWorker[worker]]
			row.Status, row.BootID = infra.WorkerDraining, row.BootID+1
			delete(m.rebootEnds, worker)
		}
	}
	if !busy || now.Sub(simulationStart)%time.Second != 0 {
		return
	}
	for i := range m.rows {
		m.rows[i].PowerWatts = 200 + random.Intn(300)
		if m.rows[i].Status == infra.WorkerLive {
			m.rows[i].Requests = random.Intn(9)
		}
	}
}

func (m *simulatedPlatform) list() []infra.Worker { return slices.Clone(m.rows) }

func (m *simulatedPlatform) execute(call fleet.Call, now time.Time) {
	row := &m.rows[m.rowByWorker[call.Worker]]
	row.Operation = call.OperationID
	switch call.Kind {
	case fleet.CallDrain:
		row.Status, row.Requests = infra.WorkerDraining, 0
	case fleet.CallReboot:
		row.Status = infra.WorkerRebooting
		m.rebootEnds[call.Worker] = now.Add(rebootTime)
	case fleet.CallUndrain:
		row.Status = infra.WorkerLive
	case fleet.CallAssign:
		row.Pool = call.Pool
	}
}

func (m *simulatedPlatform) observe(worker string) *fleet.Observation {
	row := &m.rows[m.rowByWorker[worker]]
	return &fleet.Observation{
		Worker: row.ID, Address: row.Address, AvailabilityZone: row.AvailabilityZone, Rack: row.Rack, Pool: row.Pool,
		Status: fleet.Status(row.Status), BootID: row.BootID, Requests: row.Requests, LastOperationID: row.Operation,
	}
}
