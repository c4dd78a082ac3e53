package routing

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/waxwingbridge/waxwingbridge/table"
)

const testSeed = 20261204

// testPool is a pool of targets with a fake clock.
type testPool struct {
	targets TargetTable
	pool    PoolTargets
	ids     []table.ID
	now     time.Time
	chooser Chooser
}

func newTestPool(count, gateways int, chooser Chooser) *testPool {
	p := &testPool{now: time.Unix(1000, 0), chooser: chooser}
	p.targets.Random = rand.New(rand.NewPCG(testSeed, 0))
	p.pool.Limits = Limits{Slots: 8, Connections: ConnectionsPerGateway(64, gateways), Gateways: gateways, EjectionCap: 0.3}
	for i := range count {
		p.ids = append(p.ids, p.pool.Add(&p.targets, Target{Usable: true, ServiceEpoch: 1, Local: i%3 == 0}, p.now))
	}
	return p
}

func (p *testPool) pick(criteria ChoiceCriteria) Choice {
	choice := ChooseTarget(&p.targets, &p.pool, p.chooser, criteria, p.now)
	if choice.Target != 0 {
		p.pool.StartAttempt(&p.targets, choice, p.now)
	}
	return choice
}

func (p *testPool) end(choice Choice, result AttemptResult) (bool, bool) {
	return p.pool.EndAttempt(&p.targets, AttemptEnd{Result: result, Choice: choice, ServiceTime: 50 * time.Millisecond}, p.now)
}

// attempt sends one request to the target regardless of its state, and ends it.
func (p *testPool) attempt(id table.ID, result AttemptResult) (bool, bool) {
	choice := Choice{Target: id}
	p.pool.StartAttempt(&p.targets, choice, p.now)
	return p.end(choice, result)
}

func (p *testPool) advance(d time.Duration) {
	end := p.now.Add(d)
	for {
		id, at, ok := p.targets.WakeTimes.Min()
		if !ok || at.After(end) {
			break
		}
		p.now = at
		p.pool.HandleWake(&p.targets, id, p.now)
	}
	p.now = end
}

// Guards against more requests in flight than the target has slots, or than this
// gateway's share of the connections.
func TestLocalLimitRespectsSlotsAndConnections(t *testing.T) {
	for _, gateways := range []int{1, 6, 8, 40} {
		p := newTestPool(3, gateways, PowerOfTwoChoices{})
		for range 200 { // answers let the limit grow
			var choices []Choice
			for choice := p.pick(ChoiceCriteria{}); choice.Target != 0; choice = p.pick(ChoiceCriteria{}) {
				choices = append(choices, choice)
			}
			for _, id := range p.ids {
				if n := p.targets.Rows.Get(id).InFlight; n > min(8, 64/gateways) {
					t.Fatalf("%d gateways: %d requests in flight to one target", gateways, n)
				}
			}
			for _, choice := range choices {
				p.end(choice, AttemptSucceeded)
			}
		}
		if want := 3 * min(8, 64/gateways); p.pool.Capacity != want {
			t.Errorf("%d gateways: capacity %d after 200 rounds, want %d", gateways, p.pool.Capacity, want)
		}
	}
}

// Guards against a target that receives requests right after it refused one, or
// that never receives one again.
func TestFullTargetIsLeftAloneForAShortTime(t *testing.T) {
	p := newTestPool(1, 1, PowerOfTwoChoices{})
	for _, doublings := range []int{0, 1, 2, maxBackoffDoublings, maxBackoffDoublings, maxBackoffDoublings} {
		p.end(p.pick(ChoiceCriteria{}), AttemptRefusedFull)
		p.advance(minRefusalBackoff<<doublings - time.Millisecond)
		if p.pick(ChoiceCriteria{}).Target != 0 {
			t.Fatalf("target receives a request during the backoff, %d doublings", doublings)
		}
		p.advance((maxRefusalBackoff - minRefusalBackoff) << doublings)
	}
}

// Guards against frequent uncredited attempts in a saturated pool.
func TestRefusedTriesBeyondCreditsArePaced(t *testing.T) {
	p := newTestPool(40, 6, CreditsFirst{})
	p.pool.SetCredits(&p.targets, p.ids[0], 1, p.now.Add(time.Hour), p.now)
	p.pick(ChoiceCriteria{}) // uses the only credit
	attempts := 0
	for range 2000 {
		p.advance(5 * time.Millisecond)
		if choice := p.pick(ChoiceCriteria{}); choice.Target != 0 {
			attempts++
			p.end(choice, AttemptRefusedFull)
		}
	}
	if limit := 10*int(2*time.Second/maxUncreditedPause) + 10; attempts == 0 || attempts > limit {
		t.Errorf("%d refused uncredited attempts in 10 s, at most %d are allowed", attempts, limit)
	}
}

// Guards against an ejection of more than the allowed share of the pool, and
// against ejections when everything fails.
func TestEjectionIsCappedAndNeedsAnOutlier(t *testing.T) {
	p := newTestPool(9, 1, PowerOfTwoChoices{})
	ejections := 0
	for range 40 {
		p.advance(20 * time.Millisecond)
		for i, id := range p.ids {
			result := AttemptSucceeded
			if i < 4 {
				result = AttemptFailed
			}
			if out, _ := p.attempt(id, result); out {
				ejections++
			}
		}
	}
	if ejections != 2 { // 30% of 9
		t.Errorf("%d of 4 failing targets were ejected, want 2", ejections)
	}
	all := newTestPool(9, 1, PowerOfTwoChoices{})
	for range 40 {
		for _, id := range all.ids {
			if out, _ := all.attempt(id, AttemptFailed); out {
				t.Fatal("target was ejected although all targets fail equally")
			}
		}
	}
}

