package core

import (
	"math"
	"time"
)

// Demand is a router's word to the loader beside an engine: what its requests
// wait for and how much they use what is loaded. Each Demand replaces the one
// before, so a lost one is mended by the next.
type Demand struct {
	// Instance and Born are the engine's life, as the router read it in the
	// registry; see fleet.Incarnation.
	Instance string `cbor:"1,keyasint"`
	Born     int64  `cbor:"6,keyasint,omitempty"`
	// Spec names the engine's configuration that the router has: in its first word on a
	// connection, and when it changes.
	Spec SpecID `cbor:"7,keyasint,omitzero"`
	// Engine is that configuration, where the loader has asked for it.
	Engine *EngineSpec `cbor:"2,keyasint,omitempty"`
	Wants  []Want      `cbor:"3,keyasint,omitempty"`
	Uses   []Use       `cbor:"4,keyasint,omitempty"`
	// Permits names the models whose load from the weight store may begin.
	// Only the coordinating router sends any.
	Permits []string `cbor:"5,keyasint,omitempty"`
	// Direct asks for the loader's own words where digests would do: none come.
	Direct bool `cbor:"8,keyasint,omitempty"`
	// Processor is the router's share of a processor, in its first word on a connection.
	Processor float64 `cbor:"9,keyasint,omitempty"`
}

// SpecID names an engine's configuration.
type SpecID struct {
	_ struct{} `cbor:",toarray"`
	// Version of the operators' configuration that it comes from. The newest counts.
	Version int64
	// Hash is of what it says. Most versions change other things.
	Hash uint64
}

// SpecWanted asks a router for the engine's configuration that it named.
type SpecWanted struct{}

