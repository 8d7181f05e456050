package router

import (
	"cmp"
	"math"
	"slices"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fleet"
)

// This file decides on how many engines a model is loaded. It answers this
// pattern: demand moves to another model within some seconds, from one call in
// ten seconds to twenty a second. One engine would be busy reading prompts all
// the time; with as many copies as its load needs, no engine is. A copy that is no
// longer needed is the first to make room for another model.

const (
	// targetLoad is the part of an engine's time, or of its slots, that one
	// model's requests may take before it gets a further copy. Measured over 6
	// days x 2 seeds on each of two deployments (mean worth): 0.15 0.578 and 0.596, 0.3 0.671 and 0.632,
	// 0.45 0.707 and 0.639, 0.7 0.715 and 0.635. Below, copies take the memory of
	// rare models, whose swaps then keep engines busy; the value lies on the flat
	// part. (0.15 was measured before models in use were retired.)
	targetLoad = 0.6
	// leastBusy is the least arrivals per second of a busy model, so that in a
	// fleet that is nearly idle a few calls do not make copies.
	leastBusy = 0.5
	// busyFactor is how many times the mean makes a model busy: a rare one
	// would have to be called four times within ten seconds at one router.
	busyFactor = 2
	// busyMemory is how long a model counts as busy after it was: demand that left it
	// may come back.
	busyMemory = 30 * time.Second
	// surelyCalled is the number of calls within the memory of the slow rate from
	// which a router's own count stands for the others: its error is a half then.
	surelyCalled = 4
	// backlogWithin is the time in which the prompts of those who wait for a model
	// are to be read once it is loaded: about the time of one more load from disk,
	// so that a further copy is ready when the first would have read half of them.
	backlogWithin = 800 * time.Millisecond
	// spreadLife is how long beyond its predicted end a further copy is asked
	// for: an order may have to be sent again, but demand also moves on.
	spreadLife = 3 * time.Second
)

// copiesOf returns the engines that have a model loaded and take requests, as many as come
// for it.
func (r *Router) copiesOf(service, model string) []*backend {
	var copies []*backend
	for _, b := range r.holders(service, model) {
		if b.unlistedAt != 0 || r.draining(b) || r.short(b) {
			continue
		}
		if has, _ := r.loaded(b, model, ""); has {
			copies = append(copies, b)
		}
	}
	return copies
}

// rate returns the requests per second for a model at all routers. Loaders add
// up what routers tell them; where none does, this router's own count stands
// for the others too.
func (r *Router) rate(service, model string) float64 {
	rate := r.service(service).rate(modelKey{model: model})
	if told, _ := r.toldRates(service, model); told > 0 {
		return max(rate.perSecond(r.now), told)
	}
	return rate.slowly(r.now) * float64(r.routers())
}

// toldRates are the sums of all routers' rates as told by the loaders that hold the
// model, the larger of slow and fast and the slow one; 0 if none holds it.
func (r *Router) toldRates(service, model string) (rate, slow float64) {
	for _, b := range r.holders(service, model) {
		if m := r.heldAt(b, model); m != nil {
			rate, slow = max(rate, m.Rate), max(slow, m.SlowRate)
		}
	}
	return rate, slow
}

// neededCopies is the number of engines that should have a model loaded.
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
	return max(needed, int(math.Ceil(load/targetLoad)), r.crowdCopies(service, model, slots), r.backlogCopies(service, model))
}

// copyNeed is how many copies a model should have, as of a time.
type copyNeed struct {
	needed int
	at     core.Time
}

// need returns how many copies a model should have, worked out at most once in planInterval:
// each engine that has one asks. How many it has changes with each word, and is no part of
// it: taken as of before, two engines were told at once that theirs is one too many.
func (r *Router) need(s *service, model string) int {
	if n, known := s.needs[model]; known && r.now.Sub(n.at) < planInterval {
		return n.needed
	}
	n := copyNeed{needed: r.neededCopies(s.name, model), at: r.now}
	s.needs[model] = n
	return n.needed
}

