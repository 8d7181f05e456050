package router

import (
	"testing"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
)

// Requests wait for a model, and their engine's loader reports. Guards against messages
// without content: when each report made all routers answer, and each answer the loader,
// there were a thousand messages a second at each router and 20 times the processor time. A
// report that does not affect the queue must not be answered.
func TestUnchangedReportGetsNoDemand(t *testing.T) {
	w := newFixture(t)
	w.servers(engineService, 2)
	near := core.Holdings{OnDisk: []string{"m1"}, FreeMB: 80_000, FreeIn: time.Second}
	for i := range 2 {
		w.reportHoldings(i, near)
	}
	key := w.call("patient", prompt("m1"))
	if len(w.sends[key]) != 0 {
		t.Fatal("the request does not wait")
	}
	clear(w.demands)
	for i := range 2 {
		w.now = w.now.Add(time.Millisecond)
		w.reportHoldings(i, near)
	}
	if len(w.demands) != 0 {
		t.Fatalf("loaders were answered without a change: %v", w.demands)
	}
	w.call("patient", prompt("m1"))
	if len(w.demands) != 1 {
		t.Fatalf("a further request was reported to %d loaders, want only the one that loads", len(w.demands))
	}
}

// Callers wait for a model's adapter while the model is loaded. When it was requested only
// after that, the adapter came after the engine's next load: 0.8 s later. The loader must
// receive both wants at once.
func TestAdaptersAreAskedForWithTheirModel(t *testing.T) {
	w := newFixture(t)
	w.servers(engineService, 1)
	w.reportHoldings(0, core.Holdings{OnDisk: []string{"m1"}, FreeMB: 80_000})
	p := prompt("m1")
	p.Adapter = "a3"
	w.call("patient", p)
	found := false
	for _, want := range w.demands[loaderName(0)].Wants {
		found = found || want.Model == "m1" && want.Adapter == "a3" && want.Waiting == 1
	}
	if !found {
		t.Fatalf("the adapter is not asked for: %+v", w.demands[loaderName(0)].Wants)
	}
}

// Two engines have a model; one of them is loading another model, during which it takes no
// order. An adapter must be requested at the one that can load it now.
func TestAdapterIsLoadedWhereNoLoadIsUnderWay(t *testing.T) {
	for loading := range 2 {
		w := newFixture(t)
		w.servers(engineService, 2)
		for i := range 2 {
			models := loadedModels("m1")
			if i == loading {
				models = append(models, core.HeldModel{Name: "m2", State: core.HoldLoading, ReadyIn: 800 * time.Millisecond})
			}
			w.reportHoldings(i, core.Holdings{Models: models})
		}
		p := prompt("m1")
		p.Adapter = "a3"
		w.call("patient", p)
		if wants := w.demands[loaderName(loading)].Wants; len(wants) != 0 {
			t.Errorf("asked for at the engine that loads: %+v", wants)
		}
		if wants := w.demands[loaderName(1-loading)].Wants; len(wants) != 1 {
			t.Errorf("not asked for at the other: %+v", wants)
		}
	}
}

// Guards against demands that grow with what a fleet holds: a router must report no use of
// models that it does not use to an engine's loader, however many are loaded there. Only
// the coordinator reports how many copies there are.
func TestOnlyUsedModelsAreReported(t *testing.T) {
	for _, coordinator := range []core.HostID{"10.0.0.1", "10.0.0.2"} {
		w := newFixture(t)
		w.servers(engineService, 1)
		held := core.Holdings{Models: loadedModels("m0", "m1", "m2"), Routers: 2, Coordinator: coordinator}
		w.step(LoaderUp{Loader: loaderName(0)})
		w.step(LoaderReported{Loader: loaderName(0), Holdings: held})
		w.call("quick", prompt("m1"))
		for range 20 {
			w.step(LoaderReported{Loader: loaderName(0), Holdings: held})
			w.run(tickInterval)
		}
		uses := w.demands[loaderName(0)].Uses
		if coordinates := coordinator == w.router.opts.Host; coordinates {
			if len(uses) != 3 || uses[0].Copies != 1 {
				t.Errorf("the coordinator reports %+v", uses)
			}
		} else if len(uses) != 1 || uses[0].Model != "m1" || uses[0].Copies != 0 {
			t.Errorf("another router reports %+v", uses)
		}
	}
}

// Guards against a message to each loader whenever a use that is no longer sent has
// decayed.
func TestDecayedUsesAreNotSent(t *testing.T) {
	use := func(model string, rate float64) core.Use { return core.Use{Model: model, Rate: rate} }
	tests := []struct {
		name      string
		sent, now []core.Use
		same      bool
	}{
		{"faded and left out", []core.Use{use("a", 0.1), use("b", 0.01)}, []core.Use{use("a", 0.1)}, true},
		{"not worth telling yet", []core.Use{use("b", 0.1)}, []core.Use{use("a", 0.01), use("b", 0.1)}, true},
		{"called for the first time", []core.Use{use("b", 0.1)}, []core.Use{use("a", 0.1), use("b", 0.1)}, false},
		{"left out while requests ran", []core.Use{{Model: "a", Running: 1}}, nil, false},
		{"other copies", []core.Use{{Model: "a", Copies: 2}}, []core.Use{{Model: "a", Copies: 3}}, false},
	}
	for _, test := range tests {
		if same := sameUses(test.sent, test.now, 0); same != test.same {
			t.Errorf("%s: same is %t", test.name, same)
		}
	}
}
