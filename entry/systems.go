package entry

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/waxwingbridge/waxwingbridge/admission"
	"github.com/waxwingbridge/waxwingbridge/dispatch"
	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/events"
	"github.com/waxwingbridge/waxwingbridge/intake"
	"github.com/waxwingbridge/waxwingbridge/ledger"
	"github.com/waxwingbridge/waxwingbridge/machines"
	"github.com/waxwingbridge/waxwingbridge/ownership"
	"github.com/waxwingbridge/waxwingbridge/platform"
	"github.com/waxwingbridge/waxwingbridge/quota"
	"github.com/waxwingbridge/waxwingbridge/table"
	"github.com/waxwingbridge/waxwingbridge/work"
)

// State is the control state of a process. Only the control thread accesses it.
type State struct {
	Mirror    ledger.JobMirror
	Ownership ownership.State
	Dispatch  *dispatch.State
	Intake    *intake.State
	Machines  machines.State
	Quota     quota.State

	Manifest *work.Manifest
	// manifestConfirmedAt is when the last call was sent in which the store stated all
	// changes of the manifest.
	manifestConfirmedAt time.Time
	manifestExpired     bool // the confirmation is older than the platform allows
	Logs                table.Outbound[events.Record]

	lastWrite        uint64
	lastToken        int64 // highest fencing token of the duties of this process
	fleetToken       int64
	fleetSince       time.Time
	stoppingSince    time.Time       // start of a planned shutdown, or zero
	machineChanges   uint64          // Machines.Changes at the last markMaintenance
	underMaintenance map[string]bool // workers that were last reported to Dispatch
	dueMachines      map[string]bool // machines due for maintenance that were last reported to it
	partitionDuties  []string        // duties for the partitions of the manifest's pools
	recordsRead      bool            // a full read of the records has been applied
	registryRead     bool            // a full read of the registry has been applied
	registryRevision int64           // all changes of the registry up to this revision are applied
	inFullBatch      bool            // a full read is being applied
	storeContactAt   time.Time       // last call that the store executed
	lastTick         time.Time
}

// releaseTimeout bounds how long a planned shutdown waits for orders in flight
// before it releases the duties. The next owner polls the workers anyway.
const releaseTimeout = 600 * time.Millisecond

// runLease is the lease of every run. It outlasts a change of owner and a store
// outage of a few seconds. A longer lease would only delay the retry of runs on a
// lost worker.
const runLease = 5 * time.Second

// systems returns the systems of a tick in their order of execution.
func systems() []engine.System[State] {
	return slices.Concat(
		engine.Lift(func(s *State) *admission.State { return &s.Intake.Admission }, admission.Systems),
		engine.Lift(func(s *State) *intake.State { return s.Intake }, intake.Systems),
		engine.Lift(func(s *State) *ownership.State { return &s.Ownership }, ownership.Systems),
		[]engine.System[State]{
			{Name: "apply ownership", Run: applyOwnership},
			{Name: "mark machines under maintenance", Run: markMaintenance},
		},
		engine.Lift(func(s *State) *dispatch.State { return s.Dispatch }, dispatch.Systems),
		engine.Lift(func(s *State) *machines.State { return &s.Machines }, machines.Systems),
		engine.Lift(func(s *State) *quota.State { return &s.Quota }, quota.Systems),
		[]engine.System[State]{{Name: "release duties at shutdown", Run: releaseDuties}},
	)
}

