package main

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"
)

// item is a key of the store.
type item struct {
	Key      string
	Value    []byte
	Revision int64
	Created  int64
	Lease    int64
}

// change is an entry of the store's history.
type change struct {
	item
	Deleted bool
}

type lease struct {
	ttl   time.Duration
	until time.Time
}

// txn is the body of a write call.
type txn struct {
	Expect []struct {
		Key      string
		Revision int64
	}
	SetKeys []item
	Remove  []string
}

// store is the platform's metadata store. world.mu guards it.
type store struct {
	w         *world
	items     map[string]*item
	history   []change
	revision  int64
	leases    map[int64]*lease
	lastLease int64
	keys      []string // sorted, or nil after a change of the set of keys
	compacted int64    // the history up to this revision is gone
	deaf      bool     // watches hear nothing
	slower    int      // how many times as long answers take; 0 for the usual time
	// late returns after which time a write is carried out, without an answer; 0 for a
	// write that is carried out at once and answered.
	late func(t *txn) time.Duration
}

func newStore(w *world) *store {
	return &store{w: w, items: map[string]*item{}, leases: map[int64]*lease{}, revision: 1}
}

// pageItems is the largest number of items in a page.
const pageItems = 500

func (s *store) put(key string, value []byte, leaseID, revision int64) {
	it := s.items[key]
	if it == nil {
		it = &item{Key: key, Created: revision}
		s.items[key], s.keys = it, nil
	}
	it.Value, it.Revision, it.Lease = value, revision, leaseID
	s.history = append(s.history, change{item: *it})
}

func (s *store) remove(key string, revision int64) {
	if s.items[key] == nil {
		return
	}
	delete(s.items, key)
	s.keys = nil
	s.history = append(s.history, change{item: item{Key: key, Revision: revision}, Deleted: true})
}

// deafTime is how long watches hear nothing before the history is forgotten, while the
// minions go on writing their entries.
const deafTime = time.Second

// compact forgets the history and cuts the waiting watches, as platform_compact does.
func (s *store) compact() {
	s.w.mu.Lock()
	s.deaf = true
	s.w.mu.Unlock()
	time.Sleep(deafTime)
	s.w.mu.Lock()
	defer s.w.mu.Unlock()
	s.deaf, s.history, s.compacted = false, nil, s.revision
	s.w.note("the store forgets its history")
	s.w.wake()
}

// sortedKeys returns all keys in order.
func (s *store) sortedKeys() []string {
	if s.keys == nil {
		s.keys = slices.Sorted(maps.Keys(s.items))
	}
	return s.keys
}

// write changes one key, as an operator or a minion does.
func (s *store) write(key string, content any) {
	value, err := json.Marshal(content)
	if err != nil {
		panic(err) // only maps and structs of plain fields are written
	}
	s.revision++
	s.put(key, value, 0, s.revision)
	s.w.wake()
}

