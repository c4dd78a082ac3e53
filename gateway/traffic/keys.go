package traffic

import (
	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/idempotency"
	"github.com/waxwingbridge/waxwingbridge/outcome"
	"github.com/waxwingbridge/waxwingbridge/table"
)

// admitKey handles the key of a new request. It reports false if the request
// needs no attempt of its own: this gateway is not the home of the key, the key
// has an outcome already, or another request runs under it.
func (s *State) admitKey(tick engine.Tick, id table.ID, request *Request) bool {
	submission := request.Submission
	route, ok := s.routeKey(tick, submission.Key)
	if !ok {
		s.finish(tick, id, request, Result{Outcome: route.Outcome})
		return false
	}
	recordID, found := s.Records.Find(recordName(submission))
	switch {
	case found:
		s.repeat(tick, id, request, recordID)
		return false
	case !route.HistoryComplete:
		s.finish(tick, id, request, Result{Outcome: route.Outcome})
		return false
	default:
		return true
	}
}

// routeKey reports whether this gateway is the home of the key. Otherwise the
// route carries the outcome; a request that belongs elsewhere is not run here.
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

// repeat handles a request whose key was used before.
func (s *State) repeat(tick engine.Tick, id table.ID, request *Request, recordID table.ID) {
	record := s.Records.Get(recordID)
	switch {
	case record.Fingerprint != fingerprint(request.Submission):
		s.refuse(tick, id, outcome.ReasonKeyMismatch)
	case record.Request == 0:
		s.finish(tick, id, request, Result{Outcome: record.Outcome, Response: record.Answer, Replayed: true})
	case !s.Records.AddWaiter(recordID, id):
		s.refuse(tick, id, outcome.ReasonQueueFull)
	default:
		request.phase, request.record = repeated, recordID
	}
}

// beginRecord records the key before the request can reach a target.
func (s *State) beginRecord(id table.ID, request *Request) bool {
	submission := request.Submission
	recordID, ok := s.Records.Begin(recordName(submission), fingerprint(submission), id)
	request.record = recordID
	return ok
}

func recordName(submission *Submission) idempotency.ScopedKey {
	return idempotency.ScopedKey{Pool: submission.Pool, Key: submission.Key}
}

func fingerprint(submission *Submission) idempotency.Fingerprint {
	message := submission.Message
	return idempotency.FingerprintOf(submission.Tenant, message.Method, message.Path, message.Body)
}

// stillHome repeats the decision of admission right before an attempt, because
// the lease or the place in the list may have ended in the queue.
func (s *State) stillHome(tick engine.Tick, request *Request) bool {
	if request.record == 0 {
		return true
	}
	_, ok := s.routeKey(tick, request.Submission.Key)
	return ok
}

// settleRecord updates the record of a key after one of its requests ended, and
// answers the repeated requests that waited for it.
func (s *State) settleRecord(tick engine.Tick, recordID, requestID table.ID, phase phase, result Result) {
	record := s.Records.Get(recordID)
	if record == nil {
		return
	}
	if phase == repeated {
		if record.Request != 0 {
			s.Records.RemoveWaiter(recordID, requestID)
		}
		return
	}
	var waiters []table.ID
	kept := Result{Outcome: result.Outcome, Response: result.Response, Replayed: true}
	if result.Response != nil && result.Response.Stream != nil {
		kept = Result{Outcome: outcome.UnknownBecause(outcome.ReasonAnswerDropped)}
	}
	if result.Outcome.Kind == outcome.NotRun {
		waiters = s.Records.Discard(recordID)
	} else {
		waiters = s.Records.Finish(recordID, kept.Outcome, kept.Response, answerSize(kept.Response), tick.Now)
	}
	for _, id := range waiters {
		if request := s.Requests.Get(id); request != nil {
			request.record = 0
			s.finish(tick, id, request, kept)
		}
	}
}

// headerOverhead is the memory of one header besides its text.
const headerOverhead = 64

func answerSize(answer *Response) int {
	if answer == nil {
		return 0
	}
	size := len(answer.Body) + headerOverhead
	for name, values := range answer.Headers {
		size += headerOverhead + len(name)
		for _, value := range values {
			size += len(value)
		}
	}
	return size
}
