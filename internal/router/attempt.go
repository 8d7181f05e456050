package router

import (
	"slices"

	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fleet"
	"nutmeglane.example/nutmeglane/internal/framing"
)

// This file handles the outcomes of attempts: what an outcome proves, and whether the
// request goes to another server.

// current returns the request of an attempt, nil if the attempt is no longer its current
// one.
func (r *Router) current(key Key, number int) *request {
	req := r.requests[key]
	if req == nil || req.number != number || req.backend == nil {
		return nil
	}
	return req
}

// attemptOf returns an attempt of a request with its server, nil if it has ended.
func (r *Router) attemptOf(key Key, number int) (*backend, *attempt) {
	if req := r.hedged(key, number); req != nil {
		return req.hedge.backend, req.hedge.attempt
	}
	if req := r.current(key, number); req != nil {
		return req.backend, req.attempt
	}
	return nil, nil
}

func (r *Router) attemptFailed(e AttemptFailed) {
	if _, a := r.attemptOf(e.Key, e.Attempt); a != nil && e.settles() {
		r.settle(r.requests[e.Key], a)
	}
	if req := r.hedged(e.Key, e.Attempt); req != nil {
		r.hedgeFailed(req, e)
		return
	}
	req := r.current(e.Key, e.Attempt)
	if req == nil {
		return
	}
	b := req.backend
	r.release(req, e.Failure.attemptEnd())
	// Guards against ejecting a server because of this router's own connection limit: the
	// server serves its other requests, and the rest of the load would fall on fewer
	// servers.
	if e.Failure.ofServer() {
		r.recordFailure(b, e.Failure, e.Cause)
	}
	if e.End.Framing != framing.Unknown {
		r.countAnswerEnd(req.service, e.End, brokenOff)
	}
	r.log(SingleRequest, "attempt failed", req.attrs(append([]any{"instance", b.Instance, "attempt", e.Attempt,
		"failure", e.Failure.String(), "cause", e.Cause, "fingerprint", req.fingerprint.String(), "parts", partNames(req.prompt)}, e.End.logAttrs()...)...)...)
	r.noteConnection(b, req, req.attempt, e)
	if req.continuation != nil {
		r.continuationBroke(req, e)
		return
	}
	if e.End.Unresumable {
		r.giveUp(req, code.AnswerCut, "the answer broke off where no other can continue it")
		return
	}
	if !e.Failure.sent() {
		req.sends--
		r.dispatch(req)
		return
	}
	req.arrivals++
	req.mayHaveRun = true
	req.forwarded = req.forwarded && !e.NothingGiven
	if r.continueLost(req, b, e) {
		return
	}
	r.retry(req, "the attempt failed: "+e.Failure.String())
}

// retry sends a request again if it may run once more, otherwise ends it.
func (r *Router) retry(req *request, why string) {
	if req.route.Repeatable() && (!req.forwarded || req.route.Kind == fleet.Stream) {
		if req.forwarded {
			// Its caller has just received an event and waits for the next one from now on.
			req.firstEventDeadline = min(req.deadline, r.now.Add(firstEventTimeout(req.route)))
		}
		r.dispatch(req)
		return
	}
	r.giveUp(req, code.OutcomeUnknown, why)
}

func (r *Router) answered(e Answered) {
	if b, a := r.attemptOf(e.Key, e.Attempt); a != nil {
		r.settle(r.requests[e.Key], a)
		r.hasRead(b, a.at)
	}
	if req := r.hedged(e.Key, e.Attempt); req != nil && !r.hedgeAnswered(req, e) {
		return
	}
	req := r.current(e.Key, e.Attempt)
	if req == nil {
		return
	}
	b := req.backend
	r.noteHead(b, req.attempt, e.Answer)
	switch {
	case req.continuation != nil && (e.Answer.NotRun || e.Answer.Status != statusOK):
		r.answeredContinuation(req, e)
	case e.Answer.NotRun:
		r.rejected(req, e)
	case e.Answer.Status >= 500 && (req.hedge != nil || r.mayRetry(req)):
		r.release(req, endedServerError)
		b.failureRate += (1 - b.failureRate) * smoothing
		req.arrivals++
		req.mayHaveRun = true
		r.retry(req, "the server failed")
	case e.Answer.Status >= 500:
		b.failureRate += (1 - b.failureRate) * smoothing
		r.forward(req, e)
	default:
		if req.route.Kind != fleet.Stream {
			r.answerBegan(req)
		}
		r.forward(req, e)
	}
}

// noteHead processes what a server states of itself in the head of an answer to an attempt.
func (r *Router) noteHead(b *backend, a *attempt, answer fleet.Answer) {
	a.began = !answer.NotRun
	if answer.Load != nil {
		b.load, b.loadAt, b.ownAtLoad = answer.Load, r.now, len(b.sent)
		r.noteServerLoad(b, a, answer)
	}
	r.noteLimit(b, a, answer)
	r.widenWindow(b, a, answer)
}

// mayRetry reports whether another server's answer can still replace a failed one.
func (r *Router) mayRetry(req *request) bool {
	return req.route.Repeatable() && !req.forwarded && req.sends < req.route.MaxAttempts &&
		r.canServe(req)
}

