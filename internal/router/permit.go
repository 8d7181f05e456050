package router

import (
	"slices"
	"time"

	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/limit"
)

// This file enforces the request limits that backend servers name.
//
// An overloaded server may announce that it takes 4.7 requests a second from all routers
// together. If each of four routers follows only its own prediction, the server has less to
// do than the others and therefore looks better, so that it gets 17.5 a second, a third
// more than before it asked for less.
//
// Each request to such a server needs a permit from the loader that counts (see package
// limit): a first attempt, a retry, a resumed stream, one that has waited for its model. A
// request for which there is no room goes to another server that can serve it, waits for
// its model there or here, or is refused with the time at which there will be room. An
// engine that is at its limit counts as full in the placement of models, so that what it
// held and no longer serves is loaded elsewhere.

// permitted reports whether a request may be sent to a server now. If not, a permit was
// requested, or the request was dispatched elsewhere.
func (r *Router) permitted(req *request, b *backend, spare bool) bool {
	gate := b.limit.gate
	gate.RecordIntent(r.now)
	switch limiting := r.limitLoader(b); {
	case req.granted == b:
		req.granted = nil
		return true
	case !b.limited():
		gate.RecordSent(r.now)
		return true
	case limiting != nil && gate.NeedsPermit(r.now):
		r.requestPermit(req, b, limiting, spare)
		return false
	case gate.TakeTurn(r.now, r.sharers()):
		gate.RecordSent(r.now)
		r.countPermit(b, "own part")
		return true
	default:
		r.countPermit(b, "refused by own part")
		r.noRoom(req, b, "this router's own part")
		return false
	}
}

func (r *Router) requestPermit(req *request, b *backend, limiting *loader, spare bool) {
	r.leaveWait(req)
	req.permitServer, req.permitRequestedAt = b, r.now
	ask := r.limitMessage(b)
	ask.RequestID, ask.Spare = uint64(req.key), spare
	r.addShareFields(&ask, req)
	r.emit(SendLimitRequest{Loader: limiting.name, Request: ask})
}

// permitAnswered continues with a request whose permit was granted or refused. If the
// request has ended meanwhile, the permit remains unused.
func (r *Router) permitAnswered(b *backend, answer core.LimitReply) {
	req := r.requests[Key(answer.RequestID)]
	if req == nil || req.permitServer != b {
		r.countPermit(b, "unused")
		return
	}
	req.permitServer = nil
	switch {
	case !answer.Granted && answer.Cause.Partial():
		r.heldBack(req, b, answer)
	case !answer.Granted:
		b.limit.gate.RecordRefusal(r.now, answer.Room, answer.Spare)
		r.countPermit(b, b.refusal())
		r.noRoom(req, b, "the loader that counts")
	case !r.serves(b, req):
		r.countPermit(b, "unused")
		r.dispatch(req)
	default:
		r.countPermit(b, "granted")
		req.granted = b
		choice := r.estimateCost(req, b)
		r.send(req, &choice)
	}
}

// permitTimedOut continues with a request whose permit request was not answered: with this
// router's own share of the limit, or at another server.
func (r *Router) permitTimedOut(req *request) {
	b := req.permitServer
	req.permitServer = nil
	b.limit.gate.RecordTimeout(r.now)
	b.limit.holds.Clear()
	r.countPermit(b, "unanswered")
	r.log(SingleRequest, "permit request not answered in time by the loader", req.attrs("instance", b.Instance)...)
	r.dispatch(req)
}

// noRoom dispatches a request again for which a server has no room.
func (r *Router) noRoom(req *request, b *backend, refusedBy string) {
	perSecond, _ := b.limit.gate.Limit()
	r.log(SingleRequest, "backend server has no room for the request", req.attrs("instance", b.Instance, "per_second", perSecond,
		"known_for", r.now.Sub(b.limit.gate.KnownSince()).String(), "refused_by", refusedBy,
		"room_in", b.limit.gate.Delay(r.now, true).String())...)
	r.dispatch(req)
}

