package router

import (
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fleet"
)

// This file predicts at which engine a model that is waited for would be ready first.

const (
	// evictionTime is the minimum time to free memory at an engine: an order, its answer
	// and a report.
	evictionTime = 50 * time.Millisecond
	// etaResolution is the resolution of the predicted time when engines are compared: engines
	// within the same step count as equal, so that the hash decides and copies of a model
	// gather at one engine.
	etaResolution = 100 * time.Millisecond
	// homeLoadPenalty is the time added to the prediction for a fully utilized engine when
	// the home of a rare model is chosen. The rare model's request is slowed down by a busy
	// model's requests and takes memory that a busy model's copy needs. An engine that is
	// half utilized counts as later by the time of a load from disk.
	homeLoadPenalty = 2 * time.Second
	// adapterTime is the time of an adapter's load, including its messages.
	adapterTime = 50 * time.Millisecond
)

// canLoad reports whether an engine may be asked to load a model or adapter.
func (r *Router) canLoad(b *backend, key waitKey) bool {
	if r.holdings(b) == nil || !key.fits(b) {
		return false
	}
	e := r.exclusion(b)
	if e == notExcluded && key.adapter == "" {
		return true
	}
	// An engine that backs off may serve a model that it has sooner than another can load it.
	hasModel, _ := r.loaded(b, key.model, "")
	return hasModel && (e == notExcluded || e == excludedBackoff)
}

// bestHome returns the engine where the model would be ready first, and the predicted time
// to the first event. Ties are broken by rendezvous hashing, which has the same result at
// all routers and moves few models when engines are added or removed.
func (r *Router) bestHome(w *wait) (best *backend, eta time.Duration) {
	var bestScore uint64
	key := w.key
	for _, b := range r.serversOf(key.service) {
		if !r.canLoad(b, key) || w.triedByAll(b) {
			continue
		}
		t := (r.firstEventIn(b, w) + time.Duration(r.utilization(b)*float64(homeLoadPenalty))).Round(etaResolution)
		score := core.Score(key.model+"/"+key.adapter, b.Instance)
		if best == nil || t < eta || t == eta && score > bestScore {
			best, eta, bestScore = b, t, score
		}
	}
	return best, eta
}

// firstEventIn predicts the time until the first event of the first request that waits for an
// engine to load its model.
func (r *Router) firstEventIn(b *backend, w *wait) time.Duration {
	return r.readyIn(b, w.key) + r.estimateCost(w.requests[0], b).cost
}

// readyIn predicts when an engine would have loaded what is waited for and have capacity
// for all waiting requests, after its backoff.
func (r *Router) readyIn(b *backend, key waitKey) time.Duration {
	waiting := 1
	if w := r.waits[key]; w != nil {
		waiting = len(w.requests)
	}
	return max(r.loadedIn(b, key), r.roomFor(b, waiting), b.announced.backoff.left(r.now))
}

// loadedIn predicts when an engine would have loaded it, regardless of the engine's request
// limit.
func (r *Router) loadedIn(b *backend, key waitKey) time.Duration {
	held := r.holdings(b)
	if held == nil {
		return holdingsMaxAge
	}
	age := r.now.Sub(b.loader.holdingsAt)
	if key.adapter != "" {
		return adapterTime + loadingFor(held, age)
	}
	if m := findHeld(held, key.model); m != nil && m.State != core.HoldUnloading {
		return r.heldReadyIn(b.Service, m, age)
	}
	model, declared := r.model(b.Service, key.model)
	if !declared {
		return holdingsMaxAge
	}
	eta := max(0, held.FreeIn-age) + r.loadTime(b, model)
	return eta + makeRoomTime(held, model)
}

// makeRoomTime predicts how long an engine needs to free memory for a model.
//
// Where requests run on all models that an engine holds, one of the models is retired
// first, for up to 1.5 s. Without this prediction such engines were chosen although others
// had the model on disk and enough memory, and a third of the callers of rare models met
// their objective by less than that time.
func makeRoomTime(held *core.Holdings, model fleet.Model) time.Duration {
	switch {
	case held.FreeMB >= model.MemoryMB:
		return 0
	case held.FreeMB+held.IdleMB >= model.MemoryMB:
		return evictionTime
	default:
		return evictionTime + core.RetireLimit
	}
}

// loadingFor is how long an engine is still busy loading a model, according to a report of the
// given age. Meanwhile the engine takes no order, also none for an adapter: requests for
// adapters of a busy model waited 0.8 s at a copy that was loading another model, although
// other copies could have loaded the adapter in 50 ms.
func loadingFor(held *core.Holdings, age time.Duration) time.Duration {
	for _, m := range held.Models {
		if m.State == core.HoldLoading || m.State == core.HoldStoreLoading {
			return max(0, m.ReadyIn-age)
		}
	}
	return 0
}

// heldReadyIn corrects a loader's prediction for a model that is being loaded, as of a
// report of the given age, for what only a router can see: how many engines load from the
// weight store. Without the correction, a load that shares the store with two others was
// predicted to take a third of its time, and its callers waited until they cancelled.
func (r *Router) heldReadyIn(service string, m *core.HeldModel, age time.Duration) time.Duration {
	left := max(0, m.ReadyIn-age)
	switch m.State {
	case core.HoldStoreLoading:
		active, _ := r.storeLoads(service)
		limit := r.service(service).storeLimit()
		return time.Duration(float64(left) * max(1, float64(active)/float64(limit)))
	case core.HoldPermit:
		model, _ := r.model(service, m.Name)
		return left + r.permitWait(service, model, 0)
	default:
		return left
	}
}

// loadTime is the time of a load at an engine, depending on where the nearest copy is
// stored.
func (r *Router) loadTime(b *backend, model fleet.Model) time.Duration {
	switch r.tier(b, model.Name) {
	case nearMemory:
		return model.HostLoad
	case nearDisk:
		return model.DiskLoad
	default:
		return r.storeWait(b.Service, model) + model.StoreLoad
	}
}
