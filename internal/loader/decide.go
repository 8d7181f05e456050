package loader

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fleet"
)

const (
	// adaptersComing is how many adapters may be on their way to one engine.
	adaptersComing = 4
	// backgroundEvicts is the rate of requests per second below which a loaded
	// model may be evicted for one that nobody waits for yet. A model called
	// more often would be missed sooner than the other is called.
	backgroundEvicts = 0.5
	// residence is how long a loaded model stays at least: a message to the
	// routers, their requests' way here, and their next demand, which comes
	// every 500 ms, with a margin of as much.
	residence = time.Second
	// evictTime is what it takes to evict an idle model: an order, its answer
	// and a report.
	evictTime = 30 * time.Millisecond
)

// modelKey names a model, or an adapter of it.
type modelKey struct{ model, adapter string }

// wanted is what all routers together want of a model or adapter.
type wanted struct {
	modelKey
	waiting    int
	background bool
	// spread wants are for a further copy of a model.
	spread    bool
	permitted bool
	// within is the time left until the first request misses its objective.
	within time.Duration
}

// used is how much all routers together use a loaded model or adapter.
type used struct {
	running int
	rate    float64
	copies  int
	spare   bool
}

func splitName(name string) (model, adapter string) {
	model, adapter, _ = strings.Cut(name, "/")
	return model, adapter
}

// act sends the next order, if one is due. One order is under way at a time:
// each is decided on a report that is newer than the one before.
func (l *Loader) act() {
	if l.ordering || l.now < l.nextOrder || l.spec == nil || l.engine.report == nil ||
		l.readAt < l.acceptedAt || l.reading && l.readAt == l.acceptedAt || l.engine.report.Draining {
		return
	}
	if l.task != nil || l.engine.report.Busy {
		// An engine takes no order at all meanwhile, not for adapters either.
		return
	}
	wants, uses := l.wants(), l.uses()
	l.expireRetiring(wants)
	if order := l.adapterOrder(wants, uses); order != nil {
		l.order(*order)
		return
	}
	if order := l.modelOrder(wants, uses); order != nil {
		l.order(*order)
	}
}

func (l *Loader) order(order fleet.Order) {
	order.Sequence = l.engine.report.Sequence
	order.Instance = l.engine.instance
	l.ordering = true
	l.emit(SendOrder{Order: order})
}

// wants merges what routers want, most urgent first.
func (l *Loader) wants() []wanted {
	merged := map[modelKey]*wanted{}
	permits := map[string]bool{}
	for _, name := range l.names {
		r := l.routers[name]
		for _, w := range r.demand.Wants {
			l.mergeWant(merged, w, l.now.Sub(r.heardAt))
		}
		if name == l.coordinator() {
			for _, model := range r.demand.Permits {
				permits[model] = true
			}
		}
	}
	var wants []wanted
	for _, w := range merged {
		w.permitted = permits[w.model]
		wants = append(wants, *w)
	}
	slices.SortFunc(wants, l.compareWants)
	return wants
}

func (l *Loader) mergeWant(merged map[modelKey]*wanted, w core.Want, age time.Duration) {
	if _, known := l.spec.models[w.Model]; !known {
		return
	}
	key := modelKey{w.Model, w.Adapter}
	m := merged[key]
	if m == nil {
		m = &wanted{modelKey: key, background: true, within: time.Hour}
		merged[key] = m
	}
	m.waiting += w.Waiting
	m.background = m.background && w.Background
	m.spread = m.spread || w.Spread
	m.within = min(m.within, w.Within-age)
}

// compareWants orders wants: what requests wait for, or a busy model's further
// copy, before what is loaded ahead; then by turn; then the one whose objective
// is missed first.
func (l *Loader) compareWants(a, b wanted) int {
	return cmp.Or(
		compareBool(a.background, b.background),
		cmp.Compare(l.turn(a), l.turn(b)),
		cmp.Compare(a.within, b.within),
		cmp.Compare(a.model, b.model),
		cmp.Compare(a.adapter, b.adapter),
	)
}

