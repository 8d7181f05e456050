package loader

import (
	"testing"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
)

func routerName(i int) core.HostID { return core.HostID(rune('a' + i)) }

// names lets a router name the configuration that it has.
func (w *world) names(router core.HostID, version int64, hash uint64) {
	w.t.Helper()
	w.step(DemandReceived{Router: router, Demand: core.Demand{Instance: "i-1", Spec: core.SpecID{Version: version, Hash: hash}}})
}

// 20 routers connect within some ms, and each has the engine's configuration, 11 KB of it.
// One is to send it: sent by all, it was nine tenths of what a fleet's routers told.
func TestOneRouterSendsTheConfiguration(t *testing.T) {
	w := newWorld(t)
	for i := range 20 {
		w.step(RouterUp{Router: routerName(i)})
		w.names(routerName(i), 1, 1)
		w.now = w.now.Add(5 * time.Millisecond)
	}
	if len(w.specAsks) != 1 {
		t.Fatalf("asked %v, want one router", w.specAsks)
	}
	spec := testSpec()
	w.step(DemandReceived{Router: w.specAsks[0], Demand: core.Demand{Engine: &spec}})
	w.run(time.Second)
	if len(w.specAsks) != 1 {
		t.Errorf("asked %v again", w.specAsks)
	}
}

// The router that was asked is frozen. Another one must be asked, or the engine would not be
// ordered anything.
func TestAnotherRouterIsAskedForTheConfiguration(t *testing.T) {
	w := newWorld(t)
	for i := range 3 {
		w.step(RouterUp{Router: routerName(i)})
		w.names(routerName(i), 1, 1)
	}
	w.run(2*specPatience + leastCountsInterval)
	if len(w.specAsks) < 2 || w.specAsks[0] == w.specAsks[1] {
		t.Errorf("asked %v", w.specAsks)
	}
}

// Most versions of the operators' configuration change nothing of the engine, and routers
// that are behind name an older one. Neither is asked for.
func TestOnlyAnotherNewerConfigurationIsAskedFor(t *testing.T) {
	w := newWorld(t)
	w.demand("10.0.0.1", core.Demand{})
	w.names("10.0.0.1", 2, 1)
	w.names("10.0.0.1", 0, 7)
	if len(w.specAsks) > 0 {
		t.Fatalf("asked %v", w.specAsks)
	}
	w.names("10.0.0.1", 3, 2)
	if len(w.specAsks) != 1 {
		t.Errorf("asked %v for a newer one", w.specAsks)
	}
}
