package router

import (
	"cmp"
	"math"
	"slices"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fleet"
)

// This file decides on how many engines a model is loaded. Demand may move to another model
// within some seconds, from one call in ten seconds to twenty a second. A single engine
// would be fully occupied with reading prompts; with as many copies as its load needs, no
// engine is. A copy that is no longer needed is the first to be evicted for another model.

const (
	// targetLoad is the fraction of an engine's time, or of its slots, that one model's
	// requests may take before the model gets a further copy. Below 0.45, copies take the
	// memory of rare models, whose swaps then keep engines busy; from 0.45 to 0.7 the value
	// makes little difference.
	targetLoad = 0.6
	// minBusyRate is the minimum arrivals per second of a busy model, so that in a nearly
	// idle fleet a few calls do not cause copies.
	minBusyRate = 0.5
	// busyFactor is how many times the mean rate a busy model must exceed: a rare one would
	// have to be called four times within ten seconds at one router.
	busyFactor = 2
	// busyMemory is how long a model continues to count as busy: demand that left it may
	// come back.
	busyMemory = 30 * time.Second
	// minReliableCalls is the number of calls within the time constant of the slow rate
	// from which a router's own count is extrapolated to the others: its error is a half
	// then.
	minReliableCalls = 4
	// backlogWithin is the time in which the prompts of the requests that wait for a model
	// should be read once it is loaded: about the time of one more load from disk, so that
	// a further copy is ready when the first would have read half of them.
	backlogWithin = 800 * time.Millisecond
	// spreadLife is how long beyond its predicted end a further copy is requested: an order
	// may have to be sent again, but demand also moves on.
	spreadLife = 3 * time.Second
)

// copiesOf returns the engines that have a model loaded, take requests now and are not limited
// below the rate at which they are called.
func (r *Router) copiesOf(service, model string) []*backend {
	var copies []*backend
	for _, b := range r.holders(service, model) {
		if !r.stays(b) || r.backsOff(b) || r.limitTooLow(b) {
			continue
		}
		if has, _ := r.loaded(b, model, ""); has {
			copies = append(copies, b)
		}
	}
	return copies
}

// rate returns the requests per second for a model at all routers. Loaders add up what
// routers report to them; without such a sum this router's own rate is extrapolated.
func (r *Router) rate(service, model string) float64 {
	rate := r.service(service).rate(modelKey{model: model})
	if reported, _ := r.reportedRates(service, model); reported > 0 {
		return max(rate.perSecond(r.now), reported)
	}
	return rate.slowRate(r.now) * float64(r.routers())
}

// reportedRates returns the sums of all routers' rates that the loaders holding the model
// report: the larger of slow and fast, and the slow one; 0 if none holds it.
func (r *Router) reportedRates(service, model string) (rate, slow float64) {
	for _, b := range r.holders(service, model) {
		if m := r.heldAt(b, model); m != nil {
			rate, slow = max(rate, m.Rate), max(slow, m.SlowRate)
		}
	}
	return rate, slow
}

// neededCopies returns the number of engines that should have a model loaded.
func (r *Router) neededCopies(service, model string) int {
	perSecond := r.rate(service, model)
	needed := 1
	if r.busy(service, model) {
		needed = 2
	}
	slots := 0
	if engine := r.engine(service); engine != nil {
		slots = engine.Slots
	}
	load := r.service(service).speed.load(model, perSecond, slots)
	return max(needed, int(math.Ceil(load/targetLoad)), r.copiesForRunning(service, model, slots), r.copiesForBacklog(service, model))
}

// copyNeed is the number of copies a model should have, as of a time.
type copyNeed struct {
	needed int
	at     core.Time
}

// need returns how many copies a model should have, computed at most once in planInterval,
// since it is called for each engine that has the model. The number of existing copies
// changes with each report and is not part of the cached value: if it were, two engines
// could be informed at the same time that their copy is spare.
func (r *Router) need(s *service, model string) int {
	if n, known := s.needs[model]; known && r.now.Sub(n.at) < planInterval {
		return n.needed
	}
	n := copyNeed{needed: r.copyPlanner(s, r.engine(s.name)).neededCopies(model), at: r.now}
	s.needs[model] = n
	return n.needed
}

