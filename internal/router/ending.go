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

// This file ends requests: with a refusal, a failure, at the caller's leaving,
// at their time limit; and moves those whose server is silent.

func (r *Router) gone(key Key) {
	req := r.requests[key]
	if req == nil {
		r.leftWhileHeld(key)
		return
	}
	attrs := req.leftAttrs(r.now)
	if req.backend != nil {
		r.emit(Abandon{Key: key, Attempt: req.number})
	}
	r.release(req)
	r.leaveWait(req)
	if req.sends == 0 {
		r.giveBack(req)
	}
	r.leaveQuota(req)
	delete(r.requests, key)
	r.emit(Count{core.Count{Name: metricRequests, Labels: []string{req.service, code.Cancelled.String()}, Add: 1}})
	r.log(OneRequest, "caller left", attrs...)
}

// leftAttrs tell why a caller may have left: where its request was, for how long,
// and what had been predicted.
func (req *request) leftAttrs(now core.Time) []slog.Attr {
	more := []any{"forwarded", req.forwarded, "took", now.Sub(req.arrived).String(), "attempts", req.number, "first", req.first.String()}
	if req.backend != nil {
		more = append(more, "instance", req.backend.Instance, "sent_ago", now.Sub(req.attempt.at).String(),
			"predicted", req.attempt.forecast.first.String(), "ahead", req.attempt.forecast.ahead.String())
	}
	return req.attrs(more...)
}

// giveUp ends a request that can't be served. Whether the answer promises that
// it did not run follows from what its servers proved, not from the reason.
func (r *Router) giveUp(req *request, why code.Code, reason string) {
	switch {
	case req.forwarded:
		r.finish(req, code.AnswerCut, 0, reason)
	case req.mayHaveRun && r.now >= req.limit:
		r.finish(req, code.TimedOut, 0, reason)
	case req.mayHaveRun:
		r.finish(req, code.OutcomeUnknown, 0, reason)
	default:
		r.finish(req, why, r.returnIn(unknownReturn), reason)
	}
}

// returnIn spreads a Retry-After over returnSpread more.
func (r *Router) returnIn(base time.Duration) time.Duration {
	return base + time.Duration(r.rand.Float64()*returnSpread*float64(base))
}

func (r *Router) finish(req *request, c code.Code, retryAfter time.Duration, reason string) {
	r.leaveWait(req)
	r.release(req)
	if c.NotRun() {
		r.giveBack(req)
	}
	r.leaveQuota(req)
	delete(r.requests, req.key)
	r.emit(Finish{Key: req.key, Code: c, RetryAfter: retryAfter, Reason: reason})
	r.emit(Count{core.Count{Name: metricRequests, Labels: []string{req.service, c.String()}, Add: 1}})
	r.log(OneRequest, "request ended without a server's answer", req.attrs("code", int(c), "name", c.String(),
		"reason", reason, "retry_after", retryAfter.String(), "took", r.now.Sub(req.arrived).String())...)
}

// checkRequests ends requests whose time is over and tries those elsewhere
// that wait for an answer for too long.
func (r *Router) checkRequests() {
	for _, key := range slices.Sorted(maps.Keys(r.requests)) {
		req := r.requests[key]
		if req == nil {
			continue // the end of an earlier one has ended it
		}
		switch {
		case r.now >= r.stopAt:
			r.cutAtStop(req)
		case req.backend == nil && !r.endsInTime(req, 0):
			r.refuseAtStop(req)
		case req.asking != nil && r.now.Sub(req.askedAt) >= limit.PermitTimeout:
			r.permitLate(req)
		case req.asksQuota && r.now >= req.firstBy:
			r.giveUp(req, code.DeadlineUnmet, "no loader told in time whether its account has room")
		case req.backend == nil && r.now >= req.firstBy:
			r.giveUp(req, code.DeadlineUnmet, "its model was not loaded in time")
		case req.backend != nil && r.now >= req.limit.Add(answerSlack):
			r.timeOut(req)
		case req.backend != nil && r.overdue(req):
			r.hedge(req)
		}
	}
}

func (r *Router) timeOut(req *request) {
	if !req.attempt.answered {
		r.failed(req.backend, NoAnswer, "time is over")
	}
	req.mayHaveRun = true
	r.emit(Abandon{Key: req.key, Attempt: req.number})
	r.giveUp(req, code.TimedOut, "the time is over")
}

// overdue tells that an idempotent request should be tried elsewhere.
func (r *Router) overdue(req *request) bool {
	if req.attempt.answered || !r.mayRepeat(req) {
		return false
	}
	wait := r.now.Sub(req.attempt.at)
	if req.prompt != nil && r.engine(req.service) != nil {
		return r.promptOverdue(req, wait)
	}
	patience := max(suspectAfter*r.usual(req.backend), time.Duration(hedgeObjective*float64(req.route.Objective)))
	return wait >= patience && r.servedElsewhere(req)
}

// promptOverdue tells that a generation should be moved from an engine that has
// made no event of it.
//
// It guards against an engine that hangs, and against the opposite: a prompt
// taken from a crowded engine is read once more by another, which is crowded the
// next moment. So a prompt is moved when its engine, by its own word, reads
// nothing, or says nothing; and from one that reads only once it is late by several
// times what another engine is predicted to take.
func (r *Router) promptOverdue(req *request, wait time.Duration) bool {
	b, predicted := req.backend, req.attempt.forecast.first
	patience := max(lateAfter*predicted, time.Duration(hedgeObjective*float64(req.route.Objective)))
	if wait < patience {
		return false
	}
	best := r.bestLoaded(req)
	if best == nil {
		return false
	}
	held := r.holdings(b)
	if held == nil || held.Draining || held.Unread == 0 && b.loader.countedAt.Sub(req.attempt.at) > reportDelay {
		return true
	}
	return wait-predicted > moveLate*best.cost
}

// bestLoaded returns the best other engine that has the request's model loaded,
// nil if there is none.
func (r *Router) bestLoaded(req *request) *choice {
	both, _ := r.holdersFor(req)
	return r.choose(req, both)
}

// loadedElsewhere tells whether another server has the request's model.
func (r *Router) loadedElsewhere(req *request) bool {
	return r.bestLoaded(req) != nil
}

// stalled moves a stream whose server has gone silent to another server that
// has its model loaded. Without one it goes on waiting: a server under load may
// be silent for seconds and still end the answer.
func (r *Router) stalled(e Stalled) {
	req := r.current(e.Key, e.Attempt)
	if req == nil || !req.route.Repeatable() || req.sends >= req.route.MaxAttempts || !r.loadedElsewhere(req) {
		return
	}
	r.hedge(req)
}

// hedge gives the current attempt up and tries another server.
func (r *Router) hedge(req *request) {
	b := req.backend
	r.emit(Abandon{Key: req.key, Attempt: req.number})
	r.release(req)
	r.failed(b, NoAnswer, "no answer in time")
	r.log(OneRequest, "no answer in time; trying another server", req.attrs("instance", b.Instance,
		"waited", r.now.Sub(req.attempt.at).String(), "predicted", req.attempt.forecast.first.String(),
		"ahead", req.attempt.forecast.ahead.String())...)
	req.arrivals++
	req.mayHaveRun = true
	r.dispatch(req)
}
