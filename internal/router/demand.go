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
	// demandInterval is the time between two checks whether a loader needs a new Demand,
	// when nothing changed that must be sent at once.
	demandInterval = 500 * time.Millisecond
	// demandKeepalive is the maximum time between two Demands. It repairs the loss of one
	// that a loader did not process.
	demandKeepalive = 10 * time.Second
	// A rate is sent again once the loader's own estimate is off by more than rateTolerance
	// of it and by more than minRateChange or minFastRateChange: half of what one arrival
	// adds to the slow and to the fast rate. Arrivals are sent; decay is not, because the
	// loader computes it. A model that is called once a second at a router is sent with
	// nearly each call: with a tolerance of 0.2, two calls passed unsent, and the loaders'
	// sums were a tenth too low.
	rateTolerance     = 0.08
	minRateChange     = 0.05
	minFastRateChange = 0.2
	// minUseRate is the slow rate above which a use is sent: one call counts for the last
	// of it. After 46 s, 1% of the call is left.
	minUseRate = 0.001
)

// sendDemands sends each loader its Demand if it has changed.
//
// Uses are sent only when they changed significantly. Sent at each interval, they were half
// of a large fleet's messages: 68 routers that each get seven requests a second reported
// to 78 loaders twice a second that nothing runs.
func (r *Router) sendDemands() {
	if r.config == nil {
		return
	}
	for _, l := range r.sortedLoaders() {
		if !l.up || !l.dirty && r.now.Sub(l.demandCheckedAt) < demandInterval {
			continue
		}
		if b := r.engineAt(l); b != nil {
			r.sendDemand(l, b)
		}
	}
}

func (r *Router) sendDemand(l *loader, b *backend) {
	l.demandCheckedAt = r.now
	demand := r.demand(l, b)
	past := r.now.Sub(l.demandSentAt)
	if !l.dirty && past < demandKeepalive && sameDemand(l.lastDemand, demand, past) {
		return
	}
	if demand.ExpectsUpdates() && !l.lastDemand.ExpectsUpdates() {
		l.expectedSince = r.now
	}
	l.dirty, l.demandSentAt, l.lastDemand = false, r.now, demand
	r.emit(SendDemand{Loader: l.name, Demand: demand})
}

// sameDemand reports whether the Demand that a loader received some time ago still
// describes the present one.
func sameDemand(sent, now core.Demand, past time.Duration) bool {
	sameWant := func(a, b core.Want) bool {
		a.Within, b.Within = 0, 0 // the loader counts it down itself
		return a == b
	}
	return now.Engine == nil && now.Spec.Hash == 0 && sent.Direct == now.Direct && sent.Instance == now.Instance && sent.Born == now.Born &&
		slices.Equal(sent.Permits, now.Permits) &&
		slices.EqualFunc(sent.Wants, now.Wants, sameWant) && sameUses(sent.Uses, now.Uses, past)
}

// sameUses compares uses sorted by name. A missing use counts as zero.
func sameUses(sent, now []core.Use, past time.Duration) bool {
	for len(sent) > 0 || len(now) > 0 {
		var a, b core.Use
		switch order := compareFirst(sent, now); {
		case order < 0:
			a, sent = sent[0], sent[1:]
			b.Model, b.Adapter = a.Model, a.Adapter
		case order > 0:
			b, now = now[0], now[1:]
			a.Model, a.Adapter = b.Model, b.Adapter
		default:
			a, sent = sent[0], sent[1:]
			b, now = now[0], now[1:]
		}
		if !sameUse(a, b, past) {
			return false
		}
	}
	return true
}

// compareFirst compares the first uses of two lists. An empty list sorts last.
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

func sameUse(sent, now core.Use, past time.Duration) bool {
	return sent.Model == now.Model && sent.Adapter == now.Adapter && sent.Spare == now.Spare && sent.Copies == now.Copies &&
		similarRunning(sent.Running, now.Running) &&
		similarRate(core.Decayed(sent.Rate, core.RateMemory, past), now.Rate, minRateChange) &&
		similarRate(core.Decayed(sent.FastRate, core.FastRateMemory, past), now.FastRate, minFastRateChange)
}

// similarRunning reports whether two counts are equivalent for a loader: whether any request
// runs, and the number to within a half.
func similarRunning(sent, now int) bool {
	return (sent == 0) == (now == 0) && 2*max(sent-now, now-sent) <= max(sent, now)
}

func similarRate(sent, now, least float64) bool {
	return math.Abs(sent-now) <= max(least, rateTolerance*sent)
}

func (r *Router) demand(l *loader, b *backend) core.Demand {
	demand := core.Demand{Instance: b.Instance, Born: b.Born, Permits: r.permits(l), Uses: r.uses(b)}
	demand.Restarted = b.restartedAt != 0 && r.now.Sub(b.restartedAt) < core.LateOrderLife
	if l.lastDemand.Instance == "" { // the first Demand on this connection
		demand.Processor = r.opts.Processor
	}
	demand.Direct = r.digests.direct && r.coveredByDigest(l)
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

// objectiveLeft returns the time until the request misses its objective.
func (req *request) objectiveLeft(now core.Time) time.Duration {
	return req.arrived.Add(req.route.Objective).Sub(now)
}

// adapterWants returns wants for the adapters of the requests that wait for a model, before
// the model is loaded.
//
// When adapters were requested only once the model was loaded, they came after the engine's
// next load, during which it takes no order; callers of adapters waited for two loads
// instead of one.
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

// uses returns how much this router uses what an engine holds, so that its loader can
// decide what to evict first. The coordinator of the loader also reports how many copies
// there are of each model that the engine holds.
//
// With 385 routers each gets two requests a second and uses few of the models. Otherwise
// each router would report to each of 600 loaders, twice a second, the copies of all models
// that it holds, computed from the holdings of all engines.
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
			use.Spare = s.demandKnown(r.now) && use.Copies > r.need(s, m.Name)
		}
		uses = appendUse(uses, use)
		for _, adapter := range m.Adapters {
			uses = appendUse(uses, s.use(r.now, modelKey{m.Name, adapter}, running))
		}
	}
	slices.SortFunc(uses, compareUses)
	return uses
}

// appendUse appends a use, unless it is insignificant.
func appendUse(uses []core.Use, use core.Use) []core.Use {
	if use.Running == 0 && use.Copies == 0 && use.Rate < minUseRate {
		return uses
	}
	return append(uses, use)
}

// use returns how much a model or adapter is used, with the requests that run at one
// engine.
func (s *service) use(now core.Time, key modelKey, running map[modelKey]int) core.Use {
	slow, fast := s.rate(key).both(now)
	return core.Use{Model: key.model, Adapter: key.adapter, Running: running[key], Rate: slow, FastRate: fast}
}
