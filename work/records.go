package work

// Progress is the durable state of a job's tasks. A job without a record has
// not begun.
type Progress struct {
	State  JobState
	Stages []StageProgress
}

// StageProgress is the progress of one step of one occurrence.
type StageProgress struct {
	Occurrence int
	Step       int
	Done       []byte // bitmap by task index
	Failed     []TaskFailures
}

// TaskFailures lists the failed runs of a task. Their ends may be read in any
// order and more than once.
type TaskFailures struct {
	Index int
	Runs  []int
}

// IsDone reports whether the task's bit is set.
func (p *StageProgress) IsDone(index int) bool {
	return index/8 < len(p.Done) && p.Done[index/8]&(1<<(index%8)) != 0
}

// SetDone sets the bit of the task.
func (p *StageProgress) SetDone(index int) {
	for len(p.Done) <= index/8 {
		p.Done = append(p.Done, 0)
	}
	p.Done[index/8] |= 1 << (index % 8)
}

// Ownership is the durable record of a pool's owner.
type Ownership struct {
	Node string
	// Incarnation tells a restarted process from its predecessor.
	Incarnation string
	// Epoch grows with each change of owner.
	Epoch int
	// Millicores is the processor share of the node's machine.
	Millicores int
}

// Contact is a worker that may hold runs of a pool, with the address under
// which a new owner reaches it.
type Contact struct {
	Worker      string
	Machine     string
	Address     string
	Incarnation int64 `json:"Born"`
}

// MachineOrderState is the progress of an order for a machine.
type MachineOrderState uint8

// The states of an order for a machine.
const (
	MachineDraining MachineOrderState = iota + 1 // the pool's owner takes the work off
	MachineIdle                                  // nothing runs there; the order may be given
	MachineOrdered                               // given, or being given
	MachineDone
)

// Demand is what the owner of a pool says about its machines.
type Demand struct {
	Need int // machines that the pool can use now
	Have int // machines in the pool that are neither leaving nor under an order
	// Released lists workers that the owner gives up, the least useful first.
	// Nothing runs on them, and the owner starts nothing there before a later
	// report without them is stored.
	Released []string
}

// MachineOrder takes a machine out of its pool, for the maintenance of a wave
// or for a move to another pool.
type MachineOrder struct {
	Machine string
	Worker  string
	Pool    string
	Wave    int    // of a maintenance
	Target  string // pool that a move leads to
	State   MachineOrderState
}
