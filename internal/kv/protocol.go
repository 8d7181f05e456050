// Package kv is the client of the platform's key-value service and the
// executor of the reducer's KV effects.
//
// # Protocol
//
// HTTP/1.1 with JSON bodies; values are encoded in base64. Every change of a key
// takes the next revision of the whole store, and a key's revision is that of
// its last change.
//
//	GET  /v1/get?key=K              200 Item; Revision 0: no such key
//	POST /v1/cas CasRequest         200 Item (without the value)
//	                                409 Item: the current one. If its revision
//	                                is the expected one, the lease does not
//	                                exist.
//	POST /v1/lease LeaseRequest     200 Lease
//	POST /v1/keepalive Lease        200 Lease; 409: the lease does not exist
//	GET  /v1/list?prefix=P          200 Snapshot
//	GET  /v1/watch?prefix=P&after=R&wait_ms=W&heartbeat_ms=H
//	                                200 Batch, once a key with the prefix
//	                                changed after revision R, or empty after W
//
// A waiting watch counts as one call. The header of its answer is sent at once, and a
// line feed every H milliseconds until the batch, so that a dead connection is
// detected. Batch.Compacted means that the changes after R have been discarded:
// list again.
//
// The other statuses are 400 (malformed), 413 (value over MaxValueBytes),
// 429 (over the rate limit) and 503 (down); none of them has any effect.
// 429 (over the rate limit) and 503 (down); none of them has any effect.
package kv

// The paths of the service.
const (
	PathGet       = "/v1/get"
	PathCas       = "/v1/cas"
	PathLease     = "/v1/lease"
	PathKeepAlive = "/v1/keepalive"
	PathList      = "/v1/list"
	PathWatch     = "/v1/watch"
)

// MaxValueBytes is the service's limit on a value, before base64.
const MaxValueBytes = 1 << 20

// Op is the kind of a call, for counters.
type Op string

// The kinds of call.
const (
	OpGet       Op = "get"
	OpCas       Op = "cas"
	OpLease     Op = "lease"
	OpKeepAlive Op = "keepalive"
	OpList      Op = "list"
	OpWatch     Op = "watch"
)

// writes reports whether a call of this kind can change the store.
func (o Op) writes() bool { return o == OpCas || o == OpLease || o == OpKeepAlive }

// Item is a key with its value and revision. Revision 0 means that the key
// does not exist.
type Item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
}

// CasRequest writes Value if the key's revision is Revision (0: the key must not exist).
// The key is deleted when Lease expires; with 0 it is not bound to a lease.
type CasRequest struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision int64  `json:"revision"`
	Lease    int64  `json:"lease,omitempty"`
}

// LeaseRequest asks for a lease with a time to live in milliseconds.
type LeaseRequest struct {
	TTLMillis int64 `json:"ttl_ms"`
}

// Lease identifies a granted lease.
type Lease struct {
	Lease int64 `json:"lease"`
}

// Snapshot is the answer to a list: the keys with a prefix, in ascending
// order, as of Revision of the store.
type Snapshot struct {
	Revision int64  `json:"revision"`
	Items    []Item `json:"items"`
}

// Change is a change of a key, as reported by a watch.
type Change struct {
	Item
	Deleted bool `json:"deleted,omitempty"`
}

// Batch is the answer to a watch: all changes after the revision asked for, up
// to and including Revision, in order.
type Batch struct {
	Revision  int64    `json:"revision"`
	Changes   []Change `json:"changes,omitempty"`
	Compacted bool     `json:"compacted,omitempty"`
}

type getQuery struct {
	Key string `url:"key"`
}

type listQuery struct {
	Prefix string `url:"prefix"`
}

type watchQuery struct {
	Prefix          string `url:"prefix"`
	After           int64  `url:"after"`
	WaitMillis      int64  `url:"wait_ms"`
	HeartbeatMillis int64  `url:"heartbeat_ms"`
}
