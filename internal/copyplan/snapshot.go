package copyplan

import (
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
)

// Snapshot is the state of a service at a time. Plan does not modify it.
type Snapshot struct {
	Now core.Time
	// Models are the declared models, in an order that is the same in each snapshot as long
	// as they are the same ones.
	Models []Model
	// Engines are those that take requests and whose loader has reported recently.
	Engines []Engine
	Store   Store
	// StartingUp is set while a fleet and its callers return: nothing is loaded then that
	// no request is called for, since each such load occupies an engine that callers need.
	StartingUp bool
}

// Model describes a model and the demand for it.
type Model struct {
	Name     string
	MemoryMB float64
	// StoreLoad, DiskLoad and HostLoad are the durations of an undisturbed load from the
	// weight store, an engine's disk and its host memory.
	StoreLoad, DiskLoad, HostLoad time.Duration
	// Rate is the requests per second at all routers, as loaders sum them: a mean that
	// decays with core.FastRateMemory or slower.
	Rate float64
	// Trend is the change of Rate per second. 0 if it is not known: it is then derived from
	// the rates of earlier snapshots.
	Trend float64
	// Uncertain is set if Rate is extrapolated from so few calls that it may be chance.
	// Such a rate orders loads, and makes no further copies.
	Uncertain bool
	// Busy is set for a model that is called so often that the loss of one copy must not
	// make its callers wait for a load: it needs two.
	Busy bool
	// Work is the engine time that one request takes: its reading time and its part of the
	// steps that produce its events. 0 if it is not known.
	Work time.Duration
	// Objective is the shortest first-event objective of the model's recent requests, 0 if
	// it is not known.
	Objective time.Duration
	// Waiting is the number of requests that wait for the model to be loaded, Unread that of
	// the requests at its copies that have no event yet.
	Waiting, Unread int
}

// Engine describes an engine.
type Engine struct {
	ID               string
	MemoryMB, FreeMB float64
	Held             []Held
	// Near are the models with a copy in host memory or on disk, with where it is stored.
	Near map[string]Tier
	// FreeIn is the time until a load that is ordered now would begin.
	FreeIn time.Duration
	// Load is the fraction of the engine's time that its requests take.
	Load float64
	// Budget is the requests per second that the engine may begin, 0 if it has no budget.
	Budget float64
	// Planned is set if a load is ordered there that its loader has not completed.
	Planned bool
	// Background is set if a load is ordered there that no request needs. A needed one
	// replaces it.
	Background bool
	// Foreign is set if its loader follows another router: what it holds counts, and nothing
	// is planned there.
	Foreign bool
}

// Held is a model that an engine has loaded, is loading or is asked to load.
type Held struct {
	Model   string
	State   core.HoldState
	Running int
	// Recent is set if the model was loaded so recently that its requests may still be on
	// their way, or if requests wait for something of it there. It is not evicted.
	Recent bool
}

// Store describes the weight store.
type Store struct {
	// Active loads run, Waiting ones wait for a permit. Limit is how many run at once at full
	// speed.
	Active, Waiting, Limit int
	// LoadsLeft is how many loads may begin now by the ceiling within its window.
	LoadsLeft int
}

// Tier is where the copy of a model is stored from which it is loaded.
type Tier uint8

// The tiers, the one with the slowest loads first.
const (
	TierStore Tier = iota
	TierDisk
	TierMemory
)

// String returns the tier's name in logs and metrics.
func (t Tier) String() string { return [...]string{"store", "disk", "memory"}[t] }

// Reason is why a load is planned.
type Reason uint8

// The reasons.
const (
	// Shortage: the model's rate exceeds what its copies can take.
	Shortage Reason = iota
	// Backlog: more requests wait than its copies read in time.
	Backlog
	// Absent: no engine has the model loaded or near.
	Absent
	// SecondPlace: one engine only has the model, or a busy model is loaded at one only.
	SecondPlace
)

// String returns the reason's name in logs.
func (r Reason) String() string {
	return [...]string{"shortage", "backlog", "absent", "second place"}[r]
}

// Plan is the result of one round.
type Plan struct {
	// Needed is the number of copies that each model needs. Copies beyond it are spare.
	Needed map[string]int
	// Loads are to be ordered now, at most one at an engine, ordered by gain per second of
	// load time; those from the weight store by gain among themselves.
	Loads []Load
	// StoreGain is the gain of one more copy from the weight store for each model that an
	// engine has or waits to have a store load for.
	StoreGain map[string]float64
}

// Load is a planned load.
type Load struct {
	Model, Engine string
	Tier          Tier
	// Evict are the models that would make room, if memory is not free. The engine's loader
	// decides by its own rules.
	Evict []string
	// Gain is the number of callers that are refused or late without the copy.
	Gain   float64
	Reason Reason
	// Background is set for a load that no present request needs.
	Background bool
}
