// Package controller implements the process role that controls a fleet. Controllers
// elect a leader through a key in the store that is bound to a lease. The active
// controller reconciles the fleet with the state that the platform reports, runs
// maintenance waves and operators' requests, places jobs and applies
// configurations. One goroutine owns the State; systems.go lists the systems in the
// order in which they run.
package controller

import (
	"time"

	"github.com/waxwingbridge/waxwingbridge/budget"
	"github.com/waxwingbridge/waxwingbridge/fleet"
	"github.com/waxwingbridge/waxwingbridge/infra"
	"github.com/waxwingbridge/waxwingbridge/membership"
	"github.com/waxwingbridge/waxwingbridge/node"
	"github.com/waxwingbridge/waxwingbridge/placement"
	"github.com/waxwingbridge/waxwingbridge/policy"
	"github.com/waxwingbridge/waxwingbridge/store"
	"github.com/waxwingbridge/waxwingbridge/table"
	"github.com/waxwingbridge/waxwingbridge/wave"
)

// Timing of fleet control.
const (
	// callTimeout bounds a platform call. A call is sent only if the lease is valid
	// for longer than that, so that it ends before a successor can become active.
	callTimeout = 2 * time.Second
	// callOutcomeTimeout is the time after which a call that was not answered can no
	// longer take effect: its timeout, and as long again for delays at the platform.
	callOutcomeTimeout = 2 * callTimeout
	// takeoverCallDelay is how long a new active controller waits before its first
	// platform call: the duration of its predecessor's lease and of the longest call.
	takeoverCallDelay = node.ControllerLeaseTTL + callTimeout
	// unacknowledgedGatewayWait is how long a draining worker waits for gateways that
	// have not acknowledged the drain. After the lag of the VM list and the lifetime of
	// a gateway's fleet view with its margin, such a gateway sends no more requests.
	unacknowledgedGatewayWait = fleet.ListLag + membership.FleetViewTTL + membership.FleetViewMargin
	// minPollInterval is the shortest time between two polls of a worker with an
	// operation. A poll reads the worker from the platform, not from the lagging VM list.
	minPollInterval = 500 * time.Millisecond
	// maxPollsPerSecond bounds the rate of polls of all workers with an operation: in a
	// wide wave each worker is polled less often, unless the VM list shows a change.
	// Request and response of a poll are about 700 bytes.
	maxPollsPerSecond = 10
	// maxWatchSilence is how long the store watch may be silent. After that, the store
	// counts as unreachable and no new disruption starts.
	maxWatchSilence = 3 * time.Second
	// taskListInterval is the time between two reads of the task list.
	taskListInterval = time.Second
	// planInterval is the time between two runs of the wave planner.
	planInterval = time.Second
	// demandSampleInterval and maxDemandSamples keep the demand of the last 10 minutes,
	// whose peaks size the shared spare buffer.
	demandSampleInterval = 5 * time.Second
	maxDemandSamples     = 120
	// maxVerifications bounds the polls per VM list of workers whose listed state
	// contradicts the fleet tables.
	maxVerifications = 16
	// claimRetryDelay is the delay after a failed attempt to become active.
	claimRetryDelay = 500 * time.Millisecond
	// commitRetryDelay is the delay after a fleet write that did not reach the store.
	commitRetryDelay = 200 * time.Millisecond
	// requestTimeout bounds how long an operator's request waits until its change is
	// stored.
	requestTimeout = 10 * time.Second
)

// phase is the state of this controller in the leader election.
type phase uint8

const (
	standby  phase = iota
	claiming       // the write of the leader key is in flight
	loading        // the leader key is held; fleet and job pages are being read
	fencing        // the first write of the fleet document with the new epoch is in flight
	active
)

func (p phase) String() string {
	return [...]string{"standby", "claiming", "loading", "fencing", "active"}[p]
}

// leadership is this controller's part in the leader election. One controller at a
// time holds the leader key.
type leadership struct {
	phase            phase
	lease            store.LeaseID  // that the leader key is bound to
	leaderRevision   store.Revision // of the own leader key
	leaderKeySeen    bool           // the watch has delivered the own leader key
	callsAllowedFrom time.Time      // no platform calls before this time
	retryAt          time.Time
	stepDownReason   string // why to give up leadership, empty if there is no reason
}

