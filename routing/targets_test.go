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
	fleet   TargetTable
	targets PoolTargets
	ids     []table.ID
	now     time.Time
	chooser Chooser
}

func newTestPool(count, gateways int, chooser Chooser) *testPool {
	p := &testPool{now: time.Unix(1000, 0), chooser: chooser}
	p.fleet.Random = rand.New(rand.NewPCG(testSeed, 0))
	p.targets.Limits = Limits{Slots: 8, Connections: ConnectionsPerGateway(64, gateways), Gateways: gateways, EjectionCap: 0.3}
	for i := range count {
		p.ids = append(p.ids, p.targets.Add(&p.fleet, Target{Usable: true, ServiceEpoch: 1, Local: i%3 == 0}, p.now))
	}
	return p
}

func (p *testPool) pick(candidate ChoiceCriteria) Choice {
	choice := ChooseTarget(&p.fleet, &p.targets, p.chooser, candidate, p.now)
	if choice.Target != 0 {
		p.targets.StartAttempt(&p.fleet, choice, p.now)
	}
	return choice
}

func (p *testPool) end(choice Choice, verdict AttemptResult) (bool, bool) {
	return p.targets.EndAttempt(&p.fleet, AttemptEnd{Result: verdict, Choice: choice, ServiceTime: 50 * time.Millisecond}, p.now)
}

// attempt sends one request to the target, whatever its state, and ends it.
func (p *testPool) attempt(id table.ID, verdict AttemptResult) (bool, bool) {
	choice := Choice{Target: id}
	p.targets.StartAttempt(&p.fleet, choice, p.now)
	return p.end(choice, verdict)
}

func (p *testPool) advance(d time.Duration) {
	end := p.now.Add(d)
	for {
		id, at, ok := p.fleet.WakeTimes.Min()
		if !ok || at.After(end) {
			break
		}
		p.now = at
		p.targets.HandleWake(&p.fleet, id, p.now)
	}
	p.now = end
}

// Guards against more requests in flight than slots, or than the share of the
// connections.
func TestLocalLimitRespectsSlotsAndConnections(t *testing.T) {
	for _, gateways := range []int{1, 6, 8, 40} {
		p := newTestPool(3, gateways, PowerOfTwoChoices{})
		for range 200 { // answers let the limit grow
			var choices []Choice
			for choice := p.pick(ChoiceCriteria{}); choice.Target != 0; choice = p.pick(ChoiceCriteria{}) {
				choices = append(choices, choice)
			}
			for _, id := range p.ids {
				if n := p.fleet.Rows.Get(id).InFlight; n > min(8, 64/gateways) {
					t.Fatalf("%d gateways: %d requests in flight to one target", gateways, n)
				}
			}
			for _, choice := range choices {
				p.end(choice, AttemptSucceeded)
			}
		}
		if want := 3 * min(8, 64/gateways); p.targets.Capacity != want {
			t.Errorf("%d gateways: capacity %d after 200 rounds, want %d", gateways, p.targets.Capacity, want)
		}
	}
}

// Guards against a target that gets requests right after it refused one, or
// never again.
func TestFullTargetIsLeftAloneForAShortTime(t *testing.T) {
	p := newTestPool(1, 1, PowerOfTwoChoices{})
	for _, doublings := range []int{0, 1, 2, blockedDoublings, blockedDoublings, blockedDoublings} {
		p.end(p.pick(ChoiceCriteria{}), AttemptRefusedFull)
		p.advance(blockedLeast<<doublings - time.Millisecond)
		if p.pick(ChoiceCriteria{}).Target != 0 {
			t.Fatalf("target gets a request at once, %d doublings", doublings)
		}
		p.advance((blockedMost - blockedLeast) << doublings)
	}
}

// Guards against a saturated pool that is asked over and over for slots which
// were not granted.
func TestRefusedTriesBeyondCreditsArePaced(t *testing.T) {
	p := newTestPool(40, 6, CreditsFirst{})
	p.targets.SetCredits(&p.fleet, p.ids[0], 1, p.now.Add(time.Hour), p.now)
	p.pick(ChoiceCriteria{}) // uses the only credit
	tries := 0
	for range 2000 {
		p.advance(5 * time.Millisecond)
		if choice := p.pick(ChoiceCriteria{}); choice.Target != 0 {
			tries++
			p.end(choice, AttemptRefusedFull)
		}
	}
	if most := 10*int(2*time.Second/beyondPauseMost) + 10; tries == 0 || tries > most {
		t.Errorf("%d refused tries in 10 s, at most %d are allowed", tries, most)
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
			verdict := AttemptSucceeded
			if i < 4 {
				verdict = AttemptFailed
			}
			if out, _ := p.attempt(id, verdict); out {
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
				t.Fatal("target was ejected although all fail alike")
			}
		}
	}
}

