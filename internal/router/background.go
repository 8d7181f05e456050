package router

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fleet"
)

const (
	// spreadWithin ranks a further copy of a busy model like a request that is about to
	// miss its objective. Ranked behind all waiting requests, the copy was never loaded
	// while rare models were swapped continuously, and 45 callers a second met at one
	// engine.
	spreadWithin = 500 * time.Millisecond
	// plannedWithin ranks background loads behind those that requests wait for.
	plannedWithin = 10 * time.Second
	// startupTime is how long after the first request nothing is loaded ahead of demand:
	// three consecutive loads from disk.
	startupTime = 2500 * time.Millisecond
	// backgroundLife is how long a background load is requested.
	backgroundLife = 30 * time.Second
)

// planBackground loads models ahead of demand.
//
// A rare model is called once in ten seconds, and the first call after all engines evicted
// it waits for the store, 6 s, beyond its objective. With a copy near some engine it waits
// below a second. Therefore, while the store is idle, models without a near copy anywhere
// are read, the most called first, and free memory is filled with models from near copies.
func (r *Router) planBackground(s *service, engine *fleet.Engine) {
	engines := r.backgroundEngines(s)
	if len(engines) == 0 || s.startingUp(r.now) {
		return
	}
	active, waiting := r.storeLoads(s.name)
	free := s.storeLimit() - active - waiting - s.store.pendingStoreLoads()
	models := r.modelsByRate(s, engine)
	for _, model := range models {
		if near, loaded := r.nearCopies(s.name, model.Name); !loaded && near == 0 && free > 0 && r.readAhead(s, engines, model) {
			free--
		}
	}
	// Reads from the store come first: they take longest, and an engine that is filling its
	// memory can't begin one.
	r.fillMemories(s, engines, models)
}

// fillMemories loads models that no engine has loaded from near copies where memory is free.
func (r *Router) fillMemories(s *service, engines []*backend, models []fleet.Model) {
	for _, model := range models {
		if near, loaded := r.nearCopies(s.name, model.Name); !loaded && near > 0 {
			r.fillMemory(s, engines, model)
		}
	}
}

// startingUp reports whether the service's first requests arrived a moment ago.
//
// It guards against filling engines with models without requests when a fleet and all its
// callers return: each such load keeps an engine from loading a model that callers wait
// for, for the time of a load.
func (s *service) startingUp(now core.Time) bool {
	return s.firstArrival != 0 && now.Sub(s.firstArrival) < startupTime
}

// pendingStoreLoads counts the planned loads from the store that do not wait for a permit
// yet.
func (s *storeState) pendingStoreLoads() int {
	count := 0
	for _, p := range s.planned {
		if p.store && !p.seen {
			count++
		}
	}
	return count
}

// backgroundEngines returns the idle engines that this router coordinates.
func (r *Router) backgroundEngines(s *service) []*backend {
	var engines []*backend
	for _, b := range r.serversOf(s.name) {
		if !r.usable(b) || !r.coordinates(b.loader) {
			continue
		}
		if held := r.holdings(b); held != nil && held.FreeIn == 0 && !s.store.hasPlanned(b.loader.name) {
			engines = append(engines, b)
		}
	}
	return engines
}

func (s *storeState) hasPlanned(loader core.HostID) bool {
	for key := range s.planned {
		if key.loader == loader {
			return true
		}
	}
	return false
}

// modelsByRate returns the models, most called first. Ties are ordered by a hash, in the
// same way at all routers.
func (r *Router) modelsByRate(s *service, engine *fleet.Engine) []fleet.Model {
	models := slices.Collect(maps.Values(engine.Models))
	rates := map[string]float64{}
	for _, m := range models {
		rates[m.Name] = r.rate(s.name, m.Name)
	}
	slices.SortFunc(models, func(a, b fleet.Model) int {
		return cmp.Or(cmp.Compare(rates[b.Name], rates[a.Name]),
			cmp.Compare(core.Score(a.Name, s.name), core.Score(b.Name, s.name)))
	})
	return models
}

