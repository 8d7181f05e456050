package router

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fleet"
	"nutmeglane.example/nutmeglane/internal/limit"
)

// newBudgetFixture returns a router with two engines of a service that qualifies for budgets.
// Both have m0 loaded; only s0 has m1.
func newBudgetFixture(t testing.TB) *fixture {
	w := newFixture(t)
	w.router.SetCrowding(CrowdingOptions{FromPause: 800 * time.Millisecond, Budget: true})
	w.step(ConfigRead{Config: pausesConfig(2, 800*time.Millisecond, time.Second)})
	w.servers(engineService, 2)
	w.holdBudgeted()
	return w
}

// holdBudgeted delivers the reports of both loaders.
func (w *fixture) holdBudgeted() {
	w.t.Helper()
	w.reportHoldings(0, core.Holdings{Instance: "s0", Models: loadedModels("m0", "m1"), FreeMB: 20_000})
	w.reportHoldings(1, core.Holdings{Instance: "s1", Models: loadedModels("m0", "m2"), FreeMB: 20_000})
}

// runBudgeted advances the time while both loaders report.
func (w *fixture) runBudgeted(d time.Duration) {
	w.t.Helper()
	for range int(d / (500 * time.Millisecond)) {
		w.holdBudgeted()
		w.run(500 * time.Millisecond)
	}
	w.run(d % (500 * time.Millisecond))
}

// budget delivers a message of the loader beside an engine.
func (w *fixture) budget(engine int, perSecond float64) {
	w.t.Helper()
	w.step(LoaderAnsweredLimit{Loader: loaderName(engine), Answer: core.LimitReply{
		Server: core.ServerLife{Instance: fmt.Sprint("s", engine)}, Budget: perSecond, BudgetFor: limit.BudgetLife,
	}})
}

// answerBudget answers the last request for a permit.
func (w *fixture) answerBudget(engine int, perSecond float64, granted bool, room time.Duration) {
	w.t.Helper()
	ask := w.lastPermitRequest()
	w.step(LoaderAnsweredLimit{Loader: loaderName(engine), Answer: core.LimitReply{
		Server: ask.Server, RequestID: ask.RequestID, Spare: ask.Spare, Granted: granted, Room: room, Budget: perSecond, BudgetFor: limit.BudgetLife,
	}})
}

// drainS1 makes s1 take no more requests, so that no other engine can load a model either.
func (w *fixture) drainS1() {
	w.t.Helper()
	w.step(DrainingReported{News: core.ServerDraining{Server: core.ServerLife{Instance: "s1"}}})
}

func (w *fixture) limitOf(engine int) (perSecond float64, limited bool) {
	return w.router.backends[fmt.Sprint("s", engine)].limit.gate.Limit()
}

// Guards against loaders that are not told the objectives, or are told those of another service.
func TestBudgetSpecHasTheShortestObjectives(t *testing.T) {
	w := newBudgetFixture(t)
	w.run(time.Second)
	w.step(LoaderSpecRequested{Loader: loaderName(0)})
	spec := w.demands[loaderName(0)].Engine
	want := &core.BudgetSpec{FirstEvent: 600 * time.Millisecond, Pause: 800 * time.Millisecond}
	if spec == nil {
		t.Fatal("no configuration was sent")
	}
	if diff := cmp.Diff(want, spec.Budget); diff != "" {
		t.Error(diff)
	}
	w.router.SetCrowding(CrowdingOptions{FromPause: 800 * time.Millisecond, CopyPlan: true, RunCopies: true})
	if spec := w.router.service(engineService).spec; spec.Budget != nil {
		t.Errorf("budget %+v with the switch off", spec.Budget)
	}
}

// Guards against a request that is sent without a permit although the engine has a budget, and
// one that stays at the engine although another could serve it.
func TestRequestToAnEngineWithABudgetNeedsAPermit(t *testing.T) {
	w := newBudgetFixture(t)
	w.budget(0, 20)
	key := w.call("quick", prompt("m1"))
	if len(w.sends[key]) > 0 {
		t.Fatal("sent without a permit")
	}
	w.answerBudget(0, 20, true, 0)
	if send := w.lastSend(key); send.Instance != "s0" {
		t.Errorf("sent to %s", send.Instance)
	}
	w.router.backends["s1"].failureRate = 0.9 // so that s0 is chosen first
	key = w.call("quick", prompt("m0"))
	w.answerBudget(0, 20, false, time.Second)
	if send := w.lastSend(key); send.Instance != "s1" {
		t.Errorf("sent to %s, want s1, which has the model and no budget", send.Instance)
	}
}

