package dispatch

import "github.com/waxwingbridge/waxwingbridge/placement"

// chargeTeam adds a new run to what its team uses in the pool of the run's worker. The
// whole declared size counts, also of best-effort runs, which reserve no cores.
func (s *State) chargeTeam(run *Run) {
	job := s.Mirror.Spec(run.Name.Job)
	if job == nil || job.Team == "" || run.Name.Step >= len(job.Steps) {
		return
	}
	run.team, run.teamSize = job.Team, job.Steps[run.Name.Step].Size
	p := s.Pools.Get(s.Workers.Get(run.Worker).pool)
	if p == nil {
		run.team = ""
		return
	}
	run.teamPool = s.Workers.Get(run.Worker).pool
	if p.teams == nil {
		p.teams = map[string]placement.Resources{}
	}
	p.teams[run.team] = p.teams[run.team].Add(run.teamSize)
}

// releaseTeam takes a run that no longer exists off the use of its team.
func (s *State) releaseTeam(run *Run) {
	if run == nil || run.team == "" {
		return
	}
	p := s.Pools.Get(run.teamPool)
	if p == nil {
		return
	}
	use := p.teams[run.team].Sub(run.teamSize)
	if use == (placement.Resources{}) {
		delete(p.teams, run.team)
		return
	}
	p.teams[run.team] = use
}

// teamUse returns what the runs of a team that may exist occupy in the pool.
func (p *Pool) teamUse(team string) placement.Resources { return p.teams[team] }
