// Package quota bounds what a client account uses over all routers together: so much
// within any window, as the deployment promises.
//
// # Tokens
//
// A use takes tokens. Each router owns an even share of all bounds, and whoever holds a
// share makes tokens at a fixed rate from it (holder). Over all holders there are never more
// tokens at once than a fixed depth. Whoever has held a share for a whole window may also use
// a fixed part of it at any time within a window. Depth, what is made within a window and that
// part are the bound together. So it holds at each moment, whoever ends, starts anew, is cut
// off or stands still: a process that ends takes its tokens with it, and one that starts has
// none. Nobody has to know what was used before.
//
// # Who holds the shares
//
// Callers are spread unevenly, so routers lend their shares to some loaders, the same ones for
// all, an even part each (Keeper), and ask them for tokens (Gate). A loan ends by itself
// after LoanLasts unless it is renewed. The time of a loan counts from a moment that the
// loader told the router, so that the router's clock ends it after the loader's, whatever a
// message took. So a share has one holder at a time, also where routers don't reach the same
// loaders, and one that is cut off or gone keeps others from using it for some time at most.
//
// Granted tokens are used within GrantLasts of the question or are lost. Until then they
// count towards the depth, also after the loader that granted them is gone: a router takes a
// share back that much later than its loan ends.
//
// A router that reaches no loader goes by its own share.
//
// # Who starts anew
//
// A loader that starts proves that its last life is over, so that what that one had is lent
// anew as soon as its grants have run out.
//
// A router that starts waits until all that its last life lent has come back, unless a
// loader tells that it holds it still and goes on doing so. It learns from loaders among how
// many routers shares are even; until then it has none. All that know the number may be gone
// while a router is cut off that has a share: only Bounds.Routers guards against that.
//
// # What it takes
//
// Requests are admitted at once while the router has tokens. Far below a bound, loaders
// grant what is expected to be used soon along with what is needed now. Near it a request
// waits for its own tokens, for as long as a question takes. A loader grants only while it
// has more than a reserve, so that large requests get as far as small ones.
//
// The package has no I/O and no clock. Package bench/quota measures it.
package quota

import "time"

const (
	// Slots is the number of parts of a router's share that are lent apart: one for each of
	// the loaders that keep the bounds. With one lost, the others grant what is usual.
	Slots = 3
	// LoanLasts is how long a loan lasts. It is several renewInterval and less than the time
	// for which what is usually asked fits into what is left.
	LoanDuration = 600 * time.Millisecond
	// GrantLasts is how long granted tokens may be used, from the question on.
	GrantLifetime = 250 * time.Millisecond
	// renewInterval is the time between two questions to a loader at the most.
	renewInterval = 200 * time.Millisecond
	// returnsAfter is how long after it was renewed last a share that was lent comes back.
	returnsAfter = LoanDuration + GrantLifetime
	// reserveLasts is for how long after a large request was refused others wait for its sake.
	reserveLasts = time.Second
	// settleTime is how long a loader has counted routers before it tells their number:
	// those that know each other connect within a redial's pause.
	settleTime = 600 * time.Millisecond
	// memberKept is how long a loader counts a router that it has lost: it may be cut off
	// and use its share.
	memberKept = 10 * time.Minute
	// peakKept is how long a router goes by the largest number of routers that it was told,
	// for loaders that start anew.
	peakKept = time.Minute
)

// The parts of a bound. Together they leave free what clocks and rounding take.
const (
	// rateShare is what is made within a window.
	rateShare = 0.74
	// depthShare is the most that there is at once.
	depthShare = 0.16
	// burstShare may be used at any time within a window, by loaders alone.
	burstShare = 0.095
	// reserveShare bounds what a loader has to have before it grants any request.
	reserveShare = 0.11
)

// Bounds are the deployment's promise: within any Window, no more of an account's requests
// run than (rate x Window + burst) x (1 + Over) + Slack.
type Bounds struct {
	Window time.Duration
	Over   float64
	// Slack is in the unit of the account.
	Slack float64
	// Routers is the least number of routers that there are, 0 if operators did not tell it.
	Routers int
}

// Limit is what an account may use.
type Limit struct {
	// Rate is a second's, Burst what may come at once beyond it.
	Rate, Burst float64
}

// Most is the largest use within a window that the bounds allow.
func (b Bounds) MaxUse(l Limit) float64 {
	return (l.Rate*b.Window.Seconds()+l.Burst)*(1+b.Over) + b.Slack
}
