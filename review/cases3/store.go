package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// maxEvents bounds the history of the store.
const maxEvents = 20000

type item struct {
	Key      string
	Value    []byte
	Revision int64
	Created  int64
	Lease    int64
}

type event struct {
	item
	deleted bool
}

// MarshalJSON encodes an event as the store states it.
func (e event) MarshalJSON() ([]byte, error) {
	if e.deleted {
		return json.Marshal(map[string]any{"Key": e.Key, "Revision": e.Revision, "Deleted": true})
	}
	return json.Marshal(e.item)
}

type lease struct {
	ttl   time.Duration
	until time.Time
}

type txn struct {
	Expect []struct {
		Key      string
		Revision int64
	}
	SetKeys []struct {
		Key   string
		Value []byte
		Lease int64
	}
	Remove []string
}

// key returns the first written key with a prefix, or "".
func (t *txn) key(prefix string) (string, []byte) {
	for _, set := range t.SetKeys {
		if strings.HasPrefix(set.Key, prefix) {
			return set.Key, set.Value
		}
	}
	return "", nil
}

// put writes a key at the present revision. The lock is held.
func (w *world) put(key string, value []byte, lease int64) {
	it := w.items[key]
	if it == nil {
		it = &item{Key: key, Created: w.revision}
		w.items[key] = it
	}
	it.Value, it.Revision, it.Lease = value, w.revision, lease
	w.history = append(w.history, event{item: *it})
}

func (w *world) remove(key string) {
	if w.items[key] == nil {
		return
	}
	delete(w.items, key)
	w.history = append(w.history, event{item: item{Key: key, Revision: w.revision}, deleted: true})
}

// write puts a key as the operator, a minion or another writer does.
func (w *world) write(key string, value []byte) {
	w.revision++
	w.put(key, value, 0)
	w.wake()
}

func (w *world) expireLeases(now time.Time) {
	for id, l := range w.leases {
		if now.After(l.until) {
			w.endLease(id)
		}
	}
}

func (w *world) endLease(id int64) {
	delete(w.leases, id)
	w.revision++
	for key, it := range w.items {
		if it.Lease == id {
			w.remove(key)
		}
	}
	w.wake()
}

func answer(rw http.ResponseWriter, status int, body any) {
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	if body != nil {
		_ = json.NewEncoder(rw).Encode(body) // the caller may have left
	}
}

func (w *world) servePlatform(rw http.ResponseWriter, r *http.Request) {
	switch path := r.URL.Path; {
	case path == wire("key"):
		w.serveKey(rw, r)
	case path == wire("range"):
		w.serveRange(rw, r)
	case path == wire("watch"):
		w.serveWatch(rw, r)
	case path == wire("txn"):
		w.serveTxn(rw, r)
	case path == wire("lease"):
		w.serveLease(rw, r)
	case strings.HasPrefix(path, wire("keep")), strings.HasPrefix(path, wire("lease-end")):
		w.serveLeaseCall(rw, path)
	case path == wire("machines"):
		w.serveMachines(rw)
	case path == wire("move"), path == wire("upkeep"):
		w.serveMachineOrder(rw, r)
	default:
		answer(rw, http.StatusNotFound, nil)
	}
}

func (w *world) serveKey(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	it := w.items[r.URL.Query().Get("Key")]
	if it == nil {
		answer(rw, http.StatusNotFound, map[string]int64{"StoreRevision": w.revision})
		return
	}
	answer(rw, http.StatusOK, struct {
		item
		StoreRevision int64
	}{*it, w.revision})
}

func (w *world) serveRange(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	prefix, after := r.URL.Query().Get("Prefix"), r.URL.Query().Get("After")
	found := []item{}
	for key, it := range w.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, *it)
		}
	}
	slices.SortFunc(found, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	const page = 500
	more := len(found) > page
	answer(rw, http.StatusOK, map[string]any{"items": found[:min(page, len(found))], "HasMore": more, "StoreRevision": w.revision})
}

