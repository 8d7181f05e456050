package router

import (
	"cmp"
	"log/slog"
	"maps"
	"math"
	"slices"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fleet"
)

// This file schedules loads from the weight store.
//
// Many rare models may be requested at once, and the store reads a few checkpoints at full
// speed but slows down all of them when there are more. If each engine loaded on its own,
// twelve loads of 6 s at a store that serves four at a time would all take 18 s. In order
// they end four by four, after 6, 12 and 18 s: the throughput is the same, but callers wait
// 12 s on average.
//
// One router coordinates. Each loader follows the strongest connected router, of equal ones
// the one with the lowest name, so that neither an election nor a call to the platform's
// store is needed. While two routers coordinate, after a network partition, more loads
// begin than optimal, which costs time but violates no guarantee.

const (
	// planInterval is the time between two plans of background loads.
	planInterval = 250 * time.Millisecond
	// initialStoreLimit is how many store loads may run before any was measured. It is low
	// since the first load shows how many the store can serve, and too many make all of
	// them late.
	initialStoreLimit = 2
	// uncontendedRatio and contendedRatio are ratios of a load's time to its nominal time:
	// below the first the store was not overloaded, above the second too many loads shared
	// it.
	uncontendedRatio = 1.15
	contendedRatio   = 1.3
	// permitLife is how long a permit is repeated to its loader.
	permitLife = 3 * time.Second
)

// storeState is the state of the weight store for a service.
type storeState struct {
	// limit is the number of concurrent loads that run at full speed, as far as measured.
	limit int
	// proven is the largest number of concurrent loads that was seen to run at full speed, 0
	// before the first result.
	proven int
	// active and waiting count the loads that run and wait. They are recomputed at
	// recountAt.
	active, waiting int
	recountAt       core.Time
	// starts are the loads from the store that may have begun within the ceiling's window.
	starts []storeStart
	// granted holds the permits by engine and model, with the time until which they are
	// repeated.
	granted map[grantKey]core.Time
	// planned holds the loads requested ahead of demand, by engine and model.
	planned map[grantKey]plannedLoad
}

// storeStart is a load from the weight store that began, or was permitted, at a time.
type storeStart struct {
	grantKey
	at core.Time
	// seen is set once its loader has reported that it has begun.
	seen bool
}

// plannedLoad is a load that is requested for a limited time.
type plannedLoad struct {
	since, until core.Time
	// spread is set for further copies of busy models. Loads without it have lower
	// priority.
	spread bool
	// store is set if there is no near copy. seen is set once the loader reports the load.
	store, seen bool
	// dropAt is the number of other engines that have the model at which the load is no
	// longer requested, 0 if it is requested in any case.
	dropAt int
}

type grantKey struct {
	loader core.HostID
	model  string
}

func (s *service) storeLimit() int {
	if s.store.limit == 0 {
		s.store.limit = initialStoreLimit
	}
	return s.store.limit
}

// learnStoreLoad adapts the limit to the duration of a load. The duration depends on the loads
// that run when it begins: with n of them at a store with capacity k it takes n/k of the nominal
// time, so that n divided by the ratio estimates k.
//
// It guards against crediting a load with others that began after it: the first load at a store
// that serves one took its nominal time while a second ran, the limit rose to three, and three
// loads that nobody waited for took 30 to 41 s each while callers of a busy model were refused.
func (r *Router) learnStoreLoad(b *backend, l *loader) {
	r.learnStoreLimit(b, l)
	before := l.storeLoad.model
	l.storeLoad = r.observeStoreLoad(b, l)
	if model := l.storeLoad.model; model != "" && model != before {
		r.service(b.Service).store.loadBegan(r.now, grantKey{l.name, model})
	}
}

// loadBegan records that a load from the store has begun, whoever permitted it.
//
// It guards against more loads than the ceiling allows when a coordinator ends and another one,
// which has permitted none, takes its place, and when loads begin later than they were permitted.
func (s *storeState) loadBegan(now core.Time, key grantKey) {
	permitted := slices.IndexFunc(s.starts, func(start storeStart) bool { return start.grantKey == key && !start.seen })
	if permitted < 0 {
		s.starts = append(s.starts, storeStart{grantKey: key, at: now, seen: true})
		return
	}
	s.starts[permitted].at, s.starts[permitted].seen = now, true
}

// observedStoreLoad is a load from the weight store that an engine executes.
type observedStoreLoad struct {
	// reported is set once the engine's loader has reported anything.
	reported bool
	// model is "" if the engine executes none.
	model string
	// concurrent is the number of loads that ran when this router first saw it, itself
	// included. beganSeen is set if that was when it began.
	concurrent int
	beganSeen  bool
}

