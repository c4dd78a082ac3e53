package work

import (
	"slices"
	"time"
)

// Progress is the durable state of a job's tasks. A job without such a record
// has not started.
type Progress struct {
	State JobState
	// Finished holds the occurrences of which all steps are done. Stages has none of them.
	Finished OccurrenceSet
	Stages   []StageProgress
}

// StageProgress is the progress of one step of one occurrence.
type StageProgress struct {
	Occurrence int
	Step       int
	Done       []byte // bitmap of the done tasks, by task index
	Failed     []TaskRuns
	Crashed    []TaskCrashes
}

// TaskCrashes counts the crashes of workers under a task.
type TaskCrashes struct {
	Index int
	Runs  []int // numbers of the runs under which a worker crashed
	Early int   // how many of them crashed right after their start
	Late  int   `json:",omitempty"` // how many of them had survived their start
	// Running is the number of a run that was ordered after a crash and had not ended when
	// the record was written, or of a run after whose start its worker had stopped answering,
	// or 0.
	Running int `json:",omitempty"`
}

// TaskRuns lists runs of a task by number, since their ends may be read in any
// order and more than once.
type TaskRuns struct {
	Index int
	Runs  []int
}

// IsDone reports whether the task with the index is done.
func (p *StageProgress) IsDone(index int) bool {
	return index/8 < len(p.Done) && p.Done[index/8]&(1<<(index%8)) != 0
}

// SetDone marks the task with the index as done.
func (p *StageProgress) SetDone(index int) {
	for len(p.Done) <= index/8 {
		p.Done = append(p.Done, 0)
	}
	p.Done[index/8] |= 1 << (index % 8)
}

// Ownership is the durable record of a pool's owner.
type Ownership struct {
	Node string
	// Incarnation distinguishes a restarted process from its predecessor.
	Incarnation string
	// Epoch increases with each change of the owner.
	Epoch int
	// Millicores is the processor capacity available to the node.
	Millicores int
}

// Contact is a worker that may hold runs of a pool, with the address at which a
// new owner reaches it.
type Contact struct {
	Worker      string
	Machine     string
	Address     string
	Incarnation int64 `json:"Born"`
	// LeaseLeft is set for a worker that does not answer: from the write of this record on,
	// none of its runs lasts longer. The owner extends no lease there before it has stored
	// the contact without this limit.
	LeaseLeft time.Duration `json:",omitempty"`
	// LongLeases is set for a worker on which leases may last for the longest time that a
	// worker grants, instead of that which owners order.
	LongLeases bool `json:",omitempty"`
}

// Cancellation is the durable record that a job must not run. It may exist before the job:
// a submission whose write had no result may still be stored later.
type Cancellation struct {
	Pool string // pool of the job's queue; its owner removes the record
}

// MachineOrderState is the progress of an order for a machine.
type MachineOrderState uint8

// The states of an order for a machine.
const (
	MachineDraining MachineOrderState = iota + 1 // the pool's owner is removing the work
	MachineIdle                                  // nothing runs there; the order may be sent
	MachineOrdered                               // the order was or is being sent
	MachineDone
)

// Demand is the report of a pool's owner on the machines that it needs.
type Demand struct {
	Need int // machines that the pool can currently use
	Have int // machines in the pool that are neither draining nor subject to an order
	// Expected is how many machines the forecast of the next turn calls for, or 0. Machines
	// beyond Need come after the needs of all pools.
	Expected int `json:",omitempty"`
	// Released lists workers that the owner gives up. Nothing runs on them, and
	// the owner starts nothing there until a later report without them is
	// stored.
	Released []string
	// Write is the ID of the write by which its owner recognizes it in the store.
	Write uint64
	// Teams lists the teams with a cap that use something or wait for their cap.
	Teams []TeamDemand
	// Obeyed is the revision of the allotment that the owner obeys; 0 without one.
	Obeyed int64
	// Incomplete is set while workers may hold runs that Teams does not contain.
	Incomplete bool
}

// MachineOrder is the durable record of an order that takes a machine out of its
// pool, for the maintenance of a wave or for a move to another pool.
type MachineOrder struct {
	Machine string
	Worker  string
	Pool    string
	Wave    int    // number of the wave, for a maintenance
	Target  string // destination pool, for a move
	State   MachineOrderState
	// Maintained lists the open waves before Wave that have maintained the machine.
	Maintained []int `json:",omitempty"`
}

// MaintainedFor reports whether the maintenance of the machine for a wave has
// finished.
func (o *MachineOrder) MaintainedFor(wave int) bool {
	return o.Wave == wave && o.State == MachineDone || slices.Contains(o.Maintained, wave)
}
