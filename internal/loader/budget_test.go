package loader

import (
	"fmt"
	"log/slog"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fleet"
	"nutmeglane.example/nutmeglane/internal/limit"
)

// budgetFixture is a loader whose routers ask for a budget, beside an engine that reads prompts
// all the time.
type budgetFixture struct {
	*fixture
	// beginsPer100ms is how many requests the engine begins between two reports.
	beginsPer100ms int
	begun          int
}

var (
	testRouter  = core.HostID("10.0.0.1")
	budgetSpec  = core.BudgetSpec{FirstEvent: time.Second, Pause: 800 * time.Millisecond}
	engineLife  = core.ServerLife{Instance: "i-1", Born: 5}
	earlierLife = core.ServerLife{Instance: "i-1", Born: 4}
)

func newBudgetFixture(t testing.TB) *budgetFixture {
	w := &budgetFixture{fixture: newFixture(t, "m0"), beginsPer100ms: 3}
	w.engine.report.Born = engineLife.Born
	w.sendSpec(testRouter, 1, &budgetSpec)
	return w
}

// sendSpec makes a router announce and send a configuration with a budget.
func (w *budgetFixture) sendSpec(router core.HostID, hash uint64, budget *core.BudgetSpec) {
	w.t.Helper()
	spec := testSpec()
	spec.ID.Hash, spec.Budget = hash, budget
	w.step(DemandReceived{Router: router, Demand: core.Demand{Instance: "i-1", Born: engineLife.Born, Spec: spec.ID}})
	w.step(DemandReceived{Router: router, Demand: core.Demand{Instance: "i-1", Born: engineLife.Born, Engine: &spec}})
}

// work lets the engine begin requests for a duration while the given number is unread.
func (w *budgetFixture) work(d time.Duration, unread int) {
	w.t.Helper()
	for end := w.now.Add(d); w.now < end; {
		w.begin(unread)
		w.run(busyReadInterval)
	}
}

// begin sets the report to what it is after the next requests have begun. Each run produces
// its events until 20 later ones have begun.
func (w *budgetFixture) begin(unread int) {
	w.begun += w.beginsPer100ms
	report := &w.engine.report
	report.Unread, report.Runs = unread, nil
	for i := max(0, w.begun-20); i < w.begun; i++ {
		report.Runs = append(report.Runs, fleet.Run{ID: fmt.Sprint("r", i), Tokens: 600, Events: 1 + 3*(w.begun-i)})
	}
	report.Running = len(report.Runs) + unread
}

// told returns the budgets that a router was told.
func (w *budgetFixture) told(router core.HostID) []core.LimitReply { return w.limits[router] }

func (w *budgetFixture) lastTold(router core.HostID) core.LimitReply {
	w.t.Helper()
	all := w.told(router)
	if len(all) == 0 {
		w.t.Fatalf("%s was told nothing", router)
	}
	return all[len(all)-1]
}

// ask sends a router's request for a permit and returns the answer.
func (w *budgetFixture) ask(router core.HostID, server core.ServerLife, reported core.ReportedLimit) core.LimitReply {
	w.t.Helper()
	w.step(LimitRequested{Router: router, Request: core.LimitRequest{Server: server, RequestID: 7, Limit: reported}})
	return w.lastTold(router)
}

// Guards against routers that are not told a budget, or are told it too rarely to keep it, and
// against one that remains when it is not needed.
func TestBudgetIsAnnouncedRenewedAndEnded(t *testing.T) {
	w := newBudgetFixture(t)
	w.step(RouterUp{Router: "r2"})
	w.work(900*time.Millisecond, 30)
	if n := len(w.told("r2")); n > 0 {
		t.Fatalf("%d messages before the capacity is known", n)
	}
	w.work(time.Second, 30) // an idle engine's first report comes late
	for _, router := range []core.HostID{testRouter, "r2"} {
		if m := w.lastTold(router); m.Server != engineLife || m.Budget < 1 || m.Budget > 15 || m.BudgetFor != limit.BudgetLife {
			t.Errorf("%s was told %+v", router, m)
		}
	}
	before := len(w.told("r2"))
	w.work(5*time.Second, 30)
	if n := len(w.told("r2")) - before; n < 9 || n > 11 {
		t.Errorf("%d renewals within 5 s, want one each %v", n, limit.BudgetInterval)
	}
	w.step(RouterUp{Router: "r3"})
	if m := w.lastTold("r3"); m.Budget == 0 {
		t.Errorf("a router that connects is told %+v", m)
	}
	w.work(10*time.Second, 0)
	for _, router := range []core.HostID{testRouter, "r2", "r3"} {
		if m := w.lastTold(router); m.Budget != 0 || m.BudgetFor != 0 {
			t.Errorf("%s was told last %+v, want the end", router, m)
		}
	}
	before = len(w.told("r2"))
	w.work(5*time.Second, 0)
	if n := len(w.told("r2")) - before; n > 0 {
		t.Errorf("%d messages without a budget", n)
	}
}