// Guards against a caller that waits several objectives for an engine that has no room, and
// against a refusal without the time at which it has.
func TestRequestWithoutRoomIsRefusedAtOnce(t *testing.T) {
	w := newBudgetFixture(t)
	w.budget(0, 20)
	w.drainS1()
	key := w.call("quick", prompt("m1"))
	w.answerBudget(0, 20, false, 900*time.Millisecond)
	f := w.finishes[key]
	if f.Code != code.AtLimit || f.RetryAfter < 900*time.Millisecond || f.RetryAfter > 1300*time.Millisecond {
		t.Errorf("ended with %v, Retry-After %v; want a refusal with 0.9 s", f.Code, f.RetryAfter)
	}
	if !f.Code.NotRun() {
		t.Error("the refusal does not say that the request did not run")
	}
	asked := len(w.limitRequests)
	key = w.call("quick", prompt("m1"))
	if w.finishes[key].Code != code.AtLimit || len(w.limitRequests) > asked {
		t.Errorf("the next ended with %v after %d requests for permits; want a refusal without one", w.finishes[key].Code, len(w.limitRequests)-asked)
	}
}

// Guards against a refusal of a request for which there is room in time: it waits and then asks.
func TestRequestWaitsForRoomWithinItsObjective(t *testing.T) {
	w := newBudgetFixture(t)
	w.budget(0, 20)
	w.drainS1()
	key := w.call("quick", prompt("m1"))
	w.answerBudget(0, 20, false, 100*time.Millisecond)
	if f, ended := w.finishes[key]; ended {
		t.Fatalf("ended with %v", f.Code)
	}
	w.run(150 * time.Millisecond)
	w.answerBudget(0, 20, true, 0)
	w.lastSend(key)
}

// Guards against a copy that has no room and counts as one that could take the model's callers.
func TestCopyAtItsBudgetDoesNotCount(t *testing.T) {
	w := newBudgetFixture(t)
	models := loadedModels("m0", "m1")
	models[1].Rate = 30
	w.reportHoldings(0, core.Holdings{Instance: "s0", Models: models, FreeMB: 20_000})
	if n := len(w.router.copiesOf(engineService, "m1")); n != 1 {
		t.Fatalf("%d copies without a budget, want 1", n)
	}
	w.budget(0, 20)
	if n := len(w.router.copiesOf(engineService, "m1")); n != 0 {
		t.Errorf("%d copies at 30 requests a second and a budget of 20, want 0", n)
	}
	w.budget(0, 40)
	if n := len(w.router.copiesOf(engineService, "m1")); n != 1 {
		t.Errorf("%d copies at a budget of 40, want 1", n)
	}
}

// The loader is killed, is frozen, or the link to it is cut: it sends nothing more. Guards
// against a router that keeps to the last budget.
func TestBudgetExpiresWithoutItsLoader(t *testing.T) {
	for _, lost := range []string{"frozen", "killed"} {
		w := newBudgetFixture(t)
		w.budget(0, 20)
		if lost == "killed" {
			w.step(LoaderDown{Loader: loaderName(0)})
		}
		w.run(limit.BudgetLife - tickInterval)
		if _, limited := w.limitOf(0); !limited {
			t.Errorf("%s: the budget ended too early", lost)
		}
		w.run(2 * tickInterval)
		if got, limited := w.limitOf(0); limited || len(w.router.limited) > 0 {
			t.Errorf("%s: a budget of %v after %v without a message", lost, got, limit.BudgetLife)
		}
		if lines := w.logged("engine budget"); len(lines) != 2 || attrOf(t, lines[1], "change") != "expired" {
			t.Errorf("%s: log lines %+v", lost, lines)
		}
		if lost == "frozen" {
			w.lastSend(w.call("quick", prompt("m1")))
		}
	}
}

// Guards against a request that waits forever for the permit of a loader that does not answer:
// the router takes its own part until the budget expires.
func TestUnansweredPermitIsDecidedByTheRouter(t *testing.T) {
	w := newBudgetFixture(t)
	w.budget(0, 20)
	key := w.call("quick", prompt("m1"))
	w.runBudgeted(limit.BudgetLife + 2*tickInterval)
	w.lastSend(key)
}

// Guards against a budget that a message renews and that expires all the same, and one that its
// loader ends and that remains.
func TestBudgetIsRenewedAndEnded(t *testing.T) {
	w := newBudgetFixture(t)
	for range 10 {
		w.budget(0, 20)
		w.runBudgeted(time.Second)
	}
	if got, limited := w.limitOf(0); !limited || got != 20 {
		t.Errorf("limit %v (%v) while it is renewed", got, limited)
	}
	w.budget(0, 0)
	if got, limited := w.limitOf(0); limited {
		t.Errorf("limit %v after its end", got)
	}
	if lines := w.logged("engine budget"); len(lines) != 2 || attrOf(t, lines[1], "change") != "over" {
		t.Errorf("log lines %+v, want one for the start and one for the end", lines)
	}
	if state := w.router.Dump().Backends[0]; state.Budget != 0 {
		t.Errorf("dump %+v", state)
	}
}

