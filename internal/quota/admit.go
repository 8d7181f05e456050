package quota

import (
	"math"
	"slices"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
)

// This file decides on requests.

const (
	// leastReturn bounds the time after which a refused caller comes back: below it callers
	// ask more often than loaders are asked again.
	leastReturn = 100 * time.Millisecond
	// longestReturn bounds it above: within a window of the bounds in use every bucket is
	// filled several times over.
	longestReturn = 8 * time.Second
	// pauseAfter is how long after loaders had no room the next question to them is at the
	// latest. Until then requests are refused at once.
	pauseAfter = 250 * time.Millisecond
	// busyFor is how long after a refusal an account counts as being at its bound: what waits
	// then takes the tokens of requests that could be in time.
	busyFor = 2 * time.Second
	// shortRoom is how soon a loader has to have room for requests to wait for it, and
	// shortWait for how long they do: less than a caller who is refused stays away.
	shortRoom = 250 * time.Millisecond
	shortWait = 500 * time.Millisecond
	// longestWait is how long a request waits while this router's share is on its way back
	// from loaders that are gone, and nobody else has any.
	longestWait = returnsAfter + gapLasts/2
	// gapLasts is how long after that requests go on waiting: several times as long as it
	// takes until those are served that have waited.
	gapLasts = 2 * time.Second
	// emptyPause is the time between two questions to loaders that hold nothing.
	emptyPause = 100 * time.Millisecond
	// maxWaiting bounds the requests that wait at once.
	maxWaiting = 1024
	// demandMemory is the time constant of what is asked for.
	demandMemory = 2 * time.Second
)

// Outcome is what becomes of a request.
type Outcome uint8

// The outcomes.
const (
	// Refused: the account has no room, as far as known.
	Refused Outcome = iota
	// Admitted: the request's tokens are taken.
	Admitted
	// Waits: a Verdict follows.
	Queued
)

// Decision is what becomes of a request.
type Decision struct {
	Outcome Outcome
	// RetryAfter is when the account has room, of a refused one.
	RetryAfter time.Duration
	// Rule is what decided, Hold what this router had in hand, and Share the part of all
	// bounds that it holds itself; all for logs, and the last two left out of requests that
	// are admitted at once.
	Rule  Rule
	Hold  float64
	Share float64
	// Until is when the tokens of an admitted request run out: until then Return gives them
	// back.
	Until core.Time
}

// Verdict is the decision on a request that waited.
type Verdict struct {
	Key uint64
	Decision
}

// Rule names what a decision rests on.
type Rule string

// The rules.
const (
	// RuleFree: the account has no bound.
	RuleUnlimited Rule = "no limit"
	// RuleHold: this router has the tokens.
	RuleLocalTokens Rule = "tokens in hand"
	// RuleLoaders: the loaders have no room.
	RuleLoaders Rule = "loaders without room"
	// RuleAlone: no loader can be asked, and this router's own share has no room.
	RuleOwnShare Rule = "own share without room"
	// RuleNobody: this router's share has not come back, and nobody else has any.
	RuleNoHolder Rule = "nobody holds a share"
	// RuleCrowd: too many requests wait.
	RuleQueueFull Rule = "too many wait"
)

// Admit decides on a request that counts so much. The key tells it apart from all others.
func (g *Gate) Admit(now core.Time, key uint64, name string, cost float64) Decision {
	a := g.accounts[name]
	if a == nil {
		return Decision{Outcome: Admitted, Rule: RuleUnlimited}
	}
	a.asked.add(now, cost)
	g.place(now)
	if len(a.waiting) == 0 {
		if until, ok := g.take(now, a, cost); ok {
			return Decision{Outcome: Admitted, Rule: RuleLocalTokens, Until: until}
		}
	}
	switch {
	case now < a.roomAt && now < a.nextAsk:
		return g.refuse(now, a, cost, RuleLoaders, a.roomAt.Sub(now))
	case g.waits >= maxWaiting:
		return g.refuse(now, a, cost, RuleQueueFull, leastReturn)
	}
	a.waiting = append(a.waiting, waiter{key: key, cost: cost, since: now})
	g.waits++
	g.due = true
	g.settle(now, a)
	if d, ok := g.verdictOf(key); ok {
		return d
	}
	return Decision{Outcome: Queued}
}

