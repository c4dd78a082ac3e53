package controller

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/waxwingbridge/waxwingbridge/budget"
	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/events"
	"github.com/waxwingbridge/waxwingbridge/fleet"
	"github.com/waxwingbridge/waxwingbridge/wave"
)

// Status classifies the response to an operator's request.
type Status uint8

// Statuses of a response.
const (
	StatusDone        Status = iota + 1
	StatusInvalid            // malformed or out of range; nothing was applied
	StatusNotFound           // no such worker, pool or job
	StatusConflict           // another change was applied first, or the current state does not allow the change
	StatusNotActive          // another controller is active
	StatusUnavailable        // not applied: not possible at present, e.g. while the store is unreachable
	StatusUnknown            // may have been applied
)

// Request is an operator's request. Reply must have buffer space for one response.
type Request struct {
	Operator string
	Command  Command
	// PreferActive redirects the request to the active controller, because no other
	// knows why operations wait. This controller answers if none is active.
	PreferActive bool
	Reply        chan<- Response
}

// Response is the result of a request.
type Response struct {
	Status Status
	Reason string
	Detail string
	// ActiveController is the operator address of the active controller, for StatusNotActive.
	ActiveController string
	Value            any
}

// Command is an action or query that an operator requests.
type Command interface {
	execute(*State, engine.Tick, *Request)
}

type (
	// StartOperation starts an operation on a worker. IfRevision, if not zero, is the
	// fleet revision that the request is based on; a mismatch is a conflict.
	StartOperation struct {
		Kind       fleet.OperationKind
		Worker     string
		ToPool     string
		Reason     string
		IfRevision uint64
	}
	// ReturnWorker returns a worker to service or aborts its operation.
	ReturnWorker struct{ Worker string }
	// ControlWave starts, pauses, resumes or aborts the wave.
	ControlWave struct {
		Action WaveAction
		Pools  []string
		Reason string
	}
)

// WaveAction is an action on the wave that an operator can request.
type WaveAction string

// Actions on the wave.
const (
	WaveStart  WaveAction = "start"
	WavePause  WaveAction = "pause"
	WaveResume WaveAction = "resume"
	WaveAbort  WaveAction = "abort"
)

// pendingRequest is a request whose change of the fleet is not durable yet.
type pendingRequest struct {
	reply    chan<- Response
	revision uint64
	deadline time.Time
	value    any
}

// executeRequests executes the requests that arrived since the last tick.
func executeRequests(s *State, tick engine.Tick) {
	for i := range s.newRequests {
		request := &s.newRequests[i]
		if request.PreferActive && s.otherControllerActive() {
			s.respond(request, s.notActive())
			continue
		}
		request.Command.execute(s, tick, request)
	}
	clear(s.newRequests)
	s.newRequests = s.newRequests[:0]
}

func (s *State) respond(r *Request, response Response) {
	s.Out.Responses.Add(SendResponse{Reply: r.Reply, Response: response})
}

// otherControllerActive reports whether another live controller holds the leader key.
func (s *State) otherControllerActive() bool {
	leader := s.View.Leader
	if s.Active() || leader.Revision == 0 || leader.Identity.Incarnation == s.View.Self.Incarnation {
		return false
	}
	id, _ := s.Peers.Find(leader.Identity.Incarnation)
	return s.Peers.Alive(id)
}

// notActive is the response of a controller that is not the active one.
func (s *State) notActive() Response {
	response := Response{Status: StatusNotActive, Reason: "not-active", Detail: "this controller is " + s.Leadership.phase.String()}
	if !s.storeReachable(s.lastTick) {
		response.Detail += ", and the store is unreachable; nothing was changed"
	}
	if leader := s.View.Leader; leader.Revision != 0 && leader.Identity.Incarnation != s.View.Self.Incarnation {
		response.ActiveController = leader.Identity.PublicAddress
	}
	return response
}

// awaitCommit defers the response until the next fleet revision is durable.
func (s *State) awaitCommit(r *Request, tick engine.Tick, value any) {
	s.markFleetChanged()
	s.pendingRequests.Insert(pendingRequest{
		reply: r.Reply, revision: s.Fleet.NextRevision(), deadline: tick.Now.Add(requestTimeout), value: value,
	})
}

