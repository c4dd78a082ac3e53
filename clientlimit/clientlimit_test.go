package clientlimit

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
)

// world runs the systems with a fake time.
type world struct {
	t       *testing.T
	state   *State
	budget  *Budget
	counts  Counts
	program engine.Program[State, func(*State, engine.Tick)]
	now     time.Time
	closed  map[*Usage]Reason
	reports []Report
}

func newWorld(t *testing.T, limits Limits) *world {
	w := &world{t: t, now: time.Unix(1000, 0), closed: map[*Usage]Reason{}}
	w.budget = NewBudget(limits.Bytes, func() {})
	w.state = NewState(limits, w.budget, &w.counts)
	w.program = engine.Program[State, func(*State, engine.Tick)]{
		Apply:   func(s *State, tick engine.Tick, f func(*State, engine.Tick)) { f(s, tick) },
		Systems: Systems(),
		Flush: func(s *State, _ engine.Tick) {
			s.Closes().Drain(func(c Closing) { w.closed[c.Usage] = c.Reason })
			s.Reports().Drain(func(r Report) { w.reports = append(w.reports, r) })
		},
	}
	return w
}

func (w *world) pass(d time.Duration, events ...func(*State, engine.Tick)) {
	w.now = w.now.Add(d)
	w.program.Step(w.state, engine.Tick{Now: w.now}, events...)
}

// open opens a connection that holds some bytes.
func (w *world) open(class Class, held int64) *Usage {
	usage := &Usage{Class: class}
	usage.Held.Store(held)
	if !w.budget.TryTake(held, Executing) {
		w.t.Fatal("no room for the connection of the test")
	}
	w.pass(0, func(s *State, tick engine.Tick) { s.Opened(tick, usage) })
	return usage
}

// release is what the goroutine of a closed connection does.
func (w *world) release(usage *Usage) {
	w.budget.Give(usage.Held.Swap(0))
	w.pass(0, func(s *State, _ engine.Tick) { s.Closed(usage) })
}

func testLimits(bytes int64, conns int) Limits {
	return Limits{Bytes: bytes, LeastBytes: bytes / 4, NeedBytes: 2 * bytes, Conns: [classes]int{conns, conns, conns}}
}

// Guards against a choice that closes ordinary callers: those that are served, that wait
// for the process, or whose body arrives at the least rate.
func TestStalledBodyIsClosedFirst(t *testing.T) {
	w := newWorld(t, testLimits(1100<<10, 100))
	small, stalled, moving, busy := w.open(Clients, 20<<10), w.open(Clients, 250<<10), w.open(Clients, 250<<10), w.open(Clients, 250<<10)
	busy.SetBusy(true)
	for range 5 {
		moving.Received.Add(minRate)
		w.pass(sampleInterval)
	}
	if len(w.closed) != 1 || w.closed[stalled] != OutOfMemory {
		t.Errorf("closed are %v, want the stalled body alone", w.closed)
	}
	w.release(stalled)
	w.pass(time.Second)
	if len(w.closed) != 1 {
		t.Errorf("closed are %v though there is room", w.closed)
	}
	if w.closed[small] != 0 {
		t.Error("an ordinary connection was closed")
	}
}

// Guards against a connection that is closed for the time in which the process worked for
// it.
func TestTimeOfTheProcessIsNoStall(t *testing.T) {
	w := newWorld(t, testLimits(1000<<10, 100))
	busy, moving := w.open(Clients, 400<<10), w.open(Clients, 400<<10)
	busy.SetBusy(true)
	for range 10 {
		moving.Received.Add(minRate)
		w.pass(sampleInterval)
	}
	busy.SetBusy(false)
	w.pass(sampleInterval)
	if len(w.closed) != 0 {
		t.Errorf("closed are %v", w.closed)
	}
	w.pass(time.Second)
	if len(w.closed) == 0 {
		t.Error("none was closed though both have stalled")
	}
}

