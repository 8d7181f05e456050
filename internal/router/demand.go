package router

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
)

const (
	// demandInterval is the time between two looks at whether a loader is to be
	// told anew, when nothing changed that it must know at once.
	demandInterval = 500 * time.Millisecond
	// demandKeepalive is the longest time between two Demands, which mends one
	// that a loader did not take in.
	demandKeepalive = 10 * time.Second
	// Rates are told again once the loader's own estimate is off by more than
	// rateOff of it and more than rateLeast or fastRateLeast: half of what one
	// arrival adds to the slow and to the fast rate. An arrival is told, its fading
	// away is not: the loader works that out. A model that is called once a second
	// at a router is told with nearly each call: at 0.2 two calls went by untold, and
	// the loaders' sums were a tenth too low.
	rateOff       = 0.08
	rateLeast     = 0.05
	fastRateLeast = 0.2
	// leastUse is the slow rate from which on a use is told: one call counts for the
	// last of it. After 46 s, 1% of it are left.
	leastUse = 0.001
)

// tellLoaders sends each loader what changed.
//
// Uses are told when they changed by much. Told at each interval they were half of
// a large fleet's messages: 68 routers that each get seven requests a second told
// 78 loaders twice a second that nothing runs.
func (r *Router) tellLoaders() {
	if r.config == nil {
		return
	}
	for _, l := range r.sortedLoaders() {
		if !l.up || !l.dirty && r.now.Sub(l.lookedAt) < demandInterval {
			continue
		}
		if b := r.engineAt(l); b != nil {
			r.tellLoader(l, b)
		}
	}
}

func (r *Router) tellLoader(l *loader, b *backend) {
	l.lookedAt = r.now
	demand := r.demand(l, b)
	past := r.now.Sub(l.toldAt)
	if !l.dirty && past < demandKeepalive && sameDemand(l.told, demand, past) {
		return
	}
	if demand.ExpectsUpdates() && !l.told.ExpectsUpdates() {
		l.expectedSince = r.now
	}
	l.dirty, l.toldAt, l.told = false, r.now, demand
	r.emit(Tell{Loader: l.name, Demand: demand})
}

// sameDemand tells whether a loader that was told a Demand some time ago need not
// be told the one that holds now.
func sameDemand(told, now core.Demand, past time.Duration) bool {
	sameWant := func(a, b core.Want) bool {
		a.Within, b.Within = 0, 0 // it goes on by itself
		return a == b
	}
	return now.Engine == nil && now.Spec.Hash == 0 && told.Direct == now.Direct && told.Instance == now.Instance && told.Born == now.Born &&
		slices.Equal(told.Permits, now.Permits) &&
		slices.EqualFunc(told.Wants, now.Wants, sameWant) && sameUses(told.Uses, now.Uses, past)
}

// sameUses compares uses in the order of their names. One that is not told is none.
func sameUses(told, now []core.Use, past time.Duration) bool {
	for len(told) > 0 || len(now) > 0 {
		var a, b core.Use
		switch order := compareFirst(told, now); {
		case order < 0:
			a, told = told[0], told[1:]
			b.Model, b.Adapter = a.Model, a.Adapter
		case order > 0:
			b, now = now[0], now[1:]
			a.Model, a.Adapter = b.Model, b.Adapter
		default:
			a, told = told[0], told[1:]
			b, now = now[0], now[1:]
		}
		if !sameUse(a, b, past) {
			return false
		}
	}
	return true
}

// compareFirst compares the first uses of two lists, of which an empty one comes last.
func compareFirst(a, b []core.Use) int {
	switch {
	case len(a) == 0:
		return 1
	case len(b) == 0:
		return -1
	default:
		return compareUses(a[0], b[0])
	}
}

func compareUses(a, b core.Use) int {
	return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Adapter, b.Adapter))
}

func sameUse(told, now core.Use, past time.Duration) bool {
	return told.Model == now.Model && told.Adapter == now.Adapter && told.Spare == now.Spare && told.Copies == now.Copies &&
		sameRunning(told.Running, now.Running) &&
		sameRate(core.Decayed(told.Rate, core.RateMemory, past), now.Rate, rateLeast) &&
		sameRate(core.Decayed(told.FastRate, core.FastRateMemory, past), now.FastRate, fastRateLeast)
}

// sameRunning tells whether two counts mean the same to a loader: whether any
// request runs, and how many to a half.
func sameRunning(told, now int) bool {
	return (told == 0) == (now == 0) && 2*max(told-now, now-told) <= max(told, now)
}

func sameRate(told, now, least float64) bool {
	return math.Abs(told-now) <= max(least, rateOff*told)
}

func (r *Router) demand(l *loader, b *backend) core.Demand {
	demand := core.Demand{Instance: b.Instance, Born: b.Born, Permits: r.permits(l), Uses: r.uses(b)}
	if l.told.Instance == "" { // the first word on this connection
		demand.Processor = r.opts.Processor
	}
	demand.Direct = r.digests.direct && r.byDigest(l)
	r.addSpec(&demand, l, r.service(b.Service).spec)
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

// uses tells how much this router uses what an engine holds, so that its loader knows
// what to evict first. Whoever coordinates the loader also tells of all that the engine
// holds how many copies there are.
//
// It answers this pattern: of 385 routers each gets two requests a second, and knows
// nothing of most models. Each told each of 600 loaders the copies of all that it holds,
// worked out twice a second from what all engines hold.
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
	s, coordinates := r.service(b.Service), r.coordinates(b.loader)
	var uses []core.Use
	for _, m := range held.Models {
		if m.State != core.HoldLoaded && m.State != core.HoldUnloading {
			continue
		}
		use := s.use(r.now, modelKey{model: m.Name}, running)
		if coordinates {
			use.Copies = len(r.copiesOf(b.Service, m.Name))
			use.Spare = s.knowsDemand(r.now) && use.Copies > r.need(s, m.Name)
		}
		uses = appendUse(uses, use)
		for _, adapter := range m.Adapters {
			uses = appendUse(uses, s.use(r.now, modelKey{m.Name, adapter}, running))
		}
	}
	slices.SortFunc(uses, compareUses)
	return uses
}

// appendUse appends a use, unless there is nothing to tell of it.
func appendUse(uses []core.Use, use core.Use) []core.Use {
	if use.Running == 0 && use.Copies == 0 && use.Rate < leastUse {
		return uses
	}
	return append(uses, use)
}

// use tells how much a model or adapter is used, with what runs at one engine.
func (s *service) use(now core.Time, key modelKey, running map[modelKey]int) core.Use {
	slow, fast := s.rate(key).both(now)
	return core.Use{Model: key.model, Adapter: key.adapter, Running: running[key], Rate: slow, FastRate: fast}
}
