package placement

import (
	"slices"
	"time"

	"github.com/waxwingbridge/waxwingbridge/table"
)

// usableCapacity returns the part of a worker's capacity that jobs may reserve.
func (s *State) usableCapacity(w *Worker) Resources {
	if !w.inFleet {
		return Resources{}
	}
	usable := w.Capacity
	if pool, ok := s.policy.Pool(w.Pool); ok {
		usable.MilliCores = int(float64(usable.MilliCores) * pool.JobMilliCoresShare)
	}
	return usable
}

// expectedSize returns the observed usage quantile of the job's family, or the
// declared size if there are no observations. Accelerators are always as declared.
func (s *State) expectedSize(spec *Spec) Resources {
	size := spec.Size
	if id, ok := s.familyByKey.Get(familyKey{spec.Tenant, spec.Family}); ok && spec.Family != "" {
		if family := s.families.Get(id); family.Observations > 0 {
			size.MilliCores, size.MemoryMB = max(family.PeakUsage.MilliCores, 1), family.PeakUsage.MemoryMB
		}
	}
	return size
}

func (s *State) hasObservations(spec *Spec) bool {
	id, ok := s.familyByKey.Get(familyKey{spec.Tenant, spec.Family})
	return ok && spec.Family != "" && s.families.Get(id).Observations > 0
}

// reservation returns the resources that a new attempt reserves. Without observations,
// the declared size is capped at a share of the pool's largest worker, so that a
// wrong declaration cannot occupy a whole worker.
func (s *State) reservation(spec *Spec) Resources {
	size := s.expectedSize(spec)
	if s.hasObservations(spec) {
		return size
	}
	var largest Resources
	for _, id := range s.workersByPool.Get(spec.Pool) {
		largest = largest.max(s.usableCapacity(s.workers.Get(id)))
	}
	size.MilliCores = max(1, min(size.MilliCores, int(s.cfg.MaxDeclaredShare*float64(largest.MilliCores))))
	size.MemoryMB = min(size.MemoryMB, int(s.cfg.MaxDeclaredShare*float64(largest.MemoryMB)))
	return size
}

// holdReservation adds the attempt's reservation to its worker and tenant.
func (s *State) holdReservation(a *Attempt, tenant string) {
	a.holdsReservation = true
	w, t := s.ensureWorker(a.Worker), s.tenant(tenant)
	w.Reserved = w.Reserved.Add(a.Reserved)
	t.Reserved = t.Reserved.Add(a.Reserved)
	t.Active++
}

// releaseReservation frees the attempt's reservation for waiting jobs.
func (s *State) releaseReservation(a *Attempt, tenant string) {
	if !a.holdsReservation {
		return
	}
	a.holdsReservation = false
	w, t := s.ensureWorker(a.Worker), s.tenant(tenant)
	w.Reserved = w.Reserved.Sub(a.Reserved)
	t.Reserved = t.Reserved.Sub(a.Reserved)
	t.Active--
	s.capacityFreed(w, t)
}

func (s *State) capacityFreed(w *Worker, t *Tenant) {
	s.poolsToPlace.add(w.Pool)
	s.workersToUnthrottle.add(w.Name)
	for _, pool := range t.blockedPools {
		s.poolsToPlace.add(pool)
	}
	t.blockedPools = t.blockedPools[:0]
}

// resizeReservation changes the reservation of an attempt.
func (s *State) resizeReservation(a *Attempt, tenant string, to Resources) {
	if a.Reserved == to {
		return
	}
	if a.holdsReservation {
		w, t := s.ensureWorker(a.Worker), s.tenant(tenant)
		w.Reserved = w.Reserved.Add(to).Sub(a.Reserved)
		t.Reserved = t.Reserved.Add(to).Sub(a.Reserved)
		if to.MilliCores < a.Reserved.MilliCores || to.MemoryMB < a.Reserved.MemoryMB {
			s.capacityFreed(w, t)
		}
	}
	a.Reserved = to
}

// adjustReservation adjusts a reservation to the reported usage, which lags behind.
// It is raised to the observed peak immediately. It is lowered only if it came from a
// declaration, and only after several reports.
func (s *State) adjustReservation(a *Attempt, tenant string, used Resources) {
	a.peakUsage = a.peakUsage.max(used)
	a.usageReports++
	to := a.Reserved
	full := max(a.unthrottledMilliCores, a.peakUsage.MilliCores)
	to.MemoryMB = max(to.MemoryMB, a.peakUsage.MemoryMB)
	if a.reservedFromDeclaration && a.usageReports >= reportsBeforeShrink {
		full = max(1, int(reservationHeadroom*float64(a.peakUsage.MilliCores)))
		to.MemoryMB = int(reservationHeadroom * float64(a.peakUsage.MemoryMB))
	}
	a.unthrottledMilliCores = full
	to.MilliCores = s.reservedMilliCores(a)
	s.resizeReservation(a, tenant, to)
}

// reservedMilliCores returns the processor share that the attempt reserves now.
func (s *State) reservedMilliCores(a *Attempt) int {
	if a.Throttled {
		return max(1, int(s.cfg.ThrottleShare*float64(a.unthrottledMilliCores)))
	}
	return a.unthrottledMilliCores
}

// setThrottled records the start or end of a throttle and resizes the reservation.
func (s *State) setThrottled(a *Attempt, tenant string, throttled bool) {
	a.Throttled = throttled
	to := a.Reserved
	to.MilliCores = s.reservedMilliCores(a)
	s.resizeReservation(a, tenant, to)
}

// insertAttempt inserts an attempt and adds its reservation.
func (s *State) insertAttempt(jobID table.ID, job *Job, a Attempt) (*Attempt, table.ID) {
	a.Job = jobID
	a.unthrottledMilliCores = a.Reserved.MilliCores
	a.estimatedWatts = a.Reserved.MilliCores * s.cfg.WattsPerCore / milliCoresPerCore
	id := s.attempts.Insert(a)
	row := s.attempts.Get(id)
	s.attemptByOperation.Put(a.Operation, id)
	s.attemptsByWorker.Add(a.Worker, id)
	s.attemptsByFamily.Add(job.familyKey(), id)
	job.attempt = id
	s.holdReservation(row, job.Tenant)
	return row, id
}

// endAttempt deletes the job's attempt, if any. The caller changes the job's state.
func (s *State) endAttempt(job *Job) {
	a := s.attempts.Get(job.attempt)
	if a == nil {
		return
	}
	s.releaseReservation(a, job.Tenant)
	s.dropAdjustments(a.Operation)
	s.attemptByOperation.Delete(a.Operation)
	s.attemptsByWorker.Remove(a.Worker, job.attempt)
	s.attemptsByFamily.Remove(job.familyKey(), job.attempt)
	s.attempts.Delete(job.attempt)
	job.attempt = 0
}

// recordUsage records the usage of a finished attempt in its job and family.
func (s *State) recordUsage(job *Job, a *Attempt, now time.Time) {
	job.PeakUsage = a.peakUsage
	if !a.StartedAt.IsZero() {
		job.ActualRunTime = now.Sub(a.StartedAt)
	}
	s.addFamilySample(job)
}

// addFamilySample skips jobs without a usage report, because their usage is unknown.
func (s *State) addFamilySample(job *Job) {
	if job.Family != "" && job.PeakUsage.MilliCores > 0 {
		s.family(job.familyKey()).addSample(job.PeakUsage, job.ActualRunTime)
	}
}

func (j *Job) failedOn(worker string) bool { return slices.Contains(j.FailedOn, worker) }
