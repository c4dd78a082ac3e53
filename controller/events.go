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

// Event is an input of the control loop. Reports of measure/capacity list costs by
// the type names of events, so those names stay stable.
type Event interface{ apply(*State, engine.Tick) }

type (
	// Observed wraps an event of the reads that processes of every role make: store
	// watch, lease and VM list.
	Observed struct{ Event node.Event }
	// PeerMessage is a message received through the peer exchange.
	PeerMessage struct{ Received membership.Received }
	// PeerFetched is the result of fetching a document from a peer.
	PeerFetched struct {
		Fetched  exchange.Fetched
		Document node.Event // decoded, nil if the peer delivered none
	}
	// LeaderClaimed is the result of ClaimLeader. Revision is zero if the key was not
	// created.
	LeaderClaimed struct {
		Revision store.Revision
		Err      error
	}
	// StateLoaded is the result of LoadState.
	StateLoaded struct {
		Fleet         *fleet.Document // nil if there is none yet
		FleetRevision store.Revision
		Pages         []placement.StoredPage
		Err           error
	}
	// FleetWritten is the result of WriteFleet.
	FleetWritten struct {
		Document fleet.Document
		Result   node.WriteResult
	}
	// ConfigWritten is the result of WriteConfig.
	ConfigWritten struct {
		Document *policy.Document
		Result   node.WriteResult
	}
	// PlatformCalled is the result of CallPlatform.
	PlatformCalled struct {
		Call     fleet.Call
		Rejected bool // permanently refused by the platform
		Err      error
	}
	// WorkerAnswered is the result of PollWorker. A nil Observation without an error means
	// that the platform does not know the worker.
	WorkerAnswered struct {
		Worker      string
		Observation *fleet.Observation
		PolledAt    time.Time
		Err         error
	}
	// TasksListed is the result of ListTasks.
	TasksListed struct {
		Report placement.TasksReported
		Err    error
	}
	// JobEvent wraps an event of job placement.
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

func (e Requested) apply(s *State, _ engine.Tick) { s.newRequests = append(s.newRequests, e.Request) }