// crowdCopies is the number of engines that a model needs by what runs at those that
// have it, whatever was predicted.
//
// It answers this pattern: demand rises, answers take twice as long as they did
// undisturbed, and an engine's slots are full at a rate that should leave a third of
// them free. By the rate alone four copies seemed to do while each had 37 requests in
// 32 slots, for seven seconds.
func (r *Router) crowdCopies(service, model string, slots int) int {
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

// shareAt is the part of an engine's requests that are for a model, by the rates of
// all that it has loaded, each spread over the engines that have it.
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

// backlogCopies is the number of engines that have to load a model for those who
// wait for it.
//
// It answers the return of a whole fleet: rates and load are unknown, engines are
// empty, and 40 callers wait for the busiest model at one engine, which then reads
// their prompts for seconds while the others hold models that nobody called.
func (r *Router) backlogCopies(service, model string) int {
	waiting := 0
	for _, b := range r.holders(service, model) {
		if m := r.heldAt(b, model); m != nil && b.unlistedAt == 0 && m.State != core.HoldLoaded {
			waiting += m.Waiting
		}
	}
	reading := time.Duration(waiting) * r.service(service).meanReading
	return int(math.Ceil(float64(reading) / float64(backlogWithin)))
}

// busy tells that a model is, or was within half a minute, called well more than
// the mean of all declared models. Such a model keeps two copies: the loss of
// one does not make its callers wait for a load, and demand that moved on may
// come back faster than a copy is made. Measured against the mean, it tells the
// few busy models from the many rare ones whatever the size of the deployment: a
// fixed rate took rare models for busy when all were called twice as much. The
// slow rates are compared, since three calls by chance make a fast one high.
func (r *Router) busy(service, model string) bool {
	engine := r.engine(service)
	if engine == nil || len(engine.Models) == 0 {
		return false
	}
	s := r.service(service)
	mean := s.all.slowly(r.now) * float64(r.routers()) / float64(len(engine.Models))
	if r.sureRate(s, model) > max(leastBusy, busyFactor*mean) {
		s.busyUntil[model] = r.now.Add(busyMemory)
	}
	return r.now < s.busyUntil[model]
}

// sureRate is a model's rate at all routers as far as it is known well: by the
// loaders' sums, or by this router's own calls where these are some.
//
// It guards against one router's chance in a large fleet: of 68 routers each gets a
// call in 68, and one call within ten seconds, times 68, made any rare model busy
// for the router that shares out copies.
func (r *Router) sureRate(s *service, model string) float64 {
	own := s.rate(modelKey{model: model}).slowly(r.now)
	_, rate := r.toldRates(s.name, model)
	if own*slowMemory.Seconds() >= surelyCalled {
		rate = max(rate, own*float64(r.routers()))
	}
	return rate
}

// heat is the part of an engine's time that the requests there take; all of it where it
// takes no more, by its limit.
func (r *Router) heat(b *backend) float64 {
	if r.short(b) {
		return 1
	}
	factor := r.service(b.Service).speed.queueFactor(r.outstanding(b))
	return 1 - 1/factor
}

// spread asks for further copies of models that are called more than their
// copies can carry.
func (r *Router) spread(s *service, engine *fleet.Engine) {
	for _, model := range r.modelsByRate(s, engine) {
		needed := r.neededCopies(s.name, model.Name)
		if needed < 2 {
			continue
		}
		copies := len(r.copiesOf(s.name, model.Name)) + r.coming(s, model.Name)
		for ; copies < needed; copies++ {
			b := r.coolest(s, model)
			if b == nil || !r.near(b, model.Name) && r.storeCopyAsked(s, model.Name) {
				break
			}
			ready := r.readyIn(b, waitKey{s.name, modelKey{model: model.Name}})
			s.store.planned[grantKey{b.loader.name, model.Name}] = plannedLoad{
				since: r.now, until: r.now.Add(ready + spreadLife), spread: true, store: !r.near(b, model.Name),
			}
			b.loader.dirty = true
			r.log(StateChange, "model gets a further copy", b.attrs("model", model.Name, "copies", copies, "needed", needed,
				"heat", r.heat(b), "rate", r.rate(s.name, model.Name), "share", s.speed.share, "undisturbed", s.speed.undisturbed(model.Name).String())...)
		}
	}
}

// storeCopyAsked tells that an engine is asked to load a model from the weight
// store. One at a time is: the store is slow, and engines that wait for it are
// kept from other background loads.
func (r *Router) storeCopyAsked(s *service, model string) bool {
	for key, planned := range s.store.planned {
		if key.model == model && planned.store && planned.spread {
			return true
		}
	}
	return false
}

// coming counts the engines that load a model or are asked to. One that waits for
// the weight store does not count: it may wait for good, and a busy model that had
// four copies was taken to have twelve.
func (r *Router) coming(s *service, model string) int {
	count := 0
	for _, b := range r.holders(s.name, model) {
		m := r.heldAt(b, model)
		if m != nil && b.unlistedAt == 0 && (m.State == core.HoldLoading || m.State == core.HoldStoreLoading || m.State == core.HoldQueued) {
			count++
		}
	}
	return count + r.asked(s, model)
}

// asked counts the engines that are asked to load a model from a near copy and
// have not said so yet.
func (r *Router) asked(s *service, model string) int {
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

// coolest returns the engine for a further copy: the one where it is ready soonest,
// so one with a near copy, if any has, and of these the one with least to do.
func (r *Router) coolest(s *service, model fleet.Model) *backend {
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
		// Seconds until it is loaded, and the engine's load, which a busy
		// model's callers meet for as long as it stays.
		cost := r.readyIn(b, waitKey{s.name, modelKey{model: model.Name}}).Seconds() + spreadHeat*r.heat(b)
		options = append(options, option{b, cost})
	}
	if len(options) == 0 {
		return nil
	}
	return slices.MinFunc(options, func(a, b option) int { return cmp.Compare(a.cost, b.cost) }).b
}

// spreadHeat is what a whole engine's load counts beside the time of a load,
// in seconds: a copy lasts for some ten seconds.
const spreadHeat = 5.0