// nearCopies counts the engines with a copy on disk or in memory, and reports whether the
// model is loaded, or about to be, anywhere.
func (r *Router) nearCopies(service, model string) (near int, loaded bool) {
	engines := r.service(service).enginesOf(model)
	for _, b := range engines.holders {
		if m := r.heldAt(b, model); m != nil && r.stays(b) && m.State != core.HoldUnloading {
			loaded = true
		}
	}
	for _, b := range engines.near {
		if r.near(b, model) && r.stays(b) {
			near++
		}
	}
	// A loader receives a background load some ms after it was decided; until then the load
	// is not among its holdings.
	for key := range r.service(service).store.planned {
		if l := r.loaders[key.loader]; key.model == model && l != nil && r.engineAt(l) != nil {
			loaded = true
		}
	}
	return near, loaded
}

// fillMemory loads a model from a near copy where memory is free.
func (r *Router) fillMemory(s *service, engines []*backend, model fleet.Model) {
	for _, b := range engines {
		if r.near(b, model.Name) && r.holdings(b).FreeMB >= model.MemoryMB && !s.store.hasPlanned(b.loader.name) {
			r.startBackground(s, b, model, false)
			return
		}
	}
}

// readAhead loads a model from the weight store, at the engine with most free memory.
func (r *Router) readAhead(s *service, engines []*backend, model fleet.Model) bool {
	var best *backend
	for _, b := range engines {
		if s.store.hasPlanned(b.loader.name) {
			continue
		}
		if best == nil || r.holdings(b).FreeMB > r.holdings(best).FreeMB {
			best = b
		}
	}
	if best == nil {
		return false
	}
	r.startBackground(s, best, model, true)
	return true
}

func (r *Router) startBackground(s *service, b *backend, model fleet.Model, store bool) {
	planned := plannedLoad{since: r.now, until: r.now.Add(backgroundLife), store: store}
	if store {
		planned.dropAt = 1
	}
	s.store.planned[grantKey{b.loader.name, model.Name}] = planned
	b.loader.dirty = true
	r.log(StateChange, "model is loaded ahead of demand", b.attrs("model", model.Name, "free_mb", r.holdings(b).FreeMB)...)
}

// plannedWants returns the planned loads at an engine as wants. A planned load ends when
// the model is loaded.
func (r *Router) plannedWants(b *backend) []core.Want {
	s := r.services[b.Service]
	if s == nil || r.holdings(b) == nil {
		return nil
	}
	var wants []core.Want
	for _, key := range slices.SortedFunc(maps.Keys(s.store.planned), func(a, b grantKey) int { return cmp.Compare(a.model, b.model) }) {
		if key.loader != b.loader.name {
			continue
		}
		if has, _ := r.loaded(b, key.model, ""); has {
			delete(s.store.planned, key)
			continue
		}
		planned := s.store.planned[key]
		if planned.dropAt > 0 && r.placesElsewhere(b, key.model) >= planned.dropAt {
			delete(s.store.planned, key)
			continue
		}
		if m := findHeld(r.holdings(b), key.model); m != nil && !planned.seen {
			planned.seen = true
			s.store.planned[key] = planned
		}
		want := core.Want{Model: key.model, Spread: planned.spread, Background: !planned.spread, Within: plannedWithin}
		if planned.spread {
			want.Within = spreadWithin - r.now.Sub(planned.since)
		}
		wants = append(wants, want)
	}
	return wants
}

// placesElsewhere counts the engines other than b that hold a model, load it or have a near
// copy.
//
// It guards against reading a model from the weight store twice: while a fleet starts, two
// routers coordinate for some ms and plan the same models at different engines. Of the five
// models that were read within the 14 s before the first caller, two were read for the
// second time, while twenty models that no engine had were left waiting.
func (r *Router) placesElsewhere(b *backend, model string) int {
	there := func(other *backend) bool {
		return other != b && r.stays(other)
	}
	count := 0
	engines := r.service(b.Service).enginesOf(model)
	for _, other := range engines.holders {
		if there(other) && r.holdsOrLoads(other, model) {
			count++
		}
	}
	for _, other := range engines.near {
		if there(other) && r.near(other, model) && !r.holdsOrLoads(other, model) {
			count++
		}
	}
	return count
}

// holdsOrLoads reports whether an engine has a model loaded or is loading it.
func (r *Router) holdsOrLoads(b *backend, model string) bool {
	m := r.heldAt(b, model)
	return m != nil && (m.State == core.HoldLoaded || m.State == core.HoldLoading || m.State == core.HoldStoreLoading)
}
