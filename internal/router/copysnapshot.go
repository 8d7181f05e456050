package router

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"nutmeglane.example/nutmeglane/internal/copyplan"
	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fleet"
)

// This file builds the snapshot of a service for its copy plan from what loaders report and
// what this router measures.

// recentlyLoaded is how long after a model was loaded its requests may still be on their way.
const recentlyLoaded = time.Second

// copySnapshot returns the state of a service for its copy plan.
func (r *Router) copySnapshot(s *service, engine *fleet.Engine) copyplan.Snapshot {
	snapshot := copyplan.Snapshot{Now: r.now, StartingUp: s.startingUp(r.now), Store: r.storeSnapshot(s, engine)}
	c := engineCensus{unread: map[string]float64{}, waiting: map[string]int{}, loadedSince: map[grantKey]core.Time{}}
	for _, b := range r.serversOf(s.name) {
		if e, ok := r.engineSnapshot(s, engine, b, &c); ok {
			snapshot.Engines = append(snapshot.Engines, e)
		}
	}
	s.copies.loadedSince = c.loadedSince
	objective := shortestObjective(streamRoutes(r.config, s.name))
	for _, name := range slices.Sorted(maps.Keys(engine.Models)) {
		m := r.modelSnapshot(s, engine.Models[name], engine.Slots)
		m.Waiting, m.Unread = c.waiting[name], int(math.Round(c.unread[name]))
		if m.Objective == 0 {
			m.Objective = objective
		}
		snapshot.Models = append(snapshot.Models, m)
	}
	return snapshot
}

func (r *Router) storeSnapshot(s *service, engine *fleet.Engine) copyplan.Store {
	active, waiting := r.storeLoads(s.name)
	return copyplan.Store{
		Active: active, Waiting: waiting, Limit: s.storeLimit(),
		LoadsLeft: s.store.storeLoadsLeft(engine, r.opts.Bounds),
	}
}

// engineCensus collects what all engines have.
type engineCensus struct {
	// waiting and unread count requests by model: those that wait for it to be loaded, and
	// those at its copies that have no event yet.
	waiting map[string]int
	unread  map[string]float64
	// loadedSince is since when models are seen as loaded.
	loadedSince map[grantKey]core.Time
}

// engineSnapshot returns the state of an engine. It returns false if the engine does not
// stay, or without a recent report of its loader.
//
// An engine that was just found counts as its registry entry says until its loader has
// reported: a router that starts would otherwise plan again the copies at engines whose
// loaders connect a moment later.
func (r *Router) engineSnapshot(s *service, engine *fleet.Engine, b *backend, c *engineCensus) (copyplan.Engine, bool) {
	held := r.holdings(b)
	switch {
	case !r.stays(b):
		return copyplan.Engine{}, false
	case held == nil:
		return listedEngine(b), r.now.Sub(b.foundAt) < loaderGrace
	}
	perSecond, _ := b.limit.gate.Limit()
	age := r.now.Sub(b.loader.holdingsAt)
	e := copyplan.Engine{
		ID: b.Instance, MemoryMB: engine.MemoryMB, FreeMB: held.FreeMB, Near: b.indexed.near,
		FreeIn: max(0, held.FreeIn-age), Load: r.utilization(b), Budget: perSecond,
		Foreign: !r.coordinates(b.loader) || !r.usable(b),
	}
	e.Planned, e.Background = r.plannedAt(s, b)
	if r.backsOff(b) {
		return e, true // it takes no requests, but what it has on disk remains
	}
	shares := r.requestShares(b, held)
	running := float64(r.outstanding(b))
	for i, m := range held.Models {
		h := copyplan.Held{Model: m.Name, State: m.State}
		if m.State == core.HoldLoaded {
			h.Running = int(math.Ceil(running * shares[i]))
			h.Recent = s.copies.recentlyLoaded(r.now, grantKey{b.loader.name, m.Name}, c) || m.Waiting > 0
			c.unread[m.Name] += float64(held.Unread) * shares[i]
		} else {
			c.waiting[m.Name] += m.Waiting
		}
		e.Held = append(e.Held, h)
	}
	e.Held = append(e.Held, r.orderedAt(s, b)...)
	return e, true
}

// listedEngine returns the state of an engine according to the registry. Nothing is planned
// there.
func listedEngine(b *backend) copyplan.Engine {
	e := copyplan.Engine{ID: b.Instance, Foreign: true}
	for _, m := range b.Models {
		e.Held = append(e.Held, copyplan.Held{Model: m.Name, State: core.HoldLoaded})
	}
	return e
}

