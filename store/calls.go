package store

import "sync/atomic"

// CallKind identifies a method of Store in counters and metrics.
type CallKind uint8

// The kinds of call.
const (
	CallGet CallKind = iota
	CallList
	CallCompareAndSwap
	CallDelete
	CallGrantLease
	CallRenewLease
	CallRevokeLease
	CallWatch
	callKinds
)

var callNames = [callKinds]string{
	"get", "list", "compare-and-swap", "delete", "grant-lease", "renew-lease", "revoke-lease", "watch",
}

// String returns the name that metrics use.
func (k CallKind) String() string {
	if k >= callKinds {
		return "invalid"
	}
	return callNames[k]
}

// IsWrite reports whether a failed call of this kind may have taken effect.
func (k CallKind) IsWrite() bool {
	return k == CallCompareAndSwap || k == CallDelete || k.IsLease()
}

// IsLease reports whether the call concerns a lease.
func (k CallKind) IsLease() bool {
	return k == CallGrantLease || k == CallRenewLease || k == CallRevokeLease
}

// CallCounter counts calls by kind. It is safe for concurrent use.
type CallCounter struct {
	counts [callKinds]atomic.Int64
}

// Add counts one call.
func (c *CallCounter) Add(kind CallKind) { c.counts[kind].Add(1) }

// Get returns the number of calls of a kind.
func (c *CallCounter) Get(kind CallKind) int64 { return c.counts[kind].Load() }

// Total returns the number of calls of all kinds.
func (c *CallCounter) Total() int64 {
	var total int64
	for i := range c.counts {
		total += c.counts[i].Load()
	}
	return total
}

// Snapshot returns the counts by kind name.
func (c *CallCounter) Snapshot() map[string]int64 {
	counts := make(map[string]int64, callKinds)
	for kind := range callKinds {
		counts[kind.String()] = c.Get(kind)
	}
	return counts
}
