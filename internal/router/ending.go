package router

import (
	"log/slog"
	"maps"
	"slices"
	"time"

	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/limit"
)

// This file ends requests: with a refusal, with a failure, when the caller cancels, and at
// their deadline. It also decides which requests are overdue at their server.

func (r *Router) callerLeft(key Key) {
	req := r.requests[key]
	if req == nil {
		r.dropHeld(key)
		return
	}
	stage, mayHaveRun, attrs := req.stage(), req.mayHaveRun || req.backend != nil, req.cancelAttrs(r.now)
	if req.backend != nil {
		r.emit(Abandon{Key: key, Attempt: req.number})
	}
	r.dropHedge(req, leftByCaller)
	r.release(req, leftByCaller)
	r.leaveWait(req)
	if req.sends == 0 {
		r.refundQuota(req)
	}
	r.leaveQuota(req)
	r.endContinuation(req, callerLeftIt)
	delete(r.requests, key)
	r.emit(Count{core.Count{Name: metricRequests, Labels: []string{req.service, code.Cancelled.String()}, Add: 1}})
	if mayHaveRun {
		r.countIncomplete(req, code.Cancelled)
	}
	r.logUnserved(req, "caller left", append(attrs, attrPairs(r.endAttrs(req, stage))...))
}

// cancelAttrs are log attributes that show why a caller may have cancelled: where its request
// was, for how long, and what had been predicted.
func (req *request) cancelAttrs(now core.Time) []slog.Attr {
	more := []any{"forwarded", req.forwarded, "took", now.Sub(req.arrived).String(), "attempts", req.numbered, "first", req.first.String()}
	if req.backend != nil {
		more = append(more, "instance", req.backend.Instance, "sent_ago", now.Sub(req.attempt.at).String(),
			"predicted", req.attempt.forecast.first.String(), "ahead", req.attempt.forecast.ahead.String())
	}
	return req.attrs(more...)
}

// giveUp ends a request that can't be served. Whether the answer promises that the request
// did not run depends on what its servers proved, not on the reason.
func (r *Router) giveUp(req *request, why code.Code, reason string) {
	switch {
	case req.forwarded:
		r.finish(req, code.AnswerCut, 0, reason)
	case req.mayHaveRun && r.now >= req.deadline:
		r.finish(req, code.TimedOut, 0, reason)
	case req.mayHaveRun:
		r.finish(req, code.OutcomeUnknown, 0, reason)
	default:
		r.finish(req, why, r.retryAfterIn(defaultRetryAfter), reason)
	}
}

// refuse ends a request that is not sent, or not again. Its caller is asked to come back after some
// time if no server may have run it.
func (r *Router) refuse(req *request, why code.Code, retryAfter time.Duration, reason string) {
	if req.mayHaveRun {
		r.giveUp(req, why, reason)
		return
	}
	r.finish(req, why, r.retryAfterIn(retryAfter), reason)
}

// retryAfterIn adds a random part of up to retryAfterSpread to a Retry-After.
func (r *Router) retryAfterIn(base time.Duration) time.Duration {
	return base + time.Duration(r.rand.Float64()*retryAfterSpread*float64(base))
}

func (r *Router) finish(req *request, c code.Code, retryAfter time.Duration, reason string) {
	stage := req.stage()
	r.leaveWait(req)
	r.dropHedge(req, leftByRouter)
	r.release(req, leftByRouter)
	if c.NotRun() {
		r.refundQuota(req)
	}
	r.leaveQuota(req)
	r.endContinuation(req, continuationEnded)
	delete(r.requests, req.key)
	r.emit(Finish{Key: req.key, Code: c, RetryAfter: retryAfter, Reason: reason})
	r.emit(Count{core.Count{Name: metricRequests, Labels: []string{req.service, c.String()}, Add: 1}})
	if req.mayHaveRun {
		r.countIncomplete(req, c)
	}
	r.logUnserved(req, "request ended without a server's answer", req.attrs(append([]any{"code", int(c), "name", c.String(),
		"reason", reason, "retry_after", retryAfter.String(), "took", r.now.Sub(req.arrived).String()}, r.endAttrs(req, stage)...)...))
}

