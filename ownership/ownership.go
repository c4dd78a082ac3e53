// Package ownership implements leader election for duties. A duty is work that
// exactly one process does at a time: the jobs of a pool or of a partition of it,
// or the orders to the fleet's machines. The owner of a duty is the process that
// its owner record names; the record is bound to that process's store lease, and
// its revision is the fencing token of the owner's orders.
//
// The package does no I/O: records and results come in through methods, Systems
// run over the tables in each tick, and writes and lease calls leave as outbound
// rows.
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

// Timing of leases and of claims to duties.
const (
	// LeaseTTL is the time to live of a process's store lease, and so the time
	// after which a killed owner is replaced. A shorter lease would expire while
	// the store is 60 times slower than usual.
	LeaseTTL = 1600 * time.Millisecond
	// renewInterval leaves time for three renewals within LeaseTTL.
	renewInterval = 400 * time.Millisecond
	// leaseMargin shortens the lease as seen by its holder, to allow for the
	// delay between sending a request and its arrival, and for late timers.
	leaseMargin = 250 * time.Millisecond
	// startupClaimDelay is the delay between the first full read of the store and
	// the first claim to a duty without owner, so that machines that start
	// together see each other and share the duties evenly. All machines start
	// within 300 ms.
	startupClaimDelay = 500 * time.Millisecond
	// rankDelay is the delay per rank after which a process claims a duty without
	// owner; the preferred process has rank 0 and claims it first.
	rankDelay = 500 * time.Millisecond
	// retryDelay is the pause after a failed lease call or write.
	retryDelay = 150 * time.Millisecond
)

// Duty is work that exactly one process does at a time.
type Duty struct {
	Name            string
	Required        bool // the manifest in force requires an owner
	Owner           work.Ownership
	Revision        int64 // of the owner record; 0 while the duty has no owner
	EpochRevision   int64
	Epoch           int
	UnownedSince    time.Time
	appliedRevision int64          // revision of the last applied change or deletion of the owner record
	claimWrite      uint64         // ID of the claim in flight, or 0
	claim           work.Ownership // content of the claim in flight
	retryAt         time.Time
}

// Peer is a live process, as advertised in the store.
type Peer struct {
	Name       string
	Millicores int
	Revision   int64
}

// LeaseCall is an outbound call for the store lease of this process.
type LeaseCall struct {
	Verb  LeaseVerb
	Lease int64
}

// LeaseVerb is the operation of a LeaseCall.
type LeaseVerb uint8

// The operations on a lease.
const (
	LeaseGrant LeaseVerb = iota + 1
	LeaseRenew
	LeaseRelease
)

// State holds the duties and peers, and the lease of this process.
type State struct {
	Node        string
	Incarnation string
	Millicores  int // processor share of this machine, for ranking

	Duties table.Table[Duty]
	Peers  table.Table[Peer]

	Lease           int64
	LeaseValidUntil time.Time

	Writes     table.Outbound[ledger.Write]
	LeaseCalls table.Outbound[LeaseCall]
	NextWrite  func() uint64

	dutyByName        table.Index[string]
	peerByName        table.Index[string]
	advertised        bool
	advertiseWrite    uint64
	leaseCallInFlight bool
	leaseSentAt       time.Time
	retryAt           time.Time
	syncedAt          time.Time
	stopping          bool
	released          bool
}

// Systems lists the systems in the order in which they run.
var Systems = []engine.System[State]{
	{Name: "maintain the store lease", Run: maintainLease},
	{Name: "advertise the process", Run: advertise},
	{Name: "claim duties without owner", Run: claimDuties},
}

// FencingToken returns the fencing token and epoch of a duty whose owner record
// names this process. owned is false if it names no or another process, or if the
// lease may have expired.
func (s *State) FencingToken(duty string, now time.Time) (token int64, epoch int, owned bool) {
	id, ok := s.dutyByName.Get(duty)
	if !ok {
		return 0, 0, false
	}
	d := s.Duties.Get(id)
	if !s.isOwner(d) {
		return 0, 0, false
	}
	return d.Revision, d.Owner.Epoch, now.Before(s.LeaseValidUntil)
}

// IsRecordedOwner reports whether the owner record of the duty names this process,
// even if the lease may have expired by now.
func (s *State) IsRecordedOwner(duty string) bool {
	id, ok := s.dutyByName.Get(duty)
	return ok && s.isOwner(s.Duties.Get(id))
}

func (s *State) isOwner(d *Duty) bool {
	return d.Revision != 0 && d.Owner.Node == s.Node && d.Owner.Incarnation == s.Incarnation
}

// SetRequired replaces the set of duties that must have an owner.
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

