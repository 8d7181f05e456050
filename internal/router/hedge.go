package router

import (
	"time"
)

// This file hedges requests whose server is silent: a second attempt is made at another server while
// the first one stays. The first answer, or the next event of a stream, goes on, and the other attempt
// is dropped.
//
// It guards against an answer that is given up for one that is not there yet: a server whose process
// waits for a processor is silent for seconds and then completes its answer, while the next server
// may refuse the request, fail or be silent too. A server that hangs still loses the request.

// hedgeOverlap is how long two servers may work on a request unless Options say otherwise. It is below
// the 400 ms after which two runs of a request at once break a rule of the platform, by a tick and a
// round trip.
const hedgeOverlap = 300 * time.Millisecond

// hedge is a second attempt of a request.
type hedge struct {
	number  int
	backend *backend
	attempt *attempt
}

// hedged returns the request whose hedge has a number, nil if there is none.
func (r *Router) hedged(key Key, number int) *request {
	req := r.requests[key]
	if req == nil || req.hedge == nil || req.hedge.number != number {
		return nil
	}
	return req
}

// stalled hedges a stream whose server has become silent, now or as soon as another server can take
// it.
func (r *Router) stalled(e Stalled) {
	req := r.current(e.Key, e.Attempt)
	if req == nil || !req.route.Repeatable() || !req.attempt.answered {
		return
	}
	req.silent = true
	r.tryHedge(req)
}

// resumed drops the hedge of a stream whose first server continues.
func (r *Router) resumed(e Resumed) {
	req := r.current(e.Key, e.Attempt)
	if req == nil {
		return
	}
	req.silent = false
	if req.hedge != nil {
		r.log(SingleRequest, "server continues; the other one is dropped", req.attrs("instance", req.backend.Instance,
			"other", req.hedge.backend.Instance)...)
		r.dropHedge(req, leftSlower)
	}
}

// tryHedge begins a second attempt of a request if there is a server for it.
func (r *Router) tryHedge(req *request) {
	if req.hedge != nil || req.sends >= req.route.MaxAttempts || !r.mayLeave(req) {
		return
	}
	if _, poison := r.poisonIn(req); poison {
		return
	}
	c := r.hedgeTarget(req)
	if c == nil || !r.endsInTime(req, c.forecast.ahead) || !r.takeRetry(req) {
		return
	}
	b := c.backend
	b.limit.gate.RecordIntent(r.now)
	b.limit.gate.RecordSent(r.now)
	// New requests avoid it from now on, whether this one stays or not.
	r.recordFailure(req.backend, NoAnswer, "no answer in time")
	req.sends++
	h := &hedge{backend: b}
	h.number, h.attempt = r.begin(req, c)
	req.hedge = h
	send := r.sendEffect(req, h.number, b, h.attempt)
	send.Hedge, send.Rest = true, req.forwarded
	r.emit(send)
	r.log(SingleRequest, "server is silent; the request is sent to another one as well", req.attrs("instance", req.backend.Instance,
		"other", b.Instance, "attempt", h.number, "sent_ago", r.now.Sub(req.attempt.at).String(), "predicted", c.forecast.first.String())...)
}

// hedgeTarget returns the server for the second attempt of a request, nil if there is none: one that
// has its model loaded, if it needs one, and that takes requests without a permit. For the rest of a
// stream its first event must be predicted within hedgeOverlap, after which it would be dropped.
func (r *Router) hedgeTarget(req *request) *choice {
	var c *choice
	if req.prompt == nil || r.engine(req.service) == nil {
		c = r.choose(req, r.withRoom(r.candidatesOf(req, r.serversOf(req.service))))
	} else {
		c = r.bestLoaded(req)
	}
	if c == nil || req.forwarded && c.forecast.first > r.opts.HedgeOverlap || c.backend.limited() || r.exclusion(c.backend) != notExcluded {
		return nil
	}
	return c
}

