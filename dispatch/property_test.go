package dispatch

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/waxwingbridge/waxwingbridge/ledger"
	"github.com/waxwingbridge/waxwingbridge/work"
)

// lateOrder is a start that got no answer and is carried out later.
type lateOrder struct {
	order StartOrder
	at    time.Time
}

// storm drives a world with random faults and checks the promises.
type storm struct {
	*world
	random *rand.Rand
	late   []lateOrder
	jobs   int
	broken string
}

// check returns the first broken promise: two runs of a task at one time, or a
// start of a task whose end is saved.
func (s *storm) check() string {
	running := map[work.TaskName]string{}
	for id, f := range s.workers {
		for _, r := range f.running {
			if other, twice := running[r.task]; twice {
				return fmt.Sprintf("task %s runs on %s and %s", r.task, other, id)
			}
			running[r.task] = id
		}
	}
	return s.broken
}

// startLater lets some starts go without an answer and be carried out late.
func (s *storm) startLater(o StartOrder) (StartAnswer, bool) {
	if s.random.Intn(20) > 0 {
		return 0, false
	}
	s.late = append(s.late, lateOrder{o, s.now.Add(time.Duration(s.random.Intn(3000)) * time.Millisecond)})
	return StartUnanswered, true
}

func (s *storm) carryOutLate() {
	kept := s.late[:0]
	for _, l := range s.late {
		if s.now.Before(l.at) {
			kept = append(kept, l)
			continue
		}
		s.start(l.order)
	}
	s.late = kept
}

func (s *storm) saw(task work.TaskName) {
	saved := s.saved[task.Job]
	if saved == nil {
		return
	}
	done := saved.State == work.JobCompleted
	for i := range saved.Stages {
		stage := &saved.Stages[i]
		done = done || (stage.Occurrence == task.Occurrence && stage.Step == task.Step && stage.IsDone(task.Index))
	}
	if done {
		s.broken = fmt.Sprintf("task %s was started after its end was saved", task)
	}
}

func (s *storm) fault() {
	ids := []string{"a", "b", "c"}
	f := s.workers[ids[s.random.Intn(len(ids))]]
	switch s.random.Intn(8) {
	case 0, 1:
		f.silent = !f.silent
	case 2: // the worker starts anew under its ID
		f.Incarnation++
		f.running, f.ended, f.lastEnd, f.token, f.leaseUntil = nil, nil, 0, 0, 0
		f.stopped = map[work.TaskName]int{}
		// Orders to the former life don't reach the new one.
		kept := s.late[:0]
		for _, l := range s.late {
			if l.order.Target.ID != f.ID {
				kept = append(kept, l)
			}
		}
		s.late = kept
		s.ledger.Revision++
		entry := f.Worker
		s.s.WorkerSeen(s.now, &entry, s.ledger.Revision)
	case 3: // another owner takes over
		s.s.DropPool("pool")
		s.ledger.Revision++
		s.token = s.ledger.Revision
		s.s.ContactsSeen(ledger.Record{
			Key: ledger.Key{Kind: ledger.KindContacts, Name: "pool"}, Content: s.contacts, Revision: s.ledger.Revision,
		})
	case 4:
		s.hold = !s.hold
	case 5, 6:
		s.jobs++
		second := step(1 + s.random.Intn(3))
		second.After = []int{0}
		j := job(step(1+s.random.Intn(3)), second)
		j.ID = fmt.Sprintf("j%d", s.jobs)
		s.accept(j)
	}
}

// Guards against the two gravest failures, a task that runs twice and work that
// is lost, under random faults: silent workers, workers that start anew,
// changes of the owner, a store that answers nothing, and late orders.
func TestPromisesHoldUnderRandomFaults(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(20261204)
	parameters.MinSuccessfulTests = 60
	properties := gopter.NewProperties(parameters)
	properties.Property("no task runs twice, all work is done", prop.ForAll(func(seed int64) string {
		s := &storm{world: newWorld(t, "a", "b", "c"), random: rand.New(rand.NewSource(seed))}
		s.intercept, s.observe = s.startLater, s.saw
		s.run(200 * time.Millisecond)
		for range 400 {
			s.run(worldStep * time.Duration(1+s.random.Intn(10)))
			s.carryOutLate()
			if broken := s.check(); broken != "" {
				return fmt.Sprintf("seed %d: %s", seed, broken)
			}
			if s.random.Intn(6) == 0 {
				s.fault()
			}
		}
		s.hold, s.intercept = false, nil
		for _, f := range s.workers {
			f.silent = false
		}
		s.run(20 * time.Second)
		for i := 1; i <= s.jobs; i++ {
			id := fmt.Sprintf("j%d", i)
			if saved := s.saved[id]; saved == nil || saved.State != work.JobCompleted {
				return fmt.Sprintf("seed %d: job %s is not completed: %+v", seed, id, saved)
			}
		}
		return ""
	}, gen.Int64()))
	properties.TestingRun(t)
}