// EngineSpec is what a loader needs of the configuration.
type EngineSpec struct {
	ID           SpecID      `cbor:"1,keyasint"`
	MemoryMB     float64     `cbor:"2,keyasint"`
	AdapterSlots int         `cbor:"3,keyasint"`
	Models       []ModelSpec `cbor:"4,keyasint"`
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

// Want asks for a model, or for an adapter of it.
type Want struct {
	Model   string `cbor:"1,keyasint"`
	Adapter string `cbor:"2,keyasint,omitempty"`
	// Waiting is the number of the router's requests that wait for it.
	Waiting int `cbor:"3,keyasint,omitempty"`
	// Within is the time left until the first of them misses its objective;
	// negative once it has.
	Within time.Duration `cbor:"4,keyasint,omitempty"`
	// Spread wants are for a further copy of a model that is much called.
	Spread bool `cbor:"6,keyasint,omitempty"`
	// Background wants are for requests to come. They yield to all others and
	// evict only what is used less.
	Background bool `cbor:"5,keyasint,omitempty"`
}

// RetireLimit is how long a loader waits for the requests that run on a model before
// it unloads it. Most answers end within a second; the order waits for the rest.
const RetireLimit = 1500 * time.Millisecond

const (
	// RateMemory is the time constant of a slow arrival rate: long enough to tell
	// a model called every few seconds from an idle one.
	RateMemory = 10 * time.Second
	// FastRateMemory is that of a fast rate: demand moves to another model within
	// 4 to 6 s, and the slow rate would show a third of it by then.
	FastRateMemory = 2500 * time.Millisecond
)

// Decayed returns an arrival rate after a time without arrivals.
func Decayed(rate float64, memory, past time.Duration) float64 {
	return rate * math.Exp(-float64(past)/float64(memory))
}

// Use tells how much a router uses a model or adapter that the engine holds.
type Use struct {
	Model   string `cbor:"1,keyasint"`
	Adapter string `cbor:"2,keyasint,omitempty"`
	// Running is the number of the router's requests that run on it here.
	Running int `cbor:"3,keyasint,omitempty"`
	// Rate and FastRate are the router's arrivals per second for it, at all
	// engines, as means that decay with RateMemory and FastRateMemory. Whoever
	// reads them later lets them decay on, so that a router need not tell them
	// again until a further request arrives.
	Rate     float64 `cbor:"4,keyasint,omitempty"`
	FastRate float64 `cbor:"7,keyasint,omitempty"`
	// Copies is the number of engines that hold the model. Only the coordinating
	// router tells it, and Spare.
	Copies int `cbor:"5,keyasint,omitempty"`
	// Spare says that the other copies can carry the load without this one.
	Spare bool `cbor:"6,keyasint,omitempty"`
}

// Holdings is a loader's word to routers about its engine. Each replaces the
// one before.
type Holdings struct {
	// Instance and Born are the engine's life that the rest is about, as far as
	// known.
	Instance string      `cbor:"1,keyasint"`
	Born     int64       `cbor:"15,keyasint,omitempty"`
	Models   []HeldModel `cbor:"2,keyasint,omitempty"`
	// NearAsBefore says that InMemory and OnDisk are those told before on this
	// connection. They are most of a message and change with loads only.
	NearAsBefore bool `cbor:"10,keyasint,omitempty"`
	// InMemory and OnDisk are copies from which a load is fast.
	InMemory []string `cbor:"3,keyasint,omitempty"`
	OnDisk   []string `cbor:"4,keyasint,omitempty"`
	// FreeMB is memory for models that is not taken or promised.
	FreeMB float64 `cbor:"5,keyasint"`
	// IdleMB is memory of loaded models that can be evicted at once: nothing runs on
	// them, and nobody waits for them.
	IdleMB float64 `cbor:"16,keyasint,omitempty"`
	// FreeIn is the time until a load ordered now would begin.
	FreeIn time.Duration `cbor:"6,keyasint"`
	// Running and Waiting are the engine's own counts of its requests.
	Running int `cbor:"7,keyasint"`
	Waiting int `cbor:"8,keyasint"`
	// Unread is how many requests at the engine have no event yet.
	Unread int `cbor:"9,keyasint,omitempty"`
	// Draining engines are about to leave, or do not answer.
	Draining bool `cbor:"11,keyasint,omitempty"`
	// Ended says that the engine's process is gone, without having announced that it
	// leaves: its port refuses connections.
	Ended bool `cbor:"17,keyasint,omitempty"`
	// Coordinator is the router whose permits this loader follows.
	Coordinator HostID `cbor:"12,keyasint,omitempty"`
	// Routers is the number of routers connected.
	Routers int `cbor:"13,keyasint"`
	// StoreLoad is the latest load from the weight store that ended, if any.
	StoreLoad *StoreLoadResult `cbor:"14,keyasint,omitempty"`
	// Config is the newest version of the configuration that the loader has heard of, 0
	// if of none.
	Config int64 `cbor:"18,keyasint,omitempty"`
	// Digested says that routers which don't wait for anything here hear of steady times
	// by the coordinator's digests; see LoadDigest.
	Digested bool `cbor:"19,keyasint,omitempty"`
}

// Counts is a loader's word to routers when nothing else has changed since its last
// Holdings, also as a heartbeat: a twentieth of their size.
type Counts struct {
	// The fields are as in Holdings.
	Running int     `cbor:"1,keyasint,omitempty"`
	Waiting int     `cbor:"2,keyasint,omitempty"`
	Unread  int     `cbor:"3,keyasint,omitempty"`
	FreeMB  float64 `cbor:"4,keyasint,omitempty"`
	IdleMB  float64 `cbor:"5,keyasint,omitempty"`
}

// StoreLoadResult tells how long a load from the weight store took.
type StoreLoadResult struct {
	// Sequence counts the loader's store loads.
	Sequence int           `cbor:"1,keyasint"`
	Took     time.Duration `cbor:"2,keyasint"`
	// Nominal is the time of an undisturbed load.
	Nominal time.Duration `cbor:"3,keyasint"`
}

// HoldState is how far a model is at an engine.
type HoldState uint8

// The states of a held model.
const (
	// HoldQueued models wait for their turn to load.
	HoldQueued HoldState = iota
	// HoldPermit models wait for a permit to load from the weight store.
	HoldPermit
	// HoldLoading models are being loaded from a near copy.
	HoldLoading
	// HoldStoreLoading models are being loaded from the weight store.
	HoldStoreLoading
	// HoldLoaded models take requests.
	HoldLoaded
	// HoldUnloading models take no new requests.
	HoldUnloading
)

// HeldModel is one model at an engine.
type HeldModel struct {
	Name  string    `cbor:"1,keyasint"`
	State HoldState `cbor:"2,keyasint"`
	// ReadyIn predicts when the model takes requests; 0 once it does.
	ReadyIn time.Duration `cbor:"3,keyasint,omitempty"`
	// Adapters are those loaded.
	Adapters []string `cbor:"4,keyasint,omitempty"`
	// Waiting is the number of requests that wait for it, at all routers.
	Waiting int `cbor:"5,keyasint,omitempty"`
	// Rate is the sum of the rates that routers told, the larger of slow and fast;
	// SlowRate is that of the slow ones alone.
	Rate     float64 `cbor:"6,keyasint,omitempty"`
	SlowRate float64 `cbor:"7,keyasint,omitempty"`
}

// RegistryNews is what a router read of the platform's registry. Loaders pass it on
// to all other routers, so that these need not read it too.
type RegistryNews struct {
	// From and To are the revisions between which the changes lie, in the store's Era.
	From int64 `cbor:"1,keyasint"`
	To   int64 `cbor:"2,keyasint"`
	Era  int64 `cbor:"7,keyasint,omitempty"`
	// Written are the servers whose entries changed in what routers go by, as they
	// are at To; Removed are those that have none any more.
	Written []ListedBackend `cbor:"3,keyasint,omitempty"`
	Removed []string        `cbor:"4,keyasint,omitempty"`
	// Config is the version of the configuration that was written meanwhile, 0 if
	// none was. Who does not have it reads it.
	Config int64 `cbor:"5,keyasint,omitempty"`
	// Poison is what was written to the store of poison requests meanwhile.
	Poison PoisonNews `cbor:"6,keyasint,omitempty"`
}

// ListedBackend is a registry entry without the models, of which loaders know more.
// The fields are those of fleet.Backend.
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
}

func (Demand) message()       {}
func (Holdings) message()     {}
func (Counts) message()       {}
func (RegistryNews) message() {}
func (SpecWanted) message()   {}
