package fairshare

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against refusals for a share while permits are plentiful, and against an account that
// keeps its permits once others are refused.
func TestSharesApplyWhilePermitsAreShort(t *testing.T) {
	e := newEngine(10)
	e.bucket.Left = 11
	busy, other := Request{Account: "busy", Weight: 1}, Request{Account: "other", Weight: 1}
	for i := range 11 {
		if got := e.ask(busy); got != granted {
			t.Fatalf("request %d of the only account: %v", i, got)
		}
	}
	if got := e.ask(other); got != noPermit {
		t.Fatalf("another account without permits left: %v", got)
	}
	e.pass(200 * time.Millisecond)
	if got := e.ask(busy); got != granted { // the other account asked once: 18 of 20 are left
		t.Errorf("within its share: %v", got)
	}
	for range 9 {
		e.ask(other)
	}
	if got := e.ask(busy); got != overShare { // 12 granted of 10
		t.Errorf("over its share: %v", got)
	}
	e.pass(2 * time.Second)
	if got := e.ask(busy); got != granted {
		t.Errorf("after the window: %v", got)
	}
}

// Guards against a reserve that does not match the page: n/4 of the bucket for rank n, at most
// 3/4, and a tenth for an overdue request of a starved rank.
func TestReserveByRank(t *testing.T) {
	const perSecond = 40
	for _, test := range []struct {
		name  string
		rank  int
		slack time.Duration
		// fed is set if the rank gets more than a tenth of the permits.
		fed  bool
		want float64
	}{
		{"most urgent", 0, time.Second, false, 0},
		{"rank 1", 1, time.Second, false, 10},
		{"rank 2", 2, time.Second, false, 20},
		{"rank 3", 3, time.Second, false, 30},
		{"rank 7", 7, time.Second, false, 30},
		{"overdue at rank 0", 0, 0, false, 0},
		{"overdue", 2, 499 * time.Millisecond, false, 4},
		{"not yet overdue", 2, 500 * time.Millisecond, false, 20},
		{"overdue at a rank that gets permits", 2, 0, true, 20},
	} {
		t.Run(test.name, func(t *testing.T) {
			s, request := New(), Request{Account: "a", Weight: 1, Rank: test.rank, Slack: test.slack}
			for range 8 {
				if test.fed {
					s.Granted(start, request)
				}
			}
			got := s.Decide(start, request, Bucket{Capacity: perSecond + 1, PerSecond: perSecond})
			if got.OverShare || got.Reserve != test.want {
				t.Errorf("%+v, want a reserve of %v", got, test.want)
			}
		})
	}
}

// Guards against one account's requests of one rank that use up its share of another rank, and
// against shares of less urgent accounts that are taken from more urgent ones.
func TestRanksAreSharedSeparately(t *testing.T) {
	s := New()
	bucket := Bucket{Capacity: 11, PerSecond: 10}
	low := Request{Account: "a", Weight: 1, Rank: 1, Slack: time.Minute}
	for range 8 {
		s.Granted(start, low)
	}
	s.Decide(start, Request{Account: "b", Weight: 1, Rank: 1}, bucket)
	for range 14 {
		s.Granted(start, Request{Account: "a", Weight: 1})
	}
	s.Refused(start, low, false)
	for range 20 {
		s.Decide(start, low, bucket)
	}
	if got := s.Decide(start, low, bucket); !got.OverShare {
		t.Errorf("8 permits of the 6 that the urgent left: %+v", got)
	}
	if got := s.Decide(start, Request{Account: "a", Weight: 1}, bucket); got.OverShare {
		t.Errorf("urgent: %+v", got)
	}
}

// Guards against memory that grows with the accounts: beyond the bound the least recent one
// must be dropped, and no other.
func TestAccountsAreBounded(t *testing.T) {
	s := New()
	bucket := Bucket{Capacity: 11, PerSecond: 10}
	request := func(i int) Request { return Request{Account: fmt.Sprint(i), Weight: 1} }
	for i := range MaxAccounts {
		s.Decide(start.Add(time.Duration(i)), request(i), bucket)
	}
	s.Decide(start.Add(time.Second), request(0), bucket)
	s.Decide(start.Add(time.Second), request(MaxAccounts), bucket)
	if len(s.accounts) != MaxAccounts || len(s.index) != MaxAccounts {
		t.Errorf("%d accounts, %d in the index, want %d", len(s.accounts), len(s.index), MaxAccounts)
	}
	for i, want := range map[int]bool{0: true, 1: false, 2: true, MaxAccounts: true} {
		if _, got := s.index[accountKey{name: fmt.Sprint(i)}]; got != want {
			t.Errorf("account %d is kept: %v, want %v", i, got, want)
		}
	}
}

