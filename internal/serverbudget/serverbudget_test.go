package serverbudget

import (
	"fmt"
	"testing"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
)

// At a steady load, with and without overload, nearly all admitted requests must be answered
// within the objective, most of the server's capacity must be used, and the budget must not
// oscillate. Without a budget, at 190 a second, half of the callers got their answer late.
func TestSteadyLoads(t *testing.T) {
	const (
		leastOnTime, leastUsed = 0.9, 0.8
		shortestTurn           = time.Second
		settling, lasts        = 5 * time.Second, 60 * time.Second
	)
	for _, offered := range []float64{110, 150, 190, 300} {
		for seed := range uint64(20) {
			t.Run(fmt.Sprintf("%.0f a second, seed %d", offered, seed), func(t *testing.T) {
				m := newModel(seed, offered)
				m.run(lasts)
				from := start.Add(settling)
				onTime, finished, turn := m.onTime(from), m.finished(from, m.now), m.shortestTurn(from)
				perSecond, limited := m.budget.Limit()
				t.Logf("on time %.3f, finished %.0f a second, shortest turn %v of %d, refused by the server %d, budget %.0f %v",
					onTime, finished, turn, len(m.turns), m.serverRefuse, perSecond, limited)
				if onTime < leastOnTime {
					t.Errorf("%.3f of the admitted requests were answered on time, want at least %.2f", onTime, leastOnTime)
				}
				if least := leastUsed * min(offered, capacity); finished < least {
					t.Errorf("%.0f a second were finished, want at least %.0f", finished, least)
				}
				if turn < shortestTurn {
					t.Errorf("the budget changed direction twice within %v", turn)
				}
			})
		}
	}
}

// Work takes five times as long for 5 s, as on a server whose host is busy, then as usual. The
// budget must follow within 3 s, and most of the capacity must be used again 8 s after the
// recovery.
func TestServerSlowerForAWhile(t *testing.T) {
	const factor = 5
	slowFrom := start.Add(20 * time.Second)
	slowTo := slowFrom.Add(5 * time.Second)
	for _, paceStated := range []bool{false, true} {
		t.Run(fmt.Sprintf("pace stated %v", paceStated), func(t *testing.T) {
			m := newModel(1, 190)
			m.paceStated = paceStated
			m.slower = func(now core.Time) float64 {
				if now >= slowFrom && now < slowTo {
					return factor
				}
				return 1
			}
			m.run(slowFrom.Add(3 * time.Second).Sub(m.now))
			if perSecond, limited := m.budget.Limit(); !limited || perSecond > 2*capacity/factor {
				t.Errorf("budget %.0f (%v) after 3 s, want at most twice the %.0f that the server finishes", perSecond, limited, capacity/factor)
			}
			m.run(slowTo.Add(8 * time.Second).Sub(m.now))
			from := m.now
			m.run(10 * time.Second)
			if got := m.finished(from, m.now); got < 0.8*capacity {
				t.Errorf("%.0f a second were finished after the recovery, want at least %.0f", got, 0.8*capacity)
			}
			if got := m.onTime(from); got < 0.9 {
				t.Errorf("%.3f of the requests were answered on time after the recovery, want at least 0.9", got)
			}
		})
	}
}

// crowdedSample is a load under which the waiting requests take 80 ms of the objective of 150.
func crowdedSample(at core.Time) Sample {
	return Sample{At: at, Running: 6, Waiting: 16, Slots: 6, Usual: workAlone, Asked: 1}
}

// limitedBudget returns a budget that has just begun, and the time.
func limitedBudget(t *testing.T) (*Budget, core.Time) {
	t.Helper()
	b := New(objective)
	b.Observe(crowdedSample(start))
	now := start.Add(loadInterval)
	b.Observe(crowdedSample(now))
	if _, limited := b.Limit(); !limited {
		t.Fatal("no budget for a crowded server")
	}
	return b, now
}

// A budget must begin with nine tenths of the nominal rate, less the waiting requests beyond
// those that take a third of the objective.
func TestInitialBudget(t *testing.T) {
	b, _ := limitedBudget(t)
	const nominal, allowed = 200.0, 10.0
	want := 0.9*nominal - (16 - allowed)
	if got, _ := b.Limit(); got < want-1 || got > want+1 {
		t.Errorf("budget %.1f, want %.1f", got, want)
	}
}

// A server whose queue is short must get no budget, so that it costs no permits.
func TestNoBudgetWithAShortQueue(t *testing.T) {
	b := New(objective)
	for i := range 100 {
		b.Observe(Sample{At: start.Add(time.Duration(i) * 10 * time.Millisecond), Running: 6, Waiting: 9, Slots: 6, Usual: workAlone})
	}
	if got, limited := b.Limit(); limited {
		t.Errorf("budget %.1f", got)
	}
}

// While no load arrives the budget must be kept: a queue that nobody reports on is neither long
// nor short.
func TestBudgetIsKeptWithoutLoads(t *testing.T) {
	b, now := limitedBudget(t)
	before, _ := b.Limit()
	for range 300 {
		now = now.Add(10 * time.Millisecond)
		b.Observe(Sample{At: now, Asked: 2})
	}
	if got, limited := b.Limit(); got != before || !limited {
		t.Errorf("budget %.1f (%v), want %.1f", got, limited, before)
	}
}

// A load reported after a gap must not be averaged with one from before it, which describes
// another queue.
func TestLoadsBeforeAGapDoNotCount(t *testing.T) {
	b := New(objective)
	b.Observe(Sample{At: start, Running: 6, Waiting: 1000, Slots: 6, Usual: workAlone})
	now := start.Add(maxLoadAge + time.Millisecond)
	b.Observe(Sample{At: now, Running: 6, Slots: 6, Usual: workAlone})
	b.Observe(Sample{At: now.Add(loadInterval), Running: 6, Slots: 6, Usual: workAlone})
	if got, limited := b.Limit(); limited {
		t.Errorf("budget %.1f", got)
	}
}

// The callers of a server have gone. Its budget must end within seconds, since each one costs
// its routers messages.
func TestBudgetEndsWithoutDemand(t *testing.T) {
	b, now := limitedBudget(t)
	b.Advance(now.Add(askedTime + 100*time.Millisecond))
	b.Advance(now.Add(askedTime + endAfter + 200*time.Millisecond))
	if got, limited := b.Limit(); limited {
		t.Errorf("budget %.1f", got)
	}
}

// A server so slow that the formula is below 0 must keep one request a second: without answers
// nobody would learn that it has recovered.
func TestLowestBudget(t *testing.T) {
	b := New(objective)
	for i := range 2 {
		b.Observe(Sample{At: start.Add(time.Duration(i) * loadInterval), Running: 6, Waiting: 24, Slots: 6, Usual: 10 * time.Second})
	}
	if got, _ := b.Limit(); got != minPerSecond {
		t.Errorf("budget %.1f, want %d", got, minPerSecond)
	}
}

// A sample must take far less than the 20 us that a decision to admit a request may take.
func BenchmarkObserve(b *testing.B) {
	budget := New(objective)
	now := start
	for range b.N {
		now = now.Add(time.Millisecond)
		budget.Observe(crowdedSample(now))
	}
}