// checkRequests ends requests whose deadline has passed and hedges those that have waited too
// long for an answer.
func (r *Router) checkRequests() {
	for _, key := range slices.Sorted(maps.Keys(r.requests)) {
		req := r.requests[key]
		if req == nil {
			continue // it ended as a consequence of an earlier one in this loop
		}
		r.checkLived(req)
		switch {
		case r.now >= r.stopAt:
			r.endAtStop(req)
		case req.backend == nil && !r.endsInTime(req, 0):
			r.refuseAtStop(req)
		case req.permitServer != nil && r.now.Sub(req.permitRequestedAt) >= limit.PermitTimeout:
			r.permitTimedOut(req)
		case req.origin.awaitsLoaders && r.now < req.firstEventDeadline:
			r.askOrigin(req)
		case req.origin.awaitsRegistry:
			r.checkRegistryWait(req)
		case r.originOverdue(req):
			r.decideUnknownOrigin(req, originUnanswered)
		case req.continuationPending():
			r.sendContinuation(req)
		case req.awaitingQuota && r.now >= req.firstEventDeadline:
			r.giveUp(req, code.DeadlineUnmet, "no loader told in time whether its account has room")
		case req.backend == nil && r.now >= req.firstEventDeadline:
			r.giveUp(req, code.DeadlineUnmet, "its model was not loaded in time")
		case req.backend != nil && r.now >= req.deadline.Add(answerSlack):
			r.timeOut(req)
		case req.backend != nil && r.runEnded(req):
			r.leaveEnded(req)
		case req.hedge != nil && r.now.Sub(req.hedge.attempt.at) >= r.opts.HedgeOverlap:
			r.hedgeLate(req)
		case req.backend != nil && (req.silent || r.overdue(req)):
			r.tryHedge(req)
		}
	}
}

func (r *Router) timeOut(req *request) {
	if !req.attempt.answered {
		r.recordFailure(req.backend, NoAnswer, "time is over")
	}
	req.mayHaveRun = true
	r.emit(Abandon{Key: req.key, Attempt: req.number})
	r.giveUp(req, code.TimedOut, "the time is over")
}

// overdue reports whether an idempotent request should be tried on another server as well.
func (r *Router) overdue(req *request) bool {
	if req.attempt.answered || !r.mayRetry(req) || !r.mayLeave(req) {
		return false
	}
	wait := r.now.Sub(req.attempt.at)
	if req.prompt != nil && r.engine(req.service) != nil {
		return r.promptOverdue(req, wait)
	}
	threshold := max(suspectAfter*r.baseLatency(req.backend), time.Duration(hedgeFraction*float64(req.route.Objective)))
	return wait >= threshold && r.servedElsewhere(req)
}

// mayLeave reports whether a request whose server only is silent may be sent to another one.
func (r *Router) mayLeave(req *request) bool {
	return r.hasRetry(req.service) && r.endsInTime(req, 0)
}

// promptOverdue reports whether a generation should be moved from an engine that has not
// made any event of it.
//
// It guards against an engine that hangs, and against the opposite: a prompt taken from a
// crowded engine is read once more by another, which then becomes crowded. Therefore a
// prompt is moved if its engine, according to its loader, reads nothing or does not report;
// from an engine that reads it is moved only once it is late by several times the predicted
// cost at another engine.
func (r *Router) promptOverdue(req *request, wait time.Duration) bool {
	b, predicted := req.backend, req.attempt.forecast.first
	threshold := max(lateAfter*predicted, time.Duration(hedgeFraction*float64(req.route.Objective)))
	if wait < threshold {
		return false
	}
	best := r.bestLoaded(req)
	if best == nil || best.backend.limit.gate.Budget() > 0 {
		return false // a permit may be refused there, and the request would have no engine left
	}
	held := r.holdings(b)
	if held == nil || held.Draining || held.Unread == 0 && b.loader.countedAt.Sub(req.attempt.at) > reportDelay {
		return true
	}
	return wait-predicted > moveLate*best.cost
}

// bestLoaded returns the best other engine that has the request's model loaded, nil if
// there is none.
func (r *Router) bestLoaded(req *request) *choice {
	holders, _ := r.holdersFor(req)
	return r.choose(req, holders)
}

// loadedElsewhere reports whether another server has the request's model loaded.
func (r *Router) loadedElsewhere(req *request) bool {
	return r.bestLoaded(req) != nil
}
