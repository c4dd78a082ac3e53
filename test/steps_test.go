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

// active returns the active controller.
func (s *site) active() *member {
	s.t.Helper()
	var found *member
	s.eventually(readyLimit, "a controller is active", func() bool {
		found = nil
		for _, m := range s.controllers {
			if m.answers() && s.phase(m) == "active" {
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

// another returns a running controller that is not the given one.
func (s *site) another(than *member) *member {
	for _, m := range s.controllers {
		if m != than && m.running() {
			return m
		}
	}
	return than
}

// serving waits until the worker serves again after a restart since the boot.
func (s *site) serving(worker string, bootID int64) {
	s.t.Helper()
	s.eventually(waveLimit, worker+" serves after its restart", func() bool {
		w := s.worker(worker)
		return w.State == fleet.Serving && w.Operation == nil && w.BootID > bootID
	})
}

// maintain carries out the maintenance of a worker.
func (s *site) maintain(worker string) {
	s.t.Helper()
	boot := s.worker(worker).BootID
	s.disrupt(fleet.OperationMaintain, worker, "")
	s.serving(worker, boot)
}

// changeConfig changes the configuration through the controller and waits until
// it is in force.
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

// newJob returns a non-idempotent job with an ID of its own.
func (s *site) newJob(payload string) gateway.JobRequest {
	job := gateway.JobRequest{
		ID: fmt.Sprintf("job-%d", len(s.jobs)+1), Pool: "ledger", Class: "long", Family: "reconcile", MilliCores: 100, Payload: payload,
	}
	s.jobs = append(s.jobs, job.ID)
	return job
}

// accept submits the job until it is accepted; the ID keeps repeats apart.
func (s *site) accept(job gateway.JobRequest) {
	s.t.Helper()
	s.eventually(readyLimit, "a job is accepted", func() bool {
		return slices.ContainsFunc(s.gateways, func(g *member) bool {
			return g.running() && s.submitJob(g, job).Outcome == outcome.Completed.String()
		})
	})
}

// finished waits until the job has one of the states.
func (s *site) finished(job gateway.JobRequest, states ...string) {
	s.t.Helper()
	var last gateway.JobResponse
	ended := waitFor(waveLimit, func() bool {
		for _, g := range s.gateways {
			if !g.running() {
				continue
			}
			if last = s.job(g, job.ID); slices.Contains(states, last.State) {
				return true
			}
		}
		return false
	})
	if !ended {
		s.t.Fatalf("within %v %s did not become %v; last seen: %+v", waveLimit, job.ID, states, last)
	}
}

// want sends a request once and expects the outcome.
func (s *site) want(g *member, r request, kind outcome.Kind, reasons ...outcome.Reason) {
	s.t.Helper()
	got := s.send(http.DefaultClient, g, r)
	if got.Outcome.Kind != kind || (len(reasons) > 0 && !slices.Contains(reasons, got.Outcome.Reason)) {
		s.t.Errorf("%s %s with key %q: %v %s, want %v %v", r.method, r.path, r.key, got.Outcome.Kind, got.Outcome.Reason, kind, reasons)
	}
}

// becomes sends requests until one has the outcome.
func (s *site) becomes(g *member, next func() request, kind outcome.Kind, reason outcome.Reason) {
	s.t.Helper()
	s.eventually(readyLimit, fmt.Sprintf("requests end as %v %s", kind, reason), func() bool {
		got := s.send(http.DefaultClient, g, next())
		return got.Outcome == outcome.Outcome{Kind: kind, Reason: reason}
	})
}

// order returns a non-idempotent request that takes a time at its target.
func (s *site) order(key string, milliseconds int) request {
	s.orders++
	return request{
		method: http.MethodPost, pool: "orders", key: key, body: "order",
		path: fmt.Sprintf("/order/%d?ms=%d", s.orders, milliseconds),
	}
}

func newKey() string { return uuid.Must(uuid.NewV7()).String() }

// slow makes a target take longer and waits until it holds a request, so that a
// drain of its worker takes a while.
func (s *site) slow(worker string, milliseconds int) {
	s.t.Helper()
	s.targetFaults(worker, target.Faults{SlowMS: milliseconds})
	s.eventually(readyLimit, worker+" holds a request", func() bool { return s.targetStatus(worker).InFlight > 0 })
}

func (s *site) targetStatus(worker string) target.Status {
	var statuses []target.Status
	if s.get(s.at(targetAdminPort)+target.PathStatus, &statuses) == nil {
		for _, status := range statuses {
			if status.Worker == worker {
				return status
			}
		}
	}
	return target.Status{}
}

// bootID asks the platform directly.
func (s *site) bootID(worker string) int64 {
	s.t.Helper()
	var row infra.Worker
	s.eventually(readyLimit, "the platform answers", func() bool {
		return s.get(s.at(platformPort)+"/v1/workers/"+worker, &row) == nil
	})
	return row.BootID
}

// refused expects that every controller refuses a disruption during a period.
func (s *site) refused(worker string, period time.Duration) {
	s.t.Helper()
	request := controller.OperationRequest{Kind: string(fleet.OperationMaintain), Worker: worker, Reason: "test"}
	for deadline := time.Now().Add(period); time.Now().Before(deadline); time.Sleep(observePause) {
		for _, m := range s.controllers {
			if m.answers() && s.call(http.MethodPost, m.public+"/v1/operations", request, nil) == nil {
				s.t.Errorf("%s accepted the maintenance of %s", m.name, worker)
			}
		}
	}
}
