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

// Status classifies the answer to an operator's request.
type Status uint8

// The statuses of an answer.
const (
	StatusDone        Status = iota + 1
	StatusInvalid            // malformed or out of range; nothing was applied
	StatusNotFound           // no such worker, pool or job
	StatusConflict           // another change came first, or the state does not allow it
	StatusNotActive          // another controller is active
	StatusUnavailable        // provably not applied: the store did not take it
	StatusUnknown            // may have been applied
)

// Request is an operator's request. Reply must have room for one response.
type Request struct {
	Operator string
	Command  Command
	// PreferActive asks for the view of the active controller, which alone knows
	// the reasons of waits. The request is answered here while there is none.
	PreferActive bool
	Reply        chan<- Response
}

// Response answers a request.
type Response struct {
	Status Status
	Reason string
	Detail string
	// ActiveController is the operator address of the active controller, for StatusNotActive.
	ActiveController string
	Value            any
}

// Command is what an operator asks for.
type Command interface {
	execute(*State, engine.Tick, *Request)
}

type (
	// StartOperation starts an operation on a worker. IfRevision, if not zero, is the
	// fleet revision that the operator has seen.
	StartOperation struct {
		Kind       fleet.OperationKind
		Worker     string
		ToPool     string
		Reason     string
		IfRevision uint64
	}
	// ReturnWorker brings a worker back to service or aborts its operation.
	ReturnWorker struct{ Worker string }
	// ControlWave starts, pauses, resumes or aborts the wave.
	ControlWave struct {
		Action WaveAction
		Pools  []string
		Reason string
	}
)

// WaveAction is an operator's request about the wave.
type WaveAction string

// The actions on a wave.
const (
	WaveStart  WaveAction = "start"
	WavePause  WaveAction = "pause"
	WaveResume WaveAction = "resume"
	WaveAbort  WaveAction = "abort"
)

// request is a change of the fleet that waits until its revision is durable.
type request struct {
	reply    chan<- Response
	revision uint64
	deadline time.Time
	value    any
}

// executeRequests carries out the requests that arrived since the last tick.
func executeRequests(s *State, tick engine.Tick) {
	for i := range s.arrived {
		request := &s.arrived[i]
		if request.PreferActive && s.otherActive() {
			s.answer(request, s.notActive())
			continue
		}
		request.Command.execute(s, tick, request)
	}
	clear(s.arrived)
	s.arrived = s.arrived[:0]
}

func (s *State) answer(r *Request, response Response) {
	s.Out.Responses.Add(SendResponse{Reply: r.Reply, Response: response})
}

// otherActive reports whether another live controller holds the lease.
func (s *State) otherActive() bool {
	leader := s.View.Leader
	if s.Active() || leader.Revision == 0 || leader.Identity.Incarnation == s.View.Self.Incarnation {
		return false
	}
	id, _ := s.Peers.Find(leader.Identity.Incarnation)
	return s.Peers.Alive(id)
}

// notActive is the answer of a controller that does not control the fleet.
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

// awaitCommit answers the request once the next write of the fleet is durable.
func (s *State) awaitCommit(r *Request, tick engine.Tick, value any) {
	s.changed()
	s.requests.Insert(request{
		reply: r.Reply, revision: s.Fleet.NextRevision(), deadline: tick.Now.Add(requestTimeout), value: value,
	})
}

// answerRequests answers the requests whose change is durable. One that waits
// too long is answered as unknown, since a later write may still carry it.
func answerRequests(s *State, tick engine.Tick) {
	for id, row := range s.requests.All() {
		switch {
		case s.Fleet != nil && s.Fleet.Revision >= row.revision:
			s.Out.Responses.Add(SendResponse{Reply: row.reply, Response: Response{Status: StatusDone, Value: row.value}})
		case tick.Now.After(row.deadline):
			s.Out.Responses.Add(SendResponse{Reply: row.reply, Response: Response{Status: StatusUnknown, Reason: "store-timeout"}})
		default:
			continue
		}
		s.requests.Delete(id)
	}
}

// failRequests answers all waiting requests when the controller is no longer
// active: their change may or may not be in the document.
func (s *State) failRequests(_ engine.Tick) {
	for id, row := range s.requests.All() {
		s.Out.Responses.Add(SendResponse{Reply: row.reply, Response: Response{Status: StatusUnknown, Reason: "controller-replaced"}})
		s.requests.Delete(id)
	}
}

