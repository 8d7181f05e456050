package router

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fleet"
)

// This file sends loaders the configuration of their engines: its ID to all loaders, the
// content to those that ask for it.

// setSpecs computes the engine configurations of a new configuration. Loaders whose
// engine's configuration has changed are notified at once.
func (r *Router) setSpecs() {
	for name := range r.config.Services {
		if engine := r.engine(name); engine != nil {
			r.service(name).spec = engineSpec(r.config.Version, engine, r.budgetSpec(name))
		}
	}
	for _, l := range r.loaders {
		if b := r.engineAt(l); b != nil {
			spec := r.service(b.Service).spec
			l.dirty = l.dirty || spec != nil && spec.ID.Hash != l.specHashSent
		}
	}
}

func engineSpec(version int64, engine *fleet.Engine, budget *core.BudgetSpec) *core.EngineSpec {
	spec := &core.EngineSpec{MemoryMB: engine.MemoryMB, AdapterSlots: engine.AdapterSlots, Budget: budget}
	for _, name := range slices.Sorted(maps.Keys(engine.Models)) {
		m := engine.Models[name]
		spec.Models = append(spec.Models, core.ModelSpec{
			Name: m.Name, MemoryMB: m.MemoryMB, AdapterMB: m.AdapterMB,
			StoreLoad: m.StoreLoad, DiskLoad: m.DiskLoad, HostLoad: m.HostLoad,
		})
	}
	spec.ID = core.SpecID{Version: version, Hash: specHash(spec)}
	return spec
}

// specHash returns the hash of an engine's configuration without its ID, never 0.
func specHash(spec *core.EngineSpec) uint64 {
	data, err := cbor.Marshal(spec)
	if err != nil {
		panic(err) // plain structs always encode
	}
	return max(1, xxhash.Sum64(data))
}

// addSpec adds the ID of the engine's configuration to a Demand once per connection and
// after each change, and its content if the loader has asked for it.
func (r *Router) addSpec(demand *core.Demand, l *loader, spec *core.EngineSpec) {
	if spec == nil {
		return
	}
	if spec.ID.Hash != l.specHashSent {
		demand.Spec, l.specHashSent = spec.ID, spec.ID.Hash
	}
	if l.specRequested {
		demand.Engine, l.specRequested = spec, false
	}
}

func (r *Router) loaderSpecRequested(name core.HostID) {
	if l := r.loaders[name]; l != nil {
		l.specRequested, l.dirty = true, true
	}
}
