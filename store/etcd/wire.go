package etcd

// The types below mirror the subset of the etcd v3 JSON gateway that is used.
// The gateway encodes 64-bit integers as strings and bytes as base64, as the
// json package does for fields tagged "string" and for []byte.

// Paths of the gateway's calls.
const (
	PathRange     = "/v3/kv/range"
	PathTxn       = "/v3/kv/txn"
	PathWatch     = "/v3/watch"
	PathGrant     = "/v3/lease/grant"
	PathKeepAlive = "/v3/lease/keepalive"
	PathRevoke    = "/v3/lease/revoke"
)

// Header is the header of each response.
type Header struct {
	Revision int64 `json:"revision,string"`
}

// KeyValue is one key of the store with its value.
type KeyValue struct {
	Key         []byte `json:"key"`
	Value       []byte `json:"value"`
	ModRevision int64  `json:"mod_revision,string"`
	Version     int64  `json:"version,string"`
	Lease       int64  `json:"lease,string"`
}

// RangeRequest reads the keys in [Key, RangeEnd).
type RangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
	// KeysOnly leaves the values out of the response.
	KeysOnly bool `json:"keys_only,omitempty"`
	// Serializable requests a read from one replica, which may be stale.
	Serializable bool `json:"serializable,omitempty"`
}

// RangeResponse answers a RangeRequest.
type RangeResponse struct {
	Header Header     `json:"header"`
	Kvs    []KeyValue `json:"kvs"`
}

// Targets and results of a CompareOp, and types of a WatchEvent.
const (
	TargetMod    = "MOD"
	ResultEqual  = "EQUAL"
	EventPut     = "PUT"
	EventDeleted = "DELETE"
)

// CompareOp is a condition of a transaction.
type CompareOp struct {
	Key         []byte `json:"key"`
	Target      string `json:"target"`
	Result      string `json:"result"`
	ModRevision int64  `json:"mod_revision,string"`
}

// PutRequest writes one key.
type PutRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
	Lease int64  `json:"lease,string"`
}

// DeleteRequest deletes one key.
type DeleteRequest struct {
	Key []byte `json:"key"`
}

// RequestOp is one operation of a transaction.
type RequestOp struct {
	Put    *PutRequest    `json:"request_put,omitempty"`
	Delete *DeleteRequest `json:"request_delete_range,omitempty"`
	Range  *RangeRequest  `json:"request_range,omitempty"`
}

// ResponseOp is the result of one operation; Range is set for a range read.
type ResponseOp struct {
	Range *RangeResponse `json:"response_range,omitempty"`
}

// TxnRequest executes Success if all conditions in Compare hold, and Failure
// otherwise.
type TxnRequest struct {
	Compare []CompareOp `json:"compare"`
	Success []RequestOp `json:"success"`
	Failure []RequestOp `json:"failure,omitempty"`
}

// TxnResponse answers a TxnRequest.
type TxnResponse struct {
	Header    Header `json:"header"`
	Succeeded bool   `json:"succeeded"`
	// Responses are the results of the executed operations.
	Responses []ResponseOp `json:"responses,omitempty"`
}

// WatchRequest opens a watch.
type WatchRequest struct {
	Create WatchCreate `json:"create_request"`
}

// WatchCreate is the range of keys to watch and the first revision to report.
type WatchCreate struct {
	Key           []byte `json:"key"`
	RangeEnd      []byte `json:"range_end,omitempty"`
	StartRevision int64  `json:"start_revision,string"`
}

// WatchMessage is one message in the response stream of a watch.
type WatchMessage struct {
	Result WatchResult `json:"result"`
}

// WatchResult contains the events of a WatchMessage.
type WatchResult struct {
	Header  Header       `json:"header"`
	Created bool         `json:"created,omitempty"`
	Events  []WatchEvent `json:"events,omitempty"`
}

// WatchEvent is one change.
type WatchEvent struct {
	Type string   `json:"type,omitempty"`
	Kv   KeyValue `json:"kv"`
}

// LeaseRequest is the request body of all lease calls.
type LeaseRequest struct {
	ID  int64 `json:"ID,string"`
	TTL int64 `json:"TTL,string"`
}

// LeaseResponse answers a grant or a revocation, and is the result of a
// keep-alive.
type LeaseResponse struct {
	Header Header `json:"header"`
	ID     int64  `json:"ID,string"`
	TTL    int64  `json:"TTL,string"`
}

// KeepAliveResponse answers a keepalive.
type KeepAliveResponse struct {
	Result LeaseResponse `json:"result"`
}

// RangeEnd returns the end of the range of keys that start with prefix.
func RangeEnd(prefix []byte) []byte {
	end := append([]byte(nil), prefix...)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0}
}
