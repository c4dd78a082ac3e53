package placement

import (
	"slices"
	"time"

	"github.com/waxwingbridge/waxwingbridge/table"
)

// usable returns the part of a worker that jobs of its pool may reserve.
func (s *State) usable(w *Worker) Resources {
	if !w.known {
		return Resources{}
	}
	usable := w.Capacity
	if pool, ok := s.policy.Pool(w.Pool); ok {
		usable.MilliCores = int(float64(usable.MilliCores) * pool.JobMilliCoresShare)
	}
	return usable
}

// expectedSize returns the observed quantile of the job's family, or the
// declaration if there is no observation. Accelerators are always as declared.
func (s *State) expectedSize(spec *Spec) Resources {
	size := spec.Size
	if id, ok := s.familyByKey.Get(familyKey{spec.Tenant, spec.Family}); ok && spec.Family != "" {
		if family := s.families.Get(id); family.Observations > 0 {
			size.MilliCores, size.MemoryMB = max(family.PeakUsage.MilliCores, 1), family.PeakUsage.MemoryMB
		}
	}
	return size
}

func (s *State) observed(spec *Spec) bool {
	id, ok := s.familyByKey.Get(familyKey{spec.Tenant, spec.Family})
	return ok && spec.Family != "" && s.families.Get(id).Observations > 0
}

// reservation returns what a new attempt reserves. A declaration without
// observations is bounded by a share of the pool's largest worker, so that one
// wrong declaration cannot block a whole worker.
func (s *State) reservation(spec *Spec) Resources {
	size := s.expectedSize(spec)
	if s.observed(spec) {
		return size
	}
	var largest Resources
	for _, id := range s.workersByPool.Get(spec.Pool) {
		largest = largest.max(s.usable(s.workers.Get(id)))
	}
	size.MilliCores = max(1, min(size.MilliCores, int(s.cfg.MaxDeclaredShare*float64(largest.MilliCores))))
	size.MemoryMB = min(size.MemoryMB, int(s.cfg.MaxDeclaredShare*float64(largest.MemoryMB)))
	return size
}

// hold counts the attempt's reservation against its worker and tenant.
func (s *State) hold(a *Attempt, tenant string) {
	a.holding = true
	w, t := s.ensureWorker(a.Worker), s.tenant(tenant)
	w.Reserved = w.Reserved.Add(a.Reserved)
	t.Reserved = t.Reserved.Add(a.Reserved)
	t.Active++
}

// release returns the attempt's reservation and lets waiting work use it.
func (s *State) release(a *Attempt, tenant string) {
	if !a.holding {
		return
	}
	a.holding = false
	w, t := s.ensureWorker(a.Worker), s.tenant(tenant)
	w.Reserved = w.Reserved.Sub(a.Reserved)
	t.Reserved = t.Reserved.Sub(a.Reserved)
	t.Active--
	s.freed(w, t)
}

func (s *State) freed(w *Worker, t *Tenant) {
	s.changedPools.add(w.Pool)
	s.restoreCheck.add(w.Name)
	for _, pool := range t.blockedPools {
		s.changedPools.add(pool)
	}
	t.blockedPools = t.blockedPools[:0]
}

// resize changes the reservation of an attempt.
func (s *State) resize(a *Attempt, tenant string, to Resources) {
	if a.Reserved == to {
		return
	}
	if a.holding {
		w, t := s.ensureWorker(a.Worker), s.tenant(tenant)
		w.Reserved = w.Reserved.Add(to).Sub(a.Reserved)
		t.Reserved = t.Reserved.Add(to).Sub(a.Reserved)
		if to.MilliCores < a.Reserved.MilliCores || to.MemoryMB < a.Reserved.MemoryMB {
			s.freed(w, t)
		}
	}
	a.Reserved = to
}

// correct adjusts a reservation by lagging usage: up to the observed peak at
// once; down only for a reservation that came from a declaration, and only
// after several reports.
func (s *State) correct(a *Attempt, tenant string, used Resources) {
	a.peak = a.peak.max(used)
	a.reports++
	to := a.Reserved
	full := max(a.fullCores, a.peak.MilliCores)
	to.MemoryMB = max(to.MemoryMB, a.peak.MemoryMB)
	if a.fromDeclaration && a.reports >= correctionReports {
		full = max(1, int(correctionHeadroom*float64(a.peak.MilliCores)))
		to.MemoryMB = int(correctionHeadroom * float64(a.peak.MemoryMB))
	}
	a.fullCores = full
	to.MilliCores = s.throttledCores(a)
	s.resize(a, tenant, to)
}

// throttledCores returns the cores that the attempt reserves now.
func (s *State) throttledCores(a *Attempt) int {
	if a.Throttled {
		return max(1, int(s.cfg.ThrottleShare*float64(a.fullCores)))
	}
	return a.fullCores
}

// setThrottled records a throttle or its end in the reservation.
func (s *State) setThrottled(a *Attempt, tenant string, throttled bool) {
	a.Throttled = throttled
	to := a.Reserved
	to.MilliCores = s.throttledCores(a)
	s.resize(a, tenant, to)
}

// insertAttempt adds the row of an attempt and its reservation.
func (s *State) insertAttempt(jobID table.ID, job *Job, a Attempt) (*Attempt, table.ID) {
	a.Job = jobID
	a.fullCores = a.Reserved.MilliCores
	a.watts = a.Reserved.MilliCores * s.cfg.WattsPerCore / milliCores
	id := s.attempts.Insert(a)
	row := s.attempts.Get(id)
	s.attemptByOp.Put(a.Operation, id)
	s.attemptsByWorker.Add(a.Worker, id)
	s.attemptsByFamily.Add(job.familyKey(), id)
	job.attempt = id
	s.hold(row, job.Tenant)
	return row, id
}

// endAttempt removes the job's attempt, if any. The caller changes the job's state.
func (s *State) endAttempt(job *Job) {
	a := s.attempts.Get(job.attempt)
	if a == nil {
		return
	}
	s.release(a, job.Tenant)
	s.dropAdjustments(a.Operation)
	s.attemptByOp.Delete(a.Operation)
	s.attemptsByWorker.Remove(a.Worker, job.attempt)
	s.attemptsByFamily.Remove(job.familyKey(), job.attempt)
	s.attempts.Delete(job.attempt)
	job.attempt = 0
}

// observeFinished adds the usage of a finished attempt to its family.
func (s *State) observeFinished(job *Job, a *Attempt, now time.Time) {
	job.PeakUsage = a.peak
	if !a.StartedAt.IsZero() {
		job.ActualRunTime = now.Sub(a.StartedAt)
	}
	s.observeFamily(job)
}

// observeFamily skips jobs without a usage report, which say nothing about the size.
func (s *State) observeFamily(job *Job) {
	if job.Family != "" && job.PeakUsage.MilliCores > 0 {
		s.family(job.familyKey()).observe(job.PeakUsage, job.ActualRunTime)
	}
}

func (j *Job) failedOn(worker string) bool { return slices.Contains(j.FailedOn, worker) }