// Guards against a log that is flooded by one account: a start and an end must be reported,
// each at most once in 4 s.
func TestChangesOfOneAccount(t *testing.T) {
	e := newEngine(10)
	r := rand.New(rand.NewPCG(1, 1))
	busy := &caller{Request: Request{Account: "busy", Weight: 1}, perSecond: 60}
	callers := []*caller{busy, {Request: Request{Account: "other", Weight: 1}, perSecond: 2}}
	var starts, ends []time.Duration
	for i := range 240 { // busy for 2 s of each 3.5 s
		busy.perSecond = 0
		if i%35 < 20 {
			busy.perSecond = 60
		}
		e.run(r, 100*time.Millisecond, callers)
		for _, change := range e.shares.TakeChanges(e.now) {
			at := e.now.Sub(start)
			if change.Account != "busy" {
				t.Errorf("a change of %+v", change)
			}
			if change.Started {
				starts = append(starts, at)
			} else {
				ends = append(ends, at)
				if change.Refused == 0 || change.Refused > busy.refused {
					t.Errorf("an end after %d refusals", change.Refused)
				}
			}
		}
	}
	if len(starts) < 3 || len(ends) < 3 || len(starts)-len(ends) > 1 || len(ends) > len(starts) {
		t.Errorf("starts at %v, ends at %v", starts, ends)
	}
	for _, all := range [][]time.Duration{starts, ends} {
		for i := 1; i < len(all); i++ {
			if all[i]-all[i-1] < changeInterval {
				t.Errorf("changes at %v and %v", all[i-1], all[i])
			}
		}
	}
}

// Guards against a pace that outlasts its reason: an account that got many permits while its share
// was small must get its share soon after that has grown.
func TestPaceFollowsTheShare(t *testing.T) {
	e := newEngine(1)
	busy, other := Request{Account: "busy", Weight: 1}, Request{Account: "other", Weight: 1}
	e.shares.Refused(e.now, other, true)
	for range 40 {
		e.ask(other)
		e.ask(busy)
		e.shares.Granted(e.now, busy)
	}
	e.bucket = Bucket{Left: 100, Capacity: 101, PerSecond: 100}
	e.pass(Window + 100*time.Millisecond)
	got := 0
	for i := range 1200 { // 6 s
		e.pass(5 * time.Millisecond)
		for range 2 {
			e.ask(other)
			if e.ask(busy) == granted && i >= 400 {
				got++
			}
		}
	}
	if got < 180 {
		t.Errorf("%d permits in 4 s with a share of 50 a second", got)
	}
}

// drawCallers returns accounts of one rank that ask for up to several times the rate together.
func drawCallers(t *rapid.T, least int, perSecond float64) []*caller {
	var callers []*caller
	for i := range rapid.IntRange(least, 12).Draw(t, "accounts") {
		callers = append(callers, &caller{
			Request:   Request{Account: fmt.Sprint(i), Weight: rapid.Float64Range(0.1, 20).Draw(t, "weight")},
			perSecond: rapid.Float64Range(0.2, 1).Draw(t, "rate") * perSecond,
		})
	}
	return callers
}

// Guards against refusals for fairness of an account that asks for less than its share. The
// share is computed from everything that was asked for within the window, so that an account
// must not be refused whenever its requests within the window are fewer.
func TestBelowShareIsNeverRefused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		perSecond := rapid.Float64Range(2, 60).Draw(t, "per second")
		e := newEngine(perSecond)
		callers := drawCallers(t, 2, perSecond)
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		for range 3000 {
			e.pass(2 * time.Millisecond)
			c := callers[r.IntN(len(callers))]
			got := e.ask(c.Request)
			a := e.shares.account(e.now, c.Request)
			if share := e.shares.share(e.now, a, e.bucket); got == overShare && a.asked.Total(e.now) < share {
				t.Fatalf("account %s asked %v times, its share is %v, and it was refused", c.Account, a.asked.Total(e.now), share)
			}
		}
	})
}

