package registry

import (
	"testing"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
)

const pause = 1300 * time.Millisecond

// fleet is routers that read a store whose revision grows all the time, and tell each
// other what they read.
type fleet struct {
	readers []*Reader
	now     core.Time
	reads   int
	// heard tells whether the news of a reader reaches another.
	heard func(from, to int) bool
	// delay is how long news are on their way, and coming are those that are.
	delay  time.Duration
	coming []news
	// oldest is the longest time for which a router knew nothing newer.
	oldest  time.Duration
	freshAt []core.Time
}

// news are what one reader told all others.
type news struct {
	due      core.Time
	by       int
	from, to int64
}

func newFleet(n int) *fleet {
	f := &fleet{now: core.Time(time.Hour), heard: func(int, int) bool { return true }, freshAt: make([]core.Time, n)}
	for i := range n {
		r := NewReader(pause, uint64(i+1))
		r.SetReaders(n)
		r.ReadWhole(f.now, at(f.revision()))
		f.readers = append(f.readers, r)
		f.freshAt[i] = f.now
	}
	return f
}

// revision is the store's, which grows by one each millisecond.
func (f *fleet) revision() int64 { return int64(time.Duration(f.now) / time.Millisecond) }

func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now < end; f.now = f.now.Add(time.Millisecond) {
		for len(f.coming) > 0 && f.now >= f.coming[0].due {
			f.deliver(f.coming[0])
			f.coming = f.coming[1:]
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
	n := news{due: f.now.Add(f.delay), by: i, from: from, to: to.Revision}
	if f.delay > 0 {
		f.coming = append(f.coming, n)
		return
	}
	f.deliver(n)
}

func (f *fleet) deliver(n news) {
	for j, other := range f.readers {
		if j != n.by && f.heard(n.by, j) && other.PeerReadChanges(f.now, n.from, at(n.to)) == Current {
			f.freshAt[j] = f.now
		}
	}
}

// Guards against reads that grow with the fleet: while one router's news are on their way,
// the more others are due, the more routers there are.
func TestReadsDoNotGrowWithTheFleet(t *testing.T) {
	const seconds, mostPerSecond = 20, 12
	for _, routers := range []int{30, 385, 770} {
		f := newFleet(routers)
		f.delay = 150 * time.Millisecond
		f.run(seconds * time.Second)
		if f.reads > seconds*mostPerSecond {
			t.Errorf("%d routers read %d times in %d s", routers, f.reads, seconds)
		}
		if f.oldest > pause+f.delay {
			t.Errorf("of %d routers one knew nothing newer for %v", routers, f.oldest)
		}
		t.Logf("%d routers: %d reads", routers, f.reads)
	}
}

// 68 routers that each read on their own make 50 calls a second at this pause. With
// news passed on, one or two do at a time, and nobody knows less than before.
func TestManyRoutersReadOnce(t *testing.T) {
	f := newFleet(68)
	f.run(20 * time.Second)
	if most := 2 * int(20*time.Second) / int(soonest*float64(pause)); f.reads > most {
		t.Errorf("%d reads in 20 s, want %d at most", f.reads, most)
	}
	if f.oldest > pause+time.Millisecond {
		t.Errorf("a router knew nothing newer for %v", f.oldest)
	}
}

// One router hears nobody, and half of the others' news get lost. Each reads for
// itself then: the bound holds, only calls are saved less.
func TestLostNewsCostACall(t *testing.T) {
	f := newFleet(20)
	lost := 0
	f.heard = func(_, to int) bool { lost++; return to != 0 && lost%2 == 0 }
	f.run(20 * time.Second)
	if f.oldest > pause+time.Millisecond {
		t.Errorf("a router knew nothing newer for %v", f.oldest)
	}
}

// News that leave a gap would hide a server's leaving; news that say nothing newer
// may be of any age. Neither is applied, and neither puts the own read off.
func TestGapsAndOldNewsAreLeftOut(t *testing.T) {
	now := core.Time(time.Hour)
	r := NewReader(pause, 1)
	r.ReadWhole(now, at(100))
	due := r.Due()
	for _, news := range [][2]int64{{101, 120}, {90, 100}, {50, 60}, {100, 100}} {
		if r.PeerReadChanges(now.Add(time.Millisecond), news[0], at(news[1])) == Current || r.Due() != due {
			t.Errorf("news from %d to %d were taken at 100", news[0], news[1])
		}
	}
	if r.PeerReadChanges(now, 95, at(110)) != Current || r.Known() != at(110) {
		t.Error("news that overlap were left out")
	}
}

// The own read was under way when newer news came. What it brings is older, and must
// not be applied over them.
func TestOvertakenReadIsNotApplied(t *testing.T) {
	now := core.Time(time.Hour)
	r := NewReader(pause, 1)
	r.ReadWhole(now, at(100))
	r.PeerReadChanges(now, 100, at(120))
	if r.ReadChanges(now, 100, at(110)) == Current || r.Known() != at(120) {
		t.Error("an overtaken read was applied")
	}
	if r.ReadChanges(now, 100, at(130)) != Current {
		t.Error("a read that goes further was left out")
	}
}

// The store's history is gone: all is read as a whole, and news of others can't stand
// for it.
func TestForgottenHistoryIsReadWhole(t *testing.T) {
	now := core.Time(time.Hour)
	r := NewReader(pause, 1)
	r.ReadWhole(now, at(100))
	r.RequireFullRead(now)
	if r.Known().Revision != 0 || r.Due() > now || r.PeerReadChanges(now, 0, at(200)) == Current {
		t.Error("the whole is not read at once")
	}
}

// The store is away for an hour. The pause between two tries grows to the usual one
// and stays there: doubled for good, it turned to nothing after 40 tries, and the store
// was asked without a pause.
func TestRetriesOfALongOutageKeepTheirPause(t *testing.T) {
	now := core.Time(time.Hour)
	r := NewReader(pause, 1)
	r.ReadWhole(now, at(100))
	last := time.Duration(0)
	for range 3000 {
		r.Failed(now)
		wait := r.Due().Sub(now)
		if wait < max(firstRetry, last) || wait > pause {
			t.Fatalf("pause of %v after one of %v", wait, last)
		}
		now, last = r.Due(), wait
	}
	r.ReadChanges(now, 100, at(120))
	r.Failed(now)
	if got := r.Due().Sub(now); got != firstRetry {
		t.Errorf("pause of %v after a read that went well", got)
	}
}

// at is a position in the first era.
func at(revision int64) core.StorePosition { return core.StorePosition{Era: 1, Revision: revision} }

func newer(revision int64) core.StorePosition { return core.StorePosition{Era: 2, Revision: revision} }

// The store comes back from a copy: its revisions go back from 120 to 100 and are given out
// again. A router that goes by numbers alone takes no news until they are past 120, and
// then misses what lies between: servers that left in that time go on getting requests.
func TestStoreThatWentBackIsReadWhole(t *testing.T) {
	for name, learn := range map[string]func(*Reader, core.Time) Reading{
		"by news":          func(r *Reader, now core.Time) Reading { return r.PeerReadChanges(now, 100, newer(105)) },
		"by fitting news":  func(r *Reader, now core.Time) Reading { return r.PeerReadChanges(now, 118, newer(125)) },
		"by an own answer": func(r *Reader, now core.Time) Reading { return r.ReadChanges(now, 120, newer(125)) },
	} {
		t.Run(name, func(t *testing.T) {
			r, now := NewReader(time.Second, 1), core.Time(time.Hour)
			r.ReadWhole(now, at(120))
			if got := learn(r, now); got != Stale || r.Known().Revision != 0 || r.Due() > now {
				t.Errorf("reading %v, known %v, due in %v", got, r.Known(), r.Due().Sub(now))
			}
			if got := r.ReadWhole(now, newer(106)); got != Restored {
				t.Errorf("the first whole read of the newer era is %v", got)
			}
			if got := r.ReadWhole(now, newer(107)); got != Current {
				t.Errorf("the next one is %v", got)
			}
		})
	}
}

// A router that is still in the old era, with a higher revision, passes on what it read; or
// an answer of before was under way for long. Taken in, it would hide what was written
// since, and bring back what was taken away.
func TestNothingOfAnOlderEraIsTaken(t *testing.T) {
	r, now := NewReader(time.Second, 1), core.Time(time.Hour)
	r.ReadWhole(now, newer(106))
	if got := r.PeerReadChanges(now, 100, at(130)); got != Stale || r.Known() != newer(106) {
		t.Errorf("news of the older era: %v, known %v", got, r.Known())
	}
	if got := r.ReadChanges(now, 106, at(130)); got != Stale || r.Known() != newer(106) {
		t.Errorf("an answer of the older era: %v, known %v", got, r.Known())
	}
	if got := r.ReadWhole(now, at(130)); got != Stale || r.Known() != newer(106) {
		t.Errorf("a whole of the older era: %v, known %v", got, r.Known())
	}
}
