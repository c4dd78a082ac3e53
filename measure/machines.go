package measure

import (
	"hash/fnv"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/waxwingbridge/waxwingbridge/fleet"
)

// errRejected is a permanent refusal of a call by the fake platform.
var errRejected = errors.New("measure: call rejected")

// Timing of the fake workers. The jitter depends only on seed, worker and boot ID,
// so that all strategies run against the same workers.
const (
	minDrainTime    = 5 * time.Second
	maxDrainJitter  = 55 * time.Second
	minRebootTime   = 3 * time.Minute
	maxRebootJitter = 3 * time.Minute
	repairTime      = 15 * time.Minute
	listPeriod      = 10 * time.Second // interval between publications, thus the maximum age of a row
)

// fakeWorker is the simulated state of one worker.
type fakeWorker struct {
	fleet.Observation
	dueAt    time.Time // end of the drain, reboot or repair in progress
	executed map[string]bool
	removed  bool // by the platform
}

// fakePlatform executes each operation ID at most once, takes time to drain and
// reboot, and publishes a worker list that lags behind.
type fakePlatform struct {
	seed            uint64
	byID            map[string]*fakeWorker
	order           []string
	failingRack     fleet.RackKey // rack whose first reboots fail
	list            []fleet.Observation
	listedAt        time.Time
	rebootsWithWork int // reboots with requests or tasks in flight
}

func newFakePlatform(doc *fleet.Document, seed uint64, failingRack fleet.RackKey) *fakePlatform {
	p := &fakePlatform{seed: seed, byID: map[string]*fakeWorker{}, failingRack: failingRack}
	for i := range doc.Workers {
		w := &doc.Workers[i]
		p.byID[w.ID] = &fakeWorker{
			Observation: fleet.Observation{
				Worker: w.ID, Pool: w.Pool, AvailabilityZone: w.AvailabilityZone, Rack: w.Rack,
				Status: fleet.StatusLive, BootID: w.BootID, Requests: 3, Tasks: 1,
			},
			executed: map[string]bool{},
		}
		p.order = append(p.order, w.ID)
	}
	return p
}

// jitter derives a duration in [0, limit) from seed, worker, boot ID and purpose.
func (p *fakePlatform) jitter(m *fakeWorker, purpose string, limit time.Duration) time.Duration {
	h := fnv.New64a()
	key := []byte(m.Worker + purpose)
	for shift := 0; shift < 64; shift += 8 {
		key = append(key, byte(p.seed>>shift), byte(uint64(m.BootID)>>shift))
	}
	_, _ = h.Write(key)
	return time.Duration(h.Sum64() % uint64(limit))
}

// execute handles a call of the controller. A repeated operation ID has no effect.
func (p *fakePlatform) execute(c fleet.Call, now time.Time) error {
	m := p.byID[c.Worker]
	if m.executed[c.OperationID] {
		return nil
	}
	switch {
	case c.Kind == fleet.CallDrain && m.Status == fleet.StatusLive:
		m.Status, m.dueAt = fleet.StatusDraining, now.Add(minDrainTime+p.jitter(m, "drain", maxDrainJitter))
	case c.Kind == fleet.CallReboot && m.Status != fleet.StatusDown:
		// The fake does not refuse to reboot a worker with work in flight, so that
		// a reboot that is sent too early is counted.
		if m.Requests > 0 || m.Tasks > 0 {
			p.rebootsWithWork++
		}
		m.Status, m.dueAt = fleet.StatusRebooting, now.Add(minRebootTime+p.jitter(m, "boot", maxRebootJitter))
	case c.Kind == fleet.CallUndrain && m.Status == fleet.StatusDraining:
		m.returnToService()
	case c.Kind == fleet.CallAssign && m.Status == fleet.StatusDraining:
		m.Pool = c.Pool
	case c.Kind == fleet.CallDrain && m.Status == fleet.StatusDraining, c.Kind == fleet.CallUndrain && m.Status == fleet.StatusLive:
	default:
		return errRejected
	}
	m.LastOperationID = c.OperationID
	m.executed[c.OperationID] = true
	return nil
}

func (m *fakeWorker) returnToService() { m.Status, m.Requests, m.Tasks = fleet.StatusLive, 3, 1 }

// advance completes drains, reboots and repairs that are due and refreshes the list.
func (p *fakePlatform) advance(now time.Time) {
	for _, id := range p.order {
		m := p.byID[id]
		if m.removed || m.Status == fleet.StatusLive || now.Before(m.dueAt) {
			continue
		}
		switch m.Status {
		case fleet.StatusDraining:
			m.Requests, m.Tasks = 0, 0
		case fleet.StatusRebooting:
			p.endReboot(m, now)
		case fleet.StatusLeaving:
			m.removed = true
		case fleet.StatusDown:
			m.BootID++
			m.returnToService()
		}
	}
	if now.Sub(p.listedAt) >= listPeriod {
		p.publishList(now)
	}
}

func (p *fakePlatform) endReboot(m *fakeWorker, now time.Time) {
	if m.BootID == firstBoot && (fleet.RackKey{AvailabilityZone: m.AvailabilityZone, Rack: m.Rack}) == p.failingRack {
		p.failWorker(m, now)
		return
	}
	m.BootID++
	m.Status, m.Requests, m.Tasks = fleet.StatusDraining, 0, 0
}

func (p *fakePlatform) failWorker(m *fakeWorker, now time.Time) {
	m.Status, m.dueAt, m.Requests, m.Tasks = fleet.StatusDown, now.Add(repairTime), 0, 0
}

// queryWorker returns the current state of a worker, or nil if it does not exist.
func (p *fakePlatform) queryWorker(worker string) *fleet.Observation {
	m := p.byID[worker]
	if m.removed {
		return nil
	}
	observed := m.Observation
	return &observed
}

func (p *fakePlatform) publishList(now time.Time) {
	p.list = slices.Grow(p.list[:0], len(p.order))
	for _, id := range p.order {
		if m := p.byID[id]; !m.removed {
			p.list = append(p.list, m.Observation)
		}
	}
	p.listedAt = now
}
