package router

import (
	"maps"
	"slices"

	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/work"
)

// This file adapts requests and servers to services, engines and models that come and go with the
// configuration.
//
// A request that runs at a server ends as it would. One that would have to be sent is refused at
// once, and its caller's next try is routed by the configuration in force. A service that has lost
// its engine is a plain service from then on, to waiting requests as well.

// configured reports whether the configuration in force has a service.
func (r *Router) configured(service string) bool {
	return r.config != nil && r.config.Services[service] != nil
}

// dropRemoved ends what depends on services and engines that a configuration has removed.
func (r *Router) dropRemoved() {
	for _, name := range slices.Sorted(maps.Keys(r.services)) {
		if r.engine(name) == nil {
			r.services[name].dropEngine()
		}
	}
	for _, key := range slices.Sorted(maps.Keys(r.requests)) {
		if req := r.requests[key]; req != nil && req.backend == nil && req.continuation == nil && !r.configured(req.service) {
			r.refuse(req, code.NoBackend, quickRetryAfter, removedService)
		}
	}
}

// refitServers adapts the servers that are known to what the configuration says of their service,
// which may have got an engine or another one.
func (r *Router) refitServers() {
	for _, instance := range slices.Sorted(maps.Keys(r.backends)) {
		b := r.backends[instance]
		if b.unlistedAt == 0 {
			r.connect(b)
		}
		if tokens := r.kvTokens(b.Service); b.cache.Capacity() != tokens {
			b.cache = work.NewCache(tokens)
		}
	}
}

// dropEngine drops what engines of the service were told to load. Permits would otherwise remain
// valid while nothing counts them.
func (s *service) dropEngine() {
	s.spec = nil
	clear(s.store.granted)
	clear(s.store.planned)
}

// Reasons of refusals. A service that is gone stays so for the caller's next try, which may come
// soon; a model may be on its way in a newer configuration.
const (
	removedService  = "the configuration has no such service any more"
	undeclaredModel = "no engine has the model loaded, and the configuration does not declare it"
)

// recheckUndeclared ends or sends the requests of a queue for a model that no engine can load, as
// the configuration in force does not declare it. It reports whether the model is such a one.
func (r *Router) recheckUndeclared(w *wait) bool {
	if r.declared(w.key.service, w.key.model) {
		return false
	}
	for _, req := range slices.Clone(w.requests) {
		r.leaveWait(req)
		r.dispatch(req)
	}
	return true
}
