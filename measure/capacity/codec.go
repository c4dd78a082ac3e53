package main

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/gateway/traffic"
	"github.com/waxwingbridge/waxwingbridge/infra"
	"github.com/waxwingbridge/waxwingbridge/membership"
	"github.com/waxwingbridge/waxwingbridge/node"
	"github.com/waxwingbridge/waxwingbridge/peerapi"
	"github.com/waxwingbridge/waxwingbridge/peerapi/peerpb"
	"github.com/waxwingbridge/waxwingbridge/placement"
	"github.com/waxwingbridge/waxwingbridge/placement/pagecodec"
	"github.com/waxwingbridge/waxwingbridge/policy"
	"github.com/waxwingbridge/waxwingbridge/table"
)

// minProcessorMillis returns the processor time of one run in milliseconds, the
// lowest of several repeats.
func minProcessorMillis(run func()) float64 {
	const runs = 20
	var least float64
	for i := range repeats {
		began := processorTime()
		for range runs {
			run()
		}
		if used := float64(processorTime()-began) / runs / float64(time.Millisecond); i == 0 || used < least {
			least = used
		}
	}
	return least
}

// must panics on an error that valid fixtures cannot cause.
func must[T any](value T, err error) T {
	if err != nil {
		panic(err)
	}
	return value
}

func gzipped(data []byte) []byte {
	var out bytes.Buffer
	writer := gzip.NewWriter(&out)
	must(writer.Write(data))
	if err := writer.Close(); err != nil {
		panic(err)
	}
	return out.Bytes()
}

const (
	// base64Growth is the size increase of a value in the JSON protocol of the store.
	base64Growth        = 4.0 / 3
	kilobyte            = 1000.0
	listsPerSecond      = float64(time.Second) / float64(node.WorkerListInterval)
	configChangesPerDay = 270
	day                 = 24 * time.Hour
)

// measureCodecs measures the encoding and decoding that the I/O goroutines of one
// process do.
func measureCodecs(s *site, r *report) {
	x := float64(s.size.workers)
	list := must(json.Marshal(s.machines.list()))
	r.add("VM list: size compressed", "KB", x, float64(len(gzipped(list)))/kilobyte)
	r.add("VM list: decode", "ms", x, minProcessorMillis(func() {
		var workers []infra.Worker
		must(0, json.Unmarshal(list, &workers))
	}))
	document := must(node.EncodeFleet(s.fleet.Document))
	r.add("fleet document: size as stored, in base64", "KB", x, base64Growth*float64(len(document))/kilobyte)
	r.add("fleet document: encode", "ms", x, minProcessorMillis(func() { must(node.EncodeFleet(s.fleet.Document)) }))
	r.add("fleet document: decode", "ms", x, minProcessorMillis(func() { must(node.DecodeFleet(document)) }))
	config := must(policy.Encode(s.config.Document))
	r.add("configuration: size, in base64", "KB", x, base64Growth*float64(len(config))/kilobyte)
	r.add("configuration: decode, validate, resolve", "ms", x, minProcessorMillis(func() {
		doc := must(policy.Decode(config))
		must(0, policy.Validate(doc))
		policy.Resolve(doc, s.now)
	}))
	measurePages(s, r, x)
	measureTasks(s, r, x)
	sent, received := &s.gateways[0].traffic.sentMessages, &s.gateways[0].traffic.receivedMessages
	r.add("peer exchange: encode and decode", "% core", x, percent*messageCost(*sent, *received).Seconds()/measuredPeriod.Seconds())
	r.add("traffic shards: adopt snapshots", "% core", x, percent*snapshotAdoptionCost(s).Seconds()/measuredPeriod.Seconds())
}

func measurePages(s *site, r *report, x float64) {
	if len(s.pages) == 0 {
		return
	}
	var size int
	began := processorTime()
	var encoders [placement.PageCount]pagecodec.Encoder
	for _, page := range s.pages {
		size += len(must(encoders[page.Index].Encode(page)))
	}
	used := processorTime() - began
	writes := float64(len(s.pages))
	r.add("job pages: writes", "/s", x, writes/measuredPeriod.Seconds())
	r.add("job pages: size of a write, in base64", "KB", x, base64Growth*float64(size)/writes/kilobyte)
	r.add("job pages: encode", "% core", x, percent*used.Seconds()/measuredPeriod.Seconds())
}

func measureTasks(s *site, r *report, x float64) {
	tasks := make([]infra.Task, len(s.running))
	for i, operation := range s.running {
		tasks[i] = infra.Task{
			Operation: operation, Job: "job-000001", Worker: "w001", Status: infra.TaskRunning,
			UsedMilliCores: jobUsedCores * milliPerCore, UsedMemoryMB: jobUsedMemory, PowerWatts: jobWattsPerJob,
		}
	}
	data := must(json.Marshal(tasks))
	r.add("task list: running tasks", "", x, float64(len(tasks)))
	r.add("task list: size", "KB", x, float64(len(data))/kilobyte)
	r.add("task list: decode", "ms", x, minProcessorMillis(func() {
		var decoded []infra.Task
		must(0, json.Unmarshal(data, &decoded))
	}))
}

// messageCost returns the processor time to encode the sent messages and to decode
// the received ones.
func messageCost(sent, received []membership.Message) time.Duration {
	encoded := make([][]byte, len(received))
	for i := range received {
		encoded[i] = must(proto.Marshal(peerapi.MessageToProto(&received[i])))
	}
	began := processorTime()
	for i := range sent {
		must(proto.Marshal(peerapi.MessageToProto(&sent[i])))
	}
	for _, data := range encoded {
		state := new(peerpb.State)
		must(0, proto.Unmarshal(data, state))
		peerapi.MessageFromProto(state)
	}
	return processorTime() - began
}

// snapshotAdoptionCost returns the processor time that the traffic shards of a gateway
// need to adopt its snapshots.
func snapshotAdoptionCost(s *site) time.Duration {
	const shards = 2
	var used time.Duration
	for shard := range shards {
		source := new(atomic.Pointer[traffic.Snapshot])
		state := traffic.NewState(traffic.Config{Source: source, Owns: func(pool string) bool {
			return int(pool[len(pool)-1])%shards == shard
		}})
		program := traffic.Program(noopIO{})
		began := processorTime()
		for i, snapshot := range s.snapshots {
			source.Store(snapshot)
			program.Step(state, engine.Tick{Now: s.measurementStart(), Seq: uint64(i + 1)}, traffic.Published{})
		}
		used += processorTime() - began
	}
	return used
}

// noopIO performs no effects, because no requests arrive.
type noopIO struct{}

func (noopIO) Send(traffic.Send)         {}
func (noopIO) Abort(table.ID)            {}
func (noopIO) Reply(traffic.Reply)       {}
func (noopIO) Discard(*traffic.Response) {}
func (noopIO) Report(traffic.Report)     {}
func (noopIO) Log(traffic.LogEntry)      {}
