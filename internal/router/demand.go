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
	// demandInterval is the time between two Demands to a loader when nothing
	// changed that it must know at once.
	demandInterval = 500 * time.Millisecond
)

// tellLoaders sends each loader what changed.
func (r *Router) tellLoaders() {
	for _, name := range r.sortedLoaders() {
		l := r.loaders[name]
		if !l.up || r.config == nil {
			continue
		}
		if !l.dirty && r.now.Sub(l.toldAt) < demandInterval {
			continue
		}
		b := r.engineAt(l)
		if b == nil {
			continue
		}
		l.dirty = false
		l.toldAt = r.now
		r.emit(Tell{Loader: name, Demand: r.demand(l, b)})
	}
}

func (r *Router) demand(l *loader, b *backend) core.Demand {
	demand := core.Demand{Instance: b.Instance, Permits: r.permits(l), Uses: r.uses(b)}
	if !l.specSent {
		demand.Engine = engineSpec(r.config.Version, r.engine(b.Service))
		l.specSent = true
	}
	for _, key := range slices.SortedFunc(maps.Keys(r.waits), compareWaitKeys) {
		if w := r.waits[key]; w.home == b {
			demand.Wants = append(demand.Wants, r.want(w))
			demand.Wants = append(demand.Wants, r.adapterWants(w)...)
		}
	}
	demand.Wants = append(demand.Wants, r.plannedWants(b)...)
	return demand
}

func (r *Router) want(w *wait) core.Want {
	want := core.Want{Model: w.key.model, Adapter: w.key.adapter, Waiting: len(w.requests), Within: time.Hour}
	for _, req := range w.requests {
		want.Within = min(want.Within, req.objectiveLeft(r.now))
	}
	return want
}

// objectiveLeft is the time until the request misses its objective.
func (req *request) objectiveLeft(now core.Time) time.Duration {
	return req.arrived.Add(req.route.Objective).Sub(now)
}

// adapterWants asks for the adapters of those who wait for a model, ahead of its
// being loaded.
//
// It guards against a to and fro: asked for when the model stands, adapters came
// after the engine's next load had begun, during which it takes no order; callers
// of adapters waited for two loads in place of one.
func (r *Router) adapterWants(w *wait) []core.Want {
	if w.key.adapter != "" {
		return nil
	}
	within := map[string]core.Want{}
	for _, req := range w.requests {
		adapter := req.prompt.Adapter
		if adapter == "" {
			continue
		}
		left := req.objectiveLeft(r.now)
		want, known := within[adapter]
		if !known {
			want = core.Want{Model: w.key.model, Adapter: adapter, Within: left}
		}
		want.Waiting++
		want.Within = min(want.Within, left)
		within[adapter] = want
	}
	var wants []core.Want
	for _, adapter := range slices.Sorted(maps.Keys(within)) {
		wants = append(wants, within[adapter])
	}
	return wants
}

func engineSpec(version int64, engine *fleet.Engine) *core.EngineSpec {
	spec := &core.EngineSpec{Version: version, MemoryMB: engine.MemoryMB, AdapterSlots: engine.AdapterSlots}
	for _, name := range slices.Sorted(maps.Keys(engine.Models)) {
		m := engine.Models[name]
		spec.Models = append(spec.Models, core.ModelSpec{
			Name: m.Name, MemoryMB: m.MemoryMB, AdapterMB: m.AdapterMB,
			StoreLoad: m.StoreLoad, DiskLoad: m.DiskLoad, HostLoad: m.HostLoad,
		})
	}
	return spec
}

// uses tells how much what an engine holds is used, so that its loader knows
// what to evict first.
func (r *Router) uses(b *backend) []core.Use {
	held := r.holdings(b)
	if held == nil {
		return nil
	}
	running := map[modelKey]int{}
	for key := range b.sent {
		if p := r.requests[key].prompt; p != nil {
			running[modelKey{model: p.Model}]++
			if p.Adapter != "" {
				running[modelKey{p.Model, p.Adapter}]++
			}
		}
	}
	s := r.service(b.Service)
	var uses []core.Use
	for _, m := range held.Models {
		if m.State != core.HoldLoaded && m.State != core.HoldUnloading {
			continue
		}
		copies := len(r.copiesOf(b.Service, m.Name))
		spare := s.knowsDemand(r.now) && copies > r.neededCopies(b.Service, m.Name)
		key := modelKey{model: m.Name}
		uses = append(uses, core.Use{
			Model: m.Name, Running: running[key], Rate: s.rate(key).perSecond(r.now),
			Copies: copies, Spare: spare,
		})
		for _, adapter := range m.Adapters {
			key := modelKey{m.Name, adapter}
			uses = append(uses, core.Use{Model: m.Name, Adapter: adapter, Running: running[key], Rate: s.rate(key).perSecond(r.now)})
		}
	}
	slices.SortFunc(uses, func(a, b core.Use) int {
		return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Adapter, b.Adapter))
	})
	return uses
}
