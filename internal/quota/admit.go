package quota

import (
	"math"
	"slices"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
)

// This file decides on requests.

const (
	// minRetryAfter is the smallest retry delay given to a refused caller: with less,
	// callers retry more often than loaders are asked again.
	minRetryAfter = 100 * time.Millisecond
	// maxRetryAfter is the largest retry delay: every bucket refills several times within a
	// window of the bounds in use.
	maxRetryAfter = 8 * time.Second
	// maxRequestDelay is the longest time for which no tokens are requested again after
	// loaders had no room. Requests that arrive in that time are refused at once.
	maxRequestDelay = 250 * time.Millisecond
	// atLimitPeriod is how long after a refusal an account counts as being at its bound.
	// Requests do not wait in that time, since they would take the tokens of requests that
	// can still be answered in time.
	atLimitPeriod = 2 * time.Second
	// nearRoom is how soon a loader must have room for requests to wait for it, and
	// nearRoomWait how long they wait: less than the retry delay of a refused caller.
	nearRoom     = 250 * time.Millisecond
	nearRoomWait = 500 * time.Millisecond
	// maxWait is how long a request waits while this router's share is returning from
	// loaders that are gone and no other process holds a share.
	maxWait = returnDelay + gapDuration/2
	// gapDuration is how long requests continue to wait after such a gap: several times as
	// long as it takes to serve the requests that waited during it.
	gapDuration = 2 * time.Second
	// emptyAskInterval is the time between two token requests to loaders that hold no
	// share.
	emptyAskInterval = 100 * time.Millisecond
	// maxWaiting is the largest number of requests that wait at once.
	maxWaiting = 1024
	// demandTimeConstant is the time constant of the moving average of the demand.
	demandTimeConstant = 2 * time.Second
)

// Outcome is the result of the admission of a request.
type Outcome uint8

// The outcomes.
const (
	// Refused: as far as this router can tell, the account has no room.
	Refused Outcome = iota
	// Admitted: the request's tokens are taken.
	Admitted
	// Queued: the request waits, and a Verdict follows.
	Queued
)

// Decision is the result of the admission of a request, with its grounds.
type Decision struct {
	Outcome Outcome
	// RetryAfter is the time until the account has room for a refused request.
	RetryAfter time.Duration
	// Rule is the reason for the decision, Hold the amount of tokens that this router had,
	// and Share the part of all bounds that it holds itself. They are for logs; Hold and
	// Share are not set for requests that are admitted at once.
	Rule  Rule
	Hold  float64
	Share float64
	// Until is when the tokens of an admitted request expire. Before that, Refund gives
	// them back.
	Until core.Time
}

// Verdict is the decision on a request that waited.
type Verdict struct {
	Key uint64
	Decision
}

// Rule is the reason for a decision.
type Rule string

// The rules.
const (
	// RuleUnlimited: the account has no bound.
	RuleUnlimited Rule = "no limit"
	// RuleLocalTokens: this router has the tokens.
	RuleLocalTokens Rule = "tokens in hand"
	// RuleLoaders: the loaders have no room.
	RuleLoaders Rule = "loaders without room"
	// RuleOwnShare: no loader can be asked, and this router's own share has no room.
	RuleOwnShare Rule = "own share without room"
	// RuleNoHolder: this router's share has not returned, and no other process holds a
	// share.
	RuleNoHolder Rule = "nobody holds a share"
	// RuleQueueFull: too many requests wait.
	RuleQueueFull Rule = "too many wait"
)

// Admit decides on a request that costs so many tokens of the account with the given name.
// The key must be unique among the requests.
func (g *Gate) Admit(now core.Time, key uint64, name string, cost float64) Decision {
	a := g.accounts[name]
	if a == nil {
		return Decision{Outcome: Admitted, Rule: RuleUnlimited}
	}
	a.demand.add(now, cost)
	g.placeSlots(now)
	if len(a.waiting) == 0 {
		if until, ok := g.take(now, a, cost); ok {
			return Decision{Outcome: Admitted, Rule: RuleLocalTokens, Until: until}
		}
	}
	switch {
	case now < a.roomAt && now < a.nextRequest:
		return g.refuse(now, a, cost, RuleLoaders, a.roomAt.Sub(now))
	case g.waitingCount >= maxWaiting:
		return g.refuse(now, a, cost, RuleQueueFull, minRetryAfter)
	}
	a.waiting = append(a.waiting, waiter{key: key, cost: cost, since: now})
	g.waitingCount++
	g.due = true
	g.decideWaiting(now, a)
	if d, ok := g.takeVerdict(key); ok {
		return d
	}
	return Decision{Outcome: Queued}
}

