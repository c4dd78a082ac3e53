// Package controller is the role that controls a fleet: it holds the active
// controller's lease, reconciles the fleet with what the platform shows, runs
// maintenance waves and operators' requests, places jobs and applies
// configurations. One goroutine owns its State; systems.go lists the systems in
// the order in which they run.
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
	// callTimeout bounds a platform call. A call is sent only while the lease
	// lasts longer, so that no call is under way after a successor became active.
	callTimeout = 2 * time.Second
	// callSettle is the time after which a call without an answer has no effect
	// any more: its timeout, and as long again for delays at the platform.
	callSettle = 2 * callTimeout
	// takeoverQuiet is how long a new active controller waits before it calls the
	// platform: its predecessor's lease and its longest call.
	takeoverQuiet = node.ControllerLeaseTTL + callTimeout
	// laggardWait is how long a drained worker waits for gateways that did not
	// report the drain: the lag of the VM list, then the vouch period with its margin.
	laggardWait = fleet.ListLag + membership.FleetViewTTL + membership.FleetViewMargin
	// observeInterval is the pause between two direct questions about a worker
	// with an operation.
	observeInterval = 500 * time.Millisecond
	// questionsPerSecond bounds the direct questions about all workers with an
	// operation: in a wide wave each worker is asked less often, unless the VM list
	// shows a change. A question and its answer are about 700 bytes.
	questionsPerSecond = 10
	// storeSilence is how long the watch may be silent before no new disruption starts.
	storeSilence = 3 * time.Second
	// taskListInterval is the pause between two reads of the task list.
	taskListInterval = time.Second
	// planInterval is the pause between two plans of a wave.
	planInterval = time.Second
	// demandSampleInterval and demandSamples keep the peaks of the last 10 minutes.
	demandSampleInterval = 5 * time.Second
	demandSamples        = 120
	// maxVerifications bounds direct questions about listed contradictions in flight.
	maxVerifications = 16
	// claimRetry is the pause after a failed attempt to become active.
	claimRetry = 500 * time.Millisecond
	// commitRetry is the pause after a fleet write that the store did not take.
	commitRetry = 200 * time.Millisecond
	// requestTimeout bounds how long an operator's request waits for its commit.
	requestTimeout = 10 * time.Second
)

// phase is the progress of becoming the active controller.
type phase uint8

const (
	standby  phase = iota
	claiming       // the write of the leader key is under way
	loading        // the leader key is held; fleet and job pages are being read
	fencing        // the first write with the new epoch is under way
	active
)

func (p phase) String() string {
	return [...]string{"standby", "claiming", "loading", "fencing", "active"}[p]
}

// leadership is the state of the active controller's lease.
type leadership struct {
	phase          phase
	lease          store.LeaseID  // under which the leader key was claimed
	leaderRevision store.Revision // of the own leader key
	confirmed      bool           // the watch has shown the own leader key
	quietUntil     time.Time      // no platform call before
	retryAt        time.Time
	steppingDown   string // reason, empty while none
}

// observation is the row of a worker about which the platform is asked directly.
type observation struct {
	worker       string
	asking       bool
	askAt        time.Time
	askSoonest   time.Time          // if the list shows another condition than when asked last
	askedIn      listedCondition    // of the worker at the last question
	answer       *fleet.Observation // nil if none was asked after the last call
	callInFlight bool
	callKind     fleet.CallKind
	unsettled    time.Time // a call without an answer may take effect until then
	drainSeen    time.Time // first answer that showed the worker draining
	rejected     fleet.CallKind
	rejectedIn   fleet.State
	reason       fleet.Reason // of the last wait
	reported     bool         // a slow drain was reported
}

// listedCondition is what the VM list shows of the progress of an operation.
// Only direct answers count; a change in the list is a reason to ask.
type listedCondition struct {
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

	fleetStore       store.Revision // revision that the next fleet write is based on
	commitRetryAt    time.Time      // no fleet write before
	fleetVersion     uint64         // of the tables, raised by every change that others have to follow
	toldJobs         uint64         // fleet version that placement knows
	jobsPolicy       *policy.Effective
	listMerged       time.Time // ListedAt of the list that was merged last
	powerTold        time.Time
	observations     table.Table[observation]
	observationIndex table.Index[string]

	requests    table.Table[request]
	arrived     []Request
	waitReasons map[string]wave.Reason // per pool, of the last plan
	belowBudget map[string]bool        // pools that were reported
	budgetsSeen uint64                 // fleet version that reportBudgets knows
	planAt      time.Time
	configWrite *pendingConfig

	demand   []budget.Sample
	sampleAt time.Time
	tasksAt  time.Time
	listing  bool // a read of the task list is under way

	nextOperation uint64
	lastTick      time.Time

	Out Outbound
}

// NewState returns the state of a controller that knows nothing yet.
func NewState(view *node.View, peers *membership.State) *State {
	s := &State{View: view, Peers: peers, waitReasons: map[string]wave.Reason{}, belowBudget: map[string]bool{}}
	s.Jobs = placement.New(placement.Config{
		Incarnation: view.Self.Incarnation, CallTimeout: callTimeout, MayQuarantine: s.mayQuarantine,
	})
	return s
}

// Active reports whether this controller controls the fleet.
func (s *State) Active() bool { return s.Leadership.phase == active }

// storeReachable reports whether the watch has confirmed the view lately.
func (s *State) storeReachable(now time.Time) bool {
	return s.View.StoreConnected && now.Sub(s.View.StoreConfirmedAt) < storeSilence
}

// callAllowed reports whether a platform call can end before the lease does.
func (s *State) callAllowed(now time.Time) bool {
	return s.Active() && !now.Before(s.Leadership.quietUntil) && s.View.LeaseDeadline.Sub(now) > callTimeout
}

// disruptionAllowed reports whether a worker may be taken out of service.
func (s *State) disruptionAllowed(now time.Time) bool {
	return s.callAllowed(now) && s.storeReachable(now) && s.View.PlatformReachable()
}

// tables returns the fleet as this controller knows it: its own tables while it
// is active, otherwise those of the last document.
func (s *State) tables() *fleet.Tables {
	if s.Fleet != nil {
		return s.Fleet
	}
	if s.View.Fleet != nil {
		return fleet.Load(s.View.Fleet)
	}
	return &fleet.Tables{}
}

// changed notes that the fleet tables changed.
func (s *State) changed() { s.fleetVersion++ }

// observationOf returns the row of the worker and makes it if needed.
func (s *State) observationOf(worker string) *observation {
	if id, ok := s.observationIndex.Get(worker); ok {
		return s.observations.Get(id)
	}
	id := s.observations.Insert(observation{worker: worker})
	s.observationIndex.Put(worker, id)
	return s.observations.Get(id)
}

func (s *State) dropObservation(worker string) {
	if id, ok := s.observationIndex.Get(worker); ok {
		s.observations.Delete(id)
		s.observationIndex.Delete(worker)
	}
}
