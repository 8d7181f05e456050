package loader

import (
	"cmp"
	"slices"
	"strings"
	"time"

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
	order.For = l.engine.life
	l.ordering = true
	l.emit(SendOrder{Order: order})
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