// hedgeAnswered handles the answer of a hedge. It reports whether the hedge is now the current
// attempt, whose answer is to be handled like any other.
func (r *Router) hedgeAnswered(req *request, e Answered) bool {
	h := req.hedge
	usable := !e.Answer.NotRun && (e.Answer.Status == statusOK || !req.forwarded && e.Answer.Status < 500)
	if !usable {
		r.hedgeRefused(req, e)
		return false
	}
	if req.bound && !req.release.Same(attemptRelease(h.backend, h.attempt)) {
		r.dropHedge(req, leftOtherRelease)
		return false
	}
	r.leaveForHedge(req)
	return true
}

// leaveForHedge abandons the first server of a request for that of its hedge.
func (r *Router) leaveForHedge(req *request) {
	b, h := req.backend, req.hedge
	r.emit(Abandon{Key: req.key, Attempt: req.number})
	r.release(req, leftSilent)
	r.log(SingleRequest, "server was silent; the request goes on at another one", req.attrs("instance", b.Instance,
		"waited", r.now.Sub(req.attempt.at).String(), "other", h.backend.Instance, "after", r.now.Sub(h.attempt.at).String(),
		"predicted", req.attempt.forecast.first.String(), "ahead", req.attempt.forecast.ahead.String())...)
	req.arrivals++
	req.mayHaveRun = true
	r.promoteHedge(req)
}

// hedgeRefused ends a hedge whose server answered with another status than that of a stream.
func (r *Router) hedgeRefused(req *request, e Answered) {
	h, end := req.hedge, endedServerError
	r.noteHead(h.backend, h.attempt, e.Answer)
	if e.Answer.NotRun {
		end = endedRefused
	} else {
		req.mayHaveRun = true
	}
	r.noteRefusal(h.backend, req, e.Answer)
	r.log(SingleRequest, "backend server refused the request", req.attrs("instance", h.backend.Instance, "attempt", h.number,
		"status", e.Answer.Status, "stays_at", req.backend.Instance)...)
	req.arrivals++
	r.endHedge(req, end)
}

// hedgeFailed ends a hedge whose attempt failed.
func (r *Router) hedgeFailed(req *request, e AttemptFailed) {
	h := req.hedge
	if e.Failure.ofServer() {
		r.recordFailure(h.backend, e.Failure, e.Cause)
	}
	r.log(SingleRequest, "attempt failed", req.attrs("instance", h.backend.Instance, "attempt", e.Attempt,
		"failure", e.Failure.String(), "cause", e.Cause, "stays_at", req.backend.Instance)...)
	r.noteConnection(h.backend, req, h.attempt, e)
	if e.Failure.sent() {
		req.arrivals++
		req.mayHaveRun = true
	} else {
		req.sends--
	}
	r.endHedge(req, e.Failure.attemptEnd())
}

// hedgeLate ends the overlap of a hedge that has not answered. If the first server has given a part of
// the answer, the request stays there: the other one has promised nothing. Otherwise neither has, and
// it goes on at the one that is not overdue.
func (r *Router) hedgeLate(req *request) {
	h := req.hedge
	if !req.forwarded {
		r.leaveForHedge(req)
		return
	}
	r.log(SingleRequest, "the other server brought no event either; the stream stays", req.attrs("instance", req.backend.Instance,
		"other", h.backend.Instance, "predicted", h.attempt.forecast.first.String())...)
	r.dropHedge(req, leftLate)
}

// promoteHedge makes the hedge the current attempt, whose server was released.
func (r *Router) promoteHedge(req *request) {
	h := req.hedge
	req.hedge, req.silent = nil, false
	req.number, req.backend, req.attempt = h.number, h.backend, h.attempt
	if req.bound {
		r.noteResumption(req, resumedAtRelease)
	}
}

// dropHedge abandons the hedge of a request, if it has one.
func (r *Router) dropHedge(req *request, end attemptEnd) {
	if req.hedge == nil {
		return
	}
	r.emit(Abandon{Key: req.key, Attempt: req.hedge.number})
	req.arrivals++
	req.mayHaveRun = true
	r.endHedge(req, end)
}

func (r *Router) endHedge(req *request, end attemptEnd) {
	h := req.hedge
	req.hedge = nil
	r.releaseAttempt(req, h.backend, h.attempt, end)
}
