package router

import (
	"strings"
	"testing"
	"time"

	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fleet"
	"nutmeglane.example/nutmeglane/internal/limit"
)

// countingLoader is the loader that counts in newServerBudgetFixture, otherLoader another one.
const countingLoader, otherLoader = core.HostID("10.9.0.1"), core.HostID("10.9.0.2")

// newServerBudgetFixture returns a router with an engine that has a loader, and with the given number
// of servers of a plain service, which get budgets.
func newServerBudgetFixture(t *testing.T, plain int) *fixture {
	w := newFixture(t)
	w.router.SetCrowding(CrowdingOptions{FromPause: 400 * time.Millisecond, Budget: true})
	list := map[string]fleet.Backend{"engine": {
		Incarnation: fleet.Incarnation{Instance: "engine"}, Service: engineService, Zone: "a", Slots: 64, Address: string(countingLoader) + ":8000",
	}}
	for i := range plain {
		b := w.server(plainService, i)
		b.Born = 1
		list[b.Instance] = b
	}
	w.step(BackendsRead{Backends: list})
	w.step(LoaderUp{Loader: countingLoader})
	return w
}

// answerLoad delivers the answer to a request with a load.
func (w *fixture) answerLoad(key Key, load fleet.Load) {
	w.t.Helper()
	send := w.lastSend(key)
	w.step(Answered{Key: key, Attempt: send.Attempt, Answer: fleet.Answer{Status: 200, Load: &load}})
	w.step(Done{Key: key, Attempt: send.Attempt})
}

// tellBudget delivers a loader's message on the budget of s0, 0 for none.
func (w *fixture) tellBudget(from core.HostID, perSecond float64) {
	w.t.Helper()
	answer := core.LimitReply{Server: core.ServerLife{Instance: "s0", Born: 1}}
	if perSecond > 0 {
		answer.Budget, answer.BudgetFor = perSecond, limit.BudgetLife
	}
	w.step(LoaderAnsweredLimit{Loader: from, Answer: answer})
}

func (w *fixture) budgetOfS0() float64 { return w.router.backends["s0"].limit.gate.Budget() }

// lastLoad returns the load in the last message on limits, nil if it has none.
func (w *fixture) lastLoad() *core.ServerLoad {
	if len(w.limitRequests) == 0 {
		return nil
	}
	return w.limitRequests[len(w.limitRequests)-1].Request.Load
}

// An answer states that requests wait. The loader that counts must receive that with the time of
// an answer without waiting at the host's present pace, and not again within loadReportInterval.
func TestLoadIsReported(t *testing.T) {
	w := newServerBudgetFixture(t, 1)
	key := w.call("once", nil)
	w.now = w.now.Add(120 * time.Millisecond)
	w.answerLoad(key, fleet.Load{Running: 6, Waiting: 12, Slots: 6, HostPace: 2})
	want := core.ServerLoad{Running: 6, Waiting: 12, Slots: 6, Usual: 40 * time.Millisecond, Objective: 150 * time.Millisecond}
	if got := w.lastLoad(); got == nil || *got != want {
		t.Errorf("reported %+v, want %+v", got, want)
	}
	if to := w.limitRequests[0].Loader; to != countingLoader {
		t.Errorf("reported to %s", to)
	}
	w.now = w.now.Add(loadReportInterval / 2)
	w.answerLoad(w.call("once", nil), fleet.Load{Running: 6, Waiting: 12, Slots: 6})
	if n := len(w.limitRequests); n != 1 {
		t.Errorf("%d reports within %v", n, loadReportInterval/2)
	}
	w.now = w.now.Add(loadReportInterval)
	w.answerLoad(w.call("once", nil), fleet.Load{Running: 6, Waiting: 12, Slots: 6})
	if n := len(w.limitRequests); n != 2 {
		t.Errorf("%d reports, want 2", n)
	}
}