// copiesForRunning returns the number of engines that a model needs for the requests that
// run at those that have it, regardless of predictions.
//
// When demand rises, answers take twice as long as without load, and an engine's slots are
// full at a rate that should leave a third of them free. By the rate alone four copies
// seemed to be enough while each had 37 requests in 32 slots, for seven seconds.
func (r *Router) copiesForRunning(service, model string, slots int) int {
	if slots <= 0 {
		return 0
	}
	running := 0.0
	for _, b := range r.holders(service, model) {
		if has, _ := r.loaded(b, model, ""); has && b.unlistedAt == 0 {
			running += float64(r.outstanding(b)) * r.shareAt(b, model)
		}
	}
	return int(math.Ceil(running / (targetLoad * float64(slots))))
}

// shareAt returns the fraction of an engine's requests that are for a model, by the rates
// of all models that it has loaded, each divided by the number of engines that have it.
func (r *Router) shareAt(b *backend, model string) float64 {
	held := r.holdings(b)
	if held == nil {
		return 0
	}
	own, all := 0.0, 0.0
	for _, m := range held.Models {
		rate := m.Rate / float64(max(1, len(r.holders(b.Service, m.Name))))
		all += rate
		if m.Name == model {
			own = rate
		}
	}
	if all == 0 {
		return 0
	}
	return own / all
}

// copiesForBacklog returns the number of engines that have to load a model for the requests
// that wait for it.
//
// When a whole fleet returns, rates and load are unknown, engines are empty, and 40 callers
// wait for the busiest model at one engine, which then reads their prompts for seconds
// while the others hold models without requests.
func (r *Router) copiesForBacklog(service, model string) int {
	waiting := 0
	for _, b := range r.holders(service, model) {
		if m := r.heldAt(b, model); m != nil && b.unlistedAt == 0 && m.State != core.HoldLoaded {
			waiting += m.Waiting
		}
	}
	reading := time.Duration(waiting) * r.service(service).meanReading
	return int(math.Ceil(float64(reading) / float64(backlogWithin)))
}

// busy reports whether a model's rate is, or was within half a minute, well above the mean
// of all declared models. Such a model keeps two copies: the loss of one does not make its
// callers wait for a load, and demand that moved on may come back faster than a copy is
// made. The comparison with the mean distinguishes the few busy models from the many rare
// ones regardless of the size of the deployment: with a fixed threshold, rare models
// counted as busy when all were called twice as often. The slow rates are compared, since
// three calls by chance make a fast one high.
func (r *Router) busy(service, model string) bool {
	engine := r.engine(service)
	if engine == nil || len(engine.Models) == 0 {
		return false
	}
	s := r.service(service)
	mean := s.all.slowRate(r.now) * float64(r.routers()) / float64(len(engine.Models))
	if r.reliableRate(s, model) > max(minBusyRate, busyFactor*mean) {
		s.busyUntil[model] = r.now.Add(busyMemory)
	}
	return r.now < s.busyUntil[model]
}

// reliableRate returns a model's rate at all routers as far as it is known reliably: from
// the loaders' sums, or from this router's own calls if there are several.
//
// It guards against extrapolating chance in a large fleet: of 68 routers each gets one call
// in 68, and one call within ten seconds, times 68, made any rare model busy for the router
// that plans copies.
func (r *Router) reliableRate(s *service, model string) float64 {
	own := s.rate(modelKey{model: model}).slowRate(r.now)
	_, rate := r.reportedRates(s.name, model)
	if own*slowMemory.Seconds() >= minReliableCalls {
		rate = max(rate, own*float64(r.routers()))
	}
	return rate
}

// utilization returns the fraction of an engine's time that its requests take, 1 if the
// engine's limit is below the rate at which it is called.
func (r *Router) utilization(b *backend) float64 {
	if r.limitTooLow(b) {
		return 1
	}
	factor := r.service(b.Service).speed.queueFactor(r.outstanding(b))
	return 1 - 1/factor
}