func (s *store) endLease(id int64) {
	delete(s.leases, id)
	var keys []string
	for key, it := range s.items {
		if it.Lease == id {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	for _, key := range keys {
		s.revision++
		s.remove(key, s.revision)
	}
	s.w.wake()
}

func (s *store) expireLeases(now time.Time) {
	for id, l := range s.leases {
		if now.After(l.until) {
			s.endLease(id)
		}
	}
}

// commit carries out a write and returns its status and answer.
func (s *store) commit(t *txn) (int, any) {
	if len(t.Expect)+len(t.SetKeys)+len(t.Remove) > 32 {
		return http.StatusBadRequest, nil
	}
	current, met := []item{}, true
	for _, e := range t.Expect {
		it := item{Key: e.Key}
		if known := s.items[e.Key]; known != nil {
			it = *known
		}
		current = append(current, it)
		met = met && it.Revision == e.Revision
	}
	if !met {
		return http.StatusPreconditionFailed, map[string]any{"items": current}
	}
	for _, set := range t.SetKeys {
		if set.Lease != 0 && s.leases[set.Lease] == nil {
			return http.StatusNotFound, nil
		}
		if strings.HasPrefix(set.Key, "op/") || strings.HasPrefix(set.Key, "servers/") {
			return http.StatusForbidden, nil
		}
	}
	s.revision++
	for _, set := range t.SetKeys {
		s.put(set.Key, set.Value, set.Lease, s.revision)
	}
	for _, key := range t.Remove {
		s.remove(key, s.revision)
	}
	if len(t.Remove) > 0 {
		s.w.note("the store removes %d keys: %s", len(t.Remove), strings.Join(t.Remove, " "))
	}
	s.w.wake()
	return http.StatusOK, map[string]int64{"Revision": s.revision}
}

func (s *store) register(mux *http.ServeMux) {
	for path, handler := range map[string]http.HandlerFunc{
		api + "kv-key": s.serveKey, api + "kv-range": s.serveRange, api + "kv-watch": s.serveWatch, api + "kv-txn": s.serveTxn,
		api + "kv-lease": s.serveGrant, api + "kv-keep/": s.serveKeep, api + "kv-lease-end/": s.serveLeaseEnd,
	} {
		mux.HandleFunc(path, func(rw http.ResponseWriter, r *http.Request) {
			s.w.mu.Lock()
			slower := max(1, s.slower)
			s.w.mu.Unlock()
			time.Sleep(time.Duration(slower) * answerTime)
			handler(rw, r)
		})
	}
}

// answerTime is the time of the store's answers on the small sites.
const answerTime = 4 * time.Millisecond

func (s *store) serveKey(rw http.ResponseWriter, r *http.Request) {
	s.w.mu.Lock()
	defer s.w.mu.Unlock()
	it := s.items[r.URL.Query().Get("Key")]
	if it == nil {
		answer(rw, http.StatusNotFound, map[string]int64{"StoreRevision": s.revision})
		return
	}
	answer(rw, http.StatusOK, struct {
		item
		StoreRevision int64
	}{*it, s.revision})
}

func (s *store) serveRange(rw http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("Prefix"), r.URL.Query().Get("After")
	s.w.mu.Lock()
	keys := s.sortedKeys()
	first, _ := slices.BinarySearch(keys, max(prefix, after+"\x00"))
	page, more := []item{}, false
	for _, key := range keys[first:] {
		if !strings.HasPrefix(key, prefix) {
			break
		}
		if more = len(page) == pageItems; more {
			break
		}
		page = append(page, *s.items[key])
	}
	revision := s.revision
	s.w.mu.Unlock()
	s.w.answerAtLinkSpeed(rw, map[string]any{"items": page, "HasMore": more, "StoreRevision": revision})
}

// changes returns the changes of the keys with a prefix after a revision.
func (s *store) changes(prefix string, after int64) []any {
	first := sort.Search(len(s.history), func(i int) bool { return s.history[i].Revision > after })
	events := []any{}
	for _, c := range s.history[first:] {
		switch {
		case !strings.HasPrefix(c.Key, prefix):
		case c.Deleted:
			events = append(events, map[string]any{"Key": c.Key, "Revision": c.Revision, "Deleted": true})
		default:
			events = append(events, c.item)
		}
	}
	return events
}

func (s *store) serveWatch(rw http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("After"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("WaitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for expired := false; ; {
		s.w.mu.Lock()
		if after < s.compacted {
			s.w.mu.Unlock()
			answer(rw, http.StatusGone, nil)
			return
		}
		events, woken := s.changes(query.Get("Prefix"), after), s.w.changed
		if len(events) > 0 && !s.deaf || expired {
			revision := s.revision
			if s.deaf {
				events, revision = []any{}, after
			}
			s.w.mu.Unlock()
			answer(rw, http.StatusOK, map[string]any{"events": events, "StoreRevision": revision})
			return
		}
		s.w.mu.Unlock()
		select {
		case <-woken:
		case <-timer.C:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveTxn(rw http.ResponseWriter, r *http.Request) {
	var t txn
	if !decode(rw, r, &t) {
		return
	}
	s.w.mu.Lock()
	if s.late != nil {
		if delay := s.late(&t); delay > 0 {
			s.w.mu.Unlock()
			time.Sleep(delay)
			s.w.mu.Lock()
			status, _ := s.commit(&t)
			s.w.note("the store carries out a write late, without an answer: %d", status)
			s.w.mu.Unlock()
			<-r.Context().Done() // the channel returns nothing further
			return
		}
	}
	status, body := s.commit(&t)
	s.w.mu.Unlock()
	answer(rw, status, body)
}

func (s *store) serveGrant(rw http.ResponseWriter, r *http.Request) {
	var request struct{ TtlMs int64 } //nolint:revive // spelled as in the protocol
	if !decode(rw, r, &request) {
		return
	}
	s.w.mu.Lock()
	defer s.w.mu.Unlock()
	s.lastLease++
	ttl := time.Duration(request.TtlMs) * time.Millisecond
	s.leases[s.lastLease] = &lease{ttl: ttl, until: time.Now().Add(ttl)}
	answer(rw, http.StatusOK, map[string]int64{"Lease": s.lastLease, "TtlMs": request.TtlMs})
}

func lastNumber(r *http.Request) int64 {
	n, _ := strconv.ParseInt(r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:], 10, 64)
	return n
}

func (s *store) serveKeep(rw http.ResponseWriter, r *http.Request) {
	s.w.mu.Lock()
	defer s.w.mu.Unlock()
	l := s.leases[lastNumber(r)]
	if l == nil {
		answer(rw, http.StatusNotFound, nil)
		return
	}
	l.until = time.Now().Add(l.ttl)
	answer(rw, http.StatusOK, map[string]int64{"TtlMs": l.ttl.Milliseconds()})
}

func (s *store) serveLeaseEnd(rw http.ResponseWriter, r *http.Request) {
	s.w.mu.Lock()
	defer s.w.mu.Unlock()
	if id := lastNumber(r); s.leases[id] == nil {
		answer(rw, http.StatusNotFound, nil)
	} else {
		s.endLease(id)
		answer(rw, http.StatusOK, nil)
	}
}