// Guards against a message of another loader or on an earlier incarnation that limits an engine,
// and against a budget that lasts beyond its incarnation.
func TestBudgetBelongsToAnIncarnationAndItsLoader(t *testing.T) {
	w := newBudgetFixture(t)
	w.step(LoaderAnsweredLimit{Loader: loaderName(1), Answer: core.LimitReply{
		Server: core.ServerLife{Instance: "s0"}, Budget: 5, BudgetFor: limit.BudgetLife,
	}})
	if got, limited := w.limitOf(0); limited {
		t.Errorf("limit %v by another engine's loader", got)
	}
	born := func(born int64) {
		w.reportHoldings(0, core.Holdings{Instance: "s0", Born: born, Models: loadedModels("m0", "m1")})
	}
	tell := func(born int64) {
		w.step(LoaderAnsweredLimit{Loader: loaderName(0), Answer: core.LimitReply{
			Server: core.ServerLife{Instance: "s0", Born: born}, Budget: 5, BudgetFor: limit.BudgetLife,
		}})
	}
	born(7)
	tell(6)
	if got, limited := w.limitOf(0); limited {
		t.Errorf("limit %v of an earlier incarnation", got)
	}
	tell(7)
	if _, limited := w.limitOf(0); !limited {
		t.Error("no limit")
	}
	born(8)
	if got, limited := w.limitOf(0); limited || len(w.router.limited) > 0 {
		t.Errorf("limit %v after a restart", got)
	}
}

// Guards against an answer of the engine without a limit that ends its budget, and a limit that
// the engine names and a higher budget hides.
func TestAnswerWithoutLimitKeepsTheBudget(t *testing.T) {
	w := newBudgetFixture(t)
	key := w.call("quick", prompt("m1"))
	w.budget(0, 20)
	w.answerLimited(key, fleet.ReportedLimit{})
	if got, limited := w.limitOf(0); !limited || got != 20 {
		t.Errorf("limit %v (%v), want the budget", got, limited)
	}
	w.now = w.now.Add(100 * time.Millisecond)
	key = w.call("quick", prompt("m1"))
	w.answerBudget(0, 20, true, 0)
	w.now = w.now.Add(100 * time.Millisecond)
	w.answerLimited(key, limitedTo(3))
	if got, _ := w.limitOf(0); got != 3 {
		t.Errorf("limit %v, want the engine's own", got)
	}
	w.budget(0, 0)
	if got, limited := w.limitOf(0); !limited || got != 3 {
		t.Errorf("limit %v (%v) after the budget's end, want the engine's own", got, limited)
	}
}

// Guards against budgets that make routers and loaders send each other messages in a circle: a
// limit that a server names is sent on, a budget is not.
func TestBudgetIsNotSentBack(t *testing.T) {
	w := newBudgetFixture(t)
	before := len(w.limitRequests)
	for i := range 20 {
		w.budget(0, float64(20+i))
	}
	if n := len(w.limitRequests) - before; n > 0 {
		t.Errorf("%d messages to loaders after 20 budgets", n)
	}
}

// formatEffect formats an effect with the configuration that it points to.
func formatEffect(effect Effect) string {
	demand, ok := effect.(SendDemand)
	if !ok || demand.Demand.Engine == nil {
		return fmt.Sprintf("%T %+v", effect, effect)
	}
	engine := *demand.Demand.Engine
	demand.Demand.Engine = nil
	budget := "none"
	if engine.Budget != nil {
		budget = fmt.Sprintf("%+v", *engine.Budget)
		engine.Budget = nil
	}
	return fmt.Sprintf("%T %+v %+v budget %s", demand, demand, engine, budget)
}

// script drives a router through calls, answers and reports, and returns all its effects.
func script(t *testing.T, options CrowdingOptions, config *fleet.Config, budgets bool) []string {
	w := newFixture(t)
	w.router.opts.Crowding = options
	var effects []string
	step := func(event Event) {
		for _, e := range w.router.Step(w.now, event) {
			effects = append(effects, fmt.Sprintf("%v %s", w.now, formatEffect(e)))
		}
	}
	step(ConfigRead{Config: config})
	list := map[string]fleet.Backend{}
	for i := range 2 {
		list[fmt.Sprint("s", i)] = w.server(engineService, i)
	}
	step(BackendsRead{Backends: list})
	for i := range 2 {
		step(LoaderUp{Loader: loaderName(i)})
		step(LoaderSpecRequested{Loader: loaderName(i)})
	}
	for i := range 200 {
		w.now = w.now.Add(50 * time.Millisecond)
		if i%10 == 0 {
			for j := range 2 {
				step(LoaderReported{Loader: loaderName(j), Holdings: core.Holdings{
					Instance: fmt.Sprint("s", j), Models: loadedModels("m0"), Routers: 1, Coordinator: "10.0.0.1", Running: i % 7, Unread: i % 5,
				}})
			}
		}
		if budgets && i%10 == 5 {
			step(LoaderAnsweredLimit{Loader: loaderName(0), Answer: core.LimitReply{Server: core.ServerLife{Instance: "s0"}, Budget: 5, BudgetFor: limit.BudgetLife}})
		}
		step(Arrived{Key: Key(i + 1), Request: fleet.Request{
			ID: fmt.Sprint("r", i), Host: callersHost, Path: "/" + []string{"quick", "patient"}[i%2] + "/x", Prompt: prompt(fmt.Sprint("m", i%3)),
		}})
		step(FirstEvent{Key: Key(i), Attempt: 1})
		step(Done{Key: Key(i - 3), Attempt: 1})
	}
	return effects
}

