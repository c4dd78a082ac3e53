// Package ownership decides which process owns which duty: a pool's jobs, or
// the orders for the fleet's machines. A duty has one owner at a time, by a
// record that is bound to the process's store lease. The revision of that
// record is the fencing token of the owner's orders.
//
// The package does no I/O: Apply functions record events, Systems run over the
// tables in each tick, and writes and lease calls leave as outbound rows.
package ownership

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/ledger"
	"github.com/waxwingbridge/waxwingbridge/table"
	"github.com/waxwingbridge/waxwingbridge/work"
)

// Timing of leases and claims.
const (
	// LeaseTTL is the store lease of a process. A killed owner is replaced
	// after it; shorter leases would be lost to a store that is 60 times
	// slower than usual.
	LeaseTTL = 2500 * time.Millisecond
	// renewEvery leaves time for three renewals within the lease.
	renewEvery = 600 * time.Millisecond
	// leaseMargin is subtracted from the lease on this side, for a request that
	// reached the store later than it was sent and for slow timers.
	leaseMargin = 250 * time.Millisecond
	// settleTime is the wait after the first full read before duties are
	// claimed, so that machines that start together see each other and share
	// the duties evenly. All machines start within 300 ms.
	settleTime = 500 * time.Millisecond
	// stepIn is the wait per rank before another process than the preferred
	// one claims a free duty.
	stepIn = 500 * time.Millisecond
	// retryLease is the pause after a failed lease call.
	retryLease = 150 * time.Millisecond
)

// Duty is something that exactly one process does at a time.
type Duty struct {
	Name          string
	Required      bool // by the manifest in force
	Owner         work.Ownership
	Revision      int64 // of the owner's record; 0 while nobody owns it
	EpochRevision int64
	Epoch         int
	UnownedSince  time.Time
	changed       int64  // revision of the last change that was seen, also of a deletion
	claim         uint64 // write in flight
	retryAt       time.Time
}

// Peer is a live process.
type Peer struct {
	Name       string
	Millicores int
	Revision   int64
}

// LeaseCall is an outbound call about the process's store lease.
type LeaseCall struct {
	Verb  LeaseVerb
	Lease int64
}

// LeaseVerb tells what a LeaseCall does.
type LeaseVerb uint8

// The calls about a lease.
const (
	LeaseGrant LeaseVerb = iota + 1
	LeaseRenew
	LeaseRelease
)

// State holds the tables.
type State struct {
	Node        string
	Incarnation string
	Millicores  int // processor share of this machine

	Duties table.Table[Duty]
	Peers  table.Table[Peer]

	Lease           int64
	LeaseValidUntil time.Time

	Writes     table.Outbound[ledger.Write]
	LeaseCalls table.Outbound[LeaseCall]
	NextWrite  func() uint64

	dutyByName  table.Index[string]
	peerByName  table.Index[string]
	advertised  bool
	advertising uint64
	calling     bool
	sentAt      time.Time
	retryAt     time.Time
	syncedAt    time.Time
	stopping    bool
	released    bool
}

// Systems lists the systems in the order in which they run.
var Systems = []engine.System[State]{
	{Name: "keep the store lease", Run: keepLease},
	{Name: "advertise the process", Run: advertise},
	{Name: "claim free duties", Run: claimDuties},
}

// FencingToken returns the fencing token and epoch of a duty that this process owns
// at the moment.
func (s *State) FencingToken(duty string, now time.Time) (token int64, epoch int, owned bool) {
	id, ok := s.dutyByName.Get(duty)
	if !ok {
		return 0, 0, false
	}
	d := s.Duties.Get(id)
	if !s.mine(d) {
		return 0, 0, false
	}
	return d.Revision, d.Owner.Epoch, now.Before(s.LeaseValidUntil)
}

// IsRecordedOwner reports whether the store names this process as the owner, even if
// the lease may have ended by now.
func (s *State) IsRecordedOwner(duty string) bool {
	id, ok := s.dutyByName.Get(duty)
	return ok && s.mine(s.Duties.Get(id))
}

func (s *State) mine(d *Duty) bool {
	return d.Revision != 0 && d.Owner.Node == s.Node && d.Owner.Incarnation == s.Incarnation
}

// SetRequired sets the duties that must have an owner.
func (s *State) SetRequired(now time.Time, duties []string) {
	for _, d := range s.Duties.All() {
		d.Required = slices.Contains(duties, d.Name)
	}
	for _, name := range duties {
		s.duty(now, name).Required = true
	}
}

