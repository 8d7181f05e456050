package router

import (
	"cmp"
	"slices"

	"nutmeglane.example/nutmeglane/internal/copyplan"
	"nutmeglane.example/nutmeglane/internal/core"
)

// This file maintains an index of engines by model. With 78 engines that hold five models
// each and have dozens more on disk, a router looks up the engines of each of 240 models;
// when it searched the lists of all engines each time, the coordinator spent a third of its
// processor time on that.
//
// The index gives candidates, not the state at the moment: reports of loaders expire,
// engines drain and are ejected. Callers must check that themselves.

// nearTier is where the nearest copy of a model is stored at an engine.
type nearTier = copyplan.Tier

const (
	nearNone   = copyplan.TierStore
	nearDisk   = copyplan.TierDisk
	nearMemory = copyplan.TierMemory
)

// modelEngines are the engines last reported to have a model, each list sorted by instance.
type modelEngines struct {
	// holders have the model loaded or are loading it, according to their loader or the
	// registry.
	holders []*backend
	// near ones have a copy in host memory or on disk.
	near []*backend
}

// indexed is the content of the index for one engine.
type indexed struct {
	holds []string
	near  map[string]nearTier
	// inMemory and onDisk are the lists from which near was built.
	inMemory, onDisk []string
}

// reindex updates the index with an engine's models.
func (r *Router) reindex(b *backend) {
	s := r.service(b.Service)
	r.indexHolds(s, b)
	r.indexNear(s, b)
}

func (r *Router) indexHolds(s *service, b *backend) {
	var holds []string
	if b.loader != nil && b.loader.holdings != nil {
		for _, m := range b.loader.holdings.Models {
			holds = append(holds, m.Name)
		}
	}
	for _, m := range b.Models {
		if !slices.Contains(holds, m.Name) {
			holds = append(holds, m.Name)
		}
	}
	if slices.Equal(holds, b.indexed.holds) {
		return
	}
	for _, model := range b.indexed.holds {
		if !slices.Contains(holds, model) {
			s.enginesOf(model).holders = without(s.enginesOf(model).holders, b)
		}
	}
	for _, model := range holds {
		s.enginesOf(model).holders = with(s.enginesOf(model).holders, b)
	}
	b.indexed.holds = holds
}

func (r *Router) indexNear(s *service, b *backend) {
	var inMemory, onDisk []string
	if b.loader != nil && b.loader.holdings != nil {
		inMemory, onDisk = b.loader.holdings.InMemory, b.loader.holdings.OnDisk
	}
	if slices.Equal(inMemory, b.indexed.inMemory) && slices.Equal(onDisk, b.indexed.onDisk) {
		return
	}
	near := make(map[string]nearTier, len(onDisk))
	for _, model := range onDisk {
		near[model] = nearDisk
	}
	for _, model := range inMemory {
		near[model] = nearMemory
	}
	for model := range b.indexed.near {
		if near[model] == nearNone {
			s.enginesOf(model).near = without(s.enginesOf(model).near, b)
		}
	}
	for model := range near {
		if b.indexed.near[model] == nearNone {
			s.enginesOf(model).near = with(s.enginesOf(model).near, b)
		}
	}
	b.indexed.near, b.indexed.inMemory, b.indexed.onDisk = near, inMemory, onDisk
}

// unindex removes an engine from the index.
func (r *Router) unindex(b *backend) {
	s := r.service(b.Service)
	for _, model := range b.indexed.holds {
		s.enginesOf(model).holders = without(s.enginesOf(model).holders, b)
	}
	for model := range b.indexed.near {
		s.enginesOf(model).near = without(s.enginesOf(model).near, b)
	}
	b.indexed = indexed{}
}

func (s *service) enginesOf(model string) *modelEngines {
	e := s.models[model]
	if e == nil {
		e = &modelEngines{}
		s.models[model] = e
	}
	return e
}

func byInstance(a, b *backend) int { return cmp.Compare(a.Instance, b.Instance) }

func with(list []*backend, b *backend) []*backend {
	i, found := slices.BinarySearchFunc(list, b, byInstance)
	if found {
		return list
	}
	return slices.Insert(list, i, b)
}

func without(list []*backend, b *backend) []*backend {
	i, found := slices.BinarySearchFunc(list, b, byInstance)
	if !found {
		return list
	}
	return slices.Delete(list, i, i+1)
}

// tier returns where an engine's nearest copy of a model is stored, according to its
// loader.
func (r *Router) tier(b *backend, model string) nearTier {
	if r.holdings(b) == nil {
		return nearNone
	}
	return b.indexed.near[model]
}

// near reports whether an engine has a copy of a model on disk or in host memory.
func (r *Router) near(b *backend, model string) bool { return r.tier(b, model) != nearNone }

// holders returns the engines that were last reported to have a model or to be loading it.
// The caller must not modify the slice.
func (r *Router) holders(service, model string) []*backend {
	return r.service(service).enginesOf(model).holders
}

// heldAt returns the state of a model that an engine's loader reports, nil without a recent
// report on it.
func (r *Router) heldAt(b *backend, model string) *core.HeldModel {
	held := r.holdings(b)
	if held == nil {
		return nil
	}
	return findHeld(held, model)
}
