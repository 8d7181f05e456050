// Package bodymemory decides how much memory the bodies of requests may take, over all requests of a
// process, and which of them leave when it is short. It has no I/O and no clock.
//
// Invariants: the bytes granted never exceed Ledger.Bytes; bodies of more than SmallBytes together
// never exceed three quarters of it, so that small ones find room beside any number of large ones. A
// body counts from its first byte until it is released, by what has arrived or is about to be read,
// not by its announced length: otherwise announcing alone would take the memory.
//
// While there is room, a body may take any time. When there is none, the bodies that come too slowly
// leave, the largest first. If that is not enough, a large body takes the room of large ones of which
// less has arrived, so that some come to their end however many there are. A body that has arrived
// whole never leaves: its request may have run.
package bodymemory

import (
	"cmp"
	"math"
	"slices"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
)

const (
	// SmallBytes is the size up to which a body counts as small.
	SmallBytes = 64 << 10
	// largeShare is the part of the memory that bodies of more than SmallBytes may take.
	largeShare = 0.75
	// rateWindow is the time over which the rate of a body is measured.
	rateWindow = time.Second
	// minBytesPerSecond is the rate below which a body comes too slowly.
	minBytesPerSecond = 16 << 10
	// minRetryAfter and retryAfterSpread bound the time after which a refused caller returns. It
	// differs from caller to caller, so that they don't return at once.
	minRetryAfter    = 500 * time.Millisecond
	retryAfterSpread = time.Second
)

// ID identifies a body in a process.
type ID uint64

// Event is what happens to a body.
type Event interface{ event() }

// Needed asks for memory, before it is allocated. The first one begins the body.
type Needed struct {
	ID    ID
	Bytes int64
}

// Arrived reports that a part of a body has been read.
type Arrived struct {
	ID    ID
	Bytes int64
}

// Whole reports that a body has been read to its end, and how much of what was granted it does not
// need.
type Whole struct {
	ID     ID
	Unused int64
}

// Released reports that the memory of a body is no longer used.
type Released struct{ ID ID }

// LargestChanged sets the size, in bytes, of the largest body that is allowed.
type LargestChanged struct{ Bytes int64 }

// ConnsExhausted reports that no further connections of callers can be held, and of how many bodies
// the connections are wanted.
type ConnsExhausted struct{ Bodies int }

func (Needed) event()         {}
func (Arrived) event()        {}
func (Whole) event()          {}
func (Released) event()       {}
func (LargestChanged) event() {}
func (ConnsExhausted) event() {}

// Decision is what follows from an event.
type Decision struct {
	// Refused is set if the memory that an event needed is not granted. What the body holds stays
	// granted until it is released.
	Refused bool
	// Dropped are bodies that must not be read further. Their memory has to be given up at once: it
	// is granted to others.
	Dropped []ID
}

// body is what is known of a body.
type body struct {
	id   ID
	held int64
	// whole is set once it has been read to its end.
	whole bool
	// since is when the current window of its rate began, received what has arrived since then.
	since    core.Time
	received int64
	// slow is set if it came too slowly in the window before.
	slow bool
}

// Ledger is the state of all bodies of a process. It is used by one goroutine at a time.
type Ledger struct {
	configured, limit int64
	bodies            map[ID]*body
	held, heldByLarge int64
}

// New returns a ledger of a number of bytes. It grows as far as one body of the largest size needs.
func New(bytes int64) *Ledger {
	return &Ledger{configured: bytes, limit: bytes, bodies: map[ID]*body{}}
}

// Bytes returns the memory that all bodies may take.
func (l *Ledger) Bytes() int64 { return l.limit }

// Held returns the memory that is granted.
func (l *Ledger) Held() int64 { return l.held }

// Bodies returns the number of bodies.
func (l *Ledger) Bodies() int { return len(l.bodies) }

// RetryAfter returns when the caller of a refused body should return.
func RetryAfter(id ID) time.Duration {
	const golden = 0x9E3779B97F4A7C15 // spreads consecutive numbers
	spread := float64(uint64(id)*golden) / math.MaxUint64
	return minRetryAfter + time.Duration(spread*float64(retryAfterSpread))
}

