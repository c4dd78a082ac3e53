package entry

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/waxwingbridge/waxwingbridge/ledger"
	"github.com/waxwingbridge/waxwingbridge/placement"
	"github.com/waxwingbridge/waxwingbridge/platform"
	"github.com/waxwingbridge/waxwingbridge/work"
)

// kindSegments maps each kind of record to its segment in store keys.
var kindSegments = map[ledger.Kind]string{
	ledger.KindJob: "job", ledger.KindProgress: "progress", ledger.KindCancel: "cancel", ledger.KindOwner: "owner",
	ledger.KindEpoch: "epoch", ledger.KindPeer: "peer", ledger.KindContacts: "contacts", ledger.KindMachineOrder: "machine",
	ledger.KindMachineMove: "move", ledger.KindDemand: "demand", ledger.KindPartitions: "partitions",
	ledger.KindAllotment: "allotment",
}

func storeKey(key ledger.Key) string {
	if key.Kind == ledger.KindWaveStatus {
		number, _ := strconv.Atoi(key.Name) // the name of a wave status is always a number
		return platform.WaveStatus(number, false).Key
	}
	return platform.RecordPrefix + kindSegments[key.Kind] + "/" + key.Name
}

// parseKey is the inverse of storeKey for keys without RecordPrefix.
func parseKey(name string) (ledger.Key, bool) {
	segment, rest, ok := strings.Cut(name, "/")
	if !ok {
		return ledger.Key{}, false
	}
	for kind, known := range kindSegments {
		if known == segment {
			return ledger.Key{Kind: kind, Name: rest}, true
		}
	}
	return ledger.Key{}, false
}

// The stored forms omit zero fields, because most fields of most steps are zero.
type (
	storedJob struct {
		Queue      string
		Pool       string
		Team       string `json:",omitempty"`
		Payload    string `json:",omitempty"`
		Steps      []storedStep
		Schedule   work.Schedule `json:",omitzero"`
		Limits     work.Limits
		AcceptedAt int64 // Unix milliseconds
	}
	storedStep struct {
		Count          int
		Size           placement.Resources
		Estimate       time.Duration `json:",omitempty"`
		After          []int         `json:",omitempty"`
		Checkpointing  bool          `json:",omitempty"`
		Gang           bool          `json:",omitempty"`
		SameRack       bool          `json:",omitempty"`
		Speculative    bool          `json:",omitempty"`
		LongRunning    bool          `json:"Lasting,omitempty"`
		BestEffort     bool          `json:"Fills,omitempty"`
		Label          string        `json:",omitempty"`
		Rack           string        `json:",omitempty"`
		MaxPerWorker   int           `json:",omitempty"`
		Image          string        `json:",omitempty"`
		LatencyTarget  time.Duration `json:",omitempty"`
		MaxUnavailable int           `json:",omitempty"`
	}
	storedProgress struct {
		State    work.JobState
		Finished work.OccurrenceSet `json:",omitempty"`
		Stages   []storedStage      `json:",omitempty"`
	}
	storedStage struct {
		Occurrence int                `json:",omitempty"`
		Step       int                `json:",omitempty"`
		Done       []byte             `json:",omitempty"`
		Failed     []work.TaskRuns    `json:",omitempty"`
		Crashed    []work.TaskCrashes `json:",omitempty"`
	}
)

func encodeRecord(put ledger.Put) (platform.KeyValue, error) {
	if put.Key.Kind == ledger.KindWaveStatus {
		completed, _ := put.Content.(bool)
		number, err := strconv.Atoi(put.Key.Name)
		return platform.WaveStatus(number, completed), errors.Wrap(err, "wave number")
	}
	var content any
	switch c := put.Content.(type) {
	case *work.Job:
		job := storedJob{Queue: c.Queue, Pool: c.Pool, Team: c.Team, Payload: c.Payload, Schedule: c.Schedule, Limits: c.Limits, AcceptedAt: c.AcceptedAt.UnixMilli()}
		for _, step := range c.Steps {
			job.Steps = append(job.Steps, storedStep(step))
		}
		content = job
	case *work.Progress:
		progress := storedProgress{State: c.State, Finished: c.Finished}
		for _, stage := range c.Stages {
			progress.Stages = append(progress.Stages, storedStage(stage))
		}
		content = progress
	case *work.Demand:
		content = storeDemand(c)
	case *work.Allotment:
		content = storeAllotment(c)
	default:
		content = put.Content
	}
	value, err := json.Marshal(content)
	return platform.KeyValue{Key: storeKey(put.Key), Value: value}, errors.Wrapf(err, "encode %s", storeKey(put.Key))
}

