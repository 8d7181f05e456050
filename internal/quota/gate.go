package quota

import (
	"maps"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/window"
)

// Way is how a router decides. Routers use OnSuspicion; the others are what it is
// measured against.
type Way uint8

// The ways.
const (
	// OnSuspicion admits what nobody else is expected to take, and goes by parts near the
	// bound only.
	OnSuspicion Way = iota
	// ByDemand goes by parts always, by their share of what was asked lately.
	ByDemand
	// Even gives each router the same part, and needs no words.
	Even
)

// Decision is what becomes of a request.
type Decision struct {
	Admitted bool
	// RetryAfter is when the account has room, of a refused one.
	RetryAfter time.Duration
	// Rule is what decided, Level what was left as far as known, and Age how old that
	// was; all for logs.
	Rule  Rule
	Level float64
	Age   time.Duration
}

// Rule names what a decision rests on.
type Rule string

// The rules.
const (
	// RuleFree: the account has no bound.
	RuleFree Rule = "no limit"
	// RuleOpen: more is left than others are expected to take.
	RuleOpen Rule = "far below the limit"
	// RulePart: by this router's part of the rate.
	RulePart Rule = "part by demand"
	// RuleAlone: by the part that it had last or an even one, as no loader tells what is
	// left.
	RuleAlone Rule = "part without a loader"
)

// Gate decides in one router. The zero value is not usable; see NewGate.
type Gate struct {
	bounds  Bounds
	way     Way
	routers int
	version int64
	// born is when this router had its first limits: what an earlier life admitted before
	// that is not known.
	born core.Time
	// accounts are those with a bound.
	accounts map[string]*account
	// words are the loaders' last, by loader.
	words map[core.HostID]*word
	// reportedAt is when the loaders were told last, due is set once there is something
	// that they should know soon.
	reportedAt core.Time
	due        bool
	// told is set after the first report of this life.
	told bool
}

// word is what one loader told.
type word struct {
	at      core.Time
	members int
}

// account is one account's state in a router.
type account struct {
	size
	asked demand
	// credit is this router's part of the bucket, as of creditAt. It may be below 0.
	credit   float64
	creditAt core.Time
	// recent is what this router admitted within a window.
	recent window.Window
	// untold was admitted and asked for since the last report.
	untold, untoldAsked float64
	// everAsked is set once anything was asked of it here.
	everAsked bool
	// sent was in the last report.
	sent float64
	// levels are what loaders told, by loader.
	levels map[core.HostID]level
	// share is this router's part of what all ask, by the loaders' words; it is what the
	// router goes by without any.
	share slowShare
	// limitTold is set once all loaders that are told know the limit.
	limitTold bool
}

// level is what a loader told of an account.
type level struct {
	at core.Time
	// left is what was left of the bucket, asked what all routers asked a second.
	left, asked float64
	// unheard is what this router had admitted that was not in left.
	unheard float64
}

// NewGate returns a gate without accounts. It decides the given way.
func NewGate(bounds Bounds, way Way) *Gate {
	return &Gate{
		bounds: bounds, way: way, routers: assumedRouters,
		accounts: map[string]*account{}, words: map[core.HostID]*word{},
	}
}

// SetBounds replaces the bounds. Limits that are set later go by them.
func (g *Gate) SetBounds(bounds Bounds) { g.bounds = bounds }

// SetRouters tells on how many routers an even part rests; 0 or 1, which may mean that
// none is known yet, leaves what was assumed.
func (g *Gate) SetRouters(n int) {
	if n > 1 {
		g.routers = n
	}
}

// SetLimits replaces the limits of all accounts by those of a configuration.
func (g *Gate) SetLimits(now core.Time, version int64, limits map[string]Limit) {
	if g.born == 0 {
		g.born = now
	}
	g.version = version
	maps.DeleteFunc(g.accounts, func(name string, _ *account) bool { _, ok := limits[name]; return !ok })
	for name, limit := range limits {
		size := newSize(g.bounds, limit)
		a := g.accounts[name]
		if a == nil {
			a = &account{size: size, creditAt: now, levels: map[core.HostID]level{}, recent: window.New(g.bounds.Window, gateSlots)}
			a.credit = (1 - bornAlone) * aloneShare * a.most / float64(g.routers)
			g.accounts[name] = a
		}
		if a.size != size {
			a.size, a.limitTold = size, false
		}
	}
}

// Admit decides on a request that counts so much.
func (g *Gate) Admit(now core.Time, name string, cost float64) Decision {
	a := g.accounts[name]
	if a == nil {
		return Decision{Admitted: true, Rule: RuleFree}
	}
	a.asked.add(now, cost)
	a.untoldAsked += cost
	a.everAsked = true
	view, known := g.view(now, a)
	d := Decision{Level: view.left, Age: view.age}
	if known {
		g.admitKnown(now, a, cost, view, &d)
	} else {
		g.admitAlone(now, a, cost, &d)
	}
	if !d.Admitted {
		g.due = true
		return d
	}
	a.recent.Add(now, cost)
	a.untold += cost
	g.due = g.due || a.untold > untoldShare*a.depth/float64(g.routers)
	return d
}

// Counts tells whether any account has a bound.
func (g *Gate) Counts() bool { return len(g.accounts) > 0 }

// Return gives back what a request counted that proved not to have run.
func (g *Gate) Return(name string, cost float64) {
	if a := g.accounts[name]; a != nil {
		a.credit += cost
		a.untold -= cost
	}
}
