package quota

import (
	"cmp"
	"maps"
	"slices"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/window"
)

const (
	// assumedMaxRouters is the number of routers that a router assumes until it learns one:
	// more than the largest fleet has.
	assumedMaxRouters = 512
	// recentSlots is the number of slots of the window of admitted tokens, which is for
	// dumps.
	recentSlots = 16
)

// Gate admits requests in one router. The zero value is not usable; see NewGate.
type Gate struct {
	bounds  Bounds
	version int64
	// started is set by the first call that passes the time.
	started bool
	// accounts are the accounts with a bound.
	accounts map[string]*account
	// home generates tokens from the slots that are not lent.
	home  holder
	slots [Slots]slot
	// lentAt is when a slot was last lent to another loader. Until gapUntil requests wait,
	// since this router's share has only just returned.
	lentAt, gapUntil core.Time
	// links are the loaders that keep the bounds.
	links []*link
	// unresponsive are loaders that did not answer, with the time until which they are not
	// used.
	unresponsive map[core.HostID]core.Time
	// number is the number of the last message to a loader.
	number uint64
	// peakRouters is the largest number of routers that a loader reported lately, 0 before
	// the first report, and peakAt when it was reported.
	peakRouters int
	peakAt      core.Time
	// due is set while messages to loaders may be due.
	due bool
	// leaving is set once the router is shutting down permanently.
	leaving bool
	// waitingCount is the number of waiting requests; verdicts are the decisions since the
	// last call of Verdicts.
	waitingCount int
	verdicts     []Verdict
}

// slot is a part of this router's share of all bounds.
type slot struct {
	// to is the loader to which the slot is lent and at which the loan is renewed. If it is
	// empty, the slot is on loan until that time and local after it.
	to    core.HostID
	until core.Time
	// last and life identify the loader process that last had the slot.
	last core.HostID
	life core.Time
}