func (s *State) duty(now time.Time, name string) *Duty {
	if id, ok := s.dutyByName.Get(name); ok {
		return s.Duties.Get(id)
	}
	id := s.Duties.Insert(Duty{Name: name, UnownedSince: now})
	s.dutyByName.Put(name, id)
	return s.Duties.Get(id)
}

// Apply records what the store holds.
func (s *State) Apply(now time.Time, seen ledger.Record) {
	owner, _ := seen.Content.(*work.Ownership)
	switch seen.Key.Kind {
	case ledger.KindOwner:
		d := s.duty(now, seen.Key.Name)
		switch {
		case seen.Revision <= d.changed:
		case seen.Deleted:
			d.Revision, d.changed, d.Owner, d.UnownedSince = 0, seen.Revision, work.Ownership{}, now
		case owner != nil:
			d.Revision, d.changed, d.Owner = seen.Revision, seen.Revision, *owner
		}
	case ledger.KindEpoch:
		d := s.duty(now, seen.Key.Name)
		if owner != nil && seen.Revision > d.EpochRevision {
			d.EpochRevision, d.Epoch = seen.Revision, owner.Epoch
		}
	case ledger.KindPeer:
		s.applyPeer(seen, owner)
	}
}

func (s *State) applyPeer(seen ledger.Record, record *work.Ownership) {
	millicores := 0
	if record != nil {
		millicores = record.Millicores
	}
	id, known := s.peerByName.Get(seen.Key.Name)
	switch {
	case known && seen.Revision <= s.Peers.Get(id).Revision:
	case seen.Deleted && known:
		s.peerByName.Delete(seen.Key.Name)
		s.Peers.Delete(id)
	case !seen.Deleted && known:
		p := s.Peers.Get(id)
		p.Revision, p.Millicores = seen.Revision, millicores
	case !seen.Deleted:
		s.peerByName.Put(seen.Key.Name, s.Peers.Insert(Peer{Name: seen.Key.Name, Millicores: millicores, Revision: seen.Revision}))
	}
	if seen.Deleted && seen.Key.Name == s.Node {
		s.advertised = false
	}
}

// MarkSynced tells that a full read of the store has been applied.
func (s *State) MarkSynced(now time.Time) {
	if s.syncedAt.IsZero() {
		s.syncedAt = now
	}
}

// LeaseCallDone records the answer to a lease call. sentAt is when the call
// left: the lease runs from its arrival, which is not earlier.
func (s *State) LeaseCallDone(now time.Time, call LeaseCall, lease int64, ttl time.Duration, sentAt time.Time, gone bool, err error) {
	s.calling = false
	switch {
	case call.Verb == LeaseRelease:
		s.released = err == nil
	case gone:
		s.Lease, s.LeaseValidUntil, s.advertised = 0, time.Time{}, false
		for _, d := range s.Duties.All() {
			if s.mine(d) { // the records ended with the lease; the watch confirms it
				d.Owner, d.UnownedSince = work.Ownership{}, now
			}
		}
	case err != nil:
		s.retryAt = now.Add(retryLease)
	default:
		if call.Verb == LeaseGrant {
			s.Lease, s.advertised = lease, false
		}
		s.sentAt, s.LeaseValidUntil = sentAt, sentAt.Add(ttl-leaseMargin)
	}
}

func keepLease(s *State, tick engine.Tick) {
	if s.calling || s.released || tick.Now.Before(s.retryAt) {
		return
	}
	switch {
	case s.Lease == 0 && !s.stopping:
		s.callLease(LeaseCall{Verb: LeaseGrant})
	case s.Lease != 0 && s.stopping:
		s.callLease(LeaseCall{Verb: LeaseRelease, Lease: s.Lease})
		s.LeaseValidUntil = time.Time{} // no order leaves after the release
	case s.Lease != 0 && !tick.Now.Before(s.sentAt.Add(renewEvery)):
		s.callLease(LeaseCall{Verb: LeaseRenew, Lease: s.Lease})
	}
}

func (s *State) callLease(call LeaseCall) {
	s.calling = true
	s.LeaseCalls.Add(call)
}

// Release gives up every duty at once, for a planned stop.
func (s *State) Release() { s.stopping = true }

func advertise(s *State, tick engine.Tick) {
	if s.advertised || s.advertising != 0 || s.stopping || !tick.Now.Before(s.LeaseValidUntil) || tick.Now.Before(s.retryAt) {
		return
	}
	s.advertising = s.NextWrite()
	s.Writes.Add(ledger.Write{ID: s.advertising, NotAfter: s.LeaseValidUntil, Put: []ledger.Put{{
		Key: ledger.Key{Kind: ledger.KindPeer, Name: s.Node}, Leased: true,
		Content: &work.Ownership{Node: s.Node, Incarnation: s.Incarnation, Millicores: s.Millicores},
	}}})
}

