package loader

import (
	"slices"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
)

// tier is where the nearest copy of a model lies.
type tier uint8

const (
	tierStore tier = iota
	tierDisk
	tierHost
)

// String returns the tier's name for logs and metrics.
func (t tier) String() string { return [...]string{"store", "disk", "host"}[t] }

// spec is the engine's configuration.
type spec struct {
	id core.SpecID
	// offer is the number of the announcement by the router that sent it.
	offer        int
	memoryMB     float64
	adapterSlots int
	models       map[string]core.ModelSpec
	// budget is nil if the engine gets no budget.
	budget *core.BudgetSpec
}

// specRequestTimeout is how long a router has to send the engine configuration that it
// was asked for before another router is asked. It may be frozen or gone.
const specRequestTimeout = 200 * time.Millisecond

// setSpec stores a configuration unless it is older than the current one: routers receive
// a change at different times.
func (l *Loader) setSpec(in *core.EngineSpec, offer int) {
	if l.spec != nil && in.ID.Version < l.spec.id.Version {
		return
	}
	s := &spec{id: in.ID, offer: offer, memoryMB: in.MemoryMB, adapterSlots: in.AdapterSlots, models: map[string]core.ModelSpec{}, budget: in.Budget}
	for _, m := range in.Models {
		s.models[m.Name] = m
	}
	l.keepSizes()
	l.spec = s
	l.boundUnknownSizes()
}

// isNewerSpec reports whether a router has a newer engine configuration whose contents
// differ from this loader's.
//
// Contents of the same version differ between routers with different settings, or of different
// builds, as to the budget. The one that was announced last applies, so that a change of the
// settings takes effect once the routers have it, and a mixed fleet does not make the loader
// request one after the other forever.
func (l *Loader) isNewerSpec(r *router) bool {
	id := r.spec
	if id.Hash == 0 || l.spec != nil && id.Hash == l.spec.id.Hash {
		return false
	}
	return l.spec == nil || id.Version > l.spec.id.Version || id.Version == l.spec.id.Version && r.specOffer > l.spec.offer
}

// requestSpec asks one router for a newer configuration of the engine, if any router has
// one.
//
// An engine configuration is 11 KB for 184 models. When each router sent it to each
// loader, at each start and change, it was most of the traffic between 28 routers and 52
// loaders: 16 MB each time. Instead routers announce in 16 bytes which configuration they
// have, and one sends it.
func (l *Loader) requestSpec() {
	if !l.newerSpecOffered || l.now < l.nextSpecRequest {
		return
	}
	var holders []core.HostID
	for _, r := range l.connected {
		if l.isNewerSpec(r) {
			holders = append(holders, r.name)
		}
	}
	if len(holders) == 0 {
		l.newerSpecOffered = false
		return
	}
	l.nextSpecRequest = l.now.Add(specRequestTimeout)
	l.specRequests++
	l.emit(RequestSpec{Router: holders[l.specRequests%len(holders)]})
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
