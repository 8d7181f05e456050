package router

import (
	"testing"
	"time"

	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
)

// The store turns this router away, and operators take a key away meanwhile. The router
// hears of the newer version from others. It must ask for it at once, go on asking until it
// has it, and then refuse the key.
func TestConfigurationIsAskedForWhereTheStoreTurnsAway(t *testing.T) {
	w := newAccountsWorld(t)
	w.servers(engineService, 3)
	w.holds(0, core.Holdings{Instance: "s0"})
	w.step(StoreState{Reachable: false})
	w.step(ConfigAnnounced{Version: 3})
	if len(w.asked) != 1 || w.asked[0].Wanted.Above != 2 {
		t.Fatalf("asked %+v, want once, above 2", w.asked)
	}
	w.run(time.Second)
	if got := len(w.asked); got < 3 || got > 5 {
		t.Errorf("asked %d times within a second", got)
	}
	w.step(ConfigRead{Config: accountsConfig(3)})
	asked := len(w.asked)
	w.run(time.Second)
	if len(w.asked) > asked {
		t.Error("asked for a configuration that is in force")
	}
	w.wantCode(w.callWith("once", validKey), code.UnknownKey)
}

// A router that can read the store itself does so within some ms, and asks nobody.
func TestConfigurationIsNotAskedForWhereTheStoreAnswers(t *testing.T) {
	w := newAccountsWorld(t)
	w.servers(engineService, 3)
	w.holds(0, core.Holdings{Instance: "s0"})
	w.step(ConfigAnnounced{Version: 3})
	w.run(askConfigAfter / 2)
	w.step(ConfigRead{Config: accountsConfig(3, validKey)})
	w.run(time.Second)
	if len(w.asked) > 0 {
		t.Errorf("asked %+v", w.asked)
	}
}

// A newer configuration was heard of and is on its way; a caller shows a key that the one in
// force does not have. A refusal may be false, and is final: the request waits for the
// newer one.
func TestNoFinalRefusalWhileAConfigurationIsUnread(t *testing.T) {
	w := newAccountsWorld(t)
	w.servers(plainService, 2)
	w.step(StoreState{Reachable: false})
	w.step(ConfigAnnounced{Version: 3})
	served, unsure := w.callWith("once", newKey), w.callWith("once", "wrong")
	w.step(ConfigRead{Config: accountsConfig(3, validKey, newKey)})
	w.run(tickInterval)
	w.wantCode(served, code.OK)
	w.wantCode(unsure, code.KeyUnsure)
}

// Guards against a large fleet in which each router reads a new configuration, or asks for it,
// while it is on its way from the one that has read it; and against a small one that waits.
func TestLargeFleetWaitsForAConfigurationToBePassedOn(t *testing.T) {
	for routers, want := range map[int]time.Duration{68: 0, 385: 400 * time.Millisecond} {
		w := newWorld(t)
		w.servers(engineService, 1)
		w.step(LoaderUp{Loader: loaderName(0)})
		w.step(LoaderReported{Loader: loaderName(0), Holdings: core.Holdings{Routers: routers}})
		if got := w.router.ConfigRelayWait(); got != want {
			t.Errorf("%d routers wait %v, want %v", routers, got, want)
		}
		w.step(ConfigAnnounced{Version: 5})
		w.run(askConfigAfter + want - tickInterval)
		if len(w.asked) > 0 {
			t.Errorf("%d routers: asked while it is on its way", routers)
		}
		w.run(2 * tickInterval)
		if len(w.asked) == 0 {
			t.Errorf("%d routers: not asked when it did not come", routers)
		}
	}
}
