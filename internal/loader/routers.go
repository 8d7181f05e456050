package loader

import (
	"log/slog"
	"slices"

	"nutmeglane.example/nutmeglane/internal/core"
)

// This file keeps the connected routers.

// router is a connected router.
type router struct {
	name   core.HostID
	demand core.Demand
	// heardAt is when the demand came; its times count from then. upAt is when the
	// router connected.
	heardAt, upAt core.Time
	// spec names the engine's configuration that it has.
	spec core.SpecID
	// processor is its share of a processor, 0 before it has told.
	processor float64
	// version and nearVersion are those of the holdings that it was told last, 0
	// before the first.
	version, nearVersion int
}

// addRouter takes in a router that has connected, in place of its earlier connection.
func (l *Loader) addRouter(name core.HostID) {
	l.dropRouter(name)
	r := &router{name: name, heardAt: l.now, upAt: l.now}
	l.routers[name] = r
	i, _ := slices.BinarySearch(l.names, name)
	l.names = slices.Insert(l.names, i, name)
	l.connected = slices.Insert(l.connected, i, r)
	l.log("router connected", slog.String("router", string(name)))
}

// dropRouter forgets a router, and what it uses.
func (l *Loader) dropRouter(name core.HostID) {
	r := l.routers[name]
	if r == nil {
		return
	}
	l.removeUses(r.demand.Uses, r.heardAt)
	delete(l.routers, name)
	i, _ := slices.BinarySearch(l.names, name)
	l.names = slices.Delete(l.names, i, i+1)
	l.connected = slices.Delete(l.connected, i, i+1)
}
