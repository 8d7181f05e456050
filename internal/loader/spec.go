package loader

import (
	"slices"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fleet"
)

// tier tells where the nearest copy of a model lies.
type tier uint8

const (
	tierStore tier = iota
	tierDisk
	tierHost
)

// String names the tier for logs and metrics.
func (t tier) String() string { return [...]string{"store", "disk", "host"}[t] }

// spec is the engine's configuration.
type spec struct {
	version      int64
	memoryMB     float64
	adapterSlots int
	models       map[string]core.ModelSpec
}

// setSpec keeps the newest configuration: routers get a change at different
// times.
func (l *Loader) setSpec(in *core.EngineSpec) {
	if l.spec != nil && in.Version < l.spec.version {
		return
	}
	s := &spec{version: in.Version, memoryMB: in.MemoryMB, adapterSlots: in.AdapterSlots, models: map[string]core.ModelSpec{}}
	for _, m := range in.Models {
		s.models[m.Name] = m
	}
	l.spec = s
}

func (l *Loader) tierOf(model string) tier {
	switch r := l.engine.report; {
	case r == nil:
		return tierStore
	case slices.Contains(r.InMemory, model):
		return tierHost
	case slices.Contains(r.OnDisk, model):
		return tierDisk
	default:
		return tierStore
	}
}

func (l *Loader) loadTime(model string) time.Duration {
	m := l.spec.models[model]
	switch l.tierOf(model) {
	case tierHost:
		return m.HostLoad
	case tierDisk:
		return m.DiskLoad
	default:
		return m.StoreLoad
	}
}

// sizeOf is the memory of a loaded model with its adapters.
func (l *Loader) sizeOf(m fleet.LoadedModel) float64 {
	s := l.spec.models[m.Name]
	return s.MemoryMB + s.AdapterMB*float64(len(m.Adapters))
}

// freeMB is the engine's memory that is not taken.
func (l *Loader) freeMB() float64 {
	free := l.spec.memoryMB - l.strayMB()
	for _, m := range l.engine.report.Models {
		free -= l.sizeOf(m)
	}
	for _, name := range l.engine.report.Coming {
		model, _ := splitName(name)
		free -= l.spec.models[model].AdapterMB
	}
	return free
}

// adapterCount is the number of adapter slots taken.
func (l *Loader) adapterCount() int {
	count := len(l.engine.report.Coming)
	for _, m := range l.engine.report.Models {
		count += len(m.Adapters)
	}
	return count
}