// takeVerdict removes the verdict on a request from the pending verdicts and returns it.
func (g *Gate) takeVerdict(key uint64) (Decision, bool) {
	i := slices.IndexFunc(g.verdicts, func(v Verdict) bool { return v.Key == key })
	if i < 0 {
		return Decision{}, false
	}
	d := g.verdicts[i].Decision
	g.verdicts = slices.Delete(g.verdicts, i, i+1)
	return d, true
}

// Verdicts returns and clears the decisions on requests that waited.
func (g *Gate) Verdicts() []Verdict {
	verdicts := g.verdicts
	g.verdicts = nil
	return verdicts
}

// Cancel removes a waiting request whose caller has left.
func (g *Gate) Cancel(name string, key uint64) {
	a := g.accounts[name]
	if a == nil {
		return
	}
	before := len(a.waiting)
	a.waiting = slices.DeleteFunc(a.waiting, func(w waiter) bool { return w.key == key })
	g.waitingCount -= before - len(a.waiting)
}

// Refund gives back the tokens of a request that did not run, unless they have expired.
func (g *Gate) Refund(now core.Time, name string, cost float64, until core.Time) {
	if a := g.accounts[name]; a != nil && now < until {
		a.granted = append(a.granted, tokens{amount: cost, until: until})
	}
}

// decideWaiting decides on an account's waiting requests as far as it can at this time.
func (g *Gate) decideWaiting(now core.Time, a *account) {
	g.timeOutRequests(now, a)
	g.admitWaiting(now, a)
	if len(a.waiting) == 0 {
		a.refusals = a.refusals[:0]
		return
	}
	if len(a.pending) > 0 || g.canRequestMore(now, a) {
		return
	}
	if len(g.links) == 0 && g.home.share > 0 {
		g.decideFromOwnShare(now, a)
		return
	}
	if g.noShareHeld(now, a) {
		g.gapUntil = now.Add(gapDuration)
	}
	if now < g.gapUntil {
		a.refusals = a.refusals[:0]
		a.nextRequest = max(a.nextRequest, now.Add(emptyAskInterval))
		g.refuseExpired(now, a)
		return
	}
	room := a.earliestRoom()
	atBound := a.refusedAt != 0 && now.Sub(a.refusedAt) < atLimitPeriod
	if !atBound && room <= nearRoom && now.Sub(a.waiting[0].since) < nearRoomWait {
		a.refusals = a.refusals[:0]
		a.nextRequest = now.Add(room)
		return
	}
	g.refuseAll(now, a, room)
}

// earliestRoom is the shortest time after which one of the loaders that refused has room.
func (a *account) earliestRoom() time.Duration {
	room := maxRetryAfter
	for _, r := range a.refusals {
		room = min(room, r.room)
	}
	return room
}

// admitWaiting admits waiting requests in order of arrival while there are tokens for them.
func (g *Gate) admitWaiting(now core.Time, a *account) {
	for len(a.waiting) > 0 {
		w := a.waiting[0]
		until, ok := g.take(now, a, w.cost)
		if !ok {
			break
		}
		g.popWaiting(a)
		g.addVerdict(w.key, Decision{Outcome: Admitted, Rule: RuleLocalTokens, Hold: g.available(now, a), Share: g.home.share, Until: until})
	}
}

// popWaiting removes the first waiting request.
func (g *Gate) popWaiting(a *account) {
	a.waiting = a.waiting[1:]
	g.waitingCount--
}

// noShareHeld reports whether neither this router nor a loader that it can reach holds a
// share and this is temporary.
func (g *Gate) noShareHeld(now core.Time, a *account) bool {
	if slices.ContainsFunc(a.refusals, func(r refusal) bool { return r.share > 0 }) {
		return false
	}
	if len(g.links) > 0 {
		return true
	}
	return slices.ContainsFunc(g.slots[:], func(s slot) bool { return !g.isLocal(now, s) })
}

