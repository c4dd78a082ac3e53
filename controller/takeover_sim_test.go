package controller

import (
	"errors"
	"fmt"
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/events"
	"github.com/waxwingbridge/waxwingbridge/fleet"
	"github.com/waxwingbridge/waxwingbridge/infra"
	"github.com/waxwingbridge/waxwingbridge/membership"
	"github.com/waxwingbridge/waxwingbridge/node"
	"github.com/waxwingbridge/waxwingbridge/placement"
	"github.com/waxwingbridge/waxwingbridge/store"
)

// worldGateway sends to every worker that its view of the fleet, which lags
// behind the store, lists as serving.
type worldGateway struct {
	document fleet.Document
	nextView time.Time
	sequence uint64
	reportAt time.Time
}

// Times of the gateway: the lag of its view, its reports to controllers and the
// service time of a request.
const (
	gatewayLag     = 1500 * time.Millisecond
	gatewayService = 700 * time.Millisecond
)

func (g *worldGateway) step(w *world) {
	if !w.now.Before(g.nextView) {
		g.document, g.nextView = w.document, w.now.Add(gatewayLag)
	}
	for i := range g.document.Workers {
		row := &g.document.Workers[i]
		worker := w.worker(row.ID)
		if !row.State.Available() || row.Operation != nil {
			continue
		}
		worker.received++
		switch worker.Status {
		case infra.WorkerLive:
			worker.busy = append(worker.busy, w.now.Add(gatewayService))
			worker.Requests = len(worker.busy)
		case infra.WorkerRebooting:
			worker.cut++ // a request in transit met a target that stopped
		}
	}
	if w.now.Before(g.reportAt) {
		return
	}
	g.reportAt = w.now.Add(membership.ExchangeInterval)
	g.sequence++
	message := membership.Message{
		Sender:   membership.Member{Incarnation: "gateway", Role: membership.Gateway, Address: "gateway"},
		Sequence: g.sequence, Revisions: membership.Revisions{membership.DocumentFleet: g.document.Revision},
	}
	for _, s := range w.sims {
		s.post(PeerMessage{membership.Received{Message: message}})
	}
}

// begin starts the process with an empty state.
func (s *sim) begin() {
	s.starts++
	s.dead, s.lease, s.seen, s.inbox, s.delayed, s.frozen = time.Time{}, 0, 0, nil, nil, nil
	s.renewAt, s.until = time.Time{}, time.Time{}
	self := node.Identity{Incarnation: fmt.Sprintf("%s-%d", s.name, s.starts), Role: node.RoleController, PeerAddress: s.name}
	s.state = NewState(node.NewView("test", self), membership.New(membership.Options{Self: self.Member()}))
	s.program = engine.Program[State, Event]{
		Apply: func(state *State, tick engine.Tick, event Event) { event.apply(state, tick) }, Systems: Systems(), Flush: s.flush,
	}
	s.post(Observed{node.ConfigSeen{Document: &s.world.config, Revision: 1}}, Observed{node.MembersListed{}})
}

func (s *sim) post(events ...Event) {
	if s.dead.IsZero() {
		s.inbox = append(s.inbox, events...)
	}
}

func (s *sim) postLater(after time.Duration, event Event) {
	if event == nil {
		return
	}
	s.delayed = append(s.delayed, delayedEvent{s.world.now.Add(after), event})
}

// step runs one tick of the process, unless it is dead or paused. After a pause
// the results of its calls arrive before the store's changes.
func (s *sim) step() {
	w := s.world
	if !s.dead.IsZero() {
		if w.now.Before(s.dead) {
			return
		}
		s.begin()
	}
	if w.now.Before(s.paused) {
		return
	}
	resumed := !s.paused.IsZero()
	s.paused = time.Time{}
	for _, effect := range s.frozen {
		effect()
	}
	s.frozen = nil
	if !resumed {
		s.observe()
	}
	var later []delayedEvent
	for _, d := range s.delayed {
		if w.now.Before(d.at) {
			later = append(later, d)
		} else {
			s.inbox = append(s.inbox, d.event)
		}
	}
	s.delayed = later
	inbox := s.inbox
	s.inbox = nil
	s.seq++
	s.program.Step(s.state, engine.Tick{Now: w.now, Seq: s.seq}, inbox...)
}

// observe posts what the background reads of the process see.
func (s *sim) observe() {
	w := s.world
	s.renew()
	if s.seen != w.revision {
		s.seen = w.revision
		if w.fleet.Revision != 0 {
			document := w.document
			s.post(Observed{node.FleetSeen{Document: &document, Revision: w.fleet.Revision}})
		}
		s.post(Observed{node.LeaderSeen{Identity: w.identity, Revision: w.leader.Revision}})
	}
	s.post(Observed{node.StoreConfirmed{At: w.now}})
	list := node.WorkersListed{RequestedAt: w.now}
	for _, worker := range w.workers {
		list.Workers = append(list.Workers, worker.Worker)
	}
	s.post(Observed{list})
}

// renew keeps the lease, or takes a new one after a lapse.
func (s *sim) renew() {
	w := s.world
	if w.now.Before(s.renewAt) && w.now.Before(s.until) {
		return
	}
	s.renewAt = w.now.Add(renewPause)
	if !w.now.Before(s.until) {
		s.lease = store.LeaseID(len(w.leases) + 1)
		s.renewAt = s.renewAt.Add(-w.phase)
	}
	s.until = w.now.Add(node.ControllerLeaseTTL)
	w.leases[s.lease] = s.until
	s.post(Observed{node.LeaseChanged{Lease: s.lease, Deadline: s.until}})
}

