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

// machines is a platform that executes calls at once and whose list does not lag.
type machines struct {
	rows   []infra.Worker
	index  map[string]int
	booted map[string]time.Time // end of the reboot in progress
}

func newMachines(z size) *machines {
	m := &machines{rows: z.list(), index: map[string]int{}, booted: map[string]time.Time{}}
	for i := range m.rows {
		m.index[m.rows[i].ID] = i
	}
	return m
}

// advance ends reboots and changes the loads once a second while the site is busy.
func (m *machines) advance(now time.Time, busy bool, random *rand.Rand) {
	for worker, end := range m.booted {
		if !now.Before(end) {
			row := &m.rows[m.index[worker]]
			row.Status, row.BootID = infra.WorkerDraining, row.BootID+1
			delete(m.booted, worker)
		}
	}
	if !busy || now.Sub(started)%time.Second != 0 {
		return
	}
	for i := range m.rows {
		m.rows[i].PowerWatts = 200 + random.Intn(300)
		if m.rows[i].Status == infra.WorkerLive {
			m.rows[i].Requests = random.Intn(9)
		}
	}
}

func (m *machines) list() []infra.Worker { return slices.Clone(m.rows) }

func (m *machines) call(call fleet.Call, now time.Time) {
	row := &m.rows[m.index[call.Worker]]
	row.Operation = call.OperationID
	switch call.Kind {
	case fleet.CallDrain:
		row.Status, row.Requests = infra.WorkerDraining, 0
	case fleet.CallReboot:
		row.Status = infra.WorkerRebooting
		m.booted[call.Worker] = now.Add(rebootTime)
	case fleet.CallUndrain:
		row.Status = infra.WorkerLive
	case fleet.CallAssign:
		row.Pool = call.Pool
	}
}

func (m *machines) observe(worker string) *fleet.Observation {
	row := &m.rows[m.index[worker]]
	return &fleet.Observation{
		Worker: row.ID, Address: row.Address, AvailabilityZone: row.AvailabilityZone, Rack: row.Rack, Pool: row.Pool,
		Status: fleet.Status(row.Status), BootID: row.BootID, Requests: row.Requests, LastOperationID: row.Operation,
	}
}
