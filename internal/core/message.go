package core

import (
	"time"

	"nutmeglane.example/nutmeglane/internal/api"
	"nutmeglane.example/nutmeglane/internal/code"
)

// Message is sent between two processes over a wire connection. An entry dials
// agents and a router dials loaders; agents and loaders never dial. Messages of one
// connection arrive in order and at most once. When a connection is lost, any
// suffix of its messages may be lost.
type Message interface{ message() }

// Hello is the first message from an entry to an agent on a connection.
type Hello struct {
	Host        HostID      `cbor:"1,keyasint"`
	Incarnation Incarnation `cbor:"2,keyasint"`
	Zone        Zone        `cbor:"3,keyasint"`
	// Steward is set if the agent is to send its reports on this connection.
	Steward bool `cbor:"4,keyasint,omitempty"`
	// ConfigRevision is the revision of the configuration in force at the entry.
	ConfigRevision int64 `cbor:"5,keyasint,omitempty"`
}

// Welcome is the agent's answer to Hello.
type Welcome struct {
	Host           HostID      `cbor:"1,keyasint"`
	Incarnation    Incarnation `cbor:"2,keyasint"`
	Zone           Zone        `cbor:"3,keyasint"`
	Kind           BackendKind `cbor:"4,keyasint"`
	Service        string      `cbor:"5,keyasint,omitempty"`
	Leaving        bool        `cbor:"6,keyasint,omitempty"`
	ConfigRevision int64       `cbor:"7,keyasint,omitempty"`
}

// SlotLoad is the load state of one slot, as reported by its owner.
type SlotLoad struct {
	Slot       SlotID `cbor:"1,keyasint"`
	Generation uint64 `cbor:"2,keyasint"`
	// State is that of the base model.
	State LoadState `cbor:"3,keyasint"`
	// Adapters are those loaded on the slot.
	Adapters []string `cbor:"4,keyasint,omitempty"`
	// Running and Queued count the requests of the slot.
	Running int `cbor:"5,keyasint,omitempty"`
	Queued  int `cbor:"6,keyasint,omitempty"`
	// ReadyIn predicts how long an interactive request sent now would wait if it
	// starts after all queued ones.
	ReadyIn time.Duration `cbor:"7,keyasint,omitempty"`
	// SkipIn is how much sooner a request starts whose client account has no
	// requests waiting.
	SkipIn time.Duration `cbor:"8,keyasint,omitempty"`
}

// LoadState is the state of a model or adapter on a host.
type LoadState uint8

// The load states.
const (
	Unloaded LoadState = iota
	Loading
	Loaded
	Unloading
)

// Tier is the location of the nearest copy of a checkpoint.
type Tier uint8

// The cache tiers, the one with the cheapest loads first.
const (
	TierMemory Tier = iota + 1
	TierDisk
	TierRemote
)

// CachedCheckpoint is a checkpoint and the nearest tier in which a host has it.
type CachedCheckpoint struct {
	// Key is "<model or adapter>@<version>".
	Key  string `cbor:"1,keyasint"`
	Tier Tier   `cbor:"2,keyasint"`
}

// Status is sent by an agent to each connected entry on connecting and when its
// content changes, at most a few times a second.
type Status struct {
	// Sequence increases with each Status of the incarnation.
	Sequence uint64     `cbor:"1,keyasint"`
	Slots    []SlotLoad `cbor:"2,keyasint,omitempty"`
	// Running and Queued count all requests at the host.
	Running int `cbor:"3,keyasint,omitempty"`
	Queued  int `cbor:"4,keyasint,omitempty"`
	// FreeMiB is unreserved accelerator memory.
	FreeMiB int64 `cbor:"5,keyasint,omitempty"`
	Leaving bool  `cbor:"6,keyasint,omitempty"`
	// Prefixes are hashes of cached prompt prefixes (hints only).
	Prefixes []uint64 `cbor:"7,keyasint,omitempty"`
}

// Report is an agent's state, sent to the steward every ReportInterval.
type Report struct {
	// Sequence increases with each report of the incarnation. The Grant that
	// answers the report repeats it.
	Sequence      uint64      `cbor:"1,keyasint"`
	Host          HostID      `cbor:"2,keyasint"`
	Incarnation   Incarnation `cbor:"3,keyasint"`
	Zone          Zone        `cbor:"4,keyasint"`
	Address       string      `cbor:"5,keyasint"`
	Kind          BackendKind `cbor:"6,keyasint"`
	Service       string      `cbor:"7,keyasint,omitempty"`
	MemoryMiB     int64       `cbor:"8,keyasint,omitempty"`
	ChecksFencing bool        `cbor:"9,keyasint,omitempty"`
	Leaving       bool        `cbor:"10,keyasint,omitempty"`
	// Inventoried is set once the agent has the inventory of its engine and has
	// unloaded everything that it does not own.
	Inventoried bool `cbor:"11,keyasint,omitempty"`
	// Released lists slots (with the generation) that the agent has unloaded
	// and will never load again under that generation.
	Released []Slot             `cbor:"12,keyasint,omitempty"`
	Cached   []CachedCheckpoint `cbor:"13,keyasint,omitempty"`
	// ConfigRevision is the revision of the configuration in force at the agent.
	ConfigRevision int64 `cbor:"14,keyasint,omitempty"`
	// Backend is the engine's base URL, reachable from other hosts.
	Backend string `cbor:"15,keyasint,omitempty"`
	// Cleared lists slots whose newest known AdapterMax is 0 and on which no
	// adapter is loaded, loading or unloading. The agent guarantees that this
	// incarnation loads none there until it receives the slot with a higher
	// AdapterEpoch or a higher Generation.
	Cleared []Slot `cbor:"16,keyasint,omitempty"`
	// Crowded lists unloaded slots for which requests were recently refused
	// because models in use occupy the memory.
	Crowded []SlotID `cbor:"17,keyasint,omitempty"`
}

