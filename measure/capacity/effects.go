package main

import (
	"time"

	"github.com/waxwingbridge/waxwingbridge/controller"
	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/events"
	"github.com/waxwingbridge/waxwingbridge/gateway/control"
	"github.com/waxwingbridge/waxwingbridge/gateway/traffic"
	"github.com/waxwingbridge/waxwingbridge/idempotency"
	"github.com/waxwingbridge/waxwingbridge/node"
	"github.com/waxwingbridge/waxwingbridge/placement"
	"github.com/waxwingbridge/waxwingbridge/store"
)

func (s *site) flushGateway(g *gatewayHost, st *control.State) {
	st.Outbound.Snapshots.Drain(func(snapshot *traffic.Snapshot) {
		if g == s.gateways[0] && s.counting {
			s.snapshots = append(s.snapshots, snapshot)
		}
	})
	st.Outbound.Homes.Drain(func(e control.UpdateHomes) { s.schedule(func() { s.updateHomes(g, e) }) })
	st.View.Logs.Drain(func(events.Record) {})
	s.exchangeEffects(g, st.Peers)
}

func (s *site) updateHomes(g *gatewayHost, e control.UpdateHomes) {
	self := idempotency.Member{Incarnation: g.identity.Incarnation, Address: g.identity.PeerAddress}
	next, needed := idempotency.InitialHomes(self), true
	if s.homes != nil {
		var live []string
		for _, other := range s.gateways {
			live = append(live, other.identity.Incarnation)
		}
		next, needed = idempotency.NextHomes(*s.homes, live, self)
	}
	if needed {
		s.homes = &next
		s.broadcast(node.HomesSeen{Homes: s.homes, Revision: s.nextRevision()})
	}
	g.post(control.HomesUpdated{Lease: e.Lease, Homes: s.homes})
}

// flushController performs the effects of a controller.
func (s *site) flushController(c *controllerHost, st *controller.State, _ engine.Tick) {
	answer := func(event controller.Event) { s.schedule(func() { c.post(event) }) }
	st.Out.Claims.Drain(func(controller.ClaimLeader) { s.schedule(func() { s.claimLeader(c) }) })
	st.Out.Releases.Drain(func(controller.ReleaseLeader) {})
	st.Out.Loads.Drain(func(controller.LoadState) {
		loaded := controller.StateLoaded{Fleet: s.fleet.Document, FleetRevision: s.fleet.Revision}
		for i := range placement.PageCount {
			loaded.Pages = append(loaded.Pages, placement.StoredPage{Page: placement.Page{Index: i}})
		}
		answer(loaded)
	})
	st.Out.FleetWrites.Drain(func(e controller.WriteFleet) {
		s.schedule(func() {
			document := e.Document
			result := node.WriteResult{Status: node.WriteCommitted, Revision: s.publishFleet(&document)}
			c.post(controller.FleetWritten{Document: e.Document, Result: result})
		})
	})
	st.Out.ConfigWrites.Drain(func(controller.WriteConfig) {})
	st.Out.Calls.Drain(func(e controller.CallPlatform) {
		s.count("platform: calls")
		s.machines.execute(e.Call, s.now)
		answer(controller.PlatformCalled{Call: e.Call})
	})
	st.Out.WorkerPolls.Drain(func(e controller.PollWorker) {
		s.count("platform: worker questions")
		s.schedule(func() {
			c.post(controller.WorkerAnswered{Worker: e.Worker, Observation: s.machines.observe(e.Worker), PolledAt: s.now})
		})
	})
	st.Out.TaskLists.Drain(func(controller.ListTasks) {
		answer(controller.TasksListed{Report: s.taskReport()})
	})
	st.Out.Responses.Drain(func(e controller.SendResponse) { e.Reply <- e.Response })
	s.flushJobs(&st.Jobs.Out, answer)
	st.View.Logs.Drain(func(events.Record) {})
	s.exchangeEffects(c, st.Peers)
}

func (s *site) claimLeader(c *controllerHost) {
	if s.leader.Revision != 0 {
		c.post(controller.LeaderClaimed{Err: store.ErrConflict})
		return
	}
	s.leader = node.LeaderSeen{Identity: c.identity, Revision: s.nextRevision()}
	c.post(controller.LeaderClaimed{Revision: s.leader.Revision})
	s.broadcast(s.leader)
}

func (s *site) flushJobs(out *placement.Outbound, answer func(controller.Event)) {
	out.Writes.Drain(func(w placement.WritePage) {
		if s.counting {
			s.pages = append(s.pages, w.Page)
		}
		answer(controller.JobEvent{Event: placement.PageResult{
			Index: w.Page.Index, WriteID: w.WriteID, Result: placement.WriteCommitted, Revision: int64(s.nextRevision()),
		}})
	})
	out.Reads.Drain(func(placement.ReadPage) {})
	out.Starts.Drain(func(e placement.StartTask) {
		s.count("jobs: starts")
		s.running = append(s.running, e.Operation)
		answer(controller.JobEvent{Event: placement.StartResult{Operation: e.Operation, Result: placement.CallDone}})
	})
	out.Controls.Drain(func(e placement.ControlTask) {
		answer(controller.JobEvent{Event: placement.ControlResult{Operation: e.Operation, Action: e.Action, Result: placement.CallDone}})
	})
	out.Renewals.Drain(func(placement.RenewTasks) {})
	out.Replies.Drain(func(placement.Reply) {})
}

const (
	submitBatch     = 100 // jobs per simulation step until the site holds its jobs
	finishInterval  = time.Second
	finishDivisor   = 3000 // one in 3000 jobs ends per interval
	firstSubmission = 15 * time.Second
	jobUsedCores    = jobCores
	jobUsedMemory   = jobMemoryMB
	jobWattsPerJob  = 20
)

// submitJobs submits jobs until the site holds its number of jobs. On a busy site it
// then ends some jobs and submits as many new ones.
func (s *site) submitJobs() {
	active := s.active()
	if active == nil || s.now.Sub(simulationStart) < firstSubmission {
		return
	}
	submit := min(submitBatch, s.size.jobs-s.nextJob)
	if s.busy && submit <= 0 && s.now.Sub(simulationStart)%finishInterval == 0 {
		submit = min(s.size.jobs/finishDivisor, len(s.running))
		s.finished = append(s.finished, s.running[:submit]...)
		s.running = s.running[submit:]
	}
	for range submit {
		active.post(controller.JobEvent{Event: s.size.job(s.nextJob)})
		s.nextJob++
	}
}

// taskReport lists the running tasks. Finished tasks are listed once.
func (s *site) taskReport() placement.TasksReported {
	report := placement.TasksReported{ObservedAt: s.now}
	used := placement.Resources{MilliCores: jobUsedCores * milliPerCore, MemoryMB: jobUsedMemory}
	for _, operation := range s.running {
		report.Tasks = append(report.Tasks, placement.TaskObservation{
			Operation: operation, Status: placement.TaskRunning, Used: used, PowerWatts: jobWattsPerJob,
		})
	}
	for _, operation := range s.finished {
		report.Tasks = append(report.Tasks, placement.TaskObservation{Operation: operation, Status: placement.TaskDone, Used: used})
	}
	s.finished = nil
	return report
}