// decodeRecord decodes the value of a record.
func decodeRecord(key ledger.Key, value []byte) (any, error) {
	switch key.Kind {
	case ledger.KindJob:
		var stored storedJob
		if err := json.Unmarshal(value, &stored); err != nil {
			return nil, err
		}
		job := &work.Job{
			ID: key.Name, Queue: stored.Queue, Pool: stored.Pool, Team: stored.Team, Payload: stored.Payload, Schedule: stored.Schedule,
			Limits: stored.Limits, AcceptedAt: time.UnixMilli(stored.AcceptedAt),
		}
		for _, step := range stored.Steps {
			job.Steps = append(job.Steps, work.Step(step))
		}
		return job, job.Validate()
	case ledger.KindProgress:
		var stored storedProgress
		if err := json.Unmarshal(value, &stored); err != nil {
			return nil, err
		}
		if stored.State < work.JobQueued || stored.State > work.JobCancelled {
			return nil, errors.Newf("unknown job state %d", stored.State)
		}
		if !stored.Finished.IsValid() {
			return nil, errors.Newf("finished occurrences %v are not in order", stored.Finished)
		}
		progress := &work.Progress{State: stored.State, Finished: stored.Finished}
		for _, stage := range stored.Stages {
			progress.Stages = append(progress.Stages, work.StageProgress(stage))
		}
		return progress, nil
	case ledger.KindOwner, ledger.KindEpoch, ledger.KindPeer:
		owner, err := decodeAs[work.Ownership](value)
		if err == nil && owner.Node == "" {
			err = errors.New("field Node is missing")
		}
		return owner, err
	case ledger.KindCancel:
		return decodeAs[work.Cancellation](value)
	case ledger.KindDemand:
		return decodeDemand(value)
	case ledger.KindAllotment:
		return decodeAllotment(value)
	case ledger.KindPartitions:
		return decodeAs[work.Partitions](value)
	case ledger.KindMachineOrder, ledger.KindMachineMove:
		order, err := decodeAs[work.MachineOrder](value)
		if err == nil && order.Machine == "" {
			err = errors.New("field Machine is missing")
		}
		return order, err
	case ledger.KindContacts:
		var contacts []work.Contact
		err := json.Unmarshal(value, &contacts)
		return contacts, err
	default:
		return nil, nil //nolint:nilnil // records of the other kinds have no content
	}
}

func decodeAs[T any](value []byte) (*T, error) {
	content := new(T)
	return content, json.Unmarshal(value, content)
}

// recordFromItem decodes an item below RecordPrefix; name is its key without the
// prefix.
func recordFromItem(name string, value []byte, revision, created int64, deleted bool) (ledger.Record, error) {
	key, ok := parseKey(name)
	if !ok {
		return ledger.Record{}, errors.Newf("store key %s%s has an unknown kind of record", platform.RecordPrefix, name)
	}
	record := ledger.Record{Key: key, Revision: revision, CreateRevision: created, Deleted: deleted}
	if deleted {
		return record, nil
	}
	var err error
	record.Content, err = decodeRecord(key, value)
	return record, errors.Wrapf(err, "store key %s%s", platform.RecordPrefix, name)
}

func encodeWrite(write ledger.Write, lease int64) (platform.Txn, error) {
	var txn platform.Txn
	for _, condition := range write.Expect {
		txn.Expect = append(txn.Expect, platform.KeyRevision{Key: storeKey(condition.Key), Revision: condition.Revision})
	}
	for _, put := range write.Put {
		set, err := encodeRecord(put)
		if err != nil {
			return platform.Txn{}, err
		}
		if put.Leased {
			set.Lease = lease
		}
		txn.Set = append(txn.Set, set)
	}
	for _, key := range write.Delete {
		txn.Remove = append(txn.Remove, storeKey(key))
	}
	return txn, nil
}
