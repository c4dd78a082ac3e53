// Package forecast learns the period and phase of a demand that alternates between a
// low and a high level, and forecasts it.
//
// A turn is a time of high demand. Its begin and end are found by cumulative sums of
// the log-likelihood of two Poisson rates, which also give the time of the change. The
// memory is a fixed number of figures, and each arrival costs constant time.
package forecast

import (
	"math"
	"time"
)

const (
	// jobRatio is the ratio of the arrival rates that the detection of a turn's begin
	// tells apart. Turns have four to five times the mean.
	jobRatio = 3.0
	// endRatio is the same for the end of a turn.
	endRatio = 4.0
	// beginEvidence and endEvidence are the log-likelihood ratios from which a change
	// counts as proved. With 5 for the end, turns of 130 jobs a second ended early in one of
	// three cases.
	beginEvidence = 6.0
	endEvidence   = 9.0
	// minJobRate is the lowest arrival rate, in jobs a second, that counts as the low
	// level. Two jobs after a long pause must not begin a turn.
	minJobRate = 0.25
	// lowMemory is how long the low level is averaged, and minLowTime the least time,
	// since the rate of the first arrivals tells little.
	lowMemory  = 8 * time.Second
	minLowTime = 2 * time.Second
	// highMemory is how long the rate of a turn is remembered, and highShare the share of
	// it from which a rise may be the next turn.
	highMemory = time.Minute
	highShare  = 0.35
	// recentJobs is the number of arrivals among which the begin of a turn is searched.
	recentJobs = 48
	// shortestTime, in seconds, bounds rates that follow from a few arrivals at once.
	shortestTime = 0.02
	// minTurn is the shortest turn: jobs that waited for the store arrive together within
	// less.
	minTurn = time.Second
	// minPeriod and maxPeriod bound the periods that are learnt.
	minPeriod = 4 * time.Second
	maxPeriod = 2 * time.Minute
	// minTolerance and toleranceShare (a share of the period) bound the distance between a
	// forecast and the turn that confirms it.
	minTolerance   = 700 * time.Millisecond
	toleranceShare = 0.05
	// detectionTime is how long after its begin a turn of few jobs is detected.
	detectionTime = 1500 * time.Millisecond
	// maxLengthRatio is the ratio of the lengths of two turns up to which they count as
	// turns of one demand.
	maxLengthRatio = 1.8
	// initialTrust is the trust after the first period, which nothing has confirmed yet.
	initialTrust = 0.6
	// confirmedTrust is the share of the missing trust that a confirmed forecast adds, and
	// oddTrust the factor of a turn of another time, level or length.
	confirmedTrust = 0.5
	oddTrust       = 0.75
	// minTrust is the trust below which the belief is lost.
	minTrust = 0.35
	// maxRequiredPeriods bounds the equal periods that are required for the next belief.
	maxRequiredPeriods = 3
	// learning is the weight of the last turn in the averages. The phase and the period are
	// fitted by least squares to the turns known so far, with no less weight of the last one
	// than learning and minPeriodGain, so that a slow drift is followed.
	learning      = 0.4
	minPeriodGain = 0.1
)

// Change is an event in what a Learner believes.
type Change uint8

// The changes.
const (
	Unchanged Change = iota
	Learnt           // a period is believed from now on
	Confirmed        // a forecast turn came
	Lost             // the period is no longer believed
)

// Belief is what a Learner believes. The zero value is no belief.
type Belief struct {
	Period time.Duration
	Length time.Duration // of a turn
	Begin  time.Time     // of the current or next turn
	Rate   float64       // during a turn, in core-seconds per second
	Trust  float64       // 0 to 1
}

// turn is a finished turn.
type turn struct {
	begin  time.Time
	length time.Duration
	rate   float64
}

// arrival is a recent arrival of work.
type arrival struct {
	at   time.Time
	work float64
}

// Learner learns the turns of one pool. The zero value has seen nothing.
type Learner struct {
	belief   Belief
	lost     int // beliefs lost without a confirmed forecast since
	known    int // turns that the belief is fitted to
	turns    [maxRequiredPeriods + 1]turn
	turnsLen int

	recent    [recentJobs]arrival // ring
	recentLen int
	recentEnd int // next place in the ring

	high       bool
	stateSince time.Time // begin of the present level
	seenAt     time.Time // time up to which evidence is counted
	evidence   float64   // log-likelihood ratio for a change of the level
	changeAt   time.Time // when the change happened, if it did
	workSince  float64   // core-seconds since changeAt
	jobsSince  int       // jobs since changeAt
	lowRate    float64   // jobs a second at the low level
	lowTime    float64   // seconds that lowRate is averaged over
	highJobs   int
	highWork   float64
	highRate   float64 // jobs a second in the last turns; decays
}

// Belief returns the present belief. Its Trust is 0 without one.
func (l *Learner) Belief() Belief { return l.belief }

