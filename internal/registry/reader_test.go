package registry

import (
	"testing"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
)

const pause = 1300 * time.Millisecond

// fleet simulates routers that read a store whose revision grows all the time, and that
// send each other the changes they read.
type fleet struct {
	readers []*Reader
	now     core.Time
	reads   int
	// delivers reports whether the changes that a reader sends reach another.
	delivers func(from, to int) bool
	// delay is the transit time of changes, and inFlight are those in transit.
	delay    time.Duration
	inFlight []update
	// oldest is the longest time for which a router received nothing newer.
	oldest  time.Duration
	freshAt []core.Time
}

// update is the changes that one reader sends to all others.
type update struct {
	due      core.Time
	by       int
	from, to int64
}

func newFleet(n int) *fleet {
	f := &fleet{now: core.Time(time.Hour), delivers: func(int, int) bool { return true }, freshAt: make([]core.Time, n)}
	for i := range n {
		r := NewReader(pause, uint64(i+1))
		r.SetReaders(n)
		r.ReadWhole(f.now, at(f.revision()))
		f.readers = append(f.readers, r)
		f.freshAt[i] = f.now
	}
	return f
}

// revision is the store's revision, which grows by one each millisecond.
func (f *fleet) revision() int64 { return int64(time.Duration(f.now) / time.Millisecond) }

func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now < end; f.now = f.now.Add(time.Millisecond) {
		for len(f.inFlight) > 0 && f.now >= f.inFlight[0].due {
			f.deliver(f.inFlight[0])
			f.inFlight = f.inFlight[1:]
		}
		for i, r := range f.readers {
			f.oldest = max(f.oldest, f.now.Sub(f.freshAt[i]))
			if f.now >= r.Due() {
				f.read(i, r)
			}
		}
	}
}

func (f *fleet) read(i int, r *Reader) {
	f.reads++
	from, to := r.Known().Revision, at(f.revision())
	r.ReadChanges(f.now, from, to)
	f.freshAt[i] = f.now
	n := update{due: f.now.Add(f.delay), by: i, from: from, to: to.Revision}
	if f.delay > 0 {
		f.inFlight = append(f.inFlight, n)
		return
	}
	f.deliver(n)
}

func (f *fleet) deliver(n update) {
	for j, other := range f.readers {
		if j != n.by && f.delivers(n.by, j) && other.PeerReadChanges(f.now, n.from, at(n.to)) == Current {
			f.freshAt[j] = f.now
		}
	}
}

// Guards against a read rate that grows with the fleet: the more routers there are, the
// more are due while one router's changes are in transit.
func TestReadRateIsIndependentOfFleetSize(t *testing.T) {
	const seconds, mostPerSecond = 20, 12
	for _, routers := range []int{30, 385, 770} {
		f := newFleet(routers)
		f.delay = 150 * time.Millisecond
		f.run(seconds * time.Second)
		if f.reads > seconds*mostPerSecond {
			t.Errorf("%d routers read %d times in %d s", routers, f.reads, seconds)
		}
		if f.oldest > pause+f.delay {
			t.Errorf("one of %d routers received nothing newer for %v", routers, f.oldest)
		}
		t.Logf("%d routers: %d reads", routers, f.reads)
	}
}

// 68 routers that each read on their own make 50 calls per second at this interval. If they
// share the changes, one or two read at a time, and none has older state than before.
func TestRoutersShareReads(t *testing.T) {
	f := newFleet(68)
	f.run(20 * time.Second)
	if most := 2 * int(20*time.Second) / int(minDelayFraction*float64(pause)); f.reads > most {
		t.Errorf("%d reads in 20 s, want %d at most", f.reads, most)
	}
	if f.oldest > pause+time.Millisecond {
		t.Errorf("a router received nothing newer for %v", f.oldest)
	}
}

// One router receives no changes, and half of those to the others are lost. Each reads the
// registry itself then: the bound holds, only fewer calls are saved.
func TestLostUpdatesAreReplacedByOwnReads(t *testing.T) {
	f := newFleet(20)
	lost := 0
	f.delivers = func(_, to int) bool { lost++; return to != 0 && lost%2 == 0 }
	f.run(20 * time.Second)
	if f.oldest > pause+time.Millisecond {
		t.Errorf("a router received nothing newer for %v", f.oldest)
	}
}

// Changes after a gap would hide a server's removal; changes that contain nothing newer may
// be of any age. Neither may be applied or postpone the router's own read.
func TestUpdatesWithGapsOrOldContentAreIgnored(t *testing.T) {
	now := core.Time(time.Hour)
	r := NewReader(pause, 1)
	r.ReadWhole(now, at(100))
	due := r.Due()
	for _, change := range [][2]int64{{101, 120}, {90, 100}, {50, 60}, {100, 100}} {
		if r.PeerReadChanges(now.Add(time.Millisecond), change[0], at(change[1])) == Current || r.Due() != due {
			t.Errorf("changes from %d to %d were applied at 100", change[0], change[1])
		}
	}
	if r.PeerReadChanges(now, 95, at(110)) != Current || r.Known() != at(110) {
		t.Error("overlapping changes were ignored")
	}
}

