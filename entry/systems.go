package entry

import (
	"slices"
	"strconv"
	"time"

	"github.com/waxwingbridge/waxwingbridge/dispatch"
	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/events"
	"github.com/waxwingbridge/waxwingbridge/intake"
	"github.com/waxwingbridge/waxwingbridge/ledger"
	"github.com/waxwingbridge/waxwingbridge/machines"
	"github.com/waxwingbridge/waxwingbridge/ownership"
	"github.com/waxwingbridge/waxwingbridge/platform"
	"github.com/waxwingbridge/waxwingbridge/table"
	"github.com/waxwingbridge/waxwingbridge/work"
)

// State is the control state of a process.
type State struct {
	Ledger    ledger.JobMirror
	Ownership ownership.State
	Dispatch  *dispatch.State
	Intake    *intake.State
	Machines  machines.State

	Manifest *work.Manifest
	Logs     table.Outbound[events.Record]

	lastWrite  uint64
	fleetToken int64
	fleetSince time.Time
	stopping   time.Time // when a planned stop began
	maintained []string
	anyDue     bool // machines were due at the last tick
	tickAt     time.Time
}

// releaseAfter bounds how long a planned stop waits for orders in flight
// before the duties are released: the next owner asks the workers anyway.
const releaseAfter = 600 * time.Millisecond

// runLease is the lease of everything that runs. It outlasts the change of an
// owner and a store outage of a few seconds; a longer one only delays the
// repetition of what ran on a lost worker.
const runLease = 5 * time.Second

// systems lists what runs in each tick, in this order.
func systems() []engine.System[State] {
	return slices.Concat(
		engine.Lift(func(s *State) *intake.State { return s.Intake }, intake.Systems),
		engine.Lift(func(s *State) *ownership.State { return &s.Ownership }, ownership.Systems),
		[]engine.System[State]{
			{Name: "hand duties to their parts", Run: handDuties},
			{Name: "mark machines under maintenance", Run: markMaintenance},
		},
		engine.Lift(func(s *State) *dispatch.State { return s.Dispatch }, dispatch.Systems),
		engine.Lift(func(s *State) *machines.State { return &s.Machines }, machines.Systems),
		[]engine.System[State]{{Name: "release duties at a planned stop", Run: releaseDuties}},
	)
}

func newState(settings *platform.Settings, incarnation string, timeOfDay func() time.Time) *State {
	s := &State{}
	nextWrite := func() uint64 { s.lastWrite++; return s.lastWrite }
	s.Ownership.Node, s.Ownership.Incarnation, s.Ownership.NextWrite = settings.Node, incarnation, nextWrite
	s.Ownership.Millicores = settings.Millicores
	s.Dispatch = dispatch.New(dispatch.Config{
		MaxLease: min(settings.Bounds.MaxLease, runLease), OwnerLease: ownership.LeaseTTL, Retention: settings.Bounds.StatusRetention,
	}, &s.Ledger, nextWrite, timeOfDay)
	s.Intake = intake.New(&s.Ledger, nextWrite)
	s.Machines.TakeoverDelay, s.Machines.MaintenanceTime, s.Machines.NextWrite = settings.Bounds.TakeoverDelay, settings.Bounds.MaintenanceTime, nextWrite
	s.Machines.IsIdle = s.Dispatch.WorkerIdle
	s.Machines.PoolToken = func(pool string, now time.Time) (int64, bool) {
		token, _, owned := s.Ownership.FencingToken(pool, now)
		return token, owned
	}
	s.Machines.StandbyPool = func() string {
		for i := range s.Manifest.Pools {
			if s.Manifest.Pools[i].Standby {
				return s.Manifest.Pools[i].Name
			}
		}
		return ""
	}
	s.Machines.IsStandbyPool = func(pool string) bool {
		p := s.Manifest.Pool(pool)
		return p != nil && p.Standby
	}
	return s
}

// handDuties tells the parts what this process owns. The duty of a partition
// has its name.
func handDuties(s *State, tick engine.Tick) {
	var lost []string
	for name, token := range s.Dispatch.OwnedPools {
		current, _, _ := s.Ownership.FencingToken(name, tick.Now)
		if !s.Ownership.IsRecordedOwner(name) || current != token {
			lost = append(lost, name)
		}
	}
	for _, name := range lost {
		s.Dispatch.DropPool(name)
	}
	if s.Manifest == nil {
		return
	}
	for i := range s.Manifest.Pools {
		for _, duty := range s.Machines.Partitions.PartitionsOf(s.Manifest.Pools[i].Name) {
			if token, epoch, _ := s.Ownership.FencingToken(duty, tick.Now); s.Ownership.IsRecordedOwner(duty) {
				s.Dispatch.OwnPool(tick.Now, duty, token, epoch, s.Ownership.LeaseValidUntil)
			}
		}
	}
	token, _, owned := s.Ownership.FencingToken(machines.FleetDuty, tick.Now)
	if owned && token != s.fleetToken {
		s.fleetToken, s.fleetSince = token, tick.Now
	}
	s.Machines.Ownership = machines.FleetOwnership{Owned: owned && s.stopping.IsZero(), Token: token, Since: s.fleetSince, ValidUntil: s.Ownership.LeaseValidUntil}
}