// Guards against any change for deployments without the setting, and for services that do not
// qualify: all effects must be those of a router without it.
func TestWithoutBudgetNothingChanges(t *testing.T) {
	short, long := pausesConfig(2, 400*time.Millisecond, time.Second), pausesConfig(2, time.Second, time.Second)
	onlyBudget := CrowdingOptions{FromPause: 800 * time.Millisecond, Budget: true}
	if diff := cmp.Diff(script(t, CrowdingOptions{}, short, false), script(t, onlyBudget, short, false)); diff != "" {
		t.Errorf("effects of a service that does not qualify:\n%s", diff)
	}
	if cmp.Equal(script(t, CrowdingOptions{}, long, false), script(t, onlyBudget, long, false)) {
		t.Error("the setting has no effect on a service that qualifies; the test needs one that has")
	}
	if cmp.Equal(script(t, onlyBudget, long, false), script(t, onlyBudget, long, true)) {
		t.Error("budgets have no effect; the test needs a script in which they have")
	}
}

// Guards against a hash of the engine configuration that changes with the build: all loaders
// would request it again, 11 KB from each router.
func TestSpecHashWithoutBudgetIsThatOfThePreviousBuild(t *testing.T) {
	w := newFixture(t)
	// The value that the build before budgets computes for testConfig.
	const previous = 1552761603592804868
	if got := w.router.service(engineService).spec.ID.Hash; got != previous {
		t.Errorf("hash %d, want %d", got, previous)
	}
	if budgeted := newBudgetFixture(t).router.service(engineService).spec.ID.Hash; budgeted == previous {
		t.Error("a budget does not change the hash, so that loaders would not request it")
	}
}

// BenchmarkPermit measures a router's decision on a request to an engine with a budget, with
// the answer of its loader, which must take under 20 us.
func BenchmarkPermit(b *testing.B) {
	w := newBudgetFixture(b)
	w.budget(0, 20)
	engine := w.router.backends["s0"]
	req := &request{key: 1, id: "r1", prompt: prompt("m1"), route: &w.router.config.Routes[0], service: engineService}
	w.router.requests[1] = req
	for b.Loop() {
		w.router.out = w.router.out[:0]
		w.router.permitted(req, engine, false)
		req.permitServer = nil
		if !slices.ContainsFunc(w.router.out, func(e Effect) bool { _, asks := e.(SendLimitRequest); return asks }) {
			b.Fatal("no permit was requested")
		}
	}
}

// Guards against a stream that is taken from an engine that is slow and then refused by the only
// other one with its model, which has a budget: it ended without an answer.
func TestStreamIsNotMovedToAnEngineWithABudget(t *testing.T) {
	for _, budget := range []float64{0, 5} {
		w := newFixture(t)
		w.servers(engineService, 2)
		w.reportHoldings(0, core.Holdings{Models: loadedModels("m1")})
		w.reportHoldings(1, core.Holdings{})
		key := w.call("patient", prompt("m1"))
		w.step(Answered{Key: key, Attempt: 1, Answer: fleet.Answer{Status: 200}})
		w.step(FirstEvent{Key: key, Attempt: 1})
		w.reportHoldings(1, core.Holdings{Models: loadedModels("m1")})
		w.router.backends["s1"].limit.gate.UpdateBudget(w.now, budget, limit.BudgetLife)
		w.step(Stalled{Key: key, Attempt: 1})
		if sent := len(w.sends[key]) == 2; sent != (budget == 0) {
			t.Errorf("budget %v: sent to the other engine %t", budget, sent)
		}
		w.step(Answered{Key: key, Attempt: 2, Answer: fleet.Answer{Status: 200}})
		if moved := w.abandons[key] == 1; moved != (budget == 0) {
			t.Errorf("budget %v: moved %t", budget, moved)
		}
	}
}
