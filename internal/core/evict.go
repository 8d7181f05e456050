package core

import "nutmeglane.example/nutmeglane/internal/code"

// Evict unloads a model directly at the engine of another host whose agent can't
// do it because it is paused, unreachable or dead. EvictDone follows.
type Evict struct {
	Tag  uint64 `cbor:"1,keyasint"`
	Host HostID `cbor:"2,keyasint"`
	// URL is the engine's base URL, from RosterEntry.Backend.
	URL   string `cbor:"3,keyasint"`
	Model string `cbor:"4,keyasint"`
	// Fence is the model's next generation; the slots of a model share one
	// sequence of generations. An engine that checks fencing numbers refuses
	// later orders of the old owner. Copies loaded with this number or a higher
	// one belong to a newer owner and stay.
	Fence uint64 `cbor:"5,keyasint"`
}

// EvictDone answers an Evict.
type EvictDone struct {
	Tag uint64 `cbor:"1,keyasint"`
	// Code is OK if the engine reported, after the last unload, that it holds no
	// copy of the model in any version, that no adapters are loaded on it and
	// that no load of it is in progress. FencedOut means that a newer owner has
	// the model there. EngineUnknown and all other codes prove nothing.
	Code code.Code `cbor:"2,keyasint,omitempty"`
}

func (EvictDone) event() {}
func (Evict) effect()    {}
