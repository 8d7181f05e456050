package router

import (
	"time"

	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fleet"
)

// This file ends requests that a stopping process can't answer completely.

// stopMargin is how many times its usual duration an answer of a plain service must have
// left before the process ends. A request that is refused is served by another host at
// once; one that is cut midway has run, or may have.
const stopMargin = 2

const (
	// stopSettle is the time from the signal to stop until the load balancer has removed the host.
	stopSettle = 2500 * time.Millisecond
	// stopPause is what an answer to a request that arrives after stopSettle must have left beside its
	// expected time: the pause of a server after which a hedge has brought the next event. Such a
	// request was read late, as on a busy host, and another host serves it at once.
	stopPause = 2 * time.Second
)

// stop begins the shutdown of the process, by the end of which each request must have its
// answer.
func (r *Router) stop(e Stopping) {
	r.stopAt, r.stoppingSince = e.Until, r.now.Add(-e.Late)
	r.gate.SetLeaving()
	r.checkRequests()
	r.recheckAllWaits()
}

// endsInTime reports whether an answer that a server begins after the given time can be
// expected to be complete before the process ends.
func (r *Router) endsInTime(req *request, after time.Duration) bool {
	return r.stopAt == core.Never || r.now.Add(after+r.answerWithin(req)+r.stopReserve(req)) <= r.stopAt
}

// stopReserve returns the time that the answer to a request must have left beside its expected time
// before a stopping process ends.
func (r *Router) stopReserve(req *request) time.Duration {
	if req.number > 0 || r.stoppingSince == 0 || req.arrived.Sub(r.stoppingSince) < stopSettle {
		return 0
	}
	return stopPause
}

// answerWithin returns the time in which the complete answer can be expected once a server
// begins, for a generation in 99 of 100 cases.
func (r *Router) answerWithin(req *request) time.Duration {
	s := r.service(req.service)
	if req.prompt == nil || r.engine(req.service) == nil {
		within := max(req.route.Objective, stopMargin*s.latency)
		if req.route.Kind == fleet.Stream {
			within += stopMargin * s.streaming
		}
		return within
	}
	generating := s.speed.generating(req.prompt.Model)
	if generating == 0 {
		return req.route.Objective
	}
	generating = time.Duration(s.speed.tail * float64(generating))
	return s.work.BaseLatency() + s.work.ReadTime(req.prompt.Model, req.prompt.Tokens) + generating
}

// refuseAtStop ends a request whose answer would not be complete in time. Other hosts serve
// it at once.
func (r *Router) refuseAtStop(req *request) {
	r.refuse(req, code.Draining, quickRetryAfter, "its answer would not be whole before the process stops")
}

// endAtStop answers a request that remains when the process ends. Without an answer its
// caller would see the connection close, and could not know that a request that only waited
// can be sent again.
func (r *Router) endAtStop(req *request) {
	if req.backend != nil {
		req.mayHaveRun = true
		r.emit(Abandon{Key: req.key, Attempt: req.number})
	}
	r.refuseAtStop(req)
}
