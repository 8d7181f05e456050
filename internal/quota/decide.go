package quota

import (
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
)

// This file holds the rules by which a router admits requests.

const (
	// wordDelay is how long what another router takes goes unheard at most, beside a
	// word's age: until its report, until the loader's next word, and the ways.
	wordDelay = 2*WordInterval + 100*time.Millisecond
	// leastReturn bounds the time after which a refused caller comes back: below it,
	// callers ask more often than words come.
	leastReturn = 100 * time.Millisecond
	// longestReturn bounds it above, where a part fills hardly: a window of the bounds in
	// use, after which all that was used has passed.
	longestReturn = 8 * time.Second
	// aloneDepth is the part of its part that a router without a loader admits at once.
	aloneDepth = 0.5
	// bornAlone is the part of an earlier life's part that a router without a loader takes
	// for used: less than it tells loaders, as it has nothing else until one tells it what
	// is left, within a quarter of a second.
	bornAlone = 0.8
	// largestAlone is how many times its part a router without a loader may take by a
	// single request.
	largestAlone = 4
	// memberShare is the least part of the routers that the better informed loader knows
	// which another's word must rest on to count.
	memberShare = 0.8
)

// view is what is known of an account's bucket.
type view struct {
	left, asked float64
	age         time.Duration
}

// view works out what is left now, from the lowest level that a loader told which knows
// enough routers.
//
// It guards against a loader that was cut off from most routers, or has just started: its
// bucket is fuller than the account's.
func (g *Gate) view(now core.Time, a *account) (v view, known bool) {
	if g.way == Even {
		return view{}, false
	}
	members := 0
	for _, w := range g.words {
		if now.Sub(w.at) <= heardFor {
			members = max(members, w.members)
		}
	}
	for from, w := range g.words {
		if now.Sub(w.at) > heardFor || float64(w.members) < memberShare*float64(members) {
			continue
		}
		l, told := a.levels[from]
		if !told {
			l = level{at: w.at, left: a.depth}
		}
		own := a.untold + l.unheard
		age := now.Sub(w.at)
		left := min(a.depth, l.left+a.rate*age.Seconds()) - own
		if !known || left < v.left {
			v = view{left: left, asked: l.asked, age: age}
		}
		known = true
	}
	return v, known
}

// share is a router's part of an account's rate, and of its bucket.
type share struct{ rate, depth float64 }

// part fills the router's part of the bucket up to now and returns how it is filled.
func (a *account) part(now core.Time, v view) share {
	of := 0.0
	if v.asked > 0 {
		of = min(1, a.asked.rate(now)/v.asked)
	}
	// The others take their parts of what was filled since the word.
	left := v.left - (1-of)*a.rate*v.age.Seconds()
	steer := (left - a.target) / steerTime.Seconds()
	s := share{rate: of * max(0, a.rate+steer), depth: of * max(0, left)}
	a.fill(now, s)
	return s
}

// wait is how long it takes until the part has room for a request.
func (s share) wait(a *account, cost float64) time.Duration {
	missing := min(cost, s.depth) - a.credit
	if s.rate <= 0 || missing <= 0 {
		return steerTime
	}
	seconds := min(missing/s.rate, longestReturn.Seconds())
	return max(leastReturn, time.Duration(seconds*float64(time.Second)))
}

// admitKnown decides by what loaders told.
func (g *Gate) admitKnown(now core.Time, a *account, cost float64, v view, d *Decision) {
	part := a.part(now, v)
	others := a.othersAsk(now, v) * (v.age + wordDelay).Seconds()
	switch {
	case g.way == OnSuspicion && v.left-others >= min(cost, a.depth-others):
		d.Admitted, d.Rule = true, RuleOpen
	default:
		d.Rule = RulePart
		// A prompt larger than this router's part is admitted on its debt, where the
		// account as a whole has room for half of it.
		d.Admitted = a.credit > 0 && a.credit >= min(cost, part.depth) && v.left >= cost/2
	}
	if !d.Admitted {
		d.RetryAfter = part.wait(a, cost)
		return
	}
	// A debt is not kept for longer than it takes to fill the part once.
	a.credit = max(a.credit-cost, -max(part.depth, cost))
}

// othersAsk is what the other routers are expected to ask a second: what they did when a
// loader told, or, if this router is asked for more than its usual part of that, as much
// more.
//
// It guards against an account that goes to ten times its rate at once: by what was told
// a second ago, all routers would admit until the next word.
func (a *account) othersAsk(now core.Time, v view) float64 {
	own := a.asked.rate(now)
	told := max(0, v.asked-own)
	if s := a.share.value; s > 0 {
		return max(told, own*(1-s)/s)
	}
	return told
}

// admitAlone decides without any loader's word.
func (g *Gate) admitAlone(now core.Time, a *account, cost float64, d *Decision) {
	of := 1 / float64(g.routers)
	if a.share.known {
		of = lonely(a.share.value, g.routers)
	}
	most := aloneShare * of * a.most
	used := a.recent.Total(now) + bornAlone*aloneShare*g.unseen(now, a, 0)
	d.Rule, d.Level = RuleAlone, most-used
	part := share{rate: most / g.bounds.Window.Seconds(), depth: aloneDepth * most}
	a.fill(now, part)
	// A request that is larger than the whole part is for an account that has used none.
	room := used+cost <= max(most, min(cost, largestAlone*most))
	d.Admitted = room && a.credit >= min(cost, part.depth)
	switch {
	case d.Admitted:
		a.credit = max(a.credit-cost, -part.depth)
	case room:
		d.RetryAfter = part.wait(a, cost)
	default:
		d.RetryAfter = max(leastReturn, a.recent.RoomIn(now, most-cost))
	}
}

// unseen is what an earlier life of this router may have admitted, from the time in the
// last window before its birth, but for the newest span of it: an even part at the most.
//
// It guards against routers and loaders that start anew one after the other: nobody knows
// any more what was used, and each new life would admit a whole part. It goes by the number
// of routers that is known now: a router that has just started knows none.
func (g *Gate) unseen(now core.Time, a *account, newest time.Duration) float64 {
	before := g.bounds.Window - max(newest, now.Sub(g.born))
	if before <= 0 {
		return 0
	}
	return a.most / float64(g.routers) * before.Seconds() / g.bounds.Window.Seconds()
}

// fill fills the router's part of the bucket up to now.
func (a *account) fill(now core.Time, s share) {
	a.credit = min(s.depth, a.credit+s.rate*now.Sub(a.creditAt).Seconds())
	a.creditAt = now
}
