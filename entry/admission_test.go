package entry

import (
	"fmt"
	"testing"
	"time"

	"github.com/waxwingbridge/waxwingbridge/admission"
	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/intake"
	"github.com/waxwingbridge/waxwingbridge/ledger"
	"github.com/waxwingbridge/waxwingbridge/placement"
	"github.com/waxwingbridge/waxwingbridge/platform"
	"github.com/waxwingbridge/waxwingbridge/work"
)

// Guards against an input of admission that a batch of the store does not reach: manifest,
// partitions, reports, workers, job records and the age of the mirror.
func TestAdmissionReceivesItsInputs(t *testing.T) {
	s := newState(&platform.Settings{Node: "n", Bounds: platform.DefaultBounds()}, Features{}, "i", time.Now)
	tick := engine.Tick{Now: time.Unix(1000, 0)}
	size := placement.Resources{MilliCores: 1000}
	job := func(id, team string) *work.Job {
		return &work.Job{
			ID: id, Queue: "q", Pool: "p", Team: team, Limits: work.Limits{SlowdownFactor: 2, Latency: time.Second}, AcceptedAt: tick.Now,
			Steps: []work.Step{{Count: 10, Size: size, Estimate: time.Second}},
		}
	}
	revision := int64(0)
	records := func(puts ...ledger.Put) {
		batch := platform.Batch{ReadAt: tick.Now}
		for _, put := range puts {
			value, err := encodeRecord(put)
			if err != nil {
				t.Fatal(err)
			}
			revision++
			batch.Entries = append(batch.Entries, platform.Entry{
				Kind: platform.EntryRecord, Name: value.Key[len(platform.RecordPrefix):], Record: value.Value, Revision: revision, CreateRevision: revision,
			})
		}
		batch.Revision, batch.Full = revision, !s.recordsRead
		recordsChanged{batch: batch}.apply(s, tick)
		for _, system := range admission.Systems {
			system.Run(&s.Intake.Admission, tick)
		}
		for _, system := range intake.Systems {
			system.Run(s.Intake, tick)
		}
	}
	manifest := &work.Manifest{Version: 1, Queues: []work.Queue{{Name: "q", Pool: "p"}}, Pools: []work.Pool{{Name: "p"}}}
	manifest.SetTeams([]work.Team{{Name: "large", Weight: 1}, {Name: "small", Weight: 1}})
	operatorWrote{batch: platform.Batch{Entries: []platform.Entry{{Kind: platform.EntryManifest, Manifest: manifest, Revision: 1}}}}.apply(s, tick)
	worker := &work.Worker{ID: "w", Pool: "p", Incarnation: 1, Capacity: placement.Resources{MilliCores: 10_000}}
	registryChanged{batch: platform.Batch{Revision: 1, Full: true, Entries: []platform.Entry{{Kind: platform.EntryWorker, Name: "w", Worker: worker, Revision: 1}}}}.apply(s, tick)
	partitions := work.Partitions{"p": 2}
	records(ledger.Put{Key: ledger.Key{Kind: ledger.KindPartitions, Name: "pools"}, Content: &partitions})
	for _, name := range partitions.PartitionsOf("p") {
		records(ledger.Put{Key: ledger.Key{Kind: ledger.KindDemand, Name: name}, Content: &work.Demand{Need: 1, Have: 2}})
	}
	tick.Now = tick.Now.Add(time.Second)
	for i := range 200 {
		id := fmt.Sprint("job-", i)
		records(ledger.Put{Key: ledger.Key{Kind: ledger.KindJob, Name: id}, Content: job(id, "large")})
	}
	records(ledger.Put{Key: ledger.Key{Kind: ledger.KindJob, Name: "other"}, Content: job("other", "small")})
	s.Intake.Receive(tick, intake.Request{ID: 1, Verb: intake.Submit, Job: "new", Queue: "q", Pool: "p", Team: "large", Spec: job("new", "large"), Deadline: tick.Now.Add(3 * time.Second)})
	tick.Now = tick.Now.Add(50 * time.Millisecond)
	records()
	var got intake.Reply
	s.Intake.Replies.Drain(func(r intake.Reply) { got = r })
	if got.Outcome != intake.NotAccepted || got.Reason != admission.TeamOverShare {
		t.Fatalf("the answer is %v for %v, inputs %+v", got.Outcome, got.Reason, got.Inputs)
	}
	in := got.Inputs
	if in.Weight != 1 || in.OwedShare != 0.5 || in.TeamWork != 2000 || in.PoolWork != 2010 || in.Capacity != 40 || in.Spare != 20 || !in.CapacityKnown ||
		in.MirrorAge != 0 || in.ReportAge != 1050*time.Millisecond {
		t.Errorf("the inputs are %+v", in)
	}
}
