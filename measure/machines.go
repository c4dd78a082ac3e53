package measure

import (
	"hash/fnv"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/waxwingbridge/waxwingbridge/fleet"
)

// errRejected is the fake platform's refusal of a call for good.
var errRejected = errors.New("measure: call rejected")

// Times of the fake machines. Each has a spread that depends only on seed,
// worker and boot, so that all strategies meet the same machines.
const (
	drainLeast  = 5 * time.Second
	drainSpread = 55 * time.Second
	bootLeast   = 3 * time.Minute
	bootSpread  = 3 * time.Minute
	repairTime  = 15 * time.Minute
	listPeriod  = 10 * time.Second // age that rows of the list reach
)

// machine is one fake worker.
type machine struct {
	fleet.Observation
	nextAt   time.Time // end of the drain, reboot or repair in progress
	executed map[string]bool
	gone     bool // taken away by the platform
}

// machines is the fake platform: it executes calls by operation ID once, takes
// time to drain and reboot, and publishes a lagging list.
type machines struct {
	seed     uint64
	byID     map[string]*machine
	order    []string
	badRack  fleet.RackKey // whose first reboots fail
	list     []fleet.Observation
	listedAt time.Time
	cutOff   int // reboots with requests or tasks in flight
}

func newMachines(doc *fleet.Document, seed uint64, badRack fleet.RackKey) *machines {
	p := &machines{seed: seed, byID: map[string]*machine{}, badRack: badRack}
	for i := range doc.Workers {
		w := &doc.Workers[i]
		p.byID[w.ID] = &machine{
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

// spread draws a duration in [0, most) from seed, worker, boot and purpose.
func (p *machines) spread(m *machine, purpose string, most time.Duration) time.Duration {
	h := fnv.New64a()
	key := []byte(m.Worker + purpose)
	for shift := 0; shift < 64; shift += 8 {
		key = append(key, byte(p.seed>>shift), byte(uint64(m.BootID)>>shift))
	}
	_, _ = h.Write(key)
	return time.Duration(h.Sum64() % uint64(most))
}

// call executes a call of the controller.
func (p *machines) call(c fleet.Call, now time.Time) error {
	m := p.byID[c.Worker]
	if m.executed[c.OperationID] {
		return nil
	}
	switch {
	case c.Kind == fleet.CallDrain && m.Status == fleet.StatusLive:
		m.Status, m.nextAt = fleet.StatusDraining, now.Add(drainLeast+p.spread(m, "drain", drainSpread))
	case c.Kind == fleet.CallReboot && m.Status != fleet.StatusDown:
		// The fake does not protect a worker that is in service, so that a reboot
		// sent too early is seen.
		if m.Requests > 0 || m.Tasks > 0 {
			p.cutOff++
		}
		m.Status, m.nextAt = fleet.StatusRebooting, now.Add(bootLeast+p.spread(m, "boot", bootSpread))
	case c.Kind == fleet.CallUndrain && m.Status == fleet.StatusDraining:
		m.live()
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

func (m *machine) live() { m.Status, m.Requests, m.Tasks = fleet.StatusLive, 3, 1 }

// advance ends what is due and refreshes the list.
func (p *machines) advance(now time.Time) {
	for _, id := range p.order {
		m := p.byID[id]
		if m.gone || m.Status == fleet.StatusLive || now.Before(m.nextAt) {
			continue
		}
		switch m.Status {
		case fleet.StatusDraining:
			m.Requests, m.Tasks = 0, 0
		case fleet.StatusRebooting:
			p.endReboot(m, now)
		case fleet.StatusLeaving:
			m.gone = true
		case fleet.StatusDown:
			m.BootID++
			m.live()
		}
	}
	if now.Sub(p.listedAt) >= listPeriod {
		p.publish(now)
	}
}

func (p *machines) endReboot(m *machine, now time.Time) {
	if m.BootID == firstBoot && (fleet.RackKey{AvailabilityZone: m.AvailabilityZone, Rack: m.Rack}) == p.badRack {
		p.fail(m, now)
		return
	}
	m.BootID++
	m.Status, m.Requests, m.Tasks = fleet.StatusDraining, 0, 0
}

func (p *machines) fail(m *machine, now time.Time) {
	m.Status, m.nextAt, m.Requests, m.Tasks = fleet.StatusDown, now.Add(repairTime), 0, 0
}

// ask answers a direct question about a worker, nil if it does not exist.
func (p *machines) ask(worker string) *fleet.Observation {
	m := p.byID[worker]
	if m.gone {
		return nil
	}
	observed := m.Observation
	return &observed
}

func (p *machines) publish(now time.Time) {
	p.list = slices.Grow(p.list[:0], len(p.order))
	for _, id := range p.order {
		if m := p.byID[id]; !m.gone {
			p.list = append(p.list, m.Observation)
		}
	}
	p.listedAt = now
}
