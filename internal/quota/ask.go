package quota

import (
	"math"
	"slices"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
)

// This file asks loaders for tokens.

const (
	// patience is how long a question waits for its answer: some ways there and back, and a
	// turn of a busy process.
	patience = 150 * time.Millisecond
	// silentAfter is how long after a question that was not answered a loader is given up,
	// silentFor how long it is left alone then.
	silentAfter = 400 * time.Millisecond
	silentFor   = time.Second
	// exchangeAfter is how long loaders keep the bounds before one is exchanged for another
	// that is preferred: several times as long as its part is out of use then.
	exchangeAfter = 3 * returnsAfter
	// freshFor is how long what a loader had left tells anything.
	freshFor = time.Second
	// aheadTime is for how long tokens are asked for ahead, aheadLow when that much is left
	// of them they are asked for again, and aheadLeast how many requests have to come within
	// aheadTime for it to be worth it.
	aheadTime  = 200 * time.Millisecond
	aheadLow   = 100 * time.Millisecond
	aheadLeast = 2
	// largeShare is the part of what all loaders have at the most from which on a request is
	// asked of all of them, by even parts: below it one of them has enough when it is full.
	largeShare = 0.25
)

// link is a loader that keeps the bounds and can be asked.
type link struct {
	name core.HostID
	// stamp is the loader's time that it told last, 0 before its first answer, and life tells
	// its lives apart.
	stamp core.QuotaStamp
	life  core.Time
	// askedAt is when it was asked last, lent the slots that it was told of then.
	askedAt core.Time
	lent    int
	// sent are the questions that were not answered.
	sent []sentAsk
	// limits are the accounts whose limit it was told.
	limits map[string]bool
	// adopts is the last question whether it holds a slot still, number 0 once that was
	// answered: until then it may have renewed the slot's loan.
	adopts sentAsk
}

type sentAsk struct {
	number uint64
	at     core.Time
}

// question is one that an account's tokens were asked for with.
type question struct {
	to     core.HostID
	number uint64
	at     core.Time
}

// refusal is a question that was answered without a grant, or not at all.
type refusal struct {
	from core.HostID
	// share is the part of all bounds that the loader holds.
	share float64
	room  time.Duration
}

// Ask is a question to a loader.
type Ask struct {
	To      core.HostID
	Message core.QuotaAsk
}

func (g *Gate) link(name core.HostID) *link {
	for _, l := range g.links {
		if l.name == name {
			return l
		}
	}
	return nil
}

// Asks returns the questions that are due.
func (g *Gate) Asks(now core.Time) []Ask {
	if !g.due || len(g.accounts) == 0 || len(g.links) == 0 {
		return nil
	}
	g.due = false
	g.place(now)
	needs := g.needs(now)
	var asks []Ask
	for _, l := range g.links {
		if len(needs[l.name]) > 0 || now.Sub(l.askedAt) >= g.renewInterval() || l.lent != g.lent(l) {
			asks = append(asks, g.ask(now, l, needs[l.name]))
		}
	}
	return asks
}

// renewInterval is the time between two questions to a loader at the most.
func (g *Gate) renewInterval() time.Duration {
	if g.knownRouters() == 0 {
		return renewInterval / 4 // the number of routers is all that this one waits for
	}
	return renewInterval
}

// ask makes a question, which renews what its loader was lent.
func (g *Gate) ask(now core.Time, l *link, needs []core.QuotaNeed) Ask {
	g.number++
	m := core.QuotaAsk{Number: g.number, Stamp: l.stamp, Leaving: g.leaving, Needs: needs}
	if l.stamp == 0 {
		m.Window = g.bounds.Window
	}
	if l.stamp != 0 {
		m.Slots, m.Routers = g.lent(l), g.knownRouters()
		l.lent = m.Slots
		m.Adopt = m.Slots == 0 && slices.ContainsFunc(g.slots[:], l.mayHold)
	}
	if m.Adopt {
		l.adopts = sentAsk{number: g.number, at: now}
	}
	for i := range g.slots {
		if m.Slots > 0 && g.slots[i].to == l.name {
			g.slots[i].until = now.Add(returnsAfter)
			g.slots[i].last, g.slots[i].life = l.name, l.life
		}
	}
	for _, need := range needs {
		g.openQuestion(now, l, need.Account)
		if !l.limits[need.Account] {
			l.limits[need.Account] = true
			m.Window = g.bounds.Window
			m.Limits = append(m.Limits, core.QuotaLimit{Account: need.Account, Version: g.version, Most: g.accounts[need.Account].most})
		}
	}
	l.askedAt = now
	l.sent = append(l.sent, sentAsk{number: g.number, at: now})
	return Ask{To: l.name, Message: m}
}

func (g *Gate) openQuestion(now core.Time, l *link, name string) {
	a := g.accounts[name]
	a.open = append(a.open, question{to: l.name, number: g.number, at: now})
}