// Guards against refusals for fairness where there is nobody to be fair to.
func TestOneAccountIsNeverRefusedForFairness(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		perSecond := rapid.Float64Range(0.1, 60).Draw(t, "per second")
		c := drawCallers(t, 1, 10*perSecond)[:1]
		newEngine(perSecond).run(rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)), 6*time.Second, c)
		if c[0].refused > 0 {
			t.Fatalf("%d of %d refused for fairness", c[0].refused, c[0].asked)
		}
	})
}

// Guards against shares that do not follow the weights: within 10 s, accounts that all ask for
// more than their shares must get permits by their weights within a tenth.
func TestWeightsHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		perSecond := rapid.Float64Range(20, 100).Draw(t, "per second")
		var callers []*caller
		weights := 0.0
		for i := range rapid.IntRange(2, 6).Draw(t, "accounts") {
			weight := rapid.Float64Range(1, 4).Draw(t, "weight")
			weights += weight
			callers = append(callers, &caller{Request: Request{Account: fmt.Sprint(i), Weight: weight}, perSecond: 3 * perSecond})
		}
		e, r := newEngine(perSecond), rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		e.run(r, 2*Window, callers) // until the first burst has left the window
		restart(callers)
		e.run(r, 10*time.Second, callers)
		all := 0
		for _, c := range callers {
			all += c.got
		}
		for _, c := range callers {
			want := float64(all) * c.Weight / weights
			// One permit more or less, as permits are whole numbers.
			if diff := float64(c.got) - want; diff > 0.1*want+1 || diff < -0.1*want-1 {
				t.Fatalf("account of weight %.2f of %.2f got %d of %d, want %.1f", c.Weight, weights, c.got, all, want)
			}
		}
		if want := 0.9 * 10 * perSecond; float64(all) < want {
			t.Fatalf("%d permits were granted in 10 s, want at least %.0f", all, want)
		}
	})
}

// Guards against a rank that gets nothing because others ask more often or are more urgent: in
// each 10 s in which the most urgent leave at least a tenth of the permits, each rank must get
// one. The requests of the other ranks are overdue.
func TestNoRankIsStarved(t *testing.T) {
	const interval = 10 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		perSecond := rapid.Float64Range(10, 60).Draw(t, "per second")
		ranks := rapid.IntRange(2, 4).Draw(t, "ranks")
		urgent := rapid.Float64Range(0.2, 0.9).Draw(t, "urgent") * perSecond
		callers := []*caller{{Request: Request{Account: "a", Weight: 1}, perSecond: urgent}}
		for rank := 1; rank < ranks; rank++ {
			callers = append(callers, &caller{Request: Request{Account: "a", Weight: 1, Rank: rank}, perSecond: perSecond})
		}
		e, r := newEngine(perSecond), rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		for range 4 {
			restart(callers)
			e.run(r, interval, callers)
			if float64(callers[0].asked) > 0.9*perSecond*interval.Seconds() {
				continue
			}
			for _, c := range callers {
				if c.got == 0 {
					t.Fatalf("rank %d got none of %d in %v; the urgent asked for %.1f a second of %.1f", c.Rank, c.asked, interval, urgent, perSecond)
				}
			}
		}
	})
}

// benchmarkDecide measures a decision with the maximum number of accounts while permits are
// short.
func benchmarkDecide(b *testing.B, request func(i int) Request) {
	e := newEngine(24)
	var requests []Request
	for i := range MaxAccounts {
		for range 1 + i%16 { // accounts that ask for different amounts
			requests = append(requests, request(i))
		}
	}
	r := rand.New(rand.NewPCG(1, 1))
	r.Shuffle(len(requests), func(i, j int) { requests[i], requests[j] = requests[j], requests[i] })
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		e.pass(200 * time.Microsecond)
		e.shares.Refused(e.now, requests[0], true)
		e.ask(requests[i%len(requests)])
	}
	if n := len(e.shares.Dump(e.now, e.bucket)); b.N > len(requests) && n != MaxAccounts {
		b.Errorf("%d accounts were counted, want %d", n, MaxAccounts)
	}
}

// A decision must take less than 20 us with the maximum number of accounts.
func BenchmarkDecide(b *testing.B) {
	benchmarkDecide(b, func(i int) Request { return Request{Account: fmt.Sprint("account", i), Weight: 1 + float64(i%7)} })
}

// The same for overdue requests of several ranks.
func BenchmarkDecideOverdue(b *testing.B) {
	benchmarkDecide(b, func(i int) Request {
		return Request{Account: fmt.Sprint("account", i), Weight: 1 + float64(i%7), Rank: 1 + i%4}
	})
}
