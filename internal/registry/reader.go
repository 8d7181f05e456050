// Package registry decides when a router reads the platform's registry itself, and
// which news of it that other routers have read it takes in.
//
// It answers this pattern: 68 routers that each read the registry a few times within
// the shortest bound make half of what a quiet day costs, and read the same. So a
// router that has read passes the news on, through loaders, which are connected to
// all routers; who hears of it in time need not read.
//
// No router is needed for another: each has a time of its own, mixed by chance, after
// which it reads if it has heard nothing newer. What gets lost costs a call. The
// package has no I/O and no clock.
package registry

import (
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
	rand     *rand.Rand
	pause    time.Duration
	revision int64
	due      core.Time
	// retry is the pause after the last failure, 0 since a read that went well.
	retry time.Duration
}

// NewReader returns a reader that is due at once. It reads at the latest after the
// pause.
func NewReader(pause time.Duration, seed uint64) *Reader {
	return &Reader{rand: rand.New(rand.NewPCG(seed, seed)), pause: pause}
}

// SetPause replaces the longest pause from the next time on.
func (r *Reader) SetPause(pause time.Duration) { r.pause = pause }

// Revision is the store's revision up to which the registry is known, 0 if it has to
// be read as a whole.
func (r *Reader) Revision() int64 { return r.revision }

// Due is when the router is to read itself.
func (r *Reader) Due() core.Time { return r.due }

// ReadWhole notes that the whole was read, as of a revision.
func (r *Reader) ReadWhole(now core.Time, revision int64) {
	r.revision = revision
	r.fresh(now)
}

// ReadChanges notes that this router read the changes between two revisions, and
// tells whether they are to be applied.
//
// It guards against an answer that was overtaken by another router's news: what it
// says of a server may be older than what is known.
func (r *Reader) ReadChanges(now core.Time, from, to int64) bool {
	news := r.Hear(now, from, to)
	if !news && to >= r.revision {
		r.fresh(now)
	}
	return news
}

// Hear notes that another router has read the changes between two revisions, and
// tells whether they are to be applied: if they begin at or before what is known, and
// go beyond it. They show the state at the later revision, so that a part that is
// known already does no harm; a gap would hide what lies in it, and is left for the
// router's own read.
//
// News that say nothing newer are no reason to put the own read off: they may have
// lain in a connection or a process that was frozen, for any time.
func (r *Reader) Hear(now core.Time, from, to int64) bool {
	if r.revision == 0 || from > r.revision || to <= r.revision {
		return false
	}
	r.revision = to
	r.fresh(now)
	return true
}

// Forget makes the next read one of the whole, at once: the store has discarded the
// history since the revision that is known.
func (r *Reader) Forget(now core.Time) { r.revision, r.due = 0, now }

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
	share := soonest + (1-soonest)*r.rand.Float64()
	r.due = now.Add(time.Duration(share * float64(r.pause)))
}
