package quota

import (
	"cmp"
	"maps"
	"slices"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/window"
)

const (
	// manyRouters is the number of routers that a router goes by which was never told one:
	// more than the largest fleet has.
	manyRouters = 512
	// recentSlots is how finely a router counts what it admitted, for its dump.
	recentSlots = 16
)

// Gate decides in one router. The zero value is not usable; see NewGate.
type Gate struct {
	bounds  Bounds
	version int64
	// started is set once the router's first moment is known.
	started bool
	// accounts are those with a bound.
	accounts map[string]*account
	// home makes tokens of the slots that are not lent.
	home  holder
	slots [Slots]slot
	// lentAt is when a slot was last lent to another loader, gapUntil until when requests
	// wait as this router's share has come back a moment ago.
	lentAt, gapUntil core.Time
	// links are the loaders that keep the bounds, the preferred one first.
	links []*link
	// silent are loaders that did not answer, until they are asked again.
	silent map[core.HostID]core.Time
	// number is the last question's.
	number uint64
	// routers is the largest number of routers that was told lately, 0 before any, and
	// toldAt when it was.
	routers int
	toldAt  core.Time
	// due is set while questions may be due.
	due bool
	// leaving is set once the router stops for good.
	leaving bool
	// waits counts the requests that wait, verdicts are those that were decided since
	// Verdicts was last called.
	waits    int
	verdicts []Verdict
}

// slot is a part of this router's share of all bounds.
type slot struct {
	// to is the loader that it is lent to and renewed at. Without one the slot is out until
	// a time and here afterwards.
	to    core.HostID
	until core.Time
	// last is the loader that had it last, in a life.
	last core.HostID
	life core.Time
}

// account is one account's state in a router.
type account struct {
	name  string
	most  float64
	asked demand
	// hold are granted tokens, the oldest first.
	hold []tokens
	// waiting are requests in the order in which they came.
	waiting []waiter
	// open are the questions that were not answered, refused the answers that granted
	// nothing, of this round: until the requests that wait are decided.
	open    []question
	refused []refusal
	// nextAsk is the earliest next question.
	nextAsk core.Time
	// left is what loaders had left, as told.
	left map[core.HostID]told
	// roomAt is when the loaders have room again, refusedAt when they last had none;
	// returning are the refused.
	roomAt    core.Time
	refusedAt core.Time
	returning queue
	// recent is what this router admitted within a window.
	recent window.Window
}

// tokens may be used until a time.
type tokens struct {
	amount float64
	until  core.Time
}

// waiter is a request that waits for tokens.
type waiter struct {
	key   uint64
	cost  float64
	since core.Time
}

// told is a level that a loader told at a time.
type told struct {
	level float64
	at    core.Time
}

// NewGate returns a gate without accounts.
func NewGate(bounds Bounds) *Gate {
	return &Gate{bounds: bounds, accounts: map[string]*account{}, silent: map[core.HostID]core.Time{}}
}

// start takes a first moment as that at which the last life may have lent everything.
func (g *Gate) start(now core.Time) {
	if g.started {
		return
	}
	g.started = true
	for i := range g.slots {
		g.slots[i].until = now.Add(returnsAfter)
	}
}

// SetBounds replaces the bounds. Limits that are set later go by them.
func (g *Gate) SetBounds(bounds Bounds) { g.bounds = bounds }

// SetLimits replaces the limits of all accounts by those of a configuration.
func (g *Gate) SetLimits(now core.Time, version int64, limits map[string]Limit) {
	g.start(now)
	g.version = version
	g.home.setWindow(now, g.bounds.Window)
	for _, name := range sortedKeys(g.accounts) {
		if _, ok := limits[name]; !ok {
			g.free(g.accounts[name])
			delete(g.accounts, name)
		}
	}
	for name, limit := range limits {
		a := g.accounts[name]
		if a == nil {
			a = &account{name: name, left: map[core.HostID]told{}, recent: window.New(g.bounds.Window, recentSlots)}
			g.accounts[name] = a
		}
		a.most = g.bounds.MaxUse(limit)
		g.home.setBound(now, name, a.most, version)
	}
	for _, l := range g.links {
		clear(l.limits)
	}
}

// free admits the requests that wait for an account that has no bound any more.
func (g *Gate) free(a *account) {
	for _, w := range a.waiting {
		g.decide(w.key, Decision{Outcome: Admitted, Rule: RuleUnlimited})
		g.waits--
	}
	a.waiting = nil
}