// Guards against a connection that escapes by trickling bytes.
func TestTrickleIsNoProgress(t *testing.T) {
	w := newWorld(t, testLimits(1000<<10, 100))
	trickle, moving := w.open(Clients, 350<<10), w.open(Clients, 350<<10)
	for range 10 {
		trickle.Received.Add(10)
		moving.Received.Add(minRate)
		w.pass(sampleInterval)
	}
	if w.closed[trickle] != OutOfMemory || len(w.closed) != 1 {
		t.Errorf("closed are %v, want the trickling one", w.closed)
	}
}

// Guards against connections that are closed while nobody needs the room, and against a
// full listener that closes those of others.
func TestFullListenerClosesItsOwnSilentConnections(t *testing.T) {
	w := newWorld(t, testLimits(100<<20, 20))
	other := w.open(Readiness, ConnBytes)
	served := w.open(Clients, ConnBytes)
	served.Served.Add(1)
	w.pass(sampleInterval)
	var silent []*Usage
	for range 19 {
		silent = append(silent, w.open(Clients, ConnBytes))
	}
	w.pass(time.Minute)
	if len(w.closed) != 0 {
		t.Fatalf("closed are %v though nobody waits", w.closed)
	}
	w.pass(sampleInterval, func(s *State, _ engine.Tick) { s.Full(Clients) })
	if len(w.closed) != minRoom || w.closed[other] != 0 || w.closed[served] != 0 {
		t.Errorf("%d connections were closed, want %d silent ones of the listener", len(w.closed), minRoom)
	}
	w.pass(sampleInterval)
	if len(w.closed) != minRoom {
		t.Errorf("%d connections were closed before the first ones have gone", len(w.closed))
	}
	for _, usage := range silent {
		if w.closed[usage] != 0 {
			w.release(usage)
		}
	}
	w.pass(time.Second)
	if len(w.closed) != minRoom || w.state.Open(Clients) != 20-minRoom {
		t.Errorf("%d connections were closed and %d are open", len(w.closed), w.state.Open(Clients))
	}
}

// Guards against a budget that stays large while the process needs the memory itself, or
// that shrinks because what clients held at a collection is counted as its own need.
func TestBudgetFollowsTheOwnNeed(t *testing.T) {
	limits := testLimits(100<<20, 20) // half of the memory is 200 MB
	w := newWorld(t, limits)
	for _, c := range []struct{ live, want int64 }{{50 << 20, 100 << 20}, {150 << 20, 50 << 20}, {900 << 20, 25 << 20}} {
		for range 2 * needSamples {
			w.state.SetLive(c.live)
			w.pass(sampleInterval)
		}
		if got := w.budget.Limit(Executing); got != c.want {
			t.Errorf("live %d MB: the budget is %d MB, want %d", c.live>>20, got>>20, c.want>>20)
		}
	}
	for range needSamples {
		w.state.SetLive(50 << 20)
		w.pass(sampleInterval)
	}
	w.open(Clients, 60<<20)
	w.state.SetLive(110 << 20)
	w.release(w.open(Clients, 20<<20))
	w.pass(sampleInterval)
	if got := w.budget.Limit(Executing); got != 100<<20 {
		t.Errorf("the budget is %d MB, want 100", got>>20)
	}
}

// Guards against a log that a crowd fills.
func TestReasonIsReportedOnceAMinute(t *testing.T) {
	w := newWorld(t, testLimits(1<<20, 20))
	for range 180 {
		w.counts.Add(HeadTooLarge)
		w.pass(time.Second)
	}
	cases := int64(0)
	for _, r := range w.reports {
		cases += r.Cases
	}
	if len(w.reports) != 3 || cases != 121 {
		t.Errorf("%d reports of %d cases, want 3 of 121", len(w.reports), cases)
	}
	w.pass(time.Minute)
	if last := w.reports[len(w.reports)-1]; last.Cases != 59 || last.Reason != HeadTooLarge {
		t.Errorf("the last report is %+v", last)
	}
}

