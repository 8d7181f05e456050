package loader

import (
	"maps"

	"nutmeglane.example/nutmeglane/internal/fleet"
)

// This file computes how much of the engine's memory is in use.
//
// A loaded model takes the memory that it had when it was loaded. It guards against an engine that
// is ordered to load more than its memory holds and crashes, after a configuration that no longer
// declares a model which is still loaded, or declares another size: its memory would count as free.

// size is the memory that a model, and each of its adapters, takes at most, in MB.
type size struct{ modelMB, adapterMB float64 }

func (s size) atLeast(other size) size {
	return size{max(s.modelMB, other.modelMB), max(s.adapterMB, other.adapterMB)}
}

// declaredSize returns the size of a model in the configuration in force.
func (l *Loader) declaredSize(model string) (s size, declared bool) {
	m, declared := l.spec.models[model]
	return size{m.MemoryMB, m.AdapterMB}, declared
}

// occupiedSize returns the size of a model that is loaded or being loaded.
func (l *Loader) occupiedSize(model string) size {
	declared, _ := l.declaredSize(model)
	return declared.atLeast(l.keptSizes[model])
}

// sizeOf returns the memory of a loaded model with its adapters.
func (l *Loader) sizeOf(m fleet.LoadedModel) float64 {
	s := l.occupiedSize(m.Name)
	return s.modelMB + s.adapterMB*float64(len(m.Adapters))
}

// keepSizes keeps the sizes of what is loaded or being loaded, before another configuration applies.
func (l *Loader) keepSizes() {
	if l.spec == nil {
		return
	}
	for model := range l.occupants() {
		if s := l.occupiedSize(model); s != (size{}) {
			l.keptSizes[model] = s
		}
	}
}

// dropSizes drops the sizes of models that are no longer loaded. Loaded again, they have the size
// that is declared then.
func (l *Loader) dropSizes() {
	if len(l.keptSizes) == 0 {
		return
	}
	occupants := l.occupants()
	maps.DeleteFunc(l.keptSizes, func(model string, _ size) bool { return !occupants[model] })
}

// occupants returns the models that are loaded or being loaded.
func (l *Loader) occupants() map[string]bool {
	models := map[string]bool{}
	if l.engine.report != nil {
		for _, m := range l.engine.report.Models {
			models[m.Name] = true
		}
	}
	if l.task != nil {
		models[l.task.order.Model] = true
	}
	return models
}

// boundUnknownSizes bounds the size of each loaded model that no configuration which this process
// has seen declares: all models together fit into the engine's memory.
//
// The bound is kept. Computed anew after another model was unloaded, it would grow by that model's
// memory, so that unloading one model after the other would free nothing.
func (l *Loader) boundUnknownSizes() {
	if l.spec == nil || l.engine.report == nil {
		return
	}
	known := 0.0
	var unknown []string
	for _, m := range l.engine.report.Models {
		if l.occupiedSize(m.Name) == (size{}) {
			unknown = append(unknown, m.Name)
		}
		known += l.sizeOf(m)
	}
	for _, model := range unknown {
		l.keptSizes[model] = size{modelMB: max(0, l.spec.memoryMB-known)}
	}
}

// usedMB returns the memory of all that the engine holds or loads.
func (l *Loader) usedMB() float64 {
	used := 0.0
	for _, m := range l.engine.report.Models {
		used += l.sizeOf(m)
	}
	for _, name := range l.engine.report.Coming {
		model, _ := splitName(name)
		used += l.occupiedSize(model).adapterMB
	}
	return used
}

// freeMB returns the memory that the next order may use.
func (l *Loader) freeMB() float64 { return l.spec.memoryMB - l.usedMB() - l.lateReserve().mb }

// freeAdapterSlots returns the places for adapters that the next order may use.
func (l *Loader) freeAdapterSlots() int {
	return l.spec.adapterSlots - l.adapterCount() - l.lateReserve().adapters
}

// adapterCount returns the number of adapter slots in use.
func (l *Loader) adapterCount() int {
	count := len(l.engine.report.Coming)
	for _, m := range l.engine.report.Models {
		count += len(m.Adapters)
	}
	return count
}
