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

// simGateway sends requests to every worker that its view of the fleet, which lags
// behind the store, lists as serving.
type simGateway struct {
	document     fleet.Document
	nextViewAt   time.Time
	sequence     uint64
	nextReportAt time.Time
}

// Times of the gateway: the lag of its view and the service time of a request.
const (
	gatewayLag         = 1500 * time.Millisecond
	gatewayServiceTime = 700 * time.Millisecond
)

func (g *simGateway) step(sim *simulation) {
	if !sim.now.Before(g.nextViewAt) {
		g.document, g.nextViewAt = sim.document, sim.now.Add(gatewayLag)
	}
	for i := range g.document.Workers {
		row := &g.document.Workers[i]
		worker := sim.findWorker(row.ID)
		if !row.State.Available() || row.Operation != nil {
			continue
		}
		worker.received++
		switch worker.Status {
		case infra.WorkerLive:
			worker.requestsInFlight = append(worker.requestsInFlight, sim.now.Add(gatewayServiceTime))
			worker.Requests = len(worker.requestsInFlight)
		case infra.WorkerRebooting:
			worker.cut++ // the target stopped while the request was in transit
		}
	}
	if sim.now.Before(g.nextReportAt) {
		return
	}
	g.nextReportAt = sim.now.Add(membership.ExchangeInterval)
	g.sequence++
	message := membership.Message{
		Sender:   membership.Member{Incarnation: "gateway", Role: membership.Gateway, Address: "gateway"},
		Sequence: g.sequence, Revisions: membership.Revisions{membership.DocumentFleet: g.document.Revision},
	}
	for _, process := range sim.processes {
		process.post(PeerMessage{membership.Received{Message: message}})
	}
}

// start starts the process with an empty state.
func (p *simProcess) start() {
	p.starts++
	p.deadUntil, p.lease, p.seenRevision, p.inbox, p.delayedEvents, p.heldEffects = time.Time{}, 0, 0, nil, nil, nil
	p.renewAt, p.leaseDeadline = time.Time{}, time.Time{}
	self := node.Identity{Incarnation: fmt.Sprintf("%s-%d", p.name, p.starts), Role: node.RoleController, PeerAddress: p.name}
	p.state = NewState(node.NewView("test", self), membership.New(membership.Options{Self: self.Member()}))
	p.program = engine.Program[State, Event]{
		Apply: func(state *State, tick engine.Tick, event Event) { event.apply(state, tick) }, Systems: Systems(), Flush: p.flush,
	}
	p.post(Observed{node.ConfigSeen{Document: &p.simulation.config, Revision: 1}}, Observed{node.MembersListed{}})
}

func (p *simProcess) post(events ...Event) {
	if p.deadUntil.IsZero() {
		p.inbox = append(p.inbox, events...)
	}
}

func (p *simProcess) postLater(after time.Duration, event Event) {
	if event == nil {
		return
	}
	p.delayedEvents = append(p.delayedEvents, delayedEvent{p.simulation.now.Add(after), event})
}

// step runs one tick of the process, unless it is dead or paused. After a pause
// the results of its calls arrive before the store's changes.
func (p *simProcess) step() {
	sim := p.simulation
	if !p.deadUntil.IsZero() {
		if sim.now.Before(p.deadUntil) {
			return
		}
		p.start()
	}
	if sim.now.Before(p.pausedUntil) {
		return
	}
	resumed := !p.pausedUntil.IsZero()
	p.pausedUntil = time.Time{}
	for _, effect := range p.heldEffects {
		effect()
	}
	p.heldEffects = nil
	if !resumed {
		p.postObservations()
	}
	var later []delayedEvent
	for _, d := range p.delayedEvents {
		if sim.now.Before(d.at) {
			later = append(later, d)
		} else {
			p.inbox = append(p.inbox, d.event)
		}
	}
	p.delayedEvents = later
	inbox := p.inbox
	p.inbox = nil
	p.seq++
	p.program.Step(p.state, engine.Tick{Now: sim.now, Seq: p.seq}, inbox...)
}

// postObservations posts the results of the background reads of the process.
func (p *simProcess) postObservations() {
	sim := p.simulation
	p.renew()
	if p.seenRevision != sim.revision {
		p.seenRevision = sim.revision
		if sim.fleet.Revision != 0 {
			document := sim.document
			p.post(Observed{node.FleetSeen{Document: &document, Revision: sim.fleet.Revision}})
		}
		p.post(Observed{node.LeaderSeen{Identity: sim.leaderIdentity, Revision: sim.leader.Revision}})
	}
	p.post(Observed{node.StoreConfirmed{At: sim.now}})
	list := node.WorkersListed{RequestedAt: sim.now}
	for _, worker := range sim.workers {
		list.Workers = append(list.Workers, worker.Worker)
	}
	p.post(Observed{list})
}

// renew renews the lease, or takes a new one if it has expired.
func (p *simProcess) renew() {
	sim := p.simulation
	if sim.now.Before(p.renewAt) && sim.now.Before(p.leaseDeadline) {
		return
	}
	p.renewAt = sim.now.Add(renewInterval)
	if !sim.now.Before(p.leaseDeadline) {
		p.lease = store.LeaseID(len(sim.leaseDeadlines) + 1)
		p.renewAt = p.renewAt.Add(-sim.renewPhase)
	}
	p.leaseDeadline = sim.now.Add(node.ControllerLeaseTTL)
	sim.leaseDeadlines[p.lease] = p.leaseDeadline
	p.post(Observed{node.LeaseChanged{Lease: p.lease, Deadline: p.leaseDeadline}})
}