// answerRequests responds to the requests whose change is durable. After
// requestTimeout the result is unknown, since a later write may still contain the
// change.
func answerRequests(s *State, tick engine.Tick) {
	for id, row := range s.pendingRequests.All() {
		switch {
		case s.Fleet != nil && s.Fleet.Revision >= row.revision:
			s.Out.Responses.Add(SendResponse{Reply: row.reply, Response: Response{Status: StatusDone, Value: row.value}})
		case tick.Now.After(row.deadline):
			s.Out.Responses.Add(SendResponse{Reply: row.reply, Response: Response{Status: StatusUnknown, Reason: "store-timeout"}})
		default:
			continue
		}
		s.pendingRequests.Delete(id)
	}
}

// failRequests responds to all pending requests when the controller is no longer
// active. The result is unknown: the stored document may or may not contain the
// change.
func (s *State) failRequests(_ engine.Tick) {
	for id, row := range s.pendingRequests.All() {
		s.Out.Responses.Add(SendResponse{Reply: row.reply, Response: Response{Status: StatusUnknown, Reason: "controller-replaced"}})
		s.pendingRequests.Delete(id)
	}
}

func (c StartOperation) execute(s *State, tick engine.Tick, r *Request) {
	if !s.Active() {
		s.respond(r, s.notActive())
		return
	}
	if c.IfRevision != 0 && c.IfRevision != s.Fleet.Revision {
		s.respond(r, Response{
			Status: StatusConflict, Reason: "fleet-changed",
			Detail: fmt.Sprintf("the fleet is at revision %d, the request is based on %d", s.Fleet.Revision, c.IfRevision),
		})
		return
	}
	if refusal, refused := s.checkDisruption(c, tick); refused {
		s.respond(r, refusal)
		return
	}
	spec := fleet.OperationSpec{
		OperationID: s.newOperationID(), Kind: c.Kind, Worker: c.Worker, ToPool: c.ToPool, Operator: r.Operator, Reason: c.Reason,
	}
	if err := s.Fleet.StartOperation(spec, tick.Now); err != nil {
		s.respond(r, s.errorResponse(err))
		return
	}
	s.View.Log(events.OperationStarted, events.F("worker", c.Worker), events.F("operation", spec.OperationID),
		events.F("kind", c.Kind), events.F("operator", r.Operator))
	s.awaitCommit(r, tick, OperationStarted{Operation: spec.OperationID, Worker: c.Worker})
}

// OperationStarted is the value of the response to StartOperation and ReturnWorker.
type OperationStarted struct {
	Operation string `json:"operation"`
	Worker    string `json:"worker"`
}

// checkDisruption checks an operation against budgets, power cap and the state of
// store and platform. It returns true with the response if the operation is refused.
func (s *State) checkDisruption(c StartOperation, tick engine.Tick) (Response, bool) {
	row := s.Fleet.Worker(c.Worker)
	if row == nil {
		return unknownWorker(c.Worker), true
	}
	if s.View.Policy == nil {
		return noConfiguration(), true
	}
	if _, ok := s.View.Policy.Pool(c.ToPool); !ok && c.Kind == fleet.OperationMove {
		return unknownPool(c.ToPool), true
	}
	if !s.disruptionAllowed(tick.Now) {
		return Response{Status: StatusUnavailable, Reason: string(fleet.ReasonDisruptionNotAllowed), Detail: s.disruptionBlocker(tick)}, true
	}
	if !row.Available() {
		return Response{}, false // Tables.StartOperation reports the state
	}
	if c.Kind == fleet.OperationMaintain && !s.rebootFitsPowerCap() {
		return Response{Status: StatusConflict, Reason: "power-cap", Detail: "the draw of one more reboot would exceed the site's power cap"}, true
	}
	availability := budget.Assess(s.Fleet, s.View.Policy, nil)
	shortage := availability.CheckDisruption(row.Pool, row.AvailabilityZone)
	if c.Kind == fleet.OperationMove {
		shortage = availability.CheckMove(row.Pool, c.ToPool, row.AvailabilityZone)
	}
	if shortage == "" {
		return Response{}, false
	}
	return Response{
		Status: StatusConflict, Reason: string(shortage),
		Detail: fmt.Sprintf("the availability budget of pool %q does not allow it now", row.Pool),
	}, true
}

