package core

import (
	"math"
	"time"
)

// Demand is sent by a router to the loader on an engine's host. It lists what the
// router's requests wait for and how much they use what is loaded. Each Demand
// replaces the previous one, so that the next one makes up for one that is lost.
type Demand struct {
	// Instance and Born identify the engine's process, as in the registry; see
	// fleet.Incarnation.
	Instance string `cbor:"1,keyasint"`
	Born     int64  `cbor:"6,keyasint,omitempty"`
	// Spec identifies the engine configuration that the router has. It is set in the first
	// Demand on a connection and when it changes.
	Spec SpecID `cbor:"7,keyasint,omitzero"`
	// Engine is that configuration. It is set if the loader has requested it.
	Engine *EngineSpec `cbor:"2,keyasint,omitempty"`
	Wants  []Want      `cbor:"3,keyasint,omitempty"`
	Uses   []Use       `cbor:"4,keyasint,omitempty"`
	// Permits lists the models whose load from the weight store may begin. Only the
	// coordinating router sends it.
	Permits []string `cbor:"5,keyasint,omitempty"`
	// Direct requests messages from the loader itself in place of digests, because the
	// router receives no digests.
	Direct bool `cbor:"8,keyasint,omitempty"`
	// Processor is the router's share of a processor. It is set in the first Demand on a
	// connection.
	Processor float64 `cbor:"9,keyasint,omitempty"`
	// Restarted is set if the router saw within LateOrderLife that the engine started again
	// under its instance. A loader that did not run then does not know which orders of its
	// predecessor may still arrive.
	Restarted bool `cbor:"10,keyasint,omitempty"`
}

// LateOrderLife is how long after it was sent an order without an answer may still arrive at an
// engine. The platform carries such orders out up to 12 s later; the rest is a margin.
const LateOrderLife = 15 * time.Second

// SpecID identifies a version of an engine's configuration.
type SpecID struct {
	_ struct{} `cbor:",toarray"`
	// Version is that of the operators' configuration that contains it. The newest one
	// applies.
	Version int64
	// Hash is that of the content, which most versions leave unchanged.
	Hash uint64
}

// SpecWanted requests the engine configuration that a router announced by Demand.Spec.
type SpecWanted struct{}

// EngineSpec is the part of an engine's configuration that a loader needs.
type EngineSpec struct {
	ID           SpecID      `cbor:"1,keyasint"`
	MemoryMB     float64     `cbor:"2,keyasint"`
	AdapterSlots int         `cbor:"3,keyasint"`
	Models       []ModelSpec `cbor:"4,keyasint"`
	// Budget is nil if the engine gets no request-rate budget.
	Budget *BudgetSpec `cbor:"5,keyasint,omitempty"`
}

// BudgetSpec holds the objectives that an engine's request-rate budget must keep; see package
// enginebudget.
type BudgetSpec struct {
	// FirstEvent is the shortest objective for the first event of a stream of the service,
	// Pause the shortest one for the pause between two events.
	FirstEvent time.Duration `cbor:"1,keyasint"`
	Pause      time.Duration `cbor:"2,keyasint"`
}

// ModelSpec is a model's size and load times.
type ModelSpec struct {
	Name      string        `cbor:"1,keyasint"`
	MemoryMB  float64       `cbor:"2,keyasint"`
	StoreLoad time.Duration `cbor:"3,keyasint"`
	DiskLoad  time.Duration `cbor:"4,keyasint"`
	HostLoad  time.Duration `cbor:"5,keyasint"`
	AdapterMB float64       `cbor:"6,keyasint,omitempty"`
}

// Want requests a model, or an adapter of it.
type Want struct {
	Model   string `cbor:"1,keyasint"`
	Adapter string `cbor:"2,keyasint,omitempty"`
	// Waiting is the number of the router's requests that wait for it.
	Waiting int `cbor:"3,keyasint,omitempty"`
	// Within is the time left until the first of them misses its latency
	// objective; negative after that.
	Within time.Duration `cbor:"4,keyasint,omitempty"`
	// Spread is set if the want is for another copy of a model that is in high
	// demand.
	Spread bool `cbor:"6,keyasint,omitempty"`
	// Background is set if the want is for future requests. Such wants have the
	// lowest priority and evict only what is used less.
	Background bool `cbor:"5,keyasint,omitempty"`
}

// RetireLimit is how long a loader waits for the requests that run on a model before
// it orders the unload. Most answers end within a second; the order waits for the rest.
const RetireLimit = 1500 * time.Millisecond

