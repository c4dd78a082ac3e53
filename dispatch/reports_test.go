package dispatch

import (
	"math/rand"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/waxwingbridge/waxwingbridge/ledger"
	"github.com/waxwingbridge/waxwingbridge/work"
)

// reportTimeout is how long the process waits for the answer to a write.
const reportTimeout = 1500 * time.Millisecond

// isReport reports whether a write is that of a demand report, and returns the report.
func isReport(write ledger.Write) (*work.Demand, bool) {
	if len(write.Put) == 0 {
		return nil, false
	}
	demand, ok := write.Put[0].Content.(*work.Demand)
	return demand, ok
}

// newIdlePool returns a simulation whose pool has released most of its workers.
func newIdlePool(t *testing.T) *simulation {
	w := newSimulation(t, "a", "b", "c", "d", "e", "f", "g", "h")
	w.runTime = 0
	w.run(3 * time.Second)
	if w.demand == nil || len(w.demand.Released) < 4 {
		t.Fatalf("the pool has released too few workers: %+v", w.demand)
	}
	return w
}

// executeLate applies a write whose caller waits no longer, if its conditions still hold.
func (w *simulation) executeLate(write ledger.Write) {
	if _, conflict := w.conflict(&write); conflict {
		return
	}
	w.ledger.Revision++
	for _, put := range write.Put {
		w.revisions[put.Key] = w.ledger.Revision
		if demand, ok := put.Content.(*work.Demand); ok {
			w.demand = demand
		}
	}
}

// showReport has the local copy of the store show the stored report.
func (w *simulation) showReport() {
	key := ledger.Key{Kind: ledger.KindDemand, Name: "pool"}
	w.s.ApplyDemand(w.now, ledger.Record{Key: key, Content: w.demand, Revision: w.revisions[key]})
}

// acceptLasting accepts a job of tasks that last, one on each worker.
func (w *simulation) acceptLasting(id string, tasks int) {
	lasting := step(tasks)
	lasting.LongRunning, lasting.MaxPerWorker, lasting.MaxUnavailable = true, 1, 1
	j := job(lasting)
	j.ID = id
	w.accept(j)
}

// Guards against a report that is stored late and replaces a newer one: the owner of the fleet
// then moves machines that the pool has taken back and uses (review/15, AVAIL).
func TestLateReportReplacesNoLaterOne(t *testing.T) {
	w := newIdlePool(t)
	var late ledger.Write
	w.interceptWrite = func(write ledger.Write) bool {
		if _, report := isReport(write); report && late.ID == 0 {
			late = write
			return true
		}
		return false
	}
	w.run(maxReportInterval + time.Second)
	if late.ID == 0 {
		t.Fatal("no report was sent")
	}
	w.s.WriteDone(w.tickNow(), ledger.WriteResult{ID: late.ID, Outcome: ledger.Unknown})
	w.acceptLasting("j1", 6)
	w.run(2 * time.Second)
	stored := *w.demand
	w.executeLate(late)
	for _, id := range w.demand.Released {
		if len(w.workers[id].running) > 0 {
			t.Errorf("worker %s runs a task and is released in the stored report %+v, before the late one %+v", id, w.demand, stored)
		}
	}
	if n := w.startCount(work.TaskName{Job: "j1"}); n != 1 {
		t.Errorf("the first task was started %d times", n)
	}
}

// Guards against a lack of machines that is reported only once the call of an earlier report has
// ended: its answer may be lost.
func TestLackOfMachinesIsReportedWhileAReportHasNoAnswer(t *testing.T) {
	w := newIdlePool(t)
	var sent []*work.Demand
	w.interceptWrite = func(write ledger.Write) bool {
		demand, report := isReport(write)
		if report {
			sent = append(sent, demand)
		}
		return report
	}
	w.run(maxReportInterval + time.Second)
	if len(sent) != 1 {
		t.Fatalf("%d reports were sent without a change of the demand, want one that waits for its answer", len(sent))
	}
	large := step(200)
	large.Estimate = time.Minute
	w.accept(job(large))
	w.run(urgentReportInterval + demandCheckInterval + 2*simulationStep)
	if last := sent[len(sent)-1]; last.Need <= last.Have {
		t.Errorf("%d reports were sent, the last one is %+v, want one that lacks machines", len(sent), last)
	}
	w.run(2 * time.Second)
	if len(sent) > maxReportsInFlight {
		t.Errorf("%d reports are in flight, want up to %d", len(sent), maxReportsInFlight)
	}
}

