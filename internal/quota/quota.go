// Package quota limits what a client account uses over all routers together, within any
// sliding window, as the deployment's bounds promise.
//
// # Tokens
//
// Use takes tokens. Each router owns an even share of all bounds, and the process that
// holds a share generates tokens from it at a fixed rate (holder). The holders together
// never have more tokens at once than a fixed depth. A process that has held a share for a
// whole window may also use a fixed part of it at any time within a window. The depth, the
// tokens generated within a window and that part add up to the bound. So the bound holds at
// each moment, whichever process ends, restarts, is partitioned or is suspended: a process
// that ends takes its tokens with it, and one that starts has none. No process needs to
// know what was used before.
//
// # Holders of shares
//
// Callers are spread unevenly, so routers lend their shares to a few loaders, the same ones
// for all routers and an even part to each (Granter), and request tokens from them (Gate).
// A loan ends after LoanDuration unless it is renewed. It counts from a time that the
// loader reported to the router, so that it ends by the router's clock after it ends by the
// loader's, regardless of message delays. So a share has one holder at a time, even if
// routers do not reach the same loaders, and a holder that is partitioned or gone keeps
// others from using its share for a limited time only.
//
// Granted tokens expire GrantLifetime after they were requested. Until then they count
// towards the depth, even if the loader that granted them is gone: a router takes a share
// back that much later than its loan ends.
//
// A router that reaches no loader uses its own share.
//
// # Restarts
//
// A loader that restarts proves that its previous process has ended, so that the shares of
// that process are lent again as soon as its grants have expired.
//
// A router that restarts waits until all loans of its previous process have returned,
// unless a loader reports that it still holds one and continues to hold it. Loaders report
// the number of routers among which the bounds are divided; until then the router has no
// share. If all processes that know the number are gone while a router that has a share is
// partitioned, only Bounds.Routers keeps the shares from being too large.
//
// # Admission
//
// Requests are admitted at once while the router has tokens. Far below a bound, loaders
// grant the tokens that are expected to be used soon along with those needed at once. Near
// it, a request waits for its own tokens, for as long as a token request takes. A loader
// grants only while it has more than a reserve, so that large requests are not starved by
// small ones.
//
// The package has no I/O and no clock. Package bench/quota measures it.
package quota

import "time"

const (
	// Slots is the number of parts of a router's share that are lent separately: one for
	// each of the loaders that keep the bounds. If one loader is lost, the others can grant
	// the usual demand.
	Slots = 3
	// LoanDuration is how long a loan lasts: several times renewInterval, and less than the
	// time for which the remaining share covers the usual demand.
	LoanDuration = 600 * time.Millisecond
	// GrantLifetime is how long granted tokens may be used, from their request on.
	GrantLifetime = 250 * time.Millisecond
	// renewInterval is the longest time between two messages to a loader.
	renewInterval = 200 * time.Millisecond
	// returnDelay is how long after its last renewal a lent share returns.
	returnDelay = LoanDuration + GrantLifetime
	// reserveDuration is how long after the refusal of a large request tokens are reserved
	// for it.
	reserveDuration = time.Second
	// countDelay is how long a loader counts routers before it reports their number:
	// processes that have each other's address connect within a reconnection pause.
	countDelay = 600 * time.Millisecond
	// memberRetention is how long a loader counts a disconnected router: it may be
	// partitioned and use its share.
	memberRetention = 10 * time.Minute
	// peakRetention is how long a router uses the largest reported number of routers, since
	// restarted loaders report fewer.
	peakRetention = time.Minute
)

// The parts of a bound. What they leave is for clock differences and rounding.
const (
	// rateShare is the part generated within a window.
	rateShare = 0.74
	// depthShare is the largest number of tokens at once.
	depthShare = 0.16
	// burstShare may be used at any time within a window, by loaders only.
	burstShare = 0.095
	// reserveShare limits the reserve that a loader must have before it grants a request.
	reserveShare = 0.11
)

// Bounds are the deployment's promise: within any Window, no more of an account's requests
// run than (rate x Window + burst) x (1 + Over) + Slack.
type Bounds struct {
	Window time.Duration
	Over   float64
	// Slack is in the unit of the account.
	Slack float64
	// Routers is the smallest number of routers that run, 0 if operators did not set it.
	Routers int
}

// Limit is what an account may use.
type Limit struct {
	// Rate is per second; Burst may be used at once in addition.
	Rate, Burst float64
}

// MaxUse is the largest use within a window that the bounds allow.
func (b Bounds) MaxUse(l Limit) float64 {
	return (l.Rate*b.Window.Seconds()+l.Burst)*(1+b.Over) + b.Slack
}
