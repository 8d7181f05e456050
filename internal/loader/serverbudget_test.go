package loader

import (
	"fmt"
	"testing"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/limit"
)

var plainServer = core.ServerLife{Instance: "plain", Born: 1}

func crowdedLoad() *core.ServerLoad {
	return &core.ServerLoad{Running: 6, Waiting: 24, Slots: 6, Usual: 40 * time.Millisecond, Objective: 150 * time.Millisecond}
}

// reportLoad reports a load from a router twice, so that a mean can be taken.
func (w *fixture) reportLoad(server core.ServerLife, load *core.ServerLoad) {
	w.t.Helper()
	for range 2 {
		w.step(LimitRequested{Router: "10.0.0.1", Request: core.LimitRequest{Server: server, Load: load}})
		w.run(110 * time.Millisecond)
	}
}

// askPermits requests a permit each 5 ms, as the callers of an overloaded server do.
func (w *fixture) askPermits(server core.ServerLife, d time.Duration) {
	w.t.Helper()
	for end := w.now.Add(d); w.now < end; {
		w.run(5 * time.Millisecond)
		w.step(LimitRequested{Router: "10.0.0.1", Request: core.LimitRequest{Server: server, RequestID: 1, Load: crowdedLoad()}})
	}
}

// budgetsOf returns the messages on a server's budget that a router received.
func (w *fixture) budgetsOf(router core.HostID, server core.ServerLife) []core.LimitReply {
	var all []core.LimitReply
	for _, m := range w.limits[router] {
		if m.Server == server {
			all = append(all, m)
		}
	}
	return all
}

func lastOf(t *testing.T, replies []core.LimitReply) core.LimitReply {
	t.Helper()
	if len(replies) == 0 {
		t.Fatal("no message on a budget")
	}
	return replies[len(replies)-1]
}

// A server's queue is full. All routers must receive its budget at once, again each
// limit.BudgetInterval, and when they connect: otherwise they would send without permits.
func TestServerBudgetIsToldToAllRouters(t *testing.T) {
	w := newFixture(t)
	w.step(RouterUp{Router: "10.0.0.2"})
	w.reportLoad(plainServer, crowdedLoad())
	for _, router := range []core.HostID{"10.0.0.1", "10.0.0.2"} {
		got := lastOf(t, w.budgetsOf(router, plainServer))
		if got.Budget <= 0 || got.Budget > 150 || got.BudgetFor != limit.BudgetLife || got.Limit.Named {
			t.Errorf("%s was told %+v, want a budget below 150 for %v", router, got, limit.BudgetLife)
		}
	}
	before := len(w.budgetsOf("10.0.0.2", plainServer))
	w.askPermits(plainServer, 2*time.Second)
	if n := len(w.budgetsOf("10.0.0.2", plainServer)) - before; n < 3 || n > 5 {
		t.Errorf("%d renewals within 2 s, want about 4", n)
	}
	w.step(RouterUp{Router: "10.0.0.3"})
	if got := lastOf(t, w.budgetsOf("10.0.0.3", plainServer)); got.Budget <= 0 {
		t.Errorf("a router that connects was told %+v", got)
	}
}

// Permits of a server with a budget must be granted at its rate.
func TestServerBudgetIsEnforced(t *testing.T) {
	w := newFixture(t)
	w.reportLoad(plainServer, crowdedLoad())
	before := len(w.limits["10.0.0.1"])
	w.askPermits(plainServer, time.Second)
	granted := 0
	for _, m := range w.limits["10.0.0.1"][before:] {
		if m.Granted {
			granted++
		}
	}
	if granted < 40 || granted > 130 {
		t.Errorf("%d granted of 200 within 1 s, want those of a budget that falls from some 120", granted)
	}
}

// A load that is malformed or out of range must be left out and counted.
func TestMalformedLoadIsCounted(t *testing.T) {
	w := newFixture(t)
	load := crowdedLoad()
	load.Waiting = 10_001
	counted := 0
	for _, effect := range w.loader.Step(w.now, LimitRequested{Router: "10.0.0.1", Request: core.LimitRequest{Server: plainServer, Load: load}}) {
		if c, ok := effect.(Count); ok && c.Name == metricMalformedLoads {
			counted++
		}
	}
	if counted != 1 || len(w.loader.Dump().ServerBudgets) > 0 {
		t.Errorf("counted %d times, state %+v; want 1 and none", counted, w.loader.Dump().ServerBudgets)
	}
}

