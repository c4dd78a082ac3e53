// Package etcdgateway implements store.Store with the JSON gateway of etcd v3.
package etcdgateway

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/waxwingbridge/waxwingbridge/store"
)

// watchBuffer is the number of events buffered for the consumer of a watch.
const watchBuffer = 256

// DefaultWatchIdleTimeout is the default of Store.WatchIdleTimeout. The service must
// be configured to send progress notifications several times as often; the
// freshness of the fleet view requires one per second.
const DefaultWatchIdleTimeout = 10 * time.Second

// Store implements store.Store with the JSON gateway.
type Store struct {
	client *client
	// WatchIdleTimeout ends a watch that has received no message for this time, so
	// that the caller detects a half-open connection. Set it before use.
	WatchIdleTimeout time.Duration
}

var _ store.Store = (*Store)(nil)

// New returns a Store that fails over between the base URLs. It does not connect
// before the first call.
func New(baseURLs ...string) (*Store, error) {
	if len(baseURLs) == 0 {
		return nil, errors.New("etcdgateway: no base URL")
	}
	urls := make([]string, len(baseURLs))
	for i, base := range baseURLs {
		urls[i] = strings.TrimRight(base, "/")
	}
	return &Store{client: newClient(urls), WatchIdleTimeout: DefaultWatchIdleTimeout}, nil
}

// Close closes idle connections. Calls in flight continue until their contexts end.
func (s *Store) Close() { s.client.http.CloseIdleConnections() }

// Get implements store.Store.
func (s *Store) Get(ctx context.Context, key string) (store.Value, error) {
	var answer RangeResponse
	err := s.client.call(ctx, store.CallGet, PathRange, RangeRequest{Key: []byte(key)}, &answer)
	if err != nil || len(answer.KVs) == 0 {
		return store.Value{Key: key}, err
	}
	return valueOf(answer.KVs[0]), nil
}

// List implements store.Store.
func (s *Store) List(ctx context.Context, prefix string) ([]store.Value, error) {
	answer, err := s.list(ctx, prefix)
	if err != nil {
		return nil, err
	}
	values := make([]store.Value, len(answer.KVs))
	for i := range answer.KVs {
		values[i] = valueOf(answer.KVs[i])
	}
	return values, nil
}

func (s *Store) list(ctx context.Context, prefix string) (RangeResponse, error) {
	key, end := prefixRange(prefix)
	var answer RangeResponse
	err := s.client.call(ctx, store.CallList, PathRange, RangeRequest{Key: key, RangeEnd: end}, &answer)
	return answer, err
}

// prefixRange returns the key range of a prefix. For the empty prefix, the range
// starts at \x00, because the service does not accept an empty key.
func prefixRange(prefix string) (key, end []byte) {
	if prefix == "" {
		return []byte{0}, []byte{0}
	}
	return []byte(prefix), PrefixEnd([]byte(prefix))
}

func valueOf(kv KeyValue) store.Value {
	writeID, data := decodeEnvelope(kv.Value)
	return store.Value{Key: string(kv.Key), Data: data, WriteID: writeID, Revision: store.Revision(kv.ModRevision)}
}

// CompareAndSwap implements store.Store. A write ID has at most 255 bytes.
func (s *Store) CompareAndSwap(ctx context.Context, put store.Put) (store.Revision, error) {
	if len(put.WriteID) > maxWriteIDBytes {
		return 0, errors.Newf("%w: write ID of %d bytes, at most %d", store.ErrTooLarge, len(put.WriteID), maxWriteIDBytes)
	}
	key := []byte(put.Key)
	answer, err := s.transaction(ctx, store.CallCompareAndSwap, key, put.Revision, RequestOp{
		Put: &PutRequest{Key: key, Value: encodeEnvelope(put.WriteID, put.Data), Lease: int64(put.Lease)},
	})
	return store.Revision(answer.Header.Revision), err
}

// Delete implements store.Store.
func (s *Store) Delete(ctx context.Context, key string, revision store.Revision) error {
	if revision == 0 {
		return errors.Newf("%w: a key without revision does not exist", store.ErrConflict)
	}
	_, err := s.transaction(ctx, store.CallDelete, []byte(key), revision, RequestOp{
		DeleteRange: &DeleteRangeRequest{Key: []byte(key)},
	})
	return err
}

func (s *Store) transaction(ctx context.Context, kind store.CallKind, key []byte, revision store.Revision, op RequestOp) (TxnResponse, error) {
	request := TxnRequest{
		Compare: []Compare{{Result: CompareEqual, Target: TargetMod, Key: key, ModRevision: int64(revision)}},
		Success: []RequestOp{op},
	}
	var answer TxnResponse
	if err := s.client.call(ctx, kind, PathTxn, request, &answer); err != nil {
		return TxnResponse{}, err
	}
	if !answer.Succeeded {
		return TxnResponse{}, store.ErrConflict
	}
	return answer, nil
}

