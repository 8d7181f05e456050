package router

import (
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fleet"
)

// This file reports the loads that servers of plain services state to the loaders that compute
// their budgets (see package serverbudget). It applies only where budgets are enabled.

const (
	// loadReportInterval is the minimum time between two reports of one server's load that
	// are sent for the load alone.
	loadReportInterval = 100 * time.Millisecond
	// maxReportedAge is the age up to which a load goes with a request for a permit: the
	// loader takes a load for the present one.
	maxReportedAge = 300 * time.Millisecond
)

// statedLoad is what is reported of the load that a server of a plain service states.
type statedLoad struct {
	// usual is the time that the last answer would have taken without waiting, at the host's
	// usual pace; 0 before the first answer. The loader averages over the reports of all
	// routers: each router gets too few answers to follow a change by itself.
	usual time.Duration
	// pending is set while the last load has not been reported. reportedAt is when one was.
	pending    bool
	reportedAt core.Time
}

// setServerBudgets determines the services whose servers get budgets: all plain services of a
// configuration in which the engines of a service do.
func (r *Router) setServerBudgets() {
	enabled := false
	for _, s := range r.services {
		enabled = enabled || s.crowding.Budget
	}
	for name, s := range r.services {
		s.budgetObjective = 0
		if enabled && r.engine(name) == nil {
			s.budgetObjective = shortestObjective(routesTo(r.config, name))
		}
	}
}

// budgetObjective returns the objective that budgets of a server keep, 0 if it gets none.
func (r *Router) budgetObjective(b *backend) time.Duration {
	if s := r.services[b.Service]; s != nil {
		return s.budgetObjective
	}
	return 0
}

// noteServerLoad processes the load in an answer.
func (r *Router) noteServerLoad(b *backend, a *attempt, answer fleet.Answer) {
	if answer.Load == nil || answer.Absent || r.budgetObjective(b) == 0 || a.incarnation.Compare(b.Incarnation) != 0 {
		return
	}
	if !answer.NotRun {
		b.stated.learn(r.now.Sub(a.at), *answer.Load)
	}
	b.stated.pending = true
	matters := answer.Load.Waiting > 0 || r.budgetIsLow(b)
	if matters && r.now.Sub(b.stated.reportedAt) >= loadReportInterval {
		r.sendLimit(b)
	}
}

// lowBudget is the part of what a server can finish below which its budget is low.
const lowBudget = 0.5

// budgetIsLow reports whether a server could finish far more than its budget allows. Then an empty
// queue is reported too: with a few requests a second hardly any load goes with a request for a
// permit, and a budget of one a second remained for a minute after the server had recovered.
func (r *Router) budgetIsLow(b *backend) bool {
	budget := b.limit.gate.Budget()
	if budget == 0 || b.stated.usual <= 0 {
		return false
	}
	return budget < lowBudget*float64(b.load.Slots)/b.stated.usual.Seconds()
}

// learn sets the usual time by the latency of an answer, which contains the waiting time at
// the load that it states.
//
// baseLatency is no substitute: it divides by slowdown, which weighs the queue four times in
// order to avoid the server, so that it falls below the time of an answer while the server is
// overloaded.
func (s *statedLoad) learn(latency time.Duration, load fleet.Load) {
	if load.Slots <= 0 {
		return
	}
	queued := 1 + float64(load.Waiting)/float64(load.Slots)
	s.usual = time.Duration(float64(latency) / queued / statedPace(load))
}

// statedPace returns the factor by which the server's host is slower than usual, 1 if it is not
// stated.
func statedPace(load fleet.Load) float64 {
	if load.HostPace <= 0 {
		return 1
	}
	return load.HostPace
}

// takeServerLoad returns the load to be reported with a message to the loader that counts for a
// server, nil if there is none. Each load is reported once. A short queue matters only while
// there is a budget.
func (r *Router) takeServerLoad(b *backend) *core.ServerLoad {
	objective := r.budgetObjective(b)
	if objective == 0 || !b.stated.pending || b.load == nil || r.now.Sub(b.loadAt) > maxReportedAge {
		return nil
	}
	if b.load.Waiting == 0 && b.limit.gate.Budget() == 0 {
		return nil
	}
	usual := b.stated.usual
	if usual == 0 {
		usual = r.baseLatency(b)
	}
	b.stated.pending, b.stated.reportedAt = false, r.now
	return &core.ServerLoad{
		Running: b.load.Running, Waiting: b.load.Waiting, Slots: b.load.Slots,
		Usual: time.Duration(float64(usual) * statedPace(*b.load)), Objective: objective,
	}
}

// hostPace is the factor by which the predicted latency of a server is increased because its
// host is slow at this moment.
func (r *Router) hostPace(b *backend) float64 {
	if b.load == nil || r.budgetObjective(b) == 0 || r.now.Sub(b.loadAt) > loadMaxAge {
		return 1
	}
	return max(1, statedPace(*b.load))
}