// A server that starts again must begin without the budget of its earlier life, and late
// messages on that life must not bring it back.
func TestServerBudgetEndsWithTheServersLife(t *testing.T) {
	w := newFixture(t)
	w.reportLoad(plainServer, crowdedLoad())
	next := plainServer
	next.Born = 2
	w.step(LimitRequested{Router: "10.0.0.1", Request: core.LimitRequest{Server: next, RequestID: 1}})
	if got := lastOf(t, w.budgetsOf("10.0.0.1", next)); !got.Granted || got.Budget != 0 {
		t.Errorf("the next life: %+v, want a permit without a budget", got)
	}
	w.reportLoad(plainServer, crowdedLoad())
	states := w.loader.Dump().ServerBudgets
	if len(states) != 1 || states[0].Server != next || states[0].PerSecond > 0 {
		t.Errorf("after messages on the earlier life: %+v, want the next life without a budget", states)
	}
}

// Once the callers have gone, the budget must end at all routers, and nothing may be kept.
func TestServerBudgetEndsWithoutDemand(t *testing.T) {
	w := newFixture(t)
	w.reportLoad(plainServer, crowdedLoad())
	w.run(5 * time.Second)
	if got := lastOf(t, w.budgetsOf("10.0.0.1", plainServer)); got.Budget != 0 {
		t.Errorf("the last message has a budget of %.1f", got.Budget)
	}
	w.run(2 * serverBudgetIdle)
	if states := w.loader.Dump().ServerBudgets; len(states) > 0 {
		t.Errorf("state is kept: %+v", states)
	}
}

// Requests of routers that report no load, as those of the previous build, must be granted as
// before and leave no state. So must reports on the loader's own engine, which has a budget of
// its own kind.
func TestNoServerBudgetWithoutLoads(t *testing.T) {
	w := newFixture(t)
	w.demand("10.0.0.1", core.Demand{})
	w.step(LimitRequested{Router: "10.0.0.1", Request: core.LimitRequest{Server: plainServer, RequestID: 1}})
	if got := lastOf(t, w.budgetsOf("10.0.0.1", plainServer)); !got.Granted {
		t.Errorf("%+v, want a permit", got)
	}
	w.reportLoad(core.ServerLife{Instance: "i-1"}, crowdedLoad())
	if states := w.loader.Dump().ServerBudgets; len(states) > 0 {
		t.Errorf("state %+v, want none", states)
	}
}

// The memory for loads must be bounded, whatever servers routers name.
func TestServerBudgetsAreBounded(t *testing.T) {
	w := newFixture(t)
	for i := range 2 * maxServerBudgets {
		w.loader.Step(w.now, LimitRequested{Router: "10.0.0.1", Request: core.LimitRequest{Server: core.ServerLife{Instance: fmt.Sprint(i)}, Load: crowdedLoad()}})
	}
	if n := len(w.loader.Dump().ServerBudgets); n != maxServerBudgets {
		t.Errorf("%d servers are kept, want %d", n, maxServerBudgets)
	}
}

// Operators must find the start and end of a budget in the log with what it was computed from,
// and the budget in force in the dump.
func TestServerBudgetIsLoggedAndDumped(t *testing.T) {
	w := newFixture(t)
	lines := map[string]Log{}
	step := func(event Event) {
		for _, effect := range w.loader.Step(w.now, event) {
			if line, ok := effect.(Log); ok {
				lines[line.Message] = line
			}
		}
	}
	for range 2 {
		step(LimitRequested{Router: "10.0.0.1", Request: core.LimitRequest{Server: plainServer, Load: crowdedLoad()}})
		w.now = w.now.Add(110 * time.Millisecond)
		step(Tick{})
	}
	states := w.loader.Dump().ServerBudgets
	if len(states) != 1 || states[0].Server != plainServer || states[0].PerSecond <= 0 || states[0].Waiting != 24 {
		t.Errorf("the dump has %+v", states)
	}
	for range 100 {
		w.now = w.now.Add(100 * time.Millisecond)
		step(Tick{})
	}
	for message, attrs := range map[string][]string{
		"server budget begins": {"per_second", "instance", "waiting", "usual", "objective"},
		"server budget ends":   {"why", "lowest", "held", "instance"},
	} {
		has := map[string]bool{}
		for _, a := range lines[message].Attrs {
			has[a.Key] = true
		}
		for _, name := range attrs {
			if !has[name] {
				t.Errorf("%q lacks %s: %v", message, name, lines[message].Attrs)
			}
		}
	}
}
