package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/waxwingbridge/waxwingbridge/store"
	"github.com/waxwingbridge/waxwingbridge/store/etcdgateway"
	"github.com/waxwingbridge/waxwingbridge/store/memory"
)

// maxStoreBody limits a request body: a 1 MB value in base64 plus the JSON around it.
const maxStoreBody = 2 << 20

// orphanedCallTimeout limits a call whose client has disconnected. The call is still
// executed, like a request that was already in transit.
const orphanedCallTimeout = 5 * time.Minute

// storeGateway implements the subset of the etcd v3 JSON gateway that the
// etcdgateway adapter uses: range reads, leases, watches, and transactions with
// one MOD comparison and one operation.
type storeGateway struct {
	store *memory.Store
}

func (g storeGateway) handler() http.Handler {
	mux := http.NewServeMux()
	handle(mux, etcdgateway.PathRange, g.readRange)
	handle(mux, etcdgateway.PathTxn, g.transact)
	handle(mux, etcdgateway.PathLeaseGrant, g.grantLease)
	handle(mux, etcdgateway.PathLeaseKeepAlive, g.renewLease)
	handle(mux, etcdgateway.PathLeaseRevoke, g.revokeLease)
	mux.HandleFunc("POST "+etcdgateway.PathWatch, g.watch)
	return mux
}

func handle[Q, A any](mux *http.ServeMux, path string, serve func(context.Context, Q) (A, error)) {
	mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
		var request Q
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxStoreBody)).Decode(&request); err != nil {
			writeStoreError(w, errInvalid)
			return
		}
		ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), orphanedCallTimeout)
		defer cancel()
		answer, err := serve(ctx, request)
		if err != nil {
			writeStoreError(w, err)
			return
		}
		writeJSON(w, http.StatusOK, answer)
	})
}

var (
	errInvalid       = errors.New("etcdserver: invalid request")
	errUnimplemented = errors.New("etcdserver: not supported by the stand-in")
)

func writeStoreError(w http.ResponseWriter, err error) {
	status, code := http.StatusServiceUnavailable, etcdgateway.CodeUnavailable
	message := err.Error()
	switch {
	case errors.Is(err, store.ErrUnknown):
		// The fault drops the response: the connection closes without a status line.
		panic(http.ErrAbortHandler)
	case errors.Is(err, store.ErrLeaseLost):
		status, code = http.StatusNotFound, etcdgateway.CodeNotFound
	case errors.Is(err, store.ErrTooLarge):
		status, code, message = http.StatusBadRequest, etcdgateway.CodeInvalidArgument, etcdgateway.MessageTooLarge
	case errors.Is(err, errInvalid):
		status, code = http.StatusBadRequest, etcdgateway.CodeInvalidArgument
	case errors.Is(err, memory.ErrTooManyRequests):
		status, code = http.StatusTooManyRequests, etcdgateway.CodeResourceExhausted
	case errors.Is(err, errUnimplemented):
		status, code = http.StatusNotImplemented, etcdgateway.CodeUnimplemented
	}
	writeJSON(w, status, etcdgateway.ErrorBody{Error: message, Code: code, Message: message})
}

// parseRange returns the key or prefix of a range request and whether it is a prefix.
func parseRange(key, end []byte) (name string, prefix bool, err error) {
	switch {
	case len(end) == 0:
		return string(key), false, nil
	case bytes.Equal(key, []byte{0}) && bytes.Equal(end, []byte{0}):
		return "", true, nil
	case bytes.Equal(end, etcdgateway.PrefixEnd(key)):
		return string(key), true, nil
	default:
		return "", false, errUnimplemented
	}
}

func (g storeGateway) readRange(ctx context.Context, request etcdgateway.RangeRequest) (etcdgateway.RangeResponse, error) {
	key, prefix, err := parseRange(request.Key, request.RangeEnd)
	if err != nil {
		return etcdgateway.RangeResponse{}, err
	}
	kvs, revision, err := g.store.Range(ctx, key, prefix)
	answer := etcdgateway.RangeResponse{Header: header(revision), Count: int64(len(kvs))}
	for _, kv := range kvs {
		answer.KVs = append(answer.KVs, etcdgateway.KeyValue{
			Key: []byte(kv.Key), Value: kv.Data, ModRevision: int64(kv.Revision),
			CreateRevision: int64(kv.CreateRevision), Version: kv.Version, Lease: int64(kv.Lease),
		})
	}
	return answer, err
}

func header(revision store.Revision) etcdgateway.Header {
	return etcdgateway.Header{Revision: int64(revision)}
}