// Grant renews an agent's tenure. The steward sends it only after it has written
// the roster with the renewal and then read the slot table.
type Grant struct {
	// Sequence is that of the Report. The tenure starts when that report was
	// sent, by the agent's own clock.
	Sequence    uint64        `cbor:"1,keyasint"`
	Incarnation Incarnation   `cbor:"2,keyasint"`
	Tenure      time.Duration `cbor:"3,keyasint"`
	// Slots are all slots that the table assigns to this incarnation, in either
	// state. The agent no longer owns a slot that is absent.
	Slots []Slot `cbor:"4,keyasint,omitempty"`
	// Revision is the newest KV revision of the slot tables that Slots were
	// taken from. If it is lower than that of the last accepted Grant, the agent
	// keeps its slots. Otherwise the outdated Grant of a steward that resumes
	// after a pause would make the agent unload slots that it owns.
	Revision int64 `cbor:"5,keyasint,omitempty"`
}

// Start asks an agent to run a request.
type Start struct {
	Attempt       AttemptID    `cbor:"1,keyasint"`
	Target        Target       `cbor:"2,keyasint"`
	Priority      api.Priority `cbor:"3,keyasint"`
	ClientAccount string       `cbor:"4,keyasint"`
	// Remaining is the time left until the caller's deadline.
	Remaining time.Duration `cbor:"5,keyasint"`
	// Key is the caller's idempotency key, scoped to the client account; it may be
	// empty.
	Key        string     `cbor:"6,keyasint,omitempty"`
	Idempotent bool       `cbor:"7,keyasint,omitempty"`
	Method     string     `cbor:"8,keyasint,omitempty"`
	Path       string     `cbor:"9,keyasint,omitempty"`
	Header     []HeaderKV `cbor:"10,keyasint,omitempty"`
	Body       []byte     `cbor:"11,keyasint,omitempty"`
	// ResumeFrom is the number of tokens that the caller has already received.
	ResumeFrom uint64 `cbor:"12,keyasint,omitempty"`
	// Slot and Generation identify the slot that the agent owns according to the
	// entry's slot table; Generation is 0 for services.
	Slot       SlotID `cbor:"13,keyasint"`
	Generation uint64 `cbor:"14,keyasint,omitempty"`
	// Window is the number of data frames that the agent may send before it
	// receives a Credit.
	Window uint32 `cbor:"15,keyasint"`
}

// HeaderKV is one HTTP header field.
type HeaderKV struct {
	Name  string `cbor:"1,keyasint"`
	Value string `cbor:"2,keyasint"`
}

// Accepted reports to the entry that the agent has accepted the attempt.
type Accepted struct {
	Attempt AttemptID `cbor:"1,keyasint"`
	// StartsIn is the predicted time until the run starts.
	StartsIn time.Duration `cbor:"2,keyasint"`
}

// Rejected reports to the entry that the attempt has not run and never will: the
// agent keeps a tombstone of it for longer than a message can be in transit.
type Rejected struct {
	Attempt    AttemptID     `cbor:"1,keyasint"`
	Code       code.Code     `cbor:"2,keyasint"`
	RetryAfter time.Duration `cbor:"3,keyasint,omitempty"`
}

// FrameKind is the kind of content of a Frame.
type FrameKind uint8

// The frame kinds.
const (
	// FrameHead carries status and header; it is sent first and has no Seq.
	FrameHead FrameKind = iota + 1
	// FrameData carries tokens (models) or one chunk of bytes (services).
	FrameData
	// FrameEnd ends the answer; Seq is the total count.
	FrameEnd
)

// Frame is a piece of an answer.
type Frame struct {
	Attempt AttemptID `cbor:"1,keyasint"`
	Kind    FrameKind `cbor:"2,keyasint"`
	// Seq is the index of the first token (models) or chunk (services).
	Seq uint64 `cbor:"3,keyasint"`
	// Count is the number of tokens in Payload; 1 for a service's chunk.
	Count   uint32 `cbor:"4,keyasint,omitempty"`
	Payload []byte `cbor:"5,keyasint,omitempty"`
	// Sizes holds the byte length of each token in Payload, as uvarints;
	// empty for services.
	Sizes  []byte     `cbor:"6,keyasint,omitempty"`
	Status int        `cbor:"7,keyasint,omitempty"`
	Header []HeaderKV `cbor:"8,keyasint,omitempty"`
	// Code is the result, in FrameEnd.
	Code code.Code `cbor:"9,keyasint,omitempty"`
	// RetryAfter accompanies a refusal in FrameEnd.
	RetryAfter time.Duration `cbor:"10,keyasint,omitempty"`
}

