package controller

import (
	"slices"
	"strings"

	"github.com/waxwingbridge/waxwingbridge/budget"
	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/fleet"
	"github.com/waxwingbridge/waxwingbridge/membership"
	"github.com/waxwingbridge/waxwingbridge/placement"
	"github.com/waxwingbridge/waxwingbridge/policy"
	"github.com/waxwingbridge/waxwingbridge/wave"
)

type (
	// QueryStatus requests a StatusReport.
	QueryStatus struct{}
	// QueryPools requests a list of PoolReport.
	QueryPools struct{}
	// QueryWorkers requests a list of WorkerReport, of one pool or of all.
	QueryWorkers struct{ Pool string }
	// QueryWave requests a WaveReport.
	QueryWave struct{}
	// QueryJobs requests a list of JobReport, of one tenant or of all.
	QueryJobs struct{ Tenant string }
	// QueryConfig requests the configuration in force.
	QueryConfig struct{}
	// QueryInForce requests an InForceReport: the processes in which a configuration
	// revision is not in force.
	QueryInForce struct{ Revision policy.Revision }
)

// StatusReport is the state of the control of the site.
type StatusReport struct {
	Site             string          `json:"site"`
	Phase            string          `json:"phase"`
	ActiveController string          `json:"active_controller"`
	Epoch            uint64          `json:"epoch"`
	FleetRevision    uint64          `json:"fleet_revision"`
	ConfigRevision   policy.Revision `json:"config_revision"`
	StoreReachable   bool            `json:"store_reachable"`
	PlatformAnswers  bool            `json:"platform_answers"`
	Workers          int             `json:"workers"`
	Serving          int             `json:"serving"`
	Wave             string          `json:"wave"`
	Peers            []PeerReport    `json:"peers"`
}

// PeerReport is the state of a process as its peers see it.
type PeerReport struct {
	Incarnation            string  `json:"incarnation"`
	Role                   string  `json:"role"`
	Address                string  `json:"address"`
	AvailabilityZone       string  `json:"availability_zone"`
	Suspected              bool    `json:"suspected"`
	ConfigRevision         uint64  `json:"config_revision"`
	FleetRevision          uint64  `json:"fleet_revision"`
	LastReceivedSecondsAgo float64 `json:"heard_seconds_ago"`
}

// PoolReport is the availability of a pool.
type PoolReport struct {
	Pool     string  `json:"pool"`
	Spare    bool    `json:"spare"`
	Workers  int     `json:"workers"`
	Serving  int     `json:"serving"`
	Floor    int     `json:"floor"`
	Slack    int     `json:"slack"`
	Borrowed int     `json:"borrowed"`
	Demand   float64 `json:"demand"`
	Waiting  string  `json:"waiting"` // why the wave starts no operation in the pool
}

// WorkerReport is a worker of the fleet.
type WorkerReport struct {
	fleet.Worker
	Waiting string `json:"waiting,omitempty"` // why its operation does not advance
}

// WaveReport is the progress of the wave. The counts include the workers that are in
// the pools of the wave now.
type WaveReport struct {
	Wave       *fleet.Wave            `json:"wave"`
	Pending    int                    `json:"pending"`
	InProgress int                    `json:"in_progress"`
	Maintained int                    `json:"maintained"`
	Waiting    map[string]wave.Reason `json:"waiting"`
}

// JobReport is the state of a job.
type JobReport struct {
	ID       string `json:"id"`
	Tenant   string `json:"tenant"`
	State    string `json:"state"`
	Reason   string `json:"reason"`
	Detail   string `json:"detail,omitempty"`
	Worker   string `json:"worker,omitempty"`
	Attempts int    `json:"attempts"`
}

// LaggingReport is a process in which a configuration revision is not in force.
type LaggingReport struct {
	Incarnation string `json:"incarnation"`
	Role        string `json:"role"`
	Address     string `json:"address"`
	Revision    uint64 `json:"revision"`
	Suspected   bool   `json:"suspected"`
}

// InForceReport is the response to QueryInForce.
type InForceReport struct {
	Revision policy.Revision `json:"revision"`
	Lagging  []LaggingReport `json:"lagging"`
}

func (QueryStatus) execute(s *State, tick engine.Tick, r *Request) {
	tables := s.tables()
	report := StatusReport{
		Site: s.View.Keys.Site(), Phase: s.Leadership.phase.String(), ActiveController: s.View.Leader.Identity.PublicAddress,
		Epoch: tables.Epoch, FleetRevision: tables.Revision, StoreReachable: s.storeReachable(tick.Now),
		PlatformAnswers: s.View.PlatformReachable(), Workers: tables.Workers.Len(), Wave: "none", Peers: []PeerReport{},
	}
	if s.View.Config != nil {
		report.ConfigRevision = s.View.Config.Revision
	}
	if tables.Wave != nil {
		report.Wave = string(tables.Wave.Status)
	}
	for _, row := range tables.Workers.All() {
		if row.Available() {
			report.Serving++
		}
	}
	for _, peer := range s.Peers.Peers.All() {
		if peer.Replaced {
			continue
		}
		report.Peers = append(report.Peers, PeerReport{
			Incarnation: peer.Incarnation, Role: string(peer.Role), Address: peer.Address, AvailabilityZone: peer.AvailabilityZone,
			Suspected: peer.Suspected, ConfigRevision: peer.Revisions[membership.DocumentConfig],
			FleetRevision: peer.Revisions[membership.DocumentFleet], LastReceivedSecondsAgo: tick.Now.Sub(peer.LastReceivedAt).Seconds(),
		})
	}
	s.respond(r, Response{Status: StatusDone, Value: report})
}

