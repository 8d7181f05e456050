package loader

import (
	"slices"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fleet"
	"nutmeglane.example/nutmeglane/internal/limit"
)

// State is the dump of a loader.
type State struct {
	Life     fleet.Incarnation
	Report   *fleet.Report
	Ordering bool
	// Task is the order for a model under way, "" without one.
	Task    string
	Routers []core.HostID
	Told    core.Holdings
	// Limits are the servers with a limit that this loader counts for.
	Limits []limit.State
}

// Dump returns the state between two steps.
func (l *Loader) Dump() State {
	state := State{
		Life: l.engine.life, Report: l.engine.report, Ordering: l.ordering,
		Routers: slices.Clone(l.names), Told: l.told.holdings,
		Limits: l.limits.Dump(l.now),
	}
	if l.task != nil {
		state.Task = l.task.order.Kind.String() + " " + l.task.order.Model
	}
	return state
}
