package limit

import (
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/window"
)

const (
	// Patience is how long a router waits for the loader's answer: some ways there and
	// back, and a turn of a busy process.
	Patience = 100 * time.Millisecond
	// silentFor is how long a router decides by itself after a question that was not
	// answered, before it asks again.
	silentFor = time.Second
	// turnLasts is how long a turn lasts at most. What all take within a window is what
	// the turns of a window and this make.
	turnLasts = 500 * time.Millisecond
	// leastPeriod bounds the time between two turns: that of a huge limit rounds to 0.
	leastPeriod = time.Microsecond
	// confirmAfter is how long a limit stands that no answer has confirmed before a request
	// that another server could serve goes there to see.
	confirmAfter = 10 * time.Second
	// gateSlots is how finely a router counts what it sends to a server.
	gateSlots = 8
)

// Gate decides in one router whether requests may go to one server. The zero value is not
// usable; see NewGate.
type Gate struct {
	word Word
	// since is when the limit that holds was first heard of.
	since core.Time
	// uncounted is what was sent without asking within the last window, and was not told.
	uncounted window.Window
	// room is from when the loader may grant a request, spareRoom one that another server
	// could serve.
	room, spareRoom core.Time
	// askedAt is when a request was last to go there.
	askedAt core.Time
	// refused are callers who were refused and come back.
	refused line
	// silentUntil is until when this router decides by itself.
	silentUntil core.Time
	// phase is when in each period this router's turn begins, from 0 to 1, while all
	// decide by themselves; turnTaken is when the last turn began that was used.
	phase     float64
	turnTaken core.Time
}

// NewGate returns the gate of a server that has named no limit. The phase, from 0 to 1,
// is another at each router: where all decide by themselves, their turns come at
// different times.
func NewGate(phase float64) *Gate {
	return &Gate{uncounted: window.New(Window, gateSlots), phase: phase}
}

// Limit is the limit that holds, in requests a second; false if there is none.
func (g *Gate) Limit() (perSecond float64, named bool) { return g.word.PerSecond, g.word.Named }

// KnownSince is when this router first heard of the limit that holds.
func (g *Gate) KnownSince() core.Time { return g.since }

// Hear takes in a word on the limit, and tells whether it changes anything.
func (g *Gate) Hear(now core.Time, word Word) (changed bool) {
	before := g.word.Named
	g.word, changed = g.word.Follow(word)
	if changed && !before {
		g.since = now
	}
	if changed {
		g.room, g.spareRoom = now, now
	}
	return changed
}

// Told is what is known of the limit, as messages have it.
func (g *Gate) Told(now core.Time) core.ReportedLimit { return g.word.told(now) }

// TakeUncounted returns what was sent without asking, to be told to the loader that
// counts; nil if there is nothing.
func (g *Gate) TakeUncounted(now core.Time) []float64 {
	if g.uncounted.Total(now) == 0 {
		return nil
	}
	parts := g.uncounted.Parts(now, gateSlots)
	g.uncounted = window.New(Window, gateSlots)
	return parts
}

// Sent notes that a request was sent without asking: the server named no limit, or no
// loader answered.
func (g *Gate) Sent(now core.Time) { g.uncounted.Add(now, 1) }

// RoomIn is how long there is no room at the server, 0 if there may be: for any request,
// or for one that another server could serve.
func (g *Gate) RoomIn(now core.Time, spare bool) time.Duration {
	if !g.word.Named {
		return 0
	}
	at := g.room
	if spare {
		at = max(at, g.spareRoom)
	}
	return max(0, at.Sub(now))
}

// ReturnIn is when the next caller who is refused for want of room should come back.
func (g *Gate) ReturnIn(now core.Time) time.Duration {
	return g.refused.after(now, g.RoomIn(now, false), pauseOf(g.word.PerSecond))
}

// Asked notes that a request is to go to the server, once it is permitted.
func (g *Gate) Asked(now core.Time) { g.askedAt = now }

// Unconfirmed tells that the limit is to be looked into, and may be.
//
// It guards against a limit that is over and holds for good: where other servers are as
// good, nothing is sent there and nobody hears of its end.
func (g *Gate) Unconfirmed(now core.Time) bool {
	return g.word.Named && now.Sub(max(g.word.Heard, g.askedAt)) >= confirmAfter && g.RoomIn(now, true) == 0
}

// Asks tells whether requests need the loader's grant: it is there and has not been
// silent lately.
func (g *Gate) Asks(now core.Time) bool { return now >= g.silentUntil }

// Refused takes in that the loader has room later.
func (g *Gate) Refused(now core.Time, room time.Duration, spare bool) {
	if spare {
		g.spareRoom = now.Add(room)
		return
	}
	g.room = now.Add(room)
}

// LoaderBack takes in that the loader that counts is connected again: it may have room
// before this router's next turn.
func (g *Gate) LoaderBack(now core.Time) { g.room, g.spareRoom, g.silentUntil = now, now, now }

// Unanswered takes in that the loader did not answer a question.
func (g *Gate) Unanswered(now core.Time) { g.silentUntil = now.Add(silentFor) }

// TakeAlone decides by turns: of so many routers each has one as often as makes the limit
// for all together, and may send one request while it lasts.
//
// It guards against a limit that nobody keeps: the loader that counts is gone, frozen or
// out of reach. What turns are not used for is lost, so that routers on which a burst falls
// at once, after a quiet time, do not send it all there. Where a few routers go by turns
// while the loader grants all of the limit to the others, what they take lies within the
// half that servers bear beyond their limits.
func (g *Gate) TakeAlone(now core.Time, routers int) bool {
	perSecond := max(LeastPerSecond, g.word.PerSecond) / float64(max(1, routers))
	period := max(leastPeriod, time.Duration(float64(time.Second)/perSecond))
	turn := now - core.Time(time.Duration(now)+period-time.Duration(g.phase*float64(period)))%core.Time(period)
	next := turn.Add(period)
	most := perSecond*Window.Seconds() + 1
	switch {
	case turn <= g.turnTaken || now.Sub(turn) > turnLasts:
		g.noTurnUntil(now, next)
		return false
	case g.uncounted.Total(now)+1 > most:
		g.noTurnUntil(now, now.Add(g.uncounted.RoomIn(now, max(0, most-1))))
		return false
	default:
		g.turnTaken = turn
		return true
	}
}

// noTurnUntil notes that there is no room before a time, but for what the loader may grant
// once it is asked again.
func (g *Gate) noTurnUntil(now, at core.Time) {
	g.room = at
	if g.silentUntil > now {
		g.room = min(at, g.silentUntil)
	}
}