// turn ranks wants by where the copy lies. A load from the weight store takes
// the engine's only place for an order as long as many near ones, so near ones
// go first, until the store load is permitted: then the store keeps a place for
// it, which nobody else can use until it begins. Ranked behind near loads that
// came without a pause, permitted loads did not begin for seconds.
func (l *Loader) turn(w wanted) int {
	switch {
	case l.tierOf(w.model) != tierStore:
		return 1
	case w.permitted:
		return 0
	default:
		return 2
	}
}

// compareBool puts false first.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

func (l *Loader) uses() map[modelKey]used {
	uses := map[modelKey]used{}
	for _, r := range l.routers {
		for _, u := range r.demand.Uses {
			key := modelKey{u.Model, u.Adapter}
			sum, seen := uses[key]
			sum.running += u.Running
			sum.rate += u.Rate
			sum.copies = max(sum.copies, u.Copies)
			sum.spare = u.Spare && (sum.spare || !seen)
			uses[key] = sum
		}
	}
	return uses
}

// adapterOrder returns the next order for an adapter, nil if none is due.
func (l *Loader) adapterOrder(wants []wanted, uses map[modelKey]used) *fleet.Order {
	for _, w := range wants {
		if w.adapter == "" {
			continue
		}
		base := l.findLoaded(w.model)
		if base == nil || base.HasAdapter(w.adapter) || l.isComing(w.modelKey) || l.isUnloading(w.model) {
			continue
		}
		if len(l.engine.report.Coming) >= adaptersComing {
			return nil
		}
		if l.adapterCount() < l.spec.adapterSlots && l.freeMB() >= l.spec.models[w.model].AdapterMB {
			return &fleet.Order{Kind: fleet.OrderLoad, Model: w.model, Adapter: w.adapter}
		}
		if victim := l.adapterVictim(wants, uses); victim != nil {
			return &fleet.Order{Kind: fleet.OrderUnload, Model: victim.model, Adapter: victim.adapter}
		}
	}
	return nil
}

func (l *Loader) isComing(key modelKey) bool {
	return slices.Contains(l.engine.report.Coming, key.model+"/"+key.adapter)
}

func (l *Loader) isUnloading(model string) bool {
	return l.task != nil && l.task.order.Kind == fleet.OrderUnload && l.task.order.Model == model
}

// adapterVictim returns the least used adapter that nobody uses or wants.
func (l *Loader) adapterVictim(wants []wanted, uses map[modelKey]used) *modelKey {
	var victim *modelKey
	least := 0.0
	for _, m := range l.engine.report.Models {
		for _, adapter := range m.Adapters {
			key := modelKey{m.Name, adapter}
			if uses[key].running > 0 || isWanted(wants, key) {
				continue
			}
			if victim == nil || uses[key].rate < least {
				victim, least = &key, uses[key].rate
			}
		}
	}
	return victim
}

func isWanted(wants []wanted, key modelKey) bool {
	return slices.ContainsFunc(wants, func(w wanted) bool { return w.modelKey == key && !w.background })
}

// modelOrder returns the next order for a model, nil if none is due.
func (l *Loader) modelOrder(wants []wanted, uses map[modelKey]used) *fleet.Order {
	for _, w := range wants {
		if w.adapter != "" || l.findLoaded(w.model) != nil {
			continue
		}
		if l.tierOf(w.model) == tierStore && !w.permitted {
			continue
		}
		need := l.spec.models[w.model].MemoryMB - l.freeMB()
		if need <= 0 {
			return &fleet.Order{Kind: fleet.OrderLoad, Model: w.model}
		}
		if victim := l.victim(w, wants, uses, need); victim != "" {
			return &fleet.Order{Kind: fleet.OrderUnload, Model: victim}
		}
	}
	return nil
}