func (w *world) serveWatch(rw http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseInt(query.Get("After"), 10, 64)
	wait, waitErr := strconv.ParseInt(query.Get("WaitMs"), 10, 64)
	if err != nil || waitErr != nil {
		answer(rw, http.StatusBadRequest, nil)
		return
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for expired := false; ; {
		w.mu.Lock()
		if len(w.history) > maxEvents {
			w.history = slices.Clone(w.history[maxEvents/2:])
		}
		if len(w.history) > 0 && w.history[0].Revision > 2 && after < w.history[0].Revision-1 {
			w.mu.Unlock()
			answer(rw, http.StatusGone, nil)
			return
		}
		events := []event{}
		for i := len(w.history) - 1; i >= 0 && w.history[i].Revision > after; i-- {
			if strings.HasPrefix(w.history[i].Key, query.Get("Prefix")) {
				events = append(events, w.history[i])
			}
		}
		slices.Reverse(events)
		revision, changed := w.revision, w.changed
		w.mu.Unlock()
		if len(events) > 0 || expired {
			answer(rw, http.StatusOK, map[string]any{"events": events, "StoreRevision": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

func (w *world) serveTxn(rw http.ResponseWriter, r *http.Request) {
	var t txn
	if json.NewDecoder(r.Body).Decode(&t) != nil || len(t.Expect)+len(t.SetKeys)+len(t.Remove) > 32 {
		answer(rw, http.StatusBadRequest, nil)
		return
	}
	w.mu.Lock()
	var late time.Duration
	if w.loseTxn != nil {
		late = w.loseTxn(&t)
	}
	if late == 0 {
		status, body := w.execute(&t)
		w.mu.Unlock()
		answer(rw, status, body)
		return
	}
	w.mu.Unlock()
	go func() {
		time.Sleep(late)
		w.mu.Lock()
		defer w.mu.Unlock()
		status, _ := w.execute(&t)
		w.note("store: the write without an answer is executed: %d", status)
	}()
	<-r.Context().Done()
}

func (w *world) execute(t *txn) (int, any) {
	current, met := []item{}, true
	for _, e := range t.Expect {
		it := w.items[e.Key]
		if it == nil {
			it = &item{Key: e.Key}
		}
		current = append(current, *it)
		met = met && it.Revision == e.Revision
	}
	if !met {
		return http.StatusPreconditionFailed, map[string]any{"items": current}
	}
	for _, set := range t.SetKeys {
		if set.Lease != 0 && w.leases[set.Lease] == nil {
			return http.StatusNotFound, nil
		}
		if strings.HasPrefix(set.Key, "op/") || strings.HasPrefix(set.Key, "servers/") {
			return http.StatusForbidden, nil
		}
	}
	w.revision++
	for _, set := range t.SetKeys {
		w.put(set.Key, set.Value, set.Lease)
		if strings.HasPrefix(set.Key, "status/") {
			w.note("store: %s is %s", set.Key, set.Value)
		}
	}
	for _, key := range t.Remove {
		w.remove(key)
	}
	w.wake()
	return http.StatusOK, map[string]int64{"Revision": w.revision}
}

func (w *world) serveLease(rw http.ResponseWriter, r *http.Request) {
	var request struct {
		TTL int64 `json:"TtlMs"`
	}
	if json.NewDecoder(r.Body).Decode(&request) != nil {
		answer(rw, http.StatusBadRequest, nil)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nextLease++
	ttl := time.Duration(max(request.TTL, 1000)) * time.Millisecond
	w.leases[w.nextLease] = &lease{ttl: ttl, until: time.Now().Add(ttl)}
	answer(rw, http.StatusOK, map[string]int64{"Lease": w.nextLease, "TtlMs": ttl.Milliseconds()})
}

func (w *world) serveLeaseCall(rw http.ResponseWriter, path string) {
	id, err := strconv.ParseInt(path[strings.LastIndexByte(path, '/')+1:], 10, 64)
	w.mu.Lock()
	defer w.mu.Unlock()
	l := w.leases[id]
	switch {
	case err != nil || l == nil:
		answer(rw, http.StatusNotFound, nil)
	case strings.HasPrefix(path, wire("lease-end")):
		w.endLease(id)
		answer(rw, http.StatusOK, nil)
	default:
		l.until = time.Now().Add(l.ttl)
		answer(rw, http.StatusOK, map[string]int64{"TtlMs": l.ttl.Milliseconds()})
	}
}
