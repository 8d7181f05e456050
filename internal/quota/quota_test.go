package quota

import (
	"testing"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
)

const start = core.Time(time.Hour)

func testBounds() Bounds { return Bounds{Window: 8 * time.Second, Over: 0.1, Slack: 72000} }

var testLimit = map[string]Limit{"a": {Rate: 18000, Burst: 18000}}

// pair is a gate and a book that talk without delay.
type pair struct {
	now  core.Time
	gate *Gate
	book *Book
}

func newPair() *pair {
	p := &pair{now: start, gate: NewGate(testBounds(), OnSuspicion), book: NewBook()}
	p.gate.SetLimits(p.now, 1, testLimit)
	p.gate.SetRouters(28)
	p.gate.Connected()
	p.run(10 * time.Second)
	return p
}

// run lets time pass, and words.
func (p *pair) run(d time.Duration) {
	for end := p.now.Add(d); p.now < end; {
		p.now = p.now.Add(50 * time.Millisecond)
		if uses := p.gate.Report(p.now); uses != nil {
			p.book.Report(p.now, "r", *uses)
		}
		if levels, _ := p.book.Say(p.now); levels != nil {
			p.gate.Hear(p.now, "l", *levels)
		}
	}
}

func TestAccountWithoutALimit(t *testing.T) {
	g := NewGate(testBounds(), OnSuspicion)
	if d := g.Admit(start, "a", 1e9); !d.Admitted || d.Rule != RuleFree || g.Counts() {
		t.Errorf("%+v", d)
	}
}

// All callers of an account come to one router of 28. An even part would refuse nearly
// all; the account is far below its bound, so that none may be.
func TestCallersOfOneRouterAreServed(t *testing.T) {
	p := newPair()
	for range 200 {
		if d := p.gate.Admit(p.now, "a", 700); !d.Admitted {
			t.Fatalf("refused: %+v", d)
		}
		p.run(50 * time.Millisecond)
	}
}

// An account asks for far more than it may. Within any window no more than the bound may be
// admitted, and the refusals must tell a time at which there is room.
func TestBoundHolds(t *testing.T) {
	p := newPair()
	most := testBounds().Most(testLimit["a"])
	var admitted []float64
	for range 800 {
		sum := 0.0
		for range 10 {
			d := p.gate.Admit(p.now, "a", 700)
			switch {
			case d.Admitted:
				sum += 700
			case d.RetryAfter < leastReturn || d.RetryAfter > testBounds().Window:
				t.Fatalf("come back in %v", d.RetryAfter)
			}
		}
		admitted = append(admitted, sum)
		p.run(50 * time.Millisecond)
	}
	const slots = 160
	window, worst := 0.0, 0.0
	for i, sum := range admitted {
		window += sum
		if i >= slots {
			window -= admitted[i-slots]
		}
		worst = max(worst, window)
	}
	if worst > most {
		t.Errorf("%.0f in a window, allowed are %.0f", worst, most)
	}
}

// A request proves not to have run. Its account must not pay for it.
func TestReturnedRequestsCostNothing(t *testing.T) {
	p := newPair()
	for range 1000 {
		if d := p.gate.Admit(p.now, "a", 5000); !d.Admitted {
			t.Fatalf("refused: %+v", d)
		}
		p.gate.Return("a", 5000)
		p.run(50 * time.Millisecond)
	}
}

// A prompt that counts more than the account's burst comes while the account is idle. It
// must not be refused for ever.
func TestPromptLargerThanTheBurst(t *testing.T) {
	p := newPair()
	if d := p.gate.Admit(p.now, "a", 2*testLimit["a"].Burst); !d.Admitted {
		t.Errorf("refused: %+v", d)
	}
}

// All loaders go. A router must go on by its part: none of it all, and not by what it was
// told a minute ago.
func TestWithoutLoaders(t *testing.T) {
	p := newPair()
	p.gate.Lost("l")
	most := testBounds().Most(testLimit["a"]) / 28
	admitted := 0.0
	for range 100 {
		if p.gate.Admit(p.now, "a", 200).Admitted {
			admitted += 200
		}
		p.now = p.now.Add(10 * time.Millisecond)
	}
	if admitted == 0 || admitted > most {
		t.Errorf("%.0f admitted in a second, want up to %.0f", admitted, most)
	}
}

