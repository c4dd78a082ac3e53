package work

import (
	"math/rand"
	"testing"
	"time"

	"github.com/waxwingbridge/waxwingbridge/placement"
)

// Guards against an occurrence that runs twice or never because the compact set of the
// finished ones differs from a plain one.
func TestOccurrenceSetHoldsWhatWasAdded(t *testing.T) {
	const seed, occurrences = 20261205, 60
	random := rand.New(rand.NewSource(seed))
	for range 200 {
		plain, set := map[int]bool{}, OccurrenceSet(nil)
		for range random.Intn(2 * occurrences) {
			n := random.Intn(occurrences)
			plain[n], set = true, set.With(n)
		}
		if set.Len() != len(plain) || !set.IsValid() {
			t.Fatalf("seed %d: %v has length %d, valid %v, want %d", seed, set, set.Len(), set.IsValid(), len(plain))
		}
		for n := range occurrences {
			next := n
			for plain[next] {
				next++
			}
			if set.Contains(n) != plain[n] || set.NextMissing(n) != next {
				t.Fatalf("seed %d: %v: contains %d: %v; next missing %d, want %d", seed, set, n, set.Contains(n), set.NextMissing(n), next)
			}
		}
	}
	if (OccurrenceSet{{First: 0, Last: 1}, {First: 2, Last: 5}}).IsValid() || (OccurrenceSet{{First: 4, Last: 3}}).IsValid() {
		t.Error("touching ranges, or one that ends before it begins, are valid")
	}
}

// Guards against an accepted job that no owner can hold in its tables, and against
// schedules whose due times overflow.
func TestNewJobsBeyondTheLimitsAreInvalid(t *testing.T) {
	steps := func(counts ...int) []Step {
		var all []Step
		for _, n := range counts {
			all = append(all, Step{Count: n})
		}
		return all
	}
	cases := map[string]struct {
		job   Job
		valid bool
	}{
		"a year, every five minutes":   {Job{Steps: steps(6, 6), Schedule: Schedule{Times: 105_120, Interval: 5 * time.Minute}}, true},
		"as many tasks as are allowed": {Job{Steps: steps(maxTasksPerStep, maxTasksPerOccurrence-maxTasksPerStep)}, true},
		"too many tasks":               {Job{Steps: steps(maxTasksPerStep, maxTasksPerStep, 1)}, false},
		"as large as is allowed":       {Job{Steps: []Step{{Count: 1, Size: placement.Resources{MilliCores: maxResourceAmount}}}}, true},
		"absurd size":                  {Job{Steps: []Step{{Count: 1, Size: placement.Resources{MemoryMB: maxResourceAmount + 1}}}}, false},
		"negative interval":            {Job{Steps: steps(1), Schedule: Schedule{Times: 2, Interval: -1}}, false},
		"longer than a duration":       {Job{Steps: steps(1), Schedule: Schedule{Times: 1 << 40, Interval: time.Hour}}, false},
	}
	for name, c := range cases {
		if err := c.job.ValidateNew(); (err == nil) != c.valid {
			t.Errorf("%s: error %v, want valid %v", name, err, c.valid)
		}
		if err := c.job.Validate(); err != nil {
			t.Errorf("%s: a job that is stored already is invalid: %v", name, err)
		}
	}
}
