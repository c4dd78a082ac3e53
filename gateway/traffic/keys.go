package traffic

import (
	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/idempotency"
	"github.com/waxwingbridge/waxwingbridge/outcome"
	"github.com/waxwingbridge/waxwingbridge/table"
)

// admitKey handles the idempotency key of a new request. It reports false if the
// request needs no attempt of its own: this gateway is not the home of the key, the
// key already has an outcome, or another request with the key is in progress.
func (s *State) admitKey(tick engine.Tick, id table.ID, request *Request) bool {
	submission := request.Submission
	route, ok := s.routeKey(tick, submission.Key)
	if !ok {
		s.finish(tick, id, request, Result{Outcome: route.Outcome})
		return false
	}
	recordID, found := s.Records.Find(recordKey(submission))
	switch {
	case found:
		s.handleDuplicate(tick, id, request, recordID)
		return false
	case !route.HistoryComplete:
		s.finish(tick, id, request, Result{Outcome: route.Outcome})
		return false
	default:
		return true
	}
}

// routeKey reports whether this gateway is the home of the key. If it is not, the
// request is not run here and the route carries its outcome.
func (s *State) routeKey(tick engine.Tick, key string) (idempotency.Route, bool) {
	noHome := idempotency.Route{Kind: idempotency.RouteRejected, Outcome: outcome.NotRunBecause(outcome.ReasonNoHome)}
	if s.snapshot.Keys == nil {
		return noHome, false
	}
	route := s.snapshot.Keys.Route(key, tick.Now)
	if route.Kind == idempotency.RouteRemote {
		return noHome, false
	}
	return route, route.Kind == idempotency.RouteLocal
}

// handleDuplicate handles a request whose key has a record.
func (s *State) handleDuplicate(tick engine.Tick, id table.ID, request *Request, recordID table.ID) {
	record := s.Records.Get(recordID)
	switch {
	case record.Fingerprint != fingerprint(request.Submission):
		s.refuse(tick, id, outcome.ReasonKeyMismatch)
	case record.Request == 0:
		s.finish(tick, id, request, Result{Outcome: record.Outcome, Response: record.Response, Replayed: true})
	case !s.Records.AddWaiter(recordID, id):
		s.refuse(tick, id, outcome.ReasonQueueFull)
	default:
		request.phase, request.record = duplicate, recordID
	}
}

// beginRecord records the key before the request can be sent to a target.
func (s *State) beginRecord(id table.ID, request *Request) bool {
	submission := request.Submission
	recordID, ok := s.Records.Begin(recordKey(submission), fingerprint(submission), id)
	request.record = recordID
	return ok
}

func recordKey(submission *Submission) idempotency.ScopedKey {
	return idempotency.ScopedKey{Pool: submission.Pool, Key: submission.Key}
}

func fingerprint(submission *Submission) idempotency.Fingerprint {
	message := submission.Message
	return idempotency.FingerprintOf(submission.Tenant, message.Method, message.Path, message.Body)
}

// isStillHome checks again, right before an attempt, that this gateway is the home
// of the key. Its lease may have expired, or it may have been removed from the
// homes list, while the request was queued.
func (s *State) isStillHome(tick engine.Tick, request *Request) bool {
	if request.record == 0 {
		return true
	}
	_, ok := s.routeKey(tick, request.Submission.Key)
	return ok
}

// finishRecord updates the record of a key after one of its requests has finished,
// and finishes the duplicate requests that waited for it.
func (s *State) finishRecord(tick engine.Tick, recordID, requestID table.ID, phase phase, result Result) {
	record := s.Records.Get(recordID)
	if record == nil {
		return
	}
	if phase == duplicate {
		if record.Request != 0 {
			s.Records.RemoveWaiter(recordID, requestID)
		}
		return
	}
	var waiters []table.ID
	stored := Result{Outcome: result.Outcome, Response: result.Response, Replayed: true}
	if result.Response != nil && result.Response.Stream != nil {
		stored = Result{Outcome: outcome.UnknownBecause(outcome.ReasonResponseDropped)}
	}
	if result.Outcome.Kind == outcome.NotRun {
		waiters = s.Records.Discard(recordID)
	} else {
		waiters = s.Records.Finish(recordID, stored.Outcome, stored.Response, responseSize(stored.Response), tick.Now)
	}
	for _, id := range waiters {
		if request := s.Requests.Get(id); request != nil {
			request.record = 0
			s.finish(tick, id, request, stored)
		}
	}
}

// headerOverhead is the memory used by a header in addition to its text.
const headerOverhead = 64

func responseSize(response *Response) int {
	if response == nil {
		return 0
	}
	size := len(response.Body) + headerOverhead
	for name, values := range response.Headers {
		size += headerOverhead + len(name)
		for _, value := range values {
			size += len(value)
		}
	}
	return size
}