// refuseExpired refuses the requests that have waited for maxWait.
func (g *Gate) refuseExpired(now core.Time, a *account) {
	for len(a.waiting) > 0 && now.Sub(a.waiting[0].since) >= maxWait {
		w := a.waiting[0]
		g.popWaiting(a)
		g.addVerdict(w.key, g.refuse(now, a, w.cost, RuleNoHolder, returnDelay))
	}
}

// decideFromOwnShare keeps the waiting requests for which this router's own share generates
// tokens in time, and refuses the others.
func (g *Gate) decideFromOwnShare(now core.Time, a *account) {
	b := g.home.bucket(now, a.name)
	all := a.waiting
	a.waiting = nil
	ahead := 0.0
	for _, w := range all {
		room := g.home.timeUntil(b, ahead+w.cost)
		if w.cost <= depthShare*g.home.share*a.maxUse && now.Sub(w.since)+room < maxWait {
			ahead += w.cost
			a.waiting = append(a.waiting, w)
			continue
		}
		g.waitingCount--
		g.addVerdict(w.key, g.refuse(now, a, w.cost, RuleOwnShare, room))
	}
}

// refuseAll refuses all waiting requests and delays the next token request to the loaders.
func (g *Gate) refuseAll(now core.Time, a *account, room time.Duration) {
	a.roomAt, a.nextRequest, a.refusedAt = now.Add(room), now.Add(min(room, maxRequestDelay)), now
	a.refusals = a.refusals[:0]
	for len(a.waiting) > 0 {
		w := a.waiting[0]
		g.popWaiting(a)
		g.addVerdict(w.key, g.refuse(now, a, w.cost, RuleLoaders, room))
	}
}

// refuse returns a refusal whose retry delay spreads the refused callers out at the rate of
// this router's part of the tokens.
func (g *Gate) refuse(now core.Time, a *account, cost float64, rule Rule, room time.Duration) Decision {
	seconds := cost * float64(g.assumedRouters()) / max(1, g.home.rate(a.maxUse))
	return Decision{
		Outcome: Refused, RetryAfter: a.retries.delay(now, room, seconds),
		Rule: rule, Hold: g.available(now, a), Share: g.home.share,
	}
}

func (g *Gate) addVerdict(key uint64, d Decision) {
	g.verdicts = append(g.verdicts, Verdict{Key: key, Decision: d})
}

// available is the number of an account's tokens that this router may use at this time.
func (g *Gate) available(now core.Time, a *account) float64 {
	a.granted = slices.DeleteFunc(a.granted, func(t tokens) bool { return now >= t.until })
	sum := 0.0
	for _, t := range a.granted {
		sum += t.amount
	}
	if b := g.home.bucket(now, a.name); b != nil {
		sum += b.level
	}
	return sum
}

// take takes a request's tokens if there are enough, granted ones first. It returns the
// time until which they may be given back.
func (g *Gate) take(now core.Time, a *account, cost float64) (until core.Time, ok bool) {
	if g.available(now, a) < cost {
		return 0, false
	}
	a.recent.Add(now, cost)
	until = core.Never
	for cost > 0 && len(a.granted) > 0 {
		t := &a.granted[0]
		used := min(cost, t.amount)
		t.amount -= used
		cost -= used
		until = min(until, t.until)
		if t.amount <= 0 {
			a.granted = a.granted[1:]
		}
	}
	if cost > 0 {
		g.home.buckets[a.name].level -= cost
		until = now
	}
	return until, true
}

// demand is an exponentially decaying sum of the tokens that callers ask for.
type demand struct {
	sum, count float64
	at         core.Time
}

func (d *demand) add(now core.Time, cost float64) {
	left := d.decay(now)
	d.sum, d.count = d.sum*left+cost, d.count*left+1
	d.at = now
}

// decay is the factor by which a demand has decayed since its last update.
func (d *demand) decay(now core.Time) float64 {
	return math.Exp(-now.Sub(d.at).Seconds() / demandTimeConstant.Seconds())
}

// rate is the demand in tokens per second.
func (d *demand) rate(now core.Time) float64 {
	return d.sum * d.decay(now) / demandTimeConstant.Seconds()
}

// mean is the average cost of a request.
func (d *demand) mean() float64 { return d.sum / max(1, d.count) }
