package router

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fleet"
)

// A model with a sudden rise in callers has to be read from the weight store, for six
// seconds. Callers of a stream cancel after 3.2 s without an event. Guards against holding
// them until then: refused at once, they retry when the model is loaded.
func TestCallersWhoWouldCancelAreRefusedAtOnce(t *testing.T) {
	w := newFixture(t)
	w.servers(engineService, 2)
	w.reportHoldings(0, core.Holdings{FreeMB: 50_000, Models: []core.HeldModel{
		{Name: "m1", State: core.HoldStoreLoading, ReadyIn: 6 * time.Second},
	}})
	w.reportHoldings(1, core.Holdings{FreeMB: 50_000})
	quick, patient := w.call("quick", prompt("m1")), w.call("patient", prompt("m1"))
	finish, refused := w.finishes[quick]
	if !refused || finish.Code != code.DeadlineUnmet {
		t.Fatalf("quick: refused %t, %+v", refused, finish)
	}
	if finish.RetryAfter < 5*time.Second || finish.RetryAfter > 9*time.Second {
		t.Errorf("Retry-After %v, want about when the model is loaded", finish.RetryAfter)
	}
	if _, refused := w.finishes[patient]; refused {
		t.Error("a caller who waits 10 s for the first event was refused")
	}
	w.reportHoldings(0, core.Holdings{Models: loadedModels("m1")})
	if w.lastSend(patient).Instance != "s0" {
		t.Error("the waiting request was not sent where its model is")
	}
}

// Five routers get the first calls of one cold model within a millisecond. If each chose an
// engine of its own, five engines would load it and evict five other models. The choice
// must follow from the holdings and a hash, so that all agree.
func TestColdModelGathersAtOneEngine(t *testing.T) {
	homes := map[core.HostID]int{}
	for _, host := range []core.HostID{"10.0.0.1", "10.0.0.2", "10.0.0.3", "10.0.0.4", "10.0.0.5"} {
		w := newFixture(t)
		w.router.opts.Host = host
		w.servers(engineService, 6)
		for i := range 6 {
			w.reportHoldings(i, core.Holdings{FreeMB: 0, OnDisk: []string{"m1", "m2"}})
		}
		w.call("patient", prompt("m1"))
		for loader, demand := range w.demands {
			if len(demand.Wants) > 0 {
				homes[loader]++
			}
		}
	}
	if len(homes) != 1 {
		t.Fatalf("engines asked to load: %v, want one", homes)
	}
}

// A model is on the disk of one engine and nowhere else. A load there takes one second,
// anywhere else six: that engine must be asked.
func TestColdModelGoesToItsNearCopy(t *testing.T) {
	w := newFixture(t)
	w.servers(engineService, 6)
	for i := range 6 {
		holdings := core.Holdings{FreeMB: 80_000}
		if i == 4 {
			holdings = core.Holdings{FreeMB: 0, OnDisk: []string{"m3"}}
		}
		w.reportHoldings(i, holdings)
	}
	w.call("patient", prompt("m3"))
	if wants := w.demands[loaderName(4)].Wants; len(wants) != 1 || wants[0].Model != "m3" || wants[0].Waiting != 1 {
		t.Fatalf("wants at the engine with the copy: %+v", wants)
	}
}

// The engine that was to load a model is removed. The requests that wait for it must be
// moved to another engine, not wait until they time out.
func TestWaitMovesWhenItsEngineIsLost(t *testing.T) {
	w := newFixture(t)
	w.servers(engineService, 2)
	w.reportHoldings(0, core.Holdings{FreeMB: 80_000, OnDisk: []string{"m3"}})
	w.reportHoldings(1, core.Holdings{FreeMB: 80_000})
	key := w.call("patient", prompt("m3"))
	w.step(BackendsChanged{Removed: map[string]bool{"s0": true}})
	if wants := w.demands[loaderName(1)].Wants; len(wants) != 1 || wants[0].Model != "m3" {
		t.Fatalf("wants at the engine that is left: %+v; finish %+v", wants, w.finishes[key])
	}
}

