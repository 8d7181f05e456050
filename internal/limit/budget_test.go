package limit

import (
	"math"
	"testing"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
)

const testBurst = 500 * time.Millisecond

// ask is a request for a permit that reports no limit.
func ask(request uint64) core.LimitRequest {
	return core.LimitRequest{Server: life(1), RequestID: request}
}

// budgeted returns a limiter with a budget and a bucket that has been filled.
func budgeted(perSecond float64) (*Limiter, core.Time) {
	l := NewLimiter()
	l.SetBudget(start, life(1), Budget{PerSecond: perSecond, Burst: testBurst, Shared: true})
	return l, start.Add(time.Second)
}

// Guards against a budget that an answer of the engine without a limit ends, and against a limit
// that the engine names and a higher budget replaces.
func TestBudgetAndAnnouncedLimitAreSeparate(t *testing.T) {
	l, now := budgeted(20)
	named := ask(1)
	named.Limit = core.ReportedLimit{Named: true, PerSecond: 5, SentAgo: 2, ReceivedAgo: 1}
	if n := countGranted(l, now, 10*time.Second, named); n < 50 || n > 65 {
		t.Errorf("%d granted in 10 s at a limit of 5 and a budget of 20", n)
	}
	now = now.Add(10 * time.Second)
	none := ask(2)
	none.Limit = core.ReportedLimit{SentAgo: 2, ReceivedAgo: 1}
	l.SetBudget(now, life(1), Budget{PerSecond: 20, Burst: testBurst, Shared: true})
	answer, _ := l.Handle(now, none)
	if answer.Budget != 20 || answer.BudgetFor != BudgetLife || answer.Limit.Named {
		t.Errorf("answer %+v after the engine named no limit", answer)
	}
	if n := countGranted(l, now, 10*time.Second, ask(3)); n < 195 || n > 215 {
		t.Errorf("%d granted in 10 s at a budget of 20", n)
	}
	now = now.Add(10 * time.Second)
	l.SetBudget(now, life(1), Budget{PerSecond: 0, Burst: testBurst, Shared: true})
	if n := countGranted(l, now, time.Second, ask(4)); n != 100 {
		t.Errorf("%d of 100 granted without any limit", n)
	}
}

// Guards against requests from before the budget that block an engine for seconds: the budget
// already follows from what they left there.
func TestBudgetHasNoWindow(t *testing.T) {
	l := NewLimiter()
	before := ask(0)
	before.Uncounted = []float64{50, 50, 50, 50, 50, 50, 50, 50}
	l.Handle(start, before)
	l.SetBudget(start, life(1), Budget{PerSecond: 10, Burst: testBurst, Shared: true})
	if n := countGranted(l, start, time.Second, ask(1)); n < 9 || n > 11 {
		t.Errorf("%d granted in 1 s at a budget of 10", n)
	}
}

// Guards against a burst when the budget begins at an engine that has too much work.
func TestBudgetBeginsWithoutTokens(t *testing.T) {
	l, now := budgeted(20)
	now = now.Add(time.Minute)
	l.SetBudget(now, life(1), Budget{PerSecond: 0, Burst: testBurst, Shared: true})
	now = now.Add(time.Minute)
	l.SetBudget(now, life(1), Budget{PerSecond: 20, Burst: testBurst, Shared: true})
	if answer, _ := l.Handle(now, ask(1)); answer.Granted {
		t.Error("granted at the moment in which the budget begins")
	}
	if n := countGranted(l, now, time.Minute, ask(2)); n < 1190 || n > 1201 {
		t.Errorf("%d granted in 60 s at a budget of 20", n)
	}
}

// Guards against retries that stay assigned at the rate of 1 a second for seconds after the
// budget has risen, while the engine is idle.
func TestRetriesMoveWithTheBudget(t *testing.T) {
	l, now := budgeted(1)
	for i := range 5 {
		l.Handle(now, ask(uint64(i+1)))
	}
	l.SetBudget(now, life(1), Budget{PerSecond: 20, Burst: testBurst, Shared: true})
	answer, _ := l.Handle(now, ask(9))
	if answer.Granted || answer.Room > 500*time.Millisecond {
		t.Errorf("answer %+v at 20 a second", answer)
	}
}

// Guards against a budget of an earlier life that limits the server's present one.
func TestBudgetEndsWithTheLife(t *testing.T) {
	l, now := budgeted(20)
	l.Handle(now, core.LimitRequest{Server: life(2)})
	if message := l.SetBudget(now, life(1), Budget{PerSecond: 20, Burst: testBurst, Shared: true}); message != nil {
		t.Errorf("message %+v on an earlier life", message)
	}
	if active := l.Active(now); len(active) > 0 {
		t.Errorf("limits in force: %+v", active)
	}
}