func claimDuties(s *State, tick engine.Tick) {
	if s.stopping || s.syncedAt.IsZero() || !tick.Now.Before(s.LeaseValidUntil) || !s.advertised {
		return
	}
	settled := !tick.Now.Before(s.syncedAt.Add(settleTime))
	ranks := s.ranks()
	for _, d := range s.Duties.All() {
		if !d.Required || d.claim != 0 || tick.Now.Before(d.retryAt) || (!s.inherits(d) && (d.Revision != 0 || !settled)) {
			continue
		}
		free := d.UnownedSince
		if settled := s.syncedAt.Add(settleTime); free.Before(settled) {
			free = settled
		}
		if tick.Now.Before(free.Add(time.Duration(ranks[d.Name])*stepIn)) && !s.inherits(d) {
			continue
		}
		d.claim = s.NextWrite()
		next := &work.Ownership{Node: s.Node, Incarnation: s.Incarnation, Epoch: d.Epoch + 1}
		s.Writes.Add(ledger.Write{
			ID: d.claim, NotAfter: s.LeaseValidUntil,
			Expect: []ledger.Condition{
				{Key: ledger.Key{Kind: ledger.KindOwner, Name: d.Name}, Revision: d.Revision},
				{Key: ledger.Key{Kind: ledger.KindEpoch, Name: d.Name}, Revision: d.EpochRevision},
			},
			Put: []ledger.Put{
				{Key: ledger.Key{Kind: ledger.KindOwner, Name: d.Name}, Content: next, Leased: true},
				{Key: ledger.Key{Kind: ledger.KindEpoch, Name: d.Name}, Content: next},
			},
		})
	}
}

// inherits reports whether the owner is an earlier process of this machine. It
// has ended, so that its duty need not wait for the end of its lease.
func (s *State) inherits(d *Duty) bool {
	return d.Revision != 0 && d.Owner.Node == s.Node && d.Owner.Incarnation != s.Incarnation
}

// ranks returns, for each duty, how many processes come before this one. The
// order is by the duties per processor share first and by hash second, so that
// every process computes the same order from the same records.
func (s *State) ranks() map[string]int {
	load := map[string]int{}
	names := []string{s.Node}
	share := map[string]int{s.Node: max(1, s.Millicores)}
	for _, p := range s.Peers.All() {
		if p.Name != s.Node {
			names = append(names, p.Name)
			share[p.Name] = max(1, p.Millicores)
		}
	}
	var free []string
	for _, d := range s.Duties.All() {
		switch {
		case d.Revision != 0:
			load[d.Owner.Node]++
		case d.Required:
			free = append(free, d.Name)
		}
	}
	slices.Sort(free)
	ranks := make(map[string]int, len(free))
	for _, duty := range free {
		slices.SortFunc(names, func(a, b string) int {
			return cmp.Or(cmp.Compare((load[a]+1)*share[b], (load[b]+1)*share[a]), cmp.Compare(weight(duty, a), weight(duty, b)), cmp.Compare(a, b))
		})
		load[names[0]]++
		ranks[duty] = slices.Index(names, s.Node)
	}
	return ranks
}

func weight(duty, node string) uint64 { return xxhash.Sum64String(duty + "\x00" + node) }

// WriteDone records the result of a write of this package and reports whether
// the write was its own.
func (s *State) WriteDone(now time.Time, result ledger.WriteResult) bool {
	if result.ID == s.advertising && result.ID != 0 {
		s.advertising = 0
		s.advertised = result.Outcome == ledger.Applied
		if !s.advertised {
			s.retryAt = now.Add(retryLease)
		}
		return true
	}
	for _, d := range s.Duties.All() {
		if d.claim != result.ID || d.claim == 0 {
			continue
		}
		d.claim = 0
		if result.Outcome == ledger.Applied {
			next := work.Ownership{Node: s.Node, Incarnation: s.Incarnation, Epoch: d.Epoch + 1}
			d.Owner, d.Revision, d.changed = next, result.Revision, result.Revision
			d.Epoch, d.EpochRevision = next.Epoch, result.Revision
		} else {
			d.retryAt = now.Add(retryLease)
		}
		for _, seen := range result.Current {
			s.Apply(now, seen)
		}
		return true
	}
	return false
}

// OwnsAny reports whether the store names this process as the owner of a duty.
func (s *State) OwnsAny() bool {
	for _, d := range s.Duties.All() {
		if s.mine(d) {
			return true
		}
	}
	return false
}
