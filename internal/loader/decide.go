package loader

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"nutmeglane.example/nutmeglane/internal/fleet"
)

const (
	// maxAdapterLoads is how many adapters one engine may load at a time.
	maxAdapterLoads = 4
	// evictionTime is how long it takes to evict an idle model: an order, its answer and
	// a report.
	evictionTime = 30 * time.Millisecond
)

// modelKey names a model, or an adapter of it.
type modelKey struct{ model, adapter string }

func splitName(name string) (model, adapter string) {
	model, adapter, _ = strings.Cut(name, "/")
	return model, adapter
}

// sendNextOrder sends the next order, if one is due. One order is in progress at a time,
// and each is decided on a report that is newer than the previous order.
func (l *Loader) sendNextOrder() {
	if l.orderPending || l.now < l.nextOrder || l.spec == nil || l.engine.report == nil ||
		l.lastReadAt < l.acceptedAt || l.readPending && l.lastReadAt == l.acceptedAt || l.engine.report.Draining {
		return
	}
	if l.task != nil || l.engine.report.Busy {
		// A busy engine accepts no orders, not even for adapters.
		return
	}
	wants, uses := l.wants(), l.uses()
	l.expireRetiring(wants)
	order := l.adapterOrder(wants, uses)
	if order == nil {
		order = l.modelOrder(wants, uses)
	}
	if order == nil {
		l.withheldUntil = 0
		return
	}
	l.sendOrder(*order)
}

func (l *Loader) sendOrder(order fleet.Order) {
	order.Sequence = l.engine.report.Sequence
	order.For = l.engine.life
	if !l.mayOrder(order) {
		return
	}
	l.recordOrder(order)
	l.orderPending, l.withheldUntil = true, 0
	l.emit(SendOrder{Order: order})
}

// compareWants sorts wants: models that requests wait for, and further copies of a busy
// model, come before background loads; then by tierRank; then the one whose objective is
// missed first.
func (l *Loader) compareWants(a, b mergedWant) int {
	return cmp.Or(
		compareBool(a.background, b.background),
		cmp.Compare(l.tierRank(a), l.tierRank(b)),
		cmp.Compare(a.within, b.within),
		cmp.Compare(a.model, b.model),
		cmp.Compare(a.adapter, b.adapter),
	)
}

// tierRank ranks wants by where the nearest copy lies. A load from the weight store
// occupies the engine's only order slot for as long as many loads of near copies, so near
// copies go first until the store load is permitted. From then on the store reserves
// capacity for it, which no other engine can use until the load begins. Ranked behind a
// continuous sequence of near loads, permitted loads did not begin for seconds.
func (l *Loader) tierRank(w mergedWant) int {
	switch {
	case l.tierOf(w.model) != tierStore:
		return 1
	case w.permitted:
		return 0
	default:
		return 2
	}
}

// compareBool sorts false before true.
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
func (l *Loader) adapterOrder(wants []mergedWant, uses map[modelKey]mergedUse) *fleet.Order {
	for _, w := range wants {
		if w.adapter == "" {
			continue
		}
		base := l.findLoaded(w.model)
		if base == nil || base.HasAdapter(w.adapter) || l.isAdapterLoading(w.modelKey) || l.isUnloading(w.model) {
			continue
		}
		if len(l.engine.report.Coming) >= maxAdapterLoads {
			return nil
		}
		if l.freeAdapterSlots() > 0 && l.freeMB() >= l.spec.models[w.model].AdapterMB {
			return &fleet.Order{Kind: fleet.OrderLoad, Model: w.model, Adapter: w.adapter}
		}
		if victim := l.adapterVictim(wants, uses); victim != nil {
			return &fleet.Order{Kind: fleet.OrderUnload, Model: victim.model, Adapter: victim.adapter}
		}
	}
	return nil
}

func (l *Loader) isAdapterLoading(key modelKey) bool {
	return slices.Contains(l.engine.report.Coming, key.model+"/"+key.adapter)
}

func (l *Loader) isUnloading(model string) bool {
	return l.task != nil && l.task.order.Kind == fleet.OrderUnload && l.task.order.Model == model
}

// adapterVictim returns the least used adapter that is neither in use nor wanted.
func (l *Loader) adapterVictim(wants []mergedWant, uses map[modelKey]mergedUse) *modelKey {
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

func isWanted(wants []mergedWant, key modelKey) bool {
	return slices.ContainsFunc(wants, func(w mergedWant) bool { return w.modelKey == key && !w.background })
}

// modelOrder returns the next order for a model, nil if none is due.
func (l *Loader) modelOrder(wants []mergedWant, uses map[modelKey]mergedUse) *fleet.Order {
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
