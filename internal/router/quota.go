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

// This file bounds what client accounts use. See package quota.
//
// It answers this pattern: one account sends five times its usual for some seconds, by
// callers spread unevenly over 28 routers. Without a bound it ran 738,764 tokens in 8 s
// where 676,781 are allowed, and the others' prompts were read behind its own.

const (
	// maxAccountLabels bounds the accounts that have metrics of their own; the others
	// count together.
	maxAccountLabels = 64
	otherAccounts    = "other"
	// quotaKey is what loaders are ranked by, to keep the bounds.
	quotaKey = "quota"
	// notedWait is how long a request waits for its account's room before that is logged.
	notedWait = 50 * time.Millisecond
)

func quotaBounds(b fleet.Bounds) quota.Bounds {
	return quota.Bounds{Window: b.QuotaWindow, Over: b.QuotaOver, Slack: b.QuotaSlack, Routers: b.QuotaRouters}
}

// setQuotas takes the limits of a newer configuration.
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

// charge counts a request against its account's quota. It reports false where the request
// goes no further: it was refused, or waits for room.
func (r *Router) charge(req *request) bool {
	if req.account == nil || !req.account.Limited() {
		return true
	}
	cost := req.account.Cost(req.prompt)
	d := r.gate.Admit(r.now, uint64(req.key), req.account.Name, cost)
	if d.Outcome == quota.Waits {
		req.asksQuota = true
		r.requests[req.key] = req
		return false
	}
	return r.charged(req, d)
}

// charged takes in the decision on a request. It refuses the request and reports false if
// there is no room.
func (r *Router) charged(req *request, d quota.Decision) bool {
	cost := req.account.Cost(req.prompt)
	if d.Outcome == quota.Admitted {
		req.charged, req.chargedUntil = cost, d.Until
		r.countUnits(req, "admitted", cost)
		return true
	}
	r.countUnits(req, "refused", cost)
	r.finish(req, code.OverQuota, r.returnIn(d.RetryAfter), fmt.Sprintf(
		"the account is at its limit: cost %.0f, in hand %.0f, own share %.3f, decided by %s, configuration %d",
		cost, d.Hold, d.Share, d.Rule, r.config.Version))
	return false
}

// tickQuotas lets time pass for the quotas.
func (r *Router) tickQuotas() {
	r.gate.SetLoaders(r.now, r.quotaLoaders())
	r.gate.Tick(r.now)
}

// settleQuotas goes on with the requests that were decided, and asks for the others.
func (r *Router) settleQuotas() {
	for _, v := range r.gate.Verdicts() {
		req := r.requests[Key(v.Key)]
		if req == nil {
			continue
		}
		req.asksQuota = false
		r.logWait(req, v.Decision)
		if r.charged(req, v.Decision) {
			r.accept(req)
		}
	}
	for _, ask := range r.gate.Asks(r.now) {
		r.emit(AskQuota{Loader: ask.To, Ask: ask.Message})
	}
}

// logWait tells of a request that waited for longer than a question to a loader takes.
func (r *Router) logWait(req *request, d quota.Decision) {
	if waited := r.now.Sub(req.arrived); waited >= notedWait {
		r.log(SingleRequest, "request waited for its account's room", req.attrs("waited", waited.String(), "admitted", d.Outcome == quota.Admitted,
			"hold", d.Hold, "own_share", d.Share)...)
	}
}

// leaveQuota forgets that a request waits for room.
func (r *Router) leaveQuota(req *request) {
	if req.asksQuota {
		req.asksQuota = false
		r.gate.Forget(req.account.Name, uint64(req.key))
	}
}

// giveBack takes a request out of its account's use that proved not to have run.
func (r *Router) giveBack(req *request) {
	if req.charged > 0 {
		r.gate.Return(r.now, req.account.Name, req.charged, req.chargedUntil)
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

// quotaLoaders are the connected loaders in the order in which they are to keep the bounds:
// the same at all routers that reach them.
func (r *Router) quotaLoaders() []core.HostID {
	if !r.gate.Counts() {
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

// orderForQuotas takes loaders of all availability zones by turns, so that those that keep
// the bounds are not lost together.
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

// zone is that of the engines beside the loader.
func (l *loader) zone() core.Zone {
	if len(l.engines) == 0 {
		return ""
	}
	return l.engines[0].Zone
}
