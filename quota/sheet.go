package quota

import (
	"slices"
	"time"

	"github.com/waxwingbridge/waxwingbridge/placement"
	"github.com/waxwingbridge/waxwingbridge/work"
)

// teamSheet holds the amounts of one team's cap during a decision, by partition.
type teamSheet struct {
	d        *decision
	name     string
	limit    placement.Resources
	start    placement.Resources // starting amount
	parts    []work.AllottedPart
	use      []placement.Resources
	waiting  []placement.Resources
	next     []placement.Resources // what the first waiting task needs
	revision int64
}

// resources are the amounts of which a cap consists. Each is shared on its own.
var resources = []func(*placement.Resources) *int{
	func(r *placement.Resources) *int { return &r.MilliCores },
	func(r *placement.Resources) *int { return &r.MemoryMB },
	func(r *placement.Resources) *int { return &r.Accelerators },
}

func (d *decision) newTeamSheet(name string, limit placement.Resources, old *work.TeamAllotment) *teamSheet {
	n := len(d.next.Partitions)
	t := &teamSheet{
		d: d, name: name, limit: limit, start: work.StartingAmount(limit, d.active), revision: d.next.Revision,
		parts: make([]work.AllottedPart, n), use: make([]placement.Resources, n), waiting: make([]placement.Resources, n), next: make([]placement.Resources, n),
	}
	for i, r := range d.reports {
		if r == nil {
			continue
		}
		demand := r.Teams[name]
		t.use[i] = demand.Use
		if d.now.Sub(r.ReceivedAt) < waitingValidity && !d.gone[i] {
			t.waiting[i], t.next[i] = demand.Waiting, demand.Next
		}
	}
	if old != nil {
		t.parts = d.carryParts(old)
		return t
	}
	for i := range t.parts { // the owners use these amounts without a record
		t.parts[i] = work.AllottedPart{Amount: t.start, Held: t.start}
	}
	return t
}

// adoptCap brings the amounts in line with a cap that has changed, and reports whether the
// next version must be written for that.
func (t *teamSheet) adoptCap(old *work.TeamAllotment) bool {
	if old == nil {
		return true
	}
	for _, of := range resources {
		before, now, start := *of(&old.Cap), *of(&t.limit), *of(&t.start)
		if before == now || before != 0 && now != 0 {
			continue
		}
		for i := range t.parts { // the resource gets or loses its limit
			if now == 0 {
				start = 0
			}
			*of(&t.parts[i].Amount), *of(&t.parts[i].Held) = start, start
		}
	}
	return old.Cap != t.limit
}

// distribute releases what partitions have given up, lowers amounts that exceed the cap,
// and shifts amounts to the partitions that lack some. It reports whether an amount changed.
func (t *teamSheet) distribute(restore bool) bool {
	t.release()
	changed := false
	for _, of := range resources {
		if *of(&t.limit) == 0 {
			continue
		}
		c := column{t: t, of: of, cap: *of(&t.limit)}
		changed = c.fit() || changed
		claims, starts := c.claims()
		lacks := func(i int) bool { return *of(&t.waiting[i]) > 0 && c.amount(i) < claims[i] }
		changed = c.shift(claims, lacks) || changed
		if restore && starts && !changed {
			changed = c.shift(claims, func(i int) bool { return !t.d.gone[i] && c.amount(i) < claims[i] }) || changed
		}
	}
	return changed
}

// release lowers what counts against the cap where a report shows that the partition obeys
// its amount. Above the amount its use can only fall.
func (t *teamSheet) release() {
	for i := range t.parts {
		p, r := &t.parts[i], t.d.reports[i]
		obeys := r != nil && r.Obeyed >= p.Lowered && !r.Incomplete
		for _, of := range resources {
			if *of(&t.limit) == 0 {
				continue
			}
			held := max(*of(&p.Amount), *of(&t.use[i]))
			if obeys || held > *of(&p.Held) {
				*of(&p.Held) = held
			}
		}
	}
}

// column is one resource of a team's cap.
type column struct {
	t   *teamSheet
	of  func(*placement.Resources) *int
	cap int
}

func (c *column) amount(i int) int { return *c.of(&c.t.parts[i].Amount) }
func (c *column) held(i int) int   { return *c.of(&c.t.parts[i].Held) }
func (c *column) use(i int) int    { return *c.of(&c.t.use[i]) }

// want is what a partition uses and waits for.
func (c *column) want(i int) int { return min(c.cap, c.use(i)+*c.of(&c.t.waiting[i])) }

func (c *column) lower(i, amount int) {
	p := &c.t.parts[i]
	*c.of(&p.Amount), p.Lowered = amount, c.t.revision
}

func (c *column) raise(i, amount int) {
	p := &c.t.parts[i]
	*c.of(&p.Amount) = amount
	*c.of(&p.Held) = max(*c.of(&p.Held), amount)
}

