package copyplan

import (
	"cmp"
	"slices"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
)

const (
	// readyResolution is the resolution at which the times of engines are compared: a
	// report is about as old, and of engines within one step the least loaded is better.
	readyResolution = 100 * time.Millisecond
	// evictionTime is the time to unload a model on which no request runs.
	evictionTime = 50 * time.Millisecond
	// maxVictimRunning is the number of requests that may run on a model that is evicted
	// although its copies are needed. Loaders apply the same bound, and would not make room
	// at an engine that exceeds it.
	maxVictimRunning = 8
	// spareCost is the cost of evicting a spare copy relative to that of a needed one.
	spareCost = 0.05
)

// choice is an engine for a load.
type choice struct {
	engine *engineState
	tier   Tier
	evict  []int
	// ready is the time until the model is loaded.
	ready time.Duration
}

// placement is what the choice of an engine for a load depends on beside the model.
type placement struct {
	// takeover is the requests per second that the copy would serve.
	takeover float64
	// withStore allows a load from the weight store.
	withStore bool
	// background is set for a load that no present request needs.
	background bool
}

// bestEngine returns the engine where a model would be ready first, of equal ones the one
// with the least load; nil if there is none.
func (r *round) bestEngine(m *modelState, terms placement) *choice {
	var best *choice
	for i := range r.engines {
		e := &r.engines[i]
		if !e.takes(m.Name, terms) {
			continue
		}
		tier := e.Near[m.Name]
		if tier == TierStore && !terms.withStore {
			continue
		}
		evict, wait, ok := r.makeRoom(e, m, terms)
		if !ok {
			continue
		}
		c := choice{engine: e, tier: tier, evict: evict, ready: (e.FreeIn + wait + r.loadWait(m, tier)).Round(readyResolution)}
		if best == nil || compareChoices(c, *best) < 0 {
			best = &c
		}
	}
	return best
}

// takes reports whether a load of a model may be planned at an engine.
func (e *engineState) takes(model string, terms placement) bool {
	return !e.taken && !(terms.background && e.Background) && !e.listed(model) && !e.atBudget()
}

func compareChoices(a, b choice) int {
	return cmp.Or(cmp.Compare(a.ready, b.ready), cmp.Compare(a.load(), b.load()), cmp.Compare(a.engine.ID, b.engine.ID))
}

func (c choice) load() float64 { return max(c.engine.Load, c.engine.busy) }

// loadWait is the time of a load, for one from the store with the wait for its permit.
func (r *round) loadWait(m *modelState, t Tier) time.Duration {
	load := m.loadTime(t)
	if t != TierStore {
		return load
	}
	limit := max(1, r.Store.Limit)
	ahead := max(0, r.Store.Active+len(r.storePending)+1-limit)
	return load + time.Duration(float64(ahead)/float64(limit)*float64(load))
}

// atBudget reports whether the requests for the engine's models reach its budget.
func (e *engineState) atBudget() bool { return e.Budget > 0 && e.called >= e.Budget }

// victim is a loaded model that may be evicted.
type victim struct {
	model    int
	memoryMB float64
	// cost is the requests per second that lose a copy.
	cost float64
	// wait is the time until it is unloaded.
	wait time.Duration
}

// makeRoom returns the models that make room for a load, and how long that takes. It returns
// false if the memory can't be freed, or only by evicting a model that is called more often
// than the new copy would help.
func (r *round) makeRoom(e *engineState, m *modelState, terms placement) (evict []int, wait time.Duration, ok bool) {
	missing := m.MemoryMB - e.FreeMB
	if missing <= 0 {
		return nil, 0, true
	}
	for _, v := range r.victims(e, terms) {
		evict = append(evict, v.model)
		missing -= v.memoryMB
		wait = max(wait, v.wait)
		if missing <= 0 {
			return evict, wait, true
		}
	}
	return nil, 0, false
}

// victims returns the models that may be evicted for a copy, the cheapest first. Models that
// requests wait for, that were loaded a moment ago or that lack copies are not among them.
//
// What a victim's copy serves is measured as what the new copy would serve, and must be less:
// otherwise two models evict each other in turn.
func (r *round) victims(e *engineState, terms placement) []victim {
	var victims []victim
	for _, h := range e.Held {
		i, known := r.byName[h.Model]
		if !known || h.State != core.HoldLoaded || h.Recent {
			continue
		}
		m := &r.models[i]
		v := victim{model: i, memoryMB: m.MemoryMB, cost: m.takeover(max(1, m.loaded)), wait: evictionTime}
		spare := m.loaded > m.needed
		if spare {
			v.cost *= spareCost
		}
		if m.Waiting > 0 || !spare && (m.required > len(m.copies) || v.cost > 0 && v.cost >= terms.takeover) {
			continue
		}
		if h.Running > 0 {
			if terms.background || !spare && h.Running > maxVictimRunning {
				continue
			}
			v.wait += core.RetireLimit
		}
		victims = append(victims, v)
	}
	slices.SortStableFunc(victims, func(a, b victim) int {
		return cmp.Or(cmp.Compare(a.wait, b.wait), cmp.Compare(a.cost, b.cost))
	})
	return victims
}

// order records a planned load and what it changes for the others of the round.
func (r *round) order(m *modelState, c *choice, load Load) {
	load.Model, load.Engine, load.Tier = m.Name, c.engine.ID, c.tier
	for _, i := range c.evict {
		load.Evict = append(load.Evict, r.models[i].Name)
		r.models[i].loaded--
	}
	c.engine.taken = true
	if c.tier == TierStore {
		m.places++
		m.storeWaits++
		r.storePending = append(r.storePending, load.Gain)
	}
	r.loads = append(r.loads, plannedLoad{Load: load, takes: m.loadTime(c.tier)})
}