// Guards against bytes that appear or vanish when many goroutines take and give them, and
// against a waiter that nobody wakes.
func TestBudgetBalances(t *testing.T) {
	b := NewBudget(1000, func() {})
	var takers sync.WaitGroup
	for i := range 50 {
		takers.Go(func() {
			for range 200 {
				n := int64(100 + i)
				if !b.Take(t.Context(), n, Use(i%int(uses))) {
					t.Error("no room came though all bytes are given back at once")
					return
				}
				if used := b.Used(); used > 1000 {
					t.Errorf("%d bytes are taken of 1000", used)
				}
				b.Give(n)
			}
		})
	}
	takers.Wait()
	if used := b.Used(); used != 0 {
		t.Errorf("%d bytes are left", used)
	}
}

// Guards against a request that waits for room that can't come, or on after its end.
func TestTakeGivesUp(t *testing.T) {
	pressed := false
	b := NewBudget(1000, func() { pressed = true })
	if b.Take(t.Context(), 1001, Executing) || pressed {
		t.Error("more than the whole budget was taken or waited for")
	}
	if !b.TryTake(900, Executing) || b.TryTake(1, Starting) || b.TryTake(1, Growing) || !b.TryTake(100, Executing) {
		t.Error("the parts of the budget don't hold")
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if b.Take(ctx, 1, Executing) || !pressed {
		t.Error("a byte was taken from a full budget, or the pressure wasn't reported")
	}
}

// Guards against limits of which the settings leave nothing, or that leave nothing for the
// store and the workers.
func TestDerivedLimits(t *testing.T) {
	for _, c := range []struct {
		memoryMB   int64
		fds        int
		bytes      int64
		mostConns  int
		leastConns int
	}{
		{184, 4100, 36 << 20, 942, 900},
		{536, 8192, 107 << 20, 2744, 2700},
		{96, 600, 19 << 20, 300, 300},
		{8, 100, 1 << 20, minConns, 16}, // below any machine
		{0, 0, 102 << 20, 2621, 2600},
	} {
		limits := Derive(c.memoryMB<<20, c.fds)
		if limits.Bytes>>20 != c.bytes>>20 || limits.Conns[Clients] > c.mostConns || limits.Conns[Clients] < c.leastConns {
			t.Errorf("%d MB, %d descriptors: %d MB and %d connections", c.memoryMB, c.fds, limits.Bytes>>20, limits.Conns[Clients])
		}
	}
}

// Guards against a rate that a client on a link of 2 Mbit/s doesn't reach with the largest
// body, even if it has a tenth of the link.
func TestSlowLinkMeetsTheLeastRate(t *testing.T) {
	const body, link = 262144, 250_000 // bytes, bytes a second
	if needed := time.Duration(body) * time.Second * 10 / link; TransferTime(body) < needed {
		t.Errorf("a body may take %v, a tenth of the link needs %v", TransferTime(body), needed)
	}
}

// Guards against framing that delays a single body in calm, and against framing of many
// that takes more processor time than its rate.
func TestFramingIsPaced(t *testing.T) {
	var p Pace
	now := time.Unix(1000, 0)
	ctx, cancel := context.WithCancel(t.Context())
	cancel() // waits end at once; the debt shows
	p.Wait(ctx, now, 5*262144)
	if owed := p.due.Load() - now.UnixNano(); owed > 0 {
		t.Errorf("one body in chunks of one byte waits %v", time.Duration(owed))
	}
	for range 10 {
		p.Wait(ctx, now, framingRate)
	}
	if owed := time.Duration(p.due.Load() - now.UnixNano()); owed < 9*time.Second || owed > 11*time.Second {
		t.Errorf("the framing of ten seconds waits %v", owed)
	}
}

// Guards against a reason without a name.
func TestReasonNames(t *testing.T) {
	seen := map[string]bool{}
	for r := range reasons + 1 {
		if name := r.String(); name == "" || seen[name] {
			t.Errorf("reason %d is named %q", r, name)
		} else {
			seen[name] = true
		}
	}
}
