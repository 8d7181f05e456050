package loader

import (
	"testing"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
)

func routerName(i int) core.HostID { return core.HostID(rune('a' + i)) }

// announceSpec makes a router announce the configuration that it has.
func (w *fixture) announceSpec(router core.HostID, version int64, hash uint64) {
	w.t.Helper()
	w.step(DemandReceived{Router: router, Demand: core.Demand{Instance: "i-1", Spec: core.SpecID{Version: version, Hash: hash}}})
}

// 20 routers connect within some ms, and each has the engine's configuration, 11 KB of
// it. Only one must send it: sent by all, it was nine tenths of the routers' traffic.
func TestOneRouterSendsTheConfiguration(t *testing.T) {
	w := newFixture(t)
	for i := range 20 {
		w.step(RouterUp{Router: routerName(i)})
		w.announceSpec(routerName(i), 1, 1)
		w.now = w.now.Add(5 * time.Millisecond)
	}
	if len(w.specRequests) != 1 {
		t.Fatalf("asked %v, want one router", w.specRequests)
	}
	spec := testSpec()
	w.step(DemandReceived{Router: w.specRequests[0], Demand: core.Demand{Engine: &spec}})
	w.run(time.Second)
	if len(w.specRequests) != 1 {
		t.Errorf("asked %v again", w.specRequests)
	}
}

// The router that was asked is frozen. Another one must be asked, or the engine would
// receive no orders.
func TestAnotherRouterIsAskedForTheConfiguration(t *testing.T) {
	w := newFixture(t)
	for i := range 3 {
		w.step(RouterUp{Router: routerName(i)})
		w.announceSpec(routerName(i), 1, 1)
	}
	w.run(2*specRequestTimeout + minCountsInterval)
	if len(w.specRequests) < 2 || w.specRequests[0] == w.specRequests[1] {
		t.Errorf("asked %v", w.specRequests)
	}
}

// Most versions of the operators' configuration change nothing for the engine, and
// outdated routers announce an older version. Neither must be requested.
func TestOnlyAnotherNewerConfigurationIsAskedFor(t *testing.T) {
	w := newFixture(t)
	w.demand("10.0.0.1", core.Demand{})
	w.announceSpec("10.0.0.1", 2, 1)
	w.announceSpec("10.0.0.1", 0, 7)
	if len(w.specRequests) > 0 {
		t.Fatalf("asked %v", w.specRequests)
	}
	w.announceSpec("10.0.0.1", 3, 2)
	if len(w.specRequests) != 1 {
		t.Errorf("asked %v for a newer one", w.specRequests)
	}
}