func unknownPool(pool string) Response {
	return Response{Status: StatusNotFound, Reason: string(fleet.ReasonUnknownPool), Detail: fmt.Sprintf("no pool %q", pool)}
}

func (s *State) disruptionBlocker(tick engine.Tick) string {
	switch {
	case tick.Now.Before(s.Leadership.callsAllowedFrom):
		return "the controller became active a moment ago"
	case !s.storeReachable(tick.Now):
		return "the store is unreachable"
	case !s.View.PlatformReachable():
		return "the platform is unreachable"
	default:
		return "the controller's lease is about to end"
	}
}

// errorResponse converts an error of the fleet tables or the wave into a response.
// If the worker has an operation, the detail names it.
func (s *State) errorResponse(err error) Response {
	var requestError *fleet.RequestError
	if !errors.As(err, &requestError) {
		return Response{Status: StatusConflict, Reason: "refused", Detail: err.Error()}
	}
	response := Response{Status: StatusConflict, Reason: string(requestError.Reason), Detail: err.Error()}
	if requestError.Reason == fleet.ReasonUnknownWorker || requestError.Reason == fleet.ReasonUnknownPool {
		response.Status = StatusNotFound
	}
	if row := s.Fleet.Worker(requestError.Worker); row != nil {
		if operation := s.Fleet.Operation(row); operation != nil {
			response.Detail = fmt.Sprintf("%s; operation %s (%s) by %q is in progress", err, operation.ID, operation.Kind, initiator(&operation.Operation))
		}
	}
	return response
}

func initiator(operation *fleet.Operation) string {
	if operation.Wave != "" {
		return "wave " + operation.Wave
	}
	return operation.Operator
}

func (c ReturnWorker) execute(s *State, tick engine.Tick, r *Request) {
	if !s.Active() {
		s.respond(r, s.notActive())
		return
	}
	spec := fleet.OperationSpec{OperationID: s.newOperationID(), Worker: c.Worker, Operator: r.Operator}
	if err := s.Fleet.ReturnWorker(spec, tick.Now); err != nil {
		s.respond(r, s.errorResponse(err))
		return
	}
	s.awaitCommit(r, tick, OperationStarted{Operation: spec.OperationID, Worker: c.Worker})
}

func noConfiguration() Response {
	return Response{Status: StatusUnavailable, Reason: "no-configuration", Detail: "the site has no configuration yet; apply one first"}
}

func (c ControlWave) execute(s *State, tick engine.Tick, r *Request) {
	if !s.Active() {
		s.respond(r, s.notActive())
		return
	}
	if s.View.Policy == nil {
		s.respond(r, noConfiguration())
		return
	}
	for _, pool := range c.Pools {
		if _, ok := s.View.Policy.Pool(pool); !ok {
			s.respond(r, unknownPool(pool))
			return
		}
	}
	if err := s.controlWave(c, r.Operator, tick); err != nil {
		response := s.errorResponse(err)
		var stateError *wave.StateError
		if errors.As(err, &stateError) {
			response.Reason = "wave-" + string(stateError.Status)
		}
		s.respond(r, response)
		return
	}
	event := events.WaveChanged
	if c.Action == WaveStart {
		event = events.WaveStarted
	}
	s.View.Log(event, events.F("action", c.Action), events.F("wave", s.Fleet.Wave.ID), events.F("operator", r.Operator))
	s.awaitCommit(r, tick, *s.Fleet.Wave)
}

func (s *State) controlWave(c ControlWave, operator string, tick engine.Tick) error {
	switch c.Action {
	case WaveStart:
		return wave.Start(s.Fleet, s.View.Policy, wave.Spec{ID: s.newOperationID(), Pools: c.Pools, Operator: operator}, tick.Now)
	case WavePause:
		return wave.Pause(s.Fleet, c.Reason)
	case WaveResume:
		return wave.Resume(s.Fleet, s.View.Policy)
	case WaveAbort:
		return wave.Abort(s.Fleet, c.Reason)
	default:
		return errors.Newf("unknown action %q; accepted: start, pause, resume, abort", c.Action)
	}
}

// newOperationID returns an ID that is unique over all controllers, because no other
// controller uses this epoch.
func (s *State) newOperationID() string {
	s.lastOperationNumber++
	return fmt.Sprintf("%d-%d", s.Fleet.Epoch, s.lastOperationNumber)
}