func newState(settings *platform.Settings, features Features, incarnation string, timeOfDay func() time.Time) *State {
	s := &State{}
	nextWrite := func() uint64 { s.lastWrite++; return s.lastWrite }
	s.Ownership.Node, s.Ownership.Incarnation, s.Ownership.NextWrite = settings.Node, incarnation, nextWrite
	s.Ownership.Millicores = settings.Millicores
	s.Dispatch = dispatch.New(dispatch.Config{
		MaxLease: min(settings.Bounds.MaxLease, runLease), LongestHold: settings.Bounds.MaxLease, Retention: settings.Bounds.StatusRetention,
		StopTime: settings.Bounds.StopTime, Forecast: features.Forecast, IgnoreInterference: !features.Interference,
	}, &s.Mirror, nextWrite, timeOfDay)
	s.Dispatch.IsPool = nil // until there is a manifest
	s.Intake = intake.New(&s.Mirror, nextWrite)
	s.Machines.TakeoverDelay, s.Machines.MaintenanceTime, s.Machines.NextWrite = settings.Bounds.TakeoverDelay, settings.Bounds.MaintenanceTime, nextWrite
	s.Quota.Duty, s.Quota.NextWrite = machines.FleetDuty, nextWrite
	s.Machines.CallsPerSecond = settings.MachineCallsPerSecond
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

// applyOwnership passes the duties that this process owns to Dispatch and
// Machines. A duty is the exclusive right to schedule a partition or to order
// machines for the fleet; the duty for a partition has the partition's name.
func applyOwnership(s *State, tick engine.Tick) {
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
	for _, duty := range s.partitionDuties {
		if token, epoch, _ := s.Ownership.FencingToken(duty, tick.Now); s.Ownership.IsRecordedOwner(duty) && s.registryRevision >= token {
			s.Dispatch.OwnPool(tick.Now, duty, token, epoch, s.Ownership.LeaseValidUntil)
		}
	}
	token, _, owned := s.Ownership.FencingToken(machines.FleetDuty, tick.Now)
	// All orders of earlier owners and the wave statuses that they wrote are in the tables.
	owned = owned && s.Mirror.Revision >= token && s.registryRevision >= token
	if owned && token != s.fleetToken {
		s.fleetToken, s.fleetSince = token, tick.Now
	}
	s.Machines.Ownership = machines.FleetOwnership{Owned: owned && s.stoppingSince.IsZero(), Token: token, Since: s.fleetSince, ValidUntil: s.Ownership.LeaseValidUntil}
	s.Quota.Ownership = quota.Ownership(s.Machines.Ownership)
}

// claimedDuties reports whether this process has become the owner of a duty since
// the last call.
func (s *State) claimedDuties() bool {
	highest := s.Ownership.HighestToken()
	claimed := highest > s.lastToken
	s.lastToken = max(s.lastToken, highest)
	return claimed
}

// storeContactTimeout is how long the store may leave this process without an answer
// until it takes no new connections. A watch is answered at least every 1.2 s. The
// platform uses all processes if most of them are not ready, as while the store is down.
const storeContactTimeout = 2 * time.Second

// storeAnswered records that the store has executed a call of this process.
func (s *State) storeAnswered(now time.Time) {
	s.storeContactAt = now
	s.Intake.Admission.CallAnswered(now, true)
}

// reachesStore reports whether the store has executed a call of this process lately.
// Clients of a process that it turns away are served better by another one.
func (s *State) reachesStore(now time.Time) bool {
	return now.Sub(s.storeContactAt) < storeContactTimeout
}

// markMaintenance keeps new runs off workers whose machine has a maintenance or
// move order, and marks the machines that are due.
func markMaintenance(s *State, _ engine.Tick) {
	changes := s.Machines.Changes()
	if changes == s.machineChanges {
		return
	}
	s.machineChanges = changes
	current := map[string]bool{}
	for worker := range s.Machines.WorkersUnderOrder {
		current[worker] = true
		if !s.underMaintenance[worker] {
			s.Dispatch.SetMaintenance(worker, true)
		}
	}
	for worker := range s.underMaintenance {
		if !current[worker] {
			s.Dispatch.SetMaintenance(worker, false)
		}
	}
	s.underMaintenance = current
	due := map[string]bool{}
	for machine := range s.Machines.MaintenanceDue {
		due[machine] = true
	}
	if !maps.Equal(due, s.dueMachines) {
		s.dueMachines = due
		s.Dispatch.SetMaintenancePending(due)
	}
}

// releaseDuties releases all duties during a planned shutdown, so that other
// processes take over without waiting for the lease to expire.
func releaseDuties(s *State, tick engine.Tick) {
	if s.stoppingSince.IsZero() {
		return
	}
	if s.Dispatch.ReadyForHandover() || tick.Now.Sub(s.stoppingSince) > releaseTimeout {
		s.Ownership.Release()
	}
}

// applyEntry applies one change of the store to the tables it concerns. The process
// received it at receivedAt.
func (s *State) applyEntry(tick engine.Tick, e platform.Entry, receivedAt time.Time) {
	switch e.Kind {
	case platform.EntryManifest:
		if e.Manifest != nil {
			s.applyManifest(tick, e.Manifest, e.Revision, receivedAt)
		}
	case platform.EntryWorker:
		s.Intake.Admission.Load.ApplyWorker(e.Name, e.Worker, e.Revision)
		if e.Deleted {
			s.Dispatch.WorkerRemoved(e.Name, e.Revision)
		} else {
			s.Dispatch.ApplyWorker(tick.Now, e.Worker, e.Revision)
		}
	case platform.EntryWave:
		if e.Wave != nil {
			s.Machines.ApplyWave(tick.Now, *e.Wave, !s.inFullBatch)
		}
	case platform.EntryWaveStatus:
		if number, err := strconv.Atoi(e.Name); err == nil && !e.Deleted {
			key := ledger.Key{Kind: ledger.KindWaveStatus, Name: e.Name}
			s.Machines.ApplyWaveStatus(tick.Now, number, ledger.Record{Key: key, Content: e.Completed, Revision: e.Revision})
		}
	case platform.EntryRecord:
		record, err := recordFromItem(e.Name, e.Record, e.Revision, e.CreateRevision, e.Deleted)
		if err != nil {
			s.Logs.Add(events.Record{Event: events.StoreEntryInvalid, Fields: []events.Field{events.Err(err), events.F("revision", e.Revision)}})
			return
		}
		s.applyRecord(tick, record, receivedAt)
	}
}

func (s *State) applyRecord(tick engine.Tick, record ledger.Record, receivedAt time.Time) {
	switch record.Key.Kind {
	case ledger.KindOwner, ledger.KindEpoch, ledger.KindPeer:
		s.Ownership.Apply(tick.Now, record)
	case ledger.KindContacts:
		s.Dispatch.ApplyContacts(receivedAt, record) // the tick may have begun before the record was written
	case ledger.KindMachineOrder, ledger.KindMachineMove:
		s.Machines.ApplyOrder(tick.Now, record)
	case ledger.KindDemand:
		s.Dispatch.ApplyDemand(tick.Now, record)
		s.Machines.ApplyDemand(tick.Now, record)
		s.Quota.ApplyReport(tick.Now, record)
		s.Intake.Admission.Load.ApplyReport(tick.Now, record)
	case ledger.KindAllotment:
		s.Dispatch.ApplyAllotment(record)
		s.Quota.ApplyAllotment(record)
	case ledger.KindPartitions:
		if partitions, ok := record.Content.(*work.Partitions); ok {
			s.Dispatch.Partitions, s.Machines.Partitions = *partitions, *partitions
			s.Intake.Admission.Load.Partitions = *partitions
			s.updateRequiredDuties(tick)
		}
	default:
		s.Mirror.Apply(tick.Now, record)
	}
}

// applyManifest puts a manifest in force unless the current one has the same or a
// newer version.
func (s *State) applyManifest(tick engine.Tick, m *work.Manifest, revision int64, receivedAt time.Time) {
	if s.Manifest != nil && m.Version <= s.Manifest.Version {
		return
	}
	s.Manifest = m
	s.Dispatch.IsPool = func(pool string) bool { return m.Pool(pool) != nil }
	s.Dispatch.SetTeams(m)
	s.Quota.SetManifest(m)
	s.Intake.Admission.Load.Configure(m)
	s.updateRequiredDuties(tick)
	s.Logs.Add(events.Record{Event: events.ManifestInForce, Fields: []events.Field{
		events.F("version", m.Version), events.F("revision", revision), events.F("queues", len(m.Queues)), events.F("pools", len(m.Pools)),
		events.F("delay_ms", tick.Now.Sub(receivedAt).Milliseconds()),
	}})
}

// updateRequiredDuties sets the duties that need an owner. Pools have no duties
// before the partitions record has been read, because two owners must not divide
// a pool into different partitions.
func (s *State) updateRequiredDuties(tick engine.Tick) {
	if s.Manifest == nil {
		return
	}
	duties := []string{machines.FleetDuty}
	s.partitionDuties = nil
	var active []string
	for i := range s.Manifest.Pools {
		partitions := s.Machines.Partitions.PartitionsOf(s.Manifest.Pools[i].Name)
		s.partitionDuties = append(s.partitionDuties, partitions...)
		if !s.Manifest.Pools[i].Standby && s.Machines.Partitions != nil {
			duties = append(duties, partitions...)
			active = append(active, partitions...)
		}
	}
	slices.Sort(active)
	s.Dispatch.PartitionCount = len(active)
	s.Quota.SetPartitions(active)
	s.Ownership.SetRequired(tick.Now, duties)
}
