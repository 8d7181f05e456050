package quota

import (
	"math"
	"slices"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
)

// This file requests tokens from loaders.

const (
	// answerTimeout is how long a token request waits for its answer: several round trips
	// and a scheduling delay of a busy process.
	answerTimeout = 150 * time.Millisecond
	// unresponsiveAfter is how long after an unanswered token request a loader is dropped,
	// and unresponsivePause how long it is not used after that.
	unresponsiveAfter = 400 * time.Millisecond
	unresponsivePause = time.Second
	// exchangeAfter is how long the loaders that keep the bounds stay unchanged before one
	// is replaced by a preferred one: several times as long as its slot is out of use then.
	exchangeAfter = 3 * returnDelay
	// levelMaxAge is the age up to which a loader's reported level is used.
	levelMaxAge = time.Second
	// aheadTime is the period for which tokens are requested in advance. They are requested
	// again when those left last for less than aheadThreshold. No tokens are requested in
	// advance if fewer than aheadMinRequests requests are expected within aheadTime.
	aheadTime        = 200 * time.Millisecond
	aheadThreshold   = 100 * time.Millisecond
	aheadMinRequests = 2
	// largeShare is the part of the largest total of all loaders' tokens from which on a
	// request is split evenly over all loaders. Below it, a single full loader has enough.
	largeShare = 0.25
)

// link is a loader that enforces the bounds and accepts token requests.
type link struct {
	name core.HostID
	// stamp is the loader's time in its last answer, 0 before the first answer. life
	// identifies the loader's process: it differs after each restart.
	stamp core.QuotaStamp
	life  core.Time
	// requestedAt is the time of the last token request, lastLent the number of slots that it
	// lent.
	requestedAt core.Time
	lastLent    int
	// sent are the unanswered token requests.
	sent []sentRequest
	// limits are the accounts whose limits were sent to the loader.
	limits map[string]bool
	// adoptRequest is the last message that queried whether the loader still holds a slot; its
	// number is 0 once it is answered. Until then the loader may have renewed the loan of
	// the slot.
	adoptRequest sentRequest
}

type sentRequest struct {
	number uint64
	at     core.Time
}

// pendingRequest is an unanswered token request for an account.
type pendingRequest struct {
	to     core.HostID
	number uint64
	at     core.Time
}

// refusal is a token request that was answered without a grant or not answered at all.
type refusal struct {
	from core.HostID
	// share is the part of all bounds that the loader holds.
	share float64
	room  time.Duration
}

// Request is a message to a loader.
type Request struct {
	To      core.HostID
	Message core.QuotaRequest
}

func (g *Gate) link(name core.HostID) *link {
	for _, l := range g.links {
		if l.name == name {
			return l
		}
	}
	return nil
}

// Requests returns the messages to loaders that are due.
func (g *Gate) Requests(now core.Time) []Request {
	if !g.due || len(g.accounts) == 0 || len(g.links) == 0 {
		return nil
	}
	g.due = false
	g.placeSlots(now)
	needs := g.needs(now)
	var requests []Request
	for _, l := range g.links {
		if len(needs[l.name]) > 0 || now.Sub(l.requestedAt) >= g.renewInterval() || l.lastLent != g.lentSlots(l) {
			requests = append(requests, g.newRequest(now, l, needs[l.name]))
		}
	}
	return requests
}

// renewInterval is the longest time between two messages to a loader.
func (g *Gate) renewInterval() time.Duration {
	if g.knownRouters() == 0 {
		return renewInterval / 4 // this router waits only for the number of routers
	}
	return renewInterval
}

// newRequest creates a message to a loader, which also renews the loans to it.
func (g *Gate) newRequest(now core.Time, l *link, needs []core.QuotaNeed) Request {
	g.number++
	m := core.QuotaRequest{Number: g.number, Stamp: l.stamp, Leaving: g.leaving, Needs: needs}
	if l.stamp == 0 {
		m.Window = g.bounds.Window
	}
	if l.stamp != 0 {
		m.Slots, m.Routers = g.lentSlots(l), g.knownRouters()
		l.lastLent = m.Slots
		m.Adopt = m.Slots == 0 && slices.ContainsFunc(g.slots[:], l.mayHold)
	}
	if m.Adopt {
		l.adoptRequest = sentRequest{number: g.number, at: now}
	}
	for i := range g.slots {
		if m.Slots > 0 && g.slots[i].to == l.name {
			g.slots[i].until = now.Add(returnDelay)
			g.slots[i].last, g.slots[i].life = l.name, l.life
		}
	}
	for _, need := range needs {
		g.addPending(now, l, need.Account)
		if !l.limits[need.Account] {
			l.limits[need.Account] = true
			m.Window = g.bounds.Window
			m.Limits = append(m.Limits, core.QuotaLimit{Account: need.Account, Version: g.version, Most: g.accounts[need.Account].maxUse})
		}
	}
	l.requestedAt = now
	l.sent = append(l.sent, sentRequest{number: g.number, at: now})
	return Request{To: l.name, Message: m}
}

func (g *Gate) addPending(now core.Time, l *link, name string) {
	a := g.accounts[name]
	a.pending = append(a.pending, pendingRequest{to: l.name, number: g.number, at: now})
}

