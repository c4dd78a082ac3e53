package work

import (
	"strings"
	"time"
)

// Manifest is one version of the operator's configuration of queues and pools.
type Manifest struct {
	Version      int64
	Queues       []Queue
	Pools        []Pool
	MaxBodyBytes int
	// Limits of requests, each 0 if the manifest sets none.
	MaxHeaderBytes int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration

	// Teams are the teams that SetTeams has set.
	Teams      []Team
	hasTeams   bool
	teamByName map[string]int
	teamByKey  map[KeyHash]int
}

// Queue accepts jobs for one pool.
type Queue struct {
	Name   string
	Host   string
	Prefix string // path prefix, followed by the job's ID
	Pool   string
	Public bool // calls need no key and belong to no team
	Limits Limits
}

// Pool is a set of machines. The machines of a standby pool are powered off.
type Pool struct {
	Name    string
	Standby bool
	// RejectsOverload is set if the pool's workers reject a start that exceeds
	// their capacity.
	RejectsOverload bool
}

// Match returns the queue of the host with the longest prefix of the path, and
// the rest of the path. The queue is nil if none matches.
func (m *Manifest) Match(host, path string) (*Queue, string) {
	var best *Queue
	for i := range m.Queues {
		q := &m.Queues[i]
		if q.Host == host && strings.HasPrefix(path, q.Prefix) && (best == nil || len(q.Prefix) > len(best.Prefix)) {
			best = q
		}
	}
	if best == nil {
		return nil, ""
	}
	return best, path[len(best.Prefix):]
}

// Queue returns the queue with the name, or nil.
func (m *Manifest) Queue(name string) *Queue {
	for i := range m.Queues {
		if m.Queues[i].Name == name {
			return &m.Queues[i]
		}
	}
	return nil
}

// Pool returns the pool with the name, or nil.
func (m *Manifest) Pool(name string) *Pool {
	for i := range m.Pools {
		if m.Pools[i].Name == name {
			return &m.Pools[i]
		}
	}
	return nil
}

// Wave is an operator's request for the maintenance of machines.
type Wave struct {
	Number   int
	Machines []string
	Within   time.Duration
	Cap      int // maximum number of machines in maintenance at the same time
}
