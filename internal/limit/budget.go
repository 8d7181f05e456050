package limit

import (
	"math"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
)

// This file enforces the budget of an engine, a limit that the loader beside it computes (see
// package enginebudget), and of a plain service's server (see package serverbudget). It is kept
// apart from the limit that the server itself announces, so that an answer without a limit does
// not end it. The lower of the two applies.
//
// A budget has no window: the requests that the engine received before are part of the state
// that the budget was computed from.

const (
	// BudgetLife is how long a router keeps a budget after the last message of its loader.
	BudgetLife = 1500 * time.Millisecond
	// BudgetInterval is the time between two such messages.
	BudgetInterval = 500 * time.Millisecond
	// minBudgetBurst is the shortest time in which the bucket of a budget fills: routers'
	// requests arrive at random.
	minBudgetBurst = 100 * time.Millisecond
)

// Budget is the budget of a server at the loader that counts.
type Budget struct {
	// PerSecond is in requests per second, 0 without a budget.
	PerSecond float64
	// Burst is the time in which the bucket of an unused budget fills. It is bounded by
	// minBudgetBurst and burstTime.
	Burst time.Duration
	// Shared is set if permits are granted by rank and by the shares of client accounts,
	// instead of to whoever asks first.
	Shared bool
}

// message returns the budget as a message states it that is sent the given time after it was set.
// A loader that gets no reports of its engine sets it no more, and lets it expire also at routers
// that ask for permits.
func (b Budget) message(age time.Duration) (perSecond float64, lasts time.Duration) {
	lasts = BudgetLife - age
	if b.PerSecond == 0 || lasts <= 0 {
		return 0, 0
	}
	return b.PerSecond, lasts
}

// SetBudget sets the budget of a server's life, one of 0 ends it. It returns the message that
// announces the budget to routers, nil if the server has begun another life.
func (l *Limiter) SetBudget(now core.Time, life core.ServerLife, b Budget) *core.LimitReply {
	s, current := l.server(now, life)
	if !current {
		return nil
	}
	s.updatedAt = now
	if begins := s.budget.PerSecond == 0 && b.PerSecond > 0; begins && !s.announcement.Named {
		s.bucket = emptied(s.bucket, now)
	}
	b.Burst = min(burstTime, max(minBudgetBurst, b.Burst))
	s.budget, s.budgetAt = b, now
	s.setRate(now)
	return s.message(now)
}

// emptied returns a bucket without tokens: an engine whose budget begins has work already.
func emptied(b bucket, now core.Time) bucket {
	b.tokens, b.at = 0, now
	return b
}

// grantsByShares reports whether a server's permits are granted by rank and shares.
func (s *limitedServer) grantsByShares() bool { return s.budget.PerSecond > 0 && s.budget.Shared }

// limited reports whether any limit applies.
func (s *limitedServer) limited() bool { return s.announcement.Named || s.budget.PerSecond > 0 }

// setRate sets the bucket to the limits in force. Retries move with the rate.
func (s *limitedServer) setRate(now core.Time) {
	if !s.limited() {
		return
	}
	before := s.bucket.rate
	named := max(MinPerSecond, s.announcement.PerSecond)
	switch {
	case s.budget.PerSecond == 0:
		s.bucket.setRate(now, named, named, burstTime)
		return
	case !s.announcement.Named:
		s.bucket.setRate(now, s.budget.PerSecond, 0, s.budget.Burst)
	case s.budget.PerSecond < named:
		s.bucket.setRate(now, s.budget.PerSecond, named, s.budget.Burst)
	default:
		s.bucket.setRate(now, named, named, burstTime)
	}
	if before > 0 {
		s.retries.rescale(now, s.bucket.rate/before)
	}
}

// Limit returns the limit in force, in requests a second, and whether there is one: the lower
// of the one that the server announced and the engine's budget.
func (g *Gate) Limit() (perSecond float64, limited bool) {
	switch {
	case g.budget == 0:
		return g.announcement.PerSecond, g.announcement.Named
	case !g.announcement.Named:
		return g.budget, true
	default:
		return min(g.budget, g.announcement.PerSecond), true
	}
}

// Announced returns the limit that the server announced, in requests a second, and whether
// there is one.
func (g *Gate) Announced() (perSecond float64, named bool) {
	return g.announcement.PerSecond, g.announcement.Named
}

// Budget returns the engine's budget in requests a second, 0 without one.
func (g *Gate) Budget() float64 { return g.budget }

// LimitedByBudget reports whether the limit in force is the engine's budget.
func (g *Gate) LimitedByBudget() bool {
	return g.budget > 0 && (!g.announcement.Named || g.budget < g.announcement.PerSecond)
}

// UpdateBudget processes a message on the engine's budget, which holds for lasts. A budget of 0,
// or one that is not a number, ends it.
func (g *Gate) UpdateBudget(now core.Time, perSecond float64, lasts time.Duration) {
	if !(perSecond > 0) || math.IsInf(perSecond, 1) || lasts <= 0 {
		g.budget, g.budgetUntil = 0, 0
		return
	}
	before, limited := g.Limit()
	g.budget, g.budgetUntil = perSecond, now.Add(min(lasts, BudgetLife))
	if !limited {
		g.knownSince = now
		g.permitAt, g.sparePermitAt, g.localUntil = now, now, 0
		return
	}
	if after, _ := g.Limit(); before > 0 && after > before {
		g.permitAt = rescaled(now, g.permitAt, after/before)
		g.sparePermitAt = rescaled(now, g.sparePermitAt, after/before)
	}
}

// ExpireBudget ends a budget that its loader has not renewed in time, and reports whether it
// did.
func (g *Gate) ExpireBudget(now core.Time) (expired bool) {
	if g.budget == 0 || now < g.budgetUntil {
		return false
	}
	g.budget, g.budgetUntil = 0, 0
	return true
}
