// Package estimate learns how long tasks run and how fast workers are from the runs that
// one owner observes. Nothing of it is durable: a new owner starts anew. The package is
// pure; its memory is bounded whatever clients send.
package estimate

import (
	"math"
	"time"

	"github.com/waxwingbridge/waxwingbridge/table"
)

const (
	// priorJobs is the number of observed jobs that weigh as much as the declared time.
	// Estimates are off by 50 to 90 % from job to job, so a few jobs prove little.
	priorJobs = 5.0
	// maxTrust bounds the number of jobs that a row is taken from.
	maxTrust = 64.0
	// halfLife is the time in which observations lose half of their weight.
	halfLife = time.Minute
	// minRatio and maxRatio bound the ratio of one observation, so that a job declared
	// absurdly does not decide for all others.
	minRatio, maxRatio = 1.0 / 8, 8.0
	// maxFactor bounds the factor by which a declared time is corrected.
	maxFactor = 4.0
	// forgotten is the weight below which a row may be replaced.
	forgotten = 0.1
	// maxStep is the highest step with a row of its own: clients choose the number of steps.
	maxStep = 15
)

// StepKey identifies the tasks of one step of the jobs of a queue.
type StepKey struct {
	Queue string
	Step  int
}

func (k StepKey) bounded() StepKey { return StepKey{Queue: k.Queue, Step: min(k.Step, maxStep)} }

// Observation is a finished run.
type Observation struct {
	Key                StepKey
	Image              string // empty for none
	Declared, Observed time.Duration
	// Weight is the part of a job that the run stands for, so that a job of many tasks
	// does not count more than one of few.
	Weight float64
}

// RunTimes holds the ratio of observed to declared run times by queue and step, and by
// image.
type RunTimes struct {
	rows                table.Table[ratio]
	byStep              table.Index[StepKey]
	byImage             table.Index[string]
	maxSteps, maxImages int
}

// ratio is a decaying mean.
type ratio struct {
	sum, weight float64
	at          time.Time
	reported    float64 // factor when Observe last reported a change; 0 for 1
}

// reportedChange is the ratio of two factors from which a change is reported.
const reportedChange = 1.25

// report reports whether the factor has changed since the last report.
func (r *ratio) report(now time.Time) bool {
	before, factor := r.reported, r.shrunk(now, 1)
	if before == 0 {
		before = 1
	}
	if factor < before*reportedChange && factor > before/reportedChange {
		return false
	}
	r.reported = factor
	return true
}

func (r *ratio) decay(now time.Time) {
	if elapsed := now.Sub(r.at); elapsed > 0 {
		factor := math.Exp2(-elapsed.Seconds() / halfLife.Seconds())
		r.sum, r.weight, r.at = r.sum*factor, r.weight*factor, now
	}
}

func (r *ratio) add(now time.Time, value, weight float64) {
	r.decay(now)
	r.sum, r.weight, r.at = r.sum+value*weight, r.weight+weight, now
	if r.weight > maxTrust {
		r.sum, r.weight = r.sum*maxTrust/r.weight, maxTrust
	}
}

// shrunk returns the mean with the prior value weighing as much as priorJobs.
func (r ratio) shrunk(now time.Time, prior float64) float64 {
	r.decay(now)
	return (priorJobs*prior + r.sum) / (priorJobs + r.weight)
}

// NewRunTimes returns an empty table with at most the given numbers of rows. With no rows
// it learns nothing.
func NewRunTimes(maxSteps, maxImages int) *RunTimes {
	return &RunTimes{maxSteps: maxSteps, maxImages: maxImages}
}

// Observe records a finished run. It reports whether the factor of the step has changed
// by a quarter since it last did so.
func (t *RunTimes) Observe(now time.Time, o Observation) (changed bool) {
	if o.Declared <= 0 || o.Observed <= 0 || o.Weight <= 0 {
		return false
	}
	value := min(max(float64(o.Observed)/float64(o.Declared), minRatio), maxRatio)
	if row := rowOf(t, &t.byStep, o.Key.bounded(), t.maxSteps, now); row != nil {
		row.add(now, value, o.Weight)
		changed = row.report(now)
	}
	if o.Image == "" {
		return changed
	}
	if row := rowOf(t, &t.byImage, o.Image, t.maxImages, now); row != nil {
		row.add(now, value, o.Weight)
	}
	return changed
}

// rowOf returns the row of a key, a new one if there is room, or nil.
func rowOf[K comparable](t *RunTimes, index *table.Index[K], key K, limit int, now time.Time) *ratio {
	if id, ok := index.Get(key); ok {
		return t.rows.Get(id)
	}
	if index.Len() >= limit && !forget(t, index, now) {
		return nil
	}
	id := t.rows.Insert(ratio{at: now})
	index.Put(key, id)
	return t.rows.Get(id)
}

// forget removes the rows of an index that have lost their weight, and reports whether
// there were any.
func forget[K comparable](t *RunTimes, index *table.Index[K], now time.Time) bool {
	var old []K
	for key, id := range index.All() {
		row := t.rows.Get(id)
		if row.decay(now); row.weight < forgotten {
			old = append(old, key)
			t.rows.Delete(id)
		}
	}
	for _, key := range old {
		index.Delete(key)
	}
	return len(old) > 0
}

// Factor returns what a declared run time is to be multiplied with. The factor of the
// queue's step is shrunk towards 1, and that of the image towards that of the step.
func (t *RunTimes) Factor(now time.Time, key StepKey, image string) float64 {
	factor := 1.0
	if id, ok := t.byStep.Get(key.bounded()); ok {
		factor = t.rows.Get(id).shrunk(now, factor)
	}
	if id, ok := t.byImage.Get(image); ok && image != "" {
		factor = t.rows.Get(id).shrunk(now, factor)
	}
	return min(max(factor, 1/maxFactor), maxFactor)
}

// Len returns the number of rows.
func (t *RunTimes) Len() int { return t.rows.Len() }