// needs are what is to be asked for now, by loader.
func (g *Gate) needs(now core.Time) map[core.HostID][]core.QuotaNeed {
	needs := map[core.HostID][]core.QuotaNeed{}
	for _, name := range sortedKeys(g.accounts) {
		a := g.accounts[name]
		if len(a.open) > 0 || now < a.nextAsk {
			continue
		}
		cost, ahead := g.wanted(now, a)
		if cost+ahead < 1 {
			continue
		}
		if cost >= largeShare*depthShare*a.most && len(g.links) == Slots && len(a.refused) == 0 {
			part := core.QuotaNeed{Account: name, Cost: int64(math.Ceil(cost / Slots))}
			for _, l := range g.links {
				needs[l.name] = append(needs[l.name], part)
			}
			continue
		}
		if l := g.bestFor(now, a); l != nil {
			needs[l.name] = append(needs[l.name], core.QuotaNeed{Account: name, Cost: int64(math.Ceil(cost)), Ahead: int64(ahead)})
		}
	}
	return needs
}

// wanted is what the first request that waits lacks, and what is expected to be used soon.
func (g *Gate) wanted(now core.Time, a *account) (cost, ahead float64) {
	rate := a.asked.rate(now)
	hold := g.inHand(now, a)
	if len(a.waiting) > 0 {
		cost = max(1, a.waiting[0].cost-hold)
		for _, w := range a.waiting[1:] {
			ahead += w.cost
		}
	}
	expected := rate * aheadTime.Seconds()
	worthIt := expected >= aheadLeast*a.asked.mean()
	if worthIt && (cost > 0 || hold < rate*aheadLow.Seconds()) {
		ahead = max(ahead, expected-hold)
	}
	return cost, max(0, ahead)
}

// bestFor is the loader to ask for an account's tokens: the one that has most left, as far
// as known, of those that have not refused in this round; nil without one.
func (g *Gate) bestFor(now core.Time, a *account) *link {
	var best *link
	most := 0.0
	for i := range g.links {
		// By turns, so that both have the same left where nothing is known.
		l := g.links[(i+int(g.number))%len(g.links)]
		if a.refusedBy(l.name) {
			continue
		}
		left := math.Inf(1)
		if t, ok := a.left[l.name]; ok && now.Sub(t.at) < freshFor {
			left = t.level
		}
		if best == nil || left > most {
			best, most = l, left
		}
	}
	return best
}

func (a *account) refusedBy(name core.HostID) bool {
	return slices.ContainsFunc(a.refused, func(r refusal) bool { return r.from == name })
}

// asksMore tells that another loader can be asked for the requests that wait.
func (g *Gate) asksMore(now core.Time, a *account) bool {
	l := g.bestFor(now, a)
	if l == nil {
		return false
	}
	if len(a.refused) == 0 {
		return true
	}
	// One that had too little a moment ago is not asked as well.
	t, known := a.left[l.name]
	return !known || now.Sub(t.at) >= pauseAfter || t.level >= a.waiting[0].cost
}

// dropLate gives up questions that were not answered in time.
func (g *Gate) dropLate(now core.Time, a *account) {
	for _, q := range a.open {
		if now.Sub(q.at) >= patience {
			a.refused = append(a.refused, refusal{from: q.to, room: leastReturn})
		}
	}
	a.open = slices.DeleteFunc(a.open, func(q question) bool { return now.Sub(q.at) >= patience })
}

// Hear takes in a loader's answer.
func (g *Gate) HandleAnswer(now core.Time, from core.HostID, m core.QuotaTold) {
	l := g.link(from)
	if l == nil {
		return
	}
	g.due = true
	at := l.answered(m)
	l.stamp = max(l.stamp, m.Stamp)
	if m.Life != 0 {
		l.life = m.Life
		g.comeBack(now, l)
	}
	g.hearMembers(now, m.Members)
	if m.Held > 0 {
		g.adopted(l, m.Held)
	}
	if m.Number >= l.adopts.number {
		l.adopts = sentAsk{}
	}
	for _, name := range m.Unknown {
		delete(l.limits, name)
		if a := g.accounts[name]; a != nil {
			a.close(from, m.Number)
		}
	}
	for _, grant := range m.Grants {
		if a := g.accounts[grant.Account]; a != nil {
			g.hearGrant(now, a, l, m, grant, at)
		}
	}
	g.place(now)
	for _, name := range m.Unknown {
		if a := g.accounts[name]; a != nil {
			g.settle(now, a)
		}
	}
}

// answered takes in that a question was answered, and returns when it was sent.
func (l *link) answered(m core.QuotaTold) core.Time {
	i := slices.IndexFunc(l.sent, func(s sentAsk) bool { return s.number == m.Number })
	if i < 0 {
		return 0
	}
	at := l.sent[i].at
	l.sent = l.sent[i+1:]
	return at
}

func (g *Gate) hearGrant(now core.Time, a *account, l *link, m core.QuotaTold, grant core.QuotaGrant, at core.Time) {
	wasOpen := a.close(l.name, m.Number)
	a.left[l.name] = told{level: float64(grant.Left), at: now}
	until := at.Add(GrantLifetime)
	if grant.Granted > 0 && now < until {
		a.hold = append(a.hold, tokens{amount: float64(grant.Granted), until: until})
	}
	if wasOpen && grant.RoomMs > 0 {
		a.refused = append(a.refused, refusal{from: l.name, share: float64(m.Share) / 1000, room: time.Duration(grant.RoomMs) * time.Millisecond})
	}
	g.settle(now, a)
}

// close ends a question, and tells whether it was open.
func (a *account) close(from core.HostID, number uint64) bool {
	before := len(a.open)
	a.open = slices.DeleteFunc(a.open, func(q question) bool { return q.to == from && q.number == number })
	return len(a.open) < before
}