// victim returns the loaded model to evict next for a want, "" if the room
// can't be made now. It is the first of the cheapest set of models that makes
// room, so that two are evicted only where no single one is large enough, or
// where the two together are missed less.
//
// Models that requests run on are retired before they go (see retire.go): spare
// copies where the idle models don't make room, needed ones only where nothing
// else can make room at all.
func (l *Loader) victim(w wanted, wants []wanted, uses map[modelKey]used, need float64) string {
	var idle, spare, inUse []candidate
	protected := 0.0
	for _, m := range l.engine.report.Models {
		use := uses[modelKey{model: m.Name}]
		c := candidate{m.Name, l.sizeOf(m), evictionCost(use)}
		switch {
		case l.wantedWith(wants, m.Name) || l.justLoaded(m.Name):
			if use.running == 0 {
				protected += c.mb
			}
		case use.running == 0 && w.background && !use.spare && use.rate > backgroundEvicts:
		case use.running == 0 || l.retiredLong(m.Name):
			idle = append(idle, c)
		case use.spare || l.isRetiring(m.Name):
			spare = append(spare, c)
		default:
			inUse = append(inUse, c)
		}
	}
	if pick := cheapestSet(idle, need); pick != "" || w.background {
		return pick
	}
	all := slices.Concat(idle, spare)
	if room(all)+protected < need {
		all = append(all, inUse...)
	}
	l.retireOf(all, uses, need-protected)
	return ""
}

func room(candidates []candidate) float64 {
	sum := 0.0
	for _, c := range candidates {
		sum += c.mb
	}
	return sum
}

// justLoaded tells that a model was loaded so recently that those who waited
// for it may not have been served yet.
//
// It guards against thrashing: the moment a model is loaded nobody waits for it
// any more, and routers have not yet told that requests run on it. It looked
// like the least used one and was evicted within 50 ms, for the next in the
// queue, while its callers' requests were on their way.
func (l *Loader) justLoaded(model string) bool {
	at, ok := l.loadedAt[model]
	return ok && l.now.Sub(at) < residence
}

// candidate is a loaded model that may be evicted.
type candidate struct {
	name string
	mb   float64
	cost float64
}

const (
	// evictionBase is what any eviction costs, in calls per second missed: it
	// takes orders, and the model may be called after all.
	evictionBase = 0.05
	// spareCost is the part of a model's rate that is missed when another copy
	// carries its load.
	spareCost = 0.05
	// copyCost is added for each copy of a model whose copies are needed. It
	// decides only among models that are called equally little: of these, one
	// that was given several copies is the likelier to be called.
	copyCost = 0.02
	// runningCost is added for a model that is in use: the engine lets its
	// requests end before it unloads, and takes no other order meanwhile.
	runningCost = 2.0
	// maxCandidates bounds the search for the cheapest set, to 4,096 sets. Of
	// more models the cheapest are looked at.
	maxCandidates = 12
)

func evictionCost(use used) float64 {
	cost := evictionBase + use.rate
	if use.spare {
		cost = evictionBase + spareCost*use.rate
	} else if use.copies > 1 {
		cost += copyCost * float64(use.copies)
	}
	if use.running > 0 {
		cost += runningCost
	}
	return cost
}

// cheapestSet returns the cheapest member of the set of least cost whose sizes
// add up to need, "" if there is none.
func cheapestSet(candidates []candidate, need float64) string {
	if set := cheapest(candidates, need); len(set) > 0 {
		return set[0].name
	}
	return ""
}

// cheapest returns the set of least cost whose sizes add up to need, cheapest
// member first.
func cheapest(candidates []candidate, need float64) []candidate {
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.name, b.name))
	})
	candidates = candidates[:min(len(candidates), maxCandidates)]
	var best []candidate
	bestCost := 0.0
	for bits := 1; bits < 1<<len(candidates); bits++ {
		var set []candidate
		mb, cost := 0.0, 0.0
		for i, c := range candidates {
			if bits&(1<<i) != 0 {
				set = append(set, c)
				mb += c.mb
				cost += c.cost
			}
		}
		if mb >= need && (best == nil || cost < bestCost) {
			best, bestCost = set, cost
		}
	}
	return best
}

// wantedWith tells whether requests wait for the model or one of its adapters.
func (l *Loader) wantedWith(wants []wanted, model string) bool {
	return slices.ContainsFunc(wants, func(w wanted) bool { return w.model == model && !w.background })
}
