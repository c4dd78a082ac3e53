package memory

import (
	"slices"
	"strings"
	"time"

	"github.com/waxwingbridge/waxwingbridge/engine"
	"github.com/waxwingbridge/waxwingbridge/store"
	"github.com/waxwingbridge/waxwingbridge/table"
)

const (
	// watchBufferSize is the number of undelivered events after which the watch of a
	// slow consumer is closed.
	watchBufferSize = 1024
	// historyLength is the number of changes retained for resumed watches.
	historyLength = 4096
	// burstSeconds is the burst that a rate limit allows, in seconds' worth of calls.
	burstSeconds = 1.0
	// firstRevision is the revision of an empty store: 1, as in etcd.
	firstRevision = 1
)

type leaseRow struct {
	id      store.LeaseID
	ttl     time.Duration
	expires time.Time
}

type watchRow struct {
	prefix   string
	events   chan store.Event
	progress time.Time // time of the next progress notification
}

type callRow struct {
	call    *call
	due     time.Time
	arrival uint64
}

type answerRow struct {
	call  *call
	reply reply
}

type state struct {
	options Options
	faults  Faults
	counter *store.CallCounter
	reads   store.TokenBucket
	writes  store.TokenBucket

	keys      table.Table[KV]
	keyIDs    table.Index[string]
	keyNames  []string // sorted
	leases    table.Table[leaseRow]
	leaseIDs  table.Index[store.LeaseID]
	leaseKeys table.MultiIndex[store.LeaseID]
	watches   table.Table[watchRow]
	calls     table.Table[callRow]
	arrivals  uint64
	lastLease store.LeaseID
	revision  store.Revision
	history   []store.Event
	compacted store.Revision // latest revision that is no longer in the history

	changes  table.Outbound[store.Event]
	answers  table.Outbound[answerRow]
	controls table.Outbound[chan struct{}]
}

func newState(options Options) *state {
	if options.ProgressInterval <= 0 {
		options.ProgressInterval = DefaultProgressInterval
	}
	if options.MaxValueBytes <= 0 {
		options.MaxValueBytes = DefaultMaxValueBytes
	}
	return &state{
		options:  options,
		counter:  &store.CallCounter{},
		reads:    store.TokenBucket{Rate: options.ReadsPerSecond, Burst: max(1, options.ReadsPerSecond*burstSeconds)},
		writes:   store.TokenBucket{Rate: options.WritesPerSecond, Burst: max(1, options.WritesPerSecond*burstSeconds)},
		revision: firstRevision,
	}
}

// localTick returns the tick with the time of the configured clock.
func (s *state) localTick(tick engine.Tick) engine.Tick {
	if s.options.Now != nil {
		tick.Now = s.options.Now()
	}
	return tick
}

func (s *state) get(key string) []KV {
	id, ok := s.keyIDs.Get(key)
	if !ok {
		return nil
	}
	return []KV{*s.keys.Get(id)}
}

func (s *state) list(prefix string) []KV {
	var found []KV
	first, _ := slices.BinarySearch(s.keyNames, prefix)
	for _, name := range s.keyNames[first:] {
		if !strings.HasPrefix(name, prefix) {
			break
		}
		found = append(found, s.get(name)...)
	}
	return found
}

func (s *state) currentRevision(key string) store.Revision {
	if kvs := s.get(key); len(kvs) > 0 {
		return kvs[0].Revision
	}
	return 0
}

func (s *state) write(put store.Put) store.Revision {
	s.revision++
	id, exists := s.keyIDs.Get(put.Key)
	if !exists {
		id = s.keys.Insert(KV{CreateRevision: s.revision})
		s.keyIDs.Put(put.Key, id)
		at, _ := slices.BinarySearch(s.keyNames, put.Key)
		s.keyNames = slices.Insert(s.keyNames, at, put.Key)
	}
	row := s.keys.Get(id)
	s.leaseKeys.Remove(row.Lease, id)
	row.Value = store.Value{Key: put.Key, Data: slices.Clone(put.Data), WriteID: put.WriteID, Revision: s.revision}
	row.Lease = put.Lease
	row.Version++
	if put.Lease != 0 {
		s.leaseKeys.Add(put.Lease, id)
	}
	s.record(store.Event{Value: row.Value})
	return s.revision
}

func (s *state) remove(key string) {
	id, _ := s.keyIDs.Get(key)
	s.leaseKeys.Remove(s.keys.Get(id).Lease, id)
	s.keys.Delete(id)
	s.keyIDs.Delete(key)
	at, _ := slices.BinarySearch(s.keyNames, key)
	s.keyNames = slices.Delete(s.keyNames, at, at+1)
	s.revision++
	s.record(store.Event{Value: store.Value{Key: key, Revision: s.revision}, Deleted: true})
}

func (s *state) record(change store.Event) {
	s.changes.Add(change)
	s.history = append(s.history, change)
	if excess := len(s.history) - historyLength; excess > 0 {
		s.compacted = s.history[excess-1].Value.Revision
		s.history = slices.Delete(s.history, 0, excess)
	}
}

func (s *state) dropLease(id table.ID, lease store.LeaseID) {
	for _, key := range slices.Clone(s.leaseKeys.Get(lease)) {
		s.remove(s.keys.Get(key).Key)
	}
	s.leaseIDs.Delete(lease)
	s.leases.Delete(id)
}

func (s *state) extendLeases(now time.Time) {
	for _, lease := range s.leases.All() {
		lease.expires = now.Add(lease.ttl)
	}
}

func (s *state) progressEvent() store.Event {
	return store.Event{Progress: true, Value: store.Value{Revision: s.revision}}
}

func (s *state) send(id table.ID, watch *watchRow, event store.Event) {
	if s.faults.SilentWatches {
		return
	}
	select {
	case watch.events <- event:
	default:
		s.closeWatch(id)
	}
}

func (s *state) closeWatch(id table.ID) {
	if watch := s.watches.Get(id); watch != nil {
		close(watch.events)
		s.watches.Delete(id)
	}
}

func (s *state) closeWatches() {
	for id := range s.watches.All() {
		s.closeWatch(id)
	}
}
