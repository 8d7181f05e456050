package core

import (
	"time"

	"nutmeglane.example/nutmeglane/internal/api"
	"nutmeglane.example/nutmeglane/internal/code"
)

// Effect is an output of the reducer: an action for the process to carry out. The
// process starts effects in the given order and never blocks the reducer.
type Effect interface{ effect() }

// Wake schedules a Tick at At and replaces the Tick scheduled before. Package
// machine emits it after each step; sub-reducers only return their next time.
type Wake struct {
	At Time `cbor:"1,keyasint"`
}

// Dial opens a connection to a peer. PeerUp or PeerDown follows.
type Dial struct {
	Peer    HostID `cbor:"1,keyasint"`
	Address string `cbor:"2,keyasint"`
}

// Hangup closes the connection to a peer. No PeerDown follows.
type Hangup struct {
	Peer HostID `cbor:"1,keyasint"`
}

// Send sends a message on the newest connection to the peer. Without a connection
// the message is dropped; PeerDown reports that case.
type Send struct {
	To      HostID  `cbor:"1,keyasint"`
	Message Message `cbor:"-"`
}

// KVGet reads a key.
type KVGet struct {
	Tag uint64 `cbor:"1,keyasint"`
	Key string `cbor:"2,keyasint"`
}

// KVCas writes Value if the key's revision still is Revision (0: the key must
// not exist). If Lease is not 0, the key is bound to that lease.
type KVCas struct {
	Tag      uint64 `cbor:"1,keyasint"`
	Key      string `cbor:"2,keyasint"`
	Value    []byte `cbor:"3,keyasint"`
	Revision int64  `cbor:"4,keyasint"`
	Lease    int64  `cbor:"5,keyasint,omitempty"`
}

// KVLease requests a new lease.
type KVLease struct {
	Tag uint64        `cbor:"1,keyasint"`
	TTL time.Duration `cbor:"2,keyasint"`
}

// KVKeepAlive renews a lease.
type KVKeepAlive struct {
	Tag   uint64 `cbor:"1,keyasint"`
	Lease int64  `cbor:"2,keyasint"`
}

// RespondHead sends the status and header of the response to a caller.
type RespondHead struct {
	ID     RequestID  `cbor:"1,keyasint"`
	Status int        `cbor:"2,keyasint"`
	Header []HeaderKV `cbor:"3,keyasint,omitempty"`
}

// RespondData sends a part of the response body to a caller. CallerTook follows.
type RespondData struct {
	ID      RequestID `cbor:"1,keyasint"`
	Count   uint32    `cbor:"2,keyasint"`
	Payload []byte    `cbor:"3,keyasint"`
	Sizes   []byte    `cbor:"4,keyasint,omitempty"`
}

// RespondEnd ends the response to a caller; the response is complete if Code is
// OK. With another code it is an error response if no head was sent, and otherwise
// the response is aborted in a way that the caller can detect.
type RespondEnd struct {
	ID   RequestID `cbor:"1,keyasint"`
	Code code.Code `cbor:"2,keyasint,omitempty"`
	// RetryAfter is when the caller may retry; 0 if not applicable.
	RetryAfter time.Duration `cbor:"3,keyasint,omitempty"`
}

// TakeInventory requests the list of what the engine has loaded. Inventory follows.
type TakeInventory struct{}

// OrderKind is the kind of an engine order.
type OrderKind uint8

// The order kinds.
const (
	OrderLoad OrderKind = iota + 1
	OrderUnload
	// OrderPrefetch copies a checkpoint from the store to the local disk.
	OrderPrefetch
	// OrderRole changes the engine's role to Order.Role.
	OrderRole
)

// EngineRole determines whether an engine accepts new work.
type EngineRole uint8

// The roles. An engine without support for roles is always serving. A draining
// engine finishes its loads and runs and refuses new ones.
const (
	EngineServing EngineRole = iota
	EngineDraining
)

// Order is an order to the engine. OrderDone follows.
type Order struct {
	// ID is the sequence number of the order within this incarnation.
	ID   uint64    `cbor:"1,keyasint"`
	Kind OrderKind `cbor:"2,keyasint"`
	// Key is "<model or adapter>@<version>"; Base is the base model's key
	// when Key is an adapter.
	Key       string `cbor:"3,keyasint"`
	Base      string `cbor:"4,keyasint,omitempty"`
	MemoryMiB int64  `cbor:"5,keyasint"`
	// CheckpointMiB is the amount to read from the weight store if it is not
	// cached.
	CheckpointMiB int64  `cbor:"6,keyasint,omitempty"`
	Fence         uint64 `cbor:"7,keyasint"`
	// NotAfter is checked right before the order is sent to the engine: an order
	// that was delayed by a pause of the process is dropped with OrderExpired.
	NotAfter Time `cbor:"8,keyasint"`
	// Role is the new role. It is set for OrderRole only, which has no Key.
	Role EngineRole `cbor:"9,keyasint,omitempty"`
}

