package etcdgateway

// Paths of the gateway.
const (
	PathRange          = "/v3/kv/range"
	PathTxn            = "/v3/kv/txn"
	PathLeaseGrant     = "/v3/lease/grant"
	PathLeaseKeepAlive = "/v3/lease/keepalive"
	PathLeaseRevoke    = "/v3/lease/revoke"
	PathWatch          = "/v3/watch"
)

// Enumeration values in requests and responses.
const (
	CompareEqual    = "EQUAL"
	TargetMod       = "MOD"
	EventTypeDelete = "DELETE"
)

// gRPC status codes in the gateway's error bodies.
const (
	CodeInvalidArgument    = 3
	CodeNotFound           = 5
	CodePermissionDenied   = 7
	CodeResourceExhausted  = 8
	CodeFailedPrecondition = 9
	CodeOutOfRange         = 11
	CodeUnimplemented      = 12
	CodeUnavailable        = 14
	CodeUnauthenticated    = 16
)

// MessageTooLarge is the service's error message for a value above the size limit.
const MessageTooLarge = "etcdserver: request is too large"

// Header is part of every response. The gateway encodes 64-bit integers as strings
// and omits fields that are zero.
type Header struct {
	Revision int64 `json:"revision,string,omitempty"`
}

// KeyValue is a stored key and its value. Byte slices are base64 in JSON.
type KeyValue struct {
	Key            []byte `json:"key,omitempty"`
	CreateRevision int64  `json:"create_revision,string,omitempty"`
	ModRevision    int64  `json:"mod_revision,string,omitempty"`
	Version        int64  `json:"version,string,omitempty"`
	Value          []byte `json:"value,omitempty"`
	Lease          int64  `json:"lease,string,omitempty"`
}

// RangeRequest reads one key, or the keys from Key up to but excluding RangeEnd.
type RangeRequest struct {
	Key      []byte `json:"key,omitempty"`
	RangeEnd []byte `json:"range_end,omitempty"`
}

// RangeResponse is the response to a RangeRequest.
type RangeResponse struct {
	Header Header     `json:"header"`
	KVs    []KeyValue `json:"kvs,omitempty"`
	Count  int64      `json:"count,string,omitempty"`
}

// Compare is a condition of a transaction.
type Compare struct {
	Result      string `json:"result,omitempty"`
	Target      string `json:"target,omitempty"`
	Key         []byte `json:"key,omitempty"`
	ModRevision int64  `json:"mod_revision,string"`
}

// PutRequest writes a key.
type PutRequest struct {
	Key   []byte `json:"key,omitempty"`
	Value []byte `json:"value,omitempty"`
	Lease int64  `json:"lease,string,omitempty"`
}

// DeleteRangeRequest deletes a key, or a range of keys.
type DeleteRangeRequest struct {
	Key      []byte `json:"key,omitempty"`
	RangeEnd []byte `json:"range_end,omitempty"`
}

// RequestOp is one operation of a transaction. Exactly one field is set.
type RequestOp struct {
	Put         *PutRequest         `json:"request_put,omitempty"`
	DeleteRange *DeleteRangeRequest `json:"request_delete_range,omitempty"`
}

// TxnRequest executes Success if every comparison holds, else Failure.
type TxnRequest struct {
	Compare []Compare   `json:"compare,omitempty"`
	Success []RequestOp `json:"success,omitempty"`
	Failure []RequestOp `json:"failure,omitempty"`
}

// TxnResponse is the response to a TxnRequest.
type TxnResponse struct {
	Header    Header `json:"header"`
	Succeeded bool   `json:"succeeded,omitempty"`
}

// LeaseGrantRequest requests a lease. TTL is in seconds.
type LeaseGrantRequest struct {
	TTL int64 `json:"TTL,string"`
	ID  int64 `json:"ID,string,omitempty"`
}

// LeaseGrantResponse is the response to a LeaseGrantRequest.
type LeaseGrantResponse struct {
	Header Header `json:"header"`
	ID     int64  `json:"ID,string,omitempty"`
	TTL    int64  `json:"TTL,string,omitempty"`
}

// LeaseRequest names a lease to renew or revoke.
type LeaseRequest struct {
	ID int64 `json:"ID,string"`
}

// LeaseKeepAliveResponse is the response to a renewal. A TTL of zero means that
// the lease does not exist.
type LeaseKeepAliveResponse struct {
	Result *LeaseGrantResponse `json:"result,omitempty"`
	Error  *ErrorBody          `json:"error,omitempty"`
}

// LeaseRevokeResponse is the response to a revocation.
type LeaseRevokeResponse struct {
	Header Header `json:"header"`
}

// WatchRequest is the request message of a watch stream.
type WatchRequest struct {
	Create WatchCreateRequest `json:"create_request"`
}

// WatchCreateRequest starts a watch.
type WatchCreateRequest struct {
	Key            []byte `json:"key,omitempty"`
	RangeEnd       []byte `json:"range_end,omitempty"`
	StartRevision  int64  `json:"start_revision,string,omitempty"`
	ProgressNotify bool   `json:"progress_notify,omitempty"`
}

// WatchEvent is one change. Type is empty for a put.
type WatchEvent struct {
	Type string   `json:"type,omitempty"`
	KV   KeyValue `json:"kv"`
}

// WatchResponse is one message of a watch stream. A message without events that is
// neither Created nor Canceled is a progress notification.
type WatchResponse struct {
	Header          Header       `json:"header"`
	Created         bool         `json:"created,omitempty"`
	Canceled        bool         `json:"canceled,omitempty"`
	CompactRevision int64        `json:"compact_revision,string,omitempty"`
	CancelReason    string       `json:"cancel_reason,omitempty"`
	Events          []WatchEvent `json:"events,omitempty"`
}

// WatchStreamMessage is the envelope of a WatchResponse in the stream.
type WatchStreamMessage struct {
	Result *WatchResponse `json:"result,omitempty"`
	Error  *ErrorBody     `json:"error,omitempty"`
}

// ErrorBody is the body of a response whose status is not 200.
type ErrorBody struct {
	Error   string `json:"error,omitempty"`
	Code    int    `json:"code"`
	Message string `json:"message,omitempty"`
}

// PrefixEnd returns the exclusive end of the range of all keys with the prefix. The
// range end \x00 means that the range is unbounded.
func PrefixEnd(prefix []byte) []byte {
	end := append([]byte(nil), prefix...)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0}
}