// forward passes an answer on. A whole one ends its request in the same step, so that the router
// can't leave the attempt while its answer is on the way to the caller.
func (r *Router) forward(req *request, e Answered) {
	r.dropHedge(req, leftSlower)
	req.forwarded, req.mayHaveRun = true, true
	r.emit(Forward{Key: req.key, Attempt: req.number})
	if e.Whole {
		r.served(req, Done{Key: e.Key, Attempt: e.Attempt, End: e.End, Given: e.Given})
	}
}

// rejected handles a server's response that it did not run the request.
func (r *Router) rejected(req *request, e Answered) {
	b := req.backend
	r.release(req, endedRefused)
	req.arrivals++
	r.noteRefusal(b, req, e.Answer)
	r.log(SingleRequest, "backend server refused the request", req.attrs("instance", b.Instance,
		"attempt", e.Attempt, "status", e.Answer.Status, "backoff", e.Answer.Backoff.Period.String())...)
	if req.hedge != nil || req.sends < req.route.MaxAttempts {
		r.dispatch(req)
		return
	}
	if !req.mayHaveRun && r.servedElsewhere(req) {
		r.finish(req, code.NoBackend, r.retryAfterIn(quickRetryAfter), "the backend server refused it; another can serve it")
		return
	}
	if e.Answer.Backoff.State == fleet.BackoffReported {
		r.refuseTurnedAway(req)
		return
	}
	r.giveUp(req, code.NoBackend, "the backend server refused it")
}

// noteRefusal records that a server answered a request with a refusal or a failure, and what it thereby
// states not to have.
func (r *Router) noteRefusal(b *backend, req *request, answer fleet.Answer) {
	// With a backoff the server states for how long it fails; a guess from its failures
	// would outlast that.
	if answer.Backoff.State != fleet.BackoffReported {
		b.failureRate += (1 - b.failureRate) * smoothing
	}
	if answer.Absent && req.prompt != nil {
		r.forgetModel(b, req.prompt.Model)
	}
}

// forgetModel removes a model that an engine answered not to have from its registry entry. Without
// a report from the loader the entry, which is out of date, would direct the next request there too.
func (r *Router) forgetModel(b *backend, model string) {
	b.Models = slices.DeleteFunc(slices.Clone(b.Models), func(m fleet.LoadedModel) bool { return m.Name == model })
	r.reindex(b)
}

// servedElsewhere reports whether another server could serve the request immediately.
func (r *Router) servedElsewhere(req *request) bool {
	if req.prompt == nil || r.engine(req.service) == nil {
		return r.canServe(req)
	}
	return r.loadedElsewhere(req)
}

func (r *Router) firstEvent(e FirstEvent) {
	if req := r.current(e.Key, e.Attempt); req != nil && !r.leaveOtherRelease(req) {
		r.bind(req)
		if !req.attempt.answered {
			r.recordOrigin(req)
		}
		r.answerBegan(req)
	}
}

// answerBegan records the latency of an attempt at its first byte or event.
func (r *Router) answerBegan(req *request) {
	a := req.attempt
	if a.answered {
		return
	}
	a.answered = true
	latency := r.now.Sub(a.at)
	a.first = latency
	req.first = r.now.Sub(req.arrived)
	a.concurrent = r.outstanding(req.backend) - 1
	r.recordSuccess(req.backend)
	switch {
	case req.prompt == nil || r.engine(req.service) == nil:
		r.learnLatency(req.backend, latency, a.slowdown)
	case req.continuation != nil:
		// It tells nothing of the engine's speed: most of the prompt was not read.
		req.backend.queue.Started(r.now, uint64(req.key))
	default:
		r.promptBegan(req, latency)
	}
	if req.cold != "" {
		r.emit(Observe{core.Observe{Name: metricColdStart, Labels: []string{req.cold}, Value: req.first.Seconds()}})
	}
	r.emit(Observe{core.Observe{Name: metricFirstByte, Labels: []string{req.service}, Value: latency.Seconds()}})
}

func (r *Router) done(e Done) {
	req := r.current(e.Key, e.Attempt)
	if req == nil {
		return
	}
	// A stream without events has not shown yet that it fits the release that it is bound to.
	if e.End.Events > 0 || !r.leaveOtherRelease(req) {
		r.emit(Complete{Key: e.Key, Attempt: e.Attempt})
		r.served(req, e)
	}
}

// served ends a request whose caller gets a server's complete answer.
func (r *Router) served(req *request, e Done) {
	b := req.backend
	if req.prompt != nil && req.continuation == nil {
		r.service(req.service).speed.answerEnded(answer{
			model: req.model(), events: e.End.Events, pause: e.Pause,
			first: req.attempt.first, concurrent: req.attempt.concurrent,
		})
	}
	r.learnStreaming(req)
	r.lived(req)
	r.dropHedge(req, leftSlower)
	r.release(req, endedWhole)
	r.answeredWhole(req)
	r.endContinuation(req, continuedWhole)
	delete(r.requests, req.key)
	r.emit(Count{core.Count{Name: metricRequests, Labels: []string{req.service, code.OK.String()}, Add: 1}})
	r.countAnswerEnd(req.service, e.End, givenWhole)
	r.log(SingleRequest, "request served", req.attrs(append([]any{"instance", b.Instance, "release", req.attempt.release.String(), "attempts", req.numbered,
		"waited", req.waited.String(), "cold", req.cold, "predicted", req.attempt.forecast.first.String(),
		"ahead", req.attempt.forecast.ahead.String(), "first", req.first.String(), "took", r.now.Sub(req.arrived).String(),
		"given", e.Given.String()}, e.End.logAttrs()...)...)...)
}