const (
	// RateMemory is the time constant of the slow arrival rate: long enough to
	// distinguish a model that is called every few seconds from an idle one.
	RateMemory = 10 * time.Second
	// FastRateMemory is that of the fast rate. Demand can move to another model
	// within 4 to 6 s, by when the slow rate would show only a third of it.
	FastRateMemory = 2500 * time.Millisecond
)

// Decayed returns an arrival rate with time constant memory after the time past
// without arrivals.
func Decayed(rate float64, memory, past time.Duration) float64 {
	return rate * math.Exp(-float64(past)/float64(memory))
}

// Use is how much a router uses a model or adapter that is on the engine.
type Use struct {
	Model   string `cbor:"1,keyasint"`
	Adapter string `cbor:"2,keyasint,omitempty"`
	// Running is the number of the router's requests that run on it here.
	Running int `cbor:"3,keyasint,omitempty"`
	// Rate and FastRate are the router's arrivals per second for it, at all
	// engines, as means that decay with RateMemory and FastRateMemory. Readers
	// apply the decay since the message, so that a router does not have to send
	// them again until another request arrives.
	Rate     float64 `cbor:"4,keyasint,omitempty"`
	FastRate float64 `cbor:"7,keyasint,omitempty"`
	// Copies is the number of engines that hold the model. Only the coordinating
	// router sets it and Spare.
	Copies int `cbor:"5,keyasint,omitempty"`
	// Spare is set if the other copies can carry the load without this one.
	Spare bool `cbor:"6,keyasint,omitempty"`
}

// RouterCountTolerance is the inverse of the relative change of the number of routers that a loader
// does not report.
const RouterCountTolerance = 20

// MaxRouters returns the largest number of routers that may be connected to a loader which reported
// the given number.
func MaxRouters(reported int) int { return reported + reported/(RouterCountTolerance-1) }

// Holdings is sent by a loader to routers and describes the state of its engine.
// Each Holdings replaces the previous one.
type Holdings struct {
	// Instance and Born identify the engine's process that the other fields
	// describe, if known.
	Instance string      `cbor:"1,keyasint"`
	Born     int64       `cbor:"15,keyasint,omitempty"`
	Models   []HeldModel `cbor:"2,keyasint,omitempty"`
	// NearAsBefore is set if InMemory and OnDisk are unchanged since the last
	// message on this connection and left out. They make up most of a message and
	// change only with loads.
	NearAsBefore bool `cbor:"10,keyasint,omitempty"`
	// InMemory and OnDisk are the models with a copy in the host's memory or on its
	// disk, from which a load is fast.
	InMemory []string `cbor:"3,keyasint,omitempty"`
	OnDisk   []string `cbor:"4,keyasint,omitempty"`
	// FreeMB is the memory for models that is neither in use nor reserved.
	FreeMB float64 `cbor:"5,keyasint"`
	// IdleMB is the memory of loaded models that can be evicted at once: no requests
	// run on them or wait for them.
	IdleMB float64 `cbor:"16,keyasint,omitempty"`
	// FreeIn is the time until a load that is ordered now would begin.
	FreeIn time.Duration `cbor:"6,keyasint"`
	// Running and Waiting are the engine's own counts of its requests.
	Running int `cbor:"7,keyasint"`
	Waiting int `cbor:"8,keyasint"`
	// Unread is how many requests at the engine have produced no event yet.
	Unread int `cbor:"9,keyasint,omitempty"`
	// Draining is set if the engine is about to leave or does not answer.
	Draining bool `cbor:"11,keyasint,omitempty"`
	// Ended is set if the engine's process has ended without announcing that it leaves:
	// its port refuses connections.
	Ended bool `cbor:"17,keyasint,omitempty"`
	// Coordinator is the router whose permits this loader accepts.
	Coordinator HostID `cbor:"12,keyasint,omitempty"`
	// Routers is the number of connected routers; see MaxRouters.
	Routers int `cbor:"13,keyasint"`
	// StoreLoad is the last completed load from the weight store, if any.
	StoreLoad *StoreLoadResult `cbor:"14,keyasint,omitempty"`
	// Config is the newest version of the configuration that was announced to the
	// loader, 0 if none.
	Config int64 `cbor:"18,keyasint,omitempty"`
	// Digested is set if routers that do not wait for anything here receive heartbeats and
	// counts only through the coordinator's digests; see LoadDigest.
	Digested bool `cbor:"19,keyasint,omitempty"`
	// Leaving is set once the engine has announced that it is about to shut down.
	Leaving bool `cbor:"20,keyasint,omitempty"`
	// KeepsOrigins is set by loaders that understand OriginNews and OriginQuery.
	KeepsOrigins bool `cbor:"21,keyasint,omitempty"`
}

