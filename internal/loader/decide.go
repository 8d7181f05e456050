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