// Guards against an ejected target that gets more than one probe at a time, a
// probe that risks urgent or unrepeatable work, and a target that never returns.
func TestEjectedTargetIsProbedAndReadmitted(t *testing.T) {
	p := newTestPool(4, 1, PowerOfTwoChoices{})
	bad := p.ids[0]
	for out := false; !out; {
		for _, id := range p.ids[1:] {
			p.attempt(id, AttemptSucceeded)
		}
		out, _ = p.attempt(bad, AttemptFailed)
	}
	idempotent := ChoiceCriteria{Idempotent: true}
	if p.drawsUntilBad(bad, idempotent) {
		t.Error("ejected target gets a request")
	}
	p.advance(ejectionBase + time.Duration(ejectionJitter*float64(ejectionBase)))
	if p.drawsUntilBad(bad, ChoiceCriteria{}) || p.drawsUntilBad(bad, ChoiceCriteria{Idempotent: true, Urgent: true}) {
		t.Error("urgent or unrepeatable request is a probe")
	}
	probe := p.pick(idempotent)
	if !probe.Probe || probe.Target != bad || p.pick(idempotent).Probe {
		t.Fatalf("probe = %+v, or a second one beside it", probe)
	}
	if out, _ := p.end(probe, AttemptFailed); !out {
		t.Error("failed probe does not eject the target again")
	}
	p.advance(4 * ejectionBase)
	for i := range probeSuccesses {
		if _, back := p.end(p.pick(ChoiceCriteria{}), AttemptSucceeded); back != (i == probeSuccesses-1) {
			t.Errorf("readmitted after %d probes: %v", i+1, back)
		}
	}
}

func (p *testPool) drawsUntilBad(bad table.ID, candidate ChoiceCriteria) bool {
	for range 50 {
		choice := p.pick(candidate)
		p.end(choice, AttemptAbandoned)
		if choice.Target == bad {
			return true
		}
	}
	return false
}

// Guards against a retry at the target that failed while another has room.
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

// Guards against requests beyond the credits while credits are free, against an
// unbounded number beyond them, and against credits that outlive their lease.
func TestCreditsComeFirst(t *testing.T) {
	p := newTestPool(8, 6, CreditsFirst{})
	for _, id := range p.ids[:2] {
		p.targets.SetCredits(&p.fleet, id, 3, p.now.Add(3*time.Second), p.now)
	}
	beyond, within := 0, 0
	var choices []Choice
	for choice := p.pick(ChoiceCriteria{}); choice.Target != 0; choice = p.pick(ChoiceCriteria{}) {
		choices = append(choices, choice)
		if choice.Uncredited {
			beyond++
		} else if within++; beyond > 0 || !slices.Contains(p.ids[:2], choice.Target) {
			t.Errorf("choice %+v after %d beyond the credits", choice, beyond)
		}
	}
	if within != 6 || beyond != 8/beyondShare {
		t.Errorf("%d requests within and %d beyond the credits", within, beyond)
	}
	for _, choice := range choices {
		p.end(choice, AttemptAbandoned)
	}
	if choice := p.pick(ChoiceCriteria{UncreditedAttempts: beyondPerRequest}); choice.Uncredited || choice.Target == 0 {
		t.Errorf("choice = %+v", choice)
	}
	p.advance(3 * time.Second)
	if p.targets.granted.Len() != 0 || p.targets.credited[localZone].Len()+p.targets.credited[otherZones].Len() != 0 {
		t.Error("credits outlive their lease")
	}
}

// Guards against requests that leave the zone without need, and against a zone
// that is overloaded because callers use its gateway.
func TestOwnZoneIsPreferredButNotOverloaded(t *testing.T) {
	p := newTestPool(9, 1, PowerOfTwoChoices{})
	local := 0
	for i := range 45 {
		choice := p.pick(ChoiceCriteria{})
		if p.fleet.Rows.Get(choice.Target).Local {
			local++
		}
		if i == 2 && local != 3 {
			t.Errorf("%d of 3 first requests stay in the zone of 3 targets", local)
		}
	}
	if local < 15 || local > 21 {
		t.Errorf("%d of 45 requests go to the 3 of 9 targets in the own zone", local)
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
