package core

import "time"

// Keys of the KV service. Every key of the system starts with KeyPrefix.
const (
	KeyPrefix       = "nutmeglane/"
	KeySlotsPrefix  = KeyPrefix + "slots/"  // + chunk number: SlotTable
	KeyRosterPrefix = KeyPrefix + "roster/" // + zone: Roster
	KeySteward      = KeyPrefix + "steward" // StewardRecord, bound to a lease
	KeyConfigHead   = KeyPrefix + "config/head"
	KeyChunkPrefix  = KeyPrefix + "config/chunk/" // + content hash
)

// SlotChunks is the number of KV values that the slot table is split into, by
// hash of the model name.
const SlotChunks = 16

// SlotState is the state of a slot in the table.
type SlotState uint8

// The slot states.
const (
	// SlotOwned: the owner may load the slot while it holds tenure.
	SlotOwned SlotState = iota + 1
	// SlotReleasing: the owner has to unload the slot and report it, and may not
	// start a load. Next becomes the owner once the release is proved.
	SlotReleasing
)

// Slot is the assignment of one replica of a model to a host. Its generation is
// the fencing number of every engine order issued for it.
//
// Invariant: generation g+1 is written only after proof that the owner of g
// neither has the slot loaded nor will load it (see docs/DESIGN.md for the
// proofs). So at most one owner can have a slot loaded.
type Slot struct {
	ID          SlotID      `cbor:"1,keyasint"`
	Owner       HostID      `cbor:"2,keyasint"`
	Incarnation Incarnation `cbor:"3,keyasint"`
	Generation  uint64      `cbor:"4,keyasint"`
	State       SlotState   `cbor:"5,keyasint"`
	// Next is the host that takes over; empty if the slot is to be removed.
	Next HostID `cbor:"6,keyasint,omitempty"`
	// AdapterMax is the number of slots over which adapters are hashed on this
	// slot (see AdapterSlots); 0 means that no adapter may be loaded on it.
	//
	// Invariant: in one value of a chunk, all slots of a model with AdapterMax
	// other than 0 have the same one. A change from L to L' goes from L to 0 on
	// all slots, then, once each owner is proved to hold no adapter (cleared),
	// to L'. So no two owners ever hash over different counts at a time.
	AdapterMax uint16 `cbor:"7,keyasint,omitempty"`
	// AdapterEpoch increases with each change of AdapterMax within a generation.
	// It orders the values of AdapterMax in Grants that arrive late or out of
	// order, and identifies the change that a Report.Cleared answers.
	AdapterEpoch uint64 `cbor:"8,keyasint,omitempty"`
}

// SlotTable is one chunk of the slot table, stored in the KV service and changed
// by compare-and-swap only.
type SlotTable struct {
	Slots []Slot `cbor:"1,keyasint"`
	// DroppedGeneration is the highest generation of any slot removed from
	// the chunk. New slots start above it, so that a slot that is removed and
	// created again never reuses a fencing number.
	DroppedGeneration uint64 `cbor:"2,keyasint,omitempty"`
}

// BackendKind is the kind of backend server on an agent's host.
type BackendKind string

// The kinds of backend server.
const (
	BackendEngine  BackendKind = "engine"
	BackendService BackendKind = "service"
)

// RosterEntry is the membership record of one agent.
type RosterEntry struct {
	Host        HostID      `cbor:"1,keyasint"`
	Incarnation Incarnation `cbor:"2,keyasint"`
	// Sequence is that of the report answered by the last renewal. It increases
	// with each renewal, which shows observers that the agent is alive.
	Sequence uint64 `cbor:"3,keyasint"`
	// Fenced is set before the tenure is declared expired. The tenure of this
	// incarnation may not be renewed after that.
	Fenced  bool `cbor:"4,keyasint,omitempty"`
	Leaving bool `cbor:"5,keyasint,omitempty"`
	// Address is the agent's "IP:port" for other processes.
	Address string      `cbor:"6,keyasint"`
	Kind    BackendKind `cbor:"7,keyasint"`
	Service string      `cbor:"8,keyasint,omitempty"`
	// MemoryMiB is the accelerator memory of the host, 0 for services.
	MemoryMiB int64 `cbor:"9,keyasint,omitempty"`
	// ChecksFencing is set if the engine refuses orders with outdated fencing
	// numbers.
	ChecksFencing bool `cbor:"10,keyasint,omitempty"`
	// Backend is the engine's base URL, reachable from other hosts; see Evict.
	Backend string `cbor:"11,keyasint,omitempty"`
}

// Roster is the membership of one availability zone. All agents of the zone share
// one KV value, so that the rate of KV writes does not grow with the hosts.
type Roster struct {
	Zone    Zone          `cbor:"1,keyasint"`
	Entries []RosterEntry `cbor:"2,keyasint"`
}

// StewardRecord identifies the entry that currently acts as steward, which
// maintains rosters and slot tables.
type StewardRecord struct {
	Host        HostID      `cbor:"1,keyasint"`
	Incarnation Incarnation `cbor:"2,keyasint"`
	Address     string      `cbor:"3,keyasint"`
}

// Timings are the durations of the protocol. They are settings, validated on
// load; tests use shorter ones.
type Timings struct {
	// Tenure is how long an agent may load its slots and keep them loaded after
	// it sent a report, by its own clock. It has to exceed the longest KV outage
	// that the deployment is to keep serving through. Default 75 min.
	Tenure time.Duration `cbor:"1,keyasint"`
	// TenureMargin is the time that the steward adds before it regards a tenure
	// as expired; it covers clock drift and the longest OrderValidity. Default 2 min.
	TenureMargin time.Duration `cbor:"2,keyasint"`
	// UnloadLead is how long before the end of its tenure an agent starts to
	// unload. Default 3 min.
	UnloadLead time.Duration `cbor:"3,keyasint"`
	// OrderValidity bounds the time between the decision to order a load and
	// the moment the engine receives it. Default 2 s.
	OrderValidity time.Duration `cbor:"4,keyasint"`
	// ReportInterval is the time between two reports of an agent. Default 10 s.
	ReportInterval time.Duration `cbor:"5,keyasint"`
	// RosterInterval is the minimum time between two writes of a roster.
	// Default 10 s.
	RosterInterval time.Duration `cbor:"6,keyasint"`
	// StewardLease is the time to live of the steward's KV lease. Default 15 s.
	StewardLease time.Duration `cbor:"7,keyasint"`
	// Grace is how long a steward waits before its first reassignment after it
	// took over, or after the KV service became reachable again. Default 30 s.
	Grace time.Duration `cbor:"8,keyasint"`
	// PingInterval is the time between two pings on a connection, which is closed
	// after three intervals without an answer. Default 5 s.
	PingInterval time.Duration `cbor:"9,keyasint"`
}

// DefaultTimings returns the defaults documented on Timings.
func DefaultTimings() Timings {
	return Timings{
		Tenure:         75 * time.Minute,
		TenureMargin:   2 * time.Minute,
		UnloadLead:     3 * time.Minute,
		OrderValidity:  2 * time.Second,
		ReportInterval: 10 * time.Second,
		RosterInterval: 10 * time.Second,
		StewardLease:   15 * time.Second,
		Grace:          30 * time.Second,
		PingInterval:   5 * time.Second,
	}
}