// Apply updates the tables from a store record.
func (s *State) Apply(now time.Time, record ledger.Record) {
	owner, _ := record.Content.(*work.Ownership)
	switch record.Key.Kind {
	case ledger.KindOwner:
		d := s.duty(now, record.Key.Name)
		switch {
		case record.Revision <= d.appliedRevision:
		case record.Deleted:
			d.Revision, d.appliedRevision, d.Owner, d.UnownedSince = 0, record.Revision, work.Ownership{}, now
		case owner != nil:
			d.Revision, d.appliedRevision, d.Owner = record.Revision, record.Revision, *owner
		}
	case ledger.KindEpoch:
		d := s.duty(now, record.Key.Name)
		if owner != nil && record.Revision > d.EpochRevision {
			d.EpochRevision, d.Epoch = record.Revision, owner.Epoch
		}
	case ledger.KindPeer:
		s.applyPeer(record, owner)
	}
}

func (s *State) applyPeer(record ledger.Record, owner *work.Ownership) {
	millicores := 0
	if owner != nil {
		millicores = owner.Millicores
	}
	id, known := s.peerByName.Get(record.Key.Name)
	switch {
	case known && record.Revision <= s.Peers.Get(id).Revision:
	case record.Deleted && known:
		s.peerByName.Delete(record.Key.Name)
		s.Peers.Delete(id)
	case !record.Deleted && known:
		p := s.Peers.Get(id)
		p.Revision, p.Millicores = record.Revision, millicores
	case !record.Deleted:
		s.peerByName.Put(record.Key.Name, s.Peers.Insert(Peer{Name: record.Key.Name, Millicores: millicores, Revision: record.Revision}))
	}
	if record.Deleted && record.Key.Name == s.Node {
		s.advertised = false
	}
}

// MarkSynced records that a full read of the store has been applied.
func (s *State) MarkSynced(now time.Time) {
	if s.syncedAt.IsZero() {
		s.syncedAt = now
	}
}

// LeaseCallDone records the result of a lease call. The lease runs from the arrival
// of the call at the store, which is not earlier than sentAt. gone means that the
// store no longer has the lease.
func (s *State) LeaseCallDone(now time.Time, call LeaseCall, lease int64, ttl time.Duration, sentAt time.Time, gone bool, err error) {
	s.leaseCallInFlight = false
	switch {
	case call.Verb == LeaseRelease:
		s.released = err == nil
	case gone:
		s.Lease, s.LeaseValidUntil, s.advertised = 0, time.Time{}, false
		for _, d := range s.Duties.All() {
			if s.isOwner(d) { // deleted by the store with the lease; the watch will confirm it
				d.Owner, d.UnownedSince = work.Ownership{}, now
			}
		}
	case err != nil:
		s.retryAt = now.Add(retryDelay)
	default:
		if call.Verb == LeaseGrant {
			s.Lease, s.advertised = lease, false
		}
		s.leaseSentAt, s.LeaseValidUntil = sentAt, sentAt.Add(ttl-leaseMargin)
	}
}

func maintainLease(s *State, tick engine.Tick) {
	if s.leaseCallInFlight || s.released || tick.Now.Before(s.retryAt) {
		return
	}
	switch {
	case s.Lease == 0 && !s.stopping:
		s.callLease(LeaseCall{Verb: LeaseGrant})
	case s.Lease != 0 && s.stopping:
		s.callLease(LeaseCall{Verb: LeaseRelease, Lease: s.Lease})
		s.LeaseValidUntil = time.Time{} // send no orders after the release
	case s.Lease != 0 && !tick.Now.Before(s.leaseSentAt.Add(renewInterval)):
		s.callLease(LeaseCall{Verb: LeaseRenew, Lease: s.Lease})
	}
}

func (s *State) callLease(call LeaseCall) {
	s.leaseCallInFlight = true
	s.LeaseCalls.Add(call)
}

// Release gives up all duties by releasing the lease, for a planned shutdown.
func (s *State) Release() { s.stopping = true }

func advertise(s *State, tick engine.Tick) {
	if s.advertised || s.advertiseWrite != 0 || s.stopping || !tick.Now.Before(s.LeaseValidUntil) || tick.Now.Before(s.retryAt) {
		return
	}
	s.advertiseWrite = s.NextWrite()
	key := ledger.Key{Kind: ledger.KindPeer, Name: s.Node}
	s.Writes.Add(ledger.Write{
		ID: s.advertiseWrite, NotAfter: s.LeaseValidUntil,
		Expect: []ledger.Condition{{Key: key, Revision: s.ownRecordRevision()}}, // a late write of an earlier process replaces nothing
		Put: []ledger.Put{{
			Key: key, Leased: true, Content: &work.Ownership{Node: s.Node, Incarnation: s.Incarnation, Millicores: s.Millicores},
		}},
	})
}

// ownRecordRevision returns the revision of the record that advertises this machine, or 0.
func (s *State) ownRecordRevision() int64 {
	if id, ok := s.peerByName.Get(s.Node); ok {
		return s.Peers.Get(id).Revision
	}
	return 0
}

