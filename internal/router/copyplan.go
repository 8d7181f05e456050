package router

import (
	"maps"
	"math"
	"slices"
	"time"

	"nutmeglane.example/nutmeglane/internal/copyplan"
	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fleet"
)

// This file orders the loads of the copy plan of a service; see package copyplan.

// planMaxAge is the age up to which a plan counts: a few plan intervals. After that this
// router has not coordinated any engine of the service for a while.
const planMaxAge = time.Second

// copyPlanState is the state of the copy plan of a service.
type copyPlanState struct {
	planner copyplan.Planner
	// plan is the last plan, made at plannedAt, 0 before the first.
	plan      copyplan.Plan
	plannedAt core.Time
	// loadedSince is since when models are seen as loaded, by engine and model.
	loadedSince map[grantKey]core.Time
	// reported are the last rates that loaders reported, by model.
	reported map[string]reportedRate
	// calls describes the recent requests for each model. The entry "" is that of all
	// models.
	calls map[string]*recentCalls
}

// plannedCopies decides by the copy plan.
type plannedCopies struct {
	r      *Router
	s      *service
	engine *fleet.Engine
}

// prepare computes the plan.
func (c plannedCopies) prepare() {
	state := &c.s.copies
	state.plan = state.planner.Plan(c.r.copySnapshot(c.s, c.engine))
	state.plannedAt = c.r.now
}

// orderLoads orders the plan's loads, and fills free memory from near copies.
func (c plannedCopies) orderLoads() {
	for _, load := range c.s.copies.plan.Loads {
		if b := c.r.backends[load.Engine]; b != nil && b.loader != nil {
			c.order(b, load)
		}
	}
	if engines := c.r.backgroundEngines(c.s); len(engines) > 0 && !c.s.startingUp(c.r.now) {
		c.r.fillMemories(c.s, engines, c.r.modelsByRate(c.s, c.engine))
	}
}

// order requests a load until some time after it should have ended. One that requests need
// replaces others that are ordered at the engine.
func (c plannedCopies) order(b *backend, load copyplan.Load) {
	r := c.r
	life := backgroundLife
	if !load.Background {
		life = r.readyIn(b, waitKey{service: c.s.name, modelKey: modelKey{model: load.Model}}) + spreadLife
	}
	if !load.Background {
		maps.DeleteFunc(c.s.store.planned, func(key grantKey, p plannedLoad) bool { return key.loader == b.loader.name && !p.spread })
	}
	c.s.store.planned[grantKey{b.loader.name, load.Model}] = plannedLoad{
		since: r.now, until: r.now.Add(life), spread: !load.Background, store: load.Tier == copyplan.TierStore, dropAt: dropAt(load),
	}
	b.loader.dirty = true
	r.emit(Count{core.Count{Name: metricPlannedLoads, Labels: []string{c.s.name, load.Tier.String(), load.Reason.String()}, Add: 1}})
	r.log(StateChange, "copy plan orders a load", b.attrs("model", load.Model, "tier", load.Tier.String(), "gain", load.Gain,
		"reason", load.Reason.String(), "evicts", load.Evict, "needed", c.s.copies.plan.Needed[load.Model], "rate", r.rate(c.s.name, load.Model))...)
}

// dropAt returns at how many other engines with the model a load from the store is no longer
// of use, 0 for other loads. Two routers that coordinate different engines may order the same
// load.
func dropAt(load copyplan.Load) int {
	switch {
	case load.Tier != copyplan.TierStore:
		return 0
	case load.Reason == copyplan.Absent:
		return 1
	case load.Reason == copyplan.SecondPlace:
		return 2
	default:
		return 0
	}
}

// neededCopies returns the number of copies by the last plan. Without a recent one no copy
// is spare.
func (c plannedCopies) neededCopies(model string) int {
	state := &c.s.copies
	needed, known := state.plan.Needed[model]
	if !known || c.r.now.Sub(state.plannedAt) > planMaxAge {
		return math.MaxInt
	}
	return needed
}

// storeGain returns the gain of a load by the last plan. A load that was requested since then
// has that of its waiting requests.
func (c plannedCopies) storeGain(p permitRequest) float64 {
	if gain, known := c.s.copies.plan.StoreGain[p.model.Name]; known {
		return gain
	}
	return float64(p.model.Waiting)
}

// CopyPlanState is the dump of a service's copy plan.
type CopyPlanState struct {
	Service string
	// Age is how long ago the plan was made.
	Age time.Duration
	// Needed are the models that need several copies, with their number. Loads are those
	// that the plan ordered, StoreGain the gains by which loads from the store are ranked.
	Needed    map[string]int
	Loads     []PlannedLoadState
	StoreGain map[string]float64
}

// PlannedLoadState is the dump of a planned load.
type PlannedLoadState struct {
	Model, Engine, Tier, Reason string
	Evict                       []string
	Gain                        float64
}

func (r *Router) dumpCopyPlans() []CopyPlanState {
	var states []CopyPlanState
	for _, name := range slices.Sorted(maps.Keys(r.services)) {
		copies := &r.services[name].copies
		if copies.plannedAt == 0 {
			continue
		}
		state := CopyPlanState{Service: name, Age: r.now.Sub(copies.plannedAt), Needed: map[string]int{}, StoreGain: copies.plan.StoreGain}
		for model, needed := range copies.plan.Needed {
			if needed > 1 {
				state.Needed[model] = needed
			}
		}
		for _, l := range copies.plan.Loads {
			state.Loads = append(state.Loads, PlannedLoadState{l.Model, l.Engine, l.Tier.String(), l.Reason.String(), l.Evict, l.Gain})
		}
		states = append(states, state)
	}
	return states
}
