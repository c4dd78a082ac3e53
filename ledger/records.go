// Package ledger holds what the store knows about jobs: a mirror of the
// durable records that every machine keeps, and the writes that change them.
// It does no I/O and knows no encoding.
package ledger

import "time"

// Kind is the type of a durable record.
type Kind uint8

// The kinds of records, with the type of their content.
const (
	KindJob          Kind = iota + 1 // *work.Job, by job ID
	KindProgress                     // *work.Progress, by job ID
	KindCancel                       // no content, by job ID
	KindOwner                        // *work.Ownership, by duty; leased
	KindEpoch                        // *work.Ownership, by duty: the last owner, kept without lease
	KindPeer                         // *work.Ownership, by node; leased
	KindContacts                     // []work.Contact, by pool
	KindMachineOrder                 // *work.MachineOrder for a wave, by machine
	KindMachineMove                  // *work.MachineOrder for a move, by machine
	KindDemand                       // *work.Demand, by pool
	KindPartitions                   // *work.Partitions, one record
	KindWaveStatus                   // bool: completed, by wave number
)

// Key names a record.
type Key struct {
	Kind Kind
	Name string
}

// Record is a record as the store holds it. A deleted record has no content.
type Record struct {
	Key            Key
	Content        any
	Revision       int64 // of the last change
	CreateRevision int64 // revision of the creation
	Deleted        bool
}

// Condition requires that a record was last changed at a revision. 0 requires
// that it does not exist.
type Condition struct {
	Key      Key
	Revision int64
}

// Put writes a record. Leased records vanish with the process's store lease.
type Put struct {
	Key     Key
	Content any
	Leased  bool
}

// Write is an all-or-nothing change of records.
type Write struct {
	ID     uint64
	Expect []Condition
	Put    []Put
	Delete []Key
	// NotAfter is the last moment at which the write may be sent; the zero
	// time means any.
	NotAfter time.Time
}

// Entries returns how many conditions and changes the write has; the store
// bounds them.
func (w *Write) Entries() int { return len(w.Expect) + len(w.Put) + len(w.Delete) }

// Outcome is the result of a write.
type Outcome uint8

// The outcomes of a write.
const (
	Applied   Outcome = iota + 1
	Conflict          // a condition failed; nothing was done
	Refused           // nothing was done
	Unknown           // may have been applied, or may still be
	LeaseGone         // nothing was done: the process's lease has ended
)

// String returns the name used in logs.
func (o Outcome) String() string {
	names := [...]string{"invalid", "applied", "conflict", "refused", "unknown", "lease-gone"}
	if int(o) >= len(names) {
		return names[0]
	}
	return names[o]
}

// WriteResult is the answer to a Write.
type WriteResult struct {
	ID       uint64
	Outcome  Outcome
	Revision int64
	Current  []Record // the expected records as they are, after a conflict
	Err      error
}
