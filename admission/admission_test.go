package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/waxwingbridge/waxwingbridge/work"
)

var start = time.Unix(1000, 0)

var submissionA = Submission{Job: &work.Job{ID: "a"}}

// fail lets a write fail in each 60 ms from the start of an outage on, as the requests
// held by a process do.
func fail(s *State, from, to time.Time) {
	id := uint64(0)
	for now := from; now.Before(to); now = now.Add(60 * time.Millisecond) {
		id++
		s.WriteSent(now, id)
		s.WriteAnswered(now.Add(4*time.Millisecond), id, false)
	}
}

// Load pattern: the store turns this process away. Guards against submissions that are
// held although the process has known for some time that they cannot be stored, and
// against a process that never finds out that the store is back.
func TestRefusingStoreRejectsAtOnce(t *testing.T) {
	s := &State{}
	if d := s.Decide(start, submissionA); d.Reason != None {
		t.Fatalf("rejected as %v before any failure", d.Reason)
	}
	fail(s, start, start.Add(time.Second))
	now := start.Add(time.Second)
	if d := s.Decide(now, submissionA); d.Reason != StoreRefuses || d.RetryAfter < minRetryDelay {
		t.Errorf("the decision during the outage is %+v", d)
	}
	s.CallAnswered(now.Add(5*time.Millisecond), true) // a lease renewal
	if d := s.Decide(now.Add(10*time.Millisecond), submissionA); d.Reason != None {
		t.Errorf("rejected as %v after a successful call", d.Reason)
	}
}

// Load pattern: the store falls silent. Guards against submissions that wait for a slot
// behind unanswered writes until their deadline, and against rejections while the store
// is only slow.
func TestSilentStoreRejectsAtOnce(t *testing.T) {
	s := &State{}
	s.WriteSent(start, 1)
	if d := s.Decide(start.Add(300*time.Millisecond), submissionA); d.Reason != None {
		t.Errorf("rejected as %v while the store is slow", d.Reason)
	}
	if d := s.Decide(start.Add(700*time.Millisecond), submissionA); d.Reason != StoreSilent {
		t.Errorf("the reason is %v, want %v", d.Reason, StoreSilent)
	}
	s.WriteAnswered(start.Add(time.Second), 1, true)
	if d := s.Decide(start.Add(time.Second), submissionA); d.Reason != None {
		t.Errorf("rejected as %v after the answer", d.Reason)
	}
}

// Load pattern: thundering herd after an outage. Callers arrive at an even rate, each
// with four retries, while the store refuses all writes for 7 s. Guards against callers
// that give up because they return too often, and against callers that return at the
// same time, compared with the former rule: held for 250 ms, then Retry-After of 1 s.
func TestHerdAfterAnOutage(t *testing.T) {
	const (
		outage  = 7 * time.Second
		callers = 1400
		retries = 4
	)
	play := func(retryAfter func(now time.Time, job string) time.Duration, held time.Duration) (gaveUp, busiest int) {
		served := map[int64]int{}
		for i := range callers {
			now := start.Add(time.Duration(i) * outage / callers)
			job := fmt.Sprintf("job-%d", i)
			for try := 0; ; try++ {
				if now.Sub(start) >= outage {
					served[now.Sub(start).Milliseconds()/100]++
					break
				}
				if try == retries {
					gaveUp++
					break
				}
				now = now.Add(held + retryAfter(now, job))
			}
		}
		for _, n := range served {
			busiest = max(busiest, n)
		}
		return gaveUp, busiest
	}
	s := &State{}
	s.WriteSent(start, 1)
	s.WriteAnswered(start, 1, false)
	gaveUp, busiest := play(func(now time.Time, job string) time.Duration {
		return s.RetryAfter(now, job+now.String())
	}, 0)
	formerGaveUp, formerBusiest := play(func(time.Time, string) time.Duration { return time.Second }, 250*time.Millisecond)
	t.Logf("gave up: %d, before %d; busiest 100 ms after the outage: %d, before %d", gaveUp, formerGaveUp, busiest, formerBusiest)
	if gaveUp*4 > formerGaveUp {
		t.Errorf("%d callers gave up, %d under the former rule; want a quarter or less", gaveUp, formerGaveUp)
	}
	if busiest > 2*formerBusiest {
		t.Errorf("%d callers return within 100 ms, %d under the former rule", busiest, formerBusiest)
	}
}

// Guards against names that do not match the reasons.
func TestReasonNames(t *testing.T) {
	for reason, want := range map[Reason]string{None: "none", StoreSilent: "store-silent", DeadlineClose: "deadline", 99: "invalid"} {
		if got := reason.String(); got != want {
			t.Errorf("reason %d is %q, want %q", reason, got, want)
		}
	}
}