// Guards against a loader that announces a budget and does not enforce it, and against an answer
// of the engine without a limit that ends it.
func TestLoaderEnforcesTheBudget(t *testing.T) {
	w := newBudgetFixture(t)
	w.work(1500*time.Millisecond, 30)
	granted := 0
	for range 40 {
		if w.ask(testRouter, engineLife, core.ReportedLimit{SentAgo: 2, ReceivedAgo: 1}).Granted {
			granted++
		}
	}
	if granted > 10 {
		t.Errorf("%d of 40 granted at once", granted)
	}
	answer := w.ask(testRouter, engineLife, core.ReportedLimit{SentAgo: 2, ReceivedAgo: 1})
	if answer.Budget == 0 || answer.Granted || answer.Room == 0 {
		t.Errorf("answer %+v", answer)
	}
	if answer := w.ask(testRouter, earlierLife, core.ReportedLimit{}); answer.Granted {
		t.Errorf("granted for an earlier life: %+v", answer)
	}
}

// Guards against a loader of whose routers some ask often, and that tells these the budget twice.
func TestAnswersRenewTheBudget(t *testing.T) {
	w := newBudgetFixture(t)
	w.work(1500*time.Millisecond, 30)
	before := len(w.told(testRouter))
	for range 20 {
		w.ask(testRouter, engineLife, core.ReportedLimit{})
		w.work(100*time.Millisecond, 30)
	}
	if n := len(w.told(testRouter)) - before; n > 23 { // 20 answers, and changes of the budget
		t.Errorf("%d messages with 20 answers", n)
	}
}

// The engine restarts under its instance. Guards against a budget of the earlier life that
// limits the new one.
func TestRestartedEngineHasNoBudget(t *testing.T) {
	w := newBudgetFixture(t)
	w.work(1500*time.Millisecond, 30)
	w.engine.report.Born, w.engine.report.Runs, w.engine.report.Unread, w.engine.report.Running = 6, nil, 0, 1
	w.run(200 * time.Millisecond)
	if m := w.lastTold(testRouter); m.Budget != 0 {
		t.Errorf("told last %+v, want the end", m)
	}
	next := core.ServerLife{Instance: "i-1", Born: 6}
	w.step(DemandReceived{Router: testRouter, Demand: core.Demand{Instance: "i-1", Born: 6}})
	if answer := w.ask(testRouter, next, core.ReportedLimit{}); !answer.Granted || answer.Budget != 0 {
		t.Errorf("answer %+v for the new life", answer)
	}
	w.work(1500*time.Millisecond, 30)
	if m := w.lastTold(testRouter); m.Server != next || m.Budget == 0 {
		t.Errorf("told last %+v of the new life, which is crowded", m)
	}
}

// The loader does not run for 3 s. Guards against a step of the budget after the report that
// then comes, and against a budget that is not renewed while it is kept.
func TestBudgetIsKeptWhenReportsAreLate(t *testing.T) {
	w := newBudgetFixture(t)
	w.work(1500*time.Millisecond, 30)
	before := w.lastTold(testRouter).Budget
	w.now = w.now.Add(3 * time.Second)
	w.begin(0)
	w.step(Tick{})
	if m := w.lastTold(testRouter); m.Budget != before || m.BudgetFor != limit.BudgetLife {
		t.Errorf("told %+v after 3 s, want the budget of %v", m, before)
	}
}

// Guards against a budget of an engine that does not answer which is renewed forever: routers
// would keep it in force.
func TestBudgetExpiresWithASilentEngine(t *testing.T) {
	w := newBudgetFixture(t)
	w.work(1500*time.Millisecond, 30)
	w.engine.refusing = true
	w.run(time.Second)
	before := len(w.told(testRouter))
	w.run(3 * time.Second)
	if n := len(w.told(testRouter)) - before; n > 0 {
		t.Errorf("%d messages on an engine that does not answer", n)
	}
}

// A router is killed while it has permits. Guards against a loader that stops telling the others.
func TestBudgetSurvivesARouter(t *testing.T) {
	w := newBudgetFixture(t)
	w.step(RouterUp{Router: "r2"})
	w.work(1500*time.Millisecond, 30)
	w.ask("r2", engineLife, core.ReportedLimit{})
	w.step(RouterDown{Router: "r2"})
	before := len(w.told(testRouter))
	w.work(2*time.Second, 30)
	if n := len(w.told(testRouter)) - before; n < 3 {
		t.Errorf("%d renewals within 2 s", n)
	}
}