// Run sends a request to the backend server. A series of RunProgress follows; the
// last one has FrameEnd.
type Run struct {
	Attempt AttemptID `cbor:"1,keyasint"`
	Target  Target    `cbor:"2,keyasint"`
	// Key is the loaded checkpoint to run on, "<name>@<version>": the adapter's if
	// there is one, else the model's. It is empty for services.
	Key      string        `cbor:"3,keyasint,omitempty"`
	Priority api.Priority  `cbor:"4,keyasint"`
	Timeout  time.Duration `cbor:"5,keyasint"`
	Method   string        `cbor:"6,keyasint,omitempty"`
	Path     string        `cbor:"7,keyasint,omitempty"`
	Header   []HeaderKV    `cbor:"8,keyasint,omitempty"`
	Body     []byte        `cbor:"9,keyasint,omitempty"`
	// ResumeFrom is the index of the first token to generate.
	ResumeFrom uint64 `cbor:"10,keyasint,omitempty"`
}

// CancelRun stops a run. A RunProgress with FrameEnd still follows.
type CancelRun struct {
	Attempt AttemptID `cbor:"1,keyasint"`
}

// PauseRun stops or resumes reading a run's answer, for flow control.
type PauseRun struct {
	Attempt AttemptID `cbor:"1,keyasint"`
	Paused  bool      `cbor:"2,keyasint"`
}

// Ready sets whether the process reports itself as ready to the load balancer.
type Ready struct {
	Ready bool `cbor:"1,keyasint"`
}

// Exit ends the process after a graceful shutdown.
type Exit struct{}

// Note is a change of state to be logged as one line. It must not contain request
// text.
type Note struct {
	// Name is a fixed phrase, such as "slot moved".
	Name string `cbor:"1,keyasint"`
	// Fields are alternating keys and values.
	Fields []string `cbor:"2,keyasint,omitempty"`
}

// Counter names a metric counter.
type Counter string

// Count adds Add to the counter Name with the label values Labels.
type Count struct {
	Name   Counter  `cbor:"1,keyasint"`
	Labels []string `cbor:"2,keyasint,omitempty"`
	Add    float64  `cbor:"3,keyasint"`
}

// Observe records a value in the histogram Name with the label values Labels. The
// unit is seconds or bytes, according to the suffix of the name.
type Observe struct {
	Name   Counter  `cbor:"1,keyasint"`
	Labels []string `cbor:"2,keyasint,omitempty"`
	Value  float64  `cbor:"3,keyasint"`
}

func (Wake) effect()          {}
func (Dial) effect()          {}
func (Hangup) effect()        {}
func (Send) effect()          {}
func (KVGet) effect()         {}
func (KVCas) effect()         {}
func (KVLease) effect()       {}
func (KVKeepAlive) effect()   {}
func (RespondHead) effect()   {}
func (RespondData) effect()   {}
func (RespondEnd) effect()    {}
func (TakeInventory) effect() {}
func (Order) effect()         {}
func (Run) effect()           {}
func (CancelRun) effect()     {}
func (PauseRun) effect()      {}
func (Ready) effect()         {}
func (Exit) effect()          {}
func (Note) effect()          {}
func (Count) effect()         {}
func (Observe) effect()       {}

// ConfigApplied passes a newly assembled configuration to the process, which
// validates it and posts ConfigInForce.
type ConfigApplied struct {
	Revision int64 `cbor:"1,keyasint"`
	// Document holds all resources or, if Base is not 0, only those that differ
	// from the revision Base, which is already in force in this process.
	Document []byte `cbor:"2,keyasint"`
	Base     int64  `cbor:"3,keyasint,omitempty"`
	// Deleted lists the resources of Base that are missing from this revision.
	Deleted []api.Key `cbor:"4,keyasint,omitempty"`
	// Size is the number of resources in the whole revision, if Base is not 0.
	Size int `cbor:"5,keyasint,omitempty"`
}

func (ConfigApplied) effect() {}