// Guards against a router that connects and is not told the budget, and a dump without it.
func TestBudgetIsActive(t *testing.T) {
	l, now := budgeted(20)
	l.SetBudget(now, life(1), Budget{PerSecond: 20, Burst: testBurst, Shared: true})
	if active := l.Active(now); len(active) != 1 || active[0].Budget != 20 || active[0].BudgetFor != BudgetLife {
		t.Errorf("active %+v", active)
	}
	if states := l.Dump(now); len(states) != 1 || states[0].Budget != 20 || states[0].PerSecond != nil {
		t.Errorf("dump %+v", states)
	}
}

// Guards against a router that keeps to a budget of a loader that is gone, or that forgets the
// limit that the server itself named.
func TestGateBudgetExpires(t *testing.T) {
	g := limitedGate(start) // 2 a second
	wantLimit := func(want float64, byBudget bool) {
		t.Helper()
		if got, _ := g.Limit(); got != want || g.LimitedByBudget() != byBudget {
			t.Errorf("limit %v, by the budget: %v; want %v, %v", got, g.LimitedByBudget(), want, byBudget)
		}
	}
	g.UpdateBudget(start, 1, BudgetLife)
	wantLimit(1, true)
	g.UpdateBudget(start, 3, BudgetLife)
	wantLimit(2, false)
	if g.ExpireBudget(start.Add(BudgetLife - 1)) {
		t.Error("expired before its time")
	}
	if !g.ExpireBudget(start.Add(BudgetLife)) || g.Budget() != 0 {
		t.Error("not expired")
	}
	wantLimit(2, false)
	g.UpdateBudget(start, 1, BudgetLife)
	g.UpdateBudget(start, 0, 0)
	wantLimit(2, false)
}

// Guards against a message with a budget that no process of ours sends, which would block an
// engine or never end.
func TestGateIgnoresBadBudgets(t *testing.T) {
	for _, bad := range []struct {
		perSecond float64
		lasts     time.Duration
	}{{math.NaN(), BudgetLife}, {-1, BudgetLife}, {math.Inf(1), BudgetLife}, {5, 0}, {5, -1}} {
		g := NewGate(0.5)
		g.UpdateBudget(start, bad.perSecond, bad.lasts)
		if _, limited := g.Limit(); limited {
			t.Errorf("%+v limits", bad)
		}
	}
	g := NewGate(0.5)
	g.UpdateBudget(start, 5, 24*time.Hour)
	if !g.ExpireBudget(start.Add(BudgetLife)) {
		t.Error("a budget for a day outlives its loader")
	}
}

// Guards against callers that stay refused until the time that a lower budget gave them.
func TestGateAsksEarlierWhenTheBudgetRises(t *testing.T) {
	g := NewGate(0.5)
	g.UpdateBudget(start, 1, BudgetLife)
	g.RecordRefusal(start, 2*time.Second, false)
	g.UpdateBudget(start, 20, BudgetLife)
	if delay := g.Delay(start, false); delay != 100*time.Millisecond {
		t.Errorf("delay %v after the budget rose from 1 to 20, want 2 s / 20", delay)
	}
}

// Guards against a refusal that lasts from an earlier budget.
func TestGateBeginsOpen(t *testing.T) {
	g := NewGate(0.5)
	g.UpdateBudget(start, 1, BudgetLife)
	g.RecordRefusal(start, 4*time.Second, false)
	g.UpdateBudget(start, 0, 0)
	if delay := g.Delay(start, false); delay != 0 {
		t.Errorf("delay %v without a budget", delay)
	}
	g.UpdateBudget(start, 1, BudgetLife)
	if delay := g.Delay(start, false); delay != 0 {
		t.Errorf("delay %v at the start of a budget", delay)
	}
}

// BenchmarkAdmit measures a loader's decision on a request for a permit of an engine with a
// budget, which must take under 20 us.
func BenchmarkAdmit(b *testing.B) {
	l, now := budgeted(20)
	for i := uint64(1); b.Loop(); i++ {
		now = now.Add(time.Millisecond)
		l.Handle(now, ask(i))
	}
}

// Guards against a budget that never expires at routers which ask for permits while the loader
// gets no reports of its engine.
func TestAnswersDoNotRenewABudgetThatIsNotSetAgain(t *testing.T) {
	l, now := budgeted(20)
	l.SetBudget(now, life(1), Budget{PerSecond: 20, Burst: testBurst, Shared: true})
	early, _ := l.Handle(now.Add(BudgetLife/3), ask(1))
	if early.Budget != 20 || early.BudgetFor != BudgetLife-BudgetLife/3 {
		t.Errorf("answer %+v within the life of the budget", early)
	}
	if late, _ := l.Handle(now.Add(BudgetLife), ask(2)); late.Budget != 0 || late.BudgetFor != 0 {
		t.Errorf("answer %+v after it", late)
	}
}
