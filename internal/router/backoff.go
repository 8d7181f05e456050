package router

import (
	"fmt"
	"slices"
	"time"

	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fleet"
)

// This file handles servers that turn requests away and want none from this host for some
// time. Until then they get none, whatever the request is. Afterwards they get one, and twice
// as many with each answer of those: all that waited meanwhile would overload them again.

// malformedLogInterval is the time between two log lines on malformed backoffs of one server.
const malformedLogInterval = 4 * time.Second

// backoff is the state of one server's backoff.
type backoff struct {
	// until is when the longest backoff that the server wanted ends.
	until core.Time
	// window is how many requests sent after that the server may have at once, 0 if their
	// number is not limited.
	window int
	// malformedAt is when a malformed backoff was last logged.
	malformedAt core.Time
}

// left returns the remaining time in which the server wants no requests.
func (o *backoff) left(now core.Time) time.Duration { return max(0, o.until.Sub(now)) }

// backsOff reports whether a server wants no requests, or has as many as it may get at once
// after its backoff.
func (r *Router) backsOff(b *backend) bool {
	o := &b.announced.backoff
	return r.now < o.until || o.window > 0 && b.sentSince(o.until) >= o.window
}

// sentSince counts the requests in progress at a server that were sent at the given time or
// later.
func (b *backend) sentSince(at core.Time) int {
	n := 0
	for _, a := range b.sent {
		if a.at >= at {
			n++
		}
	}
	return n
}

// startBackoff records that a server wants no requests for a period. A shorter one than what
// is left of an earlier one does not end that.
func (r *Router) startBackoff(b *backend, period time.Duration) {
	o := &b.announced.backoff
	left := o.left(r.now)
	r.countAnnounced(b, "backoff")
	if period <= left {
		return
	}
	o.until, o.window = r.now.Add(period), 1
	r.log(StateChange, "backend server wants a backoff", b.attrs("born", b.Born, "period", period.String(),
		"left_before", left.String(), "under_way", len(b.sent))...)
}

// backoffMalformed counts a malformed backoff, and logs it at most once per
// malformedLogInterval.
func (r *Router) backoffMalformed(b *backend, text string) {
	r.countAnnounced(b, "malformed")
	if o := &b.announced.backoff; o.malformedAt == 0 || r.now.Sub(o.malformedAt) >= malformedLogInterval {
		o.malformedAt = r.now
		r.log(StateChange, "backend server's backoff malformed; ignored", b.attrs("text", text)...)
	}
}

// widenWindow lets a server get twice as many requests at once after it has run one that was
// sent since its backoff ended, until it may have this router's share of its slots.
func (r *Router) widenWindow(b *backend, a *attempt, answer fleet.Answer) {
	o := &b.announced.backoff
	if o.window == 0 || answer.NotRun || a.at < o.until {
		return
	}
	o.window *= 2
	if o.window*r.routers() > b.Slots {
		o.window = 0
		r.log(StateChange, "backend server takes requests again after its backoff", b.attrs("after", r.now.Sub(o.until).String())...)
	}
	r.recheckWaitsFor(b)
}

// refuseExcluded refuses a request that no server takes now: with the time at which the first
// backoff ends, if that is why.
func (r *Router) refuseExcluded(req *request) {
	first := r.firstAfterBackoff(req)
	if req.bound && !req.mayHaveRun && first == nil {
		r.finish(req, code.ReleaseGone, r.retryAfterIn(defaultRetryAfter), "no backend server of release "+req.release.String()+" takes requests")
		return
	}
	if first == nil || req.mayHaveRun || slices.ContainsFunc(r.serversOf(req.service), r.accepts) {
		r.giveUp(req, code.NoBackend, "no backend server "+req.ofRelease()+"takes requests")
		return
	}
	reason := fmt.Sprintf("each backend server wants no requests; the first is %s, for another %v",
		first.Instance, first.announced.backoff.left(r.now))
	r.finish(req, code.BackingOff, r.backoffRetryAfter(first), reason)
}

// refuseTurnedAway refuses a request whose last attempt was turned away by a server that backs
// off. The next try of a generation may wait for its model elsewhere.
func (r *Router) refuseTurnedAway(req *request) {
	eta, ok := r.loadableIn(req)
	if req.mayHaveRun || !ok || r.now.Add(eta) >= req.firstEventDeadline {
		r.refuseExcluded(req)
		return
	}
	r.finish(req, code.BackingOff, r.retryAfterIn(quickRetryAfter), "its backend server wants no requests; its next try can wait for another")
}

// firstAfterBackoff returns the server for a request whose backoff ends first, nil if none has
// one.
func (r *Router) firstAfterBackoff(req *request) (first *backend) {
	for _, b := range r.serversOf(req.service) {
		if r.exclusion(b) == excludedBackoff && req.fits(b) && (first == nil || b.announced.backoff.until < first.announced.backoff.until) {
			first = b
		}
	}
	return first
}

// loadableIn predicts when an engine could serve a generation that is sent again. It returns
// false for other requests, or if no engine can.
func (r *Router) loadableIn(req *request) (eta time.Duration, ok bool) {
	if req.prompt == nil || r.engine(req.service) == nil {
		return 0, false
	}
	w := &wait{key: waitKey{service: req.service, modelKey: modelKey{model: req.prompt.Model}, release: req.boundRelease()}, requests: []*request{req}}
	home, eta := r.bestHome(w)
	return eta, home != nil
}

// backoffRetryAfter returns when a refused caller should retry: after the backoff of the given
// server, one of its answers later than the caller refused before, so that they don't return
// all at once.
func (r *Router) backoffRetryAfter(first *backend) time.Duration {
	answer := r.baseLatency(first)
	interval := answer * time.Duration(r.routers()) / time.Duration(max(1, first.Slots))
	return r.service(first.Service).backoffRetries.Next(r.now, max(answer, first.announced.backoff.left(r.now)), interval)
}