// markMaintenance keeps new work off machines that are taken out.
func markMaintenance(s *State, _ engine.Tick) {
	var now []string
	for worker := range s.Machines.WorkersUnderOrder {
		now = append(now, worker)
		s.Dispatch.SetMaintenance(worker, true)
	}
	for _, worker := range s.maintained {
		if !slices.Contains(now, worker) {
			s.Dispatch.SetMaintenance(worker, false)
		}
	}
	s.maintained = now
	due := map[string]bool{}
	for machine := range s.Machines.MaintenanceDue {
		due[machine] = true
	}
	if len(due) > 0 || s.anyDue { // without a wave there is nothing to mark
		s.Dispatch.SetMaintenancePending(due)
	}
	s.anyDue = len(due) > 0
}

// releaseDuties gives everything up during a planned stop, so that others
// take over at once.
func releaseDuties(s *State, tick engine.Tick) {
	if s.stopping.IsZero() {
		return
	}
	if s.Dispatch.ReadyForHandover() || tick.Now.Sub(s.stopping) > releaseAfter {
		s.Ownership.Release()
	}
}

// applyEntry records one change of the store.
func (s *State) applyEntry(tick engine.Tick, e platform.Entry) {
	switch e.Kind {
	case platform.EntryManifest:
		if e.Manifest != nil {
			s.useManifest(tick, e.Manifest, e.Revision)
		}
	case platform.EntryWorker:
		if e.Deleted {
			s.Dispatch.WorkerRemoved(e.Name, e.Revision)
		} else {
			s.Dispatch.WorkerSeen(tick.Now, e.Worker, e.Revision)
		}
	case platform.EntryWave:
		if e.Wave != nil {
			s.Machines.ApplyWave(tick.Now, *e.Wave)
		}
	case platform.EntryWaveStatus:
		if number, err := strconv.Atoi(e.Name); err == nil && !e.Deleted {
			s.Machines.ApplyWaveStatus(tick.Now, number, e.Completed)
		}
	case platform.EntryRecord:
		seen, err := seenRecord(e.Name, e.Record, e.Revision, e.CreateRevision, e.Deleted)
		if err != nil {
			s.Logs.Add(events.Record{Event: events.StoreEntryInvalid, Fields: []events.Field{events.Err(err), events.F("revision", e.Revision)}})
			return
		}
		s.applyRecord(tick, seen)
	}
}

func (s *State) applyRecord(tick engine.Tick, seen ledger.Record) {
	switch seen.Key.Kind {
	case ledger.KindOwner, ledger.KindEpoch, ledger.KindPeer:
		s.Ownership.Apply(tick.Now, seen)
	case ledger.KindContacts:
		s.Dispatch.ContactsSeen(seen)
	case ledger.KindMachineOrder, ledger.KindMachineMove:
		s.Machines.ApplyOrder(seen)
	case ledger.KindDemand:
		s.Machines.ApplyDemand(tick.Now, seen)
	case ledger.KindPartitions:
		if partitions, ok := seen.Content.(*work.Partitions); ok {
			s.Dispatch.Partitions, s.Machines.Partitions = *partitions, *partitions
			s.wantDuties(tick)
		}
	default:
		s.Ledger.Apply(tick.Now, seen)
	}
}

// useManifest puts a manifest in force. An older version never follows a newer
// one.
func (s *State) useManifest(tick engine.Tick, m *work.Manifest, revision int64) {
	if s.Manifest != nil && m.Version <= s.Manifest.Version {
		return
	}
	s.Manifest = m
	s.wantDuties(tick)
	s.Logs.Add(events.Record{Event: events.ManifestInForce, Fields: []events.Field{
		events.F("version", m.Version), events.F("revision", revision), events.F("queues", len(m.Queues)), events.F("pools", len(m.Pools)),
	}})
}

// wantDuties tells which duties need an owner. Pools have none before the
// record of their partitions is seen, since two owners must not divide a pool
// in different ways.
func (s *State) wantDuties(tick engine.Tick) {
	if s.Manifest == nil {
		return
	}
	duties := []string{machines.FleetDuty}
	for i := range s.Manifest.Pools {
		if !s.Manifest.Pools[i].Standby && s.Machines.Partitions != nil {
			duties = append(duties, s.Machines.Partitions.PartitionsOf(s.Manifest.Pools[i].Name)...)
		}
	}
	s.Ownership.SetRequired(tick.Now, duties)
}
