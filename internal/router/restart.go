package router

import (
	"maps"
	"slices"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fleet"
	"nutmeglane.example/nutmeglane/internal/work"
)

// This file handles a backend server that restarts under the same instance name. Its
// registry entry, its loader and its answers continue without interruption, but its models,
// prompts and requests are lost.

// incarnation returns the incarnation of the engine that the loader reports on.
func (l *loader) incarnation() fleet.Incarnation {
	if l.holdings == nil {
		return fleet.Incarnation{}
	}
	return fleet.Incarnation{Instance: l.holdings.Instance, Born: l.holdings.Born}
}

// observeIncarnation records that a server may have restarted, with the given incarnation.
// It returns false for a report on an earlier incarnation, which does not describe the
// present one.
func (r *Router) observeIncarnation(b *backend, incarnation fleet.Incarnation) bool {
	switch order := incarnation.Compare(b.Incarnation); {
	case order < 0:
		return false
	case order > 0:
		r.resetBackend(b, incarnation)
	case b.Born == 0:
		b.Born = incarnation.Born
	}
	return true
}

// resetBackend drops all state of a server's earlier incarnation in one step.
//
// It guards against a server that crashed and came back before its absence was noticed: its
// engine seemed to hold models, prompts and a queue that are gone, so that callers were
// sent there and refused, or waited for answers that no process was working on.
func (r *Router) resetBackend(b *backend, incarnation fleet.Incarnation) {
	r.log(StateChange, "backend server restarted", b.attrs("born", incarnation.Born, "born_before", b.Born, "requests", len(b.sent))...)
	aliveAt := b.aliveAt
	r.serverEnded(b, "it started again")
	b.lost, b.endedAt = nil, 0
	b.Born, b.Models, b.Draining, b.SlowFor = incarnation.Born, nil, false, 0
	b.Release, r.releasesChanged = fleet.Release{}, true
	b.queue, b.cache, b.pace = work.Queue{}, work.NewCache(r.kvTokens(b.Service)), 1
	b.latency, b.load, b.stated = 0, nil, statedLoad{}
	r.dropLimit(b)
	b.announced = announced{}
	b.failureRate, b.failures, b.ejectedUntil = 0, 0, 0
	b.foundAt, b.aliveAt, b.restartedAt = r.now, r.now, r.now
	r.reindex(b)
	if b.loader != nil {
		r.forgetLoads(b.Service, b.loader)
	}
	r.emit(Reconnect{Address: b.Address})
	for _, key := range slices.Sorted(maps.Keys(b.sent)) {
		r.lostAtRestart(key, b, aliveAt)
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

// lostAtRestart handles a request that waited for an answer of the earlier incarnation as
// after a crash. A request that was sent after the last report of that incarnation may be
// with the new one, and one whose answer has begun breaks off by itself: their connections
// show the outcome.
func (r *Router) lostAtRestart(key Key, b *backend, aliveAt core.Time) {
	req := r.requests[key]
	if req != nil && req.hedge != nil && req.hedge.backend == b && req.hedge.attempt.at <= aliveAt {
		r.recordLost(b, req, req.hedge.attempt)
		r.dropHedge(req, leftRestarted)
		return
	}
	if req == nil || req.backend != b || req.attempt.answered || req.attempt.at > aliveAt {
		return
	}
	r.emit(Abandon{Key: key, Attempt: req.number})
	r.release(req, leftRestarted)
	req.arrivals++
	req.mayHaveRun = true
	r.log(SingleRequest, "attempt failed", req.attrs("instance", b.Instance, "attempt", req.number,
		"failure", Broken.String(), "cause", "the server started again")...)
	r.recordLost(b, req, req.attempt)
	if r.continueRun(req, b, r.now, "") {
		return
	}
	r.retry(req, "the server started again")
}