// Guards against a pool that stays silent about its lack of machines since its reports are
// refused for good: the answer that tells their revision was lost, another report was stored
// late, or the record is gone.
func TestReportFollowsWhateverIsStored(t *testing.T) {
	key := ledger.Key{Kind: ledger.KindDemand, Name: "pool"}
	for name, change := range map[string]func(w *simulation){
		"another revision": func(w *simulation) { w.ledger.Revision++; w.revisions[key] = w.ledger.Revision },
		"no record":        func(w *simulation) { delete(w.revisions, key) },
	} {
		t.Run(name, func(t *testing.T) {
			w := newIdlePool(t)
			change(w)
			large := step(200)
			large.Estimate = time.Minute
			w.accept(job(large))
			w.run(2*urgentReportInterval + 2*demandCheckInterval + 2*simulationStep)
			if w.demand.Need <= w.demand.Have {
				t.Errorf("the stored report is %+v, want one that lacks machines", w.demand)
			}
		})
	}
}

// Guards against workers that wait for the end of a call although the local copy of the store
// shows the report that takes them back.
func TestReportIsRecognizedInTheLocalCopyOfTheStore(t *testing.T) {
	w := newIdlePool(t)
	w.interceptWrite = func(write ledger.Write) bool {
		_, report := isReport(write)
		if report {
			w.executeLate(write)
		}
		return report // its answer is lost
	}
	w.acceptLasting("j1", 6)
	w.run(200 * time.Millisecond)
	w.showReport()
	w.run(500 * time.Millisecond)
	for index := range 6 {
		if name := (work.TaskName{Job: "j1", Index: index}); w.startCount(name) != 1 {
			t.Errorf("%s was started %d times, want 1", name, w.startCount(name))
		}
	}
}

// Guards against a worker that is used again although its machine is being moved: it was
// released, and a later report that had other reasons to leave it out took it back without the
// condition that no move is planned.
func TestOnlyReclaimingReportsTakeWorkersBack(t *testing.T) {
	w := newIdlePool(t)
	id, _ := w.s.workerByID.Get(w.demand.Released[0])
	worker := w.s.Workers.Get(id)
	w.workers[worker.ID].silent = true
	w.run(maxReportInterval + time.Second)
	if slices.Contains(w.demand.Released, worker.ID) {
		t.Fatalf("the silent worker is still listed in %+v", w.demand)
	}
	if !w.s.Workers.Get(id).released {
		t.Error("the worker may be used again without a report that reclaims it")
	}
}

// fleetOwner plans moves by the stored reports like the owner of the fleet.
type fleetOwner struct {
	moved map[string]bool // workers of machines under a move
}

// plan moves the machines of all released workers.
func (f *fleetOwner) plan(w *simulation) {
	for _, id := range w.demand.Released {
		if !f.moved[id] {
			f.moved[id] = true
			w.ledger.Revision++
			w.revisions[ledger.Key{Kind: ledger.KindMachineMove, Name: w.workers[id].Machine}] = w.ledger.Revision
		}
	}
}

// show has the local copy of the store show the planned moves.
func (f *fleetOwner) show(w *simulation) {
	for id := range f.moved {
		w.s.SetMaintenance(id, true)
	}
}

// lateWrite is a write without an answer.
type lateWrite struct {
	write      ledger.Write
	executedAt time.Time // zero if it is never executed
	answeredAt time.Time // end of the call
	executed   bool
	owner      int64 // token of the sender
}

// Guards against late reports in any order, of one owner or beside a change of the owner, by
// which machines with work are moved, and against a lack of machines that is not reported. Each
// seed stores a share of the reports at once, without an answer, late or never.
func TestNoReportIsStoredOutOfOrder(t *testing.T) {
	for seed := int64(20261207); seed < 20261247; seed++ {
		t.Run(strconv.FormatInt(seed, 10), func(t *testing.T) { playLateReports(t, seed) })
	}
}

