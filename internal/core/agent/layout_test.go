package agent

import "nutmeglane.example/nutmeglane/internal/core"

// layoutOracle records, for each model, the newest (generation, epoch) that the
// agent was granted and the newest that it reported as cleared.
type layoutOracle struct {
	granted, cleared map[string]core.Slot
}

func newLayoutOracle() layoutOracle {
	return layoutOracle{granted: map[string]core.Slot{}, cleared: map[string]core.Slot{}}
}

// newerLayout reports whether the AdapterMax of a is newer than that of b.
func newerLayout(a, b core.Slot) bool {
	return a.Generation > b.Generation || a.Generation == b.Generation && a.AdapterEpoch > b.AdapterEpoch
}

func (o *layoutOracle) grant(slot core.Slot) {
	if newerLayout(slot, o.granted[slot.ID.Model]) {
		o.granted[slot.ID.Model] = slot
	}
}

// checkAdapterLoad fails if an adapter load is ordered where adapters are not
// allowed, or after the slot was reported as cleared and no newer layout was
// granted.
func (w *fixture) checkAdapterLoad(model string) {
	granted, cleared := w.layout.granted[model], w.layout.cleared[model]
	if granted.AdapterMax == 0 || cleared.Generation != 0 && !newerLayout(granted, cleared) {
		w.t.Fatalf("load of an adapter of %s ordered under %+v after %+v was reported as cleared", model, granted, cleared)
	}
}

// checkCleared fails if the engine holds an adapter of the model, or one is
// being loaded.
func (w *fixture) checkCleared(slot core.Slot) {
	keys := core.SortedKeys(w.held)
	for _, o := range w.orders {
		if o.Kind == core.OrderLoad && o.incarnation == w.inc {
			keys = append(keys, o.Key)
		}
	}
	for _, key := range keys {
		if name, _ := splitKey(key); name == "x" && slot.ID.Model == "a" {
			w.t.Fatalf("%+v reported as cleared while %s is held", slot, key)
		}
	}
	if newerLayout(slot, w.layout.cleared[slot.ID.Model]) {
		w.layout.cleared[slot.ID.Model] = slot
	}
}

// changeLayout acts as the steward: it forbids adapters at any time, and allows
// them only when the slot is cleared.
func (w *fixture) changeLayout() {
	slot := w.table["a"]
	switch {
	case slot.AdapterMax != 0:
		slot.AdapterMax = 0
	case newerLayout(slot, w.layout.cleared["a"]):
		return
	default:
		slot.AdapterMax = 1
	}
	slot.AdapterEpoch++
	w.table["a"] = slot
}
