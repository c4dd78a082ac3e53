package admission

import (
	"math"
	"math/bits"
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/ledger"
	"github.com/waxwingbridge/waxwingbridge/work"
)

// Systems lists the systems in the order in which they run.
var Systems = []engine.System[State]{
	{Name: "follow accepted jobs", Run: followJobs},
	{Name: "mark late work", Run: markLate},
}

// followJobs applies the changes of the mirrored jobs.
func followJobs(s *State, tick engine.Tick) {
	if s.Mirror == nil {
		return
	}
	s.Mirror.NotesJobs = s.Load.active
	noted := s.Mirror.TakeNotedJobs()
	if !s.Load.active || !s.Mirror.Synced {
		return
	}
	if s.Load.reload {
		s.Load.reload = false
		for _, j := range s.Mirror.Jobs.All() {
			s.Load.applyJob(tick.Now, j)
		}
	}
	for _, id := range noted {
		if _, j := s.Mirror.Find(id); j != nil && j.Spec != nil {
			s.Load.applyJob(tick.Now, j)
		} else if row, known := s.Load.jobByID.Get(id); known {
			s.Load.deleteJob(row)
		}
	}
}

// applyJob takes over the state of a mirrored job.
func (l *Load) applyJob(now time.Time, mirrored *ledger.Job) {
	id, known := l.jobByID.Get(mirrored.ID)
	if !known {
		id = l.insertJob(now, mirrored.Spec)
	}
	j := l.Jobs.Get(id)
	j.held = false
	state := mirrored.State()
	if j.own && mirrored.Progress != nil {
		j.own = false
		l.Waits.Add(Wait{Team: mirrored.Spec.Team, Time: now.Sub(j.firstSeen)})
	}
	amount := int64(0)
	if !state.Final() {
		amount = remainingWork(mirrored.Spec, mirrored.Progress)
	}
	l.setWork(id, amount)
}

// Hold counts a submission that this process has accepted and not stored yet.
func (l *Load) Hold(now time.Time, spec *work.Job) {
	if _, known := l.jobByID.Get(spec.ID); known || !l.active {
		return
	}
	id := l.insertJob(now, spec)
	j := l.Jobs.Get(id)
	j.held, j.own = true, true
	l.setWork(id, remainingWork(spec, nil))
}

// Release forgets a held submission that this process will not store. Nothing happens if
// the mirror has it.
func (l *Load) Release(job string) {
	if id, known := l.jobByID.Get(job); known && l.Jobs.Get(id).held {
		l.deleteJob(id)
	}
}

// markLate marks the jobs whose objective has passed.
func markLate(s *State, tick engine.Tick) {
	for {
		id, at, ok := s.Load.inTime.Min()
		if !ok || tick.Now.Before(at) {
			return
		}
		s.Load.setLate(id)
	}
}

// ApplyWorker takes over a worker's entry in the registry; a nil worker has left it.
func (l *Load) ApplyWorker(name string, entry *work.Worker, revision int64) {
	id, known := l.workerByName.Get(name)
	if !known && entry == nil {
		return
	}
	if !known {
		id = l.Workers.Insert(Worker{Name: name})
		l.workerByName.Put(name, id)
	}
	w := l.Workers.Get(id)
	if revision <= w.revision {
		return
	}
	w.revision = revision
	l.countWorker(w, -1)
	if entry == nil {
		l.workerByName.Delete(name)
		l.Workers.Delete(id)
		return
	}
	w.pool, w.millicores = l.poolID(entry.Pool), entry.Capacity.MilliCores
	l.countWorker(w, 1)
}

func (l *Load) countWorker(w *Worker, sign int) {
	if p := l.Pools.Get(w.pool); p != nil {
		p.workers += sign
		p.millicores += sign * w.millicores
		l.millicore += sign * w.millicores
	}
}

// ApplyReport takes over the report of a partition's owner.
func (l *Load) ApplyReport(now time.Time, record ledger.Record) {
	demand, ok := record.Content.(*work.Demand)
	if !ok || demand == nil {
		return
	}
	id, known := l.reportByName.Get(record.Key.Name)
	if !known {
		id = l.Reports.Insert(Report{Partition: record.Key.Name})
		l.reportByName.Put(record.Key.Name, id)
		l.reportsOf.Add(l.poolID(work.PoolOf(record.Key.Name)), id)
	}
	r := l.Reports.Get(id)
	if record.Revision <= r.revision {
		return
	}
	machines := max(demand.Have, demand.Need)
	if now.Sub(r.intervalStart) > capacityHold {
		r.previous, r.highest, r.intervalStart = r.highest, machines, now
	}
	if !known {
		r.previous = machines
	}
	r.highest = max(r.highest, machines)
	r.revision, r.ReceivedAt = record.Revision, now
	l.spare -= r.spare
	r.spare = max(0, demand.Have-demand.Need)
	l.spare += r.spare
}

// machines returns the number of machines that a partition has or is about to get.
func (r *Report) machines() int { return max(r.highest, r.previous) }

// remainingWork returns the outstanding work of a job, in units of work. Jobs that run
// until they are cancelled, and those with a schedule, delay no other job for long enough
// or at a known time, and have none.
func remainingWork(spec *work.Job, progress *work.Progress) int64 {
	if spec.Schedule.Times > 0 {
		return 0
	}
	sum := 0.0
	for i := range spec.Steps {
		step := &spec.Steps[i]
		if step.LongRunning {
			return 0
		}
		perTask := float64(step.Reserved().MilliCores) * step.Estimate.Seconds() * 1000
		sum += perTask * float64(max(0, step.Count-doneTasks(progress, i)))
	}
	return int64(math.Min(max(0, sum), maxJobWork))
}

// doneTasks returns how many tasks of a step of the first occurrence are done.
func doneTasks(progress *work.Progress, step int) int {
	done := 0
	if progress == nil {
		return 0
	}
	for i := range progress.Stages {
		if stage := &progress.Stages[i]; stage.Occurrence == 0 && stage.Step == step {
			for _, b := range stage.Done {
				done += bits.OnesCount8(b)
			}
		}
	}
	return done
}

// maxStepTime bounds the estimate of a step, which a client declares.
const maxStepTime = time.Hour

// longestChain returns the estimated time of the longest chain of steps.
func longestChain(spec *work.Job) time.Duration {
	lengths := make([]time.Duration, len(spec.Steps))
	longest := time.Duration(0)
	for i := range spec.Steps {
		for _, before := range spec.Steps[i].After {
			lengths[i] = max(lengths[i], lengths[before])
		}
		lengths[i] += min(max(0, spec.Steps[i].Estimate), maxStepTime)
		longest = max(longest, lengths[i])
	}
	return longest
}

// objective returns the time within which a job should be completed.
func objective(spec *work.Job) time.Duration {
	return time.Duration(max(1, spec.Limits.SlowdownFactor)*float64(longestChain(spec))) + spec.Limits.Latency
}
