package router

import (
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fleet"
)

// This file records what the copy plan needs to know of the requests for a model.

// objectiveMemory is how long after a request its objective counts for its model.
const objectiveMemory = core.RateMemory

// recentCalls describes the recent requests for a model at this router.
type recentCalls struct {
	// tokens is the moving average of the tokens that an engine has to read, sent the number
	// of requests that were sent.
	tokens float64
	sent   int
	// objective is the shortest first-event objective, of a request at objectiveAt.
	objective   time.Duration
	objectiveAt core.Time
}

// recordCall records a request that has arrived.
func (r *Router) recordCall(s *service, req *request) {
	if !s.crowding.CopyPlan || !r.declared(s.name, req.prompt.Model) {
		return
	}
	for _, calls := range s.copies.callsFor(req.prompt.Model) {
		if req.route.Objective <= calls.objective || r.now.Sub(calls.objectiveAt) > objectiveMemory {
			calls.objective, calls.objectiveAt = req.route.Objective, r.now
		}
		if calls.sent == 0 {
			calls.tokens = float64(req.prompt.Tokens)
		}
	}
}

// declared reports whether the configuration declares a model. What callers name otherwise is not
// recorded, as it has no bound.
func (r *Router) declared(service, model string) bool {
	_, known := r.model(service, model)
	return known
}

// model returns a model as the configuration in force declares it.
func (r *Router) model(service, name string) (model fleet.Model, declared bool) {
	if engine := r.engine(service); engine != nil {
		model, declared = engine.Models[name]
	}
	return model, declared
}

// recordUnread records how many tokens an engine has to read for a request that is sent.
func (r *Router) recordUnread(b *backend, req *request, unread int) {
	s := r.service(b.Service)
	if !s.crowding.CopyPlan {
		return
	}
	for _, calls := range s.copies.callsFor(req.prompt.Model) {
		calls.sent++
		calls.tokens += weight(calls.sent) * (float64(unread) - calls.tokens)
	}
}

// callsFor returns the records of a model and of all models.
func (p *copyPlanState) callsFor(model string) [2]*recentCalls {
	if p.calls == nil {
		p.calls = map[string]*recentCalls{}
	}
	var found [2]*recentCalls
	for i, name := range []string{model, ""} {
		if p.calls[name] == nil {
			p.calls[name] = &recentCalls{}
		}
		found[i] = p.calls[name]
	}
	return found
}

// tokens returns the mean number of tokens that an engine reads for a request: the model's,
// or that of all models, 0 if nothing is known.
func (p *copyPlanState) tokens(model string) int {
	for _, name := range []string{model, ""} {
		if calls := p.calls[name]; calls != nil {
			return int(calls.tokens)
		}
	}
	return 0
}

// objective returns the shortest objective of a model's recent requests, 0 if there were none.
func (p *copyPlanState) objective(now core.Time, model string) time.Duration {
	calls := p.calls[model]
	if calls == nil || now.Sub(calls.objectiveAt) > objectiveMemory {
		return 0
	}
	return calls.objective
}