// advertiseAnswered records the result of advertising the process. After a conflict it is
// repeated at once, since the answer states the present revision.
func (s *State) advertiseAnswered(now time.Time, result ledger.WriteResult) {
	s.advertiseWrite = 0
	s.advertised = result.Outcome == ledger.Applied
	key := ledger.Key{Kind: ledger.KindPeer, Name: s.Node}
	switch result.Outcome {
	case ledger.Applied:
		s.applyPeer(ledger.Record{Key: key, Revision: result.Revision}, &work.Ownership{Millicores: s.Millicores})
		return
	case ledger.Conflict:
	default:
		s.retryAt = now.Add(retryDelay)
	}
	before := s.ownRecordRevision()
	for _, record := range result.Current {
		if record.Key != key {
			continue
		}
		if id, known := s.peerByName.Get(s.Node); known && record.Deleted && record.Revision == 0 { // a conflict doesn't tell when it was deleted
			s.peerByName.Delete(s.Node)
			s.Peers.Delete(id)
			continue
		}
		s.Apply(now, record)
	}
	if s.ownRecordRevision() == before {
		s.retryAt = now.Add(retryDelay)
	}
}

func claimDuties(s *State, tick engine.Tick) {
	if s.stopping || s.syncedAt.IsZero() || !tick.Now.Before(s.LeaseValidUntil) || !s.advertised {
		return
	}
	settled := !tick.Now.Before(s.syncedAt.Add(startupClaimDelay))
	var ranks map[string]int
	for _, d := range s.Duties.All() {
		if !d.Required || d.claimWrite != 0 || tick.Now.Before(d.retryAt) || (!s.ownedByPredecessor(d) && (d.Revision != 0 || !settled)) {
			continue
		}
		if ranks == nil { // seldom needed, and it sorts all processes
			ranks = s.ranks()
		}
		unownedSince := d.UnownedSince
		if settled := s.syncedAt.Add(startupClaimDelay); unownedSince.Before(settled) {
			unownedSince = settled
		}
		if tick.Now.Before(unownedSince.Add(time.Duration(ranks[d.Name])*rankDelay)) && !s.ownedByPredecessor(d) {
			continue
		}
		d.claimWrite = s.NextWrite()
		next := &work.Ownership{Node: s.Node, Incarnation: s.Incarnation, Epoch: d.Epoch + 1}
		d.claim = *next
		s.Writes.Add(ledger.Write{
			ID: d.claimWrite, NotAfter: s.LeaseValidUntil,
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

// ownedByPredecessor reports whether the owner is an earlier process of this
// machine. That process has ended, so its duty can be claimed before its lease
// expires.
func (s *State) ownedByPredecessor(d *Duty) bool {
	return d.Revision != 0 && d.Owner.Node == s.Node && d.Owner.Incarnation != s.Incarnation
}

// ranks returns, for each required duty without owner, the number of processes that
// are preferred over this one. Processes are ordered by the number of their duties
// per processor share and then by rendezvous hash, so that every process computes
// the same order from the same records.
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
	var unowned []string
	for _, d := range s.Duties.All() {
		switch {
		case d.Revision != 0:
			load[d.Owner.Node]++
		case d.Required:
			unowned = append(unowned, d.Name)
		}
	}
	slices.Sort(unowned)
	ranks := make(map[string]int, len(unowned))
	for _, duty := range unowned {
		slices.SortFunc(names, func(a, b string) int {
			return cmp.Or(cmp.Compare((load[a]+1)*share[b], (load[b]+1)*share[a]), cmp.Compare(weight(duty, a), weight(duty, b)), cmp.Compare(a, b))
		})
		load[names[0]]++
		ranks[duty] = slices.Index(names, s.Node)
	}
	return ranks
}

func weight(duty, node string) uint64 { return xxhash.Sum64String(duty + "\x00" + node) }

// WriteDone records the result of a write and reports whether this package issued
// the write.
func (s *State) WriteDone(now time.Time, result ledger.WriteResult) bool {
	if result.ID == s.advertiseWrite && result.ID != 0 {
		s.advertiseAnswered(now, result)
		return true
	}
	for _, d := range s.Duties.All() {
		if d.claimWrite != result.ID || d.claimWrite == 0 {
			continue
		}
		d.claimWrite = 0
		if result.Outcome == ledger.Applied {
			// The watch may have delivered these records, and later ones, before.
			claim := d.claim
			s.Apply(now, ledger.Record{Key: ledger.Key{Kind: ledger.KindOwner, Name: d.Name}, Revision: result.Revision, Content: &claim})
			s.Apply(now, ledger.Record{Key: ledger.Key{Kind: ledger.KindEpoch, Name: d.Name}, Revision: result.Revision, Content: &claim})
		} else {
			d.retryAt = now.Add(retryDelay)
		}
		for _, record := range result.Current {
			s.Apply(now, record)
		}
		return true
	}
	return false
}

// OwnsAny reports whether the owner record of any duty names this process.
func (s *State) OwnsAny() bool {
	for _, d := range s.Duties.All() {
		if s.isOwner(d) {
			return true
		}
	}
	return false
}

// HighestToken returns the highest fencing token of the duties whose owner record
// names this process, or 0.
func (s *State) HighestToken() int64 {
	var highest int64
	for _, d := range s.Duties.All() {
		if s.isOwner(d) {
			highest = max(highest, d.Revision)
		}
	}
	return highest
}