// High reports whether a turn is under way.
func (l *Learner) High() bool { return l.high }

// Expect returns the rate that is expected at a time, in core-seconds per second, with
// the trust in it. Without trust there is no expectation. A time between two turns has
// the rate 0.
func (l *Learner) Expect(at time.Time) (rate, trust float64) {
	b := &l.belief
	if b.Trust == 0 || at.Before(b.Begin) {
		return 0, b.Trust
	}
	if at.Sub(b.Begin)%b.Period < b.Length {
		return b.Rate, b.Trust
	}
	return 0, b.Trust
}

// Record adds an arrival of work, in core-seconds. Times must not decrease.
func (l *Learner) Record(now time.Time, work float64) {
	l.advance(now)
	l.recent[l.recentEnd] = arrival{at: now, work: work}
	l.recentEnd = (l.recentEnd + 1) % recentJobs
	l.recentLen = min(l.recentLen+1, recentJobs)
	l.jobsSince++
	l.workSince += work
	if l.high {
		l.highJobs++
		l.highWork += work
		l.addEvidence(now, -math.Log(endRatio))
		return
	}
	l.lowRate += 1 / l.lowSeconds()
	l.addEvidence(now, math.Log(jobRatio))
}

// lowSeconds returns the time over which the low level is averaged.
func (l *Learner) lowSeconds() float64 {
	return min(max(l.lowTime, minLowTime.Seconds()), lowMemory.Seconds())
}

// baseRate returns the rate, in jobs a second, of which a turn has jobRatio times as much.
func (l *Learner) baseRate() float64 {
	return max(l.lowRate, minJobRate, highShare*l.highRate/jobRatio)
}

// addEvidence adds a log-likelihood ratio. Below 0 the change has not happened before now.
func (l *Learner) addEvidence(now time.Time, ratio float64) {
	l.evidence += ratio
	if l.evidence <= 0 {
		l.evidence, l.changeAt, l.jobsSince, l.workSince = 0, now, 0, 0
	}
}

// advance counts the time without arrivals as evidence.
func (l *Learner) advance(now time.Time) {
	if l.seenAt.IsZero() {
		l.seenAt, l.stateSince, l.changeAt = now, now, now
	}
	passed := now.Sub(l.seenAt).Seconds()
	if passed <= 0 {
		return
	}
	l.seenAt = now
	if l.high {
		rate := float64(l.highJobs) / max(now.Sub(l.stateSince).Seconds(), minTurn.Seconds())
		l.addEvidence(now, max(rate, minJobRate)*(1-1/endRatio)*passed)
		return
	}
	l.lowTime += passed
	l.lowRate *= math.Exp(-passed / l.lowSeconds())
	l.highRate *= math.Exp(-passed / highMemory.Seconds())
	l.addEvidence(now, -l.baseRate()*(jobRatio-1)*passed)
}

// Advance detects the begin and end of turns and compares them with the forecast. It
// returns at most one change; further ones follow with the next call.
func (l *Learner) Advance(now time.Time) Change {
	l.advance(now)
	switch {
	case !l.high && l.evidence > beginEvidence && now.Sub(l.stateSince) > minLowTime:
		l.high = true
		l.stateSince, l.highJobs, l.highWork = l.findChange(now, l.baseRate(), true)
		l.resetEvidence(now)
	case l.high && l.evidence > endEvidence:
		return l.endTurn(now)
	case l.belief.Trust > 0:
		return l.checkMissed(now)
	}
	return Unchanged
}

// endTurn ends the present turn and returns what follows for the belief.
func (l *Learner) endTurn(now time.Time) Change {
	end, jobs, work := l.findChange(now, float64(l.highJobs)/max(now.Sub(l.stateSince).Seconds(), shortestTime), false)
	ended := turn{begin: l.stateSince, length: end.Sub(l.stateSince)}
	ended.rate = (l.highWork - work) / max(ended.length.Seconds(), shortestTime)
	l.high, l.stateSince, l.lowTime = false, end, now.Sub(end).Seconds()
	l.lowRate = float64(jobs) / l.lowSeconds()
	l.resetEvidence(now)
	if ended.length < minTurn {
		return Unchanged
	}
	l.highRate = max(l.highRate, float64(l.highJobs-jobs)/ended.length.Seconds())
	return l.turnEnded(ended)
}

