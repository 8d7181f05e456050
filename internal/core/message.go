package core

import (
	"time"

	"nutmeglane.example/nutmeglane/internal/api"
	"nutmeglane.example/nutmeglane/internal/code"
)

// Message is sent between two processes over a wire connection. An entry dials
// an agent (or, later, another entry); an agent never dials. Messages of one
// connection arrive in order and at most once; a lost connection may have lost
// any suffix of them.
type Message interface{ message() }

// Hello opens a connection from an entry to an agent.
type Hello struct {
	Host        HostID      `cbor:"1,keyasint"`
	Incarnation Incarnation `cbor:"2,keyasint"`
	Zone        Zone        `cbor:"3,keyasint"`
	// Steward asks the agent for reports on this connection.
	Steward bool `cbor:"4,keyasint,omitempty"`
	// ConfigRevision is the configuration in force at the entry.
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

// SlotLoad is the load state of one slot, as its owner sees it.
type SlotLoad struct {
	Slot       SlotID `cbor:"1,keyasint"`
	Generation uint64 `cbor:"2,keyasint"`
	// State of the base model.
	State LoadState `cbor:"3,keyasint"`
	// Adapters loaded on it.
	Adapters []string `cbor:"4,keyasint,omitempty"`
	// Running and Queued requests.
	Running int `cbor:"5,keyasint,omitempty"`
	Queued  int `cbor:"6,keyasint,omitempty"`
	// ReadyIn predicts when an interactive request sent now would start behind
	// all others.
	ReadyIn time.Duration `cbor:"7,keyasint,omitempty"`
	// SkipIn is how much sooner one of a client account with none waiting starts.
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

// Tier tells where the nearest copy of a checkpoint is.
type Tier uint8

// The cache tiers, cheapest first.
const (
	TierMemory Tier = iota + 1
	TierDisk
	TierRemote
)

// CachedCheckpoint is a checkpoint near a host.
type CachedCheckpoint struct {
	// Key is "<model or adapter>@<version>".
	Key  string `cbor:"1,keyasint"`
	Tier Tier   `cbor:"2,keyasint"`
}

// Status is pushed by an agent to each connected entry when what it says
// changes, at most a few times a second, and on connecting.
type Status struct {
	// Sequence grows with each status of the incarnation.
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

// Report is an agent's word to the steward, sent each ReportInterval.
type Report struct {
	// Sequence grows with each report of the incarnation. The Grant that
	// answers it echoes it.
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
	// Inventoried is set once the agent knows what its engine has loaded and
	// has unloaded all it does not own.
	Inventoried bool `cbor:"11,keyasint,omitempty"`
	// Released lists slots (with the generation) that the agent has unloaded
	// and will never load again under that generation.
	Released []Slot             `cbor:"12,keyasint,omitempty"`
	Cached   []CachedCheckpoint `cbor:"13,keyasint,omitempty"`
	// ConfigRevision is the configuration in force at the agent.
	ConfigRevision int64 `cbor:"14,keyasint,omitempty"`
	// Backend is the engine's base URL as other hosts reach it.
	Backend string `cbor:"15,keyasint,omitempty"`
	// Cleared lists slots whose newest known AdapterMax is 0 and on which no
	// adapter is loaded, loading or unloading. It promises that this
	// incarnation loads none there until it sees the slot with a higher
	// AdapterEpoch, or a higher Generation.
	Cleared []Slot `cbor:"16,keyasint,omitempty"`
	// Crowded lists unloaded slots for which requests were refused of late,
	// because busy models take the memory.
	Crowded []SlotID `cbor:"17,keyasint,omitempty"`
}

// Grant renews an agent's tenure. The steward sends it only after the roster
// that records the renewal was written and the slot table read afterwards.
type Grant struct {
	// Sequence echoes the Report. The tenure counts from the moment that
	// report was sent, by the agent's own clock.
	Sequence    uint64        `cbor:"1,keyasint"`
	Incarnation Incarnation   `cbor:"2,keyasint"`
	Tenure      time.Duration `cbor:"3,keyasint"`
	// Slots are all slots that the table gives to this incarnation, in both
	// states. An owned slot that is absent is lost to the agent.
	Slots []Slot `cbor:"4,keyasint,omitempty"`
	// Revision is the newest KV revision of the slot tables that Slots were
	// taken from. The agent keeps its slots when it is lower than that of the
	// Grant it took before: a steward that woke from a pause would otherwise
	// have it unload what it owns.
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
	// Key is the caller's idempotency key, scoped by client account; may be empty.
	Key        string     `cbor:"6,keyasint,omitempty"`
	Idempotent bool       `cbor:"7,keyasint,omitempty"`
	Method     string     `cbor:"8,keyasint,omitempty"`
	Path       string     `cbor:"9,keyasint,omitempty"`
	Header     []HeaderKV `cbor:"10,keyasint,omitempty"`
	Body       []byte     `cbor:"11,keyasint,omitempty"`
	// ResumeFrom is the number of tokens the caller already has.
	ResumeFrom uint64 `cbor:"12,keyasint,omitempty"`
	// Generation of the slot the entry believes the agent owns; 0 for services.
	Slot       SlotID `cbor:"13,keyasint"`
	Generation uint64 `cbor:"14,keyasint,omitempty"`
	// Window is the number of data frames the agent may send before a Credit.
	Window uint32 `cbor:"15,keyasint"`
}

// HeaderKV is one HTTP header field.
type HeaderKV struct {
	Name  string `cbor:"1,keyasint"`
	Value string `cbor:"2,keyasint"`
}

// Accepted tells the entry that the agent has the attempt.
type Accepted struct {
	Attempt AttemptID `cbor:"1,keyasint"`
	// StartsIn predicts the start of the run.
	StartsIn time.Duration `cbor:"2,keyasint"`
}

// Rejected tells the entry that the attempt did not run and will not: the
// agent remembers the refusal (a tombstone) for longer than a message can live.
type Rejected struct {
	Attempt    AttemptID     `cbor:"1,keyasint"`
	Code       code.Code     `cbor:"2,keyasint"`
	RetryAfter time.Duration `cbor:"3,keyasint,omitempty"`
}

// FrameKind tells what a Frame carries.
type FrameKind uint8

// The frame kinds.
const (
	// FrameHead carries status and header; it comes first and uses no Seq.
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

// Credit lets the agent send data frames up to (not including) the total
// count of Frames since the start of the attempt, and frees those before Seq
// from its resend buffer.
type Credit struct {
	Attempt AttemptID `cbor:"1,keyasint"`
	// Frames is the total number of data frames allowed so far.
	Frames uint64 `cbor:"2,keyasint"`
	// Seq is the next token or chunk that the entry expects.
	Seq uint64 `cbor:"3,keyasint"`
}

// Cancel tells the agent that nobody waits for the attempt any more.
type Cancel struct {
	Attempt AttemptID `cbor:"1,keyasint"`
	// IfWaiting asks the agent to refuse the attempt, with Rejected, if it has not begun
	// to run; one that runs goes on. The entry is about to end and waits for the answer.
	IfWaiting bool `cbor:"2,keyasint,omitempty"`
}

// Resume asks, on a fresh connection, for the frames of a running attempt
// from Seq on. An agent that does not know the attempt answers NotStarted.
type Resume struct {
	Attempt AttemptID `cbor:"1,keyasint"`
	Seq     uint64    `cbor:"2,keyasint"`
	// HaveHead is set when the head frame has arrived.
	HaveHead bool `cbor:"3,keyasint,omitempty"`
	// Frames is the total number of data frames allowed so far, by the count
	// of Credit. What is sent again from Seq on counts once.
	Frames uint64 `cbor:"4,keyasint"`
}

// NotStarted answers Resume for an attempt that the agent never started. It
// is a promise (a tombstone) that this incarnation never will. It is true only
// for this incarnation: an earlier one may have started the attempt.
type NotStarted struct {
	Attempt     AttemptID   `cbor:"1,keyasint"`
	Incarnation Incarnation `cbor:"2,keyasint"`
}

// Leaving is an agent's own notice that it takes no new work. The entry sends
// one back with its own host once it has nothing open there: it sends no new work on this
// connection, and has the end of all that it sent.
type Leaving struct {
	Host HostID `cbor:"1,keyasint"`
	// Remaining is the time left for work in flight.
	Remaining time.Duration `cbor:"2,keyasint"`
}

// ConfigHead offers a configuration revision. A receiver with an older one
// asks for the chunks that it lacks; one with a newer one offers its own.
// Without Chunks it only announces a revision, which keeps announcements to a
// few bytes: a newer receiver answers with its full head, an older one with
// its own announcement.
type ConfigHead struct {
	Revision int64 `cbor:"1,keyasint"`
	// Chunks are the content hashes, in order, that make up the revision.
	Chunks []string `cbor:"2,keyasint"`
}

// ConfigWant asks for chunks by hash.
type ConfigWant struct {
	Chunks []string `cbor:"1,keyasint"`
}

// ConfigChunk carries a chunk, compressed by flate. The receiver checks the
// hash, which is of the uncompressed bytes.
type ConfigChunk struct {
	Hash string `cbor:"1,keyasint"`
	Data []byte `cbor:"2,keyasint"`
}

// PermitRequest asks the steward for permits to load from the weight store.
type PermitRequest struct {
	// Sequence is echoed by the grant.
	Sequence uint64       `cbor:"1,keyasint"`
	Priority api.Priority `cbor:"2,keyasint"`
	// Remaining is the time until the earliest deadline that waits for it.
	Remaining time.Duration `cbor:"3,keyasint"`
	Key       string        `cbor:"4,keyasint"`
}

// PermitGrant allows one load from the weight store to begin.
type PermitGrant struct {
	Sequence uint64 `cbor:"1,keyasint"`
	// ValidFor counts from the receipt.
	ValidFor time.Duration `cbor:"2,keyasint"`
	// StartIn is the wait until the load may begin.
	StartIn time.Duration `cbor:"3,keyasint,omitempty"`
}

// PermitDone returns a lane after the load ended.
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