// GrantLease implements store.Store. The service counts whole seconds, so the
// time to live is rounded up.
func (s *Store) GrantLease(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	seconds := int64((ttl + time.Second - 1) / time.Second)
	var answer LeaseGrantResponse
	err := s.client.call(ctx, store.CallGrantLease, PathLeaseGrant, LeaseGrantRequest{TTL: seconds}, &answer)
	return store.LeaseID(answer.ID), err
}

// RenewLease implements store.Store.
func (s *Store) RenewLease(ctx context.Context, lease store.LeaseID) (time.Duration, error) {
	var answer LeaseKeepAliveResponse
	err := s.client.call(ctx, store.CallRenewLease, PathLeaseKeepAlive, LeaseRequest{ID: int64(lease)}, &answer)
	if err != nil {
		return 0, err
	}
	if answer.Error != nil {
		return 0, classify(store.CallRenewLease, &gatewayError{body: *answer.Error})
	}
	if answer.Result == nil || answer.Result.TTL <= 0 {
		return 0, store.ErrLeaseLost
	}
	return time.Duration(answer.Result.TTL) * time.Second, nil
}

// RevokeLease implements store.Store.
func (s *Store) RevokeLease(ctx context.Context, lease store.LeaseID) error {
	var answer LeaseRevokeResponse
	return s.client.call(ctx, store.CallRevokeLease, PathLeaseRevoke, LeaseRequest{ID: int64(lease)}, &answer)
}

// Watch implements store.Store. It reads the current values and then watches from
// the next revision on, so that no change in between is missed.
func (s *Store) Watch(ctx context.Context, prefix string) (<-chan store.Event, error) {
	ctx, cancel := context.WithCancel(ctx)
	idleTimer := time.AfterFunc(s.WatchIdleTimeout, cancel)
	current, err := s.list(ctx, prefix)
	if err != nil {
		cancel()
		return nil, err
	}
	response, err := s.openWatch(ctx, prefix, current.Header.Revision+1) //nolint:bodyclose // closed by the goroutine below
	if err != nil {
		cancel()
		return nil, err
	}
	events := make(chan store.Event, watchBuffer)
	go func() {
		defer close(events)
		defer cancel()
		defer idleTimer.Stop()
		defer response.Body.Close()
		stream := watchStream{decoder: json.NewDecoder(response.Body), onMessage: func() { idleTimer.Reset(s.WatchIdleTimeout) }}
		streamEvents(ctx, current, stream, events)
	}()
	return events, nil
}

func (s *Store) openWatch(ctx context.Context, prefix string, from int64) (*http.Response, error) {
	key, end := prefixRange(prefix)
	body, err := json.Marshal(WatchRequest{Create: WatchCreateRequest{
		Key: key, RangeEnd: end, StartRevision: from, ProgressNotify: true,
	}})
	if err != nil {
		return nil, fmt.Errorf("%w: encode request: %w", store.ErrUnavailable, err)
	}
	response, err := s.client.send(ctx, PathWatch, body)
	if err != nil {
		s.client.preferred.Add(1)
		return nil, classify(store.CallWatch, err)
	}
	return response, nil
}

// watchStream decodes the messages of a watch and calls onMessage for each.
type watchStream struct {
	decoder   *json.Decoder
	onMessage func()
}

func (w watchStream) next() (*WatchResponse, bool) {
	var message WatchStreamMessage
	if err := w.decoder.Decode(&message); err != nil || message.Error != nil || message.Result == nil {
		return nil, false
	}
	w.onMessage()
	return message.Result, !message.Result.Canceled
}

func streamEvents(ctx context.Context, current RangeResponse, stream watchStream, events chan<- store.Event) {
	for i := range current.KVs {
		if !deliver(ctx, events, store.Event{Value: valueOf(current.KVs[i])}) {
			return
		}
	}
	if !deliver(ctx, events, progressAt(current.Header.Revision)) {
		return
	}
	for {
		message, ok := stream.next()
		if !ok || !deliverMessage(ctx, events, message) {
			return
		}
	}
}

func deliverMessage(ctx context.Context, events chan<- store.Event, message *WatchResponse) bool {
	if len(message.Events) == 0 {
		return message.Created || deliver(ctx, events, progressAt(message.Header.Revision))
	}
	for _, change := range message.Events {
		event := store.Event{Value: valueOf(change.KV), Deleted: change.Type == EventTypeDelete}
		if !deliver(ctx, events, event) {
			return false
		}
	}
	return true
}

func progressAt(revision int64) store.Event {
	return store.Event{Progress: true, Value: store.Value{Revision: store.Revision(revision)}}
}

func deliver(ctx context.Context, events chan<- store.Event, event store.Event) bool {
	select {
	case events <- event:
		return true
	case <-ctx.Done():
		return false
	}
}