// trackedWorker is the row of a worker with an operation or with a contradiction in
// the VM list: its polls, platform calls and progress.
type trackedWorker struct {
	worker              string
	polling             bool
	nextPollAt          time.Time
	earliestPollAt      time.Time          // if the VM list has changed since the last poll
	polledProgress      listedProgress     // what the VM list showed at the last poll
	observed            *fleet.Observation // last poll result, nil if none arrived since the last call
	callInFlight        bool
	callKind            fleet.CallKind
	outcomeUnknownUntil time.Time // a call that was not answered may take effect until then
	drainObservedAt     time.Time // time of the first poll that showed the worker draining
	rejectedCall        fleet.CallKind
	rejectedState       fleet.State
	waitReason          fleet.Reason // why the operation did not advance
	slowDrainReported   bool         // a slow drain was logged
}

// listedProgress is what the VM list shows of the progress of an operation.
// Operations advance only on poll results; a change in the list triggers a poll.
type listedProgress struct {
	status    infra.WorkerStatus
	bootID    int64
	requests  int
	tasks     int
	operation string
}

// State is the control state of a controller.
type State struct {
	View       *node.View
	Peers      *membership.State
	Jobs       *placement.State
	Fleet      *fleet.Tables // nil unless the phase is fencing or active
	Leadership leadership

	fleetStoreRevision    store.Revision // revision that the next fleet write is based on
	commitRetryAt         time.Time      // no fleet write before this time
	fleetVersion          uint64         // incremented by every change of the fleet tables
	placementFleetVersion uint64         // fleet version that placement was given
	placementPolicy       *policy.Effective
	mergedListAt          time.Time // ListedAt of the last list that was merged
	powerReportedAt       time.Time
	trackedWorkers        table.Table[trackedWorker]
	trackedWorkerIndex    table.Index[string]

	pendingRequests    table.Table[pendingRequest]
	newRequests        []Request
	waitReasons        map[string]wave.Reason // by pool, from the last run of the wave planner
	poolsBelowBudget   map[string]bool        // pools that were logged as below their budget
	budgetFleetVersion uint64                 // fleet version that reportBudgets checked last
	nextPlanAt         time.Time
	configWrite        *pendingConfig

	demandSamples    []budget.Sample
	demandSampledAt  time.Time
	tasksListedAt    time.Time
	taskListInFlight bool // a read of the task list is in flight

	lastOperationNumber uint64
	lastTick            time.Time

	Out Outbound
}

// NewState returns the initial state of a controller in standby.
func NewState(view *node.View, peers *membership.State) *State {
	s := &State{View: view, Peers: peers, waitReasons: map[string]wave.Reason{}, poolsBelowBudget: map[string]bool{}}
	s.Jobs = placement.New(placement.Config{
		Incarnation: view.Self.Incarnation, CallTimeout: callTimeout, MayQuarantine: s.mayQuarantine,
	})
	return s
}

// Active reports whether this controller controls the fleet.
func (s *State) Active() bool { return s.Leadership.phase == active }

// storeReachable reports whether the watch has confirmed the view within
// maxWatchSilence.
func (s *State) storeReachable(now time.Time) bool {
	return s.View.StoreConnected && now.Sub(s.View.StoreConfirmedAt) < maxWatchSilence
}

// callAllowed reports whether a platform call sent now ends before the lease expires.
func (s *State) callAllowed(now time.Time) bool {
	return s.Active() && !now.Before(s.Leadership.callsAllowedFrom) && s.View.LeaseDeadline.Sub(now) > callTimeout
}

// disruptionAllowed reports whether a worker may be taken out of service.
func (s *State) disruptionAllowed(now time.Time) bool {
	return s.callAllowed(now) && s.storeReachable(now) && s.View.PlatformReachable()
}

// tables returns the current fleet tables: the controller's own in the phases
// fencing and active, otherwise those of the last document that it has received.
func (s *State) tables() *fleet.Tables {
	if s.Fleet != nil {
		return s.Fleet
	}
	if s.View.Fleet != nil {
		return fleet.Load(s.View.Fleet)
	}
	return &fleet.Tables{}
}

// markFleetChanged records that the fleet tables changed.
func (s *State) markFleetChanged() { s.fleetVersion++ }

// trackWorker returns the row of the worker and inserts it if there is none.
func (s *State) trackWorker(worker string) *trackedWorker {
	if id, ok := s.trackedWorkerIndex.Get(worker); ok {
		return s.trackedWorkers.Get(id)
	}
	id := s.trackedWorkers.Insert(trackedWorker{worker: worker})
	s.trackedWorkerIndex.Put(worker, id)
	return s.trackedWorkers.Get(id)
}

func (s *State) untrackWorker(worker string) {
	if id, ok := s.trackedWorkerIndex.Get(worker); ok {
		s.trackedWorkers.Delete(id)
		s.trackedWorkerIndex.Delete(worker)
	}
}