// findChange returns the recent arrival at which the rate, in jobs a second, most likely
// changed from the given one, with the jobs and the work since. The cumulative sum alone
// can place a change seconds too early while the levels are little known.
func (l *Learner) findChange(now time.Time, from float64, rises bool) (at time.Time, jobs int, work float64) {
	best, sum := math.Inf(-1), 0.0
	at = l.changeAt
	for i := range l.recentLen {
		a := l.recent[(l.recentEnd-1-i+recentJobs)%recentJobs]
		if !a.at.After(l.stateSince) {
			break // an arrival of the level before
		}
		n, passed := float64(i), max(now.Sub(a.at).Seconds(), shortestTime)
		if rises { // the arrival belongs to the new level
			n++
			sum += a.work
		}
		rate := max(n, 0.5) / passed
		if likelihood := n*math.Log(rate/from) - (rate-from)*passed; rate > from == rises && likelihood > best {
			best, at, jobs, work = likelihood, a.at, int(n), sum
		}
		if !rises {
			sum += a.work
		}
	}
	return at, jobs, work
}

func (l *Learner) resetEvidence(now time.Time) {
	l.evidence, l.changeAt, l.jobsSince, l.workSince = 0, now, 0, 0
}

func tolerance(period time.Duration) time.Duration {
	return max(minTolerance, time.Duration(toleranceShare*float64(period)))
}

// checkMissed drops the belief if a forecast turn did not come. A missed turn always ends
// it, so that one belief costs at most the machines of one turn.
func (l *Learner) checkMissed(now time.Time) Change {
	b := &l.belief
	allowed := 2 * tolerance(b.Period)
	if now.Before(b.Begin.Add(allowed + detectionTime)) {
		return Unchanged
	}
	if l.high && l.stateSince.Sub(b.Begin) <= allowed { // also a turn that began too early and goes on
		if now.Before(b.Begin.Add(b.Period - allowed)) {
			return Unchanged
		}
	}
	return l.lose()
}

// distrust lowers the trust, and drops the belief with too little of it.
func (l *Learner) distrust() Change {
	l.belief.Trust *= oddTrust
	if l.belief.Trust >= minTrust {
		return Unchanged
	}
	return l.lose()
}

func (l *Learner) lose() Change {
	l.belief = Belief{}
	l.lost = min(l.lost+1, maxRequiredPeriods-1)
	return Lost
}

// turnEnded compares a turn with the forecast, or learns the period from the last turns.
func (l *Learner) turnEnded(t turn) Change {
	b := &l.belief
	l.remember(t)
	if b.Trust == 0 {
		return l.learn()
	}
	offset := t.begin.Sub(b.Begin)
	if offset.Abs() > 2*tolerance(b.Period) {
		// A turn beside the forecast ones, such as a burst of one client. Whether the
		// forecast one comes decides about the belief.
		return l.distrust()
	}
	odd := offset.Abs() > tolerance(b.Period) || !similar(b.Length.Seconds(), t.length.Seconds()) || !similar(b.Rate, t.rate)
	l.known++
	n := float64(l.known)
	phaseGain, periodGain := max(2*(2*n-1)/(n*(n+1)), learning), max(6/(n*(n+1)), minPeriodGain)
	b.Period = clampPeriod(b.Period + time.Duration(periodGain*float64(offset)))
	b.Begin = b.Begin.Add(time.Duration(phaseGain * float64(offset))).Add(b.Period)
	b.Length += time.Duration(learning * float64(t.length-b.Length))
	b.Rate += learning * (t.rate - b.Rate)
	if odd {
		return l.distrust()
	}
	b.Trust += confirmedTrust * (1 - b.Trust)
	l.lost = 0
	return Confirmed
}

func clampPeriod(period time.Duration) time.Duration {
	return min(max(period, minPeriod), maxPeriod)
}

func similar(a, b float64) bool { return a <= maxLengthRatio*b && b <= maxLengthRatio*a }

func (l *Learner) remember(t turn) {
	if l.turnsLen == len(l.turns) {
		copy(l.turns[:], l.turns[1:])
		l.turnsLen--
	}
	l.turns[l.turnsLen] = t
	l.turnsLen++
}

// learn believes in a period if the last turns are alike and equally far apart. After
// beliefs that were lost, more periods are required.
func (l *Learner) learn() Change {
	required := l.lost + 1
	if l.turnsLen < required+1 {
		return Unchanged
	}
	turns := l.turns[l.turnsLen-required-1 : l.turnsLen]
	last := turns[len(turns)-1]
	period := last.begin.Sub(turns[0].begin) / time.Duration(required)
	if period < minPeriod || period > maxPeriod {
		return Unchanged
	}
	length, rate := 0.0, 0.0
	for i, t := range turns {
		if i > 0 && (t.begin.Sub(turns[i-1].begin)-period).Abs() > tolerance(period) {
			return Unchanged
		}
		if !similar(t.length.Seconds(), last.length.Seconds()) || !similar(t.rate, last.rate) || 2*t.length > period {
			return Unchanged
		}
		length += t.length.Seconds() / float64(len(turns))
		rate += t.rate / float64(len(turns))
	}
	l.known = required + 1
	l.belief = Belief{
		Period: period, Length: time.Duration(length * float64(time.Second)), Begin: last.begin.Add(period),
		Rate: rate, Trust: initialTrust,
	}
	return Learnt
}
