package router

import (
	"testing"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fleet"
)

// Another router has read that a server leaves and that one is gone. This router has
// not read for a second; its requests must not go there, although no call of its own
// told so. What it knows of engines' models stays: the news do not tell them.
func TestNewsOfAnotherRouterCount(t *testing.T) {
	w := newWorld(t)
	w.servers(plainService, 3)
	leaving := w.server(plainService, 0)
	leaving.Draining = true
	engine := w.born(7, firstBorn, "m1")
	w.lists(engine)
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

// The registry changes with each load of each engine. Told in full, that was ten
// times what routers need to tell each other: loaders speak of models first hand.
func TestNewsTellOnlyWhatRoutersGoBy(t *testing.T) {
	w := newWorld(t)
	w.servers(plainService, 2)
	same, slow := w.server(plainService, 0), w.server(plainService, 1)
	same.Models = []fleet.LoadedModel{{Name: "m5"}}
	slow.Slots++
	news := w.router.ChangedEntries(map[string]fleet.Backend{"s0": same, "s1": slow, "s2": w.server(plainService, 2)})
	if len(news) != 2 || news[0].Instance != "s1" || news[1].Instance != "s2" {
		t.Errorf("told %+v, want s1 and s2", news)
	}
}

// Entries lapse while the store is away, and another router reads that they are gone
// once it is back. They may only not have registered again yet: they are kept.
func TestNewsOfLapsedServersKeepThem(t *testing.T) {
	w := newWorld(t)
	w.servers(plainService, 2)
	w.step(StoreState{Reachable: false})
	w.step(NewsReceived{News: core.RegistryNews{From: 1, To: 2, Removed: []string{"s0", "s1"}}})
	w.lastSend(w.call("once", nil))
}

// The store turns this router away for eight seconds and serves the others, which read
// and tell it. One of them reads that a server's entry was withdrawn. This router took
// the store for away, and such entries for lapsed; as it heard news, its own next read
// was put off, and it went on sending there for five seconds, when three are allowed.
// The store answers others all the while: the entry is gone.
func TestStoreThatTurnsOneRouterAwayIsNotAway(t *testing.T) {
	w := newWorld(t)
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

// An engine at which nothing happens tells its counts alone, for as long as nothing
// does. Its loader must not be taken for silent, nor what it holds for old; and a load
// whose end it predicted is as much nearer as time has passed since it said so.
func TestCountsKeepAWordFresh(t *testing.T) {
	w := newWorld(t)
	w.servers(engineService, 1)
	w.holds(0, core.Holdings{FreeMB: 10_000, Models: loadedModels("m1")})
	for range 10 {
		w.run(time.Second)
		w.step(LoaderCountsReported{Loader: loaderName(0), Counts: core.Counts{Running: 1, FreeMB: 20_000, IdleMB: 30_000}})
	}
	w.lastSend(w.call("patient", prompt("m1")))
	l := w.router.loaders[loaderName(0)]
	if !l.up || l.holdings.IdleMB != 30_000 || w.now.Sub(l.saidAt) < 9*time.Second {
		t.Errorf("up %t, idle %.0f MB, holdings %v old", l.up, l.holdings.IdleMB, w.now.Sub(l.saidAt))
	}
}
