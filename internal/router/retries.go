package router

import (
	"log/slog"
	"maps"
	"slices"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fleet"
	"nutmeglane.example/nutmeglane/internal/retrybudget"
)

// This file applies this router's part of the budgets of retries.

// Outcomes of retries in metrics.
const (
	retrySent    = "sent"
	retryRefused = "refused"
)

// retryPartLogInterval is the minimum time between two log lines on this router's part of the
// budgets.
const retryPartLogInterval = time.Second

// retryPart is this router's part of the budgets as last logged.
type retryPart struct {
	slack    float64
	routers  int
	loggedAt core.Time
}

// takeRetry takes a retry for a request from its service's budget, or returns false if none is left.
func (r *Router) takeRetry(req *request) bool {
	s := r.service(req.service)
	outcome := retrySent
	taken := req.retries.Take(s.budget, r.now, r.retrySlack())
	if !taken {
		outcome = retryRefused
	}
	s.retries.count(taken)
	r.emit(Count{core.Count{Name: metricRetries, Labels: []string{req.service, outcome}, Add: 1}})
	return taken
}

// hasRetry reports whether takeRetry would succeed.
func (r *Router) hasRetry(service string) bool {
	return r.service(service).budget.Has(r.now, r.retrySlack())
}

// retrySlack is this router's part of the retries that are allowed beside the ratio.
func (r *Router) retrySlack() float64 { return r.retryShare.Part(r.now, r.opts.Bounds.RetrySlack) }

// maxNewsWindows is the age, as a part of the window of the retry budgets, up to which a loader's
// last report shows contact.
const maxNewsWindows = 0.3

// updateRetryShare updates what this router's part follows from.
func (r *Router) updateRetryShare() {
	maxAge := min(holdingsMaxAge, time.Duration(maxNewsWindows*float64(r.opts.Bounds.RetryWindow)))
	var contact retrybudget.Contact
	for _, l := range r.sortedLoaders() {
		if r.engineAt(l) == nil {
			continue
		}
		contact.Listed++
		if l.holdings == nil {
			continue
		}
		contact.Routers = max(contact.Routers, core.MaxRouters(l.holdings.Routers))
		if l.up && r.now.Sub(l.lastMessageAt) <= maxAge {
			contact.Reached++
		}
	}
	r.retryShare.Update(r.now, contact)
	r.logRetryPart()
}

func (r *Router) newRetryShare(b fleet.Bounds) *retrybudget.Share {
	return retrybudget.NewShare(r.now, b.RetryWindow, b.RetryRouters)
}

// retryBounds returns the bounds of the budgets of retries.
func retryBounds(b fleet.Bounds) retrybudget.Bounds {
	return retrybudget.Bounds{Window: b.RetryWindow, Ratio: b.RetryRatio, Slack: b.RetrySlack}
}

// setRetryBounds sets the bounds of all budgets. With another window all begin anew.
func (r *Router) setRetryBounds(b fleet.Bounds) {
	if r.retryShare != nil {
		r.retryShare.Set(r.now, b.RetryWindow, b.RetryRouters)
	}
	for _, s := range r.services {
		s.budget.SetBounds(retryBounds(b))
	}
}

// logRetryPart logs changes of this router's part of the budgets.
func (r *Router) logRetryPart() {
	p := &r.retryPart
	slack, routers := r.retrySlack(), r.retryShare.Routers(r.now)
	if slack == p.slack && routers == p.routers || p.loggedAt != 0 && r.now.Sub(p.loggedAt) < retryPartLogInterval {
		return
	}
	r.log(StateChange, "part of the retry budget changed", slog.Float64("slack_part", slack), slog.Float64("slack_part_before", p.slack),
		slog.Int("routers", routers), slog.Int("routers_before", p.routers), slog.String("running_for", r.runningFor().String()))
	*p = retryPart{slack: slack, routers: routers, loggedAt: r.now}
}

// runningFor is the time since this process's first step.
func (r *Router) runningFor() time.Duration { return r.now.Sub(r.startedAt) }

// retryCounts are the retries to a service since this process started.
type retryCounts struct{ sent, refused int }

func (c *retryCounts) count(taken bool) {
	if taken {
		c.sent++
		return
	}
	c.refused++
}

// RetryBudgetState is the dump of this router's part of a service's budget of retries.
type RetryBudgetState struct {
	Service string
	retrybudget.State
	// Sent and Refused are the retries since this process started, RunningFor ago.
	Sent, Refused int
	RunningFor    time.Duration
	// SlackPart is this router's part of the retries that are allowed beside the ratio, 0 while it
	// may not use it. Routers is the number of routers that the part follows from, 0 if unknown.
	SlackPart float64
	Routers   int
}

// RetryBudgets returns this router's parts of the budgets of retries, sorted by service. It must
// not be called during a step.
func (r *Router) RetryBudgets() []RetryBudgetState {
	var states []RetryBudgetState
	for _, name := range slices.Sorted(maps.Keys(r.services)) {
		s := r.services[name]
		states = append(states, RetryBudgetState{
			Service: name, State: s.budget.Dump(r.now), Sent: s.retries.sent, Refused: s.retries.refused,
			RunningFor: r.runningFor(), SlackPart: r.retrySlack(), Routers: r.retryShare.Routers(r.now),
		})
	}
	return states
}
