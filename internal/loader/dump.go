package loader

import (
	"slices"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/enginebudget"
	"nutmeglane.example/nutmeglane/internal/fleet"
	"nutmeglane.example/nutmeglane/internal/limit"
	"nutmeglane.example/nutmeglane/internal/quota"
)

// State is the dump of a loader.
type State struct {
	Life     fleet.Incarnation
	Report   *fleet.Report
	Ordering bool
	// Unanswered is the number of orders without an answer that may still arrive, WithheldFor
	// for how long an order is withheld because of them.
	Unanswered  int
	WithheldFor time.Duration
	// Task is the model order in progress, "" if there is none.
	Task    string
	Routers []core.HostID
	Told    core.Holdings
	// Limits are the servers whose request limits this loader enforces.
	Limits []limit.State
	// Budget is the engine's request-rate budget with its inputs, nil where the service has
	// none. BudgetInForce is set while routers are told of it.
	Budget        *enginebudget.State
	BudgetInForce bool
	// ServerBudgets are the budgets of plain services' servers, with their inputs.
	ServerBudgets []ServerBudgetState
	// QuotaShare is the part of all limits of client accounts that routers lend this
	// loader, from 0 to 1. Quotas are the accounts that it grants tokens of.
	QuotaShare float64
	Quotas     []quota.GranterState
	// Origins is the number of streams whose release is remembered, OriginsDropped that of
	// those that were dropped before their time.
	Origins, OriginsDropped int
}

// Dump returns the state between two steps.
func (l *Loader) Dump() State {
	state := State{
		Life: l.engine.life, Report: l.engine.report, Ordering: l.orderPending,
		Unanswered: len(l.unanswered), WithheldFor: max(0, l.withheldUntil.Sub(l.now)),
		Routers: slices.Clone(l.names), Told: l.announced.holdings,
		Limits: l.limits.Dump(l.now), ServerBudgets: l.dumpServerBudgets(), QuotaShare: l.quotas.Share(l.now), Quotas: l.quotas.Dump(l.now),
		Origins: l.origins.Len(), OriginsDropped: l.origins.Dropped(),
	}
	if l.budget.tracker != nil {
		budget := l.budget.tracker.Dump(l.now)
		state.Budget, state.BudgetInForce = &budget, l.budget.inForce
	}
	if l.task != nil {
		state.Task = l.task.order.Kind.String() + " " + l.task.order.Model
	}
	return state
}
