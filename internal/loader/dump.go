package loader

import (
	"slices"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fleet"
	"nutmeglane.example/nutmeglane/internal/limit"
	"nutmeglane.example/nutmeglane/internal/quota"
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
	// QuotaShare is the part of all bounds of client accounts that routers lend this loader,
	// from 0 to 1, and Quotas are the accounts that it grants tokens of.
	QuotaShare float64
	Quotas     []quota.GranterState
}

// Dump returns the state between two steps.
func (l *Loader) Dump() State {
	state := State{
		Life: l.engine.life, Report: l.engine.report, Ordering: l.ordering,
		Routers: slices.Clone(l.names), Told: l.told.holdings,
		Limits: l.limits.Dump(l.now), QuotaShare: l.quotas.Share(l.now), Quotas: l.quotas.Dump(l.now),
	}
	if l.task != nil {
		state.Task = l.task.order.Kind.String() + " " + l.task.order.Model
	}
	return state
}
