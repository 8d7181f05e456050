package loader

import (
	"log/slog"
	"slices"

	"nutmeglane.example/nutmeglane/internal/core"
)

// This file manages the connected routers.

// router is a connected router.
type router struct {
	name   core.HostID
	demand core.Demand
	// demandAt is when the demand arrived; its durations count from then. connectedAt is
	// when the router connected.
	demandAt, connectedAt core.Time
	// spec identifies the engine configuration that the router has.
	spec core.SpecID
	// specOffer is the number of its announcement among those of all routers.
	specOffer int
	// budgetToldAt is when it was last told the engine's budget.
	budgetToldAt core.Time
	// processor is its share of a processor, 0 before it is reported.
	processor float64
	// sentVersion and sentNearVersion are the versions of the holdings that were last
	// sent to it, 0 before the first.
	sentVersion, sentNearVersion int
}

// addRouter adds a router that has connected and replaces its earlier connection.
func (l *Loader) addRouter(name core.HostID) {
	l.dropRouter(name)
	r := &router{name: name, demandAt: l.now, connectedAt: l.now}
	l.routers[name] = r
	i, _ := slices.BinarySearch(l.names, name)
	l.names = slices.Insert(l.names, i, name)
	l.connected = slices.Insert(l.connected, i, r)
	l.log("router connected", slog.String("router", string(name)))
}

// dropRouter removes a router and its uses.
func (l *Loader) dropRouter(name core.HostID) {
	r := l.routers[name]
	if r == nil {
		return
	}
	l.removeUses(r.demand.Uses, r.demandAt)
	delete(l.routers, name)
	i, _ := slices.BinarySearch(l.names, name)
	l.names = slices.Delete(l.names, i, i+1)
	l.connected = slices.Delete(l.connected, i, i+1)
}
