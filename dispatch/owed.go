package dispatch

import (
	"math"
	"time"

	"github.com/waxwingbridge/waxwingbridge/table"
)

// A team is owed as many jobs a second as its weight, over all partitions. Each partition's
// owner accounts for the part of them that has recently arrived at its partition.
const (
	// arrivalMemory is the time constant of the counts of a team's recent jobs. It is short
	// against the 4 s for which a queue stays in high demand, since the team's jobs move to
	// another partition with it.
	arrivalMemory = time.Second
	// owedBurst is the time for which unused tokens are kept: jobs do not arrive evenly.
	owedBurst = 2 * time.Second
)

// decayingCount counts events of about the last arrivalMemory.
type decayingCount struct {
	value float64
	at    time.Time
}

func (c *decayingCount) add(now time.Time) {
	c.value, c.at = c.read(now)+1, now
}

func (c *decayingCount) read(now time.Time) float64 {
	return c.value * math.Exp(-max(0, now.Sub(c.at)).Seconds()/arrivalMemory.Seconds())
}

// jobBucket is the token bucket of a team in one partition. The zero value is full.
type jobBucket struct {
	arrivals decayingCount // jobs of the team that arrived at the partition
	used     float64       // tokens taken and not refilled
	at       time.Time
}

// take accounts for an arriving job and reports whether it is within what the team is owed
// in this partition. The count of the team's jobs includes this one.
func (b *jobBucket) take(now time.Time, weight float64, all *decayingCount) bool {
	b.arrivals.add(now)
	rate := weight * min(1, b.arrivals.read(now)/max(1, all.read(now)))
	b.used = max(0, b.used-rate*max(0, now.Sub(b.at)).Seconds())
	b.at = now
	if b.used+1 > max(1, rate*owedBurst.Seconds()) {
		return false
	}
	b.used++
	return true
}

// countTeamJobs counts the jobs of each team that have been accepted since the last call,
// in all partitions.
func (s *State) countTeamJobs(now time.Time, changed []table.ID) {
	if s.countedRevision == 0 { // the jobs of the first read were accepted at any time before
		if s.Mirror.Synced {
			s.countedRevision = s.Mirror.Revision
		}
		return
	}
	for _, row := range changed {
		l := s.Mirror.Jobs.Get(row)
		if l == nil || l.Spec == nil || l.Spec.Team == "" || l.CreateRevision <= s.countedRevision || l.CreateRevision > s.Mirror.Revision {
			continue
		}
		count := s.teamJobs[l.Spec.Team]
		count.add(now)
		s.teamJobs[l.Spec.Team] = count
	}
	s.countedRevision = s.Mirror.Revision
}

// beyondWeight reports whether a job that arrives at a pool exceeds what its team is owed.
// Jobs that an owner finds at the start of its ownership are owed: when they arrived is not
// known to the millisecond, and the shares still hold between the teams.
func (s *State) beyondWeight(now time.Time, p *Pool, j *Job) bool {
	team := j.Spec.Team
	if team == "" || j.Created <= p.Token {
		return false
	}
	all := s.teamJobs[team]
	owed := p.ready.teams.Get(p.ready.queueOf(team)).owed.take(now, s.teamWeight(team), &all)
	if !owed {
		s.count("jobs_beyond_weight")
	}
	return !owed
}
