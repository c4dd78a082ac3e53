package clientlimit

import "time"

// Shares and sizes from which the limits of a process follow.
const (
	// budgetShare is the part of the machine's memory that clients may make a process
	// hold. The soft memory limit of the runtime is 0.6; the rest is for the process's
	// own need, 57 MB with 43 machines and 350 workers, and for garbage.
	budgetShare = 0.2
	// needShare is what the process's own need and the budget together may take, and
	// leastShare what clients get at least, however large the need is.
	needShare  = 0.5
	leastShare = 0.05
	// defaultMemory and defaultFds apply to settings without limits.
	defaultMemory = 512 << 20
	defaultFds    = 4096
	// fileFds is the number of descriptors that the platform counts for files.
	fileFds = 200
	// reservedShare is the part of the other descriptors that is kept for the store, the
	// workers, readiness and metrics.
	reservedShare = 0.25
	minReserved   = 80
	// connShare is the part of the budget that connections without requests may take.
	connShare = 0.5
	// ConnBytes is what an open connection holds: two buffers of 4 KB, the stack of its
	// goroutine and its share of the tables. TestCostOfAConnection measures it.
	ConnBytes = 20 << 10
	minConns  = 16
	// internalConns bounds the connections of each listener that isn't for clients.
	internalConns = 32
)

// Class is the listener that a connection belongs to.
type Class uint8

// The listeners of a process.
const (
	Clients Class = iota
	Readiness
	Metrics
	classes
)

// Limits are the limits of a process.
type Limits struct {
	Bytes int64 // for all that clients make the process hold
	// LeastBytes and NeedBytes fit that to the process's own need, see State.SetLive.
	LeastBytes, NeedBytes int64
	// Conns is the largest number of connections of each listener.
	Conns [classes]int
}

// Derive returns the limits of a process with the memory and the number of descriptors
// of its settings. 0 stands for a value that the settings omit.
func Derive(memoryBytes int64, fds int) Limits {
	if memoryBytes <= 0 {
		memoryBytes = defaultMemory
	}
	if fds <= 0 {
		fds = defaultFds
	}
	memory := float64(memoryBytes)
	limits := Limits{Bytes: int64(budgetShare * memory), LeastBytes: int64(leastShare * memory), NeedBytes: int64(needShare * memory)}
	sockets := fds - fileFds
	reserved := max(minReserved, int(reservedShare*float64(sockets)))
	byMemory := int(connShare * float64(limits.Bytes) / ConnBytes)
	limits.Conns[Clients] = max(minConns, min(sockets-reserved, byMemory))
	limits.Conns[Readiness], limits.Conns[Metrics] = internalConns, internalConns
	return limits
}

// Rates that bodies and answers must reach.
const (
	// minRate in bytes a second is a fifteenth of a link of 2 Mbit/s.
	minRate = 16 << 10
	// rateGrace is added to the time that the rate allows, for round trips and lost
	// packets.
	rateGrace = 5 * time.Second
)

// TransferTime is the longest time that the transfer of some bytes may take.
func TransferTime(bytes int) time.Duration {
	return rateGrace + time.Duration(bytes)*time.Second/minRate
}