// flush performs the effects of a tick.
func (s *sim) flush(state *State, tick engine.Tick) {
	w := s.world
	state.lastTick = tick.Now
	state.Out.Claims.Drain(func(e ClaimLeader) {
		s.effect("claim", func() Event {
			revision, ok := w.claim(s, e)
			return LeaderClaimed{Revision: revision, Err: conflict(ok)}
		}, LeaderClaimed{Err: store.ErrConflict})
	})
	state.Out.Releases.Drain(func(e ReleaseLeader) {
		s.effect("release", func() Event {
			if w.leader.Revision == e.Revision {
				w.leader = store.Value{}
				w.revision++
			}
			return nil
		}, nil)
	})
	state.Out.Loads.Drain(func(LoadState) {
		s.effect("load", func() Event { return w.load() }, StateLoaded{Err: store.ErrUnavailable})
	})
	state.Out.FleetWrites.Drain(func(e WriteFleet) {
		s.effect(fmt.Sprintf("fleet write %d", e.Document.Revision), func() Event {
			revision, ok := w.writeFleet(e)
			status := node.WriteCommitted
			if !ok {
				status = node.WriteConflicted
			}
			return FleetWritten{Document: e.Document, Result: node.WriteResult{Status: status, Revision: revision, Err: conflict(ok)}}
		}, FleetWritten{Document: e.Document, Result: node.WriteResult{Status: node.WriteNotExecuted, Err: store.ErrUnavailable}})
	})
	state.Out.Calls.Drain(func(e CallPlatform) {
		s.effect(fmt.Sprintf("%s of %s", e.Call.Kind, e.Call.Worker), func() Event {
			err := w.call(e.Call)
			return PlatformCalled{Call: e.Call, Err: err, Rejected: errors.Is(err, infra.ErrRejected)}
		}, PlatformCalled{Call: e.Call, Err: infra.ErrUnavailable})
	})
	s.flushReads(state)
	state.View.Logs.Drain(func(events.Record) {})
}

func conflict(ok bool) error {
	if ok {
		return nil
	}
	return store.ErrConflict
}

// flushReads performs the effects that change nothing, and the writes of job
// pages, without faults.
func (s *sim) flushReads(state *State) {
	w := s.world
	state.Out.WorkerPolls.Drain(func(e PollWorker) {
		answer := observationFrom(&w.worker(e.Worker).Worker)
		s.post(WorkerAnswered{Worker: e.Worker, Observation: &answer, PolledAt: w.now})
	})
	state.Out.TaskLists.Drain(func(ListTasks) { s.post(TasksListed{Report: placement.TasksReported{ObservedAt: w.now}}) })
	state.Out.Responses.Drain(func(SendResponse) {})
	state.Jobs.Out.Writes.Drain(func(e placement.WritePage) { s.post(JobEvent{w.writePage(e)}) })
	state.Jobs.Out.Reads.Drain(func(e placement.ReadPage) {
		page := w.pages[e.Index]
		s.post(JobEvent{placement.PageRead{Index: e.Index, Page: page.Page, WriteID: page.WriteID, Revision: page.Revision}})
	})
	state.Peers.Sends.Drain(func(membership.Send) {})
	state.Peers.Replies.Drain(func(membership.Reply) {})
	state.Peers.Fetches.Drain(func(membership.Fetch) {})
	state.Peers.Changes.Drain(func(membership.Change) {})
}

func (w *world) load() Event {
	loaded := StateLoaded{Pages: w.pages[:], FleetRevision: w.fleet.Revision}
	if w.fleet.Revision != 0 {
		document := w.document
		loaded.Fleet = &document
	}
	return loaded
}

// effect performs an effect with the fault of its number. failed is the result
// of an effect that was not carried out.
func (s *sim) effect(name string, perform func() Event, failed Event) {
	w := s.world
	if !s.dead.IsZero() {
		return
	}
	if !s.paused.IsZero() {
		s.frozen = append(s.frozen, func() { s.finish(perform()) })
		return
	}
	w.effects++
	w.names = append(w.names, s.name+": "+name)
	_, called := failed.(PlatformCalled)
	switch w.faults[w.effects] {
	case killBefore:
		s.dead = w.now.Add(restart)
	case killAfter:
		perform()
		s.dead = w.now.Add(restart)
	case pauseBefore: // a call whose timeout has passed is not sent any more
		s.paused = w.now.Add(w.pause)
		s.frozen = append(s.frozen, func() {
			if called {
				s.finish(failed)
				return
			}
			s.finish(perform())
		})
	case pauseAfter:
		s.paused = w.now.Add(w.pause)
		s.finish(perform())
	case answerLost:
		result := perform()
		if called {
			result = failed
		}
		s.postLater(callTimeout, result)
	case delayed: // a store write is given up after it was read to be missing
		w.later(lateEffect, func() { perform() })
		if written, ok := failed.(FleetWritten); ok {
			written.Result.Status = node.WriteConflicted
			failed = written
		}
		s.postLater(callTimeout, failed)
	case killDelayed:
		w.later(lateEffect, func() { perform() })
		s.dead = w.now.Add(restart)
	case notSent:
		s.finish(failed)
	default:
		s.finish(perform())
	}
}

func (s *sim) finish(event Event) {
	if event != nil {
		s.inbox = append(s.inbox, event)
	}
}
