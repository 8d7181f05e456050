package router

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/limit"
)

// This file applies the request-rate budgets of plain services' servers, which loaders compute
// (see package serverbudget). They are enforced like the budgets of engines.

// serverBudget is a budget that one loader announced.
type serverBudget struct {
	perSecond float64
	until     core.Time
}

// serverBudgets are the budgets of one server by loader. There is usually one. While routers
// disagree on the loader that counts there may be two, of which the lower applies.
type serverBudgets map[core.HostID]serverBudget

// lowest returns the lowest budget in force and how long it holds, 0 without one. It drops those
// that have expired.
func (s serverBudgets) lowest(now core.Time) (perSecond float64, lasts time.Duration) {
	for loader, budget := range s { // the minimum does not depend on the order
		switch left := budget.until.Sub(now); {
		case left <= 0:
			delete(s, loader)
		case perSecond == 0 || budget.perSecond < perSecond || budget.perSecond == perSecond && left > lasts:
			perSecond, lasts = budget.perSecond, left
		}
	}
	return perSecond, lasts
}

// applyServerBudget applies what a loader's message states on the budget of a plain service's
// server. A message without a budget ends the one that this loader announced.
func (r *Router) applyServerBudget(b *backend, from core.HostID, answer core.LimitReply) {
	if r.budgetObjective(b) == 0 {
		return
	}
	if b.limit.budgets == nil {
		b.limit.budgets = serverBudgets{}
	}
	delete(b.limit.budgets, from)
	if answer.Budget > 0 && answer.BudgetFor > 0 {
		lasts := min(answer.BudgetFor, limit.BudgetLife)
		b.limit.budgets[from] = serverBudget{perSecond: answer.Budget, until: r.now.Add(lasts)}
	}
	r.updateServerBudget(b, "over")
}

// updateServerBudget puts the lowest of a server's budgets into force.
func (r *Router) updateServerBudget(b *backend, end string) {
	before, wasLimited := b.limit.gate.Budget(), b.limited()
	perSecond, lasts := b.limit.budgets.lowest(r.now)
	b.limit.gate.UpdateBudget(r.now, perSecond, lasts)
	r.reportBudgetChange(b, budgetReport{metricServerBudgets, "server budget"}, before, wasLimited, end)
}

// dropServerBudgets ends all budgets of servers for which the configuration or the settings
// enable none any more.
func (r *Router) dropServerBudgets() {
	for _, instance := range slices.Sorted(maps.Keys(r.backends)) {
		b := r.backends[instance]
		if len(b.limit.budgets) > 0 && r.budgetObjective(b) == 0 {
			clear(b.limit.budgets)
			r.updateServerBudget(b, "over")
		}
	}
}

// limitText describes the limit in force, for refusals.
func (r *Router) limitText(b *backend) string {
	perSecond, _ := b.limit.gate.Limit()
	verb := "has named"
	if b.limit.gate.LimitedByBudget() {
		verb = "has a budget of"
	}
	return fmt.Sprintf("%s, which %s %g a second for %v", b.Instance, verb, perSecond, r.now.Sub(b.limit.gate.KnownSince()))
}