// Counts is sent by a loader to routers if nothing else has changed since its last
// Holdings, and as a heartbeat. It has a twentieth of the size of Holdings.
type Counts struct {
	// The fields are as in Holdings.
	Running int     `cbor:"1,keyasint,omitempty"`
	Waiting int     `cbor:"2,keyasint,omitempty"`
	Unread  int     `cbor:"3,keyasint,omitempty"`
	FreeMB  float64 `cbor:"4,keyasint,omitempty"`
	IdleMB  float64 `cbor:"5,keyasint,omitempty"`
}

// StoreLoadResult is how long a load from the weight store took.
type StoreLoadResult struct {
	// Sequence is the number of the load among the loader's store loads.
	Sequence int           `cbor:"1,keyasint"`
	Took     time.Duration `cbor:"2,keyasint"`
	// Nominal is the configured duration of an undisturbed load.
	Nominal time.Duration `cbor:"3,keyasint"`
}

// HoldState is the state of a model at an engine.
type HoldState uint8

// The states of a held model.
const (
	// HoldQueued models wait to be loaded.
	HoldQueued HoldState = iota
	// HoldPermit models wait for a permit to load from the weight store.
	HoldPermit
	// HoldLoading models are being loaded from a copy in the host's memory or on its
	// disk.
	HoldLoading
	// HoldStoreLoading models are being loaded from the weight store.
	HoldStoreLoading
	// HoldLoaded models accept requests.
	HoldLoaded
	// HoldUnloading models accept no new requests.
	HoldUnloading
)

// HeldModel is one model at an engine.
type HeldModel struct {
	Name  string    `cbor:"1,keyasint"`
	State HoldState `cbor:"2,keyasint"`
	// ReadyIn is the predicted time until the model accepts requests; 0 once it does.
	ReadyIn time.Duration `cbor:"3,keyasint,omitempty"`
	// Adapters are its loaded adapters.
	Adapters []string `cbor:"4,keyasint,omitempty"`
	// Waiting is the number of requests at all routers that wait for it.
	Waiting int `cbor:"5,keyasint,omitempty"`
	// Rate is the larger of the sums of the slow and of the fast rates reported by
	// routers; SlowRate is the sum of the slow ones.
	Rate     float64 `cbor:"6,keyasint,omitempty"`
	SlowRate float64 `cbor:"7,keyasint,omitempty"`
}

// RegistryNews holds changes that a router has read from the platform's registry. Loaders
// forward it to all other routers, which then need not read them too.
type RegistryNews struct {
	// From and To are the revisions before and after the changes, in the store's era Era.
	From int64 `cbor:"1,keyasint"`
	To   int64 `cbor:"2,keyasint"`
	Era  int64 `cbor:"7,keyasint,omitempty"`
	// Written are the servers with changes that are relevant to routers, as of revision
	// To. Removed are those whose entries were deleted.
	Written []ListedBackend `cbor:"3,keyasint,omitempty"`
	Removed []string        `cbor:"4,keyasint,omitempty"`
	// Config is the version of the configuration that was written between From and To,
	// 0 if none was. Routers that do not have it read it.
	Config int64 `cbor:"5,keyasint,omitempty"`
	// Poison is what was written to the store of poison requests between From and To.
	Poison PoisonNews `cbor:"6,keyasint,omitempty"`
	// Evacuations are the zones that operators evacuated between From and To, with false those
	// that they took back.
	Evacuations map[Zone]bool `cbor:"8,keyasint,omitempty"`
}

// ListedBackend is a registry entry without the models, which loaders report in more
// detail. The fields are those of fleet.Backend.
type ListedBackend struct {
	Instance   string        `cbor:"1,keyasint"`
	Born       int64         `cbor:"2,keyasint,omitempty"`
	Service    string        `cbor:"3,keyasint"`
	Address    string        `cbor:"4,keyasint"`
	Zone       Zone          `cbor:"5,keyasint"`
	Slots      int           `cbor:"6,keyasint"`
	Draining   bool          `cbor:"7,keyasint,omitempty"`
	SlowFor    time.Duration `cbor:"8,keyasint,omitempty"`
	Registered int64         `cbor:"9,keyasint,omitempty"`
	// Release is the version of the server's software, nil from a router that does not know
	// it or, being older, does not tell it.
	Release *string `cbor:"10,keyasint,omitempty"`
}

func (Demand) message()       {}
func (Holdings) message()     {}
func (Counts) message()       {}
func (RegistryNews) message() {}
func (SpecWanted) message()   {}
