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

const observeInterval = 200 * time.Millisecond

// observer reads the state of a site without passing through the proxies and feeds
// it to the invariant checker.
type observer struct {
	site       *site
	loop       *engine.Loop[invariant.State, invariant.Observation]
	ctx        context.Context
	goroutines sync.WaitGroup

	mu             sync.Mutex
	violations     []invariant.Violation
	fleetDocument  *fleet.Document
	unplannedStops []standin.Selector
	operationsLock sync.Mutex // serializes readOperations
	operationsRead int        // number of operations read so far
}

func startObserver(s *site) *observer {
	ctx, cancel := context.WithCancel(context.Background())
	o := &observer{site: s, ctx: ctx}
	program := invariant.Program()
	program.Flush = func(state *invariant.State, _ engine.Tick) { state.Violations.Drain(o.recordViolation) }
	started := time.Now()
	program.NextDeadline = func(*invariant.State) time.Time {
		return time.Now().Add(observeInterval - time.Since(started)%observeInterval)
	}
	o.loop = engine.NewLoop(program, &invariant.State{}, 4096)
	o.goroutines.Go(func() { o.loop.Run(ctx) })
	o.goroutines.Go(func() { o.watch(ctx) })
	o.goroutines.Go(func() { o.poll(ctx) })
	s.t.Cleanup(func() {
		cancel()
		o.goroutines.Wait()
	})
	return o
}

func (o *observer) recordViolation(violation invariant.Violation) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.violations = append(o.violations, violation)
}

func (o *observer) post(observation invariant.Observation) {
	_ = o.loop.Post(o.ctx, observation) // fails only after the test has ended
}

// watch posts every change of the fleet document and the configuration in the store.
func (o *observer) watch(ctx context.Context) {
	for ctx.Err() == nil {
		changes, err := o.site.store.Watch(ctx, o.site.documentKeys.SharedPrefix())
		if err != nil {
			_ = store.Sleep(ctx, observeInterval) // the loop watches again, or ends with the context
			continue
		}
		for change := range changes {
			o.postDocument(change.Value)
		}
	}
}

func (o *observer) postDocument(value store.Value) {
	switch value.Key {
	case o.site.documentKeys.Fleet():
		document, err := node.DecodeFleet(value.Data)
		if err != nil {
			return
		}
		o.mu.Lock()
		o.fleetDocument = document
		o.mu.Unlock()
		o.post(invariant.FleetStored{Document: document})
	case o.site.documentKeys.Config():
		if document, err := policy.Decode(value.Data); err == nil {
			o.post(invariant.ConfigStored{Document: document})
		}
	}
}

// fleet returns the latest fleet document, or an empty one before the first. It
// never returns nil.
func (o *observer) fleet() *fleet.Document {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.fleetDocument == nil {
		return &fleet.Document{}
	}
	return o.fleetDocument
}

func (o *observer) poll(ctx context.Context) {
	for store.Sleep(ctx, observeInterval) == nil {
		o.readTargets()
		o.readOperations()
		for _, m := range o.site.controllers {
			if m.responsive() {
				o.readStatus(m)
			}
		}
	}
}

func (o *observer) readTargets() {
	var statuses []target.Status
	if o.site.get(o.site.address(targetAdminPort)+target.PathStatus, &statuses) != nil {
		return
	}
	for i := range statuses {
		counted := invariant.TargetCounted{Worker: statuses[i].Worker, Received: statuses[i].Executed + statuses[i].Refused, Cut: statuses[i].Aborted}
		if o.cutsExpected(counted.Worker) {
			counted.Cut = 0
		}
		o.post(counted)
	}
}

// expectCuts records that a fault stops the selected workers. Requests that such an
// unplanned stop cuts off violate no invariant.
func (o *observer) expectCuts(selector standin.Selector) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.unplannedStops = append(o.unplannedStops, selector)
}

func (o *observer) cutsExpected(worker string) bool {
	document := o.fleet()
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, selector := range o.unplannedStops {
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
	o.operationsLock.Lock()
	defer o.operationsLock.Unlock()
	var operations []standin.ExecutedOperation
	if o.site.get(o.site.address(platformPort)+standin.PathOperations, &operations) != nil {
		return
	}
	for _, operation := range operations[min(o.operationsRead, len(operations)):] {
		o.post(invariant.OperationExecuted{Worker: operation.Worker, Kind: operation.Kind, Operation: operation.Operation})
	}
	o.operationsRead = max(o.operationsRead, len(operations))
}

func (o *observer) readStatus(m *member) {
	var report controller.StatusReport
	if o.site.get(m.public+"/v1/status", &report) != nil {
		return
	}
	reporter := m.name + " " + m.incarnation()
	o.post(invariant.ConfigReported{Reporter: reporter, Process: reporter, Revision: report.ConfigRevision})
	for _, peer := range report.Peers {
		o.post(invariant.ConfigReported{
			Reporter: reporter, Process: peer.Role + " " + peer.Incarnation, Revision: policy.Revision(peer.ConfigRevision), Suspected: peer.Suspected,
		})
	}
}

// check compares all executions with their outcomes and fails the test for each
// violation. All callers must have stopped before.
func (o *observer) check(jobs []string) {
	s := o.site
	s.t.Helper()
	var counted target.Executions
	var starts map[string]int
	s.eventually(readyLimit, "the stand-ins report their executions", func() bool {
		return s.get(s.address(targetAdminPort)+target.PathExecutions, &counted) == nil && s.get(s.address(platformPort)+standin.PathExecutions, &starts) == nil
	})
	for _, job := range jobs {
		counted.Keys[jobKey(job)] = starts[job]
	}
	o.readOperations()
	time.Sleep(2 * observeInterval) // the watch of the store may lag behind the platform
	o.post(invariant.ExecutionsCounted{Requests: counted.Requests, Keys: counted.Keys})
	time.Sleep(2 * observeInterval)
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, violation := range o.violations {
		s.t.Errorf("invariant %d violated: %v", violation.Invariant(), violation)
	}
	if counted.Truncated || len(counted.Requests) == 0 {
		s.t.Errorf("the targets report %d requests, truncated: %v; want at least one and a complete list", len(counted.Requests), counted.Truncated)
	}
}

// jobKey returns the key under which the checker tracks a job. Its prefix keeps it
// apart from the idempotency keys of requests.
func jobKey(job string) string { return "job " + job }