// recentlyLoaded reports whether a model was loaded a moment ago, and records since when it
// is loaded.
func (p *copyPlanState) recentlyLoaded(now core.Time, key grantKey, c *engineCensus) bool {
	since, known := p.loadedSince[key]
	if !known && p.loadedSince != nil {
		since = now
	}
	c.loadedSince[key] = since
	return since != 0 && now.Sub(since) < recentlyLoaded
}

// requestShares returns the fraction of an engine's requests that are for each of the models
// that it reports, by their rates. While rates are unknown, all loaded models count the same.
func (r *Router) requestShares(b *backend, held *core.Holdings) []float64 {
	shares := make([]float64, len(held.Models))
	sum, loaded := 0.0, 0
	for i, m := range held.Models {
		if m.State == core.HoldLoaded {
			shares[i] = m.Rate / float64(max(1, len(r.holders(b.Service, m.Name))))
			sum += shares[i]
			loaded++
		}
	}
	for i, m := range held.Models {
		switch {
		case m.State != core.HoldLoaded:
		case sum > 0:
			shares[i] /= sum
		default:
			shares[i] = 1 / float64(loaded)
		}
	}
	return shares
}

// plannedAt reports whether loads that requests need, and others, are ordered at an engine
// and have not ended.
func (r *Router) plannedAt(s *service, b *backend) (needed, background bool) {
	for key, planned := range s.store.planned {
		if key.loader != b.loader.name {
			continue
		}
		if has, _ := r.loaded(b, key.model, ""); !has {
			needed, background = needed || planned.spread, background || !planned.spread
		}
	}
	return needed, background
}

// orderedAt returns the models that an engine was asked to load and has not reported yet.
func (r *Router) orderedAt(s *service, b *backend) []copyplan.Held {
	var held []copyplan.Held
	for key, planned := range s.store.planned {
		if key.loader != b.loader.name || r.heldAt(b, key.model) != nil {
			continue
		}
		state := core.HoldQueued
		if planned.store {
			state = core.HoldPermit
		}
		held = append(held, copyplan.Held{Model: key.model, State: state})
	}
	slices.SortFunc(held, func(a, b copyplan.Held) int { return cmp.Compare(a.Model, b.Model) })
	return held
}

// modelSnapshot returns the demand for a model.
func (r *Router) modelSnapshot(s *service, model fleet.Model, slots int) copyplan.Model {
	m := copyplan.Model{
		Name: model.Name, MemoryMB: model.MemoryMB, StoreLoad: model.StoreLoad, DiskLoad: model.DiskLoad, HostLoad: model.HostLoad,
		Busy: r.busy(s.name, model.Name), Work: s.workOf(model.Name, slots), Objective: s.copies.objective(r.now, model.Name),
	}
	m.Rate, m.Uncertain = r.planRate(s, model.Name)
	return m
}

// reportedMemory is how long the last reported rate of a model counts after no engine has it
// any more.
//
// It guards against a model whose only engine was lost: no loader reports its rate then, and
// in a large fleet the calls at one router are too few to tell it. The time is that of some
// refused tries of its callers.
const reportedMemory = 5 * time.Second

// reportedRate is a rate that loaders reported.
type reportedRate struct {
	perSecond float64
	at        core.Time
}

func (p *copyPlanState) rememberRate(model string, perSecond float64, now core.Time) {
	if p.reported == nil {
		p.reported = map[string]reportedRate{}
	}
	p.reported[model] = reportedRate{perSecond, now}
}

// planRate returns the rate of a model at all routers, and whether it is extrapolated from so
// few calls that it may be chance.
func (r *Router) planRate(s *service, model string) (perSecond float64, uncertain bool) {
	if reported, _ := r.reportedRates(s.name, model); reported > 0 {
		s.copies.rememberRate(model, reported, r.now)
		return reported, false
	}
	if last, known := s.copies.reported[model]; known && r.now.Sub(last.at) < reportedMemory {
		return last.perSecond, false
	}
	rate := s.rate(modelKey{model: model})
	own := rate.slowRate(r.now)
	uncertain = own*slowMemory.Seconds() < minReliableCalls
	if _, fast := rate.both(r.now); fast*fastMemory.Seconds() >= minReliableCalls {
		own = max(own, fast)
	}
	return own * float64(r.routers()), uncertain
}

// workOf returns the engine time that one request for a model takes: its reading time and its
// part of the steps that produce its events, which it shares with the requests in the other
// slots. It is 0 if no request was seen yet.
func (s *service) workOf(model string, slots int) time.Duration {
	tokens := s.copies.tokens(model)
	if tokens == 0 {
		return 0
	}
	reading := s.work.ReadTime(model, tokens)
	return reading + s.speed.generating(model)/time.Duration(max(1, slots))
}
