package test

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/google/uuid"

	"github.com/waxwingbridge/waxwingbridge/controller"
	"github.com/waxwingbridge/waxwingbridge/fleet"
	"github.com/waxwingbridge/waxwingbridge/gateway"
	"github.com/waxwingbridge/waxwingbridge/infra"
	"github.com/waxwingbridge/waxwingbridge/outcome"
	"github.com/waxwingbridge/waxwingbridge/standin/target"
)

// activeController waits until a controller is active and returns it.
func (s *site) activeController() *member {
	s.t.Helper()
	var found *member
	s.eventually(readyLimit, "a controller is active", func() bool {
		found = nil
		for _, m := range s.controllers {
			if m.responsive() && s.phase(m) == "active" {
				found = m
			}
		}
		return found != nil
	})
	return found
}

func (s *site) phase(m *member) string {
	var report controller.StatusReport
	if s.get(m.public+"/v1/status", &report) != nil {
		return ""
	}
	return report.Phase
}

// otherController returns another running controller, or the given one if there is
// none.
func (s *site) otherController(excluded *member) *member {
	for _, m := range s.controllers {
		if m != excluded && m.running() {
			return m
		}
	}
	return excluded
}

// waitServing waits until the worker has rebooted after the given boot and serves
// without an operation.
func (s *site) waitServing(worker string, bootID int64) {
	s.t.Helper()
	s.eventually(waveLimit, worker+" serves after its reboot", func() bool {
		w := s.workerRow(worker)
		return w.State == fleet.Serving && w.Operation == nil && w.BootID > bootID
	})
}

// maintainWorker starts the maintenance of a worker and waits until it has ended.
func (s *site) maintainWorker(worker string) {
	s.t.Helper()
	boot := s.workerRow(worker).BootID
	s.startOperation(fleet.OperationMaintain, worker, "")
	s.waitServing(worker, boot)
}

// changeConfig changes the configuration through the controller and waits until the
// change is in force.
func (s *site) changeConfig(m *member) {
	s.t.Helper()
	s.eventually(readyLimit, "a configuration change is accepted", func() bool {
		revision, err := s.applyConfig(m, s.config(m), "operator")
		if err == nil {
			s.waitInForce(m, revision)
		}
		return err == nil
	})
}

// newJob returns a non-idempotent job with a unique ID.
func (s *site) newJob(payload string) gateway.JobRequest {
	job := gateway.JobRequest{
		ID: fmt.Sprintf("job-%d", len(s.jobs)+1), Pool: "ledger", Class: "long", Family: "reconcile", MilliCores: 100, Payload: payload,
	}
	s.jobs = append(s.jobs, job.ID)
	return job
}

// submitUntilAccepted submits the job until a gateway accepts it. Its ID prevents
// repeated submissions from creating further jobs.
func (s *site) submitUntilAccepted(job gateway.JobRequest) {
	s.t.Helper()
	s.eventually(readyLimit, "a job is accepted", func() bool {
		return slices.ContainsFunc(s.gateways, func(g *member) bool {
			return g.running() && s.submitJob(g, job).Outcome == outcome.Completed.String()
		})
	})
}

// waitJobState waits until the job has one of the states.
func (s *site) waitJobState(job gateway.JobRequest, states ...string) {
	s.t.Helper()
	var last gateway.JobResponse
	reached := waitFor(waveLimit, func() bool {
		for _, g := range s.gateways {
			if !g.running() {
				continue
			}
			if last = s.getJob(g, job.ID); slices.Contains(states, last.State) {
				return true
			}
		}
		return false
	})
	if !reached {
		s.t.Fatalf("not within %v: %s has one of the states %v; last response: %+v", waveLimit, job.ID, states, last)
	}
}

// expectOutcome sends a request once and checks its outcome, and its reason if any
// are given.
func (s *site) expectOutcome(g *member, r request, kind outcome.Kind, reasons ...outcome.Reason) {
	s.t.Helper()
	got := s.send(http.DefaultClient, g, r)
	if got.Outcome.Kind != kind || (len(reasons) > 0 && !slices.Contains(reasons, got.Outcome.Reason)) {
		s.t.Errorf("%s %s with key %q: %v %s, want %v %v", r.method, r.path, r.key, got.Outcome.Kind, got.Outcome.Reason, kind, reasons)
	}
}

// waitOutcome sends new requests until one has the outcome.
func (s *site) waitOutcome(g *member, next func() request, kind outcome.Kind, reason outcome.Reason) {
	s.t.Helper()
	s.eventually(readyLimit, fmt.Sprintf("a request ends as %v %s", kind, reason), func() bool {
		got := s.send(http.DefaultClient, g, next())
		return got.Outcome == outcome.Outcome{Kind: kind, Reason: reason}
	})
}

// newOrder returns a non-idempotent request that takes the given time at its target.
func (s *site) newOrder(key string, milliseconds int) request {
	s.orderCount++
	return request{
		method: http.MethodPost, pool: "orders", key: key, body: "order",
		path: fmt.Sprintf("/order/%d?ms=%d", s.orderCount, milliseconds),
	}
}

func newKey() string { return uuid.Must(uuid.NewV7()).String() }

// slowTarget adds to the service time of a target and waits until it is executing a
// request, so that a drain of its worker has a request to wait for.
func (s *site) slowTarget(worker string, milliseconds int) {
	s.t.Helper()
	s.setTargetFaults(worker, target.Faults{SlowMS: milliseconds})
	s.eventually(readyLimit, worker+" is executing a request", func() bool { return s.targetStatus(worker).InFlight > 0 })
}

func (s *site) targetStatus(worker string) target.Status {
	var statuses []target.Status
	if s.get(s.address(targetAdminPort)+target.PathStatus, &statuses) == nil {
		for _, status := range statuses {
			if status.Worker == worker {
				return status
			}
		}
	}
	return target.Status{}
}

// bootID reads the worker's boot ID directly from the platform.
func (s *site) bootID(worker string) int64 {
	s.t.Helper()
	var row infra.Worker
	s.eventually(readyLimit, "the platform answers", func() bool {
		return s.get(s.address(platformPort)+"/v1/workers/"+worker, &row) == nil
	})
	return row.BootID
}

// expectMaintenanceRefused checks for a period that every controller refuses the
// maintenance of the worker.
func (s *site) expectMaintenanceRefused(worker string, period time.Duration) {
	s.t.Helper()
	request := controller.OperationRequest{Kind: string(fleet.OperationMaintain), Worker: worker, Reason: "test"}
	for deadline := time.Now().Add(period); time.Now().Before(deadline); time.Sleep(observeInterval) {
		for _, m := range s.controllers {
			if m.responsive() && s.call(http.MethodPost, m.public+"/v1/operations", request, nil) == nil {
				s.t.Errorf("%s accepted the maintenance of %s", m.name, worker)
			}
		}
	}
}
