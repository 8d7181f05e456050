package limit

import (
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/window"
)

const (
	// PermitTimeout is how long a router waits for the loader's answer: a few round
	// trips and the scheduling delay of a busy process.
	PermitTimeout = 100 * time.Millisecond
	// localDuration is how long a router decides on its own after a request for a permit
	// that was not answered, before it asks the loader again.
	localDuration = time.Second
	// turnDuration is the maximum duration of a turn. The requests of all routers within
	// a window are bounded by the turns that overlap the window and this duration.
	turnDuration = 500 * time.Millisecond
	// minPeriod is the minimum time between two turns: for a huge limit the computed
	// time rounds to 0.
	minPeriod = time.Microsecond
	// confirmInterval is how long a limit remains without confirmation by an answer
	// before a request that another server could serve is sent there to check it.
	confirmInterval = 10 * time.Second
	// gateSlots is the number of slots in which a router counts what it sends to a
	// server.
	gateSlots = 8
)

// Gate decides, in one router, whether requests may be sent to one server. The zero value
// is not usable; see NewGate.
type Gate struct {
	announcement Announcement
	// budget is the engine's budget, in force until budgetUntil, 0 without one.
	budget      float64
	budgetUntil core.Time
	// knownSince is when the current limit was first received.
	knownSince core.Time
	// uncounted counts the requests within the last window that were sent without a
	// permit and not yet reported to the loader.
	uncounted window.Window
	// permitAt is the earliest time at which the loader may grant a request,
	// sparePermitAt that for a request that another server could serve.
	permitAt, sparePermitAt core.Time
	// intentAt is when a request was last about to be sent there.
	intentAt core.Time
	// retries schedules the retries of refused callers.
	retries RetrySchedule
	// localUntil is the time until which this router decides on its own.
	localUntil core.Time
	// phase is the offset of this router's turn within each period, from 0 to 1, while
	// all routers decide on their own. lastTurn is the start of the last turn that was
	// used.
	phase    float64
	lastTurn core.Time
}

// NewGate returns the gate of a server without a limit. The phase, from 0 to 1, differs
// between routers: when all decide on their own, their turns come at different times.
func NewGate(phase float64) *Gate {
	return &Gate{uncounted: window.New(Window, gateSlots), phase: phase}
}

// KnownSince returns when this router first received the current limit.
func (g *Gate) KnownSince() core.Time { return g.knownSince }

// Update processes an announcement and reports whether it changes anything.
func (g *Gate) Update(now core.Time, next Announcement) (changed bool) {
	_, before := g.Limit()
	g.announcement, changed = g.announcement.Update(next)
	if changed && !before {
		g.knownSince = now
	}
	if changed {
		g.permitAt, g.sparePermitAt = now, now
	}
	return changed
}

// Message returns the last announcement as a message.
func (g *Gate) Message(now core.Time) core.ReportedLimit { return g.announcement.message(now) }

// ColdFor returns the remaining time for which the limit holds in any case, 0 if it ends with an
// answer that names none.
func (g *Gate) ColdFor(now core.Time) time.Duration { return g.announcement.coldFor(now) }

// TakeUncounted returns and resets the counts of requests sent without a permit, to be
// reported to the loader that counts; nil if there are none.
func (g *Gate) TakeUncounted(now core.Time) []float64 {
	if g.uncounted.Total(now) == 0 {
		return nil
	}
	parts := g.uncounted.Parts(now, gateSlots)
	g.uncounted = window.New(Window, gateSlots)
	return parts
}

// RecordSent records a request that was sent without a permit: the server had announced
// no limit, or no loader answered.
func (g *Gate) RecordSent(now core.Time) { g.uncounted.Add(now, 1) }

// Delay returns how long no request can be sent to the server, 0 if one may be possible
// now. With spare set it is for a request that another server could serve.
func (g *Gate) Delay(now core.Time, spare bool) time.Duration {
	if _, limited := g.Limit(); !limited {
		return 0
	}
	at := g.permitAt
	if spare {
		at = max(at, g.sparePermitAt)
	}
	return max(0, at.Sub(now))
}

// RetryAfter returns after what time the next caller that is refused because of the limit
// should retry.
func (g *Gate) RetryAfter(now core.Time) time.Duration {
	perSecond, _ := g.Limit()
	return g.retries.Next(now, g.Delay(now, false), permitInterval(perSecond))
}

// RecordIntent records that a request is to be sent to the server once it is permitted.
func (g *Gate) RecordIntent(now core.Time) { g.intentAt = now }

// Unconfirmed reports whether the limit should be checked by a request, and may be.
//
// It guards against a limit that stays in force after the server has dropped it: if other
// servers are as good, no request is sent there and no answer shows its end.
func (g *Gate) Unconfirmed(now core.Time) bool {
	return g.announcement.Named && now.Sub(max(g.announcement.Received, g.intentAt)) >= confirmInterval && g.Delay(now, true) == 0
}

// NeedsPermit reports whether requests need a permit of the loader. They don't for a
// while after it has failed to answer.
func (g *Gate) NeedsPermit(now core.Time) bool { return now >= g.localUntil }

// RecordRefusal records after what delay the loader may grant a request.
func (g *Gate) RecordRefusal(now core.Time, delay time.Duration, spare bool) {
	if spare {
		g.sparePermitAt = now.Add(delay)
		return
	}
	g.permitAt = now.Add(delay)
}

// LoaderReconnected records that the loader that counts is connected again: it may grant
// requests before this router's next turn.
func (g *Gate) LoaderReconnected(now core.Time) {
	g.permitAt, g.sparePermitAt, g.localUntil = now, now, now
}

// RecordTimeout records that the loader did not answer a request for a permit.
func (g *Gate) RecordTimeout(now core.Time) { g.localUntil = now.Add(localDuration) }

// TakeTurn decides without the loader, by turns: each of the given number of routers has
// turns at its share of the limit, and may send one request during each.
//
// It enforces the limit while the loader that counts is down, frozen or unreachable.
// Unused turns expire, so that routers which all receive a burst after a quiet period do
// not send it all at once. If a few routers use turns while the loader grants the whole
// limit to the others, the excess stays within the half that servers tolerate beyond
// their limits.
func (g *Gate) TakeTurn(now core.Time, routers int) bool {
	limit, _ := g.Limit()
	perSecond := max(MinPerSecond, limit) / float64(max(1, routers))
	period := max(minPeriod, time.Duration(float64(time.Second)/perSecond))
	turn := now - core.Time(time.Duration(now)+period-time.Duration(g.phase*float64(period)))%core.Time(period)
	next := turn.Add(period)
	maxSent := perSecond*Window.Seconds() + 1
	switch {
	case turn <= g.lastTurn || now.Sub(turn) > turnDuration:
		g.blockUntil(now, next)
		return false
	case g.uncounted.Total(now)+1 > maxSent:
		g.blockUntil(now, now.Add(g.uncounted.RoomIn(now, max(0, maxSent-1))))
		return false
	default:
		g.lastTurn = turn
		return true
	}
}

// blockUntil records that no request can be sent before a time, except that the loader
// may grant one once it is asked again.
func (g *Gate) blockUntil(now, at core.Time) {
	g.permitAt = at
	if g.localUntil > now {
		g.permitAt = min(at, g.localUntil)
	}
}
