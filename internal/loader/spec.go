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
	id           core.SpecID
	memoryMB     float64
	adapterSlots int
	models       map[string]core.ModelSpec
}

// specPatience is how long a router that was asked for the engine's configuration has to
// send it, before another one is asked: it may be frozen or gone.
const specPatience = 200 * time.Millisecond

// setSpec keeps the newest configuration: routers get a change at different
// times.
func (l *Loader) setSpec(in *core.EngineSpec) {
	if l.spec != nil && in.ID.Version < l.spec.id.Version {
		return
	}
	s := &spec{id: in.ID, memoryMB: in.MemoryMB, adapterSlots: in.AdapterSlots, models: map[string]core.ModelSpec{}}
	for _, m := range in.Models {
		s.models[m.Name] = m
	}
	l.spec = s
}

// newerSpec tells whether a router has a configuration of the engine that says other than
// this loader's.
func (l *Loader) newerSpec(id core.SpecID) bool {
	return id.Hash != 0 && (l.spec == nil || id.Version > l.spec.id.Version && id.Hash != l.spec.id.Hash)
}

// askSpec asks one router for a newer configuration of the engine, if any has one.
//
// It answers this pattern: the configuration of an engine is 11 KB for 184 models. Sent by
// each router to each loader, at each start and change, it was most of what 28 routers and
// 52 loaders told each other: 16 MB each time. Routers name what they have in 16 bytes,
// and one sends it.
func (l *Loader) askSpec() {
	if !l.specNamed || l.now < l.nextSpec {
		return
	}
	var have []core.HostID
	for _, r := range l.connected {
		if l.newerSpec(r.spec) {
			have = append(have, r.name)
		}
	}
	if len(have) == 0 {
		l.specNamed = false
		return
	}
	l.nextSpec = l.now.Add(specPatience)
	l.specAsks++
	l.emit(RequestSpec{Router: have[l.specAsks%len(have)]})
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