func playLateReports(t *testing.T, seed int64) {
	r := rand.New(rand.NewSource(seed))
	w := newSimulation(t, "a", "b", "c", "d", "e", "f", "g", "h", "i", "j")
	w.runTime = 0
	var pending []*lateWrite
	faulty := true
	w.interceptWrite = func(write ledger.Write) bool {
		if _, report := isReport(write); !report || !faulty || r.Float64() < 0.4 {
			return false
		}
		l := &lateWrite{write: write, answeredAt: w.now.Add(reportTimeout), owner: w.token}
		switch r.Intn(3) {
		case 0:
			l.executedAt = w.now
		case 1:
			l.executedAt = w.now.Add(time.Duration(1+r.Intn(6000)) * time.Millisecond)
		}
		pending = append(pending, l)
		return true
	}
	fleet := fleetOwner{moved: map[string]bool{}}
	jobs := 0
	w.run(200 * time.Millisecond)
	for end := w.now.Add(40 * time.Second); w.now.Before(end); {
		w.run(simulationStep)
		r.Shuffle(len(pending), func(i, j int) { pending[i], pending[j] = pending[j], pending[i] })
		for _, l := range pending {
			if !l.executed && !l.executedAt.IsZero() && !w.now.Before(l.executedAt) {
				l.executed = true
				if l.owner == w.token { // otherwise its owner condition fails
					w.executeLate(l.write)
				}
			}
			if !l.answeredAt.IsZero() && !w.now.Before(l.answeredAt) {
				l.answeredAt = time.Time{}
				w.s.WriteDone(w.tickNow(), ledger.WriteResult{ID: l.write.ID, Outcome: ledger.Unknown})
			}
		}
		pending = slices.DeleteFunc(pending, func(l *lateWrite) bool { return l.answeredAt.IsZero() && (l.executed || l.executedAt.IsZero()) })
		id, _ := w.s.poolByName.Get("pool")
		if w.s.Pools.Get(id).firstReportRevision == 0 {
			fleet.show(w) // a new owner starts nothing before its copy of the store has reached its first report
		}
		switch n := r.Intn(2000); {
		case n < 12: // jobs come and end by turns
			jobs++
			w.acceptLasting("l"+strconv.Itoa(jobs), 1+r.Intn(8))
		case n < 24 && jobs > 0:
			w.cancelJob("l" + strconv.Itoa(1+r.Intn(jobs)))
		case n < 100 && w.demand != nil:
			w.showReport()
			fleet.show(w)
		case n < 104:
			if w.demand != nil {
				w.showReport()
			}
			w.changeOwner()
		case n < 140 && w.demand != nil && len(fleet.moved) < 6:
			fleet.plan(w)
		}
		for id := range fleet.moved {
			if len(w.workers[id].running) > 0 {
				t.Fatalf("seed %d, %v: worker %s runs a task although its machine is under a move; stored is %+v", seed, w.now.Sub(simulationStart), id, w.demand)
			}
		}
	}
	faulty = false
	large := step(400)
	large.Estimate = time.Minute
	last := job(large)
	last.ID = "last"
	w.accept(last)
	w.run(2 * reportTimeout)
	if w.demand == nil || w.demand.Need <= w.demand.Have {
		t.Errorf("seed %d: the stored report is %+v, want one that lacks machines", seed, w.demand)
	}
}

// cancelJob has the ledger show the cancellation of a job.
func (w *simulation) cancelJob(id string) {
	w.ledger.Revision++
	w.ledger.Apply(w.now, ledger.Record{Key: ledger.Key{Kind: ledger.KindCancel, Name: id}, Content: &work.Cancellation{Pool: "pool"}, Revision: w.ledger.Revision})
}

// Guards against reports in doubt that are kept without a bound while the store gives no answers.
func TestReportsInDoubtAreBounded(t *testing.T) {
	w := newIdlePool(t)
	w.interceptWrite = func(write ledger.Write) bool {
		_, report := isReport(write)
		if report {
			w.s.WriteDone(w.tickNow(), ledger.WriteResult{ID: write.ID, Outcome: ledger.Unknown})
		}
		return report
	}
	for range 60 {
		w.run(time.Second)
		w.acceptLasting("l"+w.now.String(), 2)
	}
	id, _ := w.s.poolByName.Get("pool")
	if n := len(w.s.Pools.Get(id).reports); n == 0 || n > maxReportsInDoubt {
		t.Errorf("%d reports are kept, want 1 to %d", n, maxReportsInDoubt)
	}
}