func (g storeGateway) transact(ctx context.Context, request etcdgateway.TxnRequest) (etcdgateway.TxnResponse, error) {
	if len(request.Compare) != 1 || len(request.Success) != 1 || len(request.Failure) != 0 {
		return etcdgateway.TxnResponse{}, errUnimplemented
	}
	condition, op := request.Compare[0], request.Success[0]
	if condition.Target != etcdgateway.TargetMod || condition.Result != etcdgateway.CompareEqual {
		return etcdgateway.TxnResponse{}, errUnimplemented
	}
	revision, err := g.applyOperation(ctx, condition, op)
	if errors.Is(err, store.ErrConflict) {
		return etcdgateway.TxnResponse{Header: header(revision)}, nil
	}
	return etcdgateway.TxnResponse{Header: header(revision), Succeeded: err == nil}, err
}

func (g storeGateway) applyOperation(ctx context.Context, condition etcdgateway.Compare, op etcdgateway.RequestOp) (store.Revision, error) {
	key, expected := string(condition.Key), store.Revision(condition.ModRevision)
	switch {
	case op.Put != nil && string(op.Put.Key) == key:
		return g.store.CompareAndSwap(ctx, store.Put{
			Key: key, Data: op.Put.Value, Revision: expected, Lease: store.LeaseID(op.Put.Lease),
		})
	case op.DeleteRange != nil && string(op.DeleteRange.Key) == key && len(op.DeleteRange.RangeEnd) == 0:
		return 0, g.store.Delete(ctx, key, expected)
	default:
		return 0, errUnimplemented
	}
}

func (g storeGateway) grantLease(ctx context.Context, request etcdgateway.LeaseGrantRequest) (etcdgateway.LeaseGrantResponse, error) {
	if request.TTL <= 0 {
		return etcdgateway.LeaseGrantResponse{}, errInvalid
	}
	lease, err := g.store.GrantLease(ctx, time.Duration(request.TTL)*time.Second)
	return etcdgateway.LeaseGrantResponse{ID: int64(lease), TTL: request.TTL}, err
}

func (g storeGateway) renewLease(ctx context.Context, request etcdgateway.LeaseRequest) (etcdgateway.LeaseKeepAliveResponse, error) {
	ttl, err := g.store.RenewLease(ctx, store.LeaseID(request.ID))
	if errors.Is(err, store.ErrLeaseLost) {
		ttl, err = 0, nil // etcd reports an expired lease as a response without a TTL
	}
	result := &etcdgateway.LeaseGrantResponse{ID: request.ID, TTL: int64(ttl / time.Second)}
	return etcdgateway.LeaseKeepAliveResponse{Result: result}, err
}

func (g storeGateway) revokeLease(ctx context.Context, request etcdgateway.LeaseRequest) (etcdgateway.LeaseRevokeResponse, error) {
	return etcdgateway.LeaseRevokeResponse{}, g.store.RevokeLease(ctx, store.LeaseID(request.ID))
}

func (g storeGateway) watch(w http.ResponseWriter, r *http.Request) {
	var request etcdgateway.WatchRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxStoreBody)).Decode(&request); err != nil {
		writeStoreError(w, errInvalid)
		return
	}
	create := request.Create
	prefix, isPrefix, err := parseRange(create.Key, create.RangeEnd)
	if err != nil || !isPrefix {
		writeStoreError(w, errUnimplemented)
		return
	}
	stream := watchStream{encoder: json.NewEncoder(w), flush: http.NewResponseController(w).Flush}
	from := store.Revision(create.StartRevision)
	if from == 0 {
		from = g.store.Revision() + 1
	}
	events, err := g.store.WatchFrom(r.Context(), prefix, from)
	switch {
	case errors.Is(err, memory.ErrCompacted):
		_ = stream.send(etcdgateway.WatchResponse{Canceled: true, CompactRevision: int64(from), CancelReason: err.Error()})
	case err != nil:
		writeStoreError(w, err)
	default:
		stream.run(events, create.ProgressNotify)
	}
}

type watchStream struct {
	encoder *json.Encoder
	flush   func() error
}

func (s watchStream) send(message etcdgateway.WatchResponse) error {
	if err := s.encoder.Encode(etcdgateway.WatchStreamMessage{Result: &message}); err != nil {
		return err
	}
	return s.flush()
}

// run sends events until the watch is cancelled or the client disconnects.
func (s watchStream) run(events <-chan store.Event, progress bool) {
	if s.send(etcdgateway.WatchResponse{Created: true}) != nil {
		return
	}
	for event := range events {
		if event.Progress && !progress {
			continue
		}
		if s.send(watchResponse(event)) != nil {
			return
		}
	}
}

func watchResponse(event store.Event) etcdgateway.WatchResponse {
	message := etcdgateway.WatchResponse{Header: header(event.Value.Revision)}
	if event.Progress {
		return message
	}
	change := etcdgateway.WatchEvent{KV: etcdgateway.KeyValue{
		Key: []byte(event.Value.Key), Value: event.Value.Data, ModRevision: int64(event.Value.Revision),
	}}
	if event.Deleted {
		change.Type = etcdgateway.EventTypeDelete
	}
	message.Events = append(message.Events, change)
	return message
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // a write error means that the client disconnected
}
