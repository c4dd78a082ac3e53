package traffic

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/waxwingbridge/waxwingbridge/idempotency"
	"github.com/waxwingbridge/waxwingbridge/outcome"
	"github.com/waxwingbridge/waxwingbridge/policy"
	"github.com/waxwingbridge/waxwingbridge/routing"
	"github.com/waxwingbridge/waxwingbridge/table"
)

// phase says what a request waits for.
type phase uint8

const (
	arriving phase = iota // for the admit system
	waiting               // in the queue of its pool
	backoff               // for the time of its next attempt
	running               // for its attempt
	repeated              // for another request with the same key
)

// Request is a row for a submission that has no answer yet.
type Request struct {
	routing.Entry
	Submission *Submission
	Pool       table.ID
	Arrived    time.Time
	Deadline   time.Time
	FirstSent  time.Time

	phase    phase
	attempt  table.ID // for running
	sends    int
	beyond   int      // sends beyond the slot credits
	exclude  table.ID // target of the last failed attempt
	record   table.ID // of its key
	worker   string   // of the last attempt
	detached bool     // answered because its caller went away; its key still needs an outcome
	// maybeRun is the reason why the request may have been executed, or empty if
	// it provably was not.
	maybeRun outcome.Reason
	// notRun is the reason of the last attempt that provably did not run it.
	notRun outcome.Reason
}

// Attempt is a row for a request that was handed to a target. It lives until
// the round trip has ended, even if the request was answered before.
type Attempt struct {
	Request table.ID // zero once the request was answered
	Pool    table.ID
	Class   routing.Class
	Choice  routing.Choice
	Worker  string
	SentAt  time.Time
	verdict routing.AttemptResult // of an attempt that was given up; zero otherwise
	// streaming is set once a large answer has begun and was handed on.
	streaming bool
}

// Pool is a row for a pool whose requests belong to this shard.
type Pool struct {
	Name      string
	Policy    policy.Pool
	Scheduler routing.Scheduler[Request]
	Targets   routing.PoolTargets

	retries  routing.RetryBudget
	service  [routing.ClassCount]routing.ServiceTime
	running  [routing.ClassCount]int // attempts in flight by class
	requests int                     // waiting and running, the demand
}

type tenantKey struct {
	pool table.ID
	name string
}

type targetKey struct {
	pool            table.ID
	worker, address string
}

// Config configures a shard.
type Config struct {
	Source  *atomic.Pointer[Snapshot] // where control publishes
	Seed    uint64                    // of all random choices
	Chooser routing.Chooser           // nil means slot credits first
	Owns    func(pool string) bool    // pools of this shard; nil means all
}

// State holds the tables of one shard.
type State struct {
	config   Config
	snapshot *Snapshot

	Requests table.Table[Request]
	Attempts table.Table[Attempt]
	Pools    table.Table[Pool]
	Tenants  table.Table[routing.Tenant[Request]]
	Targets  routing.TargetTable
	Records  idempotency.Records[*Response]

	rows        routing.Rows[Request]
	poolIndex   table.Index[string]
	tenantIndex table.Index[tenantKey]
	targetIndex table.Index[targetKey]
	poolTargets table.MultiIndex[table.ID]

	// Inbound rows of this tick.
	arrived   []table.ID
	abandoned []table.ID
	finished  []*Finished

	changed   table.Set // pools that dispatch must look at
	queued    int       // requests in phase waiting
	deadlines table.Heap[time.Time]
	retries   table.Heap[time.Time]
	idle      table.Heap[time.Time] // tenants without requests, by the time of their removal

	demandChanged table.Set // pools
	reportAt      time.Time
	draining      []string

	// Outbound rows of this tick.
	sends    table.Outbound[Send]
	aborts   table.Outbound[table.ID]
	replies  table.Outbound[Reply]
	discards table.Outbound[*Response]
	notices  table.Outbound[LogEntry]
	reports  table.Outbound[Report]
}

// NewState returns the empty state of a shard.
func NewState(config Config) *State {
	if config.Chooser == nil {
		config.Chooser = routing.CreditsFirst{}
	}
	s := &State{config: config}
	s.Targets.Random = rand.New(rand.NewPCG(config.Seed, 0))
	s.rows = routing.Rows[Request]{
		Requests: &s.Requests, Tenants: &s.Tenants, Entry: func(r *Request) *routing.Entry { return &r.Entry },
	}
	return s
}

func (s *State) touch(pool table.ID) { s.changed.Add(pool) }
