package dispatch

import (
	"slices"
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/events"
	"github.com/waxwingbridge/waxwingbridge/table"
)

// A worker may start again under its ID. Orders name the ID only, so the new incarnation
// executes those that were meant for an earlier one, until it has seen a higher fencing
// token. So the end of an incarnation ends only those runs that this incarnation itself has
// shown to hold. The others are in doubt: the owner raises the token of its orders to the
// worker, and the first answer under that token settles them, since a run that it does not
// list can't start any more.

const (
	// maxLateOrder is how long after it was sent an order without an answer may be executed:
	// the platform says "seconds later", 12 s were seen.
	maxLateOrder = 15 * time.Second
	// maxOrderDelay takes its place for a worker that does not answer: the time limit of the
	// call and a second for what is on its way. Waiting for maxLateOrder and the longest lease
	// would have long-running tasks miss for longer than the platform allows.
	maxOrderDelay = 2 * time.Second
	// maxClockTransit is how old the reading of a clock in an answer is on arrival. An older
	// one only costs a poll.
	maxClockTransit = 300 * time.Millisecond
)

// token returns the fencing token of orders to a worker.
func (w *Worker) token(p *Pool) int64 { return p.Token + w.tokenRaise }

// raiseToken has the worker refuse all orders sent so far once it has answered one from now
// on. The token stays within the store revisions that were known while the pool was owned,
// since the token of the next owner is a later one. It reports whether there was one.
func (s *State) raiseToken(w *Worker) bool {
	p := s.Pools.Get(w.pool)
	if p == nil || w.token(p) >= s.Mirror.Revision {
		return false
	}
	w.tokenRaise++
	p.highestRaise = max(p.highestRaise, w.tokenRaise)
	return true
}

// fenceStart has the worker refuse a start without an answer, unless it has executed it
// meanwhile: the next list shows which. It reports false if the token can't be raised.
func (s *State) fenceStart(w *Worker, run *Run) bool {
	p := s.Pools.Get(w.pool)
	if run.token == w.token(p) && !s.raiseToken(w) {
		return false
	}
	w.settlesStarts = true
	s.log(events.StartFenced, events.F("task", run.Name.String()), events.F("run", run.Number), events.F("worker", w.ID),
		events.F("born", w.Incarnation), events.F("order_token", run.token), events.F("token", w.token(p)))
	return true
}

// isCurrent reports whether an answer belongs to the worker's present row: orders to an
// earlier incarnation or by an earlier ownership say nothing about it.
func (s *State) isCurrent(w *Worker, to Target) bool {
	p := s.Pools.Get(w.pool)
	return p != nil && to.Token >= w.firstToken(p) && to.Incarnation == w.Incarnation
}

// firstToken returns the token of the first orders that were meant for the worker's present
// incarnation. Later ones may have a higher token, by which starts were fenced.
func (w *Worker) firstToken(p *Pool) int64 { return p.Token + w.incarnationRaise }

// fromSameIncarnation reports whether an order was answered by the incarnation that it was
// meant for. Answers to orders don't state the incarnation on the platform, but a clock that
// continues that of the worker's last list shows it, as each incarnation has a clock of its
// own.
func (s *State) fromSameIncarnation(w *Worker, to Target, reading ClockReading) bool {
	switch {
	case !s.isCurrent(w, to):
		return false
	case reading.Incarnation != 0:
		return reading.Incarnation == w.Incarnation
	default:
		return !w.clockAt.IsZero() && reading.Clock >= to.Clock && reading.Clock <= w.estimatedClock(reading.At)+maxClockTransit
	}
}

// endIncarnation gives up the runs of a worker's previous incarnation. source tells how its
// end became known. Runs that it has not shown to hold may be on the next one and stay in
// doubt, unless another worker has its place.
func (s *State) endIncarnation(now time.Time, id table.ID, next int64, source string) {
	w := s.Workers.Get(id)
	replaced := source == fromRefusal || source == fromMachine
	endedWith := func(run *Run) bool { return replaced || s.hasEndedWith(now, w, run) }
	s.recordCrash(now, w, endedWith)
	var lost []table.ID
	for _, run := range w.runs {
		if endedWith(s.Runs.Get(run)) {
			lost = append(lost, run)
		}
	}
	s.logIncarnationEnded(w, lost, next, source)
	for _, run := range lost {
		s.abandonRun(now, run, "worker-restarted")
	}
	w = s.Workers.Get(id)
	for _, run := range w.runs {
		s.doubtRun(run)
	}
	s.noteStrayLeases(w, replaced)
	s.raiseToken(w)
	w.incarnationRaise = w.tokenRaise
	w.beginIncarnation(next)
	s.leaseChecks.Remove(id)
	s.checkLeases(id)
	s.schedulePoll(id, now)
	if p := s.Pools.Get(w.pool); p != nil {
		p.contactsChanged = true
		w.inherited = w.inherited && !p.Reconciled // an earlier owner may have ordered runs from it
	}
}

// beginIncarnation forgets what holds for the previous incarnation only. Polls in flight were
// meant for it. That the worker does not answer, or is slow, holds until it shows otherwise.
func (w *Worker) beginIncarnation(next int64) {
	w.Incarnation, w.tokenAccepted, w.contactSaved, w.lastReadEnd = next, false, false, 0
	w.unsavedEnds, w.acknowledged, w.acknowledging = map[int64]struct{}{}, 0, 0
	w.clock, w.clockAt, w.leaseUntil = 0, time.Time{}, 0
	w.pollInFlight = false
	w.pollAttempt++
	w.faultScore, w.failedJobs, w.quarantinedUntil = 0, nil, time.Time{}
}

