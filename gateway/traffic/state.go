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

// phase is the state of a request that has no result yet.
type phase uint8

const (
	arriving  phase = iota // until the admit system handles it
	waiting                // in the queue of its pool
	backoff                // until the time of its retry
	running                // an attempt is in flight
	duplicate              // until another request with the same key has a result
)

// Request is a row for a submission that has no result yet.
type Request struct {
	routing.Entry
	Submission *Submission
	Pool       table.ID
	Arrived    time.Time
	Deadline   time.Time
	FirstSent  time.Time

	phase              phase
	attempt            table.ID // in phase running
	attempts           int
	uncreditedAttempts int      // attempts sent without a slot credit
	excludedTarget     table.ID // target of the last failed attempt
	record             table.ID // of its idempotency key
	worker             string   // of the last attempt
	detached           bool     // its caller disconnected and received its result
	// unknownReason tells why the request may have been executed. It is empty if the
	// request was provably not executed.
	unknownReason outcome.Reason
	// notRunReason tells why the last attempt provably did not execute the request.
	notRunReason outcome.Reason
}

// Attempt is a row for a request that was sent to a target. It is kept until the
// round trip has ended, even if the request has a result before that.
type Attempt struct {
	Request table.ID // zero once the request has a result
	Pool    table.ID
	Class   routing.Class
	Choice  routing.Choice
	Worker  string
	SentAt  time.Time
	result  routing.AttemptResult // set when the attempt is aborted; zero otherwise
	// streaming is set while a large response is passed on to the caller.
	streaming bool
}

// Pool is a row for a pool whose requests belong to this shard.
type Pool struct {
	Name      string
	Policy    policy.Pool
	Scheduler routing.Scheduler[Request]
	Targets   routing.PoolTargets

	retryBudget  routing.RetryBudget
	serviceTimes [routing.ClassCount]routing.ServiceTime
	running      [routing.ClassCount]int // attempts in flight by class
	requests     int                     // waiting and running, the demand
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
	Source  *atomic.Pointer[Snapshot] // snapshot that control published last
	Seed    uint64                    // of the random number generator
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

	schedulerRows routing.Rows[Request]
	poolIndex     table.Index[string]
	tenantIndex   table.Index[tenantKey]
	targetIndex   table.Index[targetKey]
	poolTargets   table.MultiIndex[table.ID]

	// Inbound rows of this tick.
	arrived   []table.ID
	abandoned []table.ID
	finished  []*Finished

	dirtyPools  table.Set // pools that the dispatch system must process
	queued      int       // requests in phase waiting
	deadlines   table.Heap[time.Time]
	retryTimes  table.Heap[time.Time]
	idleTenants table.Heap[time.Time] // tenants without requests, by the time of their removal

	demandChanged   table.Set // pools
	nextReportAt    time.Time
	drainingWorkers []string

	// Outbound rows of this tick.
	sends      table.Outbound[Send]
	aborts     table.Outbound[table.ID]
	replies    table.Outbound[Reply]
	discards   table.Outbound[*Response]
	logEntries table.Outbound[LogEntry]
	reports    table.Outbound[Report]
}

// NewState returns the empty state of a shard.
func NewState(config Config) *State {
	if config.Chooser == nil {
		config.Chooser = routing.CreditsFirst{}
	}
	s := &State{config: config}
	s.Targets.Random = rand.New(rand.NewPCG(config.Seed, 0))
	s.schedulerRows = routing.Rows[Request]{
		Requests: &s.Requests, Tenants: &s.Tenants, Entry: func(r *Request) *routing.Entry { return &r.Entry },
	}
	return s
}

func (s *State) markDirty(pool table.ID) { s.dirtyPools.Add(pool) }