// Credit allows the agent to send data frames until it has sent Frames of them
// since the start of the attempt, and to drop those before Seq from its resend
// buffer.
type Credit struct {
	Attempt AttemptID `cbor:"1,keyasint"`
	// Frames is the total number of data frames allowed so far.
	Frames uint64 `cbor:"2,keyasint"`
	// Seq is the index of the next token or chunk that the entry expects.
	Seq uint64 `cbor:"3,keyasint"`
}

// Cancel cancels an attempt whose result is no longer needed.
type Cancel struct {
	Attempt AttemptID `cbor:"1,keyasint"`
	// IfWaiting limits Cancel to an attempt that has not begun to run: the agent answers
	// it with Rejected, while a running attempt continues. It is set by an entry that is
	// about to exit and waits for the answer.
	IfWaiting bool `cbor:"2,keyasint,omitempty"`
}

// Resume requests, on a new connection, the frames of a running attempt from Seq
// on. An agent that has no record of the attempt answers with NotStarted.
type Resume struct {
	Attempt AttemptID `cbor:"1,keyasint"`
	Seq     uint64    `cbor:"2,keyasint"`
	// HaveHead is set if the entry has received the head frame.
	HaveHead bool `cbor:"3,keyasint,omitempty"`
	// Frames is the total number of data frames allowed so far, counted as in
	// Credit. Frames that are sent again from Seq on count once.
	Frames uint64 `cbor:"4,keyasint"`
}

// NotStarted answers Resume for an attempt that the agent never started. The agent
// keeps a tombstone, so that this incarnation never starts it. An earlier
// incarnation may have started it.
type NotStarted struct {
	Attempt     AttemptID   `cbor:"1,keyasint"`
	Incarnation Incarnation `cbor:"2,keyasint"`
}

// Leaving announces that an agent accepts no new work. The entry answers with a
// Leaving that has its own host once it has received the end of everything that it
// sent to the agent; it sends no new work on this connection.
type Leaving struct {
	Host HostID `cbor:"1,keyasint"`
	// Remaining is the time left for requests in flight.
	Remaining time.Duration `cbor:"2,keyasint"`
}

// ConfigHead offers a configuration revision. A receiver with an older revision
// requests the chunks that it lacks; one with a newer revision offers its own.
// Without Chunks it only announces a revision, which keeps announcements to a few
// bytes: a receiver with a newer revision answers with its full head, one with an
// older revision with its own announcement.
type ConfigHead struct {
	Revision int64 `cbor:"1,keyasint"`
	// Chunks are the content hashes of the revision's chunks, in order.
	Chunks []string `cbor:"2,keyasint"`
}

// ConfigWant requests chunks by hash.
type ConfigWant struct {
	Chunks []string `cbor:"1,keyasint"`
}

// ConfigChunk carries a chunk, compressed by flate. The receiver verifies the hash,
// which is that of the uncompressed bytes.
type ConfigChunk struct {
	Hash string `cbor:"1,keyasint"`
	Data []byte `cbor:"2,keyasint"`
}

// PermitRequest requests a permit to load from the weight store.
type PermitRequest struct {
	// Sequence is repeated by the grant.
	Sequence uint64       `cbor:"1,keyasint"`
	Priority api.Priority `cbor:"2,keyasint"`
	// Remaining is the time until the earliest deadline of the requests that wait
	// for the load.
	Remaining time.Duration `cbor:"3,keyasint"`
	Key       string        `cbor:"4,keyasint"`
}

// PermitGrant allows one load from the weight store to begin.
type PermitGrant struct {
	Sequence uint64 `cbor:"1,keyasint"`
	// ValidFor is how long the permit is valid after it was received.
	ValidFor time.Duration `cbor:"2,keyasint"`
	// StartIn is the wait until the load may begin.
	StartIn time.Duration `cbor:"3,keyasint,omitempty"`
}

// PermitDone releases the permit's lane after the load has ended.
type PermitDone struct {
	Sequence uint64 `cbor:"1,keyasint"`
}

func (Hello) message()         {}
func (Welcome) message()       {}
func (Status) message()        {}
func (Report) message()        {}
func (Grant) message()         {}
func (Start) message()         {}
func (Accepted) message()      {}
func (Rejected) message()      {}
func (Frame) message()         {}
func (Credit) message()        {}
func (Cancel) message()        {}
func (Resume) message()        {}
func (NotStarted) message()    {}
func (Leaving) message()       {}
func (ConfigHead) message()    {}
func (ConfigWant) message()    {}
func (ConfigChunk) message()   {}
func (PermitRequest) message() {}
func (PermitGrant) message()   {}
func (PermitDone) message()    {}