// needs returns the token requests that are due, by loader.
func (g *Gate) needs(now core.Time) map[core.HostID][]core.QuotaNeed {
	needs := map[core.HostID][]core.QuotaNeed{}
	for _, name := range sortedKeys(g.accounts) {
		a := g.accounts[name]
		if len(a.pending) > 0 || now < a.nextRequest {
			continue
		}
		cost, ahead := g.wanted(now, a)
		if cost+ahead < 1 {
			continue
		}
		if cost >= largeShare*depthShare*a.maxUse && len(g.links) == Slots && len(a.refusals) == 0 {
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

// wanted returns the tokens that the first waiting request lacks, and those that are
// expected to be used soon.
func (g *Gate) wanted(now core.Time, a *account) (cost, ahead float64) {
	rate := a.demand.rate(now)
	hold := g.available(now, a)
	if len(a.waiting) > 0 {
		cost = max(1, a.waiting[0].cost-hold)
		for _, w := range a.waiting[1:] {
			ahead += w.cost
		}
	}
	expected := rate * aheadTime.Seconds()
	worthIt := expected >= aheadMinRequests*a.demand.mean()
	if worthIt && (cost > 0 || hold < rate*aheadThreshold.Seconds()) {
		ahead = max(ahead, expected-hold)
	}
	return cost, max(0, ahead)
}

// bestFor returns the loader to request an account's tokens from: of those that have not
// refused in this round, the one with the highest known level. It returns nil if there is
// none.
func (g *Gate) bestFor(now core.Time, a *account) *link {
	var best *link
	most := 0.0
	for i := range g.links {
		// Alternate between the loaders, so that their levels stay equal where none is
		// known.
		l := g.links[(i+int(g.number))%len(g.links)]
		if a.refusedBy(l.name) {
			continue
		}
		left := math.Inf(1)
		if t, ok := a.remaining[l.name]; ok && now.Sub(t.at) < levelMaxAge {
			left = t.level
		}
		if best == nil || left > most {
			best, most = l, left
		}
	}
	return best
}

func (a *account) refusedBy(name core.HostID) bool {
	return slices.ContainsFunc(a.refusals, func(r refusal) bool { return r.from == name })
}

// canRequestMore reports whether tokens for the waiting requests can be requested from
// another loader.
func (g *Gate) canRequestMore(now core.Time, a *account) bool {
	l := g.bestFor(now, a)
	if l == nil {
		return false
	}
	if len(a.refusals) == 0 {
		return true
	}
	// No request is sent to a loader that reported too low a level a moment ago either.
	t, known := a.remaining[l.name]
	return !known || now.Sub(t.at) >= maxRequestDelay || t.level >= a.waiting[0].cost
}

// timeOutRequests counts token requests that were not answered in time as refused.
func (g *Gate) timeOutRequests(now core.Time, a *account) {
	for _, q := range a.pending {
		if now.Sub(q.at) >= answerTimeout {
			a.refusals = append(a.refusals, refusal{from: q.to, room: minRetryAfter})
		}
	}
	a.pending = slices.DeleteFunc(a.pending, func(q pendingRequest) bool { return now.Sub(q.at) >= answerTimeout })
}

// HandleAnswer processes a loader's answer.
func (g *Gate) HandleAnswer(now core.Time, from core.HostID, m core.QuotaReply) {
	l := g.link(from)
	if l == nil {
		return
	}
	g.due = true
	at := l.answered(m)
	l.stamp = max(l.stamp, m.Stamp)
	if m.Life != 0 {
		l.life = m.Life
		g.shortenReturn(now, l)
	}
	g.updateRouterCount(now, m.Members)
	if m.Held > 0 {
		g.adoptSlots(l, m.Held)
	}
	if m.Number >= l.adoptRequest.number {
		l.adoptRequest = sentRequest{}
	}
	for _, name := range m.Unknown {
		delete(l.limits, name)
		if a := g.accounts[name]; a != nil {
			a.closeRequest(from, m.Number)
		}
	}
	for _, grant := range m.Grants {
		if a := g.accounts[grant.Account]; a != nil {
			g.applyGrant(now, a, l, m, grant, at)
		}
	}
	g.placeSlots(now)
	for _, name := range m.Unknown {
		if a := g.accounts[name]; a != nil {
			g.decideWaiting(now, a)
		}
	}
}

// answered marks a message as answered and returns the time at which it was sent.
func (l *link) answered(m core.QuotaReply) core.Time {
	i := slices.IndexFunc(l.sent, func(s sentRequest) bool { return s.number == m.Number })
	if i < 0 {
		return 0
	}
	at := l.sent[i].at
	l.sent = l.sent[i+1:]
	return at
}

func (g *Gate) applyGrant(now core.Time, a *account, l *link, m core.QuotaReply, grant core.QuotaGrant, at core.Time) {
	wasOpen := a.closeRequest(l.name, m.Number)
	a.remaining[l.name] = levelReport{level: float64(grant.Left), at: now}
	until := at.Add(GrantLifetime)
	if grant.Granted > 0 && now < until {
		a.granted = append(a.granted, tokens{amount: float64(grant.Granted), until: until})
	}
	if wasOpen && grant.RoomMs > 0 {
		a.refusals = append(a.refusals, refusal{from: l.name, share: float64(m.Share) / 1000, room: time.Duration(grant.RoomMs) * time.Millisecond})
	}
	g.decideWaiting(now, a)
}

// closeRequest removes a pending token request and reports whether it was pending.
func (a *account) closeRequest(from core.HostID, number uint64) bool {
	before := len(a.pending)
	a.pending = slices.DeleteFunc(a.pending, func(q pendingRequest) bool { return q.to == from && q.number == number })
	return len(a.pending) < before
}