// Guards against more than one probe at a time to an ejected target, against
// probes with urgent or non-idempotent requests, and against a target that is
// never readmitted.
func TestEjectedTargetIsProbedAndReadmitted(t *testing.T) {
	p := newTestPool(4, 1, PowerOfTwoChoices{})
	failing := p.ids[0]
	for out := false; !out; {
		for _, id := range p.ids[1:] {
			p.attempt(id, AttemptSucceeded)
		}
		out, _ = p.attempt(failing, AttemptFailed)
	}
	idempotent := ChoiceCriteria{Idempotent: true}
	if p.chooses(failing, idempotent) {
		t.Error("ejected target receives a request")
	}
	p.advance(minEjectionTime + time.Duration(ejectionJitter*float64(minEjectionTime)))
	if p.chooses(failing, ChoiceCriteria{}) || p.chooses(failing, ChoiceCriteria{Idempotent: true, Urgent: true}) {
		t.Error("urgent or non-idempotent request is used as a probe")
	}
	probe := p.pick(idempotent)
	if !probe.Probe || probe.Target != failing || p.pick(idempotent).Probe {
		t.Fatalf("probe = %+v, or a second probe was sent at the same time", probe)
	}
	if out, _ := p.end(probe, AttemptFailed); !out {
		t.Error("failed probe does not eject the target again")
	}
	p.advance(4 * minEjectionTime)
	for i := range probeSuccesses {
		if _, back := p.end(p.pick(ChoiceCriteria{}), AttemptSucceeded); back != (i == probeSuccesses-1) {
			t.Errorf("readmitted after %d probes: %v", i+1, back)
		}
	}
}

func (p *testPool) chooses(target table.ID, criteria ChoiceCriteria) bool {
	for range 50 {
		choice := p.pick(criteria)
		p.end(choice, AttemptAbandoned)
		if choice.Target == target {
			return true
		}
	}
	return false
}

// Guards against a retry on the failed target while another one has capacity.
func TestPickExcludesTheFailedTarget(t *testing.T) {
	p := newTestPool(2, 1, PowerOfTwoChoices{})
	for range 50 {
		choice := p.pick(ChoiceCriteria{Exclude: p.ids[0]})
		if choice.Target != p.ids[1] {
			t.Fatalf("choice = %+v", choice)
		}
		p.end(choice, AttemptAbandoned)
	}
}

// Guards against uncredited attempts while credits are free, against an unbounded
// number of them, and against credits that are used after their lease ended.
func TestCreditsComeFirst(t *testing.T) {
	p := newTestPool(8, 6, CreditsFirst{})
	for _, id := range p.ids[:2] {
		p.pool.SetCredits(&p.targets, id, 3, p.now.Add(3*time.Second), p.now)
	}
	uncredited, credited := 0, 0
	var choices []Choice
	for choice := p.pick(ChoiceCriteria{}); choice.Target != 0; choice = p.pick(ChoiceCriteria{}) {
		choices = append(choices, choice)
		if choice.Uncredited {
			uncredited++
		} else if credited++; uncredited > 0 || !slices.Contains(p.ids[:2], choice.Target) {
			t.Errorf("choice %+v after %d uncredited attempts", choice, uncredited)
		}
	}
	if credited != 6 || uncredited != 8/targetsPerUncreditedAttempt {
		t.Errorf("%d requests with and %d without a credit", credited, uncredited)
	}
	for _, choice := range choices {
		p.end(choice, AttemptAbandoned)
	}
	if choice := p.pick(ChoiceCriteria{UncreditedAttempts: maxUncreditedPerRequest}); choice.Uncredited || choice.Target == 0 {
		t.Errorf("choice = %+v", choice)
	}
	p.advance(3 * time.Second)
	if p.pool.granted.Len() != 0 || p.pool.credited[localZone].Len()+p.pool.credited[otherZones].Len() != 0 {
		t.Error("credits are used after their lease ended")
	}
}

// Guards against needless requests to other zones, and against overload of the
// local zone when its gateway receives most requests.
func TestOwnZoneIsPreferredButNotOverloaded(t *testing.T) {
	p := newTestPool(9, 1, PowerOfTwoChoices{})
	local := 0
	for i := range 45 {
		choice := p.pick(ChoiceCriteria{})
		if p.targets.Rows.Get(choice.Target).Local {
			local++
		}
		if i == 2 && local != 3 {
			t.Errorf("%d of the first 3 requests stay in the local zone with 3 targets", local)
		}
	}
	if local < 15 || local > 21 {
		t.Errorf("%d of 45 requests go to the 3 of 9 targets in the local zone", local)
	}
}

// Guards against grants that exceed the slots or ignore demand.
func TestGrantSlotsFollowsDemand(t *testing.T) {
	tests := []struct {
		slots  int
		demand []int
		start  int
		want   []int
	}{
		{8, []int{10, 10}, 0, []int{4, 4}},
		{8, []int{30, 10, 0}, 0, []int{6, 2, 0}},
		{8, []int{0, 0, 0}, 1, []int{2, 3, 3}},
		{8, []int{1, 1, 1, 1, 1, 1}, 4, []int{1, 1, 1, 1, 2, 2}},
		{8, nil, 0, []int{}},
	}
	for _, test := range tests {
		if got := GrantSlots(test.slots, test.demand, test.start); !slices.Equal(got, test.want) {
			t.Errorf("GrantSlots(%d, %v, %d) = %v, want %v", test.slots, test.demand, test.start, got, test.want)
		}
	}
}
