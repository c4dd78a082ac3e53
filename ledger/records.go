// Package ledger defines the durable records in the store, the conditional writes
// that change them, and the in-memory mirror of the job records that every process
// keeps. It does no I/O and does not depend on the encoding of records.
package ledger

import "time"

// Kind is the type of a durable record.
type Kind uint8

// The kinds of records, with the type of their content.
const (
	KindJob          Kind = iota + 1 // *work.Job, by job ID
	KindProgress                     // *work.Progress, by job ID
	KindCancel                       // *work.Cancellation, by job ID
	KindOwner                        // *work.Ownership, by duty; leased
	KindEpoch                        // *work.Ownership, by duty; the last owner, not leased
	KindPeer                         // *work.Ownership, by node; leased
	KindContacts                     // []work.Contact, by pool
	KindMachineOrder                 // *work.MachineOrder for a wave, by machine
	KindMachineMove                  // *work.MachineOrder for a move, by machine
	KindDemand                       // *work.Demand, by pool
	KindPartitions                   // *work.Partitions, a single record
	KindWaveStatus                   // bool: whether the wave is completed, by wave number
	KindAllotment                    // *work.Allotment, a single record
)

// Key identifies a record.
type Key struct {
	Kind Kind
	Name string
}

// Record is a version of a record in the store. A deleted record has no content.
type Record struct {
	Key            Key
	Content        any
	Revision       int64 // of the last change
	CreateRevision int64 // revision of the creation
	Deleted        bool
}

// Condition is a precondition of a Write: the record was last changed at the
// given revision. Revision 0 requires that the record does not exist.
type Condition struct {
	Key      Key
	Revision int64
}

// Put writes a record. The store deletes a leased record when the store lease of
// the process ends.
type Put struct {
	Key     Key
	Content any
	Leased  bool
}

// Write is an atomic change of records, applied only if all conditions hold.
type Write struct {
	ID     uint64
	Expect []Condition
	Put    []Put
	Delete []Key
	// NotAfter is the latest time at which the write may be sent; the zero time
	// means no limit.
	NotAfter time.Time
}

// Entries returns the number of conditions and changes; the store limits it per
// transaction.
func (w *Write) Entries() int { return len(w.Expect) + len(w.Put) + len(w.Delete) }

// Outcome is the result of a write.
type Outcome uint8

// The outcomes of a write.
const (
	Applied   Outcome = iota + 1
	Conflict          // not applied: a condition does not hold
	Refused           // not applied
	Unknown           // may have been applied, or may still be applied
	LeaseGone         // not applied: the store lease of the process has ended
)

// String returns the name used in logs.
func (o Outcome) String() string {
	names := [...]string{"invalid", "applied", "conflict", "refused", "unknown", "lease-gone"}
	if int(o) >= len(names) {
		return names[0]
	}
	return names[o]
}

// WriteResult is the result of a Write.
type WriteResult struct {
	ID       uint64
	Outcome  Outcome
	Revision int64
	Current  []Record // after a conflict: the stored records of the conditions
	Err      error
}