// Newer changes arrive while the router's own read is in progress. The result of the read
// is older and must not be applied over them.
func TestOvertakenReadIsNotApplied(t *testing.T) {
	now := core.Time(time.Hour)
	r := NewReader(pause, 1)
	r.ReadWhole(now, at(100))
	r.PeerReadChanges(now, 100, at(120))
	if r.ReadChanges(now, 100, at(110)) == Current || r.Known() != at(120) {
		t.Error("an overtaken read was applied")
	}
	if r.ReadChanges(now, 100, at(130)) != Current {
		t.Error("a read of newer changes was ignored")
	}
}

// The store has discarded its history: a full read is required, and changes from other
// routers can't replace it.
func TestCompactedHistoryRequiresFullRead(t *testing.T) {
	now := core.Time(time.Hour)
	r := NewReader(pause, 1)
	r.ReadWhole(now, at(100))
	r.RequireFullRead(now)
	if r.Known().Revision != 0 || r.Due() > now || r.PeerReadChanges(now, 0, at(200)) == Current {
		t.Error("a full read is not due at once")
	}
}

// The store is unavailable for an hour. The delay between two attempts must grow to the
// maximum interval and stay there: doubled without a bound, it overflows to zero after 40
// attempts, and the store is read without a delay.
func TestRetryPauseStaysBoundedInLongOutage(t *testing.T) {
	now := core.Time(time.Hour)
	r := NewReader(pause, 1)
	r.ReadWhole(now, at(100))
	last := time.Duration(0)
	for range 3000 {
		r.Failed(now)
		wait := r.Due().Sub(now)
		if wait < max(firstRetry, last) || wait > pause {
			t.Fatalf("delay of %v after one of %v", wait, last)
		}
		now, last = r.Due(), wait
	}
	r.ReadChanges(now, 100, at(120))
	r.Failed(now)
	if got := r.Due().Sub(now); got != firstRetry {
		t.Errorf("delay of %v after a successful read", got)
	}
}

// at is a position in the first era.
func at(revision int64) core.StorePosition { return core.StorePosition{Era: 1, Revision: revision} }

func newer(revision int64) core.StorePosition { return core.StorePosition{Era: 2, Revision: revision} }

// The store is restored from a backup: its revisions go back from 120 to 100 and are
// assigned again. A router that compares numbers alone applies no changes until they are
// past 120 and misses those in between: servers that were removed in that time continue to
// get requests.
func TestRestoredStoreRequiresFullRead(t *testing.T) {
	for name, learn := range map[string]func(*Reader, core.Time) Reading{
		"peer changes":                        func(r *Reader, now core.Time) Reading { return r.PeerReadChanges(now, 100, newer(105)) },
		"peer changes with fitting revisions": func(r *Reader, now core.Time) Reading { return r.PeerReadChanges(now, 118, newer(125)) },
		"own read":                            func(r *Reader, now core.Time) Reading { return r.ReadChanges(now, 120, newer(125)) },
	} {
		t.Run(name, func(t *testing.T) {
			r, now := NewReader(time.Second, 1), core.Time(time.Hour)
			r.ReadWhole(now, at(120))
			if got := learn(r, now); got != Stale || r.Known().Revision != 0 || r.Due() > now {
				t.Errorf("reading %v, known %v, due in %v", got, r.Known(), r.Due().Sub(now))
			}
			if got := r.ReadWhole(now, newer(106)); got != Restored {
				t.Errorf("the first full read of the newer era is %v", got)
			}
			if got := r.ReadWhole(now, newer(107)); got != Current {
				t.Errorf("the next one is %v", got)
			}
		})
	}
}

// A router still in the old era, with a higher revision, sends the changes it read, or an
// earlier answer was long delayed. Applied, they would hide later writes and restore
// removed entries.
func TestOlderEraIsIgnored(t *testing.T) {
	r, now := NewReader(time.Second, 1), core.Time(time.Hour)
	r.ReadWhole(now, newer(106))
	if got := r.PeerReadChanges(now, 100, at(130)); got != Stale || r.Known() != newer(106) {
		t.Errorf("changes of the older era: %v, known %v", got, r.Known())
	}
	if got := r.ReadChanges(now, 106, at(130)); got != Stale || r.Known() != newer(106) {
		t.Errorf("an answer of the older era: %v, known %v", got, r.Known())
	}
	if got := r.ReadWhole(now, at(130)); got != Stale || r.Known() != newer(106) {
		t.Errorf("a full read of the older era: %v, known %v", got, r.Known())
	}
}