// spread requests further copies of models that are called more than their copies can
// serve.
func (r *Router) spread(s *service, engine *fleet.Engine) {
	for _, model := range r.modelsByRate(s, engine) {
		needed := r.neededCopies(s.name, model.Name)
		if needed < 2 {
			continue
		}
		copies := len(r.copiesOf(s.name, model.Name)) + r.copiesLoading(s, model.Name)
		for ; copies < needed; copies++ {
			b := r.bestForCopy(s, model)
			if b == nil || !r.near(b, model.Name) && r.storeCopyRequested(s, model.Name) {
				break
			}
			ready := r.readyIn(b, waitKey{service: s.name, modelKey: modelKey{model: model.Name}})
			s.store.planned[grantKey{b.loader.name, model.Name}] = plannedLoad{
				since: r.now, until: r.now.Add(ready + spreadLife), spread: true, store: !r.near(b, model.Name),
			}
			b.loader.dirty = true
			r.log(StateChange, "model gets a further copy", b.attrs("model", model.Name, "copies", copies, "needed", needed,
				"heat", r.utilization(b), "rate", r.rate(s.name, model.Name), "share", s.speed.share, "undisturbed", s.speed.unloadedTime(model.Name).String())...)
		}
	}
}

// storeCopyRequested reports whether an engine is asked to load a further copy of a model from
// the weight store. Only one at a time is: the store is slow, and engines that wait for it
// can't do other background loads.
func (r *Router) storeCopyRequested(s *service, model string) bool {
	for key, planned := range s.store.planned {
		if key.model == model && planned.store && planned.spread {
			return true
		}
	}
	return false
}

// copiesLoading counts the engines that load a model or are asked to. One that waits for
// the weight store does not count: it may wait indefinitely, and a busy model that had four
// copies was considered to have twelve.
func (r *Router) copiesLoading(s *service, model string) int {
	count := 0
	for _, b := range r.holders(s.name, model) {
		m := r.heldAt(b, model)
		if m != nil && b.unlistedAt == 0 && (m.State == core.HoldLoading || m.State == core.HoldStoreLoading || m.State == core.HoldQueued) {
			count++
		}
	}
	return count + r.pendingNearLoads(s, model)
}

// pendingNearLoads counts the engines that are asked to load a model from a near copy and
// have not reported that yet.
func (r *Router) pendingNearLoads(s *service, model string) int {
	count := 0
	for key, planned := range s.store.planned {
		if key.model != model || planned.store {
			continue
		}
		l := r.loaders[key.loader]
		if l == nil {
			continue
		}
		b := r.engineAt(l)
		if b != nil && r.holdings(b) != nil && r.heldAt(b, model) == nil {
			count++
		}
	}
	return count
}

// bestForCopy returns the engine for a further copy: the one where it is ready soonest,
// thus one with a near copy if any has one, and of these the one with the least load.
func (r *Router) bestForCopy(s *service, model fleet.Model) *backend {
	type option struct {
		b    *backend
		cost float64
	}
	var options []option
	for _, b := range r.serversOf(s.name) {
		held := r.holdings(b)
		if held == nil || !r.usable(b) || !r.coordinates(b.loader) || findHeld(held, model.Name) != nil ||
			s.store.hasPlanned(b.loader.name) {
			continue
		}
		// Seconds until it is loaded, and the engine's load, which affects a busy model's
		// callers for as long as the copy stays.
		cost := r.readyIn(b, waitKey{service: s.name, modelKey: modelKey{model: model.Name}}).Seconds() + spreadLoadPenalty*r.utilization(b)
		options = append(options, option{b, cost})
	}
	if len(options) == 0 {
		return nil
	}
	return slices.MinFunc(options, func(a, b option) int { return cmp.Compare(a.cost, b.cost) }).b
}

// spreadLoadPenalty is the time in seconds added for a fully utilized engine to the time of
// a load: a copy lasts for some ten seconds.
const spreadLoadPenalty = 5.0
