package router

import (
	"maps"
	"slices"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fleet"
	"nutmeglane.example/nutmeglane/internal/poison"
	"nutmeglane.example/nutmeglane/internal/quota"
)

// State is the dump of a router for operators.
type State struct {
	// Version is the version of the configuration in force, 0 without one.
	Version  int64
	Ready    bool
	Backends []BackendState
	Waits    []WaitState
	Requests int
	// RetryBudgets are this router's parts of the budgets of retries, by service.
	RetryBudgets []RetryBudgetState
	// Accounts are the client accounts with a quota, QuotaShare is this router's share of
	// all quotas.
	Accounts   []quota.State
	QuotaShare quota.ShareState
	// Evacuated are the zones whose servers get nothing, as operators ask.
	Evacuated []core.Zone
	// Suspects are the requests, and the parts of prompts, on which two servers or more ended.
	Suspects []poison.Entry
	// AnswerEnds counts the ways in which servers' answers ended since this process started.
	AnswerEnds []AnswerEndCount
	// Origins is the number of streams whose release is remembered, OriginsDropped that of
	// those that were dropped before their time. Releases are the releases of services whose
	// streams may be resumed.
	Origins, OriginsDropped int
	Releases                []ReleasesState
	// RunCopies is the number of requests with a copy of their memory at another engine, CopiedRuns
	// the first of them.
	RunCopies  int
	CopiedRuns []RunCopyState
	// CopyPlans are the last plans of the services for which this router plans copies.
	CopyPlans []CopyPlanState
}

// ReleasesState is the dump of the releases of one service.
type ReleasesState struct {
	Service string
	// Servers counts the servers that take requests, by release.
	Servers map[string]int
	// Gone are the releases that no server has any more although callers may still take up
	// their streams.
	Gone []string
	// Several is set while the release of a stream must be known to take it up.
	Several bool
}

// BackendState is the dump of a backend server.
type BackendState struct {
	Instance, Service, Address string
	Zone                       core.Zone
	// Release is the version of its software.
	Release                   string
	Listed, Draining, LeftOut bool
	Requests                  int
	// Latency is the average latency of a plain service, Ahead the predicted queueing time
	// at an engine.
	Latency, Ahead time.Duration
	Pace           float64
	Failing        float64
	// LimitPerSecond is the number of requests per second that the server takes from all
	// routers together, nil if it names no limit. LimitKnownFor is for how long this router
	// has known it.
	LimitPerSecond *float64
	LimitKnownFor  time.Duration
	// Budget is the server's request-rate budget per second, 0 if it has none. The limit is
	// the lower of it and the one that the server names.
	Budget float64
	// Load is the last load that the server stated, nil before the first. UsualTime is the time
	// of its answers without waiting; it is kept only where servers of plain services get budgets.
	Load      *fleet.Load
	UsualTime time.Duration
	// DrainingFor is for how long this router has known that the server is draining, 0 if it
	// is not, and DrainingBy from whom. BackoffLeft is the remaining time in which the server
	// wants no requests from this host. BackoffWindow is how many requests it may have at
	// once after that, 0 if their number is not limited.
	DrainingFor, BackoffLeft time.Duration
	DrainingBy               string
	BackoffWindow            int
	Holdings                 *core.Holdings
}

// WaitState is the dump of the requests that wait for a model.
type WaitState struct {
	Service, Model, Adapter, Home string
	Requests                      int
}

// Dump returns the router's state. It must not be called during a step.
func (r *Router) Dump() State {
	state := State{Version: r.ConfigVersion(), Ready: r.Ready(), Requests: len(r.requests), Accounts: r.gate.Dump(r.now), QuotaShare: r.gate.Share(), Suspects: r.ledger.Dump(r.now), AnswerEnds: r.dumpAnswerEnds(), Origins: r.origins.Len(), OriginsDropped: r.origins.Dropped(), Releases: r.dumpReleases()}
	state.RunCopies, state.CopiedRuns = r.dumpRunCopies()
	state.CopyPlans = r.dumpCopyPlans()
	state.RetryBudgets = r.RetryBudgets()
	state.Evacuated = slices.Sorted(maps.Keys(r.evacuated))
	for _, instance := range slices.Sorted(maps.Keys(r.backends)) {
		b := r.backends[instance]
		perSecond, knownFor := r.limitState(b)
		state.Backends = append(state.Backends, BackendState{
			Instance: instance, Service: b.Service, Address: b.Address, Zone: b.Zone, Release: b.Release.String(),
			Listed: b.unlistedAt == 0, Draining: r.draining(b), LeftOut: r.now < b.ejectedUntil,
			Requests: len(b.sent), Latency: b.latency, Ahead: b.queue.Delay(r.now), Pace: b.pace, Failing: b.failureRate, Holdings: r.holdings(b),
			LimitPerSecond: perSecond, LimitKnownFor: knownFor, Budget: b.limit.gate.Budget(), Load: b.load, UsualTime: b.stated.usual,
			DrainingFor: b.announced.drainingFor(r.now), DrainingBy: b.announced.drainingBy,
			BackoffLeft: b.announced.backoff.left(r.now), BackoffWindow: b.announced.backoff.window,
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

// limitState returns a server's limit and for how long it has been known, nil without one.
func (r *Router) limitState(b *backend) (perSecond *float64, knownFor time.Duration) {
	limit, named := b.limit.gate.Limit()
	if !named {
		return nil, 0
	}
	return &limit, r.now.Sub(b.limit.gate.KnownSince())
}