// observeStoreLoad returns the load that an engine executes, according to its last report.
func (r *Router) observeStoreLoad(b *backend, l *loader) observedStoreLoad {
	loading := slices.IndexFunc(l.holdings.Models, func(m core.HeldModel) bool { return m.State == core.HoldStoreLoading })
	if loading < 0 {
		return observedStoreLoad{reported: true}
	}
	model := l.holdings.Models[loading].Name
	if model == l.storeLoad.model {
		return l.storeLoad
	}
	active, _ := r.storeLoads(b.Service)
	return observedStoreLoad{reported: true, model: model, concurrent: active, beganSeen: l.storeLoad.reported}
}

// learnStoreLimit adapts the limit to the result of a load that has ended.
func (r *Router) learnStoreLimit(b *backend, l *loader) {
	result := l.holdings.StoreLoad
	if result == nil || result.Sequence == l.storeLoadSeq || result.Nominal <= 0 {
		return
	}
	l.storeLoadSeq = result.Sequence
	concurrent := l.storeLoad.concurrent
	if concurrent == 0 {
		return
	}
	s := r.service(b.Service)
	ratio := float64(result.Took) / float64(result.Nominal)
	limit := s.storeLimit()
	uncontended := ratio < uncontendedRatio && l.storeLoad.beganSeen
	if uncontended {
		s.store.proven = max(s.store.proven, concurrent)
	}
	switch {
	case uncontended && concurrent >= limit:
		s.store.limit = concurrent + max(1, concurrent/2)
	case ratio > contendedRatio:
		s.store.limit = max(1, int(math.Round(float64(concurrent)/ratio)))
		s.store.proven = min(s.store.proven, s.store.limit)
	}
	if s.store.limit != limit {
		r.log(StateChange, "weight store measured", slog.String("service", b.Service), slog.Int("limit", s.store.limit),
			slog.Float64("ratio", ratio), slog.Int("at_once", concurrent), slog.String("loader", string(l.name)))
	}
}

// storeLoads counts the loads from the weight store that run, and those that wait for a
// permit.
//
// It is called for each loader report and for each engine considered for a queue.
// Recounting each time took work quadratic in the number of engines; most reports do not
// change the result.
func (r *Router) storeLoads(service string) (active, waiting int) {
	s := r.service(service)
	if r.now >= s.store.recountAt {
		s.store.recountAt = r.now.Add(tickInterval)
		s.store.active, s.store.waiting = r.countStoreLoads(service)
	}
	return s.store.active, s.store.waiting
}

// recountStoreLoads invalidates the counts if a loader's report changes them.
func (r *Router) recountStoreLoads(service string, before, now *core.Holdings) {
	activeBefore, waitingBefore := storeLoadsIn(before)
	if active, waiting := storeLoadsIn(now); active != activeBefore || waiting != waitingBefore {
		r.service(service).store.recountAt = 0
	}
}

// storeLoadsIn counts the loads from the weight store at one engine.
func storeLoadsIn(held *core.Holdings) (active, waiting int) {
	if held == nil {
		return 0, 0
	}
	for i := range held.Models {
		switch held.Models[i].State {
		case core.HoldStoreLoading:
			active++
		case core.HoldPermit:
			waiting++
		}
	}
	return active, waiting
}

func (r *Router) countStoreLoads(service string) (active, waiting int) {
	for _, b := range r.serversOf(service) {
		if b.unlistedAt != 0 {
			continue
		}
		running, requested := storeLoadsIn(r.holdings(b))
		active += running
		waiting += requested
	}
	return active, waiting
}

// storeWait predicts how long a store load that is requested now waits for its permit.
func (r *Router) storeWait(service string, model fleet.Model) time.Duration {
	return r.permitWait(service, model, 1)
}

// permitWait predicts how long a store load waits for its permit behind those that run or
// wait, if the given number of loads joins them. A load that already waits is included in
// the counts.
func (r *Router) permitWait(service string, model fleet.Model, joining int) time.Duration {
	active, waiting := r.storeLoads(service)
	limit := r.service(service).storeLimit()
	ahead := max(0, active+waiting+joining-limit)
	return time.Duration(float64(ahead) / float64(limit) * float64(model.StoreLoad))
}

// coordinates reports whether a loader follows this router.
func (r *Router) coordinates(l *loader) bool {
	return l != nil && l.up && l.holdings != nil && l.holdings.Coordinator == r.opts.Host
}

// coordinatesAny reports whether a loader of the service follows this router.
func (r *Router) coordinatesAny(service string) bool {
	return slices.ContainsFunc(r.serversOf(service), func(b *backend) bool { return r.coordinates(b.loader) })
}