// Three engines load from a weight store that serves one at full speed, and each loader
// predicts its own load alone: a caller was held for 8 s on a prediction of 3 s and then
// refused. The router has the reports of all three and must refuse it at once.
func TestSharedWeightStoreDelaysThePrediction(t *testing.T) {
	w := newFixture(t)
	w.servers(engineService, 3)
	w.router.service(engineService).store.limit = 1
	for i, model := range []string{"m1", "m2", "m3"} {
		w.reportHoldings(i, core.Holdings{Models: []core.HeldModel{
			{Name: model, State: core.HoldStoreLoading, ReadyIn: 4 * time.Second},
		}})
	}
	key := w.call("patient", prompt("m1"))
	finish, refused := w.finishes[key]
	if !refused || finish.Code != code.DeadlineUnmet {
		t.Fatalf("refused %t, %+v; want a refusal, as the caller cancels after 10 s and the load takes 12", refused, finish)
	}
	if finish.RetryAfter < 11*time.Second || finish.RetryAfter > 17*time.Second {
		t.Errorf("Retry-After %v, want about 12 s", finish.RetryAfter)
	}
}

// No engine of a deployment has a loader. Requests for a model that no engine has loaded
// must be refused at once as not run, and one log line must give the cause, not one per
// request.
func TestWithoutLoadersCallersAreRefusedAtOnce(t *testing.T) {
	w := newFixture(t)
	w.servers(engineService, 2)
	w.run(noLoaderRetryAfter)
	for range 3 {
		finish, ended := w.finishes[w.call("patient", prompt("m1"))]
		if !ended || finish.Code != code.NoBackend || finish.RetryAfter < noLoaderRetryAfter {
			t.Fatalf("ended %t: %+v", ended, finish)
		}
	}
	lines := 0
	for _, l := range w.logs {
		if l.About == StateChange && strings.Contains(l.Message, "loader that answers") {
			lines++
		}
	}
	if lines != 1 {
		t.Errorf("%d lines on the cause, want one", lines)
	}
}

// Many rare models are requested at once. An engine that has one of them on disk runs
// requests on all that it holds, so that one of its models has to be retired first, for up
// to 1.5 s; another with the same model on disk has idle ones. Callers met their objective
// by less than that time, and waited at the first engine in a third of the cases.
func TestModelIsLoadedWhereMemoryIsIdle(t *testing.T) {
	for i := range 8 {
		w := newFixture(t)
		w.servers(engineService, 2)
		model := fmt.Sprintf("m%d", i)
		w.reportHoldings(0, core.Holdings{OnDisk: []string{model}})
		w.reportHoldings(1, core.Holdings{OnDisk: []string{model}, IdleMB: 80_000})
		w.call("patient", prompt(model))
		if wants := w.demands[loaderName(0)].Wants; len(wants) != 0 {
			t.Errorf("%s is loaded where everything is in use", model)
		}
		if wants := w.demands[loaderName(1)].Wants; len(wants) == 0 {
			t.Errorf("%s is not asked for where room is idle", model)
		}
	}
}

// Guards against a request that is held until its deadline: the only engine that has its
// model loaded has refused it, and it waits for the model to be loaded.
func TestRequestRefusedByTheOnlyHolderIsNotHeld(t *testing.T) {
	w := newFixture(t)
	w.servers(engineService, 2)
	w.reportHoldings(0, core.Holdings{FreeMB: 20_000, Models: loadedModels("m1")})
	w.reportHoldings(1, core.Holdings{FreeMB: 80_000})
	key := w.call("patient", prompt("m1"))
	w.step(Answered{Key: key, Attempt: w.lastSend(key).Attempt, Answer: fleet.Answer{Status: 503, NotRun: true}})
	if finish := w.finishes[key]; finish.Code != code.NoBackend || finish.RetryAfter <= 0 {
		t.Errorf("it ended with %+v, want a refusal with Retry-After", finish)
	}
}