func (QueryPools) execute(s *State, _ engine.Tick, r *Request) {
	reports := []PoolReport{}
	if s.View.Policy != nil {
		tables, demand := s.tables(), s.totalDemand()
		availability := budget.Assess(tables, s.View.Policy, demand)
		for _, spec := range s.View.Policy.Pools() {
			pool := availability.Pool(spec.Name)
			reports = append(reports, PoolReport{
				Pool: spec.Name, Spare: spec.Spare, Workers: pool.Size, Serving: pool.Serving, Floor: pool.Floor,
				Slack: pool.Slack(), Borrowed: tables.Borrowed(spec.Name), Demand: demand[spec.Name],
				Waiting: string(s.waitReasons[spec.Name]),
			})
		}
	}
	s.respond(r, Response{Status: StatusDone, Value: reports})
}

func (q QueryWorkers) execute(s *State, _ engine.Tick, r *Request) {
	if !s.poolExists(q.Pool) {
		s.respond(r, unknownPool(q.Pool))
		return
	}
	reports := []WorkerReport{}
	document := s.tables().Document()
	for _, worker := range document.Workers {
		if q.Pool == "" || worker.Pool == q.Pool {
			reports = append(reports, WorkerReport{Worker: worker, Waiting: s.waitReasonOf(worker.ID)})
		}
	}
	s.respond(r, Response{Status: StatusDone, Value: reports})
}

// poolExists reports whether the pool is declared or has workers. It accepts the
// empty name, which stands for all pools.
func (s *State) poolExists(name string) bool {
	if name == "" || s.poolSizes()[name] > 0 {
		return true
	}
	if s.View.Policy == nil {
		return false
	}
	_, declared := s.View.Policy.Pool(name)
	return declared
}

func (s *State) waitReasonOf(worker string) string {
	if id, ok := s.trackedWorkerIndex.Get(worker); ok {
		return string(s.trackedWorkers.Get(id).waitReason)
	}
	return ""
}

func (QueryWave) execute(s *State, _ engine.Tick, r *Request) {
	tables := s.tables()
	report := WaveReport{Wave: tables.Wave, Waiting: s.waitReasons}
	if tables.Wave != nil {
		for _, row := range tables.Workers.All() {
			switch {
			case len(tables.Wave.Pools) > 0 && !slices.Contains(tables.Wave.Pools, row.Pool):
			case row.OperationID != 0:
				report.InProgress++
			case row.MaintainedAt.Before(tables.Wave.StartedAt):
				report.Pending++
			default:
				report.Maintained++
			}
		}
		clone := *tables.Wave
		report.Wave = &clone
	}
	report.Waiting = cloneReasons(s.waitReasons)
	s.respond(r, Response{Status: StatusDone, Value: report})
}

func cloneReasons(reasons map[string]wave.Reason) map[string]wave.Reason {
	clone := make(map[string]wave.Reason, len(reasons))
	for pool, reason := range reasons {
		clone[pool] = reason
	}
	return clone
}

func (q QueryJobs) execute(s *State, _ engine.Tick, r *Request) {
	if !s.Active() {
		s.respond(r, s.notActive())
		return
	}
	reports := []JobReport{}
	s.Jobs.Jobs(func(view placement.JobView) bool {
		if q.Tenant == "" || view.Tenant == q.Tenant {
			reports = append(reports, jobReport(view))
		}
		return true
	})
	slices.SortFunc(reports, func(a, b JobReport) int { return strings.Compare(a.ID, b.ID) })
	s.respond(r, Response{Status: StatusDone, Value: reports})
}

func jobReport(view placement.JobView) JobReport {
	return JobReport{
		ID: view.ID, Tenant: view.Tenant, State: string(view.State), Reason: string(view.Reason),
		Detail: view.Detail, Worker: view.Worker, Attempts: view.Attempts,
	}
}

func (QueryConfig) execute(s *State, _ engine.Tick, r *Request) {
	if s.View.Config == nil {
		s.respond(r, noConfiguration())
		return
	}
	s.respond(r, Response{Status: StatusDone, Value: s.View.Config})
}

func (q QueryInForce) execute(s *State, _ engine.Tick, r *Request) {
	report := InForceReport{Revision: q.Revision, Lagging: []LaggingReport{}}
	for _, lagging := range s.Peers.LaggingProcesses(uint64(q.Revision)) {
		report.Lagging = append(report.Lagging, LaggingReport{
			Incarnation: lagging.Member.Incarnation, Role: string(lagging.Member.Role), Address: lagging.Member.Address,
			Revision: lagging.Revision, Suspected: lagging.Suspected,
		})
	}
	s.respond(r, Response{Status: StatusDone, Value: report})
}