// A server without waiting requests must cost no message, and an answer of an earlier
// incarnation tells nothing of the present one.
func TestLoadIsNotReported(t *testing.T) {
	w := newServerBudgetFixture(t, 1)
	w.answerLoad(w.call("once", nil), fleet.Load{Running: 6, Slots: 6})
	key := w.call("once", nil)
	w.router.requests[key].attempt.incarnation.Born = 5
	w.answerLoad(key, fleet.Load{Running: 6, Waiting: 20, Slots: 6})
	if len(w.limitRequests) > 0 {
		t.Errorf("sent %+v", w.limitRequests)
	}
}

// While a server has a budget, each request for a permit must report the last load, also that
// nothing waits, so that the budget can rise. A load must be reported once, and not when it is
// old: the loader takes it for the present one.
func TestPermitRequestReportsLoad(t *testing.T) {
	w := newServerBudgetFixture(t, 1)
	first, second := w.call("once", nil), w.call("once", nil)
	w.tellBudget(countingLoader, 100)
	w.answerLoad(first, fleet.Load{Running: 3, Slots: 6})
	w.call("once", nil)
	if got := w.lastPermitRequest().Load; got == nil || got.Running != 3 || got.Waiting != 0 {
		t.Errorf("reported %+v, want the last load", got)
	}
	w.call("once", nil)
	if got := w.lastPermitRequest().Load; got != nil {
		t.Errorf("reported %+v again", got)
	}
	w.answerLoad(second, fleet.Load{Running: 3, Slots: 6})
	w.now = w.now.Add(maxReportedAge + 1)
	w.call("once", nil)
	if got := w.lastPermitRequest().Load; got != nil {
		t.Errorf("reported %+v after %v", got, maxReportedAge+1)
	}
}

// Requests to a server with a budget need permits. One that is refused must be refused as not
// run at once, with a time, and with a reason that names the budget.
func TestRequestBeyondTheServersBudgetIsRefused(t *testing.T) {
	w := newServerBudgetFixture(t, 1)
	w.tellBudget(countingLoader, 100)
	key := w.call("once", nil)
	ask := w.lastPermitRequest()
	w.step(LoaderAnsweredLimit{Loader: countingLoader, Answer: core.LimitReply{
		Server: ask.Server, RequestID: ask.RequestID, Room: 20 * time.Millisecond, Budget: 100, BudgetFor: limit.BudgetLife,
	}})
	f := w.finishes[key]
	if f.Code != code.AtLimit || f.RetryAfter <= 0 || !strings.Contains(f.Reason, "budget of 100") {
		t.Errorf("finished with %+v, want AtLimit with a time and the budget", f)
	}
}

// An idempotent request that one server refuses must go to a second one.
func TestRefusedRequestGoesToASecondServer(t *testing.T) {
	w := newServerBudgetFixture(t, 2)
	w.router.backends["s1"].failureRate = 0.5 // so that s0 is chosen first
	key := w.call("again", nil)
	send := w.lastSend(key)
	w.step(Answered{Key: key, Attempt: send.Attempt, Answer: fleet.Answer{Status: 503, NotRun: true, Load: &fleet.Load{Running: 6, Waiting: 24, Slots: 6}}})
	if again := w.lastSend(key); send.Instance != "s0" || again.Instance != "s1" {
		t.Errorf("sent to %s, then to %s", send.Instance, again.Instance)
	}
	if got := w.lastLoad(); got == nil || got.Waiting != 24 {
		t.Errorf("the load in the refusal was reported as %+v", got)
	}
}

// A loader that counts is gone. Its budget must end limit.BudgetLife after its last message.
func TestServerBudgetExpires(t *testing.T) {
	w := newServerBudgetFixture(t, 1)
	w.tellBudget(countingLoader, 100)
	w.run(limit.BudgetLife - 2*tickInterval)
	if got := w.budgetOfS0(); got != 100 {
		t.Errorf("budget %.0f before it expires", got)
	}
	w.run(4 * tickInterval)
	if got := w.budgetOfS0(); got != 0 || len(w.router.limited) > 0 {
		t.Errorf("budget %.0f after it has expired, %d limited servers", got, len(w.router.limited))
	}
	if lines := w.logged("server budget"); len(lines) != 2 || attrOf(t, lines[1], "change") != "expired" {
		t.Errorf("logged %+v, want that a budget began and expired", lines)
	}
}

