// Package registry decides when a router reads the platform's registry, and which changes
// read by other routers it applies.
//
// 68 routers that each read the registry a few times within the shortest bound cause half
// of the cost of a quiet day, and all read the same. So a router that has read the registry
// sends the changes to the others through loaders, which are connected to all routers; a
// router that receives them in time need not read.
//
// No router depends on another: each has a random time after which it reads if it has
// received nothing newer. A lost message costs one call. The times are spread according to
// the number of routers, so that a large fleet reads no more often than a small one; see
// DelayFraction. The package has no I/O and no clock.
package registry

import (
	"math"
	"math/rand/v2"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
)

// minDelayFraction is the fraction of the maximum interval after which the first routers
// read. All read times lie between it and the whole interval, so that of many routers one
// reads first and its changes reach most of the others before they are due.
const minDelayFraction = 0.5

// firstRetry is the delay after a failed read; each further failure doubles it, up to the
// maximum interval.
const firstRetry = 100 * time.Millisecond

// Reader schedules the registry reads of one router. The zero value is not usable; see
// NewReader.
type Reader struct {
	rand        *rand.Rand
	maxInterval time.Duration
	// readers is the number of routers that read the registry, as far as known.
	readers int
	// known is the position up to which the registry is known. Its revision is 0 if a full
	// read is required; its era is kept then.
	known core.StorePosition
	// anyEra is set until the first answer.
	anyEra bool
	due    core.Time
	// retry is the delay after the last failure, 0 after a successful read.
	retry time.Duration
}

// NewReader returns a reader that is due at once. maxInterval is the longest time
// between two reads.
func NewReader(maxInterval time.Duration, seed uint64) *Reader {
	return &Reader{rand: rand.New(rand.NewPCG(seed, seed)), maxInterval: maxInterval, anyEra: true}
}

// SetMaxInterval replaces the maximum interval, from the next scheduled read on.
func (r *Reader) SetMaxInterval(maxInterval time.Duration) { r.maxInterval = maxInterval }

// SetReaders sets the number of routers that read the registry and share the changes.
func (r *Reader) SetReaders(n int) { r.readers = n }

// Known is the position up to which the registry is known. Its revision is 0 if a full read
// is required.
func (r *Reader) Known() core.StorePosition { return r.known }

// Due is when the router is to read the registry itself.
func (r *Reader) Due() core.Time { return r.due }

// Reading states how an answer of the store is to be used.
type Reading uint8

const (
	// Stale answers contain nothing newer, or predate a restore of the store.
	Stale Reading = iota
	// Current answers are to be applied.
	Current
	// Restored answers are the first ones of a store that was restored to an earlier state:
	// they lack its last writes.
	Restored
)

// ReadWhole records a full read as of a position.
//
// It rejects an answer from before a restore of the store: applied after the first one of
// the newer era, it would restore entries that this one has shown to be removed.
func (r *Reader) ReadWhole(now core.Time, at core.StorePosition) Reading {
	if !r.anyEra && at.Era < r.known.Era {
		return Stale
	}
	reading := Current
	if !r.anyEra && at.Era > r.known.Era {
		reading = Restored
	}
	r.known, r.anyEra = at, false
	r.scheduleNext(now)
	return reading
}

// ReadChanges records that this router read the changes from the revision that it knew at
// that time to a position, and returns whether they are to be applied.
//
// It rejects an answer that arrives after newer changes from another router: its state of a
// server may be older than the known one.
func (r *Reader) ReadChanges(now core.Time, from int64, to core.StorePosition) Reading {
	reading := r.PeerReadChanges(now, from, to)
	if reading == Stale && to.Compare(r.known) >= 0 && to.Era == r.known.Era {
		r.scheduleNext(now)
	}
	return reading
}

// PeerReadChanges records that another router has read the changes from a revision to a
// position, and returns whether they are to be applied: this is so if they start at or
// before the known revision and extend beyond it. They contain the state at the later
// revision, so that an overlap is harmless. A gap would hide the changes in it and is left
// to the router's own read.
//
// Changes that contain nothing newer do not postpone the router's own read: they may have
// been delayed for any time in a connection or a suspended process.
//
// A restored store assigns its revisions again. Changes of the newer era would seem to fit
// the known revision by their numbers only, and those of the older era would hide newer
// ones. The first message of a newer era makes the next read a full read.
func (r *Reader) PeerReadChanges(now core.Time, from int64, to core.StorePosition) Reading {
	switch {
	case r.known.Revision == 0:
	case to.Era > r.known.Era:
		r.RequireFullRead(now)
	case to.Era == r.known.Era && from <= r.known.Revision && to.Revision > r.known.Revision:
		r.known = to
		r.scheduleNext(now)
		return Current
	}
	return Stale
}

// RequireFullRead makes the next read a full read, due at once: the store has discarded the
// history since the known revision.
func (r *Reader) RequireFullRead(now core.Time) { r.known.Revision, r.due = 0, now }

// Failed records a failed read and delays the next one.
//
// The delay is bounded because of long outages: doubled without a bound, it overflows after
// about 40 failures, and then every router reads without a delay, just when the store
// becomes available again.
func (r *Reader) Failed(now core.Time) {
	r.retry = min(max(firstRetry, 2*r.retry), r.maxInterval)
	r.due = now.Add(r.retry)
}

// ReadNow makes the next read due at once.
func (r *Reader) ReadNow(now core.Time) { r.due = now }

func (r *Reader) scheduleNext(now core.Time) {
	r.retry = 0
	r.due = now.Add(time.Duration((minDelayFraction + (1-minDelayFraction)*r.DelayFraction()) * float64(r.maxInterval)))
}

// DelayFraction returns a random number between 0 and 1. Its density grows exponentially,
// the faster the more routers there are: about one router is early enough to be the first,
// and about as many read while its changes are in transit, whether there are 30 routers or
// 800.
//
// With evenly spread times the number of reads would grow with the fleet: of 385 times
// within a second, 77 lie within the 0.2 s until the first one's changes have reached all
// routers.
func (r *Reader) DelayFraction() float64 {
	growth := 1 + math.Log(float64(max(1, r.readers)))
	return math.Log1p(r.rand.Float64()*math.Expm1(growth)) / growth
}