// Guards against settings that take effect only with the next configuration, and against a
// loader that requests the configurations of two routers with different settings in turn.
func TestLastAnnouncedBudgetApplies(t *testing.T) {
	w := newBudgetFixture(t)
	w.step(RouterUp{Router: "r2"})
	w.work(1500*time.Millisecond, 30)
	w.specRequests = nil
	w.announceSpec("r2", 1, 9)
	if !slices.Equal(w.specRequests, []core.HostID{"r2"}) {
		t.Fatalf("asked %v, want r2", w.specRequests)
	}
	w.sendSpec("r2", 9, nil)
	w.work(time.Second, 30)
	if m := w.lastTold(testRouter); m.Budget != 0 {
		t.Errorf("told last %+v after the budget was turned off", m)
	}
	w.run(2 * time.Second)
	if len(w.specRequests) != 1 {
		t.Errorf("asked %v", w.specRequests)
	}
}

// record steps a loader through a script and returns all effects.
func record(spec core.EngineSpec, runs bool) []string {
	l := New(Options{Host: "10.1.0.1"})
	now := core.Time(time.Hour)
	var effects []string
	step := func(event Event) {
		for _, e := range l.Step(now, event) {
			if line, isLog := e.(Log); isLog {
				e = Log{Message: line.Message, Attrs: slices.Clone(line.Attrs)}
			}
			effects = append(effects, fmt.Sprintf("%v %T %+v", now, e, e))
		}
	}
	step(RouterUp{Router: testRouter})
	step(DemandReceived{Router: testRouter, Demand: core.Demand{Instance: "i-1", Engine: &spec}})
	for i := range 100 {
		now = now.Add(busyReadInterval)
		report := fleet.Report{Running: 60, Unread: 40, KVUsed: 99, KVTotal: 100, Models: []fleet.LoadedModel{{Name: "m0"}}}
		if runs {
			for j := range 20 {
				report.Runs = append(report.Runs, fleet.Run{ID: fmt.Sprint(3*i + j), Events: i + 1})
			}
		}
		step(ReportRead{Report: report})
		step(LimitRequested{Router: testRouter, Request: core.LimitRequest{Server: core.ServerLife{Instance: "i-1"}, RequestID: uint64(i + 1)}})
	}
	return effects
}

// Guards against any change for a service whose routers ask for no budget: what an engine
// reports of its runs, which the previous build did not read, must have no effect.
func TestWithoutBudgetNothingChanges(t *testing.T) {
	if diff := cmp.Diff(record(testSpec(), false), record(testSpec(), true)); diff != "" {
		t.Errorf("effects without and with runs:\n%s", diff)
	}
	spec := testSpec()
	spec.Budget = &budgetSpec
	if cmp.Equal(record(spec, false), record(spec, true)) {
		t.Error("the script has no effect on a budget either; the test needs one that has")
	}
}

// Guards against a budget that can't be explained afterwards.
func TestBudgetIsLoggedCountedAndDumped(t *testing.T) {
	w := newBudgetFixture(t)
	var logs []Log
	counts := map[core.Counter]float64{}
	w.observe = func(effect Effect) {
		switch e := effect.(type) {
		case Log:
			logs = append(logs, Log{Message: e.Message, Attrs: slices.Clone(e.Attrs)})
		case Count:
			counts[e.Name] += e.Add
		}
	}
	w.work(2*time.Second, 30)
	state := w.loader.Dump()
	if !state.BudgetInForce || state.Budget == nil || state.Budget.PerSecond < 1 || state.Budget.Crowded != "prompts" || state.Limits[0].Budget != state.Budget.PerSecond {
		t.Errorf("dump %+v, budget %+v", state.Limits, state.Budget)
	}
	w.work(10*time.Second, 0)
	has := func(message, key string, want any) bool {
		return slices.ContainsFunc(logs, func(l Log) bool {
			return l.Message == message && slices.ContainsFunc(l.Attrs, func(a slog.Attr) bool { return a.Key == key && a.Value.Any() == want })
		})
	}
	if !has("engine budget begins", "cause", "prompts") || !has("engine budget ends", "why", "not needed") {
		t.Errorf("log lines %v", logs)
	}
	if counts[metricBudgetSeconds] < 1 || counts[metricCrowdedSeconds] < 0.5 {
		t.Errorf("counts %v", counts)
	}
	w.work(2*time.Second, 30)
	w.engine.report.Malformed = 2
	w.work(2*time.Second, 30)
	if w.loader.Dump().BudgetInForce || !has("engine budget ends", "why", "malformed runs") || counts[metricMalformedRuns] < 10 {
		t.Errorf("a budget by malformed runs, or uncounted: %v, log lines %v", counts, logs)
	}
}
