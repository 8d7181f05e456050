package router

import (
	"testing"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
)

// Requests wait for a model, and their engine's loader speaks. Each word made all
// routers answer, and each answer the loader: on some days a thousand messages a
// second at each router, and 20 times the processor time. A word that changes
// nothing for the queue is not answered.
func TestLoadersWordIsNotAnsweredWithoutNews(t *testing.T) {
	w := newWorld(t)
	w.servers(engineService, 2)
	near := core.Holdings{OnDisk: []string{"m1"}, FreeMB: 80_000, FreeIn: time.Second}
	for i := range 2 {
		w.holds(i, near)
	}
	key := w.call("patient", prompt("m1"))
	if len(w.sends[key]) != 0 {
		t.Fatal("the request does not wait")
	}
	clear(w.demands)
	for i := range 2 {
		w.now = w.now.Add(time.Millisecond)
		w.holds(i, near)
	}
	if len(w.demands) != 0 {
		t.Fatalf("loaders were answered without news: %v", w.demands)
	}
	w.call("patient", prompt("m1"))
	if len(w.demands) != 1 {
		t.Fatalf("a further request was told to %d loaders, wanted the one that loads", len(w.demands))
	}
}

// Callers wait for a model's adapter while the model is loaded. Asked for only
// once it stood, the adapter came after the engine's next load: 0.8 s later. The
// loader must hear of both at once.
func TestAdaptersAreAskedForWithTheirModel(t *testing.T) {
	w := newWorld(t)
	w.servers(engineService, 1)
	w.holds(0, core.Holdings{OnDisk: []string{"m1"}, FreeMB: 80_000})
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

// Two engines have a model; one of them loads another model, during which it
// takes no order. An adapter must be asked for at the one that can have it now.
func TestAdapterIsLoadedWhereNoLoadIsUnderWay(t *testing.T) {
	for loading := range 2 {
		w := newWorld(t)
		w.servers(engineService, 2)
		for i := range 2 {
			models := loadedModels("m1")
			if i == loading {
				models = append(models, core.HeldModel{Name: "m2", State: core.HoldLoading, ReadyIn: 800 * time.Millisecond})
			}
			w.holds(i, core.Holdings{Models: models})
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
