package router

import (
	"fmt"
	"testing"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
)

// These tests play overload of plain services' servers, and each failure of the processes that
// compute and apply their budgets.

const (
	budgetRouters, budgetEngines = 34, 3
	// leastOnTime and leastUsed are the targets: the share of the admitted requests that are
	// answered within their objective, and the part of the server's capacity that is used.
	leastOnTime, leastUsed = 0.9, 0.8
	// budgetSettling is the time within which a budget follows a change.
	budgetSettling = 3 * time.Second
)

var budgetOnly = CrowdingOptions{FromPause: 800 * time.Millisecond, Budget: true}

// newOverloadedFleet returns a fleet with three servers of which two were removed 5 s ago.
func newOverloadedFleet(seed uint64, offered float64, crowding CrowdingOptions) *budgetFleet {
	return newOverloadedFleetOf(budgetRouters, seed, offered, crowding)
}

// newOverloadedFleetOf is newOverloadedFleet with another number of routers.
func newOverloadedFleetOf(routers int, seed uint64, offered float64, crowding CrowdingOptions) *budgetFleet {
	f := newBudgetFleet(seed, routers, budgetEngines, 3, crowding)
	f.offered = offered
	f.run(5 * time.Second)
	f.removeServer("plain1")
	f.removeServer("plain2")
	f.run(5 * time.Second)
	return f
}

// capacity is the rate at which the remaining servers finish requests.
func (f *budgetFleet) capacity() float64 {
	capacity := 0.0
	for _, s := range f.servers {
		if !s.removed {
			capacity += plainCapacity
		}
	}
	return capacity
}

// checkTargets reports targets that were missed by the requests that arrived from a time on. It
// lets a second pass so that they have ended.
func (f *budgetFleet) checkTargets(t *testing.T, from core.Time) {
	t.Helper()
	to := f.now
	f.run(time.Second)
	got := f.result(from, to)
	t.Log(got)
	if share := got.onTimeShare(); share < leastOnTime {
		t.Errorf("%.3f of the admitted requests were answered on time, want at least %.2f", share, leastOnTime)
	}
	if least := leastUsed * min(f.offered, f.capacity()); got.perSecond < least {
		t.Errorf("%.0f a second were served, want at least %.0f", got.perSecond, least)
	}
	if got.withoutRetryAfter > 0 {
		t.Errorf("%d refusals named no time after which to retry", got.withoutRetryAfter)
	}
	if got.slowestRefusal > plainObjective {
		t.Errorf("a request was refused after %v", got.slowestRefusal)
	}
}

// Two of three servers are removed, and the last one is offered more than it finishes. Without a
// budget its queue is always full, so that nearly all answers are late.
func TestLastServerAnswersOnTime(t *testing.T) {
	for _, offered := range []float64{110, 150, 190, 300} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%.0f a second, seed %d", offered, seed), func(t *testing.T) {
				f := newOverloadedFleet(seed, offered, budgetOnly)
				from := f.now
				f.run(20 * time.Second)
				f.checkTargets(t, from)
			})
		}
	}
}

// Of 470 routers each gets an answer about every three seconds, so that each knows little of the
// load.
func TestLastServerAnswersOnTimeWithManyRouters(t *testing.T) {
	f := newOverloadedFleetOf(470, 1, 190, budgetOnly)
	from, messages := f.now, f.limitMessages
	f.run(10 * time.Second)
	t.Logf("%d messages on limits a second", (f.limitMessages-messages)/10)
	f.checkTargets(t, from)
}

// Two servers are overloaded together. Neither may be left unused because requests that the other
// could serve as well leave a part of its budget.
func TestTwoServersWithBudgetsAreUsed(t *testing.T) {
	for _, offered := range []float64{330, 600} {
		t.Run(fmt.Sprintf("%.0f a second", offered), func(t *testing.T) {
			f := newBudgetFleet(1, budgetRouters, budgetEngines, 2, budgetOnly)
			f.offered = offered
			f.run(5 * time.Second)
			from := f.now
			f.run(15 * time.Second)
			f.checkTargets(t, from)
		})
	}
}

// Removal of two of three servers must be followed within budgetSettling.
func TestBudgetFollowsARemoval(t *testing.T) {
	for seed := range uint64(5) {
		f := newBudgetFleet(seed, budgetRouters, budgetEngines, 3, budgetOnly)
		f.offered = 300
		f.run(5 * time.Second)
		f.removeServer("plain1")
		f.removeServer("plain2")
		f.run(budgetSettling)
		from := f.now
		f.run(5 * time.Second)
		f.checkTargets(t, from)
	}
}

// With a budget for nothing, messages would cost loaders and routers their time. Where the
// part is off, or no service with engines qualifies, there must be none.
func TestNoMessagesWithoutTheSwitch(t *testing.T) {
	for name, options := range map[string]CrowdingOptions{
		"off":                 {},
		"budget off":          {FromPause: 800 * time.Millisecond, CopyPlan: true, RunCopies: true},
		"no service in range": {FromPause: 801 * time.Millisecond, Budget: true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newOverloadedFleet(1, 300, options)
			if f.limitMessages > 0 {
				t.Errorf("%d messages on limits", f.limitMessages)
			}
		})
	}
}

