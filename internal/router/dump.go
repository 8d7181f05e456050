package router

import (
	"maps"
	"slices"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/poison"
	"nutmeglane.example/nutmeglane/internal/quota"
)

// State is the dump of a router.
type State struct {
	// Version of the configuration in force, 0 without one.
	Version  int64
	Ready    bool
	Backends []BackendState
	Waits    []WaitState
	Requests int
	// Accounts are the client accounts with a bound, QuotaShare this router's share of all
	// bounds.
	Accounts   []quota.State
	QuotaShare quota.ShareState
	// Suspects are the requests under which two servers or more ended.
	Suspects []poison.Entry
}

// BackendState is the dump of a backend server.
type BackendState struct {
	Instance, Service, Address string
	Zone                       core.Zone
	Listed, Draining, LeftOut  bool
	Requests                   int
	// Latency is a plain service's, Ahead the predicted wait at an engine.
	Latency, Ahead time.Duration
	Pace           float64
	Failing        float64
	// LimitPerSecond are the requests that it takes from all routers together, nil if it
	// names no limit; LimitKnownFor is for how long that has been known here.
	LimitPerSecond *float64
	LimitKnownFor  time.Duration
	Holdings       *core.Holdings
}

// WaitState is the dump of the requests that wait for a model.
type WaitState struct {
	Service, Model, Adapter, Home string
	Requests                      int
}

// Dump returns the state between two steps.
func (r *Router) Dump() State {
	state := State{Version: r.ConfigVersion(), Ready: r.Ready(), Requests: len(r.requests), Accounts: r.gate.Dump(r.now), QuotaShare: r.gate.Share(), Suspects: r.ledger.Dump(r.now)}
	for _, instance := range slices.Sorted(maps.Keys(r.backends)) {
		b := r.backends[instance]
		perSecond, knownFor := r.limitState(b)
		state.Backends = append(state.Backends, BackendState{
			Instance: instance, Service: b.Service, Address: b.Address, Zone: b.Zone,
			Listed: b.unlistedAt == 0, Draining: r.draining(b), LeftOut: r.now < b.ejectedUntil,
			Requests: len(b.sent), Latency: b.latency, Ahead: b.queue.Delay(r.now), Pace: b.pace, Failing: b.failing, Holdings: r.holdings(b),
			LimitPerSecond: perSecond, LimitKnownFor: knownFor,
		})
	}
	for _, key := range slices.SortedFunc(maps.Keys(r.waits), compareWaitKeys) {
		w := r.waits[key]
		s := WaitState{Service: key.service, Model: key.model, Adapter: key.adapter, Requests: len(w.requests)}
		if w.home != nil {
			s.Home = w.home.Instance
		}
		state.Waits = append(state.Waits, s)
	}
	return state
}

// limitState is a server's limit and for how long it has been known; nil without one.
func (r *Router) limitState(b *backend) (perSecond *float64, knownFor time.Duration) {
	limit, named := b.limit.gate.Limit()
	if !named {
		return nil, 0
	}
	return &limit, r.now.Sub(b.limit.gate.KnownSince())
}