// A loader that counts ends, and the next one has not been told the limits: a report that
// crossed the change names an account that it does not know. It must ask, or it would
// never count the account.
func TestLoaderAsksForLimits(t *testing.T) {
	p := newPair()
	p.gate.Admit(p.now, "a", 700)
	p.run(time.Second)
	p.book = NewBook()
	p.gate.Admit(p.now, "a", 700)
	p.run(3 * time.Second)
	p.gate.Admit(p.now, "a", 700)
	p.run(3 * time.Second)
	if p.book.tallies["a"] == nil {
		t.Error("the account is not counted")
	}
}

// A lower limit comes while the account is busy: it must bind at once, and an older one
// that comes late must not undo it.
func TestLimitsGoForwardOnly(t *testing.T) {
	b := NewBook()
	use := func(version int64, depth float64) core.QuotaUses {
		limit := &core.QuotaLimit{Version: version, Rate: depth, Depth: depth, Most: 8 * depth, Window: 8 * time.Second}
		return core.QuotaUses{Uses: []core.QuotaUse{{Account: "a", Limit: limit}}}
	}
	b.Report(start, "r", use(2, 100))
	b.Report(start, "r", use(3, 10))
	b.Report(start, "s", use(2, 100))
	if got := b.tallies["a"].limit; got.Version != 3 || got.Depth != 10 {
		t.Errorf("limit %+v", got)
	}
}

// A router is lost sight of: it may be cut off and serve callers by its last part. As much
// must be kept from the others.
func TestLostRoutersPartIsKeptBack(t *testing.T) {
	b := NewBook()
	limit := &core.QuotaLimit{Version: 1, Rate: 100, Depth: 400, Most: 800, Window: 8 * time.Second}
	tell := func(now core.Time, router core.HostID) {
		b.Report(now, router, core.QuotaUses{Uses: []core.QuotaUse{{Account: "a", Used: 10, Asked: 10, Limit: limit}}})
		b.Say(now)
	}
	now := start
	for range 60 { // several words on all accounts, so that shares are known
		tell(now, "r")
		tell(now, "s")
		now = now.Add(500 * time.Millisecond)
	}
	before := b.tallies["a"].used.Total(now)
	for range 16 {
		tell(now, "r")
		now = now.Add(500 * time.Millisecond)
	}
	// r took 160 in the last window, and half of what routers without a loader take is
	// presumed of s.
	presumed := b.tallies["a"].used.Total(now) - 160
	if want := aloneShare * 800 / 2; presumed < 0.8*want || presumed > 1.2*want {
		t.Errorf("presumed %.0f, want %.0f; the total was %.0f", presumed, want, before)
	}
}

// A loader was out of reach for 1.9 s, while an account used 100 a second. What routers
// tell it then must be all of that: by whole seconds it would know of 100 only, and grant
// the other 90 once more.
func TestUseWithinATimeCountsPartsOfSeconds(t *testing.T) {
	parts := []float64{100, 100, 100, 100, 100, 100, 100, 100}
	for span, want := range map[time.Duration]float64{
		0: 0, 500 * time.Millisecond: 50, 1900 * time.Millisecond: 190, 8 * time.Second: 800, 20 * time.Second: 800,
	} {
		if got := within(parts, span, 8*time.Second); got < want-1 || got > want+1 {
			t.Errorf("within %v: %.0f, want %.0f", span, got, want)
		}
	}
}

func BenchmarkAdmit(b *testing.B) {
	p := newPair()
	for i := 0; b.Loop(); i++ {
		p.gate.Admit(p.now, "a", 1)
		if i%1000 == 0 {
			p.run(250 * time.Millisecond)
		}
	}
}

// A router and the loaders that count start anew at the same moment. Nobody knows what was
// used before; the router must tell it as used, by the number of routers that is known by
// then, and not by the number that it assumed when it started.
func TestEarlierLifeIsToldAsUsed(t *testing.T) {
	g := NewGate(testBounds(), OnSuspicion)
	g.SetLimits(start, 1, testLimit)
	g.SetRouters(3)
	g.Admit(start, "a", 100)
	now := start.Add(time.Second)
	told := 0.0
	uses := g.Report(now)
	for _, used := range uses.Uses[0].Recent {
		told += used
	}
	if want := bornUsed * capShare * testBounds().Most(testLimit["a"]) / 3 * 7 / 8; told < 0.99*want || told > 1.01*want || !uses.First {
		t.Errorf("told %.0f of an earlier life, want %.0f; first %t", told, want, uses.First)
	}
	later := start.Add(20 * time.Second)
	g.Connected()
	g.Admit(later, "a", 100)
	told = 0
	for _, used := range g.Report(later).Uses[0].Recent {
		told += used
	}
	if told > 1 {
		t.Errorf("told %.0f of an earlier life after a window", told)
	}
}
