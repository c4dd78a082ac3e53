package test

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/waxwingbridge/waxwingbridge/controller"
	"github.com/waxwingbridge/waxwingbridge/fleet"
	"github.com/waxwingbridge/waxwingbridge/gateway"
	"github.com/waxwingbridge/waxwingbridge/invariant"
	"github.com/waxwingbridge/waxwingbridge/outcome"
	"github.com/waxwingbridge/waxwingbridge/policy"
)

// incarnation identifies one start of a process by its PID.
func (m *member) incarnation() string { return fmt.Sprint(m.lastExecution.Load().Process.Pid) }

// workerRow returns the worker's row in the latest fleet document, or an empty row.
func (s *site) workerRow(id string) fleet.Worker {
	for _, worker := range s.observer.fleet().Workers {
		if worker.ID == id {
			return worker
		}
	}
	return fleet.Worker{}
}

func (s *site) waitState(worker string, states ...fleet.State) {
	s.t.Helper()
	s.eventually(waveLimit, fmt.Sprintf("worker %s is %v", worker, states), func() bool {
		return slices.Contains(states, s.workerRow(worker).State)
	})
}

// operatorCall sends a change to the controllers in turn until one accepts it.
// After readyLimit it returns the last error.
func (s *site) operatorCall(method, path string, body, result any) error {
	var err error
	waitFor(readyLimit, func() bool {
		for _, m := range s.controllers {
			if m.responsive() {
				if err = s.call(method, m.public+path, body, result); err == nil {
					return true
				}
			}
		}
		time.Sleep(observeInterval)
		return false
	})
	return err
}

// startOperation starts an operation. It retries until budgets and leases allow it.
func (s *site) startOperation(kind fleet.OperationKind, worker, toPool string) {
	s.t.Helper()
	request := controller.OperationRequest{Kind: string(kind), Worker: worker, ToPool: toPool, Reason: "test"}
	if err := s.operatorCall(http.MethodPost, "/v1/operations", request, nil); err != nil {
		s.t.Fatal(err)
	}
}

func (s *site) returnWorker(worker string) {
	s.t.Helper()
	if err := s.operatorCall(http.MethodPost, "/v1/operations", controller.OperationRequest{Kind: "return", Worker: worker}, nil); err != nil {
		s.t.Fatal(err)
	}
}

func (s *site) changeWave(action string) {
	s.t.Helper()
	if err := s.operatorCall(http.MethodPost, "/v1/wave", controller.WaveRequest{Action: action, Reason: "test"}, nil); err != nil {
		s.t.Fatal(err)
	}
}

func (s *site) waveStatus() fleet.WaveStatus {
	if wave := s.observer.fleet().Wave; wave != nil {
		return wave.Status
	}
	return ""
}

// applyConfig makes one attempt to replace the configuration through a controller.
// It returns the accepted revision, or a *statusError if the change is refused.
func (s *site) applyConfig(m *member, base policy.Document, comment string) (policy.Revision, error) {
	base.Comment = comment
	data, err := policy.Encode(&base)
	if err != nil {
		return 0, err
	}
	request, err := http.NewRequest(http.MethodPut, "http://"+m.public+"/v1/config", bytes.NewReader(data))
	if err != nil {
		return 0, err
	}
	request.Header.Set(controller.HeaderOperator, comment)
	request.Header.Set("If-Match", fmt.Sprint(base.Revision))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(response.Body) // used for the error message only
		return 0, &statusError{response.StatusCode, string(text)}
	}
	var accepted controller.ConfigAccepted
	if err := json.NewDecoder(response.Body).Decode(&accepted); err != nil {
		return 0, err
	}
	s.observer.post(invariant.ConfigAccepted{Revision: accepted.Revision})
	return accepted.Revision, nil
}

type statusError struct {
	status int
	text   string
}

func (e *statusError) Error() string { return fmt.Sprintf("status %d: %s", e.status, e.text) }

func statusOf(err error) int {
	var status *statusError
	if errors.As(err, &status) {
		return status.status
	}
	return 0
}

func (s *site) config(m *member) policy.Document {
	var document policy.Document
	s.t.Helper()
	s.eventually(readyLimit, m.name+" returns its configuration", func() bool { return s.get(m.public+"/v1/config", &document) == nil })
	return document
}

// waitInForce waits until the configuration is in force in every process that is
// not suspected.
func (s *site) waitInForce(m *member, revision policy.Revision) {
	s.t.Helper()
	s.eventually(readyLimit, fmt.Sprintf("configuration %d is in force in every live process", revision), func() bool {
		var report controller.InForceReport
		if s.get(fmt.Sprintf("%s/v1/config/in-force/%d", m.public, revision), &report) != nil {
			return false
		}
		return !slices.ContainsFunc(report.Lagging, func(l controller.LaggingReport) bool { return !l.Suspected })
	})
}

// submitJob makes one call and reports its outcome to the invariant checker.
func (s *site) submitJob(g *member, job gateway.JobRequest) gateway.JobResponse {
	body := s.jobCall(http.MethodPost, g.public+"/v1/jobs", job)
	kind, known := outcomeKinds[body.Outcome]
	if !known {
		kind = outcome.Unknown
	}
	// An accepted job may still be pending when the test ends, so only a refusal
	// counts as a final outcome.
	if kind == outcome.Completed {
		kind = outcome.Unknown
	}
	s.observer.post(invariant.Answered{
		Request: job.ID, Key: jobKey(job.ID), Idempotent: job.Idempotent, Outcome: outcome.Outcome{Kind: kind, Reason: outcome.Reason(body.Reason)},
	})
	return body
}

func (s *site) getJob(g *member, id string) gateway.JobResponse {
	return s.jobCall(http.MethodGet, g.public+"/v1/jobs/"+id, nil)
}

func (s *site) cancelJob(g *member, id string) gateway.JobResponse {
	return s.jobCall(http.MethodDelete, g.public+"/v1/jobs/"+id, nil)
}

func (s *site) jobCall(method, address string, body any) gateway.JobResponse {
	data, err := json.Marshal(body)
	if err != nil {
		s.t.Fatal(err)
	}
	request, err := http.NewRequest(method, "http://"+address, bytes.NewReader(data))
	if err != nil {
		s.t.Fatal(err)
	}
	request.Header.Set("Waxwing-Tenant", "tenant-1")
	client := &http.Client{Timeout: callLimit}
	response, err := client.Do(request)
	if err != nil {
		return gateway.JobResponse{}
	}
	defer response.Body.Close()
	var result gateway.JobResponse
	_ = json.NewDecoder(response.Body).Decode(&result) // a body that cannot be decoded leaves the outcome unknown
	return result
}