// hasEndedWith reports whether a run has ended with the incarnation of its worker that has
// just ended, and can't start on the next one.
func (s *State) hasEndedWith(now time.Time, w *Worker, run *Run) bool {
	return run.incarnation == w.Incarnation && (!run.unanswered || now.Sub(run.OrderedAt) > maxLateOrder)
}

// doubtRun forgets what an earlier incarnation said of a run.
func (s *State) doubtRun(id table.ID) {
	run := s.Runs.Get(id)
	if run.State != RunOrdered {
		s.setRunState(run, RunUnanswered)
	}
	run.workerClock, run.startClock, run.firstClock = 0, 0, 0
	run.observedAt, run.observedPercent = time.Time{}, 0
	run.stopAnswered, run.stopOrderedAt, run.stopAttempts = false, time.Time{}, 0
	// A start executed anew begins at full speed, but the next incarnation may have executed a
	// speed order, too.
	run.speedUncertain = run.speedUncertain || !run.speedOrderedAt.IsZero()
	run.speed, run.speedPending, run.speedOrderedAt = fullSpeed, false, time.Time{}
}

// noteStrayLeases records how long runs may exist on an incarnation that has executed orders
// meant for an earlier one. Their leases are instants of another clock, so that the worker
// may have granted the longest one.
func (s *State) noteStrayLeases(w *Worker, replaced bool) {
	if replaced {
		w.strayLeasesUntil = time.Time{}
		return
	}
	if w.inherited {
		s.noteInheritedStrayLeases(w)
	}
	if !w.leaseSentAt.IsZero() {
		w.strayLeasesUntil = later(w.strayLeasesUntil, w.leaseSentAt.Add(maxOrderDelay+s.longestHold()))
	}
}

// noteInheritedStrayLeases is noteStrayLeases for the last orders of the earlier owner.
func (s *State) noteInheritedStrayLeases(w *Worker) {
	p := s.Pools.Get(w.pool)
	if p == nil || p.Reconciled {
		return
	}
	w.strayLeasesUntil = later(w.strayLeasesUntil, p.OwnedSince.Add(reconcileSlack+s.longestHold()))
	w.inheritedUntil = later(w.inheritedUntil, w.strayLeasesUntil)
}

// longestUnknownLease returns the longest lease that others than the orders known here may
// have left on a worker.
func (s *State) longestUnknownLease(now time.Time, w *Worker) time.Duration {
	if now.Before(w.strayLeasesUntil) {
		return s.Config.LongestHold
	}
	return s.Config.MaxLease
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// longestHold returns the longest time that a worker may keep runs without a further order.
func (s *State) longestHold() time.Duration { return heldFor(s.Config.LongestHold) }

// heldFor returns the longest time that a lease by a worker's clock takes here.
func heldFor(lease time.Duration) time.Duration {
	return time.Duration(float64(lease)/(1-clockDrift)) + leaseSlack
}

// pollAtOnce polls a worker that may have restarted. A poll that it may hold open, or that a
// broken connection holds up, is replaced by one that is answered at once.
func (s *State) pollAtOnce(id table.ID, now time.Time) {
	w := s.Workers.Get(id)
	if w.mayHaveRestarted = true; !w.pollInFlight || w.pollWaits {
		s.replacePoll(id, now)
	}
}

// replacePoll polls a worker anew, after a sign of a restart that the answer to the poll in
// flight may not know of, since the earlier incarnation may have given it.
func (s *State) replacePoll(id table.ID, now time.Time) {
	w := s.Workers.Get(id)
	w.mayHaveRestarted = true
	w.pollInFlight, w.pollWaits = false, false
	w.pollAttempt++
	s.schedulePoll(id, now)
}

// recognizeWorker compares the incarnation that a worker states in its lists with the known
// one. The worker's own word counts, whatever its registry entry says and whichever start is
// the later one by the time of day: the poll was sent after the other one had become known.
func (s *State) recognizeWorker(tick engine.Tick, id table.ID, stated int64) {
	w := s.Workers.Get(id)
	if stated == 0 || w.Incarnation == 0 || stated == w.Incarnation {
		return
	}
	w.replacedIncarnation = w.Incarnation
	s.endIncarnation(tick.Now, id, stated, fromPoll)
	if entry := w.earlierEntry; entry != nil && entry.Incarnation == stated {
		w.Worker = *entry
	}
	w.earlierEntry = nil
}

// settleFencedRuns gives up the runs whose start the worker refuses by now: it has answered
// under a higher token and does not list them. A start that is under way to the present
// incarnation still gets an answer.
func (s *State) settleFencedRuns(now time.Time, w *Worker, token int64, listed map[table.ID]bool) {
	first := w.firstToken(s.Pools.Get(w.pool))
	for _, id := range slices.Clone(w.runs) {
		run := s.Runs.Get(id)
		if run == nil || listed[id] || run.token >= token || run.State == RunOrdered && run.token >= first {
			continue
		}
		s.abandonRun(now, id, "fenced")
	}
}
