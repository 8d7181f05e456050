package router

import (
	"fmt"
	"slices"

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
	streams := streamRoutes(r.config, service)
	spec := &core.BudgetSpec{FirstEvent: shortestObjective(streams)}
	for _, route := range streams {
		spec.Pause = shortest(spec.Pause, route.PauseObjective)
	}
	return spec
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

// budgetChanged adapts the holds to a change of an engine's budget, and reports its start or end.
func (r *Router) budgetChanged(b *backend, before float64, wasLimited bool, end string) {
	b.limit.holds.BudgetChanged(r.now, before, b.limit.gate.Budget())
	r.reportBudgetChange(b, budgetReport{metricEngineBudgets, "engine budget"}, before, wasLimited, end)
}

// budgetReport is how the start and end of a kind of budget are reported.
type budgetReport struct {
	metric  core.Counter
	message string
}

// reportBudgetChange logs and counts the start or end of a budget, with end as the reason of an
// end. It does nothing if a budget was in force before and still is, or neither.
func (r *Router) reportBudgetChange(b *backend, report budgetReport, before float64, wasLimited bool, end string) {
	now := b.limit.gate.Budget()
	if (before > 0) == (now > 0) {
		return
	}
	change := end
	if now > 0 {
		change = "begun"
	}
	r.noteLimited(b, wasLimited)
	r.emit(Count{core.Count{Name: report.metric, Labels: []string{b.Service, change}, Add: 1}})
	r.log(StateChange, report.message, b.attrs("born", b.Born, "change", change, "per_second", now, "before", before, "under_way", len(b.sent))...)
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
