package router

import (
	"fmt"
	"slices"
	"time"

	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
)

// This file applies the request-rate budgets of engines, which their loaders compute (see
// package enginebudget). A budget is enforced like a limit that the server itself names; see
// permit.go.

// budgetSpec returns the objectives that the engines of a service must keep, nil if they get no
// budget.
func (r *Router) budgetSpec(service string) *core.BudgetSpec {
	if !r.crowding(service).Budget {
		return nil
	}
	spec := &core.BudgetSpec{}
	for _, route := range streamRoutes(r.config, service) {
		spec.FirstEvent = shortest(spec.FirstEvent, route.Objective)
		spec.Pause = shortest(spec.Pause, route.PauseObjective)
	}
	return spec
}

// shortest returns the shorter of two objectives, of which 0 is none.
func shortest(a, b time.Duration) time.Duration {
	if a == 0 || b == 0 {
		return max(a, b)
	}
	return min(a, b)
}

// applyBudget applies what a loader's message states on the budget of the engine beside it. A
// message without a budget ends it. Changes of a budget in force are not logged here: the loader
// logs its start and end, and its dump shows the value.
func (r *Router) applyBudget(b *backend, from core.HostID, answer core.LimitReply) {
	if b.loader == nil {
		r.applyServerBudget(b, from, answer)
		return
	}
	if b.loader.name != from {
		return
	}
	before, wasLimited := b.limit.gate.Budget(), b.limited()
	b.limit.gate.UpdateBudget(r.now, answer.Budget, answer.BudgetFor)
	r.budgetChanged(b, before, wasLimited, "over")
}

// expireBudgets ends the budgets whose loaders have not renewed them: a loader that was killed
// or is frozen or unreachable. This router then decides by its own predictions.
func (r *Router) expireBudgets() {
	for _, b := range slices.Clone(r.limited) {
		if len(b.limit.budgets) > 0 {
			r.updateServerBudget(b, "expired")
			continue
		}
		before := b.limit.gate.Budget()
		if b.limit.gate.ExpireBudget(r.now) {
			r.budgetChanged(b, before, true, "expired")
		}
	}
}

// budgetChanged logs and counts the start or end of a budget.
func (r *Router) budgetChanged(b *backend, before float64, wasLimited bool, end string) {
	now := b.limit.gate.Budget()
	b.limit.holds.BudgetChanged(r.now, before, now)
	if (before > 0) == (now > 0) {
		return
	}
	change := end
	if now > 0 {
		change = "begun"
	}
	r.noteLimited(b, wasLimited)
	r.emit(Count{core.Count{Name: metricEngineBudgets, Labels: []string{b.Service, change}, Add: 1}})
	r.log(StateChange, "engine budget", b.attrs("born", b.Born, "change", change, "per_second", now, "before", before, "under_way", len(b.sent))...)
}

// refusal is the outcome of a permit that was refused, for the metric.
func (b *backend) refusal() string {
	if b.limit.gate.LimitedByBudget() {
		return "refused by budget"
	}
	return "refused"
}

// refuseAtBudget refuses a request that waits for room in the budget of an engine that has its
// model, if by the time there is room its objective would be missed, and reports whether it
// did. place is its place among the requests that wait.
//
// Otherwise such requests would wait until their callers cancel, several objectives later, and
// the engine would serve only requests that are late.
func (r *Router) refuseAtBudget(w *wait, req *request, place int) bool {
	b := w.home
	if req.mayHaveRun || req.route.Objective <= 0 || !b.limit.gate.LimitedByBudget() {
		return false
	}
	if hasModel, hasAdapter := r.loaded(b, w.key.model, w.key.adapter); !hasModel || !hasAdapter {
		return false
	}
	held, cause := r.heldFor(b, req)
	room := max(held, r.roomFor(b, place+1))
	if r.now.Add(room+r.estimateCost(req, b).cost) <= req.arrived.Add(req.route.Objective) {
		return false
	}
	reason := "no engine with the model has room"
	if held > 0 && cause == core.UrgentFirst {
		reason = "more urgent requests go first at the engines with the model"
	}
	r.finish(req, code.AtLimit, r.retryAfterIn(max(room, b.limit.gate.RetryAfter(r.now), quickRetryAfter)),
		fmt.Sprintf("%s; %s begins %.1f requests a second within its budget", reason, b.Instance, b.limit.gate.Budget()))
	return true
}
