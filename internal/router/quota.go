package router

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fleet"
	"nutmeglane.example/nutmeglane/internal/quota"
)

// This file enforces the quotas of client accounts. See package quota.
//
// One account may send five times its usual load for some seconds, by callers that are
// unevenly distributed over 28 routers. Without a quota it ran 738,764 tokens in 8 s where
// 676,781 are allowed, and other accounts' prompts were read after its own.

const (
	// maxAccountLabels bounds the number of accounts that have metrics of their own; the
	// others are counted together.
	maxAccountLabels = 64
	otherAccounts    = "other"
	// quotaKey is the hash key by which loaders are ranked for keeping quotas.
	quotaKey = "quota"
	// minLoggedWait is how long a request must wait for its account's quota for that to be
	// logged.
	minLoggedWait = 50 * time.Millisecond
)

func quotaBounds(b fleet.Bounds) quota.Bounds {
	return quota.Bounds{Window: b.QuotaWindow, Over: b.QuotaOver, Slack: b.QuotaSlack, Routers: b.QuotaRouters}
}

// setQuotas installs the limits of a newer configuration.
func (r *Router) setQuotas(list []fleet.Account) {
	limits := map[string]quota.Limit{}
	r.accountLabels = map[string]bool{}
	for i := range list {
		if list[i].Limited() {
			limits[list[i].Name] = quota.Limit{Rate: list[i].Rate, Burst: list[i].Burst}
		}
		if i < maxAccountLabels {
			r.accountLabels[list[i].Name] = true
		}
	}
	r.gate.SetLimits(r.now, r.config.Version, limits)
}

// charge counts a request against its account's quota. It returns false if the request does
// not proceed: it was refused, or waits for quota.
func (r *Router) charge(req *request) bool {
	if req.account == nil || !req.account.Limited() {
		return true
	}
	cost := req.account.Cost(req.prompt)
	d := r.gate.Admit(r.now, uint64(req.key), req.account.Name, cost)
	if d.Outcome == quota.Queued {
		req.awaitingQuota = true
		r.requests[req.key] = req
		return false
	}
	return r.applyDecision(req, d)
}

// applyDecision applies the decision on a request. If there is no quota left it refuses the
// request and returns false.
func (r *Router) applyDecision(req *request, d quota.Decision) bool {
	cost := req.account.Cost(req.prompt)
	if d.Outcome == quota.Admitted {
		req.charged, req.chargedUntil = cost, d.Until
		r.countUnits(req, "admitted", cost)
		return true
	}
	r.countUnits(req, "refused", cost)
	r.finish(req, code.OverQuota, r.retryAfterIn(d.RetryAfter), fmt.Sprintf(
		"the account is at its limit: cost %.0f, in hand %.0f, own share %.3f, decided by %s, configuration %d",
		cost, d.Hold, d.Share, d.Rule, r.config.Version))
	return false
}

// tickQuotas updates the quota gate's loaders and time.
func (r *Router) tickQuotas() {
	r.gate.SetLoaders(r.now, r.quotaLoaders())
	r.gate.Tick(r.now)
}

// applyQuotaDecisions continues with the requests that were decided, and sends the pending
// questions to loaders.
func (r *Router) applyQuotaDecisions() {
	for _, v := range r.gate.Verdicts() {
		req := r.requests[Key(v.Key)]
		if req == nil {
			continue
		}
		req.awaitingQuota = false
		r.logWait(req, v.Decision)
		if r.applyDecision(req, v.Decision) {
			r.accept(req)
		}
	}
	for _, ask := range r.gate.Requests(r.now) {
		r.emit(SendQuotaRequest{Loader: ask.To, Request: ask.Message})
	}
}

// logWait logs that a request waited for longer than a round trip to a loader takes.
func (r *Router) logWait(req *request, d quota.Decision) {
	if waited := r.now.Sub(req.arrived); waited >= minLoggedWait {
		r.log(SingleRequest, "request waited for its account's quota", req.attrs("waited", waited.String(), "admitted", d.Outcome == quota.Admitted,
			"hold", d.Hold, "own_share", d.Share)...)
	}
}

// leaveQuota removes a request from the queue for its account's quota.
func (r *Router) leaveQuota(req *request) {
	if req.awaitingQuota {
		req.awaitingQuota = false
		r.gate.Cancel(req.account.Name, uint64(req.key))
	}
}

// refundQuota returns to its account's quota what was charged for a request that proved not
// to have run.
func (r *Router) refundQuota(req *request) {
	if req.charged > 0 {
		r.gate.Refund(r.now, req.account.Name, req.charged, req.chargedUntil)
		r.countUnits(req, "returned", req.charged)
		req.charged = 0
	}
}

func (r *Router) countUnits(req *request, outcome string, units float64) {
	name := req.account.Name
	if !r.accountLabels[name] {
		name = otherAccounts
	}
	r.emit(Count{core.Count{Name: metricAccountUnits, Labels: []string{name, outcome}, Add: units}})
}

// quotaLoaders returns the connected loaders in the order of preference for keeping the
// quotas: the same at all routers that reach them.
func (r *Router) quotaLoaders() []core.HostID {
	if !r.gate.HasLimits() {
		return nil
	}
	if r.quotaOrder == nil {
		r.quotaOrder = r.orderForQuotas()
	}
	var names []core.HostID
	for _, l := range r.quotaOrder {
		if l.up {
			names = append(names, l.name)
		}
	}
	return names
}

// orderForQuotas interleaves the loaders of all availability zones, so that those that keep
// the quotas are not lost together.
func (r *Router) orderForQuotas() []*loader {
	type place struct {
		loader *loader
		turn   int
		score  uint64
	}
	var places []place
	for _, l := range r.sortedLoaders() {
		places = append(places, place{loader: l, score: core.Score(quotaKey, string(l.name))})
	}
	byScore := func(a, b place) int { return cmp.Compare(a.score, b.score) }
	slices.SortFunc(places, byScore)
	turns := map[core.Zone]int{}
	for i := range places {
		zone := places[i].loader.zone()
		places[i].turn = turns[zone]
		turns[zone]++
	}
	slices.SortStableFunc(places, func(a, b place) int { return cmp.Compare(a.turn, b.turn) })
	var order []*loader
	for _, p := range places {
		order = append(order, p.loader)
	}
	return order
}

// zone returns the availability zone of the engines beside the loader.
func (l *loader) zone() core.Zone {
	if len(l.engines) == 0 {
		return ""
	}
	return l.engines[0].Zone
}
