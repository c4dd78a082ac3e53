package test

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/waxwingbridge/waxwingbridge/controller"
	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/fleet"
	"github.com/waxwingbridge/waxwingbridge/invariant"
	"github.com/waxwingbridge/waxwingbridge/node"
	"github.com/waxwingbridge/waxwingbridge/policy"
	standin "github.com/waxwingbridge/waxwingbridge/standin/platform"
	"github.com/waxwingbridge/waxwingbridge/standin/target"
	"github.com/waxwingbridge/waxwingbridge/store"
)

const observePause = 200 * time.Millisecond

// observer feeds the invariant checker with what it sees of a site, past all
// proxies.
type observer struct {
	site *site
	loop *engine.Loop[invariant.State, invariant.Observation]
	ctx  context.Context
	work sync.WaitGroup

	mu         sync.Mutex
	violations []invariant.Violation
	document   *fleet.Document
	unplanned  []standin.Selector
	reading    sync.Mutex // serializes readOperations
	executed   int        // operations read so far
}

func startObserver(s *site) *observer {
	ctx, cancel := context.WithCancel(context.Background())
	o := &observer{site: s, ctx: ctx}
	program := invariant.Program()
	program.Flush = func(state *invariant.State, _ engine.Tick) { state.Violations.Drain(o.note) }
	started := time.Now()
	program.NextDeadline = func(*invariant.State) time.Time {
		return time.Now().Add(observePause - time.Since(started)%observePause)
	}
	o.loop = engine.NewLoop(program, &invariant.State{}, 4096)
	o.work.Go(func() { o.loop.Run(ctx) })
	o.work.Go(func() { o.watch(ctx) })
	o.work.Go(func() { o.poll(ctx) })
	s.t.Cleanup(func() {
		cancel()
		o.work.Wait()
	})
	return o
}

func (o *observer) note(violation invariant.Violation) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.violations = append(o.violations, violation)
}

func (o *observer) see(observation invariant.Observation) {
	_ = o.loop.Post(o.ctx, observation) // fails only at the end of the test
}

// watch follows the documents of the store.
func (o *observer) watch(ctx context.Context) {
	for ctx.Err() == nil {
		changes, err := o.site.store.Watch(ctx, o.site.documentKeys.SharedPrefix())
		if err != nil {
			_ = store.Sleep(ctx, observePause) // watches again, or ends with the context
			continue
		}
		for change := range changes {
			o.seeValue(change.Value)
		}
	}
}

func (o *observer) seeValue(value store.Value) {
	switch value.Key {
	case o.site.documentKeys.Fleet():
		document, err := node.DecodeFleet(value.Data)
		if err != nil {
			return
		}
		o.mu.Lock()
		o.document = document
		o.mu.Unlock()
		o.see(invariant.FleetStored{Document: document})
	case o.site.documentKeys.Config():
		if document, err := policy.Decode(value.Data); err == nil {
			o.see(invariant.ConfigStored{Document: document})
		}
	}
}

// fleet returns the last fleet document seen, never nil.
func (o *observer) fleet() *fleet.Document {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.document == nil {
		return &fleet.Document{}
	}
	return o.document
}

func (o *observer) poll(ctx context.Context) {
	for store.Sleep(ctx, observePause) == nil {
		o.countTargets()
		o.readOperations()
		for _, m := range o.site.controllers {
			if m.answers() {
				o.readStatus(m)
			}
		}
	}
}

func (o *observer) countTargets() {
	var statuses []target.Status
	if o.site.get(o.site.at(targetAdminPort)+target.PathStatus, &statuses) != nil {
		return
	}
	for i := range statuses {
		counted := invariant.TargetCounted{Worker: statuses[i].Worker, Received: statuses[i].Executed + statuses[i].Refused, Cut: statuses[i].Aborted}
		if o.mayCut(counted.Worker) {
			counted.Cut = 0
		}
		o.see(counted)
	}
}

// expectCuts notes that a fault stops the workers, which is no planned stop.
func (o *observer) expectCuts(selector standin.Selector) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.unplanned = append(o.unplanned, selector)
}

func (o *observer) mayCut(worker string) bool {
	document := o.fleet()
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, selector := range o.unplanned {
		if slices.Contains(selector.Workers, worker) {
			return true
		}
		for i := range document.Workers {
			row := &document.Workers[i]
			if row.ID == worker && (row.AvailabilityZone == selector.AvailabilityZone || row.Rack == selector.Rack) {
				return true
			}
		}
	}
	return false
}

func (o *observer) readOperations() {
	o.reading.Lock()
	defer o.reading.Unlock()
	var operations []standin.ExecutedOperation
	if o.site.get(o.site.at(platformPort)+standin.PathOperations, &operations) != nil {
		return
	}
	for _, operation := range operations[min(o.executed, len(operations)):] {
		o.see(invariant.OperationExecuted{Worker: operation.Worker, Kind: operation.Kind, Operation: operation.Operation})
	}
	o.executed = max(o.executed, len(operations))
}

func (o *observer) readStatus(m *member) {
	var report controller.StatusReport
	if o.site.get(m.public+"/v1/status", &report) != nil {
		return
	}
	reporter := m.name + " " + m.incarnation()
	o.see(invariant.ConfigReported{Reporter: reporter, Process: reporter, Revision: report.ConfigRevision})
	for _, peer := range report.Peers {
		o.see(invariant.ConfigReported{
			Reporter: reporter, Process: peer.Role + " " + peer.Incarnation, Revision: policy.Revision(peer.ConfigRevision), Suspected: peer.Suspected,
		})
	}
}

// check counts the executions, after which no caller may be active any more, and
// fails the test for each violation.
func (o *observer) check(jobs []string) {
	s := o.site
	s.t.Helper()
	var counted target.Executions
	var starts map[string]int
	s.eventually(readyLimit, "the stand-ins count", func() bool {
		return s.get(s.at(targetAdminPort)+target.PathExecutions, &counted) == nil && s.get(s.at(platformPort)+standin.PathExecutions, &starts) == nil
	})
	for _, job := range jobs {
		counted.Keys[jobKey(job)] = starts[job]
	}
	o.readOperations()
	time.Sleep(2 * observePause) // the store's watch may lag behind the platform
	o.see(invariant.ExecutionsCounted{Requests: counted.Requests, Keys: counted.Keys})
	time.Sleep(2 * observePause)
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, violation := range o.violations {
		s.t.Errorf("invariant %d is broken: %v", violation.Invariant(), violation)
	}
	if counted.Truncated || len(counted.Requests) == 0 {
		s.t.Errorf("the targets counted %d requests, truncated: %v", len(counted.Requests), counted.Truncated)
	}
}

// jobKey names a job among the keys of requests.
func jobKey(job string) string { return "job " + job }
