package core

import (
	"time"

	"nutmeglane.example/nutmeglane/internal/api"
	"nutmeglane.example/nutmeglane/internal/code"
)

// Event is an input of the reducer. Events are plain data with a stable
// encoded form (see codec.go), so that a recorded run can be replayed.
type Event interface{ event() }

// Tick reports that the time of the last Wake has been reached.
type Tick struct{}

// Received is a message from a peer.
type Received struct {
	From    HostID  `cbor:"1,keyasint"`
	Message Message `cbor:"-"`
}

// PeerUp reports a connection to a peer, after the transport's handshake. A
// second PeerUp without PeerDown means that the connection was replaced.
type PeerUp struct {
	Peer HostID `cbor:"1,keyasint"`
	// Incarnation is that of the peer process, from the handshake.
	Incarnation Incarnation `cbor:"2,keyasint"`
}

// PeerDown reports that there is no connection to the peer any more, or that a
// dial failed.
type PeerDown struct {
	Peer HostID `cbor:"1,keyasint"`
	// Planned is set when the peer closed for a restart (code 1012).
	Planned bool `cbor:"2,keyasint,omitempty"`
}

// HostState is a host's state in the platform's host list.
type HostState string

// The states of the platform's host list.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// HostRole determines which of the system's processes runs on a host.
type HostRole string

// The host roles.
const (
	RoleEntry   HostRole = "entry"
	RoleBackend HostRole = "backend"
)

// Host is one entry of the platform's host list.
type Host struct {
	ID HostID `cbor:"1,keyasint" json:"id"`
	// Address is "IP:port" of the system's process there.
	Address string    `cbor:"2,keyasint" json:"address"`
	Zone    Zone      `cbor:"3,keyasint" json:"zone"`
	Role    HostRole  `cbor:"4,keyasint" json:"role"`
	State   HostState `cbor:"5,keyasint" json:"state"`
}

// HostList is the platform's host list as last read. It lags behind: a host that is
// absent was reclaimed with all its processes, but a listed host may be dead.
type HostList struct {
	Hosts []Host `cbor:"1,keyasint"`
}

// ConfigInForce replaces the configuration. Its revision never decreases.
type ConfigInForce struct {
	Snapshot *api.Snapshot `cbor:"1,keyasint"`
	// Changed lists, sorted, the resources that may differ from the previous
	// ConfigInForce; nil means that any of them may.
	Changed []api.Key `cbor:"2,keyasint"`
}

// Stop requests a graceful shutdown within Limit.
type Stop struct {
	Limit time.Duration `cbor:"1,keyasint"`
	// Delay, a part of Limit, is how long an entry still accepts new requests
	// after it reports itself as not ready.
	Delay time.Duration `cbor:"2,keyasint,omitempty"`
}

// KVValue is the newest value of a key, from a watch. Revision 0 means that
// the key does not exist.
type KVValue struct {
	Key      string `cbor:"1,keyasint"`
	Value    []byte `cbor:"2,keyasint,omitempty"`
	Revision int64  `cbor:"3,keyasint"`
}

// KVReachable reports that calls to the KV service started to succeed or to fail.
type KVReachable struct {
	Up bool `cbor:"1,keyasint"`
}

// KVResult answers a KV effect with the same Tag.
type KVResult struct {
	Tag uint64 `cbor:"1,keyasint"`
	// Code is OK, KVConflict, KVUnavailable (no effect) or KVUnknown (the call may
	// have taken effect). With OK and KVConflict, Value and Revision are the key's
	// current ones; after a KVCas that succeeded, those that it wrote.
	Code     code.Code `cbor:"2,keyasint,omitempty"`
	Key      string    `cbor:"3,keyasint,omitempty"`
	Value    []byte    `cbor:"4,keyasint,omitempty"`
	Revision int64     `cbor:"5,keyasint,omitempty"`
	Lease    int64     `cbor:"6,keyasint,omitempty"`
}

// RequestArrived is a caller's request, after authentication and parsing.
type RequestArrived struct {
	ID            RequestID    `cbor:"1,keyasint"`
	ClientAccount string       `cbor:"2,keyasint"`
	Target        Target       `cbor:"3,keyasint"`
	Priority      api.Priority `cbor:"4,keyasint"`
	// Timeout is how long the caller waits for the whole response.
	Timeout    time.Duration `cbor:"5,keyasint"`
	Key        string        `cbor:"6,keyasint,omitempty"`
	Idempotent bool          `cbor:"7,keyasint,omitempty"`
	Method     string        `cbor:"8,keyasint,omitempty"`
	Path       string        `cbor:"9,keyasint,omitempty"`
	Header     []HeaderKV    `cbor:"10,keyasint,omitempty"`
	Body       []byte        `cbor:"11,keyasint,omitempty"`
	// Prefix is a hash of the beginning of the prompt, used to route to an engine
	// that has it cached; 0 if none.
	Prefix uint64 `cbor:"12,keyasint,omitempty"`
}