// Two loaders count for a short time. The lower budget must apply until it ends or expires, and
// then the other one.
func TestLowerOfTwoServerBudgetsApplies(t *testing.T) {
	w := newServerBudgetFixture(t, 1)
	w.tellBudget(countingLoader, 100)
	w.tellBudget(otherLoader, 50)
	w.tellBudget(countingLoader, 120)
	if got := w.budgetOfS0(); got != 50 {
		t.Errorf("budget %.0f, want the lower one", got)
	}
	for range 4 {
		w.run(500 * time.Millisecond)
		w.tellBudget(countingLoader, 120)
	}
	if got := w.budgetOfS0(); got != 120 {
		t.Errorf("budget %.0f after the lower one has expired", got)
	}
	w.tellBudget(otherLoader, 50)
	w.tellBudget(otherLoader, 0)
	if got := w.budgetOfS0(); got != 120 {
		t.Errorf("budget %.0f after the lower one was over", got)
	}
}

// A server that starts again, or another one with its name, must not inherit the budget, and a
// late message on the earlier life must not bring it back.
func TestServerBudgetEndsWithTheServer(t *testing.T) {
	w := newServerBudgetFixture(t, 1)
	w.tellBudget(countingLoader, 100)
	next := w.server(plainService, 0)
	next.Born = 2
	w.step(BackendsChanged{Written: map[string]fleet.Backend{"s0": next}})
	w.tellBudget(countingLoader, 100)
	if got := w.budgetOfS0(); got != 0 {
		t.Errorf("budget %.0f of the earlier life", got)
	}
}

// Where budgets are off, a loader's message must change nothing; once they are turned off, those
// in force must end.
func TestNoServerBudgetWhereTheyAreOff(t *testing.T) {
	w := newServerBudgetFixture(t, 1)
	w.tellBudget(countingLoader, 100)
	w.router.SetCrowding(CrowdingOptions{})
	if got := w.budgetOfS0(); got != 0 {
		t.Errorf("budget %.0f after they were turned off", got)
	}
	w.tellBudget(countingLoader, 100)
	if got := w.budgetOfS0(); got != 0 {
		t.Errorf("budget %.0f while they are off", got)
	}
}

// The latency of a server whose host is slow at this moment must be predicted by its pace, if
// that is at most a second old, and only where budgets are on: other deployments must choose as
// before.
func TestHostPaceChangesTheChoice(t *testing.T) {
	predict := func(on bool, pace float64, age time.Duration) time.Duration {
		w := newServerBudgetFixture(t, 1)
		if !on {
			w.router.SetCrowding(CrowdingOptions{})
		}
		w.answerLoad(w.call("once", nil), fleet.Load{Running: 1, Slots: 6, HostPace: pace})
		w.router.backends["s0"].latency = 30 * time.Millisecond
		w.router.now = w.now.Add(age)
		return w.router.plainLatency(w.router.backends["s0"])
	}
	for _, test := range []struct {
		name string
		on   bool
		pace float64
		age  time.Duration
		want float64
	}{
		{"slow", true, 2, 0, 2},
		{"fast", true, 0.5, 0, 1},
		{"not stated", true, 0, 0, 1},
		{"a second old", true, 2, time.Second, 2},
		{"older", true, 2, time.Second + 1, 1},
		{"off", false, 2, 0, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			usual, got := predict(false, 1, test.age), predict(test.on, test.pace, test.age)
			if factor := float64(got) / float64(usual); factor != test.want {
				t.Errorf("predicted %v, %.2f times the usual %v; want %.1f times", got, factor, usual, test.want)
			}
		})
	}
}