// account is one account's state in a router.
type account struct {
	name   string
	maxUse float64
	demand demand
	// granted are granted tokens, the oldest first.
	granted []tokens
	// waiting are the waiting requests in order of arrival.
	waiting []waiter
	// pending are the unanswered token requests of this round, refusals the answers without
	// a grant. A round lasts until the waiting requests are decided.
	pending  []pendingRequest
	refusals []refusal
	// nextRequest is the earliest time of the next token request.
	nextRequest core.Time
	// remaining is the level that each loader last reported.
	remaining map[core.HostID]levelReport
	// roomAt is when the loaders have room again, refusedAt when they last had none;
	// retries spaces out the retries of refused callers.
	roomAt    core.Time
	refusedAt core.Time
	retries   retryQueue
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

// levelReport is a level that a loader reported, with the time of the report.
type levelReport struct {
	level float64
	at    core.Time
}

// NewGate returns a gate without accounts.
func NewGate(bounds Bounds) *Gate {
	return &Gate{bounds: bounds, accounts: map[string]*account{}, unresponsive: map[core.HostID]core.Time{}}
}

// start sets the start time, once. The previous process on this host may have lent all
// slots at that time, so that none is local before returnDelay has passed.
func (g *Gate) start(now core.Time) {
	if g.started {
		return
	}
	g.started = true
	for i := range g.slots {
		g.slots[i].until = now.Add(returnDelay)
	}
}

// SetBounds replaces the bounds. They apply to limits that are set later.
func (g *Gate) SetBounds(bounds Bounds) { g.bounds = bounds }

// SetLimits replaces the limits of all accounts by those of a configuration.
func (g *Gate) SetLimits(now core.Time, version int64, limits map[string]Limit) {
	g.start(now)
	g.version = version
	g.home.setWindow(now, g.bounds.Window)
	for _, name := range sortedKeys(g.accounts) {
		if _, ok := limits[name]; !ok {
			g.admitUnlimited(g.accounts[name])
			delete(g.accounts, name)
		}
	}
	for name, limit := range limits {
		a := g.accounts[name]
		if a == nil {
			a = &account{name: name, remaining: map[core.HostID]levelReport{}, recent: window.New(g.bounds.Window, recentSlots)}
			g.accounts[name] = a
		}
		a.maxUse = g.bounds.MaxUse(limit)
		g.home.setBound(now, name, a.maxUse, version)
	}
	for _, l := range g.links {
		clear(l.limits)
	}
}

// admitUnlimited admits the waiting requests of an account whose bound was removed.
func (g *Gate) admitUnlimited(a *account) {
	for _, w := range a.waiting {
		g.addVerdict(w.key, Decision{Outcome: Admitted, Rule: RuleUnlimited})
		g.waitingCount--
	}
	a.waiting = nil
}

// HasLimits reports whether any account has a bound.
func (g *Gate) HasLimits() bool { return len(g.accounts) > 0 }

// SetLeaving records that the router is stopping. Unless it restarts, loaders soon stop
// counting it.
func (g *Gate) SetLeaving() { g.leaving = true }

// Tick advances the time. The caller fetches due messages and verdicts afterwards.
func (g *Gate) Tick(now core.Time) {
	g.start(now)
	g.due = true
	g.dropUnresponsive(now)
	g.placeSlots(now)
	for _, name := range sortedKeys(g.accounts) {
		g.decideWaiting(now, g.accounts[name])
	}
}

// knownRouters is the number of routers among which the bounds are evenly divided, 0 if it
// is not known.
func (g *Gate) knownRouters() int { return max(g.peakRouters, g.bounds.Routers) }

// assumedRouters is the number of routers, or an upper bound if it is not known.
func (g *Gate) assumedRouters() int {
	if known := g.knownRouters(); known > 0 {
		return known
	}
	return assumedMaxRouters
}

// updateRouterCount processes the number of routers that a loader reports. It keeps the
// largest recent number, since a restarted loader counts only the routers that have
// connected to it, and shares among too few routers are too large.
func (g *Gate) updateRouterCount(now core.Time, members int) {
	if members >= g.peakRouters || now.Sub(g.peakAt) > peakRetention && members > 0 {
		g.peakRouters, g.peakAt = members, now
	}
}

// placeSlots lends the local slots to loaders and generates tokens from those that remain.
func (g *Gate) placeSlots(now core.Time) {
	if g.knownRouters() > 0 {
		for i := range g.slots {
			if g.isLocal(now, g.slots[i]) {
				g.slots[i].to = g.chooseBorrower()
				g.lentAt = now
			}
		}
		g.balance()
	}
	here := 0
	for _, s := range g.slots {
		if g.isLocal(now, s) {
			here++
		}
	}
	share := float64(here) / Slots / float64(g.assumedRouters())
	if share != g.home.share {
		g.home.setShare(now, share)
	}
}

// chooseBorrower returns the loader to lend a slot to, "" if there is none.
func (g *Gate) chooseBorrower() core.HostID {
	var best *link
	for _, l := range g.links {
		if l.stamp != 0 && (best == nil || g.lentSlots(l) < g.lentSlots(best)) {
			best = l
		}
	}
	if best == nil {
		return ""
	}
	return best.name
}

// balance takes a slot back from a loader that has several while another has none. The slot
// is lent to that one once its loan is over.
func (g *Gate) balance() {
	if slices.ContainsFunc(g.slots[:], func(s slot) bool { return s.to == "" }) {
		return
	}
	idle := slices.ContainsFunc(g.links, func(l *link) bool { return l.stamp != 0 && g.lentSlots(l) == 0 })
	for i, s := range g.slots {
		if l := g.link(s.to); idle && l != nil && g.lentSlots(l) > 1 {
			g.slots[i].to = ""
			return
		}
	}
}

// lentSlots is the number of slots that are lent to a loader.
func (g *Gate) lentSlots(l *link) int {
	count := 0
	for _, s := range g.slots {
		if s.to == l.name {
			count++
		}
	}
	return count
}

// isLocal reports whether no other process holds or may hold a slot.
func (g *Gate) isLocal(now core.Time, s slot) bool {
	return s.to == "" && now >= s.until && !g.beingAdopted(s)
}

// State is the dump of an account's bound in a router.
type State struct {
	Account string
	// Most is the largest use within a window over all routers, Hold the tokens that this
	// router may use at once, and Waiting the number of requests that wait for tokens.
	Most, Hold float64
	Waiting    int
	// Asked is the demand at this router in tokens per second, Recent what it admitted
	// within a window.
	Asked, Recent float64
}

// ShareState is the dump of a router's share of all bounds.
type ShareState struct {
	// Routers is the number of routers among which the bounds are evenly divided, 0 if not
	// known.
	Routers int
	// Home is the part of all bounds from which this router generates tokens itself.
	Home float64
	// LentTo are the loaders that have the router's slots, "" for a slot that is local or
	// whose loan has not yet run out.
	LentTo []core.HostID
}

// Share returns the state of this router's share.
func (g *Gate) Share() ShareState {
	state := ShareState{Routers: g.peakRouters, Home: g.home.share}
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
			Account: name, Most: a.maxUse, Hold: g.available(now, a), Waiting: len(a.waiting),
			Asked: a.demand.rate(now), Recent: a.recent.Total(now),
		})
	}
	return states
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