// plan grants permits and starts background loads.
func (r *Router) plan() {
	if r.config == nil {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(r.services)) {
		s := r.services[name]
		s.store.expire(r.now, r.opts.Bounds)
		engine := r.engine(name)
		if engine == nil || !r.coordinatesAny(name) {
			continue
		}
		planner := r.copyPlanner(s, engine)
		planner.prepare()
		r.grantPermits(s, engine, planner)
		planner.orderLoads()
	}
}

func (s *storeState) expire(now core.Time, bounds fleet.Bounds) {
	s.starts = slices.DeleteFunc(s.starts, func(start storeStart) bool { return now.Sub(start.at) > bounds.StoreLoadWindow })
	if s.granted == nil {
		s.granted, s.planned = map[grantKey]core.Time{}, map[grantKey]plannedLoad{}
	}
	maps.DeleteFunc(s.granted, func(_ grantKey, until core.Time) bool { return now >= until })
	maps.DeleteFunc(s.planned, func(_ grantKey, p plannedLoad) bool { return now >= p.until })
}

// permitRequest is a model that waits for a permit at an engine.
type permitRequest struct {
	loader *loader
	model  core.HeldModel
}

// grantPermits grants permits to the store loads that help most requests, as many as the
// store serves at full speed and the ceiling allows.
func (r *Router) grantPermits(s *service, engine *fleet.Engine, planner copyPlanner) {
	active, _ := r.storeLoads(s.name)
	var requests []permitRequest
	for _, b := range r.serversOf(s.name) {
		held := r.holdings(b)
		if held == nil || b.unlistedAt != 0 || !r.coordinates(b.loader) {
			continue
		}
		for _, m := range held.Models {
			if m.State != core.HoldPermit {
				continue
			}
			if _, ok := s.store.granted[grantKey{b.loader.name, m.Name}]; ok {
				active++
				continue
			}
			requests = append(requests, permitRequest{b.loader, m})
		}
	}
	slices.SortStableFunc(requests, func(a, b permitRequest) int { return cmp.Compare(planner.storeGain(b), planner.storeGain(a)) })
	for _, p := range requests {
		if !planner.mayBegin(p, active) {
			continue
		}
		if !s.store.takeStoreLoad(r.now, grantKey{p.loader.name, p.model.Name}, engine, r.opts.Bounds) {
			return
		}
		active++
		s.store.granted[grantKey{p.loader.name, p.model.Name}] = r.now.Add(permitLife)
		p.loader.dirty = true
		r.log(StateChange, "permit for store load granted", slog.String("model", p.model.Name), slog.String("loader", string(p.loader.name)),
			slog.Int("waiting", p.model.Waiting), slog.Int("active", active), slog.Int("limit", s.storeLimit()))
	}
}

// permitGain is how many requests a load from the weight store helps: those that wait for
// it, and the new copy's share of those that will arrive while another load occupies the
// store.
//
// It guards against starving a model with many callers none of which wait: its load takes
// longer than callers stay, so that they are refused at once and leave no queue. Ranked by
// waiting requests alone, it was read after rare models that one caller waited for, and 40
// callers a second were refused for half a minute.
func (r *Router) permitGain(s *service, p permitRequest, engine *fleet.Engine) float64 {
	copies := len(r.copiesOf(s.name, p.model.Name))
	expected := r.rate(s.name, p.model.Name) * engine.Models[p.model.Name].StoreLoad.Seconds()
	return float64(p.model.Waiting) + expected/float64(1+copies)
}

// takeStoreLoad records the start of a load, or returns false if the ceiling on loads
// within its window is reached.
func (s *storeState) takeStoreLoad(now core.Time, key grantKey, engine *fleet.Engine, bounds fleet.Bounds) bool {
	if s.storeLoadsLeft(engine, bounds) <= 0 {
		return false
	}
	s.starts = append(s.starts, storeStart{grantKey: key, at: now})
	return true
}

// storeLoadsLeft returns how many loads may start now by the ceiling within its window. Those that
// have left the window must have been removed, see expire.
func (s *storeState) storeLoadsLeft(engine *fleet.Engine, bounds fleet.Bounds) int {
	if engine.StoreLoadsPerSecond <= 0 {
		return math.MaxInt
	}
	most := engine.StoreLoadsPerSecond * bounds.StoreLoadWindow.Seconds() * bounds.StoreLoadSlack
	return int(max(1, most)) - len(s.starts)
}

// permits returns the models that a loader may load from the store now.
func (r *Router) permits(l *loader) []string {
	if !r.coordinates(l) {
		return nil
	}
	var models []string
	for _, s := range r.services {
		for key := range s.store.granted {
			if key.loader == l.name {
				models = append(models, key.model)
			}
		}
	}
	slices.Sort(models)
	return models
}