// Counts tells whether any account has a bound.
func (g *Gate) HasLimits() bool { return len(g.accounts) > 0 }

// Leave tells that the router stops for good, if it is not started again.
func (g *Gate) SetLeaving() { g.leaving = true }

// Tick lets time pass. Questions that are due and verdicts are to be fetched afterwards.
func (g *Gate) Tick(now core.Time) {
	g.start(now)
	g.due = true
	g.dropSilent(now)
	g.place(now)
	for _, name := range sortedKeys(g.accounts) {
		g.settle(now, g.accounts[name])
	}
}

// knownRouters is the number of routers among which shares are even, as far as it was told;
// 0 if it was not.
func (g *Gate) knownRouters() int { return max(g.routers, g.bounds.Routers) }

// assumedRouters is that number, or more than it can be.
func (g *Gate) assumedRouters() int {
	if known := g.knownRouters(); known > 0 {
		return known
	}
	return manyRouters
}

// hearMembers takes in how many routers a loader knows.
//
// It guards against loaders that start anew: they know those routers only that reach them,
// and shares among too few are too large.
func (g *Gate) hearMembers(now core.Time, members int) {
	if members >= g.routers || now.Sub(g.toldAt) > peakKept && members > 0 {
		g.routers, g.toldAt = members, now
	}
}

// place finds loaders for the slots that are here, and makes tokens from the rest.
func (g *Gate) place(now core.Time) {
	if g.knownRouters() > 0 {
		for i := range g.slots {
			if g.isHome(now, g.slots[i]) {
				g.slots[i].to = g.borrower()
				g.lentAt = now
			}
		}
		g.balance()
	}
	here := 0
	for _, s := range g.slots {
		if g.isHome(now, s) {
			here++
		}
	}
	share := float64(here) / Slots / float64(g.assumedRouters())
	if share != g.home.share {
		g.home.setShare(now, share)
	}
}

// borrower is the loader to lend a slot to, "" without one.
func (g *Gate) borrower() core.HostID {
	var best *link
	for _, l := range g.links {
		if l.stamp != 0 && (best == nil || g.lent(l) < g.lent(best)) {
			best = l
		}
	}
	if best == nil {
		return ""
	}
	return best.name
}

// balance takes a slot back from a loader that has several while another has none. It is
// lent to that one once its loan is over.
func (g *Gate) balance() {
	if slices.ContainsFunc(g.slots[:], func(s slot) bool { return s.to == "" }) {
		return
	}
	idle := slices.ContainsFunc(g.links, func(l *link) bool { return l.stamp != 0 && g.lent(l) == 0 })
	for i, s := range g.slots {
		if l := g.link(s.to); idle && l != nil && g.lent(l) > 1 {
			g.slots[i].to = ""
			return
		}
	}
}

// lent is how many slots a loader has.
func (g *Gate) lent(l *link) int {
	count := 0
	for _, s := range g.slots {
		if s.to == l.name {
			count++
		}
	}
	return count
}

// isHome tells that a slot is held by nobody else.
func (g *Gate) isHome(now core.Time, s slot) bool {
	return s.to == "" && now >= s.until && !g.beingAdopted(s)
}

// State is the dump of an account's bound in a router.
type State struct {
	Account string
	// Most is the largest use within a window over all routers, Hold what this router may
	// use at once, and Waiting how many requests wait for tokens.
	Most, Hold float64
	Waiting    int
	// Asked is what is asked a second of this router, Recent what it admitted within a
	// window.
	Asked, Recent float64
}

// ShareState is the dump of a router's share of all bounds.
type ShareState struct {
	// Routers is the number of routers among which shares are even, 0 if not known.
	Routers int
	// Home is the part of all bounds that this router makes tokens of itself.
	Home float64
	// LentTo are the loaders that have its slots, "" for one that is here or on its way
	// back.
	LentTo []core.HostID
}

// Share returns the state of this router's share.
func (g *Gate) Share() ShareState {
	state := ShareState{Routers: g.routers, Home: g.home.share}
	for _, s := range g.slots {
		state.LentTo = append(state.LentTo, s.to)
	}
	return state
}

// Dump returns the state of all accounts with a bound, by name.
func (g *Gate) Dump(now core.Time) []State {
	var states []State
	for _, name := range sortedKeys(g.accounts) {
		a := g.accounts[name]
		states = append(states, State{
			Account: name, Most: a.most, Hold: g.inHand(now, a), Waiting: len(a.waiting),
			Asked: a.asked.rate(now), Recent: a.recent.Total(now),
		})
	}
	return states
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