// serves reports whether a server takes requests and has what this one needs loaded.
func (r *Router) serves(b *backend, req *request) bool {
	if !r.accepts(b) || !req.fits(b) {
		return false
	}
	if req.prompt == nil || r.engine(b.Service) == nil {
		return true
	}
	return r.hasLoaded(b, req)
}

// hasLoaded reports whether an engine has a request's model and adapter loaded.
func (r *Router) hasLoaded(b *backend, req *request) bool {
	hasModel, hasAdapter := r.loaded(b, req.prompt.Model, req.prompt.Adapter)
	return hasModel && hasAdapter
}

// hasRoom reports whether a server may take a request that no other server can serve.
func (r *Router) hasRoom(b *backend) bool {
	return len(r.limited) == 0 || b.limit.gate.Delay(r.now, false) == 0
}

// withRoom removes from several servers those that have room only for requests that no
// other server can serve. If the limit of one of them must be confirmed, it returns that
// server alone.
func (r *Router) withRoom(servers []*backend) []*backend {
	if len(r.limited) == 0 || len(servers) < 2 {
		return servers
	}
	if i := slices.IndexFunc(servers, func(b *backend) bool { return b.limit.gate.Unconfirmed(r.now) }); i >= 0 {
		return servers[i : i+1]
	}
	full := func(b *backend) bool { return !r.hasSpareRoom(b) }
	if spare := slices.DeleteFunc(slices.Clone(servers), full); len(spare) > 0 {
		return spare
	}
	return servers
}

// hasSpareRoom reports whether a server may take a request that another server could serve.
func (r *Router) hasSpareRoom(b *backend) bool {
	return len(r.limited) == 0 || b.limit.gate.Delay(r.now, true) == 0
}

// canServe reports whether any server can take the request now.
func (r *Router) canServe(req *request) bool {
	return slices.ContainsFunc(r.serversOf(req.service), func(b *backend) bool { return r.eligible(b, req) && r.hasRoomFor(b, req) })
}

// refuseAtLimit refuses a request for which no server of a plain service has room, with the
// time at which the first server will have room.
func (r *Router) refuseAtLimit(req *request) {
	var first *backend
	room := time.Duration(0)
	for _, b := range r.serversOf(req.service) {
		in := b.limit.gate.Delay(r.now, false)
		if r.eligible(b, req) && (first == nil || in < room) {
			first, room = b, in
		}
	}
	if first == nil || req.mayHaveRun {
		r.giveUp(req, code.AtLimit, "no server has room within its limit")
		return
	}
	r.finish(req, code.AtLimit, r.retryAfterIn(first.limit.gate.RetryAfter(r.now)), "no server has room within its limit; the first is "+r.limitText(first))
}

// roomFor is how long the last of the given number of requests waits for its permit at a
// server.
func (r *Router) roomFor(b *backend, waiting int) time.Duration {
	perSecond, named := b.limit.gate.Limit()
	if !named {
		return 0
	}
	queue := float64(max(0, waiting-1)) / max(limit.MinPerSecond, perSecond)
	return b.limit.gate.Delay(r.now, false) + time.Duration(queue*float64(time.Second))
}

// limitTooLow reports whether an engine's limit is below the rate at which its models are
// called there.
func (r *Router) limitTooLow(b *backend) bool {
	perSecond, named := b.limit.gate.Limit()
	if !named {
		return false
	}
	held := r.holdings(b)
	if held == nil {
		return true
	}
	called := 0.0
	for _, m := range held.Models {
		called += m.Rate / float64(max(1, len(r.holders(b.Service, m.Name))))
	}
	return perSecond < called
}

func (r *Router) countPermit(b *backend, outcome string) {
	r.emit(Count{core.Count{Name: metricLimitPermits, Labels: []string{b.Service, outcome}, Add: 1}})
}