// verdictOf takes the verdict on a request out of those that are to be fetched.
func (g *Gate) verdictOf(key uint64) (Decision, bool) {
	i := slices.IndexFunc(g.verdicts, func(v Verdict) bool { return v.Key == key })
	if i < 0 {
		return Decision{}, false
	}
	d := g.verdicts[i].Decision
	g.verdicts = slices.Delete(g.verdicts, i, i+1)
	return d, true
}

// Verdicts returns what was decided on requests that waited, and forgets it.
func (g *Gate) Verdicts() []Verdict {
	verdicts := g.verdicts
	g.verdicts = nil
	return verdicts
}

// Forget forgets a request that waits: its caller has left.
func (g *Gate) Cancel(name string, key uint64) {
	a := g.accounts[name]
	if a == nil {
		return
	}
	before := len(a.waiting)
	a.waiting = slices.DeleteFunc(a.waiting, func(w waiter) bool { return w.key == key })
	g.waits -= before - len(a.waiting)
}

// Return gives back what a request counted that proved not to have run, as long as its
// tokens could be used.
func (g *Gate) Refund(now core.Time, name string, cost float64, until core.Time) {
	if a := g.accounts[name]; a != nil && now < until {
		a.hold = append(a.hold, tokens{amount: cost, until: until})
	}
}

// settle decides on the requests of an account that wait, as far as it can be told.
func (g *Gate) settle(now core.Time, a *account) {
	g.dropLate(now, a)
	g.admitWaiting(now, a)
	if len(a.waiting) == 0 {
		a.refused = a.refused[:0]
		return
	}
	if len(a.open) > 0 || g.asksMore(now, a) {
		return
	}
	if len(g.links) == 0 && g.home.share > 0 {
		g.settleAlone(now, a)
		return
	}
	if g.nobodyHolds(now, a) {
		g.gapUntil = now.Add(gapLasts)
	}
	if now < g.gapUntil {
		a.refused = a.refused[:0]
		a.nextAsk = max(a.nextAsk, now.Add(emptyPause))
		g.refuseLate(now, a)
		return
	}
	room := a.room()
	atBound := a.refusedAt != 0 && now.Sub(a.refusedAt) < busyFor
	if !atBound && room <= shortRoom && now.Sub(a.waiting[0].since) < shortWait {
		a.refused = a.refused[:0]
		a.nextAsk = now.Add(room)
		return
	}
	g.refuseAll(now, a, room)
}

// room is when the first of the loaders that refused has room.
func (a *account) room() time.Duration {
	room := longestReturn
	for _, r := range a.refused {
		room = min(room, r.room)
	}
	return room
}

// admitWaiting admits those that wait, in their order, as far as there are tokens.
func (g *Gate) admitWaiting(now core.Time, a *account) {
	for len(a.waiting) > 0 {
		w := a.waiting[0]
		until, ok := g.take(now, a, w.cost)
		if !ok {
			break
		}
		g.next(a)
		g.decide(w.key, Decision{Outcome: Admitted, Rule: RuleLocalTokens, Hold: g.inHand(now, a), Share: g.home.share, Until: until})
	}
}

// next takes the first request that waits out of the list.
func (g *Gate) next(a *account) {
	a.waiting = a.waiting[1:]
	g.waits--
}

// nobodyHolds tells that neither this router nor a loader that it can ask holds a share now,
// and that this passes.
func (g *Gate) nobodyHolds(now core.Time, a *account) bool {
	if slices.ContainsFunc(a.refused, func(r refusal) bool { return r.share > 0 }) {
		return false
	}
	if len(g.links) > 0 {
		return true
	}
	return slices.ContainsFunc(g.slots[:], func(s slot) bool { return !g.isHome(now, s) })
}

