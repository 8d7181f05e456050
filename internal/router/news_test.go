package router

import (
	"testing"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fleet"
)

// Another router has read that a server is draining and that one is gone. This router has
// not read the registry for a second; its requests must not go there, although no read of
// its own has shown this. The known models of engines must stay: the news do not include
// them.
func TestNewsOfAnotherRouterAreApplied(t *testing.T) {
	w := newFixture(t)
	w.servers(plainService, 3)
	leaving := w.server(plainService, 0)
	leaving.Draining = true
	engine := w.born(7, firstBorn, "m1")
	w.register(engine)
	w.step(NewsReceived{News: core.RegistryNews{
		From: 1, To: 2, Written: []core.ListedBackend{leaving.Listed(), engine.Listed()}, Removed: []string{"s1"},
	}})
	for range 6 {
		if send := w.lastSend(w.call("once", nil)); send.Instance != "s2" {
			t.Fatalf("sent to %s, of which another router read that it leaves or is gone", send.Instance)
		}
	}
	if models := w.router.backends["s7"].Models; len(models) != 1 {
		t.Errorf("models %v, want those that were known", models)
	}
}

// The registry changes with each load of each engine. News with all of these changes were
// ten times the size of what routers need from each other: loaders report models directly.
func TestNewsContainOnlyRelevantChanges(t *testing.T) {
	w := newFixture(t)
	w.servers(plainService, 2)
	same, slow := w.server(plainService, 0), w.server(plainService, 1)
	same.Models = []fleet.LoadedModel{{Name: "m5"}}
	slow.Slots++
	news := w.router.ChangedEntries(map[string]fleet.Backend{"s0": same, "s1": slow, "s2": w.server(plainService, 2)})
	if len(news) != 2 || news[0].Instance != "s1" || news[1].Instance != "s2" {
		t.Errorf("changed %+v, want s1 and s2", news)
	}
}

// Entries expire while the store is unavailable, and another router reads that they are
// gone once it is back. Their servers may not have registered again yet: they must be kept.
func TestNewsOfLapsedServersKeepThem(t *testing.T) {
	w := newFixture(t)
	w.servers(plainService, 2)
	w.step(StoreState{Reachable: false})
	w.step(NewsReceived{News: core.RegistryNews{From: 1, To: 2, Removed: []string{"s0", "s1"}}})
	w.lastSend(w.call("once", nil))
}

// The store refuses this router for eight seconds and answers the others, which read it and
// send news. One of them reads that a server's entry was withdrawn. When this router
// treated that as an outage of the store and the entry as expired, and the news postponed
// its own next read, it sent requests there for five seconds, when three are allowed. The
// store answers other routers all the time: the entry is gone.
func TestStoreThatRefusesOneRouterIsNotDown(t *testing.T) {
	w := newFixture(t)
	w.servers(plainService, 2)
	w.step(StoreState{Reachable: false})
	for revision := range int64(8) {
		w.run(500 * time.Millisecond)
		w.step(NewsReceived{News: core.RegistryNews{From: revision, To: revision + 1}})
	}
	w.step(StoreState{Reachable: false})
	w.run(500 * time.Millisecond)
	w.step(NewsReceived{News: core.RegistryNews{From: 8, To: 9, Removed: []string{"s1"}}})
	for range 4 {
		if send := w.lastSend(w.call("once", nil)); send.Instance != "s0" {
			t.Fatalf("sent to %s, whose entry is gone", send.Instance)
		}
	}
}

// An engine without activity reports its counts alone. Its loader must not be considered
// silent, nor its holdings out of date; and the predicted end of a load must come closer
// with the time since its report.
func TestCountsKeepHoldingsValid(t *testing.T) {
	w := newFixture(t)
	w.servers(engineService, 1)
	w.reportHoldings(0, core.Holdings{FreeMB: 10_000, Models: loadedModels("m1")})
	for range 10 {
		w.run(time.Second)
		w.step(LoaderCountsReported{Loader: loaderName(0), Counts: core.Counts{Running: 1, FreeMB: 20_000, IdleMB: 30_000}})
	}
	w.lastSend(w.call("patient", prompt("m1")))
	l := w.router.loaders[loaderName(0)]
	if !l.up || l.holdings.IdleMB != 30_000 || w.now.Sub(l.holdingsAt) < 9*time.Second {
		t.Errorf("up %t, idle %.0f MB, holdings %v old", l.up, l.holdings.IdleMB, w.now.Sub(l.holdingsAt))
	}
}
