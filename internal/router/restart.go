package router

import (
	"maps"
	"slices"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fleet"
	"nutmeglane.example/nutmeglane/internal/work"
)

// This file handles a backend server that starts again under the instance that it
// had. The registry, its loader and its answers go on as if nothing had happened,
// but it holds nothing, and what was there is lost.

// life is the life of the engine that the loader speaks of.
func (l *loader) life() fleet.Incarnation {
	if l.holdings == nil {
		return fleet.Incarnation{}
	}
	return fleet.Incarnation{Instance: l.holdings.Instance, Born: l.holdings.Born}
}

// newLife takes in that a server may have begun another life, in which it was
// born. It reports false for a word of an earlier one, which says nothing of what
// is there now.
func (r *Router) newLife(b *backend, life fleet.Incarnation) bool {
	switch order := life.Compare(b.Incarnation); {
	case order < 0:
		return false
	case order > 0:
		r.startedAgain(b, life)
	case b.Born == 0:
		b.Born = life.Born
	}
	return true
}

// startedAgain drops all that was known of a server's earlier life in one step.
//
// It guards against a server that crashed and is back before anyone missed it: its
// engine seemed to hold models, prompts and a queue that are gone, so that callers
// were sent there to be refused, or waited for answers that nobody was at work on.
func (r *Router) startedAgain(b *backend, life fleet.Incarnation) {
	r.log(StateChange, "backend server started again", b.attrs("born", life.Born, "born_before", b.Born, "requests", len(b.sent))...)
	alive := b.aliveAt
	r.serverEnded(b, "it started again")
	b.lost, b.endedAt = nil, 0
	b.Born, b.Models, b.Draining, b.SlowFor = life.Born, nil, false, 0
	b.queue, b.cache, b.pace = work.Queue{}, work.NewCache(r.kvTokens(b.Service)), 1
	b.latency, b.load = 0, nil
	r.dropLimit(b)
	b.failing, b.failures, b.ejectedUntil = 0, 0, 0
	b.foundAt, b.aliveAt = r.now, r.now
	r.reindex(b)
	if b.loader != nil {
		r.forgetLoads(b.Service, b.loader)
	}
	r.emit(Reconnect{Address: b.Address})
	for _, key := range slices.Sorted(maps.Keys(b.sent)) {
		r.lostAtRestart(key, b, alive)
	}
}

// forgetLoads drops the permits and planned loads of an engine.
func (r *Router) forgetLoads(service string, l *loader) {
	s := r.service(service)
	ofLoader := func(key grantKey) bool { return key.loader == l.name }
	maps.DeleteFunc(s.store.granted, func(key grantKey, _ core.Time) bool { return ofLoader(key) })
	maps.DeleteFunc(s.store.planned, func(key grantKey, _ plannedLoad) bool { return ofLoader(key) })
	l.dirty = true
}

// lostAtRestart treats a request that waited for an answer of the earlier life as
// at a crash. One that was sent after the last word of that life may be with the
// new one, and one whose answer has begun breaks off by itself: their connections
// tell.
func (r *Router) lostAtRestart(key Key, b *backend, alive core.Time) {
	req := r.requests[key]
	if req == nil || req.backend != b || req.attempt.answered || req.attempt.at > alive {
		return
	}
	r.emit(Abandon{Key: key, Attempt: req.number})
	r.release(req)
	req.arrivals++
	req.mayHaveRun = true
	r.log(SingleRequest, "attempt failed", req.attrs("instance", b.Instance, "attempt", req.number,
		"failure", Broken.String(), "cause", "the server started again")...)
	r.lostAt(b, req)
	r.repeat(req, "the server started again")
}