// refuseLate refuses those that have waited for too long.
func (g *Gate) refuseLate(now core.Time, a *account) {
	for len(a.waiting) > 0 && now.Sub(a.waiting[0].since) >= longestWait {
		w := a.waiting[0]
		g.next(a)
		g.decide(w.key, g.refuse(now, a, w.cost, RuleNoHolder, returnsAfter))
	}
}

// settleAlone keeps those waiting for which this router's own share makes tokens in time,
// and refuses the others.
func (g *Gate) settleAlone(now core.Time, a *account) {
	b := g.home.bucket(now, a.name)
	all := a.waiting
	a.waiting = nil
	ahead := 0.0
	for _, w := range all {
		room := g.home.roomIn(b, ahead+w.cost)
		if w.cost <= depthShare*g.home.share*a.most && now.Sub(w.since)+room < longestWait {
			ahead += w.cost
			a.waiting = append(a.waiting, w)
			continue
		}
		g.waits--
		g.decide(w.key, g.refuse(now, a, w.cost, RuleOwnShare, room))
	}
}

// refuseAll refuses all that wait, and lets some time pass before loaders are asked again.
func (g *Gate) refuseAll(now core.Time, a *account, room time.Duration) {
	a.roomAt, a.nextAsk, a.refusedAt = now.Add(room), now.Add(min(room, pauseAfter)), now
	a.refused = a.refused[:0]
	for len(a.waiting) > 0 {
		w := a.waiting[0]
		g.next(a)
		g.decide(w.key, g.refuse(now, a, w.cost, RuleLoaders, room))
	}
}

// refuse returns a refusal of a request, and when its caller should return: one after the
// other, as this router's part of the tokens allows.
func (g *Gate) refuse(now core.Time, a *account, cost float64, rule Rule, room time.Duration) Decision {
	seconds := cost * float64(g.assumedRouters()) / max(1, g.home.rate(a.most))
	return Decision{
		Outcome: Refused, RetryAfter: a.returning.after(now, room, seconds),
		Rule: rule, Hold: g.inHand(now, a), Share: g.home.share,
	}
}

func (g *Gate) decide(key uint64, d Decision) {
	g.verdicts = append(g.verdicts, Verdict{Key: key, Decision: d})
}

// inHand is what this router may use of an account now.
func (g *Gate) inHand(now core.Time, a *account) float64 {
	a.hold = slices.DeleteFunc(a.hold, func(t tokens) bool { return now >= t.until })
	sum := 0.0
	for _, t := range a.hold {
		sum += t.amount
	}
	if b := g.home.bucket(now, a.name); b != nil {
		sum += b.level
	}
	return sum
}

// take takes a request's tokens, granted ones first, if there are enough. It returns until
// when they may be given back.
func (g *Gate) take(now core.Time, a *account, cost float64) (until core.Time, ok bool) {
	if g.inHand(now, a) < cost {
		return 0, false
	}
	a.recent.Add(now, cost)
	until = core.Never
	for cost > 0 && len(a.hold) > 0 {
		t := &a.hold[0]
		used := min(cost, t.amount)
		t.amount -= used
		cost -= used
		until = min(until, t.until)
		if t.amount <= 0 {
			a.hold = a.hold[1:]
		}
	}
	if cost > 0 {
		g.home.buckets[a.name].level -= cost
		until = now
	}
	return until, true
}

// demand is a moving rate of what is asked for.
type demand struct {
	sum, count float64
	at         core.Time
}

func (d *demand) add(now core.Time, cost float64) {
	left := d.decay(now)
	d.sum, d.count = d.sum*left+cost, d.count*left+1
	d.at = now
}

// decay is the part of a demand that is left.
func (d *demand) decay(now core.Time) float64 {
	return math.Exp(-now.Sub(d.at).Seconds() / demandMemory.Seconds())
}

// rate is a second's.
func (d *demand) rate(now core.Time) float64 { return d.sum * d.decay(now) / demandMemory.Seconds() }

// mean is that of one request.
func (d *demand) mean() float64 { return d.sum / max(1, d.count) }
