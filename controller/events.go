package controller

import (
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/exchange"
	"github.com/waxwingbridge/waxwingbridge/fleet"
	"github.com/waxwingbridge/waxwingbridge/membership"
	"github.com/waxwingbridge/waxwingbridge/node"
	"github.com/waxwingbridge/waxwingbridge/placement"
	"github.com/waxwingbridge/waxwingbridge/policy"
	"github.com/waxwingbridge/waxwingbridge/store"
)

// Event is an input of the control loop.
type Event interface{ apply(*State, engine.Tick) }

type (
	// Observed wraps what the I/O of every process observes.
	Observed struct{ Event node.Event }
	// PeerMessage is a message of the peer exchange.
	PeerMessage struct{ Received membership.Received }
	// PeerFetched is the end of a fetch from a peer.
	PeerFetched struct {
		Fetched  exchange.Fetched
		Document node.Event // decoded, nil if none was delivered
	}
	// LeaderClaimed ends ClaimLeader. Revision is zero if the key was not created.
	LeaderClaimed struct {
		Revision store.Revision
		Err      error
	}
	// StateLoaded ends LoadState.
	StateLoaded struct {
		Fleet         *fleet.Document // nil if there is none yet
		FleetRevision store.Revision
		Pages         []placement.StoredPage
		Err           error
	}
	// FleetWritten ends WriteFleet.
	FleetWritten struct {
		Document fleet.Document
		Result   node.WriteResult
	}
	// ConfigWritten ends WriteConfig.
	ConfigWritten struct {
		Document *policy.Document
		Result   node.WriteResult
	}
	// PlatformCalled ends CallPlatform.
	PlatformCalled struct {
		Call     fleet.Call
		Rejected bool // refused for good
		Err      error
	}
	// WorkerAnswered ends PollWorker. A nil Observation without an error means
	// that the platform does not know the worker.
	WorkerAnswered struct {
		Worker      string
		Observation *fleet.Observation
		PolledAt    time.Time
		Err         error
	}
	// TasksListed ends ListTasks.
	TasksListed struct {
		Report placement.TasksReported
		Err    error
	}
	// JobEvent passes an event to job placement.
	JobEvent struct{ Event placement.Event }
	// Requested is an operator's request.
	Requested struct{ Request Request }
)

func (e Observed) apply(s *State, tick engine.Tick) { s.View.Apply(tick, e.Event) }

func (e PeerMessage) apply(s *State, _ engine.Tick) { s.Peers.Receive(e.Received) }

func (e PeerFetched) apply(s *State, tick engine.Tick) {
	if e.Document != nil {
		s.View.Apply(tick, e.Document)
	}
	node.FinishFetch(s.View, s.Peers, tick, e.Fetched)
}

func (e JobEvent) apply(s *State, tick engine.Tick) { placement.Apply(s.Jobs, tick, e.Event) }

func (e Requested) apply(s *State, _ engine.Tick) { s.arrived = append(s.arrived, e.Request) }