// flush executes the effects of a tick.
func (p *simProcess) flush(state *State, tick engine.Tick) {
	sim := p.simulation
	state.lastTick = tick.Now
	state.Out.Claims.Drain(func(e ClaimLeader) {
		p.performEffect("claim", func() Event {
			revision, ok := sim.claim(p, e)
			return LeaderClaimed{Revision: revision, Err: conflictUnless(ok)}
		}, LeaderClaimed{Err: store.ErrConflict})
	})
	state.Out.Releases.Drain(func(e ReleaseLeader) {
		p.performEffect("release", func() Event {
			if sim.leader.Revision == e.Revision {
				sim.leader = store.Value{}
				sim.revision++
			}
			return nil
		}, nil)
	})
	state.Out.Loads.Drain(func(LoadState) {
		p.performEffect("load", func() Event { return sim.load() }, StateLoaded{Err: store.ErrUnavailable})
	})
	state.Out.FleetWrites.Drain(func(e WriteFleet) {
		p.performEffect(fmt.Sprintf("fleet write %d", e.Document.Revision), func() Event {
			revision, ok := sim.writeFleet(e)
			status := node.WriteCommitted
			if !ok {
				status = node.WriteConflicted
			}
			return FleetWritten{Document: e.Document, Result: node.WriteResult{Status: status, Revision: revision, Err: conflictUnless(ok)}}
		}, FleetWritten{Document: e.Document, Result: node.WriteResult{Status: node.WriteNotExecuted, Err: store.ErrUnavailable}})
	})
	state.Out.Calls.Drain(func(e CallPlatform) {
		p.performEffect(fmt.Sprintf("%s of %s", e.Call.Kind, e.Call.Worker), func() Event {
			err := sim.executeCall(e.Call)
			return PlatformCalled{Call: e.Call, Err: err, Rejected: errors.Is(err, infra.ErrRejected)}
		}, PlatformCalled{Call: e.Call, Err: infra.ErrUnavailable})
	})
	p.flushReads(state)
	state.View.Logs.Drain(func(events.Record) {})
}

func conflictUnless(ok bool) error {
	if ok {
		return nil
	}
	return store.ErrConflict
}

// flushReads executes the effects that change nothing, and the writes of job pages,
// without faults.
func (p *simProcess) flushReads(state *State) {
	sim := p.simulation
	state.Out.WorkerPolls.Drain(func(e PollWorker) {
		answer := observationFrom(&sim.findWorker(e.Worker).Worker)
		p.post(WorkerAnswered{Worker: e.Worker, Observation: &answer, PolledAt: sim.now})
	})
	state.Out.TaskLists.Drain(func(ListTasks) { p.post(TasksListed{Report: placement.TasksReported{ObservedAt: sim.now}}) })
	state.Out.Responses.Drain(func(SendResponse) {})
	state.Jobs.Out.Writes.Drain(func(e placement.WritePage) { p.post(JobEvent{sim.writePage(e)}) })
	state.Jobs.Out.Reads.Drain(func(e placement.ReadPage) {
		page := sim.pages[e.Index]
		p.post(JobEvent{placement.PageRead{Index: e.Index, Page: page.Page, WriteID: page.WriteID, Revision: page.Revision}})
	})
	state.Peers.Sends.Drain(func(membership.Send) {})
	state.Peers.Replies.Drain(func(membership.Reply) {})
	state.Peers.Fetches.Drain(func(membership.Fetch) {})
	state.Peers.Changes.Drain(func(membership.Change) {})
}

func (sim *simulation) load() Event {
	loaded := StateLoaded{Pages: sim.pages[:], FleetRevision: sim.fleet.Revision}
	if sim.fleet.Revision != 0 {
		document := sim.document
		loaded.Fleet = &document
	}
	return loaded
}

// performEffect executes an effect with the fault that the scenario has for its
// number. failed is the result of an effect that was not executed.
func (p *simProcess) performEffect(name string, perform func() Event, failed Event) {
	sim := p.simulation
	if !p.deadUntil.IsZero() {
		return
	}
	if !p.pausedUntil.IsZero() {
		p.heldEffects = append(p.heldEffects, func() { p.deliver(perform()) })
		return
	}
	sim.effectCount++
	sim.effectNames = append(sim.effectNames, p.name+": "+name)
	_, called := failed.(PlatformCalled)
	switch sim.faults[sim.effectCount] {
	case killBefore:
		p.deadUntil = sim.now.Add(restartDelay)
	case killAfter:
		perform()
		p.deadUntil = sim.now.Add(restartDelay)
	case pauseBefore: // a call whose timeout has passed is no longer sent
		p.pausedUntil = sim.now.Add(sim.pauseDuration)
		p.heldEffects = append(p.heldEffects, func() {
			if called {
				p.deliver(failed)
				return
			}
			p.deliver(perform())
		})
	case pauseAfter:
		p.pausedUntil = sim.now.Add(sim.pauseDuration)
		p.deliver(perform())
	case answerLost:
		result := perform()
		if called {
			result = failed
		}
		p.postLater(callTimeout, result)
	case delayed: // a store write is given up after a read has shown that it has not arrived
		sim.schedule(lateEffectDelay, func() { perform() })
		if written, ok := failed.(FleetWritten); ok {
			written.Result.Status = node.WriteConflicted
			failed = written
		}
		p.postLater(callTimeout, failed)
	case killDelayed:
		sim.schedule(lateEffectDelay, func() { perform() })
		p.deadUntil = sim.now.Add(restartDelay)
	case notSent:
		p.deliver(failed)
	default:
		p.deliver(perform())
	}
}

func (p *simProcess) deliver(event Event) {
	if event != nil {
		p.inbox = append(p.inbox, event)
	}
}
