package router

import (
	"time"

	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
)

// This file ends what a stopping process can no longer answer whole.

// stopMargin is how many times its usual time an answer of a plain service must have left
// before the process ends. A request that is refused is served by another host at once; one
// that is cut midway has run, or may have.
const stopMargin = 2

// stop begins the end of the process, by which each request must have its answer.
func (r *Router) stop(until core.Time) {
	r.stopAt = until
	r.gate.Leave()
	r.checkRequests()
	r.pumpAll()
}

// endsInTime tells whether an answer that a server begins after so long can be expected to
// be whole before the process ends.
func (r *Router) endsInTime(req *request, after time.Duration) bool {
	return r.stopAt == core.Never || r.now.Add(after+r.answerWithin(req)) <= r.stopAt
}

// answerWithin is the time in which the whole answer can be expected once a server begins,
// in 99 of 100 cases of a generation.
func (r *Router) answerWithin(req *request) time.Duration {
	s := r.service(req.service)
	if req.prompt == nil || r.engine(req.service) == nil {
		return max(req.route.Objective, stopMargin*s.latency)
	}
	generating := s.speed.generating(req.prompt.Model)
	if generating == 0 {
		return req.route.Objective
	}
	generating = time.Duration(s.speed.tail * float64(generating))
	return s.work.BaseLatency() + s.work.ReadTime(req.prompt.Model, req.prompt.Tokens) + generating
}

// refuseAtStop ends a request whose answer would not be whole in time. Other hosts take it
// at once.
func (r *Router) refuseAtStop(req *request) {
	const reason = "its answer would not be whole before the process stops"
	if req.mayHaveRun {
		r.giveUp(req, code.Draining, reason)
		return
	}
	r.finish(req, code.Draining, r.returnIn(quickReturn), reason)
}

// cutAtStop answers a request that is left when the process ends. Without an
// answer its caller would see the connection close, and would not know that a
// request which only waited can be sent again.
func (r *Router) cutAtStop(req *request) {
	if req.backend != nil {
		req.mayHaveRun = true
		r.emit(Abandon{Key: req.key, Attempt: req.number})
	}
	r.refuseAtStop(req)
}
