package router

import (
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fleet"
)

// This file predicts at which engine a model that is waited for would be ready first.

const (
	// evictionTime is the least time to make room at an engine: an order, its
	// answer and a report.
	evictionTime = 50 * time.Millisecond
	// homeStep is the difference in predicted time below which engines count
	// as equal, so that the hash decides and copies gather at one engine.
	homeStep = 100 * time.Millisecond
	// homeHeat is what a whole engine's load counts when a rare model's home is
	// chosen. Its request is slowed by a busy model's, and takes memory that a
	// busy model's copy needs; an engine half busy counts as later by the
	// time of a load from disk.
	homeHeat = 2 * time.Second
	// adapterTime is the time of an adapter's load with the messages around.
	adapterTime = 50 * time.Millisecond
)

// canLoad tells whether an engine may be asked to load.
func (r *Router) canLoad(b *backend, key waitKey) bool {
	if !r.usable(b) || r.holdings(b) == nil {
		return false
	}
	if key.adapter == "" {
		return true
	}
	hasModel, _ := r.loaded(b, key.model, "")
	return hasModel
}

// bestHome returns the engine where the model would be ready first. Equal ones
// are told apart by rendezvous hashing, which has the same result at all
// routers and moves few models when engines come and go.
func (r *Router) bestHome(w *wait) (best *backend, eta time.Duration) {
	var bestScore uint64
	key := w.key
	for _, b := range r.serversOf(key.service) {
		if !r.canLoad(b, key) {
			continue
		}
		t := (r.servedIn(b, w) + time.Duration(r.heat(b)*float64(homeHeat))).Round(homeStep)
		score := core.Score(key.model+"/"+key.adapter, b.Instance)
		if best == nil || t < eta || t == eta && score > bestScore {
			best, eta, bestScore = b, t, score
		}
	}
	return best, eta
}

// servedIn predicts the time until the first event of the first request that
// waits for an engine to load its model.
func (r *Router) servedIn(b *backend, w *wait) time.Duration {
	return r.readyIn(b, w.key) + r.price(w.requests[0], b).cost
}

// readyIn predicts when an engine would have loaded what is waited for, and have room for
// all who wait.
func (r *Router) readyIn(b *backend, key waitKey) time.Duration {
	waiting := 1
	if w := r.waits[key]; w != nil {
		waiting = len(w.requests)
	}
	return max(r.loadedIn(b, key), r.roomFor(b, waiting))
}

// loadedIn predicts when an engine would have loaded it, whatever its limit.
func (r *Router) loadedIn(b *backend, key waitKey) time.Duration {
	held := r.holdings(b)
	if held == nil {
		return holdingsFresh
	}
	age := r.now.Sub(b.loader.saidAt)
	if key.adapter != "" {
		return adapterTime + busyFor(held, age)
	}
	if m := findHeld(held, key.model); m != nil && m.State != core.HoldUnloading {
		return r.heldReadyIn(b.Service, m, age)
	}
	model := r.engine(b.Service).Models[key.model]
	eta := max(0, held.FreeIn-age) + r.loadTime(b, model)
	return eta + roomTime(held, model)
}

// roomTime predicts how long an engine needs to make room for a model.
//
// It guards against a wait that nobody predicted: where requests run on all that an
// engine holds, one of its models is retired first, for up to 1.5 s. Engines with the
// model on disk and room at once stood beside it, and a third of the callers of rare
// models met their objective by less than that.
func roomTime(held *core.Holdings, model fleet.Model) time.Duration {
	switch {
	case held.FreeMB >= model.MemoryMB:
		return 0
	case held.FreeMB+held.IdleMB >= model.MemoryMB:
		return evictionTime
	default:
		return evictionTime + core.RetireLimit
	}
}

// busyFor is how long an engine still loads a model, by a loader's word so old.
// It takes no order meanwhile, not for an adapter either: requests for adapters of
// a busy model waited 0.8 s at a copy that loaded another model, beside copies
// that could have had the adapter in 50 ms.
func busyFor(held *core.Holdings, age time.Duration) time.Duration {
	for _, m := range held.Models {
		if m.State == core.HoldLoading || m.State == core.HoldStoreLoading {
			return max(0, m.ReadyIn-age)
		}
	}
	return 0
}

// heldReadyIn corrects a loader's prediction for a model on its way, so old, by
// what only a router sees: how many engines load from the weight store. Without
// that, a load that shares the store with two others was predicted three times
// too soon, and its callers waited in vain until they left.
func (r *Router) heldReadyIn(service string, m *core.HeldModel, age time.Duration) time.Duration {
	left := max(0, m.ReadyIn-age)
	switch m.State {
	case core.HoldStoreLoading:
		active, _ := r.storeLoads(service)
		limit := r.service(service).storeLimit()
		return time.Duration(float64(left) * max(1, float64(active)/float64(limit)))
	case core.HoldPermit:
		return left + r.permitWait(service, r.engine(service).Models[m.Name], 0)
	default:
		return left
	}
}

// loadTime is the time of a load at an engine, by where the nearest copy lies.
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