// CallerGone reports that the caller closed its connection.
type CallerGone struct {
	ID RequestID `cbor:"1,keyasint"`
}

// CallerTook reports that Frames data frames were written to the caller's
// connection.
type CallerTook struct {
	ID     RequestID `cbor:"1,keyasint"`
	Frames uint32    `cbor:"2,keyasint"`
}

// LoadedItem is a model or adapter that is loaded on an engine, from the engine's
// inventory.
type LoadedItem struct {
	// Key is "<model or adapter>@<version>".
	Key string `cbor:"1,keyasint"`
	// Base is the base model's key when Key is an adapter.
	Base      string `cbor:"2,keyasint,omitempty"`
	MemoryMiB int64  `cbor:"3,keyasint"`
	// Fence is the fencing number of the order that loaded it.
	Fence uint64 `cbor:"4,keyasint"`
	// Busy is set while a load or unload of it is in progress.
	Busy bool `cbor:"5,keyasint,omitempty"`
}

// Inventory answers the effect TakeInventory.
type Inventory struct {
	Code      code.Code    `cbor:"1,keyasint,omitempty"`
	Items     []LoadedItem `cbor:"2,keyasint,omitempty"`
	MemoryMiB int64        `cbor:"3,keyasint"`
	// ChecksFencing is set if the engine reports that it checks fencing numbers.
	ChecksFencing bool               `cbor:"4,keyasint,omitempty"`
	Cached        []CachedCheckpoint `cbor:"5,keyasint,omitempty"`
	Role          EngineRole         `cbor:"6,keyasint,omitempty"`
	// RoleFence is the highest fencing number of any OrderRole so far.
	RoleFence uint64 `cbor:"7,keyasint,omitempty"`
}

// OrderDone answers an Order.
type OrderDone struct {
	Order uint64 `cbor:"1,keyasint"`
	// Code is OK, or EngineRefused, FencedOut, OrderExpired, StoreFailed,
	// EngineNoMemory (each: no effect), or EngineFailed or EngineUnknown (it may
	// have taken effect; an inventory has to be taken).
	Code code.Code `cbor:"2,keyasint,omitempty"`
}

// EngineLoad is the engine's load report, which lags behind the actual load.
type EngineLoad struct {
	Running int `cbor:"1,keyasint"`
	Queued  int `cbor:"2,keyasint"`
	// Prefixes are hashes of cached prompt prefixes.
	Prefixes []uint64           `cbor:"3,keyasint,omitempty"`
	Cached   []CachedCheckpoint `cbor:"4,keyasint,omitempty"`
}

// RunProgress carries a piece of a backend server's answer to a Run.
type RunProgress struct {
	Attempt AttemptID  `cbor:"1,keyasint"`
	Kind    FrameKind  `cbor:"2,keyasint"`
	Count   uint32     `cbor:"3,keyasint,omitempty"`
	Payload []byte     `cbor:"4,keyasint,omitempty"`
	Sizes   []byte     `cbor:"5,keyasint,omitempty"`
	Status  int        `cbor:"6,keyasint,omitempty"`
	Header  []HeaderKV `cbor:"7,keyasint,omitempty"`
	// Code is the result, in FrameEnd: OK, EngineNotLoaded (it did not run),
	// BackendFailed, TimedOut or Cancelled.
	Code code.Code `cbor:"8,keyasint,omitempty"`
}

func (Tick) event()           {}
func (Received) event()       {}
func (PeerUp) event()         {}
func (PeerDown) event()       {}
func (HostList) event()       {}
func (ConfigInForce) event()  {}
func (Stop) event()           {}
func (KVValue) event()        {}
func (KVReachable) event()    {}
func (KVResult) event()       {}
func (RequestArrived) event() {}
func (CallerGone) event()     {}
func (CallerTook) event()     {}
func (Inventory) event()      {}
func (OrderDone) event()      {}
func (EngineLoad) event()     {}
func (RunProgress) event()    {}
