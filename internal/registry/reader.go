// Package registry decides when a router reads the platform's registry itself, and
// which news of it that other routers have read it takes in.
//
// It answers this pattern: 68 routers that each read the registry a few times within
// the shortest bound make half of what a quiet day costs, and read the same. So a
// router that has read passes the news on, through loaders, which are connected to
// all routers; who hears of it in time need not read.
//
// No router is needed for another: each has a time of its own, mixed by chance, after
// which it reads if it has heard nothing newer. What gets lost costs a call. So that a
// large fleet reads no more often than a small one, the times are spread by the number of
// routers; see Share. The package has no I/O and no clock.
package registry

import (
	"math"
	"math/rand/v2"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
)

// soonest is the part of the longest pause after which the first routers read. All
// times lie between it and the whole, so that of many routers one comes first, and
// its news is everywhere before most of the others are due.
const soonest = 0.5

// firstRetry is the pause after a read that failed; each further failure doubles it,
// up to the longest pause.
const firstRetry = 100 * time.Millisecond

// Reader is when one router reads. The zero value is not usable; see NewReader.
type Reader struct {
	rand  *rand.Rand
	pause time.Duration
	// readers is the number of routers that read, as far as known.
	readers int
	// known is the position up to which the registry is known. Its revision is 0 if that
	// has to be read as a whole; the era stays then.
	known core.StorePosition
	// anyEra is set until the first answer.
	anyEra bool
	due    core.Time
	// retry is the pause after the last failure, 0 since a read that went well.
	retry time.Duration
}

// NewReader returns a reader that is due at once. It reads at the latest after the
// pause.
func NewReader(pause time.Duration, seed uint64) *Reader {
	return &Reader{rand: rand.New(rand.NewPCG(seed, seed)), pause: pause, anyEra: true}
}

// SetPause replaces the longest pause from the next time on.
func (r *Reader) SetMaxInterval(pause time.Duration) { r.pause = pause }

// SetReaders tells how many routers read the registry and hear of each other's reads.
func (r *Reader) SetReaders(n int) { r.readers = n }

// Known is the position up to which the registry is known. Its revision is 0 if it has to
// be read as a whole.
func (r *Reader) Known() core.StorePosition { return r.known }

// Due is when the router is to read itself.
func (r *Reader) Due() core.Time { return r.due }

// Reading is what an answer of the store is worth.
type Reading uint8

const (
	// Stale answers say nothing newer, or are from before the store went back.
	Stale Reading = iota
	// Current answers are to be applied.
	Current
	// Restored answers are the first of a store that has gone back: they lack what was
	// written last.
	Restored
)

// ReadWhole notes that the whole was read, as of a position.
//
// It guards against the answer of a store that has gone back since: applied after the first
// one of the newer era, it would bring back what that has shown to be gone.
func (r *Reader) ReadWhole(now core.Time, at core.StorePosition) Reading {
	if !r.anyEra && at.Era < r.known.Era {
		return Stale
	}
	reading := Current
	if !r.anyEra && at.Era > r.known.Era {
		reading = Restored
	}
	r.known, r.anyEra = at, false
	r.fresh(now)
	return reading
}

// ReadChanges notes that this router read the changes from what it knew at that time to a
// position, and tells whether they are to be applied.
//
// It guards against an answer that was overtaken by another router's news: what it
// says of a server may be older than what is known.
func (r *Reader) ReadChanges(now core.Time, from int64, to core.StorePosition) Reading {
	reading := r.PeerReadChanges(now, from, to)
	if reading == Stale && to.Compare(r.known) >= 0 && to.Era == r.known.Era {
		r.fresh(now)
	}
	return reading
}

// Hear notes that another router has read the changes from a revision to a position, and
// tells whether they are to be applied: if they begin at or before what is known, and
// go beyond it. They show the state at the later revision, so that a part that is
// known already does no harm; a gap would hide what lies in it, and is left for the
// router's own read.
//
// News that say nothing newer are no reason to put the own read off: they may have
// lain in a connection or a process that was frozen, for any time.
//
// It guards against a store that went back: its revisions are given out again, so that
// changes of the newer era fit what is known by their numbers only, and those of the older
// one would hide the newer. The first word of a newer era makes the next read one of the
// whole.
func (r *Reader) PeerReadChanges(now core.Time, from int64, to core.StorePosition) Reading {
	switch {
	case r.known.Revision == 0:
	case to.Era > r.known.Era:
		r.RequireFullRead(now)
	case to.Era == r.known.Era && from <= r.known.Revision && to.Revision > r.known.Revision:
		r.known = to
		r.fresh(now)
		return Current
	}
	return Stale
}

// Forget makes the next read one of the whole, at once: the store has discarded the
// history since the revision that is known.
func (r *Reader) RequireFullRead(now core.Time) { r.known.Revision, r.due = 0, now }

// Failed notes that a read failed, and puts the next one off.
//
// It guards against a long outage: a pause that is doubled without a bound is beyond
// what a number holds after some 40 failures, and from then on the store was asked
// without a pause, by every router, just when it came back.
func (r *Reader) Failed(now core.Time) {
	r.retry = min(max(firstRetry, 2*r.retry), r.pause)
	r.due = now.Add(r.retry)
}

// ReadNow makes the next read due at once.
func (r *Reader) ReadNow(now core.Time) { r.due = now }

func (r *Reader) fresh(now core.Time) {
	r.retry = 0
	r.due = now.Add(time.Duration((soonest + (1-soonest)*r.DelayFraction()) * float64(r.pause)))
}

// Share draws a time between 0 and 1 with a density that grows exponentially, the faster the
// more routers there are: about one is early enough to come first, and about as many come
// within the time that its news takes, whether there are 30 routers or 800.
//
// It guards against reads that grow with the fleet: of 385 times that are spread evenly
// over a second, 77 lie within the 0.2 s until the first one's news are everywhere.
func (r *Reader) DelayFraction() float64 {
	growth := 1 + math.Log(float64(max(1, r.readers)))
	return math.Log1p(r.rand.Float64()*math.Expm1(growth)) / growth
}