// fit lowers what partitions may still start if, with what they use, it exceeds the cap. So
// a start under a lowered cap never adds to tasks beyond it in other partitions.
func (c *column) fit() bool {
	used, unused := 0, 0
	for i := range c.t.parts {
		used += c.use(i)
		unused += max(0, c.amount(i)-c.use(i))
	}
	free := max(0, c.cap-used)
	changed := unused > free
	for i := range c.t.parts {
		if spare := c.amount(i) - c.use(i); changed && spare > 0 {
			c.lower(i, c.use(i)+int(int64(spare)*int64(free)/int64(unused)))
		}
	}
	amounts := make([]int, len(c.t.parts))
	for i := range amounts {
		amounts[i] = c.amount(i)
	}
	level := evenLevel(amounts, c.cap)
	for i := range c.t.parts { // what ends beyond the cap is not started again
		if c.amount(i) > level {
			c.lower(i, level)
			changed = true
		}
	}
	return changed
}

// claims returns the amount that each partition should have, and whether the starting
// amounts of all partitions are in it. They are if the cap has room for them beside what is
// used and waited for; otherwise the cap is shared evenly among those that want some, in
// amounts with which a task can start.
func (c *column) claims() (claims []int, starts bool) {
	claims = make([]int, len(c.t.parts))
	sum, start := 0, *c.of(&c.t.start)
	for i := range claims {
		if claims[i] = c.want(i); !c.t.d.gone[i] {
			claims[i] = max(claims[i], start)
		}
		sum += claims[i]
	}
	if sum <= c.cap {
		return claims, true
	}
	wanted := make([]int, len(claims))
	for i := range claims {
		claims[i] = c.want(i)
		wanted[i] = claims[i]
	}
	level := evenLevel(wanted, c.cap)
	left := c.cap
	var unserved []int
	for i := range claims {
		if least := c.least(i); claims[i] > level && level < least {
			claims[i] = min(c.use(i), level) // the even share would lie idle
			unserved = append(unserved, i)
		}
		claims[i] = min(claims[i], level)
		left -= claims[i]
	}
	if len(unserved) == 0 {
		return claims, false
	}
	first := int(c.t.d.now.UnixNano() / int64(turnInterval) % int64(len(unserved)))
	for n := range unserved {
		i := unserved[(first+n)%len(unserved)]
		if more := c.least(i) - claims[i]; c.use(i) <= level && more <= left {
			claims[i] += more
			left -= more
		}
	}
	return claims, false
}

// turnInterval is how long a partition comes first among those whose even share is too small
// for a task. It covers the time until the owners obey and start the task.
const turnInterval = time.Second

// least is the amount with which a partition can start its next task.
func (c *column) least(i int) int { return min(c.want(i), c.use(i)+*c.of(&c.t.next[i])) }

// evenLevel returns the highest level at which amounts cut to it fit into the total.
func evenLevel(amounts []int, total int) int {
	slices.Sort(amounts)
	for i, amount := range amounts {
		if share := total / (len(amounts) - i); amount > share {
			return share
		}
		total -= amount
	}
	return int(^uint(0) >> 1)
}

// minShift is the least part of a cap, as a divisor, that is taken from a partition with as
// much to spare, so that growing demand does not take many small steps.
const minShift = 64

// shift raises the partitions that lack something towards their claims as far as the cap has
// room that is not held. If that is not enough, it lowers others, whose room becomes free
// when they obey. It reports whether an amount changed.
func (c *column) shift(claims []int, lacks func(int) bool) bool {
	var lacking []int
	room, coming := c.cap, 0
	for i := range c.t.parts {
		room -= c.held(i)
		coming += c.held(i) - max(c.amount(i), c.use(i))
		if lacks(i) {
			lacking = append(lacking, i)
		}
	}
	changed, missing := false, 0
	slices.SortFunc(lacking, byLargest(func(i int) int { return c.amount(i) - claims[i] }))
	for _, i := range lacking { // the one that lacks least first: parts of a task would lie idle
		target := min(claims[i], max(c.amount(i), c.held(i))+max(0, room))
		if target > c.amount(i) {
			room -= max(0, target-c.held(i))
			c.raise(i, target)
			changed = true
		}
		missing += claims[i] - c.amount(i)
	}
	if missing -= coming; missing <= 0 {
		return changed
	}
	return c.takeBack(claims, missing) || changed
}

// takeBack lowers partitions that have more than their claim, those with most to spare
// first, until they give up what is missing.
func (c *column) takeBack(claims []int, missing int) bool {
	spare := func(i int) int { return c.amount(i) - claims[i] }
	var donors []int
	for i := range c.t.parts {
		if spare(i) > 0 {
			donors = append(donors, i)
		}
	}
	slices.SortFunc(donors, byLargest(spare))
	changed := false
	for _, i := range donors {
		if missing <= 0 {
			break
		}
		if !c.t.d.donors[i] && len(c.t.d.donors) >= maxDonors {
			continue
		}
		c.t.d.donors[i] = true
		taken := min(spare(i), max(missing, c.cap/minShift))
		c.lower(i, c.amount(i)-taken)
		missing -= taken
		changed = true
	}
	return changed
}