// Three servers that take their load must cost no permits.
func TestNoBudgetWithoutOverload(t *testing.T) {
	f := newBudgetFleet(1, budgetRouters, budgetEngines, 3, budgetOnly)
	f.offered = 190
	f.run(20 * time.Second)
	if len(f.budgets) > 0 {
		t.Errorf("%d budgets began or ended", len(f.budgets))
	}
	f.checkTargets(t, f.now.Add(-10*time.Second))
}

// Work takes five times as long for 5 s, then as usual.
func TestBudgetFollowsASlowServer(t *testing.T) {
	f := newOverloadedFleet(1, 190, budgetOnly)
	f.servers["plain0"].slower = 5
	f.run(budgetSettling)
	if got := f.routers[0].router.backends["plain0"].limit.gate.Budget(); got == 0 || got > 2*plainCapacity/5 {
		t.Errorf("a budget of %.0f for a server that finishes %.0f a second", got, plainCapacity/5)
	}
	f.run(2 * time.Second)
	f.servers["plain0"].slower = 1
	f.run(8 * time.Second)
	from := f.now
	f.run(10 * time.Second)
	f.checkTargets(t, from)
}

// budgetsKnown counts the routers at which a budget of the last server is in force.
func (f *budgetFleet) budgetsKnown() int {
	n := 0
	for _, p := range f.routers {
		if p.router.backends["plain0"].limit.gate.Budget() > 0 {
			n++
		}
	}
	return n
}

// The loader that counts is killed. The budget must expire at all routers, and another loader
// must take over.
func TestBudgetOfAKilledLoader(t *testing.T) {
	f := newOverloadedFleet(1, 190, budgetOnly)
	before := f.counting("plain0")
	if n := f.budgetsKnown(); n != budgetRouters {
		t.Fatalf("%d routers know the budget, want all %d", n, budgetRouters)
	}
	f.offered = 0 // so that no other loader learns of the overload
	f.loseLoader(before)
	f.run(1500*time.Millisecond + 2*tickInterval)
	for _, p := range f.routers {
		limit := p.router.backends["plain0"].limit
		// Reports that were on their way may have made another loader begin a budget.
		if _, kept := limit.budgets[before.name]; kept || len(limit.budgets) == 0 && limit.gate.Budget() > 0 {
			t.Errorf("%s keeps the budget of a loader that was killed 1.6 s ago: %+v", p.name, limit.budgets)
		}
	}
	f.offered = 190
	f.run(time.Second + budgetSettling) // callers' next arrival is up to a second away
	if after := f.counting("plain0"); after == before {
		t.Fatalf("%s still counts", after.name)
	}
	from := f.now
	f.run(10 * time.Second)
	f.checkTargets(t, from)
}

// The loader that counts is frozen, and its connections remain. The budget must expire 1.5 s
// after its last message, and renewals must reach all routers once it runs again.
func TestBudgetOfAFrozenLoader(t *testing.T) {
	f := newOverloadedFleet(1, 190, budgetOnly)
	counting := f.counting("plain0")
	counting.cut = true
	f.run(1500*time.Millisecond + 2*tickInterval)
	if n := f.budgetsKnown(); n > 0 {
		t.Errorf("%d routers keep the budget of a loader that froze 1.6 s ago", n)
	}
	counting.cut = false
	f.run(2 * budgetSettling)
	from := f.now
	f.run(10 * time.Second)
	f.checkTargets(t, from)
}

// Half of the routers lose the loader that counts and choose another one, so that two loaders
// count. The lower budget must apply at the routers that hear both, and the server must not be
// overloaded by the sum.
func TestTwoLoadersCount(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { playTwoLoaders(t, seed) })
	}
}

func playTwoLoaders(t *testing.T, seed uint64) {
	f := newOverloadedFleet(seed, 190, budgetOnly)
	counting := f.counting("plain0")
	for i, p := range f.routers {
		if i%2 == 1 {
			f.stepRouter(p, LoaderDown{Loader: counting.name})
		}
	}
	f.run(2 * budgetSettling)
	for _, p := range f.routers {
		limit := p.router.backends["plain0"].limit
		lowest := 0.0
		for _, budget := range limit.budgets {
			if lowest == 0 || budget.perSecond < lowest {
				lowest = budget.perSecond
			}
		}
		if got := limit.gate.Budget(); got != lowest {
			t.Errorf("%s has a budget of %.1f, the lowest announced is %.1f", p.name, got, lowest)
		}
	}
	from := f.now
	f.run(10 * time.Second)
	f.checkTargets(t, from)
}

// A server that hangs states no load. Its budget must not rise meanwhile, and the targets must
// be met again after the hang.
func TestBudgetOfAHangingServer(t *testing.T) {
	f := newOverloadedFleet(1, 190, budgetOnly)
	server := f.servers["plain0"]
	server.hanging = true
	f.run(200 * time.Millisecond) // answers and reports on their way arrive
	before := f.routers[0].router.backends["plain0"].limit.gate.Budget()
	f.run(1500 * time.Millisecond)
	if got := f.routers[0].router.backends["plain0"].limit.gate.Budget(); got > before*1.11 {
		t.Errorf("the budget rose from %.0f to %.0f while no load was stated", before, got)
	}
	server.resume()
	f.run(2 * budgetSettling)
	from := f.now
	f.run(10 * time.Second)
	f.checkTargets(t, from)
}