func (c StartOperation) execute(s *State, tick engine.Tick, r *Request) {
	if !s.Active() {
		s.answer(r, s.notActive())
		return
	}
	if c.IfRevision != 0 && c.IfRevision != s.Fleet.Revision {
		s.answer(r, Response{
			Status: StatusConflict, Reason: "fleet-changed",
			Detail: fmt.Sprintf("the fleet is at revision %d, the request is based on %d", s.Fleet.Revision, c.IfRevision),
		})
		return
	}
	if refusal, refused := s.checkDisrupt(c, tick); refused {
		s.answer(r, refusal)
		return
	}
	start := fleet.OperationSpec{
		OperationID: s.newOperationID(), Kind: c.Kind, Worker: c.Worker, ToPool: c.ToPool, Operator: r.Operator, Reason: c.Reason,
	}
	if err := s.Fleet.StartOperation(start, tick.Now); err != nil {
		s.answer(r, s.refusal(err))
		return
	}
	s.View.Log(events.OperationStarted, events.F("worker", c.Worker), events.F("operation", start.OperationID),
		events.F("kind", c.Kind), events.F("operator", r.Operator))
	s.awaitCommit(r, tick, OperationStarted{Operation: start.OperationID, Worker: c.Worker})
}

// OperationStarted is the value of the answer to StartOperation.
type OperationStarted struct {
	Operation string `json:"operation"`
	Worker    string `json:"worker"`
}

// checkDisrupt reports a request that the budgets do not allow now.
func (s *State) checkDisrupt(c StartOperation, tick engine.Tick) (Response, bool) {
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
		return Response{Status: StatusUnavailable, Reason: string(fleet.ReasonDisruptionNotAllowed), Detail: s.whyNotAllowed(tick)}, true
	}
	if !row.Available() {
		return Response{}, false // StartOperation names the state
	}
	if c.Kind == fleet.OperationMaintain && !s.rebootFitsPowerCap() {
		return Response{Status: StatusConflict, Reason: "power-cap", Detail: "the draw of one more reboot would exceed the site's power cap"}, true
	}
	book := budget.Assess(s.Fleet, s.View.Policy, nil)
	shortage := book.CheckDisruption(row.Pool, row.AvailabilityZone)
	if c.Kind == fleet.OperationMove {
		shortage = book.CheckMove(row.Pool, c.ToPool, row.AvailabilityZone)
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

func (s *State) whyNotAllowed(tick engine.Tick) string {
	switch {
	case tick.Now.Before(s.Leadership.quietUntil):
		return "the controller became active a moment ago"
	case !s.storeReachable(tick.Now):
		return "the store is unreachable"
	case !s.View.PlatformReachable():
		return "the platform is unreachable"
	default:
		return "the controller's lease is about to end"
	}
}

// refusal turns a typed error of the fleet into an answer. A busy worker names
// the other change.
func (s *State) refusal(err error) Response {
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
		s.answer(r, s.notActive())
		return
	}
	start := fleet.OperationSpec{OperationID: s.newOperationID(), Worker: c.Worker, Operator: r.Operator}
	if err := s.Fleet.ReturnWorker(start, tick.Now); err != nil {
		s.answer(r, s.refusal(err))
		return
	}
	s.awaitCommit(r, tick, OperationStarted{Operation: start.OperationID, Worker: c.Worker})
}

func noConfiguration() Response {
	return Response{Status: StatusUnavailable, Reason: "no-configuration", Detail: "the site has no configuration yet; apply one first"}
}

func (c ControlWave) execute(s *State, tick engine.Tick, r *Request) {
	if !s.Active() {
		s.answer(r, s.notActive())
		return
	}
	if s.View.Policy == nil {
		s.answer(r, noConfiguration())
		return
	}
	for _, pool := range c.Pools {
		if _, ok := s.View.Policy.Pool(pool); !ok {
			s.answer(r, unknownPool(pool))
			return
		}
	}
	if err := s.controlWave(c, r.Operator, tick); err != nil {
		response := s.refusal(err)
		var stateError *wave.StateError
		if errors.As(err, &stateError) {
			response.Reason = "wave-" + string(stateError.Status)
		}
		s.answer(r, response)
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

// newOperationID returns an ID that is never used again: the epoch belongs to
// this controller alone.
func (s *State) newOperationID() string {
	s.nextOperation++
	return fmt.Sprintf("%d-%d", s.Fleet.Epoch, s.nextOperation)
}