// Step handles an event.
func (l *Ledger) Step(now core.Time, event Event) Decision {
	switch e := event.(type) {
	case Needed:
		return l.need(now, e)
	case Arrived:
		if b := l.bodies[e.ID]; b != nil {
			b.measure(now)
			b.received += e.Bytes
		}
	case Whole:
		if b := l.bodies[e.ID]; b != nil {
			l.resize(b, -e.Unused)
			b.whole = true
		}
	case Released:
		if b := l.bodies[e.ID]; b != nil {
			l.remove(b)
		}
	case LargestChanged:
		l.limit = max(l.configured, int64(math.Ceil(float64(e.Bytes)/largeShare)))
	case ConnsExhausted:
		return l.dropSlow(now, e.Bodies)
	}
	return Decision{}
}

func (l *Ledger) need(now core.Time, e Needed) (d Decision) {
	b := l.bodies[e.ID]
	if b == nil {
		b = &body{id: e.ID, since: now}
	}
	if !l.fits(b, e.Bytes) {
		d.Dropped = l.makeRoom(now, b, e.Bytes)
	}
	if !l.fits(b, e.Bytes) {
		d.Refused = true
		return d
	}
	l.bodies[b.id] = b
	l.resize(b, e.Bytes)
	return d
}

// fits reports whether a body may take more bytes.
func (l *Ledger) fits(b *body, more int64) bool {
	if l.held+more > l.limit {
		return false
	}
	if b.held+more <= SmallBytes {
		return true
	}
	large := l.heldByLarge + more
	if !b.isLarge() {
		large += b.held
	}
	return float64(large) <= largeShare*float64(l.limit)
}

// makeRoom drops bodies until another one may take more bytes. It drops none if that would not be
// enough.
func (l *Ledger) makeRoom(now core.Time, b *body, more int64) (dropped []ID) {
	victims := append(l.slowBodies(now, b), l.behind(now, b)...)
	for _, victim := range victims {
		l.remove(victim)
		dropped = append(dropped, victim.id)
		if l.fits(b, more) {
			return dropped
		}
	}
	for _, victim := range victims {
		l.bodies[victim.id] = victim
		l.count(victim, 1)
	}
	return nil
}

// slowBodies returns the bodies other than b that come too slowly, the largest first, of equal ones
// the one that has been measured for longest.
func (l *Ledger) slowBodies(now core.Time, b *body) (slow []*body) {
	for _, other := range l.bodies {
		if other != b && other.isSlow(now) {
			slow = append(slow, other)
		}
	}
	slices.SortFunc(slow, func(x, y *body) int {
		return cmp.Or(cmp.Compare(y.held, x.held), cmp.Compare(x.since, y.since), cmp.Compare(x.id, y.id))
	})
	return slow
}

// behind returns the large bodies that don't come too slowly and of which less has arrived than of b,
// if b is large, those with least first.
func (l *Ledger) behind(now core.Time, b *body) (behind []*body) {
	for _, other := range l.bodies {
		if other.isLarge() && other.held < b.held && !other.whole && !other.isSlow(now) {
			behind = append(behind, other)
		}
	}
	slices.SortFunc(behind, func(x, y *body) int { return cmp.Or(cmp.Compare(x.held, y.held), cmp.Compare(x.id, y.id)) })
	return behind
}

// dropSlow drops bodies that come too slowly, the largest first, at most the given number.
func (l *Ledger) dropSlow(now core.Time, most int) (d Decision) {
	slow := l.slowBodies(now, nil)
	for _, victim := range slow[:min(most, len(slow))] {
		l.remove(victim)
		d.Dropped = append(d.Dropped, victim.id)
	}
	return d
}

// resize changes what a body holds.
func (l *Ledger) resize(b *body, by int64) {
	l.count(b, -1)
	b.held += by
	l.count(b, 1)
}

func (l *Ledger) remove(b *body) {
	l.count(b, -1)
	delete(l.bodies, b.id)
}

// count adds a body to the sums, or with sign -1 takes it off.
func (l *Ledger) count(b *body, sign int64) {
	l.held += sign * b.held
	if b.isLarge() {
		l.heldByLarge += sign * b.held
	}
}

func (b *body) isLarge() bool { return b.held > SmallBytes }

// isSlow reports whether a body comes too slowly. What has just begun does not.
func (b *body) isSlow(now core.Time) bool {
	b.measure(now)
	return b.slow && !b.whole
}

// measure ends the window of the rate if its time is over.
func (b *body) measure(now core.Time) {
	windows := now.Sub(b.since) / rateWindow
	if windows == 0 {
		return
	}
	const least = minBytesPerSecond * rateWindow / time.Second
	b.slow = windows > 1 || b.received < int64(least)
	b.since, b.received = b.since.Add(windows*rateWindow), 0
}
